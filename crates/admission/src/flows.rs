//! Submissions counted by team and class: exact counts for the recently seen flows, and one entry for all others, since
//! class names are the users' own.

use std::num::NonZeroUsize;

use bitcode::{Decode, Encode};
use lru::LruCache;
use marblewalk_units::Micros;

use crate::fair::{self, Party};

/// The most flows that are counted separately.
pub const ROWS: usize = 64;
/// The team and class under which all flows without an entry of their own are counted.
pub const OTHERS: &str = "(others)";
/// The time constant of averaged rates, in seconds.
const AVERAGE: f64 = 5.0;
/// A flow with fewer submissions per second than this counts as inactive.
const ACTIVE: f64 = 0.02;

/// A flow: the jobs of one team and class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Flow {
    pub team: String,
    pub class: String,
}

/// An event rate that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    per_s: f64,
    at: Micros,
}

impl Rate {
    /// Adds `amount` events at an instant.
    pub fn add(&mut self, now: Micros, amount: f64) {
        self.per_s = self.now(now) + amount / AVERAGE;
        self.at = now;
    }

    /// Events per second, averaged over the last few seconds.
    pub fn now(&self, now: Micros) -> f64 {
        self.per_s * (-now.since(self.at).as_secs_f64() / AVERAGE).exp()
    }
}

/// Counts of one flow at one controller.
#[derive(Clone, Debug, Default)]
pub struct Row {
    pub offered: u64,
    pub taken: u64,
    pub turned_away: u64,
    /// New submissions per second, without retries.
    pub rate: Rate,
    /// When the next submission conforms to the flow's rate, during a shortage (the theoretical arrival time of the
    /// generic cell rate algorithm, ITU-T I.371).
    pub(crate) next: Micros,
}

/// The counters of all flows.
#[derive(Debug)]
pub struct Flows {
    rows: LruCache<Flow, Row>,
    others: Row,
}

impl Default for Flows {
    fn default() -> Self {
        Flows {
            rows: LruCache::new(NonZeroUsize::new(ROWS).unwrap_or(NonZeroUsize::MIN)),
            others: Row::default(),
        }
    }
}

impl Flows {
    /// The counters of a flow. When there are too many flows, the least recently used one is added to the others.
    pub fn row(&mut self, team: &str, class: &str) -> &mut Row {
        let flow = Flow { team: team.to_owned(), class: class.to_owned() };
        if !self.rows.contains(&flow)
            && self.rows.len() == ROWS
            && let Some((_, old)) = self.rows.pop_lru()
        {
            self.others.offered += old.offered;
            self.others.taken += old.taken;
            self.others.turned_away += old.turned_away;
        }
        self.rows.get_or_insert_mut(flow, Row::default)
    }

    /// The counters of all flows, those without an entry of their own last.
    pub fn iter(&self) -> impl Iterator<Item = (Flow, &Row)> {
        let others = Flow { team: OTHERS.to_owned(), class: OTHERS.to_owned() };
        let used = (self.others.offered > 0).then_some((others, &self.others));
        self.rows.iter().map(|(flow, row)| (flow.clone(), row)).chain(used)
    }

    /// The present rate of each active flow, in submissions per second.
    pub fn offered(&self, now: Micros) -> Vec<(Flow, f64)> {
        let rates = self.rows.iter().map(|(flow, row)| (flow.clone(), row.rate.now(now)));
        rates.filter(|(_, rate)| *rate >= ACTIVE).collect()
    }
}

/// Divides a rate among flows: by max-min fairness among teams, and within a team among its classes.
pub fn divide(offered: &[(Flow, f64)], capacity: f64) -> Vec<(Flow, f64)> {
    let mut teams: std::collections::BTreeMap<&str, Vec<&(Flow, f64)>> = Default::default();
    for row in offered {
        teams.entry(&row.0.team).or_default().push(row);
    }
    let party = |demand: f64| Party { demand, weight: 1.0 };
    let by_team: Vec<Party> = teams.values().map(|rows| party(rows.iter().map(|r| r.1).sum())).collect();
    let mut rates = Vec::with_capacity(offered.len());
    for (rows, part) in teams.values().zip(fair::shares(&by_team, capacity)) {
        let by_class: Vec<Party> = rows.iter().map(|r| party(r.1)).collect();
        let shares = fair::shares(&by_class, part);
        rates.extend(rows.iter().zip(shares).map(|(row, rate)| (row.0.clone(), rate)));
    }
    rates
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against unbounded memory, since class names are the users' own, and against lost counts.
    #[test]
    fn a_thousand_classes_keep_few_rows_and_all_counts() {
        let mut flows = Flows::default();
        for n in 0..5_000 {
            flows.row("red", &format!("class-{}", n % 1_000)).offered += 1;
        }
        let rows: Vec<(Flow, u64)> = flows.iter().map(|(flow, row)| (flow, row.offered)).collect();
        assert_eq!(rows.len(), ROWS + 1);
        assert_eq!(rows.iter().map(|r| r.1).sum::<u64>(), 5_000);
    }

    #[test]
    fn one_class_cannot_take_what_another_team_needs() {
        let flow = |team: &str, class: &str| Flow { team: team.into(), class: class.into() };
        let offered =
            [(flow("red", "flood"), 100.0), (flow("red", "small"), 1.0), (flow("blue", "only"), 3.0)];
        let rates: std::collections::BTreeMap<Flow, f64> = divide(&offered, 10.0).into_iter().collect();
        assert_eq!(rates[&flow("blue", "only")], 3.0);
        assert_eq!(rates[&flow("red", "small")], 1.0);
        assert!((rates[&flow("red", "flood")] - 6.0).abs() < 1e-9);
    }
}
