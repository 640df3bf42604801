//! The leader's rounds: who is a member, what volume each job has, who holds which machine.

use std::collections::{BTreeMap, BTreeSet};

use marblewalk_admission::pool::FlowShare;
use marblewalk_admission::rate_plan::Planner;
use marblewalk_retry::Backoff;

use crate::bookkeeping::blocks;
use crate::bookkeeping::budget::Urgency;
use crate::bookkeeping::records::{self, BlockRow, ViewRecord};
use crate::coordination::backfill::Backfill;
use crate::coordination::blocks::{SETTLE, ZonesLeft};
use crate::coordination::eligibility::allows;
use crate::coordination::fleet::Fleet;
use crate::coordination::model::{Job, Machine};
use crate::coordination::stalls::Stalls;
use crate::coordination::{Controller, Effect, Purpose, rules};
use crate::protocol::job::JobSpec;
use crate::protocol::peer::{PeerMessage, Volume};
use crate::protocol::store::{Condition, StoreCall, StoreReply, Transaction, Write};
use crate::protocol::units::{Micros, Resources};

/// The shortest time between two rounds that something has called for.
const SPACING: Micros = Micros::from_millis(250);

/// How often the leader says how the deployment stands.
const DESCRIBE_EVERY: Micros = Micros::from_secs(10);
/// The most that the blocks of one grant may take of a transaction's 64 KiB.
const MOST_BYTES: usize = 60 << 10;

/// Completion records of jobs that are over that are removed at a time, the part of the leader's changes that this may
/// take, and how long it waits for the next ones at most.
const CLEANED: usize = 6;
const CLEANUP_SHARE: f64 = 0.3;
const CLEANUP_SPACING: Micros = Micros::from_secs(2);

/// How long after a grant the next round is: by then the watch has shown it.
const AFTER_GRANT: Micros = Micros::from_millis(120);

/// What only the leader keeps. A new leader starts with nothing but the records.
#[derive(Debug, Default)]
pub(crate) struct Leading {
    pub since: Micros,
    pub round: u64,
    pub round_at: Micros,
    pub round_done: Micros,
    pub described: Micros,
    /// A grant is on its way: the next one builds on what it leaves.
    pub granting: bool,
    pub regranting: Backoff,
    /// The last round could not divide the limits, for not all were known to have taken in the record in force.
    pub awaits_words: bool,
    pub moved: BTreeMap<String, Micros>,
    /// Machines that turned to a controller that is not their owner.
    pub heard: BTreeMap<String, (String, Micros)>,
    /// Machines that were given to whoever heard them, and how often without the new holder learning what is there.
    pub rescued: BTreeMap<String, u32>,
    /// Machines that reported without being in any block.
    pub strays: BTreeMap<String, (BlockRow, Micros)>,
    pub fleet: Fleet,
    /// Machines that the last round's plan counts on.
    pub promised: BTreeSet<String>,
    /// Room that the last round's plan left on each machine that has any.
    pub left_by_plan: BTreeMap<String, Resources>,
    /// Work that found no machine in the last round.
    pub unplaced: Vec<Unplaced>,
    /// Since when jobs have been below their volume for want of a machine.
    pub starved: BTreeMap<String, Micros>,
    /// Jobs that are given what the volumes leave idle.
    pub backfill: Backfill,
    /// Jobs that make no use of their volumes.
    pub stalls: Stalls,
    /// Divides what is leased of the store's limits.
    pub planner: Option<Planner>,
    pub plan_at: Micros,
    /// What each team and class had of the pools in the last round.
    pub shares: Vec<FlowShare>,
    /// Allotments of controllers that have left, until their tasks are accounted for.
    pub cleaned: Micros,
}

/// Tasks of a job for which no machine is there.
#[derive(Clone, Debug)]
pub(crate) struct Unplaced {
    pub job: String,
    pub count: u64,
    pub zones: ZonesLeft,
}

impl Controller {
    pub(super) fn leadership_changed(&mut self) {
        let stamp = self.lease.as_ref().map_or(0, |l| l.stamp);
        let mine = self.leader.as_ref().is_some_and(|l| l.0 == self.me() && l.1 == stamp && stamp != 0);
        if mine && self.lead.is_none() {
            tracing::info!("leading");
            let stamp = self.leader.as_ref().map_or(0, |l| l.2);
            let planner = Some(Planner::new(self.now, stamp, self.leased_rates()));
            self.lead = Some(Leading { since: self.now, planner, ..Default::default() });
            self.volumes_heard = self.now;
            self.resume_rentals();
        } else if !mine {
            self.lead = None;
        }
        self.set_rates();
    }

    /// Calls for a round soon: something has changed. On a large deployment something always has,
    /// so rounds keep a distance.
    pub(super) fn soon_round(&mut self) {
        let now = self.now;
        if let Some(lead) = &mut self.lead {
            let soon = (now + Micros::from_millis(50)).max(lead.round_done + SPACING);
            lead.round_at = lead.round_at.min(soon);
        }
    }

    pub(super) fn leader_tick(&mut self) {
        if self.lead.is_none() || !self.entitled() {
            return;
        }
        self.fleet_tick();
        if self.lead.as_ref().is_some_and(|l| l.awaits_words) && self.may_divide() {
            self.soon_round();
        }
        if self.lead.as_ref().is_none_or(|l| self.now < l.round_at) {
            return;
        }
        if self.view_is_old() {
            self.renew_view();
            if let Some(lead) = &mut self.lead {
                lead.round_at = self.now + SPACING;
            }
            return;
        }
        let regular = Micros::from_secs_f64(self.tuning.round_s);
        let now = self.now;
        self.round();
        if let Some(lead) = &mut self.lead {
            lead.round += 1;
            lead.round_done = now;
            // `soon_round` may bring this forward, but not below the spacing.
            lead.round_at = now + regular;
        }
    }

    fn view_is_old(&self) -> bool {
        let members: Vec<(String, u64)> = self.nodes.iter().map(|(m, s)| (m.clone(), *s)).collect();
        self.view.members != members
    }

    pub(super) fn holds(&self, machine: &Machine) -> bool {
        self.nodes.get(&machine.row.owner) == Some(&machine.row.node)
    }

    /// Names the registered controllers as members and grants them the machines of those that left.
    fn renew_view(&mut self) {
        let members: Vec<(String, u64)> = self.nodes.iter().map(|(m, s)| (m.clone(), *s)).collect();
        let mut moves = BTreeMap::new();
        self.regrant(&mut moves);
        self.grant(moves, Vec::new(), BTreeSet::new(), Some(ViewRecord { members }));
    }

    /// Machines of controllers that have left go to those that are there. A grant may not have room
    /// for all of them, so that some are still to be granted after the view has changed.
    pub(super) fn regrant(&self, moves: &mut BTreeMap<String, String>) {
        let left = |m: &Machine| !m.unused() && !self.holds(m);
        if !self.machines.values().any(left) {
            return;
        }
        let mut counts: BTreeMap<&str, usize> = self.nodes.keys().map(|m| (m.as_str(), 0)).collect();
        for machine in self.machines.values().filter(|m| self.holds(m)) {
            *counts.entry(&machine.row.owner).or_default() += 1;
        }
        for (name, machine) in self.machines.iter().filter(|(_, m)| left(m)) {
            // A controller that is back gets its own machines: its workers know it.
            let back = counts.contains_key(machine.row.owner.as_str()).then_some(machine.row.owner.as_str());
            let least = counts.iter().min_by_key(|(_, n)| **n).map(|(m, _)| *m);
            if let Some(to) = back.or(least) {
                *counts.entry(to).or_default() += 1;
                moves.insert(name.clone(), to.to_owned());
            }
        }
    }

    /// Writes moves, new machines and removals, all or none, under fresh tokens.
    pub(super) fn grant(
        &mut self,
        moves: BTreeMap<String, String>,
        added: Vec<BlockRow>,
        removed: BTreeSet<String>,
        view: Option<ViewRecord>,
    ) -> bool {
        let most = self.settings.params.state.txn_ops;
        let value_limit = ((self.settings.params.state.value_kb * 1024.0) as usize - 64).min(MOST_BYTES);
        let Some(leader_stamp) = self.leader.as_ref().map(|l| l.2) else { return false };
        // One grant at a time, and a new view before all else: on a large fleet there is always a machine to
        // be returned, and a controller that was back waited 1.4 s for its view behind them.
        if self.lead.as_ref().is_none_or(|l| l.granting) || view.is_none() && self.view_is_old() {
            return false;
        }
        let mut token = self.counter.0;
        // A row grows when its machine is granted, and a value that has become too long could never be
        // written again: each row is given the room that it may come to need.
        let names = self.names_bytes(&added) + blocks::FRAME_BYTES;
        let written = self.shards.iter().filter(|(_, (block, _))| !block.is_empty());
        let mut lengths: BTreeMap<usize, usize> =
            written.clone().map(|(n, (block, _))| (*n, names + block.bytes())).collect();
        let rows_of = |n: usize| -> Vec<BlockRow> {
            let names = self.shards.get(&n).into_iter().flat_map(|s| s.0.machines());
            names.filter_map(|name| self.machines.get(name)).map(|m| m.row.clone()).collect()
        };
        let mut shards: BTreeMap<usize, Vec<BlockRow>> = BTreeMap::new();
        let mut changed = BTreeSet::new();
        let mut room = MOST_BYTES;
        let budget = most.saturating_sub(2);
        for (n, (block, _)) in written {
            let touched = block.machines().any(|name| removed.contains(name) || moves.contains_key(name));
            // What does not fit goes with a later grant.
            if !touched || changed.len() >= budget || lengths[n] > room {
                continue;
            }
            room -= lengths[n];
            changed.insert(*n);
            let rows = shards.entry(*n).or_insert_with(|| rows_of(*n));
            rows.retain(|r| !removed.contains(&r.machine));
            for row in rows.iter_mut() {
                if let Some(to) = moves.get(&row.machine) {
                    if to.is_empty() {
                        row.returning = true;
                        continue;
                    }
                    token += 1;
                    row.token = token;
                    row.owner = to.clone();
                    row.node = self.nodes.get(to).copied().unwrap_or(0);
                }
            }
        }
        // One that is carried out late must find that the machines are not in another block by then.
        let mut new = BTreeSet::new();
        for mut row in added {
            if self.machines.contains_key(&row.machine) || new.contains(&row.machine) {
                continue;
            }
            if !row.owner.is_empty() {
                token += 1;
                row.token = token;
            }
            let text = blocks::row_bytes(&row.machine);
            let open = lengths.iter().find(|(n, used)| {
                let more = if changed.contains(*n) { text } else { **used + text };
                **used + text <= value_limit
                    && more <= room
                    && (changed.contains(*n) || changed.len() < budget)
            });
            let unused =
                |n: &usize| !lengths.contains_key(n) && !self.unreadable.contains(&records::blocks(*n));
            let n = open.map(|(n, _)| *n).unwrap_or_else(|| (0..).find(unused).unwrap_or(0));
            let used = lengths.entry(n).or_insert(names);
            let more = if changed.contains(&n) { text } else { *used + text };
            if more > room || !changed.contains(&n) && changed.len() >= budget {
                break;
            }
            room -= more;
            *used += text;
            changed.insert(n);
            new.insert(row.machine.clone());
            shards.entry(n).or_insert_with(|| rows_of(n)).push(row);
        }
        let mut transaction = Transaction {
            conditions: vec![Condition::new(records::LEADER, leader_stamp), self.entitlement()],
            writes: Vec::new(),
        };
        for n in changed {
            let stamp = self.shards.get(&n).map_or(0, |s| s.1);
            transaction.conditions.push(Condition::new(records::blocks(n), stamp));
            if let Ok(value) = blocks::encode(&shards[&n]) {
                transaction.writes.push(Write::put(records::blocks(n), value));
            }
        }
        if let Some(view) = view
            && let Ok(value) = serde_json::to_value(view)
        {
            transaction.conditions.push(Condition::new(records::VIEW, self.view_stamp));
            transaction.writes.push(Write::put(records::VIEW, value));
        }
        if transaction.writes.is_empty() {
            return false;
        }
        if token != self.counter.0 || !new.is_empty() {
            transaction.conditions.push(Condition::new(records::COUNTER, self.counter.1));
            transaction.writes.push(Write::put(records::COUNTER, token.into()));
        }
        if let Some(lead) = &mut self.lead {
            lead.granting = true;
        }
        self.counters.grants += 1;
        self.store(Urgency::Entitlement, Purpose::Grant, StoreCall::Commit(transaction));
        true
    }

    /// What the names in a block may take at most: all controllers', and all types' and zones'.
    fn names_bytes(&self, added: &[BlockRow]) -> usize {
        let others = self.settings.members.iter().map(|m| m.member.as_str());
        let rows = self.machines.values().map(|m| &m.row).chain(added);
        let used = rows.flat_map(|r| [r.kind.as_str(), r.zone.as_str()]);
        let names: BTreeSet<&str> = others.chain([self.me(), ""]).chain(used).collect();
        names.into_iter().map(blocks::name_bytes).sum()
    }

    pub(super) fn granted(&mut self, reply: StoreReply) {
        let granted = matches!(reply, StoreReply::Committed { .. });
        self.counters.grant_conflicts += u64::from(!granted);
        // The next grant is worked out from what the watch shows, so it asks at once.
        self.follow_at = self.follow_at.map(|_| self.now);
        if let Some(lead) = &mut self.lead {
            lead.granting = false;
            lead.round_at = if granted {
                lead.regranting.succeeded();
                self.now + AFTER_GRANT
            } else {
                lead.regranting.failed(self.now, &rules::GRANT, &mut self.rng)
            };
        }
    }

    /// Machines that work can be planned on, as their owners last said.
    pub(super) fn serving(&self, machine: &Machine) -> bool {
        !machine.row.returning
            && !machine.apart
            && !machine.notice
            && self.holds(machine)
            && machine.up
            && !machine.lost
            && self.dark(machine) < 10
    }

    /// How the whole deployment stands, for the operators' log.
    fn describe_round(&self, volumes: &[Volume]) {
        let Some(lead) = &self.lead else { return };
        let count = |f: &dyn Fn(&Machine) -> bool| self.machines.values().filter(|m| f(m)).count();
        let tasks = |f: &dyn Fn(&Job) -> u32| self.jobs.values().map(f).sum::<u32>();
        tracing::info!(
            jobs = self.jobs.len(),
            admitted = volumes.len(),
            unfinished = tasks(&Job::unfinished),
            volume = volumes.iter().map(|v| v.tasks).sum::<u32>(),
            placed = tasks(&Job::placed),
            unplaced = lead.unplaced.iter().map(|u| u.count).sum::<u64>(),
            serving = count(&|m| self.serving(m)),
            idle = count(&|m| self.serving(m) && m.idle()),
            coming = count(&|m| self.coming(m)),
            strays = lead.strays.len(),
            returning = count(&|m| m.row.returning),
            grants = self.counters.grants,
            "how it stands"
        );
    }

    fn round(&mut self) {
        let (mut volumes, shares) = self.volumes();
        self.note_stalls();
        self.backfill(&mut volumes);
        if let Some(lead) = &mut self.lead {
            lead.shares = shares;
        }
        if self.lead.as_ref().is_some_and(|l| self.now >= l.described + DESCRIBE_EVERY) {
            self.describe_round(&volumes);
            if let Some(lead) = &mut self.lead {
                lead.described = self.now;
            }
        }
        let leader = self.leader.as_ref().map_or(0, |l| l.2);
        let round = self.lead.as_ref().map_or(0, |l| l.round);
        let kept = self.choose_kept();
        let surplus = self.find_surplus(&volumes);
        let reserved = self.reserved.clone();
        self.take_volumes(&volumes, kept.clone(), reserved.clone());
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
        if self.lead.as_ref().is_some_and(|l| l.granting) {
            return;
        }
        self.check_usage();
        if self.allot() {
            return;
        }
        let (moves, added) = self.plan_blocks();
        if !moves.is_empty() || !added.is_empty() {
            let settled = self.now;
            if let Some(lead) = &mut self.lead {
                for name in moves.keys() {
                    lead.moved.insert(name.clone(), settled);
                }
                lead.moved.retain(|_, at| settled.since(*at) < SETTLE);
            }
            self.grant(moves, added, BTreeSet::new(), None);
        } else {
            self.cleanup();
        }
        self.size_fleet();
    }

    /// Surplus tasks to stop: of arrays above their volume, for jobs of higher priority that have sat
    /// below theirs for the set wait. Attrition serves all others.
    fn find_surplus(&mut self, volumes: &[Volume]) -> Vec<(String, u32)> {
        let now = self.now;
        let wait = Micros::from_secs_f64(self.tuning.surplus_wait_s);
        let Some(lead) = &mut self.lead else { return Vec::new() };
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
                let over = j
                    .placed()
                    .saturating_sub(*volume)
                    .saturating_sub(surplus.get(other).copied().unwrap_or(0));
                let each = j.spec.need().cpu.max(1);
                let n = over.min(lacking.div_ceil(each) as u32);
                lacking = lacking.saturating_sub(u64::from(n) * each);
                if n > 0 {
                    *surplus.entry(other.clone()).or_default() += n;
                }
            }
        }
        surplus.into_iter().collect()
    }

    /// Machines on which room is kept for classes that must start sooner than a machine boots: those
    /// that fetch images fastest, whose room is free or will be as less urgent tasks end.
    fn choose_kept(&self) -> Vec<(String, String)> {
        let mut kept: Vec<(String, String)> = Vec::new();
        for (class, spec) in &self.quick {
            let need = spec.need();
            let mut options: Vec<(bool, u64, u64, &String)> = Vec::new();
            let fits = |m: &Machine| (spec.gpus > 0.0 || m.supply.gpu == 0) && allows(spec, m);
            for (name, m) in self.machines.iter().filter(|(_, m)| fits(m) && self.serving(m)) {
                let urgent = |j: &Job| j.spec.priority >= spec.priority;
                let stays =
                    m.tasks.iter().filter(|(id, t)| !t.ended() && self.jobs.get(&id.job).is_none_or(urgent));
                let room = stays.fold(m.supply, |room, (_, t)| room.minus(t.need));
                let Some(kind) = self.types.get(&m.row.kind) else { continue };
                if need.fits(room) {
                    let was = self.kept.get(name) == Some(class);
                    options.push((
                        !was,
                        (1e6 / kind.fetch_gb_per_s.max(1e-3)) as u64,
                        (kind.price * 1e3) as u64,
                        name,
                    ));
                }
            }
            options.sort_by_key(|(was, slow, price, name)| (*slow, *was, *price, *name));
            let most = self.slots_kept(spec);
            kept.extend(options.into_iter().take(most).map(|(.., name)| (name.clone(), class.clone())));
        }
        kept
    }

    /// Tasks of a class for which room is kept.
    pub(super) fn slots_kept(&self, spec: &JobSpec) -> usize {
        2 * spec.min_tasks() as usize
    }

    /// The last word of a member's present life.
    pub(super) fn word_of(&self, member: &str, node: u64) -> Option<&crate::protocol::peer::Status> {
        self.peers.get(member).and_then(|p| p.status.as_ref()).filter(|s| s.registration == node)
    }

    /// Every registered controller has said that it has seen this revision.
    pub(super) fn everyone_applied(&self, revision: u64) -> bool {
        let seen = |m: &str, node| self.word_of(m, node).is_some_and(|s| s.applied_revision >= revision);
        self.nodes.iter().all(|(m, node)| (m == self.me() && self.applied >= revision) || seen(m, *node))
    }

    /// Removes completion records whose job is over.
    fn cleanup(&mut self) {
        let Some(lead) = &mut self.lead else { return };
        // At a fixed rate they piled up where more jobs end a second than that.
        let each = CLEANED as f64 / (self.calls.writes_per_s() * CLEANUP_SHARE);
        let spacing = Micros::from_secs_f64(each).min(CLEANUP_SPACING);
        if self.now.since(lead.cleaned) < spacing || self.calls.waiting(Urgency::Rest) > 4 {
            return;
        }
        let orphans = self.done_keys.iter().filter(|(job, _)| !self.jobs.contains_key(*job));
        let keys: Vec<String> = orphans
            .flat_map(|(job, chunks)| chunks.keys().map(|c| records::done_chunk(job, *c)))
            .take(CLEANED)
            .collect();
        if keys.is_empty() {
            return;
        }
        lead.cleaned = self.now;
        let transaction = Transaction {
            conditions: vec![self.entitlement()],
            writes: keys.into_iter().map(Write::delete).collect(),
        };
        self.store(Urgency::Rest, Purpose::Cleanup, StoreCall::Commit(transaction));
    }
}
