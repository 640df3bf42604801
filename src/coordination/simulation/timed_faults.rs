//! Faults of the store and the controllers that last for a time.
//!
//! Each has a duration and a target. Several may be active at once, also of one kind.

use super::*;

/// A fault that lasts from its start to a given end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum TimedFault {
    /// The store refuses all calls; when it is back, all leases have their full term again.
    StoreDown,
    /// The store refuses one controller; the leases of this controller expire meanwhile.
    StoreRefuses(usize),
    /// The store serves a controller except for its watch, which returns no changes.
    WatchHangs(usize),
    /// Half of the store's replies take up to 1.4 s.
    StoreSlow,
    /// A controller reaches neither the store nor the other controllers; workers and users reach it.
    Isolated(usize),
    /// A controller's process is paused while its clock runs on; events for it are queued.
    ControllerPaused(usize),
    /// A controller is paused between a decision and the sending of its effects.
    ///
    /// The first event during the fault is handled, its effects are sent when the fault ends, and all other events are
    /// queued.
    PausedBeforeSending(usize),
    /// Two controllers do not reach each other.
    Partitioned(usize, usize),
    /// No controller reaches another.
    AllPartitioned,
    /// The workers and controllers of a zone reach only each other.
    ZonePartitioned(&'static str),
}

/// A fault of a transaction that reaches the store: it is committed at once and its reply is lost, or it gets no reply
/// and is committed after the given delay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CommitFault {
    ReplyLost,
    Delayed(Micros),
}

/// After how long without progress a controller gives up a link.
const LINK_TIMEOUT: Micros = Micros::from_secs(3);
/// How long a caller waits for a reply; for a watch, beyond the time for which the store holds it.
pub(super) const CALL_TIMEOUT: Micros = Micros::from_millis(1_500);

impl World {
    /// Begins a fault now.
    pub(super) fn begin_fault(&mut self, fault: TimedFault, until: Micros) {
        let now = self.now;
        self.timed_faults.retain(|(.., until)| *until > now);
        self.timed_faults.push((fault, now, until));
        self.faults_end = self.faults_end.max(until);
        if fault == TimedFault::StoreDown {
            let until = self.active_until(fault);
            self.store.renew_all_leases(until);
        }
    }

    /// Schedules a fault for a later time.
    pub(super) fn schedule_fault(&mut self, from: Micros, fault: TimedFault, duration: Micros) {
        self.schedule_at(from, SimEvent::FaultBegins(fault, from + duration));
    }

    /// Whether a fault equal to this one is active now.
    pub(super) fn is_active(&self, fault: TimedFault) -> bool {
        self.timed_faults.iter().any(|(s, _, until)| *s == fault && self.now < *until)
    }

    /// When a message arrives that one controller sends to another now, while the two are partitioned.
    ///
    /// A link keeps what was sent before its sender noticed the lack of progress, and delivers it in order when the
    /// partition ends. Returns `None` for messages that are lost.
    pub(super) fn held_message_arrival(&self, from: usize, to: usize) -> Option<Micros> {
        let zones = [self.controller_zones[from], self.controller_zones[to]];
        let between = |s: &TimedFault| match s {
            TimedFault::ZonePartitioned(zone) => zones[0] != zones[1] && zones.contains(zone),
            TimedFault::Isolated(n) => [from, to].contains(n),
            TimedFault::Partitioned(a, b) => [(from, to), (to, from)].contains(&(*a, *b)),
            _ => false,
        };
        let partitions = self.timed_faults.iter().filter(|(s, _, until)| between(s) && self.now < *until);
        let (since, until) = partitions.fold((Micros::MAX, Micros::ZERO), |(since, until), (_, from, to)| {
            (since.min(*from), until.max(*to))
        });
        (self.now.since(since) < LINK_TIMEOUT && until < Micros::MAX).then_some(until)
    }

    /// When the last of the faults equal to this one ends.
    pub(super) fn active_until(&self, fault: TimedFault) -> Micros {
        let ends = self.timed_faults.iter().filter(|(s, ..)| *s == fault).map(|(.., until)| *until);
        ends.max().unwrap_or_default()
    }

    /// Until when a zone is cut off.
    pub(super) fn zone_partitioned_until(&self, zone: &str) -> Micros {
        let partitions = self
            .timed_faults
            .iter()
            .filter(|(s, ..)| matches!(s, TimedFault::ZonePartitioned(z) if *z == zone));
        partitions.map(|(.., until)| *until).max().unwrap_or_default()
    }

    /// Until when a controller and the store do not reach each other.
    fn store_unreachable_until(&self, node: usize) -> Micros {
        self.active_until(TimedFault::Isolated(node))
            .max(self.zone_partitioned_until(self.controller_zones[node]))
    }

    /// Crashes all controllers and keeps them down for the given time.
    pub(super) fn stop_all_controllers(&mut self, duration: Micros) {
        self.controllers_down_until = self.now + duration;
        (0..self.settings.len()).for_each(|n| self.crash_for(n, duration));
    }

    /// Withdraws up to `count` running jobs within 0.2 s, and hangs up to eight of their machines for the given time.
    ///
    /// Returns the number of withdrawn jobs.
    pub(super) fn withdraw_running_jobs(&mut self, count: usize, hang: Micros) -> usize {
        let mut running: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (name, w) in self.workers.iter().filter(|(_, w)| !w.dead) {
            for (id, _) in w.tasks.iter().filter(|(_, t)| t.state == TaskState::Running) {
                let user_job = &self.jobs[&id.job];
                if user_job.known_accepted && !user_job.wants_withdrawal && user_job.known_final.is_none() {
                    running.entry(id.job.clone()).or_default().push(name.clone());
                }
            }
        }
        let mut machines = BTreeSet::new();
        let to_withdraw = running.len().min(count);
        for _ in 0..to_withdraw {
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
        to_withdraw
    }

    /// The store refuses all controllers for a little longer than their leases, and then serves them again one by one,
    /// up to seconds apart. Users withdraw some of the running jobs at the one that is served first.
    pub(super) fn refuse_in_turn(&mut self) {
        let mut nodes: Vec<usize> = (0..self.settings.len()).collect();
        let turn = self.rng.random_range(0..nodes.len());
        nodes.rotate_left(turn);
        let lease_term = self.settings[0].lease_term(&self.tuning);
        let mut until = self.now + lease_term + Micros(self.rng.random_range(S..6 * S));
        self.withdraw_at(nodes[0], until);
        for node in nodes {
            self.begin_fault(TimedFault::StoreRefuses(node), until);
            until += Micros(self.rng.random_range(100 * MS..8 * S));
        }
    }

    /// Users withdraw one to three of the running jobs at this controller. They ask again and again for some seconds, as
    /// the controller is served by the store from `served_from` on and registers some time after that.
    fn withdraw_at(&mut self, node: usize, served_from: Micros) {
        let mut running: BTreeSet<String> = BTreeSet::new();
        for w in self.workers.values().filter(|w| !w.dead) {
            let tasks = w.tasks.iter().filter(|(_, t)| t.state == TaskState::Running);
            running.extend(tasks.map(|(id, _)| id.job.clone()));
        }
        let wanted = |w: &UserJob| w.known_accepted && !w.wants_withdrawal && w.known_final.is_none();
        let mut running: Vec<String> = running.into_iter().filter(|id| wanted(&self.jobs[id])).collect();
        for _ in 0..self.rng.random_range(1..=3) {
            if running.is_empty() {
                return;
            }
            let index = self.rng.random_range(0..running.len());
            let job = running.swap_remove(index);
            self.jobs.get_mut(&job).unwrap().wants_withdrawal = true;
            let last = served_from + Micros::from_secs(4);
            let mut at = served_from;
            while at < last {
                let request = UserRequest::Withdraw;
                self.schedule_at(at, SimEvent::SendUserRequest { node, job: job.clone(), request });
                at += Micros(self.rng.random_range(20 * MS..150 * MS));
            }
        }
    }

    /// Makes a user withdraw a job within the given number of microseconds, besides its other requests.
    pub(super) fn withdraw_job(&mut self, id: String, within: u64) {
        self.jobs.get_mut(&id).unwrap().wants_withdrawal = true;
        self.schedule_within(0, within, SimEvent::UserTurn(id));
    }

    /// Called when the last task of a job completes; may withdraw the job at that moment.
    pub(super) fn job_tasks_completed(&mut self, id: String) {
        let p = self.withdraw_at_end_probability;
        if self.chance(p) && self.record_fault("withdraw_at_end") {
            self.withdraw_job(id, 5 * MS);
        }
    }

    /// Delivers the retained copies of reports to every controller once a new leader has appeared.
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
                self.record_fault("retained_reports");
                self.schedule_within(0, 2 * S, SimEvent::DuplicateReport { node, report: report.clone() });
            }
        }
    }

    /// Handles a call that reaches the store, or polls a watch that is open.
    pub(super) fn handle_store_call(
        &mut self,
        node: usize,
        incarnation: u64,
        id: CallId,
        call: StoreCall,
        opened_at: Micros,
    ) {
        let refused = self.is_active(TimedFault::StoreDown) || self.is_active(TimedFault::StoreRefuses(node));
        let slow = self.is_active(TimedFault::StoreSlow);
        let unreachable = self.store_unreachable_until(node) > self.now;
        if let StoreCall::Follow { prefix, after, hold_ms } = &call {
            let open = opened_at < self.now;
            let waited = self.now.since(opened_at);
            let hold = Micros::from_millis(*hold_ms);
            // An open watch stays open while the store refuses all controllers or this one.
            let watch_hangs = self.is_active(TimedFault::WatchHangs(node));
            let stays_open = if refused {
                open
            } else {
                watch_hangs || waited < hold && self.store.changes_since(prefix, *after).is_empty()
            };
            if stays_open && !unreachable {
                if waited > hold + CALL_TIMEOUT {
                    let event = Event::Store(id, StoreReply::Unclear);
                    return self.schedule_at(self.now, SimEvent::ToController { node, incarnation, event });
                }
                let next_poll = self.now + Micros::from_millis(40);
                return self
                    .schedule_at(next_poll, SimEvent::Watch { node, incarnation, id, call, opened_at });
            }
        }
        let fault = self
            .commit_fault
            .and_then(|fault_of| if let StoreCall::Commit(t) = &call { fault_of(t) } else { None });
        if unreachable {
            let isolated = self.is_active(TimedFault::Isolated(node));
            self.record_fault(if isolated { "isolated" } else { "zone_cut" });
        } else if refused {
            let all = self.is_active(TimedFault::StoreDown);
            self.record_fault(if all { "store_outage" } else { "store_refuses_one" });
        }
        let reply = if unreachable {
            // Half of the transactions are kept back and delivered when the partition ends; other calls are lost.
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
            && let Some(fault) = fault.or_else(|| self.random_commit_fault())
        {
            let late = SimEvent::LateCommit { node, sent_at: self.now, transaction: t.clone() };
            match fault {
                CommitFault::Delayed(after) => self.schedule_at(self.now + after, late),
                CommitFault::ReplyLost => {
                    let reply = self.store.handle_call(self.now, &call);
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
                .schedule_at(self.now + CALL_TIMEOUT, SimEvent::ToController { node, incarnation, event });
        } else if self.is_message_lost() {
            // The call is lost, its reply is lost, or the call is delayed and carried out much later.
            if let StoreCall::Commit(t) = &call {
                let late = self.fault_profile.late;
                if self.chance(late) {
                    let late = SimEvent::LateCommit { node, sent_at: self.now, transaction: t.clone() };
                    self.schedule_within(S, 60 * S, late);
                }
            } else if self.rng.random_bool(0.5) {
                self.store.handle_call(self.now, &call);
            }
            StoreReply::Unclear
        } else {
            self.store.handle_call(self.now, &call)
        };
        if matches!(reply, StoreReply::Committed { .. }) {
            self.last_commit_at[node] = self.now;
            self.deliver_retained_reports();
        }
        let event = Event::Store(id, reply);
        let max_delay_ms =
            if slow && self.rng.random_bool(0.5) && self.record_fault("store_slow") { 1_400 } else { 12 };
        self.schedule_within(MS, max_delay_ms * MS, SimEvent::ToController { node, incarnation, event });
    }

    /// Draws a fault of a transaction with the probabilities of the run.
    fn random_commit_fault(&mut self) -> Option<CommitFault> {
        let (late, lost) = (self.fault_profile.late_writes, self.fault_profile.answers_lost);
        if self.chance(late) && self.record_fault("late_writes") {
            return Some(CommitFault::Delayed(Micros(self.rng.random_range(2 * S..=12 * S))));
        }
        self.chance(lost).then_some(CommitFault::ReplyLost)
    }

    /// Commits a transaction that got no reply.
    pub(super) fn apply_late_commit(&mut self, node: usize, sent_at: Micros, transaction: Transaction) {
        if self.is_active(TimedFault::StoreDown) {
            let until = self.active_until(TimedFault::StoreDown);
            return self.schedule_at(until, SimEvent::LateCommit { node, sent_at, transaction });
        }
        self.store.expire_leases(self.now);
        let done = matches!(self.store.commit(transaction), StoreReply::Committed { .. });
        self.coverage.late_commits += u32::from(done && self.last_commit_at[node] > sent_at);
        self.deliver_retained_reports();
    }
}
