//! Odd requests: submissions repeated for no reason, withdrawals of jobs that are done, submissions that fit no machine,
//! questions about and withdrawals of jobs that nobody has submitted.

use super::*;

/// Ids of submissions that can never run begin with this.
const UNFIT: &str = "j-7";

impl World {
    /// A user asks one controller, or all, for something that makes no sense.
    pub(super) fn ask_oddly(&mut self) {
        let node = self.rng.random_range(0..self.settings.len());
        self.meets("invalid_requests");
        match self.rng.random_range(0..5) {
            0 => {
                let unfinished = |w: &Wish| w.told_accepted && w.told_final.is_none();
                self.ask_of_one(node, Look::Submits, unfinished);
            }
            1 => {
                let done = |w: &Wish| w.told_final.is_some_and(|(state, _)| state == FinalState::Done);
                self.ask_of_one(node, Look::Withdraws, done);
            }
            2 => {
                self.ask_of_one(node, Look::Asks, |w: &Wish| w.refused);
                self.ask_of_one(node, Look::Withdraws, |w: &Wish| w.refused);
            }
            3 => self.submit_unfit(),
            _ => self.ask_of_unknown(),
        }
    }

    /// Asks about one of the jobs of which something is so.
    fn ask_of_one(&mut self, node: usize, look: Look, which: fn(&Wish) -> bool) {
        let jobs: Vec<String> =
            self.jobs.iter().filter(|(_, wish)| which(wish)).map(|(id, _)| id.clone()).collect();
        if !jobs.is_empty() {
            let job = jobs[self.rng.random_range(0..jobs.len())].clone();
            self.look(node, job, look);
        }
    }

    fn submit_unfit(&mut self) {
        let number = 700_000 + self.jobs.len() as u32;
        let mut job = self.random_job(number);
        match self.rng.random_range(0..5) {
            0 => job.cpus = 1_000.0,
            1 => job.machine_types = Some(vec!["none".into()]),
            2 => job.zone = Some("north".into()),
            3 => job.team = "nobody".into(),
            // More together than its team may use.
            _ => (job.shape, job.team, job.tasks, job.cpus) = (Shape::Gang, "blue".into(), 20, 5.0),
        }
        self.submit(job);
    }

    /// What can never run was refused, and nobody has said anything else since.
    pub(super) fn odd_ones_refused(&self) {
        for (id, wish) in self.jobs.iter().filter(|(id, _)| id.starts_with(UNFIT)) {
            assert!(wish.refused && !wish.told_accepted, "accepted, and can never run: {:?}", wish.spec);
            assert!(
                !self.store.keys.contains_key(&records::live_job_key(id)),
                "{id} is kept, and can never run"
            );
        }
    }
}
