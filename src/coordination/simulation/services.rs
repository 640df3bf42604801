//! Services: replicas that are missed, moved and made room for.

use super::*;

/// Two zones, standing machines with accelerators, replicas spread over both zones.
fn replicas(world: &mut World, n: u32, tasks: u32) -> JobSpec {
    let job = world.random_job(n);
    JobSpec {
        shape: Shape::Service,
        priority: Priority::Production,
        class: "watch".into(),
        team: "green".into(),
        tasks,
        cpus: 2.0,
        gpus: 1.0,
        zone: None,
        one_zone: false,
        spread: true,
        spot: false,
        estimated_task_s: 0.0,
        ..job
    }
}

/// How many replicas of a job are on machines that live.
fn serving(world: &World, id: &str) -> usize {
    let live = world.workers.values().filter(|w| !w.dead).flat_map(|w| &w.tasks);
    live.filter(|(i, t)| i.job == id && t.state == TaskState::Running).count()
}

/// Settings under which replicas of the class are in a hurry, and a guarantee of accelerators.
fn in_a_hurry(world: &mut World, gpus: f64) {
    for s in &mut world.settings {
        s.params.objectives.push(crate::settings::Objective {
            kind: "wait".into(),
            class: Some("watch".into()),
            within_s: Some(8.0),
            share: Some(0.9),
        });
        s.params.teams[1].gpus = gpus;
    }
}

/// Standing machines with accelerators in both zones, and services in a hurry.
fn hurried(seed: u64, trouble: FaultProfile, machines: usize, standing: usize, guaranteed: f64) -> World {
    let mut world = World::sized(seed, trouble, Size { controllers: 3, machines });
    in_a_hurry(&mut world, guaranteed);
    for n in 0..standing {
        world.add_machine("g8", ["east", "west"][n % 2], false);
    }
    world
}

/// Services that live all day, under everything that may befall them: after each trouble all replicas
/// are there again, spread as their jobs ask, and those withdrawn are gone.
#[test]
fn lost_replicas_are_replaced_whatever_happens() {
    let trouble = FaultProfile {
        crash: 0.02,
        crash_all: 0.004,
        machine_dies: 0.04,
        machine_cut: 0.02,
        spot_preempted: 0.2,
        store_outage: 0.01,
        peers_partitioned: 0.02,
        ..Default::default()
    };
    for seed in 900..906 {
        let mut world = hurried(seed, trouble, 40, 24, 40.0);
        world.run(Micros::from_secs(3));
        for n in 0..10 {
            let tasks = [2, 8, 12][n as usize % 3];
            let service = replicas(&mut world, n, tasks);
            world.submit(service);
        }
        for n in 10..30 {
            let job =
                JobSpec { shape: Shape::Array, gpus: 1.0, cpus: 2.0, zone: None, ..world.random_job(n) };
            world.submit(JobSpec { tasks: 20, priority: Priority::Low, team: "green".into(), ..job });
            let next = world.now + Micros::from_secs(4);
            world.run(next);
        }
        world.calm_after = world.now;
        world.jobs.get_mut("j-000003").unwrap().wants_withdrawal = true;
        let end = world.now + Micros::from_secs(120);
        world.run(end);
        for n in (0..10).filter(|n| *n != 3) {
            let id = format!("j-{n:06}");
            let tasks = [2, 8, 12][n % 3];
            assert_eq!(serving(&world, &id), tasks, "seed {seed}: {id}\n{}", world.describe_job(&id));
        }
        assert_eq!(serving(&world, "j-000003"), 0, "seed {seed}: a withdrawn service runs");
        assert!(world.jobs["j-000003"].told_final.is_some());
    }
}

/// Guards against services that waited for a boot while arrays ran in the room that they could have.
#[test]
fn a_service_in_a_hurry_takes_an_arrays_place_at_once() {
    let mut world = hurried(30, FaultProfile::default(), 6, 6, 24.0);
    for n in 0..3 {
        let job = JobSpec { shape: Shape::Array, gpus: 1.0, cpus: 2.0, zone: None, ..world.random_job(n) };
        world.submit(JobSpec { tasks: 400, priority: Priority::Low, team: "green".into(), ..job });
    }
    world.run(Micros::from_secs(30));
    let full = world.workers.values().flat_map(|w| w.tasks.values());
    assert!(
        full.filter(|t| t.state != TaskState::Ended).count() >= 20,
        "the arrays do not fill the machines"
    );
    let service = replicas(&mut world, 7, 4);
    world.submit(service);
    let end = world.now + Micros::from_secs(8);
    world.run(end);
    assert_eq!(serving(&world, "j-000007"), 4, "{}", world.describe_job("j-000007"));
}

/// Guards against replicas that were missed until a dead machine's lease had ended, and against giving
/// back a whole zone that is only out of its owners' reach.
#[test]
fn a_dead_machines_replicas_start_elsewhere_long_before_its_lease_ends() {
    let mut world = hurried(31, FaultProfile::default(), 40, 30, 96.0);
    world.run(Micros::from_secs(3));
    for n in 0..8 {
        let service = replicas(&mut world, n, 8);
        world.submit(service);
    }
    world.run(Micros::from_secs(40));
    let all = |w: &World| (0..8).map(|n| serving(w, &format!("j-{n:06}"))).sum::<usize>();
    assert_eq!(all(&world), 64);
    let used = |w: &World| {
        let used = w.workers.iter().filter(|(_, w)| !w.dead && !w.tasks.is_empty());
        used.map(|(name, _)| name.clone()).collect::<Vec<_>>()
    };
    let dying = used(&world)[0].clone();
    // Gone, though the cloud still lists it as running.
    world.workers.get_mut(&dying).unwrap().cut_until = Micros::MAX;
    world.run(Micros::from_secs(54));
    assert!(!world.workers.contains_key(&dying), "the dead machine was not returned");
    assert_eq!(
        all(&world),
        64,
        "not replaced 14 s after its machine died: {}",
        world.describe_job("j-000000")
    );
    let before: Vec<String> = used(&world);
    for w in world.workers.values_mut().filter(|w| w.zone == "east") {
        w.cut_until = Micros::from_secs(64);
    }
    world.run(Micros::from_secs(80));
    let gone: Vec<&String> = before.iter().filter(|name| !world.workers.contains_key(*name)).collect();
    assert!(gone.is_empty(), "machines returned that were only out of reach: {gone:?} of {before:?}");
}

/// Guards the price of guarantees that add up to more than there is to rent: only what teams use of
/// them is kept.
#[test]
fn guarantees_are_kept_only_as_far_as_teams_use_them() {
    let mut world = hurried(32, FaultProfile::default(), 200, 6, 4_000.0);
    world.run(Micros::from_secs(3));
    for n in 0..2 {
        let service = replicas(&mut world, n, 8);
        world.submit(service);
    }
    // What was rented for the first moments goes after a while without work.
    world.run(Micros::from_secs(300));
    assert!((0..2).all(|n| serving(&world, &format!("j-{n:06}")) == 8));
    assert!(world.workers.len() <= 14, "{} machines for 16 replicas", world.workers.len());
}
