//! Retains recent conclusions that a task is not on a machine, and detects messages that contradict them.
//!
//! A task can run twice only if such a conclusion was wrong and the task's second start came in time. Wrong conclusions
//! are visible far more often than that, so each conclusion is retained for a while ([`Conclusions`]). When a message
//! from the machine or its owner shows the start that was taken to be gone, this is counted by the conclusion's ground
//! and logged with the evidence of both sides.
//!
//! A message that may have been in transit when the conclusion was drawn proves nothing: a status of a former owner, a
//! status of a new owner that only repeats it, a report under an older token, and a report that is out of date or was
//! sent to a controller other than the owner. These are counted separately ([`Evidence::may_predate_conclusion`]).
//!
//! A start that is dropped and planned again has another attempt number and contradicts nothing, with two exceptions: a
//! lost member of a gang is restarted under the gang's attempt, and a job's new owner may reuse an attempt number if it
//! did not know of the former owner's plan. So sending a start removes the conclusion on the same attempt on that
//! machine.

use std::collections::{BTreeMap, VecDeque};

use rustc_hash::FxHashMap;

use crate::coordination::Controller;
use crate::coordination::model::Job;
use crate::coordination::removal::{RemovalGround, RemovedTask};
use crate::protocol::units::Micros;
use crate::protocol::worker::{Report, TaskId, TaskState};

/// How long a conclusion is retained. Orders and reports in transit and handovers of a machine are finished within one
/// worker lease.
const RETENTION: Micros = Micros::from_secs(120);

/// Maximum number of retained conclusions. Beyond it the oldest are removed early.
const MAX_RETAINED: usize = 4_096;

/// A conclusion that a task which had not ended is not on a machine.
#[derive(Clone, Debug)]
struct Conclusion {
    machine: String,
    removed: RemovedTask,
    ground: RemovalGround,
    at: Micros,
    /// A message that may predate the conclusion has shown the task. Further such messages are not counted.
    counted_as_questioned: bool,
}

/// The kind of message that shows a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evidence {
    /// A report to the owner, under the current token.
    Report,
    /// A worker's reply to a direct call, under the current token.
    Reply,
    /// The owner's status of the machine, after the machine has shown the current token.
    OwnerStatus,
    /// The owner's status of a gang's task: a lost member is restarted under the gang's attempt.
    OwnerStatusOfGang,
    /// The status of an owner that has received no message of the machine under its grant yet: it repeats a former
    /// owner's status.
    UnresolvedOwnerStatus,
    /// A report or reply under an older token than the current one.
    OlderToken,
    /// A report that is out of date, or from a machine that no record names.
    OutOfDate,
    /// A report to a controller other than the owner.
    AnotherController,
    /// A controller's status of the machine under another grant than the current one.
    StatusOfOtherGrant,
}

impl Evidence {
    /// The name in the log.
    fn name(self) -> &'static str {
        match self {
            Evidence::Report => "report",
            Evidence::Reply => "reply",
            Evidence::OwnerStatus => "holder",
            Evidence::OwnerStatusOfGang => "holder, a gang's task",
            Evidence::UnresolvedOwnerStatus => "holder that has not heard it yet",
            Evidence::OlderToken => "report under an older token",
            Evidence::OutOfDate => "report out of date",
            Evidence::AnotherController => "report to another controller",
            Evidence::StatusOfOtherGrant => "word under another grant",
        }
    }

    /// Whether the message may have been sent before the conclusion was drawn.
    fn may_predate_conclusion(self) -> bool {
        !matches!(self, Evidence::Report | Evidence::Reply | Evidence::OwnerStatus)
    }

    /// Whether the message may only repeat another controller's status, or show a task that was started again.
    fn may_be_repetition(self) -> bool {
        matches!(
            self,
            Evidence::OwnerStatusOfGang | Evidence::UnresolvedOwnerStatus | Evidence::StatusOfOtherGrant
        )
    }
}

/// A task that a message shows on a machine, and the token that the message was sent under.
pub(super) struct ObservedTask<'a> {
    pub(super) task: &'a TaskId,
    pub(super) attempt: u64,
    pub(super) state: TaskState,
    pub(super) token: u64,
}

/// Recent conclusions, bounded in number and age. Cleared together with the replica; the counts remain.
#[derive(Debug, Default)]
pub(crate) struct Conclusions {
    by_task: BTreeMap<TaskId, Vec<Conclusion>>,
    /// Time, task and machine of each conclusion, the oldest first.
    by_age: VecDeque<(Micros, TaskId, String)>,
    /// Number of entries in `by_age` per machine. Messages about other machines, which are most, need no check.
    by_machine: FxHashMap<String, u32>,
    contradicted: BTreeMap<RemovalGround, u64>,
    /// Conclusions that were contradicted by a message that may predate them.
    questioned: BTreeMap<RemovalGround, u64>,
    /// Conclusions that were removed early because of [`MAX_RETAINED`].
    crowded_out: u64,
}

impl Conclusions {
    /// Adds a conclusion, and removes those that are too old or too many.
    fn insert(&mut self, id: &TaskId, conclusion: Conclusion) {
        self.expire(conclusion.at);
        while self.by_age.len() >= MAX_RETAINED {
            self.crowded_out += 1;
            self.drop_oldest();
        }
        *self.by_machine.entry(conclusion.machine.clone()).or_default() += 1;
        self.by_age.push_back((conclusion.at, id.clone(), conclusion.machine.clone()));
        self.by_task.entry(id.clone()).or_default().push(conclusion);
    }

    fn expire(&mut self, now: Micros) {
        while self.by_age.front().is_some_and(|(at, ..)| now.since(*at) > RETENTION) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((at, id, machine)) = self.by_age.pop_front() else { return };
        if let Some(count) = self.by_machine.get_mut(&machine) {
            *count -= 1;
            if *count == 0 {
                self.by_machine.remove(&machine);
            }
        }
        if let Some(kept) = self.by_task.get_mut(&id) {
            // Contradicted conclusions were removed earlier. Of the others, those drawn at that time or before are
            // removed.
            kept.retain(|c| c.at > at);
            if kept.is_empty() {
                self.by_task.remove(&id);
            }
        }
    }

    /// Removes all conclusions. The counts stay.
    pub(super) fn clear(&mut self) {
        self.by_task.clear();
        self.by_age.clear();
        self.by_machine.clear();
    }

    /// Whether there are recent conclusions on a machine.
    fn concerns_machine(&self, machine: &str) -> bool {
        self.by_machine.contains_key(machine)
    }

    /// Finds and counts the conclusion that an observed task contradicts, unless it was already counted for this kind
    /// of evidence. A conclusion that is certainly wrong is removed.
    fn find_contradicted(
        &mut self,
        machine: &str,
        seen: &ObservedTask,
        evidence: Evidence,
    ) -> Option<Conclusion> {
        let kept = self.by_task.get_mut(seen.task)?;
        let same_start = |c: &Conclusion| c.machine == machine && c.removed.attempt == seen.attempt;
        let at = kept.iter().rposition(same_start)?;
        // The owner's status lacked the task because the task had ended and been forgotten.
        if seen.state == TaskState::Ended && kept[at].ground == RemovalGround::NotReportedByOwner {
            return None;
        }
        if !evidence.may_predate_conclusion() {
            let found = kept.remove(at);
            *self.contradicted.entry(found.ground).or_default() += 1;
            return Some(found);
        }
        // The owner ordered the task to run there, perhaps by a new start, so later messages that show it do not
        // contradict the conclusion.
        let restarted = evidence == Evidence::OwnerStatusOfGang;
        let counted = std::mem::replace(&mut kept[at].counted_as_questioned, true);
        let found = if restarted { kept.remove(at) } else { kept[at].clone() };
        if counted {
            return None;
        }
        *self.questioned.entry(found.ground).or_default() += 1;
        Some(found)
    }

    /// Conclusions on a task that concern other machines than this one.
    fn on_other_machines<'a>(
        &'a self,
        machine: &'a str,
        id: &TaskId,
    ) -> impl Iterator<Item = &'a Conclusion> + 'a {
        self.by_task.get(id).into_iter().flatten().filter(move |c| c.machine != machine)
    }

    /// Records that a start is sent: logs the task's earlier starts on other machines that were recently concluded to
    /// be gone, and removes the conclusion on the same attempt on this machine, which no longer applies.
    pub(super) fn record_start(&mut self, now: Micros, machine: &str, id: &TaskId, attempt: u64) {
        for earlier in self.on_other_machines(machine, id).filter(|c| now.since(c.at) <= RETENTION) {
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
                "task started again on another machine"
            );
        }
        if let Some(kept) = self.by_task.get_mut(id) {
            kept.retain(|c| c.machine != machine || c.removed.attempt != attempt);
        }
    }
}

impl Controller {
    /// How often a task that was concluded to be gone on this ground turned out to be there.
    pub fn conclusions_contradicted(&self, ground: RemovalGround) -> u64 {
        self.conclusions.contradicted.get(&ground).copied().unwrap_or(0)
    }

    /// How often a message that may predate the conclusion showed a task concluded to be gone on this ground.
    pub fn conclusions_questioned(&self, ground: RemovalGround) -> u64 {
        self.conclusions.questioned.get(&ground).copied().unwrap_or(0)
    }

    /// Conclusions that were removed early because there were too many.
    pub fn conclusions_crowded_out(&self) -> u64 {
        self.conclusions.crowded_out
    }

    /// Records the conclusion that a task is not on a machine.
    pub(super) fn record_conclusion(
        &mut self,
        machine: &str,
        id: &TaskId,
        removed: RemovedTask,
        ground: RemovalGround,
    ) {
        let machine = machine.to_owned();
        let conclusion = Conclusion { machine, removed, ground, at: self.now, counted_as_questioned: false };
        self.conclusions.insert(id, conclusion);
    }

    /// Checks the tasks that a message shows on a machine against recent conclusions.
    pub(super) fn check_conclusions<'a>(
        &mut self,
        machine: &str,
        evidence: Evidence,
        seen: impl Iterator<Item = ObservedTask<'a>>,
    ) {
        if !self.conclusions.concerns_machine(machine) {
            return;
        }
        let now = self.now;
        self.conclusions.expire(now);
        for observed in seen {
            let gang = self.jobs.get(&observed.task.job).is_some_and(Job::is_gang);
            let may_be_restarted = evidence == Evidence::OwnerStatus && gang;
            let evidence = if may_be_restarted { Evidence::OwnerStatusOfGang } else { evidence };
            let found = self.conclusions.find_contradicted(machine, &observed, evidence);
            if let Some(conclusion) = found {
                log_contradiction(now, machine, &observed, evidence, &conclusion);
            }
        }
    }

    /// Checks a report, or a reply to a direct call (`direct`), that is about to be applied.
    pub(super) fn check_applied_report(&mut self, report: &Report, direct: bool) {
        let token = self.machines.get(&report.machine).map(|m| m.row.token);
        let evidence = match direct {
            _ if token.is_none_or(|current| report.token < current) => Evidence::OlderToken,
            true => Evidence::Reply,
            false => Evidence::Report,
        };
        self.check_report(report, evidence);
    }

    /// Checks the tasks of a report or reply against recent conclusions.
    pub(super) fn check_report(&mut self, report: &Report, evidence: Evidence) {
        if !self.conclusions.concerns_machine(&report.machine) {
            return;
        }
        let shown: Vec<(TaskId, u64, TaskState)> =
            report.tasks.iter().filter_map(|t| Some((TaskId::parse(&t.task)?, t.attempt, t.state))).collect();
        let token = report.token;
        let seen = shown.iter().map(|(task, attempt, state)| ObservedTask {
            task,
            attempt: *attempt,
            state: *state,
            token,
        });
        self.check_conclusions(&report.machine, evidence, seen);
    }
}

/// Logs a contradicted conclusion: as a warning if it is certainly wrong, else at a lower level.
fn log_contradiction(
    now: Micros,
    machine: &str,
    seen: &ObservedTask,
    evidence: Evidence,
    conclusion: &Conclusion,
) {
    let RemovedTask { attempt, token, session, state, progress } = conclusion.removed;
    let task = seen.task.text();
    let ground = conclusion.ground.name();
    let gone = format!("{state:?}, start {}, token {token}, session {session}", progress.name());
    let gone_before_s = now.since(conclusion.at).as_secs_f64();
    let shown_by = evidence.name();
    let shown = format!("{:?}, token {}", seen.state, seen.token);
    if !evidence.may_predate_conclusion() {
        tracing::warn!(
            task,
            attempt,
            machine,
            ground,
            gone,
            gone_before_s,
            shown_by,
            shown,
            "task concluded to be gone is on the machine"
        );
    } else if evidence.may_be_repetition() {
        tracing::debug!(
            task,
            attempt,
            machine,
            ground,
            gone,
            gone_before_s,
            shown_by,
            shown,
            "task concluded to be gone is shown by a message that may only repeat an older status"
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
            "task concluded to be gone is shown by a message that may predate the conclusion"
        );
    }
}

#[cfg(test)]
mod tests;
