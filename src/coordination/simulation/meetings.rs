//! Meetings of two troubles, each brought about by a script that asserts that it did (`docs/meetings.md`).

use super::takeovers::array;
use super::*;

/// A cluster with standing machines, full of arrays that always have tasks left to start.
fn full(seed: u64, jobs: u32) -> World {
    let mut world = World::new(seed, Trouble::default());
    for _ in 0..14 {
        world.add_machine("c16", "east", false);
    }
    world.run(Micros::from_secs(5));
    for n in 0..jobs {
        let spec = array(&mut world, n, 400);
        world.submit(spec);
    }
    world.run(Micros::from_secs(20));
    world
}

/// Withdraws the jobs that this controller owns by way of others; how many of them others confirmed.
fn withdraw_elsewhere(world: &mut World, leader: usize, length: Micros) -> usize {
    world.passed_over = Some(leader);
    let c = world.controllers[leader].as_ref().unwrap();
    for (id, wish) in &mut world.jobs {
        wish.wants_withdrawal |= c.owner_of(id).as_deref() == Some(c.me());
    }
    world.run(world.now + length);
    world.passed_over = None;
    let told = |w: &&Wish| w.told_final.is_some_and(|(f, _)| f == Final::Withdrawn) && w.told_by != leader;
    world.jobs.values().filter(told).count()
}

/// Guards withdrawals against a controller that acts on old knowledge: the store refuses the leader alone, another
/// confirms withdrawals, and then the store is away for all, for longer than a withdrawal may take. When it is back
/// all leases have their full time again, so the old leader could renew its own before it had read one change; it
/// answered its workers and started tasks of jobs withdrawn a minute ago.
#[test]
fn a_leader_that_the_store_refused_before_an_outage_acts_on_nothing_it_knew_then() {
    for seed in 0..10 {
        let mut world = full(seed, 12);
        let leader = world.leader().unwrap();
        let refused = Micros(world.rng.random_range(3 * S..13 * S));
        world.befalls(Spell::StoreRefuses(leader), world.now + refused);
        // Peers that can say what is over are as far away as the store in half of the runs.
        if seed % 2 == 0 {
            world.befalls(Spell::Apart(leader, (leader + 1) % 3), world.now + Micros::from_secs(80));
            world.befalls(Spell::Apart(leader, (leader + 2) % 3), world.now + Micros::from_secs(80));
        }
        let confirmed = withdraw_elsewhere(&mut world, leader, Micros::from_millis(2_500));
        assert!(confirmed > 0, "seed {seed}: no withdrawal was confirmed by another");
        let down = world.now;
        world.befalls(Spell::StoreDown, down + Micros::from_secs(69));
        let back = down + Micros::from_secs(69);
        world.will_befall(back, Spell::WatchHangs(leader), Micros::from_secs(8));
        world.run(down + Micros::from_secs(100));
        world.calm_after = world.now;
        world.run(world.now + Micros::from_secs(20));
    }
}

/// Guards against a word that is heard and not acted upon: a controller that the store refuses was told by the others
/// which jobs were over, answered users so, and went on running their tasks; and the word was given once, so that a
/// status which did not arrive was never made up for.
#[test]
fn what_is_over_by_another_controllers_word_ends_at_once_also_when_the_first_word_is_lost() {
    let mut left = 0;
    for seed in 0..4 {
        let mut world = full(seed, 12);
        let leader = world.leader().unwrap();
        let start = world.now;
        world.befalls(Spell::StoreRefuses(leader), start + Micros::from_secs(14));
        (0..3).for_each(|n| world.befalls(Spell::Apart(leader, n), start + Micros::from_secs(3)));
        let confirmed = withdraw_elsewhere(&mut world, leader, Micros::from_millis(2_500));
        assert!(confirmed > 0, "seed {seed}: no withdrawal was confirmed by another");
        world.passed_over = Some(leader);
        let over: BTreeSet<String> = world
            .jobs
            .iter()
            .filter(|(_, w)| w.told_final.is_some_and(|(_, at)| at < start + Micros::from_millis(2_500)))
            .map(|(id, _)| id.clone())
            .collect();
        let running = |w: &World| {
            let tasks = w.workers.values().flat_map(|w| &w.tasks);
            tasks.filter(|(id, t)| over.contains(&id.job) && t.state == TaskState::Running).count()
        };
        left += running(&world);
        world.run(start + Micros::from_secs(6));
        assert_eq!(running(&world), 0, "seed {seed}: the old leader keeps tasks of withdrawn jobs running");
    }
    assert!(left > 20, "only {left} tasks were left to end");
}

/// Guards the next life's records against the last one's changes: a controller that reads of its own end leaves, and
/// what stands behind that in the same answer must not be taken in. A job that was withdrawn before the new life loaded
/// its records stood in them for ever, and its tasks were started.
#[test]
fn what_is_read_behind_ones_own_end_is_not_taken_into_the_next_life() {
    let mut world = full(3, 2);
    let (node, life) = (1, world.lives[1]);
    let me = world.settings[node].member.clone();
    let c = world.controllers[node].as_ref().unwrap();
    let (after, mine) = (c.applied, c.life().1);
    let spec = array(&mut world, 77, 4);
    let changes = vec![
        Change::Delete { key: records::node(&me), stamp: after + 1 },
        Change::Put {
            key: records::live(&spec.id),
            value: (&serde_json::to_value(&spec).unwrap()).into(),
            stamp: after + 2,
        },
    ];
    assert!(mine <= after);
    let news = StoreReply::News(News { revision: after + 2, changes });
    let c = world.controllers[node].as_mut().unwrap();
    c.followed(c.now, news);
    assert_eq!((c.jobs.len(), c.applied), (0, 0), "changes of no life are kept");
    assert_eq!(world.lives[node], life);
}
