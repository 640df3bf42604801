//! Combinations of jobs and a lack of room, in one zone or everywhere (`docs/meetings.md`).

use super::takeovers::array;
use super::*;

/// The number of these jobs that have not ended.
fn unfinished_count(world: &World, ids: &[String]) -> usize {
    ids.iter().filter(|id| world.jobs[*id].known_final.is_none()).count()
}

fn submit_job(world: &mut World, spec: JobSpec) -> String {
    let id = spec.id.clone();
    world.submit(spec);
    id
}

/// Guards against jobs bound to a zone, by their description or by where their other tasks run, that start elsewhere or
/// block others when the zone loses machines and none can be rented there. They must wait, start in no other zone,
/// block no job that has room in another zone though they precede it, and continue when there is room.
#[test]
fn jobs_bound_to_a_zone_without_room_do_not_block_others() {
    let (mut lost, mut waited) = (0, 0);
    for seed in 2_300..2_306 {
        let mut world =
            World::with_size(seed, FaultProfile::default(), ClusterSize { controllers: 3, machines: 7 });
        for _ in 0..7 {
            world.add_machine("c16", "west", false);
        }
        world.run(Micros::from_secs(3));
        world.task_run_time = 100 * S..160 * S;
        let mut bound = Vec::new();
        for n in 0..14 {
            let spec = array(&mut world, n, 4);
            let spec = JobSpec { cpus: 4.0, priority: Priority::High, one_zone: n % 4 > 0, ..spec };
            let zone = (n % 4 == 0).then(|| "west".to_owned());
            let shape = if n % 8 == 1 { Shape::Gang } else { Shape::Array };
            bound.push(submit_job(&mut world, JobSpec { zone, shape, spread: false, ..spec }));
        }
        world.run(world.now + Micros::from_secs(30));
        // Adds machines to the other zone and removes some from the first one; none can be rented.
        world.boot_time = S..2 * S;
        let east: Vec<String> = (0..7).map(|_| world.add_machine("c16", "east", false)).collect();
        world.cloud_capacity = 0;
        let west: Vec<String> = world.workers.keys().filter(|name| !east.contains(name)).cloned().collect();
        for name in west.iter().take(3 + seed as usize % 2) {
            let w = world.workers.get_mut(name).unwrap();
            w.dead = true;
            lost += w.tasks.len();
        }
        world.task_run_time = S..4 * S;
        let from = world.now;
        let unbound: Vec<String> = (100..108)
            .map(|n| {
                let spec = array(&mut world, n, 6);
                submit_job(&mut world, JobSpec { priority: Priority::Low, ..spec })
            })
            .collect();
        while unfinished_count(&world, &unbound) > 0 && world.now < from + Micros::from_secs(75) {
            world.run(world.now + Micros::from_secs(1));
        }
        let (elapsed, unfinished) = (world.now.since(from).as_secs_f64(), unfinished_count(&world, &unbound));
        let waiting = unfinished_count(&world, &bound);
        eprintln!("seed {seed}: {unfinished} unfinished after {elapsed} s, while {waiting} bound jobs wait");
        assert_eq!(unfinished, 0, "seed {seed}: blocked by jobs that are bound to another zone");
        waited += waiting;
        world.cloud_capacity = 14;
        world.expect_all_jobs_to_end(400, &format!("seed {seed}"));
    }
    eprintln!("{lost} tasks were lost, {waited} jobs waited");
    assert!(lost > 40 && waited > 40, "{lost} tasks were lost, {waited} jobs waited");
}

/// The tasks that orders stopped in a run, and whether work of a higher priority needed their room.
#[derive(Default)]
struct Stops {
    total: usize,
    /// Tasks of live jobs that were not withdrawn.
    of_live: usize,
    /// Of these, the tasks stopped while no work of a higher priority had waited in the last 5 s.
    unjustified: Vec<TaskId>,
}

/// Runs a cluster of ten machines, with no others to rent, over slow links, with more work than it has room for.
fn run_beyond_capacity(seed: u64, priorities: &[Priority]) -> (World, Stops) {
    let mut world =
        World::with_size(seed, FaultProfile::default(), ClusterSize { controllers: 3, machines: 10 });
    world.extra_link_delay = 20 * MS..400 * MS;
    for s in &mut world.settings {
        s.params.objectives.push(crate::settings::Objective {
            kind: "wait".into(),
            class: Some("watch".into()),
            within_s: Some(8.0),
            share: Some(0.9),
        });
    }
    for n in 0..10 {
        world.add_machine("c16", if n % 2 == 0 { "east" } else { "west" }, false);
    }
    world.run(Micros::from_secs(16));
    let mut stops = Stops::default();
    let mut last_waited: BTreeMap<u8, Micros> = BTreeMap::new();
    let mut services = Vec::new();
    for step in 0..1_000u32 {
        if step % 8 == 0 && step < 320 {
            let n = step / 8;
            let spec = world.random_job(n);
            let job_priority =
                if n < 10 { priorities[0] } else { priorities[world.rng.random_range(0..priorities.len())] };
            let gang = n % 4 == 3;
            let fast_start = job_priority > Priority::Normal && n % 3 == 0;
            let (shape, class) = match (fast_start, gang) {
                (true, _) => (Shape::Service, "watch"),
                (_, true) => (Shape::Gang, "any"),
                _ => (Shape::Array, "any"),
            };
            let tasks = if shape == Shape::Array { 16 } else { 4 };
            let (gpus, zone, one_zone, spread) = (0.0, None, false, false);
            let team = "green".to_owned();
            let class = class.to_owned();
            let spec = JobSpec { shape, class, tasks, cpus: 2.0, gpus, zone, one_zone, spread, team, ..spec };
            let id = submit_job(&mut world, JobSpec { priority: job_priority, ..spec });
            if fast_start {
                services.push(id);
            }
        }
        if step == 600 {
            for id in &services {
                world.jobs.get_mut(id).unwrap().wants_withdrawal = true;
            }
        }
        let stops_before = world.stopped_tasks.len();
        world.run(world.now + Micros::from_millis(100));
        let now = world.now;
        for wish in world.jobs.values().filter(|w| w.known_final.is_none() && !w.rejected) {
            last_waited.insert(wish.spec.as_ref().unwrap().priority as u8, now);
        }
        for task in &world.stopped_tasks[stops_before..] {
            let wish = &world.jobs[&task.job];
            let spec = wish.spec.as_ref().unwrap();
            stops.total += 1;
            let has_ended = wish.completed_tasks.len() == spec.tasks as usize || wish.wants_withdrawal;
            if has_ended {
                continue;
            }
            stops.of_live += 1;
            let is_recent = |waited_at: &Micros| now.since(*waited_at) < Micros::from_secs(5);
            if !last_waited
                .iter()
                .any(|(job_priority, waited_at)| *job_priority > spec.priority as u8 && is_recent(waited_at))
            {
                stops.unjustified.push(task.clone());
            }
        }
    }
    world.expect_all_jobs_to_end(500, &format!("seed {seed}"));
    (world, stops)
}

/// Guards against tasks that are stopped for work of their own priority or for no work, and against lost tasks, when
/// there is more work than room and every message is slow.
#[test]
fn overload_over_slow_links_preempts_only_lower_priority_tasks() {
    let mut stopped = 0;
    for seed in 2_400..2_404 {
        let (world, stops) = run_beyond_capacity(seed, &[Priority::Normal]);
        assert_eq!(stops.of_live, 0, "seed {seed}: tasks stopped for work of their own priority");
        assert_eq!(
            (world.coverage.restarts_after_completion, world.coverage.tasks_lost_to_lease_expiry),
            (0, 0),
            "seed {seed}: tasks lost"
        );
        let (world, stops) = run_beyond_capacity(seed, &[Priority::Low, Priority::High, Priority::Normal]);
        eprintln!("seed {seed}: {} stops, {} of live jobs", stops.total, stops.of_live);
        assert_eq!(
            stops.unjustified,
            [],
            "seed {seed}: tasks stopped though no work of a higher priority waited"
        );
        assert_eq!(
            (world.coverage.restarts_after_completion, world.coverage.tasks_lost_to_lease_expiry),
            (0, 0),
            "seed {seed}: tasks lost"
        );
        stopped += stops.of_live;
    }
    assert!(stopped > 20, "only {stopped} tasks were preempted");
}
