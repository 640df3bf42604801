//! What tasks of unknown jobs count: jobs that ended before this controller read the records, so that neither their
//! team nor what their tasks need is known.
//!
//! Such tasks may be of any team and take all that their machine has beside the tasks which its worker has shown together
//! with them. Nothing that this controller plans or orders lowers that bound; only a message of the worker does.

use std::collections::BTreeSet;

use crate::coordination::Controller;
use crate::coordination::model::{Machine, PlacedTask};
use crate::protocol::units::Resources;
use crate::protocol::worker::TaskState;

/// While a machine's type is not known, neither is what its tasks can take: more than any machine has, and far from
/// overflowing when amounts are added to it.
const ANY_AMOUNT: Resources = Resources { cpu: 1 << 40, gpu: 1 << 40, memory: 0 };

/// The machines with tasks of unknown jobs that a controller counts, and what these tasks may take there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct UnknownUsage {
    pub machines: Vec<String>,
    pub cpu: u64,
    pub gpu: u64,
}

impl Controller {
    /// What tasks of unknown jobs may take. Each member counts those of the jobs that it would own.
    ///
    /// Without this, a controller that was back at once did not count eight processors of a withdrawn job that was
    /// still running, and started tasks on as many more.
    pub(super) fn unknown_usage(&self) -> UnknownUsage {
        let jobs = self.machines_with_unknown_tasks.iter();
        let own = jobs.filter(|(id, _)| self.owner_of(id).as_deref() == Some(self.own_name()));
        let names: BTreeSet<&String> = own.flat_map(|(_, machines)| machines).collect();
        let machines = names.into_iter().filter_map(|name| Some((name, self.machines.get(name)?)));
        let mut usage = UnknownUsage::default();
        for (name, machine) in machines.filter(|(_, machine)| self.shows_unknown_tasks(machine)) {
            let most = most_taken_by_unknown_tasks(machine, self.owns(machine));
            usage.machines.push(name.clone());
            usage.cpu += most.cpu;
            usage.gpu += most.gpu;
        }
        usage
    }

    /// Whether tasks of unknown jobs that have not ended are, or may be, on a machine.
    fn shows_unknown_tasks(&self, machine: &Machine) -> bool {
        let is_unknown = |job: &str| self.machines_with_unknown_tasks.contains_key(job);
        machine.tasks.iter().any(|(id, task)| !task.ended() && is_unknown(&id.job))
    }

    /// Logs a change of what tasks of unknown jobs count.
    pub(super) fn log_unknown_usage(&mut self) {
        let usage = self.unknown_usage();
        if self.quota_guard.logged_unknown_usage == usage {
            return;
        }
        tracing::info!(
            machines = ?usage.machines,
            cpu = usage.cpu,
            gpu = usage.gpu,
            view = self.view_revision,
            "tasks of unknown jobs count against every team's limit"
        );
        self.quota_guard.logged_unknown_usage = usage;
    }
}

/// The most that the tasks of unknown jobs on a machine can take together. `own`: this controller owns the machine.
fn most_taken_by_unknown_tasks(machine: &Machine, own: bool) -> Resources {
    if machine.supply == Resources::default() {
        return ANY_AMOUNT;
    }
    // Until the owner knows all tasks, those that are known here may be gone, and their room taken.
    if !machine.resolved {
        return machine.supply;
    }
    let shown = machine.tasks.values().filter(|task| is_shown(task, own));
    shown.fold(machine.supply, |room, task| room.minus(task.need))
}

/// Whether the last message of a machine's worker has shown a task there that has not ended. Before its image is
/// fetched, a task may also be planned only, or ordered and refused; another owner's status does not tell which.
fn is_shown(task: &PlacedTask, own: bool) -> bool {
    match task.state {
        TaskState::Fetching => own && task.pending.is_none(),
        TaskState::Ended => false,
        TaskState::Waiting | TaskState::Running | TaskState::Saving => true,
    }
}
