//! Measures takeovers at several cluster sizes: `cargo test --release measure -- --ignored --nocapture`.

use super::*;

/// What a crash of controllers costs, in seconds from the crash.
struct TakeoverCost {
    /// Until every controller has a view without the crashed incarnations.
    view_s: f64,
    /// Until the first job that changed owners may be started again.
    first_takeover_s: f64,
    /// Until the last such job may be started again.
    last_takeover_s: f64,
    /// Unplaced tasks of such jobs, multiplied by the time for which they wait.
    waiting_task_s: f64,
    /// Writes to the store in the ten seconds after the crash, beyond those of the ten seconds before.
    extra_writes: i64,
}

/// Which controllers crash, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CrashScenario {
    /// One stays down.
    OneStaysDown,
    /// One restarts after 0.3 s.
    OneRestarts,
    /// All, each restarting after 0.05 to 7 s.
    AllRestart,
}

/// Measures a takeover on a loaded cluster: one machine in a hundred dies, and a second later controllers crash.
fn takeover(machines: usize, controllers: usize, scenario: CrashScenario) -> TakeoverCost {
    let mut world = World::with_size(9, FaultProfile::default(), ClusterSize { controllers, machines });
    // Limits as in a deployment of this size.
    for settings in &mut world.settings {
        settings.params.state.rps = 300.0;
        settings.params.state.write_rps = 60.0;
        settings.params.state.value_kb = 32.0;
    }
    world.store.value_limit = 32 << 10;
    for n in 0..machines {
        world.add_machine("c16", ["east", "west"][n % 2], false);
    }
    world.run(Micros::from_secs(5));
    for n in 0..(machines / 4) as u32 {
        let job =
            JobSpec { shape: Shape::Array, zone: None, gpus: 0.0, spread: false, ..world.random_job(n) };
        let job = JobSpec { team: "green".into(), one_zone: false, machine_types: None, ..job };
        world.submit(JobSpec { tasks: 100, cpus: 2.0, memory_gb: 2.0, ..job });
    }
    world.run(Micros::from_secs(40));
    let before = world.store.log.len() as i64;
    world.run(Micros::from_secs(50));
    let usual_writes = world.store.log.len() as i64 - before;
    let names: Vec<String> = world.workers.keys().cloned().collect();
    for name in names.iter().step_by(100) {
        world.workers.get_mut(name).unwrap().dead = true;
    }
    world.run(Micros::from_secs(51));
    let start = world.now;
    match scenario {
        CrashScenario::AllRestart => (0..controllers).for_each(|n| world.crash(n)),
        CrashScenario::OneRestarts => world.crash_for(controllers - 1, Micros::from_millis(300)),
        CrashScenario::OneStaysDown => {
            world.controllers[controllers - 1] = None;
            world.incarnations[controllers - 1] += 1;
        }
    }
    let all_crash = scenario == CrashScenario::AllRestart;
    let old_members: Vec<(String, u64)> =
        world.controllers.iter().flatten().next().map_or_else(Vec::new, |c| c.view.members.clone());
    let count = if scenario == CrashScenario::OneStaysDown { controllers - 1 } else { controllers };
    let before = world.store.log.len() as i64;
    let mut cost = TakeoverCost {
        view_s: 0.0,
        first_takeover_s: 0.0,
        last_takeover_s: 0.0,
        waiting_task_s: 0.0,
        extra_writes: 0,
    };
    let step = Micros::from_millis(50);
    while world.now.since(start) < Micros::from_secs(30) {
        world.run(world.now + step);
        let elapsed_s = world.now.since(start).as_secs_f64();
        if world.now.since(start) == Micros::from_secs(10) {
            cost.extra_writes = world.store.log.len() as i64 - before - usual_writes;
        }
        let running: Vec<&Controller> = world.controllers.iter().flatten().collect();
        let view_installed = running.len() == count
            && running
                .iter()
                .all(|c| c.view.members != old_members && c.view.members.len() == count && c.in_view());
        if view_installed && cost.view_s == 0.0 {
            cost.view_s = elapsed_s;
        }
        if cost.view_s == 0.0 {
            continue;
        }
        let own_jobs = |c: &Controller| -> Vec<(bool, u32)> {
            let jobs = c.jobs.values().filter(|j| j.owner.as_deref() == Some(c.own_name()));
            jobs.map(|j| (j.takeover_pending, j.unfinished() - j.placed())).collect()
        };
        let jobs: Vec<(bool, u32)> = running.iter().flat_map(|c| own_jobs(c)).collect();
        let waiting: u32 = jobs.iter().filter(|j| j.0).map(|j| j.1).sum();
        cost.waiting_task_s += f64::from(waiting) * step.as_secs_f64();
        let any_taken_over = jobs.iter().any(|j| !j.0);
        if cost.first_takeover_s == 0.0 && any_taken_over && (!all_crash || jobs.len() > 1) {
            cost.first_takeover_s = elapsed_s;
        }
        if cost.last_takeover_s == 0.0 && jobs.iter().all(|j| !j.0) {
            cost.last_takeover_s = elapsed_s;
        }
    }
    cost
}

#[test]
#[ignore = "prints figures; takes some minutes"]
fn measure_takeovers() {
    println!("machines ended view_s first_s last_s held_task_s changes");
    for machines in [100, 500, 1_400, 2_100] {
        for scenario in [CrashScenario::OneStaysDown, CrashScenario::OneRestarts, CrashScenario::AllRestart] {
            let c = takeover(machines, 7, scenario);
            println!(
                "{machines} {scenario:?} {:.2} {:.2} {:.2} {:.0} {}",
                c.view_s, c.first_takeover_s, c.last_takeover_s, c.waiting_task_s, c.extra_writes
            );
        }
    }
}
