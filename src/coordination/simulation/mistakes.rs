//! Jobs submitted with a mistake, which fail wherever they run, beside machines on which everything fails.

use super::*;

/// Twenty-four machines, two of them faulty, and jobs of all shapes of which four are mistaken, while a controller
/// ends: no healthy machine is ever set apart or returned for them, nothing is rented, and all others get done.
///
/// Guards against blame for whoever is nearest: three errors in a row set a machine apart, whatever had failed
/// there, and six good machines were returned for one mistaken array.
#[test]
fn mistaken_jobs_cost_no_machine_and_hold_nothing_up() {
    for seed in 0..6 {
        let mut world = World::sized(seed, FaultProfile::default(), Size { controllers: 3, machines: 26 });
        let machines: Vec<String> = (0..24)
            .map(|n| world.add_machine(if n < 18 { "c16" } else { "g8" }, ["east", "west"][n % 2], false))
            .collect();
        world.run(Micros::from_secs(5));
        let faulty: Vec<String> = vec![machines[3].clone(), machines[8].clone()];
        faulty.iter().for_each(|name| world.workers.get_mut(name).unwrap().faulty = true);
        let mut mistaken = Vec::new();
        for n in 0..16 {
            let mut spec = world.random_job(n);
            if spec.shape == Shape::Service {
                spec.shape = Shape::Array;
            }
            if n % 4 == 0 {
                spec.shape = [Shape::Array, Shape::Gang, Shape::Array, Shape::Service][n as usize / 4 % 4];
                spec.tasks = [20, 4, 1, 2][n as usize / 4 % 4];
                world.mistaken.insert(spec.id.clone());
                mistaken.push(spec.id.clone());
            }
            world.submit(spec);
            world.run(world.now + Micros::from_secs(2));
        }
        let n = world.rng.random_range(0..3);
        world.crash(n);
        let before = world.started;
        let mut left = true;
        while left && world.now < Micros::from_secs(400) {
            world.run(world.now + Micros::from_millis(500));
            left = world
                .jobs
                .iter()
                .any(|(id, w)| !mistaken.contains(id) && w.told_final.is_none() && !w.refused);
            for c in world.controllers.iter().flatten() {
                for (name, m) in c.machines.iter().filter(|(name, _)| machines.contains(name)) {
                    let wronged = m.quarantined && !faulty.contains(name);
                    assert!(!wronged, "seed {seed}: {name} is set apart for jobs that fail everywhere");
                }
            }
        }
        for (id, wish) in world.jobs.iter().filter(|(id, _)| !mistaken.contains(id)) {
            assert!(
                wish.refused || wish.told_final.is_some(),
                "seed {seed}: {id} is not over\n{}",
                world.describe_job(id)
            );
        }
        // Ten more minutes of tries: they become rare, and the users can still cancel.
        let (so_far, from) = (world.started, world.now);
        world.run(from + Micros::from_secs(600));
        let tries = world.started - so_far;
        assert!(
            tries < 400,
            "seed {seed}: {tries} tries of four mistaken jobs in ten minutes, {before} before"
        );
        mistaken.iter().for_each(|id| world.jobs.get_mut(id).unwrap().wants_withdrawal = true);
        world.run(world.now + Micros::from_secs(40));
        for id in &mistaken {
            assert!(
                world.jobs[id].told_final.is_some(),
                "seed {seed}: {id} is not over\n{}",
                world.describe_job(id)
            );
        }
    }
}
