//! Replies that were meant for a controller's former process and reach the one that has taken its place.

use super::meetings_limits::{ask_to_withdraw, finish, go, of_team, owned_by, roomy, there, until};
use super::*;
use crate::coordination::replica::rendezvous;

/// Numbers of jobs that the first of these controllers owns, and the second once the first has gone.
fn passing_on(from: usize, to: usize) -> impl Iterator<Item = u32> {
    let third = format!("n-{}", 3 - from - to);
    owned_by(from).filter(move |n| {
        let left = [format!("n-{to}"), third.clone()];
        rendezvous(&format!("j-{n:06}"), left.iter().map(String::as_str)) == Some(left[0].as_str())
    })
}

/// A member stands still while a controller announces a start to it, ends and is back within a fraction of a second: its
/// confirmation of what the former process had announced comes to the new one. Returns the leader, the controller that
/// is back and the member.
fn confirmation_for_a_former_process(world: &mut World) -> (usize, usize, usize) {
    // Statuses are numbered in a process, and the former one has sent many more than the new one.
    go(world, Micros::from_secs(60));
    let leader = world.leader().unwrap();
    let (back, slow) = ((leader + 1) % 3, (leader + 2) % 3);
    world.passed_over = Some(slow);
    world.befalls(Spell::StandsStill(slow), world.now + Micros::from_millis(2_500));
    let announced = owned_by(back).next().unwrap();
    of_team(world, announced, "green", 2);
    go(world, Micros::from_secs(1));
    world.crash_for(back, Micros::from_millis(200));
    go(world, Micros::from_secs(10));
    (leader, back, slow)
}

/// Guards a team's limit against a confirmation that another process had asked for: the new one ordered starts of which a
/// member had never been told, and when it ended that member, which took its jobs over, did not count them: 42 of 40.
#[test]
fn a_confirmation_meant_for_a_former_process_lets_nothing_start() {
    let mut untold = 0;
    for seed in 300..312 {
        let mut world = roomy(seed, &[("blue", 40.0, 0.0), ("green", 0.0, 0.0)]);
        let (leader, back, slow) = confirmation_for_a_former_process(&mut world);
        assert!(world.met.unasked_confirmations > 0, "seed {seed}: no confirmation came to a new process");
        // The new process cannot reach the member any more, nor the store to record that it goes on without it.
        world.befalls(Spell::Apart(back, slow), world.now + Micros::from_secs(60));
        go(&mut world, Micros::from_secs(3));
        let mut passing = passing_on(back, slow);
        let first = of_team(&mut world, passing.next().unwrap(), "blue", 20);
        let knows = |w: &World| w.controllers[back].as_ref().is_some_and(|c| c.jobs.contains_key(&first));
        assert!(until(&mut world, Micros::from_secs(3), knows), "seed {seed}");
        world.befalls(Spell::StoreRefuses(back), world.now + Micros::from_secs(30));
        go(&mut world, Micros::from_secs(4));
        untold += there(&world, &first);
        // It ends, nobody reaches its machines with these tasks, and their job is withdrawn.
        let cut = world.now + Micros::from_secs(30);
        let on = |w: &Worker| w.tasks.keys().any(|t| t.job == first);
        world.workers.values_mut().filter(|w| on(w)).for_each(|w| w.cut_until = cut);
        world.crash_for(back, Micros::from_secs(40));
        ask_to_withdraw(&mut world, leader, &first);
        of_team(&mut world, passing.next().unwrap(), "blue", 40);
        go(&mut world, Micros::from_secs(14));
        world.passed_over = None;
        finish(&mut world, seed);
    }
    assert_eq!(untold, 0, "tasks began of which a member had not been told");
}
