//! Users who send requests far more often than the states of their jobs change.

use super::*;

/// Restarts all controllers once the given number of jobs has ended.
///
/// Returns the longest time, in seconds, for which no request about some job was answered, and the number of requests
/// that the store received meanwhile.
fn longest_unanswered_after_restart(seed: u64, jobs: u32) -> (f64, u64) {
    let mut world =
        World::with_size(seed, FaultProfile::default(), ClusterSize { controllers: 3, machines: 24 });
    for _ in 0..24 {
        world.add_machine("c16", "east", false);
    }
    world.run(Micros::from_secs(5));
    for n in 0..jobs {
        let job =
            JobSpec { shape: Shape::Array, zone: None, gpus: 0.0, spread: false, ..world.random_job(n) };
        world.submit(JobSpec { tasks: 1, cpus: 0.5, memory_gb: 0.5, team: "green".into(), ..job });
        if n % 8 == 0 {
            world.run(world.now + Micros::from_secs(1));
        }
    }
    world.run(world.now + Micros::from_secs(120));
    assert!(world.jobs.values().all(|w| w.known_final.is_some()), "seed {seed}: not all jobs have ended");
    let (from, calls) = (world.now, world.store_calls);
    (0..3).for_each(|n| world.crash_for(n, Micros::from_millis(300)));
    let mut longest = Micros::ZERO;
    for _ in 0..60 {
        world.run(world.now + Micros::from_secs(1));
        let waits = world.jobs.values().map(|w| world.now.since(w.last_answered_at.max(from)));
        longest = longest.max(waits.max().unwrap_or_default());
    }
    (longest.as_secs_f64(), world.store_calls - calls)
}

/// Guards against slow answers about ended jobs after a crash of all controllers.
///
/// None of them has a final state in memory then, and looking the jobs up one by one would cost two requests per job at
/// each controller.
#[test]
fn after_a_crash_of_all_controllers_every_request_is_answered_soon() {
    for seed in 0..2 {
        let (longest, calls) = longest_unanswered_after_restart(seed, 600);
        eprintln!("longest {longest} s without an answer, {calls} calls");
        assert!(longest <= 20.0, "seed {seed}: {longest} s without an answer");
    }
}
