//! Replies that were meant for an earlier process of a controller and reach the one that has replaced it.

use super::quota_fault_combinations::{
    cluster_with_spare_room, finish_all_jobs, job_numbers_of, present_task_count, request_withdrawal,
    run_for, run_until, submit_array,
};
use super::*;
use crate::coordination::replica::rendezvous;

/// Numbers of jobs that the first of these controllers owns, and that the second one owns once the first has left.
pub(super) fn job_numbers_passing(from: usize, to: usize) -> impl Iterator<Item = u32> {
    let third = format!("n-{}", 3 - from - to);
    job_numbers_of(from).filter(move |n| {
        let left = [format!("n-{to}"), third.clone()];
        rendezvous(&format!("j-{n:06}"), left.iter().map(String::as_str)) == Some(left[0].as_str())
    })
}

/// A member stands still while a controller announces a start to it, crashes, and is back within a fraction of a
/// second: the member's confirmation of what the former process had announced reaches the new one. Returns the leader,
/// the restarted controller and the member.
fn deliver_confirmation_for_former_process(world: &mut World) -> (usize, usize, usize) {
    // Each process numbers its statuses, and the former one has sent many more than the new one.
    run_for(world, Micros::from_secs(60));
    let leader = world.leader().unwrap();
    let (restarted, slow) = ((leader + 1) % 3, (leader + 2) % 3);
    world.excluded_controller = Some(slow);
    world.begin_fault(TimedFault::ControllerPaused(slow), world.now + Micros::from_millis(2_500));
    let number = job_numbers_of(restarted).next().unwrap();
    submit_array(world, number, "green", 2);
    run_for(world, Micros::from_secs(1));
    world.crash_for(restarted, Micros::from_millis(200));
    run_for(world, Micros::from_secs(10));
    (leader, restarted, slow)
}

/// Guards a team's limit against a confirmation that an earlier process had requested. The new process ordered starts
/// of which a member had never been informed, and when the new process crashed, that member, which took its jobs over,
/// did not count them: the team used 42 of 40 processors.
#[test]
fn a_confirmation_for_a_former_process_permits_no_start() {
    let mut unannounced = 0;
    for seed in 300..312 {
        let mut world = cluster_with_spare_room(seed, &[("blue", 40.0, 0.0), ("green", 0.0, 0.0)]);
        let (leader, restarted, slow) = deliver_confirmation_for_former_process(&mut world);
        assert!(
            world.coverage.unsolicited_confirmations > 0,
            "seed {seed}: no confirmation reached a new process"
        );
        // The new process can reach neither the member any more, nor the store to record that it goes on without the
        // member.
        world.begin_fault(TimedFault::Partitioned(restarted, slow), world.now + Micros::from_secs(60));
        run_for(&mut world, Micros::from_secs(3));
        let mut numbers = job_numbers_passing(restarted, slow);
        let first = submit_array(&mut world, numbers.next().unwrap(), "blue", 20);
        let is_accepted =
            |w: &World| w.controllers[restarted].as_ref().is_some_and(|c| c.jobs.contains_key(&first));
        assert!(run_until(&mut world, Micros::from_secs(3), is_accepted), "seed {seed}");
        world.begin_fault(TimedFault::StoreRefuses(restarted), world.now + Micros::from_secs(30));
        run_for(&mut world, Micros::from_secs(4));
        unannounced += present_task_count(&world, &first);
        // The new process crashes, its machines with these tasks are cut off, and their job is withdrawn.
        let cut = world.now + Micros::from_secs(30);
        let runs_it = |w: &Worker| w.tasks.keys().any(|t| t.job == first);
        world.workers.values_mut().filter(|w| runs_it(w)).for_each(|w| w.partitioned_until = cut);
        world.crash_for(restarted, Micros::from_secs(40));
        request_withdrawal(&mut world, leader, &first);
        submit_array(&mut world, numbers.next().unwrap(), "blue", 40);
        run_for(&mut world, Micros::from_secs(14));
        world.excluded_controller = None;
        finish_all_jobs(&mut world, seed);
    }
    assert_eq!(unannounced, 0, "tasks started of which a member had not been informed");
}

/// A cluster, its leader, and a controller that has restarted within a fraction of a second and does not yet know all
/// tasks on the machines of others.
fn restarted_during_takeover(seed: u64) -> (World, usize, usize) {
    let mut world = cluster_with_spare_room(seed, &[("blue", 40.0, 0.0), ("green", 0.0, 0.0)]);
    let leader = world.leader().unwrap();
    let restarted = (leader + 1) % 3;
    let number = job_numbers_of(restarted).next().unwrap();
    let job = submit_array(&mut world, number, "blue", 30);
    assert!(
        run_until(&mut world, Micros::from_secs(30), |w| present_task_count(w, &job) == 30),
        "seed {seed}"
    );
    world.crash_for(restarted, Micros::from_millis(200));
    let has_unresolved = |w: &World| {
        w.controllers[restarted]
            .as_ref()
            .is_some_and(|c| c.takeover_in_progress && c.unresolved_machine_count() > 0)
    };
    assert!(
        run_until(&mut world, Micros::from_secs(10), has_unresolved),
        "seed {seed}: no takeover is in progress"
    );
    (world, leader, restarted)
}

/// Guards takeovers against testimony that was given to an earlier process: it leaves out the orders of the requester
/// itself, which the new process does not know.
#[test]
fn testimony_for_a_former_process_resolves_no_machine() {
    for seed in 320..324 {
        let (mut world, leader, restarted) = restarted_during_takeover(seed);
        let witness = world.controllers[leader].as_ref().unwrap().incarnation();
        let requester = world.controllers[restarted].as_ref().unwrap();
        let unresolved = requester.unresolved_machine_count();
        let statuses = requester.machines.values().map(|m| requester.machine_status(m)).collect();
        let former = requester.incarnation().1 - 1;
        let late_testimony = PeerMessage::WitnessAnswer {
            registration: witness.1,
            requester_registration: former,
            query: u64::MAX,
            machines: statuses,
        };
        // One query has been made, so that answers count.
        world.controllers[restarted].as_mut().unwrap().witness_queries.record_query(Micros::ZERO);
        world.deliver_event(restarted, Event::Peer(witness.0, late_testimony));
        let requester = world.controllers[restarted].as_ref().unwrap();
        assert_eq!(
            requester.unresolved_machine_count(),
            unresolved,
            "seed {seed}: machines were resolved by late testimony"
        );
        assert_eq!(requester.counters.replies_misdirected, 1, "seed {seed}");
    }
}

/// Carries out new views late, so that a controller that has joined again still reads the grants to its former
/// registration.
fn delay_views(t: &Transaction) -> Option<CommitFault> {
    let writes_view =
        t.writes.iter().any(|w| matches!(w, Write::Put { key, .. } if key == records::VIEW_KEY));
    writes_view.then_some(CommitFault::Delayed(Micros::from_secs(3)))
}

/// Guards takeovers against a worker's reply to an order of a former registration. The reply was taken as evidence that
/// all tasks on the machine are known, while an answer of that registration with a start was still in flight.
#[test]
fn a_reply_to_an_order_of_a_former_registration_resolves_no_machine() {
    for seed in 330..334 {
        let mut world = cluster_with_spare_room(seed, &[("blue", 40.0, 0.0), ("green", 0.0, 0.0)]);
        let leader = world.leader().unwrap();
        let rejoining = (leader + 1) % 3;
        let former = world.controllers[rejoining].as_ref().unwrap().incarnation();
        world.commit_fault = Some(delay_views);
        let removed = vec![Write::delete(records::registration_key(&former.0))];
        world.store.commit(Transaction { conditions: Vec::new(), writes: removed });
        let has_rejoined = |w: &World| {
            let c = w.controllers[rejoining].as_ref().unwrap();
            c.phase == crate::coordination::Phase::Active && c.incarnation().1 > former.1
        };
        assert!(
            run_until(&mut world, Micros::from_secs(5), has_rejoined),
            "seed {seed}: the controller has not joined again"
        );
        let c = world.controllers[rejoining].as_ref().unwrap();
        let owned_before =
            c.machines.iter().find(|(_, m)| (&m.row.owner, m.row.registration) == (&former.0, former.1));
        let (machine, token) = owned_before
            .map(|(name, m)| (name.clone(), m.row.token))
            .expect("its machines have already been granted again");
        let mut report = world.workers[&machine].build_report(&machine, world.now);
        report.tally += 1;
        world.deliver_event(
            rejoining,
            Event::WorkerReply {
                machine: machine.clone(),
                token,
                reply: DirectReply::Done(Box::new(report)),
            },
        );
        let c = world.controllers[rejoining].as_ref().unwrap();
        assert!(!c.machines[&machine].resolved && !c.machines[&machine].ever_resolved, "seed {seed}");
        assert_eq!(c.counters.replies_misdirected, 1, "seed {seed}");
    }
}
