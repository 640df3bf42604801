//! How a team's limit is divided among the controllers whose jobs work under it.

/// One controller's share of a limit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Share {
    /// What it may use by the division in force; 0 where there is none.
    pub granted: u64,
    /// What its jobs' tasks use, or may use wherever they may be.
    pub used: u64,
    /// What its jobs could use.
    pub requested: u64,
    /// The least that lets any of them start something more: a task, or a gang as a whole.
    pub step: u64,
}

/// What each controller may use from now on. Where none has a share yet, the limit has only begun to be divided: nobody
/// may start anything, and each begins with what it uses.
///
/// While machines change hands a task counts wherever it may be, so that together they may seem to use more
/// than the limit. Then each may use what it does less all that is beyond the limit: whoever starts something
/// leaves so much unused that the others may go on with all of theirs.
pub(super) fn divide(limit: u64, shares: &[Share]) -> Vec<u64> {
    let fresh = shares.iter().all(|s| s.granted == 0);
    let mut next: Vec<u64> = shares.iter().map(|s| if fresh { s.used } else { s.granted }).collect();
    let total: u64 = next.iter().sum();
    if total > limit {
        // In proportion it would not do: two controllers kept what ran beyond their shares, and the third, whose
        // tasks had been counted twice, started as many as its share allowed: 41 of 40.
        next.iter_mut().for_each(|n| *n = n.saturating_sub(total - limit));
    }
    // What a member may use, or uses all the same, cannot be given to another.
    let bound: u64 = next.iter().zip(shares).map(|(n, s)| (*n).max(s.used)).sum();
    let mut spare = limit.saturating_sub(bound);
    let lacking: u64 = next.iter().zip(shares).map(|(n, s)| s.requested.saturating_sub(*n)).sum();
    let scarce = lacking > spare;
    for (next, share) in next.iter_mut().zip(shares) {
        // Less than a step would lie idle: three gangs of fifteen each kept thirteen of forty for ever.
        let helps = |granted: u64| granted.saturating_sub(share.used) >= share.step;
        let grow = share.requested.saturating_sub(*next).min(spare);
        if grow > 0 && helps(*next + grow) {
            *next += grow;
            spare -= grow;
        } else if scarce && !(share.requested > *next && helps(*next)) {
            // Others lack room: what is not wished for, or of no use, is given up, for the next division.
            let kept = if share.requested > *next { share.used } else { share.requested.max(share.used) };
            *next = (*next).min(kept);
        }
    }
    next
}

#[cfg(test)]
mod tests {
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    use super::*;

    /// Guards a team's limit: after a new view each controller was allotted what it seemed to use, tasks that
    /// may be in two places counted twice, and when the count fell it started as many more: 41 of 40.
    #[test]
    fn what_is_allotted_never_adds_up_to_more_than_the_limit() {
        for seed in 0..500 {
            let mut rng = StdRng::seed_from_u64(seed);
            let limit = rng.random_range(0..60_000u64);
            let mut shares = vec![Share::default(); rng.random_range(1..8)];
            for _ in 0..20 {
                let fresh = shares.iter().all(|s| s.granted == 0);
                for s in &mut shares {
                    s.requested = rng.random_range(0..30_000);
                    s.step = rng.random_range(0..8_000);
                    // Work ends, and while jobs change hands it may count in several places.
                    let most = if fresh { 20_000 } else { s.granted.max(s.used) };
                    s.used = rng.random_range(0..=most);
                }
                let next = divide(limit, &shares);
                assert!(next.iter().sum::<u64>() <= limit, "seed {seed}: {next:?} of {limit}");
                let grown = next.iter().zip(&shares).filter(|(n, s)| !fresh && **n > s.granted);
                let bound: u64 = shares.iter().map(|s| s.granted.max(s.used)).sum();
                let more: u64 = grown.map(|(n, s)| n - s.granted).sum();
                assert!(more <= limit.saturating_sub(bound), "seed {seed}: grew into what others may use");
                shares.iter_mut().zip(next).for_each(|(s, n)| s.granted = n);
                // A new view, in which the limit begins to be divided again.
                if rng.random_bool(0.1) {
                    shares.iter_mut().for_each(|s| s.granted = 0);
                }
            }
        }
    }

    /// Guards a team's limit against shares that fall short of what goes on: replicas and gangs keep running where
    /// more is used than allotted, and must be left room for by whoever has more than it uses.
    #[test]
    fn whoever_starts_within_its_part_leaves_room_for_all_that_others_use() {
        for seed in 0..500 {
            let mut rng = StdRng::seed_from_u64(seed);
            let limit = 40_000u64;
            let n = rng.random_range(2..8);
            // What really runs, and what it counts as while some of it may be in two places.
            let mut left = limit;
            let mut share = || {
                let runs = rng.random_range(0..=left);
                left -= runs;
                runs
            };
            let mut runs: Vec<u64> = (0..n).map(|_| share()).collect();
            let mut twice: Vec<u64> = runs.iter().map(|r| rng.random_range(0..=*r)).collect();
            let mut shares = vec![Share::default(); n as usize];
            for round in 0..30 {
                for (i, s) in shares.iter_mut().enumerate() {
                    (s.used, s.requested, s.step) = (runs[i] + twice[i], rng.random_range(0..30_000), 1_000);
                }
                let next = divide(limit, &shares);
                shares.iter_mut().zip(next).for_each(|(s, n)| s.granted = n);
                for (i, s) in shares.iter().enumerate() {
                    twice[i] -= rng.random_range(0..=twice[i]);
                    if rng.random_bool(0.4) {
                        runs[i] -= rng.random_range(0..=runs[i]);
                    }
                    if runs[i] + twice[i] < s.granted && rng.random_bool(0.8) {
                        runs[i] = s.granted - twice[i];
                    }
                }
                let all: u64 = runs.iter().sum();
                assert!(all <= limit, "seed {seed}: {all} of {limit} in round {round}");
            }
        }
    }

    /// Guards against a limit of which every controller holds a share that is too small for its gang: none gave
    /// up what it could not use, and no gang ever started.
    #[test]
    fn shares_too_small_to_start_anything_are_given_to_one_that_can() {
        let gang = |granted, step| Share { granted, used: 0, requested: step, step };
        let mut shares = vec![gang(14, 15), gang(12, 16), gang(14, 15)];
        for _ in 0..3 {
            let next = divide(40, &shares);
            assert!(next.iter().sum::<u64>() <= 40);
            shares.iter_mut().zip(next).for_each(|(s, n)| s.granted = n);
        }
        let able = shares.iter().filter(|s| s.granted >= s.step).count();
        assert_eq!(able, 2, "{shares:?}");
        let before: Vec<u64> = shares.iter().map(|s| s.granted).collect();
        assert_eq!(divide(40, &shares), before, "shares go to and fro");
    }
}
