//! An owner's placement of its own jobs on its own machines, and the record of what they complete.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use marblewalk_admission::pool::Turn;

use crate::bookkeeping::budget::Urgency;
use crate::bookkeeping::records::{self, FinalRecord};
use crate::coordination::finals::Source;
use crate::coordination::model::{Job, Machine, Pending, TaskOn};
use crate::coordination::quota::Allowance;
use crate::coordination::waiting::WaitReason;
use crate::coordination::{ByName, Controller, Purpose, rules};
use crate::protocol::job::{Final, JobSpec, Shape};
use crate::protocol::peer::Volume;
use crate::protocol::store::{Condition, StoreCall, StoreReply, Transaction, Write};
use crate::protocol::units::{Micros, Resources};
use crate::protocol::worker::{TaskId, TaskState};

/// Starts planned in one pass, so that a job of very many tasks cannot hold up everything else.
const MOST_STARTS: usize = 400;

/// What part of a controller's changes records the progress of its jobs, at most.
const PROGRESS_SHARE: f64 = 0.3;
/// A backfilled array whose task has ended starts no other for at least so long, whatever the leader last said.
const AGAIN_AFTER: Micros = Micros::from_secs(10);
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
        Cards { overdue: waited >= KEPT_OFF_AT_MOST, ..self }
    }

    /// Work without accelerators may use what accelerator work leaves of a machine that it has in use,
    /// but does not keep such a machine for itself, which costs several times as much, unless the
    /// machine is there and paid for anyway.
    pub(super) fn keep_off(self, spec: &JobSpec, machine: &Machine, room: Resources) -> bool {
        let open = self.overdue || self.idles(machine);
        if spec.gpus > 0.0 || machine.supply.gpu == 0 || spec.types.is_some() || open {
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
    spec.types.as_ref().is_none_or(|t| t.contains(&machine.row.kind))
        && spec.zone.as_ref().is_none_or(|z| *z == machine.row.zone)
        && (spec.spot || !machine.row.spot)
        && spec.need().fits(machine.supply)
}

/// Whether one more task of a job may be in a zone where so many of its tasks are, of so many in all.
fn zone_open(spec: &JobSpec, here: u32, all: u32) -> bool {
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

/// Rank, turn within the rank, size and arrival: the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Precedence(u8, u8, u32, u64);

/// What makes an owner prefer one machine to another: the least first.
type Preference = (usize, bool, Micros, u64);

/// Which machines a choice is limited to.
enum Only<'a> {
    All,
    Zone(&'a str),
    /// Those that have the job's image.
    Fetched,
}

impl Only<'_> {
    fn zone(&self) -> Option<&str> {
        if let Only::Zone(zone) = self { Some(zone) } else { None }
    }
}

/// Room on the machines that an owner may use, during one pass.
struct Rooms {
    free: ByName<Resources>,
    /// What there will be once all that is being stopped has gone, less what has been counted on.
    soon: ByName<Resources>,
    cards: Cards,
    reserved: Vec<(String, String)>,
}

impl Rooms {
    fn take(&mut self, names: &[String], need: Resources) {
        for name in names {
            for rooms in [&mut self.free, &mut self.soon] {
                if let Some(room) = rooms.get_mut(name) {
                    *room = room.minus(need);
                }
            }
        }
    }
}

impl Controller {
    /// This controller's own job, fully taken over.
    fn places(&self, job: &Job) -> bool {
        !job.adopting && !job.completing && job.owner.as_deref() == Some(self.me())
    }

    fn leader_silent(&self) -> bool {
        self.now.since(self.volumes_heard) > Micros::from_secs_f64(self.tuning.round_s * 3.0)
    }

    /// How many tasks of a job the owner may have started.
    pub(super) fn wanted(&self, job: &Job) -> u32 {
        // Without a leader's word for a while, work goes on inside the blocks that are held.
        let unheard =
            self.leader_silent() && self.now.since(job.since) > Micros::from_secs_f64(self.tuning.round_s);
        let unfinished = self.worth_trying(&job.spec.id, job);
        match job.turn {
            _ if unheard => unfinished,
            // It has had its first task; the place is another's when that ends.
            Turn::First if job.started() > 0 => job.placed().min(job.volume),
            Turn::Backfill if job.spec.shape == Shape::Array => self.backfilled(job),
            _ => job.volume.min(unfinished),
        }
    }

    /// How many tasks a backfilled array may have: what it starts with once it has waited, and no other when that ends.
    fn backfilled(&self, job: &Job) -> u32 {
        let may_start = job.placed() == 0 && job.wait.waited(self.now) >= AGAIN_AFTER;
        if may_start { job.volume.min(job.unfinished()) } else { job.placed().min(job.volume) }
    }

    /// Who comes first: by rank, then by the turn that the leader has named, if there is not room for
    /// all, else by arrival. Of gangs, those that can still start in the time their
    /// class aims at come first, small ones before large ones, for in a full fleet one large gang would
    /// make many small ones late; one that has waited for as long as the operators set comes before all.
    pub(super) fn precedence(&self, job: &Job) -> Precedence {
        let rank = u8::MAX - job.spec.priority as u8;
        if self.mistaken(&job.spec.id) {
            return Precedence(rank, u8::MAX, u32::MAX, job.stamp);
        }
        match job.turn {
            Turn::Usual => {}
            Turn::First => return Precedence(rank, 0, 0, job.stamp),
            Turn::Nth(turn) => return Precedence(rank, 1, turn, job.stamp),
            Turn::Spare(turn) => return Precedence(rank, u8::MAX, turn, job.stamp),
            Turn::Backfill => return Precedence(rank, u8::MAX, u32::MAX, job.stamp),
        }
        if !job.is_gang() {
            return Precedence(rank, 1, 0, job.stamp);
        }
        let age = self.now.since(job.since).as_secs_f64();
        let (missed, last) = self.starts_missed(job);
        if last == 0.0 {
            Precedence(rank, 1, 0, job.stamp)
        } else if age > self.tuning.longest_wait_s {
            Precedence(rank, 0, 0, job.stamp)
        } else {
            Precedence(rank, 1 + missed, job.spec.tasks, job.stamp)
        }
    }

    /// How many of the times that its class aims to start within a job has missed, and the longest of them
    /// in seconds, 0 if there is none.
    pub(super) fn starts_missed(&self, job: &Job) -> (u8, f64) {
        let age = self.now.since(job.since).as_secs_f64();
        let objectives = &self.settings.params.objectives;
        let aims = objectives
            .iter()
            .filter(|o| o.kind == "wait" && o.class.as_deref() == Some(job.spec.class.as_str()))
            .filter_map(|o| o.within_s);
        aims.fold((0, 0.0), |(missed, last): (u8, f64), within| {
            (missed + u8::from(age > within), last.max(within))
        })
    }

    /// Plans starts for all own jobs, the most urgent first.
    pub(super) fn place(&mut self) {
        if !self.entitled() || !self.placing {
            return;
        }
        let mut order: Vec<(Precedence, bool, String)> = Vec::new();
        for (id, job) in &self.jobs {
            // A job that the leader does not name is not even asked whose it is, unless there is no leader.
            if job.placed() < self.wanted(job) && self.places(job) && !self.held(id) {
                let precedence = self.precedence(job);
                order.push((precedence, false, id.clone()));
                // Of jobs that all have their turn, each first takes the machines that have its image:
                // in their order alone, one would fetch its own where the next has no need to.
                if let Turn::Nth(turn) = job.turn
                    && job.spec.shape == Shape::Array
                {
                    order.push((Precedence(precedence.0, 0, turn, job.stamp), true, id.clone()));
                }
            }
        }
        if order.is_empty() {
            return;
        }
        order.sort();
        self.bound = self.bound_teams();
        let usable = || self.machines.iter().filter(|(_, m)| self.usable(m));
        let free = usable().map(|(name, m)| (name.clone(), m.free())).collect();
        // Only services in a hurry ask for what is being made room of.
        let displaces = |id: &String| self.jobs.get(id).is_some_and(|j| self.may_displace(&j.spec));
        let soon = if order.iter().any(|(_, _, id)| displaces(id)) {
            usable().map(|(name, m)| (name.clone(), m.free_soon())).collect()
        } else {
            ByName::default()
        };
        let reserved = if self.leader_silent() { Vec::new() } else { self.reserved.clone() };
        let mut rooms = Rooms {
            free,
            soon,
            cards: self.cards(self.machines.values().filter(|m| self.usable(m))),
            reserved,
        };
        let mut planned = 0;
        let mut planned_of: BTreeMap<String, Resources> = BTreeMap::new();
        let mut held_back: Option<u8> = None;
        for (Precedence(rank, ..), fetched, id) in order {
            if planned >= MOST_STARTS {
                break;
            }
            // Work of lower rank must not fill the room that waiting work of a higher one needs.
            if let Some(by) = held_back
                && rank > by
            {
                self.hold_room(&mut rooms, by);
                held_back = None;
            }
            let gang = self.jobs.get(&id).is_some_and(Job::is_gang);
            let placed = if gang {
                self.place_gang(&id, &mut rooms)
            } else {
                self.place_array(&id, &mut rooms, fetched)
            };
            if let Some(job) = self.jobs.get_mut(&id) {
                job.wait.passed_over = placed.err();
            }
            let started = placed.unwrap_or(0);
            planned += started;
            if started > 0
                && let Some(job) = self.jobs.get(&id)
            {
                let sum = planned_of.entry(job.spec.team.clone()).or_default();
                *sum = sum.plus(job.spec.need());
            }
            if fetched {
                continue;
            }
            let short = self.jobs.get(&id).is_some_and(|j| j.placed() < self.wanted(j));
            if short && held_back.is_none() {
                held_back = Some(rank);
            }
        }
        self.check_planned(&planned_of);
        if planned > 0 {
            // They are ordered when the others have taken them in.
            self.status_due = Some(self.now);
        }
    }

    /// Keeps, for each waiting own job of this rank or higher, the machine that will soonest have
    /// room for it.
    fn hold_room(&self, rooms: &mut Rooms, rank: u8) {
        let waiting = self.jobs.values().filter(|j| {
            u8::MAX - j.spec.priority as u8 <= rank
                && self.places(j)
                && j.placed() < self.wanted(j)
                // What waits for its team's limit does not wait for a machine.
                && j.wait.passed_over.is_none_or(WaitReason::is_for_machines)
        });
        for job in waiting {
            let cards = rooms.cards.after(job.wait.waited(self.now));
            // Where there is room for one of its tasks it is something else that keeps it from starting.
            let lacks_room = |room: Resources| job.is_gang() || !job.spec.need().fits(room);
            // Room where it may not be helps it nothing: jobs bound to a full zone held the others' machines idle.
            let zones = self.zone_counts(&job.spec.id);
            let here = |m: &Machine| zones.get(&m.row.zone).copied().unwrap_or(0);
            let open = |m: &Machine| zone_open(&job.spec, here(m), zones.values().sum());
            let best = rooms
                .free
                .iter()
                .filter_map(|(name, room)| self.machines.get(name).map(|m| (name, room, m)))
                .filter(|(_, room, m)| allows(&job.spec, m) && open(m) && lacks_room(**room))
                .filter(|(_, room, m)| !cards.keep_off(&job.spec, m, **room))
                .max_by_key(|(_, room, m)| room.cpu * 1000 / m.supply.cpu.max(1))
                .map(|(name, ..)| name.clone());
            if let Some(name) = best {
                rooms.free.shift_remove(&name);
            }
        }
    }

    /// Whether a class must start sooner than any machine boots.
    pub(super) fn is_quick(&self, class: &str) -> bool {
        let quickest = self.types.values().map(|t| t.boot_s).fold(f64::INFINITY, f64::min);
        self.settings.params.objectives.iter().any(|o| {
            o.kind == "wait"
                && o.class.as_deref() == Some(class)
                && o.within_s.is_some_and(|w| w < quickest)
                && o.share.is_some_and(|s| s > 0.5)
        })
    }

    /// What a job may take of a machine's room, some of which may be kept for a more urgent class.
    pub(super) fn room_for(&self, spec: &JobSpec, name: &str, room: Resources) -> Resources {
        match self.kept.get(name).and_then(|class| self.quick.get(class)) {
            Some(kept) if kept.class != spec.class && kept.priority >= spec.priority => {
                room.minus(kept.need())
            }
            _ => room,
        }
    }

    /// Whether tasks may be started on a machine now.
    fn usable(&self, machine: &Machine) -> bool {
        let recent = Micros(self.report_every.0 * 3);
        self.owns(machine)
            && !machine.row.returning
            && !machine.apart
            && !machine.notice
            && !machine.hearing.deaf()
            && machine.heard.is_some_and(|at| self.now.since(at) < recent)
    }

    /// Starts as many tasks of an array or a service as it may have and as fit; if none, why.
    fn place_array(&mut self, id: &str, rooms: &mut Rooms, fetched: bool) -> Result<usize, WaitReason> {
        let Some(job) = self.jobs.get(id) else { return Ok(0) };
        let spec = job.spec.clone();
        let short = self.wanted(job).saturating_sub(job.placed()).min(MOST_STARTS as u32);
        let mut allowance = self.allowance(&spec);
        if let Some(reason) = allowance.refusal(spec.need()) {
            return Err(reason);
        }
        let short = u64::from(short).min(spec.need().times_in(allowance.room()));
        let zones = self.zone_counts(id);
        let names = if self.may_displace(&spec) {
            // First where the image is, then where it would be if work of lower rank gave way, then
            // wherever there is room: a class in a hurry has hardly time to fetch it.
            let mut names = self.choose(&spec, short as usize, rooms, zones.clone(), &Only::Fetched);
            rooms.take(&names, spec.need());
            let mut taken = zones;
            self.count_zones(&names, &mut taken);
            let mut left = short - names.len() as u64;
            left -= self.make_room(&spec, left, &mut taken, rooms, true);
            let others = self.choose(&spec, left as usize, rooms, taken.clone(), &Only::All);
            rooms.take(&others, spec.need());
            self.count_zones(&others, &mut taken);
            left -= others.len() as u64;
            self.make_room(&spec, left, &mut taken, rooms, false);
            names.extend(others);
            names
        } else {
            let only = if fetched { Only::Fetched } else { Only::All };
            let names = self.choose(&spec, short as usize, rooms, zones, &only);
            rooms.take(&names, spec.need());
            names
        };
        if names.is_empty() {
            return Err(WaitReason::NoMachine);
        }
        let Some(job) = self.jobs.get(id) else { return Ok(0) };
        let open = |i: &u32| !job.done.contains(*i) && !job.on.contains_key(i);
        let starts: Vec<u32> = (job.next..spec.tasks).filter(open).take(names.len()).collect();
        let attempt = self.next_attempt(id);
        for (index, name) in starts.iter().zip(&names) {
            self.plan(id, *index, attempt, name, &mut allowance);
        }
        if let (Some(job), Some(first)) = (self.jobs.get_mut(id), starts.first()) {
            job.next = *first;
        }
        Ok(starts.len())
    }

    /// Adds tasks that are to be on these machines to a job's tasks by zone.
    fn count_zones(&self, names: &[String], zones: &mut BTreeMap<String, u32>) {
        for machine in names.iter().filter_map(|name| self.machines.get(name)) {
            *zones.entry(machine.row.zone.clone()).or_default() += 1;
        }
    }

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
    fn make_room(
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
                self.jobs.get(&task.job).map_or(Micros::ZERO, |j| j.spec.save() + Micros::from_secs(1));
            if let Some(t) = self.machines.get_mut(&name).and_then(|m| m.tasks.get_mut(&task)) {
                t.stop = Some(grace);
            }
            self.drop_planned(&name, |t| *t == task);
        }
        before - short
    }

    /// About how long a machine needs to have a job's image. Fetches at the same time share its rate.
    fn fetch_time(&self, spec: &JobSpec, machine: &Machine) -> Micros {
        if machine.has_image(&spec.image) {
            return Micros::ZERO;
        }
        let rate = self.types.get(&machine.row.kind).map_or(0.0, |t| t.fetch_gb_per_s).max(1e-3);
        let fetching = machine.tasks.iter().filter(|(_, t)| t.state == TaskState::Fetching);
        let images: BTreeSet<&String> =
            fetching.filter_map(|(id, _)| self.jobs.get(&id.job).map(|j| &j.spec.image)).collect();
        let shared = images.len() + usize::from(!images.contains(&spec.image));
        // One that is on its way already has come some of it.
        let part = if images.contains(&spec.image) { 0.5 } else { 1.0 };
        Micros::from_secs_f64((spec.image_gb / rate * shared as f64 * part).max(1e-3))
    }

    /// Starts all tasks of a gang, or none and says why. No task of an earlier attempt may be left.
    fn place_gang(&mut self, id: &str, rooms: &mut Rooms) -> Result<usize, WaitReason> {
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
                let grace = job.spec.save() + Micros::from_secs(1);
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

    /// Attempts rise from one start to the next and from one owner to the next.
    fn next_attempt(&mut self, id: &str) -> u64 {
        let applied = self.applied;
        self.jobs.get_mut(id).map_or(0, |j| {
            j.attempt = (j.attempt + 1).max(applied);
            j.attempt
        })
    }

    /// Plans a start, if its team's limit allows one more.
    fn plan(&mut self, id: &str, index: u32, attempt: u64, name: &str, allowance: &mut Allowance) {
        let need = self.need_of(id);
        let Some(permit) = allowance.take(need) else { return };
        let task = TaskId::new(id, index);
        self.log_planned(&task, name, allowance);
        let on = TaskOn {
            attempt,
            state: TaskState::Fetching,
            cause: None,
            need,
            pending: Some(Pending::Planned(permit)),
            announced: 0,
            stop: None,
            told: false,
            since: self.now,
        };
        if let Some(machine) = self.machines.get_mut(name) {
            machine.tasks.insert(task, on);
            machine.idle_since = self.now;
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.put_on(index, name);
        }
    }

    /// Tasks of a job by zone, each counted until it is seen gone.
    pub(super) fn zone_counts(&self, id: &str) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        // Most jobs don't mind, and an array's thousand places are asked for in every pass.
        if let Some(job) = self.jobs.get(id).filter(|j| j.spec.one_zone || j.spec.spread) {
            for machine in job.on.values().flatten().filter_map(|name| self.machines.get(name)) {
                *counts.entry(machine.row.zone.clone()).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Machines for up to `count` tasks, each named once for every task it is to take: those that
    /// have the image first, then the fullest. `zones` says where the job's other tasks are.
    fn choose(
        &self,
        spec: &JobSpec,
        count: usize,
        rooms: &Rooms,
        mut zones: BTreeMap<String, u32>,
        only: &Only<'_>,
    ) -> Vec<String> {
        let need = spec.need();
        let closed = HeldBack::from(self, &rooms.reserved, spec);
        let cards = rooms.cards.after(self.waited(&spec.id));
        let mut options: Vec<(Preference, &String, Resources, &Machine)> = Vec::new();
        // Most machines are full, and this is asked for every waiting job: the cheap check first.
        for (name, room) in rooms.free.iter().filter(|(_, room)| count > 0 && need.fits(**room)) {
            let Some(m) = self.machines.get(name) else { continue };
            if allows(spec, m) && only.zone().is_none_or(|z| z == m.row.zone) && !closed.holds(m) {
                let fetch = self.fetch_time(spec, m);
                if fetch == Micros::ZERO || !matches!(only, Only::Fetched) {
                    let doubt = self.blame.doubt(&spec.id, name);
                    let preference = (doubt, keeps_dear(spec, m), fetch, room.cpu - need.cpu);
                    options.push((preference, name, *room, m));
                }
            }
        }
        options.sort_unstable_by_key(|(key, name, ..)| (*key, *name));
        let mut total: u32 = zones.values().sum();
        let mut names = Vec::new();
        // The best machine stays the best while it has room, for each task makes it fuller.
        for (_, name, mut room, machine) in options {
            let mut here = zones.get(&machine.row.zone).copied().unwrap_or(0);
            let before = names.len();
            while names.len() < count
                && need.fits(self.room_for(spec, name, room))
                && !cards.keep_off(spec, machine, room)
                && zone_open(spec, here, total)
            {
                names.push(name.clone());
                room = room.minus(need);
                (here, total) = (here + 1, total + 1);
            }
            if names.len() > before {
                zones.insert(machine.row.zone.clone(), here);
            }
            if names.len() == count {
                break;
            }
        }
        names
    }

    /// What plain work leaves to accelerators on these machines.
    pub(super) fn cards<'a>(&self, machines: impl Iterator<Item = &'a Machine>) -> Cards {
        let per = |j: &Job| (j.spec.cpus * 1e3 / j.spec.gpus) as u64;
        let per_card = self.jobs.values().filter(|j| j.spec.gpus > 0.0).map(per).max().unwrap_or(0);
        let guaranteed = self.settings.params.teams.iter().any(|t| t.gpus > 0.0);
        let with_cards = machines.filter(|m| guaranteed && m.supply.gpu > 0);
        let (free, all) = with_cards.fold((0, 0), |(free, all), m| (free + m.free().gpu, all + m.supply.gpu));
        Cards { per_card, spare: free > 0 && free * SPARE_PART >= all, overdue: false }
    }

    /// The leader's volumes. A job it does not name is not admitted.
    pub(super) fn take_volumes(
        &mut self,
        volumes: &[Volume],
        kept: Vec<(String, String)>,
        reserved: Vec<(String, String)>,
    ) {
        self.kept = kept.into_iter().collect();
        self.reserved = reserved;
        self.volumes_heard = self.now;
        let named: HashMap<&str, (u32, Turn)> =
            volumes.iter().map(|v| (v.job.as_str(), (v.tasks, v.turn))).collect();
        #[cfg(test)]
        let alone = self.alone;
        for (id, job) in &mut self.jobs {
            (job.volume, job.turn) = named.get(id.as_str()).copied().unwrap_or_default();
            #[cfg(test)]
            if alone {
                (job.volume, job.turn) = (job.unfinished(), Turn::Usual);
            }
        }
        self.place_due = true;
    }

    /// Stops the latest started tasks of own jobs that the leader finds above their volume.
    pub(super) fn stop_surplus(&mut self, surplus: &[(String, u32)]) {
        for (id, count) in surplus {
            let Some(job) = self.jobs.get(id).filter(|j| self.places(j)) else { continue };
            let grace = job.spec.save() + Micros::from_secs(1);
            let mut tasks: Vec<(Micros, String, TaskId)> = Vec::new();
            for (index, places) in &job.on {
                let task = TaskId::new(id, *index);
                for name in places {
                    if let Some(t) = self.machines.get(name).and_then(|m| m.tasks.get(&task))
                        && !t.ended()
                        && t.stop.is_none()
                    {
                        tasks.push((t.since, name.clone(), task.clone()));
                    }
                }
            }
            tasks.sort();
            for (_, name, task) in tasks.into_iter().rev().take(*count as usize) {
                if let Some(t) = self.machines.get_mut(&name).and_then(|m| m.tasks.get_mut(&task)) {
                    t.stop = Some(grace);
                    self.stops_abroad = true;
                }
            }
        }
    }

    /// A task has completed, as its machine's owner has it from the worker.
    ///
    /// Only the job's owner notes it: it alone records it, and a leader that knew better than the
    /// owner would give a job whose completion was lost with its machine no volume ever again.
    pub(super) fn completed(&mut self, task: &TaskId) {
        let me = self.settings.member.clone();
        if let Some(job) = self.jobs.get_mut(&task.job).filter(|j| j.owner.as_ref() == Some(&me)) {
            let new = job.complete(task.index);
            if new && job.unfinished() == 0 {
                self.flush_at = self.now;
            }
        }
    }

    /// Records completions: a job that is done at once, others in batches.
    pub(super) fn flush_progress(&mut self) {
        if self.now < self.flush_at || !self.entitled() || !self.placing {
            return;
        }
        self.flush_at = self.now + Micros::from_millis(100);
        let me = self.settings.member.clone();
        let now = self.now;
        // Nothing is lost while what has ended waits for its record, so many jobs take turns.
        let dirty = self.jobs.values().filter(|j| !j.dirty.is_empty() && j.owner.as_deref() == Some(&me));
        let turn = dirty.count() as f64 / (self.calls.writes_per_s() * PROGRESS_SHARE);
        let spacing = Micros::from_secs_f64(turn).max(Micros::from_millis(1_500));
        let mine: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.completing && (!j.dirty.is_empty() || j.unfinished() == 0))
            .filter(|(_, j)| j.owner.as_deref() == Some(&me))
            .filter(|(_, j)| match j.unfinished() {
                0 => j.ending.ready(now),
                _ => !j.dirty.is_empty() && !j.writing && j.progress_at <= now,
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in mine {
            let entitlement = self.entitlement();
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let live = Condition::new(records::live(&id), job.stamp);
            if job.unfinished() == 0 && job.spec.shape != Shape::Service {
                job.completing = true;
                let tasks = job.spec.tasks;
                let record = FinalRecord { state: Final::Done, tasks };
                let Ok(value) = serde_json::to_value(record) else { continue };
                let transaction = Transaction {
                    conditions: vec![live, Condition::new(records::finished(&id), 0), entitlement],
                    writes: vec![
                        Write::delete(records::live(&id)),
                        Write::put(records::finished(&id), value),
                    ],
                };
                self.store(
                    Urgency::Completion,
                    Purpose::Complete { job: id, tasks },
                    StoreCall::Commit(transaction),
                );
            } else if let Some(chunk) = job.dirty.pop_first() {
                job.writing = true;
                job.progress_at = now + spacing;
                let value = job.done.chunk(chunk);
                let key = records::done_chunk(&id, chunk);
                let known = self.done_keys.get(&id).and_then(|c| c.get(&chunk)).copied().unwrap_or(0);
                let transaction = Transaction {
                    conditions: vec![live, Condition::new(key.clone(), known), entitlement],
                    writes: vec![Write::put(key, value)],
                };
                self.store(
                    Urgency::Rest,
                    Purpose::Progress { job: id, chunk },
                    StoreCall::Commit(transaction),
                );
            }
        }
    }

    pub(super) fn complete_replied(&mut self, id: String, tasks: u32, reply: StoreReply) {
        match reply {
            StoreReply::Committed { revision } => {
                let end = FinalRecord { state: Final::Done, tasks };
                self.learned_end(&id, end, revision, Source::Records);
                // Its change may have been followed before.
                self.retire(&id);
                tracing::debug!(job = id, "done");
                self.soon_round();
            }
            // Withdrawn in the meantime, or this controller's word no longer counts: the watch tells.
            _ => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.completing = false;
                    job.ending.failed(self.now, &rules::COMPLETE, &mut self.rng);
                }
            }
        }
    }

    pub(super) fn progress_replied(&mut self, id: String, chunk: usize, reply: StoreReply) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.writing = false;
            if !matches!(reply, StoreReply::Committed { .. }) {
                job.dirty.insert(chunk);
            }
        }
    }
}
