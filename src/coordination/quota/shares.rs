//! The leader's division of binding limits, and the record of it.

use std::collections::BTreeMap;

use crate::bookkeeping::call_queue::Urgency;
use crate::bookkeeping::records::{self, Allotment, QuotaRecord};
use crate::coordination::model::Job;
use crate::coordination::quota::division::{MemberShare, StartUnit, UnitOrder, divide_limit};
use crate::coordination::volume_plan::team_limits;
use crate::coordination::{Controller, Purpose};
use crate::protocol::store::{Condition, StoreCall, Transaction, Write};
use crate::protocol::units::Resources;
use crate::settings::Team;

impl Controller {
    /// Divides the binding limits among the members. No share grows before the reduction that makes room for it has
    /// been confirmed. Returns whether a record is being written.
    ///
    /// In a new view, and for a team whose limit has not been binding in the current view before, the first record
    /// grants nothing to any member. Once it is in force all members count their usage, whether or not they consider
    /// the limit binding, and none uses more than it does already; only then is the usage known well enough to be
    /// divided. When a limit was divided at once, by a record that was committed late, the record reached a controller
    /// that had not counted meanwhile and had gone beyond its share.
    pub(in crate::coordination) fn divide_limits(&mut self) -> bool {
        let binding = self.find_teams_with_binding_limit();
        let divided = self.quota_record.0.view == self.view_revision;
        let is_divided = |t: &Team| divided && self.quota_record.0.rows.iter().any(|r| r.team == t.name);
        // A team without jobs needs no share; its limit is binding all the same.
        let has_jobs = |t: &Team| is_divided(t) || self.jobs.values().any(|j| j.spec.team == t.name);
        let teams = self.settings.params.teams.iter().filter(|t| binding.contains(&t.name) && has_jobs(t));
        let teams: Vec<Team> = teams.cloned().collect();
        if teams.is_empty() || self.view.members.is_empty() {
            return false;
        }
        let is_first_record = !teams.iter().all(is_divided);
        let waits = !is_first_record && !self.may_divide_limits();
        if let Some(lead) = &mut self.leader_state {
            lead.awaiting_quota_acks = waits;
        }
        if waits {
            return false;
        }
        let mut rows = Vec::new();
        for team in &teams {
            // A record that another team's limit requires leaves the shares of teams that are already divided as they
            // are: they are in force, and their holders' usage may have grown up to them since it was last reported.
            let shares = if is_first_record { Vec::new() } else { self.new_shares(team) };
            for (i, (member, registration)) in self.view.members.iter().enumerate() {
                let (cpu, gpu) = match shares.get(i) {
                    Some(share) => *share,
                    None if is_divided(team) => self.share_of(member, *registration, team),
                    None => (0, 0),
                };
                rows.push(Allotment {
                    member: member.clone(),
                    registration: *registration,
                    team: team.name.clone(),
                    cpu,
                    gpu,
                });
            }
        }
        let record = QuotaRecord { view: self.view_revision, rows };
        if record == self.quota_record.0 {
            return false;
        }
        let Some(leader_revision) = self.leader.as_ref().map(|l| l.2) else { return false };
        let Ok(value) = serde_json::to_value(record) else { return false };
        let transaction = Transaction {
            conditions: vec![
                Condition::new(records::LEADER_KEY, leader_revision),
                Condition::new(records::QUOTA_KEY, self.quota_record.1),
                Condition::new(records::VIEW_KEY, self.view_revision),
                self.registration_condition(),
            ],
            writes: vec![Write::put(records::QUOTA_KEY, value)],
        };
        if let Some(lead) = &mut self.leader_state {
            lead.grant_in_flight = true;
        }
        self.enqueue_store_call(Urgency::Entitlement, Purpose::Quota, StoreCall::Commit(transaction));
        true
    }

    /// Whether every member has accounted for what it took over in the current view.
    fn all_takeovers_complete(&self) -> bool {
        let done = |m: &str, registration| {
            self.status_of(m, registration)
                .is_some_and(|s| s.takeover_complete && s.applied_revision >= self.view_revision)
        };
        self.view.members.iter().all(|(m, registration)| done(m, *registration))
    }

    /// Whether every member has applied the record in force and accounted for what it took over.
    pub(in crate::coordination) fn may_divide_limits(&self) -> bool {
        self.all_takeovers_complete() && self.all_controllers_applied(self.quota_record.1)
    }

    /// A member's share of a team's limit in the record in force: processors and accelerators.
    pub(super) fn share_of(&self, member: &str, registration: u64, team: &Team) -> (u64, u64) {
        let mine =
            |r: &&Allotment| r.member == member && r.registration == registration && r.team == team.name;
        self.quota_record.0.rows.iter().find(mine).map_or((0, 0), |r| (r.cpu, r.gpu))
    }

    /// What is left of a member's share of a team's limit; `None` if the limit is not divided.
    pub(in crate::coordination) fn remaining_share(&self, member: &str, team: &str) -> Option<Resources> {
        let team = self.settings.params.teams.iter().find(|t| t.name == team)?;
        let divided = self.quota_record.0.view == self.view_revision;
        if !divided || !self.quota_record.0.rows.iter().any(|r| r.team == team.name) {
            return None;
        }
        let registration = *self.registrations.get(member)?;
        let granted = self.effective_share(member, registration, team);
        Some(granted.minus(self.usage_of_member(member, registration, team)))
    }

    /// What a member may use of a team's limits by the record in force; unlimited for a resource without a limit.
    fn effective_share(&self, member: &str, registration: u64, team: &Team) -> Resources {
        let (cpu, gpu) = self.share_of(member, registration, team);
        let limits = team_limits(team);
        let cpu = if team.cpus_max > 0.0 { cpu } else { limits.cpu };
        let gpu = if team.gpus_max > 0.0 { gpu } else { limits.gpu };
        Resources { cpu, gpu, memory: limits.memory }
    }

    /// What a member last reported that its jobs of a team use.
    fn usage_of_member(&self, member: &str, registration: u64, team: &Team) -> Resources {
        let reported =
            self.status_of(member, registration).and_then(|s| s.usage.iter().find(|u| u.0 == team.name));
        reported.map_or(Resources::default(), |u| Resources { cpu: u.1, gpu: u.2, memory: 0 })
    }

    /// Each member's new share of a team's limits: processors and accelerators.
    fn new_shares(&self, team: &Team) -> Vec<(u64, u64)> {
        // A resource without a limit is not divided.
        let limited = |amount: Resources| Resources {
            cpu: if team.cpus_max > 0.0 { amount.cpu } else { 0 },
            gpu: if team.gpus_max > 0.0 { amount.gpu } else { 0 },
            memory: 0,
        };
        let mut units: BTreeMap<&str, Vec<StartUnit>> = BTreeMap::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.spec.team == team.name) {
            if let Some(owner) = job.owner.as_deref().filter(|_| job.remaining_volume() > 0) {
                let of_member = units.entry(owner).or_default();
                of_member.extend(self.start_units(id, job).map(|u| StartUnit { need: limited(u.need), ..u }));
            }
        }
        let member = |(member, registration): &(String, u64)| MemberShare {
            granted: limited(self.effective_share(member, *registration, team)),
            used: limited(self.usage_of_member(member, *registration, team)),
            units: units.remove(member.as_str()).unwrap_or_default(),
        };
        let members: Vec<MemberShare> = self.view.members.iter().map(member).collect();
        let shares = divide_limit(limited(team_limits(team)), &members);
        shares.into_iter().map(|share| (share.cpu, share.gpu)).collect()
    }

    /// What a job could start: first one task, or all missing tasks of a gang, then the others.
    fn start_units(&self, id: &str, job: &Job) -> impl Iterator<Item = StartUnit> {
        let lacking = u64::from(job.remaining_volume());
        let at_once = if job.is_gang() { lacking } else { 1 };
        let running = !job.placements.is_empty();
        let since = job.wait.unplaced_since.map_or(u64::MAX, |since| since.0);
        let first =
            UnitOrder { stalled: self.is_stalled(id), running, since, arrival: job.accepted_revision };
        let others = UnitOrder { running: true, since: u64::MAX, ..first };
        let need = Resources { memory: 0, ..job.spec.need() };
        [
            StartUnit { order: first, need: need.times(at_once), count: 1 },
            StartUnit { order: others, need, count: lacking - at_once },
        ]
        .into_iter()
    }
}
