//! Tracks which announced starts may be ordered.

use std::collections::{BTreeMap, BTreeSet};

use marblewalk_units::Micros;

use crate::Incarnation;

/// How long an uninformed controller must have confirmed everything before starts wait for it again.
const REINSTATE_AFTER: Micros = Micros::from_secs(2);

/// What one controller has confirmed.
#[derive(Debug, Default)]
struct PeerConfirmation {
    /// The number up to which it has confirmed all messages.
    confirmed: u64,
    /// Since when an announcement is unconfirmed.
    unconfirmed_since: Option<Micros>,
    /// Since when every announcement is confirmed.
    all_confirmed_since: Micros,
}

/// Announced starts, and the controllers that have confirmed them.
///
/// An announcement is numbered by the message that carries it. The caller keeps the *record* of uninformed controllers
/// in the state service. The record is changed before starts rely on the change.
#[derive(Debug, Default)]
pub struct Announcements {
    peers: BTreeMap<Incarnation, PeerConfirmation>,
    /// Controllers recorded as uninformed, and since when the record has been in force: starts do not wait for them.
    uninformed: BTreeMap<Incarnation, Micros>,
    last_announced: u64,
    /// Revision of the view that was applied last, and the number of the last announcement before it.
    current_view: (u64, u64),
}

impl Announcements {
    /// Creates a state without announcements and without uninformed controllers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the other controllers that may take over jobs. One that is new has all announcements still to confirm.
    /// `revision`: of the view that names them.
    pub fn set_members(
        &mut self,
        now: Micros,
        revision: u64,
        members: impl IntoIterator<Item = Incarnation>,
    ) {
        self.current_view = (revision, self.last_announced);
        let members: BTreeSet<Incarnation> = members.into_iter().collect();
        self.peers.retain(|incarnation, _| members.contains(incarnation));
        let last = self.last_announced;
        for incarnation in members {
            self.peers.entry(incarnation).or_insert_with(|| PeerConfirmation {
                confirmed: 0,
                unconfirmed_since: (last > 0).then_some(now),
                all_confirmed_since: now,
            });
        }
    }

    /// Notes that the message with this number announces starts.
    pub fn announced(&mut self, now: Micros, number: u64) {
        self.last_announced = self.last_announced.max(number);
        for peer in self.peers.values_mut() {
            peer.unconfirmed_since.get_or_insert(now);
        }
    }

    /// Notes that a controller has processed all messages up to this number.
    pub fn confirmed(&mut self, now: Micros, by: &Incarnation, number: u64) {
        if let Some(peer) = self.peers.get_mut(by) {
            peer.confirmed = peer.confirmed.max(number);
            if peer.confirmed >= self.last_announced && peer.unconfirmed_since.take().is_some() {
                peer.all_confirmed_since = now;
            }
        }
    }

    /// The message number up to which announced starts may be ordered.
    pub fn confirmed_through(&self) -> u64 {
        let waited_for =
            self.peers.iter().filter(|(incarnation, _)| !self.uninformed.contains_key(*incarnation));
        waited_for.map(|(_, peer)| peer.confirmed).min().unwrap_or(u64::MAX)
    }

    /// The revision of the present view if every announcement before it is confirmed, or known to be missing by the
    /// controllers that have not confirmed it; else 0.
    ///
    /// A controller that receives this revision relies on what any other controller knows. So a controller for which
    /// starts do not wait must know that it is uninformed: once the record has been in force for `term`, it has either
    /// read the record or may not act any more.
    pub fn confirmed_before_view(&self, now: Micros, term: Micros) -> u64 {
        let (view, last) = self.current_view;
        let knows_it_is_uninformed = |incarnation: &Incarnation| {
            self.uninformed.get(incarnation).is_some_and(|since| now.since(*since) >= term)
        };
        let all_accounted_for = self
            .peers
            .iter()
            .all(|(incarnation, peer)| peer.confirmed >= last || knows_it_is_uninformed(incarnation));
        if all_accounted_for { view } else { 0 }
    }

    /// Whether a controller for which starts wait has not confirmed everything.
    pub fn has_unconfirmed(&self) -> bool {
        self.peers.iter().any(|(incarnation, peer)| {
            peer.unconfirmed_since.is_some() && !self.uninformed.contains_key(incarnation)
        })
    }

    /// The controllers recorded as uninformed.
    pub fn uninformed(&self) -> BTreeSet<Incarnation> {
        self.uninformed.keys().cloned().collect()
    }

    /// The controllers that the record should name: those already uninformed that are not to be waited for again yet,
    /// and those with an announcement unconfirmed for longer than `timeout`. None if the record is as it should be.
    pub fn desired_record(&self, now: Micros, timeout: Micros) -> Option<BTreeSet<Incarnation>> {
        let overdue =
            |peer: &PeerConfirmation| peer.unconfirmed_since.is_some_and(|since| now.since(since) > timeout);
        let reinstatable = |peer: &PeerConfirmation| {
            peer.unconfirmed_since.is_none() && now.since(peer.all_confirmed_since) > REINSTATE_AFTER
        };
        let desired: BTreeSet<Incarnation> = self
            .peers
            .iter()
            .filter(|(incarnation, peer)| {
                if self.uninformed.contains_key(*incarnation) { !reinstatable(peer) } else { overdue(peer) }
            })
            .map(|(incarnation, _)| incarnation.clone())
            .collect();
        // A controller that is no longer a member does not call for a change of the record.
        let current = self.uninformed.keys().filter(|incarnation| self.peers.contains_key(*incarnation));
        (!current.eq(desired.iter())).then_some(desired)
    }

    /// Notes that a record is about to be written. From now on starts wait for the controllers that it leaves out,
    /// since it may be in force at any moment.
    pub fn record_write_started(&mut self, record: &BTreeSet<Incarnation>) {
        self.uninformed.retain(|incarnation, _| record.contains(incarnation));
    }

    /// Notes that the record is in force: starts do not wait for the controllers that it names.
    pub fn record_committed(&mut self, now: Micros, record: &BTreeSet<Incarnation>) {
        self.record_write_started(record);
        for incarnation in record {
            self.uninformed.entry(incarnation.clone()).or_insert(now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// How long a controller may act without having read the changes.
    const LEASE_TERM: Micros = Micros::from_secs(15);

    fn incarnation(name: &str) -> Incarnation {
        (name.to_owned(), 1)
    }

    fn with_peers_b_and_c() -> Announcements {
        let mut a = Announcements::new();
        a.set_members(Micros::ZERO, 10, [incarnation("b"), incarnation("c")]);
        a
    }

    /// Guards the rule on which takeovers rely: no start is ordered before every controller that may take over knows
    /// it.
    #[test]
    fn a_start_is_ordered_when_all_have_confirmed_it() {
        let mut a = with_peers_b_and_c();
        a.announced(Micros::ZERO, 5);
        a.confirmed(Micros::ZERO, &incarnation("b"), 5);
        assert!(a.confirmed_through() < 5);
        a.confirmed(Micros::ZERO, &("c".to_owned(), 2), 5);
        assert!(a.confirmed_through() < 5, "the confirmation of another incarnation counted");
        a.confirmed(Micros::ZERO, &incarnation("c"), 6);
        assert!(a.confirmed_through() >= 5);
        a.set_members(Micros::ZERO, 20, [incarnation("b"), incarnation("c"), incarnation("d")]);
        assert!(a.confirmed_through() < 5, "a new controller has confirmed nothing yet");
        assert_eq!(
            a.confirmed_before_view(Micros::ZERO, LEASE_TERM),
            0,
            "announcements before the view are not confirmed"
        );
        a.confirmed(Micros::ZERO, &incarnation("c"), 7);
        a.announced(Micros::ZERO, 8);
        a.confirmed(Micros::ZERO, &incarnation("d"), 5);
        assert_eq!(
            a.confirmed_before_view(Micros::ZERO, LEASE_TERM),
            20,
            "a later announcement delayed the view"
        );
        a.set_members(Micros::ZERO, 30, []);
        assert_eq!(a.confirmed_through(), u64::MAX, "no other controller is left");
    }

    /// Guards against starts that are blocked by one controller, against relying on the record before it is in force,
    /// and against not waiting for a controller that the record no longer names.
    #[test]
    fn a_controller_that_does_not_confirm_is_recorded_before_starts_go_on() {
        let (mut a, second) = (with_peers_b_and_c(), Micros::from_secs(1));
        a.announced(Micros::ZERO, 1);
        a.confirmed(Micros::ZERO, &incarnation("b"), 1);
        assert_eq!(a.desired_record(Micros::ZERO, second), None);
        let record = a.desired_record(Micros::from_secs(2), second).unwrap();
        assert_eq!(record, [incarnation("c")].into());
        a.record_write_started(&record);
        assert!(a.confirmed_through() < 1, "the record is not in force yet");
        a.record_committed(Micros::from_secs(2), &record);
        assert_eq!(a.confirmed_through(), 1);
        assert_eq!(a.desired_record(Micros::from_secs(9), second), None);
        a.confirmed(Micros::from_secs(9), &incarnation("c"), 1);
        assert_eq!(a.desired_record(Micros::from_secs(10), second), None, "too soon");
        let record = a.desired_record(Micros::from_secs(12), second).unwrap();
        assert_eq!(record, BTreeSet::new());
        a.announced(Micros::from_secs(12), 2);
        a.confirmed(Micros::from_secs(12), &incarnation("b"), 2);
        assert_eq!(a.confirmed_through(), 2);
        a.record_write_started(&record);
        assert_eq!(a.confirmed_through(), 1, "the record may have been replaced already");
    }

    /// Guards a controller that has just joined against a witness that does not know that starts were ordered without
    /// it.
    #[test]
    fn a_view_is_confirmed_only_when_uninformed_controllers_know_that_they_are() {
        let (mut a, at) = (with_peers_b_and_c(), Micros::from_secs(2));
        a.announced(Micros::ZERO, 1);
        a.confirmed(Micros::ZERO, &incarnation("b"), 1);
        let record = [incarnation("c")].into();
        a.record_write_started(&record);
        a.record_committed(at, &record);
        a.set_members(at, 20, [incarnation("b"), incarnation("c")]);
        assert_eq!(a.confirmed_through(), 1, "c is waited for");
        assert_eq!(a.confirmed_before_view(at, LEASE_TERM), 0, "it may not have read the record");
        let both = [incarnation("b"), incarnation("c")].into();
        a.record_write_started(&both);
        a.record_committed(at + Micros::from_secs(1), &both);
        assert_eq!(
            a.confirmed_before_view(at + LEASE_TERM, LEASE_TERM),
            20,
            "a second record restarted the term of c"
        );
    }
}
