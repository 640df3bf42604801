//! Sends direct calls to workers, which start and stop tasks without waiting for the workers' next reports, and handles
//! their replies.

use crate::coordination::model::{PendingStart, PlacedTask};
use crate::coordination::order_log::{OrderLog, StopReason};
use crate::coordination::start_gate::StartGate;
use crate::coordination::worker_reports::MAX_ORDERS;
use crate::coordination::{Controller, Effect};
use crate::protocol::units::Micros;
use crate::protocol::worker::{DirectReply, Order, TaskState};

/// How long after its report is late a machine is probed by a direct call without orders.
const PROBE_DELAY: Micros = Micros::from_millis(1_200);

/// Delay of the next direct call after one that was not answered or not carried out.
const CALL_RETRY_DELAY: Micros = Micros::from_secs(1);

/// Number of consecutive unanswered calls after which a machine that has sent no message counts as unresponsive.
const MAX_UNANSWERED_CALLS: u32 = 2;

impl Controller {
    /// Sends planned starts and due stops directly to the workers rather than with the answers to their next reports,
    /// asks machines that have just been granted for their tasks, and probes machines whose reports are overdue.
    pub(super) fn send_direct_calls(&mut self) {
        let Some(proof) = self.authorization().filter(|_| self.is_view_member) else { return };
        let now = self.now;
        let recent = Micros(self.report_every.0 * 2);
        let overdue = self.max_report_gap() + PROBE_DELAY;
        let registration = self.lease.as_ref().map_or(0, |l| l.registration);
        let knowledge = self.knowledge_stamp();
        let gate = StartGate::new(self.confirmed_through(), self.active_permit(), &self.jobs);
        for (name, m) in &mut self.machines {
            let mine = m.row.registration == registration && m.row.owner == self.settings.member;
            let known = m.session != 0 || !m.resolved;
            if !mine
                || m.call_in_flight
                || m.addr.is_empty()
                || !known
                || now < m.next_call_at
                || m.token_renewal_needed
            {
                continue;
            }
            // A worker that has never sent a message is most likely in its first session. If not, its reply contains
            // the session.
            let (session, token) = (m.session.max(1), m.token);
            let log = OrderLog::new(name, m, session, None, knowledge);
            let mut orders = Vec::new();
            let silent = !m.unresponsive && m.last_received_at.is_some_and(|at| now.since(at) > overdue);
            if m.resolved && (silent || m.delivery.is_not_receiving()) {
                // A call without orders probes whether the machine still answers.
                m.probe_in_flight = true;
                m.next_call_at = now + Micros::from_secs(1);
            } else if m.resolved {
                if m.session_seen_at.is_none() || m.last_received_at.is_none_or(|at| now.since(at) > recent) {
                    continue;
                }
                // Stops come before starts, to free the resources that the starts need. A stop that arrives late has no
                // effect, since it names an attempt that has already gone.
                for (id, t) in m.tasks.iter_mut().take(MAX_ORDERS) {
                    let grace = t.stop_grace.filter(|_| !t.stop_sent && !t.ended() && !t.planned());
                    if let Some(grace) = grace.filter(|g| t.state != TaskState::Saving || *g == Micros::ZERO)
                    {
                        t.stop_sent = true;
                        self.counters.stops += 1;
                        log.stop(id, t, StopReason::Requested);
                        let (task, grace_s) = (id.text(), grace.as_secs_f64());
                        orders.push(Order::Stop { task, attempt: t.attempt, grace_s });
                    }
                }
                for (id, t) in m.tasks.iter_mut().take(MAX_ORDERS) {
                    if let Some(permit) = gate.permit(name, id, t, &mut self.counters) {
                        t.pending =
                            Some(PendingStart::SentDirectly { session, token, permit, repeated: None });
                        t.highest_call_token = Some(token);
                        t.started_at = now;
                        self.counters.starts += 1;
                        log.start(id, t);
                        self.conclusions.record_start(now, name, id, t.attempt);
                        orders.push(Order::Start { task: id.text(), attempt: t.attempt });
                        m.starts_in_call.push(id.clone());
                    }
                }
                if orders.is_empty() {
                    continue;
                }
            } else {
                // A call without orders suffices: its token fences off the former owner's orders, and the reply lists
                // the worker's tasks.
                m.next_call_at = now + Micros::from_secs(1);
            }
            m.call_in_flight = true;
            tracing::trace!(machine = name, token, session, ?orders, "direct call sent");
            let orders = proof.order(token, session, orders);
            self.effects.push(Effect::Orders { machine: name.clone(), addr: m.addr.clone(), orders });
        }
    }

    /// Handles the outcome of a direct call that was sent under `token`.
    pub(super) fn handle_direct_reply(&mut self, name: &str, token: u64, reply: DirectReply) {
        tracing::trace!(machine = name, token, ?reply, "reply to direct call");
        let now = self.now;
        let Some(m) = self.machines.get(name) else { return };
        // A reply to a call of a former registration or grant is dropped: it proves nothing about the other orders that
        // were sent under it.
        if !m.has_used_token(token) || !self.owns(m) {
            self.counters.replies_misdirected += 1;
            return;
        }
        let Some(m) = self.machines.get_mut(name) else { return };
        m.call_in_flight = false;
        if !matches!(reply, DirectReply::Unclear | DirectReply::NotSent) {
            if m.delivery.is_not_receiving() {
                tracing::info!(machine = name, "machine receives messages again");
                m.quarantined = false;
            }
            m.delivery.mark_receiving();
        }
        let asked = std::mem::take(&mut m.probe_in_flight);
        let starting = std::mem::take(&mut m.starts_in_call);
        let no_reply = matches!(reply, DirectReply::Unclear | DirectReply::NotSent);
        m.unanswered_calls = if no_reply && !m.resolved { m.unanswered_calls + 1 } else { 0 };
        m.unresponsive |=
            no_reply && (asked || m.unanswered_calls >= MAX_UNANSWERED_CALLS && m.last_received_at.is_none());
        let first_contact = m.session == 0;
        match &reply {
            DirectReply::Done(_) => {}
            DirectReply::Rejected(_) | DirectReply::NotSent => {
                // The call's starts were certainly not carried out. The answer to the next report will contain them,
                // unless an earlier answer has already. Starts of earlier calls are not affected, since those may have
                // arrived.
                let mut answered_before = 0;
                for id in &starting {
                    if let Some(t) = m.tasks.get_mut(id)
                        && let Some(pending) = t.pending
                    {
                        answered_before += u64::from(pending.is_also_in_answer());
                        t.pending = Some(pending.after_failed_call());
                    }
                }
                self.counters.starts_already_answered += answered_before;
                if !starting.is_empty() {
                    let outcome = if no_reply { "not sent" } else { "rejected" };
                    let starts = starting.len();
                    tracing::info!(
                        machine = name,
                        token,
                        outcome,
                        starts,
                        answered_before,
                        "direct call with starts was not carried out"
                    );
                }
                m.next_call_at = if first_contact && !no_reply { now } else { now + CALL_RETRY_DELAY };
                if m.unresponsive {
                    self.schedule_status();
                }
                self.drop_disowned_starts(name);
                self.drop_unpermitted_starts(name);
            }
            DirectReply::Unclear if asked => self.schedule_status(),
            DirectReply::Unclear => {
                m.next_call_at =
                    now + if starting.is_empty() { CALL_RETRY_DELAY } else { Micros::from_secs(3) };
                // A fresh token is also needed if a report has shown the tasks since: they may have been started by an
                // answer, while this call is still in transit.
                let unclear = |t: &PlacedTask| matches!(t.pending, Some(PendingStart::SentDirectly { .. }));
                m.token_renewal_needed |= !starting.is_empty() || m.tasks.values().any(unclear);
                self.schedule_status();
            }
        }
        if let DirectReply::Done(report) | DirectReply::Rejected(report) = reply
            && let Some(m) = self.machines.get(name)
        {
            let newer = (report.session, report.tally) > (m.session, m.tally);
            if newer && report.machine == *name && report.token <= m.token && self.entitled() {
                self.apply_report(*report, true);
            }
        }
    }
}
