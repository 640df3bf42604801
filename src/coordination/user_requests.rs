//! Users' requests: submissions, queries and withdrawals.
//!
//! Every controller serves them, because their outcome is decided by transactions of the state service.

use std::collections::BTreeMap;

use marblewalk_admission::submission_limiter::SubmissionDecision;
use rand::RngExt;

use crate::bookkeeping::call_queue::Urgency;
use crate::bookkeeping::records::{self, FinalRecord};
use crate::coordination::final_states::EndSource;
use crate::coordination::knowledge::Liveness;
use crate::coordination::{Answer, Controller, IfNotFound, JobQuery, LookupGoal, Phase, Purpose, RequestId};
use crate::protocol::job::{FinalState, JobSpec, JobState};
use crate::protocol::store::{Condition, StoreCall, StoreReply, Transaction, Write};
use crate::protocol::units::Micros;
use crate::protocol::worker::TaskState;

/// Minimum time between two checks of polled jobs against the state service.
const MIN_POLL_CHECK_INTERVAL: Micros = Micros::from_millis(200);
/// Number of queued reads of the state service from which on further ones are deferred.
const MAX_WAITING_READS: usize = 40;
/// The same for withdrawals.
const MAX_WAITING_WITHDRAWALS: usize = 200;
/// How long users wait for the answer to a query, and to a submission or withdrawal, less the time in transit.
const QUERY_TIMEOUT: Micros = Micros::from_millis(1_700);
const SUBMISSION_TIMEOUT: Micros = Micros::from_millis(3_300);
/// Number of polls that may wait for the next check.
const MAX_POLLS: usize = 400;

impl Controller {
    /// Whether a read for a user would be answered before the user gives up.
    fn accepts_reads(&self) -> bool {
        self.entitled() && self.store_calls.waiting_reads() < MAX_WAITING_READS
    }

    /// Defers a request when none can be served. The random delay spreads the retries over some seconds.
    fn defer_with_jitter(&mut self, request: RequestId) {
        let seconds = self.rng.random_range(1..=4);
        self.answer(request, Answer::RetryLater(seconds));
    }

    /// A query about a job whose user waits for `timeout`.
    fn new_query(&self, request: RequestId, job: String, timeout: Micros) -> JobQuery {
        JobQuery { request, job, deadline: self.now + timeout }
    }

    /// Answers with the job's final state if it is known. Returns whether it is.
    fn answer_if_ended(&mut self, query: &JobQuery) -> bool {
        let Some((state, tasks)) = self.final_states.get(&query.job) else { return false };
        self.answer_end(query.request, &query.job, state, tasks, query.deadline);
        true
    }

    pub(super) fn handle_submission(&mut self, request: RequestId, spec: Box<JobSpec>) {
        let query = self.new_query(request, spec.id.clone(), SUBMISSION_TIMEOUT);
        if self.answer_if_ended(&query) {
            return;
        }
        if !self.entitled() || self.machine_types.is_empty() {
            return self.defer_with_jitter(request);
        }
        if self.jobs.contains_key(&spec.id) {
            // The job may have ended since the applied revision, so the state service is asked.
            return self.look_up_live(query, LookupGoal::State);
        }
        if let Some(why) = self.infeasible_reason(&spec) {
            tracing::debug!(job = spec.id, why, "rejected: the job can never run");
            // If another controller has accepted the job, it must not be rejected here, even if settings have changed.
            if self.accepts_reads() {
                return self.look_up_live(query, LookupGoal::Rejection(why));
            }
            return self.answer(request, Answer::RetryLater(1));
        }
        let Ok(value) = serde_json::to_value(&*spec) else {
            return self.answer(request, Answer::RetryLater(1));
        };
        let size = value.to_string().len();
        if size as f64 > self.settings.params.state.value_kb * 1024.0 - 64.0 {
            return self.answer(request, Answer::Rejected("the description is too long to keep"));
        }
        let capacity = self.capacity();
        let decision = self.submission_limiter.decide(self.now, &spec.id, &spec.team, &spec.class, capacity);
        if let SubmissionDecision::RetryLater(reason, wait) = decision {
            tracing::debug!(job = spec.id, class = spec.class, ?reason, "submission deferred");
            let seconds = (wait.as_secs_f64().ceil() as u32).clamp(1, 30);
            return self.answer(request, Answer::RetryLater(seconds));
        }
        let transaction = Transaction {
            conditions: vec![
                Condition::new(records::live_job_key(&spec.id), 0),
                Condition::new(records::final_state_key(&spec.id), 0),
                self.registration_condition(),
            ],
            writes: vec![Write::put(records::live_job_key(&spec.id), value)],
        };
        let purpose = Purpose::Accept { request, spec };
        self.enqueue_store_call(Urgency::Acceptance, purpose, StoreCall::Commit(transaction));
    }

    /// Why a job can never run on this deployment; `None` if it can.
    fn infeasible_reason(&self, spec: &JobSpec) -> Option<&'static str> {
        let params = &self.settings.params;
        let Some(team) = params.teams.iter().find(|t| t.name == spec.team) else {
            return Some("unknown team");
        };
        let need = spec.need();
        let allowed = |t: &&crate::protocol::cloud::MachineType| {
            spec.machine_types.as_ref().is_none_or(|names| names.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
        };
        if !self.machine_types.values().filter(allowed).any(|t| need.fits(t.supply())) {
            return Some("no allowed machine type is large enough for a task");
        }
        let simultaneous = u64::from(spec.min_tasks());
        let exceeds =
            |each: u64, limit: f64| limit > 0.0 && (each * simultaneous) as f64 > limit * 1e3 + 1e-6;
        if exceeds(need.cpu, team.cpus_max) || exceeds(need.gpu, team.gpus_max) {
            return Some("more than the team's limit");
        }
        if spec.spread && (spec.one_zone || spec.zone.is_some()) && simultaneous > 1 {
            return Some("tasks that must run together can't be both apart and in one zone");
        }
        None
    }

    pub(super) fn handle_accept_reply(&mut self, request: RequestId, spec: JobSpec, reply: StoreReply) {
        match reply {
            StoreReply::Committed { .. } => {
                self.counters.accepted += 1;
                if let Some(lease) = &self.lease {
                    tracing::debug!(
                        job = spec.id,
                        class = spec.class,
                        tasks = spec.tasks,
                        node = lease.registration,
                        "job accepted"
                    );
                }
                // Request changes at once, without the usual pause, to read the job's record.
                self.next_follow_at = self.next_follow_at.map(|_| self.now);
                let state = JobState::Queued;
                self.answer(request, Answer::Job { created: true, id: spec.id, state, done: 0, running: 0 });
            }
            StoreReply::Conflict { failed } => {
                let me = records::registration_key(self.own_name());
                if failed.contains(&records::final_state_key(&spec.id)) {
                    let query = self.new_query(request, spec.id, SUBMISSION_TIMEOUT);
                    self.look_up_final(query, IfNotFound::Inconclusive);
                } else if failed.contains(&records::live_job_key(&spec.id)) {
                    let query = self.new_query(request, spec.id, SUBMISSION_TIMEOUT);
                    self.look_up_live(query, LookupGoal::State);
                } else {
                    debug_assert!(failed.contains(&me));
                    self.answer(request, Answer::RetryLater(1));
                }
            }
            _ => self.answer(request, Answer::RetryLater(1)),
        }
    }

    pub(super) fn handle_query(&mut self, request: RequestId, job: String) {
        let query = self.new_query(request, job, QUERY_TIMEOUT);
        if self.answer_if_ended(&query) {
            return;
        }
        if self.phase != Phase::Active || !self.entitled() {
            return self.answer(request, Answer::RetryLater(1));
        }
        if self.jobs.contains_key(&query.job) {
            self.pending_polls.push(query);
            if self.pending_polls.len() > MAX_POLLS {
                self.defer_newest_poll();
            }
        } else if self.accepts_reads() {
            self.look_up_live(query, LookupGoal::State);
        } else {
            self.answer(request, Answer::RetryLater(1));
        }
    }

    /// Defers the poll whose user has waited least.
    fn defer_newest_poll(&mut self) {
        let newest = (0..self.pending_polls.len())
            .max_by_key(|i| (self.submission_limiter.first_asked(self.now, &self.pending_polls[*i].job), *i));
        if let Some(i) = newest {
            let JobQuery { request, job, .. } = self.pending_polls.swap_remove(i);
            self.submission_limiter.query_deferred(self.now, &job);
            self.answer(request, Answer::RetryLater(1));
        }
    }

    /// Checks in one transaction whether the polled jobs are still live. A read for each poll would exceed this
    /// controller's part of the request limit.
    pub(super) fn check_polls(&mut self) {
        if self.pending_polls.is_empty() || self.now < self.next_poll_check_at {
            return;
        }
        self.next_poll_check_at = self.now + MIN_POLL_CHECK_INTERVAL;
        let max_jobs = self.settings.params.state.txn_ops * 4;
        if self.pending_polls.len() > max_jobs {
            let (now, limiter) = (self.now, &self.submission_limiter);
            self.pending_polls.sort_by_cached_key(|q| limiter.first_asked(now, &q.job));
        }
        let mut conditions: BTreeMap<&str, u64> = BTreeMap::new();
        let mut checked = 0;
        for JobQuery { job, .. } in &self.pending_polls {
            if conditions.len() == max_jobs && !conditions.contains_key(job.as_str()) {
                break;
            }
            // No record has this revision, so the condition fails and a job that has ended in the meantime is looked
            // up.
            let revision = self.jobs.get(job).map_or(u64::MAX >> 1, |j| j.accepted_revision);
            conditions.insert(job, revision);
            checked += 1;
        }
        let conditions = conditions
            .into_iter()
            .map(|(job, revision)| Condition::new(records::live_job_key(job), revision));
        let transaction = Transaction { conditions: conditions.collect(), writes: Vec::new() };
        let polls = self.pending_polls.drain(..checked).collect();
        self.enqueue_store_call(Urgency::Other, Purpose::CheckLive { polls }, StoreCall::Commit(transaction));
    }

    pub(super) fn handle_poll_check_reply(&mut self, polls: Vec<JobQuery>, sent: Micros, reply: StoreReply) {
        for query in polls {
            match &reply {
                StoreReply::Committed { .. } => {
                    self.submission_limiter.query_answered(&query.job);
                    self.answer_live(query, sent, None);
                }
                StoreReply::Conflict { failed } if failed.contains(&records::live_job_key(&query.job)) => {
                    self.look_up_final(query, IfNotFound::Inconclusive);
                }
                // A failed transaction shows nothing about the jobs that it does not name; they are checked again.
                StoreReply::Conflict { .. } => self.pending_polls.push(query),
                _ => {
                    self.submission_limiter.query_deferred(self.now, &query.job);
                    self.answer(query.request, Answer::RetryLater(1));
                }
            }
        }
    }

    pub(super) fn handle_withdrawal(&mut self, request: RequestId, job: String) {
        let query = self.new_query(request, job, SUBMISSION_TIMEOUT);
        if self.answer_if_ended(&query) {
            return;
        }
        if !self.entitled() || self.store_calls.waiting_calls(Urgency::Withdrawal) >= MAX_WAITING_WITHDRAWALS
        {
            return self.answer(request, Answer::RetryLater(1));
        }
        self.look_up_live(query, LookupGoal::Withdrawal);
    }

    /// Reads a job's live record.
    fn look_up_live(&mut self, query: JobQuery, goal: LookupGoal) {
        let key = records::live_job_key(&query.job);
        let urgency = if goal == LookupGoal::Withdrawal { Urgency::Withdrawal } else { Urgency::Other };
        self.enqueue_store_call(urgency, Purpose::LookUpLive { query, goal }, StoreCall::Get { key });
    }

    /// Reads a job's final record. `if_not_found` selects the answer if there is none.
    fn look_up_final(&mut self, query: JobQuery, if_not_found: IfNotFound) {
        let key = records::final_state_key(&query.job);
        self.enqueue_store_call(
            Urgency::Acceptance,
            Purpose::LookUpFinal { query, if_not_found },
            StoreCall::Get { key },
        );
    }

    pub(super) fn handle_live_lookup_reply(
        &mut self,
        query: JobQuery,
        goal: LookupGoal,
        sent: Micros,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::Found { value, stamp } if goal == LookupGoal::Withdrawal => {
                let tasks = value.get("Pieces").and_then(|p| p.as_u64()).unwrap_or(0) as u32;
                self.commit_withdrawal(query, stamp, tasks);
            }
            StoreReply::Found { stamp, .. } => self.answer_live(query, sent, Some(stamp)),
            // The job was not live then: it has ended, or was never accepted.
            StoreReply::Missing => self.look_up_final(query, IfNotFound::NeverAccepted { as_of: sent, goal }),
            _ => self.answer(query.request, Answer::RetryLater(1)),
        }
    }

    /// Replaces a job's live record with a final one, provided that it still has `record_revision`.
    fn commit_withdrawal(&mut self, query: JobQuery, record_revision: u64, tasks: u32) {
        let record = FinalRecord { state: FinalState::Withdrawn, tasks };
        let Ok(value) = serde_json::to_value(record) else {
            return self.answer(query.request, Answer::RetryLater(1));
        };
        let transaction = Transaction {
            conditions: vec![
                Condition::new(records::live_job_key(&query.job), record_revision),
                Condition::new(records::final_state_key(&query.job), 0),
                self.registration_condition(),
            ],
            writes: vec![
                Write::delete(records::live_job_key(&query.job)),
                Write::put(records::final_state_key(&query.job), value),
            ],
        };
        self.enqueue_store_call(
            Urgency::Withdrawal,
            Purpose::Withdraw { query, tasks },
            StoreCall::Commit(transaction),
        );
    }

    pub(super) fn handle_final_lookup_reply(
        &mut self,
        query: JobQuery,
        if_not_found: IfNotFound,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::Found { value, stamp } => match serde_json::from_value::<FinalRecord>(value) {
                Ok(record) => {
                    self.record_end(&query.job, record, stamp, EndSource::Records);
                    self.retire(&query.job);
                    self.answer_if_ended(&query);
                }
                Err(_) => self.answer(query.request, Answer::RetryLater(1)),
            },
            StoreReply::Missing => match if_not_found {
                // A job was never accepted only if it was not live, and after that had no final record either. Without
                // the first check, a withdrawal that failed because its controller had been evicted was answered with
                // 404.
                IfNotFound::NeverAccepted { as_of, goal } if self.is_recent(as_of) => {
                    let answer = match goal {
                        LookupGoal::Rejection(why) => Answer::Rejected(why),
                        _ => Answer::NotFound,
                    };
                    self.answer(query.request, answer);
                }
                IfNotFound::NeverAccepted { goal, .. } if self.now < query.deadline => {
                    self.look_up_live(query, goal);
                }
                _ => self.answer(query.request, Answer::RetryLater(1)),
            },
            _ => self.answer(query.request, Answer::RetryLater(1)),
        }
    }

    pub(super) fn handle_withdraw_reply(&mut self, query: JobQuery, tasks: u32, reply: StoreReply) {
        match reply {
            StoreReply::Committed { revision } => {
                let end = FinalRecord { state: FinalState::Withdrawn, tasks };
                self.record_end(&query.job, end, revision, EndSource::Records);
                // The job's tasks are stopped wherever they are found, because no live job has them.
                self.retire(&query.job);
                self.answer_if_ended(&query);
            }
            StoreReply::Conflict { .. } => self.look_up_final(query, IfNotFound::Inconclusive),
            _ => self.answer(query.request, Answer::RetryLater(1)),
        }
    }

    /// Answers a query about a job that the state service showed as live, in reply to a request sent at `sent`.
    /// `record_revision` is the revision of the job's record, if the reply contains it.
    fn answer_live(&mut self, query: JobQuery, sent: Micros, record_revision: Option<u64>) {
        if self.answer_if_ended(&query) {
            return;
        }
        match self.liveness(&query.job, sent, record_revision) {
            Liveness::Live => {
                let answer = self.build_live_answer(&query.job);
                self.answer(query.request, answer);
            }
            Liveness::Ended => self.look_up_final(query, IfNotFound::Inconclusive),
            Liveness::Uncertain if self.now < query.deadline && self.entitled() => {
                if self.jobs.contains_key(&query.job) {
                    self.pending_polls.push(query);
                } else {
                    self.look_up_live(query, LookupGoal::State);
                }
            }
            Liveness::Uncertain => self.answer(query.request, Answer::RetryLater(1)),
        }
    }

    /// The state of a live job. Its task counts are for display only.
    fn build_live_answer(&self, id: &str) -> Answer {
        let Some(job) = self.jobs.get(id) else {
            return Answer::Job {
                created: false,
                id: id.to_owned(),
                state: JobState::Queued,
                done: 0,
                running: 0,
            };
        };
        let running = job.placements.iter().filter(|(index, machines)| {
            let task = crate::protocol::worker::TaskId::new(id, **index);
            let mut tasks = machines.iter().filter_map(|m| self.machines.get(m)?.tasks.get(&task));
            tasks.any(|t| t.state == TaskState::Running && t.pending.is_none())
        });
        let running = running.count() as u32;
        let state = if running > 0 { JobState::Running } else { JobState::Queued };
        Answer::Job { created: false, id: id.to_owned(), state, done: job.done.len(), running }
    }
}
