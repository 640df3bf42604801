//! What is kept of conclusions, and what counts as a contradiction of them.

use super::*;
use crate::coordination::removal::Progress;

const MACHINE: &str = "m-000001";

fn task(index: u32) -> TaskId {
    TaskId { job: "j-000001".into(), index }
}

fn removed(attempt: u64) -> Removed {
    Removed { attempt, token: 7, session: 1, state: TaskState::Fetching, progress: Progress::Called }
}

fn keep(conclusions: &mut Conclusions, index: u32, attempt: u64, ground: Removal, at: Micros) {
    let machine = MACHINE.to_owned();
    let conclusion = Conclusion { machine, removed: removed(attempt), ground, at, questioned: false };
    conclusions.keep(&task(index), conclusion);
}

fn contradicted(
    conclusions: &mut Conclusions,
    index: u32,
    attempt: u64,
    state: TaskState,
    by: Evidence,
) -> bool {
    let sighting = Sighting { task: &task(index), attempt, state, token: 7 };
    conclusions.contradicted(MACHINE, &sighting, by).is_some()
}

fn count(counts: &BTreeMap<Removal, u64>) -> u64 {
    counts.values().sum()
}

/// Guards against a wrong conclusion that nobody notices, or that is counted with each further report.
#[test]
fn a_task_that_is_there_after_all_is_counted_once_by_its_ground() {
    let mut kept = Conclusions::default();
    keep(&mut kept, 3, 5, Removal::NeverSent, Micros::from_secs(1));
    assert!(contradicted(&mut kept, 3, 5, TaskState::Running, Evidence::Report));
    assert!(!contradicted(&mut kept, 3, 5, TaskState::Running, Evidence::Holder));
    assert_eq!(kept.contradicted, [(Removal::NeverSent, 1)].into());
    assert!(kept.unordered.is_empty());
}

/// Guards against false alarms: another attempt, another task, and an end that only the holder had heard of.
#[test]
fn another_attempt_and_an_end_that_the_holder_knew_of_contradict_nothing() {
    let mut kept = Conclusions::default();
    keep(&mut kept, 3, 5, Removal::HolderSaid, Micros::from_secs(1));
    assert!(!contradicted(&mut kept, 3, 6, TaskState::Running, Evidence::Report));
    assert!(!contradicted(&mut kept, 4, 5, TaskState::Running, Evidence::Report));
    assert!(!contradicted(&mut kept, 3, 5, TaskState::Ended, Evidence::Report));
    assert_eq!(count(&kept.contradicted), 0);
    keep(&mut kept, 4, 5, Removal::NotReported, Micros::from_secs(1));
    assert!(contradicted(&mut kept, 4, 5, TaskState::Ended, Evidence::Report), "it has run");
}

/// Guards against messages that were under way hiding a contradiction, or passing for one.
#[test]
fn a_message_that_may_be_older_is_counted_apart_and_hides_nothing() {
    let mut kept = Conclusions::default();
    keep(&mut kept, 3, 5, Removal::NotReported, Micros::from_secs(1));
    let unordered = [
        Evidence::UnresolvedHolder,
        Evidence::OlderToken,
        Evidence::OutOfDate,
        Evidence::AnotherController,
        Evidence::OtherGrant,
    ];
    for (n, by) in unordered.into_iter().enumerate() {
        assert_eq!(contradicted(&mut kept, 3, 5, TaskState::Running, by), n == 0, "{by:?}");
    }
    assert_eq!((count(&kept.unordered), count(&kept.contradicted)), (1, 0));
    assert!(contradicted(&mut kept, 3, 5, TaskState::Running, Evidence::Reply));
    assert_eq!((count(&kept.unordered), count(&kept.contradicted)), (1, 1));
}

/// Guards against a gang's member that is started anew under the gang's attempt being taken for the one that was lost.
#[test]
fn a_start_takes_back_what_was_concluded_of_the_same_attempt_there() {
    let mut kept = Conclusions::default();
    keep(&mut kept, 3, 5, Removal::NotReported, Micros::from_secs(1));
    keep(&mut kept, 3, 6, Removal::NotReported, Micros::from_secs(1));
    kept.note_start(Micros::from_secs(2), "m-000002", &task(3), 5);
    assert_eq!(kept.elsewhere("m-000002", &task(3)).count(), 2, "it is of another machine");
    kept.note_start(Micros::from_secs(2), MACHINE, &task(3), 5);
    assert!(!contradicted(&mut kept, 3, 5, TaskState::Running, Evidence::Report));
    assert!(contradicted(&mut kept, 3, 6, TaskState::Running, Evidence::Report));
}

/// Guards against a memory that grows with the fleet's losses, and against one that forgets the wrong end.
#[test]
fn conclusions_are_bounded_in_number_and_age() {
    let mut kept = Conclusions::default();
    let many = MOST_KEPT as u32 + 10;
    for index in 0..many {
        keep(&mut kept, index, 1, Removal::MachineGone, Micros(u64::from(index) + 1));
    }
    assert_eq!((kept.oldest.len(), kept.by_task.len()), (MOST_KEPT, MOST_KEPT));
    assert_eq!(kept.crowded_out, 10);
    assert!(!contradicted(&mut kept, 9, 1, TaskState::Running, Evidence::Report));
    assert!(contradicted(&mut kept, many - 1, 1, TaskState::Running, Evidence::Report));
    kept.expire(KEPT_FOR + Micros::from_secs(1));
    assert!(kept.oldest.is_empty() && kept.by_task.is_empty());
    assert_eq!(kept.crowded_out, 10, "age is no crowding out");
}

/// Guards against a former registration's conclusions judging what the next one hears.
#[test]
fn the_conclusions_go_with_the_replica_and_the_counts_stay() {
    let mut kept = Conclusions::default();
    keep(&mut kept, 3, 5, Removal::NotReported, Micros::from_secs(1));
    keep(&mut kept, 4, 5, Removal::NotReported, Micros::from_secs(1));
    assert!(contradicted(&mut kept, 3, 5, TaskState::Running, Evidence::Report));
    kept.forget();
    assert!(!contradicted(&mut kept, 4, 5, TaskState::Running, Evidence::Report));
    assert_eq!(count(&kept.contradicted), 1);
}

/// Guards against a false alarm of the bench: a gang's member was taken back, started anew under the gang's attempt by its
/// holder, and shown a minute later to the machine's next holder.
#[test]
fn a_gangs_member_that_its_holder_names_again_is_no_surprise_afterwards() {
    let mut kept = Conclusions::default();
    keep(&mut kept, 3, 5, Removal::HolderSaid, Micros::from_secs(1));
    assert!(contradicted(&mut kept, 3, 5, TaskState::Fetching, Evidence::OtherGrant));
    assert!(!contradicted(&mut kept, 3, 5, TaskState::Fetching, Evidence::HolderOfGang), "counted before");
    assert!(!contradicted(&mut kept, 3, 5, TaskState::Running, Evidence::Reply));
    assert_eq!((count(&kept.unordered), count(&kept.contradicted)), (1, 0));
}
