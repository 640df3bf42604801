//! Detection of machines whose reports arrive but which no answer reaches (a one-way network partition).
//!
//! The network path to a machine may be cut while the path from it works: its reports arrive, but answers and commands
//! do not. The machine seems alive, but its lease expires, it begins a new session, and its tasks die, again and again.
//! That an answer was sent proves nothing; a later report shows whether it arrived:
//!
//! - it did not if the report has a lower token than the answer, or lacks a start that the answer ordered;
//! - no answer arrived if the report is of a later session although answers within the lease should have renewed the
//!   old one;
//! - it did if the report shows the token or the start. A reply to a direct call shows that the machine receives
//!   messages, too.
//!
//! A single answer may get lost; [`NOT_RECEIVING_AFTER`] in a row show a partition. This is a state machine without I/O
//! or clock, for one machine.

use marblewalk_units::Micros;

/// Answers lost in a row after which a machine counts as not receiving.
pub const NOT_RECEIVING_AFTER: u32 = 2;

/// A worker that got no answer sends no report for a second. A report that comes sooner was sent before the answer, and
/// delayed or duplicated on its way.
const MIN_UNANSWERED_REPORT_GAP: Micros = Micros::from_millis(900);

/// The last answer, to which later reports are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SentAnswer {
    at: Micros,
    session: u64,
    tally: u64,
    token: u64,
    /// It raised the token, so a report with that token proves that the answer arrived.
    raised_token: bool,
    /// It ordered starts.
    ordered_starts: bool,
}

/// Tracks whether answers arrive at one machine.
#[derive(Clone, Debug, Default)]
pub struct DeliveryMonitor {
    last_answer: Option<SentAnswer>,
    lost_answers: u32,
    not_receiving_since: Option<Micros>,
}

/// What a report shows of the answer before it.
#[derive(Clone, Copy, Debug)]
pub struct ReportedState {
    pub session: u64,
    pub tally: u64,
    pub token: u64,
    /// At least one of the starts that the last answer ordered is listed, in any state.
    pub lists_start: bool,
}

impl DeliveryMonitor {
    /// Records that a report was answered with orders. `shown`: what that report showed.
    pub fn answered(&mut self, at: Micros, shown: ReportedState, token: u64, ordered_starts: bool) {
        let raised_token = token > shown.token;
        self.last_answer = Some(SentAnswer {
            at,
            session: shown.session,
            tally: shown.tally,
            token,
            raised_token,
            ordered_starts,
        });
    }

    /// Evaluates a newer report. `lease`: how long a session outlives the last answer that arrived.
    pub fn reported(&mut self, now: Micros, shown: ReportedState, lease: Micros) {
        let Some(answer) = self.last_answer.filter(|a| (shown.session, shown.tally) > (a.session, a.tally))
        else {
            return;
        };
        let missing = shown.token < answer.token || answer.ordered_starts && !shown.lists_start;
        if now.since(answer.at) < MIN_UNANSWERED_REPORT_GAP && (missing || shown.session > answer.session) {
            return;
        }
        self.last_answer = None;
        if shown.session > answer.session {
            // A new session has no start of the former one, and may have lost the token, so only the end of the session
            // is evidence. A report without the token may have been an old one itself, of a session that had already
            // ended.
            if now.since(answer.at) < lease {
                self.record_lost(now, if answer.raised_token { 1 } else { NOT_RECEIVING_AFTER });
            }
        } else if missing {
            self.record_lost(now, 1);
        } else if answer.raised_token || answer.ordered_starts {
            self.mark_receiving();
        }
    }

    fn record_lost(&mut self, now: Micros, answers: u32) {
        self.lost_answers += answers;
        if self.lost_answers >= NOT_RECEIVING_AFTER {
            self.not_receiving_since.get_or_insert(now);
        }
    }

    /// Records that the machine has replied to a direct call, or has shown that an answer arrived.
    pub fn mark_receiving(&mut self) {
        *self = DeliveryMonitor::default();
    }

    /// Drops the last answer: answers under a former grant are no evidence.
    pub fn grant_changed(&mut self) {
        self.last_answer = None;
    }

    /// Since when answers have not reached the machine, if it counts as not receiving.
    pub fn not_receiving_since(&self) -> Option<Micros> {
        self.not_receiving_since
    }

    pub fn is_not_receiving(&self) -> bool {
        self.not_receiving_since.is_some()
    }
}

#[cfg(test)]
mod tests;
