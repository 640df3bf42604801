//! Tracks starts that their machines have not confirmed, and decides whether they may still be carried out.
//!
//! A task may be started on another machine only when an earlier start of it will certainly not be carried out. A start
//! may be in transit twice at the same time, in a direct call and in the answer to a report, so the outcome of one of
//! them proves nothing about the other. All conclusions from calls, answers and workers' messages are drawn here.

use crate::coordination::quota::Permit;

/// A start that the machine has not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PendingStart {
    /// Not sent yet. It is sent only while its permit is valid.
    Planned(Permit),
    /// Sent in the answer to the report with this number.
    SentInAnswer { session: u64, tally: u64 },
    /// Sent in a direct call to the worker, for this token and session. Until the worker confirms or rejects the call,
    /// it may arrive even minutes later, as long as the worker still has this token and session.
    SentDirectly {
        session: u64,
        token: u64,
        /// The permit to plan the start again with if the call was certainly not carried out.
        permit: Permit,
        /// The last report whose answer repeated the start.
        repeated: Option<u64>,
    },
}

/// The parts of a worker's message that show which orders in transit may still be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerMessage {
    /// The worker's session when it wrote the message.
    pub session: u64,
    /// The highest token that the worker had seen.
    pub token: u64,
    /// The message is the reply to a direct call, which may overtake the answer to the worker's last report.
    pub direct: bool,
}

impl PendingStart {
    /// Whether the start has been sent to the worker.
    pub fn is_sent(self) -> bool {
        !matches!(self, PendingStart::Planned(_))
    }

    /// Whether the answer to this report should repeat a start that a direct call contains; if so, notes the report.
    ///
    /// The start is repeated only under the call's token. Under a newer token, a worker's reply may show that the call
    /// never arrived while the answer that repeats the start is still in transit.
    pub fn repeat_in_answer(&mut self, tally: u64, current_token: u64) -> bool {
        match self {
            PendingStart::SentDirectly { token, repeated, .. } if *token == current_token => {
                *repeated = Some(tally);
                true
            }
            _ => false,
        }
    }

    /// The state after the direct call that contained the start was certainly not carried out: planned again, unless
    /// the answer to a report contained the start as well.
    pub fn after_failed_call(self) -> PendingStart {
        match self {
            PendingStart::SentDirectly { session, repeated: Some(tally), .. } => {
                PendingStart::SentInAnswer { session, tally }
            }
            PendingStart::SentDirectly { permit, repeated: None, .. } => PendingStart::Planned(permit),
            other => other,
        }
    }

    /// Whether an answer to a report has repeated a start that a direct call contains.
    pub fn is_also_in_answer(self) -> bool {
        matches!(self, PendingStart::SentDirectly { repeated: Some(_), .. })
    }

    /// Whether the start may still be carried out although a worker's message does not show the task.
    ///
    /// A start sent in an answer that a later report does not show will not be carried out any more: the worker has one
    /// report in flight and drops the answers to earlier ones. A start sent directly may arrive as long as the worker
    /// has seen no newer token and begun no newer session.
    pub fn may_arrive(self, message: WorkerMessage) -> bool {
        match self {
            PendingStart::Planned(_) => true,
            PendingStart::SentInAnswer { session, .. } => message.direct && session == message.session,
            PendingStart::SentDirectly { session, token, .. } => {
                session == message.session && message.token <= token
            }
        }
    }
}

#[cfg(test)]
mod tests;
