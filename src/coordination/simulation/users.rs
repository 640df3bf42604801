//! Simulated users: jobs, requests and the answers that they have received.

use super::*;

/// A job as its user knows it.
#[derive(Default)]
pub(super) struct UserJob {
    pub(super) spec: Option<JobSpec>,
    /// Its user has learnt that it is accepted.
    pub(super) known_accepted: bool,
    /// When its user first learnt that it is accepted.
    pub(super) accepted_at: Micros,
    /// The final state that its user knows, and when it learnt it.
    pub(super) known_final: Option<(FinalState, Micros)>,
    pub(super) wants_withdrawal: bool,
    /// When the first answer that confirmed its withdrawal left its controller.
    pub(super) withdrawal_confirmed_at: Option<Micros>,
    /// The controller that first answered with its final state.
    pub(super) final_state_from: usize,
    /// The user sends no request before this time, as a controller asked it to retry later.
    pub(super) next_request_at: Micros,
    /// How often its submission was answered with a request to retry later.
    pub(super) deferrals: u32,
    /// When a request about it was last answered with its state.
    pub(super) last_answered_at: Micros,
    /// Indexes of the tasks that have completed on their workers.
    pub(super) completed_tasks: BTreeSet<u32>,
    /// When the image of one of its tasks was last complete, so that the task counts as started.
    pub(super) last_task_start: Micros,
    pub(super) rejected: bool,
}

/// A user's request that was answered.
pub(super) struct AnsweredRequest {
    pub(super) job: String,
    pub(super) withdraw: bool,
    pub(super) sent_at: Micros,
}

impl World {
    /// Adds a job whose user submits it, queries it and withdraws it if it wants so.
    pub(super) fn submit(&mut self, spec: JobSpec) {
        let id = spec.id.clone();
        self.jobs.insert(id.clone(), UserJob { spec: Some(spec), ..Default::default() });
        self.schedule_at(self.now, SimEvent::UserTurn(id));
    }

    /// Sends the next request of a job's user to a random controller.
    pub(super) fn advance_user(&mut self, id: String) {
        let Some(user_job) = self.jobs.get(&id) else { return };
        if user_job.rejected {
            return;
        }
        if self.now < user_job.next_request_at {
            let at = user_job.next_request_at;
            return self.schedule_at(at, SimEvent::UserTurn(id));
        }
        let accepted = user_job.known_accepted;
        let withdraw = accepted && user_job.wants_withdrawal;
        let submits = user_job.spec.is_some();
        let nodes = (0..self.settings.len()).filter(|n| Some(*n) != self.excluded_controller);
        let nodes: Vec<usize> = nodes.collect();
        let node = nodes[self.rng.random_range(0..nodes.len())];
        if self.controllers[node].is_some() && !self.is_message_lost() {
            let repeats = self.fault_profile.repeated_requests;
            let repeat = accepted && self.chance(repeats);
            let user_request = if submits && (!accepted || repeat && !withdraw) {
                UserRequest::Submit
            } else if withdraw {
                UserRequest::Withdraw
            } else {
                UserRequest::Query
            };
            self.send_user_request(node, id.clone(), user_request);
        }
        self.schedule_within(S, 3 * S, SimEvent::UserTurn(id));
    }

    /// Sends a user's request to a controller.
    pub(super) fn send_user_request(&mut self, node: usize, job: String, user_request: UserRequest) {
        let request = self.next_request;
        self.next_request += 1;
        let (incarnation, sent_at) = (self.incarnations[node], self.now);
        let spec = self.jobs.get(&job).and_then(|user_job| user_job.spec.clone());
        let event = match (user_request, spec) {
            (UserRequest::Submit, Some(spec)) => Event::Submit(request, Box::new(spec)),
            (UserRequest::Withdraw, _) => Event::Withdraw(request, job.clone()),
            _ => Event::Query(request, job.clone()),
        };
        let timeout_s = if matches!(event, Event::Query(..)) { 2 } else { 5 };
        let deadline = sent_at + Micros::from_secs(timeout_s);
        let withdraw = matches!(event, Event::Withdraw(..));
        self.pending_requests
            .insert((node, incarnation, request), PendingRequest::User { job, withdraw, sent_at, deadline });
        self.schedule_within(MS, 5 * MS, SimEvent::ToController { node, incarnation, event });
    }

    /// Handles an answer that has arrived at its user.
    ///
    /// Once a controller has answered that a job is accepted or has ended, this holds for every request that is sent
    /// from then on, to any controller, to the microsecond. Older answers to requests that were sent before are checked
    /// by `check_answer_order`.
    pub(super) fn handle_user_answer(
        &mut self,
        request: AnsweredRequest,
        answer: Answer,
        answered_by: usize,
        answered_at: Micros,
    ) {
        let now = self.now;
        let AnsweredRequest { job: id, withdraw, sent_at } = request;
        let Some(user_job) = self.jobs.get_mut(&id) else {
            return self.check_unknown_job_answer(&id, answer);
        };
        let accepted = user_job.known_accepted.then_some(user_job.accepted_at);
        match answer {
            Answer::Job { state, id: told_id, .. } => {
                assert_eq!(told_id, id);
                user_job.last_answered_at = now;
                if accepted.is_none() {
                    (user_job.known_accepted, user_job.accepted_at) = (true, now);
                    self.send_request_burst(&id);
                }
                self.apply_job_state(&id, withdraw, state, answered_by, sent_at, answered_at);
            }
            Answer::NotFound => {
                if let Some(known_at) = accepted {
                    self.check_answer_order(&format!("forgotten: {id}"), known_at, sent_at, answered_at);
                }
            }
            Answer::Rejected(why) => {
                assert!(!user_job.known_accepted, "forgotten: {id}: {why}");
                user_job.rejected = true;
            }
            Answer::RetryLater(seconds) => {
                user_job.deferrals += u32::from(!user_job.known_accepted);
                user_job.next_request_at = now + Micros::from_secs(u64::from(seconds));
            }
            _ => {}
        }
    }

    /// Checks the state in an answer against what the user knows, and records it.
    fn apply_job_state(
        &mut self,
        id: &str,
        withdraw: bool,
        state: JobState,
        answered_by: usize,
        sent_at: Micros,
        answered_at: Micros,
    ) {
        let now = self.now;
        let Some(user_job) = self.jobs.get_mut(id) else { return };
        match state {
            JobState::Final(final_state) => {
                if final_state == FinalState::Done {
                    let all = user_job.spec.as_ref().map_or(0, |s| s.tasks as usize);
                    assert_eq!(user_job.completed_tasks.len(), all, "not_done: {id}");
                } else {
                    assert!(user_job.wants_withdrawal, "went_back: {id} was not withdrawn by its user");
                    user_job.withdrawal_confirmed_at = Some(
                        user_job
                            .withdrawal_confirmed_at
                            .map_or(answered_at, |before| before.min(answered_at)),
                    );
                }
                if let Some((before, known_at)) = user_job.known_final {
                    assert_eq!(before, final_state, "went_back: {id}");
                    self.coverage.repeated_final_states += u32::from(sent_at >= known_at);
                } else {
                    user_job.known_final = Some((final_state, now));
                    user_job.final_state_from = answered_by;
                    self.send_request_burst(id);
                }
            }
            _ => {
                assert!(!withdraw, "a withdrawal of {id} was answered with a live state");
                if let Some((_, known_at)) = user_job.known_final {
                    self.check_answer_order(
                        &format!("went_back: {id} is live again"),
                        known_at,
                        sent_at,
                        answered_at,
                    );
                }
            }
        }
    }

    /// Checks an answer that is older than what its user knew when the answer arrived.
    ///
    /// It is a violation if the request was sent after the user learnt the newer state. If the two overlapped, the
    /// answer may have been sent before. With `checks_answer_times`, an answer that was sent after the user had learnt
    /// the newer state, from any controller, is a violation too.
    fn check_answer_order(
        &mut self,
        violation: &str,
        known_at: Micros,
        sent_at: Micros,
        answered_at: Micros,
    ) {
        assert!(
            sent_at < known_at,
            "{violation}: asked at {sent_at:?}, known since {known_at:?}, answered at {answered_at:?}"
        );
        self.coverage.overlapping_answers += 1;
        let late = self.checks_answer_times && answered_at > known_at;
        assert!(
            !late,
            "{violation}, overlapping: asked at {sent_at:?}, known since {known_at:?}, answered at {answered_at:?}"
        );
    }

    pub(super) fn random_job(&mut self, n: u32) -> JobSpec {
        let shape = match self.rng.random_range(0..10) {
            0..=5 => Shape::Array,
            6..=8 => Shape::Gang,
            _ => Shape::Service,
        };
        let tasks = match shape {
            Shape::Array => self.rng.random_range(1..25),
            _ => self.rng.random_range(1..5),
        };
        let gpus = if self.rng.random_bool(0.2) { 1.0 } else { 0.0 };
        let priority = [Priority::Low, Priority::Normal, Priority::High][self.rng.random_range(0..3)];
        let one_zone = self.rng.random_bool(0.3);
        JobSpec {
            id: format!("j-{n:06}"),
            class: "any".into(),
            // The boolean is drawn for every job, also where it is not used, so that the other draws of each seed stay
            // the same as with two teams.
            team: match (self.rng.random_bool(0.5), n % 5) {
                (_, 4) => "red",
                (true, _) => "blue",
                _ => "green",
            }
            .into(),
            shape,
            priority,
            tasks,
            cpus: f64::from(self.rng.random_range(1..6u32)),
            gpus,
            memory_gb: 4.0,
            image: format!("img-{}", self.rng.random_range(0..4)),
            image_gb: 1.0,
            machine_types: None,
            zone: self.rng.random_bool(0.1).then(|| "west".into()),
            one_zone,
            spread: !one_zone && self.rng.random_bool(0.2),
            spot: self.rng.random_bool(0.6),
            estimated_task_s: 10.0,
            checkpoint_s: 5.0,
            save_s: 2.0,
            deadline_s: None,
        }
    }
}
