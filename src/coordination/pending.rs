//! Starts that their machines have not confirmed, and whether they may still arrive there.
//!
//! A task may be started on another machine only when an earlier start of it will certainly not be carried out. A start can be
//! on its way twice at a time, in a direct call and in the answer to a report, so what has become of one of them proves
//! nothing of the other. All conclusions from calls, answers and workers' messages are drawn here.

use crate::coordination::quota::Permit;

/// A start that the machine has not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Pending {
    /// Not sent yet; sent only while its permit holds.
    Planned(Permit),
    /// Sent in the answer to this report.
    Sent { session: u64, tally: u64 },
    /// Sent to the worker's address under this token, to this session. Unless the worker says so it
    /// may arrive minutes later, as long as both still hold.
    Direct {
        session: u64,
        token: u64,
        /// By which it is planned again if the call was certainly not carried out.
        permit: Permit,
        /// The last report whose answer repeated it.
        repeated: Option<u64>,
    },
}

/// What a message of a worker's proves about orders that are on their way to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heard {
    /// The worker's session when it wrote the message.
    pub session: u64,
    /// The highest token that it had seen.
    pub token: u64,
    /// The message is the reply to a direct call. It may overtake the answer to the worker's last report.
    pub direct: bool,
}

impl Pending {
    /// Whether the start has left its controller.
    pub fn sent(self) -> bool {
        !matches!(self, Pending::Planned(_))
    }

    /// Repeats a start that a direct call has taken along in the answer to this report, if that does no harm: not under a
    /// newer token than the call's, for a reply to that token may show that it never arrived while the answer is on its way.
    pub fn repeat(&mut self, tally: u64, current_token: u64) -> bool {
        match self {
            Pending::Direct { token, repeated, .. } if *token == current_token => {
                *repeated = Some(tally);
                true
            }
            _ => false,
        }
    }

    /// The direct call that took the start along was certainly not carried out: it is planned again, unless the answer to a
    /// report has taken it along as well.
    pub fn call_failed(self) -> Pending {
        match self {
            Pending::Direct { session, repeated: Some(tally), .. } => Pending::Sent { session, tally },
            Pending::Direct { permit, repeated: None, .. } => Pending::Planned(permit),
            other => other,
        }
    }

    /// Whether an answer to a report has taken along what a direct call had.
    pub fn answered_too(self) -> bool {
        matches!(self, Pending::Direct { repeated: Some(_), .. })
    }

    /// Whether the start may still be made though a worker's message does not show the task.
    ///
    /// What was sent in an earlier answer that a report does not show will not happen any more: the worker has one report in
    /// flight and drops answers of earlier ones. What was sent directly may arrive as long as the worker has seen no newer
    /// token and begun no newer session.
    pub fn may_arrive(self, heard: Heard) -> bool {
        match self {
            Pending::Planned(_) => true,
            Pending::Sent { session, .. } => heard.direct && session == heard.session,
            Pending::Direct { session, token, .. } => session == heard.session && heard.token <= token,
        }
    }
}

#[cfg(test)]
mod tests;
