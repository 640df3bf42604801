//! Tracks, from the announcements of other controllers, on which machines every possible task is known.

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashMap;

use crate::{Incarnation, MessagePosition};

/// Result of checking a message's number against those received before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceCheck {
    /// No message is missing: the message may be confirmed.
    Contiguous,
    /// A message is missing: the sender must send its full state again.
    Gap,
}

/// State of the messages received from one incarnation of another controller.
#[derive(Debug, Default)]
struct MessageStream {
    /// Position of the newest message received.
    newest_position: MessagePosition,
    last_number: u64,
    contiguous: bool,
    /// Revision of the state service up to which the sender had followed the records, by its last message.
    applied_revision: u64,
    /// Its record lists this controller as uninformed: it does not wait for this controller's confirmation.
    uninformed: bool,
    /// Its registration has ended. No further message of it is confirmed, so it can't order a start that this
    /// controller does not know of, unless it has recorded this controller as uninformed.
    ended: bool,
}

/// What is known of one machine.
#[derive(Debug, Default)]
struct MachineState {
    /// At some point everything on the machine was known; the other fields track what may be unknown since.
    baseline_known: bool,
    /// Revision of the record from which this controller learned of the machine, if the machine had an owner by then.
    /// The owners before that revision are unknown.
    first_record_revision: u64,
    /// Incarnations that have owned the machine since, the present owner last.
    owners: Vec<Incarnation>,
    /// Owners that may have announced something in a missed message since their last status of the machine. The value
    /// is true if such a start may have been ordered all the same, because the owner did not wait for this
    /// controller's confirmation when the message was missed.
    missed_announcements: BTreeMap<Incarnation, bool>,
}

/// Tracks on which machines every task that may be there is known.
///
/// A machine is *fully known* when the tasks that the caller has recorded for it include all that may be there: at some
/// point everything on it was known, and no owner since then has ordered a start without announcing it. The caller
/// records a task when it is announced, and removes it only when the owner reports the machine as resolved and
/// without that task.
#[derive(Debug, Default)]
pub struct MachineKnowledge {
    /// Revision from which the other controllers wait for this controller's confirmation, once they have seen it.
    member_since: Option<u64>,
    /// Revision from which this controller has seen every change of the records.
    loaded_revision: u64,
    streams: BTreeMap<Incarnation, MessageStream>,
    machines: FxHashMap<String, MachineState>,
}

impl MachineKnowledge {
    /// Creates a state in which nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the records were loaded as of this revision. Later changes are followed.
    pub fn records_loaded(&mut self, revision: u64) {
        self.loaded_revision = revision;
    }

    /// Notes that an incarnation has ended: its registration was removed or replaced by a newer one.
    pub fn incarnation_ended(&mut self, incarnation: &Incarnation) {
        self.streams.entry(incarnation.clone()).or_default().ended = true;
    }

    /// Sets the revision at which this controller became a member that may take over jobs; none if it is not one.
    pub fn set_member_since(&mut self, revision: Option<u64>) {
        self.member_since = revision;
    }

    /// Whether a message is newer than all messages received from its sender. An older one must be dropped: it may lack
    /// what was announced since, and would be taken as proof that nothing was.
    pub fn is_newest(&mut self, from: &Incarnation, position: MessagePosition) -> bool {
        let stream = self.streams.entry(from.clone()).or_default();
        let is_newer = position > stream.newest_position;
        stream.newest_position = stream.newest_position.max(position);
        is_newer
    }

    /// Checks the number of a received message. `full`: the message lists all of the sender's machines.
    pub fn message_received(
        &mut self,
        from: &Incarnation,
        number: u64,
        full: bool,
        applied_revision: u64,
    ) -> SequenceCheck {
        let stream = self.streams.entry(from.clone()).or_default();
        let next = stream.contiguous && number == stream.last_number + 1;
        let breaks = stream.contiguous && !next && !full;
        stream.contiguous = full || next;
        stream.last_number = number;
        stream.applied_revision = stream.applied_revision.max(applied_revision);
        let (contiguous, uninformed) = (stream.contiguous, stream.uninformed);
        if breaks || full && !next {
            self.mark_gap(from, uninformed);
        }
        if contiguous { SequenceCheck::Contiguous } else { SequenceCheck::Gap }
    }

    /// Sets whether another controller's record lists this one as uninformed.
    pub fn set_uninformed(&mut self, by: &Incarnation, is_uninformed: bool) {
        let stream = self.streams.entry(by.clone()).or_default();
        stream.uninformed = is_uninformed;
        if is_uninformed {
            // From now on the sender may order starts that it never announces here, also on machines it no longer
            // owns.
            stream.contiguous = false;
            self.mark_gap(by, true);
        }
    }

    /// Notes that announcements of this incarnation may have been missed. `ordered`: it may have ordered the starts.
    fn mark_gap(&mut self, incarnation: &Incarnation, ordered: bool) {
        for state in self.machines.values_mut().filter(|s| s.owners.contains(incarnation)) {
            *state.missed_announcements.entry(incarnation.clone()).or_default() |= ordered;
        }
    }

    /// Notes a grant. A machine that has never had an owner is empty.
    pub fn machine_granted(&mut self, machine: &str, to: Option<Incarnation>) {
        match to {
            None => {
                let state = MachineState { baseline_known: true, ..MachineState::default() };
                self.machines.insert(machine.to_owned(), state);
            }
            Some(incarnation) => {
                let uninformed = self.streams.get(&incarnation).is_some_and(|stream| stream.uninformed);
                let state = self.machines.entry(machine.to_owned()).or_default();
                state.owners.retain(|owner| *owner != incarnation);
                if uninformed {
                    // It orders starts there without this controller, and may lose the machine before it next reports
                    // on it.
                    *state.missed_announcements.entry(incarnation.clone()).or_default() = true;
                }
                state.owners.push(incarnation);
            }
        }
    }

    /// Adds a machine of which this controller learns from a record of this revision, which names an owner.
    pub fn machine_discovered(&mut self, machine: &str, owner: Incarnation, revision: u64) {
        self.machine_granted(machine, Some(owner));
        self.machines.entry(machine.to_owned()).or_default().first_record_revision = revision;
    }

    /// Notes that the owner has reported on a machine under its present grant. `resolved`: it knows all tasks there.
    pub fn owner_reported(&mut self, machine: &str, by: &Incarnation, resolved: bool) {
        // While messages are missed of an owner that has recorded this controller as uninformed, it may order more
        // right after this report. Messages missed later are noted when the gap in the numbers shows.
        let (has_gap, ordered) =
            self.streams.get(by).map_or((false, false), |stream| (!stream.contiguous, stream.uninformed));
        let state = self.machines.entry(machine.to_owned()).or_default();
        if resolved {
            *state =
                MachineState { baseline_known: true, owners: vec![by.clone()], ..MachineState::default() };
        }
        if has_gap {
            *state.missed_announcements.entry(by.clone()).or_default() |= ordered;
        } else {
            state.missed_announcements.remove(by);
        }
    }

    /// Notes that a witness has reported every task that may be on a machine.
    ///
    /// Owners that had ended as of the view that the witness had applied are dropped: the witness has confirmed all
    /// that they ordered. Former owners that are still registered stay: one that has not seen a later grant yet may
    /// still announce starts there, and a missed announcement of it must count. Such an owner may be unknown here if
    /// the machine may have changed hands after the others began to wait for this controller's confirmation and before
    /// it loaded the records; the report then holds only for the present moment.
    pub fn witness_reported(&mut self, machine: &str, has_ended: impl Fn(&Incarnation) -> bool) {
        let state = self.machines.entry(machine.to_owned()).or_default();
        state.baseline_known |= self.member_since.is_some_and(|since| state.first_record_revision <= since);
        state.owners.retain(|incarnation| !has_ended(incarnation));
        state.missed_announcements.retain(|incarnation, _| !has_ended(incarnation));
    }

    /// Whether no message of an incarnation has been missed so far.
    pub fn is_contiguous(&self, incarnation: &Incarnation) -> bool {
        self.streams.get(incarnation).is_some_and(|stream| stream.contiguous)
    }

    /// Notes that a machine has been removed, with everything on it.
    pub fn machine_removed(&mut self, machine: &str) {
        self.machines.remove(machine);
    }

    /// Whether every task that may be on a machine is known.
    pub fn is_fully_known(&self, machine: &str, me: &Incarnation) -> bool {
        self.is_fully_known_ignoring(machine, |owner| owner == me)
    }

    /// Whether every task that may be on a machine is known, except those that the asking controller has ordered
    /// there.
    pub fn is_fully_known_except_from(&self, machine: &str, me: &Incarnation, asker: &Incarnation) -> bool {
        self.is_fully_known_ignoring(machine, |owner| owner == me || owner == asker)
    }

    fn is_fully_known_ignoring(&self, machine: &str, ignored: impl Fn(&Incarnation) -> bool) -> bool {
        self.machines.get(machine).is_some_and(|state| {
            let has_ended =
                |incarnation: &Incarnation| self.streams.get(incarnation).is_some_and(|stream| stream.ended);
            let unknown = state
                .missed_announcements
                .iter()
                .any(|(incarnation, ordered)| !ignored(incarnation) && (*ordered || !has_ended(incarnation)));
            state.baseline_known
                && !unknown
                && state.owners.iter().all(|owner| ignored(owner) || self.announced_everything(owner))
        })
    }

    /// Whether everything that an incarnation may have ordered was announced here: it waited for this controller's
    /// confirmation, and no message of it was missed. A missed announcement of an incarnation that has ended was never
    /// confirmed and so never ordered. An incarnation that began after this controller became a member waited for this
    /// controller from its first order on, whether or not any message of it arrived.
    fn announced_everything(&self, incarnation: &Incarnation) -> bool {
        let (Some(since), Some(stream)) = (self.member_since, self.streams.get(incarnation)) else {
            return false;
        };
        let began_after_joining = incarnation.1 >= since && incarnation.1 > self.loaded_revision;
        let waits_for_confirmation = stream.applied_revision >= since || stream.ended && began_after_joining;
        waits_for_confirmation && !stream.uninformed && (stream.ended || stream.contiguous)
    }

    /// Removes ended incarnations that no machine lists as an owner.
    pub fn prune(&mut self, registered: impl Fn(&Incarnation) -> bool) {
        let owners: BTreeSet<&Incarnation> = self.machines.values().flat_map(|s| &s.owners).collect();
        self.streams.retain(|incarnation, _| registered(incarnation) || owners.contains(incarnation));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn incarnation(name: &str) -> Incarnation {
        (name.to_owned(), 1)
    }

    /// State of `me`, which has received all messages of `a`; `a` owns the machine m, which is fully known.
    fn fully_known_machine() -> (MachineKnowledge, Incarnation, Incarnation) {
        let (mut knowledge, a, me) = (MachineKnowledge::new(), incarnation("a"), incarnation("me"));
        knowledge.set_member_since(Some(10));
        knowledge.machine_granted("m", None);
        knowledge.machine_granted("m", Some(a.clone()));
        assert!(!knowledge.is_fully_known("m", &me), "no message of a was received");
        assert_eq!(knowledge.message_received(&a, 7, true, 10), SequenceCheck::Contiguous);
        knowledge.owner_reported("m", &a, true);
        assert!(knowledge.is_fully_known("m", &me));
        (knowledge, a, me)
    }

    #[test]
    fn a_machine_stays_fully_known_across_grants_while_no_message_is_missed() {
        let (mut knowledge, a, me) = fully_known_machine();
        assert_eq!(knowledge.message_received(&a, 8, false, 11), SequenceCheck::Contiguous);
        knowledge.machine_granted("m", Some(me.clone()));
        assert!(knowledge.is_fully_known("m", &me));
        knowledge.machine_granted("m", Some(incarnation("b")));
        assert!(!knowledge.is_fully_known("m", &me), "no message of b was received");
        assert_eq!(knowledge.message_received(&incarnation("b"), 3, true, 12), SequenceCheck::Contiguous);
        knowledge.owner_reported("m", &incarnation("b"), false);
        assert!(knowledge.is_fully_known("m", &me));
        knowledge.machine_removed("m");
        assert!(!knowledge.is_fully_known("m", &me));
    }

    /// Guards against taking a missed message for no news: it may have announced a start, also on a machine that its
    /// sender no longer owns and so leaves out of its next full status.
    #[test]
    fn a_missed_message_leaves_a_machine_unknown_until_its_owner_reports_again() {
        let (mut knowledge, a, me) = fully_known_machine();
        assert_eq!(knowledge.message_received(&a, 9, false, 11), SequenceCheck::Gap);
        assert!(!knowledge.is_fully_known("m", &me));
        assert_eq!(knowledge.message_received(&a, 9, true, 11), SequenceCheck::Contiguous);
        assert!(!knowledge.is_fully_known("m", &me), "a full status came, but without this machine");
        let mut moved = fully_known_machine().0;
        knowledge.owner_reported("m", &a, false);
        assert!(knowledge.is_fully_known("m", &me));
        moved.machine_granted("m", Some(me.clone()));
        assert!(moved.is_fully_known("m", &me));
        moved.message_received(&a, 9, false, 11);
        moved.message_received(&a, 10, true, 11);
        assert!(
            !moved.is_fully_known("m", &me),
            "a may have announced a start on it before it knew of the grant"
        );
        moved.owner_reported("m", &me, true);
        assert!(moved.is_fully_known("m", &me));
    }

    /// Guards against dropping a former owner that is still registered when a witness reports, and against an ended
    /// incarnation that keeps a machine from ever being fully known.
    #[test]
    fn a_witness_report_keeps_former_owners_that_are_registered() {
        let (a, b, me) = (incarnation("a"), incarnation("b"), incarnation("me"));
        let mut knowledge = MachineKnowledge::new();
        knowledge.set_member_since(Some(10));
        knowledge.machine_granted("m", Some(incarnation("gone")));
        knowledge.machine_granted("m", Some(a.clone()));
        knowledge.message_received(&a, 1, true, 10);
        knowledge.message_received(&b, 1, true, 10);
        knowledge.machine_granted("m", Some(b.clone()));
        knowledge.owner_reported("m", &b, false);
        knowledge.owner_reported("m", &a, false);
        assert!(!knowledge.is_fully_known("m", &me), "never fully known");
        knowledge.witness_reported("m", |l| l.0 == "gone");
        assert!(knowledge.is_fully_known("m", &me));
        knowledge.set_uninformed(&a, true);
        assert!(!knowledge.is_fully_known("m", &me), "a no longer waits for this controller");
        assert!(knowledge.is_fully_known_except_from("m", &me, &a), "a knows its own orders");
    }

    /// Guards against a former owner that a controller which has just joined can't know of, and that may not wait for
    /// it.
    #[test]
    fn a_witness_report_does_not_cover_former_owners_unknown_to_a_new_member() {
        let (b, me) = (incarnation("b"), incarnation("me"));
        for (read, fully_known) in [(10, true), (11, false)] {
            let mut knowledge = MachineKnowledge::new();
            knowledge.records_loaded(12);
            knowledge.machine_discovered("m", b.clone(), read);
            knowledge.set_member_since(Some(10));
            knowledge.message_received(&b, 1, true, 12);
            knowledge.owner_reported("m", &b, false);
            knowledge.witness_reported("m", |_| false);
            assert_eq!(knowledge.is_fully_known("m", &me), fully_known, "read as of {read}");
            knowledge.owner_reported("m", &b, true);
            assert!(knowledge.is_fully_known("m", &me), "its owner knows all tasks there");
            knowledge.machine_granted("m", Some(me.clone()));
            assert!(knowledge.is_fully_known("m", &me));
        }
    }

    /// Guards jobs against waiting for a controller that ended before any message of it arrived, and against taking a
    /// machine for fully known when its owner ended after it had recorded this controller as uninformed.
    #[test]
    fn ended_incarnations_ordered_only_confirmed_starts() {
        let (mut knowledge, a, me) = fully_known_machine();
        let (second, third): (Incarnation, Incarnation) = (("a".to_owned(), 20), ("a".to_owned(), 30));
        knowledge.records_loaded(5);
        knowledge.message_received(&a, 9, false, 11);
        assert!(!knowledge.is_fully_known("m", &me), "a message was missed, and may yet be confirmed");
        knowledge.machine_granted("m", Some(second.clone()));
        knowledge.incarnation_ended(&a);
        assert!(!knowledge.is_fully_known("m", &me), "the next incarnation may order what it announces");
        knowledge.machine_granted("m", Some(third.clone()));
        knowledge.incarnation_ended(&second);
        assert!(
            !knowledge.is_fully_known("m", &me) && knowledge.is_fully_known_except_from("m", &me, &third)
        );
        let old: Incarnation = ("b".to_owned(), 9);
        knowledge.machine_granted("m", Some(old.clone()));
        knowledge.incarnation_ended(&old);
        assert!(
            !knowledge.is_fully_known_except_from("m", &me, &third),
            "it began before it could know this controller as a member"
        );
        let (mut knowledge, a, me) = fully_known_machine();
        knowledge.set_uninformed(&a, true);
        knowledge.set_uninformed(&a, false);
        knowledge.message_received(&a, 9, true, 12);
        knowledge.incarnation_ended(&a);
        assert!(!knowledge.is_fully_known("m", &me), "it may have ordered something while it did not wait");
    }

    /// Guards against taking a resolved report for final: an owner that has recorded this controller as uninformed may
    /// order more right after it, on a machine that is then granted to another controller and that it never reports on
    /// again.
    #[test]
    fn starts_ordered_after_a_report_while_uninformed_may_be_there() {
        let (mut knowledge, a, me) = fully_known_machine();
        let b: Incarnation = ("b".to_owned(), 2);
        assert_eq!(knowledge.message_received(&b, 1, true, 11), SequenceCheck::Contiguous);
        knowledge.set_uninformed(&a, true);
        assert_eq!(knowledge.message_received(&a, 8, false, 11), SequenceCheck::Gap);
        knowledge.owner_reported("m", &a, true);
        // Now it orders a start that is not announced here; then the machine is granted to another controller.
        knowledge.machine_granted("m", Some(b.clone()));
        knowledge.owner_reported("m", &b, false);
        assert_eq!(knowledge.message_received(&a, 12, true, 12), SequenceCheck::Contiguous);
        knowledge.set_uninformed(&a, false);
        assert!(!knowledge.is_fully_known("m", &me), "what a ordered after its report is not known");
        knowledge.incarnation_ended(&a);
        assert!(!knowledge.is_fully_known("m", &me), "nor once it has ended");
    }

    /// Guards against conclusions of a controller for whose confirmation the others do not wait.
    #[test]
    fn a_controller_that_is_not_waited_for_concludes_nothing() {
        let (mut knowledge, a, me) = fully_known_machine();
        knowledge.set_uninformed(&a, true);
        assert!(!knowledge.is_fully_known("m", &me));
        knowledge.message_received(&a, 8, true, 12);
        knowledge.owner_reported("m", &a, true);
        assert!(!knowledge.is_fully_known("m", &me), "still recorded as uninformed");
        knowledge.set_uninformed(&a, false);
        assert!(knowledge.is_fully_known("m", &me));
        knowledge.set_member_since(Some(20));
        assert!(!knowledge.is_fully_known("m", &me), "a has not seen that this controller is back");
        knowledge.message_received(&a, 9, false, 20);
        assert!(knowledge.is_fully_known("m", &me));
        knowledge.set_member_since(None);
        assert!(!knowledge.is_fully_known("m", &me));
    }

    /// Guards against attributing messages of one incarnation of a controller to another one.
    #[test]
    fn incarnations_are_distinguished_and_removed_when_no_machine_needs_them() {
        let (mut knowledge, _, me) = fully_known_machine();
        let again: Incarnation = ("a".to_owned(), 2);
        knowledge.machine_granted("m", Some(again.clone()));
        assert!(!knowledge.is_fully_known("m", &me));
        knowledge.message_received(&again, 1, true, 30);
        knowledge.owner_reported("m", &again, false);
        assert!(knowledge.is_fully_known("m", &me));
        knowledge.prune(|l| *l == again);
        assert!(knowledge.is_fully_known("m", &me), "the former incarnation was removed too soon");
        knowledge.owner_reported("m", &again, true);
        knowledge.prune(|l| *l == again);
        assert_eq!(knowledge.streams.len(), 1);
    }
}
