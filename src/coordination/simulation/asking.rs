//! Users who ask far more often than anything changes.

use super::*;

/// How long, from an end of all controllers on, the longest time without an answered question is, in seconds, with
/// this many jobs that are over, and how many requests the store has had for it.
fn after_an_end_of_all(seed: u64, jobs: u32) -> (f64, u64) {
    let mut world = World::sized(seed, FaultProfile::default(), Size { controllers: 3, machines: 24 });
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
    assert!(world.jobs.values().all(|w| w.told_final.is_some()), "seed {seed}: not all are over");
    let (from, calls) = (world.now, world.store_calls);
    (0..3).for_each(|n| world.crash_for(n, Micros::from_millis(300)));
    let mut longest = Micros::ZERO;
    for _ in 0..60 {
        world.run(world.now + Micros::from_secs(1));
        let waits = world.jobs.values().map(|w| world.now.since(w.answered.max(from)));
        longest = longest.max(waits.max().unwrap_or_default());
    }
    (longest.as_secs_f64(), world.store_calls - calls)
}

/// Guards questions about jobs that are over against an end of all controllers, after which none of them has a final
/// state in memory: one by one each would cost two requests at each controller.
#[test]
fn after_an_end_of_all_every_question_is_answered_soon() {
    for seed in 0..2 {
        let (longest, calls) = after_an_end_of_all(seed, 600);
        eprintln!("longest {longest} s without an answer, {calls} calls");
        assert!(longest <= 20.0, "seed {seed}: {longest} s without an answer");
    }
}
