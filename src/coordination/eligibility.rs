//! Where a job's tasks may run: what its description allows, and which machines it leaves to others.

use crate::coordination::Controller;
use crate::coordination::model::{Job, Machine};
use crate::protocol::job::JobSpec;
use crate::protocol::units::{Micros, Resources};

/// Plain work that has had nothing running for so long is kept off accelerators' machines no more.
const KEPT_OFF_AT_MOST: Micros = Micros::from_secs(45);
/// Accelerators count as spare while more than one in so many is free.
const SPARE_PART: u64 = 4;

/// Whether a task would keep a machine that costs more than it need: an idle one with accelerators that
/// it does not use, or an ordinary one where a cheap one would do. Left idle, it can be returned, and
/// room is left there for work that must have it.
pub(super) fn keeps_dear(spec: &JobSpec, machine: &Machine) -> bool {
    (spec.gpus == 0.0 && machine.supply.gpu > 0 && machine.idle()) || (spec.spot && !machine.row.spot)
}

/// What plain work leaves of accelerator machines to the accelerators' own.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cards {
    /// Processors that one accelerator's work takes, by the largest live job that uses any.
    per_card: u64,
    /// Teams are guaranteed accelerators, so that the machines stand there anyway, and a good part of
    /// these has no work.
    spare: bool,
    /// The job in question has waited for too long to be kept off any machine.
    overdue: bool,
}

impl Cards {
    /// The same for a job that has had nothing running for so long.
    pub(super) fn after(self, waited: Micros) -> Cards {
        Cards { overdue: Cards::lets_in_after(waited), ..self }
    }

    /// Whether a job that has had nothing running for so long is kept off no machine.
    pub(super) fn lets_in_after(waited: Micros) -> bool {
        waited >= KEPT_OFF_AT_MOST
    }

    /// Work without accelerators may use what accelerator work leaves of a machine that it has in use,
    /// but does not keep such a machine for itself, which costs several times as much, unless the
    /// machine is there and paid for anyway.
    pub(super) fn keep_off(self, spec: &JobSpec, machine: &Machine, room: Resources) -> bool {
        let open = self.overdue || self.idles(machine);
        if spec.gpus > 0.0 || machine.supply.gpu == 0 || spec.machine_types.is_some() || open {
            return false;
        }
        let cards_in_use = machine.tasks.values().any(|t| !t.ended() && t.need.gpu > 0);
        !cards_in_use || spec.need().cpu + room.gpu / 1000 * self.per_card > room.cpu
    }

    /// A standing machine without work for its accelerators, of which there are plenty.
    fn idles(self, machine: &Machine) -> bool {
        self.spare && !machine.row.spot && machine.tasks.values().all(|t| t.ended() || t.need.gpu == 0)
    }

    /// How many tasks of a plain job a machine takes beside the work of its accelerators.
    pub(super) fn times(self, spec: &JobSpec, machine: &Machine, mut room: Resources) -> u64 {
        if self.keep_off(spec, machine, room) {
            return 0;
        }
        if spec.gpus == 0.0 && machine.supply.gpu > 0 && !self.overdue && !self.idles(machine) {
            room.cpu = room.cpu.saturating_sub(room.gpu / 1000 * self.per_card);
        }
        spec.need().times_in(room)
    }
}

/// Whether a job's description allows a machine, apart from its other tasks.
pub(super) fn allows(spec: &JobSpec, machine: &Machine) -> bool {
    spec.machine_types.as_ref().is_none_or(|t| t.contains(&machine.row.kind))
        && spec.zone.as_ref().is_none_or(|z| *z == machine.row.zone)
        && (spec.spot || !machine.row.spot)
        && spec.need().fits(machine.supply)
}

/// Whether one more task of a job may be in a zone where so many of its tasks are, of so many in all.
pub(super) fn zone_open(spec: &JobSpec, here: u32, all: u32) -> bool {
    (!spec.one_zone || all == here) && (!spec.spread || here < spec.tasks.div_ceil(2))
}

/// Room that is held back from a job: zone, or none for all, and the gang that comes before it and
/// fits nowhere.
pub(super) struct HeldBack<'a>(Vec<(&'a str, &'a JobSpec)>);

impl<'a> HeldBack<'a> {
    pub(super) fn from(all: &'a Controller, reserved: &'a [(String, String)], spec: &JobSpec) -> Self {
        let before = |gang: &JobSpec| {
            gang.id != spec.id && gang.priority >= spec.priority && (gang.gpus > 0.0) == (spec.gpus > 0.0)
        };
        let gangs =
            reserved.iter().filter_map(|(zone, id)| Some((zone.as_str(), all.jobs.get(id)?.spec.as_ref())));
        HeldBack(gangs.filter(|(_, gang)| before(gang)).collect())
    }

    pub(super) fn holds(&self, machine: &Machine) -> bool {
        let here = |zone: &str| zone.is_empty() || *zone == machine.row.zone;
        self.0.iter().any(|(zone, gang)| here(zone) && allows(gang, machine))
    }
}

impl Controller {
    /// What plain work leaves to accelerators on these machines.
    pub(super) fn cards<'a>(&self, machines: impl Iterator<Item = &'a Machine>) -> Cards {
        let per = |j: &Job| (j.spec.cpus * 1e3 / j.spec.gpus) as u64;
        let per_card = self.jobs.values().filter(|j| j.spec.gpus > 0.0).map(per).max().unwrap_or(0);
        let guaranteed = self.settings.params.teams.iter().any(|t| t.gpus > 0.0);
        let with_cards = machines.filter(|m| guaranteed && m.supply.gpu > 0);
        let (free, all) = with_cards.fold((0, 0), |(free, all), m| (free + m.free().gpu, all + m.supply.gpu));
        Cards { per_card, spare: free > 0 && free * SPARE_PART >= all, overdue: false }
    }
}
