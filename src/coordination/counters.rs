//! Counts for the operators' endpoint.

/// Counters for the operators' endpoint.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    pub reports: u64,
    pub reports_stale: u64,
    /// Reports of a machine that is recorded as another type, or elsewhere.
    pub reports_odd: u64,
    /// Passes over all jobs that wait for a start.
    pub passes: u64,
    pub starts: u64,
    pub stops: u64,
    pub completions: u64,
    pub task_errors: u64,
    pub lapses: u64,
    pub accepted: u64,
    pub deferred: u64,
    pub grants: u64,
    pub grant_conflicts: u64,
    pub rentals: u64,
    pub refusals: u64,
    pub returns: u64,
    pub rejoins: u64,
    /// Takeovers that did not wait for some machine, because all that may be on it was known.
    pub takeovers_listed: u64,
    pub takeovers: u64,
    /// Direct starts that found no connection while the answer to a report had brought them.
    pub starts_already_answered: u64,
    /// Starts that were held back at the last moment, since their tasks might have been on other machines.
    pub starts_held_back: u64,
    /// Replies that were meant for a former registration of this controller, or a former grant.
    pub replies_misdirected: u64,
    /// Statuses that came after newer ones of the same sender, and were dropped.
    pub statuses_outdated: u64,
    pub store_failures: u64,
    pub cloud_failures: u64,
}
