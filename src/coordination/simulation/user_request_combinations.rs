//! Users who send requests to every controller, repeat requests and withdraw jobs within milliseconds of an answer,
//! under further faults.

use super::fault_injection::run_random;
use super::*;
use crate::coordination::knowledge::Liveness;

/// Runs seeds in which users send bursts of requests to every controller, under further faults. Returns the total
/// coverage.
fn run_with_queries(seeds: std::ops::Range<u64>, profile: FaultProfile) -> Coverage {
    let mut met = Coverage::default();
    let count = (seeds.end - seeds.start) * super::fault_injection::soak_factor();
    for seed in seeds.start..seeds.start + count {
        let world = run_random(seed, FaultProfile { request_bursts: 0.7, withdrawn: 0.3, ..profile });
        met.request_bursts += world.coverage.request_bursts;
        met.repeated_final_states += world.coverage.repeated_final_states;
        met.lost_commit_replies += world.coverage.lost_commit_replies;
        met.late_commits += world.coverage.late_commits;
        met.overlapping_answers += world.coverage.overlapping_answers;
    }
    eprintln!("{met:?}");
    assert!(met.request_bursts > 100 && met.repeated_final_states > 400, "{met:?}");
    met
}

/// A small cluster with one array that is accepted and runs, and the array's id.
fn with_one_job(seed: u64) -> (World, String) {
    let mut world = World::new(seed, FaultProfile::default());
    (0..4).for_each(|_| drop(world.add_machine("c16", "east", false)));
    world.run(Micros::from_secs(20));
    let spec = super::takeovers::array(&mut world, 1, 40);
    let id = spec.id.clone();
    world.submit(spec);
    world.run(world.now + Micros::from_secs(3));
    (world, id)
}

/// Guards against an answer that is delayed by a slow store and sent to a user after a newer one.
#[test]
fn answers_never_go_back_in_time_with_a_slow_store() {
    run_with_queries(30_000..30_004, FaultProfile { store_slow: 0.05, ..Default::default() });
}

/// Guards acceptances, withdrawals and ends of jobs that were committed although the store's answer was lost: the next
/// query must show them.
#[test]
fn answers_include_commits_whose_replies_were_lost() {
    let met = run_with_queries(30_100..30_104, FaultProfile { answers_lost: 0.3, ..Default::default() });
    assert!(met.lost_commit_replies > 100, "{met:?}");
}

/// Guards against outdated answers while transactions are committed seconds late.
#[test]
fn answers_never_go_back_in_time_with_late_writes() {
    let met = run_with_queries(30_200..30_204, FaultProfile { late_writes: 0.2, ..Default::default() });
    assert!(met.late_commits > 30, "{met:?}");
}

/// Guards against outdated answers while one leader after the other crashes.
#[test]
fn answers_never_go_back_in_time_across_leader_crashes() {
    run_with_queries(
        30_300..30_304,
        FaultProfile { leader_crashes: true, crash: 0.02, ..Default::default() },
    );
}

/// Guards against outdated answers from controllers that are cut off from their peers or that the store refuses.
#[test]
fn answers_never_go_back_in_time_at_an_isolated_controller() {
    run_with_queries(
        30_400..30_404,
        FaultProfile {
            isolated: 0.02,
            peers_partitioned: 0.03,
            store_refuses_one: 0.02,
            ..Default::default()
        },
    );
}

/// Guards a user with two requests at once, a query and a withdrawal, under a slow store. The withdrawal was committed
/// and its answer delayed; another controller found the final state in the store and did not announce it; and a third
/// one answered from an earlier read that the job was live.
#[test]
fn a_final_state_found_in_the_store_is_announced_to_peers() {
    run_random(
        262_009,
        FaultProfile { store_slow: 0.02, refusal_then_outage: 0.01, withdrawn: 0.3, ..Default::default() },
    );
    let (mut world, id) = with_one_job(7);
    // The commit's reply is lost, and no controller's watch brings the record before another withdrawal finds it.
    world.commit_fault = Some(|t| {
        let writes_final_state =
            |w: &Write| matches!(w, Write::Put { key, .. } if key.starts_with(records::FINAL_STATES_PREFIX));
        t.writes.iter().any(writes_final_state).then_some(CommitFault::ReplyLost)
    });
    (0..3).for_each(|n| world.begin_fault(TimedFault::WatchHangs(n), world.now + Micros::from_secs(1)));
    world.jobs.get_mut(&id).unwrap().wants_withdrawal = true;
    world.send_user_request(0, id.clone(), UserRequest::Withdraw);
    world.run(world.now + Micros::from_millis(100));
    assert!(world.store.withdrawals.contains_key(&id) && world.jobs[&id].known_final.is_none());
    assert!((0..3).all(|n| world.controllers[n].as_ref().unwrap().final_states.get(&id).is_none()));
    world.send_user_request(1, id.clone(), UserRequest::Withdraw);
    world.run(world.now + Micros::from_millis(400));
    let known = |n: usize| world.controllers[n].as_ref().unwrap().final_states.get(&id).is_some();
    assert!((0..3).all(known), "not all controllers know the final state that one has found");
    world.run(world.now + Micros::from_secs(2));
    assert!(
        world.jobs[&id].known_final.is_some(),
        "all controllers know the final state, but the user has not been told"
    );
}

/// Guards accepted jobs against a controller that does not know of them yet and whose list of machine types is
/// incomplete or has changed: it rejected the repeated submission for ever.
#[test]
fn a_repeated_submission_is_not_rejected_for_the_locally_known_machine_types() {
    for seed in 0..3 {
        let mut world = World::new(seed, FaultProfile::default());
        (0..4).for_each(|n| drop(world.add_machine("c16", ["east", "west"][n % 2], false)));
        world.run(Micros::from_secs(20));
        let node = seed as usize % 3;
        world.begin_fault(TimedFault::WatchHangs(node), world.now + Micros::from_secs(6));
        world.excluded_controller = Some(node);
        let spec = super::takeovers::array(&mut world, 1, 40);
        let id = spec.id.clone();
        world.submit(spec.clone());
        world.run(world.now + Micros::from_secs(1));
        assert!(world.jobs[&id].known_accepted);
        let c = world.controllers[node].as_mut().unwrap();
        assert!(!c.jobs.contains_key(&id), "seed {seed}: the controller knows the job");
        c.machine_types.values_mut().for_each(|t| t.cpus = 0.5);
        let never_accepted = JobSpec { id: "j-000500".into(), ..spec };
        world
            .jobs
            .insert(never_accepted.id.clone(), UserJob { spec: Some(never_accepted), ..Default::default() });
        let before = world.jobs[&id].last_answered_at;
        for job in [id.clone(), "j-000500".into()] {
            (0..3).for_each(|_| world.send_user_request(node, job.clone(), UserRequest::Submit));
        }
        world.run(world.now + Micros::from_secs(1));
        assert!(world.jobs[&id].last_answered_at > before, "seed {seed}: the user got no answer");
        assert!(
            world.jobs["j-000500"].rejected,
            "seed {seed}: a job that was never accepted was not rejected"
        );
    }
}

/// Guards against the answer "queued" for a job that was live when it was looked up in the store and has ended since.
#[test]
fn a_job_that_ended_after_its_lookup_is_not_reported_live() {
    let (mut world, id) = with_one_job(9);
    let c = world.controllers[0].as_mut().unwrap();
    let (now, stamp) = (c.now, c.jobs[&id].accepted_revision);
    assert_eq!(c.liveness(&id, now, Some(stamp)), Liveness::Live);
    c.retire(&id);
    assert_eq!(c.liveness(&id, now, Some(stamp)), Liveness::Ended);
    // The watch has not brought its acceptance yet.
    assert_eq!(c.liveness(&id, now, Some(c.applied_revision + 1)), Liveness::Live);
    let outdated = Micros(now.0 - 501 * MS);
    assert_eq!(c.liveness(&id, outdated, Some(stamp)), Liveness::Uncertain);
}
