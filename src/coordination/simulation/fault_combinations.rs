//! Scripted combinations of two faults; each test asserts that its combination took place (`docs/meetings.md`).

use super::takeovers::array;
use super::*;

/// A cluster with a fixed set of machines, saturated with arrays that always have tasks left to start.
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

/// Withdraws the jobs that this controller owns, through the other controllers, and runs for `length`. Returns how many
/// withdrawals the others recorded, and how many they confirmed.
fn withdraw_via_others(world: &mut World, leader: usize, length: Micros) -> (usize, usize) {
    world.excluded_controller = Some(leader);
    let c = world.controllers[leader].as_ref().unwrap();
    for (id, wish) in &mut world.jobs {
        wish.wants_withdrawal |= c.owner_of(id).as_deref() == Some(c.own_name());
    }
    world.run(world.now + length);
    world.excluded_controller = None;
    let told = |w: &&UserJob| {
        w.known_final.is_some_and(|(f, _)| f == FinalState::Withdrawn) && w.final_state_from != leader
    };
    (world.store.withdrawals.len(), world.jobs.values().filter(told).count())
}

/// Guards against a controller that acts on stale knowledge after an outage, and against withdrawals that are confirmed
/// too early. The store refuses the leader alone, another controller confirms withdrawals, and then the store is down
/// for all, for longer than a withdrawal may take. When it is back, all leases have their full term again, so the old
/// leader could renew its own before it had read any change: it answered its workers and started tasks of jobs that had
/// been withdrawn a minute before.
#[test]
fn a_leader_refused_before_an_outage_does_not_act_on_stale_knowledge_after_it() {
    let mut longest = Micros::ZERO;
    for seed in 0..10 {
        let mut world = saturated_cluster(seed, 12);
        let leader = world.leader().unwrap();
        let refused = Micros(world.rng.random_range(3 * S..13 * S));
        world.begin_fault(TimedFault::StoreRefuses(leader), world.now + refused);
        // In half of the runs the leader also can't reach the peers that could tell it which jobs have ended.
        if seed % 2 == 0 {
            world.begin_fault(
                TimedFault::Partitioned(leader, (leader + 1) % 3),
                world.now + Micros::from_secs(80),
            );
            world.begin_fault(
                TimedFault::Partitioned(leader, (leader + 2) % 3),
                world.now + Micros::from_secs(80),
            );
        }
        let (recorded, confirmed) = withdraw_via_others(&mut world, leader, Micros::from_millis(2_500));
        assert!(recorded > 0, "seed {seed}: no withdrawal was recorded by another");
        // A withdrawal that the leader cannot know of is confirmed only once the leader is inactive.
        assert_eq!(confirmed == 0, seed % 2 == 0, "seed {seed}: {confirmed} of {recorded} were confirmed");
        let down = world.now;
        world.begin_fault(TimedFault::StoreDown, down + Micros::from_secs(69));
        let back = down + Micros::from_secs(69);
        world.schedule_fault(back, TimedFault::WatchHangs(leader), Micros::from_secs(8));
        world.run(down + Micros::from_secs(100));
        world.fault_free_from = world.now;
        world.run(world.now + Micros::from_secs(20));
        longest = longest.max(world.coverage.max_run_after_withdrawal);
        let told = |id| world.jobs[id].known_final.is_some();
        assert!(
            world.store.withdrawals.keys().all(told),
            "seed {seed}: withdrawals that no user was told of"
        );
    }
    // Workers keep reporting to the old leader, so some tasks do run on until its lease and theirs have expired.
    eprintln!("longest time for which a task ran after its withdrawal was recorded: {longest:?}");
    assert!(longest > Micros::from_secs(10), "the old leader's tasks were gone after {longest:?}");
}

/// Guards against ignoring the ends of jobs that other controllers announce. A controller that the store refused learnt
/// from the others' statuses which jobs had ended and answered users accordingly, but went on running the jobs' tasks;
/// and each end was announced only once, so that a lost status was never made up for.
#[test]
fn ends_announced_by_peers_stop_tasks_at_once_also_after_a_lost_status() {
    let mut left = 0;
    for seed in 0..4 {
        let mut world = saturated_cluster(seed, 12);
        let leader = world.leader().unwrap();
        let start = world.now;
        world.begin_fault(TimedFault::StoreRefuses(leader), start + Micros::from_secs(14));
        (0..3).for_each(|n| {
            world.begin_fault(TimedFault::Partitioned(leader, n), start + Micros::from_secs(3))
        });
        let (recorded, _) = withdraw_via_others(&mut world, leader, Micros::from_millis(2_500));
        assert!(recorded > 0, "seed {seed}: no withdrawal was recorded by another");
        world.excluded_controller = Some(leader);
        let withdrawn: BTreeSet<String> = world.store.withdrawals.keys().cloned().collect();
        let running = |w: &World| {
            let tasks = w.workers.values().flat_map(|w| &w.tasks);
            tasks.filter(|(id, t)| withdrawn.contains(&id.job) && t.state == TaskState::Running).count()
        };
        left += running(&world);
        world.run(start + Micros::from_secs(6));
        assert_eq!(running(&world), 0, "seed {seed}: the old leader still runs tasks of withdrawn jobs");
    }
    assert!(left > 20, "only {left} tasks were left to stop");
}

/// Guards the records of a controller's next incarnation against changes read by the last one. A controller that reads
/// that its registration is deleted ends its incarnation, and must not apply the changes that follow in the same reply:
/// a job that was withdrawn before the new incarnation loaded its records stayed in them for ever, and its tasks were
/// started.
#[test]
fn changes_read_after_the_own_registrations_deletion_are_not_applied() {
    let mut world = saturated_cluster(3, 2);
    let (node, incarnation) = (1, world.incarnations[1]);
    let own_name = world.settings[node].member.clone();
    let c = world.controllers[node].as_ref().unwrap();
    let (after, registration) = (c.applied_revision, c.incarnation().1);
    let spec = array(&mut world, 77, 4);
    let changes = vec![
        Change::Delete { key: records::registration_key(&own_name), stamp: after + 1 },
        Change::Put {
            key: records::live_job_key(&spec.id),
            value: (&serde_json::to_value(&spec).unwrap()).into(),
            stamp: after + 2,
        },
    ];
    assert!(registration <= after);
    let reply = StoreReply::News(ChangeBatch { revision: after + 2, changes });
    let c = world.controllers[node].as_mut().unwrap();
    c.handle_follow_reply(c.now, reply);
    assert_eq!(
        (c.jobs.len(), c.applied_revision),
        (0, 0),
        "changes after the end of the incarnation were applied"
    );
    assert_eq!(world.incarnations[node], incarnation);
}

/// Guards against tasks of withdrawn jobs that survive a refusal followed by an outage, in four variants: two
/// controllers are refused; the leader is refused twice; the leader crashes during the outage and is back at once; the
/// store is back for a second only, so that some leases have their full term again and others do not.
#[test]
fn no_task_of_a_withdrawn_job_survives_a_refusal_followed_by_an_outage() {
    for variant in 0..4 {
        for seed in 20..24 {
            let mut world = saturated_cluster(seed, 12);
            let leader = world.leader().unwrap();
            let other = (leader + 1) % 3;
            let start = world.now;
            world.begin_fault(TimedFault::StoreRefuses(leader), start + Micros::from_secs(9));
            match variant {
                0 => world.begin_fault(TimedFault::StoreRefuses(other), start + Micros::from_secs(9)),
                1 => {
                    let from = start + Micros::from_secs(40);
                    world.schedule_fault(from, TimedFault::StoreRefuses(leader), Micros::from_secs(30));
                }
                _ => {}
            }
            let (_, confirmed) = withdraw_via_others(&mut world, leader, Micros::from_secs(3));
            assert!(confirmed > 0, "variant {variant}, seed {seed}: nothing was confirmed by another");
            let (down, length) = (world.now, Micros::from_secs(30));
            world.begin_fault(TimedFault::StoreDown, down + length);
            // The store is back for a second, or for eight.
            let again = down + length + Micros::from_secs(if variant == 3 { 1 } else { 8 });
            world.schedule_fault(again, TimedFault::StoreDown, Micros::from_secs(40));
            if variant == 2 {
                world.run(down + Micros::from_secs(10));
                world.crash_for(leader, Micros::from_millis(300));
            }
            world.run(again + Micros::from_secs(60));
            world.expect_all_jobs_to_end(400, &format!("variant {variant}, seed {seed}"));
        }
    }
}

/// Guards jobs whose tasks end far apart, with changes of leader in between: completions must be neither lost nor
/// repeated, and the job must be reported done, but not early. In a gang one `done` completes all tasks.
#[test]
fn jobs_whose_tasks_end_far_apart_survive_leader_changes() {
    for seed in 40..48 {
        let mut world = World::new(seed, FaultProfile::default());
        (world.first_task_short, world.task_run_time) = (true, 20 * S..40 * S);
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
            let begun = |w: &&UserJob| {
                !w.completed_tasks.is_empty()
                    && w.completed_tasks.len() < w.spec.as_ref().unwrap().tasks as usize
            };
            w.jobs.values().filter(begun).count()
        };
        assert!(partly(&world) > 4, "seed {seed}: too few jobs are partly done");
        for _ in 0..2 {
            let leader = world.leader().unwrap();
            world.crash_for(leader, Micros::from_secs(if seed % 2 == 0 { 1 } else { 25 }));
            world.run(world.now + Micros::from_secs(7));
        }
        world.expect_all_jobs_to_end(400, &format!("seed {seed}"));
        // A completion that was not recorded when its controller crashed may be lost with it.
        assert!(
            world.coverage.restarts_after_completion <= 2,
            "seed {seed}: {} tasks ran again",
            world.coverage.restarts_after_completion
        );
    }
}

/// Guards against a transaction that got no answer and takes effect after newer ones of its controller. Every kind of
/// transaction is delayed here, while controllers crash and jobs are withdrawn.
#[test]
fn transactions_committed_after_newer_ones_change_nothing() {
    let mut late = 0;
    for seed in 60..68 {
        let profile = FaultProfile { late_writes: 0.3, crash: 0.03, withdrawn: 0.4, ..Default::default() };
        let world = super::fault_injection::run_random(seed, profile);
        late += world.coverage.late_commits;
        let open: Vec<_> =
            world.store.keys.keys().filter(|key| key.starts_with(records::RENTALS_PREFIX)).collect();
        assert!(open.is_empty(), "seed {seed}: rental records that were not deleted: {open:?}");
        let orphans =
            world.store.keys.keys().filter(|key| key.starts_with(records::COMPLETIONS_PREFIX)).count();
        assert_eq!(orphans, 0, "seed {seed}: completion records of jobs that have ended");
    }
    assert!(late > 100, "only {late} transactions were committed after newer ones");
}

/// Guards every rule against leadership that changes hands and back within seconds during withdrawals: the leader and
/// its successor crash, then all controllers do, and the first leader is the first to return.
#[test]
fn leadership_that_changes_back_and_forth_within_seconds_breaks_no_rule() {
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
                let downtime = if n == leader { Micros::from_millis(200) } else { Micros::from_secs(4) };
                world.crash_for(n, downtime);
            }
            world.run(world.now + Micros::from_secs(6));
        }
        world.expect_all_jobs_to_end(400, &format!("seed {seed}"));
    }
}

/// Guards against outdated answers while the store is slow: an answer that was read before a withdrawal and sent after
/// it told a user that the job was running.
#[test]
fn answers_read_before_a_withdrawal_are_not_sent_after_it() {
    for seed in 100..108 {
        let mut world = saturated_cluster(seed, 90);
        world.begin_fault(TimedFault::StoreSlow, world.now + Micros::from_secs(60));
        for round in 0..6 {
            for wish in world.jobs.values_mut().skip(round).step_by(6) {
                wish.wants_withdrawal = true;
            }
            world.run(world.now + Micros::from_secs(4));
        }
        world.expect_all_jobs_to_end(400, &format!("seed {seed}"));
    }
}

/// Guards withdrawals against a leader that reaches neither the store nor its peers, but its workers and users. Its
/// jobs are withdrawn through the others: it must become inactive before another controller acts in its place, and in
/// time for every withdrawal.
#[test]
fn a_leader_that_reaches_only_its_workers_delays_no_withdrawal() {
    let mut late = 0;
    for seed in 120..128 {
        let mut world = saturated_cluster(seed, 12);
        let leader = world.leader().unwrap();
        let length = Micros::from_secs([8, 20, 45, 70][seed as usize % 4]);
        world.begin_fault(TimedFault::Isolated(leader), world.now + length);
        if seed % 2 == 1 {
            let from = world.now + Micros::from_secs(4);
            world.schedule_fault(from, TimedFault::ControllerPaused(leader), Micros::from_secs(9));
        }
        let (recorded, confirmed) = withdraw_via_others(&mut world, leader, Micros::from_secs(4));
        assert!(recorded > 0, "seed {seed}: no withdrawal was recorded by another");
        assert_eq!(
            confirmed, 0,
            "seed {seed}: withdrawals confirmed while the uninformed old leader may act"
        );
        world.excluded_controller = None;
        world.run(world.now + length);
        world.expect_all_jobs_to_end(400, &format!("seed {seed}"));
        late += world.coverage.late_peer_messages;
    }
    assert!(late > 50, "only {late} peer messages were late");
}

/// Guards against acting on reports of earlier sessions and attempts that arrive after newer ones, at controllers that
/// have restarted, while machines reboot at once.
#[test]
fn reports_of_earlier_sessions_are_no_evidence() {
    let mut met = Coverage::default();
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
        let world = super::fault_injection::run_random(seed, profile);
        met.late_duplicates += world.coverage.late_duplicates;
        met.duplicates_of_earlier_sessions += world.coverage.duplicates_of_earlier_sessions;
    }
    assert!(met.late_duplicates > 1_000 && met.duplicates_of_earlier_sessions > 100, "{met:?}");
}

/// Guards long tasks on machines that are disconnected, or do not receive anything, when the leader that holds them
/// crashes: the tasks must not start anywhere else, they count against limits, and those of withdrawn jobs stop in
/// time.
#[test]
fn long_tasks_on_unreachable_machines_survive_a_leader_crash_and_run_nowhere_else() {
    let mut unreachable = 0;
    for seed in 160..168 {
        let mut world = saturated_cluster(seed, 6);
        world.task_run_time = 60 * S..120 * S;
        world.run(world.now + Micros::from_secs(25));
        let leader = world.leader().unwrap();
        let c = world.controllers[leader].as_ref().unwrap();
        let held: Vec<String> = c.machines.iter().filter(|m| c.owns(m.1)).map(|m| m.0.clone()).collect();
        let until = world.now + Micros::from_secs([10, 30][seed as usize / 2 % 2]);
        for name in &held {
            let Some(w) = world.workers.get_mut(name) else { continue };
            unreachable += w.tasks.len();
            if seed % 2 == 0 { w.partitioned_until = until } else { w.not_receiving_until = until }
        }
        world.run(world.now + Micros::from_secs(1));
        world.crash_for(leader, Micros::from_secs(if seed < 164 { 90 } else { 1 }));
        world.run(world.now + Micros::from_secs(2));
        for wish in world.jobs.values_mut().step_by(2) {
            wish.wants_withdrawal = true;
        }
        world.run(world.now + Micros::from_secs(80));
        world.task_run_time = S..2 * S;
        world.expect_all_jobs_to_end(400, &format!("seed {seed}"));
    }
    assert!(unreachable > 100, "only {unreachable} tasks were unreachable when the leader crashed");
}

/// Guards against orders and answers that reach a machine seconds late, also one that hung meanwhile: a start planned
/// before a withdrawal, a stop sent before the task's next start, an answer that would renew a lease.
#[test]
fn delayed_orders_have_no_outdated_effect() {
    let mut late = 0;
    for seed in 180..188 {
        let profile = FaultProfile {
            delayed_orders: 0.3,
            machine_hangs: 0.1,
            crash: 0.02,
            withdrawn: 0.5,
            ..Default::default()
        };
        late += super::fault_injection::run_random(seed, profile).coverage.late_orders;
    }
    assert!(late > 10, "only {late} orders were executed late");
}
