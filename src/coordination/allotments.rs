//! How a team's limit is divided among the controllers whose jobs work under it.

/// One controller's part.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Part {
    /// What it may use by the division in force; 0 where there is none.
    pub has: u64,
    /// What its jobs' tasks use, or may use wherever they may be.
    pub uses: u64,
    /// What its jobs could use.
    pub wishes: u64,
}

/// What each controller may use from now on. `fresh`: no division is in force, so each begins with what it
/// uses.
///
/// While machines change hands a task counts wherever it may be, so that together they may seem to use more
/// than the limit. What is allotted never adds up to more: whoever uses more than its part starts nothing.
pub(super) fn divide(limit: u64, fresh: bool, parts: &[Part]) -> Vec<u64> {
    let mut next: Vec<u64> = parts.iter().map(|p| if fresh { p.uses } else { p.has }).collect();
    let total: u64 = next.iter().sum();
    if total > limit {
        // What rounding leaves over is nobody's until the next division.
        for n in &mut next {
            *n = (u128::from(*n) * u128::from(limit) / u128::from(total)) as u64;
        }
    }
    // What a member may use, or uses all the same, cannot be given to another.
    let bound: u64 = next.iter().zip(parts).map(|(n, p)| (*n).max(p.uses)).sum();
    let mut spare = limit.saturating_sub(bound);
    let lacking: u64 = next.iter().zip(parts).map(|(n, p)| p.wishes.saturating_sub(*n)).sum();
    let scarce = lacking > spare;
    for (next, part) in next.iter_mut().zip(parts) {
        if part.wishes > *next {
            let grow = (part.wishes - *next).min(spare);
            *next += grow;
            spare -= grow;
        } else if scarce {
            // Others lack room: what is not wished for is given up, for the next division.
            *next = (*next).min(part.wishes.max(part.uses));
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
            let mut parts = vec![Part::default(); rng.random_range(1..8)];
            let mut fresh = true;
            for _ in 0..20 {
                for p in &mut parts {
                    p.wishes = rng.random_range(0..30_000);
                    // Work ends, and while jobs change hands it may count in several places.
                    let most = if fresh { 20_000 } else { p.has.max(p.uses) };
                    p.uses = rng.random_range(0..=most);
                }
                let next = divide(limit, fresh, &parts);
                assert!(next.iter().sum::<u64>() <= limit, "seed {seed}: {next:?} of {limit}");
                let grown = next.iter().zip(&parts).filter(|(n, p)| !fresh && **n > p.has);
                let bound: u64 = parts.iter().map(|p| p.has.max(p.uses)).sum();
                let more: u64 = grown.map(|(n, p)| n - p.has).sum();
                assert!(more <= limit.saturating_sub(bound), "seed {seed}: grew into what others may use");
                parts.iter_mut().zip(next).for_each(|(p, n)| p.has = n);
                fresh = rng.random_bool(0.1);
            }
        }
    }
}
