//! The leader's periodic rounds: they maintain the view of members, divide capacity into a volume for each job,
//! and assign machines to controllers.

use std::collections::{BTreeMap, BTreeSet};

use marblewalk_admission::pool::FlowShare;
use marblewalk_admission::rate_plan::Planner;
use marblewalk_retry::Backoff;

use crate::bookkeeping::blocks;
use crate::bookkeeping::call_queue::Urgency;
use crate::bookkeeping::records::{self, BlockRow, ViewRecord};
use crate::coordination::backfill::Backfill;
use crate::coordination::eligibility::allows;
use crate::coordination::fleet_scaling::FleetState;
use crate::coordination::machine_moves::{MOVE_COOLDOWN, ZoneHeadroom};
use crate::coordination::model::{Job, Machine};
use crate::coordination::stalls::StallTracker;
use crate::coordination::{Controller, Effect, Purpose, backoff_policies};
use crate::protocol::job::JobSpec;
use crate::protocol::peer::{PeerMessage, Volume};
use crate::protocol::store::{Condition, StoreCall, StoreReply, Transaction, Write};
use crate::protocol::units::{Micros, Resources};

/// Minimum time between the end of a round and a round that an event has requested.
const MIN_ROUND_INTERVAL: Micros = Micros::from_millis(250);

/// How often the leader logs a summary of the deployment.
const SUMMARY_INTERVAL: Micros = Micros::from_secs(10);

/// Maximum size of all blocks in one grant, out of a transaction's 64 KiB.
const MAX_GRANT_BYTES: usize = 60 << 10;

/// Completion records of ended jobs that one transaction deletes.
const CLEANUP_BATCH: usize = 6;
/// Share of the leader's write rate that deleting completion records may use.
const CLEANUP_WRITE_SHARE: f64 = 0.3;
/// Upper bound of the time between two such transactions.
const MAX_CLEANUP_INTERVAL: Micros = Micros::from_secs(2);

/// Delay from a committed grant to the next round: by then the watch has delivered the grant's changes.
const ROUND_DELAY_AFTER_GRANT: Micros = Micros::from_millis(120);

/// State that only the leader keeps. It is not stored: a new leader rebuilds it from the records.
#[derive(Debug, Default)]
pub(crate) struct LeaderState {
    /// When this controller became the leader.
    pub since: Micros,
    /// Number of the next round.
    pub round: u64,
    /// When the next round is due.
    pub round_at: Micros,
    /// When the last round took place.
    pub round_done: Micros,
    /// When the summary was last logged.
    pub summarized_at: Micros,
    /// A grant has been sent and not answered. The next one must be computed from its result.
    pub grant_in_flight: bool,
    /// Delays the next round after failed grants.
    pub grant_backoff: Backoff,
    /// The last round could not divide the teams' limits, because not every controller was known to have applied
    /// the quota record in force and to have finished its takeover.
    pub awaiting_quota_acks: bool,
    /// When machines were last moved to another controller.
    pub moved_at: BTreeMap<String, Micros>,
    /// Machines that reported to a controller that is not their owner: the controller, and when.
    pub misdirected_reports: BTreeMap<String, (String, Micros)>,
    /// Machines that were reassigned to the controller that received their reports, and how often in a row this
    /// happened without the new owner learning which tasks are there.
    pub rescue_moves: BTreeMap<String, u32>,
    /// Machines that reported although no block contains them: the row to record, and when they last reported.
    pub unrecorded_machines: BTreeMap<String, (BlockRow, Micros)>,
    /// State of renting and returning machines.
    pub fleet: FleetState,
    /// Machines that the last round's plan uses. They are not returned as idle.
    pub reserved_by_plan: BTreeSet<String>,
    /// Resources that the last round's plan left free, for each machine with any.
    pub free_after_plan: BTreeMap<String, Resources>,
    /// Tasks that found no machine in the last round.
    pub unplaced: Vec<Unplaced>,
    /// Since when each job has been below its volume because machines are lacking. Starts again each time surplus
    /// tasks are looked for on its behalf.
    pub starved: BTreeMap<String, Micros>,
    /// Jobs that run on capacity that the volumes leave idle.
    pub backfill: Backfill,
    /// Jobs that do not use their volumes.
    pub stalls: StallTracker,
    /// Divides the leased part of the state service's rate limits among the controllers.
    pub planner: Option<Planner>,
    /// When the planner is to make the next rate plan.
    pub plan_at: Micros,
    /// Each team's and class's share of the resource pools in the last round.
    pub shares: Vec<FlowShare>,
    /// When completion records were last deleted.
    pub cleaned_up_at: Micros,
}

/// Tasks of a job for which there is no machine.
#[derive(Clone, Debug)]
pub(crate) struct Unplaced {
    pub job: String,
    pub count: u64,
    /// How many of them each zone may take, if the job restricts zones.
    pub zones: ZoneHeadroom,
}

impl Controller {
    /// Starts or ends this controller's leadership after a change of the leader record.
    pub(super) fn leadership_changed(&mut self) {
        let registration = self.lease.as_ref().map_or(0, |l| l.registration);
        let mine = self
            .leader
            .as_ref()
            .is_some_and(|l| l.0 == self.own_name() && l.1 == registration && registration != 0);
        if let Some((leader, leader_registration, revision)) = &self.leader {
            tracing::info!(leader, leader_registration, revision, "leader recorded");
        }
        if mine && self.leader_state.is_none() {
            let leader_revision = self.leader.as_ref().map_or(0, |l| l.2);
            tracing::info!(registration, revision = leader_revision, "became leader");
            let planner = Some(Planner::new(self.now, leader_revision, self.leased_rates()));
            self.leader_state = Some(LeaderState { since: self.now, planner, ..Default::default() });
            self.volumes_received_at = self.now;
            self.resume_rentals();
        } else if !mine {
            self.leader_state = None;
        }
        self.set_rates();
    }

    /// Schedules a round soon, because something has changed. On a large deployment this is always the case, so
    /// rounds are spaced by [`MIN_ROUND_INTERVAL`].
    pub(super) fn schedule_round(&mut self) {
        let now = self.now;
        if let Some(lead) = &mut self.leader_state {
            let soon = (now + Micros::from_millis(50)).max(lead.round_done + MIN_ROUND_INTERVAL);
            lead.round_at = lead.round_at.min(soon);
        }
    }

    /// Runs a round if one is due and this controller may act as leader. If the view is stale, it is updated instead.
    pub(super) fn leader_tick(&mut self) {
        if self.leader_state.is_none() || !self.entitled() {
            return;
        }
        self.fleet_tick();
        if self.leader_state.as_ref().is_some_and(|l| l.awaiting_quota_acks) && self.may_divide_limits() {
            self.schedule_round();
        }
        if self.leader_state.as_ref().is_none_or(|l| self.now < l.round_at) {
            return;
        }
        if self.view_is_stale() {
            self.update_view();
            if let Some(lead) = &mut self.leader_state {
                lead.round_at = self.now + MIN_ROUND_INTERVAL;
            }
            return;
        }
        let regular = Micros::from_secs_f64(self.tuning.round_s);
        let now = self.now;
        self.run_round();
        if let Some(lead) = &mut self.leader_state {
            lead.round += 1;
            lead.round_done = now;
            // `schedule_round` may bring this forward, but not below the minimum interval.
            lead.round_at = now + regular;
        }
    }

    /// Whether the registered controllers differ from the members of the view.
    fn view_is_stale(&self) -> bool {
        let members: Vec<(String, u64)> = self.registrations.iter().map(|(m, s)| (m.clone(), *s)).collect();
        self.view.members != members
    }

    /// Whether the registration that a machine was granted to still exists.
    pub(super) fn owner_is_registered(&self, machine: &Machine) -> bool {
        self.registrations.get(&machine.row.owner) == Some(&machine.row.registration)
    }

    /// Makes the registered controllers the members of the view, and grants them the machines of those that left.
    fn update_view(&mut self) {
        let members: Vec<(String, u64)> = self.registrations.iter().map(|(m, s)| (m.clone(), *s)).collect();
        let mut moves = BTreeMap::new();
        self.reassign_orphaned_machines(&mut moves);
        self.grant(moves, Vec::new(), BTreeSet::new(), Some(ViewRecord { members }));
    }

    /// Adds moves that give the machines of controllers that have left to registered ones. One grant may be too
    /// small for all of them, so some may remain to be granted after the view has changed.
    pub(super) fn reassign_orphaned_machines(&self, moves: &mut BTreeMap<String, String>) {
        let orphaned = |m: &Machine| !m.never_granted() && !self.owner_is_registered(m);
        if !self.machines.values().any(orphaned) {
            return;
        }
        let mut counts: BTreeMap<&str, usize> = self.registrations.keys().map(|m| (m.as_str(), 0)).collect();
        for machine in self.machines.values().filter(|m| self.owner_is_registered(m)) {
            *counts.entry(&machine.row.owner).or_default() += 1;
        }
        for (name, machine) in self.machines.iter().filter(|(_, m)| orphaned(m)) {
            // A controller that has registered again gets its former machines: their workers know it already.
            let former_owner =
                counts.contains_key(machine.row.owner.as_str()).then_some(machine.row.owner.as_str());
            let least_loaded = counts.iter().min_by_key(|(_, n)| **n).map(|(m, _)| *m);
            if let Some(to) = former_owner.or(least_loaded) {
                *counts.entry(to).or_default() += 1;
                moves.insert(name.clone(), to.to_owned());
            }
        }
    }

    /// Writes moves, new machines, removals and possibly a view in one transaction, under fresh tokens. A move to
    /// the empty name marks a machine as being returned. Moves and additions that do not fit are left out. Returns
    /// whether a transaction was sent.
    pub(super) fn grant(
        &mut self,
        moves: BTreeMap<String, String>,
        added: Vec<BlockRow>,
        removed: BTreeSet<String>,
        view: Option<ViewRecord>,
    ) -> bool {
        let max_ops = self.settings.params.state.txn_ops;
        let value_limit = ((self.settings.params.state.value_kb * 1024.0) as usize - 64).min(MAX_GRANT_BYTES);
        let Some(leader_revision) = self.leader.as_ref().map(|l| l.2) else { return false };
        // One grant at a time, and an update of the view takes precedence: on a large fleet there is always a
        // machine to return, and a controller that had registered again waited 1.4 s for its view behind such grants.
        if self.leader_state.as_ref().is_none_or(|l| l.grant_in_flight)
            || view.is_none() && self.view_is_stale()
        {
            return false;
        }
        let mut token = self.token_counter.0;
        let grants_ranges = self.grants_token_ranges();
        // A row grows when its machine is granted, and a block that has become too long could never be written
        // again. So each row counts with the largest size that it may reach.
        let names_bytes = self.max_names_bytes(&added) + blocks::FRAME_BYTES;
        let written = self.shards.iter().filter(|(_, (block, _))| !block.is_empty());
        let mut block_bytes: BTreeMap<usize, usize> =
            written.clone().map(|(n, (block, _))| (*n, names_bytes + block.max_rows_bytes())).collect();
        let rows_of = |n: usize| -> Vec<BlockRow> {
            let names = self.shards.get(&n).into_iter().flat_map(|s| s.0.machines());
            names.filter_map(|name| self.machines.get(name)).map(|m| m.row.clone()).collect()
        };
        let mut shards: BTreeMap<usize, Vec<BlockRow>> = BTreeMap::new();
        let mut changed = BTreeSet::new();
        let mut bytes_left = MAX_GRANT_BYTES;
        let max_blocks = max_ops.saturating_sub(2);
        for (n, (block, _)) in written {
            let touched = block.machines().any(|name| removed.contains(name) || moves.contains_key(name));
            // A block that does not fit is left to a later grant.
            if !touched || changed.len() >= max_blocks || block_bytes[n] > bytes_left {
                continue;
            }
            bytes_left -= block_bytes[n];
            changed.insert(*n);
            let rows = shards.entry(*n).or_insert_with(|| rows_of(*n));
            rows.retain(|r| !removed.contains(&r.machine));
            for row in rows.iter_mut() {
                if let Some(to) = moves.get(&row.machine) {
                    if to.is_empty() {
                        row.returning = true;
                        continue;
                    }
                    row.grant_tokens(&mut token, grants_ranges);
                    row.owner = to.clone();
                    row.registration = self.registrations.get(to).copied().unwrap_or(0);
                }
            }
        }
        // Adding machines also writes the token counter, with its revision as a condition, even if no token is
        // used: a delayed grant then fails if another one has added the same machines to another block meanwhile.
        let mut new = BTreeSet::new();
        for mut row in added {
            if self.machines.contains_key(&row.machine) || new.contains(&row.machine) {
                continue;
            }
            if !row.owner.is_empty() {
                row.grant_tokens(&mut token, grants_ranges);
            }
            let row_bytes = blocks::max_row_bytes(&row.machine);
            let open = block_bytes.iter().find(|(n, used)| {
                let extra = if changed.contains(*n) { row_bytes } else { **used + row_bytes };
                **used + row_bytes <= value_limit
                    && extra <= bytes_left
                    && (changed.contains(*n) || changed.len() < max_blocks)
            });
            let is_free = |n: &usize| {
                !block_bytes.contains_key(n) && !self.unreadable_keys.contains(&records::block_key(*n))
            };
            let n = open.map(|(n, _)| *n).unwrap_or_else(|| (0..).find(is_free).unwrap_or(0));
            let used = block_bytes.entry(n).or_insert(names_bytes);
            let extra = if changed.contains(&n) { row_bytes } else { *used + row_bytes };
            if extra > bytes_left || !changed.contains(&n) && changed.len() >= max_blocks {
                break;
            }
            bytes_left -= extra;
            *used += row_bytes;
            changed.insert(n);
            new.insert(row.machine.clone());
            shards.entry(n).or_insert_with(|| rows_of(n)).push(row);
        }
        let mut transaction = Transaction {
            conditions: vec![
                Condition::new(records::LEADER_KEY, leader_revision),
                self.registration_condition(),
            ],
            writes: Vec::new(),
        };
        for n in changed {
            let revision = self.shards.get(&n).map_or(0, |s| s.1);
            transaction.conditions.push(Condition::new(records::block_key(n), revision));
            if let Ok(value) = blocks::encode(&shards[&n]) {
                transaction.writes.push(Write::put(records::block_key(n), value));
            }
        }
        if let Some(view) = view
            && let Ok(value) = serde_json::to_value(view)
        {
            transaction.conditions.push(Condition::new(records::VIEW_KEY, self.view_revision));
            transaction.writes.push(Write::put(records::VIEW_KEY, value));
        }
        if transaction.writes.is_empty() {
            return false;
        }
        if token != self.token_counter.0 || !new.is_empty() {
            transaction.conditions.push(Condition::new(records::TOKEN_COUNTER_KEY, self.token_counter.1));
            transaction.writes.push(Write::put(records::TOKEN_COUNTER_KEY, token.into()));
        }
        if let Some(lead) = &mut self.leader_state {
            lead.grant_in_flight = true;
        }
        self.counters.grants += 1;
        self.enqueue_store_call(Urgency::Entitlement, Purpose::Grant, StoreCall::Commit(transaction));
        true
    }

    /// Whether grants comprise a range of tokens.
    fn grants_token_ranges(&self) -> bool {
        #[cfg(test)]
        if self.grants_single_tokens {
            return false;
        }
        true
    }

    /// Upper bound for the size of the names in a block: those of all controllers, machine types and zones.
    fn max_names_bytes(&self, added: &[BlockRow]) -> usize {
        let others = self.settings.members.iter().map(|m| m.member.as_str());
        let rows = self.machines.values().map(|m| &m.row).chain(added);
        let used = rows.flat_map(|r| [r.kind.as_str(), r.zone.as_str()]);
        let names: BTreeSet<&str> = others.chain([self.own_name(), ""]).chain(used).collect();
        names.into_iter().map(blocks::max_name_bytes).sum()
    }

    /// Handles the reply to a grant or to a write of the quota record.
    pub(super) fn handle_grant_reply(&mut self, reply: StoreReply) {
        let granted = matches!(reply, StoreReply::Committed { .. });
        self.counters.grant_conflicts += u64::from(!granted);
        // The next grant is computed from the replica, so the state service's changes are requested at once.
        self.next_follow_at = self.next_follow_at.map(|_| self.now);
        if let Some(lead) = &mut self.leader_state {
            lead.grant_in_flight = false;
            lead.round_at = if granted {
                lead.grant_backoff.succeeded();
                self.now + ROUND_DELAY_AFTER_GRANT
            } else {
                lead.grant_backoff.failed(self.now, &backoff_policies::GRANT, &mut self.rng)
            };
        }
    }

    /// Whether tasks can be planned on a machine, according to its owner's last status.
    pub(super) fn is_schedulable(&self, machine: &Machine) -> bool {
        !machine.row.returning
            && !machine.quarantined
            && !machine.preemption_notice
            && self.owner_is_registered(machine)
            && machine.up
            && !machine.unresponsive
            && self.seconds_silent(machine) < 10
    }

    /// Logs a summary of the deployment for operators.
    fn log_summary(&self, volumes: &[Volume]) {
        let Some(lead) = &self.leader_state else { return };
        let count = |f: &dyn Fn(&Machine) -> bool| self.machines.values().filter(|m| f(m)).count();
        let tasks = |f: &dyn Fn(&Job) -> u32| self.jobs.values().map(f).sum::<u32>();
        tracing::info!(
            jobs = self.jobs.len(),
            admitted = volumes.len(),
            unfinished = tasks(&Job::unfinished),
            volume = volumes.iter().map(|v| v.tasks).sum::<u32>(),
            placed = tasks(&Job::placed),
            unplaced = lead.unplaced.iter().map(|u| u.count).sum::<u64>(),
            serving = count(&|m| self.is_schedulable(m)),
            idle = count(&|m| self.is_schedulable(m) && m.idle()),
            coming = count(&|m| self.is_incoming(m)),
            strays = lead.unrecorded_machines.len(),
            returning = count(&|m| m.row.returning),
            grants = self.counters.grants,
            "deployment summary"
        );
    }

    /// Computes and broadcasts the volumes. Unless a grant is in flight, it then changes at most one of the quota,
    /// the machines' owners and the completion records, and rents machines unless the quota has changed.
    fn run_round(&mut self) {
        let (mut volumes, shares) = self.plan_volumes();
        self.note_stalls();
        self.backfill(&mut volumes);
        if let Some(lead) = &mut self.leader_state {
            lead.shares = shares;
        }
        if self.leader_state.as_ref().is_some_and(|l| self.now >= l.summarized_at + SUMMARY_INTERVAL) {
            self.log_summary(&volumes);
            if let Some(lead) = &mut self.leader_state {
                lead.summarized_at = self.now;
            }
        }
        let leader = self.leader.as_ref().map_or(0, |l| l.2);
        let round = self.leader_state.as_ref().map_or(0, |l| l.round);
        let kept = self.choose_fast_start_machines();
        let surplus = self.find_surplus(&volumes);
        let reserved = self.gang_reservations.clone();
        self.apply_volumes(&volumes, kept.clone(), reserved.clone());
        let message = PeerMessage::Volumes {
            leader_registration: leader,
            round,
            volumes,
            fast_start_reservations: kept,
            gang_reservations: reserved,
            surplus: surplus.clone(),
        };
        self.effects.push(Effect::Send(None, message));
        self.stop_surplus(&surplus);
        if self.leader_state.as_ref().is_some_and(|l| l.grant_in_flight) {
            return;
        }
        self.check_usage();
        if self.divide_limits() {
            return;
        }
        let (moves, added) = self.plan_machine_moves();
        if !moves.is_empty() || !added.is_empty() {
            let moved_at = self.now;
            if let Some(lead) = &mut self.leader_state {
                for name in moves.keys() {
                    lead.moved_at.insert(name.clone(), moved_at);
                }
                lead.moved_at.retain(|_, at| moved_at.since(*at) < MOVE_COOLDOWN);
            }
            self.grant(moves, added, BTreeSet::new(), None);
        } else {
            self.delete_completion_records();
        }
        self.scale_up();
    }

    /// How many surplus tasks to stop of which jobs: of arrays above their volume, in favour of jobs of higher
    /// priority that have been below theirs for `surplus_wait_s`. All other jobs wait until surplus tasks end by
    /// themselves.
    fn find_surplus(&mut self, volumes: &[Volume]) -> Vec<(String, u32)> {
        let now = self.now;
        let wait = Micros::from_secs_f64(self.tuning.surplus_wait_s);
        let Some(lead) = &mut self.leader_state else { return Vec::new() };
        let waiting: BTreeMap<String, u64> = lead.unplaced.iter().map(|u| (u.job.clone(), u.count)).collect();
        lead.starved.retain(|job, _| waiting.contains_key(job));
        for job in waiting.keys() {
            lead.starved.entry(job.clone()).or_insert(now);
        }
        let due: Vec<String> =
            lead.starved.iter().filter(|(_, at)| now.since(**at) >= wait).map(|(j, _)| j.clone()).collect();
        for id in &due {
            lead.starved.insert(id.clone(), now);
        }
        let mut surplus: BTreeMap<String, u32> = BTreeMap::new();
        for id in due {
            let Some(job) = self.jobs.get(&id) else { continue };
            let mut lacking = job.spec.need().cpu.max(1) * waiting.get(&id).copied().unwrap_or(0);
            for Volume { job: other, tasks: volume, .. } in volumes {
                let Some(j) = self.jobs.get(other) else { continue };
                let same_pool = (j.spec.gpus > 0.0) == (job.spec.gpus > 0.0);
                let lower = j.spec.priority < job.spec.priority && j.spec.min_tasks() == 1;
                if !same_pool || !lower || lacking == 0 {
                    continue;
                }
                let excess = j
                    .placed()
                    .saturating_sub(*volume)
                    .saturating_sub(surplus.get(other).copied().unwrap_or(0));
                let cpu_per_task = j.spec.need().cpu.max(1);
                let n = excess.min(lacking.div_ceil(cpu_per_task) as u32);
                lacking = lacking.saturating_sub(u64::from(n) * cpu_per_task);
                if n > 0 {
                    *surplus.entry(other.clone()).or_default() += n;
                }
            }
        }
        surplus.into_iter().collect()
    }

    /// Chooses the machines on which room is kept for classes that must start sooner than a machine boots, as pairs
    /// of machine and class: those that fetch images fastest, of which enough is free or used by tasks of lower
    /// priority.
    fn choose_fast_start_machines(&self) -> Vec<(String, String)> {
        let mut kept: Vec<(String, String)> = Vec::new();
        for (class, spec) in &self.fast_start_jobs {
            let need = spec.need();
            let mut options: Vec<(bool, u64, u64, &String)> = Vec::new();
            let fits = |m: &Machine| (spec.gpus > 0.0 || m.supply.gpu == 0) && allows(spec, m);
            for (name, m) in self.machines.iter().filter(|(_, m)| fits(m) && self.is_schedulable(m)) {
                let not_lower = |j: &Job| j.spec.priority >= spec.priority;
                let staying = m
                    .tasks
                    .iter()
                    .filter(|(id, t)| !t.ended() && self.jobs.get(&id.job).is_none_or(not_lower));
                let room = staying.fold(m.supply, |room, (_, t)| room.minus(t.need));
                let Some(kind) = self.machine_types.get(&m.row.kind) else { continue };
                if need.fits(room) {
                    let already_kept = self.fast_start_reservations.get(name) == Some(class);
                    options.push((
                        !already_kept,
                        (1e6 / kind.fetch_gb_per_s.max(1e-3)) as u64,
                        (kind.price * 1e3) as u64,
                        name,
                    ));
                }
            }
            options.sort_by_key(|(newly_kept, fetch_time, price, name)| {
                (*fetch_time, *newly_kept, *price, *name)
            });
            let slots = self.fast_start_slots(spec);
            kept.extend(options.into_iter().take(slots).map(|(.., name)| (name.clone(), class.clone())));
        }
        kept
    }

    /// Number of tasks of a class for which room is kept.
    pub(super) fn fast_start_slots(&self, spec: &JobSpec) -> usize {
        2 * spec.min_tasks() as usize
    }

    /// The last status that a member sent under its present registration, if any.
    pub(super) fn status_of(
        &self,
        member: &str,
        registration: u64,
    ) -> Option<&crate::protocol::peer::Status> {
        self.peers.get(member).and_then(|p| p.status.as_ref()).filter(|s| s.registration == registration)
    }

    /// Whether every registered controller is known to have applied the state service's changes up to this revision.
    pub(super) fn all_controllers_applied(&self, revision: u64) -> bool {
        let applied = |m: &str, registration| {
            self.status_of(m, registration).is_some_and(|s| s.applied_revision >= revision)
        };
        self.registrations.iter().all(|(m, registration)| {
            (m == self.own_name() && self.applied_revision >= revision) || applied(m, *registration)
        })
    }

    /// Deletes a batch of completion records whose jobs have ended.
    fn delete_completion_records(&mut self) {
        let Some(lead) = &mut self.leader_state else { return };
        // With a fixed interval the records accumulated when jobs ended faster than they were deleted.
        let batch_s = CLEANUP_BATCH as f64 / (self.store_calls.writes_per_s() * CLEANUP_WRITE_SHARE);
        let spacing = Micros::from_secs_f64(batch_s).min(MAX_CLEANUP_INTERVAL);
        if self.now.since(lead.cleaned_up_at) < spacing || self.store_calls.waiting_calls(Urgency::Other) > 4
        {
            return;
        }
        let orphans = self.done_keys.iter().filter(|(job, _)| !self.jobs.contains_key(*job));
        let keys: Vec<String> = orphans
            .flat_map(|(job, chunks)| chunks.keys().map(|c| records::completions_key(job, *c)))
            .take(CLEANUP_BATCH)
            .collect();
        if keys.is_empty() {
            return;
        }
        lead.cleaned_up_at = self.now;
        let transaction = Transaction {
            conditions: vec![self.registration_condition()],
            writes: keys.into_iter().map(Write::delete).collect(),
        };
        self.enqueue_store_call(Urgency::Other, Purpose::Cleanup, StoreCall::Commit(transaction));
    }
}
