//! Tracks which announced starts may be ordered.

use std::collections::{BTreeMap, BTreeSet};

use marblewalk_units::Micros;

use crate::Life;

/// How long an uninformed controller must have confirmed everything before starts wait for it again.
const STEADY: Micros = Micros::from_secs(2);

#[derive(Debug, Default)]
struct Peer {
    confirmed: u64,
    /// Since when an announcement is unconfirmed.
    owes: Option<Micros>,
    /// Since when every announcement is confirmed.
    even: Micros,
}

/// Announced starts, and the controllers that have confirmed them.
///
/// An announcement is numbered by the message that carries it. The caller keeps the *record* of uninformed controllers
/// in the state service. The record is changed before starts rely on the change.
#[derive(Debug, Default)]
pub struct Announcements {
    peers: BTreeMap<Life, Peer>,
    /// Controllers recorded as uninformed, and since when the record has been in force: starts do not wait for them.
    excused: BTreeMap<Life, Micros>,
    last: u64,
    /// Revision of the view that was applied last, and the number of the last announcement before it.
    entered: (u64, u64),
}

impl Announcements {
    /// Creates a state without announcements and without uninformed controllers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the other controllers that may take over jobs. One that is new has all announcements still to confirm.
    /// `revision`: of the view that names them.
    pub fn members(&mut self, now: Micros, revision: u64, members: impl IntoIterator<Item = Life>) {
        self.entered = (revision, self.last);
        let members: BTreeSet<Life> = members.into_iter().collect();
        self.peers.retain(|life, _| members.contains(life));
        let last = self.last;
        for life in members {
            self.peers.entry(life).or_insert_with(|| Peer {
                confirmed: 0,
                owes: (last > 0).then_some(now),
                even: now,
            });
        }
    }

    /// Notes that the message with this number announces starts.
    pub fn announced(&mut self, now: Micros, number: u64) {
        self.last = self.last.max(number);
        for peer in self.peers.values_mut() {
            peer.owes.get_or_insert(now);
        }
    }

    /// Notes that a controller has processed all messages up to this number.
    pub fn confirmed(&mut self, now: Micros, by: &Life, number: u64) {
        if let Some(peer) = self.peers.get_mut(by) {
            peer.confirmed = peer.confirmed.max(number);
            if peer.confirmed >= self.last && peer.owes.take().is_some() {
                peer.even = now;
            }
        }
    }

    /// The message number up to which announced starts may be ordered.
    pub fn settled(&self) -> u64 {
        let relied_on = self.peers.iter().filter(|(life, _)| !self.excused.contains_key(*life));
        relied_on.map(|(_, peer)| peer.confirmed).min().unwrap_or(u64::MAX)
    }

    /// The revision of the present view if every announcement before it is confirmed, else 0.
    ///
    /// A controller that receives this revision relies on what any other controller knows. So a controller for which
    /// starts do not wait must know that it is uninformed: once the record has been in force for `term`, it has either
    /// read the record or may not act any more.
    pub fn cleared(&self, now: Micros, term: Micros) -> u64 {
        let (view, last) = self.entered;
        let knows_it = |life: &Life| self.excused.get(life).is_some_and(|since| now.since(*since) >= term);
        let accounted = self.peers.iter().all(|(life, peer)| peer.confirmed >= last || knows_it(life));
        if accounted { view } else { 0 }
    }

    /// Whether a controller for which starts wait has not confirmed everything.
    pub fn owed(&self) -> bool {
        self.peers.iter().any(|(life, peer)| peer.owes.is_some() && !self.excused.contains_key(life))
    }

    /// The controllers recorded as uninformed.
    pub fn excused(&self) -> BTreeSet<Life> {
        self.excused.keys().cloned().collect()
    }

    /// The controllers that the record should name: those already uninformed that are not to be waited for again yet,
    /// and those with an announcement unconfirmed for longer than `patience`. None if the record is as it should be.
    pub fn wanted_record(&self, now: Micros, patience: Micros) -> Option<BTreeSet<Life>> {
        let late = |peer: &Peer| peer.owes.is_some_and(|since| now.since(since) > patience);
        let steady = |peer: &Peer| peer.owes.is_none() && now.since(peer.even) > STEADY;
        let wanted: BTreeSet<Life> = self
            .peers
            .iter()
            .filter(|(life, peer)| if self.excused.contains_key(*life) { !steady(peer) } else { late(peer) })
            .map(|(life, _)| life.clone())
            .collect();
        // A controller that is no longer a member does not call for a change of the record.
        let stands = self.excused.keys().filter(|life| self.peers.contains_key(*life));
        (!stands.eq(wanted.iter())).then_some(wanted)
    }

    /// Notes that a record is about to be written. From now on starts wait for the controllers that it leaves out,
    /// since it may be in force at any moment.
    pub fn record_sent(&mut self, record: &BTreeSet<Life>) {
        self.excused.retain(|life, _| record.contains(life));
    }

    /// Notes that the record is in force: starts do not wait for the controllers that it names.
    pub fn record_holds(&mut self, now: Micros, record: &BTreeSet<Life>) {
        self.record_sent(record);
        for life in record {
            self.excused.entry(life.clone()).or_insert(now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// How long a controller may act without having read the changes.
    const TERM: Micros = Micros::from_secs(15);

    fn life(name: &str) -> Life {
        (name.to_owned(), 1)
    }

    fn two() -> Announcements {
        let mut a = Announcements::new();
        a.members(Micros::ZERO, 10, [life("b"), life("c")]);
        a
    }

    /// Guards the rule on which takeovers rely: no start is ordered before every controller that may take over knows
    /// it.
    #[test]
    fn a_start_is_ordered_when_all_have_confirmed_it() {
        let mut a = two();
        a.announced(Micros::ZERO, 5);
        a.confirmed(Micros::ZERO, &life("b"), 5);
        assert!(a.settled() < 5);
        a.confirmed(Micros::ZERO, &("c".to_owned(), 2), 5);
        assert!(a.settled() < 5, "another life's word counted");
        a.confirmed(Micros::ZERO, &life("c"), 6);
        assert!(a.settled() >= 5);
        a.members(Micros::ZERO, 20, [life("b"), life("c"), life("d")]);
        assert!(a.settled() < 5, "a new controller knows nothing yet");
        assert_eq!(a.cleared(Micros::ZERO, TERM), 0, "what was announced before the view is not confirmed");
        a.confirmed(Micros::ZERO, &life("c"), 7);
        a.announced(Micros::ZERO, 8);
        a.confirmed(Micros::ZERO, &life("d"), 5);
        assert_eq!(a.cleared(Micros::ZERO, TERM), 20, "a later announcement holds the answer back");
        a.members(Micros::ZERO, 30, []);
        assert_eq!(a.settled(), u64::MAX, "nobody is left to know");
    }

    /// Guards against starts that are blocked by one controller, against relying on the record before it is in force,
    /// and against not waiting for a controller that the record no longer names.
    #[test]
    fn one_that_does_not_confirm_is_recorded_before_it_is_left_out() {
        let (mut a, second) = (two(), Micros::from_secs(1));
        a.announced(Micros::ZERO, 1);
        a.confirmed(Micros::ZERO, &life("b"), 1);
        assert_eq!(a.wanted_record(Micros::ZERO, second), None);
        let record = a.wanted_record(Micros::from_secs(2), second).unwrap();
        assert_eq!(record, [life("c")].into());
        a.record_sent(&record);
        assert!(a.settled() < 1, "the record does not hold yet");
        a.record_holds(Micros::from_secs(2), &record);
        assert_eq!(a.settled(), 1);
        assert_eq!(a.wanted_record(Micros::from_secs(9), second), None);
        a.confirmed(Micros::from_secs(9), &life("c"), 1);
        assert_eq!(a.wanted_record(Micros::from_secs(10), second), None, "too soon");
        let record = a.wanted_record(Micros::from_secs(12), second).unwrap();
        assert_eq!(record, BTreeSet::new());
        a.announced(Micros::from_secs(12), 2);
        a.confirmed(Micros::from_secs(12), &life("b"), 2);
        assert_eq!(a.settled(), 2);
        a.record_sent(&record);
        assert_eq!(a.settled(), 1, "the record may be gone already");
    }

    /// Guards a controller that has just joined against a witness that does not know that starts were ordered without
    /// it.
    #[test]
    fn what_one_was_not_told_is_cleared_only_when_it_must_have_read_so() {
        let (mut a, at) = (two(), Micros::from_secs(2));
        a.announced(Micros::ZERO, 1);
        a.confirmed(Micros::ZERO, &life("b"), 1);
        let record = [life("c")].into();
        a.record_sent(&record);
        a.record_holds(at, &record);
        a.members(at, 20, [life("b"), life("c")]);
        assert_eq!(a.settled(), 1, "it is waited for");
        assert_eq!(a.cleared(at, TERM), 0, "it may not have read the record");
        let both = [life("b"), life("c")].into();
        a.record_sent(&both);
        a.record_holds(at + Micros::from_secs(1), &both);
        assert_eq!(a.cleared(at + TERM, TERM), 20, "another record has taken its time away");
    }
}
