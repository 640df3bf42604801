//! The fleet: what the leader rents and returns.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use marblewalk_retry::Backoff;

use crate::bookkeeping::budget::Urgency;
use crate::bookkeeping::records::{self, BlockRow};
use crate::coordination::eligibility::allows;
use crate::coordination::model::{Job, Machine, TaskOn};
use crate::coordination::{CloudPurpose, Controller, Purpose};
use crate::protocol::cloud::{CloudCall, MachineType, Rental};
use crate::protocol::job::{JobSpec, Shape};
use crate::protocol::store::{StoreCall, Transaction, Write};
use crate::protocol::units::{Micros, Resources};
use crate::protocol::worker::TaskId;

/// The most machines one request asks for.
const MOST_RENTED: u64 = 50;
/// The most requests for one sort of machine in one round.
const REQUESTS: u64 = 4;
/// How long a new leader hears what there is before it rents.
const HEAR_FIRST: Micros = Micros::from_secs(2);
/// How much waiting work, in seconds of a machine's time, is worth renting one more.
const WORTH: f64 = 90.0;
/// What fetching an image adds to a task's time, about, in seconds.
const FETCH: f64 = 10.0;
/// How many times longer an idle machine is kept where teams have guarantees.
const GUARANTEED_PATIENCE: f64 = 20.0;
/// How long there must be no live job before guaranteed capacity is given back too.
const QUIET: Micros = Micros::from_secs(20);
/// From how long ago arrivals tell what is to be expected.
pub(super) const LOOK_BACK: Micros = Micros::from_secs(60);
/// How often the machine types and prices are read again.
const TYPES_EVERY: Micros = Micros::from_secs(60);

/// How often the machines are listed; a new leader does so at once, to learn where they can be reached.
const LIST_EVERY: Micros = Micros::from_secs(5);

#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub listing: bool,
    pub listed_at: Option<Micros>,
    /// After which name the page that is asked for begins.
    pub listed_to: String,
    /// Machines that a page of the list passes over.
    pub gone: BTreeSet<String>,
    /// Refused type, zone and kind: until when, and how often in a row.
    pub refused: BTreeMap<(String, String, bool), (Micros, u32)>,
    /// Rentals on their way, by request name.
    pub open: BTreeMap<String, Rental>,
    /// Of these, those whose last request had no clear answer, and those asked about again.
    pub unclear: BTreeMap<String, (Rental, Backoff)>,
    pub asking: BTreeSet<String>,
    pub named: u64,
    /// Machines named by the cloud for a rental, waiting to be recorded.
    pub arrived: Vec<BlockRow>,
    pub closing: BTreeSet<String>,
    pub returning: BTreeSet<String>,
    /// Machines whose return the cloud has confirmed: when.
    pub returned: BTreeMap<String, Micros>,
    pub failed: BTreeSet<String>,
    pub rented_at: Micros,
    /// What each team has lately asked for at most: by jobs that need ordinary machines, and by all.
    pub asked: BTreeMap<String, (Resources, Resources)>,
    /// By how much what jobs that need ordinary machines ask for may well differ from one moment to the
    /// next: a few large jobs more than many small ones.
    pub swing: Resources,
    pub asked_at: Micros,
    /// The latest array of each class, and what has lately come: when, and how many tasks.
    pub arrivals: BTreeMap<String, (JobSpec, VecDeque<(Micros, u32)>)>,
    /// Controllers and zones out of whose reach their machines there were: when last.
    pub silent: BTreeMap<(String, String), Micros>,
    /// Since when there has been no live job.
    pub quiet_since: Option<Micros>,
}

impl Controller {
    /// Every controller reads the machine types: submissions are checked against them.
    pub(super) fn types_tick(&mut self) {
        let due = match self.types_at {
            None => true,
            Some(at) => {
                self.now.since(at) >= if self.types.is_empty() { Micros::from_secs(1) } else { TYPES_EVERY }
            }
        };
        if due {
            self.types_at = Some(self.now);
            self.cloud(Urgency::Acceptance, CloudPurpose::Types, CloudCall::Types);
        }
    }

    /// A machine reports that no block names: it is to be used or returned.
    pub(super) fn stray(&mut self, machine: String, kind: String, zone: String, spot: bool) {
        let now = self.now;
        if self.blind() {
            return;
        }
        let Some(lead) = &mut self.lead else { return };
        if lead.fleet.returned.contains_key(&machine) || !self.types.contains_key(&kind) {
            return;
        }
        let row = BlockRow {
            machine: machine.clone(),
            kind,
            zone,
            spot,
            owner: String::new(),
            node: 0,
            returning: false,
            token: 0,
        };
        let held = self.machines.get(&machine).is_some_and(|m| !m.unused());
        if !held && lead.strays.insert(machine, (row, now)).is_none() {
            self.soon_round();
        }
    }

    /// A machine that is on its way up, or up and not yet granted.
    pub(super) fn coming(&self, machine: &Machine) -> bool {
        machine.unused() && !machine.row.returning
    }

    pub(super) fn fleet_tick(&mut self) {
        let now = self.now;
        let quiet = self.jobs.is_empty();
        let Some(lead) = &mut self.lead else { return };
        lead.fleet.quiet_since = quiet.then(|| lead.fleet.quiet_since.unwrap_or(now));
        for (_, times) in lead.fleet.arrivals.values_mut() {
            times.retain(|(at, _)| now.since(*at) < LOOK_BACK);
        }
        lead.strays.retain(|_, (_, at)| now.since(*at) < Micros::from_secs(10));
        lead.fleet.returned.retain(|_, at| now.since(*at) < Micros::from_secs(120));
        let machines = &self.machines;
        lead.strays.retain(|name, _| machines.get(name).is_none_or(Machine::unused));
        // Names are used once: of machines that have left the records nothing more is asked.
        lead.heard.retain(|name, _| machines.contains_key(name));
        lead.fleet.failed.retain(|name| machines.contains_key(name));
        if !lead.fleet.listing && lead.fleet.listed_at.is_none_or(|at| now.since(at) >= LIST_EVERY) {
            lead.fleet.listing = true;
            lead.fleet.listed_at = Some(now);
            lead.fleet.listed_to.clear();
            lead.fleet.gone.retain(|name| self.machines.contains_key(name));
            self.cloud(Urgency::Rest, CloudPurpose::List, CloudCall::List { after: String::new() });
        }
        self.repeat_rentals();
        self.record_arrivals();
        self.drop_unwanted();
    }

    /// Rented machines enter the records, held by nobody until they report.
    fn record_arrivals(&mut self) {
        let Some(lead) = &mut self.lead else { return };
        if lead.granting {
            return;
        }
        let known = &self.machines;
        lead.fleet.arrived.retain(|r| !known.contains_key(&r.machine));
        let rows = lead.fleet.arrived.clone();
        if !rows.is_empty() {
            self.grant(BTreeMap::new(), rows, BTreeSet::new(), None);
            return;
        }
        // Once its machines are recorded, the rental itself need not be.
        if let Some(request) = lead.fleet.closing.pop_first() {
            let transaction = Transaction {
                conditions: vec![self.entitlement()],
                writes: vec![Write::delete(records::rental(&request))],
            };
            self.store(
                Urgency::Completion,
                Purpose::RentalClosed { request },
                StoreCall::Commit(transaction),
            );
        }
    }

    /// Whether the cloud lists a machine no more, and nobody has heard it since a report was due.
    fn is_gone(&self, name: &str, m: &Machine) -> bool {
        let passed_over = self.lead.as_ref().is_some_and(|l| l.fleet.gone.contains(name));
        let heard = m.resolved && f64::from(self.dark(m)) <= self.latest_report().as_secs_f64();
        passed_over && !heard
    }

    /// Why a machine should be returned, if so.
    fn unwanted(&self, name: &str, m: &Machine, idle_most: Micros) -> Option<&'static str> {
        let boot = || self.types.get(&m.row.kind).map_or(60.0, |t| t.boot_s);
        let lease_s = self.worker_lease.as_secs_f64() as u32;
        let failed = self.lead.as_ref().is_some_and(|l| l.fleet.failed.contains(name));
        if self.is_gone(name, m) {
            Some("gone")
        } else if failed {
            Some("failed")
        } else if m.unused() && self.now.since(m.since).as_secs_f64() > boot() * 2.2 + 10.0 {
            Some("slow to boot")
        } else if m.apart {
            Some("faulty")
        } else if !m.unused() && m.resolved && self.dark(m) > lease_s + 25 {
            Some("silent")
        } else if !m.unused()
            && m.up
            && m.resolved
            && m.tasks.is_empty()
            && !m.notice
            && self.now.since(m.idle_since) > idle_most
        {
            Some("idle")
        } else {
            None
        }
    }

    fn drop_unwanted(&mut self) {
        // Where teams are guaranteed capacity, work that waits for a boot costs more than idling.
        let patience = if !self.any_guarantee() || self.nothing_to_do() { 1.0 } else { GUARANTEED_PATIENCE };
        let idle_most = Micros::from_secs_f64(self.tuning.idle_return_s * patience);
        let mut idle_names = Vec::new();
        let mut names = Vec::new();
        let Some(lead) = self.lead.as_ref().filter(|l| !l.granting) else { return };
        // A new leader hears the others first, but what is gone holds jobs back until it leaves the records.
        let new = self.now.since(lead.since) < Micros::from_secs(4);
        if new && lead.fleet.gone.is_empty() {
            return;
        }
        let unreachable = self.unreachable();
        for (name, m) in &self.machines {
            if m.row.returning || new && !self.is_gone(name, m) {
                continue;
            }
            let why = unreachable.contains(name).then_some("unreachable");
            match why.or_else(|| self.unwanted(name, m, idle_most)) {
                Some("idle") => idle_names.push(name.clone()),
                Some(why) => names.push((name.clone(), why)),
                None => {}
            }
        }
        let spare = self.not_needed(idle_names);
        names.extend(spare.into_iter().map(|n| (n, "idle")));
        if !names.is_empty() {
            for (name, why) in &names {
                tracing::info!(machine = name, why, "returning");
            }
            let moves = names.into_iter().map(|(n, _)| (n, String::new())).collect();
            self.grant(moves, Vec::new(), BTreeSet::new(), None);
            return;
        }
        // What is marked in the records is returned, and leaves the records once the cloud says so.
        let marked: Vec<String> =
            self.machines.iter().filter(|(_, m)| m.row.returning).map(|(n, _)| n.clone()).collect();
        let Some(lead) = &mut self.lead else { return };
        let gone: BTreeSet<String> =
            marked.iter().filter(|n| lead.fleet.returned.contains_key(*n)).cloned().collect();
        let ask: Vec<String> = marked
            .into_iter()
            .filter(|n| !gone.contains(n) && !lead.fleet.returning.contains(n))
            .take(100)
            .collect();
        if !ask.is_empty() {
            lead.fleet.returning.extend(ask.iter().cloned());
            self.counters.returns += ask.len() as u64;
            self.cloud(Urgency::Withdrawal, CloudPurpose::Return(ask.clone()), CloudCall::Return(ask));
        }
        if !gone.is_empty() {
            self.grant(BTreeMap::new(), Vec::new(), gone, None);
        }
    }

    /// Of idle machines, those that neither a guarantee nor a class that must start at once needs.
    fn not_needed(&self, mut idle: Vec<String>) -> Vec<String> {
        if self.nothing_to_do() {
            return idle;
        }
        let (ordinary, all) = self.guaranteed();
        let (mut has_ordinary, mut has_all) = self.standing_supply();
        // The dearest go first.
        idle.sort_by_key(|name| self.machines[name].row.spot);
        let mut names = Vec::new();
        for name in idle {
            let m = &self.machines[&name];
            // A gang may be waiting for this machine and for one that is still on its way up.
            if self.lead.as_ref().is_some_and(|l| l.promised.contains(&name)) {
                continue;
            }
            if self.kept.contains_key(&name) {
                continue;
            }
            let short = |goal: Resources, has: Resources| {
                let less = has.minus(m.supply);
                (goal.cpu > 0 && m.supply.gpu == 0 && less.cpu < goal.cpu)
                    || (goal.gpu > 0 && m.supply.gpu > 0 && less.gpu < goal.gpu)
            };
            if short(all, has_all) || !m.row.spot && short(ordinary, has_ordinary) {
                continue;
            }
            has_all = has_all.minus(m.supply);
            if !m.row.spot {
                has_ordinary = has_ordinary.minus(m.supply);
            }
            names.push(name);
        }
        names
    }

    /// No job has been live for a while: then nothing is kept warm, guarantee or not.
    fn nothing_to_do(&self) -> bool {
        let quiet = self.lead.as_ref().and_then(|l| l.fleet.quiet_since);
        quiet.is_some_and(|at| self.now.since(at) > QUIET)
    }

    /// Decides what to rent for the work that found no room.
    pub(super) fn size_fleet(&mut self) {
        let now = self.now;
        self.note_demand();
        let Some(lead) = &self.lead else { return };
        // A new leader first hears what there is.
        if self.types.is_empty()
            || now.since(lead.since) < HEAR_FIRST
            || now.since(lead.fleet.rented_at) < Micros::from_millis(500)
        {
            return;
        }
        let mut coming: Vec<(String, String, bool, Resources)> = self
            .machines
            .values()
            .filter(|m| self.coming(m))
            .map(|m| (m.row.kind.clone(), m.row.zone.clone(), m.row.spot, m.supply))
            .collect();
        for r in lead.fleet.open.values() {
            let supply = self.types.get(&r.kind).map(MachineType::supply).unwrap_or_default();
            coming.extend((0..r.count).map(|_| (r.kind.clone(), r.zone.clone(), r.spot, supply)));
        }
        for r in lead.fleet.arrived.iter().filter(|r| !self.machines.contains_key(&r.machine)) {
            let supply = self.types.get(&r.kind).map(MachineType::supply).unwrap_or_default();
            coming.push((r.kind.clone(), r.zone.clone(), r.spot, supply));
        }
        let mut wanted: BTreeMap<(String, String, bool), f64> = BTreeMap::new();
        let mut turnover = BTreeMap::new();
        for u in &lead.unplaced {
            let Some(job) = self.jobs.get(&u.job).filter(|j| self.worth_renting_for(&u.job, j)) else {
                continue;
            };
            let waiting = u64::from(self.worth_trying(&u.job, job).saturating_sub(job.placed()));
            self.want_for(
                &job.spec,
                u.count.max(waiting),
                u.zones.as_ref(),
                &mut coming,
                &mut turnover,
                &mut wanted,
            );
        }
        // A full fleet gives every job a volume that it can place. What is beyond their volumes waits for
        // machines too, and so do jobs that were not admitted.
        let counted: BTreeSet<&String> = lead.unplaced.iter().map(|u| &u.job).collect();
        let others = self.jobs.iter().filter(|(id, _)| !counted.contains(id));
        for (id, job) in others.filter(|(id, j)| self.worth_renting_for(id, j)) {
            let waiting = self.worth_trying(id, job).saturating_sub(job.placed());
            if waiting > 0 && (job.spec.min_tasks() == 1 || job.on.is_empty()) {
                let zones = self.zones_left(id, job, std::iter::empty());
                self.want_for(
                    &job.spec,
                    u64::from(waiting),
                    zones.as_ref(),
                    &mut coming,
                    &mut turnover,
                    &mut wanted,
                );
            }
        }
        // While they boot, more will come.
        for (spec, count) in self.expected() {
            self.want_for(&spec, count, None, &mut coming, &mut turnover, &mut wanted);
        }
        // Room to keep for classes that no machine could boot in time for.
        for (class, spec) in &self.quick {
            let there = self.kept.values().filter(|c| *c == class).count();
            let lacking = self.slots_kept(spec).saturating_sub(there) as u64;
            self.want_for(
                spec,
                lacking,
                None,
                &mut coming,
                &mut BTreeMap::from([(spec.gpus > 0.0, 0.0)]),
                &mut wanted,
            );
        }
        if !self.jobs.is_empty() {
            self.want_guarantee(&mut wanted);
        }
        let mut asked = false;
        for ((kind, zone, spot), machines) in wanted {
            // Many are asked for at once: the requests of one round do not wait for each other.
            let mut left = (machines.ceil() as u64).clamp(1, MOST_RENTED * REQUESTS);
            while left > 0 {
                let count = left.min(MOST_RENTED);
                asked |= self.rent(kind.clone(), zone.clone(), spot, count as u32);
                left -= count;
            }
        }
        if asked && let Some(lead) = &mut self.lead {
            lead.fleet.rented_at = now;
        }
    }

    /// For a job that fails wherever it goes nothing is rented, unless there is nowhere to try it.
    fn worth_renting_for(&self, id: &str, job: &Job) -> bool {
        let anywhere = || self.machines.values().any(|m| self.serving(m) && allows(&job.spec, m));
        !self.mistaken(id) || !self.held(id) && !anywhere()
    }

    fn refused(&self, key: &(String, String, bool)) -> bool {
        self.lead.as_ref().and_then(|l| l.fleet.refused.get(key)).is_some_and(|(until, _)| *until > self.now)
    }

    /// Places of a job's tasks on machines that are coming; the rest is to be rented.
    fn want_for(
        &self,
        spec: &JobSpec,
        count: u64,
        zones: Option<&BTreeMap<String, u64>>,
        coming: &mut [(String, String, bool, Resources)],
        turnover: &mut BTreeMap<bool, f64>,
        wanted: &mut BTreeMap<(String, String, bool), f64>,
    ) {
        let Some(zones) = zones else { return self.want_in(spec, count, None, coming, turnover, wanted) };
        // A job that minds zones asks in those that may take its tasks, and in all if none is left.
        let mut left = count;
        for (zone, most) in zones.iter().filter(|(_, most)| **most > 0) {
            let here = left.min(*most);
            self.want_in(spec, here, Some(zone), coming, turnover, wanted);
            left -= here;
        }
    }

    fn want_in(
        &self,
        spec: &JobSpec,
        mut count: u64,
        only: Option<&String>,
        coming: &mut [(String, String, bool, Resources)],
        turnover: &mut BTreeMap<bool, f64>,
        wanted: &mut BTreeMap<(String, String, bool), f64>,
    ) {
        let need = spec.need();
        let type_ok = |kind: &String| spec.machine_types.as_ref().is_none_or(|t| t.contains(kind));
        let zone_ok = |zone: &String| spec.zone.as_ref().or(only).is_none_or(|z| z == zone);
        for (kind, zone, spot, room) in coming.iter_mut() {
            if type_ok(kind) && zone_ok(zone) && (spec.spot || !*spot) {
                let n = need.times_in(*room).min(count);
                count -= n;
                *room = room.minus(need.times(n));
            }
        }
        if count == 0 {
            return;
        }
        // By the time a new machine is up, places that are taken now will have been left.
        let boot = self.soonest_boot(spec);
        if spec.min_tasks() == 1 && spec.estimated_task_s > 0.0 && boot.is_finite() {
            let turns = boot / (spec.estimated_task_s + FETCH);
            let left = turnover.entry(need.gpu > 0).or_insert_with(|| self.places_taken(spec) as f64 * turns);
            let n = (*left as u64).min(count);
            *left -= n as f64;
            count -= n;
            if count == 0 {
                return;
            }
        }
        let mut options = Vec::new();
        let mut cheapest = f64::INFINITY;
        for t in self.types.values().filter(|t| type_ok(&t.name) && need.fits(t.supply())) {
            if spec.gpus == 0.0
                && t.gpus > 0.0
                && self.types.values().any(|o| o.gpus == 0.0 && type_ok(&o.name) && need.fits(o.supply()))
            {
                continue;
            }
            for zone in t.zones.iter().filter(|z| zone_ok(z)) {
                for spot in [true, false] {
                    if spot && !spec.spot {
                        continue;
                    }
                    let key = (t.name.clone(), zone.clone(), spot);
                    let price = if spot { t.spot_price } else { t.price };
                    let slots = need.times_in(t.supply()).max(1);
                    cheapest = cheapest.min(price / slots as f64);
                    if !self.refused(&key) {
                        options.push((price / slots as f64, key, slots));
                    }
                }
            }
        }
        let Some((price, key, slots)) = options.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)) else {
            return;
        };
        // Short tasks take turns: a machine is worth renting for a good stretch of work.
        let turns = if spec.min_tasks() > 1 || spec.estimated_task_s <= 0.0 {
            1.0
        } else {
            (WORTH / spec.estimated_task_s).max(1.0)
        };
        // A dearer machine than the cheapest that would do, of which there are no more, must earn more.
        let turns = if turns > 1.0 { turns * (price / cheapest).max(1.0).sqrt() } else { turns };
        *wanted.entry(key).or_default() += count as f64 / slots as f64 / turns;
    }

    /// Whether a task is a replica of a live service.
    pub(super) fn serves(&self, task: &TaskId) -> bool {
        self.jobs.get(&task.job).is_some_and(|j| j.spec.shape == Shape::Service)
    }

    /// Places that tasks of the same kind of need hold now, and will leave. Services do not.
    fn places_taken(&self, spec: &JobSpec) -> usize {
        let need = spec.need();
        let serving = self.machines.values().filter(|m| m.up && !m.row.returning && !m.apart && !m.notice);
        let services = self.jobs.values().any(|j| j.spec.shape == Shape::Service);
        let alike = |(id, t): &(&TaskId, &TaskOn)| {
            !t.ended()
                && (t.need.gpu > 0) == (need.gpu > 0)
                && t.need.cpu * 2 >= need.cpu
                && !(services && self.serves(id))
        };
        serving.map(|m| m.tasks.iter().filter(alike).count()).sum()
    }

    /// Machines that the teams' guarantees need: capacity that must be there before work comes.
    fn want_guarantee(&self, wanted: &mut BTreeMap<(String, String, bool), f64>) {
        let goals = self.guaranteed();
        let mut has = self.standing_supply();
        for r in self.lead.iter().flat_map(|l| l.fleet.open.values()) {
            if let Some(t) = self.types.get(&r.kind) {
                let coming = t.supply().times(u64::from(r.count));
                has.1 = has.1.plus(coming);
                if !r.spot {
                    has.0 = has.0.plus(coming);
                }
            }
        }
        for accelerated in [false, true] {
            let of = |r: Resources| if accelerated { r.gpu } else { r.cpu };
            for (spot, goal, there) in [(false, goals.0, has.0), (true, goals.1, has.1)] {
                let lacking = of(goal).saturating_sub(of(there));
                if lacking == 0 {
                    continue;
                }
                let best = self
                    .types
                    .values()
                    .filter(|t| (t.gpus > 0.0) == accelerated)
                    .flat_map(|t| t.zones.iter().map(move |z| (t, z)))
                    .flat_map(|(t, z)| {
                        let ordinary = (t, t.price, (t.name.clone(), z.clone(), false));
                        let cheap = (t, t.spot_price, (t.name.clone(), z.clone(), true));
                        spot.then_some(cheap).into_iter().chain([ordinary])
                    })
                    .filter(|(_, _, key)| !self.refused(key))
                    .min_by(|a, b| {
                        (a.1 / of(a.0.supply()) as f64).total_cmp(&(b.1 / of(b.0.supply()) as f64))
                    });
                if let Some((t, _, key)) = best {
                    let machines = lacking.div_ceil(of(t.supply()).max(1)).min(4) as f64;
                    let entry = wanted.entry(key).or_default();
                    *entry = entry.max(machines);
                }
            }
        }
    }
}
