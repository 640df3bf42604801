//! How this controller takes part in admission: its parts of the state service's limits, its word to
//! the others, and the leader's plans.

use std::collections::HashMap;

use marblewalk_admission::flows::{Flow, FlowCounters, MAX_FLOWS};
use marblewalk_admission::pool::FlowShare;
use marblewalk_admission::rate_plan::{LoadReport, RatePlan, Rates};
use marblewalk_admission::submission_limiter::Capacity;

use crate::bookkeeping::budget::Urgency;
use crate::coordination::{Controller, Effect};
use crate::protocol::peer::PeerMessage;
use crate::protocol::units::Micros;

/// What is kept of the store's limits for clocks and for calls counted later than they were sent.
const MARGIN: f64 = 0.95;
/// The leader's part of the changes that the store takes: grants and rentals are the leader's, and where
/// many controllers share the changes, an even part would not do for one grant a second.
const LEADERS_WRITES: f64 = 1.0 / 3.0;
/// The part of the limits that the leader leases by plans. The rest is always each controller's own.
const LEASED: f64 = 0.25;
/// The part of its changes that a controller spends on new submissions: those accepted must be able to
/// end.
const FOR_SUBMISSIONS: f64 = 0.6;
/// How often controllers speak of their doors, and the leader plans.
const WORDS_EVERY: Micros = Micros::from_millis(500);
const PLANS_EVERY: Micros = Micros::from_secs(1);

impl Controller {
    /// Whether a plan is in force here, appointments that are still to be kept, and what has been
    /// offered, taken and turned away of each team and class.
    pub fn at_the_door(&self) -> (bool, usize, Vec<(Flow, FlowCounters)>) {
        let rows = self.door.flows.iter().map(|(flow, row)| (flow, row.clone()));
        (self.held.admitted_fractions(self.now).is_some(), self.door.retry_slot_count(), rows.collect())
    }

    /// As the leader has divided the pools: demand and share of the teams and classes that want most, and
    /// how long the oldest job of each has been waiting for its first task, in seconds.
    pub fn pool_shares(&self) -> Vec<(&FlowShare, f64)> {
        let mut shares: Vec<&FlowShare> = self.lead.iter().flat_map(|l| &l.shares).collect();
        if shares.is_empty() {
            return Vec::new();
        }
        let mut oldest: HashMap<(&str, &str), f64> = HashMap::new();
        for job in self.jobs.values().filter(|j| j.on.is_empty()) {
            let waits = oldest.entry((&job.spec.team, &job.spec.class)).or_default();
            *waits = waits.max(self.now.since(job.since).as_secs_f64());
        }
        shares.sort_by(|a, b| b.demand.total_cmp(&a.demand));
        let waits = |s: &FlowShare| oldest.get(&(s.team.as_str(), s.class.as_str())).copied();
        shares.into_iter().take(MAX_FLOWS).map(|s| (s, waits(s).unwrap_or(0.0))).collect()
    }

    fn count(&self) -> f64 {
        self.settings.everyone().len() as f64
    }

    /// What the leader's plans divide: nothing where there is one controller.
    pub(super) fn leased_rates(&self) -> Rates {
        let leased = if self.count() > 1.0 { LEASED } else { 0.0 };
        let part = |limit: f64| (limit * MARGIN * leased * 1e3) as u64;
        let state = self.settings.params.state;
        Rates { writes: part(state.write_rps), calls: part(state.rps) }
    }

    /// Sets the rates of calls: this controller's own part, and what it holds by a plan in force.
    pub(super) fn set_rates(&mut self) {
        let (count, state) = (self.count(), self.settings.params.state);
        let own = if count > 1.0 { MARGIN * (1.0 - LEASED) } else { MARGIN };
        let leaders = LEADERS_WRITES.max(1.0 / count);
        let leads = self.lead.is_some() || count == 1.0;
        let part = if leads { leaders } else { (1.0 - leaders) / (count - 1.0) };
        let held = self.held.rates(self.now);
        let calls = state.rps * own / count + held.calls as f64 / 1e3;
        let writes = state.write_rps * own * part + held.writes as f64 / 1e3;
        self.own_rates = (state.rps * own / count, state.write_rps * own * part);
        self.calls.set_rates(self.now, calls, writes);
    }

    /// What can be let in at this controller's door now.
    pub(super) fn capacity(&self) -> Capacity {
        Capacity {
            submissions_per_s: self.calls.writes_per_s() * FOR_SUBMISSIONS,
            queue_delay: self.calls.delay(Urgency::Acceptance),
        }
    }

    /// Tells the others what is offered here, and as the leader makes the next plan.
    pub(super) fn admission_tick(&mut self) {
        self.set_rates();
        self.door.set_planned_fractions(self.held.admitted_fractions(self.now));
        if self.now >= self.word_at && self.entitled() && self.count() > 1.0 {
            self.word_at = self.now + WORDS_EVERY;
            let word = self.door_word();
            let plans = self.lead.as_mut().and_then(|l| l.planner.as_mut());
            if let Some(planner) = plans {
                planner.record_report(self.now, &self.settings.member, word.clone());
            }
            self.effects.push(Effect::Send(None, PeerMessage::LoadReport(word)));
        }
        if self.lead.as_ref().is_some_and(|l| self.now >= l.plan_at) && self.entitled() {
            self.plan_admission();
        }
    }

    fn door_word(&mut self) -> LoadReport {
        let (calls, changes) = self.calls.wanted(self.now);
        let beyond = |wanted: f64, own: f64| ((wanted - own).max(0.0) * 1e3) as u64;
        LoadReport {
            registration: self.lease.as_ref().map_or(0, |l| l.stamp),
            clock: self.now,
            plan_id: self.held.plan_id(),
            held: self.held.rates(self.now),
            wanted: Rates {
                writes: beyond(changes, self.own_rates.1),
                calls: beyond(calls, self.own_rates.0),
            },
            offered_rates: self.door.flows.offered_rates(self.now),
            retry_slots: self.door.take_unsent_slots(self.now),
        }
    }

    fn plan_admission(&mut self) {
        let members: Vec<(String, u64)> = self.nodes.iter().map(|(m, s)| (m.clone(), *s)).collect();
        let submissions = self.settings.params.state.write_rps * MARGIN * FOR_SUBMISSIONS;
        let Some(lead) = &mut self.lead else { return };
        lead.plan_at = self.now + PLANS_EVERY;
        let Some(planner) = &mut lead.planner else { return };
        let plan = planner.next_plan(self.now, &members, submissions);
        self.effects.push(Effect::Send(None, PeerMessage::RatePlan(plan.clone())));
        self.plan_said(&plan);
    }

    /// Another controller's word on its door.
    pub(super) fn door_said(&mut self, from: &str, word: LoadReport) {
        self.door.merge_slots(self.now, &word.retry_slots);
        if let Some(planner) = self.lead.as_mut().and_then(|l| l.planner.as_mut()) {
            planner.record_report(self.now, from, word);
        }
    }

    /// A plan, which counts if it is the recorded leader's.
    pub(super) fn plan_said(&mut self, plan: &RatePlan) {
        let leader = self.leader.as_ref().map_or(0, |l| l.2);
        let life = self.lease.as_ref().map_or(0, |l| l.stamp);
        if self.held.apply(self.now, (&self.settings.member, life), leader, plan) {
            self.set_rates();
        }
    }
}
