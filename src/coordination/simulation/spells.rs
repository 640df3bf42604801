//! Troubles of the store and the controllers that last: each has its length and whom it hits, several at once may hold,
//! also of one kind.

use super::*;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum TimedFault {
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
    ControllerPaused(usize),
    /// A controller stands still between a decision and the sending of what it has decided: the first event in the spell
    /// is handled, its effects leave when the spell is over, and whatever else comes for it waits.
    PausedBeforeSending(usize),
    /// Two controllers do not reach each other.
    Partitioned(usize, usize),
    /// No controller reaches another.
    AllPartitioned,
    /// The workers and controllers of a zone reach only each other.
    ZonePartitioned(&'static str),
}

/// What befalls a transaction that reaches the store: it is carried out at once and its answer lost, or gets no answer
/// and is carried out that much later.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CommitFault {
    ReplyLost,
    Delayed(Micros),
}

/// How long a client waits for the store beyond what a watch is to be held for.
/// After how long a controller gives a link up on which nothing moves.
const NOTICED: Micros = Micros::from_secs(3);
pub(super) const PATIENCE: Micros = Micros::from_millis(1_500);

impl World {
    /// A spell begins now.
    pub(super) fn begin_fault(&mut self, spell: TimedFault, until: Micros) {
        let now = self.now;
        self.faults.retain(|(.., until)| *until > now);
        self.faults.push((spell, now, until));
        self.faults_end = self.faults_end.max(until);
        if spell == TimedFault::StoreDown {
            let until = self.active_until(spell);
            self.store.renew_all_leases(until);
        }
    }

    /// A spell begins later.
    pub(super) fn schedule_fault(&mut self, from: Micros, spell: TimedFault, length: Micros) {
        self.schedule_at(from, SimEvent::FaultBegins(spell, from + length));
    }

    pub(super) fn is_active(&self, spell: TimedFault) -> bool {
        self.faults.iter().any(|(s, _, until)| *s == spell && self.now < *until)
    }

    /// When what one controller says to another now will arrive, though they are cut off from each other. A link holds
    /// what was sent before its sender noticed that nothing moves, and brings it in order when the cut is over.
    pub(super) fn held_message_arrival(&self, from: usize, to: usize) -> Option<Micros> {
        let zones = [self.controller_zones[from], self.controller_zones[to]];
        let between = |s: &TimedFault| match s {
            TimedFault::ZonePartitioned(zone) => zones[0] != zones[1] && zones.contains(zone),
            TimedFault::Isolated(n) => [from, to].contains(n),
            TimedFault::Partitioned(a, b) => [(from, to), (to, from)].contains(&(*a, *b)),
            _ => false,
        };
        let cuts = self.faults.iter().filter(|(s, _, until)| between(s) && self.now < *until);
        let (since, until) = cuts.fold((Micros::MAX, Micros::ZERO), |(since, until), (_, from, to)| {
            (since.min(*from), until.max(*to))
        });
        (self.now.since(since) < NOTICED && until < Micros::MAX).then_some(until)
    }

    /// When the last spell of a kind ends.
    pub(super) fn active_until(&self, spell: TimedFault) -> Micros {
        let ends = self.faults.iter().filter(|(s, ..)| *s == spell).map(|(.., until)| *until);
        ends.max().unwrap_or_default()
    }

    /// Until when a zone is cut off.
    pub(super) fn zone_partitioned_until(&self, zone: &str) -> Micros {
        let cuts =
            self.faults.iter().filter(|(s, ..)| matches!(s, TimedFault::ZonePartitioned(z) if *z == zone));
        cuts.map(|(.., until)| *until).max().unwrap_or_default()
    }

    /// Until when a controller does not reach the store, nor the store it.
    fn store_unreachable_until(&self, node: usize) -> Micros {
        self.active_until(TimedFault::Isolated(node))
            .max(self.zone_partitioned_until(self.controller_zones[node]))
    }

    /// All controllers end and stay away for so long.
    pub(super) fn stop_all_controllers(&mut self, length: Micros) {
        self.controllers_down_until = self.now + length;
        (0..self.settings.len()).for_each(|n| self.crash_for(n, length));
    }

    /// Users call off so many of the running jobs within 0.2 s, and up to eight of their machines hang for so long.
    /// How many were called off.
    pub(super) fn withdraw_running_jobs(&mut self, count: usize, hang: Micros) -> usize {
        let mut running: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (name, w) in self.workers.iter().filter(|(_, w)| !w.dead) {
            for (id, _) in w.tasks.iter().filter(|(_, t)| t.state == TaskState::Running) {
                let wish = &self.jobs[&id.job];
                if wish.known_accepted && !wish.wants_withdrawal && wish.known_final.is_none() {
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
            self.withdraw_job(id, 200 * MS);
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
    pub(super) fn withdraw_job(&mut self, id: String, within: u64) {
        self.jobs.get_mut(&id).unwrap().wants_withdrawal = true;
        self.schedule_within(0, within, SimEvent::UserTurn(id));
    }

    /// The last task of a job has ended this moment.
    pub(super) fn job_tasks_completed(&mut self, id: String) {
        let share = self.withdraw_at_end_probability;
        if self.chance(share) && self.record_fault("at_end") {
            self.withdraw_job(id, 5 * MS);
        }
    }

    /// A new leader has appeared: copies of reports that were kept for it come to every controller.
    fn deliver_retained_reports(&mut self) {
        let leader = self
            .store
            .keys
            .get(records::LEADER_KEY)
            .map_or(self.last_leader_revision, |(_, stamp, _)| *stamp);
        if self.last_leader_revision == leader {
            return;
        }
        self.last_leader_revision = leader;
        for report in std::mem::take(&mut self.retained_reports) {
            for node in 0..self.settings.len() {
                self.coverage.retained_reports_delivered += 1;
                self.record_fault("kept_reports");
                self.schedule_within(0, 2 * S, SimEvent::DuplicateReport { node, report: report.clone() });
            }
        }
    }

    /// A call has come to the store, or a watch is looked at again.
    pub(super) fn handle_store_call(
        &mut self,
        node: usize,
        life: u64,
        id: CallId,
        call: StoreCall,
        since: Micros,
    ) {
        let refused = self.is_active(TimedFault::StoreDown) || self.is_active(TimedFault::StoreRefuses(node));
        let slow = self.is_active(TimedFault::StoreSlow);
        let off = self.store_unreachable_until(node) > self.now;
        if let StoreCall::Follow { prefix, after, hold_ms } = &call {
            let open = since < self.now;
            let waited = self.now.since(since);
            let hold = Micros::from_millis(*hold_ms);
            // A watch that is open stays open while nobody, or its controller alone, is served.
            let hangs = self.is_active(TimedFault::WatchHangs(node));
            let waits = if refused {
                open
            } else {
                hangs || waited < hold && self.store.changes_since(prefix, *after).is_empty()
            };
            if waits && !off {
                if waited > hold + PATIENCE {
                    let event = Event::Store(id, StoreReply::Unclear);
                    return self
                        .schedule_at(self.now, SimEvent::ToController { node, incarnation: life, event });
                }
                let again = self.now + Micros::from_millis(40);
                return self.schedule_at(
                    again,
                    SimEvent::Watch { node, incarnation: life, id, call, opened_at: since },
                );
            }
        }
        let fate =
            self.commit_fault.and_then(|fate| if let StoreCall::Commit(t) = &call { fate(t) } else { None });
        if off {
            let isolated = self.is_active(TimedFault::Isolated(node));
            self.record_fault(if isolated { "isolated" } else { "zone_cut" });
        } else if refused {
            let all = self.is_active(TimedFault::StoreDown);
            self.record_fault(if all { "store_outage" } else { "store_refuses_one" });
        }
        let reply = if off {
            // Held back, and delivered when the cut is over.
            if let StoreCall::Commit(t) = &call
                && self.rng.random_bool(0.5)
            {
                let until = self.store_unreachable_until(node);
                self.schedule_at(
                    until,
                    SimEvent::LateCommit { node, sent_at: self.now, transaction: t.clone() },
                );
            }
            StoreReply::Unclear
        } else if refused {
            StoreReply::Refused
        } else if let StoreCall::Commit(t) = &call
            && let Some(fate) = fate.or_else(|| self.random_commit_fault())
        {
            let late = SimEvent::LateCommit { node, sent_at: self.now, transaction: t.clone() };
            match fate {
                CommitFault::Delayed(after) => self.schedule_at(self.now + after, late),
                CommitFault::ReplyLost => {
                    let reply = self.store.handle(self.now, &call);
                    let done = matches!(reply, StoreReply::Committed { .. });
                    self.coverage.lost_commit_replies += u32::from(done);
                    if done {
                        self.record_fault("answers_lost");
                        self.last_commit_at[node] = self.now;
                    }
                    self.deliver_retained_reports();
                }
            }
            let event = Event::Store(id, StoreReply::Unclear);
            return self
                .schedule_at(self.now + PATIENCE, SimEvent::ToController { node, incarnation: life, event });
        } else if self.is_message_lost() {
            // Lost on the way there, on the way back, or held up and applied much later.
            if let StoreCall::Commit(t) = &call {
                let late = self.fault_profile.late;
                if self.chance(late) {
                    let late = SimEvent::LateCommit { node, sent_at: self.now, transaction: t.clone() };
                    self.schedule_within(S, 60 * S, late);
                }
            } else if self.rng.random_bool(0.5) {
                self.store.handle(self.now, &call);
            }
            StoreReply::Unclear
        } else {
            self.store.handle(self.now, &call)
        };
        if matches!(reply, StoreReply::Committed { .. }) {
            self.last_commit_at[node] = self.now;
            self.deliver_retained_reports();
        }
        let event = Event::Store(id, reply);
        let most =
            if slow && self.rng.random_bool(0.5) && self.record_fault("store_slow") { 1_400 } else { 12 };
        self.schedule_within(MS, most * MS, SimEvent::ToController { node, incarnation: life, event });
    }

    /// What befalls a transaction by the odds of the run.
    fn random_commit_fault(&mut self) -> Option<CommitFault> {
        let (late, lost) = (self.fault_profile.late_writes, self.fault_profile.answers_lost);
        if self.chance(late) && self.record_fault("late_writes") {
            return Some(CommitFault::Delayed(Micros(self.rng.random_range(2 * S..=12 * S))));
        }
        self.chance(lost).then_some(CommitFault::ReplyLost)
    }

    /// A transaction that got no answer is carried out after all.
    pub(super) fn apply_late_commit(&mut self, node: usize, sent: Micros, transaction: Transaction) {
        if self.is_active(TimedFault::StoreDown) {
            let until = self.active_until(TimedFault::StoreDown);
            return self.schedule_at(until, SimEvent::LateCommit { node, sent_at: sent, transaction });
        }
        self.store.expire_leases(self.now);
        let done = matches!(self.store.commit(transaction), StoreReply::Committed { .. });
        self.coverage.late_commits += u32::from(done && self.last_commit_at[node] > sent);
        self.deliver_retained_reports();
    }
}
