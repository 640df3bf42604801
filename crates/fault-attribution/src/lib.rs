//! Attribution of task failures to the job or to the machine.
//!
//! A faulty machine fails every task that it starts, and a job submitted with a mistake fails on every machine. One
//! failure does not tell which of them is at fault; the failures of other jobs and on other machines do:
//!
//! - a job that has failed on [`BROKEN_JOB_MACHINES`] machines and has never succeeded is *broken*. It is tried less
//!   and less often, and its failures do not count against the machines;
//! - a machine is *faulty* if nothing has succeeded on it since [`FAULTY_KNOWN_GOOD_JOBS`] jobs failed there that
//!   succeeded elsewhere, or [`FAULTY_SUSPECT_JOBS`] jobs that are not broken. Failures on a faulty machine do not
//!   count against the jobs.
//!
//! Each conclusion removes evidence for the other, so both are drawn anew from what remains: a job that only met faulty
//! machines becomes healthy again, and so does a machine that only ran broken jobs.
//!
//! This is a state machine without I/O or clock, and nothing of it is stored. Every controller records the outcomes
//! that it receives for all machines, so a successor knows what its predecessor knew. A controller that has just
//! started learns it again at the cost of a few attempts.

use std::collections::{BTreeMap, BTreeSet};

use marblewalk_units::Micros;

/// On how many machines a job must have failed, without success on any, to count as broken.
pub const BROKEN_JOB_MACHINES: usize = 2;
/// How many jobs that succeeded elsewhere must have failed on a machine for it to count as faulty.
pub const FAULTY_KNOWN_GOOD_JOBS: usize = 2;
/// How many jobs that are not broken must have failed on a machine for it to count as faulty.
pub const FAULTY_SUSPECT_JOBS: usize = 4;
/// The most machines recorded for one job; further ones add no evidence.
const MAX_MACHINES_PER_JOB: usize = 64;
/// The pause after the first failed attempt of a broken job, which doubles with each attempt, and the longest pause.
const INITIAL_PAUSE: Micros = Micros::from_secs(2);
const MAX_PAUSE: Micros = Micros::from_secs(64);

/// Whether a job itself appears to be the cause of its failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobHealth {
    /// The recorded failures do not show that the job itself is the cause.
    Healthy,
    /// The job fails on every machine: it may next be tried at `retry_at`, with one task only.
    Broken { retry_at: Micros },
}

#[derive(Clone, Debug, Default)]
struct JobFailures {
    /// Machines on which it has failed.
    machines: BTreeSet<String>,
    succeeded: bool,
    /// Attempts since the job has counted as broken, and when the next one may be made.
    attempts: u32,
    retry_at: Micros,
}

/// Failures of jobs and machines.
#[derive(Clone, Debug, Default)]
pub struct FaultAttribution {
    jobs: BTreeMap<String, JobFailures>,
    machines: BTreeMap<String, MachineFailures>,
}

/// Failures on a machine since a task last succeeded there.
#[derive(Clone, Debug, Default)]
struct MachineFailures {
    jobs: BTreeSet<String>,
    /// Number of jobs that failed there, succeeded elsewhere and have ended.
    ended_jobs: usize,
}

impl FaultAttribution {
    /// Records that a task of a job has failed on a machine. `succeeded`: the job is known to have succeeded on some
    /// machine, or to run well on another.
    pub fn failed(&mut self, now: Micros, job: &str, machine: &str, succeeded: bool) {
        let failures = self.jobs.entry(job.to_owned()).or_default();
        failures.succeeded |= succeeded;
        if failures.machines.len() < MAX_MACHINES_PER_JOB {
            failures.machines.insert(machine.to_owned());
            self.machines.entry(machine.to_owned()).or_default().jobs.insert(job.to_owned());
        }
        if !self.is_broken(job) {
            return;
        }
        // Many tasks of one attempt fail together: they count as one failure.
        if let Some(failures) = self.jobs.get_mut(job).filter(|failures| failures.retry_at <= now) {
            let pause = INITIAL_PAUSE.mul_f64(f64::from(1u32 << failures.attempts.min(5))).min(MAX_PAUSE);
            failures.attempts += 1;
            failures.retry_at = now + pause;
        }
    }

    /// Records that a task of a job has completed on a machine, which shows that both are in order.
    pub fn succeeded(&mut self, job: &str, machine: &str) {
        self.machines.remove(machine);
        if let Some(failures) = self.jobs.get_mut(job) {
            failures.succeeded = true;
            (failures.attempts, failures.retry_at) = (0, Micros::ZERO);
            failures.machines.remove(machine);
        }
    }

    /// Machines on which a job has failed and that are not proven faulty: the job itself may be the cause.
    fn unexplained_machines<'a>(&'a self, failures: &'a JobFailures) -> impl Iterator<Item = &'a String> {
        failures.machines.iter().filter(|machine| !self.is_proven_faulty(machine))
    }

    /// Whether enough jobs that succeeded elsewhere have failed on a machine.
    fn is_proven_faulty(&self, machine: &str) -> bool {
        let Some(machine_failures) = self.machines.get(machine) else { return false };
        let known = machine_failures
            .jobs
            .iter()
            .filter(|job| self.jobs.get(*job).is_some_and(|failures| failures.succeeded));
        machine_failures.ended_jobs + known.count() >= FAULTY_KNOWN_GOOD_JOBS
    }

    fn is_broken(&self, job: &str) -> bool {
        let failures = self.jobs.get(job).filter(|failures| !failures.succeeded);
        failures.is_some_and(|failures| {
            self.unexplained_machines(failures).take(BROKEN_JOB_MACHINES).count() >= BROKEN_JOB_MACHINES
        })
    }

    pub fn job_health(&self, job: &str) -> JobHealth {
        match self.jobs.get(job) {
            Some(failures) if self.is_broken(job) => JobHealth::Broken { retry_at: failures.retry_at },
            _ => JobHealth::Healthy,
        }
    }

    /// Whether a machine fails the tasks of every job.
    pub fn is_faulty(&self, machine: &str) -> bool {
        let Some(machine_failures) = self.machines.get(machine) else { return false };
        self.is_proven_faulty(machine)
            || machine_failures.ended_jobs + self.suspect_job_count(machine_failures) >= FAULTY_SUSPECT_JOBS
    }

    /// Evidence against starting a job on a machine: the machine with the lowest value is preferred.
    pub fn suspicion(&self, job: &str, machine: &str) -> usize {
        let Some(machine_failures) = self.machines.get(machine) else { return 0 };
        if machine_failures.jobs.contains(job) {
            usize::MAX
        } else {
            machine_failures.ended_jobs + self.suspect_job_count(machine_failures)
        }
    }

    fn suspect_job_count(&self, machine_failures: &MachineFailures) -> usize {
        machine_failures.jobs.iter().filter(|job| !self.is_broken(job)).count()
    }

    /// Whether no machine has a failure on record.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// Machines on which a job has failed.
    pub fn failed_on(&self, job: &str) -> Vec<String> {
        self.jobs.get(job).map(|failures| failures.machines.iter().cloned().collect()).unwrap_or_default()
    }

    /// Records that a job has ended. Its failures still count against the machines if it succeeded elsewhere; otherwise
    /// their cause will never be known.
    pub fn job_ended(&mut self, job: &str) {
        let Some(failures) = self.jobs.remove(job) else { return };
        for machine in failures.machines {
            if let Some(machine_failures) = self.machines.get_mut(&machine)
                && machine_failures.jobs.remove(job)
            {
                machine_failures.ended_jobs += usize::from(failures.succeeded);
                if machine_failures.jobs.is_empty() && machine_failures.ended_jobs == 0 {
                    self.machines.remove(&machine);
                }
            }
        }
    }

    /// Records that a machine has been removed. Failures there still count against its jobs, unless the machine was
    /// faulty: otherwise a cluster that shrinks for lack of work would forget them all and try every broken job again
    /// at once.
    pub fn machine_removed(&mut self, machine: &str) {
        if !self.is_faulty(machine) {
            self.machines.remove(machine);
            return;
        }
        for job in self.machines.remove(machine).unwrap_or_default().jobs {
            if let Some(failures) = self.jobs.get_mut(&job) {
                failures.machines.remove(machine);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    use super::*;

    /// Guards healthy machines against broken jobs, and healthy jobs against faulty machines, when there are several of
    /// both and they fail in any order.
    #[test]
    fn broken_jobs_and_faulty_machines_are_distinguished() {
        for seed in 0..300 {
            let mut rng = StdRng::seed_from_u64(seed);
            let (machines, jobs) = (rng.random_range(12..40), rng.random_range(20..60));
            let bad_machine = |m: usize| m < 2;
            let bad_job = |j: usize| j < 3;
            let mut attribution = FaultAttribution::default();
            let mut now = Micros::ZERO;
            let name = |what: &str, n: usize| format!("{what}-{n}");
            let mut done = vec![false; jobs];
            for _ in 0..2_000 {
                now += Micros::from_millis(200);
                let j = rng.random_range(0..jobs);
                let job = name("j", j);
                let waits_for_retry =
                    matches!(attribution.job_health(&job), JobHealth::Broken { retry_at } if retry_at > now);
                if done[j] || waits_for_retry {
                    continue;
                }
                // Placed as the scheduler does: on the machine with the least evidence against it, and not on faulty
                // ones.
                let eligible = (0..machines).filter(|m| !attribution.is_faulty(&name("m", *m)));
                let m = eligible
                    .min_by_key(|m| (attribution.suspicion(&job, &name("m", *m)), rng.random::<u32>()));
                let m = m.expect("a machine is left");
                if bad_job(j) || bad_machine(m) {
                    attribution.failed(now, &job, &name("m", m), false);
                } else {
                    done[j] = true;
                    attribution.succeeded(&job, &name("m", m));
                }
                let quarantined =
                    (0..machines).find(|m| !bad_machine(*m) && attribution.is_faulty(&name("m", *m)));
                assert_eq!(quarantined, None, "seed {seed}: a healthy machine counts as faulty");
            }
            for j in (0..jobs).filter(|j| !bad_job(*j)) {
                assert!(done[j], "seed {seed}: job {j} never ran");
            }
            for j in (0..jobs).filter(|j| bad_job(*j)) {
                let health = attribution.job_health(&name("j", j));
                assert!(matches!(health, JobHealth::Broken { .. }), "seed {seed}: job {j} is {health:?}");
            }
        }
    }

    /// Guards machine time and the records of the state service: a broken job is tried less and less often, and 100
    /// tasks that fail together count as one attempt.
    #[test]
    fn a_broken_job_is_tried_less_and_less_often() {
        let mut attribution = FaultAttribution::default();
        let mut tries = 0;
        for second in 0..600 {
            let now = Micros::from_secs(second);
            if matches!(attribution.job_health("j"), JobHealth::Broken { retry_at } if retry_at > now) {
                continue;
            }
            tries += 1;
            for task in 0..100 {
                attribution.failed(now, "j", &format!("m-{}", (task + second) % 7), false);
            }
        }
        assert!((5..=15).contains(&tries), "{tries} tries in ten minutes");
    }

    /// Guards healthy jobs: failures on machines that turn out to be faulty no longer count against a job.
    #[test]
    fn a_job_that_failed_on_faulty_machines_becomes_healthy_again() {
        let mut attribution = FaultAttribution::default();
        let now = Micros::from_secs(1);
        for machine in ["m-1", "m-2"] {
            attribution.failed(now, "unlucky", machine, false);
        }
        assert!(matches!(attribution.job_health("unlucky"), JobHealth::Broken { .. }));
        for job in ["a", "b"] {
            attribution.failed(now, job, "m-1", true);
            assert!(attribution.is_faulty("m-1") == (job == "b"));
        }
        assert_eq!(attribution.job_health("unlucky"), JobHealth::Healthy);
        attribution.job_ended("a");
        assert!(
            attribution.is_faulty("m-1"),
            "the failure of a job that succeeded elsewhere counts after the job has ended"
        );
        attribution.succeeded("c", "m-1");
        assert!(!attribution.is_faulty("m-1"));
    }
}
