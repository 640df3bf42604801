//! The leader's division of the limits that bind, and the record of it.

use crate::bookkeeping::budget::Urgency;
use crate::bookkeeping::records::{self, Allotment, QuotaRecord};
use crate::coordination::model::Job;
use crate::coordination::quota::division::{Share, divide};
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
        let done =
            |m: &str, node| self.word_of(m, node).is_some_and(|s| s.adopted && s.applied >= self.view_stamp);
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

    /// What each member may use of a team's limits from now on: processors and accelerators.
    fn divided(&self, team: &Team) -> Vec<(u64, u64)> {
        let share = |(member, node): &(String, u64), gpu: bool| {
            let of = |pair: (u64, u64)| if gpu { pair.1 } else { pair.0 };
            let amount = |need: Resources| of((need.cpu, need.gpu));
            let granted = of(self.share_of(member, *node, team));
            let told = self.word_of(member, *node).and_then(|s| s.usage.iter().find(|u| u.0 == team.name));
            let used = told.map_or(0, |u| of((u.1, u.2)));
            let owned = |j: &&Job| j.owner.as_deref() == Some(member) && j.spec.team == team.name;
            let wish = |j: &Job| amount(j.spec.need()) * u64::from(j.volume.max(j.on.len() as u32));
            let requested = self.jobs.values().filter(owned).map(wish).sum();
            let short = self.jobs.values().filter(|j| j.volume > j.placed()).filter(owned);
            let step = short.map(|j| amount(j.spec.need()) * u64::from(j.spec.floor())).min().unwrap_or(0);
            Share { granted, used, requested, step }
        };
        let next = |limit: f64, gpu: bool| {
            let shares: Vec<Share> = self.view.members.iter().map(|m| share(m, gpu)).collect();
            divide((limit * 1e3) as u64, &shares)
        };
        next(team.cpus_max, false).into_iter().zip(next(team.gpus_max, true)).collect()
    }
}
