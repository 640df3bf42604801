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

/// Machines on which a job must have failed, without success on any, to count as broken.
pub const SEVERAL: usize = 2;
/// Jobs that have succeeded elsewhere and must have failed on a machine for it to count as faulty.
pub const PROVEN: usize = 2;
/// Jobs that are not broken and must have failed on a machine for it to count as faulty.
pub const DOUBTED: usize = 4;
/// The most machines recorded for one job; further ones add no evidence.
const MOST_MACHINES: usize = 64;
/// The pause after the first failed attempt of a broken job, which doubles with each attempt, and the longest pause.
const FIRST_PAUSE: Micros = Micros::from_secs(2);
const LONGEST_PAUSE: Micros = Micros::from_secs(64);

/// Whether a job itself appears to be the cause of its failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Any failures of the job are explained by faulty machines.
    Good,
    /// The job fails on every machine: it may next be tried at `retry_at`, with one task only.
    Mistaken { until: Micros },
}

#[derive(Clone, Debug, Default)]
struct Tried {
    /// Machines on which it has failed.
    on: BTreeSet<String>,
    succeeded: bool,
    /// Attempts since the job has counted as broken, and when the next one may be made.
    tries: u32,
    until: Micros,
}

/// Failures of jobs and machines.
#[derive(Clone, Debug, Default)]
pub struct Blame {
    jobs: BTreeMap<String, Tried>,
    machines: BTreeMap<String, Failed>,
}

/// Failures on a machine since a task last succeeded there.
#[derive(Clone, Debug, Default)]
struct Failed {
    jobs: BTreeSet<String>,
    /// Number of jobs that failed there, succeeded elsewhere and have ended.
    over: usize,
}

impl Blame {
    /// Records that a task of a job has failed on a machine. `succeeded`: the job is known to have succeeded on some
    /// machine, or to run well on another.
    pub fn failed(&mut self, now: Micros, job: &str, machine: &str, succeeded: bool) {
        let tried = self.jobs.entry(job.to_owned()).or_default();
        tried.succeeded |= succeeded;
        if tried.on.len() < MOST_MACHINES {
            tried.on.insert(machine.to_owned());
            self.machines.entry(machine.to_owned()).or_default().jobs.insert(job.to_owned());
        }
        if !self.mistaken(job) {
            return;
        }
        // Many tasks of one attempt fail together: they count as one failure.
        if let Some(tried) = self.jobs.get_mut(job).filter(|t| t.until <= now) {
            let pause = FIRST_PAUSE.mul_f64(f64::from(1u32 << tried.tries.min(5))).min(LONGEST_PAUSE);
            tried.tries += 1;
            tried.until = now + pause;
        }
    }

    /// Records that a task of a job has completed on a machine, which shows that both are in order.
    pub fn succeeded(&mut self, job: &str, machine: &str) {
        self.machines.remove(machine);
        if let Some(tried) = self.jobs.get_mut(job) {
            tried.succeeded = true;
            (tried.tries, tried.until) = (0, Micros::ZERO);
            tried.on.remove(machine);
        }
    }

    /// Machines on which a job has failed and that are not proven faulty: the job itself may be the cause.
    fn unexplained<'a>(&'a self, tried: &'a Tried) -> impl Iterator<Item = &'a String> {
        tried.on.iter().filter(|machine| !self.proven(machine))
    }

    /// Whether enough jobs that succeeded elsewhere have failed on a machine.
    fn proven(&self, machine: &str) -> bool {
        let Some(failed) = self.machines.get(machine) else { return false };
        let known = failed.jobs.iter().filter(|job| self.jobs.get(*job).is_some_and(|t| t.succeeded));
        failed.over + known.count() >= PROVEN
    }

    fn mistaken(&self, job: &str) -> bool {
        let tried = self.jobs.get(job).filter(|t| !t.succeeded);
        tried.is_some_and(|t| self.unexplained(t).take(SEVERAL).count() >= SEVERAL)
    }

    pub fn job(&self, job: &str) -> Standing {
        match self.jobs.get(job) {
            Some(tried) if self.mistaken(job) => Standing::Mistaken { until: tried.until },
            _ => Standing::Good,
        }
    }

    /// Whether a machine fails the tasks of every job.
    pub fn faulty(&self, machine: &str) -> bool {
        let Some(failed) = self.machines.get(machine) else { return false };
        self.proven(machine) || failed.over + self.not_mistaken(failed) >= DOUBTED
    }

    /// Evidence against starting a job on a machine: the machine with the lowest value is preferred.
    pub fn doubt(&self, job: &str, machine: &str) -> usize {
        let Some(failed) = self.machines.get(machine) else { return 0 };
        if failed.jobs.contains(job) { usize::MAX } else { failed.over + self.not_mistaken(failed) }
    }

    fn not_mistaken(&self, failed: &Failed) -> usize {
        failed.jobs.iter().filter(|job| !self.mistaken(job)).count()
    }

    /// Whether no machine has a failure on record.
    pub fn nothing(&self) -> bool {
        self.machines.is_empty()
    }

    /// Machines on which a job has failed.
    pub fn failed_on(&self, job: &str) -> Vec<String> {
        self.jobs.get(job).map(|t| t.on.iter().cloned().collect()).unwrap_or_default()
    }

    /// Records that a job has ended. Its failures still count against the machines if it succeeded elsewhere; otherwise
    /// their cause will never be known.
    pub fn job_over(&mut self, job: &str) {
        let Some(tried) = self.jobs.remove(job) else { return };
        for machine in tried.on {
            if let Some(failed) = self.machines.get_mut(&machine)
                && failed.jobs.remove(job)
            {
                failed.over += usize::from(tried.succeeded);
                if failed.jobs.is_empty() && failed.over == 0 {
                    self.machines.remove(&machine);
                }
            }
        }
    }

    /// Records that a machine has been removed. Failures there still count against its jobs, unless the machine was
    /// faulty: otherwise a cluster that shrinks for lack of work would forget them all and try every broken job again
    /// at once.
    pub fn machine_gone(&mut self, machine: &str) {
        if !self.faulty(machine) {
            self.machines.remove(machine);
            return;
        }
        for job in self.machines.remove(machine).unwrap_or_default().jobs {
            if let Some(tried) = self.jobs.get_mut(&job) {
                tried.on.remove(machine);
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
    fn mistaken_jobs_and_faulty_machines_are_told_apart() {
        for seed in 0..300 {
            let mut rng = StdRng::seed_from_u64(seed);
            let (machines, jobs) = (rng.random_range(12..40), rng.random_range(20..60));
            let bad_machine = |m: usize| m < 2;
            let bad_job = |j: usize| j < 3;
            let mut blame = Blame::default();
            let mut now = Micros::ZERO;
            let name = |what: &str, n: usize| format!("{what}-{n}");
            let mut done = vec![false; jobs];
            for _ in 0..2_000 {
                now += Micros::from_millis(200);
                let j = rng.random_range(0..jobs);
                let job = name("j", j);
                let held = matches!(blame.job(&job), Standing::Mistaken { until } if until > now);
                if done[j] || held {
                    continue;
                }
                // Placed as the scheduler does: on the machine with the least evidence against it, and not on faulty
                // ones.
                let there = (0..machines).filter(|m| !blame.faulty(&name("m", *m)));
                let m = there.min_by_key(|m| (blame.doubt(&job, &name("m", *m)), rng.random::<u32>()));
                let m = m.expect("a machine is left");
                if bad_job(j) || bad_machine(m) {
                    blame.failed(now, &job, &name("m", m), false);
                } else {
                    done[j] = true;
                    blame.succeeded(&job, &name("m", m));
                }
                let wronged = (0..machines).find(|m| !bad_machine(*m) && blame.faulty(&name("m", *m)));
                assert_eq!(wronged, None, "seed {seed}: a healthy machine is set apart");
            }
            for j in (0..jobs).filter(|j| !bad_job(*j)) {
                assert!(done[j], "seed {seed}: job {j} never ran");
            }
            for j in (0..jobs).filter(|j| bad_job(*j)) {
                let standing = blame.job(&name("j", j));
                assert!(
                    matches!(standing, Standing::Mistaken { .. }),
                    "seed {seed}: job {j} is {standing:?}"
                );
            }
        }
    }

    /// Guards machine time and the records of the state service: a broken job is tried less and less often, and 100
    /// tasks that fail together count as one attempt.
    #[test]
    fn a_mistaken_job_is_tried_ever_more_rarely() {
        let mut blame = Blame::default();
        let mut tries = 0;
        for second in 0..600 {
            let now = Micros::from_secs(second);
            if matches!(blame.job("j"), Standing::Mistaken { until } if until > now) {
                continue;
            }
            tries += 1;
            for task in 0..100 {
                blame.failed(now, "j", &format!("m-{}", (task + second) % 7), false);
            }
        }
        assert!((5..=15).contains(&tries), "{tries} tries in ten minutes");
    }

    /// Guards healthy jobs: failures on machines that turn out to be faulty no longer count against a job.
    #[test]
    fn a_job_that_met_faulty_machines_gets_its_standing_back() {
        let mut blame = Blame::default();
        let now = Micros::from_secs(1);
        for machine in ["m-1", "m-2"] {
            blame.failed(now, "unlucky", machine, false);
        }
        assert!(matches!(blame.job("unlucky"), Standing::Mistaken { .. }));
        for job in ["a", "b"] {
            blame.failed(now, job, "m-1", true);
            assert!(blame.faulty("m-1") == (job == "b"));
        }
        assert_eq!(blame.job("unlucky"), Standing::Good);
        blame.job_over("a");
        assert!(blame.faulty("m-1"), "a job that succeeded elsewhere has told, though it is over");
        blame.succeeded("c", "m-1");
        assert!(!blame.faulty("m-1"));
    }
}
