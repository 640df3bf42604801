//! Tests the assignment of jobs to controllers.

use super::*;

/// Guards against reassigning jobs of remaining controllers when one leaves, and against an uneven distribution.
#[test]
fn a_lost_member_moves_only_its_own_jobs_and_the_distribution_is_even() {
    let all = ["a", "b", "c"];
    let mut counts = [0; 3];
    for n in 0..6_000 {
        let job = format!("j-{n:06}");
        let owner = rendezvous(&job, all.into_iter()).unwrap();
        counts[all.iter().position(|m| *m == owner).unwrap()] += 1;
        let without_c = rendezvous(&job, ["a", "b"].into_iter()).unwrap();
        assert!(owner == "c" || owner == without_c);
    }
    assert!(counts.iter().all(|c| (1_800..2_200).contains(c)), "{counts:?}");
}
