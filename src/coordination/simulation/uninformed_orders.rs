//! Orders in which a controller goes on without its heir's confirmations, and is relied on again. Guards against the known
//! failure `ran_twice`: a task ran on one machine and was started on another.

use super::former_lives::job_numbers_passing;
use super::meetings_limits::{run_until, submit_array};
use super::second_starts::grant_to;
use super::start_orders::{
    cluster_with_successor, crash_owner_unread, cut_off_machines, deliver_status, fill_machines,
    has_read_reassignment, idle_machine, request_full_status,
};
use super::*;

/// Whether a controller has recorded others as uninformed, and does not wait for them.
fn has_uninformed(world: &World, owner: usize) -> bool {
    !world.controllers[owner].as_ref().unwrap().announcements.uninformed().is_empty()
}

/// A cluster whose owner of jobs goes on without the heir: nothing that they say to each other arrives.
fn cluster_with_uninformed_successor(seed: u64) -> (World, usize, usize) {
    let (mut world, owner, heir) = cluster_with_successor(seed);
    world.befalls(Spell::Apart(owner, heir), Micros::MAX);
    submit_array(&mut world, job_numbers_passing(owner, heir).next().unwrap(), "blue", 2);
    let alone = |w: &World| has_uninformed(w, owner);
    assert!(run_until(&mut world, Micros::from_secs(3), alone), "seed {seed}: the heir is still waited for");
    world.run(world.now + Micros::from_secs(3));
    (world, owner, heir)
}

/// Machines with these tasks reach nobody, and the one that had them is given to the heir. The owner hears the heir again, relies
/// on it again, and ends. The judge of the rules sees each start.
fn crash_after_reinstatement(
    world: &mut World,
    owner: usize,
    heir: usize,
    machine: &str,
    begun: &[(TaskId, String)],
) {
    cut_off_machines(world, owner, begun);
    grant_to(world, machine, heir);
    let given_away = |w: &World| has_read_reassignment(w, owner, machine);
    assert!(run_until(world, Micros::from_secs(2), given_away), "the grant is not read");
    world.spells.retain(|(spell, ..)| *spell != Spell::Apart(owner, heir));
    let relied_on = |w: &World| !has_uninformed(w, owner);
    assert!(run_until(world, Micros::from_secs(4), relied_on), "never relied on again");
    crash_owner_unread(world, owner, heir);
}

/// Guards against `ran_twice`: a controller was granted a machine while it went on without the heir's confirmations, started
/// tasks there, and gave the machine away, all without the heir. It is relied on again and ends: its heir counts what was
/// missed as never ordered, takes the machine for known, and starts the tasks again.
#[test]
fn what_was_ordered_on_a_machine_granted_while_uninformed_may_be_there() {
    for seed in 722..725 {
        let (mut world, owner, heir) = cluster_with_uninformed_successor(seed);
        // The heir reads no changes from here on.
        world.befalls(Spell::WatchHangs(heir), Micros::MAX);
        let machine = idle_machine(&world);
        grant_to(&mut world, &machine, owner);
        let begun = fill_machines(&mut world, owner, heir, &machine);
        crash_after_reinstatement(&mut world, owner, heir, &machine, &begun);
    }
}

/// Guards against `ran_twice`: a controller that goes on without the heir's confirmations tells the heir all, then starts
/// tasks of which the heir hears nothing, and gives their machine away. It is relied on again and ends: what the heir missed
/// of it after that whole status counts as never ordered, and the heir starts the tasks again.
#[test]
fn what_was_missed_after_a_whole_status_while_uninformed_may_be_there() {
    for seed in 740..743 {
        let (mut world, owner, heir) = cluster_with_uninformed_successor(seed);
        let machine = idle_machine(&world);
        grant_to(&mut world, &machine, owner);
        let known = |w: &World| {
            let c = w.controllers[owner].as_ref().unwrap();
            let token = c.machines[&machine].row.token;
            let read = w.controllers[heir].as_ref().unwrap().machines[&machine].row.token == token;
            c.owns(&c.machines[&machine]) && c.machines[&machine].resolved && read
        };
        assert!(run_until(&mut world, Micros::from_secs(3), known), "seed {seed}: {machine} is not known");
        let whole = request_full_status(&mut world, owner, heir);
        deliver_status(&mut world, owner, heir, &whole);
        let (life, reader) = (
            world.controllers[owner].as_ref().unwrap().incarnation(),
            world.controllers[heir].as_ref().unwrap(),
        );
        assert!(
            reader.machine_knowledge.is_contiguous(&life),
            "seed {seed}: the whole status was not taken in"
        );
        // The heir reads no changes from here on.
        world.befalls(Spell::WatchHangs(heir), Micros::MAX);
        let begun = fill_machines(&mut world, owner, heir, &machine);
        assert!(has_uninformed(&world, owner), "seed {seed}: the heir was waited for again too soon");
        crash_after_reinstatement(&mut world, owner, heir, &machine, &begun);
    }
}
