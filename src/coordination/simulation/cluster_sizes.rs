//! Clusters of other sizes, unreadable records, and conclusions from outdated knowledge.

use super::*;

/// Guards against a deadlock in a cluster that is large from the start: the rows of a block grew as their machines were
/// granted, the value exceeded the size limit, and no grant could be written any more.
#[test]
fn all_machines_are_granted_when_block_records_are_full() {
    let mut world =
        World::with_size(9, FaultProfile::default(), ClusterSize { controllers: 3, machines: 320 });
    for _ in 0..320 {
        world.add_machine("c16", "east", false);
    }
    let mut granted = BTreeSet::new();
    for second in 1..40 {
        world.run(Micros::from_secs(second));
        let blocks = world.store.keys.iter().filter(|(key, _)| key.starts_with(records::BLOCKS_PREFIX));
        for (_, (value, ..)) in blocks {
            let block = blocks::Block::default().update(&value.to_string()).unwrap();
            granted.extend(block.changed.into_iter().filter(|r| !r.owner.is_empty()).map(|r| r.machine));
        }
    }
    // Idle machines are returned in the meantime, so all machines that were ever granted are counted.
    assert_eq!(granted.len(), 320, "some machines were never granted");
}

/// Guards against treating records written by a newer version as absent: the tasks on their machines would be started a
/// second time, and the tasks of a job with such a record would be stopped as unknown.
#[test]
fn unreadable_records_prevent_starts_and_stops() {
    let mut world = World::new(77, FaultProfile::default());
    for n in 0..6 {
        let job = JobSpec { shape: Shape::Array, zone: None, gpus: 0.0, ..world.random_job(n) };
        world.submit(JobSpec { tasks: 60, team: "green".into(), ..job });
    }
    world.run(Micros::from_secs(40));
    let keys = world.store.keys.iter();
    let overwritten: Vec<(String, Value)> = keys
        .filter(|(k, _)| k.starts_with(records::BLOCKS_PREFIX) || k.ends_with("j-000002"))
        .map(|(k, v)| (k.clone(), v.0.clone()))
        .collect();
    assert!(overwritten.len() >= 2);
    let write = |world: &mut World, new_value: &dyn Fn(&Value) -> Value| {
        for (key, value) in &overwritten {
            if world.store.keys.contains_key(key) {
                let writes = vec![Write::put(key.clone(), new_value(value))];
                world.store.commit(Transaction { conditions: Vec::new(), writes });
            }
        }
    };
    write(&mut world, &|_| serde_json::json!({ "v": 99 }));
    (0..3).for_each(|n| world.crash(n));
    // Messages in transit arrive; afterwards nothing may change as long as the workers' leases are valid.
    let pause = |world: &mut World, seconds| world.run(world.now + Micros::from_secs(seconds));
    pause(&mut world, 1);
    let listed_tasks = |w: &World| -> Vec<(String, TaskId)> {
        let tasks = w.workers.iter().flat_map(|(name, m)| m.tasks.keys().map(|t| (name.clone(), t.clone())));
        tasks.collect()
    };
    let before = listed_tasks(&world);
    assert!(!before.is_empty());
    pause(&mut world, 10);
    assert_eq!(
        listed_tasks(&world),
        before,
        "tasks were started or stopped while the running tasks are unknown"
    );
    write(&mut world, &Value::clone);
    pause(&mut world, 400);
    for (id, wish) in &world.jobs {
        assert!(wish.known_final.is_some(), "{id} is not over\n{}", world.describe_job(id));
    }
}

/// Checks a cluster of the size that deployments have grown to: seven controllers, hundreds of machines, gangs that
/// need sixteen whole machines, arrays of a thousand tasks.
///
/// The simulated services check value sizes, transactions and the rules; this test also checks that the placement
/// passes of a controller are bounded and do not grow with the number of events.
#[test]
fn a_large_cluster_keeps_the_rules_with_bounded_placement_work() {
    let trouble = FaultProfile { crash: 0.01, machine_dies: 0.05, machine_cut: 0.1, ..Default::default() };
    let mut world = World::with_size(20, trouble, ClusterSize { controllers: 7, machines: 400 });
    for n in 0..200 {
        world.add_machine("c16", ["east", "west"][n % 2], false);
    }
    world.run(Micros::from_secs(5));
    for n in 0..30u32 {
        let (shape, tasks, cpus) = match n % 6 {
            0 => (Shape::Array, 1_000, 2.0),
            1 | 2 => (Shape::Gang, 16, 15.0),
            3 | 4 => (Shape::Gang, 3, 15.0),
            _ => (Shape::Array, 40, 4.0),
        };
        let gpus = if n % 6 == 5 { 1.0 } else { 0.0 };
        let one_zone = shape == Shape::Gang;
        let job = JobSpec { team: "green".into(), zone: None, spread: false, ..world.random_job(n) };
        world.submit(JobSpec { shape, tasks, cpus, gpus, one_zone, ..job });
        let next = world.now + Micros(world.rng.random_range(0..2 * S));
        world.run(next);
    }
    world.run(Micros::from_secs(90));
    world.fault_free_from = world.now;
    world.run(Micros::from_secs(260));
    for (id, wish) in &world.jobs {
        let message = format!("{id} is not over: {:?}", wish.spec);
        assert!(wish.known_final.is_some(), "{message}\n{}", world.describe_job(id));
    }
    for (n, c) in world.controllers.iter().enumerate() {
        let Some(c) = c else { continue };
        let seconds = world.now.since(world.started_at[n]).as_secs_f64();
        let passes = c.counters.placement_passes as f64 / seconds;
        assert!(passes < 12.0, "{passes} placement passes per second over all waiting jobs");
    }
}

/// Guards the division of the state service's rate limits in a cluster with a single controller, also after it has
/// crashed.
#[test]
fn a_single_controller_finishes_all_jobs_also_after_a_crash() {
    let mut world =
        World::with_size(12, FaultProfile::default(), ClusterSize { controllers: 1, machines: 6 });
    world.run(Micros::from_secs(5));
    for n in 0..4 {
        let job = JobSpec { shape: Shape::Array, zone: None, gpus: 0.0, ..world.random_job(n) };
        world.submit(JobSpec { tasks: 20, team: "green".into(), ..job });
    }
    world.run(Micros::from_secs(30));
    world.crash(0);
    world.run(Micros::from_secs(200));
    assert!(world.jobs.values().all(|j| j.known_final.is_some()), "{}", world.describe_job("j-000000"));
}

/// Guards against a task running twice because of outdated knowledge.
///
/// During an outage of the state service a controller concluded that a machine's lease had expired, since it no longer
/// received its reports, and started its tasks elsewhere. The machine had been granted to another controller just
/// before the outage, which the former owner could not know.
#[test]
fn no_worker_lease_is_taken_for_expired_on_outdated_knowledge() {
    let mut world = World::new(13, FaultProfile::default());
    for n in 0..4 {
        let job = JobSpec { shape: Shape::Array, zone: None, gpus: 0.0, ..world.random_job(n) };
        world.submit(JobSpec { tasks: 400, team: "green".into(), ..job });
    }
    world.run(Micros::from_secs(30));
    let lapses =
        |w: &World| w.controllers.iter().flatten().map(|c| c.counters.lease_expirations).sum::<u64>();
    assert_eq!(lapses(&world), 0);
    let busy = world.workers.iter().find(|(_, w)| !w.tasks.is_empty()).unwrap().0.clone();
    world.workers.get_mut(&busy).unwrap().partitioned_until = Micros::from_secs(90);
    world.begin_fault(TimedFault::StoreDown, Micros::from_secs(50));
    world.run(Micros::from_secs(50));
    assert_eq!(lapses(&world), 0, "a lease was taken for expired while the state service did not answer");
    world.run(Micros::from_secs(60));
    assert!(lapses(&world) > 0, "the machine's lease was never taken for expired");
}
