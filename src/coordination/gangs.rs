//! Gang scheduling: all tasks of a gang are started together and stopped together.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::Controller;
use crate::coordination::placement::{AvailableCapacity, MAX_STARTS_PER_PASS, MachineFilter};
use crate::coordination::wait_reasons::WaitReason;
use crate::protocol::job::JobSpec;
use crate::protocol::units::Micros;
use crate::protocol::worker::{TaskId, TaskState};

impl Controller {
    /// Plans starts of all tasks of a gang and returns their number, or plans none and returns the reason. If tasks of
    /// the gang are still placed, only replacements for missing ones of the same attempt are planned.
    pub(super) fn place_gang(
        &mut self,
        id: &str,
        capacity: &mut AvailableCapacity,
    ) -> Result<usize, WaitReason> {
        let Some(job) = self.jobs.get(id) else { return Ok(0) };
        let spec = job.spec.clone();
        if self.target_task_count(job) < spec.tasks {
            return Err(WaitReason::NotAdmitted);
        }
        if !job.placements.is_empty() {
            return Ok(self.replace_missing_gang_tasks(id, &spec, capacity));
        }
        let need = spec.need();
        let n = u64::from(spec.tasks);
        let total = need.times(n);
        let mut allowance = self.allowance(&spec);
        if let Some(reason) = allowance.refusal(total) {
            return Err(reason);
        }
        let mut zones: Vec<Option<String>> = vec![None];
        if spec.one_zone {
            let machines = capacity.free.keys().filter_map(|m| self.machines.get(m));
            let names: BTreeSet<&String> = machines.map(|m| &m.row.zone).collect();
            zones = names.into_iter().map(|z| Some(z.clone())).collect();
        }
        let size = spec.tasks as usize;
        // Best fit: of the zones with enough slots for the gang, the one with the fewest slots, as a larger gang may
        // come next.
        let mut best: Option<(usize, Vec<String>)> = None;
        for zone in zones {
            let filter = zone.as_deref().map_or(MachineFilter::All, MachineFilter::Zone);
            let mut names = self.choose_machines(
                &spec,
                size.max(MAX_STARTS_PER_PASS),
                capacity,
                BTreeMap::new(),
                &filter,
            );
            let slots = names.len();
            names.truncate(size);
            if names.len() == size && best.as_ref().is_none_or(|(least, _)| slots < *least) {
                best = Some((slots, names));
            }
        }
        let Some((_, chosen)) = best else { return Err(WaitReason::NoMachine) };
        capacity.allocate(&chosen, need);
        let attempt = self.next_attempt(id);
        for (index, name) in chosen.iter().enumerate() {
            self.plan_start(id, index as u32, attempt, name, &mut allowance);
        }
        Ok(size)
    }

    /// Plans replacements for missing tasks of a gang that has not begun to run, with the gang's attempt number. A task
    /// is missing if its start was lost or refused.
    fn replace_missing_gang_tasks(
        &mut self,
        id: &str,
        spec: &JobSpec,
        capacity: &mut AvailableCapacity,
    ) -> usize {
        let Some(job) = self.jobs.get(id) else { return 0 };
        let mut attempts = BTreeSet::new();
        for (index, machines) in &job.placements {
            for t in machines.iter().filter_map(|m| self.machines.get(m)?.tasks.get(&TaskId::new(id, *index)))
            {
                if !matches!(t.state, TaskState::Fetching | TaskState::Waiting) || t.stop_grace.is_some() {
                    return 0;
                }
                attempts.insert(t.attempt);
            }
        }
        let missing: Vec<u32> = (0..spec.tasks).filter(|i| !job.placements.contains_key(i)).collect();
        let (Some(attempt), 1) = (attempts.first().copied(), attempts.len()) else { return 0 };
        let mut allowance = self.allowance(spec);
        let max_tasks = spec.need().times_in(allowance.remaining()).min(missing.len() as u64);
        let names = self.choose_machines(
            spec,
            max_tasks as usize,
            capacity,
            self.zone_counts(id),
            &MachineFilter::All,
        );
        capacity.allocate(&names, spec.need());
        for (index, name) in missing.iter().zip(&names) {
            self.plan_start(id, *index, attempt, name, &mut allowance);
        }
        names.len()
    }

    /// Stops all tasks of a gang if one of them is being stopped, or the machine of one has a preemption notice, so
    /// that all tasks save their state.
    pub(super) fn propagate_gang_stops(&mut self) {
        let mut stops: Vec<(String, TaskId, Micros)> = Vec::new();
        for (id, job) in &self.jobs {
            if !job.is_gang() || job.spec.tasks < 2 || job.owner.as_deref() != Some(self.own_name()) {
                continue;
            }
            let tasks: Vec<(&String, TaskId)> = job
                .placements
                .iter()
                .flat_map(|(i, machines)| machines.iter().map(|m| (m, TaskId::new(id, *i))))
                .collect();
            let stopped = tasks.iter().any(|(m, t)| {
                self.machines.get(*m).is_some_and(|m| {
                    m.preemption_notice || m.tasks.get(t).is_some_and(|t| t.stop_grace.is_some())
                })
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
                t.stop_grace.get_or_insert(grace);
                self.remote_stops_pending = true;
            }
        }
    }
}
