//! Exchanges the state of machines between controllers, as changes only, so that the work does not grow with the size
//! of the fleet times the number of messages.
//!
//! A status contains the machines that changed since the previous status. Its sequence number shows whether a status
//! was missed. After a gap the received machine statuses still hold, but nothing may be concluded from what is absent
//! until the sender has sent a full status.

use std::collections::BTreeMap;

use marblewalk_recovery::SequenceCheck;

use crate::coordination::conclusions::{Evidence, ObservedTask};
use crate::coordination::model::{Machine, PlacedTask};
use crate::coordination::removal::RemovalGround;
use crate::coordination::{Controller, Effect, Peer, Phase};
use crate::protocol::peer::{MachineStatus, PeerMessage, Status, Tally, TaskStatus};
use crate::protocol::units::Micros;
use crate::protocol::worker::{Cause, TaskId, TaskState};

/// Minimum time between two requests to the same controller for a full status.
const MIN_RESYNC_INTERVAL: Micros = Micros::from_millis(400);

/// Delay of a status after a change, so that further changes are sent with it.
const STATUS_BATCH_DELAY: Micros = Micros::from_millis(150);

/// How long a confirmation may be outstanding before another status is sent.
const CONFIRMATION_RETRY_INTERVAL: Micros = Micros::from_millis(200);

/// Interval of regular statuses, which also contain the last report read of each worker.
const STATUS_INTERVAL: Micros = Micros::from_secs(1);

impl Controller {
    /// Schedules a status within [`STATUS_BATCH_DELAY`].
    pub(super) fn schedule_status(&mut self) {
        let at = self.now + STATUS_BATCH_DELAY;
        self.status_due_at = Some(self.status_due_at.map_or(at, |due| due.min(at)));
    }

    /// Sends a status to all controllers if one is due: the regular one, a scheduled one, or one that repeats a request
    /// for confirmation.
    pub(super) fn status_tick(&mut self) {
        let regular = self.now.since(self.last_regular_status_at) >= STATUS_INTERVAL;
        let confirmation_due = self.announcements.has_unconfirmed()
            && self.now.since(self.last_status_at) >= CONFIRMATION_RETRY_INTERVAL;
        if regular || confirmation_due || self.status_due_at.is_some_and(|at| at <= self.now) {
            self.broadcast_status(regular);
        }
    }

    /// Sends a status to all other controllers: a full one if it has not sent any machine yet, else the changes.
    fn broadcast_status(&mut self, regular: bool) {
        self.status_due_at = None;
        self.last_status_at = self.now;
        if regular {
            self.last_regular_status_at = self.now;
        }
        let full = self.sent_machine_statuses.is_empty();
        self.status_sequence += 1;
        self.unicast_statuses = 0;
        let (machines, tallies) = self.collect_machine_changes(regular);
        let over = if full { self.all_ends_for_broadcast() } else { self.ends_to_announce(regular) };
        let confirm = self.mark_starts_announced()
            || self.announcements.has_unconfirmed()
            || self.has_unconfirmed_withdrawals();
        let status = Status {
            full,
            needs_confirmation: confirm,
            machines,
            tallies,
            ended_jobs: over,
            ..self.base_status()
        };
        if self.leader_state.is_some() {
            let own = self.settings.member.clone();
            let status = Some(Status { machines: Vec::new(), tallies: Vec::new(), ..status.clone() });
            self.peers.insert(own, Peer { last_received_at: self.now, status, ..Default::default() });
        }
        self.effects.push(Effect::Send(None, PeerMessage::Status(status)));
    }

    /// Sends the status of all own machines to a controller that has missed a status. Changes that are not yet
    /// broadcast are sent again with the next broadcast.
    fn send_full_status(&mut self, to: String) {
        self.unicast_statuses += 1;
        let machines: Vec<MachineStatus> =
            self.machines.values().filter(|m| self.owns(m)).map(|m| self.machine_status(m)).collect();
        let own = self.machines.values().filter(|m| self.owns(m));
        let tallies =
            own.map(|m| Tally { machine: m.row.machine.clone(), session: m.session, tally: m.tally });
        let tallies = tallies.collect();
        let over = self.all_ends_for_unicast();
        let status = Status { full: true, machines, tallies, ended_jobs: over, ..self.base_status() };
        self.effects.push(Effect::Send(Some(to), PeerMessage::Status(status)));
    }

    /// The own machines that changed since the last broadcast, and the last reports read of them.
    ///
    /// Every machine is compared with what was sent, rather than marked as changed by the code that changes it: many
    /// functions do, and a missing mark would hide a task from the other controllers.
    fn collect_machine_changes(&mut self, regular: bool) -> (Vec<MachineStatus>, Vec<Tally>) {
        let mut sent_statuses = std::mem::take(&mut self.sent_machine_statuses);
        sent_statuses.retain(|name, _| self.machines.get(name).is_some_and(|m| self.owns(m)));
        let mut statuses = Vec::new();
        let mut tallies = Vec::new();
        for (name, m) in self.machines.iter().filter(|(_, m)| self.owns(m)) {
            let read = (m.session, m.tally);
            let before = sent_statuses.get_mut(name);
            let unchanged = before.as_ref().is_some_and(|(status, _)| self.matches_status(m, status));
            if !unchanged {
                let status = self.machine_status(m);
                statuses.push(status.clone());
                sent_statuses.insert(name.clone(), (status, (0, 0)));
            }
            if (regular || !unchanged)
                && let Some((_, sent)) = sent_statuses.get_mut(name)
                && *sent != read
            {
                *sent = read;
                tallies.push(Tally { machine: name.clone(), session: read.0, tally: read.1 });
            }
        }
        self.sent_machine_statuses = sent_statuses;
        (statuses, tallies)
    }

    /// Marks all planned starts on own machines as announced by the current status. Returns whether any was new.
    fn mark_starts_announced(&mut self) -> bool {
        let (me, registration) = self.incarnation();
        let mut any = false;
        for machine in
            self.machines.values_mut().filter(|m| m.row.registration == registration && m.row.owner == me)
        {
            for t in machine.tasks.values_mut() {
                if t.planned() && t.announced_in_status == 0 {
                    t.announced_in_status = self.status_sequence;
                    any = true;
                }
            }
        }
        if any {
            self.announcements.announced(self.now, self.status_sequence);
        }
        any
    }

    /// Since when no task runs on a machine; none while one does.
    fn idle_since(machine: &Machine) -> Option<Micros> {
        machine.idle().then_some(machine.idle_since)
    }

    /// When the last message of an own machine was received, if that is longer ago than the longest regular time
    /// between reports.
    fn owner_silent_since(&self, machine: &Machine) -> Option<Micros> {
        let last = machine.last_received_at.unwrap_or(machine.known_since);
        (self.now.since(last) > self.max_report_gap()).then_some(last)
    }

    /// Whether a status that was sent for an own machine still describes it.
    fn matches_status(&self, m: &Machine, status: &MachineStatus) -> bool {
        let same_task = |((id, t), sent): ((&TaskId, &PlacedTask), &TaskStatus)| {
            t.attempt == sent.attempt && t.state == sent.state && t.cause == sent.cause && *id == sent.task
        };
        status.token == m.row.token
            && status.resolved == m.resolved
            && status.token_renewal_needed == m.token_renewal_needed
            && status.up == m.up
            && status.quarantined == m.quarantined
            && status.preemption_notice == m.preemption_notice
            && status.unresponsive == m.unresponsive
            && status.tasks.len() == m.tasks.len()
            && status.silent_since == self.owner_silent_since(m)
            && status.idle_since == Self::idle_since(m)
            && status.addr == m.addr
            && m.tasks.iter().zip(&status.tasks).all(same_task)
    }

    /// A machine's status as it is sent to other controllers.
    pub(super) fn machine_status(&self, m: &Machine) -> MachineStatus {
        let tasks = m.tasks.iter().map(|(id, t)| TaskStatus {
            task: id.clone(),
            attempt: t.attempt,
            state: t.state,
            cause: t.cause,
        });
        MachineStatus {
            machine: m.row.machine.clone(),
            token: m.row.token,
            resolved: m.resolved,
            token_renewal_needed: m.token_renewal_needed,
            addr: m.addr.clone(),
            up: m.up,
            quarantined: m.quarantined,
            preemption_notice: m.preemption_notice,
            unresponsive: m.unresponsive,
            idle_since: Self::idle_since(m),
            silent_since: self.owner_silent_since(m),
            tasks: tasks.collect(),
        }
    }

    /// A status without machines, ended jobs and request for confirmation.
    fn base_status(&mut self) -> Status {
        Status {
            sequence: self.status_sequence,
            unicast_statuses: self.unicast_statuses,
            full: false,
            needs_confirmation: false,
            confirmed_before_view: self.confirmed_before_view(),
            clock: self.now,
            applied_revision: self.applied_revision,
            registration: self.lease.as_ref().map_or(0, |l| l.registration),
            store_reachable: self.now.since(self.last_store_reply_at) < Micros::from_secs(2),
            takeover_complete: !self.takeover_in_progress && self.in_view(),
            usage: self.usage_by_team(),
            usage_exact: self.usage_is_exact(),
            machines: Vec::new(),
            tallies: Vec::new(),
            stop_requests: self.take_peer_stop_requests(),
            ended_jobs: Vec::new(),
            suspects: self.suspects(),
            deserted_controllers: self.deserted_controllers(),
        }
    }

    /// Handles a message from another controller. A reply to a former registration of this controller is dropped.
    pub(super) fn handle_peer_message(&mut self, from: String, message: PeerMessage) {
        if self.phase != Phase::Active {
            return;
        }
        if message.target_registration().is_some_and(|registration| registration != self.incarnation().1) {
            self.counters.replies_misdirected += 1;
            return;
        }
        match message {
            PeerMessage::Status(status) => self.handle_peer_status(from, status),
            PeerMessage::ResyncRequest => self.send_full_status(from),
            PeerMessage::WitnessQuery { registration, query } => {
                self.answer_witness_query((from, registration), query)
            }
            PeerMessage::WitnessAnswer { registration, query, machines, .. } => {
                self.handle_witness_answer(&from, registration, query, &machines);
            }
            PeerMessage::StatusConfirmation { registration, sequence, .. } => {
                self.record_status_confirmation((from.clone(), registration), sequence);
                self.handle_confirmation((from, registration), sequence);
            }
            PeerMessage::LoadReport(report) => self.handle_load_report(&from, report),
            PeerMessage::RatePlan(plan) => self.handle_rate_plan(&plan),
            PeerMessage::Volumes {
                leader_registration: leader,
                volumes,
                fast_start_reservations: kept,
                gang_reservations: reserved,
                surplus,
                ..
            } => {
                if self.leader.as_ref().is_some_and(|l| l.0 == from && l.2 == leader) {
                    self.apply_volumes(&volumes, kept, reserved);
                    self.stop_surplus(&surplus);
                }
            }
            PeerMessage::Addresses(list) => self.apply_addresses(&list),
            PeerMessage::MisdirectedReport { machine } => self.note_misdirected_report(machine, from),
            PeerMessage::UnrecordedMachine { machine, kind, zone, spot } => {
                self.note_unrecorded_machine(machine, kind, zone, spot)
            }
        }
    }

    /// Applies another controller's status, and confirms it or requests a full status if one was missed.
    fn handle_peer_status(&mut self, from: String, mut status: Status) {
        let ended_jobs = std::mem::take(&mut status.ended_jobs);
        // The end of a job is final, so it counts from any sender. The rest counts only under the sender's current
        // registration: a status of a former one, or of one not known here yet, is dropped.
        ended_jobs.iter().for_each(|ended| self.apply_peer_end(ended));
        if self.registrations.get(&from) != Some(&status.registration) {
            return;
        }
        let incarnation = (from.clone(), status.registration);
        if !self.machine_knowledge.is_newest(&incarnation, status.position()) {
            self.counters.statuses_outdated += 1;
            return;
        }
        let (now, clock) = (self.now, status.clock);
        let to_local_clock = |at: &mut Option<Micros>| *at = at.map(|at| now.since(clock.since(at)));
        let mut machine_statuses = std::mem::take(&mut status.machines);
        for machine_status in &mut machine_statuses {
            to_local_clock(&mut machine_status.idle_since);
            to_local_clock(&mut machine_status.silent_since);
        }
        let tallies = std::mem::take(&mut status.tallies);
        let stops = std::mem::take(&mut status.stop_requests);
        // If this controller has read all records that the sender had read, a machine without a record here has been
        // removed since, and its status is dropped.
        let read = status.applied_revision <= self.applied_revision && !self.has_unreadable_blocks();
        machine_statuses
            .retain(|machine_status| !read || self.machines.contains_key(&machine_status.machine));
        let has_machine_statuses = !machine_statuses.is_empty();
        let peer = self.peers.entry(from.clone()).or_default();
        let before = peer.status.as_ref().filter(|s| s.registration == status.registration);
        if before.is_none() {
            peer.machine_statuses.clear();
        } else if status.full {
            // A status under a grant that has not been read here is the only trace of the starts that this controller
            // has confirmed there. It is kept even if the full status lacks the machine, since the sender may have
            // handed the machine over since.
            let machines = &self.machines;
            let unread_grant = |status: &MachineStatus| {
                machines.get(&status.machine).is_none_or(|machine| machine.row.token < status.token)
            };
            peer.machine_statuses.retain(|_, status| unread_grant(status));
        }
        let sequence_check = self.machine_knowledge.message_received(
            &incarnation,
            status.sequence,
            status.full,
            status.applied_revision,
        );
        let reply = match sequence_check {
            SequenceCheck::Contiguous if status.needs_confirmation || status.full => {
                let registration = self.lease.as_ref().map_or(0, |l| l.registration);
                Some(PeerMessage::StatusConfirmation {
                    registration,
                    requester_registration: status.registration,
                    sequence: status.sequence,
                })
            }
            SequenceCheck::Gap if now.since(peer.resync_requested_at) >= MIN_RESYNC_INTERVAL => {
                peer.resync_requested_at = now;
                Some(PeerMessage::ResyncRequest)
            }
            _ => None,
        };
        peer.last_received_at = now;
        peer.status = Some(status);
        for stop in stops {
            self.request_stop(&stop.machine, &stop.task, stop.attempt, Micros::from_millis(stop.grace_ms));
        }
        for machine_status in &machine_statuses {
            self.apply_machine_status(&from, machine_status);
        }
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.machine_statuses.extend(machine_statuses.into_iter().map(|m| (m.machine.clone(), m)));
        }
        for read in tallies {
            if let Some(machine) = self.machines.get_mut(&read.machine).filter(|m| m.row.owner == from) {
                (machine.session, machine.tally) =
                    (machine.session, machine.tally).max((read.session, read.tally));
            }
        }
        if let Some(reply) = reply {
            self.effects.push(Effect::Send(Some(from.clone()), reply));
        }
        self.refused_connections.remove(&from);
        self.check_takeover();
        self.placement_due |= has_machine_statuses;
    }

    /// The revision up to which a machine's owner had applied the records as of its last status; 0 unless its statuses
    /// include the machine under the current grant and none of them was missed.
    pub(super) fn reported_revision(&self, machine: &Machine) -> u64 {
        let owner = (machine.row.owner.clone(), machine.row.registration);
        let Some(peer) = self.peers.get(&owner.0).filter(|_| self.machine_knowledge.is_contiguous(&owner))
        else {
            return 0;
        };
        let machine_status =
            peer.machine_statuses.get(&machine.row.machine).filter(|m| m.token == machine.row.token);
        let status = peer
            .status
            .as_ref()
            .filter(|s| s.registration == machine.row.registration && machine_status.is_some());
        status.map_or(0, |s| s.applied_revision)
    }

    /// Applies the machine status that a machine's owner sent before its grant was known here.
    pub(super) fn reapply_machine_status(&mut self, name: &str) {
        let Some(machine) = self.machines.get(name) else { return };
        let owner = machine.row.owner.clone();
        if let Some(machine_status) =
            self.peers.get(&owner).and_then(|p| p.machine_statuses.get(name)).cloned()
        {
            self.apply_machine_status(&owner, &machine_status);
        }
    }

    /// Applies the status of a machine that its owner has sent.
    fn apply_machine_status(&mut self, from: &str, machine_status: &MachineStatus) {
        let Some(machine) = self.machines.get(&machine_status.machine) else { return };
        let registration = self.registrations.get(from).copied();
        if machine.row.token != machine_status.token
            || machine.row.owner != from
            || Some(machine.row.registration) != registration
        {
            return self.apply_status_of_other_grant(machine_status);
        }
        let evidence =
            if machine_status.resolved { Evidence::OwnerStatus } else { Evidence::UnresolvedOwnerStatus };
        self.check_conclusions(&machine_status.machine, evidence, observed_tasks(machine_status));
        let Some(machine) = self.machines.get(&machine_status.machine) else { return };
        let mut tasks = BTreeMap::new();
        let mut ended = Vec::new();
        for t in &machine_status.tasks {
            let known = machine.tasks.get(&t.task);
            let known_ended = known.is_some_and(|k| k.attempt == t.attempt && k.ended());
            if let (TaskState::Ended, Some(cause)) = (t.state, t.cause) {
                ended.push((t.task.clone(), cause, !known_ended));
            }
            let on = PlacedTask {
                attempt: t.attempt,
                state: t.state,
                cause: t.cause,
                need: known.map_or_else(|| self.need_of(&t.task.job), |k| k.need),
                pending: None,
                highest_call_token: None,
                announced_in_status: 0,
                stop_grace: known.and_then(|k| k.stop_grace),
                stop_sent: false,
                started_at: known.map_or(self.now, |k| k.started_at),
            };
            tasks.insert(t.task.clone(), on);
        }
        for t in &machine_status.tasks {
            if let Some(job) = self.jobs.get_mut(&t.task.job) {
                job.attempt = job.attempt.max(t.attempt);
            }
        }
        if !machine_status.resolved {
            // The owner's list of tasks is not complete yet, so tasks that may be on the machine stay.
            for (id, t) in &machine.tasks {
                tasks.entry(id.clone()).or_insert_with(|| t.clone());
            }
        }
        self.replace_tasks(&machine_status.machine, tasks, RemovalGround::NotReportedByOwner);
        self.record_cached_images(&machine_status.machine);
        if let Some(machine) = self.machines.get_mut(&machine_status.machine) {
            machine.resolved = machine_status.resolved;
            machine.ever_resolved |= machine_status.resolved;
            machine.token_renewal_needed = machine_status.token_renewal_needed;
            if !machine_status.addr.is_empty() {
                machine.addr = machine_status.addr.clone();
            }
            machine.up = machine_status.up;
            machine.quarantined = machine_status.quarantined;
            machine.preemption_notice = machine_status.preemption_notice;
            machine.unresponsive = machine_status.unresponsive;
            machine.silent_since = machine_status.silent_since;
            machine.idle_since = machine_status.idle_since.unwrap_or(self.now);
        }
        if let Some(registration) = registration {
            self.machine_knowledge.owner_reported(
                &machine_status.machine,
                &(from.to_owned(), registration),
                machine_status.resolved,
            );
        }
        for (task, cause, new) in ended {
            if cause == Cause::Done {
                self.record_completion(&task);
            }
            if new {
                self.record_outcome(&machine_status.machine, &task, cause);
            }
        }
    }

    /// Handles a machine status under another grant than the known one.
    ///
    /// A former owner that did not know yet of the machine's new grant may have announced starts there. Until the new
    /// owner knows all tasks on the machine, they may be there.
    fn apply_status_of_other_grant(&mut self, machine_status: &MachineStatus) {
        self.check_conclusions(
            &machine_status.machine,
            Evidence::StatusOfOtherGrant,
            observed_tasks(machine_status),
        );
        let Some(machine) = self.machines.get(&machine_status.machine) else { return };
        if machine_status.token < machine.row.token && !machine.resolved {
            self.add_possible_tasks(machine_status);
        }
    }

    /// Adds the tasks of a machine status that may be on a machine, without removing others. For a machine whose owner
    /// does not know all its tasks yet.
    pub(super) fn add_possible_tasks(&mut self, machine_status: &MachineStatus) {
        let Some(machine) = self.machines.get(&machine_status.machine) else { return };
        let mut tasks = machine.tasks.clone();
        for t in &machine_status.tasks {
            tasks.entry(t.task.clone()).or_insert_with(|| PlacedTask {
                attempt: t.attempt,
                state: t.state,
                cause: t.cause,
                need: self.need_of(&t.task.job),
                pending: None,
                highest_call_token: None,
                announced_in_status: 0,
                stop_grace: None,
                stop_sent: false,
                started_at: self.now,
            });
            if let Some(job) = self.jobs.get_mut(&t.task.job) {
                job.attempt = job.attempt.max(t.attempt);
            }
        }
        self.set_tasks(&machine_status.machine, tasks);
    }
}

/// The tasks that a machine status shows.
fn observed_tasks(machine_status: &MachineStatus) -> impl Iterator<Item = ObservedTask<'_>> {
    let token = machine_status.token;
    machine_status.tasks.iter().map(move |t| ObservedTask {
        task: &t.task,
        attempt: t.attempt,
        state: t.state,
        token,
    })
}
