//! Final states, which never change: whoever knows one needs nobody to answer with it.
//!
//! A controller tells the others what it has recorded, and reads what was recorded before its time page by page. Else
//! each question about a job that is over costs two requests at each controller that has not been asked before: after
//! an end of all, a thousand such jobs would go unanswered for longer than their users wait.

use crate::bookkeeping::budget::Urgency;
use crate::bookkeeping::records::{self, FinalRecord};
use crate::coordination::{Controller, Purpose};
use crate::protocol::job::Final;
use crate::protocol::store::{StoreCall, StoreReply};
use crate::protocol::units::Micros;

/// Time left to other work for each state read, and after a page that did not come. A page holds a thousand at most.
const EACH: Micros = Micros(500);
const RETRY: Micros = Micros::from_secs(1);
/// Final states told with one status; further ones go with the next.
const MOST_TOLD: usize = 500;

/// A final state that this controller has recorded.
#[derive(Debug)]
pub(crate) struct Recorded {
    id: String,
    state: Final,
    tasks: u32,
    revision: u64,
    /// The others have been told once.
    told: bool,
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
    /// This controller has recorded that a job is over, in this revision.
    pub(super) fn recorded_final(&mut self, id: &str, state: Final, tasks: u32, revision: u64) {
        self.finals.insert(id, state, tasks);
        if self.recorded_finals.len() == self.tuning.final_cache.max(1) {
            self.recorded_finals.pop_front();
        }
        let recorded = Recorded { id: id.to_owned(), state, tasks, revision, told: false };
        self.recorded_finals.push_back(recorded);
        if state == Final::Withdrawn {
            // A question that a slow store answers late must not be answered with less than its user has been told.
            self.status_due = Some(self.now);
        } else {
            self.soon_status();
        }
    }

    /// Another controller has recorded that a job is over, which holds for ever: the job's tasks end here too, without
    /// waiting for the change to be followed, which the store may refuse this controller for a long time.
    pub(super) fn told_final(&mut self, id: &str, state: Final, tasks: u32) {
        self.finals.insert(id, state, tasks);
        self.retire(id);
    }

    /// What to tell the others with a status: with each what is new, and with the `regular` ones again what not all are
    /// known to have followed, for a status may be lost.
    pub(super) fn finals_to_tell(&mut self, regular: bool) -> Vec<(String, Final, u32)> {
        if self.recorded_finals.is_empty() {
            return Vec::new();
        }
        let followed = self.followed_by_others();
        self.recorded_finals.retain(|r| !r.told || r.revision > followed);
        let due: Vec<usize> = (0..self.recorded_finals.len())
            .filter(|i| regular || !self.recorded_finals[*i].told)
            .take(MOST_TOLD)
            .collect();
        let mut tell = Vec::new();
        for i in &due {
            let r = &mut self.recorded_finals[*i];
            r.told = true;
            tell.push((r.id.clone(), r.state, r.tasks));
        }
        // The next ones first next time.
        if due.len() == MOST_TOLD && regular {
            self.recorded_finals.rotate_left(MOST_TOLD);
        }
        tell
    }

    /// Up to which revision all other registered controllers have said that they have followed the store.
    fn followed_by_others(&self) -> u64 {
        let others = self.nodes.iter().filter(|(member, _)| *member != self.me());
        let applied = others.map(|(member, node)| self.word_of(member, *node).map_or(0, |s| s.applied));
        applied.min().unwrap_or(u64::MAX)
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
                && let Ok(record) = entry.value.read::<FinalRecord>()
            {
                self.finals.insert(id, record.state, record.tasks);
            }
        }
        match page.entries.last() {
            Some(last) if page.more => self.reading_finals.after.clone_from(&last.key),
            _ => self.reading_finals.over = true,
        }
    }
}
