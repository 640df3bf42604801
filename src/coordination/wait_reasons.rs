//! Why jobs have nothing running.
//!
//! A placement pass stores with each job the reason why it placed no task of it. Once a second these reasons are
//! combined with those for which placement does not consider a job at all, so that each waiting job of this controller
//! has exactly one reason. The metrics count waiting jobs by reason, and jobs that have waited for long are logged.

use std::collections::BTreeMap;

use crate::coordination::model::Job;
use crate::coordination::{Controller, Micros};

/// How often the reasons are updated.
const UPDATE_INTERVAL: Micros = Micros::from_secs(1);
/// A job is logged once it has waited this long for the same reason.
const LOG_AFTER: Micros = Micros::from_secs(20);
/// Maximum number of jobs logged per update.
const MAX_LOGGED: usize = 20;

/// What keeps a job from having a task running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// The leader gives the job no volume.
    NotAdmitted,
    /// The job was taken over, and not all of its tasks that may still run are known.
    TakingOver,
    /// The job's tasks fail on every machine, and it waits for its next try.
    RetryLater,
    /// The team's limit is being divided among the controllers, or a breach of it blocks the team's starts here.
    QuotaUndivided,
    /// This controller's remaining share of the team's processors is too small.
    QuotaProcessors,
    /// This controller's remaining share of the team's accelerators is too small.
    QuotaAccelerators,
    /// No machine of this controller that the job may run on has enough free resources.
    NoMachine,
    /// Starts are planned and not ordered yet, because not all other controllers have confirmed them.
    Unconfirmed,
}

impl WaitReason {
    /// Whether a machine with more free resources would help.
    pub(super) fn is_lack_of_machines(self) -> bool {
        self == WaitReason::NoMachine
    }

    /// The value of the metrics' `reason` label.
    pub fn name(self) -> &'static str {
        match self {
            WaitReason::NotAdmitted => "not_admitted",
            WaitReason::TakingOver => "taking_over",
            WaitReason::RetryLater => "retry_later",
            WaitReason::QuotaUndivided => "quota_undivided",
            WaitReason::QuotaProcessors => "quota_processors",
            WaitReason::QuotaAccelerators => "quota_accelerators",
            WaitReason::NoMachine => "no_machine",
            WaitReason::Unconfirmed => "unconfirmed",
        }
    }
}

/// How long a job has been waiting and why, as tracked by its owner.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobWait {
    /// Since when no task of the job has been placed; `None` while one is.
    pub unplaced_since: Option<Micros>,
    /// Why the last placement pass did not place a task of the job.
    pub placement_refusal: Option<WaitReason>,
    /// The reason as of the last update, and since when it has been the same.
    reason: Option<(WaitReason, Micros)>,
    /// Whether the wait for this reason has been logged.
    logged: bool,
}

impl JobWait {
    /// How long no task of the job has been placed.
    pub fn waited(&self, now: Micros) -> Micros {
        self.unplaced_since.map_or(Micros::ZERO, |since| now.since(since))
    }

    /// Why the job has nothing running, and since when that has been the reason.
    #[cfg(test)]
    pub fn reason(&self) -> Option<(WaitReason, Micros)> {
        self.reason
    }

    /// Updates the reason. Returns whether the wait is due to be logged.
    fn update_reason(&mut self, now: Micros, reason: Option<WaitReason>) -> bool {
        let Some(reason) = reason else {
            (self.reason, self.logged) = (None, false);
            return false;
        };
        match self.reason {
            Some((same, since)) if same == reason => !self.logged && now.since(since) >= LOG_AFTER,
            _ => {
                (self.reason, self.logged) = (Some((reason, now)), false);
                false
            }
        }
    }
}

/// Number of this controller's waiting jobs by reason.
#[derive(Debug, Default)]
pub(crate) struct WaitSummary {
    updated_at: Micros,
    counts: BTreeMap<WaitReason, u64>,
}

impl Controller {
    /// Number of this controller's jobs that have nothing running, by reason.
    pub fn jobs_waiting(&self) -> impl Iterator<Item = (WaitReason, u64)> {
        self.wait_summary.counts.iter().map(|(reason, count)| (*reason, *count))
    }

    /// How long no task of a job has been placed.
    pub(super) fn waited(&self, id: &str) -> Micros {
        self.jobs.get(id).map_or(Micros::ZERO, |job| job.wait.waited(self.now))
    }

    /// Updates the wait reasons of all jobs, once a second.
    pub(super) fn update_wait_reasons(&mut self) {
        if self.now.since(self.wait_summary.updated_at) < UPDATE_INTERVAL {
            return;
        }
        self.wait_summary.updated_at = self.now;
        let reasons: Vec<Option<WaitReason>> =
            self.jobs.iter().map(|(id, job)| self.wait_reason(id, job)).collect();
        let now = self.now;
        let mut counts = BTreeMap::new();
        let mut to_log = Vec::new();
        for (index, (job, reason)) in self.jobs.values_mut().zip(reasons).enumerate() {
            let placed = job.placed() > 0;
            let wait = &mut job.wait;
            if placed {
                wait.unplaced_since = None;
            } else {
                wait.unplaced_since.get_or_insert(now);
            }
            if let Some(reason) = reason {
                *counts.entry(reason).or_default() += 1;
            }
            if wait.update_reason(now, reason) && to_log.len() < MAX_LOGGED {
                wait.logged = true;
                to_log.push(index);
            }
        }
        self.wait_summary.counts = counts;
        to_log.into_iter().for_each(|index| self.log_wait(index));
    }

    /// Why one of this controller's jobs has nothing running.
    fn wait_reason(&self, id: &str, job: &Job) -> Option<WaitReason> {
        if job.unfinished() == 0 || job.completion_in_flight || job.owner.as_deref() != Some(self.own_name())
        {
            return None;
        }
        if let Some((index, machines)) = job.placements.first_key_value().filter(|_| job.placed() > 0) {
            let task = crate::protocol::worker::TaskId::new(id, *index);
            let mut tasks = machines.iter().filter_map(|name| self.machines.get(name)?.tasks.get(&task));
            return tasks.all(|t| t.planned()).then_some(WaitReason::Unconfirmed);
        }
        if job.takeover_pending {
            Some(WaitReason::TakingOver)
        } else if self.awaits_retry(id) {
            Some(WaitReason::RetryLater)
        } else if self.target_task_count(job) == 0 {
            Some(WaitReason::NotAdmitted)
        } else {
            job.wait.placement_refusal
        }
    }

    fn log_wait(&self, index: usize) {
        let Some((id, job)) = self.jobs.get_index(index) else { return };
        let Some((reason, since)) = job.wait.reason else { return };
        tracing::info!(
            job = id.as_str(),
            team = job.spec.team,
            reason = reason.name(),
            for_s = self.now.since(since).as_secs_f64(),
            tasks = job.unfinished(),
            volume = job.volume,
            turn = ?job.turn,
            share = ?self.quota_share(&job.spec.team),
            used = ?self.team_usage(&job.spec.team),
            zones_reserved = self.gang_reservations.len(),
            "job has nothing running"
        );
    }
}
