//! Orders in which a controller that has just joined may learn of machines, forced one by one. Guards against the known
//! failure `ran_twice`: a task ran on one machine and was started on another.

use super::former_lives::passing_on;
use super::meetings_limits::{end_some, of_team, owned_by, there, until};
use super::second_starts::grant_to;
use super::start_orders::{cut_off, running, with_heir};
use super::*;

/// Takes out of the queue what is under way and of this kind.
fn take_out(world: &mut World, kind: impl Fn(&Happening) -> bool) -> Vec<Happening> {
    let (taken, kept): (Vec<_>, Vec<_>) =
        std::mem::take(&mut world.queue).into_iter().partition(|scheduled| kind(&scheduled.2));
    world.queue = kept.into();
    taken.into_iter().map(|scheduled| scheduled.2).collect()
}

/// Runs by milliseconds until something holds, while a machine's calls from one controller find nobody.
fn until_unreached(world: &mut World, from: usize, machine: &str, holds: impl Fn(&World) -> bool) -> bool {
    let end = world.now + Micros::from_secs(4);
    while !holds(world) {
        if world.now >= end {
            return false;
        }
        world.run(world.now + Micros::from_millis(1));
        let lost = take_out(
            world,
            |what| matches!(what, Happening::Orders { node, machine: to, .. } if *node == from && to == machine),
        );
        for call in lost {
            let Happening::Orders { node, life, machine, orders, .. } = call else { continue };
            let event = Event::Worker { machine, token: orders.token, reply: DirectReply::Unclear };
            world.at(world.now + PATIENCE, Happening::ToController { node, life, event });
        }
    }
    true
}

/// A job with twice as many tasks as the owner's machines take, that passes to the heir, and one of these machines, once
/// they are full.
fn full(world: &mut World, owner: usize, heir: usize) -> (String, String) {
    let c = world.controllers[owner].as_ref().unwrap();
    let held: Vec<String> = c.machines.iter().filter(|(_, m)| c.owns(m)).map(|(n, _)| n.clone()).collect();
    let room = 16 * held.len();
    let job = of_team(world, passing_on(owner, heir).next().unwrap(), "blue", 3 * 16 * 14);
    assert!(until(world, Micros::from_secs(12), |w| there(w, &job) >= room), "{}", there(world, &job));
    let c = world.controllers[owner].as_ref().unwrap();
    let held =
        c.machines.iter().filter(|(n, m)| c.owns(m) && m.resolved && world.workers[*n].tasks.len() == 16);
    let machine = held.map(|(name, _)| name.clone()).next().unwrap();
    (job, machine)
}

/// A job's tasks on all machines but this one end after a while, so that there is room.
fn end_elsewhere(world: &mut World, job: &str, machine: &str, after: Micros) {
    let at = world.now + after;
    for (_, w) in world.workers.iter_mut().filter(|(name, _)| *name != machine) {
        let running = w.tasks.iter_mut().filter(|(id, t)| id.job == job && t.is_here());
        running.for_each(|(_, t)| t.until = at);
    }
}

/// A controller and its registration end, and until it is gone from the view and for two seconds more nothing that a witness
/// says reaches the heir. The judge of the rules sees each start.
fn ends_unwitnessed(world: &mut World, owner: usize, heir: usize) {
    world.crash_for(owner, Micros::from_secs(60));
    let node = records::node(&world.settings[owner].member);
    world.store.commit(Transaction { conditions: Vec::new(), writes: vec![Write::delete(node)] });
    let testimony = |what: &Happening| {
        let Happening::ToController { node, event: Event::Peer(_, message), .. } = what else { return false };
        *node == heir && matches!(message, PeerMessage::Testimony { .. })
    };
    let end = world.now + Micros::from_secs(4);
    while world.now < end {
        world.run(world.now + Micros::from_millis(1));
        take_out(world, testimony);
    }
    assert_eq!(world.controllers[heir].as_ref().unwrap().view.members.len(), 2, "there is no new view");
    world.run(world.now + Micros::from_secs(12));
}

/// Guards against `ran_twice`: a machine changes hands between the view that names a newcomer and the newcomer's load, so that
/// the newcomer does not know the former holder. That one has not read the grant, goes on without the newcomer, and starts
/// tasks there. When it ends, the newcomer takes the machine for known by a witness's word, and starts the tasks again.
#[test]
fn a_former_holder_that_a_newcomer_does_not_know_may_have_ordered() {
    for seed in 750..753 {
        let (mut world, owner, newcomer) = with_heir(seed);
        let own = owned_by(newcomer).next().unwrap();
        of_team(&mut world, own, "green", 2);
        let (job, machine) = full(&mut world, owner, newcomer);
        // The newcomer's load is held up until the machine has changed hands.
        world.crash_for(newcomer, Micros::from_millis(200));
        let load = |what: &Happening| {
            matches!(what, Happening::StoreCall { node, call: StoreCall::List { prefix, .. }, .. }
                if *node == newcomer && prefix == records::FOLLOWED)
        };
        let mut held_up = Vec::new();
        let end = world.now + Micros::from_secs(5);
        while held_up.is_empty() {
            assert!(world.now < end, "seed {seed}: nothing is loaded");
            world.run(world.now + Micros::from_millis(1));
            held_up = take_out(&mut world, load);
        }
        let registration = world.store.keys[&records::node(&world.settings[newcomer].member)].1;
        let in_view = |w: &World, by: usize| {
            let c = w.controllers[by].as_ref().unwrap();
            c.view.members.contains(&(w.settings[newcomer].member.clone(), registration))
        };
        let all_have = |w: &World| (0..3).filter(|n| *n != newcomer).all(|n| in_view(w, n));
        assert!(until(&mut world, Micros::from_secs(4), all_have), "seed {seed}: no view names it");
        world.befalls(Spell::WatchHangs(owner), Micros::MAX);
        let leader = world.leader().unwrap();
        grant_to(&mut world, &machine, newcomer);
        let given = |w: &World| {
            let c = w.controllers[leader].as_ref().unwrap();
            c.machines[&machine].row.node == registration
        };
        assert!(until(&mut world, Micros::from_secs(2), given), "seed {seed}: not granted");
        for call in held_up {
            world.at(world.now, call);
        }
        let known = |w: &World| {
            let Some(c) = w.controllers[newcomer].as_ref() else { return false };
            c.machines.contains_key(&machine) && c.inquiry.covers(&machine)
        };
        assert!(until_unreached(&mut world, newcomer, &machine, known), "seed {seed}: nobody witnessed it");
        // The former holder goes on without the newcomer, which hears nothing of it.
        world.befalls(Spell::Apart(owner, newcomer), Micros::MAX);
        let before: BTreeSet<TaskId> = world.workers[&machine].tasks.keys().cloned().collect();
        end_some(&mut world, &job, u32::MAX);
        let begun = |w: &World| {
            let all = running(w, &job).into_iter();
            all.filter(|(id, on)| *on == machine && !before.contains(id)).collect::<Vec<_>>()
        };
        let ordered = until_unreached(&mut world, newcomer, &machine, |w| begun(w).len() >= 4);
        assert!(ordered, "seed {seed}: {} begun", begun(&world).len());
        let begun = begun(&world);
        let c = world.controllers[newcomer].as_ref().unwrap();
        let told = begun.iter().any(|(id, _)| c.machines[&machine].tasks.contains_key(id));
        assert!(!told, "seed {seed}: the newcomer was told");
        cut_off(&mut world, owner, &begun);
        end_elsewhere(&mut world, &job, &machine, Micros::from_secs(2));
        ends_unwitnessed(&mut world, owner, newcomer);
    }
}
