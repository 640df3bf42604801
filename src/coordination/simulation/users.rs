//! Users: what they submit, ask, withdraw and have been told.

use super::*;

#[derive(Default)]
pub(super) struct Wish {
    pub(super) spec: Option<JobSpec>,
    pub(super) told_accepted: bool,
    pub(super) told_final: Option<(Final, Micros)>,
    pub(super) wants_withdrawal: bool,
    /// The controller that told its final state first.
    pub(super) told_by: usize,
    pub(super) next_try: Micros,
    /// How often its submission was turned away.
    pub(super) turned_away: u32,
    /// When a question about it was last answered.
    pub(super) answered: Micros,
    pub(super) tasks_done: BTreeSet<u32>,
    pub(super) refused: bool,
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
        let (spec, accepted) = (wish.spec.clone(), wish.told_accepted);
        let withdraw = accepted && wish.wants_withdrawal;
        let others = (0..self.settings.len()).filter(|n| Some(*n) != self.passed_over);
        let others: Vec<usize> = others.collect();
        let node = others[self.rng.random_range(0..others.len())];
        if self.controllers[node].is_some() && !self.lost() {
            let request = self.next_request;
            self.next_request += 1;
            let life = self.lives[node];
            let repeats = self.trouble.repeats;
            let again = accepted && self.odds(repeats);
            let event = match spec {
                Some(spec) if !accepted || again && !withdraw => Event::Submit(request, Box::new(spec)),
                _ if withdraw => Event::Withdraw(request, id.clone()),
                _ => Event::Query(request, id.clone()),
            };
            let patience = if matches!(event, Event::Query(..)) { 2 } else { 5 };
            let until = self.now + Micros::from_secs(patience);
            self.requests.insert((node, life, request), Asked::User { job: id.clone(), withdraw, until });
            self.soon(MS, 5 * MS, Happening::ToController { node, life, event });
        }
        self.soon(S, 3 * S, Happening::User(id));
    }

    pub(super) fn user_answered(&mut self, id: String, withdraw: bool, answer: Answer, by: usize) {
        let now = self.now;
        let Some(wish) = self.jobs.get_mut(&id) else { return };
        match answer {
            Answer::Job { state, id: told, .. } => {
                assert_eq!(told, id);
                wish.told_accepted = true;
                wish.answered = now;
                match state {
                    JobState::Final(f) => {
                        if f == Final::Done {
                            let all = wish.spec.as_ref().map_or(0, |s| s.tasks as usize);
                            assert_eq!(wish.tasks_done.len(), all, "not_done: {id}");
                        } else {
                            assert!(wish.wants_withdrawal, "went_back: {id} was not withdrawn by its user");
                        }
                        if let Some((before, _)) = wish.told_final {
                            assert_eq!(before, f, "went_back: {id}");
                        } else {
                            wish.told_final = Some((f, now));
                            wish.told_by = by;
                        }
                    }
                    _ => {
                        assert!(!withdraw, "a withdrawal of {id} was answered with a live state");
                        // Answers may overtake each other by a few milliseconds.
                        let told =
                            wish.told_final.is_some_and(|(_, at)| now.since(at) > Micros::from_millis(100));
                        assert!(!told, "went_back: {id} is live again");
                    }
                }
            }
            Answer::NotFound => assert!(!wish.told_accepted, "forgotten: {id}"),
            Answer::Impossible(why) => {
                assert!(!wish.told_accepted, "forgotten: {id}: {why}");
                wish.refused = true;
            }
            Answer::Later(seconds) => {
                wish.turned_away += u32::from(!wish.told_accepted);
                wish.next_try = now + Micros::from_secs(u64::from(seconds));
            }
            _ => {}
        }
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
            team: if self.rng.random_bool(0.5) { "blue" } else { "green" }.into(),
            shape,
            priority,
            tasks,
            cpus: f64::from(self.rng.random_range(1..6u32)),
            gpus,
            memory_gb: 4.0,
            image: format!("img-{}", self.rng.random_range(0..4)),
            image_gb: 1.0,
            types: None,
            zone: self.rng.random_bool(0.1).then(|| "west".into()),
            one_zone,
            spread: !one_zone && self.rng.random_bool(0.2),
            spot: self.rng.random_bool(0.6),
            estimate_s: 10.0,
            checkpoint_s: 5.0,
            save_s: 2.0,
            deadline_s: None,
        }
    }
}
