//! Tests of the detection of stalled jobs.

use super::*;

fn at(seconds: u64) -> Micros {
    Micros::from_secs(seconds)
}

#[test]
fn a_job_that_could_start_tasks_but_does_not_is_stalled_for_a_minute() {
    let mut stalls = StallTracker::default();
    for s in 0..20 {
        stalls.observe(at(s), "j-1", 3, true);
        assert!(!stalls.is_stalled("j-1"), "after {s} s");
    }
    for s in 20..80 {
        // While the job is stalled, its share of the limit is given to others.
        stalls.observe(at(s), "j-1", 3, s == 20);
        assert!(stalls.is_stalled("j-1"), "after {s} s");
    }
    stalls.observe(at(80), "j-1", 3, false);
    assert!(!stalls.is_stalled("j-1"));
}

#[test]
fn a_job_that_starts_tasks_or_lacks_quota_is_not_stalled() {
    let mut stalls = StallTracker::default();
    for s in 0..100 {
        stalls.observe(at(s), "j-1", s as u32 / 19, true);
        stalls.observe(at(s), "j-2", 0, s % 19 > 0);
        assert!(!stalls.is_stalled("j-1") && !stalls.is_stalled("j-2"), "after {s} s");
    }
    for s in 100..121 {
        stalls.observe(at(s), "j-1", 9, true);
    }
    assert!(stalls.is_stalled("j-1"));
    stalls.observe(at(121), "j-1", 10, true);
    assert!(!stalls.is_stalled("j-1"), "it has started a task");
}

#[test]
fn jobs_no_longer_below_their_volume_are_removed() {
    let mut stalls = StallTracker::default();
    (0..=20).for_each(|s| stalls.observe(at(s), "j-1", 0, true));
    assert!(stalls.is_stalled("j-1"));
    stalls.retain(|_| false);
    assert!(!stalls.is_stalled("j-1") && stalls.below_volume.is_empty());
}
