//! Exponential backoff with jitter for calls that are repeated.
//!
//! A [`BackoffPolicy`] defines how the delays grow, and a [`Backoff`] holds the state of one call. The caller supplies
//! the time and the random numbers, and limits the total number of calls.

use marblewalk_units::Micros;
use rand::{Rng, RngExt};

/// How the delays between repeated calls grow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackoffPolicy {
    /// The delay after the first failure.
    pub initial: Micros,
    /// The longest delay, without jitter.
    pub max: Micros,
    /// The factor by which each delay is longer than the one before.
    pub multiplier: f64,
    /// Up to this fraction of a delay is added at random, so that many callers do not retry at the same time.
    pub jitter: f64,
}

impl BackoffPolicy {
    /// The delay after this many failures in a row, without jitter; zero without a failure.
    pub fn delay(&self, failures: u32) -> Micros {
        if failures == 0 {
            return Micros::ZERO;
        }
        let grown = self.initial.0 as f64 * self.multiplier.max(1.0).powi(failures.min(64) as i32 - 1);
        Micros(grown.min(self.max.max(self.initial).0 as f64) as u64)
    }
}

/// The backoff state of one repeated call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backoff {
    failures: u32,
    retry_at: Micros,
}

impl Backoff {
    /// Whether the call may be made now.
    pub fn ready(&self, now: Micros) -> bool {
        now >= self.retry_at
    }

    /// When the call may next be made.
    pub fn retry_at(&self) -> Micros {
        self.retry_at
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failure and returns when the call may be repeated.
    pub fn failed(&mut self, now: Micros, policy: &BackoffPolicy, rng: &mut impl Rng) -> Micros {
        self.failures = self.failures.saturating_add(1);
        let delay = policy.delay(self.failures);
        let jitter = delay.mul_f64(policy.jitter.max(0.0) * rng.random_range(0.0..1.0));
        self.retry_at = now + delay + jitter;
        self.retry_at
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

    const POLICY: BackoffPolicy = BackoffPolicy {
        initial: Micros::from_millis(300),
        max: Micros::from_secs(2),
        multiplier: 2.0,
        jitter: 0.5,
    };

    #[test]
    fn delays_grow_to_the_maximum_and_start_over_after_a_success() {
        let mut rng = StdRng::seed_from_u64(1);
        let (mut backoff, mut now) = (Backoff::default(), Micros::from_secs(1));
        assert!(backoff.ready(now));
        for min_ms in [300, 600, 1_200, 2_000, 2_000] {
            let retry_at = backoff.failed(now, &POLICY, &mut rng);
            let delay = retry_at.since(now);
            assert!(delay >= Micros::from_millis(min_ms) && delay <= Micros::from_millis(min_ms * 3 / 2));
            assert!(!backoff.ready(now) && backoff.ready(retry_at));
            now = retry_at;
        }
        backoff.succeeded();
        assert!(backoff.ready(now) && backoff.failures() == 0);
        assert_eq!(POLICY.delay(u32::MAX), Micros::from_secs(2));
        assert_eq!(
            BackoffPolicy { max: Micros::ZERO, ..POLICY }.delay(9),
            POLICY.initial,
            "a maximum below the initial delay"
        );
    }

    /// Guards against a retry storm: callers that fail together must not retry together.
    #[test]
    fn callers_that_fail_together_retry_at_different_times() {
        let mut rng = StdRng::seed_from_u64(2);
        let retry_at = |rng: &mut StdRng| Backoff::default().failed(Micros::ZERO, &POLICY, rng).0;
        let times: std::collections::BTreeSet<u64> = (0..200).map(|_| retry_at(&mut rng) / 10_000).collect();
        assert!(times.len() > 10, "{} different times", times.len());
    }
}
