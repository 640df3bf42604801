//! Every trouble that a random run may draw: each alone, every two, and all at once.

use super::*;

/// The first pair's first seed, and how many seeds each pair may have.
const FIRST_SEED: u64 = 100_000;
const SEEDS_PER_PAIR: u64 = 1_000;

/// Adds a trouble to a run's.
type EnableFault = fn(&mut FaultProfile);

/// Every trouble that a random run may draw, each by itself at odds at which it is met several times in a run. New ones
/// come last, so that the pairs before them keep their seeds.
fn all_faults() -> Vec<(&'static str, EnableFault)> {
    vec![
        ("crash", |t| t.crash = 0.03),
        ("crash_all", |t| t.crash_all = 0.015),
        ("machine_dies", |t| t.machine_dies = 0.03),
        ("machine_cut", |t| t.machine_cut = 0.05),
        ("machine_hangs", |t| t.machine_hangs = 0.05),
        ("faulty", |t| t.faulty = 0.01),
        ("spot_preempted", |t| t.spot_preempted = 0.2),
        ("store_outage", |t| t.store_outage = 0.02),
        ("store_refuses_one", |t| t.store_refuses_one = 0.03),
        ("store_slow", |t| t.store_slow = 0.02),
        ("refusal_then_outage", |t| t.refusal_then_outage = 0.01),
        ("cloud_outage", |t| t.cloud_outage = 0.02),
        ("peers_partitioned", |t| t.peers_partitioned = 0.04),
        ("lost", |t| (t.lost, t.late) = (0.02, 0.6)),
        ("late_writes", |t| t.late_writes = 0.15),
        ("duplicate_reports", |t| t.duplicate_reports = 0.3),
        ("repeated_requests", |t| t.repeated_requests = 0.3),
        ("process_pause", |t| t.process_pause = 0.02),
        ("isolated", |t| t.isolated = 0.02),
        ("delayed_orders", |t| t.delayed_orders = 0.2),
        ("not_receiving", |t| t.not_receiving = 0.06),
        ("reboots", |t| t.reboots = 0.04),
        ("broken_jobs", |t| t.broken_jobs = 0.15),
        ("answers_lost", |t| t.answers_lost = 0.15),
        ("kept_reports", |t| (t.kept_reports, t.crash) = (0.3, t.crash.max(0.05))),
        ("blocked_reports", |t| t.blocked_reports = 0.06),
        ("withdraw_running", |t| t.withdraw_running = 0.05),
        ("withdraw_at_end", |t| t.withdraw_at_end = 0.4),
        ("quick_boots", |t| t.quick_boots = true),
        ("zone_cut", |t| t.zone_cut = 0.015),
        ("all_controllers_down", |t| t.all_controllers_down = 0.01),
        ("leader_crashes", |t| t.leader_crashes = true),
        ("slow_links", |t| t.slow_links = true),
        ("query_everywhere", |t| t.query_everywhere = 0.5),
        ("invalid_requests", |t| t.invalid_requests = 0.5),
    ]
}

/// Every two troubles: their numbers in the list. The first troubles' come first, as they were numbered when there were
/// no more; then those of each later trouble with all before it.
pub(super) fn fault_pairs() -> Vec<(usize, usize)> {
    let first = 23;
    let mut pairs: Vec<_> = (0..first).flat_map(|i| (i + 1..first).map(move |j| (i, j))).collect();
    pairs.extend((first..all_faults().len()).flat_map(|j| (0..j).map(move |i| (i, j))));
    pairs
}

/// The two troubles of a pair together, with a third of the jobs withdrawn, and the pair's name.
pub(super) fn combined_profile((i, j): (usize, usize)) -> (String, FaultProfile) {
    let faults = all_faults();
    let mut profile = FaultProfile { withdrawn: 0.3, ..Default::default() };
    faults[i].1(&mut profile);
    faults[j].1(&mut profile);
    (format!("{} and {}", faults[i].0, faults[j].0), profile)
}

/// Plays every two troubles together; `part` of `of` of the pairs. Each pair has seeds of its own.
fn run_pairs(part: usize, of: usize) {
    let mut runs = Vec::new();
    for (n, pair) in fault_pairs().into_iter().enumerate().filter(|(n, _)| n % of == part) {
        let (name, profile) = combined_profile(pair);
        let first = FIRST_SEED + SEEDS_PER_PAIR * n as u64;
        runs.extend(
            (first..first + super::troubles::soak_factor()).map(|seed| (name.clone(), seed, profile)),
        );
    }
    super::troubles::run_each(runs);
}

/// Plays the runs of pairs that these seeds name.
pub(super) fn run_pair_seeds(seeds: &[u64]) {
    let runs = seeds.iter().map(|seed| {
        let (name, profile) =
            combined_profile(fault_pairs()[((seed - FIRST_SEED) / SEEDS_PER_PAIR) as usize]);
        (name, *seed, FaultProfile { checks_neglect: true, ..profile })
    });
    super::troubles::run_each(runs.collect());
}

/// Plays one run of a pair again: `MARBLEWALK_SEED=267001 cargo test replay_a_pair -- --ignored --nocapture`.
#[test]
#[ignore = "plays the run of a pair that MARBLEWALK_SEED names"]
fn replay_a_pair() {
    let seed: u64 = std::env::var("MARBLEWALK_SEED").unwrap().parse().unwrap();
    let (name, profile) = combined_profile(fault_pairs()[((seed - FIRST_SEED) / SEEDS_PER_PAIR) as usize]);
    eprintln!("{name}");
    super::troubles::run_random(seed, profile);
}

/// Guards the troubles themselves: one that is drawn and met by nothing guards nothing. Each is drawn alone.
#[test]
fn every_trouble_drawn_alone_is_met() {
    for (n, (name, enable)) in all_faults().into_iter().enumerate() {
        let mut alone = FaultProfile::default();
        enable(&mut alone);
        let met = |seed| {
            super::troubles::run_random(seed, alone).met.troubles.get(name).copied().unwrap_or_default()
        };
        let met: u32 = (0..3).map(|seed| met(90_000 + 10 * n as u64 + seed)).sum();
        eprintln!("{name}: {met}");
        assert!(met > 0, "{name} was not met");
    }
}

/// Guards every rule against all that may be drawn, at once: messages fast and slow, machines quick to be up and not, and
/// with a leader that lasts and one that ends every 12 s.
#[test]
fn all_that_may_be_drawn_at_once_breaks_no_rule() {
    let profile = FaultProfile {
        crash: 0.01,
        crash_all: 0.002,
        machine_dies: 0.005,
        machine_cut: 0.01,
        machine_hangs: 0.01,
        faulty: 0.002,
        spot_preempted: 0.02,
        store_outage: 0.003,
        store_refuses_one: 0.004,
        store_slow: 0.005,
        refusal_then_outage: 0.002,
        cloud_outage: 0.004,
        peers_partitioned: 0.006,
        lost: 0.004,
        late: 0.5,
        late_writes: 0.02,
        duplicate_reports: 0.06,
        repeated_requests: 0.06,
        process_pause: 0.004,
        isolated: 0.004,
        delayed_orders: 0.03,
        not_receiving: 0.01,
        reboots: 0.01,
        broken_jobs: 0.05,
        answers_lost: 0.02,
        kept_reports: 0.06,
        blocked_reports: 0.01,
        withdraw_running: 0.02,
        withdraw_at_end: 0.1,
        zone_cut: 0.003,
        all_controllers_down: 0.002,
        query_everywhere: 0.2,
        invalid_requests: 0.1,
        withdrawn: 0.2,
        ..Default::default()
    };
    let mut runs = Vec::new();
    for seed in 95_000..95_000 + 8 * super::troubles::soak_factor() {
        let leader_crashes = seed % 8 == 7;
        let profile =
            FaultProfile { quick_boots: seed % 2 == 1, slow_links: seed % 4 > 1, leader_crashes, ..profile };
        runs.push(("all".to_owned(), seed, profile));
    }
    super::troubles::run_each(runs);
}

/// Guards the check of what is forgotten: with the store away for 70 s when the last job had come, it took a job for
/// forgotten about which nobody could have answered.
#[test]
fn a_long_outage_at_the_end_of_a_run_is_not_taken_for_a_forgotten_job() {
    let profile = FaultProfile {
        store_refuses_one: 0.03,
        refusal_then_outage: 0.01,
        withdrawn: 0.3,
        ..Default::default()
    };
    super::troubles::run_random(249_015, profile);
}

/// Guards jobs in calm against waiting for 90 s beside a machine that fits while their team is under its limit. Pairs and
/// seeds in which one did: gangs and arrays of a team near its limits, whatever the troubles were.
#[test]
fn no_job_is_neglected_in_calm_after_two_troubles() {
    let runs = [128_001, 132_000, 171_000, 388_000, 431_000].map(|seed: u64| {
        let (i, j) = fault_pairs()[(seed as usize - 100_000) / 1_000];
        let mut profile = FaultProfile { withdrawn: 0.3, checks_neglect: true, ..Default::default() };
        all_faults()[i].1(&mut profile);
        all_faults()[j].1(&mut profile);
        (format!("{} and {}", all_faults()[i].0, all_faults()[j].0), seed, profile)
    });
    super::troubles::run_each(runs.into());
}

/// Every rule where any two troubles meet, cut in eight, so that they are played at once.
mod no_two_troubles_together_break_a_rule {
    use super::run_pairs;

    #[test]
    fn first_eighth() {
        run_pairs(0, 8);
    }

    #[test]
    fn second_eighth() {
        run_pairs(1, 8);
    }

    #[test]
    fn third_eighth() {
        run_pairs(2, 8);
    }

    #[test]
    fn fourth_eighth() {
        run_pairs(3, 8);
    }

    #[test]
    fn fifth_eighth() {
        run_pairs(4, 8);
    }

    #[test]
    fn sixth_eighth() {
        run_pairs(5, 8);
    }

    #[test]
    fn seventh_eighth() {
        run_pairs(6, 8);
    }

    #[test]
    fn last_eighth() {
        run_pairs(7, 8);
    }
}
