//! Users: what they submit, ask, withdraw and have been told.

use super::*;

#[derive(Default)]
pub(super) struct UserJob {
    pub(super) spec: Option<JobSpec>,
    pub(super) known_accepted: bool,
    /// When it was first told that the job is accepted.
    pub(super) accepted_at: Micros,
    pub(super) known_final: Option<(FinalState, Micros)>,
    pub(super) wants_withdrawal: bool,
    /// When the first answer that confirmed its withdrawal left its controller.
    pub(super) withdrawal_confirmed_at: Option<Micros>,
    /// The controller that told its final state first.
    pub(super) final_state_from: usize,
    pub(super) next_request_at: Micros,
    /// How often its submission was turned away.
    pub(super) deferrals: u32,
    /// When a question about it was last answered.
    pub(super) last_answered_at: Micros,
    pub(super) completed_tasks: BTreeSet<u32>,
    /// When a task of it last had its image.
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
    pub(super) fn submit(&mut self, spec: JobSpec) {
        let id = spec.id.clone();
        self.jobs.insert(id.clone(), UserJob { spec: Some(spec), ..Default::default() });
        self.schedule_at(self.now, SimEvent::UserTurn(id));
    }

    pub(super) fn advance_user(&mut self, id: String) {
        let Some(wish) = self.jobs.get(&id) else { return };
        if wish.rejected {
            return;
        }
        if self.now < wish.next_request_at {
            let at = wish.next_request_at;
            return self.schedule_at(at, SimEvent::UserTurn(id));
        }
        let accepted = wish.known_accepted;
        let withdraw = accepted && wish.wants_withdrawal;
        let submits = wish.spec.is_some();
        let others = (0..self.settings.len()).filter(|n| Some(*n) != self.excluded_controller);
        let others: Vec<usize> = others.collect();
        let node = others[self.rng.random_range(0..others.len())];
        if self.controllers[node].is_some() && !self.is_message_lost() {
            let repeats = self.fault_profile.repeats;
            let again = accepted && self.chance(repeats);
            let look = if submits && (!accepted || again && !withdraw) {
                UserRequest::Submit
            } else if withdraw {
                UserRequest::Withdraw
            } else {
                UserRequest::Query
            };
            self.send_user_request(node, id.clone(), look);
        }
        self.schedule_within(S, 3 * S, SimEvent::UserTurn(id));
    }

    /// A user's request is on its way to a controller.
    pub(super) fn send_user_request(&mut self, node: usize, job: String, look: UserRequest) {
        let request = self.next_request;
        self.next_request += 1;
        let (life, sent) = (self.incarnations[node], self.now);
        let spec = self.jobs.get(&job).and_then(|wish| wish.spec.clone());
        let event = match (look, spec) {
            (UserRequest::Submit, Some(spec)) => Event::Submit(request, Box::new(spec)),
            (UserRequest::Withdraw, _) => Event::Withdraw(request, job.clone()),
            _ => Event::Query(request, job.clone()),
        };
        let patience = if matches!(event, Event::Query(..)) { 2 } else { 5 };
        let until = sent + Micros::from_secs(patience);
        let withdraw = matches!(event, Event::Withdraw(..));
        self.pending_requests.insert(
            (node, life, request),
            PendingRequest::User { job, withdraw, sent_at: sent, deadline: until },
        );
        self.schedule_within(MS, 5 * MS, SimEvent::ToController { node, incarnation: life, event });
    }

    /// An answer has come to its user. By a node's word a job is accepted or over for every request that is sent from
    /// then on, at whichever node, to the microsecond: what an older answer to one that was sent before may be is
    /// judged apart (`is_older`).
    pub(super) fn handle_user_answer(
        &mut self,
        asking: AnsweredRequest,
        answer: Answer,
        by: usize,
        given: Micros,
    ) {
        let now = self.now;
        let AnsweredRequest { job: id, withdraw, sent_at: sent } = asking;
        let Some(wish) = self.jobs.get_mut(&id) else { return self.check_unknown_job_answer(&id, answer) };
        let accepted = wish.known_accepted.then_some(wish.accepted_at);
        match answer {
            Answer::Job { state, id: told, .. } => {
                assert_eq!(told, id);
                wish.last_answered_at = now;
                if accepted.is_none() {
                    (wish.known_accepted, wish.accepted_at) = (true, now);
                    self.send_request_burst(&id);
                }
                self.apply_told_state(&id, withdraw, state, by, sent, given);
            }
            Answer::NotFound => {
                if let Some(heard) = accepted {
                    self.check_answer_order(&format!("forgotten: {id}"), heard, sent, given);
                }
            }
            Answer::Rejected(why) => {
                assert!(!wish.known_accepted, "forgotten: {id}: {why}");
                wish.rejected = true;
            }
            Answer::RetryLater(seconds) => {
                wish.deferrals += u32::from(!wish.known_accepted);
                wish.next_request_at = now + Micros::from_secs(u64::from(seconds));
            }
            _ => {}
        }
    }

    fn apply_told_state(
        &mut self,
        id: &str,
        withdraw: bool,
        state: JobState,
        by: usize,
        sent: Micros,
        given: Micros,
    ) {
        let now = self.now;
        let Some(wish) = self.jobs.get_mut(id) else { return };
        match state {
            JobState::Final(f) => {
                if f == FinalState::Done {
                    let all = wish.spec.as_ref().map_or(0, |s| s.tasks as usize);
                    assert_eq!(wish.completed_tasks.len(), all, "not_done: {id}");
                } else {
                    assert!(wish.wants_withdrawal, "went_back: {id} was not withdrawn by its user");
                    wish.withdrawal_confirmed_at =
                        Some(wish.withdrawal_confirmed_at.map_or(given, |before| before.min(given)));
                }
                if let Some((before, heard)) = wish.known_final {
                    assert_eq!(before, f, "went_back: {id}");
                    self.coverage.repeated_final_states += u32::from(sent >= heard);
                } else {
                    wish.known_final = Some((f, now));
                    wish.final_state_from = by;
                    self.send_request_burst(id);
                }
            }
            _ => {
                assert!(!withdraw, "a withdrawal of {id} was answered with a live state");
                if let Some((_, heard)) = wish.known_final {
                    self.check_answer_order(&format!("went_back: {id} is live again"), heard, sent, given);
                }
            }
        }
    }

    /// An answer is older than what its user had heard by then. Nothing excuses it where the request was sent after
    /// that. Where both were on their way at once it may have been given before; `judges_arrivals` holds a controller
    /// also to what had arrived, from any of them, when it gave its answer.
    fn check_answer_order(&mut self, what: &str, heard: Micros, sent: Micros, given: Micros) {
        assert!(sent < heard, "{what}: asked at {sent:?}, heard at {heard:?}, answered at {given:?}");
        self.coverage.overlapping_answers += 1;
        let late = self.checks_answer_times && given > heard;
        assert!(!late, "{what}, overlapping: asked at {sent:?}, heard at {heard:?}, answered at {given:?}");
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
            // Drawn for every job, so that each seed's other draws are what they were before there was a third team.
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
