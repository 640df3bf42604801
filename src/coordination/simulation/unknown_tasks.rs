//! A team's limit and tasks of jobs that the controller which counts them has no record of.
//!
//! The state service refuses every controller until all of them have dropped their records. The first that is served
//! again is alone in its view, and the machines then show it tasks of jobs that have ended meanwhile.

use super::fault_injection::{run_each_with, soak_factor};
use super::outages::DEPLOYMENT_TIMINGS;
use super::quota_fault_combinations::{
    cluster_with_limited_teams, present_task_count, request_withdrawal, run_for, set_limits, submit_more_work,
};
use super::*;
use crate::coordination::Phase;

/// Report interval, worker lease and cancel deadline of selatcargo. Its machines keep their tasks for longer than a
/// refused controller takes to come back.
const LONG_LEASES: (f64, f64, f64) = (4.0, 28.0, 53.0);
/// How long the state service refuses the controllers, in the order in which they come back. Their leases last 15 s.
const REFUSED_FOR: [Micros; 3] = [Micros::from_secs(20), Micros::from_secs(26), Micros::from_secs(31)];
/// The limit of team blue, in units of what its small tasks take.
const LIMIT: f64 = 40.0;

/// What a team's limit divides.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Unit {
    Processors,
    Accelerators,
}

/// How the job that becomes unknown ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// Withdrawn at the first controller that is back, before a machine has shown its tasks.
    WithdrawnBeforeMachines,
    /// Withdrawn there, so that its end is recorded about when the first reply of its machine arrives.
    WithdrawnWithReply,
    /// Its end was recorded before that controller read the records.
    BeforeRecords(FinalState),
}

/// What fills the room of the unknown task on its machine, as the controller sees it.
#[derive(Clone, Copy, Debug)]
struct Rival {
    team: &'static str,
    shape: Shape,
}

/// What else happens once the host has shown its tasks, or, where its comment says so, before.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// The controllers are served again within a third of a second, so that views follow each other at once.
    AllBackAtOnce,
    /// The first controller ends and is back at once.
    OwnerRestarts,
    /// It ends and stays away until the others have taken over.
    OwnerEnds,
    /// The host goes to another controller and back. The first controller ends twice for that.
    MovesAndReturns,
    HostHangs,
    HostCutOff,
    /// The cloud has not told the first controller the types of the machines.
    TypesUnknown,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    unit: Unit,
    end: End,
    rival: Rival,
    /// The teams of the unknown jobs on the machine, a task each.
    unknown_jobs: &'static [&'static str],
    trouble: Trouble,
}

/// The case of the incident.
const INCIDENT: Case = Case {
    unit: Unit::Processors,
    end: End::WithdrawnBeforeMachines,
    rival: Rival { team: "green", shape: Shape::Array },
    unknown_jobs: &["blue"],
    trouble: Trouble::None,
};

/// A cluster with team blue at its limit. The jobs that will be unknown run on one machine, which tasks of team green
/// fill otherwise; another job of team blue runs elsewhere and has more tasks than the limit allows.
struct Scene {
    world: World,
    case: Case,
    host: String,
    unknown: Vec<String>,
    elsewhere: String,
    rival: String,
    /// The controller that is served again first.
    first: usize,
    next_job: u32,
}

fn submit_on(
    world: &mut World,
    n: u32,
    (team, shape): (&str, Shape),
    tasks: u32,
    (cpus, gpus): (f64, f64),
    kind: &str,
) -> String {
    let spec = super::takeovers::array(world, n, tasks);
    let spec = JobSpec {
        team: team.into(),
        shape,
        priority: Priority::Normal,
        spot: false,
        cpus,
        gpus,
        machine_types: Some(vec![kind.into()]),
        ..spec
    };
    let id = spec.id.clone();
    world.submit(spec);
    id
}

/// Runs the world in steps of a millisecond until the condition holds; fails after `length`.
fn wait_for(world: &mut World, length: Micros, what: &str, holds: impl Fn(&World) -> bool) {
    let end = world.now + length;
    while !holds(world) {
        assert!(world.now < end, "{what}: not within {length:?}\n{}", world.describe_counts("blue"));
        run_for(world, Micros::from_millis(1));
    }
}

impl Scene {
    fn new(seed: u64, case: Case) -> Scene {
        let mut world = World::new(seed, FaultProfile::default());
        let in_processors = case.unit == Unit::Processors;
        let limits = if in_processors { (LIMIT, 0.0) } else { (0.0, LIMIT) };
        set_limits(&mut world, &[("blue", limits.0, limits.1), ("green", 0.0, 0.0), ("red", 400.0, 400.0)]);
        world.set_worker_timings(LONG_LEASES);
        // The machines for team blue have more room than its limit; both kinds are scarce in one resource only.
        world.machine_types = vec![machine_type("host", 16.0, 16.0), machine_type("other", 32.0, 32.0)];
        (world.task_run_time, world.tuning.idle_return_s) = (300 * S..400 * S, 900.0);
        let host = world.add_machine("host", "east", false);
        (0..4).for_each(|_| drop(world.add_machine("other", "east", false)));
        world.cloud_capacity = world.workers.len();
        world.run(Micros::from_secs(18));
        let first = seed as usize % 3;
        let no_jobs = (Vec::new(), String::new(), String::new());
        let (unknown, elsewhere, rival) = no_jobs;
        let mut scene = Scene { world, case, host, unknown, elsewhere, rival, first, next_job: 200 };
        scene.fill();
        scene
    }

    /// What a task of that many units takes.
    fn units(&self, count: f64) -> (f64, f64) {
        match self.case.unit {
            Unit::Processors => (count, 0.0),
            Unit::Accelerators => (0.1, count),
        }
    }

    fn submit(&mut self, job: (&str, Shape), tasks: u32, units: f64, kind: &str) -> String {
        self.next_job += 1;
        let need = self.units(units);
        submit_on(&mut self.world, self.next_job, job, tasks, need, kind)
    }

    /// Starts all jobs, until the team is at its limit and the host is full.
    fn fill(&mut self) {
        let teams = self.case.unknown_jobs;
        let size = 4.0 / teams.len() as f64;
        let array = |team: &'static str| (team, Shape::Array);
        for team in teams.iter().copied() {
            let id = self.submit(array(team), 1, size, "host");
            self.unknown.push(id);
        }
        let of_blue = size * teams.iter().filter(|team| **team == "blue").count() as f64;
        self.submit(array("green"), 3, 4.0, "host");
        self.elsewhere = self.submit(array("blue"), 100, 1.0, "other");
        let (host, elsewhere) = (self.host.clone(), self.elsewhere.clone());
        let present = 3 + teams.len();
        wait_for(&mut self.world, Micros::from_secs(60), "team at its limit", |w| {
            let here = w.workers[&host].tasks.values().filter(|t| t.counts_as_running()).count();
            here == present && present_task_count(w, &elsewhere) as f64 == LIMIT - of_blue
        });
        let Rival { team, shape } = self.case.rival;
        let tasks = if shape == Shape::Gang { 1 } else { 3 };
        self.rival = self.submit((team, shape), tasks, 4.0, "host");
        run_for(&mut self.world, Micros::from_secs(6));
        assert_eq!(present_task_count(&self.world, &self.rival), 0, "the host is not full");
    }

    fn refuse_all(&mut self) {
        let at_once = self.case.trouble == Trouble::AllBackAtOnce;
        for (i, length) in REFUSED_FOR.into_iter().enumerate() {
            let node = (self.first + i) % 3;
            let length = if at_once { REFUSED_FOR[0] + Micros::from_millis(150 * i as u64) } else { length };
            self.world.begin_fault(TimedFault::StoreRefuses(node), self.world.now + length);
        }
        if let End::BeforeRecords(state) = self.case.end {
            run_for(&mut self.world, Micros::from_secs(1));
            self.unknown.clone().iter().for_each(|id| self.record_end(id, state));
        }
    }

    /// Another controller's write of a job's end arrives at the store late, while all controllers are refused.
    fn record_end(&mut self, id: &str, state: FinalState) {
        let key = records::live_job_key(id);
        let stamp = self.world.store.keys[&key].1;
        let end = records::FinalRecord { state, tasks: 1 };
        let transaction = Transaction {
            conditions: vec![crate::protocol::store::Condition::new(&key, stamp)],
            writes: vec![
                Write::delete(&key),
                Write::put(records::final_state_key(id), serde_json::to_value(end).unwrap()),
            ],
        };
        let written = self.world.store.commit(transaction);
        assert!(matches!(written, StoreReply::Committed { .. }), "{written:?}");
        let user_job = self.world.jobs.get_mut(id).unwrap();
        match state {
            FinalState::Withdrawn => user_job.wants_withdrawal = true,
            // What runs is a second run of a task that has completed.
            FinalState::Done => drop(user_job.completed_tasks.insert(0)),
        }
    }

    fn controller(&self) -> &Controller {
        self.world.controllers[self.first].as_ref().unwrap()
    }

    /// The first controller has read the records, and no machine has shown it its tasks.
    fn wait_for_records(&mut self) {
        let first = self.first;
        let loaded = move |w: &World| {
            let c = w.controllers[first].as_ref();
            c.is_some_and(|c| c.counters.rejoins > 0 && c.phase == Phase::Active && c.entitled())
        };
        wait_for(&mut self.world, Micros::from_secs(40), "records loaded", loaded);
        assert!(!self.host_machine().ever_resolved, "the host was heard too early");
        // Answers to its reports would stop the unknown tasks. Calls reach it.
        let until = self.world.now + Micros::from_secs(20);
        self.world.workers.get_mut(&self.host).unwrap().reports_blocked_until = until;
        if self.case.trouble == Trouble::TypesUnknown {
            let controller = self.world.controllers[first].as_mut().unwrap();
            controller.machine_types.clear();
            controller.machine_types_requested_at = Some(Micros::MAX);
            controller.machines.values_mut().for_each(|m| m.supply = Resources::default());
        }
    }

    fn host_machine(&self) -> &crate::coordination::model::Machine {
        &self.controller().machines[&self.host]
    }

    /// Withdraws the jobs at the first controller; no reply of the host has come when that is recorded.
    fn withdraw(&mut self) {
        let (first, host) = (self.first, self.host.clone());
        if self.case.end == End::WithdrawnWithReply {
            wait_for(&mut self.world, Micros::from_secs(5), "call to the host", |w| {
                w.controllers[first].as_ref().unwrap().machines[&host].call_in_flight
            });
        }
        for id in self.unknown.clone() {
            assert!(self.controller().jobs.contains_key(&id), "{id} is not among the records");
            request_withdrawal(&mut self.world, first, &id);
        }
        if self.case.end == End::WithdrawnWithReply {
            return;
        }
        let unknown = self.unknown.clone();
        wait_for(&mut self.world, Micros::from_secs(3), "withdrawal", |w| {
            unknown.iter().all(|id| !w.controllers[first].as_ref().unwrap().jobs.contains_key(id))
        });
        assert!(!self.host_machine().ever_resolved, "the host was heard before the withdrawal");
    }

    /// The host shows its tasks to the first controller.
    fn wait_for_host(&mut self) {
        let (first, host) = (self.first, self.host.clone());
        let at_once = self.case.trouble == Trouble::AllBackAtOnce;
        wait_for(&mut self.world, Micros::from_secs(15), "first reply of the host", |w| {
            let settled = |c: &Controller| c.machines[&host].resolved && c.is_view_member;
            w.controllers[first]
                .as_ref()
                .is_some_and(|c| settled(c) && (at_once || c.owns(&c.machines[&host])))
        });
        assert!(at_once || self.controller().view.members.len() == 1, "not alone in its view");
        let shown = |id: &String| self.host_machine().tasks.contains_key(&TaskId::new(id, 0));
        assert!(self.unknown.iter().all(shown), "the tasks were not shown");
    }

    /// Whether a start of the rival job is planned or sent on the host within some seconds, as any controller knows.
    fn wait_for_rival(&mut self) -> bool {
        let (host, rival) = (self.host.clone(), self.rival.clone());
        let end = self.world.now + Micros::from_secs(8);
        let planned = |w: &World| {
            let mut hosts = w.controllers.iter().flatten().filter_map(|c| c.machines.get(&host));
            hosts.any(|m| m.tasks.keys().any(|id| id.job == rival))
        };
        while self.world.now < end && !planned(&self.world) {
            run_for(&mut self.world, Micros::from_millis(1));
        }
        planned(&self.world)
    }

    fn unknown_tasks_running(&self) -> usize {
        self.unknown.iter().map(|id| present_task_count(&self.world, id)).sum()
    }

    /// Begins the trouble of the case.
    fn trouble(&mut self) {
        let until = self.world.now + Micros::from_secs(15);
        let first = self.first;
        match self.case.trouble {
            Trouble::None | Trouble::AllBackAtOnce | Trouble::TypesUnknown => {}
            Trouble::OwnerRestarts => self.world.crash_for(first, Micros::from_millis(300)),
            Trouble::OwnerEnds => self.world.crash_for(first, Micros::from_secs(12)),
            Trouble::MovesAndReturns => {
                self.world.crash_for(first, Micros::from_secs(3));
                run_for(&mut self.world, Micros::from_secs(9));
                self.world.crash_for((first + 1) % 3, Micros::from_secs(5));
            }
            Trouble::HostHangs => self.world.workers.get_mut(&self.host).unwrap().hung_until = until,
            Trouble::HostCutOff => self.world.workers.get_mut(&self.host).unwrap().partitioned_until = until,
        }
    }

    /// The jobs are withdrawn before the host is heard, and the host then shows their tasks.
    fn withdraw_before_host(&mut self) {
        self.refuse_all();
        self.wait_for_records();
        self.withdraw();
        self.wait_for_host();
    }

    /// Plays the case; the world checks limits and counts at every step. Returns whether a start of the rival was
    /// planned beside the unknown tasks.
    fn play(&mut self) -> bool {
        self.refuse_all();
        self.wait_for_records();
        if !matches!(self.case.end, End::BeforeRecords(_)) {
            self.withdraw();
        }
        self.wait_for_host();
        assert!(self.unknown_tasks_running() == self.unknown.len(), "the unknown tasks have ended");
        self.trouble();
        let planned = self.wait_for_rival();
        run_for(&mut self.world, Micros::from_secs(30));
        if self.case.trouble == Trouble::TypesUnknown {
            self.world.controllers[self.first].as_mut().unwrap().machine_types_requested_at = None;
        }
        planned
    }

    /// In calm the team uses all of its limit again.
    fn expect_limit_used_again(&mut self, context: &str) {
        let end = self.world.now + Micros::from_secs(90);
        let in_processors = self.case.unit == Unit::Processors;
        let blue = |w: &World| if in_processors { w.running_usage()[0].0 } else { w.running_usage()[0].1 };
        while (blue(&self.world) as f64) < LIMIT * 1e3 {
            run_for(&mut self.world, Micros::from_millis(100));
            let used = blue(&self.world);
            assert!(
                self.world.now < end,
                "{context}: {used} used\n{}",
                self.world.describe_job(&self.elsewhere)
            );
        }
    }
}

fn machine_type(name: &str, cpus: f64, gpus: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb: 256.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.5,
        boot_s: 10.0,
        zones: vec!["east".into(), "west".into()],
    }
}

/// Plays a case with ten seeds. Returns in how many a start of the rival was planned beside the unknown tasks.
fn play_seeds(first_seed: u64, case: Case) -> usize {
    let mut planned = 0;
    for seed in first_seed..first_seed + 10 {
        let mut scene = Scene::new(seed, case);
        planned += usize::from(scene.play());
        scene.expect_limit_used_again(&format!("seed {seed}, {case:?}"));
    }
    planned
}

/// Plays a case with each way in which its jobs may have ended. Where they ended before the records were read, a start
/// must have been planned beside their tasks at least once.
fn play_ends(first_seed: u64, case: Case) {
    play_seeds(first_seed, Case { end: End::WithdrawnBeforeMachines, ..case });
    for state in [FinalState::Withdrawn, FinalState::Done] {
        let planned = play_seeds(first_seed, Case { end: End::BeforeRecords(state), ..case });
        assert!(planned > 0, "{state:?}: no start was planned beside the unknown tasks: {case:?}");
    }
}

/// Guards a limit against a start, planned where a task of an ended job runs, that takes that task out of the count.
#[test]
fn a_start_planned_beside_an_unknown_task_does_not_take_it_out_of_the_count() {
    play_ends(0, INCIDENT);
}

#[test]
fn gangs_and_services_planned_beside_an_unknown_task_do_not_take_it_out_of_the_count() {
    for shape in [Shape::Gang, Shape::Service] {
        play_ends(20, Case { rival: Rival { team: "green", shape }, ..INCIDENT });
    }
}

#[test]
fn a_job_of_the_same_team_waiting_for_the_machine_of_an_unknown_task_exceeds_no_limit() {
    let case = Case { rival: Rival { team: "blue", shape: Shape::Array }, ..INCIDENT };
    play_seeds(40, case);
    play_seeds(40, Case { end: End::BeforeRecords(FinalState::Withdrawn), ..case });
}

#[test]
fn a_start_planned_beside_an_unknown_task_with_accelerators_does_not_take_it_out_of_the_count() {
    play_ends(60, Case { unit: Unit::Accelerators, ..INCIDENT });
}

#[test]
fn unknown_tasks_of_two_jobs_on_a_machine_count_beside_planned_starts() {
    play_ends(80, Case { unknown_jobs: &["blue", "blue"], ..INCIDENT });
}

#[test]
fn unknown_tasks_of_two_teams_on_a_machine_count_beside_planned_starts() {
    play_ends(100, Case { unknown_jobs: &["blue", "red"], ..INCIDENT });
}

#[test]
fn tasks_of_a_job_withdrawn_as_its_machine_replies_count() {
    play_seeds(140, Case { end: End::WithdrawnWithReply, ..INCIDENT });
}

/// Guards the count of unknown tasks when their machine or its owner fails or changes while they stand.
#[test]
fn unknown_tasks_count_while_their_machine_or_its_owner_fails() {
    let troubles = [
        Trouble::AllBackAtOnce,
        Trouble::OwnerRestarts,
        Trouble::OwnerEnds,
        Trouble::MovesAndReturns,
        Trouble::HostHangs,
        Trouble::HostCutOff,
        Trouble::TypesUnknown,
    ];
    for (n, trouble) in troubles.into_iter().enumerate() {
        for end in [INCIDENT.end, End::BeforeRecords(FinalState::Withdrawn)] {
            play_seeds(200 + 20 * n as u64, Case { trouble, end, ..INCIDENT });
        }
    }
}

/// Guards against a team that waits since a job, withdrawn before any machine was heard, counts more than its tasks take.
#[test]
fn a_job_withdrawn_before_its_machines_are_heard_counts_what_its_tasks_take() {
    for seed in 400..410 {
        let mut scene = Scene::new(seed, INCIDENT);
        scene.withdraw_before_host();
        let controller = scene.controller();
        assert!(controller.machines_with_unknown_tasks.is_empty(), "seed {seed}: the task is unknown");
        let counted = controller.team_usage("blue").0;
        assert!(counted as f64 <= LIMIT * 1e3, "seed {seed}: {counted} counted");
    }
}

/// Guards against a withdrawn job whose task runs on because its machine was heard after the withdrawal, and the worker's
/// reports reach nobody who would answer with a stop.
#[test]
fn a_task_of_a_job_withdrawn_before_its_machine_is_heard_is_stopped_by_a_call() {
    for seed in 420..430 {
        let mut scene = Scene::new(seed, INCIDENT);
        scene.withdraw_before_host();
        let unknown = scene.unknown.clone();
        let report_interval = Micros::from_secs_f64(LONG_LEASES.0);
        wait_for(&mut scene.world, report_interval, "stop of the withdrawn task", |w| {
            unknown.iter().all(|id| present_task_count(w, id) == 0)
        });
    }
}
/// A random run of teams at their limits: an outage in half of the rounds, then all controllers are refused in turn, while
/// jobs are withdrawn at the first that is back and at others.
fn run_at_limits_refused_in_turn(seed: u64) -> World {
    let mut world = cluster_with_limited_teams(seed);
    world.set_worker_timings(DEPLOYMENT_TIMINGS[seed as usize % DEPLOYMENT_TIMINGS.len()]);
    world.task_run_time = 25 * S..90 * S;
    world.run(Micros::from_secs(6));
    let mut n = 0;
    submit_more_work(&mut world, &mut n, 6);
    run_for(&mut world, Micros::from_secs(25));
    for _ in 0..3 {
        submit_more_work(&mut world, &mut n, 2);
        if world.rng.random_bool(0.5) {
            let length = Micros(world.rng.random_range(5 * S..25 * S));
            world.begin_fault(TimedFault::StoreDown, world.now + length);
            run_for(&mut world, length + Micros::from_secs(10));
        }
        world.refuse_in_turn();
        let refused = world.settings[0].lease_term(&world.tuning) + Micros(world.rng.random_range(S..12 * S));
        run_for(&mut world, refused);
        let withdrawn = world.rng.random_range(0..4);
        world.withdraw_running_jobs(withdrawn, Micros::ZERO);
        run_for(&mut world, Micros::from_secs(30));
    }
    world.task_run_time = S..5 * S;
    world.expect_all_jobs_to_end(1_000, &format!("seed {seed}"));
    world
}

/// Guards limits while all controllers are refused in turn; with `MARBLEWALK_SOAK`, in that many times as many runs.
#[test]
fn teams_at_their_limits_stay_within_them_when_all_controllers_are_refused_in_turn() {
    let first = 3_000_000;
    let seeds = first..first + 12 * soak_factor();
    let runs = seeds.map(|seed| (String::new(), seed, FaultProfile::default()));
    run_each_with(runs.collect(), |seed, _| drop(run_at_limits_refused_in_turn(seed)));
}

/// Guards the check of counts against never being made while a controller counts tasks of unknown jobs.
#[test]
fn counts_are_checked_while_tasks_of_unknown_jobs_run() {
    let checks = (3_000_000..3_000_004).map(|seed| run_at_limits_refused_in_turn(seed).coverage);
    let counted = checks.fold((0, 0), |(all, unknown), coverage| {
        (all + coverage.count_checks, unknown + coverage.count_checks_with_unknown_tasks)
    });
    eprintln!("{} checks of counts, {} with tasks of unknown jobs", counted.0, counted.1);
    assert!(counted.0 > 100_000 && counted.1 > 1_000, "{counted:?}");
}
