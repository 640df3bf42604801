//! Admission of submissions and of calls to the state service: this controller's part of the service's rate limits, its
//! load reports, and the leader's rate plans.

use std::collections::HashMap;

use marblewalk_admission::flows::{Flow, FlowCounters, MAX_FLOWS};
use marblewalk_admission::pool::FlowShare;
use marblewalk_admission::rate_plan::{LoadReport, RatePlan, Rates};
use marblewalk_admission::submission_limiter::Capacity;

use crate::bookkeeping::call_queue::Urgency;
use crate::coordination::{Controller, Effect};
use crate::protocol::peer::PeerMessage;
use crate::protocol::units::Micros;

/// The usable part of the state service's limits. The rest is a margin for clock differences and for calls that the
/// service counts later than they were sent.
const LIMIT_MARGIN: f64 = 0.95;
/// The leader's part of the write limit. The leader writes grants and rentals, and with many controllers an even part
/// would not allow one grant per second.
const LEADER_WRITE_SHARE: f64 = 1.0 / 3.0;
/// The part of the limits that the leader's plans lease to controllers. The rest is divided statically.
const LEASED_SHARE: f64 = 0.25;
/// The part of a controller's writes that new submissions may use. The rest is for recording the progress and the end
/// of accepted jobs.
const SUBMISSION_WRITE_SHARE: f64 = 0.6;
/// How often controllers send load reports.
const LOAD_REPORT_INTERVAL: Micros = Micros::from_millis(500);
/// How often the leader publishes a rate plan.
const PLAN_INTERVAL: Micros = Micros::from_secs(1);

impl Controller {
    /// For the metrics: whether a rate plan is in force here, the number of open retry slots, and by team and class how
    /// many submissions were offered, admitted and deferred.
    pub fn admission_metrics(&self) -> (bool, usize, Vec<(Flow, FlowCounters)>) {
        let rows = self.submission_limiter.flows.iter().map(|(flow, row)| (flow, row.clone()));
        (
            self.held_rate_lease.admitted_fractions(self.now).is_some(),
            self.submission_limiter.retry_slot_count(),
            rows.collect(),
        )
    }

    /// For the metrics of the leader: demand and share of the teams and classes with the highest demand, and for how
    /// many seconds the oldest job of each has been waiting for its first task.
    pub fn pool_shares(&self) -> Vec<(&FlowShare, f64)> {
        let mut shares: Vec<&FlowShare> = self.leader_state.iter().flat_map(|l| &l.shares).collect();
        if shares.is_empty() {
            return Vec::new();
        }
        let mut oldest: HashMap<(&str, &str), f64> = HashMap::new();
        for job in self.jobs.values().filter(|j| j.placements.is_empty()) {
            let waits = oldest.entry((&job.spec.team, &job.spec.class)).or_default();
            *waits = waits.max(self.now.since(job.known_since).as_secs_f64());
        }
        shares.sort_by(|a, b| b.demand.total_cmp(&a.demand));
        let waits = |s: &FlowShare| oldest.get(&(s.team.as_str(), s.class.as_str())).copied();
        shares.into_iter().take(MAX_FLOWS).map(|s| (s, waits(s).unwrap_or(0.0))).collect()
    }

    fn controller_count(&self) -> f64 {
        self.settings.controller_names().len() as f64
    }

    /// The rates that the leader's plans divide; zero if there is only one controller.
    pub(super) fn leased_rates(&self) -> Rates {
        let leased = if self.controller_count() > 1.0 { LEASED_SHARE } else { 0.0 };
        let part = |limit: f64| (limit * LIMIT_MARGIN * leased * 1e3) as u64;
        let state = self.settings.params.state;
        Rates { writes: part(state.write_rps), calls: part(state.rps) }
    }

    /// Sets the rates of calls to the state service: this controller's static part plus what it holds by a plan in
    /// force.
    pub(super) fn set_rates(&mut self) {
        let (count, state) = (self.controller_count(), self.settings.params.state);
        let static_share = if count > 1.0 { LIMIT_MARGIN * (1.0 - LEASED_SHARE) } else { LIMIT_MARGIN };
        let leader_share = LEADER_WRITE_SHARE.max(1.0 / count);
        let is_leader = self.leader_state.is_some() || count == 1.0;
        let write_share = if is_leader { leader_share } else { (1.0 - leader_share) / (count - 1.0) };
        let held = self.held_rate_lease.rates(self.now);
        let calls = state.rps * static_share / count + held.calls as f64 / 1e3;
        let writes = state.write_rps * static_share * write_share + held.writes as f64 / 1e3;
        self.base_rates = (state.rps * static_share / count, state.write_rps * static_share * write_share);
        self.store_calls.set_rates(self.now, calls, writes);
    }

    /// This controller's present capacity for new submissions.
    pub(super) fn capacity(&self) -> Capacity {
        Capacity {
            submissions_per_s: self.store_calls.writes_per_s() * SUBMISSION_WRITE_SHARE,
            queue_delay: self.store_calls.queue_delay(Urgency::Acceptance),
        }
    }

    /// Sends this controller's load report and, if it is the leader, publishes the next rate plan, as each is due.
    pub(super) fn admission_tick(&mut self) {
        self.set_rates();
        self.submission_limiter.set_planned_fractions(self.held_rate_lease.admitted_fractions(self.now));
        if self.now >= self.next_load_report_at && self.entitled() && self.controller_count() > 1.0 {
            self.next_load_report_at = self.now + LOAD_REPORT_INTERVAL;
            let report = self.build_load_report();
            let planner = self.leader_state.as_mut().and_then(|l| l.planner.as_mut());
            if let Some(planner) = planner {
                planner.record_report(self.now, &self.settings.member, report.clone());
            }
            self.effects.push(Effect::Send(None, PeerMessage::LoadReport(report)));
        }
        if self.leader_state.as_ref().is_some_and(|l| self.now >= l.plan_at) && self.entitled() {
            self.publish_rate_plan();
        }
    }

    fn build_load_report(&mut self) -> LoadReport {
        let (calls, writes) = self.store_calls.wanted_rates(self.now);
        let beyond = |wanted: f64, own: f64| ((wanted - own).max(0.0) * 1e3) as u64;
        LoadReport {
            registration: self.lease.as_ref().map_or(0, |l| l.registration),
            clock: self.now,
            plan_id: self.held_rate_lease.plan_id(),
            held: self.held_rate_lease.rates(self.now),
            wanted: Rates {
                writes: beyond(writes, self.base_rates.1),
                calls: beyond(calls, self.base_rates.0),
            },
            offered_rates: self.submission_limiter.flows.offered_rates(self.now),
            retry_slots: self.submission_limiter.take_unsent_slots(self.now),
        }
    }

    fn publish_rate_plan(&mut self) {
        let members: Vec<(String, u64)> = self.registrations.iter().map(|(m, s)| (m.clone(), *s)).collect();
        let submissions = self.settings.params.state.write_rps * LIMIT_MARGIN * SUBMISSION_WRITE_SHARE;
        let Some(lead) = &mut self.leader_state else { return };
        lead.plan_at = self.now + PLAN_INTERVAL;
        let Some(planner) = &mut lead.planner else { return };
        let plan = planner.next_plan(self.now, &members, submissions);
        self.effects.push(Effect::Send(None, PeerMessage::RatePlan(plan.clone())));
        self.handle_rate_plan(&plan);
    }

    /// Handles another controller's load report.
    pub(super) fn handle_load_report(&mut self, from: &str, report: LoadReport) {
        self.submission_limiter.merge_slots(self.now, &report.retry_slots);
        if let Some(planner) = self.leader_state.as_mut().and_then(|l| l.planner.as_mut()) {
            planner.record_report(self.now, from, report);
        }
    }

    /// Applies a rate plan if it is from the recorded leader.
    pub(super) fn handle_rate_plan(&mut self, plan: &RatePlan) {
        let leader = self.leader.as_ref().map_or(0, |l| l.2);
        let registration = self.lease.as_ref().map_or(0, |l| l.registration);
        if self.held_rate_lease.apply(self.now, (&self.settings.member, registration), leader, plan) {
            self.set_rates();
        }
    }
}
