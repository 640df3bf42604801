//! Conclusions that a task is not on a machine, against what the machines and their holders say afterwards. Guards against
//! the near misses of the known failure `ran_twice` staying unseen.

use super::meetings_starts::start_in_flight;
use super::second_starts::{another_controller, grant_to, wait_for_planned_start};
use super::*;
use crate::coordination::removal::RemovalGround;

fn contradictions(c: &Controller) -> u64 {
    RemovalGround::all().into_iter().map(|ground| c.conclusions_contradicted(ground)).sum()
}

/// Guards against a wrong conclusion that nobody notices: a start that was sent is taken for one that never was, and the
/// machine's next report shows it.
#[test]
fn a_start_taken_for_never_sent_is_noticed_when_its_machine_shows_it() {
    let mut seen = 0;
    for seed in 700..710 {
        let (mut world, n, name, id) = start_in_flight(seed);
        world.trouble.held_up = 0.0;
        world.runs_for = 20 * S..30 * S;
        let until = world.now + Micros::from_secs(5);
        while !world.workers[&name].tasks.contains_key(&id) && world.now < until {
            world.run(world.now + Micros::from_millis(1));
        }
        let c = world.controllers[n].as_mut().unwrap();
        if !world.workers[&name].tasks.contains_key(&id) || !c.owns(&c.machines[&name]) {
            continue;
        }
        let mut tasks = c.machines[&name].tasks.clone();
        let Some(removed) = tasks.remove(&id) else { continue };
        let before = contradictions(c);
        c.replace_tasks(&name, tasks, RemovalGround::NeverSent);
        assert!(!c.machines[&name].tasks.contains_key(&id));
        let until = world.now + Micros::from_secs(3);
        let there = |c: &Controller| c.machines[&name].tasks.contains_key(&id);
        while !there(world.controllers[n].as_ref().unwrap()) && world.now < until {
            world.run(world.now + Micros::from_millis(1));
        }
        let c = world.controllers[n].as_ref().unwrap();
        if there(c) && c.machines[&name].tasks[&id].attempt == removed.attempt {
            assert_eq!(contradictions(c) - before, 1, "seed {seed}");
            assert!(c.conclusions_contradicted(RemovalGround::NeverSent) > 0, "seed {seed}");
            seen += 1;
        }
    }
    assert!(seen >= 5, "only {seen} of 10 were shown again");
}

/// Guards against false alarms: the new holder of a machine repeats, before it has heard the machine, a start that the
/// former holder had announced and takes back when it reads of the grant.
#[test]
fn a_plan_that_a_new_holder_still_repeats_is_no_contradiction() {
    let (mut questioned, mut lost) = (0, 0);
    for seed in 720..740 {
        let mut world = super::meetings::full(seed, 12);
        let (n, name, id) = wait_for_planned_start(&mut world);
        let to = another_controller(&world, n);
        // The others know of the plan, and it has not been sent.
        let known = |world: &World| {
            let c = world.controllers[to].as_ref().unwrap();
            c.machines.get(&name).is_some_and(|m| m.tasks.contains_key(&id))
        };
        let until = world.now + Micros::from_secs(1);
        while !known(&world) && world.now < until {
            world.run(world.now + Micros::from_millis(1));
        }
        let still = |c: &Controller| {
            c.machines[&name].tasks.get(&id).is_some_and(|t| t.planned()) && c.owns(&c.machines[&name])
        };
        if !known(&world) || !still(world.controllers[n].as_ref().unwrap()) {
            continue;
        }
        grant_to(&mut world, &name, to);
        world.run(world.now + Micros::from_secs(3));
        for c in world.controllers.iter().flatten() {
            lost += c.removals(RemovalGround::NeverSent);
            questioned += c.conclusions_questioned(RemovalGround::NeverSent);
            assert_eq!(contradictions(c), 0, "seed {seed}, {}", c.own_name());
        }
    }
    assert!(lost > 0, "no plan was taken back");
    eprintln!("{lost} plans taken back, {questioned} repeated by a new holder");
}
