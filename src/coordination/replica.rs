//! The controller's copy of the followed records, and what other controllers say.

use std::collections::BTreeMap;

use marblewalk_recovery::{Announcements, Incarnation, MachineKnowledge};

use crate::bookkeeping::blocks::Changes;
use crate::bookkeeping::records::{self, LeaderRecord, TaskSet};
use crate::coordination::model::{Job, Machine, TaskOn};
use crate::coordination::removal::Removal;
use crate::coordination::{Controller, Phase, rules};
use crate::protocol::job::JobSpec;
use crate::protocol::store::{Change, Entry, RawJson, StoreReply};
use crate::protocol::units::{Micros, Resources};
use crate::protocol::worker::TaskId;

/// Least time between two requests for changes.
const FOLLOW_SPACING: Micros = Micros::from_millis(100);
/// What part of the store's limit on requests all controllers together use to follow its changes.
const FOLLOW_SHARE: f64 = 0.25;

/// A stable hash, the same in every controller: FNV-1a with a final mix.
fn hash(parts: [&str; 2]) -> u64 {
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in parts.iter().flat_map(|p| p.bytes().chain([0xff])) {
        h = (h ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    h ^= h >> 32;
    h = h.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    h ^ (h >> 29)
}

/// Rendezvous hashing: the member with the highest hash together with the job has it.
pub(super) fn rendezvous<'a>(job: &str, members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.max_by_key(|m| hash([job, m]))
}

impl Controller {
    pub(super) fn forget_replica(&mut self) {
        self.applied = 0;
        self.followed_at = Micros::ZERO;
        self.jobs.clear();
        self.nodes.clear();
        self.leader = None;
        self.view = Default::default();
        self.view_stamp = 0;
        self.counter = (0, 0);
        self.quota = Default::default();
        self.shards.clear();
        self.rentals.clear();
        self.done_keys.clear();
        self.machines.clear();
        self.unresolved.clear();
        self.peers.clear();
        self.told.clear();
        self.unreadable.clear();
        self.ledger = MachineKnowledge::new();
        self.announcements = Announcements::new();
        self.uninformed = Default::default();
        self.recording = false;
        self.placing = false;
        self.taking_over = false;
        self.retired.clear();
        self.strangers.clear();
        self.conclusions.forget();
        self.removed.clear();
        self.refusals.clear();
        self.turned.clear();
        self.evicted.clear();
        self.blame = Default::default();
        // What is over meanwhile is read again.
        self.reading_finals = Default::default();
        self.forget_told_ends();
    }

    /// A job is over. Its tasks count against its team's limit until they are seen gone.
    pub(super) fn retire(&mut self, id: &str) -> Option<u32> {
        self.blame.job_ended(id);
        let job = self.jobs.shift_remove(id)?;
        tracing::debug!(job = id, unfinished = job.unfinished(), "over");
        let may_take = job.spec.need().times(u64::from(job.unfinished()));
        self.removed.push_back((self.now, job.spec.team.clone(), may_take));
        // What has not been sent must not be: the job's user may have been told that it is over. What
        // runs is ended at once, rather than with the next report's answer: its room is wanted.
        let tasks = job.spec.tasks;
        let on = job.on.clone();
        if !on.is_empty() {
            self.retired.insert(id.to_owned(), job);
        }
        for (index, places) in &on {
            let task = TaskId::new(id, *index);
            for name in places {
                self.drop_planned(name, |t| t.job == id);
                if let Some(t) = self.machines.get_mut(name).and_then(|m| m.tasks.get_mut(&task)) {
                    t.stop = Some(Micros::ZERO);
                }
            }
        }
        self.place_due = true;
        Some(tasks)
    }

    pub(super) fn load_all(&mut self, entries: Vec<Entry>) {
        self.ledger.records_loaded(self.applied);
        // Jobs before their completions, blocks before the view.
        let (last, first): (Vec<_>, Vec<_>) =
            entries.into_iter().partition(|e| e.key.starts_with(records::DONE) || e.key == records::VIEW);
        for e in first.into_iter().chain(last) {
            self.put(&e.key, &e.value, e.stamp);
        }
        self.note_read();
        self.status_due = Some(self.now);
    }

    pub(super) fn followed(&mut self, sent: Micros, reply: StoreReply) {
        if self.phase != Phase::Active {
            return;
        }
        let each = self.settings.everyone().len() as f64 / (self.settings.params.state.rps * FOLLOW_SHARE);
        self.follow_at = Some(self.now + FOLLOW_SPACING.max(Micros::from_secs_f64(each)));
        match reply {
            StoreReply::News(news) => {
                self.followed_at = self.followed_at.max(sent);
                self.following.succeeded();
                for change in news.changes {
                    match change {
                        Change::Put { key, value, stamp } => self.put(&key, &value, stamp),
                        Change::Delete { key, stamp } => self.delete(&key, stamp),
                    }
                    // Its registration was among what has gone. The rest belongs to no life: a job taken from it stood
                    // in the next life's records, though it had been withdrawn before they were loaded.
                    if self.phase != Phase::Active {
                        return;
                    }
                }
                if news.revision > self.applied {
                    self.applied = news.revision;
                    self.soon_status();
                    self.place_due = true;
                }
                self.note_read();
            }
            // What was missed is unknown, and with it what others have been told.
            StoreReply::TooOld => self.leave("the changes missed are no longer kept"),
            _ => self.follow_at = Some(self.following.failed(self.now, &rules::FOLLOW, &mut self.rng)),
        }
    }

    /// A record that this version cannot read is named and counts as the worst that it may be: a job's
    /// tasks are left alone, and machines of a block may run anything.
    fn not_understood(&mut self, key: &str, problem: &dyn std::fmt::Display) {
        tracing::error!(key, %problem, "a record is not understood");
        self.unreadable.insert(key.to_owned());
    }

    /// Some machines' records cannot be read, so nothing is certain of machines that are not known.
    pub(super) fn blind(&self) -> bool {
        self.unreadable.iter().any(|key| key.starts_with(records::BLOCKS))
    }

    fn put(&mut self, key: &str, value: &RawJson, stamp: u64) {
        if !self.unreadable.is_empty() {
            self.unreadable.remove(key);
        }
        if let Some(job) = key.strip_prefix(records::LIVE) {
            // A peer's word that it is over may have come before the change that accepted it.
            if !self.jobs.contains_key(job) && self.finals.get(job).is_none() {
                let spec = match value.parse::<JobSpec>() {
                    Ok(spec) => spec,
                    Err(problem) => return self.not_understood(key, &problem),
                };
                // One that may displace others needs no room kept for it.
                if self.is_quick(&spec.class) && !self.may_displace(&spec) {
                    self.quick.insert(spec.class.clone(), spec.clone());
                }
                if self.phase == Phase::Active {
                    self.note_arrival(&spec);
                }
                let mut job_state = Job::new(spec, stamp, self.now);
                job_state.owner = self.owner_of(job);
                // A holder may have told of its tasks before its record came.
                let (first, need) = (TaskId::new(job, 0), job_state.spec.need());
                for name in self.strangers.remove(job).unwrap_or_default() {
                    let Some(machine) = self.machines.get_mut(&name) else { continue };
                    let here = machine.tasks.range_mut(first.clone()..);
                    for (id, t) in here.take_while(|(id, _)| id.job == job) {
                        t.need = need;
                        job_state.put_on(id.index, &name);
                        job_state.note_ended(id.index, &name, t.ended());
                    }
                }
                self.jobs.insert_sorted(job.to_owned(), job_state);
                self.soon_round();
            }
        } else if let Some(rest) = key.strip_prefix(records::DONE) {
            let Some((job, chunk)) = rest.rsplit_once('/') else { return };
            let Ok(chunk) = chunk.parse::<usize>() else { return };
            self.done_keys.entry(job.to_owned()).or_default().insert(chunk, stamp);
            if let Some(j) = self.jobs.get_mut(job) {
                j.merge(chunk, &value.parse().unwrap_or_default());
            }
        } else if let Some(member) = key.strip_prefix(records::NODE) {
            // A list's later pages show registrations that the changes read after it lead up to once more.
            if self.nodes.get(member).is_some_and(|known| *known > stamp) {
                return;
            }
            if let Some(former) = self.nodes.insert(member.to_owned(), stamp).filter(|s| *s != stamp) {
                self.ledger.incarnation_ended(&(member.to_owned(), former));
            }
            self.soon_round();
        } else if let Some(member) = key.strip_prefix(records::EVICTED) {
            // It may not know yet, and may go on answering until its lease runs out.
            self.evicted.insert(member.to_owned(), (self.now, stamp));
        } else if let Some(shard) = key.strip_prefix(records::BLOCKS) {
            match shard.parse() {
                Ok(shard) => self.block_put(shard, key, value.text(), stamp),
                Err(problem) => self.not_understood(key, &problem),
            }
        } else if let Some(request) = key.strip_prefix(records::RENTAL) {
            if let Ok(rental) = value.parse() {
                self.rentals.insert(request.to_owned(), (rental, stamp));
            }
            // Its record had no answer and was given up, and has been carried out after all: each next leader would
            // rent it again.
            if let Some(lead) = &mut self.lead
                && !lead.fleet.open.contains_key(request)
            {
                lead.fleet.closing.insert(request.to_owned());
            }
        } else if let Some(member) = key.strip_prefix(records::UNINFORMED) {
            self.uninformed_by(member, value, stamp);
        } else if key == records::LEADER {
            if let Ok(l) = value.parse::<LeaderRecord>() {
                self.leader = Some((l.member, l.node, stamp));
                self.leadership_changed();
            }
        } else if key == records::VIEW {
            if let Ok(view) = value.parse() {
                self.view = view;
                self.view_stamp = stamp;
                self.view_changed();
            }
        } else if key == records::COUNTER {
            self.counter = (value.parse().unwrap_or(0), stamp);
        } else if key == records::QUOTA
            && let Ok(quota) = value.parse()
        {
            self.quota = (quota, stamp);
            self.check_shares();
        }
    }

    fn delete(&mut self, key: &str, stamp: u64) {
        self.unreadable.remove(key);
        if let Some(job) = key.strip_prefix(records::LIVE) {
            // A key accepted, removed and seen again cannot be: ids are never accepted twice.
            self.retire(job);
            self.soon_round();
        } else if let Some(rest) = key.strip_prefix(records::DONE) {
            if let Some((job, chunk)) = rest.rsplit_once('/')
                && let (Some(keys), Ok(chunk)) = (self.done_keys.get_mut(job), chunk.parse::<usize>())
            {
                keys.remove(&chunk);
                if keys.is_empty() {
                    self.done_keys.remove(job);
                }
            }
        } else if let Some(member) = key.strip_prefix(records::NODE) {
            if let Some(former) = self.nodes.get(member).copied().filter(|s| *s < stamp) {
                self.nodes.remove(member);
                self.ledger.incarnation_ended(&(member.to_owned(), former));
                if member == self.me() {
                    self.leave("the registration has been removed");
                    return;
                }
            }
            self.soon_round();
        } else if let Some(shard) = key.strip_prefix(records::BLOCKS) {
            if let Ok(shard) = shard.parse()
                && let Some(block) = self.shards.get_mut(&shard)
            {
                block.1 = stamp;
                let changes = block.0.clear();
                self.blocks_changed(shard, changes, stamp);
            }
        } else if let Some(request) = key.strip_prefix(records::RENTAL) {
            self.rentals.remove(request);
        } else if key == records::LEADER && self.leader.as_ref().is_some_and(|l| l.2 < stamp) {
            self.leader = None;
            self.leadership_changed();
        }
    }

    /// A block has been written: what of it is new.
    fn block_put(&mut self, shard: usize, key: &str, text: &str, stamp: u64) {
        let (block, written) = self.shards.entry(shard).or_default();
        if *written >= stamp {
            return;
        }
        match block.update(text) {
            Ok(changes) => {
                *written = stamp;
                self.blocks_changed(shard, changes, stamp);
            }
            Err(problem) => self.not_understood(key, &problem),
        }
    }

    fn blocks_changed(&mut self, shard: usize, changes: Changes, stamp: u64) {
        let any_gone = !changes.gone.is_empty();
        for gone in changes.gone {
            // Its row goes only after the cloud has confirmed that the machine is gone.
            self.replace_tasks(&gone, BTreeMap::new(), Removal::MachineGone);
            self.machines.shift_remove(&gone);
            self.ledger.machine_removed(&gone);
            self.blame.machine_removed(&gone);
            self.peers.values_mut().for_each(|peer| drop(peer.words.remove(&gone)));
            self.unresolved.remove(&gone);
        }
        if any_gone {
            self.check_adoption();
        }
        for row in changes.rows {
            let supply = self.types.get(&row.kind).map(|t| t.supply()).unwrap_or_default();
            let now = self.now;
            let holder = (!row.owner.is_empty()).then(|| (row.owner.clone(), row.node));
            if !self.machines.contains_key(&row.machine) {
                self.learnt_of(&row.machine, holder.clone(), stamp);
            }
            let Some(machine) = self.machines.get_mut(&row.machine) else {
                let machine = Machine::new(row.clone(), shard, stamp, now, supply);
                self.machines.insert_sorted(row.machine, machine);
                continue;
            };
            if machine.row.token == row.token {
                machine.row = row;
                continue;
            }
            self.ledger.machine_granted(&row.machine, holder);
            tracing::debug!(machine = row.machine, owner = row.owner, token = row.token, "granted");
            self.stops_abroad = true;
            // A fresh token for the same holder is no new beginning: a machine that takes none of them would else
            // be waited for as long as it is given new ones.
            let renewed =
                (&machine.row.owner, machine.row.node) == (&row.owner, row.node) && !machine.resolved;
            machine.row = row;
            machine.stamp = stamp;
            machine.granted = if renewed { machine.granted } else { now };
            machine.resolved = false;
            machine.heard = None;
            machine.answered = None;
            machine.former_gone = None;
            machine.lost = false;
            machine.hearing.grant_changed();
            machine.asked = false;
            machine.unanswered = 0;
            machine.starting.clear();
            machine.talking = false;
            machine.renew = false;
            machine.talk_after = Micros::ZERO;
            machine.up = false;
            machine.silent_since = None;
            machine.idle_since = now;
            // What had not been sent under the former grant can no longer be.
            let name = machine.row.machine.clone();
            self.drop_planned(&name, |_| true);
            self.recall_word(&name);
        }
        self.place_due = true;
    }

    /// A record of this revision names a machine that was in none that this controller has read.
    fn learnt_of(&mut self, name: &str, holder: Option<Incarnation>, revision: u64) {
        let Some(holder) = holder else { return self.ledger.machine_granted(name, None) };
        self.ledger.machine_discovered(name, holder, revision);
        // Its record could not be read when the jobs were taken over.
        if self.taking_over {
            self.unresolved.insert(name.to_owned());
        }
    }

    /// Takes back starts on a machine that were planned but never sent.
    pub(super) fn drop_planned(&mut self, name: &str, which: impl Fn(&TaskId) -> bool) {
        let Some(machine) = self.machines.get(name) else { return };
        let mut tasks = machine.tasks.clone();
        tasks.retain(|id, t| !t.planned() || !which(id));
        if tasks.len() < machine.tasks.len() {
            self.replace_tasks(name, tasks, Removal::NeverSent);
        }
    }

    pub(super) fn owner_of(&self, job: &str) -> Option<String> {
        rendezvous(job, self.view.members.iter().map(|m| m.0.as_str())).map(str::to_owned)
    }

    /// This controller is in the view, under its present registration.
    pub(super) fn in_view(&self) -> bool {
        let stamp = self.lease.as_ref().map_or(0, |l| l.stamp);
        self.view.members.iter().any(|(m, s)| m == self.me() && *s == stamp)
    }

    pub(super) fn view_changed(&mut self) {
        let me = self.settings.member.clone();
        let view_stamp = self.view_stamp;
        let members: Vec<String> = self.view.members.iter().map(|m| m.0.clone()).collect();
        let mut taken = false;
        let mut lost = Vec::new();
        for (id, job) in &mut self.jobs {
            let owner = rendezvous(id, members.iter().map(String::as_str)).map(str::to_owned);
            let mine = owner.as_deref() == Some(&me);
            // A former life's jobs are as foreign as another controller's.
            let was_mine = self.placing && job.owner.as_deref() == Some(&me);
            if mine && !was_mine && job.stamp < view_stamp {
                job.adopting = true;
            }
            taken |= mine && job.adopting;
            if was_mine && !mine {
                job.forget_unrecorded();
                lost.push(id.clone());
            }
            job.owner = owner;
        }
        for id in lost {
            let on: Vec<String> =
                self.jobs.get(&id).map(|j| j.on.values().flatten().cloned().collect()).unwrap_or_default();
            for name in on {
                self.drop_planned(&name, |t| t.job == id);
            }
        }
        let member = self.in_view();
        let was_member = std::mem::replace(&mut self.placing, member);
        self.renew_permits();
        if was_member != member {
            self.ledger.set_member_since(self.placing.then_some(self.view_stamp));
        }
        let others = self.view.members.iter().filter(|m| m.0 != self.settings.member);
        self.announcements.set_members(self.now, self.view_stamp, others.cloned());
        self.ledger.prune(|life| self.nodes.get(&life.0) == Some(&life.1));
        self.stops_abroad = true;
        self.unresolved.clear();
        self.inquiry.begin();
        // Of jobs that are over it owns some as well: what they still run counts against limits, also where nothing else
        // is taken over. A controller that was back at once said that it used nothing, while forty processors of a
        // withdrawn job of its own were in use on machines that it had not heard yet.
        self.taking_over = taken || member && self.limits_teams();
        if self.taking_over {
            // Only machines that somebody holds can run anything.
            let used = self.machines.iter().filter(|(_, m)| !m.unused());
            self.unresolved = used.map(|(name, _)| name.clone()).collect();
        }
        tracing::info!(members = ?self.view.members, unresolved = self.unresolved.len(), "new view");
        self.check_adoption();
        // Who takes jobs over waits until all others have taken the view on.
        self.status_due = Some(self.now);
        self.place_due = true;
    }

    pub(super) fn owns(&self, machine: &Machine) -> bool {
        let stamp = self.lease.as_ref().map_or(0, |l| l.stamp);
        // The stamp alone tells nearly all others apart, and this is asked of every machine all the time.
        machine.row.node == stamp && machine.row.owner == self.settings.member
    }

    /// Replaces what is known of the tasks on a machine. `ground`: why those that are missing are taken for gone.
    pub(super) fn replace_tasks(&mut self, name: &str, tasks: BTreeMap<TaskId, TaskOn>, ground: Removal) {
        let before = self.set_tasks(name, tasks);
        self.note_removals(name, &before, ground);
    }

    /// Sets the tasks of a machine, keeping the jobs' index in step, and returns the former ones.
    pub(super) fn set_tasks(
        &mut self,
        name: &str,
        tasks: BTreeMap<TaskId, TaskOn>,
    ) -> BTreeMap<TaskId, TaskOn> {
        let Some(machine) = self.machines.get_mut(name) else { return BTreeMap::new() };
        let before = std::mem::replace(&mut machine.tasks, tasks);
        let after = &machine.tasks;
        let was_ended = |id: &TaskId| before.get(id).is_some_and(TaskOn::ended);
        let changed: Vec<(&TaskId, bool)> = after
            .iter()
            .filter(|(id, t)| t.ended() != was_ended(id))
            .map(|(id, t)| (id, t.ended()))
            .collect();
        for id in before.keys().filter(|id| !after.contains_key(*id)) {
            if let Some(job) = self.jobs.get_mut(&id.job).or_else(|| self.retired.get_mut(&id.job)) {
                job.take_off(id.index, name);
            } else if let Some(places) = self.strangers.get_mut(&id.job)
                && !after.keys().any(|t| t.job == id.job)
            {
                places.remove(name);
                if places.is_empty() {
                    self.strangers.remove(&id.job);
                }
            }
        }
        let mut duplicates: Vec<TaskId> = Vec::new();
        for id in after.keys().filter(|id| !before.contains_key(*id)) {
            if let Some(job) = self.jobs.get_mut(&id.job).or_else(|| self.retired.get_mut(&id.job)) {
                job.put_on(id.index, name);
                if job.on[&id.index].len() > 1 {
                    duplicates.push(id.clone());
                }
            } else if let Some(places) = self.strangers.get_mut(&id.job) {
                places.insert(name.to_owned());
            } else {
                self.strangers.insert(id.job.clone(), [name.to_owned()].into());
            }
        }
        for (id, ended) in changed {
            if let Some(job) = self.jobs.get_mut(&id.job).or_else(|| self.retired.get_mut(&id.job)) {
                job.note_ended(id.index, name, ended);
            }
        }
        self.withdraw_duplicates(&duplicates);
        before
    }

    pub(super) fn need_of(&self, job: &str) -> Resources {
        self.jobs.get(job).map(|j| j.spec.need()).unwrap_or_default()
    }

    /// A view of the completions that the store has of a job.
    pub(super) fn is_stored(&self, task: &TaskId) -> bool {
        let stored = |j: &Job| -> bool { TaskSet::contains(&j.stored, task.index) };
        self.jobs.get(&task.job).map_or_else(|| !self.is_live(&task.job), stored)
    }
}

#[cfg(test)]
mod tests;
