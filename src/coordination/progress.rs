//! Recording the completed tasks of own jobs.

use crate::bookkeeping::call_queue::Urgency;
use crate::bookkeeping::records::{self, FinalRecord};
use crate::coordination::final_states::EndSource;
use crate::coordination::{Controller, Purpose, backoff_policies};
use crate::protocol::job::{FinalState, Shape};
use crate::protocol::store::{Condition, StoreCall, StoreReply, Transaction, Write};
use crate::protocol::units::Micros;
use crate::protocol::worker::TaskId;

/// Maximum part of a controller's writes that records the progress of its jobs.
const PROGRESS_WRITE_SHARE: f64 = 0.3;

impl Controller {
    /// Records in memory that a task has completed, as its worker reported to the machine's owner.
    ///
    /// Only the job's owner does so, because it alone writes the record. If the leader counted a completion that the
    /// owner does not know because it was lost with its machine, it would never again give the job a volume for that
    /// task.
    pub(super) fn record_completion(&mut self, task: &TaskId) {
        let me = self.settings.member.clone();
        if let Some(job) = self.jobs.get_mut(&task.job).filter(|j| j.owner.as_ref() == Some(&me)) {
            let new = job.mark_completed(task.index);
            if new && job.unfinished() == 0 {
                self.next_progress_flush_at = self.now;
            }
        }
    }

    /// Writes records of completions: of jobs that are done at once, of others in batches.
    pub(super) fn flush_progress(&mut self) {
        if self.now < self.next_progress_flush_at || !self.entitled() || !self.is_view_member {
            return;
        }
        self.next_progress_flush_at = self.now + Micros::from_millis(100);
        let me = self.settings.member.clone();
        let now = self.now;
        // Workers keep ended tasks until their completions are recorded, so no completion is lost if many jobs take
        // turns.
        let jobs_with_progress =
            self.jobs.values().filter(|j| !j.dirty_chunks.is_empty() && j.owner.as_deref() == Some(&me));
        let cycle_s =
            jobs_with_progress.count() as f64 / (self.store_calls.writes_per_s() * PROGRESS_WRITE_SHARE);
        let spacing = Micros::from_secs_f64(cycle_s).max(Micros::from_millis(1_500));
        let due: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.completion_in_flight && (!j.dirty_chunks.is_empty() || j.unfinished() == 0))
            .filter(|(_, j)| j.owner.as_deref() == Some(&me))
            .filter(|(_, j)| match j.unfinished() {
                0 => j.completion_backoff.ready(now),
                _ => {
                    !j.dirty_chunks.is_empty()
                        && !j.progress_write_in_flight
                        && j.next_progress_write_at <= now
                }
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let registration = self.registration_condition();
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let live = Condition::new(records::live_job_key(&id), job.accepted_revision);
            if job.unfinished() == 0 && job.spec.shape != Shape::Service {
                job.completion_in_flight = true;
                let tasks = job.spec.tasks;
                let record = FinalRecord { state: FinalState::Done, tasks };
                let Ok(value) = serde_json::to_value(record) else { continue };
                let transaction = Transaction {
                    conditions: vec![live, Condition::new(records::final_state_key(&id), 0), registration],
                    writes: vec![
                        Write::delete(records::live_job_key(&id)),
                        Write::put(records::final_state_key(&id), value),
                    ],
                };
                self.enqueue_store_call(
                    Urgency::Completion,
                    Purpose::Complete { job: id, tasks },
                    StoreCall::Commit(transaction),
                );
            } else if let Some(chunk) = job.dirty_chunks.pop_first() {
                job.progress_write_in_flight = true;
                job.next_progress_write_at = now + spacing;
                let value = job.done.encode_chunk(chunk);
                let key = records::completions_key(&id, chunk);
                let recorded = self.done_keys.get(&id).and_then(|c| c.get(&chunk)).copied().unwrap_or(0);
                let transaction = Transaction {
                    conditions: vec![live, Condition::new(key.clone(), recorded), registration],
                    writes: vec![Write::put(key, value)],
                };
                self.enqueue_store_call(
                    Urgency::Other,
                    Purpose::Progress { job: id, chunk },
                    StoreCall::Commit(transaction),
                );
            }
        }
    }

    pub(super) fn handle_complete_reply(&mut self, id: String, tasks: u32, reply: StoreReply) {
        match reply {
            StoreReply::Committed { revision } => {
                let end = FinalRecord { state: FinalState::Done, tasks };
                self.record_end(&id, end, revision, EndSource::Records);
                // Does nothing if the change has already been applied.
                self.retire(&id);
                tracing::debug!(job = id, "job done");
                self.schedule_round();
            }
            // The job was withdrawn, or this controller's registration has ended; the changes of the records will show
            // it.
            _ => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.completion_in_flight = false;
                    job.completion_backoff.failed(self.now, &backoff_policies::COMPLETE, &mut self.rng);
                }
            }
        }
    }

    pub(super) fn handle_progress_reply(&mut self, id: String, chunk: usize, reply: StoreReply) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.progress_write_in_flight = false;
            if !matches!(reply, StoreReply::Committed { .. }) {
                job.dirty_chunks.insert(chunk);
            }
        }
    }
}
