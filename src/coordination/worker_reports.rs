//! Handles workers' reports: checks which controller a report belongs to, applies it, and answers it with orders.

use std::collections::BTreeMap;

use marblewalk_delivery::ReportedState;

use crate::bookkeeping::records;
use crate::coordination::conclusions::Evidence;
use crate::coordination::knowledge::Authorization;
use crate::coordination::model::{Machine, PendingStart, PlacedTask};
use crate::coordination::order_log::{OrderLog, StopReason};
use crate::coordination::pending_start::WorkerMessage;
use crate::coordination::removal::RemovalGround;
use crate::coordination::start_gate::StartGate;
use crate::coordination::{Answer, Controller, Effect, RequestId};
use crate::protocol::peer::{PeerMessage, StopRequest};
use crate::protocol::units::Micros;
use crate::protocol::worker::{Cause, Order, Report, ReportAnswer, TaskId, TaskState};

/// Bound on the orders in one message to a worker: starts are added to an answer only below it, and a direct call
/// considers at most so many tasks for stops and for starts. With the longest ids so many orders stay far below 64 KiB.
pub(super) const MAX_ORDERS: usize = 300;

/// How long after a grant a worker may still report to a controller that does not own it.
const OWNER_DISCOVERY_GRACE: Micros = Micros::from_secs(10);

impl Controller {
    /// Handles a worker's report: applies it and answers with orders, or redirects the worker to its machine's owner.
    pub(super) fn handle_report(&mut self, request: RequestId, report: Report) {
        self.counters.reports += 1;
        let Some(proof) = self.authorization() else {
            return self.answer(request, Answer::RetryLater(1));
        };
        let Some(machine) = self.machines.get(&report.machine) else {
            self.check_report(&report, Evidence::OutOfDate);
            self.notify_leader_of_unrecorded_machine(report);
            return self.answer(request, Answer::Redirect(None));
        };
        if machine.never_granted() {
            self.notify_leader_of_unrecorded_machine(report);
            return self.answer(request, Answer::Redirect(None));
        }
        let row = &machine.row;
        if (&row.kind, &row.zone, row.spot) != (&report.kind, &report.zone, report.spot) {
            // The worker uses another machine's name or is misconfigured. Its tasks must not be attributed to the
            // recorded machine.
            self.counters.reports_mismatched += 1;
            tracing::warn!(
                machine = report.machine,
                kind = report.kind,
                zone = report.zone,
                "report does not match the machine's record"
            );
            return self.answer(request, Answer::RetryLater(1));
        }
        if !self.owns(machine) {
            // Redirecting a worker to a controller that is no longer registered would only make it try every controller
            // again.
            let owner = machine.row.owner.clone();
            let owner_registered =
                owner != self.own_name() && self.registrations.get(&owner) == Some(&machine.row.registration);
            // The worker of a machine that was granted some time ago should have found its owner.
            let settled = machine.resolved && self.now.since(machine.grant_seen_at) > OWNER_DISCOVERY_GRACE;
            self.check_report(&report, Evidence::AnotherController);
            self.note_worker_failover(&owner, &report.machine, settled);
            self.notify_leader_of_misdirected_report(&report.machine);
            return self.answer(request, Answer::Redirect(owner_registered.then_some(owner)));
        }
        // A report that was delayed in transit is older than the known state. A report with a newer token than the one
        // known here means that the machine has been granted to another controller.
        let newer = (report.session, report.tally) > (machine.session, machine.tally);
        // A report that was overtaken by the worker's reply to a direct call is answered, but not applied.
        let overtaken = report.session == machine.session && report.tally > machine.last_report_tally;
        if !(newer || overtaken) || report.token > machine.token {
            self.counters.reports_stale += 1;
            self.check_report(&report, Evidence::OutOfDate);
            return self.answer(request, Answer::RetryLater(1));
        }
        let name = report.machine.clone();
        let (session, tally) = (report.session, report.tally);
        let shown = self.check_delivery(&report);
        if newer {
            self.apply_report(report, false);
        }
        if let Some(machine) = self.machines.get_mut(&name) {
            machine.last_report_tally = tally;
            machine.last_received_at = Some(self.now);
            machine.unresponsive = machine.delivery.is_not_receiving();
        }
        if self.is_abandoned_as_not_receiving(&name) {
            return self.answer(request, Answer::RetryLater(1));
        }
        let placed = self.begin_due_placement();
        if placed {
            self.run_placement_pass();
            self.status_tick();
        }
        let answer = self.build_report_answer(&proof, &name, session, tally);
        let starts = answer.orders.iter().any(|o| matches!(o, Order::Start { .. }));
        if let Some(machine) = self.machines.get_mut(&name) {
            machine.delivery.answered(self.now, shown, answer.token, starts);
        }
        self.answer(request, Answer::Orders(answer));
        if placed {
            self.send_direct_calls();
        }
    }

    /// Checks whether a report shows the token or a start from the previous answer, and so whether that answer arrived.
    fn check_delivery(&mut self, report: &Report) -> ReportedState {
        let (session, tally, token) = (report.session, report.tally, report.token);
        let Some(machine) = self.machines.get_mut(&report.machine) else {
            return ReportedState { session, tally, token, lists_start: false };
        };
        let ordered = |id: &TaskId, attempt: u64| {
            let known = machine.tasks.get(id).filter(|t| t.attempt == attempt);
            known.is_some_and(|t| t.pending.is_some_and(PendingStart::is_sent))
        };
        let mut tasks = report.tasks.iter().filter_map(|t| Some((TaskId::parse(&t.task)?, t.attempt)));
        let start = tasks.any(|(id, attempt)| ordered(&id, attempt));
        let shown = ReportedState { session, tally, token, lists_start: start };
        machine.delivery.reported(self.now, shown, self.worker_lease.mul_f64(0.8));
        shown
    }

    /// Whether a machine is no longer answered because it does not receive anything that it is sent.
    ///
    /// Without answers its lease certainly expires; then its tasks are gone, and withdrawals take effect there too.
    /// After more than a lease the machine is quarantined and returned, since it keeps losing its tasks. This does not
    /// apply while more than a quarter of the controller's machines (and more than two) do not receive: then the fault
    /// is more likely on this side, and a controller that is late with its answers must not give up all its workers.
    fn is_abandoned_as_not_receiving(&mut self, name: &str) -> bool {
        let Some(since) = self.machines.get(name).and_then(|m| m.delivery.not_receiving_since()) else {
            return false;
        };
        let own = || self.machines.values().filter(|m| self.owns(m));
        if own().filter(|m| m.delivery.is_not_receiving()).count() * 4 > own().count().max(8) {
            return false;
        }
        self.schedule_status();
        let lease_expired = self.now.since(since) > self.worker_lease + Micros::from_secs(5);
        if let Some(machine) = self.machines.get_mut(name).filter(|m| lease_expired && !m.quarantined) {
            machine.quarantined = true;
            tracing::warn!(
                machine = name,
                "machine quarantined: its reports arrive, but it receives no answers"
            );
            self.schedule_round();
        }
        true
    }

    /// Updates a machine's state from its own report, or from its reply to a direct call (`direct`).
    pub(super) fn apply_report(&mut self, report: Report, direct: bool) {
        tracing::trace!(?report, "report");
        self.check_applied_report(&report, direct);
        let now = self.now;
        let name = report.machine.clone();
        let mut tasks: BTreeMap<TaskId, PlacedTask> = BTreeMap::new();
        let (mut ended, mut unexpected) = (Vec::new(), Vec::new());
        let Some(machine) = self.machines.get(&name) else { return };
        let was_idle = machine.idle();
        let was_ready = machine.last_received_at.is_some();
        // Until the worker has seen the current token, its report may be older than the known state, and orders of a
        // former owner may still arrive.
        let fenced = report.token >= machine.row.token;
        for t in &report.tasks {
            let Some(id) = TaskId::parse(&t.task) else { continue };
            let known = machine.tasks.get(&id);
            let same_attempt = known.filter(|k| k.attempt == t.attempt);
            if t.state == TaskState::Ended && same_attempt.is_none_or(|k| !k.ended()) {
                ended.push((id.clone(), t.cause.unwrap_or(Cause::Other)));
            }
            if Self::is_unexpected(machine, &report, &id, t) {
                unexpected.push(id.clone());
            }
            // A later attempt starts only after the earlier one has left the machine, so the report is out of date.
            if let Some(later) = known.filter(|k| !fenced && k.attempt > t.attempt) {
                tasks.insert(id, later.clone());
                continue;
            }
            let on = PlacedTask {
                attempt: t.attempt,
                state: t.state,
                cause: t.cause,
                need: known.map(|k| k.need).unwrap_or_else(|| self.need_of(&id.job)),
                pending: None,
                // How an attempt was started that is not known here is not known either.
                highest_call_token: same_attempt.map_or(Some(machine.token), |k| k.highest_call_token),
                announced_in_status: 0,
                stop_grace: same_attempt
                    .and_then(|k| k.stop_grace)
                    .or_else(|| self.retired.contains_key(&id.job).then_some(Micros::ZERO)),
                stop_sent: same_attempt.is_some_and(|k| k.stop_sent),
                started_at: same_attempt.map_or(now, |k| k.started_at),
            };
            tasks.insert(id, on);
        }
        // A task that the message does not show may still be started by an order in transit.
        let message = WorkerMessage { session: report.session, token: report.token, direct };
        for (id, t) in &machine.tasks {
            if !fenced || t.pending.is_some_and(|pending| pending.may_arrive(message)) {
                tasks.entry(id.clone()).or_insert_with(|| t.clone());
            }
        }
        let changed = tasks.len() != machine.tasks.len()
            || tasks.iter().any(|(id, t)| machine.tasks.get(id).is_none_or(|k| k.state != t.state));
        for (id, t) in &tasks {
            if let Some(job) = self.jobs.get_mut(&id.job) {
                job.attempt = job.attempt.max(t.attempt);
            }
        }
        self.replace_tasks(&name, tasks, RemovalGround::NotReported);
        self.stop_unexpected_tasks(&name, &unexpected);
        self.record_cached_images(&name);
        let Some(machine) = self.machines.get_mut(&name) else { return };
        let noticed = report.notice_s.is_some();
        let state_changed = changed || noticed != machine.preemption_notice || !was_ready;
        if report.session != machine.session || machine.session_seen_at.is_none() {
            machine.session_seen_at = Some(now);
        }
        machine.session = report.session;
        machine.tally = report.tally;
        if !report.addr.is_empty() {
            machine.addr = report.addr;
        }
        machine.last_received_at = machine.last_received_at.filter(|_| direct).or(Some(now));
        machine.up = true;
        machine.unresponsive = machine.delivery.is_not_receiving();
        machine.preemption_notice = noticed;
        machine.silent_since = None;
        if !was_idle || !machine.idle() {
            machine.idle_since = now;
        }
        let newly_resolved = fenced && !machine.resolved;
        machine.resolved |= fenced;
        machine.ever_resolved |= fenced;
        if let Some(left) = report.notice_s {
            let left = Micros::from_secs_f64(left).since(Micros::from_secs(1));
            for t in machine.tasks.values_mut().filter(|t| !t.ended() && t.stop_grace.is_none()) {
                t.stop_grace = Some(left);
            }
        }
        for (task, cause) in ended {
            self.handle_task_end(&name, &task, cause);
        }
        if newly_resolved {
            self.machine_knowledge.owner_reported(&name, &self.incarnation(), true);
            self.check_takeover();
        }
        if state_changed || newly_resolved {
            self.schedule_status();
            self.schedule_round();
            self.placement_due = true;
        }
    }

    /// The longest regular time between two reports of a worker.
    pub(super) fn max_report_gap(&self) -> Micros {
        self.report_every.mul_f64(1.25)
    }

    /// Records that the images of a machine's waiting and running tasks are in its cache.
    pub(super) fn record_cached_images(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let cache_gb = self.machine_types.get(&machine.row.kind).map_or(0.0, |t| t.cache_gb);
        let has_image = |t: &PlacedTask| matches!(t.state, TaskState::Running | TaskState::Waiting);
        let jobs =
            machine.tasks.iter().filter(|(_, t)| has_image(t)).filter_map(|(id, _)| self.jobs.get(&id.job));
        let images: BTreeMap<&str, f64> = jobs.map(|j| (j.spec.image.as_str(), j.spec.image_gb)).collect();
        for (image, gb) in images {
            machine.record_cached_image(image, gb, cache_gb);
        }
    }

    /// Handles a task's end that a machine reports for the first time.
    fn handle_task_end(&mut self, name: &str, task: &TaskId, cause: Cause) {
        self.counters.completions += u64::from(cause == Cause::Done);
        self.counters.task_errors += u64::from(cause == Cause::Error);
        if cause == Cause::Done {
            self.record_completion(task);
        }
        self.record_outcome(name, task, cause);
    }

    /// The answer to a report: all orders that are due on the machine. Starts are added while it has fewer than
    /// [`MAX_ORDERS`] orders.
    fn build_report_answer(
        &mut self,
        proof: &Authorization,
        name: &str,
        session: u64,
        tally: u64,
    ) -> ReportAnswer {
        let mut orders = Vec::new();
        // Planned starts that are to be stopped were never sent: they are dropped rather than stopped.
        let unwanted: Vec<TaskId> = self
            .machines
            .get(name)
            .map(|m| {
                m.tasks.iter().filter(|(_, t)| t.stop_grace.is_some()).map(|(id, _)| id.clone()).collect()
            })
            .unwrap_or_default();
        self.drop_planned_starts(name, |id| unwanted.contains(id));
        self.drop_disowned_starts(name);
        self.drop_unpermitted_starts(name);
        let live: BTreeMap<String, bool> = self
            .machines
            .get(name)
            .map(|m| m.tasks.keys().map(|t| (t.job.clone(), self.is_live(&t.job))).collect())
            .unwrap_or_default();
        let forgettable = self.tasks_to_forget(name);
        let (now, knowledge) = (self.now, self.knowledge_stamp());
        let gate = StartGate::new(self.confirmed_through(), self.active_permit(), &self.jobs);
        let Some(machine) = self.machines.get_mut(name) else {
            return proof.answer(0, orders);
        };
        let log = OrderLog::new(name, machine, session, Some(tally), knowledge);
        // Stops come before starts, to free the resources that the starts need.
        for (id, t) in &mut machine.tasks {
            if t.ended() {
                if forgettable.contains(id) {
                    log.forget(id, t);
                    orders.push(Order::Forget { task: id.text(), attempt: t.attempt });
                }
                continue;
            }
            let is_live = live.get(&id.job).copied().unwrap_or(false);
            if !is_live {
                // The job is no longer live: it was withdrawn, or has completed.
                t.stop_grace = Some(Micros::ZERO);
            }
            if let Some(grace) = t.stop_grace
                && !t.planned()
                && (t.state != TaskState::Saving || grace == Micros::ZERO)
            {
                self.counters.stops += 1;
                log.stop(id, t, if is_live { StopReason::Requested } else { StopReason::JobEnded });
                orders.push(Order::Stop {
                    task: id.text(),
                    attempt: t.attempt,
                    grace_s: grace.as_secs_f64(),
                });
            }
        }
        for (id, t) in &mut machine.tasks {
            if orders.len() >= MAX_ORDERS {
                break;
            }
            // Repeats a start from a direct call. It has no effect if the call has arrived.
            if t.stop_grace.is_none()
                && let Some(pending) = &mut t.pending
                && pending.repeat_in_answer(tally, machine.token)
            {
                orders.push(Order::Start { task: id.text(), attempt: t.attempt });
            }
            if gate.permit(name, id, t, &mut self.counters).is_some() {
                t.pending = Some(PendingStart::SentInAnswer { session, tally });
                t.started_at = now;
                self.counters.starts += 1;
                log.start(id, t);
                self.conclusions.record_start(now, name, id, t.attempt);
                orders.push(Order::Start { task: id.text(), attempt: t.attempt });
            }
        }
        tracing::trace!(machine = name, token = machine.token, session, tally, ?orders, "report answered");
        machine.last_answered = Some(now);
        proof.answer(machine.token, orders)
    }

    /// Whether the state service has a live record of a job, even one that this version cannot read.
    pub(super) fn is_live(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
            || !self.unreadable_keys.is_empty() && self.unreadable_keys.contains(&records::live_job_key(job))
    }

    /// Drops planned starts of jobs that have ended or are now owned by another controller.
    pub(super) fn drop_disowned_starts(&mut self, name: &str) {
        let me = self.settings.member.as_str();
        let Some(machine) = self.machines.get(name) else { return };
        let planned = machine.tasks.iter().filter(|(_, t)| t.planned());
        let not_owned = |id: &TaskId| self.jobs.get(&id.job).is_none_or(|j| j.owner.as_deref() != Some(me));
        let disowned: Vec<TaskId> = planned.map(|(id, _)| id).filter(|id| not_owned(id)).cloned().collect();
        if !disowned.is_empty() {
            self.drop_planned_starts(name, |id| disowned.contains(id));
        }
    }

    /// Marks a task to be stopped, with `grace` to save its state, if this controller owns its machine.
    pub(super) fn request_stop(&mut self, name: &str, task: &TaskId, attempt: u64, grace: Micros) {
        if let Some(machine) = self.machines.get(name)
            && self.owns(machine)
            && let Some(machine) = self.machines.get_mut(name)
            && let Some(t) = machine.tasks.get_mut(task)
            && t.attempt == attempt
            && !t.ended()
        {
            t.stop_grace = Some(t.stop_grace.map_or(grace, |g| g.min(grace)));
        }
    }

    /// Stop requests for tasks of this controller's jobs on machines that other controllers own. Sent with each status
    /// for as long as the tasks are there.
    pub(super) fn take_peer_stop_requests(&mut self) -> Vec<StopRequest> {
        let mut stops = Vec::new();
        // Called for every status, while stops are rare: the flag avoids a scan of all machines.
        if !std::mem::take(&mut self.remote_stops_pending) {
            return stops;
        }
        for machine in self.machines.values().filter(|m| !self.owns(m)) {
            for (id, t) in machine.tasks.iter().filter(|(_, t)| !t.ended()) {
                if let Some(grace) = t.stop_grace
                    && self.jobs.get(&id.job).is_some_and(|j| j.owner.as_deref() == Some(self.own_name()))
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
        self.remote_stops_pending = !stops.is_empty();
        stops
    }

    /// Seconds since a machine's owner last received a message from it.
    pub(super) fn seconds_silent(&self, machine: &Machine) -> u32 {
        if self.owns(machine) {
            self.now.since(machine.last_received_at.unwrap_or(machine.known_since)).as_secs_f64() as u32
        } else {
            machine.silent_since.map_or(0, |at| self.now.since(at).as_secs_f64() as u32)
        }
    }

    /// Stores the addresses of machines that have not reported an address yet.
    pub(super) fn apply_addresses(&mut self, list: &[(String, String)]) {
        for (name, addr) in list {
            if let Some(machine) = self.machines.get_mut(name).filter(|m| m.addr.is_empty()) {
                machine.addr.clone_from(addr);
                self.placement_due = true;
            }
        }
    }

    /// Tells the leader that a machine has reported to this controller instead of its owner.
    fn notify_leader_of_misdirected_report(&mut self, machine: &str) {
        let me = self.settings.member.clone();
        if self.leader_state.is_some() {
            self.note_misdirected_report(machine.to_owned(), me);
        } else if let Some((leader, ..)) = &self.leader {
            let message = PeerMessage::MisdirectedReport { machine: machine.to_owned() };
            self.effects.push(Effect::Send(Some(leader.clone()), message));
        }
    }

    /// Tells the leader that a machine has reported which is in no block, or has no owner.
    fn notify_leader_of_unrecorded_machine(&mut self, report: Report) {
        let message = PeerMessage::UnrecordedMachine {
            machine: report.machine.clone(),
            kind: report.kind.clone(),
            zone: report.zone.clone(),
            spot: report.spot,
        };
        if self.leader_state.is_some() {
            self.note_unrecorded_machine(report.machine, report.kind, report.zone, report.spot);
        } else if let Some((leader, ..)) = &self.leader {
            self.effects.push(Effect::Send(Some(leader.clone()), message));
        }
    }
}
