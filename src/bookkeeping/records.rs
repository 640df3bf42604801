//! What the state service holds for marblewalk, and where.
//!
//! Everything a controller follows lies under one prefix, so that one listing and one watch suffice.
//! Final states lie elsewhere: there are many, and they are read one at a time.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::protocol::job::FinalState;

/// Prefix of everything that controllers follow.
pub const FOLLOWED: &str = "c/";
pub const LEADER: &str = "c/leader";
pub const VIEW: &str = "c/view";
pub const COUNTER: &str = "c/helm";
pub const QUOTA: &str = "c/quota";
pub const LIVE: &str = "c/live/";
pub const DONE: &str = "c/done/";
pub const NODE: &str = "c/node/";
pub const EVICTED: &str = "c/evicted/";
pub const BLOCKS: &str = "c/blocks/";
pub const RENTAL: &str = "c/rental/";
/// Prefix of final states, which nobody follows.
pub const FINISHED: &str = "final/";
pub const UNINFORMED: &str = "c/uninformed/";

pub fn live(job: &str) -> String {
    format!("{LIVE}{job}")
}

pub fn finished(job: &str) -> String {
    format!("{FINISHED}{job}")
}

pub fn done_chunk(job: &str, chunk: usize) -> String {
    format!("{DONE}{job}/{chunk}")
}

pub fn node(member: &str) -> String {
    format!("{NODE}{member}")
}

pub fn evicted(member: &str) -> String {
    format!("{EVICTED}{member}")
}

pub fn blocks(shard: usize) -> String {
    format!("{BLOCKS}{shard:04}")
}

pub fn rental(request: &str) -> String {
    format!("{RENTAL}{request}")
}

pub fn uninformed(member: &str) -> String {
    format!("{UNINFORMED}{member}")
}

/// Controllers that a registration does not wait for before it orders what it has announced.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UninformedRecord {
    pub node: u64,
    pub peers: Vec<(String, u64)>,
}

/// A controller's registration. Its stamp names this life of the controller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeRecord {
    pub lease: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub member: String,
    /// The leader's registration.
    pub node: u64,
}

/// The controllers among which jobs are hashed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ViewRecord {
    pub members: Vec<(String, u64)>,
}

/// A machine in a block: to whom it is leased, and under which token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BlockRow {
    #[serde(rename = "m")]
    pub machine: String,
    #[serde(rename = "t")]
    pub kind: String,
    #[serde(rename = "z")]
    pub zone: String,
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub spot: bool,
    /// The controller that holds it, and the registration it was granted to. Empty: nobody has held
    /// it yet, so nothing can have been started there.
    #[serde(rename = "o", default, skip_serializing_if = "String::is_empty")]
    pub owner: String,
    #[serde(rename = "n", default)]
    pub node: u64,
    /// To be returned: nothing more is started there.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub returning: bool,
    #[serde(rename = "h")]
    pub token: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinalRecord {
    pub state: FinalState,
    pub tasks: u32,
}

/// What each controller's jobs may use at most of a limited team's share.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaRecord {
    /// The view it was made for. A view that follows voids it: jobs have moved with their tasks.
    pub view: u64,
    pub rows: Vec<Allotment>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allotment {
    pub member: String,
    /// The registration the allotment was made to.
    pub node: u64,
    pub team: String,
    pub cpu: u64,
    pub gpu: u64,
}

/// Tasks whose completion one key records.
pub const CHUNK: usize = 16_384;

/// A set of task numbers, stored as hexadecimal words by chunk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u32,
}

impl TaskSet {
    pub fn contains(&self, index: u32) -> bool {
        let i = index as usize;
        self.words.get(i / 64).is_some_and(|w| w >> (i % 64) & 1 == 1)
    }

    pub fn insert(&mut self, index: u32) -> bool {
        if self.contains(index) {
            return false;
        }
        let i = index as usize;
        if self.words.len() <= i / 64 {
            self.words.resize(i / 64 + 1, 0);
        }
        self.words[i / 64] |= 1 << (i % 64);
        self.count += 1;
        true
    }

    pub fn len(&self) -> u32 {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The stored form of one chunk: the words from its first to its last that is not zero.
    pub fn chunk(&self, chunk: usize) -> Value {
        let per = CHUNK / 64;
        let words = self.words.iter().skip(chunk * per).take(per);
        let mut text: String = words.map(|w| format!("{w:016x}")).collect();
        while text.ends_with("0000000000000000") {
            text.truncate(text.len() - 16);
        }
        json!({ "x": text })
    }

    /// Adds what a stored chunk holds, for a job of `tasks` tasks.
    pub fn merge(&mut self, chunk: usize, value: &Value, tasks: u32) {
        let text = value.get("x").and_then(Value::as_str).unwrap_or("");
        for (n, digits) in text.as_bytes().chunks(16).enumerate() {
            let word = std::str::from_utf8(digits).ok().and_then(|d| u64::from_str_radix(d, 16).ok());
            let mut word = word.unwrap_or(0);
            while word != 0 {
                let index = (chunk * CHUNK + n * 64) as u64 + u64::from(word.trailing_zeros());
                word &= word - 1;
                if index < u64::from(tasks) {
                    self.insert(index as u32);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    use super::*;

    /// Guards the largest jobs against the smaller deployment's 8 KiB values.
    #[test]
    fn completions_of_the_largest_job_survive_the_store() {
        for seed in 0..20 {
            let mut rng = StdRng::seed_from_u64(seed);
            let tasks = rng.random_range(1..=100_000);
            let mut set = TaskSet::default();
            for _ in 0..rng.random_range(0..60_000) {
                set.insert(rng.random_range(0..tasks));
            }
            let mut back = TaskSet::default();
            for chunk in 0..(tasks as usize).div_ceil(CHUNK) {
                let value = set.chunk(chunk);
                assert!(value.to_string().len() <= 8 * 1024);
                back.merge(chunk, &value, tasks);
            }
            assert_eq!(set.len(), back.len());
            assert!((0..tasks).all(|i| set.contains(i) == back.contains(i)));
        }
    }
}
