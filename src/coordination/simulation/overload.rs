//! Far more work than machines, with machines and controllers that fail in it.

use super::*;

/// A plain array of one class.
fn plain(world: &mut World, n: u32, class: &str, team: &str, tasks: u32) -> JobSpec {
    let job = JobSpec { shape: Shape::Array, zone: None, gpus: 0.0, spread: false, ..world.random_job(n) };
    JobSpec {
        class: class.into(),
        team: team.into(),
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        memory_gb: 1.0,
        one_zone: false,
        machine_types: None,
        ..job
    }
}

fn cluster(seed: u64, machines: usize) -> World {
    let mut world = World::sized(seed, FaultProfile::default(), Size { controllers: 3, machines });
    for n in 0..machines {
        world.add_machine("c16", if n % 2 == 0 { "east" } else { "west" }, false);
    }
    world
}

/// Some machines die, and one controller ends.
fn lose_some(world: &mut World, machines: usize) {
    let names: Vec<String> = world.workers.keys().cloned().collect();
    for name in names.iter().step_by(names.len() / machines) {
        world.workers.get_mut(name).unwrap().dead = true;
    }
    let n = world.rng.random_range(0..3);
    world.crash(n);
}

/// Parts of all tasks and of all jobs that are done.
fn done(world: &World) -> (f64, f64) {
    let specs = || world.jobs.values().filter_map(|w| Some((w, w.spec.as_ref()?)));
    let tasks: u32 = specs().map(|(_, s)| s.tasks).sum();
    let tasks_done: usize = specs().map(|(w, _)| w.tasks_done.len()).sum();
    let jobs = specs().filter(|(w, s)| w.tasks_done.len() == s.tasks as usize).count();
    (tasks_done as f64 / f64::from(tasks), jobs as f64 / world.jobs.len() as f64)
}

/// Guards against work spread so thin that nothing is finished: with a thousand arrays on a thousand
/// places each ran one task at a time, and a day ended with a third of the tasks done and an eighth of
/// the jobs.
#[test]
fn half_of_the_work_finishes_half_of_the_jobs() {
    for seed in 0..3 {
        let mut world = cluster(seed, 24);
        world.run(Micros::from_secs(5));
        for n in 0..70 {
            let tasks = world.rng.random_range(10..80);
            let spec = plain(&mut world, n, "flood", "green", tasks);
            world.submit(spec);
        }
        world.run(Micros::from_secs(15));
        lose_some(&mut world, 6);
        while done(&world).0 < 0.5 {
            world.run(world.now + Micros::from_secs(1));
            assert!(world.now < Micros::from_secs(300), "seed {seed}: the work does not go on");
        }
        let (tasks, jobs) = done(&world);
        assert!(jobs >= tasks - 0.05, "seed {seed}: {jobs:.2} of the jobs, {tasks:.2} of the tasks");
        world.run(world.now + Micros::from_secs(300));
        for (id, wish) in &world.jobs {
            assert!(wish.told_final.is_some(), "seed {seed}: {id} is not over\n{}", world.describe_job(id));
        }
    }
}

/// A flood of one class, then a few jobs of another: how long the longest of these takes, in seconds.
fn quiet_beside_flood(seed: u64, alone: bool) -> f64 {
    let mut world = cluster(seed, 16);
    world.alone = alone;
    world.run(Micros::from_secs(5));
    for n in 0..120 {
        let spec = plain(&mut world, n, "flood", "green", 30);
        world.submit(spec);
    }
    world.run(Micros::from_secs(12));
    lose_some(&mut world, 4);
    let from = world.now;
    let quiet: Vec<String> = (200..206)
        .map(|n| {
            let spec = plain(&mut world, n, "quiet", "green", 5);
            let id = spec.id.clone();
            world.submit(spec);
            id
        })
        .collect();
    let over = |w: &World, id: &String| w.jobs[id].tasks_done.len() == 5;
    while !quiet.iter().all(|id| over(&world, id)) && world.now < from + Micros::from_secs(400) {
        world.run(world.now + Micros::from_secs(1));
    }
    world.now.since(from).as_secs_f64()
}

/// Guards a small class beside a flood of another: its share of the pool is its own, however many jobs
/// came before. Without the leader's division, each controller for itself, the class waits for the flood.
#[test]
fn a_flood_of_one_class_starves_no_other_as_long_as_the_controllers_agree() {
    for seed in 0..3 {
        let together = quiet_beside_flood(seed, false);
        let alone = quiet_beside_flood(seed, true);
        assert!(together < 90.0, "seed {seed}: the quiet class took {together} s");
        assert!(alone > together * 1.5, "seed {seed}: {alone} s alone, {together} s together");
    }
}

/// Guards the state service's limits and every class's way in: ten times the submissions that can be
/// recorded, by one class, with controllers that end, stand still or are cut off meanwhile, the leader
/// among them.
#[test]
fn a_rush_at_the_door_stays_within_the_limits_and_keeps_out_no_class() {
    for seed in 0..4 {
        let mut world = cluster(seed, 12);
        let limit = 9.0;
        world.settings.iter_mut().for_each(|s| s.params.state.write_rps = limit);
        world.run(Micros::from_secs(20));
        for second in 0..40u64 {
            for k in 0..if second < 12 { 10 } else { 0 } {
                let spec = plain(&mut world, (second * 10 + k) as u32, "flood", "green", 1);
                world.submit(spec);
            }
            if second % 4 == 0 {
                let spec = plain(&mut world, 1_000 + second as u32, "quiet", "blue", 1);
                world.submit(spec);
            }
            match second + seed {
                6 => world.crash(seed as usize % 3),
                10 => {
                    let n = (seed as usize + 1) % 3;
                    world.befalls(Spell::StandsStill(n), world.now + Micros::from_secs(8));
                }
                16 => world.befalls(Spell::Apart(0, 1), world.now + Micros::from_secs(12)),
                24 => {
                    let leads = |c: &Option<Controller>| c.as_ref().is_some_and(Controller::leading);
                    if let Some(n) = world.controllers.iter().position(leads) {
                        world.crash(n);
                    }
                }
                _ => {}
            }
            world.run(world.now + Micros::from_secs(1));
        }
        world.run(world.now + Micros::from_secs(300));
        for (id, wish) in &world.jobs {
            assert!(wish.told_final.is_some(), "seed {seed}: {id} is not over\n{}", world.describe_job(id));
            let quiet = wish.spec.as_ref().is_some_and(|s| s.class == "quiet");
            let most = if quiet { 6 } else { 12 };
            assert!(wish.turned_away <= most, "seed {seed}: {id} was turned away {} times", wish.turned_away);
        }
        // In any five seconds: the rate and one burst. Those that are on their way add a little.
        let changes = &world.changes;
        for (i, (from, _)) in changes.iter().enumerate() {
            let within = changes[i..].iter().take_while(|(at, _)| at.since(*from) < Micros::from_secs(5));
            let sum: u32 = within.map(|c| c.1).sum();
            assert!(f64::from(sum) <= limit * 6.2, "seed {seed}: {sum} changes in 5 s from {from:?}");
        }
    }
}
