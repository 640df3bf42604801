//! Why a controller concludes that a task is not on a machine, or no longer is.
//!
//! A task may be started elsewhere only after such a conclusion, so each of them is logged and counted: should a task ever
//! run twice, the log names the conclusion that let it. Tasks that their machine had reported as ended are not concerned.

use std::collections::BTreeMap;

use crate::coordination::Controller;
use crate::coordination::model::{Machine, Pending, TaskOn};
use crate::protocol::worker::{TaskId, TaskState};

/// What a controller's conclusion rests on that a task is not on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Removal {
    /// Its start was planned, and taken back before it was sent.
    NeverSent,
    /// The machine's own report or reply does not show it, and no order that may still arrive starts it.
    NotReported,
    /// The machine's holder says that it is not there.
    HolderSaid,
    /// The worker's lease has expired.
    LeaseExpired,
    /// The machine has left the records, after the cloud confirmed its return.
    MachineGone,
}

impl Removal {
    /// Its name among the operators' counters.
    pub fn name(self) -> &'static str {
        match self {
            Removal::NeverSent => "never_sent",
            Removal::NotReported => "not_reported",
            Removal::HolderSaid => "holder_said",
            Removal::LeaseExpired => "lease_expired",
            Removal::MachineGone => "machine_gone",
        }
    }

    /// All of them, for the counters.
    pub fn all() -> [Removal; 5] {
        [
            Removal::NeverSent,
            Removal::NotReported,
            Removal::HolderSaid,
            Removal::LeaseExpired,
            Removal::MachineGone,
        ]
    }
}

/// How far a start had come when its task was taken for gone, as far as this controller knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// It had not been sent.
    Planned,
    /// An answer to a report had brought it.
    Answered,
    /// A direct call was to bring it.
    Called,
    /// A direct call was to bring it, and an answer to a report had repeated it.
    CalledAndAnswered,
    /// The machine had shown the task to this controller, its holder.
    Confirmed,
    /// Another controller ordered it, and this one has not heard the machine itself under its own grant.
    Unknown,
}

impl Progress {
    fn of(task: &TaskOn, heard_here: bool) -> Progress {
        match task.pending {
            Some(Pending::Planned(_)) => Progress::Planned,
            Some(Pending::Sent { .. }) => Progress::Answered,
            Some(Pending::Direct { repeated: None, .. }) => Progress::Called,
            Some(Pending::Direct { repeated: Some(_), .. }) => Progress::CalledAndAnswered,
            None if heard_here => Progress::Confirmed,
            None => Progress::Unknown,
        }
    }

    /// Its name in the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            Progress::Planned => "planned",
            Progress::Answered => "answered",
            Progress::Called => "called",
            Progress::CalledAndAnswered => "called and answered",
            Progress::Confirmed => "confirmed",
            Progress::Unknown => "unknown",
        }
    }
}

/// What was known of a task when it was taken for gone.
#[derive(Clone, Copy, Debug)]
pub(super) struct Removed {
    pub(super) attempt: u64,
    /// The machine's token and session then.
    pub(super) token: u64,
    pub(super) session: u64,
    pub(super) state: TaskState,
    pub(super) progress: Progress,
}

impl Removed {
    fn of(machine: &Machine, task: &TaskOn, own: bool) -> Removed {
        Removed {
            attempt: task.attempt,
            token: machine.row.token,
            session: machine.session,
            state: task.state,
            progress: Progress::of(task, own && machine.resolved),
        }
    }
}

impl Controller {
    /// How often tasks that had not ended were taken for gone on this ground.
    pub fn removals(&self, ground: Removal) -> u64 {
        self.removals.get(&ground).copied().unwrap_or(0)
    }

    /// Logs, counts and keeps the tasks that are on a machine no more, but for those that had ended there.
    pub(super) fn note_removals(&mut self, name: &str, before: &BTreeMap<TaskId, TaskOn>, ground: Removal) {
        let Some(machine) = self.machines.get(name) else { return };
        let own = self.owns(machine);
        let gone = |(id, task): &(&TaskId, &TaskOn)| !task.ended() && !machine.tasks.contains_key(*id);
        let removed: Vec<(&TaskId, Removed)> =
            before.iter().filter(gone).map(|(id, task)| (id, Removed::of(machine, task, own))).collect();
        if removed.is_empty() {
            return;
        }
        *self.removals.entry(ground).or_default() += removed.len() as u64;
        // The line of what the holder said, or of a machine that has left the records, is in its holder's log.
        let holder_logs = !own && self.nodes.get(&machine.row.owner) == Some(&machine.row.registration);
        let elsewhere = ground == Removal::HolderSaid || ground == Removal::MachineGone && holder_logs;
        for (id, removed) in removed {
            log_removal(name, id, removed, ground, elsewhere);
            self.keep_conclusion(name, id, removed, ground);
        }
    }
}

/// `elsewhere`: another controller's log has the same conclusion.
fn log_removal(machine: &str, id: &TaskId, removed: Removed, ground: Removal, elsewhere: bool) {
    let Removed { attempt, token, session, state, progress } = removed;
    let (task, start, ground_name) = (id.text(), progress.name(), ground.name());
    if elsewhere {
        tracing::debug!(task, attempt, machine, token, session, ?state, start, ground = ground_name, "gone");
    } else {
        tracing::info!(task, attempt, machine, token, session, ?state, start, ground = ground_name, "gone");
    }
}
