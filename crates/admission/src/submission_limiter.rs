//! Rate limiting of job submissions at one controller.
//!
//! Without a shortage every submission is admitted. When writes to the state service are short, each flow has a rate,
//! and a submission that exceeds it gets a time for its retry, a *retry slot*. The slots are sent to all
//! controllers, so that each gives the same answer, and a submission that comes back in its slot is admitted before
//! new ones.

use std::collections::{HashMap, VecDeque};

use bitcode::{Decode, Encode};
use marblewalk_units::Micros;
use xxhash_rust::xxh3::xxh3_64;

use crate::flows::{self, Flow, FlowStats};

/// No submission is admitted that would wait longer than this for the state service, and none that is ahead of its
/// flow's rate where the wait is more than half of this: a user would rather wait a second for an answer than be turned
/// away for a second.
pub const MAX_QUEUE_DELAY: Micros = Micros::from_millis(1_200);
const HALF_QUEUE_DELAY: Micros = Micros(MAX_QUEUE_DELAY.0 / 2);
/// How far ahead of its rate a flow's submissions are admitted, so that a short burst is not treated as a shortage.
const BURST_TOLERANCE: Micros = Micros::from_secs(1);
/// The shortest and the longest time to a retry slot. Users repeat a request for 60 s, and wait at most 30 s before
/// they do.
const MIN_RETRY_DELAY: Micros = Micros::from_secs(1);
const MAX_RETRY_DELAY: Micros = Micros::from_secs(30);
/// The part of a flow's rate for which retry slots are made. It is below 1 because retries reach controllers at random.
const USABLE_RATE_FRACTION: f64 = 0.85;
/// How much earlier than its slot a retry is accepted, to allow for clock differences and rounding.
const EARLY_TOLERANCE: Micros = Micros::from_millis(1_200);
/// How long a retry slot is kept after its time, and a deferred query after it was made.
const RETENTION: Micros = Micros::from_secs(60);
/// The most retry slots and the most deferred queries that are kept, and the most slots sent in one message.
const MAX_ENTRIES: usize = 8_192;
const MAX_SLOTS_PER_MESSAGE: usize = 256;

/// Why a submission was deferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeferralReason {
    /// Its retry slot is still to come.
    Early,
    /// Its flow has used up its share.
    Share,
    /// The queue for the state service is too long for any submission.
    Behind,
}

/// Decision on a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionDecision {
    Admit,
    /// Not admitted: the submission may be retried after this time.
    RetryLater(DeferralReason, Micros),
}

/// What this controller can admit at present.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Submissions per second that this controller can record.
    pub submissions_per_s: f64,
    /// How long the next submission would wait in the queue for the state service.
    pub queue_delay: Micros,
}

/// A retry slot as it is sent to the other controllers: the hash of the job's id, and the time until the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RetrySlot {
    pub id_hash: u64,
    pub due_in: Micros,
}

/// The submission rate limiter of one controller.
#[derive(Debug, Default)]
pub struct SubmissionLimiter {
    pub flows: FlowStats,
    /// The fraction of each flow that the plan in force admits; none without a plan.
    planned_fractions: Option<HashMap<Flow, f64>>,
    /// When each retry slot is due, by the hash of the job's id.
    slots: HashMap<u64, Micros>,
    /// Slots in the order in which they were made.
    slot_order: VecDeque<(Micros, u64)>,
    unsent_slots: VecDeque<u64>,
    /// Since when users' queries for a job have been deferred, by the hash of its id.
    deferred_queries: HashMap<u64, Micros>,
    query_order: VecDeque<(Micros, u64)>,
}

impl SubmissionLimiter {
    /// Sets the fraction of each flow that a plan admits; none if no plan is in force.
    pub fn set_planned_fractions(&mut self, fractions: Option<&[(Flow, f64)]>) {
        self.planned_fractions = fractions.map(|flows| flows.iter().cloned().collect());
    }

    /// Decides on a submission. One that is admitted must be recorded now.
    pub fn decide(
        &mut self,
        now: Micros,
        id: &str,
        team: &str,
        class: &str,
        capacity: Capacity,
    ) -> SubmissionDecision {
        self.remove_expired(now);
        let id_hash = xxh3_64(id.as_bytes());
        let due = self.slots.get(&id_hash).copied();
        let rate = self.flow_rate(now, team, class, capacity.submissions_per_s);
        let counters = self.flows.counters_of(team, class);
        counters.offered += 1;
        if due.is_none() {
            counters.rate.add(now, 1.0);
        }
        let decision = match due {
            Some(due) if now + EARLY_TOLERANCE < due => {
                SubmissionDecision::RetryLater(DeferralReason::Early, due.since(now))
            }
            // It comes back in its retry slot.
            Some(_) if capacity.queue_delay <= MAX_QUEUE_DELAY => SubmissionDecision::Admit,
            Some(_) => SubmissionDecision::RetryLater(
                DeferralReason::Behind,
                MIN_RETRY_DELAY.max(capacity.queue_delay),
            ),
            None => {
                let interval = Micros::from_secs_f64(1.0 / (rate * USABLE_RATE_FRACTION).max(1e-3));
                let conforming_at = counters.next_conforming.max(now);
                // A flow within its share does not wait for those that exceed theirs.
                let max_delay = if conforming_at == now { MAX_QUEUE_DELAY } else { HALF_QUEUE_DELAY };
                if capacity.queue_delay <= max_delay && conforming_at.since(now) <= BURST_TOLERANCE {
                    counters.next_conforming = conforming_at + interval;
                    SubmissionDecision::Admit
                } else if capacity.queue_delay <= Micros(HALF_QUEUE_DELAY.0 / 2) {
                    // The queue is short: no other flow needs the capacity.
                    counters.next_conforming = conforming_at;
                    SubmissionDecision::Admit
                } else {
                    // The present queue also delays the submissions that come back.
                    let conforming_at =
                        conforming_at.max(now + capacity.queue_delay).min(now + MAX_RETRY_DELAY);
                    counters.next_conforming = conforming_at + interval;
                    let reason = if capacity.queue_delay <= max_delay {
                        DeferralReason::Share
                    } else {
                        DeferralReason::Behind
                    };
                    SubmissionDecision::RetryLater(reason, conforming_at.since(now).max(MIN_RETRY_DELAY))
                }
            }
        };
        match decision {
            SubmissionDecision::Admit => {
                counters.admitted += 1;
                self.slots.remove(&id_hash);
            }
            SubmissionDecision::RetryLater(_, wait) => {
                counters.deferred += 1;
                if due.is_none() {
                    self.add_slot(id_hash, now + wait);
                    self.unsent_slots.push_back(id_hash);
                    // Without other controllers the queue of unsent slots is never drained.
                    if self.unsent_slots.len() > MAX_ENTRIES {
                        self.unsent_slots.pop_front();
                    }
                }
            }
        }
        decision
    }

    /// The rate of a flow at this controller: by the plan in force, or else by what is submitted here.
    fn flow_rate(&self, now: Micros, team: &str, class: &str, submissions_per_s: f64) -> f64 {
        let flow = Flow { team: team.to_owned(), class: class.to_owned() };
        let offered = self.flows.offered_rates(now);
        if let Some(fraction) = self.planned_fractions.as_ref().and_then(|f| f.get(&flow))
            && let Some((_, rate)) = offered.iter().find(|(f, _)| *f == flow)
        {
            return rate * fraction;
        }
        let rates = flows::divide(&offered, submissions_per_s);
        // A flow that has not been seen yet gets what an equal division would leave it.
        let fair = submissions_per_s / (offered.len() + 1) as f64;
        rates.into_iter().find(|(f, _)| *f == flow).map_or(fair, |(_, rate)| rate.max(fair))
    }

    fn add_slot(&mut self, id_hash: u64, due: Micros) {
        self.slots.insert(id_hash, due);
        self.slot_order.push_back((due, id_hash));
        if self.slots.len() > MAX_ENTRIES
            && let Some((_, oldest)) = self.slot_order.pop_front()
        {
            self.slots.remove(&oldest);
        }
    }

    fn remove_expired(&mut self, now: Micros) {
        while self.slot_order.front().is_some_and(|(due, _)| *due + RETENTION < now) {
            if let Some((due, id)) = self.slot_order.pop_front()
                && self.slots.get(&id) == Some(&due)
            {
                self.slots.remove(&id);
            }
        }
        while self.query_order.front().is_some_and(|(at, _)| *at + RETENTION < now) {
            if let Some((at, id)) = self.query_order.pop_front()
                && self.deferred_queries.get(&id) == Some(&at)
            {
                self.deferred_queries.remove(&id);
            }
        }
    }

    /// Takes the slots made since the last call, to be sent to the other controllers.
    pub fn take_unsent_slots(&mut self, now: Micros) -> Vec<RetrySlot> {
        let n = self.unsent_slots.len().min(MAX_SLOTS_PER_MESSAGE);
        let unsent = self.unsent_slots.drain(..n);
        unsent
            .filter_map(|id_hash| Some(RetrySlot { id_hash, due_in: self.slots.get(&id_hash)?.since(now) }))
            .collect()
    }

    /// Adds another controller's slots. Of two slots of one job the later is kept, as the user received it last.
    pub fn merge_slots(&mut self, now: Micros, slots: &[RetrySlot]) {
        for slot in slots {
            let due = now + slot.due_in.min(MAX_RETRY_DELAY);
            if self.slots.get(&slot.id_hash).is_none_or(|known| *known < due) {
                self.add_slot(slot.id_hash, due);
            }
        }
    }

    /// Since when a job's user has queried it without an answer; now, if this is the first query. When there are more
    /// queries than can be answered, those that have waited longest go first.
    pub fn first_asked(&self, now: Micros, id: &str) -> Micros {
        self.deferred_queries.get(&xxh3_64(id.as_bytes())).copied().unwrap_or(now)
    }

    /// Notes that a query for a job was deferred.
    pub fn query_deferred(&mut self, now: Micros, id: &str) {
        self.remove_expired(now);
        let id_hash = xxh3_64(id.as_bytes());
        if self.deferred_queries.len() < MAX_ENTRIES && !self.deferred_queries.contains_key(&id_hash) {
            self.deferred_queries.insert(id_hash, now);
            self.query_order.push_back((now, id_hash));
        }
    }

    /// Notes that a query for a job was answered.
    pub fn query_answered(&mut self, id: &str) {
        self.deferred_queries.remove(&xxh3_64(id.as_bytes()));
    }

    /// The number of retry slots still to come.
    pub fn retry_slot_count(&self) -> usize {
        self.slots.len()
    }
}

#[cfg(test)]
mod tests {
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    use super::*;

    /// A user as the protocol describes it: repeats a request after the time given in the answer, for 60 s.
    struct User {
        id: String,
        class: &'static str,
        first: Micros,
        next: Micros,
        deferrals: u32,
        admitted_at: Option<Micros>,
    }

    /// Simulates several controllers, which restart now and then, under ten times the submissions that they can record.
    fn simulate_rush(seed: u64) -> Vec<User> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut limiters: Vec<SubmissionLimiter> = (0..4).map(|_| SubmissionLimiter::default()).collect();
        let mut queue_lengths = [0.0f64; 4];
        let submissions_per_s = 2.0;
        let mut users: Vec<User> = Vec::new();
        for ms in (0..150_000u64).step_by(50) {
            let now = Micros::from_millis(ms);
            let rush = (20_000..30_000).contains(&ms);
            for (class, probability) in [("flood", if rush { 0.99 } else { 0.0 }), ("quiet", 0.025)] {
                if ms < 80_000 && rng.random_bool(probability) {
                    let id = format!("j-{:06}", users.len());
                    users.push(User { id, class, first: now, next: now, deferrals: 0, admitted_at: None });
                }
            }
            for q in &mut queue_lengths {
                *q = (*q - submissions_per_s * 0.05).max(0.0);
            }
            if rng.random_bool(0.001) {
                let n = rng.random_range(0..4);
                (limiters[n], queue_lengths[n]) = (SubmissionLimiter::default(), 0.0);
            }
            if ms % 500 == 0 {
                for n in 0..4 {
                    let sent_slots = limiters[n].take_unsent_slots(now);
                    (0..4).filter(|m| *m != n).for_each(|m| limiters[m].merge_slots(now, &sent_slots));
                }
            }
            let still_trying = |u: &User| now.since(u.first) < Micros::from_secs(60);
            for u in users.iter_mut().filter(|u| u.admitted_at.is_none() && u.next <= now && still_trying(u))
            {
                let n = rng.random_range(0..4);
                let capacity = Capacity {
                    submissions_per_s,
                    queue_delay: Micros::from_secs_f64(queue_lengths[n] / submissions_per_s),
                };
                match limiters[n].decide(now, &u.id, "red", u.class, capacity) {
                    SubmissionDecision::Admit => {
                        queue_lengths[n] += 1.0;
                        u.admitted_at = Some(now);
                    }
                    SubmissionDecision::RetryLater(_, wait) => {
                        assert!(
                            wait >= MIN_RETRY_DELAY && wait <= MAX_RETRY_DELAY + MAX_QUEUE_DELAY,
                            "{wait:?}"
                        );
                        u.deferrals += 1;
                        u.next = now + wait;
                    }
                }
                // What is admitted is recorded within the time that users wait for an answer.
                assert!(
                    queue_lengths[n] / submissions_per_s < 3.0,
                    "seed {seed}: {} s behind",
                    queue_lengths[n] / submissions_per_s
                );
            }
        }
        users
    }

    /// Guards each class's share: however many submissions of other classes come, those of the quiet class are admitted
    /// at once or nearly so, and all others within the time that users keep trying, at few attempts.
    #[test]
    fn a_rush_of_one_class_does_not_starve_others_and_few_retry_often() {
        for seed in 0..20 {
            let users = simulate_rush(seed);
            let admitted = users.iter().filter(|u| u.admitted_at.is_some()).count();
            assert!(admitted * 100 >= users.len() * 97, "seed {seed}: {admitted} of {}", users.len());
            for u in users.iter().filter(|u| u.class == "quiet") {
                assert!(u.deferrals <= 3, "seed {seed}: {} was deferred {} times", u.id, u.deferrals);
            }
            let frequent = users.iter().filter(|u| u.deferrals > 3).count();
            assert!(frequent * 20 <= users.len(), "seed {seed}: {frequent} of {} retried often", users.len());
        }
    }

    /// Guards against gaming: a submission has one retry slot at all controllers, and in it goes before new
    /// submissions.
    #[test]
    fn retrying_at_another_controller_brings_no_advantage() {
        let mut limiters =
            [SubmissionLimiter::default(), SubmissionLimiter::default(), SubmissionLimiter::default()];
        let now = Micros::from_secs(100);
        let full = Capacity { submissions_per_s: 2.0, queue_delay: Micros::from_secs(3) };
        let SubmissionDecision::RetryLater(DeferralReason::Behind, wait) =
            limiters[0].decide(now, "j-1", "red", "any", full)
        else {
            panic!("admitted");
        };
        let sent_slots = limiters[0].take_unsent_slots(now);
        let later = now + Micros::from_millis(500);
        for limiter in &mut limiters[1..] {
            limiter.merge_slots(now, &sent_slots);
            let free = Capacity { submissions_per_s: 2.0, queue_delay: Micros::ZERO };
            let decision = limiter.decide(later, "j-1", "red", "any", free);
            assert_eq!(
                decision,
                SubmissionDecision::RetryLater(DeferralReason::Early, wait - Micros::from_millis(500))
            );
            // In its slot it is admitted, where a new submission is not.
            let busy = Capacity { submissions_per_s: 2.0, queue_delay: MAX_QUEUE_DELAY };
            limiter.decide(now + wait, "j-2", "red", "any", busy);
            assert!(matches!(
                limiter.decide(now + wait, "j-3", "red", "any", busy),
                SubmissionDecision::RetryLater(..)
            ));
            assert_eq!(limiter.decide(now + wait, "j-1", "red", "any", busy), SubmissionDecision::Admit);
        }
    }

    /// Guards against unbounded memory: retry slots and deferred queries are bounded, and past ones are removed.
    #[test]
    fn slots_and_deferred_queries_stay_bounded() {
        let mut limiter = SubmissionLimiter::default();
        let full = Capacity { submissions_per_s: 1.0, queue_delay: Micros::from_secs(3) };
        for n in 0..50_000u64 {
            let now = Micros::from_millis(n);
            limiter.decide(now, &format!("j-{n}"), "red", &format!("c-{}", n % 1_000), full);
            limiter.query_deferred(now, &format!("j-{n}"));
            assert!(limiter.retry_slot_count() <= MAX_ENTRIES);
        }
        assert!(limiter.deferred_queries.len() <= MAX_ENTRIES && limiter.unsent_slots.len() <= MAX_ENTRIES);
        limiter.decide(Micros::from_secs(400), "j-1", "red", "any", full);
        assert_eq!((limiter.retry_slot_count(), limiter.deferred_queries.len()), (1, 0));
    }
}
