//! The judge of the soak, on histories made by hand: a sound one, and one bad for each rule.

#[allow(dead_code)]
#[path = "soak/history.rs"]
mod history;

use history::{Amount, Answer, History, JobFacts, Look, Ms, Room, Stay, Told};

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

fn stay(job: &str, index: u32, machine: &str, from: Ms, until: Ms) -> Stay {
    Stay {
        job: job.into(),
        index,
        machine: machine.into(),
        kind: "c16".into(),
        zone: if machine.ends_with('w') { "west" } else { "east" }.into(),
        spot: false,
        from,
        until: Some(until),
    }
}

fn told(job: &str, sent: Ms, at: Ms, told: Told) -> Answer {
    Answer { job: job.into(), sent, at, told }
}

/// Two jobs of a team with a limit of four processors and two accelerators; one is done, the other cancelled.
fn sound() -> History {
    let mut history = History {
        limits: [("blue".to_owned(), Amount { cpu: 4_000, gpu: 2_000 })].into(),
        cancel_ms: 1_000,
        jobs: [("j-1".to_owned(), facts("blue", 2)), ("j-2".to_owned(), facts("blue", 2))].into(),
        stays: vec![
            stay("j-1", 0, "m-1", 100, 500),
            stay("j-1", 1, "m-2", 100, 500),
            stay("j-2", 0, "m-1", 500, 900),
            stay("j-2", 0, "m-2w", 900, 1_700),
        ],
        completed: [("j-1".to_owned(), [(0, 500), (1, 500)].into())].into(),
        answers: vec![
            told("j-1", 0, 10, Told::Live),
            told("j-1", 600, 610, Told::Done),
            told("j-2", 0, 20, Told::Live),
            told("j-2", 700, 800, Told::Withdrawn),
            told("j-2", 790, 810, Told::Live),
            told("j-2", 900, 910, Told::Withdrawn),
        ],
        cancels: [("j-2".to_owned(), 690)].into(),
        looks: Vec::new(),
        ended: Vec::new(),
        calm_from: 2_000,
        over_at: 3_000,
    };
    history.answers.push(told("j-9", 5, 6, Told::Unknown));
    history
}

/// The rules that a change of the sound history breaks.
fn broken(change: impl Fn(&mut History)) -> Vec<&'static str> {
    let mut history = sound();
    change(&mut history);
    let mut rules: Vec<&'static str> = history.judge().into_iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

#[test]
fn a_sound_history_breaks_nothing() {
    assert_eq!(sound().judge(), []);
    let figures = sound().figures();
    assert_eq!((figures.peak, figures.starts, figures.cancelled, figures.late_starts), (1_000, 4, 1, 1));
    assert_eq!((figures.accepted, figures.done), (2, 1));
}

#[test]
fn a_task_on_two_machines_is_found() {
    assert_eq!(broken(|h| h.stays[3].from = 899), ["ran_twice"]);
}

/// What ends at the moment at which something else begins is not beside it.
#[test]
fn a_limit_of_processors_or_accelerators_is_judged_at_every_moment() {
    assert_eq!(broken(|h| h.stays[2].from = 499), ["quota"]);
    let processors = |h: &mut History| {
        h.limits.insert("blue".into(), Amount { cpu: 3_999, gpu: 0 });
    };
    assert_eq!(broken(processors), ["quota"]);
    let accelerators = |h: &mut History| {
        h.limits.insert("blue".into(), Amount { cpu: 0, gpu: 1_999 });
    };
    assert_eq!(broken(accelerators), ["quota"]);
}

/// A task that has not ended when the run does is there until then.
#[test]
fn a_cancelled_task_that_goes_on_is_found() {
    assert_eq!(broken(|h| h.stays[3].until = Some(1_801)), ["ran_cancelled"]);
    assert_eq!(broken(|h| h.stays[3].until = None), ["ran_cancelled"]);
}

#[test]
fn a_task_where_its_job_may_not_be_is_found() {
    let of = |change: fn(&mut JobFacts)| {
        broken(move |h| {
            h.stays[1] = stay("j-1", 1, "m-2w", 100, 500);
            h.jobs.values_mut().for_each(change);
        })
    };
    assert_eq!(of(|_| {}), Vec::<&str>::new());
    assert_eq!(of(|f| f.one_zone = true), ["wrong_place"]);
    assert_eq!(of(|f| f.zone = Some("north".into())), ["wrong_place"]);
    assert_eq!(of(|f| f.kinds = Some(vec!["g16".into()])), ["wrong_place"]);
    assert_eq!(broken(|h| h.jobs.values_mut().for_each(|f| f.spread = true)), ["wrong_place"]);
    let spot = |h: &mut History| {
        h.stays[0].spot = true;
        h.jobs.values_mut().for_each(|f| f.spot = false);
    };
    assert_eq!(broken(spot), ["wrong_place"]);
}

/// A question that was sent before its user had heard something may be answered with what was so before.
#[test]
fn an_answer_older_than_what_was_told_is_found() {
    assert_eq!(broken(|h| h.answers[4].sent = 801), ["went_back"]);
    assert_eq!(broken(|h| h.answers.push(told("j-1", 700, 710, Told::Live))), ["went_back"]);
    assert_eq!(broken(|h| h.cancels.clear()), ["went_back"]);
    assert_eq!(broken(|h| h.answers[1].told = Told::Withdrawn), ["went_back"]);
}

#[test]
fn a_job_called_done_too_soon_is_found() {
    assert_eq!(broken(|h| h.answers[1].at = 499), ["not_done"]);
}

#[test]
fn a_job_that_is_not_known_any_more_is_found() {
    assert_eq!(broken(|h| h.answers.push(told("j-1", 11, 12, Told::Unknown))), ["forgotten"]);
    assert_eq!(broken(|h| h.answers.push(told("j-2", 21, 22, Told::Refused))), ["forgotten"]);
    assert_eq!(broken(|h| h.answers.push(told("j-1", 5, 12, Told::Unknown))), Vec::<&str>::new());
    let silent = |h: &mut History| {
        h.over_at = 30_000;
        h.answers.truncate(1);
        h.cancels.insert("j-1".into(), 20);
        h.stays.truncate(2);
    };
    assert_eq!(broken(silent), ["forgotten"]);
}

#[test]
fn a_job_that_nobody_submitted_is_found() {
    assert_eq!(broken(|h| h.answers.push(told("j-9", 7, 8, Told::Live))), ["invented"]);
}

/// A job that waits while its team has room is neglected; one whose team is at its limit waits its turn.
#[test]
fn a_job_that_waits_in_calm_while_its_team_has_room_is_found() {
    let waits = |h: &mut History| {
        h.over_at = 27_500;
        h.answers.remove(1);
        h.answers.push(told("j-1", 27_000, 27_010, Told::Live));
    };
    assert_eq!(broken(waits), ["neglected"]);
    let at_its_limit = |h: &mut History| {
        waits(h);
        h.jobs.insert("j-3".into(), JobFacts { service: true, ..facts("blue", 2) });
        h.stays.push(stay("j-3", 0, "m-3", 1_000, 27_000));
        h.stays.push(stay("j-3", 1, "m-3", 1_700, 27_000));
    };
    assert_eq!(broken(at_its_limit), Vec::<&str>::new());
    let gang_beside_a_task = |h: &mut History| {
        waits(h);
        h.jobs.get_mut("j-1").unwrap().gang = true;
        h.jobs.insert("j-3".into(), JobFacts { service: true, ..facts("blue", 2) });
        h.stays.push(stay("j-3", 0, "m-3", 1_700, 27_000));
    };
    assert_eq!(broken(gang_beside_a_task), Vec::<&str>::new());
    let works = |h: &mut History| {
        waits(h);
        h.stays.push(stay("j-1", 0, "m-1", 20_000, 20_500));
    };
    assert_eq!(broken(works), Vec::<&str>::new());
}

/// The message about a job that waits says where there was room for it: seed 40's two jobs left no trace of that.
#[test]
fn a_neglected_jobs_message_names_the_machines_that_had_room_all_the_while() {
    let mut history = sound();
    history.over_at = 27_500;
    history.answers.remove(1);
    history.answers.push(told("j-1", 27_000, 27_010, Told::Live));
    let room = |machine: &str, gpu| Room {
        machine: machine.into(),
        zone: "east".into(),
        spot: false,
        free: Amount { cpu: 16_000, gpu },
    };
    let look =
        |at, m2_free| Look { at, rooms: vec![room("m-1", 4_000), room("m-2", m2_free), room("m-3", 0)] };
    history.looks = vec![look(3_000, 4_000), look(10_000, 0), look(20_000, 4_000)];
    let broken = history.judge();
    assert_eq!(broken.len(), 1);
    let said = "of 3 machines up at least, room in all 3 looks on {\"m-1\"}";
    assert!(broken[0].what.ends_with(said), "{}", broken[0].what);
}

#[test]
fn a_run_without_starts_or_with_a_controller_that_ends_is_found() {
    assert_eq!(broken(|h| h.stays.clear()), ["nothing_ran"]);
    assert_eq!(broken(|h| h.ended.push("n-1".into())), ["ended"]);
}
