//! Detection of machines whose reports arrive but which no answer reaches (a one-way network partition).
//!
//! The network path to a machine may be cut while the path from it works: its reports arrive, but answers and commands
//! do not. The machine seems alive, but its lease expires, it begins a new session, and its tasks die, again and again.
//! That an answer was sent proves nothing; a later report shows whether it arrived:
//!
//! - it did not if the report has a lower token than the answer, or lacks a start that the answer ordered;
//! - no answer arrived if the report is of a later session although answers within the lease should have renewed the
//!   old one;
//! - it did if the report shows the token or the start. A reply to a direct call shows that the machine is reachable,
//!   too.
//!
//! A single answer may get lost; [`UNREACHABLE_AFTER`] in a row show a partition. This is a state machine without I/O
//! or clock, for one machine.

use marblewalk_units::Micros;

/// Answers lost in a row after which a machine counts as unreachable.
pub const DEAF: u32 = 2;

/// A worker that got no answer sends no report for a second. A report that comes sooner was sent before the answer, and
/// delayed or duplicated on its way.
const SOONEST: Micros = Micros::from_millis(900);

/// The last answer, to which later reports are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Answer {
    at: Micros,
    session: u64,
    tally: u64,
    token: u64,
    /// It raised the token, so a report with that token proves that the answer arrived.
    raised: bool,
    /// It ordered starts.
    starts: bool,
}

/// Tracks whether answers arrive at one machine.
#[derive(Clone, Debug, Default)]
pub struct Hearing {
    answer: Option<Answer>,
    lost: u32,
    deaf_since: Option<Micros>,
}

/// What a report shows of the answer before it.
#[derive(Clone, Copy, Debug)]
pub struct Shown {
    pub session: u64,
    pub tally: u64,
    pub token: u64,
    /// At least one of the starts that the last answer ordered is listed, in any state.
    pub start: bool,
}

impl Hearing {
    /// Records that a report was answered with orders. `shown`: what that report showed.
    pub fn answered(&mut self, at: Micros, shown: Shown, token: u64, starts: bool) {
        let raised = token > shown.token;
        self.answer = Some(Answer { at, session: shown.session, tally: shown.tally, token, raised, starts });
    }

    /// Evaluates a newer report. `lease`: how long a session outlives the last answer that arrived.
    pub fn reported(&mut self, now: Micros, shown: Shown, lease: Micros) {
        let Some(answer) = self.answer.filter(|a| (shown.session, shown.tally) > (a.session, a.tally)) else {
            return;
        };
        let missing = shown.token < answer.token || answer.starts && !shown.start;
        if now.since(answer.at) < SOONEST && (missing || shown.session > answer.session) {
            return;
        }
        self.answer = None;
        if shown.session > answer.session {
            // A new session has no start of the former one, and may have lost the token, so only the end of the session
            // is evidence. A report without the token may have been an old one itself, of a session that had already
            // ended.
            if now.since(answer.at) < lease {
                self.lose(now, if answer.raised { 1 } else { DEAF });
            }
        } else if missing {
            self.lose(now, 1);
        } else if answer.raised || answer.starts {
            self.hears();
        }
    }

    fn lose(&mut self, now: Micros, answers: u32) {
        self.lost += answers;
        if self.lost >= DEAF {
            self.deaf_since.get_or_insert(now);
        }
    }

    /// Records that the machine has replied to a direct call, or has shown that an answer arrived.
    pub fn hears(&mut self) {
        *self = Hearing::default();
    }

    /// Drops the last answer: answers under a former grant are no evidence.
    pub fn granted(&mut self) {
        self.answer = None;
    }

    /// Since when answers have not reached the machine, if it counts as unreachable.
    pub fn deaf_since(&self) -> Option<Micros> {
        self.deaf_since
    }

    pub fn deaf(&self) -> bool {
        self.deaf_since.is_some()
    }
}

#[cfg(test)]
mod tests;
