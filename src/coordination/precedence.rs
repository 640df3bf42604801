//! The order in which waiting jobs are considered.

use marblewalk_admission::pool::Turn;

use crate::coordination::Controller;
use crate::coordination::backfill::OVERDUE_AFTER;
use crate::coordination::model::Job;
use crate::protocol::job::Shape;

/// Sort key of waiting jobs; the job with the lowest key comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Precedence {
    /// 255 less the job's priority.
    pub rank: u8,
    /// Group within the rank, by the job's turn or by how many start objectives it has missed.
    pub group: u8,
    /// Position within the group, by turn or size.
    pub position: u32,
    /// Revision of the job's acceptance.
    pub arrival: u64,
}

impl Controller {
    /// The order in which jobs are placed: [`Controller::precedence`], except that a backfilled array that has waited
    /// too long comes first, so that its one task comes before further tasks of running jobs of any rank.
    pub(super) fn placement_precedence(&self, job: &Job) -> Precedence {
        let precedence = self.precedence(job);
        let backfilled_array = job.turn == Turn::Backfill && job.spec.shape == Shape::Array;
        if backfilled_array && job.wait.waited(self.now) >= OVERDUE_AFTER {
            return Precedence { rank: 0, group: 0, position: 0, ..precedence };
        }
        precedence
    }

    /// The order of jobs: by rank, then by the turn in the leader's plan if there is not enough capacity for all, else
    /// by arrival.
    ///
    /// If there is capacity for all, gangs of a class with start objectives are ordered by the number of objectives
    /// they have missed, and then by size, because in a full fleet one large gang would make many small ones late. A
    /// gang that has waited for longer than `longest_wait_s` comes first in its rank. Broken jobs come last in their
    /// rank.
    pub(super) fn precedence(&self, job: &Job) -> Precedence {
        let rank = u8::MAX - job.spec.priority as u8;
        let at = |group, position| Precedence { rank, group, position, arrival: job.accepted_revision };
        if self.is_broken(&job.spec.id) {
            return at(u8::MAX, u32::MAX);
        }
        match job.turn {
            Turn::Usual => {}
            Turn::First => return at(0, 0),
            Turn::Nth(turn) => return at(1, turn),
            Turn::Spare(turn) => return at(u8::MAX, turn),
            Turn::Backfill => return at(u8::MAX, u32::MAX),
        }
        if !job.is_gang() {
            return at(1, 0);
        }
        let age = self.now.since(job.known_since).as_secs_f64();
        let (missed, longest_s) = self.missed_starts(job);
        if longest_s == 0.0 {
            at(1, 0)
        } else if age > self.tuning.longest_wait_s {
            at(0, 0)
        } else {
            at(1 + missed, job.spec.tasks)
        }
    }

    /// How many of its class's start objectives a job has missed, and the longest objective in seconds; 0 if there is
    /// none.
    pub(super) fn missed_starts(&self, job: &Job) -> (u8, f64) {
        let age = self.now.since(job.known_since).as_secs_f64();
        let objectives = &self.settings.params.objectives;
        let starts_within_s = objectives
            .iter()
            .filter(|o| o.kind == "wait" && o.class.as_deref() == Some(job.spec.class.as_str()))
            .filter_map(|o| o.within_s);
        starts_within_s.fold((0, 0.0), |(missed, longest_s): (u8, f64), within_s| {
            (missed + u8::from(age > within_s), longest_s.max(within_s))
        })
    }
}
