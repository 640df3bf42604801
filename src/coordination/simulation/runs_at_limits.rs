//! Random runs in which every team has more work, of all shapes, than either of its limits allows, under any two kinds
//! of fault and with controllers that stall between a decision and its sending.

use super::fault_pairs::{combined_profile, fault_pairs};
use super::quota_fault_combinations::{
    cluster_with_work_beyond_limits, request_withdrawal, run_for, running_jobs,
};
use super::*;

/// The first run's seed.
const FIRST_SEED: u64 = 2_000_000;
/// The rate of stalls before sending.
const STALLS_PER_SECOND: f64 = 0.02;
/// The time in which all remaining work completes in calm. A team runs it on three accelerators at a time, so it is
/// long.
const DRAIN_TIME_S: u64 = 1_500;
/// The number of rounds in a run, each of up to four seconds.
const ROUNDS: u32 = 40;

/// A random job of any shape for one of the teams, larger than what remains of the team's limits.
fn job_beyond_limits(world: &mut World, n: u32) -> JobSpec {
    let team = ["blue", "green", "red"][n as usize % 3];
    let spec = world.random_job(n);
    let accelerators = f64::from(u32::from(world.rng.random_bool(0.4)));
    let tasks = match spec.shape {
        Shape::Array => world.rng.random_range(4..20),
        _ => spec.tasks.min(3),
    };
    let cpus = f64::from(world.rng.random_range(1..4u32));
    JobSpec { team: team.into(), tasks, cpus, gpus: accelerators, zone: None, ..spec }
}

/// Makes a random controller stall before sending, at the rate `STALLS_PER_SECOND`, for up to as long as leases last.
fn maybe_stall(world: &mut World, seconds: f64) {
    if world.chance(STALLS_PER_SECOND * seconds) {
        let node = world.rng.random_range(0..world.settings.len());
        let length = Micros(world.rng.random_range(200 * MS..25 * S));
        world.begin_fault(TimedFault::PausedBeforeSending(node), world.now + length);
    }
}

/// Runs one seed. After a calm period at the end, every accepted job must be done or withdrawn.
fn run_seed(seed: u64, profile: FaultProfile) -> World {
    let (mut world, mut n) = cluster_with_work_beyond_limits(seed);
    run_for(&mut world, Micros::from_secs(25));
    world.set_fault_profile(profile);
    world.task_run_time = 5 * S..40 * S;
    let mut endless = Vec::new();
    for _ in 0..ROUNDS {
        n += 1;
        let spec = job_beyond_limits(&mut world, n);
        if spec.shape == Shape::Service {
            endless.push(spec.id.clone());
        }
        world.submit(spec);
        let jobs = running_jobs(&world);
        if !jobs.is_empty() && world.rng.random_bool(0.4) {
            let id = jobs[world.rng.random_range(0..jobs.len())].clone();
            let by = world.rng.random_range(0..world.settings.len());
            request_withdrawal(&mut world, by, &id);
        }
        let length = Micros(world.rng.random_range(500 * MS..4 * S));
        maybe_stall(&mut world, length.as_secs_f64());
        run_for(&mut world, length);
    }
    world.fault_free_from = world.now;
    world.task_run_time = S..5 * S;
    endless.into_iter().for_each(|id| world.jobs.get_mut(&id).unwrap().wants_withdrawal = true);
    world.workers.values_mut().for_each(|w| w.faulty = false);
    world.expect_all_jobs_to_end(DRAIN_TIME_S, &format!("seed {seed}"));
    world
}

/// Runs `count` seeds beginning with `from`, each under the next pair of faults.
fn run_seeds(from: u64, count: u64) {
    let pairs = fault_pairs();
    let run = |seed: u64| {
        let (name, profile) = combined_profile(pairs[(seed - FIRST_SEED) as usize % pairs.len()]);
        (name, seed, profile)
    };
    super::fault_injection::run_each_with((from..from + count).map(run).collect(), |seed, profile| {
        drop(run_seed(seed, profile));
    });
}

/// Guards both limits of every team under any two kinds of fault and stalls; with `MARBLEWALK_SOAK`, in that many times
/// as many runs.
#[test]
fn teams_at_both_limits_stay_within_them_under_any_two_kinds_of_fault() {
    run_seeds(FIRST_SEED, 12 * super::fault_injection::soak_factor());
}

/// Guards against a check of total usage that is skipped too often to detect anything. It is skipped where a controller
/// counts more usage than there is; under two kinds of fault and stalls, with every team at its limits, it must be made
/// in more than half of the rounds. (d0f2704 narrowed it: a controller that had not followed the store counted unknown
/// tasks as using all that was left of their machine, although no limit was exceeded.)
#[test]
fn total_usage_is_checked_in_most_rounds() {
    let (mut checked, mut skipped) = (0, 0);
    for seed in FIRST_SEED..FIRST_SEED + 4 {
        let (_, profile) = combined_profile(fault_pairs()[(seed - FIRST_SEED) as usize]);
        let world = run_seed(seed, profile);
        for controller in world.controllers.iter().flatten() {
            let (compared, not_compared) = controller.quota_guard.usage_checks();
            (checked, skipped) = (checked + compared, skipped + not_compared);
        }
    }
    eprintln!("total usage checked {checked} times, skipped {skipped} times");
    assert!(checked > skipped, "checked {checked} times, skipped {skipped} times");
}

/// Repeats one run: `MARBLEWALK_SEED=2000001 cargo test replay_at_limits -- --ignored --nocapture`.
#[test]
#[ignore = "repeats the run with the seed in MARBLEWALK_SEED"]
fn replay_at_limits() {
    let seed = std::env::var("MARBLEWALK_SEED").unwrap().parse().unwrap();
    run_seeds(seed, 1);
}
