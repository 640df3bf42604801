//! Tracks, from the announcements of other controllers, on which machines every possible task is known.

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashMap;

use crate::{Life, Position};

/// Result of checking a message's number against those received before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hearing {
    /// No message is missing: the message may be confirmed.
    Complete,
    /// A message is missing: the sender must send its full state again.
    Broken,
}

/// State of the messages received from one incarnation of another controller.
#[derive(Debug, Default)]
struct Chain {
    /// Position of the newest message received.
    newest: Position,
    number: u64,
    unbroken: bool,
    /// Revision of the state service up to which the sender had followed the records, by its last message.
    applied: u64,
    /// Its record lists this controller as uninformed: it does not wait for this controller's confirmation.
    uninformed: bool,
    /// Its registration has ended. No further message of it is confirmed, so it can't order a start that this
    /// controller does not know of, unless it has recorded this controller as uninformed.
    over: bool,
}

/// What is known of one machine.
#[derive(Debug, Default)]
struct Standing {
    /// At some point everything on the machine was known; the other fields track what may be unknown since.
    known: bool,
    /// Revision of the record from which this controller learned of the machine, if the machine had a holder by then.
    /// The holders before that revision are unknown.
    first_read: u64,
    /// Incarnations that have held the machine since, the present holder last.
    holders: Vec<Life>,
    /// Holders that may have announced something in a missed message since their last status of the machine. The value
    /// is true if such a start may have been ordered all the same, because the holder did not wait for this
    /// controller's confirmation when the message was missed.
    missed: BTreeMap<Life, bool>,
}

/// Tracks on which machines every task that may be there is known.
///
/// A machine is *fully known* when the tasks that the caller has recorded for it include all that may be there: at some
/// point everything on it was known, and no holder since then has ordered a start without announcing it. The caller
/// records a task when it is announced, and removes it only when the holder reports the machine as resolved and
/// without that task.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Revision from which the other controllers wait for this controller's confirmation, once they have seen it.
    since: Option<u64>,
    /// Revision from which this controller has seen every change of the records.
    from: u64,
    chains: BTreeMap<Life, Chain>,
    machines: FxHashMap<String, Standing>,
}

impl Ledger {
    /// Creates a state in which nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the records were loaded as of this revision. Later changes are followed.
    pub fn loaded(&mut self, revision: u64) {
        self.from = revision;
    }

    /// Notes that an incarnation has ended: its registration was removed or replaced by a newer one.
    pub fn ended(&mut self, life: &Life) {
        self.chains.entry(life.clone()).or_default().over = true;
    }

    /// Sets the revision at which this controller became a member that may take over jobs; none if it is not one.
    pub fn member_since(&mut self, revision: Option<u64>) {
        self.since = revision;
    }

    /// Whether a message is newer than all messages received from its sender. An older one must be dropped: it may lack
    /// what was announced since, and would be taken as proof that nothing was.
    pub fn is_newest(&mut self, from: &Life, position: Position) -> bool {
        let chain = self.chains.entry(from.clone()).or_default();
        let newest = position > chain.newest;
        chain.newest = chain.newest.max(position);
        newest
    }

    /// Checks the number of a received message. `whole`: the message lists all of the sender's machines.
    pub fn heard(&mut self, from: &Life, number: u64, whole: bool, applied: u64) -> Hearing {
        let chain = self.chains.entry(from.clone()).or_default();
        let next = chain.unbroken && number == chain.number + 1;
        let breaks = chain.unbroken && !next && !whole;
        chain.unbroken = whole || next;
        chain.number = number;
        chain.applied = chain.applied.max(applied);
        let (complete, uninformed) = (chain.unbroken, chain.uninformed);
        if breaks || whole && !next {
            self.missed_by(from, uninformed);
        }
        if complete { Hearing::Complete } else { Hearing::Broken }
    }

    /// Sets whether another controller's record lists this one as uninformed.
    pub fn uninformed(&mut self, by: &Life, named: bool) {
        let chain = self.chains.entry(by.clone()).or_default();
        chain.uninformed = named;
        if named {
            // From now on the sender may order starts that it never announces here, also on machines it no longer
            // holds.
            chain.unbroken = false;
            self.missed_by(by, true);
        }
    }

    /// Notes that announcements of this incarnation may have been missed. `ordered`: it may have ordered the starts.
    fn missed_by(&mut self, life: &Life, ordered: bool) {
        for standing in self.machines.values_mut().filter(|s| s.holders.contains(life)) {
            *standing.missed.entry(life.clone()).or_default() |= ordered;
        }
    }

    /// Notes a grant. A machine that is granted to nobody yet is empty.
    pub fn granted(&mut self, machine: &str, to: Option<Life>) {
        match to {
            None => {
                let standing = Standing { known: true, ..Standing::default() };
                self.machines.insert(machine.to_owned(), standing);
            }
            Some(life) => {
                let uninformed = self.chains.get(&life).is_some_and(|chain| chain.uninformed);
                let standing = self.machines.entry(machine.to_owned()).or_default();
                standing.holders.retain(|holder| *holder != life);
                if uninformed {
                    // It orders starts there without this controller, and may lose the machine before it next reports
                    // on it.
                    *standing.missed.entry(life.clone()).or_default() = true;
                }
                standing.holders.push(life);
            }
        }
    }

    /// Adds a machine of which this controller learns from a record of this revision, which names a holder.
    pub fn first_read(&mut self, machine: &str, holder: Life, revision: u64) {
        self.granted(machine, Some(holder));
        self.machines.entry(machine.to_owned()).or_default().first_read = revision;
    }

    /// Notes that the holder has reported on a machine under its present grant. `resolved`: it knows all tasks there.
    pub fn told(&mut self, machine: &str, by: &Life, resolved: bool) {
        // While messages of an uninforming holder are missed, it may order more right after this report. Messages that
        // are missed later are noted when the gap in the numbers shows.
        let (broken, ordered) = self.chains.get(by).map_or((false, false), |c| (!c.unbroken, c.uninformed));
        let standing = self.machines.entry(machine.to_owned()).or_default();
        if resolved {
            *standing = Standing { known: true, holders: vec![by.clone()], ..Standing::default() };
        }
        if broken {
            *standing.missed.entry(by.clone()).or_default() |= ordered;
        } else {
            standing.missed.remove(by);
        }
    }

    /// Notes that a witness has reported every task that may be on a machine.
    ///
    /// Holders that had ended as of the view that the witness had applied are dropped: the witness has confirmed all
    /// that they ordered. Former holders that are still registered stay: one that has not seen a later grant yet may
    /// still announce starts there, and a missed announcement of it must count. Such a holder may be unknown here if
    /// the machine may have changed hands after the others began to wait for this controller's confirmation and before
    /// it loaded the records; the report then holds only for the present moment.
    pub fn witnessed(&mut self, machine: &str, over: impl Fn(&Life) -> bool) {
        let standing = self.machines.entry(machine.to_owned()).or_default();
        standing.known |= self.since.is_some_and(|since| standing.first_read <= since);
        standing.holders.retain(|life| !over(life));
        standing.missed.retain(|life, _| !over(life));
    }

    /// Whether no message of an incarnation has been missed so far.
    pub fn unbroken(&self, life: &Life) -> bool {
        self.chains.get(life).is_some_and(|c| c.unbroken)
    }

    /// Notes that a machine has been removed, with everything on it.
    pub fn gone(&mut self, machine: &str) {
        self.machines.remove(machine);
    }

    /// Whether every task that may be on a machine is known.
    pub fn listed(&self, machine: &str, me: &Life) -> bool {
        self.known_but_for(machine, |holder| holder == me)
    }

    /// Whether every task that may be on a machine is known, apart from those that the asking controller has ordered
    /// there.
    pub fn listed_for(&self, machine: &str, me: &Life, asker: &Life) -> bool {
        self.known_but_for(machine, |holder| holder == me || holder == asker)
    }

    fn known_but_for(&self, machine: &str, but: impl Fn(&Life) -> bool) -> bool {
        self.machines.get(machine).is_some_and(|standing| {
            let over = |life: &Life| self.chains.get(life).is_some_and(|c| c.over);
            let unknown =
                standing.missed.iter().any(|(life, ordered)| !but(life) && (*ordered || !over(life)));
            standing.known && !unknown && standing.holders.iter().all(|h| but(h) || self.sound(h))
        })
    }

    /// Whether everything that an incarnation may have ordered was announced here: it waited for this controller's
    /// confirmation, and no message of it was missed. A missed announcement of an incarnation that has ended was never
    /// confirmed and so never ordered. An incarnation that began after this controller became a member waited for this
    /// controller from its first order on, whether or not any message of it arrived.
    fn sound(&self, life: &Life) -> bool {
        let (Some(since), Some(chain)) = (self.since, self.chains.get(life)) else { return false };
        let newborn = life.1 >= since && life.1 > self.from;
        let counted = chain.applied >= since || chain.over && newborn;
        counted && !chain.uninformed && (chain.over || chain.unbroken)
    }

    /// Removes ended incarnations that no machine lists as a holder.
    pub fn prune(&mut self, registered: impl Fn(&Life) -> bool) {
        let held: BTreeSet<&Life> = self.machines.values().flat_map(|s| &s.holders).collect();
        self.chains.retain(|life, _| registered(life) || held.contains(life));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn life(name: &str) -> Life {
        (name.to_owned(), 1)
    }

    /// State of `me`, which has received all messages of `a`; `a` holds the machine m, which is fully known.
    fn usual() -> (Ledger, Life, Life) {
        let (mut ledger, a, me) = (Ledger::new(), life("a"), life("me"));
        ledger.member_since(Some(10));
        ledger.granted("m", None);
        ledger.granted("m", Some(a.clone()));
        assert!(!ledger.listed("m", &me), "a has never been heard");
        assert_eq!(ledger.heard(&a, 7, true, 10), Hearing::Complete);
        ledger.told("m", &a, true);
        assert!(ledger.listed("m", &me));
        (ledger, a, me)
    }

    #[test]
    fn a_machine_stays_listed_across_grants_while_nothing_is_missed() {
        let (mut ledger, a, me) = usual();
        assert_eq!(ledger.heard(&a, 8, false, 11), Hearing::Complete);
        ledger.granted("m", Some(me.clone()));
        assert!(ledger.listed("m", &me));
        ledger.granted("m", Some(life("b")));
        assert!(!ledger.listed("m", &me), "b has never been heard");
        assert_eq!(ledger.heard(&life("b"), 3, true, 12), Hearing::Complete);
        ledger.told("m", &life("b"), false);
        assert!(ledger.listed("m", &me));
        ledger.gone("m");
        assert!(!ledger.listed("m", &me));
    }

    /// Guards against taking a missed message for no news: it may have announced a start, also on a machine that its
    /// sender no longer holds and so leaves out of its next full status.
    #[test]
    fn what_was_missed_must_be_told_again() {
        let (mut ledger, a, me) = usual();
        assert_eq!(ledger.heard(&a, 9, false, 11), Hearing::Broken);
        assert!(!ledger.listed("m", &me));
        assert_eq!(ledger.heard(&a, 9, true, 11), Hearing::Complete);
        assert!(!ledger.listed("m", &me), "it has told all, but not of this machine");
        let mut moved = usual().0;
        ledger.told("m", &a, false);
        assert!(ledger.listed("m", &me));
        moved.granted("m", Some(me.clone()));
        assert!(moved.listed("m", &me));
        moved.heard(&a, 9, false, 11);
        moved.heard(&a, 10, true, 11);
        assert!(!moved.listed("m", &me), "a may have announced a start on it before it knew of the grant");
        moved.told("m", &me, true);
        assert!(moved.listed("m", &me));
    }

    /// Guards against dropping a former holder that is still registered when a witness reports, and against an ended
    /// incarnation that keeps a machine from ever being fully known.
    #[test]
    fn a_witnessed_machine_hangs_on_former_holders_that_live() {
        let (a, b, me) = (life("a"), life("b"), life("me"));
        let mut ledger = Ledger::new();
        ledger.member_since(Some(10));
        ledger.granted("m", Some(life("gone")));
        ledger.granted("m", Some(a.clone()));
        ledger.heard(&a, 1, true, 10);
        ledger.heard(&b, 1, true, 10);
        ledger.granted("m", Some(b.clone()));
        ledger.told("m", &b, false);
        ledger.told("m", &a, false);
        assert!(!ledger.listed("m", &me), "never known in full");
        ledger.witnessed("m", |l| l.0 == "gone");
        assert!(ledger.listed("m", &me));
        ledger.uninformed(&a, true);
        assert!(!ledger.listed("m", &me), "a goes on without this controller");
        assert!(ledger.listed_for("m", &me, &a), "what a ordered it knows itself");
    }

    /// Guards against a former holder that a controller which has just joined can't know of, and that may not wait for
    /// it.
    #[test]
    fn a_witness_binds_no_former_holder_that_a_newcomer_does_not_know() {
        let (b, me) = (life("b"), life("me"));
        for (read, listed) in [(10, true), (11, false)] {
            let mut ledger = Ledger::new();
            ledger.loaded(12);
            ledger.first_read("m", b.clone(), read);
            ledger.member_since(Some(10));
            ledger.heard(&b, 1, true, 12);
            ledger.told("m", &b, false);
            ledger.witnessed("m", |_| false);
            assert_eq!(ledger.listed("m", &me), listed, "read as of {read}");
            ledger.told("m", &b, true);
            assert!(ledger.listed("m", &me), "its holder knows it in full");
            ledger.granted("m", Some(me.clone()));
            assert!(ledger.listed("m", &me));
        }
    }

    /// Guards jobs against waiting for a controller that ended before any message of it arrived, and against taking a
    /// machine for fully known when its holder ended after it had recorded this controller as uninformed.
    #[test]
    fn lives_that_are_over_ordered_only_what_was_confirmed() {
        let (mut ledger, a, me) = usual();
        let (short, again): (Life, Life) = (("a".to_owned(), 20), ("a".to_owned(), 30));
        ledger.loaded(5);
        ledger.heard(&a, 9, false, 11);
        assert!(!ledger.listed("m", &me), "a message was missed, and may yet be confirmed");
        ledger.granted("m", Some(short.clone()));
        ledger.ended(&a);
        assert!(!ledger.listed("m", &me), "the next life may order what it announces");
        ledger.granted("m", Some(again.clone()));
        ledger.ended(&short);
        assert!(!ledger.listed("m", &me) && ledger.listed_for("m", &me, &again));
        let old: Life = ("b".to_owned(), 9);
        ledger.granted("m", Some(old.clone()));
        ledger.ended(&old);
        assert!(!ledger.listed_for("m", &me, &again), "it began before it could count on this controller");
        let (mut ledger, a, me) = usual();
        ledger.uninformed(&a, true);
        ledger.uninformed(&a, false);
        ledger.heard(&a, 9, true, 12);
        ledger.ended(&a);
        assert!(!ledger.listed("m", &me), "it may have ordered something while it did not wait");
    }

    /// Guards against taking a resolved report for final: a holder that has recorded this controller as uninformed may
    /// order more right after it, on a machine that is then granted to another controller and that it never reports on
    /// again.
    #[test]
    fn what_is_ordered_after_a_word_while_uninformed_may_be_there() {
        let (mut ledger, a, me) = usual();
        let b: Life = ("b".to_owned(), 2);
        assert_eq!(ledger.heard(&b, 1, true, 11), Hearing::Complete);
        ledger.uninformed(&a, true);
        assert_eq!(ledger.heard(&a, 8, false, 11), Hearing::Broken);
        ledger.told("m", &a, true);
        // Now it orders a start that is not announced here; then the machine is granted to another controller.
        ledger.granted("m", Some(b.clone()));
        ledger.told("m", &b, false);
        assert_eq!(ledger.heard(&a, 12, true, 12), Hearing::Complete);
        ledger.uninformed(&a, false);
        assert!(!ledger.listed("m", &me), "what a ordered after its word is not known");
        ledger.ended(&a);
        assert!(!ledger.listed("m", &me), "nor once it has ended");
    }

    /// Guards against conclusions of a controller for whose confirmation the others do not wait.
    #[test]
    fn who_is_not_counted_on_concludes_nothing() {
        let (mut ledger, a, me) = usual();
        ledger.uninformed(&a, true);
        assert!(!ledger.listed("m", &me));
        ledger.heard(&a, 8, true, 12);
        ledger.told("m", &a, true);
        assert!(!ledger.listed("m", &me), "still recorded as uninformed");
        ledger.uninformed(&a, false);
        assert!(ledger.listed("m", &me));
        ledger.member_since(Some(20));
        assert!(!ledger.listed("m", &me), "a has not seen that this controller is back");
        ledger.heard(&a, 9, false, 20);
        assert!(ledger.listed("m", &me));
        ledger.member_since(None);
        assert!(!ledger.listed("m", &me));
    }

    /// Guards against attributing messages of one incarnation of a controller to another one.
    #[test]
    fn lives_are_told_apart_and_forgotten_when_nothing_hangs_on_them() {
        let (mut ledger, _, me) = usual();
        let again: Life = ("a".to_owned(), 2);
        ledger.granted("m", Some(again.clone()));
        assert!(!ledger.listed("m", &me));
        ledger.heard(&again, 1, true, 30);
        ledger.told("m", &again, false);
        assert!(ledger.listed("m", &me));
        ledger.prune(|l| *l == again);
        assert!(ledger.listed("m", &me), "the former life was forgotten too soon");
        ledger.told("m", &again, true);
        ledger.prune(|l| *l == again);
        assert_eq!(ledger.chains.len(), 1);
    }
}
