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

use crate::flows::{self, Flow};
use crate::max_min::{self, Claimant};
use crate::submission_limiter::RetrySlot;

/// How long a lease is held without a newer plan.
pub const LEASE_TERM: Micros = Micros::from_secs(4);
/// Monotonic clocks drift apart by less than this factor.
const MAX_CLOCK_DRIFT: f64 = 0.001;
/// Factor on the rates that a controller asks for, since it may ask for more the next time.
const HEADROOM: f64 = 1.25;

/// Rates of writes and of all calls, in thousandths per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Rates {
    pub writes: u64,
    pub calls: u64,
}

impl Rates {
    fn combine(self, o: Rates, f: impl Fn(u64, u64) -> u64) -> Rates {
        Rates { writes: f(self.writes, o.writes), calls: f(self.calls, o.calls) }
    }

    pub fn max(self, o: Rates) -> Rates {
        self.combine(o, u64::max)
    }

    pub fn min(self, o: Rates) -> Rates {
        self.combine(o, u64::min)
    }

    pub fn plus(self, o: Rates) -> Rates {
        self.combine(o, u64::saturating_add)
    }

    pub fn minus(self, o: Rates) -> Rates {
        self.combine(o, u64::saturating_sub)
    }
}

/// A controller's report to the leader and to the other controllers, about twice a second.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct LoadReport {
    /// The sender's registration and its monotonic clock.
    pub registration: u64,
    pub clock: Micros,
    /// The last plan that it has applied: the leader's registration and the plan's number.
    pub plan_id: (u64, u64),
    /// The rates that it holds by that plan.
    pub held: Rates,
    /// The rates that it could use beyond its fixed part.
    pub wanted: Rates,
    /// New submissions per second, by flow.
    pub offered_rates: Vec<(Flow, f64)>,
    /// Retry slots made since its last report.
    pub retry_slots: Vec<RetrySlot>,
}

/// One controller's lease in a plan.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RateLease {
    pub member: String,
    pub registration: u64,
    /// The controller's clock in the last report that the leader received: the lease expires a term later.
    pub clock: Micros,
    pub rates: Rates,
}

/// One plan of the leader.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RatePlan {
    /// The leader's registration.
    pub leader: u64,
    /// Counts the plans of this leader.
    pub number: u64,
    pub leases: Vec<RateLease>,
    /// The fraction of each flow's new submissions that is admitted, at any controller; above 0 and at most 1. A flow
    /// that is not named gets its max-min share of the controller's own rate.
    pub admitted_fractions: Vec<(Flow, f64)>,
}

/// The lease that one controller holds.
#[derive(Debug, Default)]
pub struct HeldLease {
    plan_id: (u64, u64),
    expires_at: Micros,
    rates: Rates,
    admitted_fractions: Vec<(Flow, f64)>,
}

impl HeldLease {
    /// Applies a plan of the leader with this registration, if it is newer than the one held and has not expired.
    pub fn apply(&mut self, now: Micros, me: (&str, u64), leader: u64, plan: &RatePlan) -> bool {
        if plan.leader != leader || (plan.leader, plan.number) <= self.plan_id {
            return false;
        }
        let Some(lease) = plan.leases.iter().find(|p| (p.member.as_str(), p.registration) == me) else {
            return false;
        };
        let expires_at = lease.clock + LEASE_TERM;
        if expires_at <= now {
            return false;
        }
        *self = HeldLease {
            plan_id: (plan.leader, plan.number),
            expires_at,
            rates: lease.rates,
            admitted_fractions: plan.admitted_fractions.clone(),
        };
        true
    }

    /// The rates held beyond the fixed part at an instant: zero without a lease in force.
    pub fn rates(&self, now: Micros) -> Rates {
        if now < self.expires_at { self.rates } else { Rates::default() }
    }

    /// The fraction of each flow that is admitted, while a plan is in force.
    pub fn admitted_fractions(&self, now: Micros) -> Option<&[(Flow, f64)]> {
        (now < self.expires_at).then_some(self.admitted_fractions.as_slice())
    }

    pub fn plan_id(&self) -> (u64, u64) {
        self.plan_id
    }

    /// Drops the lease: a new registration starts without one.
    pub fn reset(&mut self) {
        *self = HeldLease::default();
    }
}

/// What the leader knows of one controller.
#[derive(Debug, Default)]
struct ControllerState {
    report: LoadReport,
    reported_at: Micros,
    /// Leases that may be in force: the plan's number, when the lease has expired on the leader's clock, and its rates.
    outstanding: Vec<(u64, Micros, Rates)>,
}

/// Makes the leader's plans.
#[derive(Debug)]
pub struct Planner {
    leader: u64,
    leading_since: Micros,
    last_number: u64,
    /// The rates that can be leased.
    leasable: Rates,
    controllers: BTreeMap<String, ControllerState>,
}

impl Planner {
    pub fn new(now: Micros, leader: u64, leasable: Rates) -> Planner {
        Planner { leader, leading_since: now, last_number: 0, leasable, controllers: BTreeMap::new() }
    }

    /// Records a controller's load report.
    pub fn record_report(&mut self, now: Micros, member: &str, report: LoadReport) {
        let state = self.controllers.entry(member.to_owned()).or_default();
        if state.report.registration == report.registration && report.clock < state.report.clock {
            return;
        }
        if report.plan_id.0 == self.leader && report.registration == state.report.registration {
            // It no longer applies an older plan.
            state.outstanding.retain(|(number, ..)| *number >= report.plan_id.1);
        }
        state.reported_at = now;
        state.report = LoadReport { retry_slots: Vec::new(), ..report };
    }

    /// The most that a controller may hold, by the leases sent to it and by its own report.
    fn max_held(&self, now: Micros, state: &ControllerState) -> Rates {
        let outstanding = state.outstanding.iter().filter(|(_, expires_at, _)| now < *expires_at);
        let outstanding = outstanding.fold(Rates::default(), |most, (.., rates)| most.max(*rates));
        if now < state.reported_at + max_lease_time() {
            outstanding.max(state.report.held)
        } else {
            outstanding
        }
    }

    /// Makes the next plan: for the controllers that reported within half a term and are still `members`.
    pub fn next_plan(&mut self, now: Micros, members: &[(String, u64)], submissions_per_s: f64) -> RatePlan {
        self.last_number += 1;
        let is_current = |k: &ControllerState, member: &str| {
            now.since(k.reported_at) < Micros(LEASE_TERM.0 / 2)
                && members.iter().any(|m| m.0 == member && m.1 == k.report.registration)
        };
        let names: Vec<String> =
            self.controllers.iter().filter(|(m, k)| is_current(k, m)).map(|(m, _)| m.clone()).collect();
        let held_at_most: BTreeMap<&String, Rates> =
            self.controllers.iter().map(|(m, k)| (m, self.max_held(now, k))).collect();
        let total_held = held_at_most.values().fold(Rates::default(), |sum, r| sum.plus(*r));
        let mut free = self.leasable.minus(total_held);
        // Until the plans of a previous leader have expired, a rate that another controller may hold must not be
        // leased.
        if now < self.leading_since + max_lease_time() {
            free = Rates::default();
        }
        let target = self.targets(&names);
        let mut rates_by_member = Vec::new();
        for (name, target) in names.iter().zip(target) {
            let held = held_at_most.get(name).copied().unwrap_or_default();
            let added = target.minus(held).min(free);
            free = free.minus(added);
            rates_by_member.push((name.clone(), held.min(target).plus(added)));
        }
        drop(held_at_most);
        let mut plan = RatePlan {
            leader: self.leader,
            number: self.last_number,
            leases: Vec::new(),
            admitted_fractions: Vec::new(),
        };
        for (member, rates) in rates_by_member {
            let Some(state) = self.controllers.get_mut(&member) else { continue };
            state.outstanding.retain(|(_, expires_at, _)| now < *expires_at);
            state.outstanding.push((self.last_number, state.reported_at + max_lease_time(), rates));
            let (registration, clock) = (state.report.registration, state.report.clock);
            plan.leases.push(RateLease { member, registration, clock, rates });
        }
        let mut offered: BTreeMap<Flow, f64> = BTreeMap::new();
        for name in &names {
            for (flow, rate) in self.controllers.get(name).into_iter().flat_map(|k| &k.report.offered_rates) {
                *offered.entry(flow.clone()).or_default() += rate;
            }
        }
        let offered: Vec<(Flow, f64)> = offered.into_iter().collect();
        let rates = flows::divide(&offered, submissions_per_s);
        let wanted: BTreeMap<&Flow, f64> = offered.iter().map(|(flow, rate)| (flow, *rate)).collect();
        let fraction = |(flow, rate): (Flow, f64)| {
            let fraction = rate / wanted.get(&flow)?;
            Some((flow, fraction.clamp(0.0, 1.0)))
        };
        plan.admitted_fractions = rates.into_iter().filter_map(fraction).collect();
        let is_expired = |k: &ControllerState| {
            now > k.reported_at + max_lease_time()
                && k.outstanding.iter().all(|(_, expires_at, _)| *expires_at <= now)
        };
        self.controllers.retain(|_, k| !is_expired(k));
        plan
    }

    /// The rates that each controller should have: max-min fair by what it could use, and an equal part of the rest.
    fn targets(&self, names: &[String]) -> Vec<Rates> {
        let wanted_by =
            |name: &String| self.controllers.get(name).map_or(Rates::default(), |k| k.report.wanted);
        let divide = |amount: fn(Rates) -> u64| {
            let claimant =
                |n: &String| Claimant { demand: amount(wanted_by(n)) as f64 * HEADROOM, weight: 1.0 };
            let claimants: Vec<Claimant> = names.iter().map(claimant).collect();
            let pool = amount(self.leasable) as f64;
            let shares = max_min::shares(&claimants, pool);
            let rest = (pool - shares.iter().sum::<f64>()).max(0.0) / names.len().max(1) as f64;
            shares.into_iter().map(move |share| share + rest)
        };
        let (writes, calls) = (divide(|r| r.writes), divide(|r| r.calls));
        writes.zip(calls).map(|(a, b)| Rates { writes: a as u64, calls: b as u64 }).collect()
    }
}

/// The longest time for which a lease may be held, measured on another controller's clock.
fn max_lease_time() -> Micros {
    LEASE_TERM.mul_f64(1.0 + MAX_CLOCK_DRIFT)
}

#[cfg(test)]
mod tests {
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    use super::*;

    struct Node {
        name: String,
        registration: u64,
        held: HeldLease,
        planner: Option<Planner>,
        /// How far its clock is ahead.
        ahead: Micros,
        submissions_per_s: f64,
    }

    /// Guards against exceeding the limits when messages are lost, duplicated and up to a minute late, controllers
    /// restart and leaders change: all controllers together never hold more than can be leased.
    #[test]
    fn lost_and_late_messages_never_let_leases_exceed_the_limits() {
        let leasable = Rates { writes: 50_000, calls: 200_000 };
        for seed in 0..40 {
            let mut rng = StdRng::seed_from_u64(seed);
            let node = |n: u64| Node {
                name: format!("n-{n}"),
                registration: n + 1,
                held: HeldLease::default(),
                planner: None,
                ahead: Micros::from_secs(n * 1_000),
                submissions_per_s: 1.0,
            };
            let mut nodes: Vec<Node> = (0..5).map(node).collect();
            let mut reports: Vec<(u64, usize, LoadReport)> = Vec::new();
            let mut plans: Vec<(u64, usize, RatePlan)> = Vec::new();
            let (mut leader, mut leader_registration, mut registration) = (0, 100, 10);
            nodes[0].planner = Some(Planner::new(nodes[0].ahead, leader_registration, leasable));
            let (mut max_held, mut applied_plans) = (0, 0);
            for ms in (0..200_000u64).step_by(100) {
                let clock = |n: &Node| n.ahead + Micros::from_millis(ms);
                let random_delay = |rng: &mut StdRng| match rng.random_range(0..20) {
                    0 => 60_000,
                    1 => 5_000,
                    _ => rng.random_range(1..200),
                };
                if rng.random_range(0..60) == 0 {
                    // A controller restarts at once; the rates that its former registration held are still leased.
                    let n = rng.random_range(0..5);
                    registration += 1;
                    nodes[n].held.reset();
                    nodes[n].registration = registration;
                    nodes[n].planner = None;
                }
                if nodes[leader].planner.is_none() || rng.random_range(0..150) == 0 {
                    nodes[leader].planner = None;
                    leader = rng.random_range(0..5);
                    leader_registration += 1;
                    let now = clock(&nodes[leader]);
                    nodes[leader].planner = Some(Planner::new(now, leader_registration, leasable));
                }
                for (i, n) in nodes.iter_mut().enumerate() {
                    if ms % 500 == (i as u64) * 100 {
                        if rng.random_range(0..8) == 0 {
                            n.submissions_per_s = rng.random_range(0.0..100.0);
                        }
                        let now = clock(n);
                        let wanted = Rates { writes: (n.submissions_per_s * 1e3) as u64, calls: 100_000 };
                        let (plan_id, held) = (n.held.plan_id(), n.held.rates(now));
                        let report = LoadReport {
                            registration: n.registration,
                            clock: now,
                            plan_id,
                            held,
                            wanted,
                            ..Default::default()
                        };
                        for _ in 0..rng.random_range(0..3) {
                            reports.push((ms + random_delay(&mut rng), i, report.clone()));
                        }
                    }
                }
                let due = |at: u64| at <= ms;
                for (_, from, report) in reports.extract_if(.., |r| due(r.0)).collect::<Vec<_>>() {
                    let (name, now) = (nodes[from].name.clone(), clock(&nodes[leader]));
                    if let Some(p) = &mut nodes[leader].planner {
                        p.record_report(now, &name, report);
                    }
                }
                if ms % 1_000 == 0 {
                    let members: Vec<(String, u64)> =
                        nodes.iter().map(|n| (n.name.clone(), n.registration)).collect();
                    let now = clock(&nodes[leader]);
                    if let Some(p) = &mut nodes[leader].planner {
                        let plan = p.next_plan(now, &members, 10.0);
                        for to in 0..5 {
                            for _ in 0..rng.random_range(0..3) {
                                plans.push((ms + random_delay(&mut rng), to, plan.clone()));
                            }
                        }
                    }
                }
                for (_, to, plan) in plans.extract_if(.., |p| due(p.0)).collect::<Vec<_>>() {
                    let now = clock(&nodes[to]);
                    let n = &mut nodes[to];
                    applied_plans +=
                        u64::from(n.held.apply(now, (&n.name, n.registration), leader_registration, &plan));
                }
                let held = nodes.iter().map(|n| n.held.rates(clock(n)));
                let held = held.fold(Rates::default(), |sum, r| sum.plus(r));
                assert!(
                    held.writes <= leasable.writes && held.calls <= leasable.calls,
                    "seed {seed}, {ms} ms: {held:?} held of {leasable:?}"
                );
                max_held = max_held.max(held.writes);
            }
            assert!(
                applied_plans > 100 && max_held > leasable.writes / 2,
                "seed {seed}: {applied_plans} plans, at most {max_held} held"
            );
        }
    }
}
