//! What the state service holds for marblewalk, and where.
//!
//! Everything a controller follows lies under one prefix, so that one listing and one watch suffice.
//! Final states lie elsewhere: there are many, and they are read one at a time.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::protocol::job::Final;

/// Prefix of everything that controllers follow.
pub const WATCHED_PREFIX: &str = "c/";
pub const LEADER_KEY: &str = "c/leader";
pub const VIEW_KEY: &str = "c/view";
pub const TOKEN_COUNTER_KEY: &str = "c/helm";
pub const QUOTA_KEY: &str = "c/quota";
pub const LIVE_JOBS_PREFIX: &str = "c/live/";
pub const COMPLETIONS_PREFIX: &str = "c/done/";
pub const REGISTRATIONS_PREFIX: &str = "c/node/";
pub const EVICTIONS_PREFIX: &str = "c/evicted/";
pub const BLOCKS_PREFIX: &str = "c/blocks/";
pub const RENTALS_PREFIX: &str = "c/rental/";
/// Prefix of final states, which nobody follows.
pub const FINAL_STATES_PREFIX: &str = "final/";
pub const UNINFORMED_PREFIX: &str = "c/uninformed/";

pub fn live_job_key(job: &str) -> String {
    format!("{LIVE_JOBS_PREFIX}{job}")
}

pub fn final_state_key(job: &str) -> String {
    format!("{FINAL_STATES_PREFIX}{job}")
}

pub fn completions_key(job: &str, chunk: usize) -> String {
    format!("{COMPLETIONS_PREFIX}{job}/{chunk}")
}

pub fn registration_key(member: &str) -> String {
    format!("{REGISTRATIONS_PREFIX}{member}")
}

pub fn eviction_key(member: &str) -> String {
    format!("{EVICTIONS_PREFIX}{member}")
}

pub fn block_key(shard: usize) -> String {
    format!("{BLOCKS_PREFIX}{shard:04}")
}

pub fn rental_key(request: &str) -> String {
    format!("{RENTALS_PREFIX}{request}")
}

pub fn uninformed_key(member: &str) -> String {
    format!("{UNINFORMED_PREFIX}{member}")
}

/// Controllers that a registration does not wait for before it orders what it has announced.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UninformedRecord {
    #[serde(rename = "node")]
    pub registration: u64,
    pub peers: Vec<(String, u64)>,
}

/// A controller's registration. Its stamp names this life of the controller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegistrationRecord {
    pub lease: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub member: String,
    /// The leader's registration.
    #[serde(rename = "node")]
    pub registration: u64,
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
    pub registration: u64,
    /// To be returned: nothing more is started there.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub returning: bool,
    #[serde(rename = "h")]
    pub token: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinalRecord {
    pub state: Final,
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
    #[serde(rename = "node")]
    pub registration: u64,
    pub team: String,
    pub cpu: u64,
    pub gpu: u64,
}

/// Tasks whose completion one key records.
pub const TASKS_PER_CHUNK: usize = 16_384;

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
    pub fn encode_chunk(&self, chunk: usize) -> Value {
        let per = TASKS_PER_CHUNK / 64;
        let words = self.words.iter().skip(chunk * per).take(per);
        let mut text: String = words.map(|w| format!("{w:016x}")).collect();
        while text.ends_with("0000000000000000") {
            text.truncate(text.len() - 16);
        }
        json!({ "x": text })
    }

    /// Adds what a stored chunk holds, for a job of `tasks` tasks.
    pub fn merge_chunk(&mut self, chunk: usize, value: &Value, tasks: u32) {
        let text = value.get("x").and_then(Value::as_str).unwrap_or("");
        for (n, digits) in text.as_bytes().chunks(16).enumerate() {
            let word = std::str::from_utf8(digits).ok().and_then(|d| u64::from_str_radix(d, 16).ok());
            let mut word = word.unwrap_or(0);
            while word != 0 {
                let index = (chunk * TASKS_PER_CHUNK + n * 64) as u64 + u64::from(word.trailing_zeros());
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
            let mut decoded = TaskSet::default();
            for chunk in 0..(tasks as usize).div_ceil(TASKS_PER_CHUNK) {
                let value = set.encode_chunk(chunk);
                assert!(value.to_string().len() <= 8 * 1024);
                decoded.merge_chunk(chunk, &value, tasks);
            }
            assert_eq!(set.len(), decoded.len());
            assert!((0..tasks).all(|i| set.contains(i) == decoded.contains(i)));
        }
    }
}
