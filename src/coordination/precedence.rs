//! Which of the waiting jobs comes first.

use marblewalk_admission::pool::Turn;

use crate::coordination::Controller;
use crate::coordination::backfill::OVERDUE_AFTER;
use crate::coordination::model::Job;
use crate::protocol::job::Shape;

/// Rank, turn within the rank, size and arrival: the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Precedence {
    pub rank: u8,
    /// Within the rank, the least first: what its turn or its wait calls for.
    pub group: u8,
    /// Within the group: turn or size.
    pub position: u32,
    pub arrival: u64,
}

impl Controller {
    /// Who is placed first: as in [`Controller::precedence`], but that the task of a backfilled array which has waited too
    /// long comes before further tasks of jobs that run, of whatever rank.
    pub(super) fn placing_precedence(&self, job: &Job) -> Precedence {
        let precedence = self.precedence(job);
        let single = job.turn == Turn::Backfill && job.spec.shape == Shape::Array;
        if single && job.wait.waited(self.now) >= OVERDUE_AFTER {
            return Precedence { rank: 0, group: 0, position: 0, ..precedence };
        }
        precedence
    }

    /// Who comes first: by rank, then by the turn that the leader has named, if there is not room for
    /// all, else by arrival. Of gangs, those that can still start in the time their
    /// class aims at come first, small ones before large ones, for in a full fleet one large gang would
    /// make many small ones late; one that has waited for as long as the operators set comes before all.
    pub(super) fn precedence(&self, job: &Job) -> Precedence {
        let rank = u8::MAX - job.spec.priority as u8;
        let at = |group, position| Precedence { rank, group, position, arrival: job.stamp };
        if self.mistaken(&job.spec.id) {
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
        let age = self.now.since(job.since).as_secs_f64();
        let (missed, last) = self.starts_missed(job);
        if last == 0.0 {
            at(1, 0)
        } else if age > self.tuning.longest_wait_s {
            at(0, 0)
        } else {
            at(1 + missed, job.spec.tasks)
        }
    }

    /// How many of the times that its class aims to start within a job has missed, and the longest of them
    /// in seconds, 0 if there is none.
    pub(super) fn starts_missed(&self, job: &Job) -> (u8, f64) {
        let age = self.now.since(job.since).as_secs_f64();
        let objectives = &self.settings.params.objectives;
        let aims = objectives
            .iter()
            .filter(|o| o.kind == "wait" && o.class.as_deref() == Some(job.spec.class.as_str()))
            .filter_map(|o| o.within_s);
        aims.fold((0, 0.0), |(missed, last): (u8, f64), within| {
            (missed + u8::from(age > within), last.max(within))
        })
    }
}
