//! Invalid user requests: needless repeats of submissions, withdrawals of jobs that are done, submissions that fit on
//! no machine, and requests about jobs that were never submitted or were rejected.

use super::*;

/// Prefix of the ids of submissions that can never run.
const INFEASIBLE_ID_PREFIX: &str = "j-7";

impl World {
    /// A user sends an invalid request to one controller or to all of them.
    pub(super) fn send_invalid_request(&mut self) {
        let node = self.rng.random_range(0..self.settings.len());
        self.record_fault("invalid_requests");
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

    /// Sends a request about a random job among those that match.
    fn request_for_random_job(&mut self, node: usize, request: UserRequest, matches: fn(&UserJob) -> bool) {
        let jobs: Vec<String> =
            self.jobs.iter().filter(|(_, user_job)| matches(user_job)).map(|(id, _)| id.clone()).collect();
        if !jobs.is_empty() {
            let job = jobs[self.rng.random_range(0..jobs.len())].clone();
            self.try_user_request(node, job, request);
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
            // A gang that needs more than its team's limit.
            _ => (job.shape, job.team, job.tasks, job.cpus) = (Shape::Gang, "blue".into(), 20, 5.0),
        }
        self.submit(job);
    }

    /// Checks that submissions that can never run were rejected, and never accepted or recorded.
    pub(super) fn check_infeasible_jobs_rejected(&self) {
        for (id, user_job) in self.jobs.iter().filter(|(id, _)| id.starts_with(INFEASIBLE_ID_PREFIX)) {
            assert!(
                user_job.rejected && !user_job.known_accepted,
                "accepted, though it can never run: {:?}",
                user_job.spec
            );
            assert!(
                !self.store.keys.contains_key(&records::live_job_key(id)),
                "{id} is recorded, though it can never run"
            );
        }
    }
}
