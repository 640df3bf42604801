//! Controllers that crash at any step and restart within a fraction of a second.

use super::takeovers::array;
use super::*;
use crate::coordination::Phase;

/// Three controllers, 24 machines and work for all of them.
fn busy_cluster(seed: u64, trouble: FaultProfile, tasks: u32) -> World {
    let mut world = World::new(seed, trouble);
    for _ in 0..24 {
        world.add_machine("c16", "east", false);
    }
    for n in 0..9 {
        let spec = array(&mut world, n, tasks);
        world.submit(spec);
    }
    for n in 9..15 {
        let job = world.random_job(n);
        world.submit(JobSpec { shape: Shape::Gang, ..job });
    }
    world.run(Micros::from_secs(25));
    world
}

/// Guards against jobs waiting for machines that run none of their tasks after a quick restart.
///
/// A controller that restarts before it has been evicted is granted its own machines under a new incarnation. No other
/// controller holds them, so no holder can report which tasks are on the partitioned machines; but every other
/// controller knows them and can answer instead.
#[test]
fn a_quick_restart_waits_for_no_machine_that_other_controllers_know() {
    for seed in 0..8 {
        let mut world = busy_cluster(seed, FaultProfile::default(), 300);
        let busy_machines = |c: &Controller| {
            let own = c.machines.iter().filter(|(_, m)| c.owns(m) && !m.idle());
            own.map(|(name, _)| name.clone()).collect::<Vec<_>>()
        };
        let all = (0..3).map(|n| (n, busy_machines(world.controllers[n].as_ref().unwrap())));
        let (n, machines) = all.max_by_key(|(_, held)| held.len()).unwrap();
        for name in machines.iter().take(2) {
            world.workers.get_mut(name).unwrap().partitioned_until = Micros::MAX;
        }
        world.crash_for(n, Micros::from_millis(300));
        let since = world.now;
        world.run(since + Micros::from_millis(300 + 1_000));
        let c = world.controllers[n].as_ref().unwrap();
        let unresolved =
            machines.iter().take(2).filter(|name| c.machines.get(*name).is_some_and(|m| !m.resolved));
        assert_eq!(unresolved.count(), 2, "seed {seed}: the partitioned machines were resolved");
        assert!(
            c.is_view_member && !c.takeover_in_progress,
            "seed {seed}: still waits for {:?} 1 s after the restart",
            c.unresolved_machines
        );
        world.expect_all_jobs_to_end(600, &format!("seed {seed}"));
    }
}

/// Guards every step of an incarnation against a crash: registering, loading, taking over, leading, granting, in an
/// outage of the state service, and twice within a second, while machines fail and are partitioned.
#[test]
fn a_crash_at_any_step_of_an_incarnation_breaks_no_rule_and_loses_no_job() {
    type Step = (&'static str, fn(&World, usize) -> bool);
    let steps: [Step; 6] = [
        ("registering", |w, n| w.controllers[n].as_ref().is_some_and(|c| c.phase == Phase::Registering)),
        ("loading", |w, n| w.controllers[n].as_ref().is_some_and(|c| c.phase == Phase::Loading)),
        ("taking over", |w, n| w.controllers[n].as_ref().is_some_and(|c| c.takeover_in_progress)),
        ("leading", |w, n| w.controllers[n].as_ref().is_some_and(Controller::leading)),
        ("granting", |w, n| {
            let lead = w.controllers[n].as_ref().and_then(|c| c.leader_state.as_ref());
            lead.is_some_and(|lead| lead.grant_in_flight)
        }),
        ("within a second", |w, n| {
            w.controllers[n].is_some() && w.started_at[n] + Micros::from_millis(400) < w.now
        }),
    ];
    let trouble =
        FaultProfile { machine_dies: 0.02, machine_cut: 0.05, machine_hangs: 0.02, ..Default::default() };
    for (i, (name, reached)) in steps.into_iter().enumerate() {
        let mut crashes = 0;
        for seed in 0..3 {
            let mut world = busy_cluster(40 + seed + 10 * i as u64, trouble, 300);
            for round in 0..6usize {
                if round == 3 {
                    world.begin_fault(TimedFault::StoreDown, world.now + Micros::from_secs(3));
                }
                let leader = (0..3).find(|n| world.controllers[*n].as_ref().is_some_and(Controller::leading));
                let n = leader.filter(|_| round % 2 == 0).unwrap_or(round % 3);
                world.crash(n);
                let until = world.now + Micros::from_secs(8);
                // After the crash of a leader, another controller leads.
                let any = |w: &World| {
                    let candidates = if matches!(name, "leading" | "granting") { 0..3 } else { n..n + 1 };
                    candidates.into_iter().find(|n| reached(w, *n))
                };
                while any(&world).is_none() && world.now < until {
                    world.run(world.now + Micros::from_millis(2));
                }
                if let Some(n) = any(&world) {
                    crashes += 1;
                    world.crash(n);
                }
                world.run(world.now + Micros::from_millis(1_500));
            }
            world.expect_all_jobs_to_end(600, &format!("seed {seed}"));
        }
        assert!(crashes >= 6, "{name}: the step was reached only {crashes} times");
    }
}

/// Guards against restarts that delay each other: for a minute controllers crash one after the other and restart within
/// a fraction of a second, while machines fail and are partitioned.
#[test]
fn repeated_crashes_for_a_minute_lose_no_job_and_tasks_still_start() {
    let trouble = FaultProfile { machine_dies: 0.03, machine_cut: 0.05, ..Default::default() };
    for seed in 0..4 {
        let mut world = busy_cluster(80 + seed, trouble, 600);
        let before = world.tasks_started;
        for n in 0..40 {
            let back = Micros(world.rng.random_range(50 * MS..700 * MS));
            world.crash_for(n % 3, back);
            let pause = Micros(world.rng.random_range(500 * MS..2_500 * MS));
            world.run(world.now + pause);
        }
        let started = world.tasks_started - before;
        assert!(started > 200, "seed {seed}: {started} starts while controllers crashed repeatedly");
        world.expect_all_jobs_to_end(600, &format!("seed {seed}"));
    }
}

/// Guards against jobs waiting for machines that the cloud removed while all controllers were down.
///
/// No controller knows the addresses of such machines, so none could query them, and all jobs waited until the
/// machines' reports were long overdue. The machines are missing from the cloud's list, which shows that they are gone.
#[test]
fn no_job_waits_for_unlisted_machines_after_all_controllers_restart() {
    for seed in 0..4 {
        let mut world = busy_cluster(120 + seed, FaultProfile::default(), 300);
        let used = world.workers.iter().filter(|(_, w)| !w.tasks.is_empty()).map(|(name, _)| name.clone());
        let taken: Vec<String> = used.take(4).collect();
        (0..3).for_each(|n| world.crash_for(n, Micros::from_millis(200)));
        taken.iter().for_each(|name| drop(world.workers.remove(name)));
        world.run(world.now + Micros::from_secs(4));
        for c in world.controllers.iter().flatten() {
            assert!(
                c.is_view_member && !c.takeover_in_progress,
                "seed {seed}: {} waits for {:?}",
                c.own_name(),
                c.unresolved_machines
            );
        }
        world.expect_all_jobs_to_end(600, &format!("seed {seed}"));
    }
}

/// Guards a team's limit against running tasks of a job that was over before its owner restarted.
///
/// The owner has no record of such a job, so it counts the largest amount of resources that its tasks may use.
#[test]
fn tasks_of_jobs_over_before_a_restart_count_against_the_team_limit() {
    let mut world = busy_cluster(140, FaultProfile::default(), 300);
    let c = world.controllers[0].as_mut().unwrap();
    let before = c.usage_by_team();
    let (name, free) =
        c.machines.iter().find(|(_, m)| m.free().cpu > 0).map(|(n, m)| (n.clone(), m.free())).unwrap();
    let unrecorded_job =
        (0..).map(|n| format!("j-9{n:05}")).find(|id| c.owner_of(id).as_deref() == Some(c.own_name()));
    let mut tasks = c.machines[&name].tasks.clone();
    // The unknown task may take the room of tasks that may be planned only: here the machine has shown them all.
    let fetching = tasks.values_mut().filter(|t| t.state == TaskState::Fetching);
    fetching.for_each(|t| (t.state, t.pending) = (TaskState::Running, None));
    let running_task =
        c.machines.values().flat_map(|m| m.tasks.values()).find(|t| !t.ended()).unwrap().clone();
    tasks.insert(
        TaskId::new(&unrecorded_job.unwrap(), 0),
        super::super::model::PlacedTask { need: Resources::default(), ..running_task },
    );
    c.set_tasks(&name, tasks);
    let team = |usage: &[(String, u64, u64)]| usage.iter().find(|u| u.0 == "blue").map(|u| u.1).unwrap();
    assert_eq!(team(&c.usage_by_team()), team(&before) + free.cpu);
}
