//! Broken jobs, which fail on every machine, beside faulty machines, on which every job fails.

use super::*;

/// Guards against healthy machines being quarantined for the failures of broken jobs.
///
/// Three errors in a row quarantined a machine, whichever jobs had failed there, and six healthy machines were returned
/// because of one broken array. In this test there are 24 machines, two of them faulty, and jobs of all shapes, four of
/// them broken, while a controller crashes: no healthy machine is ever quarantined or returned for them, no machine is
/// rented for them, and all other jobs finish.
#[test]
fn broken_jobs_quarantine_no_healthy_machine_and_delay_no_other_job() {
    for seed in 0..6 {
        let mut world =
            World::with_size(seed, FaultProfile::default(), ClusterSize { controllers: 3, machines: 26 });
        let machines: Vec<String> = (0..24)
            .map(|n| world.add_machine(if n < 18 { "c16" } else { "g8" }, ["east", "west"][n % 2], false))
            .collect();
        world.run(Micros::from_secs(5));
        let faulty: Vec<String> = vec![machines[3].clone(), machines[8].clone()];
        faulty.iter().for_each(|name| world.workers.get_mut(name).unwrap().faulty = true);
        let mut broken = Vec::new();
        for n in 0..16 {
            let mut spec = world.random_job(n);
            if spec.shape == Shape::Service {
                spec.shape = Shape::Array;
            }
            if n % 4 == 0 {
                spec.shape = [Shape::Array, Shape::Gang, Shape::Array, Shape::Service][n as usize / 4 % 4];
                spec.tasks = [20, 4, 1, 2][n as usize / 4 % 4];
                world.broken_jobs.insert(spec.id.clone());
                broken.push(spec.id.clone());
            }
            world.submit(spec);
            world.run(world.now + Micros::from_secs(2));
        }
        let n = world.rng.random_range(0..3);
        world.crash(n);
        let before = world.tasks_started;
        let mut unfinished = true;
        while unfinished && world.now < Micros::from_secs(400) {
            world.run(world.now + Micros::from_millis(500));
            unfinished = world
                .jobs
                .iter()
                .any(|(id, w)| !broken.contains(id) && w.known_final.is_none() && !w.rejected);
            for c in world.controllers.iter().flatten() {
                for (name, m) in c.machines.iter().filter(|(name, _)| machines.contains(name)) {
                    let wrongly_quarantined = m.quarantined && !faulty.contains(name);
                    assert!(
                        !wrongly_quarantined,
                        "seed {seed}: healthy machine {name} is quarantined for jobs that fail everywhere"
                    );
                }
            }
        }
        for (id, wish) in world.jobs.iter().filter(|(id, _)| !broken.contains(id)) {
            assert!(
                wish.rejected || wish.known_final.is_some(),
                "seed {seed}: {id} is not over\n{}",
                world.describe_job(id)
            );
        }
        // During ten more minutes retries become rare, and afterwards users can still withdraw the broken jobs.
        let (starts_before, from) = (world.tasks_started, world.now);
        world.run(from + Micros::from_secs(600));
        let retries = world.tasks_started - starts_before;
        assert!(
            retries < 400,
            "seed {seed}: {retries} retries of four broken jobs in ten minutes, {before} before"
        );
        broken.iter().for_each(|id| world.jobs.get_mut(id).unwrap().wants_withdrawal = true);
        world.run(world.now + Micros::from_secs(40));
        for id in &broken {
            assert!(
                world.jobs[id].known_final.is_some(),
                "seed {seed}: {id} is not over\n{}",
                world.describe_job(id)
            );
        }
    }
}
