//! Task failures: attributing them to jobs or machines, quarantining machines and delaying retries of broken jobs.

use crate::coordination::model::Job;
use crate::coordination::{Controller, Micros};
use crate::protocol::job::Shape;
use crate::protocol::worker::{Cause, TaskId, TaskState};
use marblewalk_fault_attribution::JobHealth;

/// A service counts as healthy if one of its replicas has run this long on another machine. Other jobs only count as
/// healthy once a task has completed, because a fault in the job may show in a task's last second.
const HEALTHY_REPLICA_AGE: Micros = Micros::from_secs(60);

impl Controller {
    /// Records how a task ended on a machine, as reported by the worker or by the machine's owner.
    pub(super) fn record_outcome(&mut self, name: &str, task: &TaskId, cause: Cause) {
        match cause {
            Cause::Done if self.fault_attribution.is_empty() => {}
            Cause::Done => {
                self.fault_attribution.succeeded(&task.job, name);
                self.update_quarantine(name, &task.job);
            }
            Cause::Error => {
                let Some(job) = self.jobs.get(&task.job) else { return };
                let healthy = !job.done.is_empty() || self.replica_runs_elsewhere(job, task, name);
                self.fault_attribution.failed(self.now, &task.job, name, healthy);
                self.update_quarantine(name, &task.job);
            }
            _ => {}
        }
    }

    /// Whether a replica of a service runs well on a machine other than `name`.
    fn replica_runs_elsewhere(&self, job: &Job, task: &TaskId, name: &str) -> bool {
        job.spec.shape == Shape::Service
            && job
                .placements
                .iter()
                .flat_map(|(index, machines)| machines.iter().map(move |m| (index, m)))
                .any(|(i, m)| {
                    let other = self.machines.get(m).filter(|_| m != name);
                    let on = other.and_then(|m| m.tasks.get(&TaskId { job: task.job.clone(), index: *i }));
                    on.is_some_and(|t| {
                        t.state == TaskState::Running && self.now.since(t.started_at) > HEALTHY_REPLICA_AGE
                    })
                })
    }

    /// Quarantines own machines or ends their quarantine after an outcome on `name`: checks that machine and all
    /// machines on which the job has failed.
    fn update_quarantine(&mut self, name: &str, job: &str) {
        let mut names = self.fault_attribution.failed_on(job);
        names.push(name.to_owned());
        for name in names {
            let faulty = self.fault_attribution.is_faulty(&name);
            let own = self.machines.get(&name).is_some_and(|m| m.quarantined != faulty && self.owns(m));
            if let Some(machine) = self.machines.get_mut(&name).filter(|_| own) {
                machine.quarantined = faulty;
                if faulty {
                    tracing::warn!(
                        machine = name,
                        "quarantined: tasks of jobs that run elsewhere fail there"
                    );
                }
                self.schedule_status();
                self.schedule_round();
            }
        }
    }

    /// Number of own machines that are quarantined.
    pub fn quarantined_machine_count(&self) -> usize {
        self.machines.values().filter(|m| m.quarantined && self.owns(m)).count()
    }

    /// Number of own machines whose reports arrive while they receive no answers or orders.
    pub fn non_receiving_machine_count(&self) -> usize {
        self.machines.values().filter(|m| m.delivery.is_not_receiving() && self.owns(m)).count()
    }

    /// Number of jobs that fail on every machine, as far as this controller knows.
    pub fn broken_job_count(&self) -> usize {
        if self.fault_attribution.is_empty() {
            0
        } else {
            self.jobs.keys().filter(|id| self.is_broken(id)).count()
        }
    }

    /// Whether a job fails on every machine.
    pub(super) fn is_broken(&self, id: &str) -> bool {
        !self.fault_attribution.is_empty()
            && matches!(self.fault_attribution.job_health(id), JobHealth::Broken { .. })
    }

    /// Whether a broken job waits for its next try. Until then it is not considered for placement.
    pub(super) fn awaits_retry(&self, id: &str) -> bool {
        !self.fault_attribution.is_empty()
            && matches!(self.fault_attribution.job_health(id), JobHealth::Broken { retry_at } if retry_at > self.now)
    }

    /// How many of a job's tasks are worth starting. For a broken array one task is enough to see whether it still
    /// fails.
    pub(super) fn tasks_worth_starting(&self, id: &str, job: &Job) -> u32 {
        let all = job.unfinished();
        if job.spec.shape == Shape::Array && all > 1 && self.is_broken(id) { 1 } else { all }
    }
}
