//! What teams use and have requested, and whether their limits are binding.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::Controller;
use crate::coordination::model::{Job, Machine, PlacedTask};
use crate::coordination::quota::unknown_tasks::UnknownUsage;
use crate::protocol::units::Resources;
use crate::protocol::worker::TaskId;

/// What a controller counts of a team.
#[derive(Clone, Debug)]
pub(super) struct UsageParts {
    /// Tasks of its live jobs.
    pub live: Resources,
    /// Tasks of jobs that have ended.
    pub retired: Resources,
    /// Tasks of unknown jobs, which may be of any team.
    pub unknown: UnknownUsage,
}

impl UsageParts {
    /// Processors and accelerators of all parts together.
    fn total(&self) -> (u64, u64) {
        let known = self.live.plus(self.retired);
        (known.cpu + self.unknown.cpu, known.gpu + self.unknown.gpu)
    }
}

impl Controller {
    /// The teams whose limit could be exceeded at all, or is divided in this view.
    ///
    /// While all recorded machines together, or everything that the team has requested, are within the limit, no
    /// controller needs to count usage. Every controller has the record of a machine before the machine is granted, and
    /// a controller that starts a job's tasks knows all jobs accepted before that job, so no controller notices a
    /// binding limit too late.
    pub(in crate::coordination) fn find_teams_with_binding_limit(&self) -> BTreeSet<String> {
        let over = |limit: f64, has: u64| limit > 0.0 && has as f64 > limit * 1e3;
        if !self.any_team_limited() {
            return BTreeSet::new();
        }
        let all = self.machines.values().fold(Resources::default(), |sum, m| sum.plus(m.supply));
        let unknown =
            self.has_unreadable_blocks() || self.machines.values().any(|m| m.supply == Resources::default());
        let rows =
            if self.quota_record.0.view == self.view_revision { &self.quota_record.0.rows[..] } else { &[] };
        let mut requested: Option<BTreeMap<&str, Resources>> = None;
        let mut binding = BTreeSet::new();
        for team in &self.settings.params.teams {
            let cpu = unknown || over(team.cpus_max, all.cpu);
            let gpu = unknown || over(team.gpus_max, all.gpu);
            let divided = rows.iter().any(|r| r.team == team.name);
            let mut requests_more = || {
                let requested = requested.get_or_insert_with(|| self.requested_by_teams());
                let all = requested.get(team.name.as_str()).copied().unwrap_or_default();
                cpu && over(team.cpus_max, all.cpu) || gpu && over(team.gpus_max, all.gpu)
            };
            if divided || (cpu || gpu) && requests_more() {
                binding.insert(team.name.clone());
            }
        }
        binding
    }

    /// Whether any team has a limit.
    pub(in crate::coordination) fn any_team_limited(&self) -> bool {
        self.settings.params.teams.iter().any(|t| t.cpus_max > 0.0 || t.gpus_max > 0.0)
    }

    /// The most that each team's tasks can use, wherever they are. This includes the tasks of all live jobs, of jobs
    /// that recently left the records and were not done, of jobs that have left them and have tasks on machines, and of
    /// jobs that left them before this controller joined. The last may be on any machine whose tasks this controller
    /// has never known completely, so such a machine counts as a whole.
    fn requested_by_teams(&self) -> BTreeMap<&str, Resources> {
        let orphan = |(id, t): (&TaskId, &PlacedTask)| {
            !t.ended() && !self.jobs.contains_key(&id.job) && !self.retired.contains_key(&id.job)
        };
        let may_hide_tasks =
            |m: &&Machine| !m.never_granted() && (!m.ever_resolved || m.tasks.iter().any(orphan));
        let hidden = self.machines.values().filter(may_hide_tasks);
        let hidden = hidden.fold(Resources::default(), |sum, m| sum.plus(m.supply));
        let teams = self.settings.params.teams.iter();
        let mut requested: BTreeMap<&str, Resources> = teams.map(|t| (t.name.as_str(), hidden)).collect();
        let all = |j: &Job| j.spec.need().times(u64::from(j.spec.tasks));
        let placed = |j: &Job| j.spec.need().times(j.placements_in_use());
        let live = self.jobs.values().map(|j| (&j.spec.team, all(j)));
        let removed = self.recently_removed.iter().map(|(_, team, amount)| (team, *amount));
        // These include second runs of tasks that are done, for example when a completion was recorded late.
        let retired = self.retired.values().map(|j| (&j.spec.team, placed(j)));
        for (team, amount) in live.chain(removed).chain(retired) {
            if let Some(sum) = requested.get_mut(team.as_str()) {
                *sum = sum.plus(amount);
            }
        }
        requested
    }

    /// What tasks of this controller's jobs of a team use, wherever they are or may be, and what tasks of unknown jobs
    /// may use of it.
    pub(in crate::coordination) fn team_usage(&self, team: &str) -> (u64, u64) {
        self.usage_parts(team).total()
    }

    /// The parts of that usage. Ended tasks do not count: a task stays on its machine until its completion is recorded,
    /// and with short tasks a fifth of a limit stayed idle for that reason.
    pub(super) fn usage_parts(&self, team: &str) -> UsageParts {
        let mine = |j: &&Job| j.owner.as_deref() == Some(self.own_name()) && j.spec.team == team;
        let live = self.jobs.values().filter(mine).map(|j| j.spec.need().times(u64::from(j.tasks_in_use())));
        let mine = |(id, j): &(&String, &Job)| {
            j.spec.team == team && self.owner_of(id).as_deref() == Some(self.own_name())
        };
        let retired = self.retired.iter().filter(mine);
        let retired = retired.map(|(_, j)| j.spec.need().times(j.placements_in_use()));
        UsageParts {
            live: live.fold(Resources::default(), Resources::plus),
            retired: retired.fold(Resources::default(), Resources::plus),
            unknown: self.unknown_usage(),
        }
    }

    /// Processors and accelerators that this controller's jobs use, for each team with a limit.
    pub(in crate::coordination) fn usage_by_team(&self) -> Vec<(String, u64, u64)> {
        let limited = self.settings.params.teams.iter().filter(|t| t.cpus_max > 0.0 || t.gpus_max > 0.0);
        limited
            .map(|t| {
                let (cpu, gpu) = self.team_usage(&t.name);
                (t.name.clone(), cpu, gpu)
            })
            .collect()
    }
}
