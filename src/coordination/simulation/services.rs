//! Services: replacement of lost replicas, preemption for services, and capacity for guarantees.

use super::*;

/// A service of rank production whose replicas use one accelerator each and are spread over both zones.
fn service_job(world: &mut World, n: u32, tasks: u32) -> JobSpec {
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

/// Number of running replicas of a job on machines that have not failed.
fn running_replicas(world: &World, id: &str) -> usize {
    let live = world.workers.values().filter(|w| !w.dead).flat_map(|w| &w.tasks);
    live.filter(|(i, t)| i.job == id && t.state == TaskState::Running).count()
}

/// Sets an objective under which replicas of the class must start quickly, and a guarantee of accelerators.
fn require_fast_starts(world: &mut World, gpus: f64) {
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

/// `standing` accelerator machines in both zones, and an objective under which services must start quickly.
fn cluster_for_services(
    seed: u64,
    trouble: FaultProfile,
    machines: usize,
    standing: usize,
    guaranteed: f64,
) -> World {
    let mut world = World::with_size(seed, trouble, ClusterSize { controllers: 3, machines });
    require_fast_starts(&mut world, guaranteed);
    for n in 0..standing {
        world.add_machine("g8", ["east", "west"][n % 2], false);
    }
    world
}

/// Guards long-running services against all kinds of faults: once the faults are over, all replicas run again, spread
/// as their jobs require, and those of a withdrawn service are gone.
#[test]
fn lost_replicas_are_replaced_after_all_kinds_of_faults() {
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
        let mut world = cluster_for_services(seed, trouble, 40, 24, 40.0);
        world.run(Micros::from_secs(3));
        for n in 0..10 {
            let tasks = [2, 8, 12][n as usize % 3];
            let service = service_job(&mut world, n, tasks);
            world.submit(service);
        }
        for n in 10..30 {
            let job =
                JobSpec { shape: Shape::Array, gpus: 1.0, cpus: 2.0, zone: None, ..world.random_job(n) };
            world.submit(JobSpec { tasks: 20, priority: Priority::Low, team: "green".into(), ..job });
            let next = world.now + Micros::from_secs(4);
            world.run(next);
        }
        world.fault_free_from = world.now;
        world.jobs.get_mut("j-000003").unwrap().wants_withdrawal = true;
        let end = world.now + Micros::from_secs(120);
        world.run(end);
        for n in (0..10).filter(|n| *n != 3) {
            let id = format!("j-{n:06}");
            let tasks = [2, 8, 12][n % 3];
            assert_eq!(
                running_replicas(&world, &id),
                tasks,
                "seed {seed}: {id}\n{}",
                world.describe_job(&id)
            );
        }
        assert_eq!(running_replicas(&world, "j-000003"), 0, "seed {seed}: a withdrawn service still runs");
        assert!(world.jobs["j-000003"].known_final.is_some());
    }
}

/// Guards against services that wait for machines to boot while arrays run on capacity that could be preempted for
/// them.
#[test]
fn an_urgent_service_preempts_array_tasks_at_once() {
    let mut world = cluster_for_services(30, FaultProfile::default(), 6, 6, 24.0);
    for n in 0..3 {
        let job = JobSpec { shape: Shape::Array, gpus: 1.0, cpus: 2.0, zone: None, ..world.random_job(n) };
        world.submit(JobSpec { tasks: 400, priority: Priority::Low, team: "green".into(), ..job });
    }
    world.run(Micros::from_secs(30));
    let all_tasks = world.workers.values().flat_map(|w| w.tasks.values());
    assert!(
        all_tasks.filter(|t| t.state != TaskState::Ended).count() >= 20,
        "the arrays do not fill the machines"
    );
    let service = service_job(&mut world, 7, 4);
    world.submit(service);
    let end = world.now + Micros::from_secs(8);
    world.run(end);
    assert_eq!(running_replicas(&world, "j-000007"), 4, "{}", world.describe_job("j-000007"));
}

/// Guards against replicas not being replaced until their dead machine's lease has expired, and against returning the
/// machines of a whole zone that is only unreachable for their owners.
#[test]
fn replicas_of_a_dead_machine_are_replaced_long_before_its_lease_expires() {
    let mut world = cluster_for_services(31, FaultProfile::default(), 40, 30, 96.0);
    world.run(Micros::from_secs(3));
    for n in 0..8 {
        let service = service_job(&mut world, n, 8);
        world.submit(service);
    }
    world.run(Micros::from_secs(40));
    let all = |w: &World| (0..8).map(|n| running_replicas(w, &format!("j-{n:06}"))).sum::<usize>();
    assert_eq!(all(&world), 64);
    let used = |w: &World| {
        let used = w.workers.iter().filter(|(_, w)| !w.dead && !w.tasks.is_empty());
        used.map(|(name, _)| name.clone()).collect::<Vec<_>>()
    };
    let failed = used(&world)[0].clone();
    // The machine fails, but the cloud still lists it as running.
    world.workers.get_mut(&failed).unwrap().partitioned_until = Micros::MAX;
    world.run(Micros::from_secs(54));
    assert!(!world.workers.contains_key(&failed), "the dead machine was not returned");
    assert_eq!(
        all(&world),
        64,
        "not replaced 14 s after its machine died: {}",
        world.describe_job("j-000000")
    );
    let before: Vec<String> = used(&world);
    for w in world.workers.values_mut().filter(|w| w.zone == "east") {
        w.partitioned_until = Micros::from_secs(64);
    }
    world.run(Micros::from_secs(80));
    let returned: Vec<&String> = before.iter().filter(|name| !world.workers.contains_key(*name)).collect();
    assert!(returned.is_empty(), "machines returned that were only unreachable: {returned:?} of {before:?}");
}

/// Guards against the cost of guarantees that add up to more machines than can be rented: capacity is kept only for the
/// part that teams use.
#[test]
fn capacity_is_kept_only_for_the_used_part_of_guarantees() {
    let mut world = cluster_for_services(32, FaultProfile::default(), 200, 6, 4_000.0);
    world.run(Micros::from_secs(3));
    for n in 0..2 {
        let service = service_job(&mut world, n, 8);
        world.submit(service);
    }
    // Machines rented at the beginning are returned after some time without work.
    world.run(Micros::from_secs(300));
    assert!((0..2).all(|n| running_replicas(&world, &format!("j-{n:06}")) == 8));
    assert!(world.workers.len() <= 14, "{} machines for 16 replicas", world.workers.len());
}
