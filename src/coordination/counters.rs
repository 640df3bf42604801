//! Counters for the metrics endpoint.

/// Event counts since the process started.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    pub reports: u64,
    pub reports_stale: u64,
    /// Reports whose machine type, zone or spot flag differs from the machine's record.
    pub reports_mismatched: u64,
    /// Placement passes.
    pub placement_passes: u64,
    pub starts: u64,
    pub stops: u64,
    pub completions: u64,
    pub task_errors: u64,
    pub lease_expirations: u64,
    pub accepted: u64,
    pub deferred: u64,
    pub grants: u64,
    pub grant_conflicts: u64,
    pub rentals: u64,
    pub rentals_refused: u64,
    pub returns: u64,
    pub rejoins: u64,
    /// Takeovers that did not wait for some unresolved machine, because all tasks that may be on it were known.
    pub takeovers_fully_known: u64,
    pub takeovers: u64,
    /// Direct starts that were not carried out after the answer to a report had already sent them.
    pub starts_already_answered: u64,
    /// Planned starts held back when they were to be sent, because their tasks might be on other machines.
    pub starts_held_back: u64,
    /// Tasks on own machines that no order can have started, as after the end of their attempt.
    pub unexpected_tasks: u64,
    /// Replies to a former registration of this controller, or under a former grant.
    pub replies_misdirected: u64,
    /// Statuses that arrived after newer ones of the same sender and were dropped.
    pub statuses_outdated: u64,
    pub store_failures: u64,
    pub cloud_failures: u64,
}
