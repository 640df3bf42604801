//! When a job counts as stalled.

use super::*;

fn at(seconds: u64) -> Micros {
    Micros::from_secs(seconds)
}

#[test]
fn a_job_that_could_start_and_does_not_is_stalled_for_a_while() {
    let mut stalls = Stalls::default();
    for s in 0..20 {
        stalls.observe(at(s), "j-1", 3, true);
        assert!(!stalls.is_stalled("j-1"), "after {s} s");
    }
    for s in 20..80 {
        // Its share goes to others meanwhile.
        stalls.observe(at(s), "j-1", 3, s == 20);
        assert!(stalls.is_stalled("j-1"), "after {s} s");
    }
    stalls.observe(at(80), "j-1", 3, false);
    assert!(!stalls.is_stalled("j-1"));
}

#[test]
fn a_job_that_starts_something_or_lacks_a_share_is_not_stalled() {
    let mut stalls = Stalls::default();
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
    assert!(!stalls.is_stalled("j-1"), "it has started something");
}

#[test]
fn jobs_that_are_short_no_more_are_forgotten() {
    let mut stalls = Stalls::default();
    (0..=20).for_each(|s| stalls.observe(at(s), "j-1", 0, true));
    assert!(stalls.is_stalled("j-1"));
    stalls.retain(|_| false);
    assert!(!stalls.is_stalled("j-1") && stalls.short.is_empty());
}
