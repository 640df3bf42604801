//! Users' requests. Any controller serves them: the state service decides, not the one asked.

use std::collections::BTreeMap;

use marblewalk_admission::door::Verdict;
use rand::RngExt;

use crate::bookkeeping::budget::Urgency;
use crate::bookkeeping::records::{self, FinalRecord};
use crate::coordination::{Answer, Controller, Phase, Purpose, RequestId};
use crate::protocol::job::{Final, JobSpec, JobState};
use crate::protocol::store::{Condition, StoreCall, StoreReply, Transaction, Write};
use crate::protocol::units::Micros;
use crate::protocol::worker::TaskState;

/// Least time between two checks of the jobs that users have asked about.
const POLL_SPACING: Micros = Micros::from_millis(200);
/// Reads that may wait for the state service before further ones are sent away.
const MOST_READS: usize = 40;
/// Withdrawals that may.
const MOST_WITHDRAWALS: usize = 200;
/// Users' questions that may wait for the next check.
const MOST_POLLS: usize = 400;

impl Controller {
    /// Whether a read for a user is worth making: it would be answered before the user gives up.
    fn open_for_reads(&self) -> bool {
        self.entitled() && self.calls.reads_waiting() < MOST_READS
    }

    /// Nobody can be served, whoever it is: users come back spread over some seconds.
    fn turn_all_away(&mut self, request: RequestId) {
        let seconds = self.rng.random_range(1..=4);
        self.answer(request, Answer::Later(seconds));
    }

    pub(super) fn submitted(&mut self, request: RequestId, spec: Box<JobSpec>) {
        if let Some((state, tasks)) = self.finals.get(&spec.id) {
            return self.answer(request, final_answer(&spec.id, state, tasks));
        }
        if !self.entitled() || self.types.is_empty() {
            return self.turn_all_away(request);
        }
        if self.jobs.contains_key(&spec.id) {
            // Known here, but it may be over by now: the store says.
            return self.look_live(request, spec.id.clone(), false);
        }
        if let Some(why) = self.impossible(&spec) {
            // A job accepted earlier must not be refused now, whatever has changed since.
            tracing::debug!(job = spec.id, why, "cannot run");
            return self.answer(request, Answer::Impossible(why));
        }
        let Ok(value) = serde_json::to_value(&*spec) else {
            return self.answer(request, Answer::Later(1));
        };
        let size = value.to_string().len();
        if size as f64 > self.settings.params.state.value_kb * 1024.0 - 64.0 {
            return self.answer(request, Answer::Impossible("the description is too long to keep"));
        }
        let capacity = self.capacity();
        let verdict = self.door.offer(self.now, &spec.id, &spec.team, &spec.class, capacity);
        if let Verdict::Turned(reason, wait) = verdict {
            tracing::debug!(job = spec.id, class = spec.class, ?reason, "turned away");
            let seconds = (wait.as_secs_f64().ceil() as u32).clamp(1, 30);
            return self.answer(request, Answer::Later(seconds));
        }
        let transaction = Transaction {
            conditions: vec![
                Condition::new(records::live(&spec.id), 0),
                Condition::new(records::finished(&spec.id), 0),
                self.entitlement(),
            ],
            writes: vec![Write::put(records::live(&spec.id), value)],
        };
        let purpose = Purpose::Accept { request, spec };
        self.store(Urgency::Acceptance, purpose, StoreCall::Commit(transaction));
    }

    /// Why a job can never run here, if so.
    fn impossible(&self, spec: &JobSpec) -> Option<&'static str> {
        let params = &self.settings.params;
        let Some(team) = params.teams.iter().find(|t| t.name == spec.team) else {
            return Some("unknown team");
        };
        let need = spec.need();
        let allowed = |t: &&crate::protocol::cloud::MachineType| {
            spec.types.as_ref().is_none_or(|names| names.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
        };
        if !self.types.values().filter(allowed).any(|t| need.fits(t.supply())) {
            return Some("no allowed machine type is large enough for a task");
        }
        let together = u64::from(spec.floor());
        let over = |each: u64, limit: f64| limit > 0.0 && (each * together) as f64 > limit * 1e3 + 1e-6;
        if over(need.cpu, team.cpus_max) || over(need.gpu, team.gpus_max) {
            return Some("more than the team's limit");
        }
        if spec.spread && (spec.one_zone || spec.zone.is_some()) && together > 1 {
            return Some("tasks that must run together can't be both apart and in one zone");
        }
        None
    }

    pub(super) fn accept_replied(&mut self, request: RequestId, spec: JobSpec, reply: StoreReply) {
        match reply {
            StoreReply::Committed { .. } => {
                self.counters.accepted += 1;
                if let Some(lease) = &self.lease {
                    tracing::debug!(
                        job = spec.id,
                        class = spec.class,
                        tasks = spec.tasks,
                        node = lease.stamp,
                        "accepted"
                    );
                }
                // The watch will bring it; ask at once rather than after the usual pause.
                self.follow_at = self.follow_at.map(|_| self.now);
                let state = JobState::Queued;
                self.answer(request, Answer::Job { created: true, id: spec.id, state, done: 0, running: 0 });
            }
            StoreReply::Conflict { failed } => {
                let me = records::node(self.me());
                if failed.contains(&records::finished(&spec.id)) {
                    self.look_final(request, spec.id, true);
                } else if failed.contains(&records::live(&spec.id)) {
                    let answer = self.live_answer(&spec.id);
                    self.answer(request, answer);
                } else {
                    debug_assert!(failed.contains(&me));
                    self.answer(request, Answer::Later(1));
                }
            }
            _ => self.answer(request, Answer::Later(1)),
        }
    }

    pub(super) fn queried(&mut self, request: RequestId, job: String) {
        if let Some((state, tasks)) = self.finals.get(&job) {
            return self.answer(request, final_answer(&job, state, tasks));
        }
        if self.phase != Phase::Active || !self.entitled() {
            return self.answer(request, Answer::Later(1));
        }
        if self.jobs.contains_key(&job) {
            self.polls.push((request, job));
            if self.polls.len() > MOST_POLLS {
                self.turn_a_poll_away();
            }
        } else if self.open_for_reads() {
            self.look_live(request, job, false);
        } else {
            self.answer(request, Answer::Later(1));
        }
    }

    /// Of more questions than can be answered, the one whose user has waited least is turned away.
    fn turn_a_poll_away(&mut self) {
        let newest = (0..self.polls.len()).max_by_key(|i| (self.door.asked(self.now, &self.polls[*i].1), *i));
        if let Some(i) = newest {
            let (request, job) = self.polls.swap_remove(i);
            self.door.unanswered(self.now, &job);
            self.answer(request, Answer::Later(1));
        }
    }

    /// Asks the store whether the jobs that users have asked about are still live, many at a time: a
    /// read for every poll would take more than this controller's part of the requests.
    pub(super) fn check_polls(&mut self) {
        if self.polls.is_empty() || self.now < self.polls_at {
            return;
        }
        self.polls_at = self.now + POLL_SPACING;
        let most = self.settings.params.state.txn_ops * 4;
        if self.polls.len() > most {
            let (now, door) = (self.now, &self.door);
            self.polls.sort_by_cached_key(|(_, job)| door.asked(now, job));
        }
        let mut conditions: BTreeMap<&str, u64> = BTreeMap::new();
        let mut asked = 0;
        for (_, job) in &self.polls {
            if conditions.len() == most && !conditions.contains_key(job.as_str()) {
                break;
            }
            // No key has this stamp: a job that has gone in the meantime is looked up.
            let stamp = self.jobs.get(job).map_or(u64::MAX >> 1, |j| j.stamp);
            conditions.insert(job, stamp);
            asked += 1;
        }
        let conditions = conditions.into_iter().map(|(job, stamp)| Condition::new(records::live(job), stamp));
        let transaction = Transaction { conditions: conditions.collect(), writes: Vec::new() };
        let polls = self.polls.drain(..asked).collect();
        self.store(Urgency::Rest, Purpose::CheckLive { polls }, StoreCall::Commit(transaction));
    }

    pub(super) fn checked_live(&mut self, polls: Vec<(RequestId, String)>, reply: StoreReply) {
        for (request, job) in polls {
            match &reply {
                StoreReply::Committed { .. } => {
                    self.door.answered(&job);
                    let answer = self.live_answer(&job);
                    self.answer(request, answer);
                }
                StoreReply::Conflict { failed } if failed.contains(&records::live(&job)) => {
                    self.look_final(request, job, true);
                }
                // Nothing was said of the others: they are asked about again.
                StoreReply::Conflict { .. } => self.polls.push((request, job)),
                _ => {
                    self.door.unanswered(self.now, &job);
                    self.answer(request, Answer::Later(1));
                }
            }
        }
    }

    pub(super) fn withdrawal(&mut self, request: RequestId, job: String) {
        if let Some((state, tasks)) = self.finals.get(&job) {
            return self.answer(request, final_answer(&job, state, tasks));
        }
        if !self.entitled() || self.calls.waiting(Urgency::Withdrawal) >= MOST_WITHDRAWALS {
            return self.answer(request, Answer::Later(1));
        }
        self.look_live(request, job, true);
    }

    fn look_live(&mut self, request: RequestId, job: String, withdraw: bool) {
        let key = records::live(&job);
        let urgency = if withdraw { Urgency::Withdrawal } else { Urgency::Rest };
        self.store(urgency, Purpose::LookLive { request, job, withdraw }, StoreCall::Get { key });
    }

    fn look_final(&mut self, request: RequestId, job: String, known: bool) {
        let key = records::finished(&job);
        self.store(Urgency::Acceptance, Purpose::LookFinal { request, job, known }, StoreCall::Get { key });
    }

    pub(super) fn looked_live(&mut self, request: RequestId, job: String, withdraw: bool, reply: StoreReply) {
        match reply {
            StoreReply::Found { .. } if !withdraw => {
                let answer = self.live_answer(&job);
                self.answer(request, answer);
            }
            StoreReply::Found { value, stamp } => {
                let tasks = value.get("Pieces").and_then(|p| p.as_u64()).unwrap_or(0) as u32;
                let record = FinalRecord { state: Final::Withdrawn, tasks };
                let Ok(value) = serde_json::to_value(record) else {
                    return self.answer(request, Answer::Later(1));
                };
                let transaction = Transaction {
                    conditions: vec![
                        Condition::new(records::live(&job), stamp),
                        Condition::new(records::finished(&job), 0),
                        self.entitlement(),
                    ],
                    writes: vec![
                        Write::delete(records::live(&job)),
                        Write::put(records::finished(&job), value),
                    ],
                };
                let purpose = Purpose::Withdraw { request, job, tasks };
                self.store(Urgency::Withdrawal, purpose, StoreCall::Commit(transaction));
            }
            // Not live at that moment: then it is over, or was never accepted.
            StoreReply::Missing => self.look_final(request, job, false),
            _ => self.answer(request, Answer::Later(1)),
        }
    }

    pub(super) fn looked_final(&mut self, request: RequestId, job: String, known: bool, reply: StoreReply) {
        match reply {
            StoreReply::Found { value, .. } => match serde_json::from_value::<FinalRecord>(value) {
                Ok(record) => {
                    self.finals.insert(&job, record.state, record.tasks);
                    self.answer(request, final_answer(&job, record.state, record.tasks));
                }
                Err(_) => self.answer(request, Answer::Later(1)),
            },
            // Only one that was not live just before, and is not over either, has never been accepted. A withdrawal
            // that failed because its controller had been evicted was looked up here, and answered with 404.
            StoreReply::Missing if !known => self.answer(request, Answer::NotFound),
            _ => self.answer(request, Answer::Later(1)),
        }
    }

    pub(super) fn withdraw_replied(
        &mut self,
        request: RequestId,
        job: String,
        tasks: u32,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::Committed { revision } => {
                self.recorded_final(&job, Final::Withdrawn, tasks, revision);
                // Its tasks are ended wherever they are found, for no live job has them.
                self.retire(&job);
                self.follow_at = self.follow_at.map(|_| self.now);
                self.answer(request, final_answer(&job, Final::Withdrawn, tasks));
            }
            StoreReply::Conflict { .. } => self.look_final(request, job, true),
            _ => self.answer(request, Answer::Later(1)),
        }
    }

    /// The state of a job that the store has shown to be live. Its counts are for display.
    ///
    /// A slow store's answer may be older than what is known by now: a user whose withdrawal another had confirmed
    /// meanwhile was told that the job runs.
    fn live_answer(&self, id: &str) -> Answer {
        if let Some((state, tasks)) = self.finals.get(id) {
            return final_answer(id, state, tasks);
        }
        let Some(job) = self.jobs.get(id) else {
            return Answer::Job {
                created: false,
                id: id.to_owned(),
                state: JobState::Queued,
                done: 0,
                running: 0,
            };
        };
        let running = job.on.iter().filter(|(index, places)| {
            let task = crate::protocol::worker::TaskId::new(id, **index);
            let mut tasks = places.iter().filter_map(|m| self.machines.get(m)?.tasks.get(&task));
            tasks.any(|t| t.state == TaskState::Running && t.pending.is_none())
        });
        let running = running.count() as u32;
        let state = if running > 0 { JobState::Running } else { JobState::Queued };
        Answer::Job { created: false, id: id.to_owned(), state, done: job.done.len(), running }
    }
}

fn final_answer(id: &str, state: Final, tasks: u32) -> Answer {
    let done = if state == Final::Done { tasks } else { 0 };
    Answer::Job { created: false, id: id.to_owned(), state: JobState::Final(state), done, running: 0 }
}
