//! The leader's plan of machine moves: which machines change owner in a round, so that every job's owner has room for
//! the job's volume.

use std::collections::{BTreeMap, BTreeSet};

use crate::bookkeeping::records::BlockRow;
use crate::coordination::Controller;
use crate::coordination::eligibility::{Cards, HeldBack, allows, keeps_dear};
use crate::coordination::leader::Unplaced;
use crate::coordination::model::{Job, Machine};
use crate::protocol::job::JobSpec;
use crate::protocol::units::{Micros, Resources};

/// A machine that has just been moved is not moved again for this long.
pub(super) const SETTLE: Micros = Micros::from_secs(4);

/// How often a machine is moved to a controller that hears it without being resolved there, before the leader concludes
/// that it receives no messages.
pub(super) const DEAF: u32 = 2;

/// How many more tasks of a job each zone may take; `None` if the job has no constraint on zones.
pub(super) type ZonesLeft = Option<BTreeMap<String, u64>>;

/// A machine with its state in the round's plan.
struct Spot<'a> {
    name: &'a str,
    machine: &'a Machine,
    /// Room that the plan leaves.
    room: Resources,
    /// The member that holds it, or is to hold it by the plan; empty if it has never been granted.
    held: &'a str,
    /// It is up and has never been granted.
    fresh: bool,
    /// It changed owner a moment ago and is not moved again yet.
    moved: bool,
    /// How much of the room that displaced array tasks would leave is already planned on.
    displaced: Resources,
}

/// A job with fewer tasks placed than its volume.
struct Short<'a> {
    id: &'a String,
    job: &'a Job,
    owner: &'a String,
    count: u64,
    zones: ZonesLeft,
}

impl Short<'_> {
    fn unplaced(&self) -> Unplaced {
        Unplaced { job: self.id.clone(), count: self.count, zones: self.zones.clone() }
    }
}

/// A machine's room for tasks of a gang. Gangs take machines in the derived order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Offer {
    /// How strongly the machine is suspected of faults.
    doubt: usize,
    /// It has accelerators that the gang does not use.
    dear: bool,
    foreign: bool,
    busy: bool,
    spot: usize,
    slots: u64,
}

impl Controller {
    /// Plans machine moves, each to the member named, and the unrecorded machines that are to be recorded.
    pub(super) fn plan_blocks(&mut self) -> (BTreeMap<String, String>, Vec<BlockRow>) {
        let mut spots = self.spots();
        let mut order = self.short_jobs(&spots);
        let mut moves: BTreeMap<String, String> = BTreeMap::new();
        let mut unplaced = Vec::new();
        let mut promised = BTreeSet::new();
        let cards = self.cards(self.machines.values().filter(|m| self.serving(m)));
        // A gang is placed whole or not at all: a part of it would only idle until the rest is placed.
        let mut reserved: Vec<(String, String)> = Vec::new();
        let whole = |j: &Job| j.is_gang() && j.on.is_empty() && !j.spec.spread;
        for short in order.iter_mut().filter(|s| whole(s.job)) {
            match self.gang_places(short.id, short.job, short.owner, &spots, &reserved, cards) {
                Ok(places) => {
                    for (spot, n) in places {
                        let spot = &mut spots[spot];
                        spot.room = spot.room.minus(short.job.spec.need().times(n));
                        promised.insert(spot.name.to_owned());
                        if spot.held != short.owner {
                            moves.insert(spot.name.to_owned(), short.owner.clone());
                            spot.held = short.owner;
                        }
                    }
                }
                Err(zone) => {
                    promised.extend(self.kept_for_gang(short.job, zone.as_deref(), &spots));
                    if let Some(zone) = zone
                        && !self.mistaken(short.id)
                        && reserved.len() < self.zones_reservable(self.overdue(short.job))
                    {
                        reserved.push((zone, short.id.clone()));
                    }
                    unplaced.push(short.unplaced());
                }
            }
            short.count = 0;
        }
        // First place tasks on the machines that their owners already hold, then on machines that must change owner.
        for own in [true, false] {
            for short in order.iter_mut().filter(|s| s.count > 0) {
                for spot in self.fill(short, &mut spots, own, &reserved, cards) {
                    promised.insert(spots[spot].name.to_owned());
                    if !own {
                        moves.insert(spots[spot].name.to_owned(), short.owner.clone());
                        spots[spot].held = short.owner;
                    }
                }
                if !own && short.count > 0 {
                    unplaced.push(short.unplaced());
                }
            }
        }
        self.spread_idle(&spots, &mut moves);
        let with_room = spots.iter().filter(|spot| !spot.fresh && spot.room.cpu > 0);
        let left_by_plan = with_room.map(|spot| (spot.name.to_owned(), spot.room)).collect();
        self.rescue(&mut moves);
        self.regrant(&mut moves);
        for (name, m) in self.machines.iter().filter(|(_, m)| m.renew && self.holds(m)) {
            moves.entry(name.clone()).or_insert_with(|| m.row.owner.clone());
        }
        self.reserved = reserved;
        let Some(lead) = &mut self.lead else { return Default::default() };
        lead.left_by_plan = left_by_plan;
        lead.unplaced = unplaced;
        lead.promised = promised;
        let strays = lead.strays.iter().filter(|(n, _)| !self.machines.contains_key(*n));
        (moves, strays.map(|(_, s)| s.0.clone()).collect())
    }

    /// The machines that tasks can be planned on, by name.
    fn spots(&self) -> Vec<Spot<'_>> {
        let Some(lead) = &self.lead else { return Vec::new() };
        let settling = |name: &String| lead.moved.get(name).is_some_and(|at| self.now.since(*at) < SETTLE);
        let mut spots = Vec::new();
        for (name, machine) in &self.machines {
            let moved = settling(name);
            let fresh = machine.unused()
                && !machine.row.returning
                && lead.strays.contains_key(name)
                && self.everyone_applied(machine.stamp);
            // A machine on its way to a new owner will be usable there shortly.
            let comes = || moved && !machine.unused() && self.holds(machine) && !machine.row.returning;
            if fresh || self.serving(machine) || comes() {
                let room = if fresh { machine.supply } else { machine.free() };
                let (displaced, held) = (Resources::default(), machine.row.owner.as_str());
                spots.push(Spot { name, machine, room, held, fresh, moved, displaced });
            }
        }
        spots
    }

    /// The jobs with fewer tasks placed than their volume, in order of precedence.
    fn short_jobs(&self, spots: &[Spot<'_>]) -> Vec<Short<'_>> {
        let short = self.jobs.iter().filter(|(_, j)| j.lacking() > 0);
        let short = short.filter(|(id, _)| !self.held(id));
        let mut order: Vec<Short> = short
            .filter_map(|(id, job)| {
                let zones = self.zones_left(id, job, spots.iter().map(|s| (s.machine, s.room)));
                Some(Short { id, job, owner: job.owner.as_ref()?, count: u64::from(job.lacking()), zones })
            })
            .collect();
        order.sort_by_cached_key(|s| self.placing_precedence(s.job));
        order
    }

    /// Takes room for a job's missing tasks: on the machines that its owner holds if `own`, otherwise on others.
    /// Returns the indices of the machines on which tasks are planned.
    fn fill(
        &self,
        short: &mut Short<'_>,
        spots: &mut [Spot<'_>],
        own: bool,
        reserved: &[(String, String)],
        cards: Cards,
    ) -> Vec<usize> {
        let spec = &short.job.spec;
        let need = spec.need();
        // Room that the owner can make by displacing tasks counts as room.
        let displaces = self.may_displace(spec);
        let closed = HeldBack::from(self, reserved, spec);
        let mut options = Vec::new();
        for (i, spot) in spots.iter().enumerate() {
            // Most machines are full, so the cheap check comes first.
            let fits = need.fits(spot.room);
            if !fits && !displaces || (spot.held == short.owner) != own || !own && spot.moved {
                continue;
            }
            if (displaces || need.fits(self.room_for(spec, spot.name, spot.room)))
                && allows(spec, spot.machine)
                && !closed.holds(spot.machine)
            {
                let foreign = !own && !spot.held.is_empty();
                let cards_idle = spot.machine.supply.gpu > 0 && spec.gpus == 0.0;
                let busy = foreign && !spot.machine.idle();
                let doubt = self.blame.doubt(short.id, spot.name);
                let key = (doubt, cards_idle, keeps_dear(spec, spot.machine), !fits, busy, spot.room.cpu, i);
                options.push(key);
            }
        }
        options.sort_unstable();
        let mut taken = Vec::new();
        for (.., i) in options {
            if short.count == 0 {
                break;
            }
            let spot = &mut spots[i];
            let yields = if displaces { self.displaceable(spec, spot.machine) } else { Resources::default() };
            let room = spot.room.plus(yields.minus(spot.displaced));
            let here = short.zones.as_mut().map(|z| z.entry(spot.machine.row.zone.clone()).or_default());
            let n = self
                .slots(spec, spot.name, spot.machine, room, cards)
                .min(short.count)
                .min(here.as_ref().map_or(u64::MAX, |h| **h));
            if n == 0 {
                continue;
            }
            short.count -= n;
            if let Some(here) = here {
                *here -= n;
            }
            let used = need.times(n);
            spot.displaced = spot.displaced.plus(used.minus(spot.room));
            spot.room = spot.room.minus(used);
            taken.push(i);
        }
        taken
    }

    /// How many tasks of a job a machine takes in the given room.
    fn slots(&self, spec: &JobSpec, name: &str, machine: &Machine, room: Resources, cards: Cards) -> u64 {
        cards.after(self.waited(&spec.id)).times(spec, machine, self.room_for(spec, name, room))
    }

    /// Finds machines for all tasks of a gang: in a zone where its owner already has room for the whole gang, or else
    /// in the zone with the least room that is enough. If no zone has enough, returns the zone in which to reserve
    /// room: the one reserved before, or else the one with the most room.
    fn gang_places(
        &self,
        id: &str,
        job: &Job,
        owner: &str,
        spots: &[Spot<'_>],
        reserved: &[(String, String)],
        cards: Cards,
    ) -> Result<Vec<(usize, u64)>, Option<String>> {
        let spec = &job.spec;
        let size = u64::from(spec.tasks);
        let closed = HeldBack::from(self, reserved, spec);
        let mut zones: BTreeMap<&str, Vec<Offer>> = BTreeMap::new();
        for (i, spot) in spots.iter().enumerate().filter(|(_, s)| spec.need().fits(s.room)) {
            let m = spot.machine;
            let foreign = spot.held != owner;
            if !allows(spec, m) || foreign && spot.moved {
                continue;
            }
            let slots = self.slots(spec, spot.name, m, spot.room, cards);
            if slots > 0 && !closed.holds(m) {
                let zone = if spec.one_zone { m.row.zone.as_str() } else { "" };
                let dear = m.supply.gpu > 0 && spec.gpus == 0.0;
                let busy = foreign && !m.idle();
                zones.entry(zone).or_default().push(Offer {
                    doubt: self.blame.doubt(id, spot.name),
                    dear,
                    foreign,
                    busy,
                    spot: i,
                    slots,
                });
            }
        }
        let total = |rows: &[Offer], own: bool| -> u64 {
            rows.iter().filter(|r| !own || !r.foreign).map(|r| r.slots).sum()
        };
        let fitting = zones.values().filter(|rows| total(rows, false) >= size);
        let Some(rows) = fitting.min_by_key(|rows| (total(rows, true) < size, total(rows, false))) else {
            // The reserved zone stays the same from round to round; otherwise room would be held back in all zones in
            // turn.
            let before = self.reserved.iter().find(|(_, j)| j == id).map(|(zone, _)| zone.clone());
            let most = zones.iter().max_by_key(|(_, rows)| total(rows, false));
            return Err(before.or_else(|| most.map(|(zone, _)| (*zone).to_owned())));
        };
        let mut rows = rows.clone();
        rows.sort();
        let mut left = size;
        let mut places = Vec::new();
        for offer in rows {
            let n = offer.slots.min(left);
            if n > 0 {
                places.push((offer.spot, n));
                left -= n;
            }
        }
        Ok(places)
    }

    /// The machines to keep for a gang while further machines for it are still booting. Returned as idle meanwhile,
    /// they would never be available all at the same time.
    fn kept_for_gang(&self, job: &Job, zone: Option<&str>, spots: &[Spot<'_>]) -> Vec<String> {
        let spec = &job.spec;
        let there =
            |m: &Machine| allows(spec, m) && (!spec.one_zone || zone.is_none_or(|zone| zone == m.row.zone));
        if !self.machines.values().any(|m| self.coming(m) && there(m)) {
            return Vec::new();
        }
        let mut missing = u64::from(spec.tasks);
        let mut kept = Vec::new();
        for spot in spots.iter().filter(|spot| there(spot.machine)) {
            let places = spec.need().times_in(spot.room);
            if places > 0 && missing > 0 {
                missing = missing.saturating_sub(places);
                kept.push(spot.name.to_owned());
            }
        }
        kept
    }

    /// In how many zones room may be reserved at a time for gangs that fit nowhere: in half of them, or in all but one
    /// if a gang has waited too long.
    fn zones_reservable(&self, overdue: bool) -> usize {
        let zones = self.settings.params.zones.len();
        if overdue { zones.saturating_sub(1).max(1) } else { (zones / 2).max(1) }
    }

    fn overdue(&self, job: &Job) -> bool {
        self.now.since(job.since).as_secs_f64() > self.tuning.longest_wait_s
    }

    pub(super) fn heard_elsewhere(&mut self, machine: String, by: String) {
        let now = self.now;
        if let Some(lead) = &mut self.lead {
            lead.heard.insert(machine, (by, now));
        }
    }

    /// Moves a machine that its owner has not heard from for a while, and another controller has, to that controller:
    /// the connection between machine and owner is cut, and the machine would lose its tasks when its lease expires.
    ///
    /// A machine that is heard by one controller after another and never confirms a grant of any of them receives no
    /// messages. Without [`MAX_RESCUE_MOVES`], such a machine was moved again and again, was neither resolved nor
    /// returned, and held its tasks forever.
    fn rescue(&mut self, moves: &mut BTreeMap<String, String>) {
        let mut rescued = self.lead.as_mut().map(|l| std::mem::take(&mut l.rescued)).unwrap_or_default();
        rescued.retain(|name, _| self.machines.get(name).is_some_and(|m| !m.resolved || m.lost));
        self.rescue_cut_off(&mut rescued, moves);
        if let Some(lead) = &mut self.lead {
            lead.rescued = rescued;
        }
    }

    fn rescue_cut_off(&self, rescued: &mut BTreeMap<String, u32>, moves: &mut BTreeMap<String, String>) {
        let Some(lead) = &self.lead else { return };
        let silent = (self.report_every.as_secs_f64() * 2.0 + 1.0) as u32;
        for (name, (by, at)) in &lead.heard {
            let recent = self.now.since(*at) < Micros::from_secs(6) && self.nodes.contains_key(by);
            let Some(m) = self.machines.get(name).filter(|m| !m.unused() && !m.row.returning) else {
                continue;
            };
            let word = self.peers.get(&m.row.owner).map_or(Micros::MAX, |p| self.now.since(p.heard));
            let unheard = self.dark(m) >= silent || word > Micros::from_secs(u64::from(silent));
            let times = rescued.get(name).copied().unwrap_or(0);
            let another = m.row.owner != *by && !lead.moved.contains_key(name);
            if recent && unheard && another && times < DEAF {
                rescued.insert(name.clone(), times + 1);
                moves.insert(name.clone(), by.clone());
            }
        }
    }

    /// How many more tasks of a job each zone may take; `None` if the job has no constraint on zones.
    pub(super) fn zones_left<'m>(
        &self,
        id: &str,
        job: &Job,
        rooms: impl Iterator<Item = (&'m Machine, Resources)>,
    ) -> ZonesLeft {
        let spec = &job.spec;
        if !spec.one_zone && !spec.spread {
            return None;
        }
        let counts = self.zone_counts(id);
        if spec.spread {
            let most = u64::from(spec.tasks.div_ceil(2));
            let mut zones: Vec<String> = self.types.values().flat_map(|t| t.zones.clone()).collect();
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
    fn spread_idle(&self, spots: &[Spot<'_>], moves: &mut BTreeMap<String, String>) {
        let members: Vec<&String> = self.view.members.iter().map(|m| &m.0).collect();
        if members.is_empty() {
            return;
        }
        let mut idle: BTreeMap<&str, BTreeMap<&str, Vec<&Spot>>> = BTreeMap::new();
        for spot in spots {
            let by_owner = idle
                .entry(spot.machine.row.kind.as_str())
                .or_insert_with(|| members.iter().map(|m| (m.as_str(), Vec::new())).collect());
            if spot.machine.idle()
                && !moves.contains_key(spot.name)
                && let Some(list) = by_owner.get_mut(spot.held)
            {
                list.push(spot);
            }
        }
        for spot in spots.iter().filter(|s| s.fresh) {
            if moves.contains_key(spot.name) {
                continue;
            }
            let Some(by_owner) = idle.get_mut(spot.machine.row.kind.as_str()) else { continue };
            if let Some((owner, list)) = by_owner.iter_mut().min_by_key(|(_, l)| l.len()) {
                list.push(spot);
                moves.insert(spot.name.to_owned(), (*owner).to_owned());
            }
        }
        for by_owner in idle.values() {
            let most = by_owner.iter().max_by_key(|(_, l)| l.len());
            let least = by_owner.iter().min_by_key(|(_, l)| l.len());
            if let (Some((_, most)), Some((to, least))) = (most, least)
                && most.len() >= least.len() + 2
                && let Some(spot) = most.iter().find(|s| !s.fresh && !s.moved)
            {
                moves.insert(spot.name.to_owned(), (*to).to_owned());
            }
        }
    }
}
