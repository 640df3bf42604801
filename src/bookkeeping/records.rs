//! Records that marblewalk keeps in the state service, and their keys.
//!
//! All records that controllers watch share one prefix, so that one listing and one watch suffice.
//! Final states have a prefix of their own: there are many, and they are read one at a time.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::protocol::job::FinalState;

/// Prefix of all keys that controllers watch.
pub const WATCHED_PREFIX: &str = "c/";
/// Key of the [`LeaderRecord`]; it is attached to the leader's lease.
pub const LEADER_KEY: &str = "c/leader";
/// Key of the [`ViewRecord`].
pub const VIEW_KEY: &str = "c/view";
/// Key of the highest fencing token that was granted for a machine.
pub const TOKEN_COUNTER_KEY: &str = "c/helm";
/// Key of the [`QuotaRecord`].
pub const QUOTA_KEY: &str = "c/quota";
/// Prefix of the specifications of live jobs, by job id.
pub const LIVE_JOBS_PREFIX: &str = "c/live/";
/// Prefix of the completed tasks of live jobs, by job id and chunk (see [`TaskSet`]).
pub const COMPLETIONS_PREFIX: &str = "c/done/";
/// Prefix of [`RegistrationRecord`]s, by controller name; they are attached to the controllers' leases.
pub const REGISTRATIONS_PREFIX: &str = "c/node/";
/// Prefix of each controller's registration that was evicted last, by controller name.
pub const EVICTIONS_PREFIX: &str = "c/evicted/";
/// Prefix of blocks of machines, by shard number.
pub const BLOCKS_PREFIX: &str = "c/blocks/";
/// Prefix of rental requests to the cloud that are not finished, by the name of the request.
pub const RENTALS_PREFIX: &str = "c/rental/";
/// Prefix of [`FinalRecord`]s, by job id. Controllers do not watch them.
pub const FINAL_STATES_PREFIX: &str = "final/";
/// Prefix of [`UninformedRecord`]s, by the name of the controller that wrote them.
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

/// The controllers that a controller records as uninformed: it sends announced starts to workers without waiting for
/// their confirmations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UninformedRecord {
    /// The registration of the controller that wrote the record.
    #[serde(rename = "node")]
    pub registration: u64,
    /// Names and registrations of the uninformed controllers.
    pub peers: Vec<(String, u64)>,
}

/// Registration record of a controller.
///
/// The revision at which it was written identifies the registration, that is, one incarnation of the controller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegistrationRecord {
    /// The lease that the record is attached to.
    pub lease: u64,
}

/// The controller that is the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub member: String,
    /// The leader's registration.
    #[serde(rename = "node")]
    pub registration: u64,
}

/// The controllers among which jobs are distributed by hash.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ViewRecord {
    /// Names and registrations of the controllers.
    pub members: Vec<(String, u64)>,
}

/// A machine in a block: the controller that it is granted to, and the fencing token of the grant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BlockRow {
    #[serde(rename = "m")]
    pub machine: String,
    /// Machine type.
    #[serde(rename = "t")]
    pub kind: String,
    #[serde(rename = "z")]
    pub zone: String,
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub spot: bool,
    /// The controller that the machine is granted to. Empty if it was never granted: no task can have been started
    /// on it.
    #[serde(rename = "o", default, skip_serializing_if = "String::is_empty")]
    pub owner: String,
    /// The registration that the machine is granted to.
    #[serde(rename = "n", default)]
    pub registration: u64,
    /// The machine is to be returned to the cloud: no more tasks are started on it.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub returning: bool,
    /// The grant's fencing token, or the first of its range.
    #[serde(rename = "h")]
    pub token: u64,
    /// The grant comprises the [`TOKENS_PER_GRANT`] tokens from `token` on. Rows of earlier versions have one token.
    #[serde(rename = "k", default, skip_serializing_if = "std::ops::Not::not")]
    pub has_token_range: bool,
}

/// Number of fencing tokens in the range of a grant. It is part of the stored format: a row only says that it has one.
pub const TOKENS_PER_GRANT: u64 = 1 << 12;

impl BlockRow {
    /// Gives the row tokens above all granted so far, a range or a single one. `counter`: the highest of these.
    pub fn grant_tokens(&mut self, counter: &mut u64, range: bool) {
        self.token = *counter + 1;
        self.has_token_range = range;
        *counter = self.last_token();
    }

    /// The highest token that the grant's owner may use.
    pub fn last_token(&self) -> u64 {
        if self.has_token_range { self.token + (TOKENS_PER_GRANT - 1) } else { self.token }
    }
}

/// The final state of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinalRecord {
    pub state: FinalState,
    /// Number of tasks of the job.
    pub tasks: u32,
}

/// Division of the teams' limits among the controllers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaRecord {
    /// Revision of the view that the division was made for. A later view invalidates it, because jobs have moved to
    /// other controllers together with their tasks.
    pub view: u64,
    pub rows: Vec<Allotment>,
}

/// Upper limit on the resources that one controller's jobs of a team may use, in thousandths of a unit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allotment {
    pub member: String,
    /// The registration of `member` that the allotment is for.
    #[serde(rename = "node")]
    pub registration: u64,
    pub team: String,
    pub cpu: u64,
    pub gpu: u64,
}

/// Number of tasks whose completion is recorded under one key.
pub const TASKS_PER_CHUNK: usize = 16_384;

/// A set of task indices, stored in chunks as hexadecimal 64-bit words.
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

    /// Adds a task and returns whether it was not in the set before.
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

    /// Encodes one chunk for storage: its words up to the last that is not zero.
    pub fn encode_chunk(&self, chunk: usize) -> Value {
        let per = TASKS_PER_CHUNK / 64;
        let words = self.words.iter().skip(chunk * per).take(per);
        let mut text: String = words.map(|w| format!("{w:016x}")).collect();
        while text.ends_with("0000000000000000") {
            text.truncate(text.len() - 16);
        }
        json!({ "x": text })
    }

    /// Adds the tasks of a stored chunk. Indices that a job of `tasks` tasks does not have are ignored.
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

    /// Each chunk of a job of up to 100,000 tasks must fit into the 8 KiB values of the smaller deployment.
    #[test]
    fn task_sets_of_the_largest_jobs_round_trip_within_the_value_limit() {
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
