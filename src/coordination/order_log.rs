//! Log lines of the orders to workers: for each the token, session and message that carry it, what allowed it, and what
//! its controller knew. A timeline can be rebuilt from them (`docs/operations.md`).

use crate::coordination::Controller;
use crate::coordination::model::{Machine, PlacedTask};
use crate::protocol::worker::TaskId;

/// Why a task is stopped.
#[derive(Clone, Copy, Debug)]
pub(super) enum StopReason {
    /// Its job has no live record.
    JobEnded,
    /// To make room, to drain its machine, or because its gang is stopped.
    Requested,
}

/// What a controller knew when it gave orders.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnowledgeStamp {
    /// Revision of the records up to which it had applied the changes.
    applied_revision: u64,
    /// Age of the older of its last lease renewal and its last request for changes.
    age_ms: u64,
}

/// The message in which orders are sent to a worker.
#[derive(Debug)]
pub(super) struct OrderLog<'a> {
    machine: &'a str,
    token: u64,
    session: u64,
    /// Number of the report whose answer carries the orders; none for a direct call.
    tally: Option<u64>,
    knowledge: KnowledgeStamp,
}

impl<'a> OrderLog<'a> {
    /// Orders to a machine in a direct call, or in the answer to the report `tally`.
    pub(super) fn new(
        name: &'a str,
        machine: &Machine,
        session: u64,
        tally: Option<u64>,
        knowledge: KnowledgeStamp,
    ) -> Self {
        OrderLog { machine: name, token: machine.token, session, tally, knowledge }
    }

    /// Logs a start. Other controllers have confirmed the status that announced it, as far as they must.
    pub(super) fn start(&self, id: &TaskId, task: &PlacedTask) {
        let OrderLog { machine, token, session, tally, knowledge } = *self;
        tracing::debug!(
            machine,
            token,
            session,
            ?tally,
            task = id.text(),
            attempt = task.attempt,
            announced_in = task.announced_in_status,
            applied = knowledge.applied_revision,
            knowledge_ms = knowledge.age_ms,
            "{}",
            if tally.is_some() { "start sent in answer" } else { "start sent in direct call" }
        );
    }

    /// Logs a stop.
    pub(super) fn stop(&self, id: &TaskId, task: &PlacedTask, reason: StopReason) {
        let OrderLog { machine, token, session, tally, knowledge } = *self;
        tracing::debug!(
            machine,
            token,
            session,
            ?tally,
            task = id.text(),
            attempt = task.attempt,
            ?reason,
            applied = knowledge.applied_revision,
            knowledge_ms = knowledge.age_ms,
            "{}",
            if tally.is_some() { "stop sent in answer" } else { "stop sent in direct call" }
        );
    }

    /// Logs an order to forget an ended attempt.
    pub(super) fn forget(&self, id: &TaskId, task: &PlacedTask) {
        let OrderLog { machine, token, session, tally, knowledge } = *self;
        tracing::debug!(
            machine,
            token,
            session,
            ?tally,
            task = id.text(),
            attempt = task.attempt,
            cause = ?task.cause,
            highest_call_token = ?task.highest_call_token,
            applied = knowledge.applied_revision,
            knowledge_ms = knowledge.age_ms,
            "forget sent in answer"
        );
    }
}

impl Controller {
    /// What this controller knows now, for the log.
    pub(super) fn knowledge_stamp(&self) -> KnowledgeStamp {
        KnowledgeStamp { applied_revision: self.applied_revision, age_ms: self.knowledge_age().as_millis() }
    }
}
