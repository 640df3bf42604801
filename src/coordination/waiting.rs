//! Why jobs have nothing running.
//!
//! Placement notes for each job that it passes over what stood in its way. Once a second this is put together with what
//! keeps a job from being looked at by placement at all: each waiting job of this controller then has exactly one reason.
//! Operators see the jobs counted by reason, and in the log each job that has waited for long.

use std::collections::BTreeMap;

use crate::coordination::model::Job;
use crate::coordination::{Controller, Micros};

/// How often the reasons are put together.
const NOTE_EVERY: Micros = Micros::from_secs(1);
/// A job that has waited for so long for one reason is logged.
const LOG_AFTER: Micros = Micros::from_secs(30);
/// The most jobs that are logged at a time.
const MOST_LOGGED: usize = 20;

/// What keeps a job from having a task running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// The leader gives it no volume.
    NotAdmitted,
    /// It was taken over, and not all that may still run of it is known.
    TakingOver,
    /// It fails wherever it runs, and waits for its next try.
    RetryLater,
    /// Its team's limit is being divided, or nothing of the team may start here after a breach.
    QuotaUndivided,
    /// This controller's share of the team's processors has no room for it.
    QuotaProcessors,
    /// This controller's share of the team's accelerators has no room for it.
    QuotaAccelerators,
    /// No machine of this controller has room for it where it may run.
    NoMachine,
    /// Starts are planned and not ordered: not all other controllers have confirmed them.
    Unconfirmed,
}

impl WaitReason {
    /// Whether a machine with more room would help.
    pub(super) fn is_for_machines(self) -> bool {
        self == WaitReason::NoMachine
    }

    /// Its name among the operators' figures.
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

/// A job's wait, as the controller that keeps it has noted it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wait {
    /// Since when none of its tasks has been placed; none while one is.
    pub since: Option<Micros>,
    /// Why placement last passed it over.
    pub passed_over: Option<WaitReason>,
    /// The reason last put together, and since when it has been this one.
    reason: Option<(WaitReason, Micros)>,
    logged: bool,
}

impl Wait {
    /// For how long nothing of the job has been placed.
    pub fn waited(&self, now: Micros) -> Micros {
        self.since.map_or(Micros::ZERO, |since| now.since(since))
    }

    /// Why it has nothing running, and since when that has been the reason.
    #[cfg(test)]
    pub fn reason(&self) -> Option<(WaitReason, Micros)> {
        self.reason
    }

    /// Notes a reason; whether it is due to be logged.
    fn note(&mut self, now: Micros, reason: Option<WaitReason>) -> bool {
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

/// The waiting jobs of this controller, counted by reason.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    noted_at: Micros,
    counts: BTreeMap<WaitReason, u64>,
}

impl Controller {
    /// How many jobs of this controller have nothing running, by reason.
    pub fn jobs_waiting(&self) -> impl Iterator<Item = (WaitReason, u64)> {
        self.waits.counts.iter().map(|(reason, count)| (*reason, *count))
    }

    /// For how long nothing of a job has been placed.
    pub(super) fn waited(&self, id: &str) -> Micros {
        self.jobs.get(id).map_or(Micros::ZERO, |job| job.wait.waited(self.now))
    }

    /// Puts the reasons together, once a second.
    pub(super) fn note_waits(&mut self) {
        if self.now.since(self.waits.noted_at) < NOTE_EVERY {
            return;
        }
        self.waits.noted_at = self.now;
        let reasons: Vec<Option<WaitReason>> =
            self.jobs.iter().map(|(id, job)| self.wait_reason(id, job)).collect();
        let now = self.now;
        let mut counts = BTreeMap::new();
        let mut due = Vec::new();
        for (index, (job, reason)) in self.jobs.values_mut().zip(reasons).enumerate() {
            let placed = job.placed() > 0;
            let wait = &mut job.wait;
            if placed {
                wait.since = None;
            } else {
                wait.since.get_or_insert(now);
            }
            if let Some(reason) = reason {
                *counts.entry(reason).or_default() += 1;
            }
            if wait.note(now, reason) && due.len() < MOST_LOGGED {
                wait.logged = true;
                due.push(index);
            }
        }
        self.waits.counts = counts;
        due.into_iter().for_each(|index| self.log_wait(index));
    }

    /// Why one of this controller's jobs has nothing running.
    fn wait_reason(&self, id: &str, job: &Job) -> Option<WaitReason> {
        if job.unfinished() == 0 || job.completing || job.owner.as_deref() != Some(self.me()) {
            return None;
        }
        if let Some((index, places)) = job.on.first_key_value().filter(|_| job.placed() > 0) {
            let task = crate::protocol::worker::TaskId::new(id, *index);
            let mut on = places.iter().filter_map(|name| self.machines.get(name)?.tasks.get(&task));
            return on.all(|t| t.planned()).then_some(WaitReason::Unconfirmed);
        }
        if job.adopting {
            Some(WaitReason::TakingOver)
        } else if self.held(id) {
            Some(WaitReason::RetryLater)
        } else if self.target_task_count(job) == 0 {
            Some(WaitReason::NotAdmitted)
        } else {
            job.wait.passed_over
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
            zones_reserved = self.reserved.len(),
            "a job has nothing running"
        );
    }
}
