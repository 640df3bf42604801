//! Bursts of user requests to all controllers.
//!
//! When users first learn of a new state of their job, they query all controllers at once, repeat their requests and
//! withdraw some of the jobs. They also send requests about jobs that were never submitted.

use super::fault_injection::run_random;
use super::*;

/// What a user requests of a controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum UserRequest {
    Submit,
    Query,
    Withdraw,
}

impl World {
    /// Sends a burst of requests to every controller within milliseconds, as the user has just learnt that its job is
    /// accepted or has ended.
    pub(super) fn send_request_burst(&mut self, id: &str) {
        if self.request_burst_probability <= 0.0
            || !self.rng.random_bool(self.request_burst_probability.min(1.0))
        {
            return;
        }
        self.coverage.request_bursts += 1;
        self.record_fault("request_bursts");
        let withdraw_live = self.rng.random_bool(0.2);
        let repeat = self.rng.random_bool(0.5);
        let Some(user_job) = self.jobs.get_mut(id) else { return };
        // A user may withdraw a job that it knows to be done; the answer is again that it is done.
        let is_over = user_job.known_final.is_some();
        user_job.wants_withdrawal |= withdraw_live && !is_over;
        let send_withdrawals = if is_over { repeat } else { user_job.wants_withdrawal };
        let excluded = self.excluded_controller;
        for node in (0..self.settings.len()).filter(|n| Some(*n) != excluded) {
            let mut requests = vec![UserRequest::Query, UserRequest::Submit, UserRequest::Query];
            if send_withdrawals {
                requests.extend([UserRequest::Withdraw; 2]);
            }
            for request in requests {
                self.schedule_within(
                    0,
                    8 * MS,
                    SimEvent::SendUserRequest { node, job: id.to_owned(), request },
                );
            }
        }
        if self.rng.random_bool(0.25) {
            self.request_unknown_job();
        }
    }

    /// Sends one request, unless its controller is down or the request is lost.
    pub(super) fn try_user_request(&mut self, node: usize, job: String, request: UserRequest) {
        if self.controllers[node].is_some() && !self.is_message_lost() {
            self.send_user_request(node, job, request);
        }
    }

    /// Queries and withdraws a job that was never submitted, at every controller.
    pub(super) fn request_unknown_job(&mut self) {
        let id = format!("j-9{:05}", self.rng.random_range(0..100_000));
        if self.jobs.contains_key(&id) {
            return;
        }
        for node in 0..self.settings.len() {
            for request in [UserRequest::Query, UserRequest::Withdraw] {
                self.coverage.unknown_job_requests += 1;
                self.schedule_within(0, 8 * MS, SimEvent::SendUserRequest { node, job: id.clone(), request });
            }
        }
    }

    /// Checks an answer about a job that was never submitted: the job does not exist, and requests about it don't
    /// create it.
    pub(super) fn check_unknown_job_answer(&mut self, id: &str, answer: Answer) {
        assert!(!matches!(answer, Answer::Job { .. }), "invented: {id} was never submitted: {answer:?}");
        let record = [records::live_job_key(id), records::final_state_key(id)]
            .into_iter()
            .find(|k| self.store.keys.contains_key(k));
        assert_eq!(record, None, "invented: {id} was never submitted");
        self.coverage.unknown_job_denials += u32::from(answer == Answer::NotFound);
    }
}

/// A world with one job that has ended with the given state, as its user knows.
fn world_with_ended_job(state: FinalState) -> (World, String) {
    let mut world = World::new(1, FaultProfile::default());
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

/// Gives the user an answer whose request and answer were sent the given numbers of milliseconds after (or before) the
/// user learnt the final state.
///
/// Returns the message of the violation, or an empty string if there is none.
fn answer_fault(
    answer: fn(&str) -> Answer,
    state: FinalState,
    sent_ms: i64,
    answered_ms: i64,
    check_answer_times: bool,
) -> String {
    let (mut world, id) = world_with_ended_job(state);
    world.checks_answer_times = check_answer_times;
    let user_job = world.jobs.get_mut(&id).unwrap();
    // Makes either final state consistent with the job's tasks and with what its user wanted.
    (user_job.wants_withdrawal, user_job.completed_tasks) = (true, BTreeSet::from([0]));
    let known_at = user_job.known_final.unwrap().1;
    let at = |ms: i64| Micros((known_at.0 as i64 + ms * MS as i64) as u64);
    let request = AnsweredRequest { job: id.clone(), withdraw: false, sent_at: at(sent_ms) };
    let answer = answer(&id);
    let check = move || world.handle_user_answer(request, answer, 0, at(answered_ms));
    let fault = std::panic::catch_unwind(std::panic::AssertUnwindSafe(check)).err();
    fault.map_or_else(String::new, |f| f.downcast_ref::<String>().expect("a message").clone())
}

fn job_answer(id: &str, state: JobState) -> Answer {
    Answer::Job { created: false, id: id.to_owned(), state, done: 0, running: 0 }
}

/// Tests `check_answer_order`: an answer is a violation if it is older than what the user knew, even by a microsecond,
/// when it sent the request; an answer that was sent before that and arrived later is none.
#[test]
fn answers_older_than_what_the_user_knew_are_violations_without_tolerance() {
    let live = |id: &str| job_answer(id, JobState::Running);
    let done = |id: &str| job_answer(id, JobState::Final(FinalState::Done));
    let withdrawn = |id: &str| job_answer(id, JobState::Final(FinalState::Withdrawn));
    let (unknown, never) = (|_: &str| Answer::NotFound, |_: &str| Answer::Rejected("never"));
    for (fault, prefix) in [
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
        assert!(fault.starts_with(prefix), "{fault:?} is not {prefix:?}");
    }
    for (fault, why) in [
        (answer_fault(live, FinalState::Done, -5, -1, true), "sent before the user knew the final state"),
        (answer_fault(live, FinalState::Done, -5, 1, false), "request and answer overlapped"),
        (answer_fault(done, FinalState::Done, 5, 6, true), "the same final state"),
        (answer_fault(|_| Answer::RetryLater(1), FinalState::Done, 5, 6, true), "no state in the answer"),
    ] {
        assert_eq!(fault, "", "{why}");
    }
}

/// Tests `check_unknown_job_answer`: it fails for an answer that names a state of a job that was never submitted.
#[test]
#[should_panic(expected = "invented")]
fn a_state_of_a_job_that_was_never_submitted_is_a_violation() {
    let (mut world, _) = world_with_ended_job(FinalState::Done);
    let request = AnsweredRequest { job: "j-900001".into(), withdraw: true, sent_at: world.now };
    world.handle_user_answer(
        request,
        job_answer("j-900001", JobState::Final(FinalState::Withdrawn)),
        0,
        world.now,
    );
}

/// Users send requests to all controllers within milliseconds of learning a new state of their job, repeat them and
/// withdraw some jobs.
///
/// Guards against answers older than what the user knew, and against jobs that are created by requests about them.
#[test]
fn request_bursts_get_no_answers_older_than_what_the_user_knows() {
    let mut coverage = Coverage::default();
    for seed in 0..4 {
        let world = run_random(20_000 + seed, FaultProfile { request_bursts: 0.7, ..Default::default() });
        coverage.request_bursts += world.coverage.request_bursts;
        coverage.unknown_job_denials += world.coverage.unknown_job_denials;
        coverage.repeated_final_states += world.coverage.repeated_final_states;
    }
    eprintln!("{coverage:?}");
    assert!(
        coverage.request_bursts > 150
            && coverage.unknown_job_denials > 60
            && coverage.repeated_final_states > 1_000,
        "{coverage:?}"
    );
}
