//! Exponential backoff with jitter for calls that are repeated.
//!
//! A [`BackoffPolicy`] defines how the delays grow, and a [`Backoff`] holds the state of one call. The caller supplies
//! the time and the random numbers, and limits the total number of calls.

use marblewalk_units::Micros;
use rand::{Rng, RngExt};

/// How the delays between repeated calls grow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// The delay after the first failure.
    pub first: Micros,
    /// The longest delay, without jitter.
    pub most: Micros,
    /// The factor by which each delay is longer than the one before.
    pub growth: f64,
    /// Up to this fraction of a delay is added at random, so that many callers do not retry at the same time.
    pub jitter: f64,
}

impl Rule {
    /// The delay after this many failures in a row, without jitter; zero without a failure.
    pub fn pause(&self, failures: u32) -> Micros {
        if failures == 0 {
            return Micros::ZERO;
        }
        let grown = self.first.0 as f64 * self.growth.max(1.0).powi(failures.min(64) as i32 - 1);
        Micros(grown.min(self.most.max(self.first).0 as f64) as u64)
    }
}

/// The backoff state of one repeated call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backoff {
    failures: u32,
    until: Micros,
}

impl Backoff {
    /// Whether the call may be made now.
    pub fn ready(&self, now: Micros) -> bool {
        now >= self.until
    }

    /// When the call may next be made.
    pub fn until(&self) -> Micros {
        self.until
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failure and returns when the call may be repeated.
    pub fn failed(&mut self, now: Micros, rule: &Rule, rng: &mut impl Rng) -> Micros {
        self.failures = self.failures.saturating_add(1);
        let pause = rule.pause(self.failures);
        let chance = pause.mul_f64(rule.jitter.max(0.0) * rng.random_range(0.0..1.0));
        self.until = now + pause + chance;
        self.until
    }

    /// Records a success, which resets the backoff.
    pub fn succeeded(&mut self) {
        *self = Backoff::default();
    }
}

#[cfg(test)]
mod tests {
    use rand::{SeedableRng, rngs::StdRng};

    use super::*;

    const RULE: Rule =
        Rule { first: Micros::from_millis(300), most: Micros::from_secs(2), growth: 2.0, jitter: 0.5 };

    #[test]
    fn pauses_grow_to_their_bound_and_begin_again_after_a_success() {
        let mut rng = StdRng::seed_from_u64(1);
        let (mut backoff, mut now) = (Backoff::default(), Micros::from_secs(1));
        assert!(backoff.ready(now));
        for least in [300, 600, 1_200, 2_000, 2_000] {
            let until = backoff.failed(now, &RULE, &mut rng);
            let pause = until.since(now);
            assert!(pause >= Micros::from_millis(least) && pause <= Micros::from_millis(least * 3 / 2));
            assert!(!backoff.ready(now) && backoff.ready(until));
            now = until;
        }
        backoff.succeeded();
        assert!(backoff.ready(now) && backoff.failures() == 0);
        assert_eq!(RULE.pause(u32::MAX), Micros::from_secs(2));
        assert_eq!(Rule { most: Micros::ZERO, ..RULE }.pause(9), RULE.first, "a bound below the first pause");
    }

    /// Guards against a retry storm: callers that fail together must not retry together.
    #[test]
    fn callers_that_fail_together_come_back_apart() {
        let mut rng = StdRng::seed_from_u64(2);
        let until = |rng: &mut StdRng| Backoff::default().failed(Micros::ZERO, &RULE, rng).0;
        let times: std::collections::BTreeSet<u64> = (0..200).map(|_| until(&mut rng) / 10_000).collect();
        assert!(times.len() > 10, "{} different times", times.len());
    }
}
