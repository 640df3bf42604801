//! Orders to forget ended attempts.
//!
//! A worker keeps an ended attempt in its reports until it is ordered to forget it. While it knows the attempt, a
//! repeated start of it has no effect; afterwards the start is carried out like a new one. The network may deliver a
//! direct call once more, minutes after it was answered, and the worker accepts it as long as it has seen no higher
//! token in the same session.
//!
//! So an attempt is forgotten only by an answer whose token is above that of every direct call that may have carried
//! its start: the worker takes the token and the order together, or neither. An owner raises the token within the range
//! of its grant, without a write to the state service. Answers to reports need no such care, since a worker drops those
//! that come late.
//!
//! Should an attempt run again after its end all the same, its machine shows a task that its owner cannot have ordered.
//! Such a task is stopped at once; until it has ended, it counts like any other task on the machine.

use std::collections::BTreeSet;

use crate::coordination::Controller;
use crate::coordination::model::{Machine, PlacedTask};
use crate::protocol::units::Micros;
use crate::protocol::worker::{Cause, Report, ReportedTask, TaskId, TaskState};

/// How many completed attempts stay in a worker's reports before a new grant is requested to forget them. A report has
/// room for about a thousand tasks.
const MAX_COMPLETED_AWAITING_GRANT: usize = 64;

impl Machine {
    /// Whether a token belongs to the present grant and has been used by its owner.
    pub(super) fn has_used_token(&self, token: u64) -> bool {
        (self.row.token..=self.token).contains(&token)
    }

    /// Raises the token of the orders to this machine; returns whether the grant had a higher one.
    fn raise_token(&mut self) -> bool {
        let raised = self.token < self.row.last_token();
        if raised {
            self.token += 1;
            tracing::debug!(machine = self.row.machine, token = self.token, "fencing token raised");
        }
        raised
    }
}

impl PlacedTask {
    /// Whether a worker that has seen this token rejects every direct call that may have carried the task's start.
    fn is_fenced_by(&self, token: u64) -> bool {
        self.highest_call_token.is_none_or(|sent| sent < token)
    }
}

impl Controller {
    /// The ended tasks that the answer to a machine's report orders to forget. Raises the token of the answer if that
    /// is necessary for one of them.
    pub(super) fn tasks_to_forget(&mut self, name: &str) -> BTreeSet<TaskId> {
        let Some(machine) = self.machines.get(name).filter(|m| !m.token_renewal_needed) else {
            return BTreeSet::new();
        };
        // A task that is forgotten while its start may still arrive would run again.
        let ended = machine
            .tasks
            .iter()
            .filter(|(id, t)| t.ended() && self.may_forget(id, t) && !machine.starts_in_call.contains(id));
        let ended: Vec<(&TaskId, &PlacedTask)> = ended.collect();
        let unfenced = || ended.iter().filter(|(_, t)| !t.is_fenced_by(machine.token));
        let must_run_again = unfenced().any(|(_, t)| t.cause != Some(Cause::Done));
        let (waiting, in_call) = (unfenced().count(), machine.call_in_flight);
        let fenced = ended.iter().filter(|(_, t)| t.is_fenced_by(machine.token));
        let fenced = fenced.map(|(id, _)| (*id).clone()).collect();
        // A call in flight would be rejected under the token that it was sent with.
        if waiting == 0 || in_call {
            return fenced;
        }
        let all = ended.iter().map(|(id, _)| (*id).clone()).collect();
        let Some(machine) = self.machines.get_mut(name) else { return fenced };
        if machine.raise_token() {
            return all;
        }
        if must_run_again || waiting > MAX_COMPLETED_AWAITING_GRANT {
            machine.token_renewal_needed = true;
            self.schedule_status();
        }
        fenced
    }

    /// Whether a message of an own machine shows an attempt that no order under the present grant can have started: in
    /// the same session it had ended, or all tasks there were known and it was not among them.
    pub(super) fn is_unexpected(
        machine: &Machine,
        report: &Report,
        id: &TaskId,
        shown: &ReportedTask,
    ) -> bool {
        let ended_before = |known: &PlacedTask| known.attempt == shown.attempt && known.ended();
        report.token >= machine.row.token
            && report.session == machine.session
            && shown.state != TaskState::Ended
            && machine.tasks.get(id).map_or(machine.resolved, ended_before)
    }

    /// Stops tasks that a machine has shown and that no order can have started.
    pub(super) fn stop_unexpected_tasks(&mut self, name: &str, unexpected: &[TaskId]) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let (token, session) = (machine.token, machine.session);
        for id in unexpected {
            let Some(task) = machine.tasks.get_mut(id) else { continue };
            task.stop_grace = Some(Micros::ZERO);
            self.counters.unexpected_tasks += 1;
            let (attempt, state) = (task.attempt, task.state);
            tracing::warn!(
                machine = name,
                token,
                session,
                task = id.text(),
                attempt,
                ?state,
                "task stopped: it runs though it had ended or was never started"
            );
        }
    }

    /// Whether the worker may forget an ended task: a completion must be stored first.
    fn may_forget(&self, id: &TaskId, task: &PlacedTask) -> bool {
        match task.cause {
            Some(Cause::Done) => self.is_stored(id),
            _ => true,
        }
    }
}
