//! Performs the last check before a start is sent.
//!
//! A start is planned when its task is on no machine, and sent some 200 ms later, when the other controllers have
//! confirmed its announcement. In between, a message may show the task on another machine after all. Then the planned
//! start is dropped at once ([`Controller::drop_duplicate_starts`]). A start that would be sent all the same is held
//! back here and counted.

use crate::coordination::model::{Job, PlacedTask};
use crate::coordination::quota::{ActivePermit, Permit};
use crate::coordination::{Controller, Counters, SortedMap};
use crate::protocol::worker::TaskId;

/// The state that decides whether a planned start may be sent now.
pub(super) struct StartGate<'a> {
    /// All controllers that must know have confirmed the starts announced by statuses up to this number.
    confirmed_through: u64,
    active_permit: ActivePermit,
    jobs: &'a SortedMap<Job>,
}

impl<'a> StartGate<'a> {
    /// Creates a gate for starts that are sent in the same step.
    pub(super) fn new(confirmed_through: u64, active_permit: ActivePermit, jobs: &'a SortedMap<Job>) -> Self {
        StartGate { confirmed_through, active_permit, jobs }
    }

    /// The permit under which a task's start may be sent to a machine now; none if it may not be sent.
    pub(super) fn permit(
        &self,
        machine: &str,
        id: &TaskId,
        task: &PlacedTask,
        counters: &mut Counters,
    ) -> Option<Permit> {
        let permit = task.startable_permit(self.confirmed_through, self.active_permit)?;
        if self.may_run_elsewhere(machine, id) {
            counters.starts_held_back += 1;
            let attempt = task.attempt;
            tracing::error!(
                machine,
                task = id.text(),
                attempt,
                "start held back: the task may be on another machine"
            );
            return None;
        }
        Some(permit)
    }

    /// Whether a task may be on another machine than this one.
    fn may_run_elsewhere(&self, machine: &str, id: &TaskId) -> bool {
        let machines = self.jobs.get(&id.job).and_then(|job| job.placements.get(&id.index));
        machines.is_some_and(|machines| machines.iter().any(|other| other != machine))
    }
}

impl Controller {
    /// Drops the planned starts of tasks that turned out to be on other machines too.
    pub(super) fn drop_duplicate_starts(&mut self, tasks: &[TaskId]) {
        for id in tasks {
            let machines = self.jobs.get(&id.job).and_then(|job| job.placements.get(&id.index));
            for name in machines.cloned().unwrap_or_default() {
                self.drop_planned_starts(&name, |task| task == id);
            }
        }
    }
}
