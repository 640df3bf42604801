//! Run-time checks of the invariants of teams' limits.
//!
//! A breach is a bug in this program. It is logged with everything that the decision was based on, and counted in the
//! metrics; this controller starts nothing more of the team until the invariant holds again. In tests it panics.

use std::collections::{BTreeMap, BTreeSet};

use crate::bookkeeping::records::QuotaRecord;
use crate::coordination::Controller;
use crate::coordination::quota::unknown_tasks::UnknownUsage;
use crate::protocol::units::{Micros, Resources};

/// How long the members together may seem to use more than a limit: their statuses are from different moments.
const USAGE_EXCESS_GRACE: Micros = Micros::from_secs(3);

/// Time between two comparisons of what is known to run with the limits, which look at every task.
const RUNNING_CHECK_INTERVAL: Micros = Micros::from_secs(1);

/// An invariant of teams' limits that has been violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Breach {
    /// This controller has planned more than its share has room for.
    PlannedBeyondShare,
    /// The shares in force add up to more than the limit.
    SharesBeyondLimit,
    /// All members together use more than the limit, and no overcount explains it.
    UsageBeyondLimit,
    /// More than the limit is known to run by the workers' own messages.
    RunningBeyondLimit,
}

impl Breach {
    /// The label value in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Breach::PlannedBeyondShare => "planned_beyond_share",
            Breach::SharesBeyondLimit => "shares_beyond_limit",
            Breach::UsageBeyondLimit => "usage_beyond_limit",
            Breach::RunningBeyondLimit => "running_beyond_limit",
        }
    }

    /// All kinds, for the metrics.
    pub fn all() -> [Breach; 4] {
        [
            Breach::PlannedBeyondShare,
            Breach::SharesBeyondLimit,
            Breach::UsageBeyondLimit,
            Breach::RunningBeyondLimit,
        ]
    }
}

/// Why a controller may count more usage than there is. Its status tells the others whether it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OvercountReason {
    /// A task counts wherever it may be until the state of a machine that changed owner is resolved.
    MachinesUnresolved,
    /// Tasks of jobs that ended before this controller joined count as all that other tasks leave of their machines.
    UnknownTasks,
}

/// The breaches so far, and the teams of which this controller starts nothing more.
#[derive(Debug, Default)]
pub(crate) struct Guard {
    counts: BTreeMap<Breach, u64>,
    halted: BTreeSet<String>,
    /// This controller's shares of the teams' limits as they were last logged.
    logged_shares: BTreeMap<String, (u64, u64)>,
    /// What this controller counted for tasks of unknown jobs when that was last logged.
    pub(super) logged_unknown_usage: UnknownUsage,
    /// Since when the members have seemed to use more than a team's limit.
    exceeded_since: BTreeMap<String, Micros>,
    /// Since when more than a team's limit has been shown running.
    running_exceeded_since: BTreeMap<String, Micros>,
    next_running_check_at: Micros,
    /// How often the usage of all members could be compared with the limits, and how often it could not because members
    /// may overcount.
    usage_checks: (u64, u64),
    /// Breaches are counted and halt the team, as in production, instead of causing a panic.
    #[cfg(test)]
    pub tolerate_breaches: bool,
}

impl Guard {
    /// Whether this controller starts nothing more of a team.
    pub fn is_halted(&self, team: &str) -> bool {
        self.halted.contains(team)
    }

    /// How often the usage of all members has been compared with the limits here, and how often it could not be.
    #[cfg(test)]
    pub fn usage_checks(&self) -> (u64, u64) {
        self.usage_checks
    }

    /// How often an invariant has been violated.
    pub fn count(&self, breach: Breach) -> u64 {
        self.counts.get(&breach).copied().unwrap_or_default()
    }
}

/// Whether an amount in thousandths exceeds a limit; a limit of 0 is no limit.
pub(super) fn exceeds(limit: f64, amount: u64) -> bool {
    limit > 0.0 && amount > (limit * 1e3) as u64
}

impl Controller {
    /// How often this controller has recorded a breach of this kind.
    pub fn quota_breaches(&self, breach: Breach) -> u64 {
        self.quota_guard.count(breach)
    }

    /// Checks, for each team and resource of which something has been planned in this pass, that this controller's
    /// usage is within its share. Usage of a resource of which nothing was planned may exceed the share while tasks
    /// count more than once.
    pub(in crate::coordination) fn check_planned(&mut self, planned: &BTreeMap<String, Resources>) {
        let binding = planned.iter().filter(|(team, _)| self.teams_with_binding_limit.contains(*team));
        let exceeding = binding.filter(|(team, amount)| !self.within_share(team, **amount));
        for team in exceeding.map(|(team, _)| team.clone()).collect::<Vec<_>>() {
            self.record_breach(Breach::PlannedBeyondShare, &team);
        }
    }

    /// Whether this controller's jobs of a team use no more than its share, for each resource of which `of` is not
    /// zero.
    fn within_share(&self, team: &str, of: Resources) -> bool {
        let Some(limits) = self.settings.params.teams.iter().find(|t| t.name == team) else { return false };
        let (cpu, gpu) = self.own_share(team).unwrap_or_default();
        let (used_cpu, used_gpu) = self.team_usage(team);
        let within = |of: u64, limit: f64, used: u64, share: u64| of == 0 || limit <= 0.0 || used <= share;
        within(of.cpu, limits.cpus_max, used_cpu, cpu) && within(of.gpu, limits.gpus_max, used_gpu, gpu)
    }

    /// The teams of which a record grants more than their limits.
    fn overgranted_teams(&self, record: &QuotaRecord) -> Vec<String> {
        let sum = |team: &str| {
            let rows = record.rows.iter().filter(|r| r.team == team);
            rows.fold((0, 0), |(cpu, gpu), r| (cpu + r.cpu, gpu + r.gpu))
        };
        let teams = self.settings.params.teams.iter();
        let more = teams.filter(|t| {
            let (cpu, gpu) = sum(&t.name);
            exceeds(t.cpus_max, cpu) || exceeds(t.gpus_max, gpu)
        });
        more.map(|t| t.name.clone()).collect()
    }

    /// Checks that a division that has come into force grants no more than the limits, and logs this controller's
    /// shares: at level info those that have changed.
    pub(in crate::coordination) fn check_shares(&mut self) {
        for team in self.overgranted_teams(&self.quota_record.0) {
            self.record_breach(Breach::SharesBeyondLimit, &team);
        }
        if self.quota_record.0.view != self.view_revision {
            return;
        }
        let (view, stamp) = (self.view_revision, self.quota_record.1);
        for team in self.settings.params.teams.iter().map(|t| t.name.clone()) {
            let Some((cpu, gpu)) = self.own_share(&team) else { continue };
            let before = self.quota_guard.logged_shares.insert(team.clone(), (cpu, gpu));
            if before == Some((cpu, gpu)) {
                tracing::debug!(team, view, stamp, cpu, gpu, "own share of a team's limit");
            } else {
                tracing::info!(team, view, stamp, cpu, gpu, "own share of a team's limit");
            }
        }
    }

    /// Whether this controller's usage counts nothing for tasks that are only possibly running.
    pub(in crate::coordination) fn usage_is_exact(&self) -> bool {
        self.overcount_reason().is_none()
    }

    /// Why this controller may count more usage than there is.
    fn overcount_reason(&self) -> Option<OvercountReason> {
        if self.machines.values().any(|m| !m.never_granted() && !m.resolved) {
            Some(OvercountReason::MachinesUnresolved)
        } else if !self.machines_with_unknown_tasks.is_empty() {
            Some(OvercountReason::UnknownTasks)
        } else {
            None
        }
    }

    /// On the leader: compares what all members use of the divided limits with these limits.
    pub(in crate::coordination) fn check_usage(&mut self) {
        if !self.may_divide_limits() || self.quota_record.0.view != self.view_revision {
            return self.quota_guard.exceeded_since.clear();
        }
        let now = self.now;
        let exact = |(member, registration): &(String, u64)| {
            self.status_of(member, *registration).is_some_and(|s| s.usage_exact)
        };
        let all_exact = self.usage_is_exact() && self.view.members.iter().all(exact);
        let (made, skipped) = &mut self.quota_guard.usage_checks;
        *(if all_exact { made } else { skipped }) += 1;
        let teams = self.settings.params.teams.iter().filter(|t| {
            let (cpu, gpu) = self.reported_usage(&t.name);
            let divided = self.quota_record.0.rows.iter().any(|r| r.team == t.name);
            divided && all_exact && (exceeds(t.cpus_max, cpu) || exceeds(t.gpus_max, gpu))
        });
        let teams: BTreeSet<String> = teams.map(|t| t.name.clone()).collect();
        self.quota_guard.exceeded_since.retain(|team, _| teams.contains(team));
        for team in teams {
            let since = *self.quota_guard.exceeded_since.entry(team.clone()).or_insert(now);
            if now.since(since) > USAGE_EXCESS_GRACE && !self.quota_guard.is_halted(&team) {
                self.record_breach(Breach::UsageBeyondLimit, &team);
            }
        }
    }

    /// Compares what is known to run with all limits, whatever is uncertain beside that, and logs what unknown tasks count.
    pub(in crate::coordination) fn check_running(&mut self) {
        let now = self.now;
        if now < self.quota_guard.next_running_check_at || !self.any_team_limited() {
            return;
        }
        self.quota_guard.next_running_check_at = now + RUNNING_CHECK_INTERVAL;
        self.log_unknown_usage();
        let teams = self.teams_running_beyond_limit();
        self.quota_guard.running_exceeded_since.retain(|team, _| teams.contains(team));
        for team in teams {
            let since = *self.quota_guard.running_exceeded_since.entry(team.clone()).or_insert(now);
            if now.since(since) > USAGE_EXCESS_GRACE && !self.quota_guard.is_halted(&team) {
                self.record_breach(Breach::RunningBeyondLimit, &team);
            }
        }
    }

    /// What all members report that their jobs of a team use.
    fn reported_usage(&self, team: &str) -> (u64, u64) {
        let statuses = self
            .view
            .members
            .iter()
            .filter_map(|(member, registration)| self.status_of(member, *registration));
        let rows = statuses.flat_map(|status| &status.usage).filter(|row| row.0 == team);
        rows.fold((0, 0), |(cpu, gpu), row| (cpu + row.1, gpu + row.2))
    }

    /// Resumes starts of halted teams for which the invariants hold again.
    pub(in crate::coordination) fn lift_halts(&mut self) {
        if self.quota_guard.halted.is_empty() {
            return;
        }
        let overgranted = self.overgranted_teams(&self.quota_record.0);
        let mut halted = std::mem::take(&mut self.quota_guard.halted);
        let any = Resources { cpu: 1, gpu: 1, memory: 0 };
        let within = |team: &String| self.own_share(team).is_none() || self.within_share(team, any);
        halted.retain(|team| {
            overgranted.contains(team)
                || self.quota_guard.exceeded_since.contains_key(team)
                || self.quota_guard.running_exceeded_since.contains_key(team)
                || !within(team)
        });
        self.quota_guard.halted = halted;
    }

    /// Logs and counts a breach, and halts starts of the team on this controller.
    fn record_breach(&mut self, breach: Breach, team: &str) {
        let limits = self.settings.params.teams.iter().find(|t| t.name == team);
        tracing::error!(
            rule = breach.name(),
            team,
            limit = ?limits.map(|t| (t.cpus_max, t.gpus_max)),
            granted = ?self.own_share(team),
            used = ?self.team_usage(team),
            used_by_all = ?self.reported_usage(team),
            leader = self.leader.as_ref().map_or("", |l| l.0.as_str()),
            leader_stamp = self.leader.as_ref().map_or(0, |l| l.2),
            view = self.view_revision,
            registration = self.incarnation().1,
            applied = self.applied_revision,
            knowledge_ms = self.knowledge_age().as_millis(),
            "quota invariant violated: no more tasks of the team are started here"
        );
        *self.quota_guard.counts.entry(breach).or_default() += 1;
        self.quota_guard.halted.insert(team.to_owned());
        #[cfg(test)]
        assert!(
            self.quota_guard.tolerate_breaches,
            "{}: {team} at {}, entitled {}, changes read {:?} ago",
            breach.name(),
            self.own_name(),
            self.entitled(),
            self.now.since(self.replica_as_of)
        );
    }
}
