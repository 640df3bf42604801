//! The leader's plan of machine moves: which machines change owner in a round, so that every job's owner has room for
//! the job's volume.

use std::collections::{BTreeMap, BTreeSet};

use crate::bookkeeping::records::BlockRow;
use crate::coordination::Controller;
use crate::coordination::eligibility::{AcceleratorPolicy, GangHold, allows, keeps_costly_machine};
use crate::coordination::leader::Unplaced;
use crate::coordination::model::{Job, Machine};
use crate::protocol::job::JobSpec;
use crate::protocol::units::{Micros, Resources};

/// A machine that has just been moved is not moved again for this long.
pub(super) const MOVE_COOLDOWN: Micros = Micros::from_secs(4);

/// How often a machine is moved to a controller that receives its reports without being resolved there, before the
/// leader concludes that it receives no messages.
pub(super) const MAX_RESCUE_MOVES: u32 = 2;

/// How many more tasks of a job each zone may take; `None` if the job has no constraint on zones.
pub(super) type ZoneHeadroom = Option<BTreeMap<String, u64>>;

/// A machine with its state in the round's plan.
struct CandidateMachine<'a> {
    name: &'a str,
    machine: &'a Machine,
    /// Room that the plan leaves.
    room: Resources,
    /// The member that owns it, or is to own it by the plan; empty if it has never been granted.
    planned_owner: &'a str,
    /// It is up and has never been granted.
    awaiting_first_grant: bool,
    /// It changed owner a moment ago and is not moved again yet.
    recently_moved: bool,
    /// How much of the room that preempted array tasks would leave is already planned on.
    preempted: Resources,
}

/// A job with fewer tasks placed than its volume.
struct JobShortfall<'a> {
    id: &'a String,
    job: &'a Job,
    owner: &'a String,
    missing: u64,
    zones: ZoneHeadroom,
}

impl JobShortfall<'_> {
    fn unplaced(&self) -> Unplaced {
        Unplaced { job: self.id.clone(), count: self.missing, zones: self.zones.clone() }
    }
}

/// A machine's room for tasks of a gang. Gangs take machines in the derived order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GangSlots {
    /// How strongly the machine is suspected of faults.
    suspicion: usize,
    /// It has accelerators that the gang does not use.
    wastes_accelerators: bool,
    other_owner: bool,
    busy: bool,
    candidate: usize,
    slots: u64,
}

impl Controller {
    /// Plans machine moves, each to the member named, and the unrecorded machines that are to be recorded.
    pub(super) fn plan_machine_moves(&mut self) -> (BTreeMap<String, String>, Vec<BlockRow>) {
        let mut candidates = self.candidate_machines();
        let mut order = self.job_shortfalls(&candidates);
        let mut moves: BTreeMap<String, String> = BTreeMap::new();
        let mut unplaced = Vec::new();
        let mut reserved_by_plan = BTreeSet::new();
        let accelerator_policy =
            self.accelerator_policy(self.machines.values().filter(|m| self.is_schedulable(m)));
        // A gang is placed whole or not at all: a part of it would only idle until the rest is placed.
        let mut gang_reservations: Vec<(String, String)> = Vec::new();
        let needs_whole_placement = |j: &Job| j.is_gang() && j.placements.is_empty() && !j.spec.spread;
        for shortfall in order.iter_mut().filter(|s| needs_whole_placement(s.job)) {
            match self.find_gang_placement(
                shortfall.id,
                shortfall.job,
                shortfall.owner,
                &candidates,
                &gang_reservations,
                accelerator_policy,
            ) {
                Ok(slots_by_candidate) => {
                    for (candidate, n) in slots_by_candidate {
                        let candidate = &mut candidates[candidate];
                        candidate.room = candidate.room.minus(shortfall.job.spec.need().times(n));
                        reserved_by_plan.insert(candidate.name.to_owned());
                        if candidate.planned_owner != shortfall.owner {
                            moves.insert(candidate.name.to_owned(), shortfall.owner.clone());
                            candidate.planned_owner = shortfall.owner;
                        }
                    }
                }
                Err(zone) => {
                    reserved_by_plan.extend(self.machines_kept_for_gang(
                        shortfall.job,
                        zone.as_deref(),
                        &candidates,
                    ));
                    if let Some(zone) = zone
                        && !self.is_broken(shortfall.id)
                        && gang_reservations.len()
                            < self.max_reserved_zones(self.exceeds_longest_wait(shortfall.job))
                    {
                        gang_reservations.push((zone, shortfall.id.clone()));
                    }
                    unplaced.push(shortfall.unplaced());
                }
            }
            shortfall.missing = 0;
        }
        // First place tasks on the machines that their owners already have, then on machines that must change owner.
        for own in [true, false] {
            for shortfall in order.iter_mut().filter(|s| s.missing > 0) {
                for candidate in self.fill_shortfall(
                    shortfall,
                    &mut candidates,
                    own,
                    &gang_reservations,
                    accelerator_policy,
                ) {
                    reserved_by_plan.insert(candidates[candidate].name.to_owned());
                    if !own {
                        moves.insert(candidates[candidate].name.to_owned(), shortfall.owner.clone());
                        candidates[candidate].planned_owner = shortfall.owner;
                    }
                }
                if !own && shortfall.missing > 0 {
                    unplaced.push(shortfall.unplaced());
                }
            }
        }
        self.balance_idle_machines(&candidates, &reserved_by_plan, &mut moves);
        let with_room =
            candidates.iter().filter(|candidate| !candidate.awaiting_first_grant && candidate.room.cpu > 0);
        let free_after_plan =
            with_room.map(|candidate| (candidate.name.to_owned(), candidate.room)).collect();
        self.rescue_unreachable(&mut moves);
        self.reassign_orphaned_machines(&mut moves);
        for (name, m) in
            self.machines.iter().filter(|(_, m)| m.token_renewal_needed && self.owner_is_registered(m))
        {
            moves.entry(name.clone()).or_insert_with(|| m.row.owner.clone());
        }
        self.gang_reservations = gang_reservations;
        let Some(lead) = &mut self.leader_state else { return Default::default() };
        lead.free_after_plan = free_after_plan;
        lead.unplaced = unplaced;
        lead.reserved_by_plan = reserved_by_plan;
        let unrecorded = lead.unrecorded_machines.iter().filter(|(n, _)| !self.machines.contains_key(*n));
        (moves, unrecorded.map(|(_, s)| s.0.clone()).collect())
    }

    /// The machines that tasks can be planned on, by name.
    fn candidate_machines(&self) -> Vec<CandidateMachine<'_>> {
        let Some(lead) = &self.leader_state else { return Vec::new() };
        let in_cooldown =
            |name: &String| lead.moved_at.get(name).is_some_and(|at| self.now.since(*at) < MOVE_COOLDOWN);
        let mut candidates = Vec::new();
        for (name, machine) in &self.machines {
            let recently_moved = in_cooldown(name);
            let awaiting_first_grant = machine.never_granted()
                && !machine.row.returning
                && lead.unrecorded_machines.contains_key(name)
                && self.all_controllers_applied(machine.grant_revision);
            // A machine on its way to a new owner will be usable there shortly.
            let arriving = || {
                recently_moved
                    && !machine.never_granted()
                    && self.owner_is_registered(machine)
                    && !machine.row.returning
            };
            if awaiting_first_grant || self.is_schedulable(machine) || arriving() {
                let room = if awaiting_first_grant { machine.supply } else { machine.free() };
                let (preempted, planned_owner) = (Resources::default(), machine.row.owner.as_str());
                candidates.push(CandidateMachine {
                    name,
                    machine,
                    room,
                    planned_owner,
                    awaiting_first_grant,
                    recently_moved,
                    preempted,
                });
            }
        }
        candidates
    }

    /// The jobs with fewer tasks placed than their volume, in order of precedence.
    fn job_shortfalls(&self, candidates: &[CandidateMachine<'_>]) -> Vec<JobShortfall<'_>> {
        let below_volume = self.jobs.iter().filter(|(_, j)| j.remaining_volume() > 0);
        let below_volume = below_volume.filter(|(id, _)| !self.awaits_retry(id));
        let mut order: Vec<JobShortfall> = below_volume
            .filter_map(|(id, job)| {
                let zones = self.zone_headroom(id, job, candidates.iter().map(|s| (s.machine, s.room)));
                Some(JobShortfall {
                    id,
                    job,
                    owner: job.owner.as_ref()?,
                    missing: u64::from(job.remaining_volume()),
                    zones,
                })
            })
            .collect();
        order.sort_by_cached_key(|s| self.placement_precedence(s.job));
        order
    }

    /// Takes room for a job's missing tasks: on the machines of its owner if `own`, otherwise on others.
    /// Returns the indices of the machines on which tasks are planned.
    fn fill_shortfall(
        &self,
        shortfall: &mut JobShortfall<'_>,
        candidates: &mut [CandidateMachine<'_>],
        own: bool,
        gang_reservations: &[(String, String)],
        accelerator_policy: AcceleratorPolicy,
    ) -> Vec<usize> {
        let spec = &shortfall.job.spec;
        let need = spec.need();
        // Room that the owner can make by preempting tasks counts as room.
        let preempts = self.may_preempt(spec);
        let gang_hold = GangHold::from(self, gang_reservations, spec);
        let mut options = Vec::new();
        for (i, candidate) in candidates.iter().enumerate() {
            // Most machines are full, so the cheap check comes first.
            let fits = need.fits(candidate.room);
            if !fits && !preempts
                || (candidate.planned_owner == shortfall.owner) != own
                || !own && candidate.recently_moved
            {
                continue;
            }
            if (preempts || need.fits(self.room_available_to(spec, candidate.name, candidate.room)))
                && allows(spec, candidate.machine)
                && !gang_hold.covers(candidate.machine)
            {
                let other_owner = !own && !candidate.planned_owner.is_empty();
                let wastes_accelerators = candidate.machine.supply.gpu > 0 && spec.gpus == 0.0;
                let busy = other_owner && !candidate.machine.idle();
                let suspicion = self.fault_attribution.suspicion(shortfall.id, candidate.name);
                let key = (
                    suspicion,
                    wastes_accelerators,
                    keeps_costly_machine(spec, candidate.machine),
                    !fits,
                    busy,
                    candidate.room.cpu,
                    i,
                );
                options.push(key);
            }
        }
        options.sort_unstable();
        let mut taken = Vec::new();
        for (.., i) in options {
            if shortfall.missing == 0 {
                break;
            }
            let candidate = &mut candidates[i];
            let preemptible = if preempts {
                self.preemptible_resources(spec, candidate.machine)
            } else {
                Resources::default()
            };
            let room = candidate.room.plus(preemptible.minus(candidate.preempted));
            let here =
                shortfall.zones.as_mut().map(|z| z.entry(candidate.machine.row.zone.clone()).or_default());
            let n = self
                .task_slots(spec, candidate.name, candidate.machine, room, accelerator_policy)
                .min(shortfall.missing)
                .min(here.as_ref().map_or(u64::MAX, |h| **h));
            if n == 0 {
                continue;
            }
            shortfall.missing -= n;
            if let Some(here) = here {
                *here -= n;
            }
            let used = need.times(n);
            candidate.preempted = candidate.preempted.plus(used.minus(candidate.room));
            candidate.room = candidate.room.minus(used);
            taken.push(i);
        }
        taken
    }

    /// How many tasks of a job a machine takes in the given room.
    fn task_slots(
        &self,
        spec: &JobSpec,
        name: &str,
        machine: &Machine,
        room: Resources,
        accelerator_policy: AcceleratorPolicy,
    ) -> u64 {
        accelerator_policy.for_wait(self.waited(&spec.id)).tasks_that_fit(
            spec,
            machine,
            self.room_available_to(spec, name, room),
        )
    }

    /// Finds machines for all tasks of a gang: in a zone where its owner already has room for the whole gang, or else
    /// in the zone with the least room that is enough. If no zone has enough, returns the zone in which to reserve
    /// room: the one reserved before, or else the one with the most room.
    fn find_gang_placement(
        &self,
        id: &str,
        job: &Job,
        owner: &str,
        candidates: &[CandidateMachine<'_>],
        gang_reservations: &[(String, String)],
        accelerator_policy: AcceleratorPolicy,
    ) -> Result<Vec<(usize, u64)>, Option<String>> {
        let spec = &job.spec;
        let size = u64::from(spec.tasks);
        let gang_hold = GangHold::from(self, gang_reservations, spec);
        let mut zones: BTreeMap<&str, Vec<GangSlots>> = BTreeMap::new();
        for (i, candidate) in candidates.iter().enumerate().filter(|(_, s)| spec.need().fits(s.room)) {
            let m = candidate.machine;
            let other_owner = candidate.planned_owner != owner;
            if !allows(spec, m) || other_owner && candidate.recently_moved {
                continue;
            }
            let slots = self.task_slots(spec, candidate.name, m, candidate.room, accelerator_policy);
            if slots > 0 && !gang_hold.covers(m) {
                let zone = if spec.one_zone { m.row.zone.as_str() } else { "" };
                let wastes_accelerators = m.supply.gpu > 0 && spec.gpus == 0.0;
                let busy = other_owner && !m.idle();
                zones.entry(zone).or_default().push(GangSlots {
                    suspicion: self.fault_attribution.suspicion(id, candidate.name),
                    wastes_accelerators,
                    other_owner,
                    busy,
                    candidate: i,
                    slots,
                });
            }
        }
        let total = |rows: &[GangSlots], own: bool| -> u64 {
            rows.iter().filter(|r| !own || !r.other_owner).map(|r| r.slots).sum()
        };
        let fitting = zones.values().filter(|rows| total(rows, false) >= size);
        let Some(rows) = fitting.min_by_key(|rows| (total(rows, true) < size, total(rows, false))) else {
            // The reserved zone stays the same from round to round; otherwise room would be held back in all zones.
            let previous_zone =
                self.gang_reservations.iter().find(|(_, j)| j == id).map(|(zone, _)| zone.clone());
            let most = zones.iter().max_by_key(|(_, rows)| total(rows, false));
            return Err(previous_zone.or_else(|| most.map(|(zone, _)| (*zone).to_owned())));
        };
        let mut rows = rows.clone();
        rows.sort();
        let mut left = size;
        let mut slots_by_candidate = Vec::new();
        for machine_slots in rows {
            let n = machine_slots.slots.min(left);
            if n > 0 {
                slots_by_candidate.push((machine_slots.candidate, n));
                left -= n;
            }
        }
        Ok(slots_by_candidate)
    }

    /// The machines to keep for a gang while further machines for it are still booting. Returned as idle meanwhile,
    /// they would never be available all at the same time.
    fn machines_kept_for_gang(
        &self,
        job: &Job,
        zone: Option<&str>,
        candidates: &[CandidateMachine<'_>],
    ) -> Vec<String> {
        let spec = &job.spec;
        let suitable =
            |m: &Machine| allows(spec, m) && (!spec.one_zone || zone.is_none_or(|zone| zone == m.row.zone));
        if !self.machines.values().any(|m| self.is_incoming(m) && suitable(m)) {
            return Vec::new();
        }
        let mut missing = u64::from(spec.tasks);
        let mut kept = Vec::new();
        for candidate in candidates.iter().filter(|candidate| suitable(candidate.machine)) {
            let slots = spec.need().times_in(candidate.room);
            if slots > 0 && missing > 0 {
                missing = missing.saturating_sub(slots);
                kept.push(candidate.name.to_owned());
            }
        }
        kept
    }

    /// In how many zones room may be reserved at a time for gangs that fit nowhere: in half of them, or in all but one
    /// if a gang has waited too long.
    fn max_reserved_zones(&self, waited_too_long: bool) -> usize {
        let zones = self.settings.params.zones.len();
        if waited_too_long { zones.saturating_sub(1).max(1) } else { (zones / 2).max(1) }
    }

    /// Whether a job has waited for longer than the operators' setting allows.
    fn exceeds_longest_wait(&self, job: &Job) -> bool {
        self.now.since(job.known_since).as_secs_f64() > self.tuning.longest_wait_s
    }

    /// Notes that a machine has reported to a controller that does not own it.
    pub(super) fn note_misdirected_report(&mut self, machine: String, by: String) {
        let now = self.now;
        if let Some(lead) = &mut self.leader_state {
            lead.misdirected_reports.insert(machine, (by, now));
        }
    }

    /// Moves a machine that is silent to its owner but has reported to another controller, to that controller:
    /// the connection between machine and owner is cut, and the machine would lose its tasks when its lease expires.
    ///
    /// A machine that reports to one controller after another and never confirms a grant of any of them receives no
    /// messages. Without [`MAX_RESCUE_MOVES`], such a machine was moved again and again, was neither resolved nor
    /// returned, and kept its tasks forever.
    fn rescue_unreachable(&mut self, moves: &mut BTreeMap<String, String>) {
        let mut rescue_moves =
            self.leader_state.as_mut().map(|l| std::mem::take(&mut l.rescue_moves)).unwrap_or_default();
        rescue_moves.retain(|name, _| self.machines.get(name).is_some_and(|m| !m.resolved || m.unresponsive));
        self.move_unreachable(&mut rescue_moves, moves);
        if let Some(lead) = &mut self.leader_state {
            lead.rescue_moves = rescue_moves;
        }
    }

    fn move_unreachable(
        &self,
        rescue_moves: &mut BTreeMap<String, u32>,
        moves: &mut BTreeMap<String, String>,
    ) {
        let Some(lead) = &self.leader_state else { return };
        let silence_limit = (self.report_every.as_secs_f64() * 2.0 + 1.0) as u32;
        for (name, (by, at)) in &lead.misdirected_reports {
            let recent = self.now.since(*at) < Micros::from_secs(6) && self.registrations.contains_key(by);
            let Some(m) = self.machines.get(name).filter(|m| !m.never_granted() && !m.row.returning) else {
                continue;
            };
            let owner_silence =
                self.peers.get(&m.row.owner).map_or(Micros::MAX, |p| self.now.since(p.last_received_at));
            let silent_to_owner = self.seconds_silent(m) >= silence_limit
                || owner_silence > Micros::from_secs(u64::from(silence_limit));
            let rescues = rescue_moves.get(name).copied().unwrap_or(0);
            let may_move = m.row.owner != *by && !lead.moved_at.contains_key(name);
            if recent && silent_to_owner && may_move && rescues < MAX_RESCUE_MOVES {
                rescue_moves.insert(name.clone(), rescues + 1);
                moves.insert(name.clone(), by.clone());
            }
        }
    }

    /// How many more tasks of a job each zone may take; `None` if the job has no constraint on zones.
    pub(super) fn zone_headroom<'m>(
        &self,
        id: &str,
        job: &Job,
        rooms: impl Iterator<Item = (&'m Machine, Resources)>,
    ) -> ZoneHeadroom {
        let spec = &job.spec;
        if !spec.one_zone && !spec.spread {
            return None;
        }
        let counts = self.zone_counts(id);
        if spec.spread {
            let most = u64::from(spec.tasks.div_ceil(2));
            let mut zones: Vec<String> = self.machine_types.values().flat_map(|t| t.zones.clone()).collect();
            zones.extend(counts.keys().cloned());
            let left = |z: &String| most.saturating_sub(u64::from(counts.get(z).copied().unwrap_or(0)));
            return Some(zones.into_iter().map(|z| (left(&z), z)).map(|(n, z)| (z, n)).collect());
        }
        if let Some(zone) = counts.keys().next() {
            return Some([(zone.clone(), u64::MAX)].into());
        }
        let need = spec.need();
        let mut room: BTreeMap<&str, u64> = BTreeMap::new();
        for (machine, free) in rooms {
            if need.fits(free) && allows(spec, machine) {
                *room.entry(machine.row.zone.as_str()).or_default() += need.times_in(free);
            }
        }
        let best = room.into_iter().max_by_key(|(_, n)| *n)?;
        Some([(best.0.to_owned(), u64::MAX)].into())
    }

    /// Moves machines that no job needs to the members with the fewest idle machines of their type: new ones at once,
    /// others when the numbers differ by two or more. The owner of a new job then likely has room for it.
    fn balance_idle_machines(
        &self,
        candidates: &[CandidateMachine<'_>],
        reserved_by_plan: &BTreeSet<String>,
        moves: &mut BTreeMap<String, String>,
    ) {
        let members: Vec<&String> = self.view.members.iter().map(|m| &m.0).collect();
        if members.is_empty() {
            return;
        }
        let mut idle: BTreeMap<&str, BTreeMap<&str, Vec<&CandidateMachine>>> = BTreeMap::new();
        for candidate in candidates {
            let by_owner = idle
                .entry(candidate.machine.row.kind.as_str())
                .or_insert_with(|| members.iter().map(|m| (m.as_str(), Vec::new())).collect());
            if candidate.machine.idle()
                && !reserved_by_plan.contains(candidate.name)
                && !moves.contains_key(candidate.name)
                && let Some(list) = by_owner.get_mut(candidate.planned_owner)
            {
                list.push(candidate);
            }
        }
        for candidate in candidates.iter().filter(|s| s.awaiting_first_grant) {
            if moves.contains_key(candidate.name) {
                continue;
            }
            let Some(by_owner) = idle.get_mut(candidate.machine.row.kind.as_str()) else { continue };
            if let Some((owner, list)) = by_owner.iter_mut().min_by_key(|(_, l)| l.len()) {
                list.push(candidate);
                moves.insert(candidate.name.to_owned(), (*owner).to_owned());
            }
        }
        for by_owner in idle.values() {
            let most = by_owner.iter().max_by_key(|(_, l)| l.len());
            let least = by_owner.iter().min_by_key(|(_, l)| l.len());
            if let (Some((_, most)), Some((to, least))) = (most, least)
                && most.len() >= least.len() + 2
                && let Some(candidate) = most.iter().find(|s| !s.awaiting_first_grant && !s.recently_moved)
            {
                moves.insert(candidate.name.to_owned(), (*to).to_owned());
            }
        }
    }
}
