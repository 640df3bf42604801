//! The queries of a controller that takes over jobs: what may be on machines that are not fully known.

use std::collections::BTreeSet;

use marblewalk_units::Micros;

/// Time after a query before the next one is sent, if machines are still unresolved.
const QUERY_INTERVAL: Micros = Micros::from_secs(1);

/// Queries about unresolved machines during one takeover, and the machines on which witnesses have reported.
///
/// A *witness* is any other controller that knows every task that may be on a machine, whether or not it owns the
/// machine. Its answer counts only if the query was sent after every other controller had reported that all it
/// announced before it applied the present view is confirmed: an earlier answer may lack a start that the witness
/// has confirmed since.
#[derive(Debug, Default)]
pub struct WitnessQueries {
    last_query: u64,
    /// The first query of the present takeover: answers to earlier ones prove nothing.
    first_query: Option<u64>,
    last_query_at: Micros,
    covered_machines: BTreeSet<String>,
}

impl WitnessQueries {
    /// Starts a takeover under a new view: no witness has reported yet.
    pub fn begin(&mut self) {
        self.first_query = None;
        self.covered_machines.clear();
    }

    /// The target of a query if one is due now. The first query goes to a single witness.
    pub fn next_target(&self, now: Micros) -> Option<QueryTarget> {
        match self.first_query {
            None => Some(QueryTarget::One),
            Some(_) if now.since(self.last_query_at) >= QUERY_INTERVAL => Some(QueryTarget::All),
            Some(_) => None,
        }
    }

    /// Notes that a query is sent, and returns its number.
    pub fn record_query(&mut self, now: Micros) -> u64 {
        self.last_query += 1;
        self.last_query_at = now;
        self.first_query.get_or_insert(self.last_query);
        self.last_query
    }

    /// Whether an answer to this query counts for the present takeover.
    pub fn is_current(&self, query: u64) -> bool {
        self.first_query.is_some_and(|first| query >= first)
    }

    /// Notes that a witness has reported every task that may be on a machine.
    pub fn mark_covered(&mut self, machine: &str) {
        self.covered_machines.insert(machine.to_owned());
    }

    /// Whether a witness has reported on the machine in the present takeover.
    pub fn is_covered(&self, machine: &str) -> bool {
        self.covered_machines.contains(machine)
    }
}

/// The receivers of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryTarget {
    /// One controller, if possible one that was a member before this view.
    One,
    /// Every other controller: one that knows one machine need not know another.
    All,
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against taking an answer for complete that was given before all announcements were confirmed.
    #[test]
    fn answers_to_queries_of_an_earlier_takeover_do_not_count() {
        let mut queries = WitnessQueries::default();
        queries.begin();
        assert!(!queries.is_current(0) && !queries.is_current(1));
        assert_eq!(queries.next_target(Micros::ZERO), Some(QueryTarget::One));
        let first = queries.record_query(Micros::ZERO);
        assert!(queries.is_current(first) && queries.next_target(Micros::from_millis(900)).is_none());
        assert_eq!(queries.next_target(Micros::from_secs(1)), Some(QueryTarget::All));
        let second = queries.record_query(Micros::from_secs(1));
        assert!(queries.is_current(first) && queries.is_current(second));
        queries.mark_covered("m");
        assert!(queries.is_covered("m") && !queries.is_covered("n"));
        queries.begin();
        assert!(!queries.is_current(second) && !queries.is_covered("m"));
        let third = queries.record_query(Micros::from_secs(2));
        assert!(queries.is_current(third) && !queries.is_current(second));
    }
}
