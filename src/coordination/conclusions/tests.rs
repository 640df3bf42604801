//! Tests which conclusions are retained, and which messages contradict them.

use super::*;
use crate::coordination::removal::StartProgress;

const MACHINE: &str = "m-000001";

fn task(index: u32) -> TaskId {
    TaskId { job: "j-000001".into(), index }
}

fn removed(attempt: u64) -> RemovedTask {
    RemovedTask {
        attempt,
        token: 7,
        session: 1,
        state: TaskState::Fetching,
        progress: StartProgress::SentDirectly,
    }
}

/// Adds the conclusion that an attempt of a task is not on the test machine.
fn insert(conclusions: &mut Conclusions, index: u32, attempt: u64, ground: RemovalGround, at: Micros) {
    let machine = MACHINE.to_owned();
    let conclusion =
        Conclusion { machine, removed: removed(attempt), ground, at, counted_as_questioned: false };
    conclusions.insert(&task(index), conclusion);
}

/// Whether a message of this kind that shows a task contradicts a conclusion and counts.
fn contradicts(
    conclusions: &mut Conclusions,
    index: u32,
    attempt: u64,
    state: TaskState,
    by: Evidence,
) -> bool {
    let observed = ObservedTask { task: &task(index), attempt, state, token: 7 };
    conclusions.find_contradicted(MACHINE, &observed, by).is_some()
}

fn count(counts: &BTreeMap<RemovalGround, u64>) -> u64 {
    counts.values().sum()
}

/// Guards against a wrong conclusion that stays unnoticed, or that is counted again with each further report.
#[test]
fn a_contradicted_conclusion_is_counted_once_by_its_ground() {
    let mut kept = Conclusions::default();
    insert(&mut kept, 3, 5, RemovalGround::NeverSent, Micros::from_secs(1));
    assert!(contradicts(&mut kept, 3, 5, TaskState::Running, Evidence::Report));
    assert!(!contradicts(&mut kept, 3, 5, TaskState::Running, Evidence::OwnerStatus));
    assert_eq!(kept.contradicted, [(RemovalGround::NeverSent, 1)].into());
    assert!(kept.questioned.is_empty());
}

/// Guards against false alarms from another attempt, another task, and an end that only the owner knew.
#[test]
fn another_attempt_and_an_end_known_to_the_owner_contradict_nothing() {
    let mut kept = Conclusions::default();
    insert(&mut kept, 3, 5, RemovalGround::NotReportedByOwner, Micros::from_secs(1));
    assert!(!contradicts(&mut kept, 3, 6, TaskState::Running, Evidence::Report));
    assert!(!contradicts(&mut kept, 4, 5, TaskState::Running, Evidence::Report));
    assert!(!contradicts(&mut kept, 3, 5, TaskState::Ended, Evidence::Report));
    assert_eq!(count(&kept.contradicted), 0);
    insert(&mut kept, 4, 5, RemovalGround::NotReported, Micros::from_secs(1));
    assert!(contradicts(&mut kept, 4, 5, TaskState::Ended, Evidence::Report), "it has run");
}

/// Guards against messages in transit that hide a contradiction, or are counted as one.
#[test]
fn a_message_that_may_predate_the_conclusion_is_counted_separately() {
    let mut kept = Conclusions::default();
    insert(&mut kept, 3, 5, RemovalGround::NotReported, Micros::from_secs(1));
    let may_predate = [
        Evidence::UnresolvedOwnerStatus,
        Evidence::OlderToken,
        Evidence::OutOfDate,
        Evidence::AnotherController,
        Evidence::StatusOfOtherGrant,
    ];
    for (n, by) in may_predate.into_iter().enumerate() {
        assert_eq!(contradicts(&mut kept, 3, 5, TaskState::Running, by), n == 0, "{by:?}");
    }
    assert_eq!((count(&kept.questioned), count(&kept.contradicted)), (1, 0));
    assert!(contradicts(&mut kept, 3, 5, TaskState::Running, Evidence::Reply));
    assert_eq!((count(&kept.questioned), count(&kept.contradicted)), (1, 1));
}

/// Guards against mistaking a gang's member that is restarted under the gang's attempt for the lost one.
#[test]
fn a_start_removes_the_conclusion_on_the_same_attempt_on_its_machine() {
    let mut kept = Conclusions::default();
    insert(&mut kept, 3, 5, RemovalGround::NotReported, Micros::from_secs(1));
    insert(&mut kept, 3, 6, RemovalGround::NotReported, Micros::from_secs(1));
    kept.record_start(Micros::from_secs(2), "m-000002", &task(3), 5);
    assert_eq!(kept.on_other_machines("m-000002", &task(3)).count(), 2, "they concern another machine");
    kept.record_start(Micros::from_secs(2), MACHINE, &task(3), 5);
    assert!(!contradicts(&mut kept, 3, 5, TaskState::Running, Evidence::Report));
    assert!(contradicts(&mut kept, 3, 6, TaskState::Running, Evidence::Report));
}

/// Guards against memory use that grows with the number of lost machines, and against removing the newest conclusions
/// instead of the oldest.
#[test]
fn conclusions_are_bounded_in_number_and_age() {
    let mut kept = Conclusions::default();
    let many = MAX_RETAINED as u32 + 10;
    for index in 0..many {
        insert(&mut kept, index, 1, RemovalGround::MachineGone, Micros(u64::from(index) + 1));
    }
    assert_eq!((kept.by_age.len(), kept.by_task.len()), (MAX_RETAINED, MAX_RETAINED));
    assert_eq!(kept.crowded_out, 10);
    assert!(!contradicts(&mut kept, 9, 1, TaskState::Running, Evidence::Report));
    assert!(contradicts(&mut kept, many - 1, 1, TaskState::Running, Evidence::Report));
    kept.expire(RETENTION + Micros::from_secs(1));
    assert!(kept.by_age.is_empty() && kept.by_task.is_empty());
    assert_eq!(kept.crowded_out, 10, "expiry does not count as crowding out");
}

/// Guards against applying a former registration's conclusions to the messages that the next one receives.
#[test]
fn clearing_removes_the_conclusions_and_keeps_the_counts() {
    let mut kept = Conclusions::default();
    insert(&mut kept, 3, 5, RemovalGround::NotReported, Micros::from_secs(1));
    insert(&mut kept, 4, 5, RemovalGround::NotReported, Micros::from_secs(1));
    assert!(contradicts(&mut kept, 3, 5, TaskState::Running, Evidence::Report));
    kept.clear();
    assert!(!contradicts(&mut kept, 4, 5, TaskState::Running, Evidence::Report));
    assert_eq!(count(&kept.contradicted), 1);
}

/// Guards against a false alarm seen in a benchmark: a gang's member was dropped, restarted under the gang's attempt by
/// its owner, and reported a minute later to the machine's next owner.
#[test]
fn a_gang_member_restarted_by_its_owner_contradicts_nothing_afterwards() {
    let mut kept = Conclusions::default();
    insert(&mut kept, 3, 5, RemovalGround::NotReportedByOwner, Micros::from_secs(1));
    assert!(contradicts(&mut kept, 3, 5, TaskState::Fetching, Evidence::StatusOfOtherGrant));
    assert!(
        !contradicts(&mut kept, 3, 5, TaskState::Fetching, Evidence::OwnerStatusOfGang),
        "counted before"
    );
    assert!(!contradicts(&mut kept, 3, 5, TaskState::Running, Evidence::Reply));
    assert_eq!((count(&kept.questioned), count(&kept.contradicted)), (1, 0));
}
