//! One queue for all calls to an outside system, within its limits.

use std::collections::VecDeque;

use marblewalk_admission::flows::DecayingRate;

use crate::protocol::units::Micros;

/// Which calls go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Leases, leadership and grants.
    Entitlement,
    Withdrawal,
    Acceptance,
    Completion,
    /// Everything else.
    Rest,
}

const CLASSES: usize = 5;

/// Allowance that refills at a steady rate, in thousandths of a call.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    burst_s: f64,
    most: f64,
    has: f64,
    at: Micros,
}

impl Bucket {
    fn new(rate: f64, burst_s: f64) -> Self {
        let most = (rate * burst_s).max(1.0);
        Bucket { rate, burst_s, most, has: most, at: Micros::ZERO }
    }

    fn refill(&mut self, now: Micros) {
        self.has = (self.has + self.rate * now.since(self.at).as_secs_f64()).min(self.most);
        self.at = self.at.max(now);
    }

    /// Whether `cost` may be spent. More than the bucket ever holds goes out when it is full.
    fn affords(&self, cost: f64) -> bool {
        self.has >= cost.min(self.most) - 1e-9
    }
}

/// A queue by urgency under a limit of calls and a limit of changes.
#[derive(Debug)]
pub struct Budget<T> {
    calls: Bucket,
    writes: Bucket,
    queues: [VecDeque<(Micros, u32, T)>; CLASSES],
    /// Waiting calls that change nothing.
    reads: usize,
    /// Calls and changes asked for lately, a second.
    asked: (DecayingRate, DecayingRate),
}

impl<T> Budget<T> {
    pub fn new(calls_per_s: f64, writes_per_s: f64, burst_s: f64) -> Self {
        Budget {
            calls: Bucket::new(calls_per_s, burst_s),
            writes: Bucket::new(writes_per_s, burst_s),
            queues: Default::default(),
            reads: 0,
            asked: Default::default(),
        }
    }

    pub fn push(&mut self, now: Micros, urgency: Urgency, writes: u32, call: T) {
        self.reads += usize::from(writes == 0);
        self.asked.0.add(now, 1.0);
        self.asked.1.add(now, f64::from(writes));
        self.queues[urgency as usize].push_back((now, writes, call));
    }

    /// Changes the rates, when this controller's parts of the limits change.
    pub fn set_rates(&mut self, now: Micros, calls_per_s: f64, writes_per_s: f64) {
        for (bucket, rate) in [(&mut self.calls, calls_per_s), (&mut self.writes, writes_per_s)] {
            if bucket.rate != rate {
                bucket.refill(now);
                let has = bucket.has;
                *bucket = Bucket::new(rate, bucket.burst_s);
                bucket.has = has.min(bucket.most);
                bucket.at = now;
            }
        }
    }

    /// Calls and changes a second that have lately been asked for, with what waits done within a second.
    pub fn wanted(&self, now: Micros) -> (f64, f64) {
        let waiting = |amount: fn(u32) -> f64| -> f64 {
            self.queues.iter().flatten().map(|(_, writes, _)| amount(*writes)).sum()
        };
        (self.asked.0.per_second(now) + waiting(|_| 1.0), self.asked.1.per_second(now) + waiting(f64::from))
    }

    /// How long a change of this urgency would wait for those before it.
    pub fn delay(&self, urgency: Urgency) -> Micros {
        let (mut calls, mut writes) = (0.0, 0.0);
        for (_, cost, _) in self.queues[..=urgency as usize].iter().flatten() {
            calls += 1.0;
            writes += f64::from(*cost);
        }
        let wait = |bucket: &Bucket, cost: f64| (cost - bucket.has).max(0.0) / bucket.rate.max(1e-3);
        Micros::from_secs_f64(wait(&self.calls, calls).max(wait(&self.writes, writes)))
    }

    pub fn writes_per_s(&self) -> f64 {
        self.writes.rate
    }

    /// The next call that may go out now. A change that must wait holds back all less urgent changes,
    /// but not the reads: users' questions must not wait for the record of completions.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        self.calls.refill(now);
        self.writes.refill(now);
        let mut reads_only = false;
        for queue in &mut self.queues {
            let Some((_, writes, _)) = queue.front() else { continue };
            let cost = f64::from(*writes);
            if !self.calls.affords(1.0) {
                return None;
            }
            if cost > 0.0 && (reads_only || !self.writes.affords(cost)) {
                reads_only = true;
                continue;
            }
            self.calls.has -= 1.0;
            self.writes.has -= cost;
            self.reads -= usize::from(*writes == 0);
            return queue.pop_front().map(|(_, _, call)| call);
        }
        None
    }

    /// Takes out the calls that have waited longer than `patience`.
    pub fn expire(&mut self, now: Micros, patience: Micros) -> Vec<T> {
        let mut late = Vec::new();
        for queue in &mut self.queues {
            while queue.front().is_some_and(|(at, _, _)| now.since(*at) > patience) {
                let Some((_, writes, call)) = queue.pop_front() else { break };
                self.reads -= usize::from(writes == 0);
                late.push(call);
            }
        }
        late
    }

    /// How many calls at least this urgent wait.
    pub fn waiting(&self, urgency: Urgency) -> usize {
        self.queues[..=urgency as usize].iter().map(VecDeque::len).sum()
    }

    /// How many calls wait that change nothing.
    pub fn reads_waiting(&self) -> usize {
        self.reads
    }

    pub fn clear(&mut self) -> Vec<T> {
        self.reads = 0;
        self.queues.iter_mut().flat_map(|q| q.drain(..)).map(|(_, _, call)| call).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against overrunning the state service, which would refuse lease renewals too.
    #[test]
    fn calls_stay_within_both_limits_and_urgent_ones_go_first() {
        let mut budget = Budget::new(10.0, 4.0, 1.0);
        for i in 0..200u32 {
            let urgency = if i % 50 == 0 { Urgency::Entitlement } else { Urgency::Rest };
            budget.push(Micros::ZERO, urgency, i % 2, i);
        }
        let mut out = Vec::new();
        for ms in (0..10_000).step_by(50) {
            while let Some(i) = budget.pop(Micros::from_millis(ms)) {
                out.push(i);
            }
        }
        assert_eq!(out[..4], [0, 50, 100, 150]);
        assert!((80..=110).contains(&out.len()), "{} calls in 10 s", out.len());
        assert!(out.iter().filter(|i| *i % 2 == 1).count() <= 44);
        assert_eq!(budget.expire(Micros::from_secs(20), Micros::from_secs(5)).len(), 200 - out.len());
    }

    /// Guards users' questions against a queue of changes that waits for its turn.
    #[test]
    fn reads_pass_changes_that_must_wait() {
        let mut budget = Budget::new(100.0, 1.0, 1.0);
        (0..5).for_each(|i| budget.push(Micros::ZERO, Urgency::Completion, 1, i));
        budget.push(Micros::ZERO, Urgency::Rest, 1, 10);
        budget.push(Micros::ZERO, Urgency::Rest, 0, 11);
        let out: Vec<i32> = std::iter::from_fn(|| budget.pop(Micros::ZERO)).collect();
        assert_eq!(out, [0], "a change went out before a more urgent one");
        budget.clear();
        budget.push(Micros::ZERO, Urgency::Completion, 1, 1);
        budget.push(Micros::ZERO, Urgency::Rest, 0, 2);
        let out: Vec<i32> = std::iter::from_fn(|| budget.pop(Micros::ZERO)).collect();
        assert_eq!(out, [2]);
    }

    /// A controller's part of the changes falls and rises with the leadership.
    #[test]
    fn a_changed_rate_of_writes_keeps_its_burst() {
        let mut budget = Budget::new(1e3, 8.0, 1.0);
        budget.set_rates(Micros::ZERO, 1e3, 0.5);
        budget.set_rates(Micros::ZERO, 1e3, 8.0);
        (0..20).for_each(|i| budget.push(Micros::ZERO, Urgency::Rest, 1, i));
        assert_eq!(std::iter::from_fn(|| budget.pop(Micros::ZERO)).count(), 1);
        assert_eq!(std::iter::from_fn(|| budget.pop(Micros::from_secs(9))).count(), 8);
    }
}
