//! Queue for all calls to an external service, which keeps them within the service's rate limits.

use std::collections::VecDeque;

use marblewalk_admission::flows::DecayingRate;

use crate::protocol::units::Micros;

/// Priority class of a call, the most urgent first.
///
/// Classes are named after their main use. Other calls of the same urgency use them, too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Leases, leadership, grants, and the watch.
    Entitlement,
    /// Withdrawals of jobs.
    Withdrawal,
    /// Acceptance of submitted jobs.
    Acceptance,
    /// Records of completed jobs.
    Completion,
    /// All other calls.
    Other,
}

/// Number of variants of [`Urgency`].
const URGENCY_CLASSES: usize = 5;

/// Token bucket that refills at a constant rate. One token allows one call or one write.
#[derive(Debug)]
struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// The capacity in seconds of refill.
    burst_s: f64,
    capacity: f64,
    available: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    fn new(rate: f64, burst_s: f64) -> Self {
        let capacity = (rate * burst_s).max(1.0);
        TokenBucket { rate, burst_s, capacity, available: capacity, refilled_at: Micros::ZERO }
    }

    fn refill(&mut self, now: Micros) {
        self.available =
            (self.available + self.rate * now.since(self.refilled_at).as_secs_f64()).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Whether `cost` tokens may be taken. A cost above the capacity is allowed when the bucket is full.
    fn allows(&self, cost: f64) -> bool {
        self.available >= cost.min(self.capacity) - 1e-9
    }
}

/// Priority queue of calls, limited in calls per second and in writes per second.
#[derive(Debug)]
pub struct RateLimitedQueue<T> {
    call_tokens: TokenBucket,
    write_tokens: TokenBucket,
    /// Waiting calls of each urgency: time added, number of writes, call.
    queues: [VecDeque<(Micros, u32, T)>; URGENCY_CLASSES],
    /// Number of waiting calls without writes.
    waiting_reads: usize,
    /// Average rates of calls and of writes that were added lately.
    requested: (DecayingRate, DecayingRate),
}

impl<T> RateLimitedQueue<T> {
    /// Creates an empty queue. Unused calls and writes accumulate for up to `burst_s` seconds.
    pub fn new(calls_per_s: f64, writes_per_s: f64, burst_s: f64) -> Self {
        RateLimitedQueue {
            call_tokens: TokenBucket::new(calls_per_s, burst_s),
            write_tokens: TokenBucket::new(writes_per_s, burst_s),
            queues: Default::default(),
            waiting_reads: 0,
            requested: Default::default(),
        }
    }

    /// Adds a call that makes this number of writes.
    pub fn push(&mut self, now: Micros, urgency: Urgency, writes: u32, call: T) {
        self.waiting_reads += usize::from(writes == 0);
        self.requested.0.add(now, 1.0);
        self.requested.1.add(now, f64::from(writes));
        self.queues[urgency as usize].push_back((now, writes, call));
    }

    /// Sets the rates when this controller's shares of the limits change. Tokens that remain are kept, up to the
    /// new capacity.
    pub fn set_rates(&mut self, now: Micros, calls_per_s: f64, writes_per_s: f64) {
        for (bucket, rate) in [(&mut self.call_tokens, calls_per_s), (&mut self.write_tokens, writes_per_s)] {
            if bucket.rate != rate {
                bucket.refill(now);
                let available = bucket.available;
                *bucket = TokenBucket::new(rate, bucket.burst_s);
                bucket.available = available.min(bucket.capacity);
                bucket.refilled_at = now;
            }
        }
    }

    /// Calls and writes per second that this queue needs: the rates of those added lately, plus the rates that would
    /// send all waiting ones within a second.
    pub fn wanted_rates(&self, now: Micros) -> (f64, f64) {
        let waiting = |amount: fn(u32) -> f64| -> f64 {
            self.queues.iter().flatten().map(|(_, writes, _)| amount(*writes)).sum()
        };
        (
            self.requested.0.per_second(now) + waiting(|_| 1.0),
            self.requested.1.per_second(now) + waiting(f64::from),
        )
    }

    /// How long a call of this urgency would wait for the calls that go before it.
    pub fn queue_delay(&self, urgency: Urgency) -> Micros {
        let (mut calls, mut writes) = (0.0, 0.0);
        for (_, cost, _) in self.queues[..=urgency as usize].iter().flatten() {
            calls += 1.0;
            writes += f64::from(*cost);
        }
        let wait =
            |bucket: &TokenBucket, cost: f64| (cost - bucket.available).max(0.0) / bucket.rate.max(1e-3);
        Micros::from_secs_f64(wait(&self.call_tokens, calls).max(wait(&self.write_tokens, writes)))
    }

    pub fn writes_per_s(&self) -> f64 {
        self.write_tokens.rate
    }

    /// Removes and returns the next call that may be sent now.
    ///
    /// A write that has to wait holds back all less urgent writes, but no reads: users' queries must not wait for
    /// records of completions.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        self.call_tokens.refill(now);
        self.write_tokens.refill(now);
        let mut reads_only = false;
        for queue in &mut self.queues {
            let Some((_, writes, _)) = queue.front() else { continue };
            let cost = f64::from(*writes);
            if !self.call_tokens.allows(1.0) {
                return None;
            }
            if cost > 0.0 && (reads_only || !self.write_tokens.allows(cost)) {
                reads_only = true;
                continue;
            }
            self.call_tokens.available -= 1.0;
            self.write_tokens.available -= cost;
            self.waiting_reads -= usize::from(*writes == 0);
            return queue.pop_front().map(|(_, _, call)| call);
        }
        None
    }

    /// Removes and returns the calls that have waited longer than `timeout`.
    pub fn remove_expired(&mut self, now: Micros, timeout: Micros) -> Vec<T> {
        let mut expired = Vec::new();
        for queue in &mut self.queues {
            while queue.front().is_some_and(|(at, _, _)| now.since(*at) > timeout) {
                let Some((_, writes, call)) = queue.pop_front() else { break };
                self.waiting_reads -= usize::from(writes == 0);
                expired.push(call);
            }
        }
        expired
    }

    /// Number of waiting calls of this urgency or a higher one.
    pub fn waiting_calls(&self, urgency: Urgency) -> usize {
        self.queues[..=urgency as usize].iter().map(VecDeque::len).sum()
    }

    /// Number of waiting calls without writes.
    pub fn waiting_reads(&self) -> usize {
        self.waiting_reads
    }

    /// Removes and returns all waiting calls.
    pub fn clear(&mut self) -> Vec<T> {
        self.waiting_reads = 0;
        self.queues.iter_mut().flat_map(|q| q.drain(..)).map(|(_, _, call)| call).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against exceeding the state service's limits: it would then reject lease renewals, too.
    #[test]
    fn calls_stay_within_both_limits_and_urgent_ones_go_first() {
        let mut queue = RateLimitedQueue::new(10.0, 4.0, 1.0);
        for i in 0..200u32 {
            let urgency = if i % 50 == 0 { Urgency::Entitlement } else { Urgency::Other };
            queue.push(Micros::ZERO, urgency, i % 2, i);
        }
        let mut out = Vec::new();
        for ms in (0..10_000).step_by(50) {
            while let Some(i) = queue.pop(Micros::from_millis(ms)) {
                out.push(i);
            }
        }
        assert_eq!(out[..4], [0, 50, 100, 150]);
        assert!((80..=110).contains(&out.len()), "{} calls in 10 s", out.len());
        assert!(out.iter().filter(|i| *i % 2 == 1).count() <= 44);
        assert_eq!(queue.remove_expired(Micros::from_secs(20), Micros::from_secs(5)).len(), 200 - out.len());
    }

    /// Guards against users' queries that are delayed by writes waiting for the write limit.
    #[test]
    fn reads_overtake_waiting_writes() {
        let mut queue = RateLimitedQueue::new(100.0, 1.0, 1.0);
        (0..5).for_each(|i| queue.push(Micros::ZERO, Urgency::Completion, 1, i));
        queue.push(Micros::ZERO, Urgency::Other, 1, 10);
        queue.push(Micros::ZERO, Urgency::Other, 0, 11);
        let out: Vec<i32> = std::iter::from_fn(|| queue.pop(Micros::ZERO)).collect();
        assert_eq!(out, [0], "a write was sent before a more urgent one");
        queue.clear();
        queue.push(Micros::ZERO, Urgency::Completion, 1, 1);
        queue.push(Micros::ZERO, Urgency::Other, 0, 2);
        let out: Vec<i32> = std::iter::from_fn(|| queue.pop(Micros::ZERO)).collect();
        assert_eq!(out, [2]);
    }

    /// A controller's share of the write limit falls and rises when the leadership changes. A new rate must neither
    /// refill the bucket nor change for how many seconds tokens accumulate.
    #[test]
    fn a_changed_write_rate_keeps_the_burst() {
        let mut queue = RateLimitedQueue::new(1e3, 8.0, 1.0);
        queue.set_rates(Micros::ZERO, 1e3, 0.5);
        queue.set_rates(Micros::ZERO, 1e3, 8.0);
        (0..20).for_each(|i| queue.push(Micros::ZERO, Urgency::Other, 1, i));
        assert_eq!(std::iter::from_fn(|| queue.pop(Micros::ZERO)).count(), 1);
        assert_eq!(std::iter::from_fn(|| queue.pop(Micros::from_secs(9))).count(), 8);
    }
}
