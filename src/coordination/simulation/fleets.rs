//! Fleets of other sizes, and records that a controller cannot read.

use super::*;

/// Guards against the deadlock of a fleet that is large from the start: rows grew as their machines
/// were granted, the value became too long, and no grant could ever be written again.
#[test]
fn a_fleet_that_fills_its_values_is_granted_all_the_same() {
    let mut world = World::sized(9, Trouble::default(), Size { controllers: 3, machines: 320 });
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
    // Idle ones are returned in the meantime, so they are counted as they are granted.
    assert_eq!(granted.len(), 320, "machines that nobody was granted");
}

/// Guards against taking what a newer version wrote for nothing: its machines' tasks would be started
/// again, and a job's tasks stopped as nobody's.
#[test]
fn records_that_are_not_understood_count_as_the_worst_they_may_be() {
    let mut world = World::new(77, Trouble::default());
    for n in 0..6 {
        let job = JobSpec { shape: Shape::Array, zone: None, gpus: 0.0, ..world.random_job(n) };
        world.submit(JobSpec { tasks: 60, team: "green".into(), ..job });
    }
    world.run(Micros::from_secs(40));
    let keys = world.store.keys.iter();
    let spoilt: Vec<(String, Value)> = keys
        .filter(|(k, _)| k.starts_with(records::BLOCKS_PREFIX) || k.ends_with("j-000002"))
        .map(|(k, v)| (k.clone(), v.0.clone()))
        .collect();
    assert!(spoilt.len() >= 2);
    let write = |world: &mut World, what: &dyn Fn(&Value) -> Value| {
        for (key, value) in &spoilt {
            if world.store.keys.contains_key(key) {
                let writes = vec![Write::put(key.clone(), what(value))];
                world.store.commit(Transaction { conditions: Vec::new(), writes });
            }
        }
    };
    write(&mut world, &|_| serde_json::json!({ "v": 99 }));
    (0..3).for_each(|n| world.crash(n));
    // What was on its way arrives; then nothing may change for as long as the workers' leases last.
    let pause = |world: &mut World, seconds| world.run(world.now + Micros::from_secs(seconds));
    pause(&mut world, 1);
    let there = |w: &World| -> Vec<(String, TaskId)> {
        let all = w.workers.iter().flat_map(|(name, m)| m.tasks.keys().map(|t| (name.clone(), t.clone())));
        all.collect()
    };
    let before = there(&world);
    assert!(!before.is_empty());
    pause(&mut world, 10);
    assert_eq!(there(&world), before, "tasks were started or stopped though nobody knows what runs");
    write(&mut world, &Value::clone);
    pause(&mut world, 400);
    for (id, wish) in &world.jobs {
        assert!(wish.told_final.is_some(), "{id} is not over\n{}", world.describe(id));
    }
}

/// A cluster of the size that deployments have grown to: many controllers, hundreds of machines, gangs
/// that need sixteen of them whole, arrays of a thousand tasks. The stand-ins check values, transactions
/// and rules; here also that work per controller does not grow with the events.
#[test]
fn a_grown_cluster_keeps_the_rules_and_its_work_within_bounds() {
    let trouble = Trouble { crash: 0.01, machine_dies: 0.05, machine_cut: 0.1, ..Default::default() };
    let mut world = World::sized(20, trouble, Size { controllers: 7, machines: 400 });
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
    world.calm_after = world.now;
    world.run(Micros::from_secs(260));
    for (id, wish) in &world.jobs {
        let told = format!("{id} is not over: {:?}", wish.spec);
        assert!(wish.told_final.is_some(), "{told}\n{}", world.describe(id));
    }
    for (n, c) in world.controllers.iter().enumerate() {
        let Some(c) = c else { continue };
        let seconds = world.now.since(world.booted[n]).as_secs_f64();
        let passes = c.counters.placement_passes as f64 / seconds;
        assert!(passes < 12.0, "{passes} passes a second over all waiting jobs");
    }
}

/// Guards the sharing of the store's limits where there is nobody to share them with.
#[test]
fn a_single_controller_does_all_the_work_also_after_it_has_ended() {
    let mut world = World::sized(12, Trouble::default(), Size { controllers: 1, machines: 6 });
    world.run(Micros::from_secs(5));
    for n in 0..4 {
        let job = JobSpec { shape: Shape::Array, zone: None, gpus: 0.0, ..world.random_job(n) };
        world.submit(JobSpec { tasks: 20, team: "green".into(), ..job });
    }
    world.run(Micros::from_secs(30));
    world.crash(0);
    world.run(Micros::from_secs(200));
    assert!(world.jobs.values().all(|j| j.told_final.is_some()), "{}", world.describe("j-000000"));
}

/// Guards against a task run twice: in a state outage an owner took a machine for silent that had been
/// granted to another just before, which the owner could not know, and started its tasks elsewhere.
#[test]
fn no_machine_is_taken_for_silent_on_old_knowledge() {
    let mut world = World::new(13, Trouble::default());
    for n in 0..4 {
        let job = JobSpec { shape: Shape::Array, zone: None, gpus: 0.0, ..world.random_job(n) };
        world.submit(JobSpec { tasks: 400, team: "green".into(), ..job });
    }
    world.run(Micros::from_secs(30));
    let lapses =
        |w: &World| w.controllers.iter().flatten().map(|c| c.counters.lease_expirations).sum::<u64>();
    assert_eq!(lapses(&world), 0);
    let busy = world.workers.iter().find(|(_, w)| !w.tasks.is_empty()).unwrap().0.clone();
    world.workers.get_mut(&busy).unwrap().cut_until = Micros::from_secs(90);
    world.befalls(Spell::StoreDown, Micros::from_secs(50));
    world.run(Micros::from_secs(50));
    assert_eq!(lapses(&world), 0, "concluded without a word from the store");
    world.run(Micros::from_secs(60));
    assert!(lapses(&world) > 0, "never concluded");
}
