//! The last check before a start leaves its controller.
//!
//! A start is planned when its task is nowhere, and sent some 200 ms later, when the others know of it. What a controller
//! learns in between may show the task on another machine after all. Then the plan is withdrawn at once
//! ([`Controller::withdraw_duplicates`]), and whatever should still come to be sent is stopped here and counted.

use crate::coordination::model::{Job, TaskOn};
use crate::coordination::quota::{ActivePermit, Permit};
use crate::coordination::{ByName, Controller, Counters};
use crate::protocol::worker::TaskId;

/// What decides whether a planned start may be sent now.
pub(super) struct StartGate<'a> {
    /// Starts announced by statuses up to this one are known to all who must know.
    settled: u64,
    in_force: ActivePermit,
    jobs: &'a ByName<Job>,
}

impl<'a> StartGate<'a> {
    /// As of one decision of a controller.
    pub(super) fn new(settled: u64, in_force: ActivePermit, jobs: &'a ByName<Job>) -> Self {
        StartGate { settled, in_force, jobs }
    }

    /// The permit by which a task's start may be sent to a machine now, if it may.
    pub(super) fn permit(
        &self,
        machine: &str,
        id: &TaskId,
        task: &TaskOn,
        counters: &mut Counters,
    ) -> Option<Permit> {
        let permit = task.may_start(self.settled, self.in_force)?;
        if self.may_run_elsewhere(machine, id) {
            counters.starts_held_back += 1;
            let attempt = task.attempt;
            tracing::error!(machine, task = id.text(), attempt, "not started: it may be on another machine");
            return None;
        }
        Some(permit)
    }

    fn may_run_elsewhere(&self, machine: &str, id: &TaskId) -> bool {
        let places = self.jobs.get(&id.job).and_then(|job| job.on.get(&id.index));
        places.is_some_and(|places| places.iter().any(|place| place != machine))
    }
}

impl Controller {
    /// Takes back the planned starts of tasks that have turned out to be on other machines too.
    pub(super) fn withdraw_duplicates(&mut self, tasks: &[TaskId]) {
        for id in tasks {
            let places = self.jobs.get(&id.job).and_then(|job| job.on.get(&id.index));
            for name in places.cloned().unwrap_or_default() {
                self.drop_planned(&name, |task| task == id);
            }
        }
    }
}
