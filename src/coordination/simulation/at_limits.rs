//! Random runs in which every team has more work than either of its limits allows, of all shapes, under any two troubles
//! and, beside them, controllers that stall between a decision and its sending.

use super::meetings_limits::{cluster_with_work_beyond_limits, request_withdrawal, run_for, running_jobs};
use super::pairs::{both, pairs};
use super::*;

/// The first run's seed.
const FIRST: u64 = 2_000_000;
/// How often a second a controller stalls before sending.
const STALLS: f64 = 0.02;
/// Seconds of calm in which all that is left gets done: three accelerators at a time do a team's.
const LONG_ENOUGH_S: u64 = 1_500;
/// Rounds of a run, each of up to four seconds.
const ROUNDS: u32 = 40;

/// A job of any shape for one of the teams, larger than what is left of its limits.
fn job(world: &mut World, n: u32) -> JobSpec {
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

/// A controller stalls before sending for up to as long as leases last, now and then.
fn stall(world: &mut World, seconds: f64) {
    if world.odds(STALLS * seconds) {
        let node = world.rng.random_range(0..world.settings.len());
        let length = Micros(world.rng.random_range(200 * MS..25 * S));
        world.befalls(Spell::StallsBeforeSending(node), world.now + length);
    }
}

/// Plays one run; it ends in calm, when all that was accepted and not withdrawn must be over.
fn play(seed: u64, trouble: Trouble) -> World {
    let (mut world, mut n) = cluster_with_work_beyond_limits(seed);
    run_for(&mut world, Micros::from_secs(25));
    world.bring(trouble);
    world.runs_for = 5 * S..40 * S;
    let mut endless = Vec::new();
    for _ in 0..ROUNDS {
        n += 1;
        let spec = job(&mut world, n);
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
        stall(&mut world, length.as_secs_f64());
        run_for(&mut world, length);
    }
    world.calm_after = world.now;
    world.runs_for = S..5 * S;
    endless.into_iter().for_each(|id| world.jobs.get_mut(&id).unwrap().wants_withdrawal = true);
    world.workers.values_mut().for_each(|w| w.faulty = false);
    world.all_over(LONG_ENOUGH_S, &format!("seed {seed}"));
    world
}

/// Plays so many runs from one on, each under the next pair of troubles.
fn play_runs(from: u64, count: u64) {
    let pairs = pairs();
    let run = |seed: u64| {
        let (name, trouble) = both(pairs[(seed - FIRST) as usize % pairs.len()]);
        (name, seed, trouble)
    };
    super::troubles::play_each_by((from..from + count).map(run).collect(), |seed, trouble| {
        drop(play(seed, trouble));
    });
}

/// Guards both limits of every team under any two troubles and stalls: `MARBLEWALK_SOAK` times as many runs.
#[test]
fn teams_at_both_limits_stay_within_them_under_any_two_troubles() {
    play_runs(FIRST, 12 * super::troubles::soak());
}

/// Guards the check of all usage, which is left out where a member counts more than runs: under two troubles and stalls, with
/// every team at its limits, it must be made in a good part of the rounds, or it guards nothing. (d0f2704 narrowed it: a
/// member that had not followed the store counted unknown tasks as all that their machine had left, and nothing had been
/// exceeded.)
#[test]
fn the_check_of_all_usage_is_made_in_a_good_part_of_the_rounds() {
    let (mut made, mut left_out) = (0, 0);
    for seed in FIRST..FIRST + 4 {
        let (_, trouble) = both(pairs()[(seed - FIRST) as usize]);
        let world = play(seed, trouble);
        for controller in world.controllers.iter().flatten() {
            let (compared, not) = controller.quota_guard.usage_checks();
            (made, left_out) = (made + compared, left_out + not);
        }
    }
    eprintln!("all usage compared {made} times, left out {left_out} times");
    assert!(made > left_out, "compared {made} times, left out {left_out} times");
}

/// Plays one run again: `MARBLEWALK_SEED=2000001 cargo test replay_at_limits -- --ignored --nocapture`.
#[test]
#[ignore = "plays the run that MARBLEWALK_SEED names"]
fn replay_at_limits() {
    let seed = std::env::var("MARBLEWALK_SEED").unwrap().parse().unwrap();
    play_runs(seed, 1);
}
