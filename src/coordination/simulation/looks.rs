//! Users who look everywhere: right after what they first hear they ask all controllers at once, repeat what they asked
//! for, and call some jobs off; and they ask about jobs that nobody has submitted.

use super::troubles::run_random;
use super::*;

/// What a user asks of a controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Look {
    Submits,
    Asks,
    Withdraws,
}

impl World {
    /// A user has first heard that its job is accepted or over, and asks every controller within milliseconds.
    pub(super) fn look_everywhere(&mut self, id: &str) {
        if self.looks <= 0.0 || !self.rng.random_bool(self.looks.min(1.0)) {
            return;
        }
        self.met.looks += 1;
        self.meets("request_bursts");
        let at_once = self.rng.random_bool(0.2);
        let repeats = self.rng.random_bool(0.5);
        let Some(wish) = self.jobs.get_mut(id) else { return };
        // Whoever has heard that a job is done may call it off all the same, and hears again that it is done.
        let over = wish.told_final.is_some();
        wish.wants_withdrawal |= at_once && !over;
        let withdraws = if over { repeats } else { wish.wants_withdrawal };
        let passed_over = self.passed_over;
        for node in (0..self.settings.len()).filter(|n| Some(*n) != passed_over) {
            let mut looks = vec![Look::Asks, Look::Submits, Look::Asks];
            if withdraws {
                looks.extend([Look::Withdraws; 2]);
            }
            for look in looks {
                self.soon(0, 8 * MS, Happening::Looks { node, job: id.to_owned(), look });
            }
        }
        if self.rng.random_bool(0.25) {
            self.ask_of_unknown();
        }
    }

    /// One request of a look, unless its controller is down or the request lost.
    pub(super) fn look(&mut self, node: usize, job: String, look: Look) {
        if self.controllers[node].is_some() && !self.lost() {
            self.ask(node, job, look);
        }
    }

    /// Asks every controller about a job that nobody has submitted, and calls it off.
    pub(super) fn ask_of_unknown(&mut self) {
        let id = format!("j-9{:05}", self.rng.random_range(0..100_000));
        if self.jobs.contains_key(&id) {
            return;
        }
        for node in 0..self.settings.len() {
            for look in [Look::Asks, Look::Withdraws] {
                self.met.unknown += 1;
                self.soon(0, 8 * MS, Happening::Looks { node, job: id.clone(), look });
            }
        }
    }

    /// An answer about a job that nobody has submitted: there is none, and none comes of having been asked about.
    pub(super) fn heard_of_unknown(&mut self, id: &str, answer: Answer) {
        assert!(!matches!(answer, Answer::Job { .. }), "invented: {id} was never submitted: {answer:?}");
        let kept = [records::live_job_key(id), records::final_state_key(id)]
            .into_iter()
            .find(|k| self.store.keys.contains_key(k));
        assert_eq!(kept, None, "invented: {id} was never submitted");
        self.met.unknown_denied += u32::from(answer == Answer::NotFound);
    }
}

/// A world in which one job is accepted and over, as its user has heard.
fn over(state: FinalState) -> (World, String) {
    let mut world = World::new(1, FaultProfile::default());
    let job = JobSpec { shape: Shape::Array, tasks: 1, gpus: 0.0, zone: None, ..world.random_job(1) };
    let id = job.id.clone();
    world.submit(JobSpec { team: "green".into(), ..job });
    world.run(Micros::from_secs(6));
    assert!(world.jobs[&id].told_accepted);
    world.jobs.get_mut(&id).unwrap().wants_withdrawal = state == FinalState::Withdrawn;
    world.run(Micros::from_secs(90));
    assert_eq!(world.jobs[&id].told_final.unwrap().0, state);
    (world, id)
}

/// Has an answer come to the user, of which request and answer are so many milliseconds older or younger than what it
/// has heard; the fault it is judged to be, if any.
fn judged(answer: fn(&str) -> Answer, state: FinalState, sent: i64, given: i64, arrivals: bool) -> String {
    let (mut world, id) = over(state);
    world.judges_arrivals = arrivals;
    let wish = world.jobs.get_mut(&id).unwrap();
    // Either end would have been right by its tasks and its user.
    (wish.wants_withdrawal, wish.tasks_done) = (true, BTreeSet::from([0]));
    let heard = wish.told_final.unwrap().1;
    let at = |ms: i64| Micros((heard.0 as i64 + ms * MS as i64) as u64);
    let asking = Asking { job: id.clone(), withdraw: false, sent: at(sent) };
    let answer = answer(&id);
    let judge = move || world.user_answered(asking, answer, 0, at(given));
    let fault = std::panic::catch_unwind(std::panic::AssertUnwindSafe(judge)).err();
    fault.map_or_else(String::new, |f| f.downcast_ref::<String>().expect("a message").clone())
}

fn told(id: &str, state: JobState) -> Answer {
    Answer::Job { created: false, id: id.to_owned(), state, done: 0, running: 0 }
}

/// Guards the judge of answers: one older by a microsecond than what its user had heard when it asked is a fault, one
/// that was given before and came later is none.
#[test]
fn answers_older_than_what_was_heard_are_faults_without_tolerance() {
    let live = |id: &str| told(id, JobState::Running);
    let done = |id: &str| told(id, JobState::Final(FinalState::Done));
    let withdrawn = |id: &str| told(id, JobState::Final(FinalState::Withdrawn));
    let (unknown, never) = (|_: &str| Answer::NotFound, |_: &str| Answer::Rejected("never"));
    for (fault, what) in [
        (judged(live, FinalState::Withdrawn, 0, 1, false), "went_back: j-000001 is live again: "),
        (judged(live, FinalState::Done, 5, 6, false), "went_back: j-000001 is live again: "),
        (judged(live, FinalState::Done, -5, 1, true), "went_back: j-000001 is live again, overlapping: "),
        (judged(done, FinalState::Withdrawn, -5, -1, false), "assertion `left == right` failed: went_back: "),
        (judged(withdrawn, FinalState::Done, -5, -1, false), "assertion `left == right` failed: went_back: "),
        (judged(unknown, FinalState::Done, 5, 6, false), "forgotten: j-000001: asked"),
        (judged(never, FinalState::Done, 5, 6, false), "forgotten: j-000001: never"),
    ] {
        assert!(fault.starts_with(what), "{fault:?} is not {what:?}");
    }
    for (fault, why) in [
        (judged(live, FinalState::Done, -5, -1, true), "given before it was heard"),
        (judged(live, FinalState::Done, -5, 1, false), "both were on their way"),
        (judged(done, FinalState::Done, 5, 6, true), "the same end"),
        (judged(|_| Answer::RetryLater(1), FinalState::Done, 5, 6, true), "no answer"),
    ] {
        assert_eq!(fault, "", "{why}");
    }
}

/// Guards the judge of jobs that nobody submitted: an answer that knows one, and one that is kept.
#[test]
#[should_panic(expected = "invented")]
fn an_answer_about_a_job_that_nobody_submitted_is_a_fault() {
    let (mut world, _) = over(FinalState::Done);
    let asking = Asking { job: "j-900001".into(), withdraw: true, sent: world.now };
    world.user_answered(asking, told("j-900001", JobState::Final(FinalState::Withdrawn)), 0, world.now);
}

/// Guards users who ask everywhere within milliseconds of what they first hear, repeat it and call some jobs off,
/// against answers older than that, and against jobs that come of being asked about.
#[test]
fn users_who_look_everywhere_at_once_hear_nothing_older() {
    let mut met = Met::default();
    for seed in 0..4 {
        let world = run_random(20_000 + seed, FaultProfile { request_bursts: 0.7, ..Default::default() });
        met.looks += world.met.looks;
        met.unknown_denied += world.met.unknown_denied;
        met.repeated_finals += world.met.repeated_finals;
    }
    eprintln!("{met:?}");
    assert!(met.looks > 150 && met.unknown_denied > 60 && met.repeated_finals > 1_000, "{met:?}");
}
