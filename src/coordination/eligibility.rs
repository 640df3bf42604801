//! Which machines a job's tasks may run on: those that its description allows, less those held back for other jobs.

use crate::coordination::Controller;
use crate::coordination::model::{Job, Machine};
use crate::protocol::job::JobSpec;
use crate::protocol::units::{Micros, Resources};

/// A job without accelerators that has had nothing running for this long may use any accelerator machine.
const MAX_ACCELERATOR_HOLD: Micros = Micros::from_secs(45);
/// Accelerators count as spare while at least one in this many is free.
const SPARE_DIVISOR: u64 = 4;

/// Whether a task would occupy a machine that is more expensive than it needs: an idle accelerator machine, if it uses
/// no accelerators, or an on-demand machine, if it may run on a spot machine. If left idle, such a machine can be
/// returned or used by work that requires it.
pub(super) fn keeps_costly_machine(spec: &JobSpec, machine: &Machine) -> bool {
    (spec.gpus == 0.0 && machine.supply.gpu > 0 && machine.idle()) || (spec.spot && !machine.row.spot)
}

/// How much of accelerator machines jobs without accelerators leave to jobs that use them.
#[derive(Clone, Copy, Debug)]
pub(super) struct AcceleratorPolicy {
    /// Processors, in thousandths, to leave free for each free accelerator: the most that a live job uses per
    /// accelerator.
    cpu_per_accelerator: u64,
    /// Teams are guaranteed accelerators, so that the machines are retained anyway, and many accelerators are free.
    many_spare: bool,
    /// The job has waited for so long that it may use any machine.
    overdue: bool,
}

impl AcceleratorPolicy {
    /// The policy for a job that has had nothing running for `waited`.
    pub(super) fn for_wait(self, waited: Micros) -> AcceleratorPolicy {
        AcceleratorPolicy { overdue: AcceleratorPolicy::is_overdue(waited), ..self }
    }

    /// Whether a job that has had nothing running for `waited` may use any machine.
    pub(super) fn is_overdue(waited: Micros) -> bool {
        waited >= MAX_ACCELERATOR_HOLD
    }

    /// Whether a job may not start a task in the free `room` of a machine, to leave it to jobs that use accelerators.
    ///
    /// A job without accelerators may use what accelerator work leaves free on a machine. It may not occupy an
    /// accelerator machine alone, which costs several times as much as another one, unless that machine is retained and
    /// paid for anyway.
    pub(super) fn excludes(self, spec: &JobSpec, machine: &Machine, room: Resources) -> bool {
        let unrestricted = self.overdue || self.is_spare(machine);
        if spec.gpus > 0.0 || machine.supply.gpu == 0 || spec.machine_types.is_some() || unrestricted {
            return false;
        }
        let accelerators_in_use = machine.tasks.values().any(|t| !t.ended() && t.need.gpu > 0);
        !accelerators_in_use || spec.need().cpu + room.gpu / 1000 * self.cpu_per_accelerator > room.cpu
    }

    /// Whether a machine is on-demand and has no accelerator work, while many accelerators are spare.
    fn is_spare(self, machine: &Machine) -> bool {
        self.many_spare && !machine.row.spot && machine.tasks.values().all(|t| t.ended() || t.need.gpu == 0)
    }

    /// How many tasks of a job fit into the free `room` of a machine, beside what is left to accelerator work.
    pub(super) fn tasks_that_fit(self, spec: &JobSpec, machine: &Machine, mut room: Resources) -> u64 {
        if self.excludes(spec, machine, room) {
            return 0;
        }
        if spec.gpus == 0.0 && machine.supply.gpu > 0 && !self.overdue && !self.is_spare(machine) {
            room.cpu = room.cpu.saturating_sub(room.gpu / 1000 * self.cpu_per_accelerator);
        }
        spec.need().times_in(room)
    }
}

/// Whether a job's description allows a machine, without regard to where the job's other tasks are.
pub(super) fn allows(spec: &JobSpec, machine: &Machine) -> bool {
    spec.machine_types.as_ref().is_none_or(|t| t.contains(&machine.row.kind))
        && spec.zone.as_ref().is_none_or(|z| *z == machine.row.zone)
        && (spec.spot || !machine.row.spot)
        && spec.need().fits(machine.supply)
}

/// Whether one more task of a job may be in a zone that has `here` of the job's `all` placed tasks.
pub(super) fn zone_has_headroom(spec: &JobSpec, here: u32, all: u32) -> bool {
    (!spec.one_zone || all == here) && (!spec.spread || here < spec.tasks.div_ceil(2))
}

/// Machines held back from a job for gangs that have precedence and fit nowhere yet: zone, or empty for all zones, and
/// the gang's description.
pub(super) struct GangHold<'a>(Vec<(&'a str, &'a JobSpec)>);

impl<'a> GangHold<'a> {
    /// The machines held back from the job `spec` by the reservations for gangs that have precedence over it.
    pub(super) fn from(controller: &'a Controller, reserved: &'a [(String, String)], spec: &JobSpec) -> Self {
        let has_precedence = |gang: &JobSpec| {
            gang.id != spec.id && gang.priority >= spec.priority && (gang.gpus > 0.0) == (spec.gpus > 0.0)
        };
        let gangs = reserved
            .iter()
            .filter_map(|(zone, id)| Some((zone.as_str(), controller.jobs.get(id)?.spec.as_ref())));
        GangHold(gangs.filter(|(_, gang)| has_precedence(gang)).collect())
    }

    /// Whether a machine is held back from the job.
    pub(super) fn covers(&self, machine: &Machine) -> bool {
        let includes = |zone: &str| zone.is_empty() || *zone == machine.row.zone;
        self.0.iter().any(|(zone, gang)| includes(zone) && allows(gang, machine))
    }
}

impl Controller {
    /// The policy for accelerators on the given machines.
    pub(super) fn accelerator_policy<'a>(
        &self,
        machines: impl Iterator<Item = &'a Machine>,
    ) -> AcceleratorPolicy {
        let cpu_per_gpu = |j: &Job| (j.spec.cpus * 1e3 / j.spec.gpus) as u64;
        let cpu_per_accelerator =
            self.jobs.values().filter(|j| j.spec.gpus > 0.0).map(cpu_per_gpu).max().unwrap_or(0);
        let guaranteed = self.settings.params.teams.iter().any(|t| t.gpus > 0.0);
        let with_accelerators = machines.filter(|m| guaranteed && m.supply.gpu > 0);
        let (free, all) =
            with_accelerators.fold((0, 0), |(free, all), m| (free + m.free().gpu, all + m.supply.gpu));
        AcceleratorPolicy {
            cpu_per_accelerator,
            many_spare: free > 0 && free * SPARE_DIVISOR >= all,
            overdue: false,
        }
    }
}
