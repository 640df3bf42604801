//! Detection of stalled jobs: jobs that do not use the volume they are given.
//!
//! A job may have a volume, and its owner enough of the team's limit, and still start no task because no machine fits
//! or its zone is full. The resources that it does not use would stay idle meanwhile. So the leader tracks how long a
//! job could have started a task without doing so, and then plans without the job for a while.

use std::collections::BTreeMap;

use crate::protocol::units::Micros;

/// A job is stalled if it starts no task for this long although only machines are missing.
const STALL_TIMEOUT: Micros = Micros::from_secs(20);
/// How long other jobs come before a stalled one, unless it starts a task.
const STALL_DURATION: Micros = Micros::from_secs(60);

/// A job below its volume: the number of tasks it has started, and since when it has started none.
#[derive(Clone, Copy, Debug)]
struct BelowVolume {
    started: u32,
    since: Micros,
}

/// The leader's state of jobs below their volume. A new leader starts with an empty one.
#[derive(Debug, Default)]
pub(crate) struct StallTracker {
    below_volume: BTreeMap<String, BelowVolume>,
    /// Stalled jobs: the number of tasks they had started, and when they stop counting as stalled.
    stalled: BTreeMap<String, (u32, Micros)>,
}

impl StallTracker {
    /// Updates the state of a job below its volume. `started` is the number of its tasks that have been started;
    /// `has_room` tells whether the owner's share of the team's limit allows another one.
    pub fn observe(&mut self, now: Micros, job: &str, started: u32, has_room: bool) {
        if self.stalled.get(job).is_some_and(|(then, until)| *then != started || *until <= now) {
            self.stalled.remove(job);
        }
        if !has_room {
            self.below_volume.remove(job);
            return;
        }
        let fresh = BelowVolume { started, since: now };
        let state = self.below_volume.entry(job.to_owned()).or_insert(fresh);
        if state.started != started {
            *state = fresh;
        }
        if now.since(state.since) >= STALL_TIMEOUT {
            *state = fresh;
            self.stalled.insert(job.to_owned(), (started, now + STALL_DURATION));
        }
    }

    /// Removes jobs that are no longer below their volume.
    pub fn retain(&mut self, mut is_below_volume: impl FnMut(&str) -> bool) {
        self.below_volume.retain(|job, _| is_below_volume(job));
        self.stalled.retain(|job, _| is_below_volume(job));
    }

    /// Whether a job is stalled.
    pub fn is_stalled(&self, job: &str) -> bool {
        self.stalled.contains_key(job)
    }
}

#[cfg(test)]
mod tests;
