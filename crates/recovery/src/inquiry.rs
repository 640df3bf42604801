//! The queries of a controller that takes over jobs: what may be on machines that are not fully known.

use std::collections::BTreeSet;

use marblewalk_units::Micros;

/// Time after a query before the next one is sent, if machines are still unresolved.
const ASK_AGAIN: Micros = Micros::from_secs(1);

/// Queries about unresolved machines during one takeover, and the machines on which witnesses have reported.
///
/// A *witness* is any other controller that knows every task that may be on a machine, whether or not it holds the
/// machine. Its answer counts only if the query was sent after every other controller had reported that all it
/// announced before it applied the present view is confirmed: an earlier answer may lack a start that the witness
/// has confirmed since.
#[derive(Debug, Default)]
pub struct Inquiry {
    asked: u64,
    /// The first query of the present takeover: answers to earlier ones prove nothing.
    first: Option<u64>,
    at: Micros,
    covered: BTreeSet<String>,
}

impl Inquiry {
    /// Starts a takeover under a new view: no witness has reported yet.
    pub fn begin(&mut self) {
        self.first = None;
        self.covered.clear();
    }

    /// The target of a query if one is due now. The first query goes to a single witness.
    pub fn due(&self, now: Micros) -> Option<Question> {
        match self.first {
            None => Some(Question::OfOne),
            Some(_) if now.since(self.at) >= ASK_AGAIN => Some(Question::OfAll),
            Some(_) => None,
        }
    }

    /// Notes that a query is sent, and returns its number.
    pub fn ask(&mut self, now: Micros) -> u64 {
        self.asked += 1;
        self.at = now;
        self.first.get_or_insert(self.asked);
        self.asked
    }

    /// Whether an answer to this query counts for the present takeover.
    pub fn counts(&self, question: u64) -> bool {
        self.first.is_some_and(|first| question >= first)
    }

    /// Notes that a witness has reported every task that may be on a machine.
    pub fn cover(&mut self, machine: &str) {
        self.covered.insert(machine.to_owned());
    }

    pub fn covers(&self, machine: &str) -> bool {
        self.covered.contains(machine)
    }
}

/// The receivers of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// One controller, if possible one that was a member before this view.
    OfOne,
    /// Every other controller: one that knows one machine need not know another.
    OfAll,
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against taking an answer for complete that was given before all announcements were confirmed.
    #[test]
    fn answers_to_questions_of_an_earlier_view_count_for_nothing() {
        let mut inquiry = Inquiry::default();
        inquiry.begin();
        assert!(!inquiry.counts(0) && !inquiry.counts(1));
        assert_eq!(inquiry.due(Micros::ZERO), Some(Question::OfOne));
        let first = inquiry.ask(Micros::ZERO);
        assert!(inquiry.counts(first) && inquiry.due(Micros::from_millis(900)).is_none());
        assert_eq!(inquiry.due(Micros::from_secs(1)), Some(Question::OfAll));
        let second = inquiry.ask(Micros::from_secs(1));
        assert!(inquiry.counts(first) && inquiry.counts(second));
        inquiry.cover("m");
        assert!(inquiry.covers("m") && !inquiry.covers("n"));
        inquiry.begin();
        assert!(!inquiry.counts(second) && !inquiry.covers("m"));
        let third = inquiry.ask(Micros::from_secs(2));
        assert!(inquiry.counts(third) && !inquiry.counts(second));
    }
}
