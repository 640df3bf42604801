//! Every trouble that a random run may draw: each alone, every two, and all at once.

use super::*;

/// The first pair's first seed, and how many seeds each pair may have.
const FIRST: u64 = 100_000;
const EACH: u64 = 1_000;

/// Adds a trouble to a run's.
type Brings = fn(&mut Trouble);

/// Every trouble that a random run may draw, each by itself at odds at which it is met several times in a run. New ones
/// come last, so that the pairs before them keep their seeds.
fn troubles() -> Vec<(&'static str, Brings)> {
    vec![
        ("crash", |t| t.crash = 0.03),
        ("crash_all", |t| t.crash_all = 0.015),
        ("machine_dies", |t| t.machine_dies = 0.03),
        ("machine_cut", |t| t.machine_cut = 0.05),
        ("machine_hangs", |t| t.machine_hangs = 0.05),
        ("faulty", |t| t.faulty = 0.01),
        ("spot_taken", |t| t.spot_taken = 0.2),
        ("store_outage", |t| t.store_outage = 0.02),
        ("store_refuses_one", |t| t.store_refuses_one = 0.03),
        ("store_slow", |t| t.store_slow = 0.02),
        ("gap", |t| t.gap = 0.01),
        ("cloud_outage", |t| t.cloud_outage = 0.02),
        ("peers_apart", |t| t.peers_apart = 0.04),
        ("lost", |t| (t.lost, t.late) = (0.02, 0.6)),
        ("late_writes", |t| t.late_writes = 0.15),
        ("late_reports", |t| t.copies = 0.3),
        ("repeats", |t| t.repeats = 0.3),
        ("stands_still", |t| t.stands_still = 0.02),
        ("isolated", |t| t.isolated = 0.02),
        ("held_up", |t| t.held_up = 0.2),
        ("deaf", |t| t.deaf = 0.06),
        ("reboots", |t| t.reboots = 0.04),
        ("mistaken", |t| t.mistaken = 0.15),
        ("answers_lost", |t| t.answers_lost = 0.15),
        ("kept_reports", |t| (t.kept_reports, t.crash) = (0.3, t.crash.max(0.05))),
        ("mute", |t| t.mute = 0.06),
        ("call_off", |t| t.call_off = 0.05),
        ("at_end", |t| t.at_end = 0.4),
        ("quick_boots", |t| t.quick_boots = true),
        ("zone_cut", |t| t.zone_cut = 0.015),
        ("all_away", |t| t.all_away = 0.01),
        ("leaders", |t| t.leaders = true),
        ("slow_links", |t| t.slow_links = true),
        ("looks", |t| t.looks = 0.5),
        ("odd", |t| t.odd = 0.5),
    ]
}

/// Every two troubles: their numbers in the list. The first troubles' come first, as they were numbered when there were
/// no more; then those of each later trouble with all before it.
pub(super) fn pairs() -> Vec<(usize, usize)> {
    let first = 23;
    let mut pairs: Vec<_> = (0..first).flat_map(|i| (i + 1..first).map(move |j| (i, j))).collect();
    pairs.extend((first..troubles().len()).flat_map(|j| (0..j).map(move |i| (i, j))));
    pairs
}

/// The two troubles of a pair together, with a third of the jobs withdrawn, and the pair's name.
pub(super) fn both((i, j): (usize, usize)) -> (String, Trouble) {
    let troubles = troubles();
    let mut both = Trouble { withdrawn: 0.3, ..Default::default() };
    troubles[i].1(&mut both);
    troubles[j].1(&mut both);
    (format!("{} and {}", troubles[i].0, troubles[j].0), both)
}

/// Plays every two troubles together; `part` of `of` of the pairs. Each pair has seeds of its own.
fn play_pairs(part: usize, of: usize) {
    let mut runs = Vec::new();
    for (n, pair) in pairs().into_iter().enumerate().filter(|(n, _)| n % of == part) {
        let (name, both) = both(pair);
        let first = FIRST + EACH * n as u64;
        runs.extend((first..first + super::troubles::soak()).map(|seed| (name.clone(), seed, both)));
    }
    super::troubles::play_each(runs);
}

/// Plays the runs of pairs that these seeds name.
pub(super) fn play_seeds(seeds: &[u64]) {
    let runs = seeds.iter().map(|seed| {
        let (name, trouble) = both(pairs()[((seed - FIRST) / EACH) as usize]);
        (name, *seed, Trouble { judges_neglect: true, ..trouble })
    });
    super::troubles::play_each(runs.collect());
}

/// Plays one run of a pair again: `MARBLEWALK_SEED=267001 cargo test replay_a_pair -- --ignored --nocapture`.
#[test]
#[ignore = "plays the run of a pair that MARBLEWALK_SEED names"]
fn replay_a_pair() {
    let seed: u64 = std::env::var("MARBLEWALK_SEED").unwrap().parse().unwrap();
    let (name, both) = both(pairs()[((seed - FIRST) / EACH) as usize]);
    eprintln!("{name}");
    super::troubles::play(seed, both);
}

/// Guards the troubles themselves: one that is drawn and met by nothing guards nothing. Each is drawn alone.
#[test]
fn every_trouble_drawn_alone_is_met() {
    for (n, (name, brings)) in troubles().into_iter().enumerate() {
        let mut alone = Trouble::default();
        brings(&mut alone);
        let met =
            |seed| super::troubles::play(seed, alone).coverage.faults.get(name).copied().unwrap_or_default();
        let met: u32 = (0..3).map(|seed| met(90_000 + 10 * n as u64 + seed)).sum();
        eprintln!("{name}: {met}");
        assert!(met > 0, "{name} was not met");
    }
}

/// Guards every rule against all that may be drawn, at once: messages fast and slow, machines quick to be up and not, and
/// with a leader that lasts and one that ends every 12 s.
#[test]
fn all_that_may_be_drawn_at_once_breaks_no_rule() {
    let trouble = Trouble {
        crash: 0.01,
        crash_all: 0.002,
        machine_dies: 0.005,
        machine_cut: 0.01,
        machine_hangs: 0.01,
        faulty: 0.002,
        spot_taken: 0.02,
        store_outage: 0.003,
        store_refuses_one: 0.004,
        store_slow: 0.005,
        gap: 0.002,
        cloud_outage: 0.004,
        peers_apart: 0.006,
        lost: 0.004,
        late: 0.5,
        late_writes: 0.02,
        copies: 0.06,
        repeats: 0.06,
        stands_still: 0.004,
        isolated: 0.004,
        held_up: 0.03,
        deaf: 0.01,
        reboots: 0.01,
        mistaken: 0.05,
        answers_lost: 0.02,
        kept_reports: 0.06,
        mute: 0.01,
        call_off: 0.02,
        at_end: 0.1,
        zone_cut: 0.003,
        all_away: 0.002,
        looks: 0.2,
        odd: 0.1,
        withdrawn: 0.2,
        ..Default::default()
    };
    let mut runs = Vec::new();
    for seed in 95_000..95_000 + 8 * super::troubles::soak() {
        let leaders = seed % 8 == 7;
        let trouble = Trouble { quick_boots: seed % 2 == 1, slow_links: seed % 4 > 1, leaders, ..trouble };
        runs.push(("all".to_owned(), seed, trouble));
    }
    super::troubles::play_each(runs);
}

/// Guards the check of what is forgotten: with the store away for 70 s when the last job had come, it took a job for
/// forgotten about which nobody could have answered.
#[test]
fn a_long_outage_at_the_end_of_a_run_is_not_taken_for_a_forgotten_job() {
    let both = Trouble { store_refuses_one: 0.03, gap: 0.01, withdrawn: 0.3, ..Default::default() };
    super::troubles::play(249_015, both);
}

/// Guards jobs in calm against waiting for 90 s beside a machine that fits while their team is under its limit. Pairs and
/// seeds in which one did: gangs and arrays of a team near its limits, whatever the troubles were.
#[test]
fn no_job_is_neglected_in_calm_after_two_troubles() {
    let runs = [128_001, 132_000, 171_000, 388_000, 431_000].map(|seed: u64| {
        let (i, j) = pairs()[(seed as usize - 100_000) / 1_000];
        let mut both = Trouble { withdrawn: 0.3, judges_neglect: true, ..Default::default() };
        troubles()[i].1(&mut both);
        troubles()[j].1(&mut both);
        (format!("{} and {}", troubles()[i].0, troubles()[j].0), seed, both)
    });
    super::troubles::play_each(runs.into());
}

/// Every rule where any two troubles meet, cut in eight, so that they are played at once.
mod no_two_troubles_together_break_a_rule {
    use super::play_pairs;

    #[test]
    fn first_eighth() {
        play_pairs(0, 8);
    }

    #[test]
    fn second_eighth() {
        play_pairs(1, 8);
    }

    #[test]
    fn third_eighth() {
        play_pairs(2, 8);
    }

    #[test]
    fn fourth_eighth() {
        play_pairs(3, 8);
    }

    #[test]
    fn fifth_eighth() {
        play_pairs(4, 8);
    }

    #[test]
    fn sixth_eighth() {
        play_pairs(5, 8);
    }

    #[test]
    fn seventh_eighth() {
        play_pairs(6, 8);
    }

    #[test]
    fn last_eighth() {
        play_pairs(7, 8);
    }
}
