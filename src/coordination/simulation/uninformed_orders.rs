//! Orders in which a controller goes on without its heir's confirmations, and is relied on again. Guards against the known
//! failure `ran_twice`: a task ran on one machine and was started on another.

use super::former_lives::passing_on;
use super::meetings_limits::{of_team, until};
use super::second_starts::grant_to;
use super::start_orders::{
    arrives, cut_off, ends_unread, fill, has_given_away, idle_machine, whole_status, with_heir,
};
use super::*;

/// Whether a controller has recorded others as uninformed, and does not wait for them.
fn goes_on_alone(world: &World, owner: usize) -> bool {
    !world.controllers[owner].as_ref().unwrap().announcements.uninformed().is_empty()
}

/// A cluster whose owner of jobs goes on without the heir: nothing that they say to each other arrives.
fn going_on_without_heir(seed: u64) -> (World, usize, usize) {
    let (mut world, owner, heir) = with_heir(seed);
    world.begin_fault(TimedFault::Partitioned(owner, heir), Micros::MAX);
    of_team(&mut world, passing_on(owner, heir).next().unwrap(), "blue", 2);
    let alone = |w: &World| goes_on_alone(w, owner);
    assert!(until(&mut world, Micros::from_secs(3), alone), "seed {seed}: the heir is still waited for");
    world.run(world.now + Micros::from_secs(3));
    (world, owner, heir)
}

/// Machines with these tasks reach nobody, and the one that had them is given to the heir. The owner hears the heir again, relies
/// on it again, and ends. The judge of the rules sees each start.
fn ends_relied_on(world: &mut World, owner: usize, heir: usize, machine: &str, begun: &[(TaskId, String)]) {
    cut_off(world, owner, begun);
    grant_to(world, machine, heir);
    let given_away = |w: &World| has_given_away(w, owner, machine);
    assert!(until(world, Micros::from_secs(2), given_away), "the grant is not read");
    world.timed_faults.retain(|(spell, ..)| *spell != TimedFault::Partitioned(owner, heir));
    let relied_on = |w: &World| !goes_on_alone(w, owner);
    assert!(until(world, Micros::from_secs(4), relied_on), "never relied on again");
    ends_unread(world, owner, heir);
}

/// Guards against `ran_twice`: a controller was granted a machine while it went on without the heir's confirmations, started
/// tasks there, and gave the machine away, all without the heir. It is relied on again and ends: its heir counts what was
/// missed as never ordered, takes the machine for known, and starts the tasks again.
#[test]
fn what_was_ordered_on_a_machine_granted_while_uninformed_may_be_there() {
    for seed in 722..725 {
        let (mut world, owner, heir) = going_on_without_heir(seed);
        // The heir reads no changes from here on.
        world.begin_fault(TimedFault::WatchHangs(heir), Micros::MAX);
        let machine = idle_machine(&world);
        grant_to(&mut world, &machine, owner);
        let begun = fill(&mut world, owner, heir, &machine);
        ends_relied_on(&mut world, owner, heir, &machine, &begun);
    }
}

/// Guards against `ran_twice`: a controller that goes on without the heir's confirmations tells the heir all, then starts
/// tasks of which the heir hears nothing, and gives their machine away. It is relied on again and ends: what the heir missed
/// of it after that whole status counts as never ordered, and the heir starts the tasks again.
#[test]
fn what_was_missed_after_a_whole_status_while_uninformed_may_be_there() {
    for seed in 740..743 {
        let (mut world, owner, heir) = going_on_without_heir(seed);
        let machine = idle_machine(&world);
        grant_to(&mut world, &machine, owner);
        let known = |w: &World| {
            let c = w.controllers[owner].as_ref().unwrap();
            let token = c.machines[&machine].row.token;
            let read = w.controllers[heir].as_ref().unwrap().machines[&machine].row.token == token;
            c.owns(&c.machines[&machine]) && c.machines[&machine].resolved && read
        };
        assert!(until(&mut world, Micros::from_secs(3), known), "seed {seed}: {machine} is not known");
        let whole = whole_status(&mut world, owner, heir);
        arrives(&mut world, owner, heir, &whole);
        let (life, reader) = (
            world.controllers[owner].as_ref().unwrap().incarnation(),
            world.controllers[heir].as_ref().unwrap(),
        );
        assert!(
            reader.machine_knowledge.is_contiguous(&life),
            "seed {seed}: the whole status was not taken in"
        );
        // The heir reads no changes from here on.
        world.begin_fault(TimedFault::WatchHangs(heir), Micros::MAX);
        let begun = fill(&mut world, owner, heir, &machine);
        assert!(goes_on_alone(&world, owner), "seed {seed}: the heir was waited for again too soon");
        ends_relied_on(&mut world, owner, heir, &machine, &begun);
    }
}
