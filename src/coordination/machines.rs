//! Workers' reports: whose they are, what they prove, and the orders that answer them.

use std::collections::BTreeMap;

use marblewalk_delivery::ReportedState;

use crate::bookkeeping::records;
use crate::coordination::conclusions::Evidence;
use crate::coordination::knowledge::Proof;
use crate::coordination::model::{Machine, Pending, TaskOn};
use crate::coordination::pending::Heard;
use crate::coordination::removal::Removal;
use crate::coordination::start_gate::StartGate;
use crate::coordination::{Answer, Controller, Effect, RequestId};
use crate::protocol::peer::{PeerMessage, StopRequest};
use crate::protocol::units::Micros;
use crate::protocol::worker::{Cause, Order, Report, ReportAnswer, TaskId, TaskState};

/// Orders in one answer: with the longest ids they stay far below 64 KiB.
pub(super) const MOST_ORDERS: usize = 300;

/// How long after a grant a worker may still not have found its owner.
const SETTLED: Micros = Micros::from_secs(10);

impl Controller {
    pub(super) fn reported(&mut self, request: RequestId, report: Report) {
        self.counters.reports += 1;
        let Some(proof) = self.proof() else {
            return self.answer(request, Answer::Later(1));
        };
        let Some(machine) = self.machines.get(&report.machine) else {
            self.check_report(&report, Evidence::OutOfDate);
            self.report_stray(report);
            return self.answer(request, Answer::Elsewhere(None));
        };
        if machine.unused() {
            self.report_stray(report);
            return self.answer(request, Answer::Elsewhere(None));
        }
        let row = &machine.row;
        if (&row.kind, &row.zone, row.spot) != (&report.kind, &report.zone, report.spot) {
            // Another machine's name, or a mistake: its tasks must not be taken for that machine's.
            self.counters.reports_odd += 1;
            tracing::warn!(
                machine = report.machine,
                kind = report.kind,
                zone = report.zone,
                "a report that does not fit the machine's record"
            );
            return self.answer(request, Answer::Later(1));
        }
        if !self.owns(machine) {
            // Sending a worker to a controller that has gone would only send it round in circles.
            let owner = machine.row.owner.clone();
            let there = owner != self.me() && self.nodes.get(&owner) == Some(&machine.row.node);
            // One that its owner has had for a while knows whose it is.
            let settled = machine.resolved && self.now.since(machine.granted) > SETTLED;
            self.check_report(&report, Evidence::AnotherController);
            self.turned_here(&owner, &report.machine, settled);
            self.report_heard(&report.machine);
            return self.answer(request, Answer::Elsewhere(there.then_some(owner)));
        }
        // A report held back on its way is older than what is known; a newer grant than the one
        // known here means that the machine is no longer this controller's.
        let newer = (report.session, report.tally) > (machine.session, machine.tally);
        // Overtaken by the worker's reply to direct orders, it is answered all the same.
        let overtaken = report.session == machine.session && report.tally > machine.reported;
        if !(newer || overtaken) || report.token > machine.row.token {
            self.counters.reports_stale += 1;
            self.check_report(&report, Evidence::OutOfDate);
            return self.answer(request, Answer::Later(1));
        }
        let name = report.machine.clone();
        let (session, tally) = (report.session, report.tally);
        let shown = self.judge_hearing(&report);
        if newer {
            self.take_report(report, false);
        }
        if let Some(machine) = self.machines.get_mut(&name) {
            machine.reported = tally;
            machine.heard = Some(self.now);
            machine.lost = machine.hearing.is_not_receiving();
        }
        if self.given_up_as_deaf(&name) {
            return self.answer(request, Answer::Later(1));
        }
        let placed = self.may_place();
        if placed {
            self.place();
            self.status_tick();
        }
        let answer = self.orders_for(&proof, &name, session, tally);
        let starts = answer.orders.iter().any(|o| matches!(o, Order::Start { .. }));
        if let Some(machine) = self.machines.get_mut(&name) {
            machine.hearing.answered(self.now, shown, answer.token, starts);
        }
        self.answer(request, Answer::Orders(answer));
        if placed {
            self.speak();
        }
    }

    /// What a report shows of the answers before it: a start that was ordered then, or its token.
    fn judge_hearing(&mut self, report: &Report) -> ReportedState {
        let (session, tally, token) = (report.session, report.tally, report.token);
        let Some(machine) = self.machines.get_mut(&report.machine) else {
            return ReportedState { session, tally, token, lists_start: false };
        };
        let ordered = |id: &TaskId, attempt: u64| {
            let known = machine.tasks.get(id).filter(|t| t.attempt == attempt);
            known.is_some_and(|t| t.pending.is_some_and(Pending::sent))
        };
        let mut tasks = report.tasks.iter().filter_map(|t| Some((TaskId::parse(&t.task)?, t.attempt)));
        let start = tasks.any(|(id, attempt)| ordered(&id, attempt));
        let shown = ReportedState { session, tally, token, lists_start: start };
        machine.hearing.reported(self.now, shown, self.worker_lease.mul_f64(0.8));
        shown
    }

    /// Nothing that a machine is told arrives. It is answered no more, so that its lease certainly ends: then its
    /// tasks are gone, and a withdrawal holds there too. After more than its lease it has lost its tasks again and
    /// again, and is returned. Unless so many don't hear that the fault is rather on this side: a controller that is
    /// behind with its answers must not let all its workers go.
    fn given_up_as_deaf(&mut self, name: &str) -> bool {
        let Some(since) = self.machines.get(name).and_then(|m| m.hearing.not_receiving_since()) else {
            return false;
        };
        let own = || self.machines.values().filter(|m| self.owns(m));
        if own().filter(|m| m.hearing.is_not_receiving()).count() * 4 > own().count().max(8) {
            return false;
        }
        self.soon_status();
        let long = self.now.since(since) > self.worker_lease + Micros::from_secs(5);
        if let Some(machine) = self.machines.get_mut(name).filter(|m| long && !m.apart) {
            machine.apart = true;
            tracing::warn!(
                machine = name,
                "set apart: its reports come, and nothing that it is told arrives"
            );
            self.soon_round();
        }
        true
    }

    /// Updates what is known of a machine from its own words.
    pub(super) fn take_report(&mut self, report: Report, direct: bool) {
        tracing::trace!(?report, "report");
        self.check_evidence(&report, direct);
        let now = self.now;
        let name = report.machine;
        let mut seen: BTreeMap<TaskId, TaskOn> = BTreeMap::new();
        let mut ended = Vec::new();
        let Some(machine) = self.machines.get(&name) else { return };
        let was_idle = machine.idle();
        let was_ready = machine.heard.is_some();
        // Until the worker has seen the present token, its report may be older than what is known, and what a former
        // holder ordered may still arrive.
        let fenced = report.token >= machine.row.token;
        for t in &report.tasks {
            let Some(id) = TaskId::parse(&t.task) else { continue };
            let known = machine.tasks.get(&id);
            let same = known.filter(|k| k.attempt == t.attempt);
            if t.state == TaskState::Ended && same.is_none_or(|k| !k.ended()) {
                ended.push((id.clone(), t.cause.unwrap_or(Cause::Other)));
            }
            // A later attempt is there only once the earlier one has gone from the machine.
            if let Some(later) = known.filter(|k| !fenced && k.attempt > t.attempt) {
                seen.insert(id, later.clone());
                continue;
            }
            let on = TaskOn {
                attempt: t.attempt,
                state: t.state,
                cause: t.cause,
                need: known.map(|k| k.need).unwrap_or_else(|| self.need_of(&id.job)),
                pending: None,
                announced: 0,
                stop: same.and_then(|k| k.stop),
                told: same.is_some_and(|k| k.told),
                since: same.map_or(now, |k| k.since),
            };
            seen.insert(id, on);
        }
        // A start that the message does not show may still be made by what is on its way.
        let heard = Heard { session: report.session, token: report.token, direct };
        for (id, t) in &machine.tasks {
            if !fenced || t.pending.is_some_and(|pending| pending.may_arrive(heard)) {
                seen.entry(id.clone()).or_insert_with(|| t.clone());
            }
        }
        let changed = seen.len() != machine.tasks.len()
            || seen.iter().any(|(id, t)| machine.tasks.get(id).is_none_or(|k| k.state != t.state));
        for (id, t) in &seen {
            if let Some(job) = self.jobs.get_mut(&id.job) {
                job.attempt = job.attempt.max(t.attempt);
            }
        }
        self.replace_tasks(&name, seen, Removal::NotReported);
        self.remember_images(&name);
        let Some(machine) = self.machines.get_mut(&name) else { return };
        let noticed = report.notice_s.is_some();
        let news = changed || noticed != machine.notice || !was_ready;
        if report.session != machine.session || machine.session_at.is_none() {
            machine.session_at = Some(now);
        }
        machine.session = report.session;
        machine.tally = report.tally;
        if !report.addr.is_empty() {
            machine.addr = report.addr;
        }
        machine.heard = machine.heard.filter(|_| direct).or(Some(now));
        machine.up = true;
        machine.lost = machine.hearing.is_not_receiving();
        machine.notice = noticed;
        machine.silent_since = None;
        if !was_idle || !machine.idle() {
            machine.idle_since = now;
        }
        let newly = fenced && !machine.resolved;
        machine.resolved |= fenced;
        machine.known |= fenced;
        if let Some(left) = report.notice_s {
            let left = Micros::from_secs_f64(left).since(Micros::from_secs(1));
            for t in machine.tasks.values_mut().filter(|t| !t.ended() && t.stop.is_none()) {
                t.stop = Some(left);
            }
        }
        for (task, cause) in ended {
            self.task_ended(&name, &task, cause);
        }
        if newly {
            self.ledger.holder_reported(&name, &self.life(), true);
            self.check_adoption();
        }
        if news || newly {
            self.soon_status();
            self.soon_round();
            self.place_due = true;
        }
    }

    /// How long after the last one a worker's regular report comes at the latest.
    pub(super) fn latest_report(&self) -> Micros {
        self.report_every.mul_f64(1.25)
    }

    /// What a machine's tasks run from is in its cache.
    pub(super) fn remember_images(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let cache_gb = self.types.get(&machine.row.kind).map_or(0.0, |t| t.cache_gb);
        let has_it = |t: &TaskOn| matches!(t.state, TaskState::Running | TaskState::Waiting);
        let jobs =
            machine.tasks.iter().filter(|(_, t)| has_it(t)).filter_map(|(id, _)| self.jobs.get(&id.job));
        let images: BTreeMap<&str, f64> = jobs.map(|j| (j.spec.image.as_str(), j.spec.image_gb)).collect();
        for (image, gb) in images {
            machine.remember_image(image, gb, cache_gb);
        }
    }

    fn task_ended(&mut self, name: &str, task: &TaskId, cause: Cause) {
        self.counters.completions += u64::from(cause == Cause::Done);
        self.counters.task_errors += u64::from(cause == Cause::Error);
        if cause == Cause::Done {
            self.completed(task);
        }
        self.note_outcome(name, task, cause);
    }

    /// The answer to a report: all orders that are due on the machine.
    fn orders_for(&mut self, proof: &Proof, name: &str, session: u64, tally: u64) -> ReportAnswer {
        let mut orders = Vec::new();
        // A start that was planned and is no longer wanted has never been sent.
        let unwanted: Vec<TaskId> = self
            .machines
            .get(name)
            .map(|m| m.tasks.iter().filter(|(_, t)| t.stop.is_some()).map(|(id, _)| id.clone()).collect())
            .unwrap_or_default();
        self.drop_planned(name, |id| unwanted.contains(id));
        self.drop_disowned(name);
        self.drop_unpermitted(name);
        let live: BTreeMap<String, bool> = self
            .machines
            .get(name)
            .map(|m| m.tasks.keys().map(|t| (t.job.clone(), self.is_live(&t.job))).collect())
            .unwrap_or_default();
        let stored: Vec<TaskId> = self
            .machines
            .get(name)
            .filter(|m| !m.renew)
            .map(|m| {
                m.tasks
                    .iter()
                    // While its start may still arrive, a task that is forgotten would run again.
                    .filter(|(id, t)| t.ended() && self.may_forget(id, t) && !m.starting.contains(id))
                    .map(|(id, _)| id.clone())
                    .collect()
            })
            .unwrap_or_default();
        let now = self.now;
        let gate = StartGate::new(self.settled(), self.permits_in_force(), &self.jobs);
        let Some(machine) = self.machines.get_mut(name) else {
            return proof.answer(0, orders);
        };
        // Room is made before it is used.
        for (id, t) in &mut machine.tasks {
            if t.ended() {
                if stored.contains(id) {
                    orders.push(Order::Forget { task: id.text(), attempt: t.attempt });
                }
                continue;
            }
            if !live.get(&id.job).copied().unwrap_or(false) {
                // No live job has it: it was withdrawn, or completed elsewhere.
                t.stop = Some(Micros::ZERO);
            }
            if let Some(grace) = t.stop
                && !t.planned()
                && (t.state != TaskState::Saving || grace == Micros::ZERO)
            {
                self.counters.stops += 1;
                orders.push(Order::Stop {
                    task: id.text(),
                    attempt: t.attempt,
                    grace_s: grace.as_secs_f64(),
                });
            }
        }
        for (id, t) in &mut machine.tasks {
            if orders.len() >= MOST_ORDERS {
                break;
            }
            // Repeated: without effect where it has arrived.
            if t.stop.is_none()
                && let Some(pending) = &mut t.pending
                && pending.repeat(tally, machine.row.token)
            {
                orders.push(Order::Start { task: id.text(), attempt: t.attempt });
            }
            if gate.permit(name, id, t, &mut self.counters).is_some() {
                t.pending = Some(Pending::Sent { session, tally });
                t.since = now;
                self.counters.starts += 1;
                tracing::debug!(machine = name, task = id.text(), attempt = t.attempt, tally, "run");
                self.conclusions.note_start(now, name, id, t.attempt);
                orders.push(Order::Start { task: id.text(), attempt: t.attempt });
            }
        }
        tracing::trace!(machine = name, token = machine.row.token, session, tally, ?orders, "answered");
        machine.answered = Some(now);
        proof.answer(machine.row.token, orders)
    }

    /// Whether the records have a job, readable or not.
    pub(super) fn is_live(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
            || !self.unreadable.is_empty() && self.unreadable.contains(&records::live(job))
    }

    /// An ended task may be forgotten once nothing is left to learn from it.
    fn may_forget(&self, id: &TaskId, task: &TaskOn) -> bool {
        match task.cause {
            Some(Cause::Done) => self.is_stored(id),
            _ => true,
        }
    }

    /// Takes back planned starts of jobs that are over or have another owner by now.
    pub(super) fn drop_disowned(&mut self, name: &str) {
        let me = self.settings.member.as_str();
        let Some(machine) = self.machines.get(name) else { return };
        let planned = machine.tasks.iter().filter(|(_, t)| t.planned());
        let foreign = |id: &TaskId| self.jobs.get(&id.job).is_none_or(|j| j.owner.as_deref() != Some(me));
        let disowned: Vec<TaskId> = planned.map(|(id, _)| id).filter(|id| foreign(id)).cloned().collect();
        if !disowned.is_empty() {
            self.drop_planned(name, |id| disowned.contains(id));
        }
    }

    /// Asks for a task to be stopped, if this controller holds its machine.
    pub(super) fn request_stop(&mut self, name: &str, task: &TaskId, attempt: u64, grace: Micros) {
        if let Some(machine) = self.machines.get(name)
            && self.owns(machine)
            && let Some(machine) = self.machines.get_mut(name)
            && let Some(t) = machine.tasks.get_mut(task)
            && t.attempt == attempt
            && !t.ended()
        {
            t.stop = Some(t.stop.map_or(grace, |g| g.min(grace)));
        }
    }

    /// Stops wanted by this controller's jobs on machines that others hold.
    pub(super) fn foreign_stops(&mut self) -> Vec<StopRequest> {
        let mut stops = Vec::new();
        // Every status asks, and only now and then has anything been stopped.
        if !std::mem::take(&mut self.stops_abroad) {
            return stops;
        }
        for machine in self.machines.values().filter(|m| !self.owns(m)) {
            for (id, t) in machine.tasks.iter().filter(|(_, t)| !t.ended()) {
                if let Some(grace) = t.stop
                    && self.jobs.get(&id.job).is_some_and(|j| j.owner.as_deref() == Some(self.me()))
                {
                    stops.push(StopRequest {
                        machine: machine.row.machine.clone(),
                        task: id.clone(),
                        attempt: t.attempt,
                        grace_ms: grace.as_millis(),
                    });
                }
            }
        }
        self.stops_abroad = !stops.is_empty();
        stops
    }

    /// Seconds since a machine's owner heard it.
    pub(super) fn dark(&self, machine: &Machine) -> u32 {
        if self.owns(machine) {
            self.now.since(machine.heard.unwrap_or(machine.since)).as_secs_f64() as u32
        } else {
            machine.silent_since.map_or(0, |at| self.now.since(at).as_secs_f64() as u32)
        }
    }

    /// Where machines can be reached that have not reported here yet.
    pub(super) fn take_addresses(&mut self, list: &[(String, String)]) {
        for (name, addr) in list {
            if let Some(machine) = self.machines.get_mut(name).filter(|m| m.addr.is_empty()) {
                machine.addr.clone_from(addr);
                self.place_due = true;
            }
        }
    }

    /// Passes on that a machine has turned to this controller instead of its owner.
    fn report_heard(&mut self, machine: &str) {
        let me = self.settings.member.clone();
        if self.lead.is_some() {
            self.heard_elsewhere(machine.to_owned(), me);
        } else if let Some((leader, ..)) = &self.leader {
            let heard = PeerMessage::MisdirectedReport { machine: machine.to_owned() };
            self.effects.push(Effect::Send(Some(leader.clone()), heard));
        }
    }

    /// Passes on that a machine is up which no block names.
    fn report_stray(&mut self, report: Report) {
        let stray = PeerMessage::UnrecordedMachine {
            machine: report.machine.clone(),
            kind: report.kind.clone(),
            zone: report.zone.clone(),
            spot: report.spot,
        };
        if self.lead.is_some() {
            self.stray(report.machine, report.kind, report.zone, report.spot);
        } else if let Some((leader, ..)) = &self.leader {
            self.effects.push(Effect::Send(Some(leader.clone()), stray));
        }
    }
}
