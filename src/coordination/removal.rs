//! Why a controller concludes that a task is not on a machine, or no longer is.
//!
//! A task may be started elsewhere only after such a conclusion, so each of them is logged and counted: should a task ever
//! run twice, the log names the conclusion that let it. Tasks that their machine had reported as ended are not concerned.

use std::collections::BTreeMap;

use crate::coordination::Controller;
use crate::coordination::model::{Machine, Pending, TaskOn};
use crate::protocol::worker::TaskId;

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

/// How far an unconfirmed start had come, as the log names it.
fn progress(task: &TaskOn) -> &'static str {
    match task.pending {
        None => "confirmed",
        Some(Pending::Planned(_)) => "planned",
        Some(Pending::Sent { .. }) => "answered",
        Some(Pending::Direct { repeated: None, .. }) => "called",
        Some(Pending::Direct { repeated: Some(_), .. }) => "called and answered",
    }
}

impl Controller {
    /// How often tasks that had not ended were taken for gone on this ground.
    pub fn removals(&self, ground: Removal) -> u64 {
        self.removals.get(&ground).copied().unwrap_or(0)
    }

    /// Logs and counts the tasks that are on a machine no more, but for those that had ended there.
    pub(super) fn note_removals(&mut self, name: &str, before: &BTreeMap<TaskId, TaskOn>, ground: Removal) {
        let Some(machine) = self.machines.get(name) else { return };
        let gone = |id: &TaskId, task: &TaskOn| !task.ended() && !machine.tasks.contains_key(id);
        let mut count = 0;
        for (id, task) in before.iter().filter(|(id, task)| gone(id, task)) {
            log_removal(machine, id, task, ground);
            count += 1;
        }
        if count > 0 {
            *self.removals.entry(ground).or_default() += count;
        }
    }
}

fn log_removal(machine: &Machine, id: &TaskId, task: &TaskOn, ground: Removal) {
    let (name, session) = (machine.row.machine.as_str(), machine.session);
    let (task_name, attempt, token) = (id.text(), task.attempt, machine.row.token);
    let (start, ground_name) = (progress(task), ground.name());
    if ground == Removal::HolderSaid {
        // The holder's own log has it as well.
        tracing::debug!(
            task = task_name,
            attempt,
            machine = name,
            token,
            session,
            start,
            ground = ground_name,
            "gone"
        );
    } else {
        tracing::info!(
            task = task_name,
            attempt,
            machine = name,
            token,
            session,
            start,
            ground = ground_name,
            "gone"
        );
    }
}
