//! Orders in which a controller that has just joined may learn of machines, forced one by one. Guards against the known
//! failure `ran_twice`: a task ran on one machine and was started on another.

use super::former_lives::passing_on;
use super::meetings_limits::{end_some, of_team, owned_by, there, until};
use super::second_starts::grant_to;
use super::start_orders::{cut_off, running, with_heir};
use super::takeovers::array;
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
            let event = Event::WorkerReply { machine, token: orders.token, reply: DirectReply::Unclear };
            world.at(world.now + PATIENCE, Happening::ToController { node, life, event });
        }
    }
    true
}

/// A job of this number with more tasks than all machines take, and one machine of the controller that owns it, once all
/// of that controller's are full.
fn full(world: &mut World, number: u32, owner: usize) -> (String, String) {
    let c = world.controllers[owner].as_ref().unwrap();
    let held: Vec<String> = c.machines.iter().filter(|(_, m)| c.owns(m)).map(|(n, _)| n.clone()).collect();
    let room = 16 * held.len();
    let job = of_team(world, number, "blue", 3 * 16 * 14);
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

/// A controller and its registration end, and for four seconds, by when it is gone from the view, nothing that a witness says
/// reaches the heir. The judge of the rules sees each start.
fn ends_unwitnessed(world: &mut World, owner: usize, heir: usize) {
    world.crash_for(owner, Micros::from_secs(60));
    let node = records::registration_key(&world.settings[owner].member);
    world.store.commit(Transaction { conditions: Vec::new(), writes: vec![Write::delete(node)] });
    let testimony = |what: &Happening| {
        let Happening::ToController { node, event: Event::Peer(_, message), .. } = what else { return false };
        *node == heir && matches!(message, PeerMessage::WitnessAnswer { .. })
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
        let (job, machine) = full(&mut world, passing_on(owner, newcomer).next().unwrap(), owner);
        // The newcomer's load is held up until the machine has changed hands.
        world.crash_for(newcomer, Micros::from_millis(200));
        let load = |what: &Happening| {
            matches!(what, Happening::StoreCall { node, call: StoreCall::List { prefix, .. }, .. }
                if *node == newcomer && prefix == records::WATCHED_PREFIX)
        };
        let mut held_up = Vec::new();
        let end = world.now + Micros::from_secs(5);
        while held_up.is_empty() {
            assert!(world.now < end, "seed {seed}: nothing is loaded");
            world.run(world.now + Micros::from_millis(1));
            held_up = take_out(&mut world, load);
        }
        let registration = world.store.keys[&records::registration_key(&world.settings[newcomer].member)].1;
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
            c.machines[&machine].row.registration == registration
        };
        assert!(until(&mut world, Micros::from_secs(2), given), "seed {seed}: not granted");
        for call in held_up {
            world.at(world.now, call);
        }
        let known = |w: &World| {
            let Some(c) = w.controllers[newcomer].as_ref() else { return false };
            c.machines.contains_key(&machine) && c.witness_queries.is_covered(&machine)
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

/// A controller ends for long, and its registration with it; once the view is without it.
fn is_away(world: &mut World, away: usize) {
    world.controllers[away] = None;
    world.lives[away] += 1;
    let node = records::registration_key(&world.settings[away].member);
    world.store.commit(Transaction { conditions: Vec::new(), writes: vec![Write::delete(node)] });
    let gone = |w: &World| w.controllers.iter().flatten().all(|c| c.view.members.len() == 2);
    assert!(until(world, Micros::from_secs(4), gone), "it is still in the view");
}

/// A job that only two machines take, which its tasks fill: these machines, both held by this controller.
fn on_two_machines(world: &mut World, number: u32, held_by: usize) -> (String, [String; 2]) {
    let machines = [world.add_machine("c16", "west", false), world.add_machine("c16", "west", false)];
    let spec = array(world, number, 3 * 16);
    let job = spec.id.clone();
    world.submit(JobSpec { team: "blue".into(), zone: Some("west".into()), spot: false, ..spec });
    let all = until(world, Micros::from_secs(40), |w| there(w, &job) == 32);
    assert!(all, "{} begun\n{}", there(world, &job), world.describe(&job));
    for machine in &machines {
        grant_to(world, machine, held_by);
        assert!(until(world, Micros::from_secs(3), |w| holds(w, held_by, machine)), "{machine} is another's");
    }
    (job, machines)
}

/// Whether a controller holds a machine and knows all that is on it.
fn holds(world: &World, by: usize, machine: &str) -> bool {
    let Some(c) = world.controllers[by].as_ref() else { return false };
    c.machines.get(machine).is_some_and(|m| c.owns(m) && m.resolved)
}

/// One status of a controller reaches another that has never heard it, and what that one answers is lost.
fn one_status(world: &mut World, from: usize, to: usize) {
    let apart = Spell::Apart(from, to);
    world.spells.retain(|(spell, ..)| *spell != apart);
    let member = world.settings[from].member.clone();
    let heard = |w: &World| w.controllers[to].as_ref().unwrap().peers.contains_key(&member);
    let end = world.now + Micros::from_secs(3);
    while !heard(world) {
        assert!(world.now < end, "nothing is heard");
        world.run(world.now + Micros::from_millis(1));
    }
    world.befalls(apart, Micros::MAX);
    take_out(world, |what| {
        let Happening::ToController { node, event: Event::Peer(_, message), .. } = what else { return false };
        *node == from && matches!(message, PeerMessage::ResyncRequest)
    });
}

/// Guards against `ran_twice`: a controller goes on without another, and a newcomer asks that other before it has read so.
/// What it never heard of it testifies not to be there, and the newcomer, which takes the job over, starts it again.
#[test]
fn a_witness_that_has_not_read_that_it_is_uninformed_vouches_for_nothing() {
    let mut met = 0;
    for seed in 760..768 {
        let (mut world, holder, newcomer) = with_heir(seed);
        let witness = world.leader().unwrap();
        is_away(&mut world, newcomer);
        let number = passing_on(newcomer, holder).next().unwrap();
        let (job, [room, machine]) = on_two_machines(&mut world, number, witness);
        // The witness knows all that is on a machine that it gives to the holder, and hears nothing of that one after it.
        grant_to(&mut world, &machine, holder);
        world.befalls(Spell::Apart(holder, witness), Micros::MAX);
        world.befalls(Spell::Apart(holder, newcomer), Micros::MAX);
        let token = |w: &World, by: usize| w.controllers[by].as_ref().unwrap().machines[&machine].row.token;
        let held = |w: &World| holds(w, holder, &machine) && token(w, holder) == token(w, witness);
        assert!(until(&mut world, Micros::from_secs(3), held), "seed {seed}: not granted");
        // The newcomer is in the view, of which the holder does not read yet.
        world.befalls(Spell::WatchHangs(holder), Micros::MAX);
        world.at(world.now, Happening::Start(newcomer));
        let three = |w: &World| w.controllers[witness].as_ref().unwrap().view.members.len() == 3;
        assert!(until(&mut world, Micros::from_secs(4), three), "seed {seed}: no view names it");
        grant_to(&mut world, &room, newcomer);
        let has_room = |w: &World| holds(w, newcomer, &room);
        assert!(until(&mut world, Micros::from_secs(4), has_room), "seed {seed}: it has no room");
        // The leader may have moved the other machine too, to the job's new owner.
        let granted = world.controllers[witness].as_ref().unwrap().machines[&machine].row.owner.clone();
        if granted != world.settings[holder].member {
            continue;
        }
        met += 1;
        // From here on the witness reads nothing either. The holder starts tasks of which nobody else hears.
        world.befalls(Spell::WatchHangs(witness), Micros::MAX);
        let before: BTreeSet<TaskId> = world.workers[&machine].tasks.keys().cloned().collect();
        end_some(&mut world, &job, u32::MAX);
        let begun = |w: &World| {
            let all = running(w, &job).into_iter();
            all.filter(|(id, on)| *on == machine && !before.contains(id)).count()
        };
        let all = until(&mut world, Micros::from_secs(10), |w| begun(w) == 16);
        assert!(all, "seed {seed}: {} begun", begun(&world));
        // It reads of the newcomer, and goes on without that one too.
        world.spells.retain(|(spell, ..)| *spell != Spell::WatchHangs(holder));
        let alone = |w: &World| w.controllers[holder].as_ref().unwrap().announcements.uninformed().len() == 2;
        assert!(until(&mut world, Micros::from_secs(3), alone), "seed {seed}: it waits for somebody");
        // What it said of these tasks is lost.
        world.run(world.now + Micros::from_millis(1_500));
        one_status(&mut world, holder, newcomer);
        // The judge of the rules sees each start.
        world.run(world.now + Micros::from_secs(10));
    }
    assert!(met >= 4, "only {met} of 8 came to it");
}
