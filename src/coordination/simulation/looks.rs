//! Users who look everywhere: right after what they first hear they ask all controllers at once, repeat what they asked
//! for, and call some jobs off; and they ask about jobs that nobody has submitted.

use super::troubles::play;
use super::*;

/// What a user asks of a controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum UserRequest {
    Submit,
    Query,
    Withdraw,
}

impl World {
    /// A user has first heard that its job is accepted or over, and asks every controller within milliseconds.
    pub(super) fn send_request_burst(&mut self, id: &str) {
        if self.request_burst_probability <= 0.0
            || !self.rng.random_bool(self.request_burst_probability.min(1.0))
        {
            return;
        }
        self.coverage.request_bursts += 1;
        self.record_fault("looks");
        let at_once = self.rng.random_bool(0.2);
        let repeats = self.rng.random_bool(0.5);
        let Some(wish) = self.jobs.get_mut(id) else { return };
        // Whoever has heard that a job is done may call it off all the same, and hears again that it is done.
        let over = wish.known_final.is_some();
        wish.wants_withdrawal |= at_once && !over;
        let withdraws = if over { repeats } else { wish.wants_withdrawal };
        let passed_over = self.excluded_controller;
        for node in (0..self.settings.len()).filter(|n| Some(*n) != passed_over) {
            let mut looks = vec![UserRequest::Query, UserRequest::Submit, UserRequest::Query];
            if withdraws {
                looks.extend([UserRequest::Withdraw; 2]);
            }
            for look in looks {
                self.schedule_within(
                    0,
                    8 * MS,
                    SimEvent::UserRequest { node, job: id.to_owned(), request: look },
                );
            }
        }
        if self.rng.random_bool(0.25) {
            self.request_unknown_job();
        }
    }

    /// One request of a look, unless its controller is down or the request lost.
    pub(super) fn try_user_request(&mut self, node: usize, job: String, look: UserRequest) {
        if self.controllers[node].is_some() && !self.is_message_lost() {
            self.send_user_request(node, job, look);
        }
    }

    /// Asks every controller about a job that nobody has submitted, and calls it off.
    pub(super) fn request_unknown_job(&mut self) {
        let id = format!("j-9{:05}", self.rng.random_range(0..100_000));
        if self.jobs.contains_key(&id) {
            return;
        }
        for node in 0..self.settings.len() {
            for look in [UserRequest::Query, UserRequest::Withdraw] {
                self.coverage.unknown_job_requests += 1;
                self.schedule_within(
                    0,
                    8 * MS,
                    SimEvent::UserRequest { node, job: id.clone(), request: look },
                );
            }
        }
    }

    /// An answer about a job that nobody has submitted: there is none, and none comes of having been asked about.
    pub(super) fn check_unknown_job_answer(&mut self, id: &str, answer: Answer) {
        assert!(!matches!(answer, Answer::Job { .. }), "invented: {id} was never submitted: {answer:?}");
        let kept = [records::live_job_key(id), records::final_state_key(id)]
            .into_iter()
            .find(|k| self.store.keys.contains_key(k));
        assert_eq!(kept, None, "invented: {id} was never submitted");
        self.coverage.unknown_job_denials += u32::from(answer == Answer::NotFound);
    }
}

/// A world in which one job is accepted and over, as its user has heard.
fn world_with_ended_job(state: FinalState) -> (World, String) {
    let mut world = World::new(1, Trouble::default());
    let job = JobSpec { shape: Shape::Array, tasks: 1, gpus: 0.0, zone: None, ..world.random_job(1) };
    let id = job.id.clone();
    world.submit(JobSpec { team: "green".into(), ..job });
    world.run(Micros::from_secs(6));
    assert!(world.jobs[&id].known_accepted);
    world.jobs.get_mut(&id).unwrap().wants_withdrawal = state == FinalState::Withdrawn;
    world.run(Micros::from_secs(90));
    assert_eq!(world.jobs[&id].known_final.unwrap().0, state);
    (world, id)
}

/// Has an answer come to the user, of which request and answer are so many milliseconds older or younger than what it
/// has heard; the fault it is judged to be, if any.
fn answer_fault(
    answer: fn(&str) -> Answer,
    state: FinalState,
    sent: i64,
    given: i64,
    arrivals: bool,
) -> String {
    let (mut world, id) = world_with_ended_job(state);
    world.checks_answer_times = arrivals;
    let wish = world.jobs.get_mut(&id).unwrap();
    // Either end would have been right by its tasks and its user.
    (wish.wants_withdrawal, wish.completed_tasks) = (true, BTreeSet::from([0]));
    let heard = wish.known_final.unwrap().1;
    let at = |ms: i64| Micros((heard.0 as i64 + ms * MS as i64) as u64);
    let asking = AnsweredRequest { job: id.clone(), withdraw: false, sent_at: at(sent) };
    let answer = answer(&id);
    let judge = move || world.handle_user_answer(asking, answer, 0, at(given));
    let fault = std::panic::catch_unwind(std::panic::AssertUnwindSafe(judge)).err();
    fault.map_or_else(String::new, |f| f.downcast_ref::<String>().expect("a message").clone())
}

fn job_answer(id: &str, state: JobState) -> Answer {
    Answer::Job { created: false, id: id.to_owned(), state, done: 0, running: 0 }
}

/// Guards the judge of answers: one older by a microsecond than what its user had heard when it asked is a fault, one
/// that was given before and came later is none.
#[test]
fn answers_older_than_what_was_heard_are_faults_without_tolerance() {
    let live = |id: &str| job_answer(id, JobState::Running);
    let done = |id: &str| job_answer(id, JobState::Final(FinalState::Done));
    let withdrawn = |id: &str| job_answer(id, JobState::Final(FinalState::Withdrawn));
    let (unknown, never) = (|_: &str| Answer::NotFound, |_: &str| Answer::Rejected("never"));
    for (fault, what) in [
        (answer_fault(live, FinalState::Withdrawn, 0, 1, false), "went_back: j-000001 is live again: "),
        (answer_fault(live, FinalState::Done, 5, 6, false), "went_back: j-000001 is live again: "),
        (
            answer_fault(live, FinalState::Done, -5, 1, true),
            "went_back: j-000001 is live again, overlapping: ",
        ),
        (
            answer_fault(done, FinalState::Withdrawn, -5, -1, false),
            "assertion `left == right` failed: went_back: ",
        ),
        (
            answer_fault(withdrawn, FinalState::Done, -5, -1, false),
            "assertion `left == right` failed: went_back: ",
        ),
        (answer_fault(unknown, FinalState::Done, 5, 6, false), "forgotten: j-000001: asked"),
        (answer_fault(never, FinalState::Done, 5, 6, false), "forgotten: j-000001: never"),
    ] {
        assert!(fault.starts_with(what), "{fault:?} is not {what:?}");
    }
    for (fault, why) in [
        (answer_fault(live, FinalState::Done, -5, -1, true), "given before it was heard"),
        (answer_fault(live, FinalState::Done, -5, 1, false), "both were on their way"),
        (answer_fault(done, FinalState::Done, 5, 6, true), "the same end"),
        (answer_fault(|_| Answer::RetryLater(1), FinalState::Done, 5, 6, true), "no answer"),
    ] {
        assert_eq!(fault, "", "{why}");
    }
}

/// Guards the judge of jobs that nobody submitted: an answer that knows one, and one that is kept.
#[test]
#[should_panic(expected = "invented")]
fn an_answer_about_a_job_that_nobody_submitted_is_a_fault() {
    let (mut world, _) = world_with_ended_job(FinalState::Done);
    let asking = AnsweredRequest { job: "j-900001".into(), withdraw: true, sent_at: world.now };
    world.handle_user_answer(
        asking,
        job_answer("j-900001", JobState::Final(FinalState::Withdrawn)),
        0,
        world.now,
    );
}

/// Guards users who ask everywhere within milliseconds of what they first hear, repeat it and call some jobs off,
/// against answers older than that, and against jobs that come of being asked about.
#[test]
fn users_who_look_everywhere_at_once_hear_nothing_older() {
    let mut met = Coverage::default();
    for seed in 0..4 {
        let world = play(20_000 + seed, Trouble { looks: 0.7, ..Default::default() });
        met.request_bursts += world.coverage.request_bursts;
        met.unknown_job_denials += world.coverage.unknown_job_denials;
        met.repeated_final_states += world.coverage.repeated_final_states;
    }
    eprintln!("{met:?}");
    assert!(
        met.request_bursts > 150 && met.unknown_job_denials > 60 && met.repeated_final_states > 1_000,
        "{met:?}"
    );
}
