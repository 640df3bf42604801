//! Runtime checks of teams' limits, and permits that are no longer valid.

use super::quota_fault_combinations::{
    cluster_with_spare_room, end_tasks_below, finish_all_jobs, job_numbers_of, present_task_count, run_for,
    run_until, submit_array,
};
use super::*;
use crate::bookkeeping::records::QuotaRecord;
use crate::coordination::Breach;

/// A cluster in which team blue's limit of 40 processors is divided among the controllers, with jobs that use some of
/// it.
fn cluster_with_divided_limit(seed: u64) -> World {
    let mut world = cluster_with_spare_room(seed, &[("blue", 40.0, 0.0), ("green", 0.0, 0.0)]);
    let mut numbers = job_numbers_of(1);
    submit_array(&mut world, numbers.next().unwrap(), "blue", 10);
    submit_array(&mut world, numbers.next().unwrap(), "blue", 80);
    let is_divided =
        |w: &World| w.controllers.iter().flatten().all(|c| c.quota_record.0.view == c.view_revision);
    assert!(
        run_until(&mut world, Micros::from_secs(20), is_divided),
        "seed {seed}: the limit is not divided"
    );
    run_for(&mut world, Micros::from_secs(10));
    world
}

/// Writes a quota record that allots `cpu` to each controller.
fn set_each_share(world: &mut World, cpu: u64) {
    let mut record = quota_record_in_store(world);
    record.rows.iter_mut().for_each(|row| row.cpu = cpu);
    write_quota_record(world, record);
}

/// The current quota record in the state service.
fn quota_record_in_store(world: &World) -> QuotaRecord {
    serde_json::from_value(world.store.keys[records::QUOTA_KEY].0.clone()).unwrap()
}

fn write_quota_record(world: &mut World, record: QuotaRecord) {
    let stamp = world.store.keys[records::QUOTA_KEY].1;
    let written = world.store.commit(Transaction {
        conditions: vec![crate::protocol::store::Condition::new(records::QUOTA_KEY, stamp)],
        writes: vec![Write::put(records::QUOTA_KEY, serde_json::to_value(record).unwrap())],
    });
    assert!(matches!(written, StoreReply::Committed { .. }));
}

/// Guards the check itself: controllers that read a quota record detect shares that add up to more than a limit.
#[test]
#[should_panic(expected = "shares_beyond_limit: blue")]
fn shares_that_add_up_to_more_than_the_limit_are_detected() {
    let mut world = cluster_with_divided_limit(500);
    set_each_share(&mut world, 14_000);
    run_for(&mut world, Micros::from_secs(2));
}

/// Guards the check itself: a share that shrinks below the resources already planned under it is no breach, but
/// planning beyond the share is.
#[test]
#[should_panic(expected = "planned_beyond_share: blue")]
fn planning_beyond_the_share_is_detected() {
    let mut world = cluster_with_divided_limit(501);
    let controller = world.controllers[1].as_mut().unwrap();
    controller.teams_with_binding_limit = controller.find_teams_with_binding_limit();
    let some = Resources { cpu: 1_000, gpu: 0, memory: 0 };
    let (none, some) = ([("blue".to_owned(), Resources::default())], [("blue".to_owned(), some)]);
    controller.check_planned(&some.clone().into());
    controller.quota_record.0.rows.iter_mut().for_each(|row| row.cpu = 1_000);
    controller.check_planned(&none.into());
    controller.check_planned(&some.into());
}

/// Guards the check itself: it detects that all controllers together use more than the limit for longer than their
/// statuses may be out of step.
#[test]
#[should_panic(expected = "usage_beyond_limit: blue")]
fn combined_usage_beyond_the_limit_is_detected() {
    let mut world = cluster_with_divided_limit(502);
    let leader = world.leader().unwrap();
    for _ in 0..100 {
        let controller = world.controllers[leader].as_mut().unwrap();
        for status in controller.peers.values_mut().filter_map(|p| p.status.as_mut()) {
            status.usage.iter_mut().for_each(|row| row.1 = 30_000);
        }
        controller.check_usage();
        run_for(&mut world, Micros::from_millis(100));
    }
}

/// Guards the check itself: a controller that does not lead detects that workers show more of a team than its limit, while
/// tasks of an unknown job make all counts uncertain.
#[test]
#[should_panic(expected = "running_beyond_limit: blue")]
fn running_tasks_beyond_the_limit_are_detected_while_counts_are_uncertain() {
    let mut world = cluster_with_divided_limit(504);
    let checker = (world.leader().unwrap() + 1) % 3;
    let controller = world.controllers[checker].as_mut().unwrap();
    let machine = controller.machines.iter().next().unwrap().0.clone();
    controller.machines_with_unknown_tasks.insert("j-unknown".into(), [machine].into());
    assert!(!controller.usage_is_exact());
    controller.settings.params.teams[0].cpus_max = 30.0;
    run_for(&mut world, Micros::from_secs(8));
}
/// Delays the leader's writes of the quota record.
fn delay_quota_writes(t: &Transaction) -> Option<CommitFault> {
    let written = t.writes.iter().any(|w| matches!(w, Write::Put { key, .. } if key == records::QUOTA_KEY));
    written.then_some(CommitFault::Delayed(Micros::from_secs(60)))
}

/// Guards production deployments: after a breach the team starts no more tasks while other teams do, and the team's
/// starts resume once the rule holds again.
#[test]
fn a_breach_halts_the_team_until_the_rule_holds_again() {
    let mut world = cluster_with_divided_limit(503);
    world.controllers.iter_mut().flatten().for_each(|c| c.quota_guard.tolerate_breaches = true);
    // Without the delay the leader would correct the record at once.
    let leader = world.leader().unwrap();
    world.commit_fault = Some(delay_quota_writes);
    let valid_record = quota_record_in_store(&world);
    set_each_share(&mut world, 30_000);
    run_for(&mut world, Micros::from_millis(1_500));
    let others = (0..3).filter(|n| *n != leader).collect::<Vec<_>>();
    let halted = |w: &World, n: usize| w.controllers[n].as_ref().unwrap().quota_guard.is_halted("blue");
    assert!(others.iter().all(|n| halted(&world, *n)), "the team is not halted");
    let counted =
        |n: &usize| world.controllers[*n].as_ref().unwrap().quota_breaches(Breach::SharesBeyondLimit);
    assert!(others.iter().map(counted).all(|n| n >= 1), "the breach is not counted");
    let blue = submit_array(&mut world, job_numbers_of(others[0]).next().unwrap() + 10_000, "blue", 2);
    let green = submit_array(&mut world, job_numbers_of(others[0]).nth(5).unwrap(), "green", 2);
    run_for(&mut world, Micros::from_secs(5));
    assert_eq!(present_task_count(&world, &blue), 0, "a task of the halted team has started");
    assert_eq!(present_task_count(&world, &green), 2, "another team's tasks do not start");
    write_quota_record(&mut world, valid_record);
    let lifted = |w: &World| (0..3).all(|n| !halted(w, n));
    assert!(
        run_until(&mut world, Micros::from_secs(10), lifted),
        "the team is still halted although the rule holds"
    );
}

/// Delays the records of uninformed controllers, whose confirmations the others no longer wait for.
fn delay_uninformed_records(t: &Transaction) -> Option<CommitFault> {
    let key = |w: &Write| matches!(w, Write::Put { key, .. } if key.starts_with(records::UNINFORMED_PREFIX));
    t.writes.iter().any(key).then_some(CommitFault::Delayed(Micros::from_secs(30)))
}

/// Guards a team's limit against starts that were planned under a share of a former view: they have not been sent when
/// the view changes, and their share is no longer valid.
#[test]
fn starts_planned_under_a_former_views_share_are_not_sent() {
    let mut planned = 0;
    for seed in 510..516 {
        let mut world = cluster_with_divided_limit(seed);
        let (planner, leader) = (1, world.leader().unwrap());
        assert_ne!(planner, leader, "seed {seed}");
        let restarted = 2 - leader;
        world.excluded_controller = Some(planner);
        // Another controller does not receive its announcements of starts, and it cannot record that one as uninformed.
        world.commit_fault = Some(delay_uninformed_records);
        world.begin_fault(TimedFault::Partitioned(planner, restarted), world.now + Micros::from_secs(14));
        let unsent_starts = |w: &World| -> Vec<TaskId> {
            let machines = w.controllers[planner].as_ref().unwrap().machines.values();
            let tasks = machines.flat_map(|m| &m.tasks).filter(|(_, t)| t.pending.is_some());
            tasks.map(|(id, _)| id.clone()).collect()
        };
        // Capacity becomes free in its share, and further tasks of its job are planned.
        for id in world.jobs.keys().cloned().collect::<Vec<_>>() {
            end_tasks_below(&mut world, &id, 30);
        }
        run_until(&mut world, Micros::from_secs(10), |w| !unsent_starts(w).is_empty());
        let before = unsent_starts(&world);
        let view = world.controllers[planner].as_ref().unwrap().view_revision;
        world.crash_for(restarted, Micros::from_millis(200));
        let next = |w: &World| w.controllers[planner].as_ref().unwrap().view_revision > view;
        assert!(run_until(&mut world, Micros::from_secs(15), next), "seed {seed}: no new view");
        planned += before.len();
        let after = unsent_starts(&world);
        assert!(
            before.iter().all(|start| !after.contains(start)),
            "seed {seed}: a start was kept after its share became invalid"
        );
        finish_all_jobs(&mut world, seed);
    }
    assert!(planned > 0, "no start was planned when the view changed");
}

/// Guards H3 of a team's limit: tasks of completed jobs that still run count when deciding whether a limit must be
/// divided.
///
/// Only the unfinished tasks of a completed job were counted in what its team may still use, so that second runs of its
/// completed tasks, which were still running somewhere, were not counted while the limit was not divided.
#[test]
fn running_tasks_of_completed_jobs_count_before_a_limit_is_divided() {
    let mut world = cluster_with_spare_room(560, &[("blue", 40.0, 0.0), ("green", 0.0, 0.0)]);
    let mut numbers = job_numbers_of(1);
    let done = submit_array(&mut world, numbers.next().unwrap(), "blue", 10);
    run_for(&mut world, Micros::from_secs(10));
    assert_eq!(present_task_count(&world, &done), 10);
    let other = submit_array(&mut world, numbers.next().unwrap(), "blue", 8);
    run_for(&mut world, Micros::from_secs(2));
    let controller = world.controllers[1].as_mut().unwrap();
    let need = controller.jobs[&done].spec.need().cpu;
    let requested = need * 10 + controller.jobs[&other].spec.need().cpu * 8;
    assert!(
        requested <= 40_000 && controller.find_teams_with_binding_limit().is_empty(),
        "{requested} of 40000 requested"
    );
    let job = controller.jobs.get_mut(&done).unwrap();
    (0..10).for_each(|index| assert!(job.mark_completed(index)));
    controller.retire(&done);
    // Both jobs together are within the limit; with the third job they exceed it.
    let mut third = controller.jobs[&other].spec.as_ref().clone();
    third.id = "j-999999".into();
    third.tasks = ((40_000 - requested) / third.need().cpu + 1) as u32;
    let third = crate::coordination::model::Job::new(third, u64::MAX, controller.now);
    controller.jobs.insert(third.spec.id.clone(), third);
    assert!(controller.find_teams_with_binding_limit().contains("blue"));
}
