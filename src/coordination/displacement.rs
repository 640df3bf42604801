//! Arrays of lower rank give way at once to a service that must start sooner than a machine boots.

use std::collections::BTreeMap;

use crate::coordination::Controller;
use crate::coordination::eligibility::allows;
use crate::coordination::model::{Machine, TaskOn};
use crate::coordination::placement::Rooms;
use crate::protocol::job::{JobSpec, Shape};
use crate::protocol::units::{Micros, Resources};
use crate::protocol::worker::TaskId;

impl Controller {
    /// Whether tasks of lower rank are stopped for a job at once: a service, which starts replica by
    /// replica, of a class that must start sooner than a machine boots.
    pub(super) fn may_displace(&self, spec: &JobSpec) -> bool {
        spec.shape == Shape::Service && !spec.one_zone && self.is_quick(&spec.class)
    }

    /// Tasks on a machine that would give way to a job: of arrays of lower rank.
    fn yielding<'a>(
        &'a self,
        spec: &'a JobSpec,
        machine: &'a Machine,
    ) -> impl Iterator<Item = (&'a TaskId, &'a TaskOn)> {
        machine.tasks.iter().filter(move |(id, t)| {
            let other = self.jobs.get(&id.job).map(|j| &j.spec);
            let lower = other.is_some_and(|o| o.priority < spec.priority && o.shape == Shape::Array);
            !t.ended() && t.stop.is_none() && lower
        })
    }

    /// What a machine's tasks take that would give way to a job.
    pub(super) fn displaceable(&self, spec: &JobSpec, machine: &Machine) -> Resources {
        self.yielding(spec, machine).fold(Resources::default(), |sum, (_, t)| sum.plus(t.need))
    }

    /// Stops tasks of lower rank for `short` tasks of a job, the latest begun, of arrays, on own machines;
    /// if `fetched`, only where the job's image is. Returns for how many there will be room, with what
    /// is being stopped already, and adds these to the job's tasks by zone.
    pub(super) fn make_room(
        &mut self,
        spec: &JobSpec,
        mut short: u64,
        zones: &mut BTreeMap<String, u32>,
        rooms: &mut Rooms,
        fetched: bool,
    ) -> u64 {
        let before = short;
        if short == 0 {
            return 0;
        }
        let need = spec.need();
        let most = spec.tasks.div_ceil(2);
        let mut options: Vec<(Micros, u64, String)> = Vec::new();
        for name in rooms.soon.keys() {
            let Some(m) = self.machines.get(name).filter(|m| allows(spec, m)) else { continue };
            let fetch = self.fetch_time(spec, m);
            if fetched && fetch > Micros::ZERO {
                continue;
            }
            let lower = self.yielding(spec, m).count();
            if lower > 0 || need.fits(rooms.soon[name]) {
                options.push((fetch, lower as u64, name.clone()));
            }
        }
        options.sort();
        let mut stops: Vec<(String, TaskId)> = Vec::new();
        for (_, _, name) in options {
            let m = &self.machines[&name];
            let here = zones.entry(m.row.zone.clone()).or_default();
            let mut lower: Vec<(&TaskId, &TaskOn)> = self.yielding(spec, m).collect();
            lower.sort_by_key(|(task, t)| (t.since, *task));
            let mut room = rooms.soon[&name];
            while short > 0 && (!spec.spread || *here < most) {
                let mut taken = Vec::new();
                let mut with = room;
                while !need.fits(with)
                    && let Some((task, t)) = lower.pop()
                {
                    with = with.plus(t.need);
                    taken.push(task.clone());
                }
                if !need.fits(with) {
                    break;
                }
                room = with.minus(need);
                (*here, short) = (*here + 1, short - 1);
                stops.extend(taken.into_iter().map(|t| (name.clone(), t)));
            }
            rooms.soon.insert(name, room);
            if short == 0 {
                break;
            }
        }
        for (name, task) in stops {
            let grace =
                self.jobs.get(&task.job).map_or(Micros::ZERO, |j| j.spec.save_time() + Micros::from_secs(1));
            if let Some(t) = self.machines.get_mut(&name).and_then(|m| m.tasks.get_mut(&task)) {
                t.stop = Some(grace);
            }
            self.drop_planned(&name, |t| *t == task);
        }
        before - short
    }
}
