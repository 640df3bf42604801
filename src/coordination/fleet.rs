//! The fleet: what the leader rents and returns.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use marblewalk_retry::Backoff;

use crate::bookkeeping::budget::Urgency;
use crate::bookkeeping::records::{self, BlockRow};
use crate::coordination::blocks::DEAF;
use crate::coordination::eligibility::allows;
use crate::coordination::model::{Job, Machine, TaskOn};
use crate::coordination::{CloudPurpose, Controller, Effect, Purpose, rules};
use crate::protocol::cloud::{CloudCall, CloudReply, ListedState, MachineList, MachineType, Rental};
use crate::protocol::job::{JobSpec, Shape};
use crate::protocol::peer::PeerMessage;
use crate::protocol::store::{Condition, StoreCall, StoreReply, Transaction, Write};
use crate::protocol::units::{Micros, Resources};
use crate::protocol::worker::TaskId;

/// The most machines one request asks for.
const MOST_RENTED: u64 = 50;
/// The most requests for one sort of machine in one round.
const REQUESTS: u64 = 4;
/// How long beyond a late report a machine may stay unheard after it has changed hands.
const UNHEARD: Micros = Micros::from_secs(3);
/// How long a new leader hears what there is before it rents.
const HEAR_FIRST: Micros = Micros::from_secs(2);
/// How much waiting work, in seconds of a machine's time, is worth renting one more.
const WORTH: f64 = 90.0;
/// What fetching an image adds to a task's time, about, in seconds.
const FETCH: f64 = 10.0;
/// How many times longer an idle machine is kept where teams have guarantees.
const GUARANTEED_PATIENCE: f64 = 20.0;
/// How long a team's greatest demand counts for what is kept there for its guarantee, about.
const REMEMBERED: f64 = 300.0;
/// How long there must be no live job before guaranteed capacity is given back too.
const QUIET: Micros = Micros::from_secs(20);
/// How many standard deviations of what is asked for are kept beyond it.
const DEVIATIONS: f64 = 2.0;
/// From how long ago arrivals tell what is to be expected.
const LOOK_BACK: Micros = Micros::from_secs(60);
/// How often the machine types and prices are read again.
const TYPES_EVERY: Micros = Micros::from_secs(60);

/// How often the machines are listed; a new leader does so at once, to learn where they can be reached.
const LIST_EVERY: Micros = Micros::from_secs(5);
/// How long a machine that does not answer may stay unheard after it has changed hands, if jobs wait for
/// it.
const UNANSWERING: Micros = Micros::from_secs(4);

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

/// What a controller hears of the machines that it holds.
#[derive(Debug, Default)]
struct Reach<'a> {
    node: u64,
    all: usize,
    /// Unheard since they were granted: zone and name.
    unheard: Vec<(&'a str, &'a String)>,
    zones: BTreeMap<&'a str, ZoneReach<'a>>,
}

/// Of a controller's machines in a zone: those that should report, how many of them do, and those that
/// seem to be gone.
#[derive(Debug, Default)]
struct ZoneReach<'a> {
    settled: usize,
    fine: usize,
    lost: Vec<&'a String>,
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

    /// Repeats rentals that a former leader stored: the same name rents nothing twice.
    pub(super) fn resume_rentals(&mut self) {
        let open: Vec<Rental> = self.rentals.values().map(|r| r.0.clone()).collect();
        for rental in open {
            self.call_rental(rental);
        }
    }

    fn call_rental(&mut self, rental: Rental) {
        if let Some(lead) = &mut self.lead {
            lead.fleet.open.insert(rental.request.clone(), rental.clone());
        }
        self.cloud(Urgency::Acceptance, CloudPurpose::Rent(rental.clone()), CloudCall::Rent(rental));
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

    /// Machines that nobody has heard since they changed hands, though their owner hears its others:
    /// most likely they are gone. All jobs taken over wait for them, for as long as the leases of the
    /// former owner and the worker together; the cloud's word that they are returned settles it at once.
    fn unreachable(&mut self) -> BTreeSet<String> {
        // Reports come up to a quarter late, and a worker looks for its new owner a second at a time.
        let limit = self.latest_report() + UNHEARD;
        let late = self.latest_report().as_secs_f64();
        let mut found = BTreeSet::new();
        let me = self.life();
        let Some(lead) = &self.lead else { return found };
        let mut silences = lead.fleet.silent.clone();
        silences.retain(|_, at| self.now.since(*at) < self.worker_lease);
        let heard = |name: &str| lead.heard.get(name).is_some_and(|h| self.now.since(h.1) < limit);
        let speaks = |member: &str| {
            let word = self.peers.get(member).map_or(Micros::MAX, |p| self.now.since(p.heard));
            member == self.me() || word <= Micros::from_secs(3)
        };
        let members = self.nodes.iter().filter(|(member, _)| speaks(member));
        let mut reach: BTreeMap<&str, Reach> = members
            .map(|(member, node)| (member.as_str(), Reach { node: *node, ..Reach::default() }))
            .collect();
        for (name, m) in self.machines.iter().filter(|(_, m)| !m.row.returning) {
            let Some(of) = reach.get_mut(m.row.owner.as_str()).filter(|r| r.node == m.row.node) else {
                continue;
            };
            of.all += 1;
            // Jobs wait only for one of which not all is known.
            let waited_for = m.lost && !m.resolved && !self.ledger.listed(name, &me);
            let patience = if waited_for { UNANSWERING } else { limit };
            let unknown = !m.resolved && self.now.since(m.granted) > patience;
            if !m.resolved && !unknown {
                continue;
            }
            let zone = of.zones.entry(&m.row.zone).or_default();
            let dark = f64::from(self.dark(m));
            zone.settled += 1;
            zone.fine += usize::from(m.resolved && dark <= late);
            // One that is heard elsewhere and takes no token for longer than its lease does not hear.
            let deaf = lead.rescued.get(name).is_some_and(|times| *times >= DEAF)
                || self.now.since(m.granted) > self.worker_lease;
            if unknown && (deaf || !heard(name)) {
                of.unheard.push((&m.row.zone, name));
            }
            // A replica that cannot be reached is of no use to anyone, so one on a machine that neither
            // reports nor answers is not waited for until its lease ends.
            let replicas = || m.tasks.iter().any(|(id, t)| !t.ended() && self.serves(id));
            if m.resolved && m.lost && dark >= late * 2.0 + 2.0 && !heard(name) && replicas() {
                zone.lost.push(name);
            }
        }
        for (member, of) in reach {
            // A zone out of its owner's reach falls silent as a whole: none is heard there one report
            // after the first that is missed. It goes to whoever hears it. When it is back, its machines
            // are heard one after the other.
            for (zone, at) in &of.zones {
                if at.fine * 2 < at.settled {
                    silences.insert((member.to_owned(), (*zone).to_owned()), self.now);
                }
            }
            let silent = |zone: &str| silences.contains_key(&(member.to_owned(), zone.to_owned()));
            // An owner that hears few of its machines is cut off itself.
            if of.unheard.len() * 4 <= of.all.max(8) {
                let unheard = of.unheard.into_iter().filter(|(zone, _)| !silent(zone));
                found.extend(unheard.map(|(_, name)| name.clone()));
            }
            let gone = of.zones.iter().filter(|(zone, _)| !silent(zone)).flat_map(|(_, at)| &at.lost);
            found.extend(gone.map(|name| (*name).clone()));
        }
        if let Some(lead) = &mut self.lead {
            lead.fleet.silent = silences;
        }
        found
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

    fn any_guarantee(&self) -> bool {
        self.settings.params.teams.iter().any(|t| t.cpus > 0.0 || t.gpus > 0.0)
    }

    /// Notes what the teams ask for. A greatest demand fades, so that what was kept for it is given back.
    fn note_demand(&mut self) {
        if !self.any_guarantee() {
            return;
        }
        let asked = self.asked_now();
        let asked: BTreeMap<String, _> = asked.into_iter().map(|(t, a)| (t.to_owned(), a)).collect();
        // Jobs come and go by chance: their number strays by its root, and so does the sum of their sizes.
        let (mut cpu, mut gpu) = (0.0, 0.0);
        for j in self.jobs.values().filter(|j| !j.spec.spot) {
            let all = j.spec.need().times(u64::from(j.spec.tasks));
            cpu += (all.cpu as f64).powi(2);
            gpu += (all.gpu as f64).powi(2);
        }
        let root = |x: f64| (DEVIATIONS * x.sqrt()) as u64;
        let swing = Resources { cpu: root(cpu), gpu: root(gpu), memory: 0 };
        let now = self.now;
        let Some(lead) = &mut self.lead else { return };
        let fade = (-now.since(lead.fleet.asked_at).as_secs_f64() / REMEMBERED).exp();
        lead.fleet.asked_at = now;
        lead.fleet.swing = lead.fleet.swing.scaled(fade).max(swing);
        for (ordinary, all) in lead.fleet.asked.values_mut() {
            (*ordinary, *all) = (ordinary.scaled(fade), all.scaled(fade));
        }
        for (team, (ordinary, all)) in asked {
            let most = lead.fleet.asked.entry(team).or_default();
            *most = (most.0.max(ordinary), most.1.max(all));
        }
    }

    /// Notes a new job, for what is to be expected of its class.
    pub(super) fn note_arrival(&mut self, spec: &JobSpec) {
        let now = self.now;
        if let Some(lead) = &mut self.lead
            && spec.shape == Shape::Array
            && spec.estimate_s > 0.0
        {
            let (latest, times) = lead
                .fleet
                .arrivals
                .entry(spec.class.clone())
                .or_insert_with(|| (spec.clone(), VecDeque::new()));
            *latest = spec.clone();
            times.push_back((now, spec.tasks));
        }
    }

    /// Tasks of each class of arrays that will likely come in the time that a machine takes to boot,
    /// beyond those for which there is room now, as far as their teams' guarantees go: only guaranteed
    /// work must not wait, and machines for other work are cheaper rented once it is there.
    fn expected(&self) -> Vec<(JobSpec, u64)> {
        let Some(lead) = &self.lead else { return Vec::new() };
        let mut left = self.unused_guarantee();
        let serving = || self.machines.values().filter(|m| self.serving(m));
        let mut expected = Vec::new();
        for (spec, times) in lead.fleet.arrivals.values() {
            let need = spec.need();
            let tasks: u64 = times.iter().map(|(_, n)| u64::from(*n)).sum();
            let coming = tasks as f64 / LOOK_BACK.as_secs_f64() * self.soonest_boot(spec).min(600.0);
            let (left_of, each) = if need.gpu > 0 { (left.gpu, need.gpu) } else { (left.cpu, need.cpu) };
            let guaranteed = left_of / each.max(1);
            let coming = guaranteed.min(coming as u64);
            left = left.minus(need.times(coming));
            let room: u64 = serving().filter(|m| allows(spec, m)).map(|m| need.times_in(m.free())).sum();
            if coming > room {
                expected.push((spec.clone(), coming - room));
            }
        }
        expected
    }

    /// What the teams do not use of their guarantees.
    fn unused_guarantee(&self) -> Resources {
        let asked = self.asked_now();
        self.settings.params.teams.iter().fold(Resources::default(), |sum, team| {
            let asked = asked.get(team.name.as_str()).map_or(Resources::default(), |a| a.1);
            sum.plus(Resources::need(team.cpus, team.gpus, 0.0).minus(asked))
        })
    }

    /// How long the type of machine that boots soonest takes, of those that a job may use.
    fn soonest_boot(&self, spec: &JobSpec) -> f64 {
        let ok = |t: &&MachineType| {
            spec.types.as_ref().is_none_or(|names| names.contains(&t.name)) && spec.need().fits(t.supply())
        };
        self.types.values().filter(ok).map(|t| t.boot_s).fold(f64::INFINITY, f64::min)
    }

    /// What each team asks for now: by jobs that need ordinary machines, and by all.
    fn asked_now(&self) -> BTreeMap<&str, (Resources, Resources)> {
        let mut asked: BTreeMap<&str, (Resources, Resources)> = BTreeMap::new();
        for job in self.jobs.values() {
            let wants = job.spec.need().times(u64::from(job.unfinished()));
            let (ordinary, all) = asked.entry(&job.spec.team).or_default();
            *all = all.plus(wants);
            if !job.spec.spot {
                *ordinary = ordinary.plus(wants);
            }
        }
        asked
    }

    /// What is to be there for the guarantees: of ordinary machines, and of all together. Guarantees may
    /// add up to more than there is to rent, so each counts only as far as its team makes use of it.
    fn guaranteed(&self) -> (Resources, Resources) {
        let mut sum = (Resources::default(), Resources::default());
        let mut limit = Resources::default();
        let Some(lead) = &self.lead else { return sum };
        for team in &self.settings.params.teams {
            let Some((ordinary, all)) = lead.fleet.asked.get(&team.name) else { continue };
            let most = Resources::need(team.cpus, team.gpus, 0.0);
            sum = (sum.0.plus(ordinary.min(most)), sum.1.plus(all.min(most)));
            limit = limit.plus(most);
        }
        let ordinary = sum.0.plus(lead.fleet.swing).min(limit);
        (ordinary, sum.1.max(ordinary))
    }

    /// Machines up or coming that can be counted on: ordinary ones, and all.
    fn standing_supply(&self) -> (Resources, Resources) {
        let stay = self.machines.values().filter(|m| !m.row.returning && !m.apart && !m.notice);
        stay.fold(Default::default(), |(ordinary, all): (Resources, Resources), m| {
            (if m.row.spot { ordinary } else { ordinary.plus(m.supply) }, all.plus(m.supply))
        })
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
            if waiting > 0 && (job.spec.floor() == 1 || job.on.is_empty()) {
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
        let type_ok = |kind: &String| spec.types.as_ref().is_none_or(|t| t.contains(kind));
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
        if spec.floor() == 1 && spec.estimate_s > 0.0 && boot.is_finite() {
            let turns = boot / (spec.estimate_s + FETCH);
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
        let turns =
            if spec.floor() > 1 || spec.estimate_s <= 0.0 { 1.0 } else { (WORTH / spec.estimate_s).max(1.0) };
        // A dearer machine than the cheapest that would do, of which there are no more, must earn more.
        let turns = if turns > 1.0 { turns * (price / cheapest).max(1.0).sqrt() } else { turns };
        *wanted.entry(key).or_default() += count as f64 / slots as f64 / turns;
    }

    /// Whether a task is a replica of a live service.
    fn serves(&self, task: &TaskId) -> bool {
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

    /// Stores the rental, then asks for it: a leader that follows can tell what is on its way.
    fn rent(&mut self, kind: String, zone: String, spot: bool, count: u32) -> bool {
        let Some(leader_stamp) = self.leader.as_ref().map(|l| l.2) else { return false };
        let Some(lead) = &mut self.lead else { return false };
        lead.fleet.named += 1;
        let request = format!("r-{leader_stamp}-{}", lead.fleet.named);
        let rental = Rental { request: request.clone(), kind, zone, spot, count };
        lead.fleet.open.insert(request.clone(), rental.clone());
        let Ok(value) = serde_json::to_value(&rental) else { return false };
        let transaction = Transaction {
            conditions: vec![
                Condition::new(records::LEADER, leader_stamp),
                Condition::new(records::rental(&request), 0),
                self.entitlement(),
            ],
            writes: vec![Write::put(records::rental(&request), value)],
        };
        self.store(Urgency::Completion, Purpose::RentalStored { rental }, StoreCall::Commit(transaction));
        true
    }

    pub(super) fn rental_stored(&mut self, rental: Rental, reply: StoreReply) {
        match reply {
            StoreReply::Committed { .. } => self.call_rental(rental),
            _ => {
                // The name is used up; if the record is there after all, the next leader repeats it.
                if let Some(lead) = &mut self.lead {
                    lead.fleet.open.remove(&rental.request);
                    lead.fleet.closing.insert(rental.request);
                }
            }
        }
    }

    pub(super) fn rental_closed(&mut self, request: String, reply: StoreReply) {
        // Where the watch has shown meanwhile that it is gone, only the answer was lost.
        let gone = matches!(reply, StoreReply::Committed { .. }) || !self.rentals.contains_key(&request);
        if let (Some(lead), false) = (&mut self.lead, gone) {
            lead.fleet.closing.insert(request);
        }
    }

    pub(super) fn cloud_replied(&mut self, purpose: CloudPurpose, reply: CloudReply) {
        if matches!(reply, CloudReply::Unclear) {
            self.counters.cloud_failures += 1;
        }
        match (purpose, reply) {
            (CloudPurpose::Types, CloudReply::Types(types)) => {
                self.types = types.into_iter().map(|t| (t.name.clone(), t)).collect();
                for m in self.machines.values_mut() {
                    if let Some(t) = self.types.get(&m.row.kind) {
                        m.supply = t.supply();
                    }
                }
                self.place_due = true;
            }
            (CloudPurpose::Types, _) => {}
            (CloudPurpose::Rent(rental), reply) => self.rent_replied(rental, reply),
            (CloudPurpose::Return(names), reply) => {
                let now = self.now;
                let Some(lead) = &mut self.lead else { return };
                for name in names {
                    lead.fleet.returning.remove(&name);
                    if matches!(reply, CloudReply::Returned) {
                        lead.fleet.returned.insert(name, now);
                    }
                }
            }
            (CloudPurpose::List, CloudReply::List(list)) => self.listed(list),
            (CloudPurpose::List, _) => {
                if let Some(lead) = &mut self.lead {
                    lead.fleet.listing = false;
                }
            }
        }
    }

    fn rent_replied(&mut self, rental: Rental, reply: CloudReply) {
        let now = self.now;
        let Some(lead) = &mut self.lead else { return };
        lead.fleet.asking.remove(&rental.request);
        let key = (rental.kind.clone(), rental.zone.clone(), rental.spot);
        match reply {
            CloudReply::Rented(names) => {
                tracing::info!(
                    kind = rental.kind,
                    zone = rental.zone,
                    spot = rental.spot,
                    count = names.len(),
                    "rented"
                );
                self.counters.rentals += names.len() as u64;
                if (names.len() as u32) < rental.count {
                    lead.fleet.refused.insert(key, (now + Micros::from_secs(15), 1));
                } else {
                    lead.fleet.refused.remove(&key);
                }
                let rows = names.into_iter().map(|machine| BlockRow {
                    machine,
                    kind: rental.kind.clone(),
                    zone: rental.zone.clone(),
                    spot: rental.spot,
                    owner: String::new(),
                    node: 0,
                    returning: false,
                    token: 0,
                });
                lead.fleet.arrived.extend(rows);
            }
            CloudReply::NoCapacity => {
                self.counters.refusals += 1;
                let (_, times) = lead.fleet.refused.get(&key).copied().unwrap_or((now, 0));
                let pause = rules::NO_CAPACITY.pause(times + 1);
                lead.fleet.refused.insert(key, (now + pause, times + 1));
            }
            CloudReply::Rejected => {
                lead.fleet.refused.insert(key, (now + Micros::from_secs(300), 1));
            }
            _ => {
                // It may have been carried out: the same name tells.
                if lead.fleet.open.contains_key(&rental.request) {
                    let (_, backoff) = lead
                        .fleet
                        .unclear
                        .entry(rental.request.clone())
                        .or_insert((rental, Backoff::default()));
                    backoff.failed(now, &rules::RENT, &mut self.rng);
                }
                return;
            }
        }
        lead.fleet.open.remove(&rental.request);
        lead.fleet.unclear.remove(&rental.request);
        lead.fleet.closing.insert(rental.request);
    }

    /// Asks again for rentals whose fate is not known.
    fn repeat_rentals(&mut self) {
        let now = self.now;
        let Some(lead) = &mut self.lead else { return };
        let due: Vec<Rental> = lead
            .fleet
            .unclear
            .values_mut()
            .filter(|(rental, backoff)| backoff.ready(now) && !lead.fleet.asking.contains(&rental.request))
            .map(|(rental, _)| rental.clone())
            .collect();
        lead.fleet.asking.extend(due.iter().map(|r| r.request.clone()));
        for rental in due {
            self.cloud(Urgency::Rest, CloudPurpose::Rent(rental.clone()), CloudCall::Rent(rental));
        }
    }

    /// The list lags, so it proves only what it shows: machines to record, and failures. And this: names come
    /// in the order of creation, so a machine whose name a page passes over, from its first to its last, had
    /// been created by the time that the page describes, and was no more. After an end of all controllers
    /// such machines could be asked by nobody, for their addresses were lost, and held all jobs back.
    fn listed(&mut self, list: MachineList) {
        let lag = Micros::from_secs_f64(self.settings.params.cloud.list_lag_s * 2.0 + 5.0);
        let last = list.machines.last().map(|m| m.id.clone());
        let blind = self.blind();
        let unreached = list.machines.iter().filter(|l| {
            let unknown = |m: &Machine| m.addr.is_empty() && !m.unused();
            !l.addr.is_empty() && self.machines.get(&l.id).is_some_and(unknown)
        });
        let addresses: Vec<(String, String)> = unreached.map(|l| (l.id.clone(), l.addr.clone())).collect();
        if !addresses.is_empty() {
            self.take_addresses(&addresses);
            self.effects.push(Effect::Send(None, PeerMessage::Addresses(addresses)));
        }
        let Some(lead) = &mut self.lead else { return };
        if let Some(last) = &last {
            let first = std::mem::replace(&mut lead.fleet.listed_to, last.clone());
            let there: BTreeSet<&String> = list.machines.iter().map(|m| &m.id).collect();
            let within = |name: &&String| **name > first && *name < last;
            for name in self.machines.keys().filter(within) {
                if there.contains(name) {
                    lead.fleet.gone.remove(name);
                } else {
                    lead.fleet.gone.insert(name.clone());
                }
            }
        }
        for m in list.machines {
            if m.state == ListedState::Failed {
                lead.fleet.failed.insert(m.id.clone());
            }
            let known = self.machines.contains_key(&m.id) || lead.fleet.returned.contains_key(&m.id);
            // One just rented is recorded when its rental is answered; others turned up late.
            let settled = Micros::from_secs_f64(m.age_s) > lag || lead.fleet.open.is_empty();
            if !known && !blind && settled && !lead.fleet.arrived.iter().any(|r| r.machine == m.id) {
                lead.fleet.arrived.push(BlockRow {
                    machine: m.id,
                    kind: m.kind,
                    zone: m.zone,
                    spot: m.spot,
                    owner: String::new(),
                    node: 0,
                    returning: false,
                    token: 0,
                });
            }
        }
        match last {
            Some(after) if list.more => {
                self.cloud(Urgency::Rest, CloudPurpose::List, CloudCall::List { after })
            }
            _ => lead.fleet.listing = false,
        }
    }
}
