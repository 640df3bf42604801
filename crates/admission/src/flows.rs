//! Submissions counted by team and class: exact counts for the recently seen flows, and one entry for all others, since
//! class names are the users' own.

use std::num::NonZeroUsize;

use bitcode::{Decode, Encode};
use lru::LruCache;
use marblewalk_units::Micros;

use crate::max_min::{self, Claimant};

/// The most flows that are counted separately.
pub const MAX_FLOWS: usize = 64;
/// The team and class under which all flows without an entry of their own are counted.
pub const OTHER_FLOWS: &str = "(others)";
/// The time constant of averaged rates, in seconds.
const AVERAGING_TIME_S: f64 = 5.0;
/// A flow with fewer submissions per second than this counts as idle.
const MIN_ACTIVE_RATE: f64 = 0.02;

/// A flow: the jobs of one team and class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Flow {
    pub team: String,
    pub class: String,
}

/// An average event rate, which decays exponentially while no events come.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingRate {
    per_s: f64,
    at: Micros,
}

impl DecayingRate {
    /// Adds `amount` events at an instant.
    pub fn add(&mut self, now: Micros, amount: f64) {
        self.per_s = self.per_second(now) + amount / AVERAGING_TIME_S;
        self.at = now;
    }

    /// Events per second, averaged over the last few seconds.
    pub fn per_second(&self, now: Micros) -> f64 {
        self.per_s * (-now.since(self.at).as_secs_f64() / AVERAGING_TIME_S).exp()
    }
}

/// Counts of one flow at one controller.
#[derive(Clone, Debug, Default)]
pub struct FlowCounters {
    pub offered: u64,
    pub admitted: u64,
    pub deferred: u64,
    /// New submissions per second, without retries.
    pub rate: DecayingRate,
    /// When the next submission conforms to the flow's rate, during a shortage (the theoretical arrival time of the
    /// generic cell rate algorithm, ITU-T I.371).
    pub(crate) next_conforming: Micros,
}

/// The counters of all flows.
#[derive(Debug)]
pub struct FlowStats {
    counters: LruCache<Flow, FlowCounters>,
    others: FlowCounters,
}

impl Default for FlowStats {
    fn default() -> Self {
        FlowStats {
            counters: LruCache::new(NonZeroUsize::new(MAX_FLOWS).unwrap_or(NonZeroUsize::MIN)),
            others: FlowCounters::default(),
        }
    }
}

impl FlowStats {
    /// The counters of a flow. When there are too many flows, the least recently used one is added to the others.
    pub fn counters_of(&mut self, team: &str, class: &str) -> &mut FlowCounters {
        let flow = Flow { team: team.to_owned(), class: class.to_owned() };
        if !self.counters.contains(&flow)
            && self.counters.len() == MAX_FLOWS
            && let Some((_, old)) = self.counters.pop_lru()
        {
            self.others.offered += old.offered;
            self.others.admitted += old.admitted;
            self.others.deferred += old.deferred;
        }
        self.counters.get_or_insert_mut(flow, FlowCounters::default)
    }

    /// The counters of all flows, those without an entry of their own last.
    pub fn iter(&self) -> impl Iterator<Item = (Flow, &FlowCounters)> {
        let others = Flow { team: OTHER_FLOWS.to_owned(), class: OTHER_FLOWS.to_owned() };
        let used = (self.others.offered > 0).then_some((others, &self.others));
        self.counters.iter().map(|(flow, counters)| (flow.clone(), counters)).chain(used)
    }

    /// The present rate of each active flow, in submissions per second.
    pub fn offered_rates(&self, now: Micros) -> Vec<(Flow, f64)> {
        let rates =
            self.counters.iter().map(|(flow, counters)| (flow.clone(), counters.rate.per_second(now)));
        rates.filter(|(_, rate)| *rate >= MIN_ACTIVE_RATE).collect()
    }
}

/// Divides a rate among flows: by max-min fairness among teams, and within a team among its classes.
pub fn divide(offered: &[(Flow, f64)], capacity: f64) -> Vec<(Flow, f64)> {
    let mut teams: std::collections::BTreeMap<&str, Vec<&(Flow, f64)>> = Default::default();
    for row in offered {
        teams.entry(&row.0.team).or_default().push(row);
    }
    let claimant = |demand: f64| Claimant { demand, weight: 1.0 };
    let by_team: Vec<Claimant> =
        teams.values().map(|rows| claimant(rows.iter().map(|r| r.1).sum())).collect();
    let mut rates = Vec::with_capacity(offered.len());
    for (rows, part) in teams.values().zip(max_min::shares(&by_team, capacity)) {
        let by_class: Vec<Claimant> = rows.iter().map(|r| claimant(r.1)).collect();
        let shares = max_min::shares(&by_class, part);
        rates.extend(rows.iter().zip(shares).map(|(row, rate)| (row.0.clone(), rate)));
    }
    rates
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against unbounded memory, since class names are the users' own, and against lost counts.
    #[test]
    fn many_classes_keep_a_bounded_number_of_counters_and_all_counts() {
        let mut flows = FlowStats::default();
        for n in 0..5_000 {
            flows.counters_of("red", &format!("class-{}", n % 1_000)).offered += 1;
        }
        let rows: Vec<(Flow, u64)> = flows.iter().map(|(flow, counters)| (flow, counters.offered)).collect();
        assert_eq!(rows.len(), MAX_FLOWS + 1);
        assert_eq!(rows.iter().map(|r| r.1).sum::<u64>(), 5_000);
    }

    #[test]
    fn one_class_cannot_take_the_share_of_another_team() {
        let flow = |team: &str, class: &str| Flow { team: team.into(), class: class.into() };
        let offered =
            [(flow("red", "flood"), 100.0), (flow("red", "small"), 1.0), (flow("blue", "only"), 3.0)];
        let rates: std::collections::BTreeMap<Flow, f64> = divide(&offered, 10.0).into_iter().collect();
        assert_eq!(rates[&flow("blue", "only")], 3.0);
        assert_eq!(rates[&flow("red", "small")], 1.0);
        assert!((rates[&flow("red", "flood")] - 6.0).abs() < 1e-9);
    }
}
