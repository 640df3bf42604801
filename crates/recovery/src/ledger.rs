//! The listening side: what may be concluded from what others have announced.

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashMap;

use crate::{Life, Position};

/// What a numbered message is to its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hearing {
    /// Nothing was missed: it may be confirmed.
    Complete,
    /// Something was missed: the sender is to tell everything again.
    Broken,
}

/// What has been heard from one life of another controller.
#[derive(Debug, Default)]
struct Chain {
    /// The newest message that came from it.
    newest: Position,
    number: u64,
    unbroken: bool,
    /// Up to which revision it had followed the records when it last spoke.
    applied: u64,
    /// It has recorded that it does not wait for this controller's confirmation.
    uninformed: bool,
    /// It is registered no more. Nothing that it says is confirmed any longer, so that it orders nothing
    /// that this controller has not heard of, unless it counted without it.
    over: bool,
}

/// What is known of one machine.
#[derive(Debug, Default)]
struct Standing {
    /// Everything that was on it, when it was last known in full, is known.
    known: bool,
    /// Revision of the record by which this controller has learnt of it, if somebody held it by then: who held it
    /// before is not known.
    first_read: u64,
    /// Who has held it since, the present holder last.
    holders: Vec<Life>,
    /// Holders of whose announcements something may have been missed since they last spoke of it, and
    /// whether it may have been ordered all the same: they did not wait for this controller when it was missed.
    missed: BTreeMap<Life, bool>,
}

/// What a controller knows for certain of where tasks may be.
///
/// A machine is *listed* when the tasks that the caller has noted for it include all that may be there:
/// it was once known in full, and whoever has held it since ordered nothing unannounced. The caller
/// notes a task when it is announced and removes one only when the machine's holder says, of the machine
/// as resolved, that it is not there.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Revision from which the others count on this controller's confirmation, if they have seen it.
    since: Option<u64>,
    /// Revision from which this controller has seen every record.
    from: u64,
    chains: BTreeMap<Life, Chain>,
    machines: FxHashMap<String, Standing>,
}

impl Ledger {
    /// Nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// The records were loaded as of this revision; whatever changes from then on is followed.
    pub fn loaded(&mut self, revision: u64) {
        self.from = revision;
    }

    /// A life is over: its registration has been removed, or replaced by the next one's.
    pub fn ended(&mut self, life: &Life) {
        self.chains.entry(life.clone()).or_default().over = true;
    }

    /// This controller became one that may take jobs over at this revision, or has ceased to be.
    pub fn member_since(&mut self, revision: Option<u64>) {
        self.since = revision;
    }

    /// Whether a message is newer than all that have come from its sender. One that is not must be dropped: it may lack
    /// what has been announced since, and would be taken for proof that this is not so.
    pub fn is_newest(&mut self, from: &Life, position: Position) -> bool {
        let chain = self.chains.entry(from.clone()).or_default();
        let newest = position > chain.newest;
        chain.newest = chain.newest.max(position);
        newest
    }

    /// A message with this number has come. `whole`: it tells of all the sender's machines.
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

    /// A controller's record names this one as uninformed, or no longer does.
    pub fn uninformed(&mut self, by: &Life, named: bool) {
        let chain = self.chains.entry(by.clone()).or_default();
        chain.uninformed = named;
        if named {
            // From here on it may order what never comes here, also on machines that it no longer has.
            chain.unbroken = false;
            self.missed_by(by, true);
        }
    }

    /// Something that this controller announced may have been missed; `ordered`: and ordered all the same.
    fn missed_by(&mut self, life: &Life, ordered: bool) {
        for standing in self.machines.values_mut().filter(|s| s.holders.contains(life)) {
            *standing.missed.entry(life.clone()).or_default() |= ordered;
        }
    }

    /// A machine is granted; to nobody yet: nothing can be on it.
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
                    // It orders there without this controller, and may give the machine away before it speaks of it.
                    *standing.missed.entry(life.clone()).or_default() = true;
                }
                standing.holders.push(life);
            }
        }
    }

    /// A machine that this controller has learnt of by a record of this revision, which says that somebody holds it.
    pub fn first_read(&mut self, machine: &str, holder: Life, revision: u64) {
        self.granted(machine, Some(holder));
        self.machines.entry(machine.to_owned()).or_default().first_read = revision;
    }

    /// Its holder has spoken of a machine under its present grant. `resolved`: it is known in full.
    pub fn told(&mut self, machine: &str, by: &Life, resolved: bool) {
        // While its messages are missed, one that goes on without this controller may order more right after its word. What
        // is missed later is noted when the break shows.
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

    /// A witness has told all that may be on a machine. Lives that are over as of the view that the witness
    /// had taken on bind nothing any more: what they ordered it had confirmed. Former holders that live
    /// stay: one that has not heard of a later grant yet may still announce starts there, and what of it is
    /// missed here must count. Where such a one may not be known, because the machine may have changed hands after the
    /// others began to count on this controller and before it loaded the records, the word holds only as of now.
    pub fn witnessed(&mut self, machine: &str, over: impl Fn(&Life) -> bool) {
        let standing = self.machines.entry(machine.to_owned()).or_default();
        standing.known |= self.since.is_some_and(|since| standing.first_read <= since);
        standing.holders.retain(|life| !over(life));
        standing.missed.retain(|life, _| !over(life));
    }

    /// Whether nothing of what a controller has said so far was missed.
    pub fn unbroken(&self, life: &Life) -> bool {
        self.chains.get(life).is_some_and(|c| c.unbroken)
    }

    /// A machine is gone, and everything on it.
    pub fn gone(&mut self, machine: &str) {
        self.machines.remove(machine);
    }

    /// Whether all that may be on a machine is known.
    pub fn listed(&self, machine: &str, me: &Life) -> bool {
        self.known_but_for(machine, |holder| holder == me)
    }

    /// Whether all that may be on a machine is known, beside what the asker itself has ordered there.
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

    /// Whether everything that a controller may have ordered has been announced here: it counted on
    /// this one's confirmation, and none of its messages was missed. Of one that is over, what was missed was
    /// never confirmed and so never ordered; one that has begun since counted on this controller from its
    /// first order on, heard or not.
    fn sound(&self, life: &Life) -> bool {
        let (Some(since), Some(chain)) = (self.since, self.chains.get(life)) else { return false };
        let newborn = life.1 >= since && life.1 > self.from;
        let counted = chain.applied >= since || chain.over && newborn;
        counted && !chain.uninformed && (chain.over || chain.unbroken)
    }

    /// Forgets lives that are over and of whose time no machine is left.
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

    /// A ledger of `me` that has heard all of `a`, which holds the machine m, known in full.
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

    /// Guards against concluding from silence: a message missed may have announced a start, also on a
    /// machine that its sender no longer has and so does not speak of when it tells all again.
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

    /// Guards against forgetting a former holder that a witness's word does not bind, and against one whose
    /// life is over holding a machine back for ever.
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

    /// Guards against a former holder that a newcomer does not know, and that may go on without it.
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

    /// Guards jobs against waiting for a controller that ended before anybody had heard it, and the books
    /// against one that ended after it had gone on without this controller.
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

    /// Guards against a word that is taken for all: who goes on without this controller may order more right after it, on a
    /// machine that is then given away and of which it never speaks again.
    #[test]
    fn what_is_ordered_after_a_word_while_uninformed_may_be_there() {
        let (mut ledger, a, me) = usual();
        let b: Life = ("b".to_owned(), 2);
        assert_eq!(ledger.heard(&b, 1, true, 11), Hearing::Complete);
        ledger.uninformed(&a, true);
        assert_eq!(ledger.heard(&a, 8, false, 11), Hearing::Broken);
        ledger.told("m", &a, true);
        // It now orders what never comes here; then the machine is another's.
        ledger.granted("m", Some(b.clone()));
        ledger.told("m", &b, false);
        assert_eq!(ledger.heard(&a, 12, true, 12), Hearing::Complete);
        ledger.uninformed(&a, false);
        assert!(!ledger.listed("m", &me), "what a ordered after its word is not known");
        ledger.ended(&a);
        assert!(!ledger.listed("m", &me), "nor once it has ended");
    }

    /// Guards against a controller that is not counted on: what it missed it cannot know of.
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

    /// A later life of the same controller vouches for nothing that an earlier one did.
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
