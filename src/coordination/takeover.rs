//! Takeover of jobs: determines when all tasks that their former owners may have started are known.

use std::collections::BTreeSet;

use marblewalk_recovery::{Incarnation, QueryTarget};

use crate::bookkeeping::call_queue::Urgency;
use crate::bookkeeping::records::{self, UninformedRecord};
use crate::coordination::eligibility::allows;
use crate::coordination::model::Machine;
use crate::coordination::{Controller, Effect, Purpose};
use crate::protocol::job::JobSpec;
use crate::protocol::peer::{MachineStatus, PeerMessage};
use crate::protocol::store::{Condition, RawJson, StoreCall, StoreReply, Transaction, Write};
use crate::protocol::units::{Micros, Resources};
use crate::protocol::worker::{Cause, TaskId};

/// How long starts wait for a controller's confirmation before the controller is recorded as uninformed.
const CONFIRMATION_TIMEOUT: Micros = Micros::from_millis(300);

/// Whether tasks of a job may ever have been started on a machine. One of unknown type counts as suitable.
fn may_have_run_on(spec: &JobSpec, machine: &Machine) -> bool {
    machine.supply == Resources::default() || allows(spec, machine)
}

impl Controller {
    /// Whether all tasks that may be on a machine are known, as far as they belong to jobs that have changed their
    /// owner in this view.
    fn is_accounted_for(&self, name: &str, machine: &Machine, me: &Incarnation) -> bool {
        // A witness has listed the tasks, and since this view only this controller starts tasks of its jobs.
        if self.witness_queries.is_covered(name) {
            return true;
        }
        if self.owns(machine) {
            return machine.resolved || self.machine_knowledge.is_fully_known(name, me);
        }
        if !self.owner_is_registered(machine) {
            // Its owner has ended. The tasks are known only if it announced everything that it ordered.
            return self.machine_knowledge.is_fully_known(name, me);
        }
        // Its owner may have started tasks of its former jobs until it applied this view.
        (machine.resolved || self.machine_knowledge.is_fully_known(name, me))
            && self.reported_revision(machine) >= self.view_revision
    }

    /// Finishes the takeover of the jobs of which every machine that could run them is accounted for, so that their
    /// tasks may be started.
    pub(super) fn check_takeover(&mut self) {
        if !self.takeover_in_progress || self.has_unreadable_blocks() {
            return;
        }
        let me = self.incarnation();
        let mut open = std::mem::take(&mut self.unresolved_machines);
        open.retain(|name| self.machines.get(name).is_some_and(|m| !self.is_accounted_for(name, m, &me)));
        self.unresolved_machines = open;
        let open = || self.unresolved_machines.iter().filter_map(|name| self.machines.get(name));
        // Machines of the same type, zone and pricing are equivalent here, so one of each is checked.
        let mut representatives: Vec<&Machine> = Vec::new();
        for m in open() {
            let equivalent = |o: &&Machine| {
                o.row.kind == m.row.kind
                    && o.row.zone == m.row.zone
                    && o.row.spot == m.row.spot
                    && o.supply == m.supply
            };
            if !representatives.iter().any(equivalent) {
                representatives.push(m);
            }
        }
        let finished = self.jobs.iter().filter(|(_, j)| {
            j.takeover_pending
                && j.owner.as_deref() == Some(self.own_name())
                && !representatives.iter().any(|m| may_have_run_on(&j.spec, m))
        });
        let finished: Vec<String> = finished.map(|(id, _)| id.clone()).collect();
        let all_accounted = self.unresolved_machines.is_empty();
        if all_accounted {
            self.takeover_in_progress = false;
            let unresolved_count =
                self.machines.values().filter(|m| !m.never_granted() && !m.resolved).count();
            self.counters.takeovers += 1;
            self.counters.takeovers_fully_known += u64::from(unresolved_count > 0);
            tracing::info!(jobs = finished.len(), listed = unresolved_count, "takeover finished");
        } else if !finished.is_empty() {
            tracing::info!(
                jobs = finished.len(),
                open = self.unresolved_machines.len(),
                "takeover partly finished"
            );
        }
        for id in &finished {
            self.finish_takeover(id);
        }
        if !all_accounted {
            self.query_witnesses();
        }
        if all_accounted || !finished.is_empty() {
            self.schedule_status();
            self.placement_due = true;
        }
    }

    /// Asks other controllers as witnesses for what they know of machines that are not accounted for.
    ///
    /// A controller that has just registered thus learns which starts the others confirmed before its confirmation
    /// was required, also on the machines of its own former registration. It asks only when no start is in flight
    /// that need not have been announced to it.
    fn query_witnesses(&mut self) {
        let Some(target) = self.witness_queries.next_target(self.now) else { return };
        let view = self.view_revision;
        let status = |member: &String, registration: u64| {
            self.peers.get(member).and_then(|p| p.status.as_ref()).filter(|s| s.registration == registration)
        };
        let others = || self.registrations.iter().filter(|(member, _)| **member != self.settings.member);
        if !others().all(|(member, registration)| {
            status(member, *registration).is_some_and(|s| s.confirmed_before_view >= view)
        }) {
            return;
        }
        let witnesses: Vec<Option<String>> = match target {
            QueryTarget::All => vec![None],
            // A controller that takes no jobs over has been a member before. If there is none, any may know something.
            QueryTarget::One => others()
                .max_by_key(|(member, registration)| {
                    status(member, **registration).is_some_and(|s| s.takeover_complete)
                })
                .map(|(member, _)| Some(member.clone()))
                .into_iter()
                .collect(),
        };
        let query = self.witness_queries.record_query(self.now);
        let registration = self.incarnation().1;
        tracing::debug!(question = query, to = ?witnesses, open = self.unresolved_machines.len(), "querying witnesses");
        for to in witnesses {
            self.effects.push(Effect::Send(to, PeerMessage::WitnessQuery { registration, query }));
        }
    }

    /// Answers a witness query: tells a controller that takes jobs over what is known here about machines whose owners
    /// cannot tell it everything yet.
    pub(super) fn answer_witness_query(&mut self, asker: Incarnation, query: u64) {
        // The asker knows what it has ordered itself. Under a later registration it would not, so the query must come
        // from its present one.
        if self.registrations.get(&asker.0) != Some(&asker.1) {
            return;
        }
        // This controller may not have read the changes for so long that the others no longer wait for its
        // confirmation.
        if !self.entitled() {
            return;
        }
        let me = self.incarnation();
        // The other machines' tasks are known to their present owners, who send them in their statuses.
        let open = self
            .machines
            .iter()
            .filter(|(_, m)| !(m.never_granted() || m.resolved && self.owner_is_registered(m)));
        let fully_known =
            open.filter(|(name, _)| self.machine_knowledge.is_fully_known_except_from(name, &me, &asker));
        let machines = fully_known.map(|(_, m)| self.machine_status(m)).collect();
        let answer = PeerMessage::WitnessAnswer {
            registration: me.1,
            requester_registration: asker.1,
            query,
            machines,
        };
        self.effects.push(Effect::Send(Some(asker.0), answer));
    }

    /// Handles a witness's answer: lists of all tasks that may be on machines.
    pub(super) fn handle_witness_answer(
        &mut self,
        from: &str,
        registration: u64,
        query: u64,
        statuses: &[MachineStatus],
    ) {
        if self.registrations.get(from) != Some(&registration)
            || !self.takeover_in_progress
            || !self.witness_queries.is_current(query)
        {
            return;
        }
        tracing::debug!(from, question = query, machines = statuses.len(), "witness answer received");
        for status in statuses {
            if self.machines.get(&status.machine).is_none_or(|m| m.resolved) {
                continue;
            }
            self.add_possible_tasks(status);
            if let Some(m) = self.machines.get_mut(&status.machine).filter(|m| m.addr.is_empty()) {
                m.addr.clone_from(&status.addr);
            }
            let (registrations, members) = (&self.registrations, &self.view.members);
            let has_ended = |incarnation: &Incarnation| {
                registrations.get(&incarnation.0) != Some(&incarnation.1) && !members.contains(incarnation)
            };
            self.machine_knowledge.witness_reported(&status.machine, has_ended);
            self.witness_queries.mark_covered(&status.machine);
        }
        self.check_takeover();
        self.placement_due = true;
    }

    /// Finishes the takeover of a job: from now on this controller places its tasks. Completions that machines have
    /// reported meanwhile are recorded.
    fn finish_takeover(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.takeover_pending = false;
        let placements =
            job.placements.iter().flat_map(|(index, on)| on.iter().map(move |name| (*index, name)));
        let completed = placements.filter_map(|(index, name)| {
            let task = TaskId::new(id, index);
            let on = self.machines.get(name)?.tasks.get(&task)?;
            (on.ended() && on.cause == Some(Cause::Done)).then_some(task)
        });
        let completed: Vec<TaskId> = completed.collect();
        completed.iter().for_each(|task| self.record_completion(task));
    }

    /// Sequence number of the last status whose announced starts, and those of all before it, may be ordered.
    pub(super) fn confirmed_through(&self) -> u64 {
        #[cfg(test)]
        if self.skip_confirmations {
            return u64::MAX;
        }
        self.announcements.confirmed_through()
    }

    /// Revision of the view such that each other controller that may act knows everything that this controller
    /// announced before that view, or knows that it has missed something.
    pub(super) fn confirmed_before_view(&self) -> u64 {
        self.announcements.confirmed_before_view(self.now, self.lease_term)
    }

    /// Handles another controller's confirmation of announced starts.
    pub(super) fn handle_confirmation(&mut self, by: Incarnation, sequence: u64) {
        let confirmed_before = self.announcements.confirmed_through();
        let view_before = self.confirmed_before_view();
        self.announcements.confirmed(self.now, &by, sequence);
        if self.confirmed_before_view() != view_before {
            // Controllers that take jobs over wait for this.
            self.status_due_at = Some(self.now);
        }
        if self.announcements.confirmed_through() != confirmed_before {
            self.send_direct_calls();
        }
    }

    /// Applies a controller's record of the uninformed controllers, whose confirmations it does not wait for.
    pub(super) fn apply_uninformed_record(&mut self, member: &str, value: &RawJson, revision: u64) {
        let Ok(record) = value.parse::<UninformedRecord>() else {
            // A record that cannot be read may name this controller.
            if let Some(registration) = self.registrations.get(member) {
                self.machine_knowledge.set_uninformed(&(member.to_owned(), *registration), true);
            }
            return;
        };
        if member == self.own_name() {
            self.uninformed_record = (record, revision);
        } else {
            let named = record.peers.contains(&self.incarnation());
            self.machine_knowledge.set_uninformed(&(member.to_owned(), record.registration), named);
        }
    }

    /// Writes the record of the uninformed controllers, whose confirmations this one does not wait for, if it must
    /// change.
    pub(super) fn record_uninformed(&mut self) {
        #[cfg(test)]
        if self.skip_confirmations {
            return;
        }
        if self.uninformed_write_in_flight || !self.entitled() {
            return;
        }
        let (me, registration) = self.incarnation();
        let stored: BTreeSet<Incarnation> = match &self.uninformed_record.0 {
            record if record.registration == registration => record.peers.iter().cloned().collect(),
            _ => BTreeSet::new(),
        };
        let desired = self.announcements.desired_record(self.now, CONFIRMATION_TIMEOUT);
        // A write without an answer may have been committed all the same.
        let unconfirmed_write =
            || (stored != self.announcements.uninformed()).then(|| self.announcements.uninformed());
        let Some(record) = desired.or_else(unconfirmed_write) else { return };
        let peers = record.iter().cloned().collect();
        let Ok(value) = serde_json::to_value(UninformedRecord { registration, peers }) else { return };
        let key = records::uninformed_key(&me);
        let transaction = Transaction {
            conditions: vec![
                Condition::new(key.clone(), self.uninformed_record.1),
                self.registration_condition(),
            ],
            writes: vec![Write::put(key, value)],
        };
        self.uninformed_write_in_flight = true;
        self.announcements.record_write_started(&record);
        tracing::debug!(uninformed = ?record, "recording uninformed controllers");
        self.enqueue_store_call(
            Urgency::Entitlement,
            Purpose::Uninformed { record },
            StoreCall::Commit(transaction),
        );
    }

    /// Handles the reply to the write of the record of uninformed controllers.
    pub(super) fn handle_uninformed_reply(&mut self, record: BTreeSet<Incarnation>, reply: StoreReply) {
        self.uninformed_write_in_flight = false;
        if let StoreReply::Committed { revision } = reply {
            let (registration, peers) = (self.incarnation().1, record.iter().cloned().collect());
            if self.uninformed_record.1 < revision {
                self.uninformed_record = (UninformedRecord { registration, peers }, revision);
            }
            self.announcements.record_committed(self.now, &record);
            self.send_direct_calls();
        }
    }
}
