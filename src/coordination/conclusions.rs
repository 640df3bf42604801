//! Recent conclusions that a task is not on a machine, and what contradicts them.
//!
//! A task runs twice only after such a conclusion was wrong, and only if its second start comes in time; that the conclusion was
//! wrong shows far more often. So each is kept for a while ([`Conclusions`]). When a machine's own words, or its holder's, show
//! the very start that was taken for gone, that is counted by the conclusion's ground and logged with what both rested on.
//!
//! A message that was under way while the conclusion was drawn proves nothing: a former holder's words, those of a new holder
//! that only repeats them, a report that was sent under an older token, or that is out of date or came to another controller
//! than the holder. Those are counted apart ([`Evidence::unordered`]). A start that is taken back and planned anew has another attempt and contradicts nothing, but for
//! two: a gang's lost member is started anew under the gang's attempt, and a job's new owner may use an attempt again if it had
//! not heard of the former owner's plan. So a start that is sent takes back the conclusion on the same attempt there.

use std::collections::{BTreeMap, VecDeque};

use rustc_hash::FxHashMap;

use crate::coordination::Controller;
use crate::coordination::model::Job;
use crate::coordination::removal::{Removal, Removed};
use crate::protocol::units::Micros;
use crate::protocol::worker::{Report, TaskId, TaskState};

/// How long a conclusion is kept. Orders, reports and handovers of a machine are over within a lease of its worker.
const KEPT_FOR: Micros = Micros::from_secs(120);

/// How many conclusions are kept; beyond that the oldest are forgotten early.
const MOST_KEPT: usize = 4_096;

/// One conclusion that a task which had not ended is not on a machine.
#[derive(Clone, Debug)]
struct Conclusion {
    machine: String,
    removed: Removed,
    ground: Removal,
    at: Micros,
    /// A message whose order is unknown has shown it: the next such message is not counted again.
    questioned: bool,
}

/// Who shows a task that was taken for gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evidence {
    /// A report to the holder, under the present token.
    Report,
    /// A worker's reply to a direct call, under the present token.
    Reply,
    /// The holder's word, after the machine has answered to its present token.
    Holder,
    /// The holder's word on a gang's task: a member that was lost is started anew under the gang's attempt.
    HolderOfGang,
    /// The word of a holder that has not heard the machine under its grant yet: it repeats what a former holder told.
    UnresolvedHolder,
    /// A report or reply under an older token than the present one.
    OlderToken,
    /// A report that is out of date, or of a machine that is in no record.
    OutOfDate,
    /// A report that came to another controller than the holder.
    AnotherController,
    /// A controller's word under another grant than the present one.
    OtherGrant,
}

impl Evidence {
    fn name(self) -> &'static str {
        match self {
            Evidence::Report => "report",
            Evidence::Reply => "reply",
            Evidence::Holder => "holder",
            Evidence::HolderOfGang => "holder, a gang's task",
            Evidence::UnresolvedHolder => "holder that has not heard it yet",
            Evidence::OlderToken => "report under an older token",
            Evidence::OutOfDate => "report out of date",
            Evidence::AnotherController => "report to another controller",
            Evidence::OtherGrant => "word under another grant",
        }
    }

    /// Whether the message may have been sent before the conclusion was drawn.
    fn unordered(self) -> bool {
        !matches!(self, Evidence::Report | Evidence::Reply | Evidence::Holder)
    }

    /// Whether it may only be what another controller had told before, or a start that was made anew.
    fn repeated(self) -> bool {
        matches!(self, Evidence::HolderOfGang | Evidence::UnresolvedHolder | Evidence::OtherGrant)
    }
}

/// What a message shows on a machine: a task, and under which token it was said.
pub(super) struct Sighting<'a> {
    pub(super) task: &'a TaskId,
    pub(super) attempt: u64,
    pub(super) state: TaskState,
    pub(super) token: u64,
}

/// The conclusions of the last while, bounded in number and age. Part of the replica, and forgotten with it.
#[derive(Debug, Default)]
pub(crate) struct Conclusions {
    by_task: BTreeMap<TaskId, Vec<Conclusion>>,
    /// When each was drawn, of which task and machine, the oldest first.
    oldest: VecDeque<(Micros, TaskId, String)>,
    /// How many of these each machine has: most machines' words need no look.
    by_machine: FxHashMap<String, u32>,
    contradicted: BTreeMap<Removal, u64>,
    unordered: BTreeMap<Removal, u64>,
    crowded_out: u64,
}

impl Conclusions {
    /// Keeps a conclusion.
    fn keep(&mut self, id: &TaskId, conclusion: Conclusion) {
        self.expire(conclusion.at);
        while self.oldest.len() >= MOST_KEPT {
            self.crowded_out += 1;
            self.drop_oldest();
        }
        *self.by_machine.entry(conclusion.machine.clone()).or_default() += 1;
        self.oldest.push_back((conclusion.at, id.clone(), conclusion.machine.clone()));
        self.by_task.entry(id.clone()).or_default().push(conclusion);
    }

    fn expire(&mut self, now: Micros) {
        while self.oldest.front().is_some_and(|(at, ..)| now.since(*at) > KEPT_FOR) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((at, id, machine)) = self.oldest.pop_front() else { return };
        if let Some(count) = self.by_machine.get_mut(&machine) {
            *count -= 1;
            if *count == 0 {
                self.by_machine.remove(&machine);
            }
        }
        if let Some(kept) = self.by_task.get_mut(&id) {
            // Contradicted ones have left before; of those that remain, the ones of that moment or before go.
            kept.retain(|c| c.at > at);
            if kept.is_empty() {
                self.by_task.remove(&id);
            }
        }
    }

    /// Forgets all conclusions; the counts stay.
    pub(super) fn forget(&mut self) {
        self.by_task.clear();
        self.oldest.clear();
        self.by_machine.clear();
    }

    /// Whether anything was concluded of a machine not long ago.
    fn concern(&self, machine: &str) -> bool {
        self.by_machine.contains_key(machine)
    }

    /// The conclusion that this sighting contradicts, if there is one that has not been counted for it yet.
    fn contradicted(&mut self, machine: &str, seen: &Sighting, evidence: Evidence) -> Option<Conclusion> {
        let kept = self.by_task.get_mut(seen.task)?;
        let same = |c: &Conclusion| c.machine == machine && c.removed.attempt == seen.attempt;
        let at = kept.iter().rposition(same)?;
        // Its holder saw it end and forgot it.
        if seen.state == TaskState::Ended && kept[at].ground == Removal::HolderSaid {
            return None;
        }
        if !evidence.unordered() {
            let found = kept.remove(at);
            *self.contradicted.entry(found.ground).or_default() += 1;
            return Some(found);
        }
        // It is there by the holder's order, perhaps a new one: what its machine shows from now on is no surprise.
        let settled = evidence == Evidence::HolderOfGang;
        let again = std::mem::replace(&mut kept[at].questioned, true);
        let found = if settled { kept.remove(at) } else { kept[at].clone() };
        if again {
            return None;
        }
        *self.unordered.entry(found.ground).or_default() += 1;
        Some(found)
    }

    /// Conclusions on a task's start at other machines than this one.
    fn elsewhere<'a>(&'a self, machine: &'a str, id: &TaskId) -> impl Iterator<Item = &'a Conclusion> + 'a {
        self.by_task.get(id).into_iter().flatten().filter(move |c| c.machine != machine)
    }

    /// A start is sent: logs its task's starts elsewhere that were taken for gone not long ago. What was concluded of
    /// the same attempt on this machine says nothing any more.
    pub(super) fn note_start(&mut self, now: Micros, machine: &str, id: &TaskId, attempt: u64) {
        for earlier in self.elsewhere(machine, id).filter(|c| now.since(c.at) <= KEPT_FOR) {
            tracing::info!(
                task = id.text(),
                attempt,
                machine,
                earlier_machine = earlier.machine,
                earlier_attempt = earlier.removed.attempt,
                earlier_token = earlier.removed.token,
                earlier_start = earlier.removed.progress.name(),
                ground = earlier.ground.name(),
                before_s = now.since(earlier.at).as_secs_f64(),
                "started again"
            );
        }
        if let Some(kept) = self.by_task.get_mut(id) {
            kept.retain(|c| c.machine != machine || c.removed.attempt != attempt);
        }
    }
}

impl Controller {
    /// How often a task that had been taken for gone on this ground turned out to be there.
    pub fn conclusions_contradicted(&self, ground: Removal) -> u64 {
        self.conclusions.contradicted.get(&ground).copied().unwrap_or(0)
    }

    /// How often a message that may be older than the conclusion showed a task taken for gone on this ground.
    pub fn conclusions_questioned(&self, ground: Removal) -> u64 {
        self.conclusions.unordered.get(&ground).copied().unwrap_or(0)
    }

    /// Conclusions that were forgotten early, for there were too many.
    pub fn conclusions_crowded_out(&self) -> u64 {
        self.conclusions.crowded_out
    }

    /// Keeps the conclusion that a task is not on a machine.
    pub(super) fn keep_conclusion(&mut self, machine: &str, id: &TaskId, removed: Removed, ground: Removal) {
        let machine = machine.to_owned();
        let conclusion = Conclusion { machine, removed, ground, at: self.now, questioned: false };
        self.conclusions.keep(id, conclusion);
    }

    /// Compares what a message shows on a machine with what was concluded not long ago.
    pub(super) fn check_conclusions<'a>(
        &mut self,
        machine: &str,
        evidence: Evidence,
        seen: impl Iterator<Item = Sighting<'a>>,
    ) {
        if !self.conclusions.concern(machine) {
            return;
        }
        let now = self.now;
        self.conclusions.expire(now);
        for sighting in seen {
            let gang = self.jobs.get(&sighting.task.job).is_some_and(Job::is_gang);
            let again = evidence == Evidence::Holder && gang;
            let evidence = if again { Evidence::HolderOfGang } else { evidence };
            let found = self.conclusions.contradicted(machine, &sighting, evidence);
            if let Some(conclusion) = found {
                log_contradiction(now, machine, &sighting, evidence, &conclusion);
            }
        }
    }

    /// A report that is taken, or a reply (`direct`), may show what was taken for gone.
    pub(super) fn check_evidence(&mut self, report: &Report, direct: bool) {
        let token = self.machines.get(&report.machine).map(|m| m.row.token);
        let evidence = match direct {
            _ if token.is_none_or(|present| report.token < present) => Evidence::OlderToken,
            true => Evidence::Reply,
            false => Evidence::Report,
        };
        self.check_report(report, evidence);
    }

    /// Compares a report or reply with what was concluded not long ago.
    pub(super) fn check_report(&mut self, report: &Report, evidence: Evidence) {
        if !self.conclusions.concern(&report.machine) {
            return;
        }
        let shown: Vec<(TaskId, u64, TaskState)> =
            report.tasks.iter().filter_map(|t| Some((TaskId::parse(&t.task)?, t.attempt, t.state))).collect();
        let token = report.token;
        let seen = shown.iter().map(|(task, attempt, state)| Sighting {
            task,
            attempt: *attempt,
            state: *state,
            token,
        });
        self.check_conclusions(&report.machine, evidence, seen);
    }
}

fn log_contradiction(
    now: Micros,
    machine: &str,
    seen: &Sighting,
    evidence: Evidence,
    conclusion: &Conclusion,
) {
    let Removed { attempt, token, session, state, progress } = conclusion.removed;
    let task = seen.task.text();
    let ground = conclusion.ground.name();
    let gone = format!("{state:?}, start {}, token {token}, session {session}", progress.name());
    let gone_before_s = now.since(conclusion.at).as_secs_f64();
    let shown_by = evidence.name();
    let shown = format!("{:?}, token {}", seen.state, seen.token);
    if !evidence.unordered() {
        tracing::warn!(
            task,
            attempt,
            machine,
            ground,
            gone,
            gone_before_s,
            shown_by,
            shown,
            "a task taken for gone is there"
        );
    } else if evidence.repeated() {
        tracing::debug!(
            task,
            attempt,
            machine,
            ground,
            gone,
            gone_before_s,
            shown_by,
            shown,
            "shown, but not afresh"
        );
    } else {
        tracing::info!(
            task,
            attempt,
            machine,
            ground,
            gone,
            gone_before_s,
            shown_by,
            shown,
            "shown by a message that may be older"
        );
    }
}

#[cfg(test)]
mod tests;
