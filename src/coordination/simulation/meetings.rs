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

/// Every trouble that a random run may draw, each by itself at odds at which it is met several times in a run.
fn troubles() -> Vec<(&'static str, fn(&mut Trouble))> {
    vec![
        ("crash", |t| t.crash = 0.03),
        ("crash_all", |t| t.crash_all = 0.015),
        ("machine_dies", |t| t.machine_dies = 0.03),
        ("machine_cut", |t| t.machine_cut = 0.05),
        ("machine_hangs", |t| t.machine_hangs = 0.05),
        ("faulty", |t| t.faulty = 0.01),
        ("spot_taken", |t| t.spot_taken = 0.2),
        ("store_outage", |t| t.store_outage = 0.02),
        ("store_refuses_one", |t| t.store_refuses_one = 0.03),
        ("store_slow", |t| t.store_slow = 0.02),
        ("gap", |t| t.gap = 0.01),
        ("cloud_outage", |t| t.cloud_outage = 0.02),
        ("peers_apart", |t| t.peers_apart = 0.04),
        ("lost", |t| (t.lost, t.late) = (0.02, 0.6)),
        ("late_writes", |t| t.late_writes = 0.15),
        ("late_reports", |t| t.copies = 0.3),
        ("repeats", |t| t.repeats = 0.3),
        ("stands_still", |t| t.stands_still = 0.02),
        ("isolated", |t| t.isolated = 0.02),
        ("deaf", |t| t.deaf = 0.06),
        ("reboots", |t| t.reboots = 0.04),
        ("mistaken", |t| t.mistaken = 0.15),
    ]
}

/// Plays every two troubles together, with a third of the jobs withdrawn; `part` of `of` of the pairs.
fn pairs(part: usize, of: usize) {
    let troubles = troubles();
    let pair = |i: usize| (i + 1..troubles.len()).map(move |j| (i, j));
    let pairs = (0..troubles.len()).flat_map(pair).enumerate().filter(|(n, _)| n % of == part);
    let mut runs = Vec::new();
    for (n, (i, j)) in pairs {
        let mut both = Trouble { withdrawn: 0.3, ..Default::default() };
        troubles[i].1(&mut both);
        troubles[j].1(&mut both);
        let name = format!("{} and {}", troubles[i].0, troubles[j].0);
        // Each pair has seeds of its own.
        let first = 100_000 + 1_000 * n as u64;
        runs.extend((first..first + super::troubles::soak()).map(|seed| (name.clone(), seed, both)));
    }
    super::troubles::play_each(runs);
}

/// Guards every rule where any two troubles meet. Cut in four, so that they are played at once.
#[test]
fn no_two_troubles_together_break_a_rule_first_quarter() {
    pairs(0, 4);
}

#[test]
fn no_two_troubles_together_break_a_rule_second_quarter() {
    pairs(1, 4);
}

#[test]
fn no_two_troubles_together_break_a_rule_third_quarter() {
    pairs(2, 4);
}

#[test]
fn no_two_troubles_together_break_a_rule_last_quarter() {
    pairs(3, 4);
}
