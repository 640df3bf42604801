//! Records why a controller concludes that a task is not, or no longer, on a machine.
//!
//! A task may be started on another machine only after such a conclusion, so each of them is logged and counted: if a
//! task ever runs twice, the log shows the conclusion that led to it. Tasks that their machine had reported as ended
//! are excluded.

use std::collections::BTreeMap;

use crate::coordination::Controller;
use crate::coordination::model::{Machine, PendingStart, PlacedTask};
use crate::protocol::worker::{TaskId, TaskState};

/// The evidence from which a controller concludes that a task is not on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RemovalGround {
    /// The start was planned, and dropped before it was sent.
    NeverSent,
    /// The machine's own report or reply does not show the task, and no order in transit can start it.
    NotReported,
    /// The status from the machine's owner does not show the task.
    NotReportedByOwner,
    /// The worker's lease has expired.
    LeaseExpired,
    /// The machine's record was removed, after the cloud confirmed the machine's return.
    MachineGone,
}

impl RemovalGround {
    /// The label value in the metrics, and the name in the log.
    pub fn name(self) -> &'static str {
        match self {
            RemovalGround::NeverSent => "never_sent",
            RemovalGround::NotReported => "not_reported",
            RemovalGround::NotReportedByOwner => "holder_said",
            RemovalGround::LeaseExpired => "lease_expired",
            RemovalGround::MachineGone => "machine_gone",
        }
    }

    /// All grounds, for the metrics.
    pub fn all() -> [RemovalGround; 5] {
        [
            RemovalGround::NeverSent,
            RemovalGround::NotReported,
            RemovalGround::NotReportedByOwner,
            RemovalGround::LeaseExpired,
            RemovalGround::MachineGone,
        ]
    }
}

/// How far a start had progressed when its task was concluded to be gone, as far as this controller knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartProgress {
    /// Not sent.
    Planned,
    /// Sent in the answer to a report.
    SentInAnswer,
    /// Sent in a direct call.
    SentDirectly,
    /// Sent in a direct call, and repeated in the answer to a report.
    SentBothWays,
    /// The machine has shown the task to this controller, its owner.
    Confirmed,
    /// Ordered by another controller, and this one has received no message of the machine under a grant of its own.
    Unknown,
}

impl StartProgress {
    fn of(task: &PlacedTask, heard_here: bool) -> StartProgress {
        match task.pending {
            Some(PendingStart::Planned(_)) => StartProgress::Planned,
            Some(PendingStart::SentInAnswer { .. }) => StartProgress::SentInAnswer,
            Some(PendingStart::SentDirectly { repeated: None, .. }) => StartProgress::SentDirectly,
            Some(PendingStart::SentDirectly { repeated: Some(_), .. }) => StartProgress::SentBothWays,
            None if heard_here => StartProgress::Confirmed,
            None => StartProgress::Unknown,
        }
    }

    /// The name in the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            StartProgress::Planned => "planned",
            StartProgress::SentInAnswer => "answered",
            StartProgress::SentDirectly => "called",
            StartProgress::SentBothWays => "called and answered",
            StartProgress::Confirmed => "confirmed",
            StartProgress::Unknown => "unknown",
        }
    }
}

/// The known state of a task when it was concluded to be gone.
#[derive(Clone, Copy, Debug)]
pub(super) struct RemovedTask {
    pub(super) attempt: u64,
    /// The machine's token and session at that time.
    pub(super) token: u64,
    pub(super) session: u64,
    pub(super) state: TaskState,
    pub(super) progress: StartProgress,
}

impl RemovedTask {
    fn of(machine: &Machine, task: &PlacedTask, own: bool) -> RemovedTask {
        RemovedTask {
            attempt: task.attempt,
            token: machine.token,
            session: machine.session,
            state: task.state,
            progress: StartProgress::of(task, own && machine.resolved),
        }
    }
}

impl Controller {
    /// The number of tasks that had not ended and were concluded to be gone on this ground.
    pub fn removals(&self, ground: RemovalGround) -> u64 {
        self.removal_counts.get(&ground).copied().unwrap_or(0)
    }

    /// Logs, counts and records the tasks that are no longer on a machine, except those that had ended there. `before`:
    /// the machine's tasks before the change.
    pub(super) fn record_removals(
        &mut self,
        name: &str,
        before: &BTreeMap<TaskId, PlacedTask>,
        ground: RemovalGround,
    ) {
        let Some(machine) = self.machines.get(name) else { return };
        let own = self.owns(machine);
        let gone = |(id, task): &(&TaskId, &PlacedTask)| !task.ended() && !machine.tasks.contains_key(*id);
        let removed: Vec<(&TaskId, RemovedTask)> =
            before.iter().filter(gone).map(|(id, task)| (id, RemovedTask::of(machine, task, own))).collect();
        if removed.is_empty() {
            return;
        }
        *self.removal_counts.entry(ground).or_default() += removed.len() as u64;
        // If the conclusion is the owner's, or the machine's record was removed, the owner logs it at level info.
        let owner_logs =
            !own && self.registrations.get(&machine.row.owner) == Some(&machine.row.registration);
        let logged_by_owner =
            ground == RemovalGround::NotReportedByOwner || ground == RemovalGround::MachineGone && owner_logs;
        for (id, removed) in removed {
            log_removal(name, id, removed, ground, logged_by_owner);
            self.record_conclusion(name, id, removed, ground);
        }
    }
}

/// Logs a removed task, at level debug if the machine's owner logs the same conclusion (`logged_by_owner`).
fn log_removal(
    machine: &str,
    id: &TaskId,
    removed: RemovedTask,
    ground: RemovalGround,
    logged_by_owner: bool,
) {
    let RemovedTask { attempt, token, session, state, progress } = removed;
    let (task, start, ground_name) = (id.text(), progress.name(), ground.name());
    if logged_by_owner {
        tracing::debug!(
            task,
            attempt,
            machine,
            token,
            session,
            ?state,
            start,
            ground = ground_name,
            "task concluded to be gone"
        );
    } else {
        tracing::info!(
            task,
            attempt,
            machine,
            token,
            session,
            ?state,
            start,
            ground = ground_name,
            "task concluded to be gone"
        );
    }
}
