//! Copies of direct orders that reach a worker after the orders have been carried out and answered.
//!
//! The network may deliver a call once more, minutes later. The worker carries it out again if token and session still
//! match; a start has an effect unless the worker still knows the attempt.

use super::duplicate_starts::{another_controller, grant_to};
use super::fault_combinations::saturated_cluster;
use super::fault_injection::{run_each, run_random, soak_factor};
use super::takeovers::array;
use super::*;

/// How much later than its answer a copy of a call arrives, in microseconds: up to several worker leases.
const REPETITION_DELAY: std::ops::Range<u64> = S..45 * S;

/// A direct call that its worker has carried out and answered.
#[derive(Clone)]
pub(super) struct AnsweredCall {
    pub(super) node: usize,
    pub(super) machine: String,
    pub(super) orders: DirectOrders,
    pub(super) sent_at: Micros,
}

impl AnsweredCall {
    /// The tasks that the call starts, with their attempts.
    fn starts(&self) -> impl Iterator<Item = (TaskId, u64)> + '_ {
        self.orders.orders.iter().filter_map(|order| match order {
            Order::Start { task, attempt } => Some((TaskId::parse(task)?, *attempt)),
            _ => None,
        })
    }
}

impl World {
    /// Keeps a call that was answered, if calls are kept, and draws whether a copy of it arrives later.
    pub(super) fn record_answered_call(&mut self, call: AnsweredCall) {
        if let Some(calls) = self.answered_calls.as_mut().filter(|_| call.starts().next().is_some()) {
            calls.push(call.clone());
        }
        let repeated = self.fault_profile.repeated_orders;
        if !call.orders.orders.is_empty() && self.chance(repeated) {
            let delay = REPETITION_DELAY;
            self.schedule_within(delay.start, delay.end, SimEvent::RepeatedOrders(call));
        }
    }

    /// Delivers a copy of a call. A machine that hangs or is not reached does not get it.
    pub(super) fn repeat_orders(&mut self, call: AnsweredCall) -> DirectReply {
        let now = self.now;
        let AnsweredCall { node, machine, mut orders, sent_at } = call;
        let Some(w) = self.workers.get(&machine) else { return DirectReply::NotSent };
        let blocked = [w.partitioned_until, w.hung_until, w.not_receiving_until].iter().any(|at| *at > now);
        if blocked || self.are_zones_partitioned(self.controller_zones[node], &w.zone) {
            return DirectReply::Unclear;
        }
        // A worker refuses to start a task that it has with another attempt.
        orders.orders.retain(|order| match order {
            Order::Start { task, attempt } => {
                let here = TaskId::parse(task).and_then(|id| w.tasks.get(&id));
                here.is_none_or(|t| t.attempt == *attempt)
            }
            _ => true,
        });
        self.coverage.repeated_orders += 1;
        let reply = self.execute_orders(&machine, orders, sent_at);
        if matches!(reply, DirectReply::Done(_)) {
            self.coverage.repeated_orders_taken += 1;
            self.record_fault("repeated_orders");
        }
        reply
    }
}

/// How an attempt ends on its machine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    Failed,
    Completed,
    /// Its start was refused for lack of room.
    Refused,
    /// Its job is withdrawn, and the withdrawal is confirmed.
    Withdrawn,
    /// It is a task of a gang that lost another one.
    LostItsGang,
}

/// An attempt whose start was sent in a direct call that was answered.
struct StartedAttempt {
    call: AnsweredCall,
    task: TaskId,
    attempt: u64,
}

impl StartedAttempt {
    /// Whether the worker still knows the attempt, in any state.
    fn is_known(&self, world: &World) -> bool {
        let w = &world.workers[&self.call.machine];
        w.tasks.get(&self.task).is_some_and(|t| t.attempt == self.attempt)
    }

    /// Whether the attempt has not ended on its machine.
    fn is_active(&self, world: &World) -> bool {
        let t = world.workers[&self.call.machine].tasks.get(&self.task);
        t.is_some_and(|t| t.attempt == self.attempt && t.state != TaskState::Ended)
    }

    /// Ends the attempt on its machine, which reports so at once.
    fn end(&self, world: &mut World, state_cause: Cause) {
        let now = world.now;
        let w = world.workers.get_mut(&self.call.machine).unwrap();
        w.next_report_at = now;
        let t = w.tasks.get_mut(&self.task).unwrap();
        (t.state, t.cause) = (TaskState::Ended, Some(state_cause));
        world.schedule_at(now, SimEvent::WorkerTurn(self.call.machine.clone()));
    }

    /// Another machine on which the task runs.
    fn other_machine(&self, world: &World) -> Option<String> {
        let runs = |w: &Worker| w.tasks.get(&self.task).is_some_and(|t| t.state == TaskState::Running);
        let mut others = world.workers.iter().filter(|(name, _)| **name != self.call.machine);
        others.find(|(_, w)| runs(w)).map(|(name, _)| name.clone())
    }
}

/// Runs until `condition` holds; returns false if it does not within `seconds`.
fn run_until(world: &mut World, seconds: u64, condition: impl Fn(&World) -> bool) -> bool {
    let until = world.now + Micros::from_secs(seconds);
    while !condition(world) {
        if world.now >= until {
            return false;
        }
        world.run(world.now + Micros::from_millis(10));
    }
    true
}

/// Runs until a direct call has started a task that runs or waits for its gang, and that satisfies `wanted`.
fn started_attempt(world: &mut World, wanted: impl Fn(&World, &TaskId) -> bool) -> StartedAttempt {
    let until = world.now + Micros::from_secs(30);
    loop {
        assert!(world.now < until, "no task was started by a direct call");
        world.run(world.now + Micros::from_millis(10));
        for call in world.answered_calls.clone().unwrap_or_default() {
            let starts: Vec<_> = call.starts().collect();
            for (task, attempt) in starts {
                let started = StartedAttempt { call: call.clone(), task, attempt };
                if started.is_active(world) && wanted(world, &started.task) {
                    return started;
                }
            }
        }
    }
}

/// A cluster that keeps its direct calls and always has tasks left to start; `gangs` of three tasks, or arrays.
fn cluster_with_kept_calls(seed: u64, gangs: bool) -> World {
    let mut world = saturated_cluster(seed, if gangs { 0 } else { 12 });
    world.answered_calls = Some(Vec::new());
    for n in 0..if gangs { 60 } else { 0 } {
        let spec = array(&mut world, n, 3);
        world.submit(JobSpec { shape: Shape::Gang, ..spec });
    }
    world
}

/// Brings one attempt to the given end and runs until its worker has forgotten it.
fn forgotten_attempt(seed: u64, ending: Ending) -> (World, StartedAttempt) {
    let mut world = cluster_with_kept_calls(seed, ending == Ending::LostItsGang);
    let started = started_attempt(&mut world, |_, _| true);
    match ending {
        Ending::Failed => started.end(&mut world, Cause::Error),
        Ending::Refused => started.end(&mut world, Cause::NoRoom),
        Ending::LostItsGang => started.end(&mut world, Cause::Peers),
        Ending::Completed => {}
        Ending::Withdrawn => world.jobs.get_mut(&started.task.job).unwrap().wants_withdrawal = true,
    }
    let forgotten = run_until(&mut world, 60, |world| !started.is_known(world));
    assert!(forgotten, "seed {seed}, {ending:?}: the attempt was not forgotten");
    if ending == Ending::Withdrawn {
        let confirmed = |world: &World| world.jobs[&started.task.job].known_final.is_some();
        assert!(run_until(&mut world, 20, confirmed), "seed {seed}: the withdrawal was not confirmed");
    }
    (world, started)
}

/// Guards against a start that a copy of its call carries out again once the worker has forgotten the attempt, however
/// the attempt ended.
#[test]
fn a_copy_of_an_answered_start_starts_no_forgotten_attempt_again() {
    let endings =
        [Ending::Failed, Ending::Completed, Ending::Refused, Ending::Withdrawn, Ending::LostItsGang];
    let mut taken = Vec::new();
    for (seed, ending) in (2_300..2_310).flat_map(|seed| endings.map(|ending| (seed, ending))) {
        let (mut world, started) = forgotten_attempt(seed, ending);
        if world.workers[&started.call.machine].tasks.contains_key(&started.task) {
            continue;
        }
        let reply = world.repeat_orders(started.call.clone());
        if !matches!(reply, DirectReply::Rejected(_)) || started.is_active(&world) {
            taken.push((seed, ending));
        }
    }
    assert!(taken.is_empty(), "copies of answered starts started these again: {taken:?}");
}

/// Guards against `ran_twice` as in the incident: a task fails and is started elsewhere, its owner is killed and back
/// within a second, and then a copy of the call that started it first arrives.
#[test]
fn a_copy_that_arrives_as_its_sender_restarts_starts_no_task_that_runs_elsewhere() {
    let mut met = 0;
    for seed in 2_320..2_340 {
        let (mut world, started) = forgotten_attempt(seed, Ending::Failed);
        let machine = &started.call.machine;
        run_until(&mut world, 20, |world| started.other_machine(world).is_some());
        let Some(other) = started.other_machine(&world) else { continue };
        let now = world.now;
        let long = now + Micros::from_secs(120);
        world.workers.get_mut(&other).unwrap().tasks.get_mut(&started.task).unwrap().state_until = long;
        let grant = |world: &World| {
            let reader = another_controller(world, started.call.node);
            world.controllers[reader].as_ref().unwrap().machines[machine].row.token
        };
        let grant_before = grant(&world);
        world.crash_for(started.call.node, Micros::from_millis(700));
        world.run(now + Micros::from_millis(900));
        let is_back = world.controllers[started.call.node].is_some();
        if !is_back || grant(&world) != grant_before || started.other_machine(&world).is_none() {
            continue;
        }
        met += 1;
        world.repeat_orders(started.call.clone());
        // The rule checks examine each start.
        world.run(world.now + Micros::from_secs(20));
    }
    assert!(met >= 10, "only {met} of 20 copies arrived as the sender was back and the task ran elsewhere");
}

/// Guards against a copy that arrives while the worker has no live owner and still knows the ended attempt.
#[test]
fn a_copy_that_arrives_before_the_next_owners_first_message_starts_nothing() {
    for seed in 2_340..2_350 {
        let mut world = cluster_with_kept_calls(seed, false);
        let started = started_attempt(&mut world, |_, _| true);
        world.crash_for(started.call.node, Micros::from_secs(2));
        started.end(&mut world, Cause::Error);
        while world.workers[&started.call.machine].token == started.call.orders.token
            && world.controllers[started.call.node].is_none()
        {
            world.repeat_orders(started.call.clone());
            assert!(!started.is_active(&world), "seed {seed}: started again");
            world.run(world.now + Micros::from_millis(20));
        }
        assert!(world.coverage.repeated_orders_taken > 0, "seed {seed}: no copy was taken");
        // The rule checks examine each start.
        world.run(world.now + Micros::from_secs(20));
    }
}

/// Guards against a copy that arrives after its machine was handed to another owner and back.
#[test]
fn a_copy_that_arrives_after_its_machine_went_to_another_owner_and_back_is_rejected() {
    for seed in 2_350..2_354 {
        let mut world = cluster_with_kept_calls(seed, false);
        let started = started_attempt(&mut world, |_, _| true);
        let (machine, node) = (started.call.machine.clone(), started.call.node);
        for to in [another_controller(&world, node), node] {
            let token = world.workers[&machine].token;
            grant_to(&mut world, &machine, to);
            assert!(run_until(&mut world, 10, |world| world.workers[&machine].token > token), "seed {seed}");
        }
        let reply = world.repeat_orders(started.call.clone());
        assert!(matches!(reply, DirectReply::Rejected(_)), "seed {seed}: {reply:?}");
    }
}

/// Guards against a task that runs on after its end was stored, without anybody's notice, if it is started again.
#[test]
fn a_task_that_is_shown_again_after_its_end_is_stopped_at_once_and_counted() {
    let mut met = 0;
    for seed in 2_400..2_440 {
        let (mut world, started) = forgotten_attempt(seed, Ending::Completed);
        let machine = started.call.machine.clone();
        let w = &world.workers[&machine];
        let orders = DirectOrders { token: w.token, session: w.session, ..started.call.orders.clone() };
        let now = world.now;
        world.task_run_time = 60 * S..90 * S;
        world.execute_orders(&machine, orders, now);
        let owner = world.controllers[started.call.node].as_ref().unwrap();
        let known = owner.owns(&owner.machines[&machine]) && owner.machines[&machine].resolved;
        // The worker refuses the start if another task has taken the room.
        if !known || !started.is_active(&world) {
            continue;
        }
        met += 1;
        let counted = |world: &World| {
            world.controllers.iter().flatten().map(|c| c.counters.unexpected_tasks).sum::<u64>()
        };
        // The worker's next report shows the task, and its owner's next order stops it.
        let report_interval = world.settings[0].params.workers.report_s;
        world.run(now + Micros::from_secs_f64(report_interval * 1.25) + Micros::from_secs(1));
        assert!(!started.is_active(&world), "seed {seed}: the task runs on");
        assert_eq!(counted(&world), 1, "seed {seed}");
    }
    assert!(met >= 5, "only {met} of 40 tasks were started again");
}

/// Guards every rule against copies of answered calls, with withdrawals and with controllers that restart within a
/// second.
#[test]
fn copies_of_answered_calls_break_no_rule() {
    let profile = FaultProfile { repeated_orders: 1.0, withdrawn: 0.3, ..Default::default() };
    let with_crashes = FaultProfile { crash: 0.03, crash_all: 0.01, ..profile };
    let with_failures = FaultProfile { broken_jobs: 0.15, machine_cut: 0.03, reboots: 0.02, ..with_crashes };
    let mut runs = Vec::new();
    for (n, profile) in [profile, with_crashes, with_failures].into_iter().enumerate() {
        let first = 2_360 + 1_000 * n as u64;
        runs.extend((first..first + 4 * soak_factor()).map(|seed| ("copies".to_owned(), seed, profile)));
    }
    run_each(runs);
}

/// Guards against copies that start tasks again in a cluster whose machines are always full.
#[test]
fn copies_of_answered_calls_start_nothing_again_in_a_saturated_cluster() {
    let (mut arrived, mut taken) = (0, 0);
    for seed in 2_370..2_380 {
        let mut world = saturated_cluster(seed, 12);
        world.fault_profile.repeated_orders = 1.0;
        world.fault_profile.crash = if seed % 2 == 0 { 0.05 } else { 0.0 };
        world.run(world.now + Micros::from_secs(60));
        (arrived, taken) =
            (arrived + world.coverage.repeated_orders, taken + world.coverage.repeated_orders_taken);
        assert_eq!(world.coverage.repeated_starts, 0, "seed {seed}: tasks were started again");
    }
    eprintln!("{arrived} copies arrived, {taken} were taken");
    assert!(arrived > 1_000 && taken > 0, "{arrived} copies arrived, {taken} were taken");
}

/// Guards against copies that start tasks again under grants of a leader of an earlier version, which have one token
/// each: the owner needs a new grant before a failed attempt can be forgotten.
#[test]
fn copies_of_answered_calls_start_nothing_again_under_grants_of_a_single_token() {
    let mut taken = 0;
    for seed in 2_440..2_446 {
        let mut world = World::new(seed, FaultProfile { repeated_orders: 1.0, ..Default::default() });
        world.run(Micros::from_millis(100));
        world.controllers.iter_mut().flatten().for_each(|c| c.grants_single_tokens = true);
        world.broken_jobs.insert("j-000003".to_owned());
        for n in 0..8 {
            let spec = array(&mut world, n, 40);
            world.submit(spec);
        }
        world.run(Micros::from_secs(60));
        let rows = world.controllers.iter().flatten().flat_map(|c| c.machines.values()).map(|m| &m.row);
        assert!(rows.clone().count() > 0 && rows.clone().all(|row| !row.has_token_range), "seed {seed}");
        // The controllers that are back grant ranges.
        (0..3).for_each(|n| world.crash_for(n, Micros::from_millis(500 + 700 * n as u64)));
        world.run(Micros::from_secs(90));
        world.jobs.get_mut("j-000003").unwrap().wants_withdrawal = true;
        world.expect_all_jobs_to_end(300, &format!("seed {seed}"));
        assert_eq!(world.coverage.repeated_starts, 0, "seed {seed}: tasks were started again");
        taken += world.coverage.repeated_orders_taken;
    }
    assert!(taken > 0, "no copy was taken");
}

/// Guards against runs in which no copy of a call is taken, so that their checks prove nothing.
#[test]
fn random_runs_have_copies_that_workers_take() {
    let profile = FaultProfile { repeated_orders: 1.0, ..Default::default() };
    let coverage = run_random(2_390, profile).coverage;
    assert!(coverage.repeated_orders > 50 && coverage.repeated_orders_taken > 0, "{coverage:?}");
    assert_eq!(coverage.repeated_starts, 0, "tasks were started again in the same attempt");
}
