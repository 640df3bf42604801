//! Jobs that wait in calm while a machine that fits has room and their team is under its limit: `neglected`.

use std::collections::VecDeque;

use super::*;

/// For how long a job may be left waiting, once all troubles are over.
const PATIENCE: Micros = Micros::from_secs(90);
const EVERY: Micros = Micros::from_secs(5);
/// Looks that span the time.
const LOOKS: usize = (PATIENCE.0 / EVERY.0) as usize + 1;

/// What was seen at one moment.
struct Seen {
    /// Room on each machine that could have been given work.
    room: BTreeMap<String, Resources>,
    /// What the teams' tasks took, those still without their image among them: they have been ordered.
    taken: Vec<Resources>,
    /// How many tasks of each job had to be placed for it to go on.
    missing: BTreeMap<String, u64>,
    /// What the tasks of each waiting gang took, by machine.
    own: BTreeMap<String, BTreeMap<String, Resources>>,
}

impl Seen {
    /// The room and what the teams took, as they would have been had a job had no task anywhere.
    fn without(&self, id: &str, team: usize) -> (BTreeMap<String, Resources>, Vec<Resources>) {
        let (mut room, mut taken) = (self.room.clone(), self.taken.clone());
        for (machine, need) in self.own.get(id).into_iter().flatten() {
            if let Some(free) = room.get_mut(machine) {
                *free = free.plus(*need);
            }
            taken[team] = taken[team].minus(*need);
        }
        (room, taken)
    }
}

/// What has been seen since all has been calm.
#[derive(Default)]
pub(super) struct Idle {
    next: Micros,
    seen: VecDeque<Seen>,
    /// Since when jobs have had tasks to start.
    waiting: BTreeMap<String, Micros>,
}

impl World {
    /// When the last trouble was over.
    fn calm_since(&self) -> Micros {
        let calm = self.calm_after.max(self.spells_over).max(self.cloud_down).max(self.all_away);
        let troubles = self
            .workers
            .values()
            .filter(|w| !w.dead)
            .flat_map(|w| [w.cut_until, w.hung_until, w.deaf_until, w.mute_until]);
        troubles.fold(calm, Micros::max)
    }

    fn need(&self, id: &TaskId) -> Resources {
        self.jobs.get(&id.job).and_then(|j| j.spec.as_ref()).map(JobSpec::need).unwrap_or_default()
    }

    /// What is free on each machine that reports, is not faulty and is not about to be taken away.
    fn room(&self) -> BTreeMap<String, Resources> {
        let answered = Micros::from_secs_f64(self.settings[0].params.workers.report_s * 3.0);
        let fit = self.workers.iter().filter(|(_, w)| {
            !w.dead && !w.faulty && w.notice.is_none() && w.token > 0 && self.now.since(w.renewed) <= answered
        });
        fit.map(|(name, w)| {
            let kind = self.types.iter().find(|t| t.name == w.kind);
            let supply = kind.map(MachineType::supply).unwrap_or_default();
            let tasks = w.tasks.iter().filter(|(_, t)| t.state != TaskState::Ended);
            (name.clone(), tasks.fold(supply, |room, (id, _)| room.minus(self.need(id))))
        })
        .collect()
    }

    fn ordered(&self) -> Vec<Resources> {
        let teams = &self.settings[0].params.teams;
        let mut taken = vec![Resources::default(); teams.len()];
        for (id, _) in self.holding().flat_map(|w| &w.tasks).filter(|(_, t)| t.state != TaskState::Ended) {
            let Some(spec) = self.jobs.get(&id.job).and_then(|j| j.spec.as_ref()) else { continue };
            if let Some(team) = teams.iter().position(|t| t.name == spec.team) {
                taken[team] = taken[team].plus(spec.need());
            }
        }
        taken
    }

    fn is_gang(&self, id: &str) -> bool {
        self.jobs.get(id).and_then(|j| j.spec.as_ref()).is_some_and(|spec| spec.shape == Shape::Gang)
    }

    /// What a job's tasks take, by machine.
    fn own(&self, id: &str) -> BTreeMap<String, Resources> {
        let mut own: BTreeMap<String, Resources> = BTreeMap::new();
        for (name, w) in &self.workers {
            let tasks = w.tasks.iter().filter(|(i, t)| i.job == id && t.state != TaskState::Ended);
            for (task, _) in tasks {
                let taken = own.entry(name.clone()).or_default();
                *taken = taken.plus(self.need(task));
            }
        }
        own
    }

    /// How many tasks of a job have to be placed for it to go on, and how many others are in each zone; none where it
    /// has none to start.
    fn waits_for(&self, id: &str, wish: &Wish) -> Option<(u64, BTreeMap<&str, u64>)> {
        let spec = wish.spec.as_ref()?;
        let live = wish.told_accepted && wish.told_final.is_none() && !wish.refused;
        // A mistaken job is tried ever more rarely, and nobody has any use for one that its user calls off.
        if !live || wish.wants_withdrawal || self.mistaken.contains(id) {
            return None;
        }
        let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
        let mut settled = wish.tasks_done.clone();
        for w in self.holding() {
            for (task, _) in w.tasks.iter().filter(|(i, t)| i.job == id && t.state != TaskState::Ended) {
                settled.insert(task.index);
                *zones.entry(&w.zone).or_default() += 1;
            }
        }
        let missing = u64::from(spec.tasks).saturating_sub(settled.len() as u64);
        let together = spec.shape == Shape::Gang || spec.shape == Shape::Service && zones.is_empty();
        (missing > 0).then_some((if together { missing } else { 1 }, zones))
    }

    /// Whether so many tasks of a job fit into the room given.
    fn fits_into(
        &self,
        spec: &JobSpec,
        count: u64,
        there: &BTreeMap<&str, u64>,
        room: &BTreeMap<String, Resources>,
    ) -> bool {
        let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
        for (name, room) in room {
            let Some(w) = self.workers.get(name) else { continue };
            let allowed = spec.machine_types.as_ref().is_none_or(|t| t.contains(&w.kind))
                && spec.zone.as_ref().is_none_or(|z| *z == w.zone)
                && (spec.spot || !w.spot)
                && (!spec.one_zone || there.is_empty() || there.contains_key(w.zone.as_str()));
            if allowed {
                *zones.entry(&w.zone).or_default() += spec.need().times_in(*room);
            }
        }
        let most = u64::from(spec.tasks.div_ceil(2));
        if spec.spread {
            for (zone, places) in &mut zones {
                *places = (*places).min(most.saturating_sub(there.get(zone).copied().unwrap_or(0)));
            }
        }
        if spec.one_zone { zones.values().any(|n| *n >= count) } else { zones.values().sum::<u64>() >= count }
    }

    /// Looks every few seconds at who waits and what is free, once all is calm. A job is neglected where it has had
    /// tasks to start for so long, none has begun, and what has been free all the while on machines takes one (of a
    /// gang, all that are missing) without its team's having come to its limit at any time.
    pub(super) fn check_idle(&mut self) {
        if self.now < self.idle.next {
            return;
        }
        self.idle.next = self.now + EVERY;
        if self.now < self.calm_since() {
            self.idle.seen.clear();
            self.idle.waiting.clear();
            return;
        }
        if self.idle.seen.len() == LOOKS {
            self.idle.seen.pop_front();
        }
        let waits = self.jobs.iter().filter_map(|(id, wish)| Some((id.clone(), self.waits_for(id, wish)?.0)));
        let missing: BTreeMap<String, u64> = waits.collect();
        let own = missing.keys().filter(|id| self.is_gang(id)).map(|id| (id.clone(), self.own(id))).collect();
        let seen = Seen { room: self.room(), taken: self.ordered(), missing, own };
        self.idle.seen.push_back(seen);
        let mut waiting = BTreeMap::new();
        let mut long = Vec::new();
        for (id, wish) in &self.jobs {
            let Some((count, there)) = self.waits_for(id, wish) else { continue };
            let since = self.idle.waiting.get(id).copied().unwrap_or(self.now);
            let since = if self.is_gang(id) { since } else { since.max(wish.begun) };
            waiting.insert(id.clone(), since);
            if self.now.since(since) >= PATIENCE && self.idle.seen.len() == LOOKS {
                long.push((id, wish, self.most_missing(id).max(count), there, since));
            }
        }
        if !long.is_empty() {
            let looks = self.idle.seen.iter().map(|seen| (seen.room.clone(), seen.taken.clone()));
            let (room, taken) = all_the_while(looks);
            for (id, wish, count, there, since) in &long {
                let Some(spec) = &wish.spec else { continue };
                let missing_fit =
                    self.under_limit(spec, *count, &taken) && self.fits_into(spec, *count, there, &room);
                let fits = missing_fit || self.is_gang(id) && self.whole_gang_fits(id, spec);
                let reasons = || self.reasons(id, spec, *since, &room, &taken);
                assert!(!fits, "neglected: {}", reasons());
            }
        }
        self.met.waits += long.len() as u32;
        self.idle.waiting = waiting;
    }

    /// The most tasks of a job that had to be placed at any look. A gang is ordered task by task, and what is missing at a
    /// look in the middle of it may have fitted all the while where the gang did not: pair 634001 (spot_taken and looks),
    /// a gang of four to be spread over two zones, with a machine in one of them until the second came up at 249 s; at
    /// the look of 250 s two of its tasks had been ordered there.
    fn most_missing(&self, id: &str) -> u64 {
        self.idle.seen.iter().filter_map(|seen| seen.missing.get(id)).copied().max().unwrap_or(0)
    }

    /// Whether all of a gang has fitted all the while, whatever parts of it were there at some looks.
    fn whole_gang_fits(&self, id: &str, spec: &JobSpec) -> bool {
        let teams = &self.settings[0].params.teams;
        let Some(team) = teams.iter().position(|t| t.name == spec.team) else { return false };
        let (room, taken) = all_the_while(self.idle.seen.iter().map(|seen| seen.without(id, team)));
        let tasks = u64::from(spec.tasks);
        self.under_limit(spec, tasks, &taken) && self.fits_into(spec, tasks, &BTreeMap::new(), &room)
    }

    /// What a neglected job, its team and the machines looked like, for the message of a failed run.
    fn reasons(
        &self,
        id: &str,
        spec: &JobSpec,
        since: Micros,
        room: &BTreeMap<String, Resources>,
        taken: &[Resources],
    ) -> String {
        let team = self.settings[0].params.teams.iter().position(|t| t.name == spec.team);
        let most = team.map(|t| taken[t]);
        let free: Vec<_> = room.iter().filter(|(_, r)| spec.need().fits(**r)).map(|(name, _)| name).collect();
        let owners = self.controllers.iter().flatten();
        let volumes: Vec<_> = owners
            .flat_map(|c| c.jobs.values().filter(|j| j.owner.as_deref() == Some(c.own_name())))
            .filter(|j| j.spec.team == spec.team)
            .map(|j| {
                let reason = j.wait.reason();
                (&j.spec.id, &j.owner, j.volume, j.placed(), j.unfinished(), j.spec.cpus, j.spec.gpus, reason)
            })
            .collect();
        format!(
            "{id} waits since {since:?}, now {:?}: {spec:?}; its team took {most:?} at most; room all the while on \
             {free:?}; the team's jobs (owner, volume, placed, unfinished, need, why it has nothing running since): {volumes:?}\n{}",
            self.now,
            self.describe_job(id)
        )
    }

    fn under_limit(&self, spec: &JobSpec, count: u64, taken: &[Resources]) -> bool {
        let teams = &self.settings[0].params.teams;
        let Some(team) = teams.iter().position(|t| t.name == spec.team) else { return false };
        let all = taken[team].plus(spec.need().times(count));
        let within = |used: u64, limit: f64| limit <= 0.0 || used as f64 <= limit * 1e3 + 1e-6;
        within(all.cpu, teams[team].cpus_max) && within(all.gpu, teams[team].gpus_max)
    }
}

/// The least room that each machine has had at all looks, and the most that each team has taken.
fn all_the_while(
    mut looks: impl Iterator<Item = (BTreeMap<String, Resources>, Vec<Resources>)>,
) -> (BTreeMap<String, Resources>, Vec<Resources>) {
    let Some((mut room, mut taken)) = looks.next() else { return Default::default() };
    for (now_room, now_taken) in looks {
        room.retain(|name, room| {
            now_room.get(name).is_some_and(|now| {
                *room = room.min(*now);
                true
            })
        });
        taken.iter_mut().zip(&now_taken).for_each(|(most, now)| *most = most.max(*now));
    }
    (room, taken)
}

/// A calm world without controllers, one machine, and a job that waits beside it for two minutes; what else befalls
/// is done before each look.
fn left_waiting(spec: JobSpec, befalls: fn(&mut World, &str, u64)) -> u32 {
    let mut world = World::new(5, FaultProfile { checks_neglect: true, ..Default::default() });
    world.queue.clear();
    world.calm_after = Micros::ZERO;
    let name = world.add_machine("g8", "east", false);
    let id = spec.id.clone();
    world.jobs.insert(id, Wish { spec: Some(spec), told_accepted: true, ..Default::default() });
    for look in 0..24 {
        world.now = Micros::from_secs(30 + 5 * look);
        let now = world.now;
        let w = world.workers.get_mut(&name).unwrap();
        (w.renewed, w.token) = (now, 1);
        befalls(&mut world, &name, look);
        world.check_idle();
    }
    world.met.waits
}

fn waiting(shape: Shape, tasks: u32, team: &str) -> JobSpec {
    let mut world = World::new(6, FaultProfile::default());
    let job = JobSpec {
        shape,
        tasks,
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 1.0,
        machine_types: None,
        ..world.random_job(1)
    };
    JobSpec { zone: None, one_zone: false, spread: false, spot: false, team: team.into(), ..job }
}

/// Guards the judge of neglect: an array's task that fits.
#[test]
#[should_panic(expected = "neglected: j-000001")]
fn a_job_left_waiting_beside_a_machine_that_fits_is_a_fault() {
    left_waiting(waiting(Shape::Array, 30, "green"), |_, _, _| {});
}

/// Guards the judge of neglect: a whole gang that fits.
#[test]
#[should_panic(expected = "neglected: j-000001")]
fn a_gang_left_waiting_beside_room_for_all_of_it_is_a_fault() {
    left_waiting(waiting(Shape::Gang, 4, "green"), |_, _, _| {});
}

/// Puts some tasks of a job on a machine, or takes them off.
fn put(world: &mut World, machine: &str, id: &str, tasks: std::ops::Range<u32>, there: bool) {
    let (cause, until, ordered) = (None, Micros::MAX, Micros::ZERO);
    let w = world.workers.get_mut(machine).unwrap();
    for task in tasks.map(|n| TaskId::new(id, n)) {
        w.tasks.remove(&task);
        if there {
            let state = TaskState::Waiting;
            w.tasks.insert(task, Running { attempt: 1, state, cause, until, ordered, arrived: ordered });
        }
    }
}

/// Guards the judge of neglect: a gang that fitted all the while, of which some tasks were there at a look in between. At
/// that look the room was less by these, and only what was missing at the others was asked for.
#[test]
#[should_panic(expected = "neglected: j-000001")]
fn a_gang_that_fits_throughout_is_judged_though_parts_of_it_came_and_went() {
    let two_of_four_for_a_look = |world: &mut World, name: &str, look| {
        put(world, name, "j-000001", 0..2, look == 10);
    };
    left_waiting(waiting(Shape::Gang, 4, "green"), two_of_four_for_a_look);
}

/// A gang that never had room for all of it waits with reason, though what it lacks at last has had room all the while:
/// pair 634001.
#[test]
fn a_gang_that_never_fits_as_a_whole_is_not_judged_by_what_is_missing_at_one_look() {
    let a_machine_for_two_of_five_at_last = |world: &mut World, _: &str, look| {
        if look == 20 {
            world.add_machine("c16", "west", false);
        }
        if look >= 20 {
            let now = world.now;
            let (name, w) = world.workers.iter_mut().find(|(_, w)| w.kind == "c16").unwrap();
            (w.renewed, w.token) = (now, 1);
            let name = name.clone();
            put(world, &name, "j-000001", 0..2, true);
        }
    };
    assert!(left_waiting(waiting(Shape::Gang, 5, "green"), a_machine_for_two_of_five_at_last) > 0);
}

/// Who waits with reason is not neglected.
#[test]
fn jobs_that_wait_for_room_or_for_their_teams_limit_are_not_neglected() {
    let gang = waiting(Shape::Gang, 5, "green");
    assert!(left_waiting(gang, |_, _, _| {}) > 0, "no room for the fifth");
    let array = waiting(Shape::Array, 30, "green");
    let apart = JobSpec { spread: true, ..waiting(Shape::Gang, 4, "green") };
    assert!(left_waiting(apart, |_, _, _| {}) > 0, "room in one zone only");
    assert!(
        left_waiting(JobSpec { machine_types: Some(vec!["c16".into()]), ..array.clone() }, |_, _, _| {}) > 0
    );
    assert!(left_waiting(JobSpec { zone: Some("west".into()), ..array.clone() }, |_, _, _| {}) > 0);
    let faulty = |world: &mut World, name: &str, _| world.workers.get_mut(name).unwrap().faulty = true;
    assert!(left_waiting(array.clone(), faulty) > 0);
    let begins = |world: &mut World, _: &str, look| {
        if look % 10 == 9 {
            let now = world.now;
            world.jobs.values_mut().for_each(|w| w.begun = now);
        }
    };
    assert_eq!(left_waiting(array.clone(), begins), 0, "a task begins now and then");
    let spell = |world: &mut World, _: &str, look| {
        if look == 8 {
            world.spells_over = world.now + Micros(1);
        }
    };
    assert_eq!(left_waiting(array, spell), 0, "not calm for long enough");
    // All of its team's processors are taken on another machine at one of the looks.
    let at_its_limit = |world: &mut World, _: &str, look| {
        if look == 10 {
            let other = world.add_machine("c16", "west", false);
            let job = JobSpec { id: "j-000002".into(), cpus: 24.0, ..waiting(Shape::Array, 1, "red") };
            world.jobs.insert(job.id.clone(), Wish { spec: Some(job.clone()), ..Default::default() });
            let state = TaskState::Running;
            let (cause, until, ordered) = (None, Micros::MAX, Micros::ZERO);
            let task = Running { attempt: 1, state, cause, until, ordered, arrived: ordered };
            let now = world.now;
            let w = world.workers.get_mut(&other).unwrap();
            w.renewed = now;
            w.tasks.insert(TaskId::new(&job.id, 0), task);
        }
    };
    assert!(left_waiting(waiting(Shape::Array, 30, "red"), at_its_limit) > 0);
}
