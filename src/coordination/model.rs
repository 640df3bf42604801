//! Jobs and machines as a controller remembers them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use marblewalk_admission::pool::Turn;
use marblewalk_delivery::DeliveryMonitor;
use marblewalk_retry::Backoff;

use crate::bookkeeping::records::{BlockRow, TaskSet};
pub use crate::coordination::pending::Pending;
use crate::coordination::quota::{InForce, Permit};
use crate::coordination::waiting::Wait;
use crate::protocol::job::{JobSpec, Shape};
use crate::protocol::units::{Micros, Resources};
use crate::protocol::worker::{Cause, TaskId, TaskState};

#[derive(Debug)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    /// Revision of its acceptance.
    pub stamp: u64,
    /// When this controller first knew of it.
    pub since: Micros,
    /// The controller that places it; none while there is no view.
    pub owner: Option<String>,
    /// Taken over from another controller, some of whose machines are not accounted for.
    pub adopting: bool,
    pub done: TaskSet,
    /// The part of `done` that the store holds.
    pub stored: TaskSet,
    pub dirty: BTreeSet<usize>,
    pub writing: bool,
    pub completing: bool,
    /// The record of its end, which is repeated until it is known.
    pub ending: Backoff,
    /// When its progress may next be recorded.
    pub progress_at: Micros,
    /// Where its tasks are, or may be. While machines change hands a task may be suspected in several
    /// places, and leaving one of them must not make it forgotten in another.
    pub on: BTreeMap<u32, Vec<String>>,
    /// How many of these are not done, kept in step: every event asks for it.
    placed: u32,
    /// Places whose machine has said that the task there has ended: it stays there until it is forgotten.
    ended: BTreeSet<(u32, String)>,
    pub volume: u32,
    /// When its turn comes, as the leader last said.
    pub turn: Turn,
    /// No task below this number is left to start.
    pub next: u32,
    pub attempt: u64,
    /// The whole gang is being stopped: since when.
    pub stopping: Option<Micros>,
    pub wait: Wait,
}

impl Job {
    pub fn new(spec: JobSpec, stamp: u64, since: Micros) -> Job {
        Job {
            spec: Arc::new(spec),
            stamp,
            since,
            owner: None,
            adopting: false,
            done: TaskSet::default(),
            stored: TaskSet::default(),
            dirty: BTreeSet::new(),
            writing: false,
            completing: false,
            ending: Backoff::default(),
            progress_at: Micros::ZERO,
            on: BTreeMap::new(),
            placed: 0,
            ended: BTreeSet::new(),
            volume: 0,
            turn: Turn::Usual,
            next: 0,
            attempt: 0,
            stopping: None,
            wait: Wait::default(),
        }
    }

    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.done.len()
    }

    pub fn put_on(&mut self, index: u32, machine: &str) {
        self.note_ended(index, machine, false);
        let places = self.on.entry(index).or_default();
        if places.is_empty() && !self.done.contains(index) {
            self.placed += 1;
        }
        if !places.iter().any(|m| m == machine) {
            places.push(machine.to_owned());
        }
    }

    pub fn take_off(&mut self, index: u32, machine: &str) {
        self.note_ended(index, machine, false);
        if let Some(places) = self.on.get_mut(&index) {
            places.retain(|m| m != machine);
            if places.is_empty() {
                self.on.remove(&index);
                if !self.done.contains(index) {
                    self.placed -= 1;
                }
                self.next = self.next.min(index);
            }
        }
    }

    /// Notes whether a task has ended on a machine, as that has said.
    pub fn note_ended(&mut self, index: u32, machine: &str, ended: bool) {
        let place = (index, machine.to_owned());
        if ended {
            self.ended.insert(place);
        } else if !self.ended.is_empty() {
            self.ended.remove(&place);
        }
    }

    /// Tasks that run or may run somewhere: those that have ended wherever they were do not, though they are not
    /// forgotten yet.
    pub fn in_use(&self) -> u32 {
        let mut ended_at: BTreeMap<u32, usize> = BTreeMap::new();
        for (index, _) in &self.ended {
            *ended_at.entry(*index).or_default() += 1;
        }
        let gone = |(index, ended): &(&u32, &usize)| self.on.get(*index).is_none_or(|p| p.len() <= **ended);
        self.on.len() as u32 - ended_at.iter().filter(gone).count() as u32
    }

    /// Places at which tasks run or may run.
    pub fn places_in_use(&self) -> u64 {
        let places: u64 = self.on.values().map(|places| places.len() as u64).sum();
        places.saturating_sub(self.ended.len() as u64)
    }

    /// Tasks that are somewhere, or may be, and are not done.
    pub fn placed(&self) -> u32 {
        self.placed
    }

    /// Tasks that are somewhere, or may be, or are done.
    pub fn started(&self) -> u32 {
        self.placed + self.done.len()
    }

    /// How many more tasks it may have than are placed, as the leader last said.
    pub fn lacking(&self) -> u32 {
        match self.turn {
            // It has had its first task; the place is another's when that ends.
            Turn::First if self.started() > 0 => 0,
            Turn::Backfill if self.placed > 0 && self.spec.shape == Shape::Array => 0,
            _ => self.volume.saturating_sub(self.placed),
        }
    }

    /// Adds completions that the store holds.
    pub fn merge(&mut self, chunk: usize, value: &serde_json::Value) {
        self.stored.merge_chunk(chunk, value, self.spec.tasks);
        self.done.merge_chunk(chunk, value, self.spec.tasks);
        self.placed = self.on.keys().filter(|index| !self.done.contains(**index)).count() as u32;
    }

    /// The job has another owner from now on. What this controller noted as completed and had not recorded
    /// may be known to nobody else, and a leader that went by it would give the job no volume ever again.
    pub fn forget_unrecorded(&mut self) {
        self.done = self.stored.clone();
        self.dirty.clear();
        self.placed = self.on.keys().filter(|index| !self.done.contains(**index)).count() as u32;
        self.next = 0;
    }

    pub fn is_gang(&self) -> bool {
        self.spec.shape == Shape::Gang
    }

    /// Notes that a task has completed. The tasks of a gang complete together.
    pub fn complete(&mut self, index: u32) -> bool {
        let chunk = |i: u32| i as usize / crate::bookkeeping::records::TASKS_PER_CHUNK;
        if index >= self.spec.tasks || self.spec.shape == Shape::Service {
            return false;
        }
        let range = if self.is_gang() { 0..self.spec.tasks } else { index..index + 1 };
        let mut new = false;
        for i in range {
            if self.done.insert(i) {
                self.placed -= u32::from(self.on.contains_key(&i));
                self.dirty.insert(chunk(i));
                new = true;
            }
        }
        new
    }
}

#[derive(Clone, Debug)]
pub struct TaskOn {
    pub attempt: u64,
    pub state: TaskState,
    pub cause: Option<Cause>,
    pub need: Resources,
    pub pending: Option<Pending>,
    /// The status that announced the start to the others; 0: none has yet.
    pub announced: u64,
    /// Wanted gone: with this much time to save.
    pub stop: Option<Micros>,
    /// That has been said to the worker directly; the answers to its reports repeat it.
    pub told: bool,
    pub since: Micros,
}

impl TaskOn {
    pub fn ended(&self) -> bool {
        self.state == TaskState::Ended
    }

    /// A start that has not been sent.
    pub fn planned(&self) -> bool {
        matches!(self.pending, Some(Pending::Planned(_)))
    }

    /// The permit of a start that may be ordered now: it holds, and all that must know of the start do.
    pub(in crate::coordination) fn may_start(&self, settled: u64, in_force: InForce) -> Option<Permit> {
        let announced = self.announced != 0 && self.announced <= settled;
        match self.pending {
            Some(Pending::Planned(permit)) if announced && self.stop.is_none() => {
                in_force.covers(permit).then_some(permit)
            }
            _ => None,
        }
    }
}

#[derive(Debug)]
pub struct Machine {
    pub row: BlockRow,
    /// Registration of the controller that it was granted to.
    pub shard: usize,
    /// Revision of the grant.
    pub stamp: u64,
    /// When this controller learned of the grant.
    pub granted: Micros,
    pub since: Micros,
    pub supply: Resources,
    pub session: u64,
    pub tally: u64,
    /// When the present session was first heard of: it began no later. A session that a controller
    /// expects to follow a lapsed one has not been heard of.
    pub session_at: Option<Micros>,
    /// The last report's; `tally` also counts replies to direct orders.
    pub reported: u64,
    pub addr: String,
    /// Unheard for longer than any report is late, and asked directly it did not answer either.
    pub lost: bool,
    /// Whether what it is told arrives.
    pub hearing: DeliveryMonitor,
    /// It is being asked whether it is there.
    pub asked: bool,
    /// Questions in a row to which it gave no answer since it was granted.
    pub unanswered: u32,
    /// What the direct call on its way starts.
    pub starting: Vec<TaskId>,
    /// A direct call is on its way.
    pub talking: bool,
    pub talk_after: Micros,
    /// A direct order may still arrive: nothing is forgotten until a fresh token rules that out.
    pub renew: bool,
    pub heard: Option<Micros>,
    pub answered: Option<Micros>,
    /// Since when no former owner can answer it any more.
    pub former_gone: Option<Micros>,
    pub resolved: bool,
    /// It has been resolved before, so that this controller has once known all that is there.
    pub known: bool,
    pub apart: bool,
    pub notice: bool,
    pub idle_since: Micros,
    /// As its owner says: unheard since then.
    pub silent_since: Option<Micros>,
    pub up: bool,
    pub tasks: BTreeMap<TaskId, TaskOn>,
    /// Images that it should have, the latest used first, and their sizes.
    pub images: VecDeque<(String, f64)>,
}

impl Machine {
    pub fn new(row: BlockRow, shard: usize, stamp: u64, now: Micros, supply: Resources) -> Machine {
        Machine {
            row,
            shard,
            stamp,
            granted: now,
            since: now,
            supply,
            session: 0,
            tally: 0,
            session_at: None,
            reported: 0,
            addr: String::new(),
            lost: false,
            hearing: DeliveryMonitor::default(),
            asked: false,
            unanswered: 0,
            starting: Vec::new(),
            talking: false,
            talk_after: Micros::ZERO,
            renew: false,
            heard: None,
            answered: None,
            former_gone: None,
            resolved: false,
            known: false,
            apart: false,
            notice: false,
            idle_since: now,
            silent_since: None,
            up: false,
            tasks: BTreeMap::new(),
            images: VecDeque::new(),
        }
    }

    /// Held by nobody yet, so nothing can ever have been started there.
    pub fn unused(&self) -> bool {
        self.row.owner.is_empty()
    }

    pub fn free(&self) -> Resources {
        self.room_beside(|t| !t.ended())
    }

    /// The room there will be once what is being stopped has gone.
    pub fn free_soon(&self) -> Resources {
        self.room_beside(|t| !t.ended() && t.stop.is_none())
    }

    fn room_beside(&self, stays: impl Fn(&TaskOn) -> bool) -> Resources {
        let staying = self.tasks.values().filter(|t| stays(t));
        staying.fold(self.supply, |room, t| room.minus(t.need))
    }

    pub fn idle(&self) -> bool {
        self.tasks.values().all(TaskOn::ended)
    }

    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// Notes that a task runs from an image. What no longer fits the machine's cache has been dropped.
    pub fn remember_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
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

    /// Guards against a job that was never done: its former owner, by then the leader, knew of completions
    /// that had not been recorded, and named no volume for the tasks that the owner still had to run.
    #[test]
    fn a_job_that_leaves_its_owner_takes_only_recorded_completions_along() {
        let spec: JobSpec = serde_json::from_value(serde_json::json!({
            "Uid": "j-000001", "Jobclass": "any", "Crew": "blue", "Shape": "sweep", "Rank": "normal",
            "Pieces": 4, "Cpus": 1.0, "Cards": 0.0, "MemoryGb": 1.0, "Kit": "img", "SizeGb": 1.0,
            "Hulls": null, "Berth": null, "OneZone": false, "Apart": false, "Standby": true,
            "RuntimeS": 10.0, "MarkS": 0.0, "StowS": 0.0, "DueS": null
        }))
        .unwrap();
        let mut job = Job::new(spec, 1, Micros::ZERO);
        job.put_on(2, "m");
        job.complete(0);
        job.merge(0, &job.done.encode_chunk(0));
        (1..4).for_each(|index| assert!(job.complete(index)));
        assert_eq!((job.unfinished(), job.placed()), (0, 0));
        job.forget_unrecorded();
        assert_eq!((job.unfinished(), job.placed()), (3, 1));
        assert!(job.done.contains(0) && job.dirty.is_empty());
    }
}
