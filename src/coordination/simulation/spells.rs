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
    /// A controller stands still between a decision and the sending of what it has decided: the first event in the spell
    /// is handled, its effects leave when the spell is over, and whatever else comes for it waits.
    StallsBeforeSending(usize),
    /// Two controllers do not reach each other.
    Apart(usize, usize),
    /// No controller reaches another.
    AllApart,
    /// The workers and controllers of a zone reach only each other.
    ZoneCut(&'static str),
}

/// What befalls a transaction that reaches the store: it is carried out at once and its answer lost, or gets no answer
/// and is carried out that much later.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fate {
    AnswerLost,
    Late(Micros),
}

/// How long a client waits for the store beyond what a watch is to be held for.
/// After how long a controller gives a link up on which nothing moves.
const NOTICED: Micros = Micros::from_secs(3);
pub(super) const PATIENCE: Micros = Micros::from_millis(1_500);

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
        let zones = [self.controller_zones[from], self.controller_zones[to]];
        let between = |s: &Spell| match s {
            Spell::ZoneCut(zone) => zones[0] != zones[1] && zones.contains(zone),
            Spell::Isolated(n) => [from, to].contains(n),
            Spell::Apart(a, b) => [(from, to), (to, from)].contains(&(*a, *b)),
            _ => false,
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

    /// Until when a zone is cut off.
    pub(super) fn zone_cut_until(&self, zone: &str) -> Micros {
        let cuts = self.spells.iter().filter(|(s, ..)| matches!(s, Spell::ZoneCut(z) if *z == zone));
        cuts.map(|(.., until)| *until).max().unwrap_or_default()
    }

    /// Until when a controller does not reach the store, nor the store it.
    fn off_until(&self, node: usize) -> Micros {
        self.until(Spell::Isolated(node)).max(self.zone_cut_until(self.controller_zones[node]))
    }

    /// All controllers end and stay away for so long.
    pub(super) fn all_away(&mut self, length: Micros) {
        self.all_away = self.now + length;
        (0..self.settings.len()).for_each(|n| self.crash_for(n, length));
    }

    /// Users call off so many of the running jobs within 0.2 s, and up to eight of their machines hang for so long.
    /// How many were called off.
    pub(super) fn withdraw_now(&mut self, count: usize, hang: Micros) -> usize {
        let mut running: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (name, w) in self.workers.iter().filter(|(_, w)| !w.dead) {
            for (id, _) in w.tasks.iter().filter(|(_, t)| t.state == TaskState::Running) {
                let wish = &self.jobs[&id.job];
                if wish.told_accepted && !wish.wants_withdrawal && wish.told_final.is_none() {
                    running.entry(id.job.clone()).or_default().push(name.clone());
                }
            }
        }
        let mut machines = BTreeSet::new();
        let most = running.len().min(count);
        for _ in 0..most {
            let n = self.rng.random_range(0..running.len());
            let Some(id) = running.keys().nth(n).cloned() else { break };
            machines.extend(running.remove(&id).unwrap_or_default());
            self.call_off(id, 200 * MS);
        }
        if hang > Micros::ZERO {
            let until = self.now + hang;
            for name in machines.iter().take(8) {
                self.workers.get_mut(name).unwrap().hung_until = until;
            }
        }
        most
    }

    /// A user calls a job off, beside whatever it is about to ask, within so many microseconds.
    pub(super) fn call_off(&mut self, id: String, within: u64) {
        self.jobs.get_mut(&id).unwrap().wants_withdrawal = true;
        self.soon(0, within, Happening::User(id));
    }

    /// The last task of a job has ended this moment.
    pub(super) fn has_ended(&mut self, id: String) {
        let share = self.withdraw_at_end;
        if self.odds(share) && self.meets("withdraw_at_end") {
            self.call_off(id, 5 * MS);
        }
    }

    /// A new leader has appeared: copies of reports that were kept for it come to every controller.
    fn give_kept(&mut self) {
        let leader =
            self.store.keys.get(records::LEADER_KEY).map_or(self.last_leader, |(_, stamp, _)| *stamp);
        if self.last_leader == leader {
            return;
        }
        self.last_leader = leader;
        for report in std::mem::take(&mut self.kept) {
            for node in 0..self.settings.len() {
                self.met.kept_given += 1;
                self.meets("retained_reports");
                self.soon(0, 2 * S, Happening::Copy { node, report: report.clone() });
            }
        }
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
        let off = self.off_until(node) > self.now;
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
            if waits && !off {
                if waited > hold + PATIENCE {
                    let event = Event::Store(id, StoreReply::Unclear);
                    return self.at(self.now, Happening::ToController { node, life, event });
                }
                let again = self.now + Micros::from_millis(40);
                return self.at(again, Happening::Watch { node, life, id, call, since });
            }
        }
        let fate =
            self.fate_of.and_then(|fate| if let StoreCall::Commit(t) = &call { fate(t) } else { None });
        if off {
            let isolated = self.under(Spell::Isolated(node));
            self.meets(if isolated { "isolated" } else { "zone_cut" });
        } else if refused {
            let all = self.under(Spell::StoreDown);
            self.meets(if all { "store_outage" } else { "store_refuses_one" });
        }
        let reply = if off {
            // Held back, and delivered when the cut is over.
            if let StoreCall::Commit(t) = &call
                && self.rng.random_bool(0.5)
            {
                let until = self.off_until(node);
                self.at(until, Happening::LateCommit { node, sent: self.now, transaction: t.clone() });
            }
            StoreReply::Unclear
        } else if refused {
            StoreReply::Refused
        } else if let StoreCall::Commit(t) = &call
            && let Some(fate) = fate.or_else(|| self.any_fate())
        {
            let late = Happening::LateCommit { node, sent: self.now, transaction: t.clone() };
            match fate {
                Fate::Late(after) => self.at(self.now + after, late),
                Fate::AnswerLost => {
                    let reply = self.store.call(self.now, &call);
                    let done = matches!(reply, StoreReply::Committed { .. });
                    self.met.answers_lost += u32::from(done);
                    if done {
                        self.meets("answers_lost");
                        self.newest_commit[node] = self.now;
                    }
                    self.give_kept();
                }
            }
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
            self.give_kept();
        }
        let event = Event::Store(id, reply);
        let most = if slow && self.rng.random_bool(0.5) && self.meets("store_slow") { 1_400 } else { 12 };
        self.soon(MS, most * MS, Happening::ToController { node, life, event });
    }

    /// What befalls a transaction by the odds of the run.
    fn any_fate(&mut self) -> Option<Fate> {
        let (late, lost) = (self.trouble.late_writes, self.trouble.answers_lost);
        if self.odds(late) && self.meets("late_writes") {
            return Some(Fate::Late(Micros(self.rng.random_range(2 * S..=12 * S))));
        }
        self.odds(lost).then_some(Fate::AnswerLost)
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
        self.give_kept();
    }
}
