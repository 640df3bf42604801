//! Overload: far more work than machines, while machines and controllers fail.

use super::*;

/// An array of the given class and team whose small tasks fit on any on-demand machine.
fn plain_array(world: &mut World, n: u32, class: &str, team: &str, tasks: u32) -> JobSpec {
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

/// Three controllers and machines of one type in both zones.
fn cluster(seed: u64, machines: usize) -> World {
    let mut world = World::with_size(seed, FaultProfile::default(), ClusterSize { controllers: 3, machines });
    for n in 0..machines {
        world.add_machine("c16", if n % 2 == 0 { "east" } else { "west" }, false);
    }
    world
}

/// Fails about `machines` machines and crashes one controller.
fn fail_some(world: &mut World, machines: usize) {
    let names: Vec<String> = world.workers.keys().cloned().collect();
    for name in names.iter().step_by(names.len() / machines) {
        world.workers.get_mut(name).unwrap().dead = true;
    }
    let n = world.rng.random_range(0..3);
    world.crash(n);
}

/// The finished fraction of all tasks, and of all jobs.
fn finished_fractions(world: &World) -> (f64, f64) {
    let specs = || world.jobs.values().filter_map(|w| Some((w, w.spec.as_ref()?)));
    let tasks: u32 = specs().map(|(_, s)| s.tasks).sum();
    let tasks_done: usize = specs().map(|(w, _)| w.completed_tasks.len()).sum();
    let jobs = specs().filter(|(w, s)| w.completed_tasks.len() == s.tasks as usize).count();
    (tasks_done as f64 / f64::from(tasks), jobs as f64 / world.jobs.len() as f64)
}

/// Guards against capacity spread over so many jobs that few of them finish.
///
/// With a thousand arrays and a thousand slots each array ran one task at a time, and a day ended with a third of the
/// tasks but only an eighth of the jobs finished.
#[test]
fn half_of_the_finished_tasks_finish_half_of_the_jobs() {
    for seed in 0..3 {
        let mut world = cluster(seed, 24);
        world.run(Micros::from_secs(5));
        for n in 0..70 {
            let tasks = world.rng.random_range(10..80);
            let spec = plain_array(&mut world, n, "flood", "green", tasks);
            world.submit(spec);
        }
        world.run(Micros::from_secs(15));
        fail_some(&mut world, 6);
        while finished_fractions(&world).0 < 0.5 {
            world.run(world.now + Micros::from_secs(1));
            assert!(
                world.now < Micros::from_secs(300),
                "seed {seed}: half of the tasks had not finished after 300 s"
            );
        }
        let (tasks, jobs) = finished_fractions(&world);
        assert!(
            jobs >= tasks - 0.05,
            "seed {seed}: finished {jobs:.2} of the jobs, but {tasks:.2} of the tasks"
        );
        world.run(world.now + Micros::from_secs(300));
        for (id, wish) in &world.jobs {
            assert!(wish.known_final.is_some(), "seed {seed}: {id} is not over\n{}", world.describe_job(id));
        }
    }
}

/// Submits many jobs of one class, then a few of another, and returns how many seconds the last of these few takes.
fn quiet_class_duration(seed: u64, ignore_leader_volumes: bool) -> f64 {
    let mut world = cluster(seed, 16);
    world.ignore_leader_volumes = ignore_leader_volumes;
    world.run(Micros::from_secs(5));
    for n in 0..120 {
        let spec = plain_array(&mut world, n, "flood", "green", 30);
        world.submit(spec);
    }
    world.run(Micros::from_secs(12));
    fail_some(&mut world, 4);
    let from = world.now;
    let quiet: Vec<String> = (200..206)
        .map(|n| {
            let spec = plain_array(&mut world, n, "quiet", "green", 5);
            let id = spec.id.clone();
            world.submit(spec);
            id
        })
        .collect();
    let over = |w: &World, id: &String| w.jobs[id].completed_tasks.len() == 5;
    while !quiet.iter().all(|id| over(&world, id)) && world.now < from + Micros::from_secs(400) {
        world.run(world.now + Micros::from_secs(1));
    }
    world.now.since(from).as_secs_f64()
}

/// Guards against starvation of a class with few jobs by a flood of another class: its share of the pool does not
/// depend on the number of jobs submitted before.
///
/// The share comes from the leader's volumes; without them (`ignore_leader_volumes`) each controller places jobs on
/// its own, and the small class waits for the flood.
#[test]
fn a_flood_of_one_class_does_not_starve_another_under_the_leaders_volumes() {
    for seed in 0..3 {
        let with_leader = quiet_class_duration(seed, false);
        let without_leader = quiet_class_duration(seed, true);
        assert!(with_leader < 90.0, "seed {seed}: the quiet class took {with_leader} s");
        assert!(
            without_leader > with_leader * 1.5,
            "seed {seed}: {without_leader} s without the leader's volumes, {with_leader} s with the leader's volumes"
        );
    }
}

/// Guards the state service's rate limits, and every class's access to admission, against a rush of submissions.
///
/// One class submits ten times as many jobs as can be recorded, while controllers, including the leader, crash, are
/// paused or are partitioned.
#[test]
fn a_rush_of_submissions_stays_within_write_limits_and_locks_out_no_class() {
    for seed in 0..4 {
        let mut world = cluster(seed, 12);
        let limit = 9.0;
        world.settings.iter_mut().for_each(|s| s.params.state.write_rps = limit);
        world.run(Micros::from_secs(20));
        for second in 0..40u64 {
            for k in 0..if second < 12 { 10 } else { 0 } {
                let spec = plain_array(&mut world, (second * 10 + k) as u32, "flood", "green", 1);
                world.submit(spec);
            }
            if second % 4 == 0 {
                let spec = plain_array(&mut world, 1_000 + second as u32, "quiet", "blue", 1);
                world.submit(spec);
            }
            match second + seed {
                6 => world.crash(seed as usize % 3),
                10 => {
                    let n = (seed as usize + 1) % 3;
                    world.begin_fault(TimedFault::ControllerPaused(n), world.now + Micros::from_secs(8));
                }
                16 => world.begin_fault(TimedFault::Partitioned(0, 1), world.now + Micros::from_secs(12)),
                24 => {
                    let is_leader = |c: &Option<Controller>| c.as_ref().is_some_and(Controller::leading);
                    if let Some(n) = world.controllers.iter().position(is_leader) {
                        world.crash(n);
                    }
                }
                _ => {}
            }
            world.run(world.now + Micros::from_secs(1));
        }
        world.run(world.now + Micros::from_secs(300));
        for (id, wish) in &world.jobs {
            assert!(wish.known_final.is_some(), "seed {seed}: {id} is not over\n{}", world.describe_job(id));
            let quiet = wish.spec.as_ref().is_some_and(|s| s.class == "quiet");
            let max_deferrals = if quiet { 6 } else { 12 };
            assert!(
                wish.deferrals <= max_deferrals,
                "seed {seed}: {id} was deferred {} times",
                wish.deferrals
            );
        }
        // In any five seconds, at most the rate and one burst; writes in transit add a little.
        let changes = &world.store_writes;
        for (i, (from, _)) in changes.iter().enumerate() {
            let within = changes[i..].iter().take_while(|(at, _)| at.since(*from) < Micros::from_secs(5));
            let writes: u32 = within.map(|c| c.1).sum();
            assert!(f64::from(writes) <= limit * 6.2, "seed {seed}: {writes} writes in 5 s from {from:?}");
        }
    }
}
