//! What controllers tell each other of their machines: changes only, so that the work does not grow
//! with the fleet times the number of messages.
//!
//! A status says of machines what has changed since the one before it. Its sequence shows whether one
//! was missed; then the words that came still hold, but nothing follows from what was not said, until
//! the sender has told all again.

use std::collections::BTreeMap;

use marblewalk_recovery::SequenceCheck;

use crate::coordination::conclusions::{Evidence, Sighting};
use crate::coordination::model::{Machine, TaskOn};
use crate::coordination::removal::Removal;
use crate::coordination::{Controller, Effect, Peer, Phase};
use crate::protocol::peer::{MachineStatus, PeerMessage, Status, Tally, TaskStatus};
use crate::protocol::units::Micros;
use crate::protocol::worker::{Cause, TaskId, TaskState};

/// Least time between two requests for all of a controller's words.
const ASK_SPACING: Micros = Micros::from_millis(400);

/// How long after something has changed the others are told, together with what changes meanwhile.
const GATHER: Micros = Micros::from_millis(150);

/// How long a confirmation may be owed before there is another status.
const REPEAT: Micros = Micros::from_millis(200);

/// Regular statuses, which also say how far workers' messages have been read.
const REGULAR: Micros = Micros::from_secs(1);

impl Controller {
    pub(super) fn soon_status(&mut self) {
        let at = self.now + GATHER;
        self.status_due = Some(self.status_due.map_or(at, |due| due.min(at)));
    }

    pub(super) fn status_tick(&mut self) {
        let regular = self.now.since(self.status_sent) >= REGULAR;
        let repeat = self.announcements.has_unconfirmed() && self.now.since(self.announced_at) >= REPEAT;
        if regular || repeat || self.status_due.is_some_and(|at| at <= self.now) {
            self.send_status(regular);
        }
    }

    fn send_status(&mut self, regular: bool) {
        self.status_due = None;
        self.announced_at = self.now;
        if regular {
            self.status_sent = self.now;
        }
        let whole = self.told.is_empty();
        self.status_sequence += 1;
        self.statuses_to_single = 0;
        let (machines, tallies) = self.changed_words(regular);
        let over = if whole { self.all_ends() } else { self.ends_to_tell(regular) };
        let confirm = self.mark_announced() || self.announcements.has_unconfirmed() || self.ends_owed();
        let status = Status {
            full: whole,
            needs_confirmation: confirm,
            machines,
            tallies,
            ended_jobs: over,
            ..self.bare_status()
        };
        if self.lead.is_some() {
            let own = self.settings.member.clone();
            let status = Some(Status { machines: Vec::new(), tallies: Vec::new(), ..status.clone() });
            self.peers.insert(own, Peer { heard: self.now, status, ..Default::default() });
        }
        self.effects.push(Effect::Send(None, PeerMessage::Status(status)));
    }

    /// All words, for one who has missed some. What has changed meanwhile comes again with the next.
    fn tell_all(&mut self, to: String) {
        self.statuses_to_single += 1;
        let machines: Vec<MachineStatus> =
            self.machines.values().filter(|m| self.owns(m)).map(|m| self.word(m)).collect();
        let held = self.machines.values().filter(|m| self.owns(m));
        let tallies =
            held.map(|m| Tally { machine: m.row.machine.clone(), session: m.session, tally: m.tally });
        let tallies = tallies.collect();
        let over = self.all_ends_for_one();
        let status = Status { full: true, machines, tallies, ended_jobs: over, ..self.bare_status() };
        self.effects.push(Effect::Send(Some(to), PeerMessage::Status(status)));
    }

    /// What has changed since the others were told. Every machine is compared, rather than marked
    /// where it changes: there are many such places, and a mark forgotten would be a task forgotten.
    fn changed_words(&mut self, regular: bool) -> (Vec<MachineStatus>, Vec<Tally>) {
        let mut told = std::mem::take(&mut self.told);
        told.retain(|name, _| self.machines.get(name).is_some_and(|m| self.owns(m)));
        let mut words = Vec::new();
        let mut tallies = Vec::new();
        for (name, m) in self.machines.iter().filter(|(_, m)| self.owns(m)) {
            let read = (m.session, m.tally);
            let before = told.get_mut(name);
            let same = before.as_ref().is_some_and(|(word, _)| self.still_so(m, word));
            if !same {
                let word = self.word(m);
                words.push(word.clone());
                told.insert(name.clone(), (word, (0, 0)));
            }
            if (regular || !same)
                && let Some((_, seen)) = told.get_mut(name)
                && *seen != read
            {
                *seen = read;
                tallies.push(Tally { machine: name.clone(), session: read.0, tally: read.1 });
            }
        }
        self.told = told;
        (words, tallies)
    }

    /// All planned starts are in what the others have been told by now. Whether any is new.
    fn mark_announced(&mut self) -> bool {
        let (me, node) = self.life();
        let mut any = false;
        for machine in self.machines.values_mut().filter(|m| m.row.node == node && m.row.owner == me) {
            for t in machine.tasks.values_mut() {
                if t.planned() && t.announced == 0 {
                    t.announced = self.status_sequence;
                    any = true;
                }
            }
        }
        if any {
            self.announcements.announced(self.now, self.status_sequence);
        }
        any
    }

    fn idle_since(machine: &Machine) -> Option<Micros> {
        machine.idle().then_some(machine.idle_since)
    }

    /// Since when an own machine has been unheard, if for longer than its report may be late.
    fn unheard_since(&self, machine: &Machine) -> Option<Micros> {
        let last = machine.heard.unwrap_or(machine.since);
        (self.now.since(last) > self.latest_report()).then_some(last)
    }

    fn still_so(&self, m: &Machine, word: &MachineStatus) -> bool {
        let task = |((id, t), said): ((&TaskId, &TaskOn), &TaskStatus)| {
            t.attempt == said.attempt && t.state == said.state && t.cause == said.cause && *id == said.task
        };
        word.token == m.row.token
            && word.resolved == m.resolved
            && word.token_renewal_needed == m.renew
            && word.up == m.up
            && word.quarantined == m.apart
            && word.preemption_notice == m.notice
            && word.unresponsive == m.lost
            && word.tasks.len() == m.tasks.len()
            && word.silent_since == self.unheard_since(m)
            && word.idle_since == Self::idle_since(m)
            && word.addr == m.addr
            && m.tasks.iter().zip(&word.tasks).all(task)
    }

    pub(super) fn word(&self, m: &Machine) -> MachineStatus {
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
            token_renewal_needed: m.renew,
            addr: m.addr.clone(),
            up: m.up,
            quarantined: m.apart,
            preemption_notice: m.notice,
            unresponsive: m.lost,
            idle_since: Self::idle_since(m),
            silent_since: self.unheard_since(m),
            tasks: tasks.collect(),
        }
    }

    /// A status without words on machines.
    fn bare_status(&mut self) -> Status {
        Status {
            sequence: self.status_sequence,
            unicast_statuses: self.statuses_to_single,
            full: false,
            needs_confirmation: false,
            confirmed_before_view: self.cleared(),
            clock: self.now,
            applied_revision: self.applied,
            registration: self.lease.as_ref().map_or(0, |l| l.stamp),
            store_reachable: self.now.since(self.store_heard) < Micros::from_secs(2),
            takeover_complete: !self.taking_over && self.in_view(),
            usage: self.usage(),
            usage_exact: self.usage_is_exact(),
            machines: Vec::new(),
            tallies: Vec::new(),
            stop_requests: self.foreign_stops(),
            ended_jobs: Vec::new(),
            suspects: self.suspects(),
            deserted_controllers: self.deserted(),
        }
    }

    pub(super) fn peer_said(&mut self, from: String, message: PeerMessage) {
        if self.phase != Phase::Active {
            return;
        }
        if message.target_registration().is_some_and(|registration| registration != self.life().1) {
            self.counters.replies_misdirected += 1;
            return;
        }
        match message {
            PeerMessage::Status(status) => self.peer_status(from, status),
            PeerMessage::ResyncRequest => self.tell_all(from),
            PeerMessage::WitnessQuery { registration: stamp, query: question } => {
                self.testify((from, stamp), question)
            }
            PeerMessage::Testimony { registration: stamp, query: question, machines, .. } => {
                self.testified(&from, stamp, question, &machines);
            }
            PeerMessage::StatusConfirmation { registration: stamp, sequence, .. } => {
                self.status_heard((from.clone(), stamp), sequence);
                self.confirmed((from, stamp), sequence);
            }
            PeerMessage::LoadReport(word) => self.door_said(&from, word),
            PeerMessage::RatePlan(plan) => self.plan_said(&plan),
            PeerMessage::Volumes {
                leader_registration: leader,
                volumes,
                fast_start_reservations: kept,
                gang_reservations: reserved,
                surplus,
                ..
            } => {
                if self.leader.as_ref().is_some_and(|l| l.0 == from && l.2 == leader) {
                    self.take_volumes(&volumes, kept, reserved);
                    self.stop_surplus(&surplus);
                }
            }
            PeerMessage::Addresses(list) => self.take_addresses(&list),
            PeerMessage::MisdirectedReport { machine } => self.heard_elsewhere(machine, from),
            PeerMessage::UnrecordedMachine { machine, kind, zone, spot } => {
                self.stray(machine, kind, zone, spot)
            }
        }
    }

    fn peer_status(&mut self, from: String, mut status: Status) {
        // Words of a former life, or of a life this controller has not heard of yet, count for nothing.
        let over = std::mem::take(&mut status.ended_jobs);
        // What is over holds whoever says so.
        over.iter().for_each(|ended| self.told_end(ended));
        if self.nodes.get(&from) != Some(&status.registration) {
            return;
        }
        let life = (from.clone(), status.registration);
        if !self.ledger.is_newest(&life, status.position()) {
            self.counters.statuses_outdated += 1;
            return;
        }
        let (now, clock) = (self.now, status.clock);
        let here = |at: &mut Option<Micros>| *at = at.map(|at| now.since(clock.since(at)));
        let mut words = std::mem::take(&mut status.machines);
        for word in &mut words {
            here(&mut word.idle_since);
            here(&mut word.silent_since);
        }
        let tallies = std::mem::take(&mut status.tallies);
        let stops = std::mem::take(&mut status.stop_requests);
        // What is in no record that the sender had read has left them since, and is spoken of no more.
        let read = status.applied_revision <= self.applied && !self.blind();
        words.retain(|word| !read || self.machines.contains_key(&word.machine));
        let told = !words.is_empty();
        let peer = self.peers.entry(from.clone()).or_default();
        let before = peer.status.as_ref().filter(|s| s.registration == status.registration);
        if before.is_none() {
            peer.words.clear();
        } else if status.full {
            // A word under a grant that has not been read here is all that is known of what this controller has confirmed
            // there: the sender may have given the machine away since.
            let machines = &self.machines;
            let unread = |word: &MachineStatus| {
                machines.get(&word.machine).is_none_or(|machine| machine.row.token < word.token)
            };
            peer.words.retain(|_, word| unread(word));
        }
        let hearing =
            self.ledger.message_received(&life, status.sequence, status.full, status.applied_revision);
        let reply = match hearing {
            SequenceCheck::Contiguous if status.needs_confirmation || status.full => {
                let stamp = self.lease.as_ref().map_or(0, |l| l.stamp);
                Some(PeerMessage::StatusConfirmation {
                    registration: stamp,
                    requester_registration: status.registration,
                    sequence: status.sequence,
                })
            }
            SequenceCheck::Gap if now.since(peer.asked_again) >= ASK_SPACING => {
                peer.asked_again = now;
                Some(PeerMessage::ResyncRequest)
            }
            _ => None,
        };
        peer.heard = now;
        peer.status = Some(status);
        for stop in stops {
            self.request_stop(&stop.machine, &stop.task, stop.attempt, Micros::from_millis(stop.grace_ms));
        }
        for word in &words {
            self.machine_told(&from, word);
        }
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.words.extend(words.into_iter().map(|w| (w.machine.clone(), w)));
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
        self.refusals.remove(&from);
        self.check_adoption();
        self.place_due |= told;
    }

    /// The revision as of which a machine's owner has spoken of it under its present grant.
    pub(super) fn spoken(&self, machine: &Machine) -> u64 {
        let holder = (machine.row.owner.clone(), machine.row.node);
        let Some(peer) = self.peers.get(&holder.0).filter(|_| self.ledger.is_contiguous(&holder)) else {
            return 0;
        };
        let word = peer.words.get(&machine.row.machine).filter(|w| w.token == machine.row.token);
        let status = peer.status.as_ref().filter(|s| s.registration == machine.row.node && word.is_some());
        status.map_or(0, |s| s.applied_revision)
    }

    /// What the owner of a machine said of it before its grant was known here.
    pub(super) fn recall_word(&mut self, name: &str) {
        let Some(machine) = self.machines.get(name) else { return };
        let owner = machine.row.owner.clone();
        if let Some(word) = self.peers.get(&owner).and_then(|p| p.words.get(name)).cloned() {
            self.machine_told(&owner, &word);
        }
    }

    fn machine_told(&mut self, from: &str, told: &MachineStatus) {
        let Some(machine) = self.machines.get(&told.machine) else { return };
        let node = self.nodes.get(from).copied();
        if machine.row.token != told.token || machine.row.owner != from || Some(machine.row.node) != node {
            return self.told_too_late(told);
        }
        let evidence = if told.resolved { Evidence::Holder } else { Evidence::UnresolvedHolder };
        self.check_conclusions(&told.machine, evidence, sightings(told));
        let Some(machine) = self.machines.get(&told.machine) else { return };
        let mut seen = BTreeMap::new();
        let mut ended = Vec::new();
        for t in &told.tasks {
            let known = machine.tasks.get(&t.task);
            let before = known.is_some_and(|k| k.attempt == t.attempt && k.ended());
            if let (TaskState::Ended, Some(cause)) = (t.state, t.cause) {
                ended.push((t.task.clone(), cause, !before));
            }
            let on = TaskOn {
                attempt: t.attempt,
                state: t.state,
                cause: t.cause,
                need: known.map_or_else(|| self.need_of(&t.task.job), |k| k.need),
                pending: None,
                announced: 0,
                stop: known.and_then(|k| k.stop),
                told: false,
                since: known.map_or(self.now, |k| k.since),
            };
            seen.insert(t.task.clone(), on);
        }
        for t in &told.tasks {
            if let Some(job) = self.jobs.get_mut(&t.task.job) {
                job.attempt = job.attempt.max(t.attempt);
            }
        }
        if !told.resolved {
            // Until the list is complete, what may be there stays.
            for (id, t) in &machine.tasks {
                seen.entry(id.clone()).or_insert_with(|| t.clone());
            }
        }
        self.replace_tasks(&told.machine, seen, Removal::HolderSaid);
        self.remember_images(&told.machine);
        if let Some(machine) = self.machines.get_mut(&told.machine) {
            machine.resolved = told.resolved;
            machine.known |= told.resolved;
            machine.renew = told.token_renewal_needed;
            if !told.addr.is_empty() {
                machine.addr = told.addr.clone();
            }
            machine.up = told.up;
            machine.apart = told.quarantined;
            machine.notice = told.preemption_notice;
            machine.lost = told.unresponsive;
            machine.silent_since = told.silent_since;
            machine.idle_since = told.idle_since.unwrap_or(self.now);
        }
        if let Some(node) = node {
            self.ledger.holder_reported(&told.machine, &(from.to_owned(), node), told.resolved);
        }
        for (task, cause, new) in ended {
            if cause == Cause::Done {
                self.completed(&task);
            }
            if new {
                self.note_outcome(&told.machine, &task, cause);
            }
        }
    }

    /// A holder that had not heard yet that its machine is another's has announced starts there. Until
    /// the new holder knows what is on it, they may be.
    fn told_too_late(&mut self, told: &MachineStatus) {
        self.check_conclusions(&told.machine, Evidence::OtherGrant, sightings(told));
        let Some(machine) = self.machines.get(&told.machine) else { return };
        if told.token < machine.row.token && !machine.resolved {
            self.may_be_there(told);
        }
    }

    /// Until a machine is resolved, tasks that somebody says are there may be.
    pub(super) fn may_be_there(&mut self, told: &MachineStatus) {
        let Some(machine) = self.machines.get(&told.machine) else { return };
        let mut tasks = machine.tasks.clone();
        for t in &told.tasks {
            tasks.entry(t.task.clone()).or_insert_with(|| TaskOn {
                attempt: t.attempt,
                state: t.state,
                cause: t.cause,
                need: self.need_of(&t.task.job),
                pending: None,
                announced: 0,
                stop: None,
                told: false,
                since: self.now,
            });
            if let Some(job) = self.jobs.get_mut(&t.task.job) {
                job.attempt = job.attempt.max(t.attempt);
            }
        }
        self.set_tasks(&told.machine, tasks);
    }
}

/// The tasks that a word on a machine shows.
fn sightings(told: &MachineStatus) -> impl Iterator<Item = Sighting<'_>> {
    let token = told.token;
    told.tasks.iter().map(move |t| Sighting { task: &t.task, attempt: t.attempt, state: t.state, token })
}
