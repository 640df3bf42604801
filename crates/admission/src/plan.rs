//! Leases of the state service's rate limits: how much each controller may use beyond its fixed part, and at which rate
//! each flow of submissions is admitted.
//!
//! The leader leases parts of the limits to the controllers, as in Doorman: its plans are numbered under its
//! registration, and a lease expires by itself. The sum stays within the limits even if messages are lost, delayed or
//! cut off, because
//!
//! - a plan repeats the clock of the last load report that the leader has received from each controller, and the lease
//!   expires a term after that *on the controller's own clock*: in a plan that is delivered late it has expired
//!   already;
//! - what a controller may still hold counts as leased until it confirms a later plan or its lease has expired; only
//!   the rest is leased to others;
//! - for its first term a new leader renews what each controller reports to hold, and leases out nothing else;
//! - a controller without a lease keeps to its fixed part, which no plan contains.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};
use marblewalk_units::Micros;

use crate::door::Appointment;
use crate::fair::{self, Party};
use crate::flows::{self, Flow};

/// How long a lease is held without a newer plan.
pub const TERM: Micros = Micros::from_secs(4);
/// Monotonic clocks drift apart by less than this factor.
const DRIFT: f64 = 0.001;
/// Factor on the rates that a controller asks for, since it may ask for more the next time.
const HEADROOM: f64 = 1.25;

/// Rates of writes and of all calls, in thousandths per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Rates {
    pub changes: u64,
    pub calls: u64,
}

impl Rates {
    fn each(self, o: Rates, f: impl Fn(u64, u64) -> u64) -> Rates {
        Rates { changes: f(self.changes, o.changes), calls: f(self.calls, o.calls) }
    }

    pub fn max(self, o: Rates) -> Rates {
        self.each(o, u64::max)
    }

    pub fn min(self, o: Rates) -> Rates {
        self.each(o, u64::min)
    }

    pub fn plus(self, o: Rates) -> Rates {
        self.each(o, u64::saturating_add)
    }

    pub fn minus(self, o: Rates) -> Rates {
        self.each(o, u64::saturating_sub)
    }
}

/// A controller's report to the leader and to the other controllers, about twice a second.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Word {
    /// The sender's registration and its monotonic clock.
    pub life: u64,
    pub clock: Micros,
    /// The last plan that it has applied: the leader's registration and the plan's number.
    pub plan: (u64, u64),
    /// The rates that it holds by that plan.
    pub holds: Rates,
    /// The rates that it could use beyond its fixed part.
    pub wants: Rates,
    /// New submissions per second, by flow.
    pub offered: Vec<(Flow, f64)>,
    /// Retry slots made since its last report.
    pub appointments: Vec<Appointment>,
}

/// One controller's lease in a plan.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Part {
    pub member: String,
    pub life: u64,
    /// The controller's clock in the last report that the leader received: the lease expires a term later.
    pub clock: Micros,
    pub rates: Rates,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Plan {
    pub leader: u64,
    pub number: u64,
    pub parts: Vec<Part>,
    /// The fraction of each flow's new submissions that is admitted, at any controller; above 0 and at most 1. A flow
    /// that is not named gets its max-min share of the controller's own rate.
    pub flows: Vec<(Flow, f64)>,
}

/// The lease that one controller holds.
#[derive(Debug, Default)]
pub struct Held {
    plan: (u64, u64),
    until: Micros,
    rates: Rates,
    flows: Vec<(Flow, f64)>,
}

impl Held {
    /// Applies a plan of the leader with this registration, if it is newer than the one held and has not expired.
    pub fn take(&mut self, now: Micros, me: (&str, u64), leader: u64, plan: &Plan) -> bool {
        if plan.leader != leader || (plan.leader, plan.number) <= self.plan {
            return false;
        }
        let Some(part) = plan.parts.iter().find(|p| (p.member.as_str(), p.life) == me) else { return false };
        let until = part.clock + TERM;
        if until <= now {
            return false;
        }
        *self =
            Held { plan: (plan.leader, plan.number), until, rates: part.rates, flows: plan.flows.clone() };
        true
    }

    /// The rates held beyond the fixed part at an instant: zero without a lease in force.
    pub fn rates(&self, now: Micros) -> Rates {
        if now < self.until { self.rates } else { Rates::default() }
    }

    /// The fraction of each flow that is admitted, while a plan is in force.
    pub fn in_force(&self, now: Micros) -> Option<&[(Flow, f64)]> {
        (now < self.until).then_some(self.flows.as_slice())
    }

    pub fn number(&self) -> (u64, u64) {
        self.plan
    }

    /// Drops the lease: a new registration starts without one.
    pub fn forget(&mut self) {
        *self = Held::default();
    }
}

/// What the leader knows of one controller.
#[derive(Debug, Default)]
struct Known {
    word: Word,
    heard: Micros,
    /// Leases that may be in force: the plan's number, when the lease has expired on the leader's clock, and its rates.
    given: Vec<(u64, Micros, Rates)>,
}

/// Makes the leader's plans.
#[derive(Debug)]
pub struct Planner {
    leader: u64,
    since: Micros,
    number: u64,
    /// The rates that can be leased.
    pool: Rates,
    known: BTreeMap<String, Known>,
}

impl Planner {
    pub fn new(now: Micros, leader: u64, pool: Rates) -> Planner {
        Planner { leader, since: now, number: 0, pool, known: BTreeMap::new() }
    }

    /// Records a controller's load report.
    pub fn heard(&mut self, now: Micros, member: &str, word: Word) {
        let known = self.known.entry(member.to_owned()).or_default();
        if known.word.life == word.life && word.clock < known.word.clock {
            return;
        }
        if word.plan.0 == self.leader && word.life == known.word.life {
            // It no longer applies an older plan.
            known.given.retain(|(number, ..)| *number >= word.plan.1);
        }
        known.heard = now;
        known.word = Word { appointments: Vec::new(), ..word };
    }

    /// The most that a controller may hold, by the leases sent to it and by its own report.
    fn may_hold(&self, now: Micros, known: &Known) -> Rates {
        let given = known.given.iter().filter(|(_, until, _)| now < *until);
        let given = given.fold(Rates::default(), |most, (.., rates)| most.max(*rates));
        if now < known.heard + term() { given.max(known.word.holds) } else { given }
    }

    /// Makes the next plan: for the controllers that reported within half a term and are still `members`.
    pub fn plan(&mut self, now: Micros, members: &[(String, u64)], submissions_per_s: f64) -> Plan {
        self.number += 1;
        let fresh = |k: &Known, member: &str| {
            now.since(k.heard) < Micros(TERM.0 / 2)
                && members.iter().any(|m| m.0 == member && m.1 == k.word.life)
        };
        let names: Vec<String> =
            self.known.iter().filter(|(m, k)| fresh(k, m)).map(|(m, _)| m.clone()).collect();
        let may: BTreeMap<&String, Rates> =
            self.known.iter().map(|(m, k)| (m, self.may_hold(now, k))).collect();
        let taken = may.values().fold(Rates::default(), |sum, r| sum.plus(*r));
        let mut free = self.pool.minus(taken);
        // Until the plans of a previous leader have expired, a rate that another controller may hold must not be
        // leased.
        if now < self.since + term() {
            free = Rates::default();
        }
        let target = self.targets(&names);
        let mut parts = Vec::new();
        for (name, target) in names.iter().zip(target) {
            let has = may.get(name).copied().unwrap_or_default();
            let more = target.minus(has).min(free);
            free = free.minus(more);
            parts.push((name.clone(), has.min(target).plus(more)));
        }
        drop(may);
        let mut plan =
            Plan { leader: self.leader, number: self.number, parts: Vec::new(), flows: Vec::new() };
        for (member, rates) in parts {
            let Some(known) = self.known.get_mut(&member) else { continue };
            known.given.retain(|(_, until, _)| now < *until);
            known.given.push((self.number, known.heard + term(), rates));
            let (life, clock) = (known.word.life, known.word.clock);
            plan.parts.push(Part { member, life, clock, rates });
        }
        let mut offered: BTreeMap<Flow, f64> = BTreeMap::new();
        for name in &names {
            for (flow, rate) in self.known.get(name).into_iter().flat_map(|k| &k.word.offered) {
                *offered.entry(flow.clone()).or_default() += rate;
            }
        }
        let offered: Vec<(Flow, f64)> = offered.into_iter().collect();
        let rates = flows::divide(&offered, submissions_per_s);
        let wanted: BTreeMap<&Flow, f64> = offered.iter().map(|(flow, rate)| (flow, *rate)).collect();
        let part = |(flow, rate): (Flow, f64)| {
            let part = rate / wanted.get(&flow)?;
            Some((flow, part.clamp(0.0, 1.0)))
        };
        plan.flows = rates.into_iter().filter_map(part).collect();
        let now_over =
            |k: &Known| now > k.heard + term() && k.given.iter().all(|(_, until, _)| *until <= now);
        self.known.retain(|_, k| !now_over(k));
        plan
    }

    /// The rates that each controller should have: max-min fair by what it could use, and an equal part of the rest.
    fn targets(&self, names: &[String]) -> Vec<Rates> {
        let wants = |name: &String| self.known.get(name).map_or(Rates::default(), |k| k.word.wants);
        let divide = |amount: fn(Rates) -> u64| {
            let party = |n: &String| Party { demand: amount(wants(n)) as f64 * HEADROOM, weight: 1.0 };
            let parties: Vec<Party> = names.iter().map(party).collect();
            let pool = amount(self.pool) as f64;
            let shares = fair::shares(&parties, pool);
            let rest = (pool - shares.iter().sum::<f64>()).max(0.0) / names.len().max(1) as f64;
            shares.into_iter().map(move |share| share + rest)
        };
        let (changes, calls) = (divide(|r| r.changes), divide(|r| r.calls));
        changes.zip(calls).map(|(a, b)| Rates { changes: a as u64, calls: b as u64 }).collect()
    }
}

/// The longest time for which a lease may be held, measured on another controller's clock.
fn term() -> Micros {
    TERM.mul_f64(1.0 + DRIFT)
}

#[cfg(test)]
mod tests {
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    use super::*;

    struct Node {
        name: String,
        life: u64,
        held: Held,
        planner: Option<Planner>,
        /// How far its clock is ahead.
        ahead: Micros,
        offers: f64,
    }

    /// Guards against exceeding the limits when messages are lost, duplicated and up to a minute late, controllers
    /// restart and leaders change: all controllers together never hold more than can be leased.
    #[test]
    fn whatever_is_lost_or_late_all_together_hold_no_more_than_there_is() {
        let pool = Rates { changes: 50_000, calls: 200_000 };
        for seed in 0..40 {
            let mut rng = StdRng::seed_from_u64(seed);
            let node = |n: u64| Node {
                name: format!("n-{n}"),
                life: n + 1,
                held: Held::default(),
                planner: None,
                ahead: Micros::from_secs(n * 1_000),
                offers: 1.0,
            };
            let mut nodes: Vec<Node> = (0..5).map(node).collect();
            let mut words: Vec<(u64, usize, Word)> = Vec::new();
            let mut plans: Vec<(u64, usize, Plan)> = Vec::new();
            let (mut leader, mut stamp, mut life) = (0, 100, 10);
            nodes[0].planner = Some(Planner::new(nodes[0].ahead, stamp, pool));
            let (mut most, mut led) = (0, 0);
            for ms in (0..200_000u64).step_by(100) {
                let clock = |n: &Node| n.ahead + Micros::from_millis(ms);
                let late = |rng: &mut StdRng| match rng.random_range(0..20) {
                    0 => 60_000,
                    1 => 5_000,
                    _ => rng.random_range(1..200),
                };
                if rng.random_range(0..60) == 0 {
                    // A controller restarts at once; the rates that its former registration held are still leased.
                    let n = rng.random_range(0..5);
                    life += 1;
                    nodes[n].held.forget();
                    nodes[n].life = life;
                    nodes[n].planner = None;
                }
                if nodes[leader].planner.is_none() || rng.random_range(0..150) == 0 {
                    nodes[leader].planner = None;
                    leader = rng.random_range(0..5);
                    stamp += 1;
                    let now = clock(&nodes[leader]);
                    nodes[leader].planner = Some(Planner::new(now, stamp, pool));
                }
                for (i, n) in nodes.iter_mut().enumerate() {
                    if ms % 500 == (i as u64) * 100 {
                        if rng.random_range(0..8) == 0 {
                            n.offers = rng.random_range(0.0..100.0);
                        }
                        let now = clock(n);
                        let wants = Rates { changes: (n.offers * 1e3) as u64, calls: 100_000 };
                        let (plan, holds) = (n.held.number(), n.held.rates(now));
                        let word =
                            Word { life: n.life, clock: now, plan, holds, wants, ..Default::default() };
                        for _ in 0..rng.random_range(0..3) {
                            words.push((ms + late(&mut rng), i, word.clone()));
                        }
                    }
                }
                let due = |at: u64| at <= ms;
                for (_, from, word) in words.extract_if(.., |w| due(w.0)).collect::<Vec<_>>() {
                    let (name, now) = (nodes[from].name.clone(), clock(&nodes[leader]));
                    if let Some(p) = &mut nodes[leader].planner {
                        p.heard(now, &name, word);
                    }
                }
                if ms % 1_000 == 0 {
                    let members: Vec<(String, u64)> =
                        nodes.iter().map(|n| (n.name.clone(), n.life)).collect();
                    let now = clock(&nodes[leader]);
                    if let Some(p) = &mut nodes[leader].planner {
                        let plan = p.plan(now, &members, 10.0);
                        for to in 0..5 {
                            for _ in 0..rng.random_range(0..3) {
                                plans.push((ms + late(&mut rng), to, plan.clone()));
                            }
                        }
                    }
                }
                for (_, to, plan) in plans.extract_if(.., |p| due(p.0)).collect::<Vec<_>>() {
                    let now = clock(&nodes[to]);
                    let n = &mut nodes[to];
                    led += u64::from(n.held.take(now, (&n.name, n.life), stamp, &plan));
                }
                let held = nodes.iter().map(|n| n.held.rates(clock(n)));
                let held = held.fold(Rates::default(), |sum, r| sum.plus(r));
                assert!(
                    held.changes <= pool.changes && held.calls <= pool.calls,
                    "seed {seed}, {ms} ms: {held:?} held of {pool:?}"
                );
                most = most.max(held.changes);
            }
            assert!(led > 100 && most > pool.changes / 2, "seed {seed}: {led} plans, at most {most} held");
        }
    }
}
