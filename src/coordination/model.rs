//! A controller's state for each job and each machine.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use marblewalk_admission::pool::Turn;
use marblewalk_delivery::DeliveryMonitor;
use marblewalk_retry::Backoff;

use crate::bookkeeping::records::{BlockRow, TaskSet};
pub use crate::coordination::pending_start::PendingStart;
use crate::coordination::quota::{ActivePermit, Permit};
use crate::coordination::wait_reasons::JobWait;
use crate::protocol::job::{JobSpec, Shape};
use crate::protocol::units::{Micros, Resources};
use crate::protocol::worker::{Cause, TaskId, TaskState};

/// A live job: its description, its progress and the machines that its tasks are on.
#[derive(Debug)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    /// Revision of the transaction that accepted the job.
    pub accepted_revision: u64,
    /// When this controller first read the job's record.
    pub known_since: Micros,
    /// The controller that places the job's tasks; `None` while there is no view.
    pub owner: Option<String>,
    /// The job was taken over, and some machines that may run its tasks are not accounted for yet.
    pub takeover_pending: bool,
    /// Completed tasks, recorded or not.
    pub done: TaskSet,
    /// The part of `done` that the state service has recorded.
    pub recorded_done: TaskSet,
    /// Chunks of `done` with completions that are not recorded yet.
    pub dirty_chunks: BTreeSet<usize>,
    /// A transaction that records progress is in flight.
    pub progress_write_in_flight: bool,
    /// A transaction that records the job as done is in flight.
    pub completion_in_flight: bool,
    /// Backoff between attempts to record the job as done.
    pub completion_backoff: Backoff,
    /// When the job's progress may next be recorded.
    pub next_progress_write_at: Micros,
    /// By task index, the machines that the task is on or may be on.
    ///
    /// While machines change owners a task may be on any of several machines; removing it from one must not remove it
    /// from the others.
    pub placements: BTreeMap<u32, Vec<String>>,
    /// Number of tasks in `placements` that are not done. Cached because every event needs it.
    placed: u32,
    /// Placements whose machine has reported the task as ended. They remain placements until the worker is ordered to
    /// forget the task.
    ended_placements: BTreeSet<(u32, String)>,
    /// How many tasks the leader lets the job have placed at a time.
    pub volume: u32,
    /// The job's position in the leader's plan.
    pub turn: Turn,
    /// Lower bound of the task indices that still have to be placed.
    pub next_unplaced: u32,
    /// Highest attempt number used for a task of the job, as far as this controller knows.
    pub attempt: u64,
    /// When a stop of the whole gang began.
    pub stopping_since: Option<Micros>,
    pub wait: JobWait,
}

impl Job {
    pub fn new(spec: JobSpec, accepted_revision: u64, known_since: Micros) -> Job {
        Job {
            spec: Arc::new(spec),
            accepted_revision,
            known_since,
            owner: None,
            takeover_pending: false,
            done: TaskSet::default(),
            recorded_done: TaskSet::default(),
            dirty_chunks: BTreeSet::new(),
            progress_write_in_flight: false,
            completion_in_flight: false,
            completion_backoff: Backoff::default(),
            next_progress_write_at: Micros::ZERO,
            placements: BTreeMap::new(),
            placed: 0,
            ended_placements: BTreeSet::new(),
            volume: 0,
            turn: Turn::Usual,
            next_unplaced: 0,
            attempt: 0,
            stopping_since: None,
            wait: JobWait::default(),
        }
    }

    /// Number of tasks that are not done.
    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.done.len()
    }

    /// Adds a machine that the task is on or may be on.
    pub fn add_placement(&mut self, index: u32, machine: &str) {
        self.set_ended(index, machine, false);
        let machines = self.placements.entry(index).or_default();
        if machines.is_empty() && !self.done.contains(index) {
            self.placed += 1;
        }
        if !machines.iter().any(|m| m == machine) {
            machines.push(machine.to_owned());
        }
    }

    /// Removes a machine that the task is certainly not on any more.
    pub fn remove_placement(&mut self, index: u32, machine: &str) {
        self.set_ended(index, machine, false);
        if let Some(machines) = self.placements.get_mut(&index) {
            machines.retain(|m| m != machine);
            if machines.is_empty() {
                self.placements.remove(&index);
                if !self.done.contains(index) {
                    self.placed -= 1;
                }
                self.next_unplaced = self.next_unplaced.min(index);
            }
        }
    }

    /// Sets whether the machine has reported the task as ended.
    pub fn set_ended(&mut self, index: u32, machine: &str, ended: bool) {
        let placement = (index, machine.to_owned());
        if ended {
            self.ended_placements.insert(placement);
        } else if !self.ended_placements.is_empty() {
            self.ended_placements.remove(&placement);
        }
    }

    /// Number of tasks that run or may run on some machine.
    ///
    /// A task whose placements have all ended is not counted, even if a worker has not been ordered to forget it yet.
    pub fn tasks_in_use(&self) -> u32 {
        let mut ended_at: BTreeMap<u32, usize> = BTreeMap::new();
        for (index, _) in &self.ended_placements {
            *ended_at.entry(*index).or_default() += 1;
        }
        let gone =
            |(index, ended): &(&u32, &usize)| self.placements.get(*index).is_none_or(|p| p.len() <= **ended);
        self.placements.len() as u32 - ended_at.iter().filter(gone).count() as u32
    }

    /// Number of placements at which tasks run or may run.
    pub fn placements_in_use(&self) -> u64 {
        let placements: u64 = self.placements.values().map(|machines| machines.len() as u64).sum();
        placements.saturating_sub(self.ended_placements.len() as u64)
    }

    /// Number of tasks that have a placement and are not done.
    pub fn placed(&self) -> u32 {
        self.placed
    }

    /// Number of tasks that have a placement or are done.
    pub fn started(&self) -> u32 {
        self.placed + self.done.len()
    }

    /// How many more tasks the leader's last volume allows the job to have placed.
    pub fn remaining_volume(&self) -> u32 {
        match self.turn {
            // The volume covers the job's first task only; once that ends, another job uses its slot.
            Turn::First if self.started() > 0 => 0,
            Turn::Backfill if self.placed > 0 && self.spec.shape == Shape::Array => 0,
            _ => self.volume.saturating_sub(self.placed),
        }
    }

    /// Adds the completions in a recorded chunk.
    pub fn merge_recorded(&mut self, chunk: usize, value: &serde_json::Value) {
        self.recorded_done.merge_chunk(chunk, value, self.spec.tasks);
        self.done.merge_chunk(chunk, value, self.spec.tasks);
        self.placed = self.placements.keys().filter(|index| !self.done.contains(**index)).count() as u32;
    }

    /// Discards completions that are not recorded. Called when the job gets another owner.
    ///
    /// The new owner may not know of them. If this controller kept them and became the leader, it would give the job no
    /// volume for tasks that the owner still has to run, and the job would never be done.
    pub fn discard_unrecorded(&mut self) {
        self.done = self.recorded_done.clone();
        self.dirty_chunks.clear();
        self.placed = self.placements.keys().filter(|index| !self.done.contains(**index)).count() as u32;
        self.next_unplaced = 0;
    }

    pub fn is_gang(&self) -> bool {
        self.spec.shape == Shape::Gang
    }

    /// Marks a task as completed, or all tasks if the job is a gang. Returns whether any of them was not done before.
    pub fn mark_completed(&mut self, index: u32) -> bool {
        let chunk = |i: u32| i as usize / crate::bookkeeping::records::TASKS_PER_CHUNK;
        if index >= self.spec.tasks || self.spec.shape == Shape::Service {
            return false;
        }
        let range = if self.is_gang() { 0..self.spec.tasks } else { index..index + 1 };
        let mut new = false;
        for i in range {
            if self.done.insert(i) {
                self.placed -= u32::from(self.placements.contains_key(&i));
                self.dirty_chunks.insert(chunk(i));
                new = true;
            }
        }
        new
    }
}

/// A task on a machine, or planned for it.
#[derive(Clone, Debug)]
pub struct PlacedTask {
    pub attempt: u64,
    pub state: TaskState,
    /// Why the task ended.
    pub cause: Option<Cause>,
    /// Resources that the task takes.
    pub need: Resources,
    /// The start, until the machine has confirmed it.
    pub pending: Option<PendingStart>,
    /// Highest token of the direct calls that may have carried the start under the present grant; none if no call did.
    pub highest_call_token: Option<u64>,
    /// Number of the status that announced the start to the other controllers; 0 if none has.
    pub announced_in_status: u64,
    /// Set when the task is to be stopped: the time it has to save its state.
    pub stop_grace: Option<Micros>,
    /// The stop was sent in a direct call. Answers to the worker's reports repeat it.
    pub stop_sent: bool,
    /// When this controller planned or ordered the start, or first learned of the attempt.
    pub started_at: Micros,
}

impl PlacedTask {
    pub fn ended(&self) -> bool {
        self.state == TaskState::Ended
    }

    /// Whether the task's start is planned and has not been sent.
    pub fn planned(&self) -> bool {
        matches!(self.pending, Some(PendingStart::Planned(_)))
    }

    /// The permit of a planned start, if the start may be ordered now: the permit is valid, and every controller that
    /// has to know of the start has confirmed it. `confirmed_through` is the number of the last status that they have
    /// confirmed.
    pub(in crate::coordination) fn startable_permit(
        &self,
        confirmed_through: u64,
        active_permit: ActivePermit,
    ) -> Option<Permit> {
        let announced = self.announced_in_status != 0 && self.announced_in_status <= confirmed_through;
        match self.pending {
            Some(PendingStart::Planned(permit)) if announced && self.stop_grace.is_none() => {
                active_permit.covers(permit).then_some(permit)
            }
            _ => None,
        }
    }
}

/// A recorded machine: its grant, its worker's messages and the tasks on it.
///
/// The owner of a machine is the controller that it is granted to. For machines of other controllers some fields hold
/// what their owners' statuses report.
#[derive(Debug)]
pub struct Machine {
    pub row: BlockRow,
    /// Fencing token of the orders to the machine: the first of the present grant, or a later one of its range.
    pub token: u64,
    /// Number of the block record that contains `row`.
    pub shard: usize,
    /// Revision of the present grant.
    pub grant_revision: u64,
    /// When this controller learned of the present grant. A fresh token for the same owner does not change it while the
    /// machine is not resolved.
    pub grant_seen_at: Micros,
    /// When this controller first read the machine's record.
    pub known_since: Micros,
    /// The machine's resources; zero until its type is known.
    pub supply: Resources,
    /// The worker's session, as of its last message.
    pub session: u64,
    /// Number of the worker's last message in that session, report or reply to direct orders.
    pub tally: u64,
    /// When a message of the present session was first received, which is no earlier than the session began. `None` if
    /// the previous session has ended and no message of its successor has arrived yet.
    pub session_seen_at: Option<Micros>,
    /// Number of the worker's last report. Unlike `tally` it ignores replies to direct orders.
    pub last_report_tally: u64,
    /// Address for direct calls; empty if not known.
    pub addr: String,
    /// The worker did not answer direct calls, and none of its reports has arrived since; or it is not receiving.
    pub unresponsive: bool,
    /// Whether answers and orders arrive at the machine.
    pub delivery: DeliveryMonitor,
    /// The direct call in flight carries no orders; it asks whether an overdue machine still answers.
    pub probe_in_flight: bool,
    /// Direct calls in a row without an answer, while the machine is not resolved.
    pub unanswered_calls: u32,
    /// Tasks that the direct call in flight starts.
    pub starts_in_call: Vec<TaskId>,
    /// A direct call is in flight.
    pub call_in_flight: bool,
    /// No direct call is made before this time.
    pub next_call_at: Micros,
    /// A direct order may still arrive late. Until the machine has a fresh fencing token, which rules that out, its
    /// worker is not ordered to forget tasks and gets no direct calls.
    pub token_renewal_needed: bool,
    /// When a report, or the first message under the present grant, was last received.
    pub last_received_at: Option<Micros>,
    /// When a report was last answered under the present grant.
    pub last_answered: Option<Micros>,
    /// Time from which on no former owner can answer the machine's reports.
    pub former_owners_gone_since: Option<Micros>,
    /// The owner knows all tasks on the machine under the present grant: the worker has seen the present token, or its
    /// lease has expired.
    pub resolved: bool,
    /// The machine was resolved at some time, so that this controller has known all tasks on it.
    pub ever_resolved: bool,
    /// Quarantined: no task is started there.
    pub quarantined: bool,
    /// The cloud has announced that it will take the machine away.
    pub preemption_notice: bool,
    /// Since when the machine has had no running task; only meaningful while it is idle.
    pub idle_since: Micros,
    /// Since when the owner has received no message, according to its status; `None` if reports arrive in time.
    pub silent_since: Option<Micros>,
    /// The worker has sent a message under the present grant.
    pub up: bool,
    pub tasks: BTreeMap<TaskId, PlacedTask>,
    /// Images expected in the machine's cache, most recently used first, with their sizes in GB.
    pub images: VecDeque<(String, f64)>,
}

impl Machine {
    pub fn new(row: BlockRow, shard: usize, grant_revision: u64, now: Micros, supply: Resources) -> Machine {
        Machine {
            token: row.token,
            row,
            shard,
            grant_revision,
            grant_seen_at: now,
            known_since: now,
            supply,
            session: 0,
            tally: 0,
            session_seen_at: None,
            last_report_tally: 0,
            addr: String::new(),
            unresponsive: false,
            delivery: DeliveryMonitor::default(),
            probe_in_flight: false,
            unanswered_calls: 0,
            starts_in_call: Vec::new(),
            call_in_flight: false,
            next_call_at: Micros::ZERO,
            token_renewal_needed: false,
            last_received_at: None,
            last_answered: None,
            former_owners_gone_since: None,
            resolved: false,
            ever_resolved: false,
            quarantined: false,
            preemption_notice: false,
            idle_since: now,
            silent_since: None,
            up: false,
            tasks: BTreeMap::new(),
            images: VecDeque::new(),
        }
    }

    /// Whether the machine was never granted to a controller, so that no task can have been started there.
    pub fn never_granted(&self) -> bool {
        self.row.owner.is_empty()
    }

    /// Resources that tasks on the machine leave free.
    pub fn free(&self) -> Resources {
        self.free_beside(|t| !t.ended())
    }

    /// Resources that will be free once the tasks being stopped have ended.
    pub fn free_after_stops(&self) -> Resources {
        self.free_beside(|t| !t.ended() && t.stop_grace.is_none())
    }

    /// The machine's resources less those of the tasks for which `stays` holds.
    fn free_beside(&self, stays: impl Fn(&PlacedTask) -> bool) -> Resources {
        let staying = self.tasks.values().filter(|t| stays(t));
        staying.fold(self.supply, |room, t| room.minus(t.need))
    }

    /// Whether all tasks on the machine have ended.
    pub fn idle(&self) -> bool {
        self.tasks.values().all(PlacedTask::ended)
    }

    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// Records that a task uses an image. The least recently used images that no longer fit the cache are dropped.
    pub fn record_cached_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        if self.images.front().is_some_and(|(name, _)| name == image) {
            return;
        }
        self.images.retain(|(name, _)| name != image);
        self.images.push_front((image.to_owned(), gb));
        let mut room = cache_gb;
        self.images.retain(|(_, gb)| {
            room -= gb;
            room >= 0.0
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a job that never completes. Its former owner became the leader, still counted completions that it
    /// had not recorded, and gave the job no volume for the tasks that the new owner had yet to run.
    #[test]
    fn a_job_that_changes_owners_keeps_only_recorded_completions() {
        let spec: JobSpec = serde_json::from_value(serde_json::json!({
            "Uid": "j-000001", "Jobclass": "any", "Crew": "blue", "Shape": "sweep", "Rank": "normal",
            "Pieces": 4, "Cpus": 1.0, "Cards": 0.0, "MemoryGb": 1.0, "Kit": "img", "SizeGb": 1.0,
            "Hulls": null, "Berth": null, "OneZone": false, "Apart": false, "Standby": true,
            "RuntimeS": 10.0, "MarkS": 0.0, "StowS": 0.0, "DueS": null
        }))
        .unwrap();
        let mut job = Job::new(spec, 1, Micros::ZERO);
        job.add_placement(2, "m");
        job.mark_completed(0);
        job.merge_recorded(0, &job.done.encode_chunk(0));
        (1..4).for_each(|index| assert!(job.mark_completed(index)));
        assert_eq!((job.unfinished(), job.placed()), (0, 0));
        job.discard_unrecorded();
        assert_eq!((job.unfinished(), job.placed()), (3, 1));
        assert!(job.done.contains(0) && job.dirty_chunks.is_empty());
    }
}
