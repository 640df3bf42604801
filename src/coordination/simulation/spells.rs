//! Troubles of the store and the controllers that last: each has its length and whom it hits, several at once may hold,
//! also of one kind.

use super::*;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Spell {
    /// The store answers nobody, and afterwards all leases regain their time.
    StoreDown,
    /// The store refuses this controller alone; its leases run out meanwhile.
    StoreRefuses(usize),
    /// The store serves a controller but for its watch, which brings nothing.
    WatchHangs(usize),
    /// The store takes its time.
    StoreSlow,
    /// A controller reaches neither the store nor the other controllers; workers and users reach it.
    Isolated(usize),
    /// A controller stands still while its clock runs on: what comes for it waits.
    StandsStill(usize),
    /// Two controllers do not reach each other.
    Apart(usize, usize),
    /// No controller reaches another.
    AllApart,
}

/// How long a client waits for the store beyond what a watch is to be held for.
/// After how long a controller gives a link up on which nothing moves.
const NOTICED: Micros = Micros::from_secs(3);
const PATIENCE: Micros = Micros::from_millis(1_500);

impl World {
    /// A spell begins now.
    pub(super) fn befalls(&mut self, spell: Spell, until: Micros) {
        let now = self.now;
        self.spells.retain(|(.., until)| *until > now);
        self.spells.push((spell, now, until));
        self.spells_over = self.spells_over.max(until);
        if spell == Spell::StoreDown {
            let until = self.until(spell);
            self.store.regain(until);
        }
    }

    /// A spell begins later.
    pub(super) fn will_befall(&mut self, from: Micros, spell: Spell, length: Micros) {
        self.at(from, Happening::Befalls(spell, from + length));
    }

    pub(super) fn under(&self, spell: Spell) -> bool {
        self.spells.iter().any(|(s, _, until)| *s == spell && self.now < *until)
    }

    /// When what one controller says to another now will arrive, though they are cut off from each other. A link holds
    /// what was sent before its sender noticed that nothing moves, and brings it in order when the cut is over.
    pub(super) fn held_until(&self, from: usize, to: usize) -> Option<Micros> {
        let between = |s: &Spell| {
            [Spell::Isolated(from), Spell::Isolated(to), Spell::Apart(from, to), Spell::Apart(to, from)]
                .contains(s)
        };
        let cuts = self.spells.iter().filter(|(s, _, until)| between(s) && self.now < *until);
        let (since, until) = cuts.fold((Micros::MAX, Micros::ZERO), |(since, until), (_, from, to)| {
            (since.min(*from), until.max(*to))
        });
        (self.now.since(since) < NOTICED && until < Micros::MAX).then_some(until)
    }

    /// When the last spell of a kind ends.
    pub(super) fn until(&self, spell: Spell) -> Micros {
        let ends = self.spells.iter().filter(|(s, ..)| *s == spell).map(|(.., until)| *until);
        ends.max().unwrap_or_default()
    }

    /// A call has come to the store, or a watch is looked at again.
    pub(super) fn at_the_store(
        &mut self,
        node: usize,
        life: u64,
        id: CallId,
        call: StoreCall,
        since: Micros,
    ) {
        let refused = self.under(Spell::StoreDown) || self.under(Spell::StoreRefuses(node));
        let slow = self.under(Spell::StoreSlow);
        if let StoreCall::Follow { prefix, after, hold_ms } = &call {
            let open = since < self.now;
            let waited = self.now.since(since);
            let hold = Micros::from_millis(*hold_ms);
            // A watch that is open stays open while nobody, or its controller alone, is served.
            let hangs = self.under(Spell::WatchHangs(node));
            let waits = if refused {
                open
            } else {
                hangs || waited < hold && self.store.news(prefix, *after).is_empty()
            };
            if waits && !self.under(Spell::Isolated(node)) {
                if waited > hold + PATIENCE {
                    let event = Event::Store(id, StoreReply::Unclear);
                    return self.at(self.now, Happening::ToController { node, life, event });
                }
                let again = self.now + Micros::from_millis(40);
                return self.at(again, Happening::Watch { node, life, id, call, since });
            }
        }
        let share = self.trouble.late_writes;
        let reply = if self.under(Spell::Isolated(node)) {
            // Held back, and delivered when the cut is over.
            if let StoreCall::Commit(t) = &call
                && self.rng.random_bool(0.5)
            {
                let until = self.until(Spell::Isolated(node));
                self.at(until, Happening::LateCommit { node, sent: self.now, transaction: t.clone() });
            }
            StoreReply::Unclear
        } else if refused {
            StoreReply::Refused
        } else if let StoreCall::Commit(t) = &call
            && self.odds(share)
        {
            let late = Happening::LateCommit { node, sent: self.now, transaction: t.clone() };
            self.soon(2 * S, 12 * S, late);
            let event = Event::Store(id, StoreReply::Unclear);
            return self.at(self.now + PATIENCE, Happening::ToController { node, life, event });
        } else if self.lost() {
            // Lost on the way there, on the way back, or held up and applied much later.
            if let StoreCall::Commit(t) = &call {
                let late = self.trouble.late;
                if self.odds(late) {
                    let late = Happening::LateCommit { node, sent: self.now, transaction: t.clone() };
                    self.soon(S, 60 * S, late);
                }
            } else if self.rng.random_bool(0.5) {
                self.store.call(self.now, &call);
            }
            StoreReply::Unclear
        } else {
            self.store.call(self.now, &call)
        };
        if matches!(reply, StoreReply::Committed { .. }) {
            self.newest_commit[node] = self.now;
        }
        let event = Event::Store(id, reply);
        let most = if slow && self.rng.random_bool(0.5) { 1_400 } else { 12 };
        self.soon(MS, most * MS, Happening::ToController { node, life, event });
    }

    /// A transaction that got no answer is carried out after all.
    pub(super) fn late_commit(&mut self, node: usize, sent: Micros, transaction: Transaction) {
        if self.under(Spell::StoreDown) {
            let until = self.until(Spell::StoreDown);
            return self.at(until, Happening::LateCommit { node, sent, transaction });
        }
        self.store.expire(self.now);
        let done = matches!(self.store.commit(transaction), StoreReply::Committed { .. });
        self.met.late_commits += u32::from(done && self.newest_commit[node] > sent);
    }
}
