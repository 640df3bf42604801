//! Users: what they submit, ask, withdraw and have been told.

use super::*;

#[derive(Default)]
pub(super) struct Wish {
    pub(super) spec: Option<JobSpec>,
    pub(super) told_accepted: bool,
    /// When it was first told that the job is accepted.
    pub(super) accepted: Micros,
    pub(super) told_final: Option<(FinalState, Micros)>,
    pub(super) wants_withdrawal: bool,
    /// When the first answer that confirmed its withdrawal left its controller.
    pub(super) confirmed: Option<Micros>,
    /// The controller that told its final state first.
    pub(super) told_by: usize,
    pub(super) next_try: Micros,
    /// How often its submission was turned away.
    pub(super) turned_away: u32,
    /// When a question about it was last answered.
    pub(super) answered: Micros,
    pub(super) tasks_done: BTreeSet<u32>,
    /// When a task of it last had its image.
    pub(super) begun: Micros,
    pub(super) refused: bool,
}

/// A user's request that was answered.
pub(super) struct Asking {
    pub(super) job: String,
    pub(super) withdraw: bool,
    pub(super) sent: Micros,
}

impl World {
    pub(super) fn submit(&mut self, spec: JobSpec) {
        let id = spec.id.clone();
        self.jobs.insert(id.clone(), Wish { spec: Some(spec), ..Default::default() });
        self.at(self.now, Happening::User(id));
    }

    pub(super) fn user_turn(&mut self, id: String) {
        let Some(wish) = self.jobs.get(&id) else { return };
        if wish.refused {
            return;
        }
        if self.now < wish.next_try {
            let at = wish.next_try;
            return self.at(at, Happening::User(id));
        }
        let accepted = wish.told_accepted;
        let withdraw = accepted && wish.wants_withdrawal;
        let submits = wish.spec.is_some();
        let others = (0..self.settings.len()).filter(|n| Some(*n) != self.passed_over);
        let others: Vec<usize> = others.collect();
        let node = others[self.rng.random_range(0..others.len())];
        if self.controllers[node].is_some() && !self.lost() {
            let repeats = self.trouble.repeated_requests;
            let again = accepted && self.odds(repeats);
            let look = if submits && (!accepted || again && !withdraw) {
                Look::Submits
            } else if withdraw {
                Look::Withdraws
            } else {
                Look::Asks
            };
            self.ask(node, id.clone(), look);
        }
        self.soon(S, 3 * S, Happening::User(id));
    }

    /// A user's request is on its way to a controller.
    pub(super) fn ask(&mut self, node: usize, job: String, look: Look) {
        let request = self.next_request;
        self.next_request += 1;
        let (life, sent) = (self.lives[node], self.now);
        let spec = self.jobs.get(&job).and_then(|wish| wish.spec.clone());
        let event = match (look, spec) {
            (Look::Submits, Some(spec)) => Event::Submit(request, Box::new(spec)),
            (Look::Withdraws, _) => Event::Withdraw(request, job.clone()),
            _ => Event::Query(request, job.clone()),
        };
        let patience = if matches!(event, Event::Query(..)) { 2 } else { 5 };
        let until = sent + Micros::from_secs(patience);
        let withdraw = matches!(event, Event::Withdraw(..));
        self.requests.insert((node, life, request), Asked::User { job, withdraw, sent, until });
        self.soon(MS, 5 * MS, Happening::ToController { node, life, event });
    }

    /// An answer has come to its user. By a node's word a job is accepted or over for every request that is sent from
    /// then on, at whichever node, to the microsecond: what an older answer to one that was sent before may be is
    /// judged apart (`is_older`).
    pub(super) fn user_answered(&mut self, asking: Asking, answer: Answer, by: usize, given: Micros) {
        let now = self.now;
        let Asking { job: id, withdraw, sent } = asking;
        let Some(wish) = self.jobs.get_mut(&id) else { return self.heard_of_unknown(&id, answer) };
        let accepted = wish.told_accepted.then_some(wish.accepted);
        match answer {
            Answer::Job { state, id: told, .. } => {
                assert_eq!(told, id);
                wish.answered = now;
                if accepted.is_none() {
                    (wish.told_accepted, wish.accepted) = (true, now);
                    self.look_everywhere(&id);
                }
                self.told_state(&id, withdraw, state, by, sent, given);
            }
            Answer::NotFound => {
                if let Some(heard) = accepted {
                    self.is_older(&format!("forgotten: {id}"), heard, sent, given);
                }
            }
            Answer::Rejected(why) => {
                assert!(!wish.told_accepted, "forgotten: {id}: {why}");
                wish.refused = true;
            }
            Answer::RetryLater(seconds) => {
                wish.turned_away += u32::from(!wish.told_accepted);
                wish.next_try = now + Micros::from_secs(u64::from(seconds));
            }
            _ => {}
        }
    }

    fn told_state(
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
                    assert_eq!(wish.tasks_done.len(), all, "not_done: {id}");
                } else {
                    assert!(wish.wants_withdrawal, "went_back: {id} was not withdrawn by its user");
                    wish.confirmed = Some(wish.confirmed.map_or(given, |before| before.min(given)));
                }
                if let Some((before, heard)) = wish.told_final {
                    assert_eq!(before, f, "went_back: {id}");
                    self.met.repeated_finals += u32::from(sent >= heard);
                } else {
                    wish.told_final = Some((f, now));
                    wish.told_by = by;
                    self.look_everywhere(id);
                }
            }
            _ => {
                assert!(!withdraw, "a withdrawal of {id} was answered with a live state");
                if let Some((_, heard)) = wish.told_final {
                    self.is_older(&format!("went_back: {id} is live again"), heard, sent, given);
                }
            }
        }
    }

    /// An answer is older than what its user had heard by then. Nothing excuses it where the request was sent after
    /// that. Where both were on their way at once it may have been given before; `judges_arrivals` holds a controller
    /// also to what had arrived, from any of them, when it gave its answer.
    fn is_older(&mut self, what: &str, heard: Micros, sent: Micros, given: Micros) {
        assert!(sent < heard, "{what}: asked at {sent:?}, heard at {heard:?}, answered at {given:?}");
        self.met.overlapped += 1;
        let late = self.judges_arrivals && given > heard;
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
