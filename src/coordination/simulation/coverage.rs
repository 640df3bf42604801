//! What a simulated run has exercised.

use super::*;

/// Counts of the situations that a run has exercised.
///
/// A test that provokes a situation asserts that it occurred.
#[derive(Debug, Default)]
pub(super) struct Coverage {
    /// Transactions without an answer that were committed after a newer transaction of the same controller.
    pub(super) late_commits: u32,
    /// Copies of reports that arrived after a newer report of the same machine.
    pub(super) late_duplicates: u32,
    /// Copies of reports of an earlier session of the worker.
    pub(super) duplicates_of_earlier_sessions: u32,
    /// Tasks in copies of reports that had a later attempt by then.
    pub(super) duplicate_tasks_of_earlier_attempts: u32,
    /// Tasks in copies of reports that had completed.
    pub(super) duplicate_completed_tasks: u32,
    /// Tasks that started a second time in the same attempt and worker session.
    pub(super) repeated_starts: u32,
    /// Orders that were executed more than a second after they were sent.
    pub(super) late_orders: u32,
    /// Copies of direct orders that arrived after the orders had been carried out and answered.
    pub(super) repeated_orders: u32,
    /// Those of them that the worker took, since token and session still matched.
    pub(super) repeated_orders_taken: u32,
    /// Orders rejected by a worker that already had one of their starts from the answer to a report.
    pub(super) rejected_but_started: u32,
    /// Tasks that had completed and started again.
    pub(super) restarts_after_completion: u32,
    /// Tasks that a worker ended because its lease expired.
    pub(super) tasks_lost_to_lease_expiry: usize,
    /// Confirmations of statuses that the receiving process had not sent.
    pub(super) unsolicited_confirmations: u32,
    /// Messages between controllers that were delayed by more than five seconds.
    pub(super) late_peer_messages: u32,
    /// The longest time for which a task ran after its job's withdrawal was recorded.
    pub(super) max_run_after_withdrawal: Micros,
    /// The longest time for which a task ran after its job's withdrawal was confirmed to the user.
    pub(super) max_run_after_confirmation: Micros,
    /// Starts of tasks of jobs whose withdrawal had been confirmed, by orders that were in flight at the confirmation.
    pub(super) starts_in_flight_at_confirmation: u32,
    /// Transactions that were committed at once and whose reply was lost.
    pub(super) lost_commit_replies: u32,
    /// Copies of reports that were retained and delivered to a controller after a new leader appeared.
    pub(super) retained_reports_delivered: u32,
    /// How often each injected fault took effect.
    pub(super) faults: BTreeMap<&'static str, u32>,
    /// Bursts of requests to all controllers that users sent after they first learnt of a new state of their job.
    pub(super) request_bursts: u32,
    /// Requests about jobs that were never submitted.
    pub(super) unknown_job_requests: u32,
    /// Answers to those requests that there is no such job.
    pub(super) unknown_job_denials: u32,
    /// Final states in answers to requests that were sent after the user already knew the final state.
    pub(super) repeated_final_states: u32,
    /// Answers older than the user's knowledge, to requests that were sent before the user had that knowledge.
    pub(super) overlapping_answers: u32,
    /// The highest simultaneous use of processors and accelerators by each team's tasks, in thousandths.
    pub(super) peak_usage: Vec<(u64, u64)>,
    /// How often a job that had waited for 90 s without faults was compared with the machines that had room for all
    /// that time.
    pub(super) neglect_checks: u32,
    /// How often what the controllers count was compared with what runs, and how often while one of them counted tasks
    /// of jobs that it had no record of.
    pub(super) count_checks: u64,
    pub(super) count_checks_with_unknown_tasks: u64,
}
