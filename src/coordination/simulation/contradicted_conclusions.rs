//! Conclusions that a task is not on a machine, compared with later reports of the machines and statuses of their
//! holders. Guards against wrong conclusions, near misses of the known failure `ran_twice`, going undetected.

use super::duplicate_starts::{another_controller, grant_to, wait_for_planned_start};
use super::starts_in_flight::start_in_flight;
use super::*;
use crate::coordination::removal::RemovalGround;

fn contradicted_count(c: &Controller) -> u64 {
    RemovalGround::all().into_iter().map(|ground| c.conclusions_contradicted(ground)).sum()
}

/// Guards against an undetected wrong conclusion: a start that was sent is concluded to have never been sent, and the
/// machine's next report shows the task.
#[test]
fn a_start_wrongly_concluded_as_never_sent_is_detected_in_the_machines_report() {
    let mut detected = 0;
    for seed in 700..710 {
        let (mut world, n, name, id) = start_in_flight(seed);
        world.fault_profile.delayed_orders = 0.0;
        world.task_run_time = 20 * S..30 * S;
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
        let before = contradicted_count(c);
        c.replace_tasks(&name, tasks, RemovalGround::NeverSent);
        assert!(!c.machines[&name].tasks.contains_key(&id));
        let until = world.now + Micros::from_secs(3);
        let is_listed = |c: &Controller| c.machines[&name].tasks.contains_key(&id);
        while !is_listed(world.controllers[n].as_ref().unwrap()) && world.now < until {
            world.run(world.now + Micros::from_millis(1));
        }
        let c = world.controllers[n].as_ref().unwrap();
        if is_listed(c) && c.machines[&name].tasks[&id].attempt == removed.attempt {
            assert_eq!(contradicted_count(c) - before, 1, "seed {seed}");
            assert!(c.conclusions_contradicted(RemovalGround::NeverSent) > 0, "seed {seed}");
            detected += 1;
        }
    }
    assert!(detected >= 5, "only {detected} of 10 tasks were reported again");
}

/// Guards against false alarms: before the new holder of a machine has received a report from it, its status still
/// lists a start that the former holder had announced, and that the former holder cancels when it reads the grant.
#[test]
fn a_cancelled_start_that_a_new_holder_still_lists_is_no_contradiction() {
    let (mut questioned, mut cancelled) = (0, 0);
    for seed in 720..740 {
        let mut world = super::fault_combinations::saturated_cluster(seed, 12);
        let (n, name, id) = wait_for_planned_start(&mut world);
        let new_holder = another_controller(&world, n);
        // The other controller knows of the planned start, and the start has not been sent.
        let known = |world: &World| {
            let c = world.controllers[new_holder].as_ref().unwrap();
            c.machines.get(&name).is_some_and(|m| m.tasks.contains_key(&id))
        };
        let until = world.now + Micros::from_secs(1);
        while !known(&world) && world.now < until {
            world.run(world.now + Micros::from_millis(1));
        }
        let still_planned = |c: &Controller| {
            c.machines[&name].tasks.get(&id).is_some_and(|t| t.planned()) && c.owns(&c.machines[&name])
        };
        if !known(&world) || !still_planned(world.controllers[n].as_ref().unwrap()) {
            continue;
        }
        grant_to(&mut world, &name, new_holder);
        world.run(world.now + Micros::from_secs(3));
        for c in world.controllers.iter().flatten() {
            cancelled += c.removals(RemovalGround::NeverSent);
            questioned += c.conclusions_questioned(RemovalGround::NeverSent);
            assert_eq!(contradicted_count(c), 0, "seed {seed}, {}", c.own_name());
        }
    }
    assert!(cancelled > 0, "no planned start was cancelled");
    eprintln!("{cancelled} planned starts cancelled, {questioned} still listed by a new holder");
}
