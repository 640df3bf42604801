//! Preemption: tasks of lower-priority arrays are stopped at once for a service that must start sooner than a machine
//! boots.

use std::collections::BTreeMap;

use crate::coordination::Controller;
use crate::coordination::eligibility::allows;
use crate::coordination::model::{Machine, PlacedTask};
use crate::coordination::placement::AvailableCapacity;
use crate::protocol::job::{JobSpec, Shape};
use crate::protocol::units::{Micros, Resources};
use crate::protocol::worker::TaskId;

impl Controller {
    /// Whether a job may preempt tasks of lower priority: only a service may, as its replicas start one by one, if its
    /// class must start sooner than a machine boots.
    pub(super) fn may_preempt(&self, spec: &JobSpec) -> bool {
        spec.shape == Shape::Service && !spec.one_zone && self.needs_fast_start(&spec.class)
    }

    /// Tasks on a machine that a job may preempt: those of arrays of lower priority.
    fn preemptible_tasks<'a>(
        &'a self,
        spec: &'a JobSpec,
        machine: &'a Machine,
    ) -> impl Iterator<Item = (&'a TaskId, &'a PlacedTask)> {
        machine.tasks.iter().filter(move |(id, t)| {
            let other = self.jobs.get(&id.job).map(|j| &j.spec);
            let lower = other.is_some_and(|o| o.priority < spec.priority && o.shape == Shape::Array);
            !t.ended() && t.stop_grace.is_none() && lower
        })
    }

    /// Resources of the tasks on a machine that a job may preempt.
    pub(super) fn preemptible_resources(&self, spec: &JobSpec, machine: &Machine) -> Resources {
        self.preemptible_tasks(spec, machine).fold(Resources::default(), |sum, (_, t)| sum.plus(t.need))
    }

    /// Preempts tasks of lower-priority arrays, the latest started first, on own machines to make room for `missing`
    /// tasks of a job; if `cached_only`, only on machines that have the job's image. Returns for how many of them there
    /// will be room, including room that tasks being stopped leave, and adds these to `zones`, the job's number of
    /// tasks by zone.
    pub(super) fn preempt_for(
        &mut self,
        spec: &JobSpec,
        mut missing: u64,
        zones: &mut BTreeMap<String, u32>,
        capacity: &mut AvailableCapacity,
        cached_only: bool,
    ) -> u64 {
        let requested = missing;
        if missing == 0 {
            return 0;
        }
        let need = spec.need();
        let max_per_zone = spec.tasks.div_ceil(2);
        let mut options: Vec<(Micros, u64, String)> = Vec::new();
        for name in capacity.free_after_stops.keys() {
            let Some(m) = self.machines.get(name).filter(|m| allows(spec, m)) else { continue };
            let fetch = self.fetch_time(spec, m);
            if cached_only && fetch > Micros::ZERO {
                continue;
            }
            let preemptible = self.preemptible_tasks(spec, m).count();
            if preemptible > 0 || need.fits(capacity.free_after_stops[name]) {
                options.push((fetch, preemptible as u64, name.clone()));
            }
        }
        options.sort();
        let mut stops: Vec<(String, TaskId)> = Vec::new();
        for (_, _, name) in options {
            let m = &self.machines[&name];
            let here = zones.entry(m.row.zone.clone()).or_default();
            let mut preemptible: Vec<(&TaskId, &PlacedTask)> = self.preemptible_tasks(spec, m).collect();
            preemptible.sort_by_key(|(task, t)| (t.started_at, *task));
            let mut room = capacity.free_after_stops[&name];
            while missing > 0 && (!spec.spread || *here < max_per_zone) {
                let mut preempted = Vec::new();
                let mut room_after = room;
                while !need.fits(room_after)
                    && let Some((task, t)) = preemptible.pop()
                {
                    room_after = room_after.plus(t.need);
                    preempted.push(task.clone());
                }
                if !need.fits(room_after) {
                    break;
                }
                room = room_after.minus(need);
                (*here, missing) = (*here + 1, missing - 1);
                stops.extend(preempted.into_iter().map(|t| (name.clone(), t)));
            }
            capacity.free_after_stops.insert(name, room);
            if missing == 0 {
                break;
            }
        }
        for (name, task) in stops {
            let grace =
                self.jobs.get(&task.job).map_or(Micros::ZERO, |j| j.spec.save_time() + Micros::from_secs(1));
            if let Some(t) = self.machines.get_mut(&name).and_then(|m| m.tasks.get_mut(&task)) {
                t.stop_grace = Some(grace);
            }
            self.drop_planned_starts(&name, |t| *t == task);
        }
        requested - missing
    }
}
