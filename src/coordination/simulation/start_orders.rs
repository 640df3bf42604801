//! Orders in which what is said of a start may come to the controllers, forced one by one. Guards against the known failure
//! `ran_twice`: a task ran on one machine and was started on another.

use super::former_lives::passing_on;
use super::meetings_limits::{of_team, roomy, there, until};
use super::*;
use crate::protocol::peer::Status;

/// All that a controller says of its machines at this moment, as it answers one that has missed something.
fn whole_status(world: &mut World, from: usize, to: usize) -> Status {
    let (clock, asker) = (world.clock(from), world.settings[to].member.clone());
    let controller = world.controllers[from].as_mut().unwrap();
    let effects = controller.handle(clock, Event::Peer(asker.clone(), PeerMessage::Again));
    let mut whole = None;
    let mut others = Vec::new();
    for effect in effects {
        match effect {
            Effect::Send(Some(named), PeerMessage::Status(status)) if named == asker && status.whole => {
                whole = Some(status);
            }
            other => others.push(other),
        }
    }
    world.carry_out(from, others);
    whole.expect("nothing was told")
}

/// A status arrives, however long it was on its way.
fn arrives(world: &mut World, from: usize, to: usize, status: &Status) {
    let event = Event::Peer(world.settings[from].member.clone(), PeerMessage::Status(status.clone()));
    world.tell(to, event);
}

/// Tasks of a job that have their image, and their machines.
fn running(world: &World, job: &str) -> Vec<(TaskId, String)> {
    let all = world.workers.iter().flat_map(|(name, w)| w.tasks.iter().map(move |(id, t)| (id, t, name)));
    let here = all.filter(|(id, t, _)| id.job == job && t.is_here());
    here.map(|(id, _, name)| (id.clone(), name.clone())).collect()
}

/// Of these tasks, those that a controller takes for gone though they are on their machines.
fn forgotten(world: &World, by: usize, begun: &[(TaskId, String)]) -> usize {
    let c = world.controllers[by].as_ref().unwrap();
    let here = |id: &TaskId, name: &String| world.workers[name].tasks.get(id).is_some_and(Running::is_here);
    let known = |id: &TaskId, name: &String| c.machines.get(name).is_none_or(|m| m.tasks.contains_key(id));
    begun.iter().filter(|(id, name)| here(id, name) && !known(id, name)).count()
}

/// Machines with these tasks reach nobody for a while, and keep them until their leases are over. The owner's other machines
/// turn to others when it has ended, so that this is noticed.
fn cut_off(world: &mut World, owner: usize, begun: &[(TaskId, String)]) {
    let c = world.controllers[owner].as_ref().unwrap();
    let others = c.machines.iter().filter(|(name, m)| c.owns(m) && begun.iter().all(|(_, on)| on != *name));
    assert!(others.count() > 0, "nobody would notice the owner's end before its lease is over");
    for (_, name) in begun {
        world.workers.get_mut(name).unwrap().cut_until = world.now + Micros::from_secs(30);
    }
}

/// A cluster with room, its jobs' owner that does not lead, and the heir of a job that is yet to be submitted.
fn with_heir(seed: u64) -> (World, usize, usize) {
    let world = roomy(seed, &[("blue", 0.0, 0.0), ("green", 0.0, 0.0)]);
    let leader = world.leader().unwrap();
    (world, (leader + 1) % 3, (leader + 2) % 3)
}

/// A job of the owner's that passes to the heir, and its tasks once all of them run.
fn begun(world: &mut World, owner: usize, heir: usize) -> Vec<(TaskId, String)> {
    let job = of_team(world, passing_on(owner, heir).next().unwrap(), "blue", 10);
    assert!(until(world, Micros::from_secs(12), |w| there(w, &job) == 10), "its tasks have not begun");
    running(world, &job)
}

/// Guards against `ran_twice`: a controller's whole status comes after newer ones, as from a link that was held up while
/// another was made, and tasks that began in between are taken for gone. When the sender ends, its heir starts them again.
#[test]
fn an_older_whole_status_takes_back_nothing_that_newer_ones_told() {
    for (seed, ends_after) in [(700, 0), (701, 1), (702, 20), (703, 100)] {
        let (mut world, owner, heir) = with_heir(seed);
        let old = whole_status(&mut world, owner, heir);
        let begun = begun(&mut world, owner, heir);
        assert_eq!(forgotten(&world, heir, &begun), 0, "seed {seed}: it was not told of them");
        arrives(&mut world, owner, heir, &old);
        let taken_for_gone = forgotten(&world, heir, &begun);
        world.run(world.now + Micros::from_millis(ends_after));
        cut_off(&mut world, owner, &begun);
        world.crash_for(owner, Micros::from_secs(60));
        // The judge of the rules sees each start.
        world.run(world.now + Micros::from_secs(15));
        assert_eq!(taken_for_gone, 0, "seed {seed}: tasks that run were taken for gone by an older word");
    }
}
