//! An owner's placement of its own jobs on its own machines.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use marblewalk_admission::pool::Turn;

use crate::coordination::eligibility::{Cards, HeldBack, allows, keeps_dear, zone_open};
use crate::coordination::model::{Job, Machine, Pending, TaskOn};
use crate::coordination::precedence::Precedence;
use crate::coordination::quota::Allowance;
use crate::coordination::waiting::WaitReason;
use crate::coordination::{ByName, Controller};
use crate::protocol::job::{JobSpec, Shape};
use crate::protocol::peer::Volume;
use crate::protocol::units::{Micros, Resources};
use crate::protocol::worker::{TaskId, TaskState};

/// Starts planned in one pass, so that a job of very many tasks cannot hold up everything else.
pub(super) const MOST_STARTS: usize = 400;

/// A backfilled array whose task has ended starts no other for at least so long, whatever the leader last said.
const AGAIN_AFTER: Micros = Micros::from_secs(10);

/// What makes an owner prefer one machine to another: the least first.
type Preference = (usize, bool, Micros, u64);

/// Which machines a choice is limited to.
pub(super) enum Only<'a> {
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
pub(super) struct Rooms {
    pub(super) free: ByName<Resources>,
    /// What there will be once all that is being stopped has gone, less what has been counted on.
    pub(super) soon: ByName<Resources>,
    pub(super) cards: Cards,
    pub(super) reserved: Vec<(String, String)>,
}

impl Rooms {
    pub(super) fn take(&mut self, names: &[String], need: Resources) {
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
    pub(super) fn places(&self, job: &Job) -> bool {
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

    /// Plans starts for all own jobs, the most urgent first.
    pub(super) fn place(&mut self) {
        if !self.entitled() || !self.placing {
            return;
        }
        let mut order: Vec<(Precedence, bool, String)> = Vec::new();
        for (id, job) in &self.jobs {
            // A job that the leader does not name is not even asked whose it is, unless there is no leader.
            if job.placed() < self.wanted(job) && self.places(job) && !self.held(id) {
                let precedence = self.placing_precedence(job);
                order.push((precedence, false, id.clone()));
                // Of jobs that all have their turn, each first takes the machines that have its image:
                // in their order alone, one would fetch its own where the next has no need to.
                if let Turn::Nth(turn) = job.turn
                    && job.spec.shape == Shape::Array
                {
                    order.push((Precedence { group: 0, position: turn, ..precedence }, true, id.clone()));
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
        for (Precedence { rank, .. }, fetched, id) in order {
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
            && !machine.hearing.is_not_receiving()
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

    /// About how long a machine needs to have a job's image. Fetches at the same time share its rate.
    pub(super) fn fetch_time(&self, spec: &JobSpec, machine: &Machine) -> Micros {
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

    /// Attempts rise from one start to the next and from one owner to the next.
    pub(super) fn next_attempt(&mut self, id: &str) -> u64 {
        let applied = self.applied;
        self.jobs.get_mut(id).map_or(0, |j| {
            j.attempt = (j.attempt + 1).max(applied);
            j.attempt
        })
    }

    /// Plans a start, if its team's limit allows one more.
    pub(super) fn plan(&mut self, id: &str, index: u32, attempt: u64, name: &str, allowance: &mut Allowance) {
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
    pub(super) fn choose(
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
                    let doubt = self.blame.suspicion(&spec.id, name);
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
            let grace = job.spec.save_time() + Micros::from_secs(1);
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
}
