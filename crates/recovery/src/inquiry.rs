//! The asking side: what a controller that has just joined is told of machines before it goes on.

use std::collections::BTreeSet;

use marblewalk_units::Micros;

/// How long after a question that leaves machines open the next is put.
const ASK_AGAIN: Micros = Micros::from_secs(1);

/// Questions about open machines during one takeover, and the machines that witnesses have covered.
///
/// A *witness* is any other controller that knows all that may be on a machine, whether it holds it or
/// not. What it answers counts only if it was asked after every other controller had said that all it
/// announced before it took on the present view is confirmed: an earlier answer may lack a start that
/// the witness has confirmed since.
#[derive(Debug, Default)]
pub struct Inquiry {
    asked: u64,
    /// The first question of the present takeover: answers to earlier ones prove nothing.
    first: Option<u64>,
    at: Micros,
    covered: BTreeSet<String>,
}

impl Inquiry {
    /// Jobs are taken over with a new view: nothing has been told yet.
    pub fn begin(&mut self) {
        self.first = None;
        self.covered.clear();
    }

    /// Whether to ask now. `first`: nobody has been asked yet, so one witness is enough to try.
    pub fn due(&self, now: Micros) -> Option<Question> {
        match self.first {
            None => Some(Question::OfOne),
            Some(_) if now.since(self.at) >= ASK_AGAIN => Some(Question::OfAll),
            Some(_) => None,
        }
    }

    /// A question is put; its number.
    pub fn ask(&mut self, now: Micros) -> u64 {
        self.asked += 1;
        self.at = now;
        self.first.get_or_insert(self.asked);
        self.asked
    }

    /// Whether an answer to this question counts for the present takeover.
    pub fn counts(&self, question: u64) -> bool {
        self.first.is_some_and(|first| question >= first)
    }

    /// A witness has told all that may be on a machine.
    pub fn cover(&mut self, machine: &str) {
        self.covered.insert(machine.to_owned());
    }

    pub fn covers(&self, machine: &str) -> bool {
        self.covered.contains(machine)
    }
}

/// Whom a question goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// One that has been there for long, if any has.
    OfOne,
    /// Everyone: who knows one machine need not know another.
    OfAll,
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against taking for complete what was said before everybody's debts were paid.
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
