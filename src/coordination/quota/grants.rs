//! The leader's division of the limits that bind, and the record of it.

use std::collections::BTreeMap;

use crate::bookkeeping::budget::Urgency;
use crate::bookkeeping::records::{self, Allotment, QuotaRecord};
use crate::coordination::model::Job;
use crate::coordination::quota::division::{Member, Order, Unit, divide};
use crate::coordination::volume_plan::limits;
use crate::coordination::{Controller, Purpose};
use crate::protocol::store::{Condition, StoreCall, Transaction, Write};
use crate::protocol::units::Resources;
use crate::settings::Team;

impl Controller {
    /// Divides the limits that bind among the members. A shrink is confirmed before anyone grows.
    ///
    /// In a new view, and of a team whose limit has not bound in it, the first record gives nobody anything. From then on
    /// all count, whatever each of them believes to be bound, and nobody uses more than it does; only then is what they
    /// use known well enough to be divided. Divided at once, by a record that was carried out late, it met a controller
    /// that had counted nothing meanwhile, and had gone on beyond its share.
    pub(in crate::coordination) fn allot(&mut self) -> bool {
        let bound = self.bound_teams();
        let divided = self.quota.0.view == self.view_stamp;
        let named = |t: &Team| divided && self.quota.0.rows.iter().any(|r| r.team == t.name);
        // A team without work needs no share; its limit binds all the same.
        let works = |t: &Team| named(t) || self.jobs.values().any(|j| j.spec.team == t.name);
        let teams = self.settings.params.teams.iter().filter(|t| bound.contains(&t.name) && works(t));
        let teams: Vec<Team> = teams.cloned().collect();
        if teams.is_empty() || self.view.members.is_empty() {
            return false;
        }
        let opens = !teams.iter().all(named);
        let waits = !opens && !self.may_divide();
        if let Some(lead) = &mut self.lead {
            lead.awaits_words = waits;
        }
        if waits {
            return false;
        }
        let mut rows = Vec::new();
        for team in &teams {
            // What another team's limit calls for leaves the shares of those that are divided as they are: they are in
            // force, and what their holders use may have grown up to them since it was last heard.
            let shares = if opens { Vec::new() } else { self.divided(team) };
            for (i, (member, node)) in self.view.members.iter().enumerate() {
                let (cpu, gpu) = match shares.get(i) {
                    Some(share) => *share,
                    None if named(team) => self.share_of(member, *node, team),
                    None => (0, 0),
                };
                rows.push(Allotment {
                    member: member.clone(),
                    node: *node,
                    team: team.name.clone(),
                    cpu,
                    gpu,
                });
            }
        }
        let record = QuotaRecord { view: self.view_stamp, rows };
        if record == self.quota.0 {
            return false;
        }
        let Some(leader_stamp) = self.leader.as_ref().map(|l| l.2) else { return false };
        let Ok(value) = serde_json::to_value(record) else { return false };
        let transaction = Transaction {
            conditions: vec![
                Condition::new(records::LEADER, leader_stamp),
                Condition::new(records::QUOTA, self.quota.1),
                Condition::new(records::VIEW, self.view_stamp),
                self.entitlement(),
            ],
            writes: vec![Write::put(records::QUOTA, value)],
        };
        if let Some(lead) = &mut self.lead {
            lead.granting = true;
        }
        self.store(Urgency::Entitlement, Purpose::Quota, StoreCall::Commit(transaction));
        true
    }

    /// Every member has accounted for what it took over in the present view.
    fn all_adopted(&self) -> bool {
        let done = |m: &str, node| {
            self.word_of(m, node)
                .is_some_and(|s| s.takeover_complete && s.applied_revision >= self.view_stamp)
        };
        self.view.members.iter().all(|(m, node)| done(m, *node))
    }

    /// Everyone knows the record in force, and has accounted for what it took over.
    pub(in crate::coordination) fn may_divide(&self) -> bool {
        self.all_adopted() && self.everyone_applied(self.quota.1)
    }

    /// What a member may use of a team's limit by the record in force: processors and accelerators.
    pub(super) fn share_of(&self, member: &str, node: u64, team: &Team) -> (u64, u64) {
        let mine = |r: &&Allotment| r.member == member && r.node == node && r.team == team.name;
        self.quota.0.rows.iter().find(mine).map_or((0, 0), |r| (r.cpu, r.gpu))
    }

    /// What is left of a member's share of a team's limit; none where the limit does not bind.
    pub(in crate::coordination) fn left_of_share(&self, member: &str, team: &str) -> Option<Resources> {
        let team = self.settings.params.teams.iter().find(|t| t.name == team)?;
        let divided = self.quota.0.view == self.view_stamp;
        if !divided || !self.quota.0.rows.iter().any(|r| r.team == team.name) {
            return None;
        }
        let node = *self.nodes.get(member)?;
        let granted = self.share_in_force(member, node, team);
        Some(granted.minus(self.used_by(member, node, team)))
    }

    /// What a member may use of a team's limits by the record in force; without bound where there is none.
    fn share_in_force(&self, member: &str, node: u64, team: &Team) -> Resources {
        let (cpu, gpu) = self.share_of(member, node, team);
        let limits = limits(team);
        let cpu = if team.cpus_max > 0.0 { cpu } else { limits.cpu };
        let gpu = if team.gpus_max > 0.0 { gpu } else { limits.gpu };
        Resources { cpu, gpu, memory: limits.memory }
    }

    /// What a member last said that its jobs of a team use.
    fn used_by(&self, member: &str, node: u64, team: &Team) -> Resources {
        let told = self.word_of(member, node).and_then(|s| s.usage.iter().find(|u| u.0 == team.name));
        told.map_or(Resources::default(), |u| Resources { cpu: u.1, gpu: u.2, memory: 0 })
    }

    /// What each member may use of a team's limits from now on: processors and accelerators.
    fn divided(&self, team: &Team) -> Vec<(u64, u64)> {
        // Of what has no limit nothing is divided.
        let limited = |amount: Resources| Resources {
            cpu: if team.cpus_max > 0.0 { amount.cpu } else { 0 },
            gpu: if team.gpus_max > 0.0 { amount.gpu } else { 0 },
            memory: 0,
        };
        let mut units: BTreeMap<&str, Vec<Unit>> = BTreeMap::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.spec.team == team.name) {
            if let Some(owner) = job.owner.as_deref().filter(|_| job.lacking() > 0) {
                let of_member = units.entry(owner).or_default();
                of_member.extend(self.units(id, job).map(|u| Unit { need: limited(u.need), ..u }));
            }
        }
        let member = |(member, node): &(String, u64)| Member {
            granted: limited(self.share_in_force(member, *node, team)),
            used: limited(self.used_by(member, *node, team)),
            units: units.remove(member.as_str()).unwrap_or_default(),
        };
        let members: Vec<Member> = self.view.members.iter().map(member).collect();
        let shares = divide(limited(limits(team)), &members);
        shares.into_iter().map(|share| (share.cpu, share.gpu)).collect()
    }

    /// What a job could start: first a task or, of a gang, all that are missing, then the others.
    fn units(&self, id: &str, job: &Job) -> impl Iterator<Item = Unit> {
        let lacking = u64::from(job.lacking());
        let at_once = if job.is_gang() { lacking } else { 1 };
        let running = !job.on.is_empty();
        let since = job.wait.since.map_or(u64::MAX, |since| since.0);
        let first = Order { stalled: self.is_stalled(id), running, since, arrival: job.stamp };
        let others = Order { running: true, since: u64::MAX, ..first };
        let need = Resources { memory: 0, ..job.spec.need() };
        [
            Unit { order: first, need: need.times(at_once), count: 1 },
            Unit { order: others, need, count: lacking - at_once },
        ]
        .into_iter()
    }
}
