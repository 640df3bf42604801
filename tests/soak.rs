//! Soak test: real controller processes over loopback, with simulated surroundings and seeded random faults.
//!
//! The workers, the users, the state service, the cloud and the network between controllers are simulated in this
//! process.
//!
//! `cargo test --release --test soak -- --seeds 50` runs fifty seeds; `--from N` sets the first seed and `--at-once N`
//! the number of concurrent runs. Without arguments the seeds for CI run. A seed always produces the same schedule of
//! faults, but the interleaving of the processes differs from run to run. The exit code is 1 if a rule was broken or a
//! run did not reach the required coverage, and 2 for invalid arguments.
//!
//! The checks use what the workers ran and what the users were answered (`soak/history.rs`, which `soak_checks.rs` tests
//! separately). Latency is not checked. A wait of 90 s without faults is not checked either, as a run is too short for
//! it: here a job is neglected if none of its tasks ran during the last 25 s of the run, with the faults over, though
//! its team's limits allowed a start.

#[path = "soak/cloud.rs"]
mod cloud;
#[path = "soak/controllers.rs"]
mod controllers;
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/history.rs"]
mod history;
#[path = "soak/link_proxies.rs"]
mod link_proxies;
#[path = "soak/ports.rs"]
mod ports;
#[path = "soak/rig.rs"]
mod rig;
#[path = "soak/run.rs"]
mod run;
#[path = "soak/schedule.rs"]
mod schedule;
#[path = "soak/state_service.rs"]
mod state_service;
#[path = "soak/users.rs"]
mod users;
#[path = "soak/worker.rs"]
mod worker;

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::task::JoinSet;

use run::Outcome;

/// Number of seeds without `--seeds`: CI runs them beside the other tests.
const CI_SEEDS: u64 = 2;
/// Maximum number of seeds per command and of concurrent runs; each run has three controllers and about forty sockets.
const MAX_SEEDS: u64 = 10_000;
const MAX_AT_ONCE: u64 = 16;
/// Fraction of a limit, in thousandths, that at least one team must reach during a run.
const MIN_PEAK_USAGE: u64 = 950;

struct Arguments {
    seeds: u64,
    from: u64,
    at_once: u64,
}

/// Parses the command line and ignores the flags of the standard test runner. `None` if no seed is to be run.
fn parse_arguments() -> Result<Option<Arguments>, String> {
    let mut parsed = Arguments { seeds: CI_SEEDS, from: 1, at_once: 2 };
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        let mut number = |flag: &str, min: u64, max: u64| {
            let text = args.next().unwrap_or_default();
            let number = text.parse::<u64>().ok().filter(|n| (min..=max).contains(n));
            number.ok_or(format!("{flag}: a number from {min} to {max}, not \"{text}\""))
        };
        match arg.as_str() {
            "--seeds" => parsed.seeds = number("--seeds", 1, MAX_SEEDS)?,
            "--from" => parsed.from = number("--from", 0, u64::MAX >> 1)?,
            "--at-once" => parsed.at_once = number("--at-once", 1, MAX_AT_ONCE)?,
            "--skip" | "--test-threads" => drop(args.next()),
            "--list" => return Ok(None),
            // A test name filter, meant for tests in other files.
            name if !name.starts_with('-') => return Ok(None),
            _ => {}
        }
    }
    Ok(Some(parsed))
}

fn print_outcome(outcome: &Outcome) {
    let stats = &outcome.statistics;
    println!(
        "seed {}: {} broken; {} starts, {} jobs accepted, {} done, {} unfinished, {} cancelled during faults, {} late starts, {} leaders, \
         peak {}.{}% of a limit, {} copies of orders, {} of them taken, rig late by {} ms",
        outcome.seed,
        outcome.violations.len(),
        stats.starts,
        stats.accepted,
        stats.done,
        stats.unfinished,
        stats.confirmed_cancellations,
        stats.starts_after_cancellation,
        outcome.leaders,
        stats.peak_usage / 10,
        stats.peak_usage % 10,
        outcome.copies.0,
        outcome.copies.1,
        outcome.max_delay_ms
    );
    if outcome.port_conflict {
        println!("  its ports were taken: it counts for nothing");
    }
    for violation in outcome.violations.iter().take(12) {
        println!("  {} at {} ms: {}", violation.rule, violation.at, violation.details);
    }
    if !outcome.violations.is_empty() {
        println!(
            "  logs: {}; play the schedule again: --from {} --seeds 1",
            outcome.logs.display(),
            outcome.seed
        );
        for entry in &outcome.schedule {
            println!("    {} ms, for {}: {:?}", entry.at, entry.duration, entry.fault);
        }
    }
}

/// Checks that the run exercised what it has to: usage near a limit, a change of leader, a cancellation under faults, a
/// copy of answered orders.
fn check_coverage(outcome: &Outcome) -> Result<(), String> {
    let stats = &outcome.statistics;
    let missing = |what: &str| Err(format!("seed {}: {what}", outcome.seed));
    if stats.peak_usage < MIN_PEAK_USAGE {
        return missing("no team came within a twentieth of a limit");
    }
    if outcome.leaders < 2 {
        return missing("the leader did not change");
    }
    if stats.confirmed_cancellations == 0 {
        return missing("no cancellation was confirmed during the faults");
    }
    if outcome.copies.0 == 0 {
        return missing("no copy of answered orders arrived");
    }
    Ok(())
}

async fn run_all(arguments: &Arguments) -> std::io::Result<bool> {
    let started_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
    let folder = std::env::temp_dir().join(format!("marblewalk-soak-{}-{started_ms}", std::process::id()));
    let seeds = arguments.from..arguments.from.saturating_add(arguments.seeds);
    let mut pending_seeds = seeds.clone();
    let mut running = JoinSet::new();
    let (mut violations_by_rule, mut coverage_failures, mut stalled_runs, mut finished) =
        (BTreeMap::new(), Vec::new(), 0, 0);
    let mut copies_taken = 0;
    loop {
        while running.len() < arguments.at_once as usize
            && let Some(seed) = pending_seeds.next()
        {
            running.spawn(run::run_seed(seed, folder.join(seed.to_string())));
        }
        let Some(outcome) = running.join_next().await else { break };
        let outcome = outcome.map_err(std::io::Error::other)??;
        finished += 1;
        print_outcome(&outcome);
        println!("  {finished} of {} played", arguments.seeds);
        copies_taken += outcome.copies.1;
        stalled_runs += u64::from(outcome.max_delay_ms > run::STALL_MS);
        if outcome.port_conflict {
            coverage_failures.push(format!("seed {}: its ports were taken", outcome.seed));
            continue;
        }
        for violation in &outcome.violations {
            *violations_by_rule.entry(violation.rule).or_insert(0u64) += 1;
        }
        if let Err(what) = check_coverage(&outcome) {
            coverage_failures.push(what);
        }
        if outcome.violations.is_empty() {
            let _ = std::fs::remove_dir_all(&outcome.logs);
        }
    }
    if copies_taken == 0 {
        coverage_failures.push("no copy of answered orders was taken in any run".to_owned());
    }
    println!(
        "{finished} seeds; broken by rule: {violations_by_rule:?}; {stalled_runs} runs in which the rig itself stood still"
    );
    coverage_failures.iter().for_each(|what| println!("not met: {what}"));
    let _ = std::fs::remove_dir(&folder);
    Ok(violations_by_rule.is_empty() && coverage_failures.is_empty())
}

fn main() -> ExitCode {
    let arguments = match parse_arguments() {
        Ok(Some(arguments)) => arguments,
        Ok(None) => return ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("{problem}");
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let passed = runtime.and_then(|runtime| runtime.block_on(run_all(&arguments)));
    match passed {
        Ok(true) => {
            println!("test result: ok. {} passed; 0 failed", arguments.seeds);
            ExitCode::SUCCESS
        }
        Ok(false) => ExitCode::from(1),
        Err(problem) => {
            eprintln!("{problem}");
            ExitCode::from(1)
        }
    }
}
