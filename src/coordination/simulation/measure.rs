//! Figures of takeovers at several sizes, printed: `cargo test --release measure -- --ignored --nocapture`.

use super::*;

/// What an end of controllers costs, from the end on, in seconds.
struct Cost {
    /// Until every controller has the view without, or with the new lives of, those that ended.
    view: f64,
    /// Until the first and the last job that changed hands may be started again.
    first: f64,
    last: f64,
    /// Tasks waiting in such jobs, times how long.
    held: f64,
    /// Changes of the store in the ten seconds from the end on, beyond those of the ten before.
    changes: i64,
}

/// Who ends, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ended {
    /// One stays away.
    One,
    /// One is back after 0.3 s.
    Back,
    /// All, each back after 0.05 to 7 s.
    All,
}

/// A loaded cluster in which a hundredth of the machines dies, and a second later controllers end.
fn takeover(machines: usize, controllers: usize, ended: Ended) -> Cost {
    let mut world = World::sized(9, FaultProfile::default(), Size { controllers, machines });
    // Limits as a deployment of this size has them.
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
    let usual = world.store.log.len() as i64 - before;
    let names: Vec<String> = world.workers.keys().cloned().collect();
    for name in names.iter().step_by(100) {
        world.workers.get_mut(name).unwrap().dead = true;
    }
    world.run(Micros::from_secs(51));
    let start = world.now;
    match ended {
        Ended::All => (0..controllers).for_each(|n| world.crash(n)),
        Ended::Back => world.crash_for(controllers - 1, Micros::from_millis(300)),
        Ended::One => {
            world.controllers[controllers - 1] = None;
            world.lives[controllers - 1] += 1;
        }
    }
    let all = ended == Ended::All;
    let old: Vec<(String, u64)> =
        world.controllers.iter().flatten().next().map_or_else(Vec::new, |c| c.view.members.clone());
    let count = if ended == Ended::One { controllers - 1 } else { controllers };
    let before = world.store.log.len() as i64;
    let mut cost = Cost { view: 0.0, first: 0.0, last: 0.0, held: 0.0, changes: 0 };
    let step = Micros::from_millis(50);
    while world.now.since(start) < Micros::from_secs(30) {
        world.run(world.now + step);
        let passed = world.now.since(start).as_secs_f64();
        if world.now.since(start) == Micros::from_secs(10) {
            cost.changes = world.store.log.len() as i64 - before - usual;
        }
        let up: Vec<&Controller> = world.controllers.iter().flatten().collect();
        let viewed = up.len() == count
            && up.iter().all(|c| c.view.members != old && c.view.members.len() == count && c.in_view());
        if viewed && cost.view == 0.0 {
            cost.view = passed;
        }
        if cost.view == 0.0 {
            continue;
        }
        let mine = |c: &Controller| -> Vec<(bool, u32)> {
            let jobs = c.jobs.values().filter(|j| j.owner.as_deref() == Some(c.own_name()));
            jobs.map(|j| (j.takeover_pending, j.unfinished() - j.placed())).collect()
        };
        let jobs: Vec<(bool, u32)> = up.iter().flat_map(|c| mine(c)).collect();
        let waiting: u32 = jobs.iter().filter(|j| j.0).map(|j| j.1).sum();
        cost.held += f64::from(waiting) * step.as_secs_f64();
        let free = jobs.iter().any(|j| !j.0);
        if cost.first == 0.0 && free && (!all || jobs.len() > 1) {
            cost.first = passed;
        }
        if cost.last == 0.0 && jobs.iter().all(|j| !j.0) {
            cost.last = passed;
        }
    }
    cost
}

#[test]
#[ignore = "prints figures; takes some minutes"]
fn measure_takeovers() {
    println!("machines ended view_s first_s last_s held_task_s changes");
    for machines in [100, 500, 1_400, 2_100] {
        for ended in [Ended::One, Ended::Back, Ended::All] {
            let c = takeover(machines, 7, ended);
            println!(
                "{machines} {ended:?} {:.2} {:.2} {:.2} {:.0} {}",
                c.view, c.first, c.last, c.held, c.changes
            );
        }
    }
}
