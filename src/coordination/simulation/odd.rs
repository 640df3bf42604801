//! Odd requests: submissions repeated for no reason, withdrawals of jobs that are done, submissions that fit no machine,
//! questions about and withdrawals of jobs that nobody has submitted.

use super::*;

/// Ids of submissions that can never run begin with this.
const UNFIT: &str = "j-7";

impl World {
    /// A user asks one controller, or all, for something that makes no sense.
    pub(super) fn send_invalid_request(&mut self) {
        let node = self.rng.random_range(0..self.settings.len());
        self.record_fault("odd");
        match self.rng.random_range(0..5) {
            0 => {
                let unfinished = |w: &UserJob| w.known_accepted && w.known_final.is_none();
                self.request_for_random_job(node, UserRequest::Submit, unfinished);
            }
            1 => {
                let done = |w: &UserJob| w.known_final.is_some_and(|(state, _)| state == FinalState::Done);
                self.request_for_random_job(node, UserRequest::Withdraw, done);
            }
            2 => {
                self.request_for_random_job(node, UserRequest::Query, |w: &UserJob| w.rejected);
                self.request_for_random_job(node, UserRequest::Withdraw, |w: &UserJob| w.rejected);
            }
            3 => self.submit_infeasible_job(),
            _ => self.request_unknown_job(),
        }
    }

    /// Asks about one of the jobs of which something is so.
    fn request_for_random_job(&mut self, node: usize, look: UserRequest, which: fn(&UserJob) -> bool) {
        let jobs: Vec<String> =
            self.jobs.iter().filter(|(_, wish)| which(wish)).map(|(id, _)| id.clone()).collect();
        if !jobs.is_empty() {
            let job = jobs[self.rng.random_range(0..jobs.len())].clone();
            self.try_user_request(node, job, look);
        }
    }

    fn submit_infeasible_job(&mut self) {
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
    pub(super) fn check_infeasible_jobs_rejected(&self) {
        for (id, wish) in self.jobs.iter().filter(|(id, _)| id.starts_with(UNFIT)) {
            assert!(wish.rejected && !wish.known_accepted, "accepted, and can never run: {:?}", wish.spec);
            assert!(
                !self.store.keys.contains_key(&records::live_job_key(id)),
                "{id} is kept, and can never run"
            );
        }
    }
}
