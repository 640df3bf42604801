//! Tasks that fail: what it says of their jobs and machines, and what follows.

use crate::coordination::model::Job;
use crate::coordination::{Controller, Micros};
use crate::protocol::job::Shape;
use crate::protocol::worker::{Cause, TaskId, TaskState};
use marblewalk_fault_attribution::JobHealth;

/// A replica that has run for so long on another machine shows that its service is in order. Of tasks that end by
/// themselves only the end shows it: a mistake may come out in the last second.
const RUNS_WELL: Micros = Micros::from_secs(60);

impl Controller {
    /// A task has ended on a machine, as its holder has it from the worker or has told.
    pub(super) fn note_outcome(&mut self, name: &str, task: &TaskId, cause: Cause) {
        match cause {
            Cause::Done if self.blame.is_empty() => {}
            Cause::Done => {
                self.blame.succeeded(&task.job, name);
                self.judge(name, &task.job);
            }
            Cause::Error => {
                let Some(job) = self.jobs.get(&task.job) else { return };
                let well = !job.done.is_empty() || self.runs_elsewhere(job, task, name);
                self.blame.failed(self.now, &task.job, name, well);
                self.judge(name, &task.job);
            }
            _ => {}
        }
    }

    fn runs_elsewhere(&self, job: &Job, task: &TaskId, name: &str) -> bool {
        job.spec.shape == Shape::Service
            && job.on.iter().flat_map(|(index, places)| places.iter().map(move |m| (index, m))).any(
                |(i, m)| {
                    let other = self.machines.get(m).filter(|_| m != name);
                    let on = other.and_then(|m| m.tasks.get(&TaskId { job: task.job.clone(), index: *i }));
                    on.is_some_and(|t| t.state == TaskState::Running && self.now.since(t.since) > RUNS_WELL)
                },
            )
    }

    /// Sets own machines apart, or takes them up again, that an outcome says something of.
    fn judge(&mut self, name: &str, job: &str) {
        let mut names = self.blame.failed_on(job);
        names.push(name.to_owned());
        for name in names {
            let faulty = self.blame.is_faulty(&name);
            let own = self.machines.get(&name).is_some_and(|m| m.apart != faulty && self.owns(m));
            if let Some(machine) = self.machines.get_mut(&name).filter(|_| own) {
                machine.apart = faulty;
                if faulty {
                    tracing::warn!(machine = name, "set apart: tasks of jobs that run elsewhere fail there");
                }
                self.schedule_status();
                self.schedule_round();
            }
        }
    }

    /// Own machines that are set apart.
    pub fn machines_apart(&self) -> usize {
        self.machines.values().filter(|m| m.apart && self.owns(m)).count()
    }

    /// Own machines whose reports come while nothing that they are told arrives.
    pub fn machines_deaf(&self) -> usize {
        self.machines.values().filter(|m| m.hearing.is_not_receiving() && self.owns(m)).count()
    }

    /// Jobs that fail wherever they go, as far as this controller has heard.
    pub fn jobs_mistaken(&self) -> usize {
        if self.blame.is_empty() { 0 } else { self.jobs.keys().filter(|id| self.mistaken(id)).count() }
    }

    /// A job fails wherever it goes.
    pub(super) fn mistaken(&self, id: &str) -> bool {
        !self.blame.is_empty() && matches!(self.blame.job_health(id), JobHealth::Broken { .. })
    }

    /// A job that fails wherever it goes waits for its next try: until then it is as if it were not there.
    pub(super) fn held(&self, id: &str) -> bool {
        !self.blame.is_empty()
            && matches!(self.blame.job_health(id), JobHealth::Broken { retry_at } if retry_at > self.now)
    }

    /// How many of a job's tasks are worth starting: of one that fails wherever it goes, one shows enough.
    pub(super) fn worth_trying(&self, id: &str, job: &Job) -> u32 {
        let all = job.unfinished();
        if job.spec.shape == Shape::Array && all > 1 && self.mistaken(id) { 1 } else { all }
    }
}
