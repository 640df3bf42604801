//! Final states, which never change: whoever knows one needs nobody to answer with it.
//!
//! A controller tells the others what it has recorded or found in the records, and reads what was recorded before its
//! time page by page. Else each question about a job that is over costs two requests at each controller that has not
//! been asked before: after an end of all, a thousand such jobs would go unanswered for longer than their users wait.
//!
//! A withdrawal is confirmed to its user only when every controller knows of it or is silent: from then on no task of
//! the job may start, and whoever does not know may start one. Until then the request waits, and is turned away when
//! its user would not wait longer. It is settled, too, once so much time has passed that a controller which has not
//! read of it acts no more (`knowledge.rs`). That a job is done waits for the others as well, but no longer than a
//! second: no rule hangs on it but that no controller may give an older answer.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::bookkeeping::budget::Urgency;
use crate::bookkeeping::records::{self, FinalRecord};
use crate::coordination::{Answer, Controller, Phase, Purpose, RequestId};
use crate::protocol::job::{FinalState, JobState};
use crate::protocol::peer::EndedJob;
use crate::protocol::store::{StoreCall, StoreReply};
use crate::protocol::units::Micros;

/// Time left to other work for each state read, and after a page that did not come. A page holds a thousand at most.
const EACH: Micros = Micros(500);
const RETRY: Micros = Micros::from_secs(1);
/// Final states told with one status; further ones go with the next.
const MOST_TOLD: usize = 500;
/// How long the word that a job is done waits at most until all know of it: a check of another controller may be under
/// way that still found it live. Its user expects the word within 3 s.
const DONE_HELD: Micros = Micros::from_secs(1);
/// Least time between two looks at who waits for an end to be settled.
const AWAITING_SPACING: Micros = Micros::from_millis(10);
/// Requests that may wait for an end to be settled.
const MOST_AWAITING: usize = 400;

/// The end of a job that not all others are known to know of.
#[derive(Debug)]
pub(crate) struct Spreading {
    state: FinalState,
    tasks: u32,
    /// The revision that recorded it, or a later one.
    revision: u64,
    /// From then on nobody acts who does not know of it; of a job that is done, from when on it is told anyway.
    silent_at: Micros,
    /// Whether this controller tells the others, and with which status it last did; 0: not yet.
    tell: bool,
    told_in: u64,
}

/// How a controller has come to know of a job's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// It has recorded it, or has found its record where a user asked: the others are told.
    Records,
    /// It has heard it from another, who tells all.
    Peer,
    /// It has read it among many.
    Pages,
}

/// A user who is to be told of an end that is not settled.
#[derive(Debug)]
pub(crate) struct Awaiting {
    request: RequestId,
    job: String,
    until: Micros,
}

/// How far the recorded final states have been read.
#[derive(Debug, Default)]
pub(crate) struct Reading {
    after: String,
    next: Micros,
    asked: bool,
    over: bool,
}

impl Controller {
    /// A job is over, by the record of this revision or a former one.
    pub(super) fn learned_end(&mut self, id: &str, end: FinalRecord, revision: u64, source: Source) {
        self.finals.insert(id, end.state, end.tasks);
        let tell = source == Source::Records;
        if let Some(known) = self.spreading.get_mut(id) {
            known.revision = known.revision.min(revision);
            known.tell |= tell;
            return;
        }
        // What is read among many was recorded a while ago; only a withdrawal must be known to all for certain.
        if source == Source::Pages && end.state == FinalState::Done || self.known_to_all(revision, None) {
            return;
        }
        if self.spreading.len() == self.tuning.final_cache.max(1) {
            self.spreading.shift_remove_index(0);
        }
        let silent_at = match end.state {
            FinalState::Withdrawn => self.silent_without(revision),
            FinalState::Done => self.now + DONE_HELD,
        };
        if self.now >= silent_at && !tell {
            return;
        }
        let (state, tasks) = (end.state, end.tasks);
        let spreading = Spreading { state, tasks, revision, silent_at, tell, told_in: 0 };
        self.spreading.insert(id.to_owned(), spreading);
        if tell && state == FinalState::Withdrawn {
            self.status_due = Some(self.now);
            self.follow_at = self.follow_at.map(|_| self.now);
        } else if tell {
            self.soon_status();
        }
    }

    /// Another controller knows that a job is over, which holds for ever: the job's tasks end here too, without
    /// waiting for the change to be followed, which the store may refuse this controller for a long time.
    pub(super) fn told_end(&mut self, ended: &EndedJob) {
        let end = FinalRecord { state: ended.state, tasks: ended.tasks };
        self.learned_end(&ended.job, end, ended.revision, Source::Peer);
        self.retire(&ended.job);
    }

    /// All registered controllers have followed the store up to this revision, or have taken in the status of this
    /// number. Who registers later loads what is behind it.
    fn known_to_all(&self, revision: u64, told_in: Option<u64>) -> bool {
        let heard = |member: &String, node: u64| {
            let told = told_in.filter(|n| *n > 0);
            told.is_some_and(|n| self.statuses_heard.get(member).is_some_and(|h| h.0 == node && h.1 >= n))
        };
        let mut others = self.nodes.iter().filter(|(member, _)| *member != self.me());
        self.phase == Phase::Active
            && self.applied >= revision
            && !self.evicted_may_act()
            && others.all(|(member, node)| {
                heard(member, *node)
                    || self.word_of(member, *node).is_some_and(|s| s.applied_revision >= revision)
            })
    }

    /// Every controller knows of this end, or acts no more.
    fn end_settled(&self, end: &Spreading) -> bool {
        self.now >= end.silent_at || self.known_to_all(end.revision, Some(end.told_in))
    }

    /// Jobs that are over, of which no user is told yet since another controller may not know.
    pub fn ends_unsettled(&self) -> usize {
        self.spreading.values().filter(|s| !self.end_settled(s)).count()
    }

    /// Answers with a job's end: at once, or when it is settled.
    pub(super) fn answer_end(
        &mut self,
        request: RequestId,
        id: &str,
        state: FinalState,
        tasks: u32,
        until: Micros,
    ) {
        let unsettled = self.spreading.get(id).is_some_and(|s| !self.end_settled(s));
        if !unsettled {
            return self.answer(request, final_answer(id, state, tasks));
        }
        if self.awaiting.len() >= MOST_AWAITING {
            return self.answer(request, Answer::Later(1));
        }
        self.awaiting.push(Awaiting { request, job: id.to_owned(), until });
    }

    /// Answers those whose jobs' ends are settled by now, and turns away those who would wait no longer.
    pub(super) fn answer_awaiting(&mut self) {
        if self.awaiting.is_empty() || self.now < self.awaiting_at {
            return;
        }
        self.awaiting_at = self.now + AWAITING_SPACING;
        for one in std::mem::take(&mut self.awaiting) {
            match self.finals.get(&one.job) {
                Some((state, tasks)) if self.now < one.until => {
                    self.answer_end(one.request, &one.job, state, tasks, one.until);
                }
                _ => self.answer(one.request, Answer::Later(1)),
            }
        }
    }

    /// What to tell the others with a status: with each what is new, and with the `regular` ones again what not all are
    /// known to know, for a status may be lost.
    pub(super) fn ends_to_tell(&mut self, regular: bool) -> Vec<EndedJob> {
        if self.spreading.is_empty() {
            return Vec::new();
        }
        let mut spreading = std::mem::take(&mut self.spreading);
        spreading.retain(|_, s| {
            if s.tell { s.told_in == 0 || !self.known_to_all(s.revision, None) } else { !self.end_settled(s) }
        });
        let due = |s: &Spreading| s.tell && (regular || s.told_in == 0);
        let chosen = choose(&spreading, due);
        self.mark_told(&mut spreading, &chosen);
        let told = ended(&spreading, &chosen);
        self.spreading = spreading;
        told
    }

    /// All ends that this controller tells, for a status to all: taken in, it proves that all before it were. Whatever
    /// does not fit is told anew.
    pub(super) fn all_ends(&mut self) -> Vec<EndedJob> {
        let mut spreading = std::mem::take(&mut self.spreading);
        let chosen = choose(&spreading, |s| s.tell);
        tell_others_anew(&mut spreading, &chosen);
        self.mark_told(&mut spreading, &chosen);
        let told = ended(&spreading, &chosen);
        self.spreading = spreading;
        told
    }

    /// The same for a status to a single controller. It says nothing to the others, who may have confirmed its number: they
    /// are still to be told what none of them has been.
    pub(super) fn all_ends_for_one(&mut self) -> Vec<EndedJob> {
        let chosen = choose(&self.spreading, |s| s.tell);
        tell_others_anew(&mut self.spreading, &chosen);
        ended(&self.spreading, &chosen)
    }

    fn mark_told(&self, spreading: &mut IndexMap<String, Spreading>, chosen: &[String]) {
        for id in chosen {
            if let Some(end) = spreading.get_mut(id) {
                end.told_in = self.status_sequence;
            }
        }
    }

    /// Some users wait until the others have confirmed what they are told.
    pub(super) fn ends_owed(&self) -> bool {
        self.spreading.values().any(|s| s.tell && s.state == FinalState::Withdrawn && !self.end_settled(s))
    }

    /// Another controller has taken in this one's statuses up to this number.
    pub(super) fn status_heard(&mut self, (member, node): (String, u64), sequence: u64) {
        let heard = self.statuses_heard.entry(member).or_insert((node, 0));
        *heard = if heard.0 == node { (node, heard.1.max(sequence)) } else { (node, sequence) };
    }

    /// Under the next registration nothing has been told, and what others have heard counts for nothing.
    pub(super) fn forget_told_ends(&mut self) {
        self.statuses_heard.clear();
        self.spreading.retain(|_, s| s.state == FinalState::Withdrawn && s.silent_at > self.now);
        self.spreading.values_mut().for_each(|s| s.told_in = 0);
    }

    /// Reads the next page of what was recorded before this controller's time, as long as there is memory for it.
    pub(super) fn read_finals(&mut self) {
        let reading = &self.reading_finals;
        if reading.over || reading.asked || self.now < reading.next || !self.entitled() || self.finals.full()
        {
            return;
        }
        let call = StoreCall::List {
            prefix: records::FINISHED.to_owned(),
            after: self.reading_finals.after.clone(),
        };
        self.reading_finals.asked = true;
        // Before the questions, of which a page answers hundreds.
        self.store(Urgency::Completion, Purpose::Finals, call);
    }

    pub(super) fn finals_read(&mut self, reply: StoreReply) {
        self.reading_finals.asked = false;
        self.reading_finals.next = self.now + RETRY;
        let StoreReply::Page(page) = reply else { return };
        self.reading_finals.next = self.now + Micros(EACH.0 * page.entries.len() as u64);
        for entry in &page.entries {
            if let Some(id) = entry.key.strip_prefix(records::FINISHED)
                && let Ok(record) = entry.value.parse::<FinalRecord>()
            {
                self.learned_end(id, record, entry.stamp, Source::Pages);
            }
        }
        match page.entries.last() {
            Some(last) if page.more => self.reading_finals.after.clone_from(&last.key),
            _ => self.reading_finals.over = true,
        }
    }
}

pub(super) fn final_answer(id: &str, state: FinalState, tasks: u32) -> Answer {
    let done = if state == FinalState::Done { tasks } else { 0 };
    Answer::Job { created: false, id: id.to_owned(), state: JobState::Final(state), done, running: 0 }
}

/// The ends that are due, as many as a status holds: those told longest ago.
fn choose(spreading: &IndexMap<String, Spreading>, due: impl Fn(&Spreading) -> bool) -> Vec<String> {
    let mut due: Vec<(&String, &Spreading)> = spreading.iter().filter(|(_, end)| due(end)).collect();
    due.sort_by_key(|(_, end)| end.told_in);
    due.into_iter().take(MOST_TOLD).map(|(id, _)| id.clone()).collect()
}

/// Ends that a status which tells all has no room for are told anew.
fn tell_others_anew(spreading: &mut IndexMap<String, Spreading>, chosen: &[String]) {
    let chosen: BTreeSet<&String> = chosen.iter().collect();
    let left = spreading.iter_mut().filter(|(id, end)| end.tell && !chosen.contains(id));
    left.for_each(|(_, end)| end.told_in = 0);
}

/// Ends as a status tells them.
fn ended(spreading: &IndexMap<String, Spreading>, chosen: &[String]) -> Vec<EndedJob> {
    let ends = chosen.iter().filter_map(|id| Some((id, spreading.get(id)?)));
    ends.map(|(id, end)| EndedJob {
        job: id.clone(),
        state: end.state,
        tasks: end.tasks,
        revision: end.revision,
    })
    .collect()
}
