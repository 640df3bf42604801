//! Meetings of two troubles, each brought about by a script that asserts that it did (`docs/meetings.md`).

use super::takeovers::array;
use super::*;

/// A cluster with standing machines, full of arrays that always have tasks left to start.
pub(super) fn saturated_cluster(seed: u64, jobs: u32) -> World {
    let mut world = World::new(seed, FaultProfile::default());
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

/// Withdraws the jobs that this controller owns by way of others; how many withdrawals they recorded, and confirmed.
fn withdraw_via_others(world: &mut World, leader: usize, length: Micros) -> (usize, usize) {
    world.passed_over = Some(leader);
    let c = world.controllers[leader].as_ref().unwrap();
    for (id, wish) in &mut world.jobs {
        wish.wants_withdrawal |= c.owner_of(id).as_deref() == Some(c.own_name());
    }
    world.run(world.now + length);
    world.passed_over = None;
    let told =
        |w: &&Wish| w.told_final.is_some_and(|(f, _)| f == FinalState::Withdrawn) && w.told_by != leader;
    (world.store.withdrawn.len(), world.jobs.values().filter(told).count())
}

/// Guards withdrawals, also against being confirmed too soon, from a controller that acts on old knowledge: the store refuses the leader alone, another
/// confirms withdrawals, and then the store is away for all, for longer than a withdrawal may take. When it is back
/// all leases have their full time again, so the old leader could renew its own before it had read one change; it
/// answered its workers and started tasks of jobs withdrawn a minute ago.
#[test]
fn a_leader_that_the_store_refused_before_an_outage_acts_on_nothing_it_knew_then() {
    let mut longest = Micros::ZERO;
    for seed in 0..10 {
        let mut world = saturated_cluster(seed, 12);
        let leader = world.leader().unwrap();
        let refused = Micros(world.rng.random_range(3 * S..13 * S));
        world.befalls(Spell::StoreRefuses(leader), world.now + refused);
        // Peers that can say what is over are as far away as the store in half of the runs.
        if seed % 2 == 0 {
            world.befalls(Spell::Apart(leader, (leader + 1) % 3), world.now + Micros::from_secs(80));
            world.befalls(Spell::Apart(leader, (leader + 2) % 3), world.now + Micros::from_secs(80));
        }
        let (recorded, confirmed) = withdraw_via_others(&mut world, leader, Micros::from_millis(2_500));
        assert!(recorded > 0, "seed {seed}: no withdrawal was recorded by another");
        // One that the leader cannot know of is confirmed when it is silent, and not before.
        assert_eq!(confirmed == 0, seed % 2 == 0, "seed {seed}: {confirmed} of {recorded} were confirmed");
        let down = world.now;
        world.befalls(Spell::StoreDown, down + Micros::from_secs(69));
        let back = down + Micros::from_secs(69);
        world.will_befall(back, Spell::WatchHangs(leader), Micros::from_secs(8));
        world.run(down + Micros::from_secs(100));
        world.calm_after = world.now;
        world.run(world.now + Micros::from_secs(20));
        longest = longest.max(world.met.outlived);
        let told = |id| world.jobs[id].told_final.is_some();
        assert!(world.store.withdrawn.keys().all(told), "seed {seed}: withdrawals that nobody was told of");
    }
    // Workers keep reporting to the old leader, so something does live on until its lease and theirs are over.
    eprintln!("longest that a task outlived the record of its withdrawal: {longest:?}");
    assert!(longest > Micros::from_secs(10), "the old leader's tasks were gone after {longest:?}");
}

/// Guards against a word that is heard and not acted upon: a controller that the store refuses was told by the others
/// which jobs were over, answered users so, and went on running their tasks; and the word was given once, so that a
/// status which did not arrive was never made up for.
#[test]
fn what_is_over_by_another_controllers_word_ends_at_once_also_when_the_first_word_is_lost() {
    let mut left = 0;
    for seed in 0..4 {
        let mut world = saturated_cluster(seed, 12);
        let leader = world.leader().unwrap();
        let start = world.now;
        world.befalls(Spell::StoreRefuses(leader), start + Micros::from_secs(14));
        (0..3).for_each(|n| world.befalls(Spell::Apart(leader, n), start + Micros::from_secs(3)));
        let (recorded, _) = withdraw_via_others(&mut world, leader, Micros::from_millis(2_500));
        assert!(recorded > 0, "seed {seed}: no withdrawal was recorded by another");
        world.passed_over = Some(leader);
        let over: BTreeSet<String> = world.store.withdrawn.keys().cloned().collect();
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
    let mut world = saturated_cluster(3, 2);
    let (node, life) = (1, world.lives[1]);
    let me = world.settings[node].member.clone();
    let c = world.controllers[node].as_ref().unwrap();
    let (after, mine) = (c.applied_revision, c.incarnation().1);
    let spec = array(&mut world, 77, 4);
    let changes = vec![
        Change::Delete { key: records::registration_key(&me), stamp: after + 1 },
        Change::Put {
            key: records::live_job_key(&spec.id),
            value: (&serde_json::to_value(&spec).unwrap()).into(),
            stamp: after + 2,
        },
    ];
    assert!(mine <= after);
    let news = StoreReply::News(ChangeBatch { revision: after + 2, changes });
    let c = world.controllers[node].as_mut().unwrap();
    c.handle_follow_reply(c.now, news);
    assert_eq!((c.jobs.len(), c.applied_revision), (0, 0), "changes of no life are kept");
    assert_eq!(world.lives[node], life);
}

/// Guards the gap's other forms: two controllers are refused; one is refused twice; one ends inside and is back at
/// once; the store is back for a second only, so that some have their full time again and others do not.
#[test]
fn a_gap_in_any_of_its_forms_leaves_nothing_of_a_withdrawn_job() {
    for form in 0..4 {
        for seed in 20..24 {
            let mut world = saturated_cluster(seed, 12);
            let leader = world.leader().unwrap();
            let other = (leader + 1) % 3;
            let start = world.now;
            world.befalls(Spell::StoreRefuses(leader), start + Micros::from_secs(9));
            match form {
                0 => world.befalls(Spell::StoreRefuses(other), start + Micros::from_secs(9)),
                1 => {
                    let from = start + Micros::from_secs(40);
                    world.will_befall(from, Spell::StoreRefuses(leader), Micros::from_secs(30));
                }
                _ => {}
            }
            let (_, confirmed) = withdraw_via_others(&mut world, leader, Micros::from_secs(3));
            assert!(confirmed > 0, "form {form}, seed {seed}: nothing was confirmed by another");
            let (down, length) = (world.now, Micros::from_secs(30));
            world.befalls(Spell::StoreDown, down + length);
            // It is back for a second, or until the second refusal is over.
            let again = down + length + Micros::from_secs(if form == 3 { 1 } else { 8 });
            world.will_befall(again, Spell::StoreDown, Micros::from_secs(40));
            if form == 2 {
                world.run(down + Micros::from_secs(10));
                world.crash_for(leader, Micros::from_millis(300));
            }
            world.run(again + Micros::from_secs(60));
            world.all_over(400, &format!("form {form}, seed {seed}"));
        }
    }
}

/// Guards jobs whose tasks end far apart, with a change of leader in between: what has ended must be neither lost nor
/// run again, and the job called done neither early nor never. Of a gang one `done` makes all done.
#[test]
fn jobs_whose_tasks_end_far_apart_outlive_changes_of_leader() {
    for seed in 40..48 {
        let mut world = World::new(seed, FaultProfile::default());
        (world.far_apart, world.runs_for) = (true, 20 * S..40 * S);
        for _ in 0..14 {
            world.add_machine("c16", ["east", "west"][seed as usize % 2], false);
        }
        world.run(Micros::from_secs(16));
        for n in 0..24 {
            let shape = if n % 2 == 0 { Shape::Gang } else { Shape::Array };
            let spec = array(&mut world, n, 2 + n % 2);
            world.submit(JobSpec { shape, ..spec });
        }
        world.run(Micros::from_secs(24));
        let partly = |w: &World| {
            let begun = |w: &&Wish| {
                !w.tasks_done.is_empty() && w.tasks_done.len() < w.spec.as_ref().unwrap().tasks as usize
            };
            w.jobs.values().filter(begun).count()
        };
        assert!(partly(&world) > 4, "seed {seed}: no job is done in part");
        for _ in 0..2 {
            let leader = world.leader().unwrap();
            world.crash_for(leader, Micros::from_secs(if seed % 2 == 0 { 1 } else { 25 }));
            world.run(world.now + Micros::from_secs(7));
        }
        world.all_over(400, &format!("seed {seed}"));
        // A completion that nobody had recorded when its controller ended may be lost with it.
        assert!(world.met.done_again <= 2, "seed {seed}: {} tasks ran again", world.met.done_again);
    }
}

/// Guards what a transaction that got no answer does when it is carried out after newer ones of its controller: every
/// kind of commit is late here, with controllers that end and work that is withdrawn.
#[test]
fn transactions_carried_out_after_newer_ones_change_nothing() {
    let mut late = 0;
    for seed in 60..68 {
        let profile = FaultProfile { late_writes: 0.3, crash: 0.03, withdrawn: 0.4, ..Default::default() };
        let world = super::troubles::run_random(seed, profile);
        late += world.met.late_commits;
        let open: Vec<_> =
            world.store.keys.keys().filter(|key| key.starts_with(records::RENTALS_PREFIX)).collect();
        assert!(open.is_empty(), "seed {seed}: rentals that nobody closes: {open:?}");
        let orphans =
            world.store.keys.keys().filter(|key| key.starts_with(records::COMPLETIONS_PREFIX)).count();
        assert_eq!(orphans, 0, "seed {seed}: completions of jobs that are over");
    }
    assert!(late > 100, "only {late} transactions were carried out after newer ones");
}

/// Guards against a leader that is followed by the next and by itself again, all ending and one returning, within a
/// second each, in the midst of withdrawals.
#[test]
fn controllers_that_hand_over_and_back_within_seconds_break_nothing() {
    for seed in 80..86 {
        let mut world = saturated_cluster(seed, 9);
        for round in 0..5 {
            for wish in world.jobs.values_mut().skip(round).step_by(9) {
                wish.wants_withdrawal = true;
            }
            let leader = world.leader().unwrap_or(round % 3);
            world.crash_for(leader, Micros::from_millis(300));
            let until = world.now + Micros::from_secs(12);
            while world.leader().is_none_or(|n| n == leader) && world.now < until {
                world.run(world.now + Micros::from_millis(50));
            }
            let next = world.leader().unwrap_or((leader + 1) % 3);
            world.crash_for(next, Micros::from_millis(500));
            world.run(world.now + Micros::from_millis(900));
            for n in 0..3 {
                let away = if n == leader { Micros::from_millis(200) } else { Micros::from_secs(4) };
                world.crash_for(n, away);
            }
            world.run(world.now + Micros::from_secs(6));
        }
        world.all_over(400, &format!("seed {seed}"));
    }
}

/// Guards users who withdraw and ask while the store takes its time: an answer read before a withdrawal and given
/// after it told a user that the job runs.
#[test]
fn a_slow_store_makes_no_answer_older_than_what_was_said() {
    for seed in 100..108 {
        let mut world = saturated_cluster(seed, 90);
        world.befalls(Spell::StoreSlow, world.now + Micros::from_secs(60));
        for round in 0..6 {
            for wish in world.jobs.values_mut().skip(round).step_by(6) {
                wish.wants_withdrawal = true;
            }
            world.run(world.now + Micros::from_secs(4));
        }
        world.all_over(400, &format!("seed {seed}"));
    }
}

/// Guards against a leader that has neither store nor peers while its workers and users reach it, and whose jobs are
/// withdrawn through the new one: it must have fallen silent before anybody acts for it, and in time for each.
#[test]
fn a_leader_alone_with_its_workers_holds_up_no_withdrawal() {
    let mut late = 0;
    for seed in 120..128 {
        let mut world = saturated_cluster(seed, 12);
        let leader = world.leader().unwrap();
        let length = Micros::from_secs([8, 20, 45, 70][seed as usize % 4]);
        world.befalls(Spell::Isolated(leader), world.now + length);
        if seed % 2 == 1 {
            let from = world.now + Micros::from_secs(4);
            world.will_befall(from, Spell::StandsStill(leader), Micros::from_secs(9));
        }
        let (recorded, confirmed) = withdraw_via_others(&mut world, leader, Micros::from_secs(4));
        assert!(recorded > 0, "seed {seed}: nothing was withdrawn through another");
        assert_eq!(confirmed, 0, "seed {seed}: confirmed while the old leader may act and cannot know");
        world.passed_over = None;
        world.run(world.now + length);
        world.all_over(400, &format!("seed {seed}"));
        late += world.met.late_words;
    }
    assert!(late > 50, "only {late} words came late");
}

/// Guards against reports that come after newer ones, of earlier sessions and attempts, to controllers that remember
/// nothing, with machines that are back at once.
#[test]
fn reports_of_earlier_sessions_prove_nothing_to_anybody() {
    let mut met = Met::default();
    for seed in 140..146 {
        let profile = FaultProfile {
            duplicate_reports: 0.5,
            reboots: 0.1,
            machine_cut: 0.03,
            crash: 0.03,
            crash_all: 0.01,
            withdrawn: 0.3,
            ..Default::default()
        };
        let world = super::troubles::run_random(seed, profile);
        met.late_copies += world.met.late_copies;
        met.earlier_sessions += world.met.earlier_sessions;
    }
    assert!(met.late_copies > 1_000 && met.earlier_sessions > 100, "{met:?}");
}

/// Guards against a leader that ends while machines with long tasks cannot be reached, or do not hear the new one: what
/// runs there is started nowhere else, counts, and is gone in time where it is withdrawn.
#[test]
fn long_tasks_out_of_reach_outlive_their_leader_and_run_nowhere_else() {
    let mut out_of_reach = 0;
    for seed in 160..168 {
        let mut world = saturated_cluster(seed, 6);
        world.runs_for = 60 * S..120 * S;
        world.run(world.now + Micros::from_secs(25));
        let leader = world.leader().unwrap();
        let c = world.controllers[leader].as_ref().unwrap();
        let held: Vec<String> = c.machines.iter().filter(|m| c.owns(m.1)).map(|m| m.0.clone()).collect();
        let until = world.now + Micros::from_secs([10, 30][seed as usize / 2 % 2]);
        for name in &held {
            let Some(w) = world.workers.get_mut(name) else { continue };
            out_of_reach += w.tasks.len();
            if seed % 2 == 0 { w.cut_until = until } else { w.deaf_until = until }
        }
        world.run(world.now + Micros::from_secs(1));
        world.crash_for(leader, Micros::from_secs(if seed < 164 { 90 } else { 1 }));
        world.run(world.now + Micros::from_secs(2));
        for wish in world.jobs.values_mut().step_by(2) {
            wish.wants_withdrawal = true;
        }
        world.run(world.now + Micros::from_secs(80));
        world.runs_for = S..2 * S;
        world.all_over(400, &format!("seed {seed}"));
    }
    assert!(out_of_reach > 100, "only {out_of_reach} tasks were out of reach when their leader ended");
}

/// Guards against commands and answers that are held up for seconds on a machine that then goes on: a start planned
/// before a withdrawal, a stop before the task's next start, an answer that would renew a lease.
#[test]
fn commands_held_up_for_seconds_do_nothing_that_is_no_longer_wanted() {
    let mut late = 0;
    for seed in 180..188 {
        let profile = FaultProfile {
            delayed_orders: 0.3,
            machine_hangs: 0.1,
            crash: 0.02,
            withdrawn: 0.5,
            ..Default::default()
        };
        late += super::troubles::run_random(seed, profile).met.late_orders;
    }
    assert!(late > 10, "only {late} orders were carried out late");
}
