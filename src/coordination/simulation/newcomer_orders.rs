//! Orders in which a controller that has just joined may learn of machines, forced one by one. Guards against the known
//! failure `ran_twice`: a task ran on one machine and was started on another.

use super::former_lives::job_numbers_passing;
use super::meetings_limits::{end_tasks_below, job_numbers_of, present_task_count, run_until, submit_array};
use super::second_starts::grant_to;
use super::start_orders::{cluster_with_successor, cut_off_machines, present_tasks};
use super::takeovers::array;
use super::*;

/// Takes out of the queue what is under way and of this kind.
fn remove_scheduled(world: &mut World, kind: impl Fn(&Happening) -> bool) -> Vec<Happening> {
    let (taken, kept): (Vec<_>, Vec<_>) =
        std::mem::take(&mut world.queue).into_iter().partition(|scheduled| kind(&scheduled.2));
    world.queue = kept.into();
    taken.into_iter().map(|scheduled| scheduled.2).collect()
}

/// Runs by milliseconds until something holds, while a machine's calls from one controller find nobody.
fn run_until_without_calls(
    world: &mut World,
    from: usize,
    machine: &str,
    holds: impl Fn(&World) -> bool,
) -> bool {
    let end = world.now + Micros::from_secs(4);
    while !holds(world) {
        if world.now >= end {
            return false;
        }
        world.run(world.now + Micros::from_millis(1));
        let lost = remove_scheduled(
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
fn fill_owner(world: &mut World, number: u32, owner: usize) -> (String, String) {
    let c = world.controllers[owner].as_ref().unwrap();
    let held: Vec<String> = c.machines.iter().filter(|(_, m)| c.owns(m)).map(|(n, _)| n.clone()).collect();
    let room = 16 * held.len();
    let job = submit_array(world, number, "blue", 3 * 16 * 14);
    assert!(
        run_until(world, Micros::from_secs(12), |w| present_task_count(w, &job) >= room),
        "{}",
        present_task_count(world, &job)
    );
    let c = world.controllers[owner].as_ref().unwrap();
    let held =
        c.machines.iter().filter(|(n, m)| c.owns(m) && m.resolved && world.workers[*n].tasks.len() == 16);
    let machine = held.map(|(name, _)| name.clone()).next().unwrap();
    (job, machine)
}

/// A job's tasks on all machines but this one end after a while, so that there is room.
fn end_tasks_elsewhere(world: &mut World, job: &str, machine: &str, after: Micros) {
    let at = world.now + after;
    for (_, w) in world.workers.iter_mut().filter(|(name, _)| *name != machine) {
        let running = w.tasks.iter_mut().filter(|(id, t)| id.job == job && t.is_here());
        running.for_each(|(_, t)| t.until = at);
    }
}

/// A controller and its registration end, and for four seconds, by when it is gone from the view, nothing that a witness says
/// reaches the heir. The judge of the rules sees each start.
fn crash_owner_without_testimony(world: &mut World, owner: usize, heir: usize) {
    world.crash_for(owner, Micros::from_secs(60));
    let node = records::registration_key(&world.settings[owner].member);
    world.store.commit(Transaction { conditions: Vec::new(), writes: vec![Write::delete(node)] });
    let testimony = |what: &Happening| {
        let Happening::ToController { node, event: Event::Peer(_, message), .. } = what else { return false };
        *node == heir && matches!(message, PeerMessage::Testimony { .. })
    };
    let end = world.now + Micros::from_secs(4);
    while world.now < end {
        world.run(world.now + Micros::from_millis(1));
        remove_scheduled(world, testimony);
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
        let (mut world, owner, newcomer) = cluster_with_successor(seed);
        let own = job_numbers_of(newcomer).next().unwrap();
        submit_array(&mut world, own, "green", 2);
        let (job, machine) =
            fill_owner(&mut world, job_numbers_passing(owner, newcomer).next().unwrap(), owner);
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
            held_up = remove_scheduled(&mut world, load);
        }
        let registration = world.store.keys[&records::registration_key(&world.settings[newcomer].member)].1;
        let in_view = |w: &World, by: usize| {
            let c = w.controllers[by].as_ref().unwrap();
            c.view.members.contains(&(w.settings[newcomer].member.clone(), registration))
        };
        let all_have = |w: &World| (0..3).filter(|n| *n != newcomer).all(|n| in_view(w, n));
        assert!(run_until(&mut world, Micros::from_secs(4), all_have), "seed {seed}: no view names it");
        world.befalls(Spell::WatchHangs(owner), Micros::MAX);
        let leader = world.leader().unwrap();
        grant_to(&mut world, &machine, newcomer);
        let given = |w: &World| {
            let c = w.controllers[leader].as_ref().unwrap();
            c.machines[&machine].row.registration == registration
        };
        assert!(run_until(&mut world, Micros::from_secs(2), given), "seed {seed}: not granted");
        for call in held_up {
            world.at(world.now, call);
        }
        let known = |w: &World| {
            let Some(c) = w.controllers[newcomer].as_ref() else { return false };
            c.machines.contains_key(&machine) && c.witness_queries.is_covered(&machine)
        };
        assert!(
            run_until_without_calls(&mut world, newcomer, &machine, known),
            "seed {seed}: nobody witnessed it"
        );
        // The former holder goes on without the newcomer, which hears nothing of it.
        world.befalls(Spell::Apart(owner, newcomer), Micros::MAX);
        let before: BTreeSet<TaskId> = world.workers[&machine].tasks.keys().cloned().collect();
        end_tasks_below(&mut world, &job, u32::MAX);
        let begun = |w: &World| {
            let all = present_tasks(w, &job).into_iter();
            all.filter(|(id, on)| *on == machine && !before.contains(id)).collect::<Vec<_>>()
        };
        let ordered = run_until_without_calls(&mut world, newcomer, &machine, |w| begun(w).len() >= 4);
        assert!(ordered, "seed {seed}: {} begun", begun(&world).len());
        let begun = begun(&world);
        let c = world.controllers[newcomer].as_ref().unwrap();
        let told = begun.iter().any(|(id, _)| c.machines[&machine].tasks.contains_key(id));
        assert!(!told, "seed {seed}: the newcomer was told");
        cut_off_machines(&mut world, owner, &begun);
        end_tasks_elsewhere(&mut world, &job, &machine, Micros::from_secs(2));
        crash_owner_without_testimony(&mut world, owner, newcomer);
    }
}

/// A controller ends for long, and its registration with it; once the view is without it.
fn remove_controller(world: &mut World, away: usize) {
    world.controllers[away] = None;
    world.lives[away] += 1;
    let node = records::registration_key(&world.settings[away].member);
    world.store.commit(Transaction { conditions: Vec::new(), writes: vec![Write::delete(node)] });
    let gone = |w: &World| w.controllers.iter().flatten().all(|c| c.view.members.len() == 2);
    assert!(run_until(world, Micros::from_secs(4), gone), "it is still in the view");
}

/// A job that only two machines take, which its tasks fill: these machines, both held by this controller.
fn fill_two_machines(world: &mut World, number: u32, held_by: usize) -> (String, [String; 2]) {
    let machines = [world.add_machine("c16", "west", false), world.add_machine("c16", "west", false)];
    let spec = array(world, number, 3 * 16);
    let job = spec.id.clone();
    world.submit(JobSpec { team: "blue".into(), zone: Some("west".into()), spot: false, ..spec });
    let all = run_until(world, Micros::from_secs(40), |w| present_task_count(w, &job) == 32);
    assert!(all, "{} begun\n{}", present_task_count(world, &job), world.describe(&job));
    for machine in &machines {
        grant_to(world, machine, held_by);
        assert!(
            run_until(world, Micros::from_secs(3), |w| owns_resolved(w, held_by, machine)),
            "{machine} is another's"
        );
    }
    (job, machines)
}

/// Whether a controller holds a machine and knows all that is on it.
fn owns_resolved(world: &World, by: usize, machine: &str) -> bool {
    let Some(c) = world.controllers[by].as_ref() else { return false };
    c.machines.get(machine).is_some_and(|m| c.owns(m) && m.resolved)
}

/// One status of a controller reaches another that has never heard it, and what that one answers is lost.
fn deliver_one_status(world: &mut World, from: usize, to: usize) {
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
    remove_scheduled(world, |what| {
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
        let (mut world, holder, newcomer) = cluster_with_successor(seed);
        let witness = world.leader().unwrap();
        remove_controller(&mut world, newcomer);
        let number = job_numbers_passing(newcomer, holder).next().unwrap();
        let (job, [room, machine]) = fill_two_machines(&mut world, number, witness);
        // The witness knows all that is on a machine that it gives to the holder, and hears nothing of that one after it.
        grant_to(&mut world, &machine, holder);
        world.befalls(Spell::Apart(holder, witness), Micros::MAX);
        world.befalls(Spell::Apart(holder, newcomer), Micros::MAX);
        let token = |w: &World, by: usize| w.controllers[by].as_ref().unwrap().machines[&machine].row.token;
        let held = |w: &World| owns_resolved(w, holder, &machine) && token(w, holder) == token(w, witness);
        assert!(run_until(&mut world, Micros::from_secs(3), held), "seed {seed}: not granted");
        // The newcomer is in the view, of which the holder does not read yet.
        world.befalls(Spell::WatchHangs(holder), Micros::MAX);
        world.at(world.now, Happening::Start(newcomer));
        let three = |w: &World| w.controllers[witness].as_ref().unwrap().view.members.len() == 3;
        assert!(run_until(&mut world, Micros::from_secs(4), three), "seed {seed}: no view names it");
        grant_to(&mut world, &room, newcomer);
        let has_room = |w: &World| owns_resolved(w, newcomer, &room);
        assert!(run_until(&mut world, Micros::from_secs(4), has_room), "seed {seed}: it has no room");
        // The leader may have moved the other machine too, to the job's new owner.
        let granted = world.controllers[witness].as_ref().unwrap().machines[&machine].row.owner.clone();
        if granted != world.settings[holder].member {
            continue;
        }
        met += 1;
        // From here on the witness reads nothing either. The holder starts tasks of which nobody else hears.
        world.befalls(Spell::WatchHangs(witness), Micros::MAX);
        let before: BTreeSet<TaskId> = world.workers[&machine].tasks.keys().cloned().collect();
        end_tasks_below(&mut world, &job, u32::MAX);
        let begun = |w: &World| {
            let all = present_tasks(w, &job).into_iter();
            all.filter(|(id, on)| *on == machine && !before.contains(id)).count()
        };
        let all = run_until(&mut world, Micros::from_secs(10), |w| begun(w) == 16);
        assert!(all, "seed {seed}: {} begun", begun(&world));
        // It reads of the newcomer, and goes on without that one too.
        world.spells.retain(|(spell, ..)| *spell != Spell::WatchHangs(holder));
        let alone = |w: &World| w.controllers[holder].as_ref().unwrap().announcements.uninformed().len() == 2;
        assert!(run_until(&mut world, Micros::from_secs(3), alone), "seed {seed}: it waits for somebody");
        // What it said of these tasks is lost.
        world.run(world.now + Micros::from_millis(1_500));
        deliver_one_status(&mut world, holder, newcomer);
        // The judge of the rules sees each start.
        world.run(world.now + Micros::from_secs(10));
    }
    assert!(met >= 4, "only {met} of 8 came to it");
}
