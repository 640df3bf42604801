//! What an owner's jobs complete, and the record of it.

use crate::bookkeeping::budget::Urgency;
use crate::bookkeeping::records::{self, FinalRecord};
use crate::coordination::finals::Source;
use crate::coordination::{Controller, Purpose, rules};
use crate::protocol::job::{FinalState, Shape};
use crate::protocol::store::{Condition, StoreCall, StoreReply, Transaction, Write};
use crate::protocol::units::Micros;
use crate::protocol::worker::TaskId;

/// What part of a controller's changes records the progress of its jobs, at most.
const PROGRESS_SHARE: f64 = 0.3;

impl Controller {
    /// A task has completed, as its machine's owner has it from the worker.
    ///
    /// Only the job's owner notes it: it alone records it, and a leader that knew better than the
    /// owner would give a job whose completion was lost with its machine no volume ever again.
    pub(super) fn completed(&mut self, task: &TaskId) {
        let me = self.settings.member.clone();
        if let Some(job) = self.jobs.get_mut(&task.job).filter(|j| j.owner.as_ref() == Some(&me)) {
            let new = job.complete(task.index);
            if new && job.unfinished() == 0 {
                self.flush_at = self.now;
            }
        }
    }

    /// Records completions: a job that is done at once, others in batches.
    pub(super) fn flush_progress(&mut self) {
        if self.now < self.flush_at || !self.entitled() || !self.placing {
            return;
        }
        self.flush_at = self.now + Micros::from_millis(100);
        let me = self.settings.member.clone();
        let now = self.now;
        // Nothing is lost while what has ended waits for its record, so many jobs take turns.
        let dirty = self.jobs.values().filter(|j| !j.dirty.is_empty() && j.owner.as_deref() == Some(&me));
        let turn = dirty.count() as f64 / (self.calls.writes_per_s() * PROGRESS_SHARE);
        let spacing = Micros::from_secs_f64(turn).max(Micros::from_millis(1_500));
        let mine: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.completing && (!j.dirty.is_empty() || j.unfinished() == 0))
            .filter(|(_, j)| j.owner.as_deref() == Some(&me))
            .filter(|(_, j)| match j.unfinished() {
                0 => j.ending.ready(now),
                _ => !j.dirty.is_empty() && !j.writing && j.progress_at <= now,
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in mine {
            let entitlement = self.entitlement();
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let live = Condition::new(records::live(&id), job.stamp);
            if job.unfinished() == 0 && job.spec.shape != Shape::Service {
                job.completing = true;
                let tasks = job.spec.tasks;
                let record = FinalRecord { state: FinalState::Done, tasks };
                let Ok(value) = serde_json::to_value(record) else { continue };
                let transaction = Transaction {
                    conditions: vec![live, Condition::new(records::finished(&id), 0), entitlement],
                    writes: vec![
                        Write::delete(records::live(&id)),
                        Write::put(records::finished(&id), value),
                    ],
                };
                self.store(
                    Urgency::Completion,
                    Purpose::Complete { job: id, tasks },
                    StoreCall::Commit(transaction),
                );
            } else if let Some(chunk) = job.dirty.pop_first() {
                job.writing = true;
                job.progress_at = now + spacing;
                let value = job.done.chunk(chunk);
                let key = records::done_chunk(&id, chunk);
                let known = self.done_keys.get(&id).and_then(|c| c.get(&chunk)).copied().unwrap_or(0);
                let transaction = Transaction {
                    conditions: vec![live, Condition::new(key.clone(), known), entitlement],
                    writes: vec![Write::put(key, value)],
                };
                self.store(
                    Urgency::Rest,
                    Purpose::Progress { job: id, chunk },
                    StoreCall::Commit(transaction),
                );
            }
        }
    }

    pub(super) fn complete_replied(&mut self, id: String, tasks: u32, reply: StoreReply) {
        match reply {
            StoreReply::Committed { revision } => {
                let end = FinalRecord { state: FinalState::Done, tasks };
                self.learned_end(&id, end, revision, Source::Records);
                // Its change may have been followed before.
                self.retire(&id);
                tracing::debug!(job = id, "done");
                self.soon_round();
            }
            // Withdrawn in the meantime, or this controller's word no longer counts: the watch tells.
            _ => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.completing = false;
                    job.ending.failed(self.now, &rules::COMPLETE, &mut self.rng);
                }
            }
        }
    }

    pub(super) fn progress_replied(&mut self, id: String, chunk: usize, reply: StoreReply) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.writing = false;
            if !matches!(reply, StoreReply::Committed { .. }) {
                job.dirty.insert(chunk);
            }
        }
    }
}
