//! Soak: real controllers over loopback, with stand-ins for all around them, under faults drawn from seeds.
//!
//! `cargo test --release --test soak -- --seeds 50` plays fifty seeds; `--from N` begins elsewhere, `--at-once N` says how
//! many at a time. A seed's schedule of faults is the same each time; how the processes interleave is not. Without
//! arguments the seeds of CI are played. It ends with 1 if a rule was broken, and with 2 for arguments that make no sense.
//!
//! What is judged is the workers' view of what ran and the users' answers (`soak/history.rs`, tested by itself in
//! `soak_judge.rs`). Not judged: whether anything was quick enough, and waiting for 90 s in calm, for which a run is too
//! short: here a job is neglected of which nothing has run for the last 25 s of calm though its team had room for it.

#[path = "soak/cloud.rs"]
mod cloud;
#[path = "soak/controllers.rs"]
mod controllers;
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/history.rs"]
mod history;
#[path = "soak/links.rs"]
mod links;
#[path = "soak/ports.rs"]
mod ports;
#[path = "soak/rig.rs"]
mod rig;
#[path = "soak/run.rs"]
mod run;
#[path = "soak/schedule.rs"]
mod schedule;
#[path = "soak/store.rs"]
mod store;
#[path = "soak/users.rs"]
mod users;
#[path = "soak/worker.rs"]
mod worker;

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::task::JoinSet;

use run::Outcome;

/// What is played where nothing is said: in CI, beside other tests.
const CI_SEEDS: u64 = 2;
/// The most seeds of one command, and at once: each has three controllers and some forty sockets.
const MOST_SEEDS: u64 = 10_000;
const MOST_AT_ONCE: u64 = 16;
/// Of its limit some team must have used so much at some time, in thousandths.
const NEAR_LIMIT: u64 = 950;

struct Arguments {
    seeds: u64,
    from: u64,
    at_once: u64,
}

/// Reads the arguments; those of the usual test runner are passed over. None: nothing is to be played.
fn arguments() -> Result<Option<Arguments>, String> {
    let mut read = Arguments { seeds: CI_SEEDS, from: 1, at_once: 2 };
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        let mut number = |what: &str, least: u64, most: u64| {
            let text = args.next().unwrap_or_default();
            let number = text.parse::<u64>().ok().filter(|n| (least..=most).contains(n));
            number.ok_or(format!("{what}: a number from {least} to {most}, not \"{text}\""))
        };
        match arg.as_str() {
            "--seeds" => read.seeds = number("--seeds", 1, MOST_SEEDS)?,
            "--from" => read.from = number("--from", 0, u64::MAX >> 1)?,
            "--at-once" => read.at_once = number("--at-once", 1, MOST_AT_ONCE)?,
            "--skip" | "--test-threads" => drop(args.next()),
            "--list" => return Ok(None),
            // A filter for tests of other files.
            name if !name.starts_with('-') => return Ok(None),
            _ => {}
        }
    }
    Ok(Some(read))
}

fn describe(outcome: &Outcome) {
    let f = &outcome.figures;
    println!(
        "seed {}: {} broken; {} starts, {} jobs accepted, {} done, {} unfinished, {} cancelled during faults, {} late starts, {} leaders, \
         peak {}.{}% of a limit, rig late by {} ms",
        outcome.seed,
        outcome.broken.len(),
        f.starts,
        f.accepted,
        f.done,
        f.unfinished,
        f.cancelled,
        f.late_starts,
        outcome.leaders,
        f.peak / 10,
        f.peak % 10,
        outcome.late_ms
    );
    if outcome.ports_taken {
        println!("  its ports were taken: it counts for nothing");
    }
    for broken in outcome.broken.iter().take(12) {
        println!("  {} at {} ms: {}", broken.rule, broken.at, broken.what);
    }
    if !outcome.broken.is_empty() {
        println!(
            "  logs: {}; play the schedule again: --from {} --seeds 1",
            outcome.logs.display(),
            outcome.seed
        );
        for entry in &outcome.schedule {
            println!("    {} ms, for {}: {:?}", entry.at, entry.lasts, entry.fault);
        }
    }
}

/// What a run is for took place in it.
fn met(outcome: &Outcome) -> Result<(), String> {
    let f = &outcome.figures;
    let lacks = |what: &str| Err(format!("seed {}: {what}", outcome.seed));
    if f.peak < NEAR_LIMIT {
        return lacks("no team came within a twentieth of a limit");
    }
    if outcome.leaders < 2 {
        return lacks("the leader did not change");
    }
    if f.cancelled == 0 {
        return lacks("no cancellation was confirmed during the faults");
    }
    Ok(())
}

async fn play_all(arguments: &Arguments) -> std::io::Result<bool> {
    let stamp = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
    let folder = std::env::temp_dir().join(format!("marblewalk-soak-{}-{stamp}", std::process::id()));
    let seeds = arguments.from..arguments.from.saturating_add(arguments.seeds);
    let mut waiting = seeds.clone();
    let mut playing = JoinSet::new();
    let (mut rules, mut unmet, mut stalled, mut over) = (BTreeMap::new(), Vec::new(), 0, 0);
    loop {
        while playing.len() < arguments.at_once as usize
            && let Some(seed) = waiting.next()
        {
            playing.spawn(run::play(seed, folder.join(seed.to_string())));
        }
        let Some(outcome) = playing.join_next().await else { break };
        let outcome = outcome.map_err(std::io::Error::other)??;
        over += 1;
        describe(&outcome);
        println!("  {over} of {} played", arguments.seeds);
        stalled += u64::from(outcome.late_ms > run::STALL_MS);
        if outcome.ports_taken {
            unmet.push(format!("seed {}: its ports were taken", outcome.seed));
            continue;
        }
        for broken in &outcome.broken {
            *rules.entry(broken.rule).or_insert(0u64) += 1;
        }
        if let Err(what) = met(&outcome) {
            unmet.push(what);
        }
        if outcome.broken.is_empty() {
            let _ = std::fs::remove_dir_all(&outcome.logs);
        }
    }
    println!("{over} seeds; broken by rule: {rules:?}; {stalled} runs in which the rig itself stood still");
    unmet.iter().for_each(|what| println!("not met: {what}"));
    let _ = std::fs::remove_dir(&folder);
    Ok(rules.is_empty() && unmet.is_empty())
}

fn main() -> ExitCode {
    let arguments = match arguments() {
        Ok(Some(arguments)) => arguments,
        Ok(None) => return ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("{problem}");
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let sound = runtime.and_then(|runtime| runtime.block_on(play_all(&arguments)));
    match sound {
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
