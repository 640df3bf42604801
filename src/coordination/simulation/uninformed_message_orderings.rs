//! Orders of events in which a controller goes on without its successor's confirmations, and later requires them again.
//! Guards against the known failure `ran_twice`: a task ran on one machine and was started on another.

use super::duplicate_starts::grant_to;
use super::former_incarnations::job_numbers_passing;
use super::quota_fault_combinations::{run_until, submit_array};
use super::status_message_orderings::{
    cluster_with_successor, crash_owner_unread, cut_off_machines, deliver_status, fill_machines,
    has_read_reassignment, idle_machine, request_full_status,
};
use super::*;

/// Whether a controller has recorded others as uninformed, and does not wait for their confirmations.
fn has_uninformed(world: &World, owner: usize) -> bool {
    !world.controllers[owner].as_ref().unwrap().announcements.uninformed().is_empty()
}

/// A cluster whose owner of jobs goes on without the successor's confirmations, since no message between the two
/// arrives.
fn cluster_with_uninformed_successor(seed: u64) -> (World, usize, usize) {
    let (mut world, owner, successor) = cluster_with_successor(seed);
    world.begin_fault(TimedFault::Partitioned(owner, successor), Micros::MAX);
    submit_array(&mut world, job_numbers_passing(owner, successor).next().unwrap(), "blue", 2);
    let is_uninformed = |w: &World| has_uninformed(w, owner);
    assert!(
        run_until(&mut world, Micros::from_secs(3), is_uninformed),
        "seed {seed}: the owner still waits for the successor"
    );
    world.run(world.now + Micros::from_secs(3));
    (world, owner, successor)
}

/// Cuts off the machines with these tasks and grants `machine`, on which they ran, to the successor. The owner receives
/// from the successor again, requires its confirmations again, and crashes. The rule checks examine each start.
fn crash_after_reinstatement(
    world: &mut World,
    owner: usize,
    successor: usize,
    machine: &str,
    started: &[(TaskId, String)],
) {
    cut_off_machines(world, owner, started);
    grant_to(world, machine, successor);
    let is_reassigned = |w: &World| has_read_reassignment(w, owner, machine);
    assert!(run_until(world, Micros::from_secs(2), is_reassigned), "the owner does not read the grant");
    world.timed_faults.retain(|(spell, ..)| *spell != TimedFault::Partitioned(owner, successor));
    let is_reinstated = |w: &World| !has_uninformed(w, owner);
    assert!(
        run_until(world, Micros::from_secs(4), is_reinstated),
        "the successor's confirmations are never required again"
    );
    crash_owner_unread(world, owner, successor);
}

/// Guards against `ran_twice`: a controller was granted a machine while it went on without the successor's
/// confirmations, started tasks there, and the machine was moved away from it, all without informing the successor. The
/// controller requires the confirmations again and crashes: the successor concludes that starts of which it was not
/// informed were never ordered, takes the machine for fully known, and starts the tasks again.
#[test]
fn tasks_started_on_a_machine_granted_while_uninformed_are_not_repeated() {
    for seed in 722..725 {
        let (mut world, owner, successor) = cluster_with_uninformed_successor(seed);
        // The successor reads no changes from here on.
        world.begin_fault(TimedFault::WatchHangs(successor), Micros::MAX);
        let machine = idle_machine(&world);
        grant_to(&mut world, &machine, owner);
        let started = fill_machines(&mut world, owner, successor, &machine);
        crash_after_reinstatement(&mut world, owner, successor, &machine, &started);
    }
}

/// Guards against `ran_twice`: a controller that goes on without the successor's confirmations sends it a full status,
/// then starts tasks of which the successor is not informed, and their machine is moved away from it. The controller
/// requires the confirmations again and crashes: the successor concludes that starts that it missed after the full
/// status were never ordered, and starts the tasks again.
#[test]
fn tasks_started_after_a_full_status_while_uninformed_are_not_repeated() {
    for seed in 740..743 {
        let (mut world, owner, successor) = cluster_with_uninformed_successor(seed);
        let machine = idle_machine(&world);
        grant_to(&mut world, &machine, owner);
        let is_known = |w: &World| {
            let c = w.controllers[owner].as_ref().unwrap();
            let token = c.machines[&machine].row.token;
            let grant_is_read =
                w.controllers[successor].as_ref().unwrap().machines[&machine].row.token == token;
            c.owns(&c.machines[&machine]) && c.machines[&machine].resolved && grant_is_read
        };
        assert!(
            run_until(&mut world, Micros::from_secs(3), is_known),
            "seed {seed}: the owner has not resolved {machine}, or the successor has not read its grant"
        );
        let full_status = request_full_status(&mut world, owner, successor);
        deliver_status(&mut world, owner, successor, &full_status);
        let (incarnation, receiver) = (
            world.controllers[owner].as_ref().unwrap().incarnation(),
            world.controllers[successor].as_ref().unwrap(),
        );
        assert!(
            receiver.machine_knowledge.is_contiguous(&incarnation),
            "seed {seed}: the full status was not applied"
        );
        // The successor reads no changes from here on.
        world.begin_fault(TimedFault::WatchHangs(successor), Micros::MAX);
        let started = fill_machines(&mut world, owner, successor, &machine);
        assert!(
            has_uninformed(&world, owner),
            "seed {seed}: the owner waits for the successor again too soon"
        );
        crash_after_reinstatement(&mut world, owner, successor, &machine, &started);
    }
}
