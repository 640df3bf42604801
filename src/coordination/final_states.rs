//! Final states of jobs: caching them, announcing them to the other controllers, and answering users with them.
//!
//! A final state never changes, so a controller that knows one can answer with it without asking the state service. A
//! controller announces to the others the ends that it has recorded or found in the records, and reads the ends
//! recorded before it joined page by page. Otherwise each query about an ended job would cost two requests at every
//! controller that has not been asked before: after a restart of all controllers, queries about a thousand such jobs
//! would stay unanswered for longer than their users wait.
//!
//! A withdrawal is confirmed to its user only when it is *settled*: every controller knows of it or is inactive. After
//! the confirmation no task of the job may start, and a controller that does not know of the withdrawal might start
//! one. Until then the request waits, and it is deferred when its user would not wait longer. A withdrawal is also
//! settled once a controller that has not read it must be inactive (see `knowledge.rs`). The answer that a job is done
//! waits for the other controllers as well, but for a second at most, because the only rule that depends on it is that
//! no controller may give an older answer afterwards.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::bookkeeping::call_queue::Urgency;
use crate::bookkeeping::records::{self, FinalRecord};
use crate::coordination::{Answer, Controller, Phase, Purpose, RequestId};
use crate::protocol::job::{FinalState, JobState};
use crate::protocol::peer::EndedJob;
use crate::protocol::store::{StoreCall, StoreReply};
use crate::protocol::units::Micros;

/// Pause of the scan for each final state read, and after a failed read. A page has at most a thousand entries.
const SCAN_DELAY_PER_ENTRY: Micros = Micros(500);
const SCAN_RETRY_DELAY: Micros = Micros::from_secs(1);
/// Maximum number of ends in one status; further ones go with the next.
const MAX_ENDS_PER_STATUS: usize = 500;
/// How long the answer that a job is done waits at most until every controller knows of it, because a check by another
/// one that found the job live may still be in flight. Users expect the answer within 3 s.
const MAX_DONE_DELAY: Micros = Micros::from_secs(1);
/// Minimum time between two checks of the requests that wait for an end to be settled.
const MIN_END_CHECK_INTERVAL: Micros = Micros::from_millis(10);
/// Number of requests that may wait for an end to be settled.
const MAX_END_WAITERS: usize = 400;

/// The end of a job that some other controllers may not know of.
#[derive(Debug)]
pub(crate) struct UnsettledEnd {
    state: FinalState,
    tasks: u32,
    /// The revision that recorded the end, or a later one.
    revision: u64,
    /// Time from which the end counts as settled in any case. For a withdrawal, every controller that does not know of
    /// it is inactive by then; that a job is done is answered from then on even if another controller does not know.
    settled_at: Micros,
    /// Whether this controller announces the end to the others.
    announce: bool,
    /// Number of the last status that announced the end; 0 if none has.
    announced_in_status: u64,
}

/// How this controller learned of a job's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndSource {
    /// It recorded the end, or looked up its record for a user. It announces the end to the others.
    Records,
    /// From another controller, which announces it to all.
    Peer,
    /// From the scan of final states.
    Scan,
}

/// A user's request that waits until a job's end is settled.
#[derive(Debug)]
pub(crate) struct EndWaiter {
    request: RequestId,
    job: String,
    deadline: Micros,
}

/// Progress of the scan of recorded final states.
#[derive(Debug, Default)]
pub(crate) struct FinalStatesScan {
    /// Last key that has been read.
    cursor: String,
    next_read_at: Micros,
    /// The request for a page is in flight.
    in_flight: bool,
    /// The last page has been read.
    finished: bool,
}

impl Controller {
    /// Stores a job's final state, which was recorded at `revision` or earlier, and tracks whether all controllers know
    /// it.
    pub(super) fn record_end(&mut self, id: &str, end: FinalRecord, revision: u64, source: EndSource) {
        self.final_states.insert(id, end.state, end.tasks);
        let announce = source == EndSource::Records;
        if let Some(known) = self.unsettled_ends.get_mut(id) {
            known.revision = known.revision.min(revision);
            known.announce |= announce;
            return;
        }
        // Ends found by the scan were recorded a while ago. Only for withdrawals it must be certain that all know them.
        if source == EndSource::Scan && end.state == FinalState::Done || self.known_to_all(revision, None) {
            return;
        }
        if self.unsettled_ends.len() == self.tuning.final_cache.max(1) {
            self.unsettled_ends.shift_remove_index(0);
        }
        let settled_at = match end.state {
            FinalState::Withdrawn => self.read_by_all_at(revision),
            FinalState::Done => self.now + MAX_DONE_DELAY,
        };
        if self.now >= settled_at && !announce {
            return;
        }
        let (state, tasks) = (end.state, end.tasks);
        let unsettled = UnsettledEnd { state, tasks, revision, settled_at, announce, announced_in_status: 0 };
        self.unsettled_ends.insert(id.to_owned(), unsettled);
        if announce && state == FinalState::Withdrawn {
            self.status_due_at = Some(self.now);
            self.next_follow_at = self.next_follow_at.map(|_| self.now);
        } else if announce {
            self.schedule_status();
        }
    }

    /// Applies an end announced by another controller. As an end is final, the job's tasks are stopped at once, without
    /// waiting for the change in the records, which the state service may not deliver to this controller for a long
    /// time.
    pub(super) fn apply_peer_end(&mut self, ended: &EndedJob) {
        let end = FinalRecord { state: ended.state, tasks: ended.tasks };
        self.record_end(&ended.job, end, ended.revision, EndSource::Peer);
        self.retire(&ended.job);
    }

    /// Whether every registered controller has applied the changes up to `revision`, or has received the status
    /// numbered `announced_in_status`. A controller that registers later loads records that are at least as recent.
    fn known_to_all(&self, revision: u64, announced_in_status: Option<u64>) -> bool {
        let received = |member: &String, registration: u64| {
            let status = announced_in_status.filter(|n| *n > 0);
            status.is_some_and(|n| {
                self.status_confirmations
                    .get(member)
                    .is_some_and(|confirmed| confirmed.0 == registration && confirmed.1 >= n)
            })
        };
        let mut others = self.registrations.iter().filter(|(member, _)| *member != self.own_name());
        self.phase == Phase::Active
            && self.applied_revision >= revision
            && !self.evicted_may_act()
            && others.all(|(member, registration)| {
                received(member, *registration)
                    || self.status_of(member, *registration).is_some_and(|s| s.applied_revision >= revision)
            })
    }

    /// Whether every controller knows of this end or is inactive.
    fn is_end_settled(&self, end: &UnsettledEnd) -> bool {
        self.now >= end.settled_at || self.known_to_all(end.revision, Some(end.announced_in_status))
    }

    /// Number of ended jobs whose end is not answered to users yet because another controller may not know of it.
    pub fn unsettled_end_count(&self) -> usize {
        self.unsettled_ends.values().filter(|s| !self.is_end_settled(s)).count()
    }

    /// Answers with a job's final state, at once or as soon as the end is settled.
    pub(super) fn answer_end(
        &mut self,
        request: RequestId,
        id: &str,
        state: FinalState,
        tasks: u32,
        deadline: Micros,
    ) {
        let unsettled = self.unsettled_ends.get(id).is_some_and(|s| !self.is_end_settled(s));
        if !unsettled {
            return self.answer(request, final_answer(id, state, tasks));
        }
        if self.end_waiters.len() >= MAX_END_WAITERS {
            return self.answer(request, Answer::RetryLater(1));
        }
        self.end_waiters.push(EndWaiter { request, job: id.to_owned(), deadline });
    }

    /// Answers the waiting requests whose jobs' ends are settled by now, and defers those whose deadline has passed.
    pub(super) fn answer_end_waiters(&mut self) {
        if self.end_waiters.is_empty() || self.now < self.next_end_check_at {
            return;
        }
        self.next_end_check_at = self.now + MIN_END_CHECK_INTERVAL;
        for waiter in std::mem::take(&mut self.end_waiters) {
            match self.final_states.get(&waiter.job) {
                Some((state, tasks)) if self.now < waiter.deadline => {
                    self.answer_end(waiter.request, &waiter.job, state, tasks, waiter.deadline);
                }
                _ => self.answer(waiter.request, Answer::RetryLater(1)),
            }
        }
    }

    /// The ends to announce in the next status. Every status announces new ones; a `regular` status repeats those that
    /// some controllers may not know of, because a status may be lost.
    pub(super) fn ends_to_announce(&mut self, regular: bool) -> Vec<EndedJob> {
        if self.unsettled_ends.is_empty() {
            return Vec::new();
        }
        let mut unsettled = std::mem::take(&mut self.unsettled_ends);
        unsettled.retain(|_, s| {
            if s.announce {
                s.announced_in_status == 0 || !self.known_to_all(s.revision, None)
            } else {
                !self.is_end_settled(s)
            }
        });
        let due = |s: &UnsettledEnd| s.announce && (regular || s.announced_in_status == 0);
        let chosen = select_ends(&unsettled, due);
        self.mark_ends_announced(&mut unsettled, &chosen);
        let announced = to_ended_messages(&unsettled, &chosen);
        self.unsettled_ends = unsettled;
        announced
    }

    /// All ends that this controller announces, for a full broadcast status. Its receipt confirms all earlier statuses
    /// as well, so ends that do not fit have to be announced again.
    pub(super) fn all_ends_for_broadcast(&mut self) -> Vec<EndedJob> {
        let mut unsettled = std::mem::take(&mut self.unsettled_ends);
        let chosen = select_ends(&unsettled, |s| s.announce);
        reannounce_unselected(&mut unsettled, &chosen);
        self.mark_ends_announced(&mut unsettled, &chosen);
        let announced = to_ended_messages(&unsettled, &chosen);
        self.unsettled_ends = unsettled;
        announced
    }

    /// The same for a status to a single controller.
    ///
    /// It has the number of the last broadcast, which the other controllers may have confirmed without receiving these
    /// ends. Therefore the ends are not marked as announced in it.
    pub(super) fn all_ends_for_unicast(&mut self) -> Vec<EndedJob> {
        let chosen = select_ends(&self.unsettled_ends, |s| s.announce);
        reannounce_unselected(&mut self.unsettled_ends, &chosen);
        to_ended_messages(&self.unsettled_ends, &chosen)
    }

    fn mark_ends_announced(&self, unsettled: &mut IndexMap<String, UnsettledEnd>, chosen: &[String]) {
        for id in chosen {
            if let Some(end) = unsettled.get_mut(id) {
                end.announced_in_status = self.status_sequence;
            }
        }
    }

    /// Whether a withdrawal that this controller announces is not settled yet.
    pub(super) fn has_unconfirmed_withdrawals(&self) -> bool {
        self.unsettled_ends
            .values()
            .any(|s| s.announce && s.state == FinalState::Withdrawn && !self.is_end_settled(s))
    }

    /// Records that another controller has received this one's statuses up to `sequence`.
    pub(super) fn record_status_confirmation(
        &mut self,
        (member, registration): (String, u64),
        sequence: u64,
    ) {
        let confirmed = self.status_confirmations.entry(member).or_insert((registration, 0));
        *confirmed = if confirmed.0 == registration {
            (registration, confirmed.1.max(sequence))
        } else {
            (registration, sequence)
        };
    }

    /// Resets announcements and confirmations, which do not carry over to the next registration.
    pub(super) fn reset_end_announcements(&mut self) {
        self.status_confirmations.clear();
        self.unsettled_ends.retain(|_, s| s.state == FinalState::Withdrawn && s.settled_at > self.now);
        self.unsettled_ends.values_mut().for_each(|s| s.announced_in_status = 0);
    }

    /// Requests the next page of the final states that were recorded before this controller joined, unless the cache is
    /// full.
    pub(super) fn read_final_states(&mut self) {
        let scan = &self.final_states_scan;
        if scan.finished
            || scan.in_flight
            || self.now < scan.next_read_at
            || !self.entitled()
            || self.final_states.is_full()
        {
            return;
        }
        let call = StoreCall::List {
            prefix: records::FINAL_STATES_PREFIX.to_owned(),
            after: self.final_states_scan.cursor.clone(),
        };
        self.final_states_scan.in_flight = true;
        // More urgent than users' queries, because a page answers hundreds of them.
        self.enqueue_store_call(Urgency::Completion, Purpose::ReadFinals, call);
    }

    pub(super) fn handle_final_states_reply(&mut self, reply: StoreReply) {
        self.final_states_scan.in_flight = false;
        self.final_states_scan.next_read_at = self.now + SCAN_RETRY_DELAY;
        let StoreReply::Page(page) = reply else { return };
        self.final_states_scan.next_read_at =
            self.now + Micros(SCAN_DELAY_PER_ENTRY.0 * page.entries.len() as u64);
        for entry in &page.entries {
            if let Some(id) = entry.key.strip_prefix(records::FINAL_STATES_PREFIX)
                && let Ok(record) = entry.value.parse::<FinalRecord>()
            {
                self.record_end(id, record, entry.stamp, EndSource::Scan);
            }
        }
        match page.entries.last() {
            Some(last) if page.more => self.final_states_scan.cursor.clone_from(&last.key),
            _ => self.final_states_scan.finished = true,
        }
    }
}

pub(super) fn final_answer(id: &str, state: FinalState, tasks: u32) -> Answer {
    let done = if state == FinalState::Done { tasks } else { 0 };
    Answer::Job { created: false, id: id.to_owned(), state: JobState::Final(state), done, running: 0 }
}

/// Jobs whose ends are due, as many as fit into one status, with those announced longest ago first.
fn select_ends(
    unsettled: &IndexMap<String, UnsettledEnd>,
    due: impl Fn(&UnsettledEnd) -> bool,
) -> Vec<String> {
    let mut due: Vec<(&String, &UnsettledEnd)> = unsettled.iter().filter(|(_, end)| due(end)).collect();
    due.sort_by_key(|(_, end)| end.announced_in_status);
    due.into_iter().take(MAX_ENDS_PER_STATUS).map(|(id, _)| id.clone()).collect()
}

/// Marks the ends that did not fit into a full status as not announced.
fn reannounce_unselected(unsettled: &mut IndexMap<String, UnsettledEnd>, chosen: &[String]) {
    let chosen: BTreeSet<&String> = chosen.iter().collect();
    let left = unsettled.iter_mut().filter(|(id, end)| end.announce && !chosen.contains(id));
    left.for_each(|(_, end)| end.announced_in_status = 0);
}

/// The chosen ends in the form in which a status carries them.
fn to_ended_messages(unsettled: &IndexMap<String, UnsettledEnd>, chosen: &[String]) -> Vec<EndedJob> {
    let ends = chosen.iter().filter_map(|id| Some((id, unsettled.get(id)?)));
    ends.map(|(id, end)| EndedJob {
        job: id.clone(),
        state: end.state,
        tasks: end.tasks,
        revision: end.revision,
    })
    .collect()
}
