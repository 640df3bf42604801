//! Gangs start whole and stop whole.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::Controller;
use crate::coordination::placement::{MOST_STARTS, Only, Rooms};
use crate::coordination::waiting::WaitReason;
use crate::protocol::job::JobSpec;
use crate::protocol::units::Micros;
use crate::protocol::worker::{TaskId, TaskState};

impl Controller {
    /// Starts all tasks of a gang, or none and says why. No task of an earlier attempt may be left.
    pub(super) fn place_gang(&mut self, id: &str, rooms: &mut Rooms) -> Result<usize, WaitReason> {
        let Some(job) = self.jobs.get(id) else { return Ok(0) };
        let spec = job.spec.clone();
        if self.wanted(job) < spec.tasks {
            return Err(WaitReason::NotAdmitted);
        }
        if !job.on.is_empty() {
            return Ok(self.complete_gang(id, &spec, rooms));
        }
        let total = spec.need();
        let n = u64::from(spec.tasks);
        let whole = total.times(n);
        let mut allowance = self.allowance(&spec);
        if let Some(reason) = allowance.refusal(whole) {
            return Err(reason);
        }
        let mut zones: Vec<Option<String>> = vec![None];
        if spec.one_zone {
            let machines = rooms.free.keys().filter_map(|m| self.machines.get(m));
            let named: BTreeSet<&String> = machines.map(|m| &m.row.zone).collect();
            zones = named.into_iter().map(|z| Some(z.clone())).collect();
        }
        let size = spec.tasks as usize;
        // Of the zones where all fit, the one that is left with least: a large gang may come next.
        let mut best: Option<(usize, Vec<String>)> = None;
        for zone in zones {
            let only = zone.as_deref().map_or(Only::All, Only::Zone);
            let mut names = self.choose(&spec, size.max(MOST_STARTS), rooms, BTreeMap::new(), &only);
            let room = names.len();
            names.truncate(size);
            if names.len() == size && best.as_ref().is_none_or(|(least, _)| room < *least) {
                best = Some((room, names));
            }
        }
        let Some((_, chosen)) = best else { return Err(WaitReason::NoMachine) };
        rooms.take(&chosen, total);
        let attempt = self.next_attempt(id);
        for (index, name) in chosen.iter().enumerate() {
            self.plan(id, index as u32, attempt, name, &mut allowance);
        }
        Ok(size)
    }

    /// A gang that has not started may lack a task whose start was lost or refused: a replacement
    /// with the same attempt number completes it.
    fn complete_gang(&mut self, id: &str, spec: &JobSpec, rooms: &mut Rooms) -> usize {
        let Some(job) = self.jobs.get(id) else { return 0 };
        let mut attempts = BTreeSet::new();
        for (index, places) in &job.on {
            for t in places.iter().filter_map(|m| self.machines.get(m)?.tasks.get(&TaskId::new(id, *index))) {
                if !matches!(t.state, TaskState::Fetching | TaskState::Waiting) || t.stop.is_some() {
                    return 0;
                }
                attempts.insert(t.attempt);
            }
        }
        let missing: Vec<u32> = (0..spec.tasks).filter(|i| !job.on.contains_key(i)).collect();
        let (Some(attempt), 1) = (attempts.first().copied(), attempts.len()) else { return 0 };
        let mut allowance = self.allowance(spec);
        let most = spec.need().times_in(allowance.room()).min(missing.len() as u64);
        let names = self.choose(spec, most as usize, rooms, self.zone_counts(id), &Only::All);
        rooms.take(&names, spec.need());
        for (index, name) in missing.iter().zip(&names) {
            self.plan(id, *index, attempt, name, &mut allowance);
        }
        names.len()
    }

    /// A gang stops as a whole: when one of its tasks is being stopped, or its machine is about to be
    /// taken, all are told, so that what they have done is saved.
    pub(super) fn stop_gangs(&mut self) {
        let mut stops: Vec<(String, TaskId, Micros)> = Vec::new();
        for (id, job) in &self.jobs {
            if !job.is_gang() || job.spec.tasks < 2 || job.owner.as_deref() != Some(self.me()) {
                continue;
            }
            let tasks: Vec<(&String, TaskId)> = job
                .on
                .iter()
                .flat_map(|(i, places)| places.iter().map(|m| (m, TaskId::new(id, *i))))
                .collect();
            let stopped = tasks.iter().any(|(m, t)| {
                self.machines
                    .get(*m)
                    .is_some_and(|m| m.notice || m.tasks.get(t).is_some_and(|t| t.stop.is_some()))
            });
            if stopped {
                let grace = job.spec.save_time() + Micros::from_secs(1);
                stops.extend(tasks.into_iter().map(|(m, t)| (m.clone(), t, grace)));
            }
        }
        for (name, task, grace) in stops {
            if let Some(t) = self.machines.get_mut(&name).and_then(|m| m.tasks.get_mut(&task))
                && !t.ended()
            {
                t.stop.get_or_insert(grace);
                self.stops_abroad = true;
            }
        }
    }
}
