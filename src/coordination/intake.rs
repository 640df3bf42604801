//! Users' requests. Any controller serves them: the state service decides, not the one asked.

use std::collections::BTreeMap;

use marblewalk_admission::submission_limiter::SubmissionDecision;
use rand::RngExt;

use crate::bookkeeping::budget::Urgency;
use crate::bookkeeping::records::{self, FinalRecord};
use crate::coordination::finals::Source;
use crate::coordination::knowledge::Liveness;
use crate::coordination::{Answer, Controller, Missing, Phase, Purpose, Question, RequestId, Wanted};
use crate::protocol::job::{FinalState, JobSpec, JobState};
use crate::protocol::store::{Condition, StoreCall, StoreReply, Transaction, Write};
use crate::protocol::units::Micros;
use crate::protocol::worker::TaskState;

/// Least time between two checks of the jobs that users have asked about.
const POLL_SPACING: Micros = Micros::from_millis(200);
/// Reads that may wait for the state service before further ones are sent away.
const MOST_READS: usize = 40;
/// Withdrawals that may.
const MOST_WITHDRAWALS: usize = 200;
/// How long a user waits: for an answer to a question, and to a submission or a withdrawal, less the time on the way.
const ASKED_PATIENCE: Micros = Micros::from_millis(1_700);
const SUBMITTED_PATIENCE: Micros = Micros::from_millis(3_300);
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

    /// What a user asks of a job, who waits so long.
    fn question(&self, request: RequestId, job: String, patience: Micros) -> Question {
        Question { request, job, until: self.now + patience }
    }

    /// The job's end, as it is told to a user; and whether there was one to tell.
    fn answer_known_end(&mut self, q: &Question) -> bool {
        let Some((state, tasks)) = self.finals.get(&q.job) else { return false };
        self.answer_end(q.request, &q.job, state, tasks, q.until);
        true
    }

    pub(super) fn submitted(&mut self, request: RequestId, spec: Box<JobSpec>) {
        let question = self.question(request, spec.id.clone(), SUBMITTED_PATIENCE);
        if self.answer_known_end(&question) {
            return;
        }
        if !self.entitled() || self.types.is_empty() {
            return self.turn_all_away(request);
        }
        if self.jobs.contains_key(&spec.id) {
            // Known here, but it may be over by now: the store says.
            return self.look_live(question, Wanted::State);
        }
        if let Some(why) = self.impossible(&spec) {
            tracing::debug!(job = spec.id, why, "cannot run");
            // One accepted by another controller must not be refused here, whatever has changed since.
            if self.open_for_reads() {
                return self.look_live(question, Wanted::Refusal(why));
            }
            return self.answer(request, Answer::Later(1));
        }
        let Ok(value) = serde_json::to_value(&*spec) else {
            return self.answer(request, Answer::Later(1));
        };
        let size = value.to_string().len();
        if size as f64 > self.settings.params.state.value_kb * 1024.0 - 64.0 {
            return self.answer(request, Answer::Impossible("the description is too long to keep"));
        }
        let capacity = self.capacity();
        let verdict = self.door.decide(self.now, &spec.id, &spec.team, &spec.class, capacity);
        if let SubmissionDecision::RetryLater(reason, wait) = verdict {
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
            spec.machine_types.as_ref().is_none_or(|names| names.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
        };
        if !self.types.values().filter(allowed).any(|t| need.fits(t.supply())) {
            return Some("no allowed machine type is large enough for a task");
        }
        let together = u64::from(spec.min_tasks());
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
                    let question = self.question(request, spec.id, SUBMITTED_PATIENCE);
                    self.look_final(question, Missing::Nothing);
                } else if failed.contains(&records::live(&spec.id)) {
                    let question = self.question(request, spec.id, SUBMITTED_PATIENCE);
                    self.look_live(question, Wanted::State);
                } else {
                    debug_assert!(failed.contains(&me));
                    self.answer(request, Answer::Later(1));
                }
            }
            _ => self.answer(request, Answer::Later(1)),
        }
    }

    pub(super) fn queried(&mut self, request: RequestId, job: String) {
        let question = self.question(request, job, ASKED_PATIENCE);
        if self.answer_known_end(&question) {
            return;
        }
        if self.phase != Phase::Active || !self.entitled() {
            return self.answer(request, Answer::Later(1));
        }
        if self.jobs.contains_key(&question.job) {
            self.polls.push(question);
            if self.polls.len() > MOST_POLLS {
                self.turn_a_poll_away();
            }
        } else if self.open_for_reads() {
            self.look_live(question, Wanted::State);
        } else {
            self.answer(request, Answer::Later(1));
        }
    }

    /// Of more questions than can be answered, the one whose user has waited least is turned away.
    fn turn_a_poll_away(&mut self) {
        let newest =
            (0..self.polls.len()).max_by_key(|i| (self.door.first_asked(self.now, &self.polls[*i].job), *i));
        if let Some(i) = newest {
            let Question { request, job, .. } = self.polls.swap_remove(i);
            self.door.query_rejected(self.now, &job);
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
            self.polls.sort_by_cached_key(|q| door.first_asked(now, &q.job));
        }
        let mut conditions: BTreeMap<&str, u64> = BTreeMap::new();
        let mut asked = 0;
        for Question { job, .. } in &self.polls {
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

    pub(super) fn checked_live(&mut self, polls: Vec<Question>, sent: Micros, reply: StoreReply) {
        for question in polls {
            match &reply {
                StoreReply::Committed { .. } => {
                    self.door.query_answered(&question.job);
                    self.answer_live(question, sent, None);
                }
                StoreReply::Conflict { failed } if failed.contains(&records::live(&question.job)) => {
                    self.look_final(question, Missing::Nothing);
                }
                // Nothing was said of the others: they are asked about again.
                StoreReply::Conflict { .. } => self.polls.push(question),
                _ => {
                    self.door.query_rejected(self.now, &question.job);
                    self.answer(question.request, Answer::Later(1));
                }
            }
        }
    }

    pub(super) fn withdrawal(&mut self, request: RequestId, job: String) {
        let question = self.question(request, job, SUBMITTED_PATIENCE);
        if self.answer_known_end(&question) {
            return;
        }
        if !self.entitled() || self.calls.waiting(Urgency::Withdrawal) >= MOST_WITHDRAWALS {
            return self.answer(request, Answer::Later(1));
        }
        self.look_live(question, Wanted::Withdrawal);
    }

    fn look_live(&mut self, question: Question, wanted: Wanted) {
        let key = records::live(&question.job);
        let urgency = if wanted == Wanted::Withdrawal { Urgency::Withdrawal } else { Urgency::Rest };
        self.store(urgency, Purpose::LookLive { question, wanted }, StoreCall::Get { key });
    }

    fn look_final(&mut self, question: Question, missing: Missing) {
        let key = records::finished(&question.job);
        self.store(Urgency::Acceptance, Purpose::LookFinal { question, missing }, StoreCall::Get { key });
    }

    pub(super) fn looked_live(
        &mut self,
        question: Question,
        wanted: Wanted,
        sent: Micros,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::Found { value, stamp } if wanted == Wanted::Withdrawal => {
                let tasks = value.get("Pieces").and_then(|p| p.as_u64()).unwrap_or(0) as u32;
                self.withdraw(question, stamp, tasks);
            }
            StoreReply::Found { stamp, .. } => self.answer_live(question, sent, Some(stamp)),
            // Not live at that moment: then it is over, or was never accepted.
            StoreReply::Missing => self.look_final(question, Missing::Unknown { as_of: sent, wanted }),
            _ => self.answer(question.request, Answer::Later(1)),
        }
    }

    fn withdraw(&mut self, question: Question, stamp: u64, tasks: u32) {
        let record = FinalRecord { state: FinalState::Withdrawn, tasks };
        let Ok(value) = serde_json::to_value(record) else {
            return self.answer(question.request, Answer::Later(1));
        };
        let transaction = Transaction {
            conditions: vec![
                Condition::new(records::live(&question.job), stamp),
                Condition::new(records::finished(&question.job), 0),
                self.entitlement(),
            ],
            writes: vec![
                Write::delete(records::live(&question.job)),
                Write::put(records::finished(&question.job), value),
            ],
        };
        self.store(
            Urgency::Withdrawal,
            Purpose::Withdraw { question, tasks },
            StoreCall::Commit(transaction),
        );
    }

    pub(super) fn looked_final(&mut self, question: Question, missing: Missing, reply: StoreReply) {
        match reply {
            StoreReply::Found { value, stamp } => match serde_json::from_value::<FinalRecord>(value) {
                Ok(record) => {
                    self.learned_end(&question.job, record, stamp, Source::Records);
                    self.retire(&question.job);
                    self.answer_known_end(&question);
                }
                Err(_) => self.answer(question.request, Answer::Later(1)),
            },
            StoreReply::Missing => match missing {
                // Only one that was not live, and was not over either afterwards, had never been accepted by then. A
                // withdrawal that failed because its controller had been evicted was looked up here, and answered with
                // 404.
                Missing::Unknown { as_of, wanted } if self.recent(as_of) => {
                    let answer = match wanted {
                        Wanted::Refusal(why) => Answer::Impossible(why),
                        _ => Answer::NotFound,
                    };
                    self.answer(question.request, answer);
                }
                Missing::Unknown { wanted, .. } if self.now < question.until => {
                    self.look_live(question, wanted);
                }
                _ => self.answer(question.request, Answer::Later(1)),
            },
            _ => self.answer(question.request, Answer::Later(1)),
        }
    }

    pub(super) fn withdraw_replied(&mut self, question: Question, tasks: u32, reply: StoreReply) {
        match reply {
            StoreReply::Committed { revision } => {
                let end = FinalRecord { state: FinalState::Withdrawn, tasks };
                self.learned_end(&question.job, end, revision, Source::Records);
                // Its tasks are ended wherever they are found, for no live job has them.
                self.retire(&question.job);
                self.answer_known_end(&question);
            }
            StoreReply::Conflict { .. } => self.look_final(question, Missing::Nothing),
            _ => self.answer(question.request, Answer::Later(1)),
        }
    }

    /// Tells of a job that the store has shown to be live, by a request sent then; `stamp`: of its record, where the
    /// reply names it.
    fn answer_live(&mut self, question: Question, sent: Micros, stamp: Option<u64>) {
        if self.answer_known_end(&question) {
            return;
        }
        match self.liveness(&question.job, sent, stamp) {
            Liveness::Live => {
                let answer = self.live_answer(&question.job);
                self.answer(question.request, answer);
            }
            Liveness::Left => self.look_final(question, Missing::Nothing),
            Liveness::Uncertain if self.now < question.until && self.entitled() => {
                if self.jobs.contains_key(&question.job) {
                    self.polls.push(question);
                } else {
                    self.look_live(question, Wanted::State);
                }
            }
            Liveness::Uncertain => self.answer(question.request, Answer::Later(1)),
        }
    }

    /// The state of a job that is live. Its counts are for display.
    fn live_answer(&self, id: &str) -> Answer {
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
