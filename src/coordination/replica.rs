//! Maintains the controller's replica of the state service's records, and derives jobs, machines and views from it.

use std::collections::BTreeMap;

use marblewalk_recovery::{Announcements, Incarnation, MachineKnowledge};

use crate::bookkeeping::blocks::BlockChanges;
use crate::bookkeeping::records::{self, LeaderRecord, TaskSet};
use crate::coordination::model::{Job, Machine, PlacedTask};
use crate::coordination::removal::RemovalGround;
use crate::coordination::{Controller, Phase, backoff_policies};
use crate::protocol::job::JobSpec;
use crate::protocol::store::{Change, Entry, RawJson, StoreReply};
use crate::protocol::units::{Micros, Resources};
use crate::protocol::worker::TaskId;

/// Minimum time between two requests for changes.
const MIN_FOLLOW_INTERVAL: Micros = Micros::from_millis(100);
/// The part of the state service's request limit that all controllers together may use to follow its changes.
const FOLLOW_RATE_SHARE: f64 = 0.25;

/// A stable hash that is the same in every controller: FNV-1a with a final mix.
fn hash(parts: [&str; 2]) -> u64 {
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in parts.iter().flat_map(|p| p.bytes().chain([0xff])) {
        h = (h ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    h ^= h >> 32;
    h = h.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    h ^ (h >> 29)
}

/// Rendezvous hashing: returns the member that has the highest hash combined with the job.
pub(super) fn rendezvous<'a>(job: &str, members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.max_by_key(|m| hash([job, m]))
}

impl Controller {
    /// Clears the replica and all state that depends on it or on the former registration.
    pub(super) fn clear_replica(&mut self) {
        self.applied_revision = 0;
        self.replica_as_of = Micros::ZERO;
        self.jobs.clear();
        self.registrations.clear();
        self.leader = None;
        self.view = Default::default();
        self.view_revision = 0;
        self.token_counter = (0, 0);
        self.quota_record = Default::default();
        self.shards.clear();
        self.rentals.clear();
        self.done_keys.clear();
        self.machines.clear();
        self.unresolved_machines.clear();
        self.peers.clear();
        self.sent_machine_statuses.clear();
        self.unreadable_keys.clear();
        self.machine_knowledge = MachineKnowledge::new();
        self.announcements = Announcements::new();
        self.uninformed_record = Default::default();
        self.uninformed_write_in_flight = false;
        self.is_view_member = false;
        self.takeover_in_progress = false;
        self.retired.clear();
        self.machines_with_unknown_tasks.clear();
        self.conclusions.clear();
        self.recently_removed.clear();
        self.refused_connections.clear();
        self.worker_failovers.clear();
        self.evictions.clear();
        self.fault_attribution = Default::default();
        // The records of ended jobs are read again after the next registration.
        self.final_states_scan = Default::default();
        self.reset_end_announcements();
    }

    /// Whether machines may still show tasks that this controller has not accounted for, so that the team and the size
    /// of a job are needed beyond the job's end.
    pub(super) fn awaits_machines(&self) -> bool {
        !self.is_view_member || self.takeover_in_progress
    }

    /// Removes a job that has ended, and returns how many tasks it had. Its tasks count against its team's limit until
    /// they are known to be gone.
    pub(super) fn retire(&mut self, id: &str) -> Option<u32> {
        self.fault_attribution.job_ended(id);
        let job = self.jobs.shift_remove(id)?;
        tracing::debug!(
            job = id,
            team = job.spec.team,
            unfinished = job.unfinished(),
            placed = job.placements.len(),
            awaits_machines = self.awaits_machines(),
            unresolved_machines = self.unresolved_machines.len(),
            "job ended"
        );
        let may_use = job.spec.need().times(u64::from(job.unfinished()));
        self.recently_removed.push_back((self.now, job.spec.team.clone(), may_use));
        // Planned starts must not be sent, as the job's user may know already that the job has ended. Running tasks
        // are marked here, so that direct calls stop them at once rather than the answer to the next report: their
        // resources are needed.
        let tasks = job.spec.tasks;
        let on = job.placements.clone();
        if !on.is_empty() || self.awaits_machines() {
            self.retired.insert(id.to_owned(), job);
        }
        for (index, machines) in &on {
            let task = TaskId::new(id, *index);
            for name in machines {
                self.drop_planned_starts(name, |t| t.job == id);
                if let Some(t) = self.machines.get_mut(name).and_then(|m| m.tasks.get_mut(&task)) {
                    t.stop_grace = Some(Micros::ZERO);
                }
            }
        }
        self.placement_due = true;
        Some(tasks)
    }

    /// Applies all records that were loaded after registering.
    pub(super) fn apply_loaded_records(&mut self, entries: Vec<Entry>) {
        self.machine_knowledge.records_loaded(self.applied_revision);
        // Jobs are applied before their completions, and blocks before the view.
        let (last, first): (Vec<_>, Vec<_>) = entries
            .into_iter()
            .partition(|e| e.key.starts_with(records::COMPLETIONS_PREFIX) || e.key == records::VIEW_KEY);
        for e in first.into_iter().chain(last) {
            self.apply_put(&e.key, &e.value, e.stamp);
        }
        self.record_read_revision();
        self.status_due_at = Some(self.now);
    }

    /// Handles the reply to a request for changes that was sent at `sent`.
    pub(super) fn handle_follow_reply(&mut self, sent: Micros, reply: StoreReply) {
        if self.phase != Phase::Active {
            return;
        }
        let each = self.settings.controller_names().len() as f64
            / (self.settings.params.state.rps * FOLLOW_RATE_SHARE);
        self.next_follow_at = Some(self.now + MIN_FOLLOW_INTERVAL.max(Micros::from_secs_f64(each)));
        match reply {
            StoreReply::News(news) => {
                self.replica_as_of = self.replica_as_of.max(sent);
                self.follow_backoff.succeeded();
                for change in news.changes {
                    match change {
                        Change::Put { key, value, stamp } => self.apply_put(&key, &value, stamp),
                        Change::Delete { key, stamp } => self.apply_delete(&key, stamp),
                    }
                    // One of the changes removed this controller's registration, which cleared the replica. The
                    // remaining changes must not be applied: a job added by one of them stayed in the replica of the
                    // next registration, though it had been withdrawn before that replica was loaded.
                    if self.phase != Phase::Active {
                        return;
                    }
                }
                if news.revision > self.applied_revision {
                    self.applied_revision = news.revision;
                    self.schedule_status();
                    self.placement_due = true;
                }
                self.record_read_revision();
            }
            // The missed changes are unknown, and so is what other controllers concluded from them.
            StoreReply::TooOld => self.leave("the changes missed are no longer kept"),
            _ => {
                self.next_follow_at =
                    Some(self.follow_backoff.failed(self.now, &backoff_policies::FOLLOW, &mut self.rng))
            }
        }
    }

    /// Logs a record that this version cannot read, and marks its key, so that the worst case is assumed: the tasks of
    /// such a job are left alone, and the machines of such a block may run any task.
    fn mark_unreadable(&mut self, key: &str, problem: &dyn std::fmt::Display) {
        tracing::error!(key, %problem, "cannot read record");
        self.unreadable_keys.insert(key.to_owned());
    }

    /// Whether some block cannot be read, so that a machine without a known record may still have one.
    pub(super) fn has_unreadable_blocks(&self) -> bool {
        self.unreadable_keys.iter().any(|key| key.starts_with(records::BLOCKS_PREFIX))
    }

    /// Applies a record that was loaded or changed.
    fn apply_put(&mut self, key: &str, value: &RawJson, revision: u64) {
        if !self.unreadable_keys.is_empty() {
            self.unreadable_keys.remove(key);
        }
        if let Some(job) = key.strip_prefix(records::LIVE_JOBS_PREFIX) {
            // A peer's message that the job has ended may have arrived before the change that accepted it.
            if !self.jobs.contains_key(job) && self.final_states.get(job).is_none() {
                let spec = match value.parse::<JobSpec>() {
                    Ok(spec) => spec,
                    Err(problem) => return self.mark_unreadable(key, &problem),
                };
                // No room is kept for jobs that may preempt others.
                if self.needs_fast_start(&spec.class) && !self.may_preempt(&spec) {
                    self.fast_start_jobs.insert(spec.class.clone(), spec.clone());
                }
                if self.phase == Phase::Active {
                    self.record_arrival(&spec);
                }
                let mut job_state = Job::new(spec, revision, self.now);
                job_state.owner = self.owner_of(job);
                // Another controller may have reported tasks of the job before its record arrived.
                let (first, need) = (TaskId::new(job, 0), job_state.spec.need());
                for name in self.machines_with_unknown_tasks.remove(job).unwrap_or_default() {
                    let Some(machine) = self.machines.get_mut(&name) else { continue };
                    let here = machine.tasks.range_mut(first.clone()..);
                    for (id, t) in here.take_while(|(id, _)| id.job == job) {
                        t.need = need;
                        job_state.add_placement(id.index, &name);
                        job_state.set_ended(id.index, &name, t.ended());
                    }
                }
                self.jobs.insert_sorted(job.to_owned(), job_state);
                self.schedule_round();
            }
        } else if let Some(rest) = key.strip_prefix(records::COMPLETIONS_PREFIX) {
            let Some((job, chunk)) = rest.rsplit_once('/') else { return };
            let Ok(chunk) = chunk.parse::<usize>() else { return };
            self.done_keys.entry(job.to_owned()).or_default().insert(chunk, revision);
            if let Some(j) = self.jobs.get_mut(job) {
                j.merge_recorded(chunk, &value.parse().unwrap_or_default());
            }
        } else if let Some(member) = key.strip_prefix(records::REGISTRATIONS_PREFIX) {
            // Changes are followed from the revision of the list's first page, so they may replay a registration that
            // is older than the one that a later page showed.
            if self.registrations.get(member).is_some_and(|known| *known > revision) {
                return;
            }
            if let Some(former) =
                self.registrations.insert(member.to_owned(), revision).filter(|s| *s != revision)
            {
                self.machine_knowledge.incarnation_ended(&(member.to_owned(), former));
            }
            self.schedule_round();
        } else if let Some(member) = key.strip_prefix(records::EVICTIONS_PREFIX) {
            // The evicted controller may not know yet, and may go on answering workers until its lease expires.
            self.evictions.insert(member.to_owned(), (self.now, revision));
        } else if let Some(shard) = key.strip_prefix(records::BLOCKS_PREFIX) {
            match shard.parse() {
                Ok(shard) => self.apply_block(shard, key, value.text(), revision),
                Err(problem) => self.mark_unreadable(key, &problem),
            }
        } else if let Some(request) = key.strip_prefix(records::RENTALS_PREFIX) {
            if let Ok(rental) = value.parse() {
                self.rentals.insert(request.to_owned(), (rental, revision));
            }
            // The write of this rental's record had no reply and was given up, but was carried out after all. Unless
            // the record is deleted, each new leader would rent the machines again.
            if let Some(lead) = &mut self.leader_state
                && !lead.fleet.pending_rentals.contains_key(request)
            {
                lead.fleet.rentals_to_delete.insert(request.to_owned());
            }
        } else if let Some(member) = key.strip_prefix(records::UNINFORMED_PREFIX) {
            self.apply_uninformed_record(member, value, revision);
        } else if key == records::LEADER_KEY {
            if let Ok(l) = value.parse::<LeaderRecord>() {
                self.leader = Some((l.member, l.registration, revision));
                self.leadership_changed();
            }
        } else if key == records::VIEW_KEY {
            if let Ok(view) = value.parse() {
                self.view = view;
                self.view_revision = revision;
                self.view_changed();
            }
        } else if key == records::TOKEN_COUNTER_KEY {
            self.token_counter = (value.parse().unwrap_or(0), revision);
        } else if key == records::QUOTA_KEY
            && let Ok(quota) = value.parse()
        {
            self.quota_record = (quota, revision);
            self.check_shares();
        }
    }

    /// Applies the deletion of a record.
    fn apply_delete(&mut self, key: &str, revision: u64) {
        self.unreadable_keys.remove(key);
        if let Some(job) = key.strip_prefix(records::LIVE_JOBS_PREFIX) {
            // A deleted live record never comes back, since job ids are never accepted twice.
            self.retire(job);
            self.schedule_round();
        } else if let Some(rest) = key.strip_prefix(records::COMPLETIONS_PREFIX) {
            if let Some((job, chunk)) = rest.rsplit_once('/')
                && let (Some(keys), Ok(chunk)) = (self.done_keys.get_mut(job), chunk.parse::<usize>())
            {
                keys.remove(&chunk);
                if keys.is_empty() {
                    self.done_keys.remove(job);
                }
            }
        } else if let Some(member) = key.strip_prefix(records::REGISTRATIONS_PREFIX) {
            if let Some(former) = self.registrations.get(member).copied().filter(|s| *s < revision) {
                self.registrations.remove(member);
                self.machine_knowledge.incarnation_ended(&(member.to_owned(), former));
                if member == self.own_name() {
                    self.leave("the registration has been removed");
                    return;
                }
            }
            self.schedule_round();
        } else if let Some(shard) = key.strip_prefix(records::BLOCKS_PREFIX) {
            if let Ok(shard) = shard.parse()
                && let Some(block) = self.shards.get_mut(&shard)
            {
                block.1 = revision;
                let changes = block.0.clear();
                self.apply_block_changes(shard, changes, revision);
            }
        } else if let Some(request) = key.strip_prefix(records::RENTALS_PREFIX) {
            self.rentals.remove(request);
        } else if key == records::LEADER_KEY && self.leader.as_ref().is_some_and(|l| l.2 < revision) {
            self.leader = None;
            self.leadership_changed();
        }
    }

    /// Applies a block that was written, unless a newer version was applied before.
    fn apply_block(&mut self, shard: usize, key: &str, text: &str, revision: u64) {
        let (block, written) = self.shards.entry(shard).or_default();
        if *written >= revision {
            return;
        }
        match block.update(text) {
            Ok(changes) => {
                *written = revision;
                self.apply_block_changes(shard, changes, revision);
            }
            Err(problem) => self.mark_unreadable(key, &problem),
        }
    }

    /// Applies the rows of a block that are new, changed or gone.
    fn apply_block_changes(&mut self, shard: usize, changes: BlockChanges, revision: u64) {
        let any_gone = !changes.removed.is_empty();
        for gone in changes.removed {
            // A row is removed only after the cloud has confirmed that the machine is gone.
            self.replace_tasks(&gone, BTreeMap::new(), RemovalGround::MachineGone);
            self.machines.shift_remove(&gone);
            self.machine_knowledge.machine_removed(&gone);
            self.fault_attribution.machine_removed(&gone);
            self.peers.values_mut().for_each(|peer| drop(peer.machine_statuses.remove(&gone)));
            self.unresolved_machines.remove(&gone);
        }
        if any_gone {
            self.check_takeover();
        }
        for row in changes.changed {
            let supply = self.machine_types.get(&row.kind).map(|t| t.supply()).unwrap_or_default();
            let now = self.now;
            let owner = (!row.owner.is_empty()).then(|| (row.owner.clone(), row.registration));
            if !self.machines.contains_key(&row.machine) {
                self.note_first_record(&row.machine, owner.clone(), revision);
            }
            let Some(machine) = self.machines.get_mut(&row.machine) else {
                let machine = Machine::new(row.clone(), shard, revision, now, supply);
                self.machines.insert_sorted(row.machine, machine);
                continue;
            };
            if machine.row.token == row.token {
                machine.row = row;
                continue;
            }
            self.machine_knowledge.machine_granted(&row.machine, owner);
            let last_token = row.last_token();
            tracing::debug!(
                machine = row.machine,
                owner = row.owner,
                registration = row.registration,
                token = row.token,
                last_token,
                revision,
                "granted"
            );
            self.remote_stops_pending = true;
            // A new token for the same owner keeps the time of the grant. Otherwise a machine that accepts none of its
            // tokens would be waited for as long as it gets new ones.
            let renewed = (&machine.row.owner, machine.row.registration) == (&row.owner, row.registration)
                && !machine.resolved;
            machine.token = row.token;
            machine.row = row;
            machine.grant_revision = revision;
            machine.grant_seen_at = if renewed { machine.grant_seen_at } else { now };
            machine.resolved = false;
            machine.last_received_at = None;
            machine.last_answered = None;
            machine.former_owners_gone_since = None;
            machine.unresponsive = false;
            machine.delivery.grant_changed();
            machine.probe_in_flight = false;
            machine.unanswered_calls = 0;
            machine.starts_in_call.clear();
            machine.call_in_flight = false;
            machine.token_renewal_needed = false;
            machine.next_call_at = Micros::ZERO;
            machine.up = false;
            machine.silent_since = None;
            machine.idle_since = now;
            // Starts that were not sent under the former grant can no longer be sent.
            let name = machine.row.machine.clone();
            self.drop_planned_starts(&name, |_| true);
            self.reapply_machine_status(&name);
        }
        self.placement_due = true;
    }

    /// Records a machine that appears for the first time, in a record of this revision, with its owner if it has one.
    fn note_first_record(&mut self, name: &str, owner: Option<Incarnation>, revision: u64) {
        let Some(owner) = owner else { return self.machine_knowledge.machine_granted(name, None) };
        self.machine_knowledge.machine_discovered(name, owner, revision);
        // A takeover that is in progress began without this machine, whose record could not be read then.
        if self.takeover_in_progress {
            self.unresolved_machines.insert(name.to_owned());
        }
    }

    /// Drops the starts on a machine that were planned but never sent, of the tasks selected by `which`.
    pub(super) fn drop_planned_starts(&mut self, name: &str, which: impl Fn(&TaskId) -> bool) {
        let Some(machine) = self.machines.get(name) else { return };
        let mut tasks = machine.tasks.clone();
        tasks.retain(|id, t| !t.planned() || !which(id));
        if tasks.len() < machine.tasks.len() {
            self.replace_tasks(name, tasks, RemovalGround::NeverSent);
        }
    }

    /// The member of the view that places a job.
    pub(super) fn owner_of(&self, job: &str) -> Option<String> {
        rendezvous(job, self.view.members.iter().map(|m| m.0.as_str())).map(str::to_owned)
    }

    /// Whether this controller is in the view under its current registration.
    pub(super) fn in_view(&self) -> bool {
        let registration = self.lease.as_ref().map_or(0, |l| l.registration);
        self.view.members.iter().any(|(m, s)| m == self.own_name() && *s == registration)
    }

    /// Applies a new view: reassigns all jobs, and begins a takeover if jobs of former members are now this
    /// controller's.
    pub(super) fn view_changed(&mut self) {
        let me = self.settings.member.clone();
        let view_revision = self.view_revision;
        let members: Vec<String> = self.view.members.iter().map(|m| m.0.clone()).collect();
        let mut taken = false;
        let mut lost = Vec::new();
        for (id, job) in &mut self.jobs {
            let owner = rendezvous(id, members.iter().map(String::as_str)).map(str::to_owned);
            let mine = owner.as_deref() == Some(&me);
            // Jobs of this controller's former registrations count as another controller's.
            let was_mine = self.is_view_member && job.owner.as_deref() == Some(&me);
            if mine && !was_mine && job.accepted_revision < view_revision {
                job.takeover_pending = true;
            }
            taken |= mine && job.takeover_pending;
            if was_mine && !mine {
                job.discard_unrecorded();
                lost.push(id.clone());
            }
            job.owner = owner;
        }
        for id in lost {
            let on: Vec<String> = self
                .jobs
                .get(&id)
                .map(|j| j.placements.values().flatten().cloned().collect())
                .unwrap_or_default();
            for name in on {
                self.drop_planned_starts(&name, |t| t.job == id);
            }
        }
        let member = self.in_view();
        let was_member = std::mem::replace(&mut self.is_view_member, member);
        self.renew_permits();
        if was_member != member {
            self.machine_knowledge.set_member_since(self.is_view_member.then_some(self.view_revision));
        }
        let others = self.view.members.iter().filter(|m| m.0 != self.settings.member);
        self.announcements.set_members(self.now, self.view_revision, others.cloned());
        self.machine_knowledge
            .prune(|incarnation| self.registrations.get(&incarnation.0) == Some(&incarnation.1));
        self.remote_stops_pending = true;
        self.unresolved_machines.clear();
        self.witness_queries.begin();
        // Tasks of ended jobs still count against their team's limit, so with limited teams the machines must be
        // accounted for even if no live job is taken over. Otherwise a controller that registered again at once
        // reported no usage, while forty processors of a withdrawn job of its own were in use on machines that it had
        // received no messages from yet.
        self.takeover_in_progress = taken || member && self.any_team_limited();
        if self.takeover_in_progress {
            // Machines without an owner cannot run any task.
            let granted = self.machines.iter().filter(|(_, m)| !m.never_granted());
            self.unresolved_machines = granted.map(|(name, _)| name.clone()).collect();
        }
        tracing::info!(members = ?self.view.members, unresolved = self.unresolved_machines.len(), "new view");
        self.check_takeover();
        // Controllers that take jobs over wait until all others have reported this view as applied.
        self.status_due_at = Some(self.now);
        self.placement_due = true;
    }

    /// Whether a machine is granted to this controller's current registration.
    pub(super) fn owns(&self, machine: &Machine) -> bool {
        let registration = self.lease.as_ref().map_or(0, |l| l.registration);
        // The cheap comparison comes first, as this is called for every machine very often: the registration differs
        // for nearly all machines of other controllers.
        machine.row.registration == registration && machine.row.owner == self.settings.member
    }

    /// Replaces the known tasks of a machine. `ground`: the reason for which missing tasks are taken to be gone.
    pub(super) fn replace_tasks(
        &mut self,
        name: &str,
        tasks: BTreeMap<TaskId, PlacedTask>,
        ground: RemovalGround,
    ) {
        let before = self.set_tasks(name, tasks);
        self.record_removals(name, &before, ground);
    }

    /// Sets the tasks of a machine, updates the jobs' index of their tasks' machines, and returns the former tasks.
    pub(super) fn set_tasks(
        &mut self,
        name: &str,
        tasks: BTreeMap<TaskId, PlacedTask>,
    ) -> BTreeMap<TaskId, PlacedTask> {
        let Some(machine) = self.machines.get_mut(name) else { return BTreeMap::new() };
        let before = std::mem::replace(&mut machine.tasks, tasks);
        let after = &machine.tasks;
        let was_ended = |id: &TaskId| before.get(id).is_some_and(PlacedTask::ended);
        let changed: Vec<(&TaskId, bool)> = after
            .iter()
            .filter(|(id, t)| t.ended() != was_ended(id))
            .map(|(id, t)| (id, t.ended()))
            .collect();
        for id in before.keys().filter(|id| !after.contains_key(*id)) {
            if let Some(job) = self.jobs.get_mut(&id.job).or_else(|| self.retired.get_mut(&id.job)) {
                job.remove_placement(id.index, name);
            } else if let Some(machines) = self.machines_with_unknown_tasks.get_mut(&id.job)
                && !after.keys().any(|t| t.job == id.job)
            {
                machines.remove(name);
                if machines.is_empty() {
                    self.machines_with_unknown_tasks.remove(&id.job);
                }
            }
        }
        let mut duplicates: Vec<TaskId> = Vec::new();
        for id in after.keys().filter(|id| !before.contains_key(*id)) {
            if let Some(job) = self.jobs.get_mut(&id.job).or_else(|| self.retired.get_mut(&id.job)) {
                job.add_placement(id.index, name);
                if job.placements[&id.index].len() > 1 {
                    duplicates.push(id.clone());
                }
            } else if let Some(machines) = self.machines_with_unknown_tasks.get_mut(&id.job) {
                machines.insert(name.to_owned());
            } else {
                tracing::debug!(machine = name, task = id.text(), "machine shows a task of an unknown job");
                self.machines_with_unknown_tasks.insert(id.job.clone(), [name.to_owned()].into());
            }
        }
        for (id, ended) in changed {
            if let Some(job) = self.jobs.get_mut(&id.job).or_else(|| self.retired.get_mut(&id.job)) {
                job.set_ended(id.index, name, ended);
            }
        }
        self.drop_duplicate_starts(&duplicates);
        before
    }

    /// The resources that a task of a job needs; none for an unknown job.
    pub(super) fn need_of(&self, job: &str) -> Resources {
        let job = self.jobs.get(job).or_else(|| self.retired.get(job));
        job.map(|j| j.spec.need()).unwrap_or_default()
    }

    /// Whether the state service has a record of a task's completion. A job without a live record counts as completed.
    pub(super) fn is_stored(&self, task: &TaskId) -> bool {
        let stored = |j: &Job| -> bool { TaskSet::contains(&j.recorded_done, task.index) };
        self.jobs.get(&task.job).map_or_else(|| !self.is_live(&task.job), stored)
    }
}

#[cfg(test)]
mod tests;
