//! Tests of the soak's checks on handwritten histories: a valid one, and variants of it that break each rule.

#[allow(dead_code)]
#[path = "soak/history.rs"]
mod history;

use history::{
    Amount, Answer, AnswerKind, CapacitySnapshot, History, JobFacts, MachineCapacity, Ms, TaskRun,
};

fn facts(team: &str, tasks: u32) -> JobFacts {
    JobFacts {
        team: team.into(),
        tasks,
        need: Amount { cpu: 2_000, gpu: 1_000 },
        kinds: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        service: false,
        gang: false,
    }
}

fn task_run(job: &str, index: u32, machine: &str, started_at: Ms, ended_at: Ms) -> TaskRun {
    TaskRun {
        job: job.into(),
        index,
        machine: machine.into(),
        machine_type: "c16".into(),
        zone: if machine.ends_with('w') { "west" } else { "east" }.into(),
        spot: false,
        started_at,
        ended_at: Some(ended_at),
    }
}

fn answer(job: &str, sent: Ms, at: Ms, kind: AnswerKind) -> Answer {
    Answer { job: job.into(), sent, at, kind }
}

/// Two jobs of a team with a limit of four processors and two accelerators; one is done, the other cancelled.
fn valid_history() -> History {
    let mut history = History {
        limits: [("blue".to_owned(), Amount { cpu: 4_000, gpu: 2_000 })].into(),
        cancel_ms: 1_000,
        jobs: [("j-1".to_owned(), facts("blue", 2)), ("j-2".to_owned(), facts("blue", 2))].into(),
        task_runs: vec![
            task_run("j-1", 0, "m-1", 100, 500),
            task_run("j-1", 1, "m-2", 100, 500),
            task_run("j-2", 0, "m-1", 500, 900),
            task_run("j-2", 0, "m-2w", 900, 1_700),
        ],
        completed: [("j-1".to_owned(), [(0, 500), (1, 500)].into())].into(),
        answers: vec![
            answer("j-1", 0, 10, AnswerKind::Live),
            answer("j-1", 600, 610, AnswerKind::Done),
            answer("j-2", 0, 20, AnswerKind::Live),
            answer("j-2", 700, 800, AnswerKind::Withdrawn),
            answer("j-2", 790, 810, AnswerKind::Live),
            answer("j-2", 900, 910, AnswerKind::Withdrawn),
        ],
        cancel_requested_at: [("j-2".to_owned(), 690)].into(),
        snapshots: Vec::new(),
        unexpected_exits: Vec::new(),
        faults_end: 2_000,
        run_ended_at: 3_000,
    };
    history.answers.push(answer("j-9", 5, 6, AnswerKind::Unknown));
    history
}

/// The rules that the valid history breaks after a change.
fn rules_broken_by(change: impl Fn(&mut History)) -> Vec<&'static str> {
    let mut history = valid_history();
    change(&mut history);
    let mut rules: Vec<&'static str> = history.find_violations().into_iter().map(|v| v.rule).collect();
    rules.dedup();
    rules
}

#[test]
fn a_valid_history_has_no_violations() {
    assert_eq!(valid_history().find_violations(), []);
    let statistics = valid_history().statistics();
    assert_eq!(
        (
            statistics.peak_usage,
            statistics.starts,
            statistics.confirmed_cancellations,
            statistics.starts_after_cancellation
        ),
        (1_000, 4, 1, 1)
    );
    assert_eq!((statistics.accepted, statistics.done), (2, 1));
}

#[test]
fn a_task_on_two_machines_is_found() {
    assert_eq!(rules_broken_by(|h| h.task_runs[3].started_at = 899), ["ran_twice"]);
}

/// A task that ends when another one starts does not count together with it.
#[test]
fn processor_and_accelerator_limits_are_checked_at_every_moment() {
    assert_eq!(rules_broken_by(|h| h.task_runs[2].started_at = 499), ["quota"]);
    let limit_processors = |h: &mut History| {
        h.limits.insert("blue".into(), Amount { cpu: 3_999, gpu: 0 });
    };
    assert_eq!(rules_broken_by(limit_processors), ["quota"]);
    let limit_accelerators = |h: &mut History| {
        h.limits.insert("blue".into(), Amount { cpu: 0, gpu: 1_999 });
    };
    assert_eq!(rules_broken_by(limit_accelerators), ["quota"]);
}

/// A task without an end counts as running until the end of the run.
#[test]
fn a_task_that_runs_past_its_cancellation_deadline_is_found() {
    assert_eq!(rules_broken_by(|h| h.task_runs[3].ended_at = Some(1_801)), ["ran_cancelled"]);
    assert_eq!(rules_broken_by(|h| h.task_runs[3].ended_at = None), ["ran_cancelled"]);
}

#[test]
fn a_task_that_violates_its_placement_constraints_is_found() {
    let rules_broken_with = |change: fn(&mut JobFacts)| {
        rules_broken_by(move |h| {
            h.task_runs[1] = task_run("j-1", 1, "m-2w", 100, 500);
            h.jobs.values_mut().for_each(change);
        })
    };
    assert_eq!(rules_broken_with(|_| {}), Vec::<&str>::new());
    assert_eq!(rules_broken_with(|f| f.one_zone = true), ["wrong_place"]);
    assert_eq!(rules_broken_with(|f| f.zone = Some("north".into())), ["wrong_place"]);
    assert_eq!(rules_broken_with(|f| f.kinds = Some(vec!["g16".into()])), ["wrong_place"]);
    assert_eq!(rules_broken_by(|h| h.jobs.values_mut().for_each(|f| f.spread = true)), ["wrong_place"]);
    let spot_forbidden = |h: &mut History| {
        h.task_runs[0].spot = true;
        h.jobs.values_mut().for_each(|f| f.spot = false);
    };
    assert_eq!(rules_broken_by(spot_forbidden), ["wrong_place"]);
}

/// An answer must not be older than one that the user had received before sending the request; a request sent earlier
/// may still get the older state.
#[test]
fn an_answer_that_contradicts_an_earlier_one_is_found() {
    assert_eq!(rules_broken_by(|h| h.answers[4].sent = 801), ["went_back"]);
    assert_eq!(rules_broken_by(|h| h.answers.push(answer("j-1", 700, 710, AnswerKind::Live))), ["went_back"]);
    assert_eq!(rules_broken_by(|h| h.cancel_requested_at.clear()), ["went_back"]);
    assert_eq!(rules_broken_by(|h| h.answers[1].kind = AnswerKind::Withdrawn), ["went_back"]);
}

#[test]
fn a_job_reported_done_before_all_tasks_completed_is_found() {
    assert_eq!(rules_broken_by(|h| h.answers[1].at = 499), ["not_done"]);
}

#[test]
fn an_accepted_job_that_is_unknown_or_unanswered_is_found() {
    assert_eq!(
        rules_broken_by(|h| h.answers.push(answer("j-1", 11, 12, AnswerKind::Unknown))),
        ["forgotten"]
    );
    assert_eq!(
        rules_broken_by(|h| h.answers.push(answer("j-2", 21, 22, AnswerKind::Refused))),
        ["forgotten"]
    );
    assert_eq!(
        rules_broken_by(|h| h.answers.push(answer("j-1", 5, 12, AnswerKind::Unknown))),
        Vec::<&str>::new()
    );
    let unanswered = |h: &mut History| {
        h.run_ended_at = 30_000;
        h.answers.truncate(1);
        h.cancel_requested_at.insert("j-1".into(), 20);
        h.task_runs.truncate(2);
    };
    assert_eq!(rules_broken_by(unanswered), ["forgotten"]);
}

#[test]
fn a_job_that_nobody_submitted_is_found() {
    assert_eq!(rules_broken_by(|h| h.answers.push(answer("j-9", 7, 8, AnswerKind::Live))), ["invented"]);
}

/// A job that waits though its team's limits allow a start is neglected; one whose team is at its limit is not.
#[test]
fn a_job_that_waits_after_the_faults_though_limits_allow_a_start_is_found() {
    let waits_without_running = |h: &mut History| {
        h.run_ended_at = 27_500;
        h.answers.remove(1);
        h.answers.push(answer("j-1", 27_000, 27_010, AnswerKind::Live));
    };
    assert_eq!(rules_broken_by(waits_without_running), ["neglected"]);
    let at_its_limit = |h: &mut History| {
        waits_without_running(h);
        h.jobs.insert("j-3".into(), JobFacts { service: true, ..facts("blue", 2) });
        h.task_runs.push(task_run("j-3", 0, "m-3", 1_000, 27_000));
        h.task_runs.push(task_run("j-3", 1, "m-3", 1_700, 27_000));
    };
    assert_eq!(rules_broken_by(at_its_limit), Vec::<&str>::new());
    let gang_beside_a_task = |h: &mut History| {
        waits_without_running(h);
        h.jobs.get_mut("j-1").unwrap().gang = true;
        h.jobs.insert("j-3".into(), JobFacts { service: true, ..facts("blue", 2) });
        h.task_runs.push(task_run("j-3", 0, "m-3", 1_700, 27_000));
    };
    assert_eq!(rules_broken_by(gang_beside_a_task), Vec::<&str>::new());
    let runs_a_task = |h: &mut History| {
        waits_without_running(h);
        h.task_runs.push(task_run("j-1", 0, "m-1", 20_000, 20_500));
    };
    assert_eq!(rules_broken_by(runs_a_task), Vec::<&str>::new());
}

/// The message for a neglected job names the machines that had room for it. Seed 40 had two neglected jobs, and its
/// messages did not show where there was room for them.
#[test]
fn a_neglected_jobs_message_names_the_machines_that_always_had_capacity() {
    let mut history = valid_history();
    history.run_ended_at = 27_500;
    history.answers.remove(1);
    history.answers.push(answer("j-1", 27_000, 27_010, AnswerKind::Live));
    let machine_capacity = |machine: &str, gpu| MachineCapacity {
        machine: machine.into(),
        zone: "east".into(),
        spot: false,
        free: Amount { cpu: 16_000, gpu },
    };
    let snapshot = |at, m2_free| CapacitySnapshot {
        at,
        machines: vec![
            machine_capacity("m-1", 4_000),
            machine_capacity("m-2", m2_free),
            machine_capacity("m-3", 0),
        ],
    };
    history.snapshots = vec![snapshot(3_000, 4_000), snapshot(10_000, 0), snapshot(20_000, 4_000)];
    let violations = history.find_violations();
    assert_eq!(violations.len(), 1);
    let expected = "of 3 machines up at least, room in all 3 looks on {\"m-1\"}";
    assert!(violations[0].details.ends_with(expected), "{}", violations[0].details);
}

#[test]
fn a_run_without_starts_or_with_a_controller_that_exits_is_found() {
    assert_eq!(rules_broken_by(|h| h.task_runs.clear()), ["nothing_ran"]);
    assert_eq!(rules_broken_by(|h| h.unexpected_exits.push("n-1".into())), ["ended"]);
}
