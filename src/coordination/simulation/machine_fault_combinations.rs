//! Combinations of faults: machines, their reports and their orders, together with controller crashes and delayed
//! writes (`docs/meetings.md`). Each test asserts that its combination occurred.

use super::fault_combinations::saturated_cluster;
use super::takeovers::array;
use super::timed_faults::CommitFault;
use super::*;
use crate::bookkeeping::blocks::Block;
use crate::bookkeeping::records::BlockRow;
use crate::coordination::Machine;

/// Delays writes to blocks and rentals: a third is carried out at once and its reply lost, a third is carried out 3 to
/// 12 s late. A retry with the same keys and conditions is treated the same.
fn delay_block_writes(t: &Transaction) -> Option<CommitFault> {
    let keys = t.writes.iter().map(|w| match w {
        Write::Put { key, .. } | Write::Delete { key } => key,
    });
    let is_delayed =
        |key: &&String| key.starts_with(records::BLOCKS_PREFIX) || key.starts_with(records::RENTALS_PREFIX);
    let byte_sum = |key: &String| key.bytes().map(u64::from).sum::<u64>();
    let key_sums: Vec<u64> = keys.filter(is_delayed).map(byte_sum).collect();
    if key_sums.is_empty() {
        return None;
    }
    let n = key_sums.iter().sum::<u64>() + t.conditions.iter().map(|c| c.stamp).sum::<u64>();
    match n % 3 {
        0 => Some(CommitFault::ReplyLost),
        1 => Some(CommitFault::Delayed(Micros::from_secs(3 + n / 3 % 10))),
        _ => None,
    }
}

/// All machines that blocks in the store record.
fn machines_in_blocks(world: &World) -> Vec<String> {
    let blocks = world.store.keys.iter().filter(|(key, _)| key.starts_with(records::BLOCKS_PREFIX));
    let names = blocks.flat_map(|(_, (value, ..))| {
        let mut block = Block::default();
        block.update(&value.to_string()).unwrap();
        block.machines().map(str::to_owned).collect::<Vec<_>>()
    });
    names.collect()
}

/// Guards against a leader that crashes while machines are up and run tasks before the cloud lists them, or before the
/// writes of their rental record and their first grant are known to have succeeded: nothing may run twice, no job may
/// be forgotten, and each machine must be used and returned.
#[test]
fn fast_booting_machines_with_delayed_writes_survive_leader_crashes() {
    let (mut unlisted, mut unrecorded, mut unanswered, mut delayed) = (0, 0, 0, 0);
    for seed in 200..210 {
        let mut world =
            World::with_size(seed, FaultProfile::default(), ClusterSize { controllers: 3, machines: 20 });
        world.boot_time = 200 * MS..2 * S;
        world.settings.iter_mut().for_each(|s| s.params.cloud.list_lag_s = 4.0);
        match seed % 2 {
            0 => world.commit_fault = Some(delay_block_writes),
            _ => (world.fault_profile.late_writes, world.fault_profile.answers_lost) = (0.2, 0.3),
        }
        world.run(Micros::from_secs(4));
        for n in 0..8 {
            let spec = array(&mut world, n, 60);
            world.submit(spec);
        }
        let (mut crashes, mut last_crash) = (0, Micros::ZERO);
        while world.now < Micros::from_secs(100) {
            world.run(world.now + Micros::from_millis(50));
            // Machines that run tasks while the cloud does not list them yet, or still lists them as starting; machines
            // that are up and in no block; rental requests whose record still exists.
            let just_rented = |w: &&Worker| world.now.since(w.rented_at) <= Micros::from_secs(6);
            let early_count =
                world.workers.values().filter(|w| just_rented(w) && !w.tasks.is_empty()).count();
            let known: BTreeSet<String> = machines_in_blocks(&world).into_iter().collect();
            let unrecorded_count =
                world.workers.iter().filter(|(n, w)| w.tally > 0 && !known.contains(*n)).count();
            let has_record = |name: &&String| world.store.keys.contains_key(&records::rental_key(name));
            let pending_count = world.rentals.keys().filter(has_record).count();
            let pause = Micros::from_secs(
                [9, 25][usize::from([early_count, unrecorded_count, pending_count][crashes % 3] == 0)],
            );
            if early_count + unrecorded_count + pending_count == 0
                || crashes == 6
                || world.now.since(last_crash) < pause
            {
                continue;
            }
            if let Some(leader) = world.leader() {
                (unlisted, unrecorded, unanswered) =
                    (unlisted + early_count, unrecorded + unrecorded_count, unanswered + pending_count);
                world.crash_for(leader, Micros::from_millis([300, 25_000][crashes / 3]));
                (crashes, last_crash) = (crashes + 1, world.now);
            }
        }
        assert!(crashes > 1, "seed {seed}: the leader crashed {crashes} times");
        world.commit_fault = None;
        delayed += world.coverage.late_commits + world.coverage.lost_commit_replies;
        world.expect_all_jobs_to_end(400, &format!("seed {seed}"));
        world.run(world.now + Micros::from_secs(60));
        let still_rented: Vec<_> = world.workers.keys().collect();
        assert!(still_rented.is_empty(), "seed {seed}: machines never returned: {still_rented:?}");
        let pending: Vec<_> =
            world.store.keys.keys().filter(|key| key.starts_with(records::RENTALS_PREFIX)).collect();
        assert!(pending.is_empty(), "seed {seed}: rental records never deleted: {pending:?}");
        assert_eq!(world.coverage.repeated_starts, 0, "seed {seed}");
    }
    eprintln!(
        "{unlisted} unlisted, {unrecorded} unrecorded, {unanswered} unanswered, {delayed} writes delayed"
    );
    assert!(unlisted > 5 && unrecorded > 5 && unanswered > 2 && delayed > 50);
}

/// Guards against a machine that is recorded in two blocks. A transaction that recorded new machines got no reply and
/// was repeated. The repeat wrote to another block, since the first transaction also moved machines and had no room
/// left for that block. Then both were carried out. The later one recorded that the machine had never had an owner, and
/// a controller that joined took over the tasks that ran there.
#[test]
fn delayed_writes_record_a_machine_in_only_one_block() {
    let mut world =
        World::with_size(300, FaultProfile::default(), ClusterSize { controllers: 3, machines: 0 });
    for n in 0..8 {
        let spec = array(&mut world, n, 400);
        world.submit(spec);
    }
    world.run(Micros::from_secs(8));
    // Small limits, so that a block holds a few machines and a grant changes one block, as on a large fleet.
    for c in world.controllers.iter_mut().flatten() {
        let state = &mut c.settings.params.state;
        (state.value_kb, state.txn_ops) = (0.4, 3);
    }
    let names: Vec<String> = (0..10).map(|_| world.add_machine("c16", "east", false)).collect();
    world.run(world.now + Micros::from_secs(20));
    // Frees room in the first block.
    world.workers.get_mut(&names[0]).unwrap().dead = true;
    world.run(world.now + Micros::from_secs(30));
    let leader = world.leader().unwrap();
    let clock = world.local_time(leader);
    let c = world.controllers[leader].as_mut().unwrap();
    let last = c.shards.iter().rfind(|(_, (block, _))| !block.is_empty()).unwrap();
    assert!(*last.0 > 1, "all machines are in one block: {:?}", c.shards);
    let moved = last.1.0.machines().next().unwrap().to_owned();
    let to =
        c.view.members.iter().map(|m| &m.0).find(|m| **m != c.machines[&moved].row.owner).unwrap().clone();
    let row = BlockRow {
        machine: "m-900001".into(),
        owner: String::new(),
        registration: 0,
        token: 0,
        has_token_range: false,
        ..c.machines[&moved].row.clone()
    };
    let mut grant = |moves: BTreeMap<String, String>| {
        // The previous grant has been answered.
        c.leader_state.as_mut().unwrap().grant_in_flight = false;
        assert!(c.grant(moves, vec![row.clone(), row.clone()], BTreeSet::new(), None));
        let calls = c.handle(clock, Event::Peer(String::new(), PeerMessage::ResyncRequest));
        let mut commits = calls.into_iter().filter_map(|e| match e {
            Effect::Store(id, StoreCall::Commit(t)) => Some((id, t)),
            _ => None,
        });
        let has_new_machine = |t: &Transaction| serde_json::to_string(t).unwrap().contains("m-900001");
        let (id, t) = commits.rfind(|(_, t)| has_new_machine(t)).unwrap();
        c.handle(clock, Event::Store(id, StoreReply::Unclear));
        t
    };
    let (first, retry) = (grant([(moved, to)].into()), grant(BTreeMap::new()));
    let blocks = |t: &Transaction| -> Vec<String> {
        let keys = t.conditions.iter().map(|c| c.key.clone());
        keys.filter(|key| key.starts_with(records::BLOCKS_PREFIX)).collect()
    };
    assert_ne!(blocks(&first), blocks(&retry), "both attempts chose the same block");
    assert!(matches!(world.store.commit(retry), StoreReply::Committed { .. }));
    assert!(matches!(world.store.commit(first), StoreReply::Conflict { .. }), "the machine is in two blocks");
    let record_count = machines_in_blocks(&world).into_iter().filter(|name| name == "m-900001").count();
    assert_eq!(record_count, 1);
}

/// Reboots the machines whose indexes the filter selects.
fn reboot_machines(world: &mut World, is_selected: impl Fn(usize) -> bool) {
    let now = world.now;
    for (_, w) in world.workers.values_mut().enumerate().filter(|(n, _)| is_selected(*n)) {
        w.reboot(now);
    }
}

/// Guards against conclusions from copies of old reports that reach every controller just as a new leader takes over.
/// The copies are also of earlier sessions and attempts, with and without completions.
#[test]
fn old_reports_at_a_leader_change_are_no_evidence() {
    let mut met = Coverage::default();
    for seed in 220..224 {
        let mut world = saturated_cluster(seed, 12);
        world.report_retention = 0.4;
        for round in 0..3 {
            world.run(world.now + Micros::from_secs(6));
            reboot_machines(&mut world, |n| n % 3 == round);
            world.run(world.now + Micros::from_secs(6));
            let leader = world.leader().unwrap();
            world.crash_for(leader, Micros::from_millis([300, 25_000][(seed as usize + round) % 2]));
            world.run(world.now + Micros::from_secs(28));
        }
        world.expect_all_jobs_to_end(500, &format!("seed {seed}"));
        assert_eq!(world.coverage.repeated_starts, 0, "seed {seed}");
        met.retained_reports_delivered += world.coverage.retained_reports_delivered;
        met.duplicates_of_earlier_sessions += world.coverage.duplicates_of_earlier_sessions;
        met.duplicate_tasks_of_earlier_attempts += world.coverage.duplicate_tasks_of_earlier_attempts;
        met.duplicate_completed_tasks += world.coverage.duplicate_completed_tasks;
    }
    eprintln!("{met:?}");
    assert!(met.retained_reports_delivered > 500 && met.duplicates_of_earlier_sessions > 100, "{met:?}");
    assert!(met.duplicate_tasks_of_earlier_attempts > 100 && met.duplicate_completed_tasks > 100, "{met:?}");
}

/// Guards against receiving machines that are taken for not receiving. Several old reports came at once and each was
/// answered, and the machine's next report did not show these answers. Such a machine got no further answers until it
/// had been probed.
#[test]
fn a_burst_of_old_reports_does_not_mark_machines_as_not_receiving() {
    let (mut copies, mut not_receiving) = (0, 0);
    for seed in 230..234 {
        let mut world = saturated_cluster(seed, 12);
        world.report_retention = 1.0;
        world.run(world.now + Micros::from_secs(20));
        let leader = world.leader().unwrap();
        world.crash_for(leader, Micros::from_millis([300, 40_000][seed as usize % 2]));
        let until = world.now + Micros::from_secs(35);
        while world.now < until {
            world.run(world.now + Micros::from_millis(20));
            not_receiving += world
                .controllers
                .iter()
                .flatten()
                .map(Controller::non_receiving_machine_count)
                .sum::<usize>();
        }
        copies += world.coverage.retained_reports_delivered;
        assert_eq!(world.coverage.tasks_lost_to_lease_expiry, 0, "seed {seed}: tasks were lost");
        world.expect_all_jobs_to_end(400, &format!("seed {seed}"));
    }
    eprintln!("{copies} copies");
    assert!(copies > 500, "only {copies} copies were delivered");
    assert_eq!(not_receiving, 0, "receiving machines were taken for not receiving");
}

/// Attempts of tasks on machines that their owners have not resolved, by controller, machine, token and task.
fn unresolved_attempts(world: &World) -> BTreeMap<(usize, String, u64, TaskId), u64> {
    let mut all = BTreeMap::new();
    for (n, c) in world.controllers.iter().enumerate().filter_map(|(n, c)| Some((n, c.as_ref()?))) {
        for (name, m) in c.machines.iter().filter(|(_, m)| c.owns(m) && !m.resolved) {
            let tasks = m.tasks.iter();
            all.extend(tasks.map(|(id, t)| ((n, name.clone(), m.row.token, id.clone()), t.attempt)));
        }
    }
    all
}

/// Guards against conclusions from a machine's last report when it is delivered only after the new leader has acted.
/// The report is of the current session or of one that has ended, its tasks may run elsewhere in a later attempt by
/// then, and it comes with and without completions.
#[test]
fn a_report_delayed_until_a_new_leader_has_acted_is_no_evidence() {
    let mut met = Coverage::default();
    for (scenario, seed) in
        (0..4).flat_map(|scenario| (0..3).map(move |n| (scenario, 250 + 10 * scenario + n)))
    {
        let mut world = saturated_cluster(seed, 12);
        world.run(world.now + Micros::from_secs(5));
        let send = |world: &mut World| -> Vec<Report> {
            let now = world.now;
            let sent = world.workers.iter_mut().map(|(name, w)| {
                w.tally += 1;
                w.build_report(name, now)
            });
            sent.collect()
        };
        let mut delayed = send(&mut world);
        if scenario == 2 {
            // By then these tasks run again in another attempt, on the same machine or elsewhere.
            reboot_machines(&mut world, |_| true);
            world.run(world.now + Micros::from_secs(12));
        }
        let leader = world.leader().unwrap();
        world.crash_for(leader, Micros::from_millis([300, 40_000][seed as usize % 2]));
        if scenario == 1 {
            reboot_machines(&mut world, |n| n % 2 == 0);
        } else if scenario == 3 {
            delayed = send(&mut world);
        }
        // Half of the machines send nothing newer before the new leader has acted.
        let until = world.now + Micros::from_secs(10);
        for (_, w) in world.workers.values_mut().enumerate().filter(|(n, _)| n % 2 == 0) {
            w.partitioned_until = until;
        }
        let has_new_leader = |w: &World| {
            w.leader().is_some_and(|n| n != leader || w.controllers[n].as_ref().unwrap().is_view_member)
        };
        while !has_new_leader(&world) && world.now < until + Micros::from_secs(30) {
            world.run(world.now + Micros::from_millis(20));
        }
        for (n, report) in delayed.iter().enumerate() {
            let after = [0, 50, 300, 1_000, 3_000, 9_000][(n + seed as usize) % 6];
            for node in 0..3 {
                let report = report.clone();
                world.schedule_at(
                    world.now + Micros::from_millis(after),
                    SimEvent::DuplicateReport { node, report },
                );
            }
        }
        // Until a machine is resolved, an older report must not replace later knowledge.
        let until = world.now + Micros::from_secs(12);
        let mut before = unresolved_attempts(&world);
        while world.now < until {
            world.run(world.now + Micros::from_millis(20));
            let now = unresolved_attempts(&world);
            for (key, attempt) in &before {
                let went_back = now.get(key).is_some_and(|a| a < attempt);
                assert!(
                    !went_back,
                    "scenario {scenario}, seed {seed}: {key:?} was known in attempt {attempt}, now {now:?}"
                );
            }
            before = now;
        }
        world.run(world.now + Micros::from_secs(28));
        world.expect_all_jobs_to_end(400, &format!("scenario {scenario}, seed {seed}"));
        assert_eq!(world.coverage.repeated_starts, 0, "scenario {scenario}, seed {seed}");
        met.late_duplicates += world.coverage.late_duplicates;
        met.duplicates_of_earlier_sessions += world.coverage.duplicates_of_earlier_sessions;
        met.duplicate_tasks_of_earlier_attempts += world.coverage.duplicate_tasks_of_earlier_attempts;
        met.duplicate_completed_tasks += world.coverage.duplicate_completed_tasks;
    }
    eprintln!("{met:?}");
    assert!(met.late_duplicates > 200 && met.duplicates_of_earlier_sessions > 100, "{met:?}");
    assert!(met.duplicate_tasks_of_earlier_attempts > 50 && met.duplicate_completed_tasks > 50, "{met:?}");
}

/// Guards against machines that cannot report to any controller but still receive direct orders, together with
/// withdrawals and a leader crash. They answer probes, and still lose their tasks each time their lease expires.
/// Withdrawn tasks must stop in time, nothing may run twice, and a machine that never reports again must get no more
/// work and be returned.
#[test]
fn machines_that_cannot_report_are_not_treated_as_alive() {
    let (mut withdrawn, mut lost, mut wasted) = (0, 0, 0);
    for seed in 290..298 {
        let mut world = saturated_cluster(seed, 12);
        world.task_run_time = 20 * S..60 * S;
        world.request_burst_probability = [0.0, 0.5][seed as usize / 2 % 2];
        world.run(world.now + Micros::from_secs(20));
        let names: Vec<String> = world.workers.keys().cloned().collect();
        let until = world.now + Micros::from_secs([12, 45][seed as usize % 2]);
        for (n, name) in names.iter().enumerate().filter(|(n, _)| n % 3 == 0) {
            world.workers.get_mut(name).unwrap().reports_blocked_until =
                if n < 6 { Micros::MAX } else { until };
        }
        let never_reporting = [&names[0], &names[3]];
        world.run(world.now + Micros::from_secs(2));
        withdrawn += world.withdraw_running_jobs(4, Micros::ZERO);
        world.run(world.now + Micros::from_millis([300, 8_000][seed as usize / 2 % 2]));
        let leader = world.leader().unwrap();
        world.crash_for(leader, Micros::from_millis([300, 25_000][seed as usize / 4 % 2]));
        world.run(world.now + Micros::from_secs(2));
        withdrawn += world.withdraw_running_jobs(3, Micros::ZERO);
        world.run(world.now + Micros::from_secs(40));
        let start_count = |w: &World| {
            w.started_attempts.iter().filter(|(name, ..)| never_reporting.contains(&name)).count()
        };
        let before = start_count(&world);
        world.run(world.now + Micros::from_secs(60));
        wasted += start_count(&world) - before;
        let kept = never_reporting.iter().filter(|name| world.workers.contains_key(**name)).count();
        assert_eq!(kept, 0, "seed {seed}: kept though it cannot report\n{}", world.describe_job(""));
        lost += world.coverage.tasks_lost_to_lease_expiry;
        world.task_run_time = S..2 * S;
        world.expect_all_jobs_to_end(500, &format!("seed {seed}"));
        assert_eq!(world.coverage.repeated_starts, 0, "seed {seed}");
    }
    eprintln!("{withdrawn} withdrawn, {lost} lost by lease, {wasted} wasted");
    assert!(withdrawn > 20 && lost > 100, "{withdrawn} withdrawn, {lost} tasks lost by lease");
    assert_eq!(wasted, 0, "tasks were started on machines that had not reported for 40 s");
}

/// Guards against wrong assumptions of restarted controllers after all controllers have been down for longer than a
/// worker's lease: the tasks that ran are gone, completions count, withdrawn jobs stay withdrawn, and every job is
/// known again.
#[test]
fn no_job_is_lost_when_all_controllers_are_down_longer_than_a_lease() {
    let (mut lost, mut withdrawn, mut outlived) = (0, 0, Micros::ZERO);
    for seed in 310..318 {
        let mut world = saturated_cluster(seed, 12);
        if seed % 2 == 0 {
            world.task_run_time = 20 * S..60 * S;
        }
        world.request_burst_probability = [0.0, 0.5][seed as usize / 2 % 2];
        world.run(world.now + Micros::from_secs(8));
        withdrawn += world.withdraw_running_jobs(4, Micros::ZERO);
        world.run(world.now + Micros::from_millis([100, 700][seed as usize / 2 % 2]));
        let before = world.coverage.tasks_lost_to_lease_expiry;
        // Downtimes shorter than a lease, about as long, and longer: some machines have lost their lease by then and
        // others have not.
        world.stop_all_controllers(Micros::from_secs([17, 40, 13, 90][seed as usize % 4]));
        world.run(world.now + Micros::from_secs(100));
        lost += world.coverage.tasks_lost_to_lease_expiry - before;
        outlived = outlived.max(world.coverage.max_run_after_withdrawal);
        world.task_run_time = S..2 * S;
        world.expect_all_jobs_to_end(400, &format!("seed {seed}"));
        assert_eq!(world.coverage.repeated_starts, 0, "seed {seed}");
    }
    eprintln!("{lost} lost, {withdrawn} withdrawn, outlived {outlived:?}");
    assert!(lost > 200 && withdrawn > 20, "{lost} tasks lost by lease, {withdrawn} jobs withdrawn");
    assert!(outlived > Micros::from_secs(5), "withdrawn tasks were gone after {outlived:?}");
}

/// Guards against tasks that run twice when a zone with workers and a controller is cut off for longer than a worker's
/// lease. The controller in the zone continues until its own lease expires, and no other controller starts its tasks
/// elsewhere before they have stopped.
#[test]
fn tasks_in_a_partitioned_zone_do_not_also_run_elsewhere() {
    let (mut inside, mut withdrawn, mut lost) = (0, 0, 0);
    for seed in 330..338 {
        let mut world = World::new(seed, FaultProfile::default());
        for n in 0..14 {
            world.add_machine("c16", ["east", "west"][n % 2], false);
        }
        world.run(Micros::from_secs(5));
        world.task_run_time = 10 * S..40 * S;
        world.request_burst_probability = [0.0, 0.5][seed as usize / 2 % 2];
        for n in 0..12 {
            let spec = array(&mut world, n, 100);
            world.submit(spec);
        }
        world.run(Micros::from_secs(25));
        let zone = ["east", "west"][seed as usize % 2];
        world.begin_fault(
            TimedFault::ZonePartitioned(zone),
            world.now + Micros::from_secs([20, 50][seed as usize / 2 % 2]),
        );
        world.run(world.now + Micros::from_secs(1));
        withdrawn += world.withdraw_running_jobs(4, Micros::ZERO);
        world.run(world.now + Micros::from_secs(8));
        let within = world.workers.values().filter(|w| w.zone == zone);
        inside += within.map(|w| w.tasks.len()).sum::<usize>();
        withdrawn += world.withdraw_running_jobs(2, Micros::ZERO);
        world.run(world.now + Micros::from_secs(60));
        lost += world.coverage.tasks_lost_to_lease_expiry;
        world.task_run_time = S..2 * S;
        world.expect_all_jobs_to_end(400, &format!("seed {seed}"));
        assert_eq!(world.coverage.repeated_starts, 0, "seed {seed}");
    }
    eprintln!("{inside} inside, {withdrawn} withdrawn, {lost} lost by lease");
    assert!(inside > 100 && withdrawn > 30 && lost > 100, "{inside}, {withdrawn}, {lost}");
}

/// Guards against withdrawn long tasks that run too long. The leader crashes, machines hang or do not receive from the
/// next leader, and the jobs that run on these machines are withdrawn. Their tasks must stop in time although no
/// controller can stop them, also where a machine continues within its lease, and no task of theirs may start anywhere.
#[test]
fn withdrawn_tasks_that_a_new_leader_cannot_reach_stop_in_time() {
    let (mut unreachable, mut confirmed, mut outlived) = (0, 0, Micros::ZERO);
    for seed in 350..362 {
        let mut world = saturated_cluster(seed, 8);
        world.task_run_time = 60 * S..120 * S;
        world.request_burst_probability = [0.0, 0.5][seed as usize / 2 % 2];
        world.run(world.now + Micros::from_secs(25));
        let leader = world.leader().unwrap();
        let c = world.controllers[leader].as_ref().unwrap();
        // Busy machines, the leader's own first.
        let mut affected: Vec<(bool, String)> =
            c.machines.iter().map(|(name, m)| (!c.owns(m), name.clone())).collect();
        affected.retain(|(_, name)| world.workers.get(name).is_some_and(|w| w.tasks.len() > 3));
        affected.sort();
        let affected: Vec<String> = affected.into_iter().map(|(_, name)| name).take(3).collect();
        let until = world.now + Micros::from_secs([8, 13, 40][seed as usize % 3]);
        let mut jobs = BTreeSet::new();
        for name in &affected {
            let w = world.workers.get_mut(name).unwrap();
            jobs.extend(w.tasks.keys().map(|id| id.job.clone()));
            if seed % 2 == 0 { w.not_receiving_until = until } else { w.hung_until = until }
        }
        world.crash_for(leader, Micros::from_millis([300, 90_000][(seed as usize - 350) / 6]));
        world.run(world.now + Micros::from_millis([0, 1_000, 4_000, 9_000][seed as usize % 4]));
        for id in jobs.iter().take(5) {
            world.jobs.get_mut(id).unwrap().wants_withdrawal = true;
        }
        let tasks = |w: &World| {
            let on = affected.iter().filter_map(|name| w.workers.get(name)).flat_map(|w| w.tasks.keys());
            on.filter(|id| w.jobs[&id.job].wants_withdrawal).count()
        };
        unreachable += tasks(&world);
        world.run(world.now + Micros::from_secs(45));
        let wanted = || world.jobs.values().filter(|w| w.wants_withdrawal);
        assert!(wanted().all(|w| w.known_final.is_some()), "seed {seed}: not confirmed");
        confirmed += wanted().count();
        outlived = outlived.max(world.coverage.max_run_after_withdrawal);
        world.task_run_time = S..2 * S;
        world.expect_all_jobs_to_end(400, &format!("seed {seed}"));
        assert_eq!(world.coverage.repeated_starts, 0, "seed {seed}");
    }
    eprintln!("{unreachable} unreachable tasks, {confirmed} confirmed, outlived {outlived:?}");
    assert!(
        unreachable > 300 && confirmed > 30,
        "{unreachable} unreachable tasks, {confirmed} withdrawals confirmed"
    );
    assert!(outlived > Micros::from_secs(8), "withdrawn tasks were gone after {outlived:?}");
}

/// Guards against a loaded incarnation of a controller that is taken for ended because of an earlier one. The records
/// are listed page by page, and changes from before the last page are read again from the watch. The deletion of an
/// earlier registration then ended the incarnation that had been loaded, and from then on no gap in its messages was
/// detected.
#[test]
fn an_earlier_registration_does_not_end_a_loaded_incarnation() {
    let mut world = saturated_cluster(410, 12);
    let fully_known = |c: &Controller| {
        let me = c.incarnation();
        let is_known = |name: &String, m: &Machine| {
            c.owner_is_registered(m) && !c.owns(m) && c.machine_knowledge.is_fully_known(name, &me)
        };
        c.machines.iter().find(|(name, m)| is_known(name, m)).map(|(name, m)| (name.clone(), m.row.clone()))
    };
    let found = |w: &World| (0..3).find_map(|n| Some((n, fully_known(w.controllers[n].as_ref()?)?)));
    while found(&world).is_none() && world.now < Micros::from_secs(60) {
        world.run(world.now + Micros::from_millis(100));
    }
    let (n, (name, row)) = found(&world).expect("no machine is fully known");
    let c = world.controllers[n].as_mut().unwrap();
    let me = c.incarnation();
    let (member, stamp) = (row.owner, row.registration);
    let incarnation = (member.clone(), stamp);
    let put = |stamp| Change::Put {
        key: records::registration_key(&member),
        value: (&serde_json::json!({"lease": 1})).into(),
        stamp,
    };
    let changes = vec![
        put(stamp - 2),
        Change::Delete { key: records::registration_key(&member), stamp: stamp - 1 },
        put(stamp),
    ];
    c.handle_follow_reply(c.now, StoreReply::News(ChangeBatch { revision: c.applied_revision + 1, changes }));
    assert_eq!(c.registrations.get(&member), Some(&stamp));
    c.machine_knowledge.message_received(&incarnation, u64::MAX - 1, false, c.applied_revision);
    assert!(
        !c.machine_knowledge.is_fully_known(&name, &me),
        "no gap is detected for an incarnation that is taken for ended"
    );
}
