//! Jobs taken over: when what their former owners may have started is accounted for.

use std::collections::BTreeSet;

use marblewalk_recovery::{Incarnation, QueryTarget};

use crate::bookkeeping::budget::Urgency;
use crate::bookkeeping::records::{self, UninformedRecord};
use crate::coordination::eligibility::allows;
use crate::coordination::model::Machine;
use crate::coordination::{Controller, Effect, Purpose};
use crate::protocol::job::JobSpec;
use crate::protocol::peer::{MachineStatus, PeerMessage};
use crate::protocol::store::{Condition, RawJson, StoreCall, StoreReply, Transaction, Write};
use crate::protocol::units::{Micros, Resources};
use crate::protocol::worker::{Cause, TaskId};

/// How long starts wait for a controller that does not confirm them before it is recorded as uninformed.
const PATIENCE: Micros = Micros::from_millis(300);

/// Whether tasks of a job may ever have been started on a machine: what is not known of it allows it.
fn may_be_on(spec: &JobSpec, machine: &Machine) -> bool {
    machine.supply == Resources::default() || allows(spec, machine)
}

impl Controller {
    /// Whether everything that may be on a machine is known, as far as jobs are concerned that have
    /// changed hands in this view.
    fn accounted(&self, name: &str, machine: &Machine, me: &Incarnation) -> bool {
        // Since this view nobody but this controller starts tasks of its jobs.
        if self.inquiry.is_covered(name) {
            return true;
        }
        if self.owns(machine) {
            return machine.resolved || self.ledger.is_fully_known(name, me);
        }
        if !self.holds(machine) {
            // Its holder has ended: all that it ordered had been announced, or it is not known.
            return self.ledger.is_fully_known(name, me);
        }
        // Its holder may have been a job's owner until it saw this view.
        (machine.resolved || self.ledger.is_fully_known(name, me)) && self.spoken(machine) >= self.view_stamp
    }

    /// Jobs taken over may be started once every machine that could run them is accounted for.
    pub(super) fn check_adoption(&mut self) {
        if !self.taking_over || self.blind() {
            return;
        }
        let me = self.life();
        let mut open = std::mem::take(&mut self.unresolved);
        open.retain(|name| self.machines.get(name).is_some_and(|m| !self.accounted(name, m, &me)));
        self.unresolved = open;
        let open = || self.unresolved.iter().filter_map(|name| self.machines.get(name));
        // One of each sort stands for all.
        let mut sorts: Vec<&Machine> = Vec::new();
        for m in open() {
            let alike = |o: &&Machine| {
                o.row.kind == m.row.kind
                    && o.row.zone == m.row.zone
                    && o.row.spot == m.row.spot
                    && o.supply == m.supply
            };
            if !sorts.iter().any(alike) {
                sorts.push(m);
            }
        }
        let free = self.jobs.iter().filter(|(_, j)| {
            j.adopting
                && j.owner.as_deref() == Some(self.me())
                && !sorts.iter().any(|m| may_be_on(&j.spec, m))
        });
        let free: Vec<String> = free.map(|(id, _)| id.clone()).collect();
        let all = self.unresolved.is_empty();
        if all {
            self.taking_over = false;
            let held = self.machines.values().filter(|m| !m.unused() && !m.resolved).count();
            self.counters.takeovers += 1;
            self.counters.takeovers_listed += u64::from(held > 0);
            tracing::info!(jobs = free.len(), listed = held, "took over");
        } else if !free.is_empty() {
            tracing::info!(jobs = free.len(), open = self.unresolved.len(), "took over in part");
        }
        for id in &free {
            self.take_up(id);
        }
        if !all {
            self.ask_witnesses();
        }
        if all || !free.is_empty() {
            self.soon_status();
            self.place_due = true;
        }
    }

    /// Asks others for what they know of open machines, once nothing is on its way any more that this
    /// controller need not have been told: a controller that has just joined learns so what the others
    /// have confirmed before they counted on it, also of its own machines of a life before.
    fn ask_witnesses(&mut self) {
        let Some(question) = self.inquiry.next_target(self.now) else { return };
        let view = self.view_stamp;
        let status = |member: &String, node: u64| {
            self.peers.get(member).and_then(|p| p.status.as_ref()).filter(|s| s.registration == node)
        };
        let others = || self.nodes.iter().filter(|(member, _)| **member != self.settings.member);
        if !others()
            .all(|(member, node)| status(member, *node).is_some_and(|s| s.confirmed_before_view >= view))
        {
            return;
        }
        let witnesses: Vec<Option<String>> = match question {
            QueryTarget::All => vec![None],
            // One that takes nothing over has been there before; if all do, any may know something.
            QueryTarget::One => others()
                .max_by_key(|(member, node)| status(member, **node).is_some_and(|s| s.takeover_complete))
                .map(|(member, _)| Some(member.clone()))
                .into_iter()
                .collect(),
        };
        let question = self.inquiry.record_query(self.now);
        let stamp = self.life().1;
        tracing::debug!(question, to = ?witnesses, open = self.unresolved.len(), "asking for testimony");
        for to in witnesses {
            self.effects
                .push(Effect::Send(to, PeerMessage::WitnessQuery { registration: stamp, query: question }));
        }
    }

    /// Tells one who takes jobs over what is known here of machines that are not known in full there.
    pub(super) fn testify(&mut self, asker: Incarnation, question: u64) {
        // What the asker itself has ordered it need not be told; a later life of the same controller would.
        if self.nodes.get(&asker.0) != Some(&asker.1) {
            return;
        }
        // Others may have gone on without a controller that has not read the changes for so long.
        if !self.entitled() {
            return;
        }
        let me = self.life();
        // Of others their present holders tell.
        let open = self.machines.iter().filter(|(_, m)| !(m.unused() || m.resolved && self.holds(m)));
        let known = open.filter(|(name, _)| self.ledger.is_fully_known_except_from(name, &me, &asker));
        let machines = known.map(|(_, m)| self.word(m)).collect();
        let testimony = PeerMessage::Testimony {
            registration: me.1,
            requester_registration: asker.1,
            query: question,
            machines,
        };
        self.effects.push(Effect::Send(Some(asker.0), testimony));
    }

    /// Another controller has told all that it knows of machines.
    pub(super) fn testified(&mut self, from: &str, stamp: u64, question: u64, told: &[MachineStatus]) {
        if self.nodes.get(from) != Some(&stamp) || !self.taking_over || !self.inquiry.is_current(question) {
            return;
        }
        tracing::debug!(from, question, machines = told.len(), "testimony");
        for word in told {
            if self.machines.get(&word.machine).is_none_or(|m| m.resolved) {
                continue;
            }
            self.may_be_there(word);
            if let Some(m) = self.machines.get_mut(&word.machine).filter(|m| m.addr.is_empty()) {
                m.addr.clone_from(&word.addr);
            }
            let (nodes, members) = (&self.nodes, &self.view.members);
            let over = |life: &Incarnation| nodes.get(&life.0) != Some(&life.1) && !members.contains(life);
            self.ledger.witness_reported(&word.machine, over);
            self.inquiry.mark_covered(&word.machine);
        }
        self.check_adoption();
        self.place_due = true;
    }

    /// A job is fully taken over: from here on this controller places it.
    fn take_up(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.adopting = false;
        let places = job.on.iter().flat_map(|(index, on)| on.iter().map(move |name| (*index, name)));
        let ended = places.filter_map(|(index, name)| {
            let task = TaskId::new(id, index);
            let on = self.machines.get(name)?.tasks.get(&task)?;
            (on.ended() && on.cause == Some(Cause::Done)).then_some(task)
        });
        let ended: Vec<TaskId> = ended.collect();
        ended.iter().for_each(|task| self.completed(task));
    }

    /// Starts announced by statuses up to this one may be ordered.
    pub(super) fn settled(&self) -> u64 {
        #[cfg(test)]
        if self.careless {
            return u64::MAX;
        }
        self.announcements.confirmed_through()
    }

    /// The view before which this controller announced nothing that another which may act does not know of, or does not
    /// know to have missed.
    pub(super) fn cleared(&self) -> u64 {
        self.announcements.confirmed_before_view(self.now, self.lease_term)
    }

    /// Another controller has confirmed what this one has announced.
    pub(super) fn confirmed(&mut self, by: Incarnation, sequence: u64) {
        let before = self.announcements.confirmed_through();
        let cleared = self.cleared();
        self.announcements.confirmed(self.now, &by, sequence);
        if self.cleared() != cleared {
            // Whoever takes jobs over waits for this.
            self.status_due = Some(self.now);
        }
        if self.announcements.confirmed_through() != before {
            self.speak();
        }
    }

    /// A controller says in the records whom it does not wait for.
    pub(super) fn uninformed_by(&mut self, member: &str, value: &RawJson, stamp: u64) {
        let Ok(record) = value.parse::<UninformedRecord>() else {
            // What cannot be read may name this controller.
            if let Some(node) = self.nodes.get(member) {
                self.ledger.set_uninformed(&(member.to_owned(), *node), true);
            }
            return;
        };
        if member == self.me() {
            self.uninformed = (record, stamp);
        } else {
            let named = record.peers.contains(&self.life());
            self.ledger.set_uninformed(&(member.to_owned(), record.node), named);
        }
    }

    /// Keeps the record of the controllers that this one does not wait for as it should be.
    pub(super) fn record_uninformed(&mut self) {
        #[cfg(test)]
        if self.careless {
            return;
        }
        if self.recording || !self.entitled() {
            return;
        }
        let (me, node) = self.life();
        let stored: BTreeSet<Incarnation> = match &self.uninformed.0 {
            record if record.node == node => record.peers.iter().cloned().collect(),
            _ => BTreeSet::new(),
        };
        let wanted = self.announcements.desired_record(self.now, PATIENCE);
        // A change of which nothing was heard may have been made all the same.
        let unsure = || (stored != self.announcements.uninformed()).then(|| self.announcements.uninformed());
        let Some(record) = wanted.or_else(unsure) else { return };
        let peers = record.iter().cloned().collect();
        let Ok(value) = serde_json::to_value(UninformedRecord { node, peers }) else { return };
        let key = records::uninformed(&me);
        let transaction = Transaction {
            conditions: vec![Condition::new(key.clone(), self.uninformed.1), self.entitlement()],
            writes: vec![Write::put(key, value)],
        };
        self.recording = true;
        self.announcements.record_write_started(&record);
        tracing::debug!(uninformed = ?record, "recording whom starts do not wait for");
        self.store(Urgency::Entitlement, Purpose::Uninformed { record }, StoreCall::Commit(transaction));
    }

    pub(super) fn uninformed_recorded(&mut self, record: BTreeSet<Incarnation>, reply: StoreReply) {
        self.recording = false;
        if let StoreReply::Committed { revision } = reply {
            let (node, peers) = (self.life().1, record.iter().cloned().collect());
            if self.uninformed.1 < revision {
                self.uninformed = (UninformedRecord { node, peers }, revision);
            }
            self.announcements.record_committed(self.now, &record);
            self.speak();
        }
    }
}
