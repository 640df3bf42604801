//! Direct calls to workers: what is started and stopped without waiting for their next reports, and what their replies prove.

use crate::coordination::machines::MOST_ORDERS;
use crate::coordination::model::{Pending, TaskOn};
use crate::coordination::start_gate::StartGate;
use crate::coordination::{Controller, Effect};
use crate::protocol::units::Micros;
use crate::protocol::worker::{DirectReply, Order, TaskState};

/// How long beyond a late report a machine may stay unheard before it is asked whether it is there.
const OVERDUE: Micros = Micros::from_millis(1_200);

/// How long after a question that was not answered, or not carried out, the next is put.
const ASK_AGAIN: Micros = Micros::from_secs(1);

/// Questions without an answer after which a machine that nobody hears is taken for lost.
const UNANSWERED: u32 = 2;

impl Controller {
    /// Sends what is planned, and what is to be stopped, straight to the workers, rather than with the
    /// answers to their next reports, and asks machines that have just been granted how they stand.
    pub(super) fn speak(&mut self) {
        let Some(proof) = self.proof().filter(|_| self.placing) else { return };
        let now = self.now;
        let recent = Micros(self.report_every.0 * 2);
        let overdue = self.latest_report() + OVERDUE;
        let stamp = self.lease.as_ref().map_or(0, |l| l.stamp);
        let gate = StartGate::new(self.settled(), self.permits_in_force(), &self.jobs);
        for (name, m) in &mut self.machines {
            let mine = m.row.registration == stamp && m.row.owner == self.settings.member;
            let known = m.session != 0 || !m.resolved;
            if !mine || m.talking || m.addr.is_empty() || !known || now < m.talk_after || m.renew {
                continue;
            }
            // One never heard is most likely in its first session; if not, the reply tells.
            let (session, token) = (m.session.max(1), m.row.token);
            let mut orders = Vec::new();
            let unheard = !m.lost && m.heard.is_some_and(|at| now.since(at) > overdue);
            if m.resolved && (unheard || m.hearing.is_not_receiving()) {
                // Without orders: is it there at all?
                m.asked = true;
                m.talk_after = now + Micros::from_secs(1);
            } else if m.resolved {
                if m.session_at.is_none() || m.heard.is_none_or(|at| now.since(at) > recent) {
                    continue;
                }
                // Room is made before it is used. A stop that arrives late finds its attempt gone.
                for (id, t) in m.tasks.iter_mut().take(MOST_ORDERS) {
                    let grace = t.stop.filter(|_| !t.told && !t.ended() && !t.planned());
                    if let Some(grace) = grace.filter(|g| t.state != TaskState::Saving || *g == Micros::ZERO)
                    {
                        t.told = true;
                        self.counters.stops += 1;
                        let (task, grace_s) = (id.text(), grace.as_secs_f64());
                        orders.push(Order::Stop { task, attempt: t.attempt, grace_s });
                    }
                }
                for (id, t) in m.tasks.iter_mut().take(MOST_ORDERS) {
                    if let Some(permit) = gate.permit(name, id, t, &mut self.counters) {
                        t.pending = Some(Pending::Direct { session, token, permit, repeated: None });
                        t.since = now;
                        self.counters.starts += 1;
                        tracing::debug!(
                            machine = name,
                            task = id.text(),
                            attempt = t.attempt,
                            "run, directly"
                        );
                        self.conclusions.note_start(now, name, id, t.attempt);
                        orders.push(Order::Start { task: id.text(), attempt: t.attempt });
                        m.starting.push(id.clone());
                    }
                }
                if orders.is_empty() {
                    continue;
                }
            } else {
                // Without orders: the token alone fences the former owner's, and the reply says all.
                m.talk_after = now + Micros::from_secs(1);
            }
            m.talking = true;
            tracing::trace!(machine = name, token, session, ?orders, "called");
            let orders = proof.order(token, session, orders);
            self.effects.push(Effect::Orders { machine: name.clone(), addr: m.addr.clone(), orders });
        }
    }

    pub(super) fn worker_replied(&mut self, name: &str, token: u64, reply: DirectReply) {
        tracing::trace!(machine = name, token, ?reply, "replied");
        let now = self.now;
        let Some(m) = self.machines.get(name) else { return };
        // To a former registration's order it says nothing of what else that one had sent.
        if m.row.token != token || !self.owns(m) {
            self.counters.replies_misdirected += 1;
            return;
        }
        let Some(m) = self.machines.get_mut(name) else { return };
        m.talking = false;
        if !matches!(reply, DirectReply::Unclear | DirectReply::NotSent) {
            if m.hearing.is_not_receiving() {
                tracing::info!(machine = name, "hears again");
                m.apart = false;
            }
            m.hearing.mark_receiving();
        }
        let asked = std::mem::take(&mut m.asked);
        let starting = std::mem::take(&mut m.starting);
        let silent = matches!(reply, DirectReply::Unclear | DirectReply::NotSent);
        m.unanswered = if silent && !m.resolved { m.unanswered + 1 } else { 0 };
        m.lost |= silent && (asked || m.unanswered >= UNANSWERED && m.heard.is_none());
        let first_contact = m.session == 0;
        match &reply {
            DirectReply::Done(_) => {}
            DirectReply::Rejected(_) | DirectReply::NotSent => {
                // Certainly not carried out: the next report's answer takes them along, unless one has already. What an
                // earlier call started is not among them: it may be there.
                let mut answered_before = 0;
                for id in &starting {
                    if let Some(t) = m.tasks.get_mut(id)
                        && let Some(pending) = t.pending
                    {
                        answered_before += u64::from(pending.answered_too());
                        t.pending = Some(pending.call_failed());
                    }
                }
                self.counters.starts_already_answered += answered_before;
                if !starting.is_empty() {
                    let outcome = if silent { "not sent" } else { "rejected" };
                    let starts = starting.len();
                    tracing::info!(
                        machine = name,
                        token,
                        outcome,
                        starts,
                        answered_before,
                        "a call with starts was not carried out"
                    );
                }
                m.talk_after = if first_contact && !silent { now } else { now + ASK_AGAIN };
                if m.lost {
                    self.soon_status();
                }
                self.drop_disowned(name);
                self.drop_unpermitted(name);
            }
            DirectReply::Unclear if asked => self.soon_status(),
            DirectReply::Unclear => {
                m.talk_after = now + if starting.is_empty() { ASK_AGAIN } else { Micros::from_secs(3) };
                // Also where a report has shown the tasks since: an answer may have brought them, and this call comes yet.
                let unclear = |t: &TaskOn| matches!(t.pending, Some(Pending::Direct { .. }));
                m.renew |= !starting.is_empty() || m.tasks.values().any(unclear);
                self.soon_status();
            }
        }
        if let DirectReply::Done(report) | DirectReply::Rejected(report) = reply
            && let Some(m) = self.machines.get(name)
        {
            let newer = (report.session, report.tally) > (m.session, m.tally);
            if newer && report.machine == *name && report.token <= m.row.token && self.entitled() {
                self.take_report(*report, true);
            }
        }
    }
}
