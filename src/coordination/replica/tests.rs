//! Whose a job is.

use super::*;

/// Guards the design's promise that a controller's end moves only its own jobs.
#[test]
fn losing_a_member_moves_only_its_jobs_and_shares_are_even() {
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
