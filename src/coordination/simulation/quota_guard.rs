//! What is checked of teams' limits at run time, and permits that hold no more.

use super::meetings_limits::{
    cluster_with_spare_room, end_tasks_below, finish_all_jobs, job_numbers_of, present_task_count, run_for,
    run_until, submit_array,
};
use super::*;
use crate::bookkeeping::records::QuotaRecord;
use crate::coordination::Breach;

/// A cluster in which the blue team's limit of 40 processors is divided, and the job that uses some of it.
fn divided(seed: u64) -> World {
    let mut world = cluster_with_spare_room(seed, &[("blue", 40.0, 0.0), ("green", 0.0, 0.0)]);
    let mut numbers = job_numbers_of(1);
    submit_array(&mut world, numbers.next().unwrap(), "blue", 10);
    submit_array(&mut world, numbers.next().unwrap(), "blue", 80);
    let shared = |w: &World| w.controllers.iter().flatten().all(|c| c.quota_record.0.view == c.view_revision);
    assert!(run_until(&mut world, Micros::from_secs(20), shared), "seed {seed}: nothing is divided");
    run_for(&mut world, Micros::from_secs(10));
    world
}

/// Writes a division that grants every member as much.
fn grant_each(world: &mut World, cpu: u64) {
    let mut record = division(world);
    record.rows.iter_mut().for_each(|row| row.cpu = cpu);
    write_division(world, record);
}

/// The division in the records.
fn division(world: &World) -> QuotaRecord {
    serde_json::from_value(world.store.keys[records::QUOTA_KEY].0.clone()).unwrap()
}

fn write_division(world: &mut World, record: QuotaRecord) {
    let stamp = world.store.keys[records::QUOTA_KEY].1;
    let written = world.store.commit(Transaction {
        conditions: vec![crate::protocol::store::Condition::new(records::QUOTA_KEY, stamp)],
        writes: vec![Write::put(records::QUOTA_KEY, serde_json::to_value(record).unwrap())],
    });
    assert!(matches!(written, StoreReply::Committed { .. }));
}

/// Guards the check itself: shares that add up to more than a limit are seen by whoever reads their record.
#[test]
#[should_panic(expected = "shares_beyond_limit: blue")]
fn shares_that_add_up_to_more_than_the_limit_are_noticed() {
    let mut world = divided(500);
    grant_each(&mut world, 14_000);
    run_for(&mut world, Micros::from_secs(2));
}

/// Guards the check itself: a share that shrinks below what has just been planned under it is no breach, but planning
/// beyond it is.
#[test]
#[should_panic(expected = "planned_beyond_share: blue")]
fn more_planned_than_the_share_is_noticed() {
    let mut world = divided(501);
    let controller = world.controllers[1].as_mut().unwrap();
    controller.teams_with_binding_limit = controller.find_teams_with_binding_limit();
    let some = Resources { cpu: 1_000, gpu: 0, memory: 0 };
    let (none, some) = ([("blue".to_owned(), Resources::default())], [("blue".to_owned(), some)]);
    controller.check_planned(&some.clone().into());
    controller.quota_record.0.rows.iter_mut().for_each(|row| row.cpu = 1_000);
    controller.check_planned(&none.into());
    controller.check_planned(&some.into());
}

/// Guards the check itself: all members together use more than the limit for longer than statuses differ.
#[test]
#[should_panic(expected = "usage_beyond_limit: blue")]
fn members_that_use_more_than_the_limit_together_are_noticed() {
    let mut world = divided(502);
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

/// What the leader writes of divisions comes late.
fn late_divisions(t: &Transaction) -> Option<Fate> {
    let written = t.writes.iter().any(|w| matches!(w, Write::Put { key, .. } if key == records::QUOTA_KEY));
    written.then_some(Fate::Late(Micros::from_secs(60)))
}

/// Guards production: after a breach nothing more of the team starts, of others all does, and once the rule holds again the
/// team's starts go on.
#[test]
fn a_breach_halts_the_team_until_the_rule_holds_again() {
    let mut world = divided(503);
    world.controllers.iter_mut().flatten().for_each(|c| c.quota_guard.tolerate_breaches = true);
    // The leader would mend the record at once.
    let leader = world.leader().unwrap();
    world.fate_of = Some(late_divisions);
    let sound = division(&world);
    grant_each(&mut world, 30_000);
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
    assert_eq!(present_task_count(&world, &blue), 0, "a task of the halted team has begun");
    assert_eq!(present_task_count(&world, &green), 2, "another team's tasks do not start");
    write_division(&mut world, sound);
    let lifted = |w: &World| (0..3).all(|n| !halted(w, n));
    assert!(run_until(&mut world, Micros::from_secs(10), lifted), "the team is halted though the rule holds");
}

/// What controllers record of those that they do not wait for comes late.
fn late_records_of_the_uninformed(t: &Transaction) -> Option<Fate> {
    let key = |w: &Write| matches!(w, Write::Put { key, .. } if key.starts_with(records::UNINFORMED_PREFIX));
    t.writes.iter().any(key).then_some(Fate::Late(Micros::from_secs(30)))
}

/// Guards a limit against starts that were planned within a share of a former view: they wait to be sent while the view
/// changes, and their share is void.
#[test]
fn what_was_planned_under_a_former_views_share_is_not_sent() {
    let mut planned = 0;
    for seed in 510..516 {
        let mut world = divided(seed);
        let (waits, leader) = (1, world.leader().unwrap());
        assert_ne!(waits, leader, "seed {seed}");
        let back = 2 - leader;
        world.passed_over = Some(waits);
        // Another member does not hear of its starts, nor can it record that it goes on without that one.
        world.fate_of = Some(late_records_of_the_uninformed);
        world.befalls(Spell::Apart(waits, back), world.now + Micros::from_secs(14));
        let waiting = |w: &World| -> Vec<TaskId> {
            let machines = w.controllers[waits].as_ref().unwrap().machines.values();
            let tasks = machines.flat_map(|m| &m.tasks).filter(|(_, t)| t.pending.is_some());
            tasks.map(|(id, _)| id.clone()).collect()
        };
        // Places become free in its share, and more of its job is planned.
        for id in world.jobs.keys().cloned().collect::<Vec<_>>() {
            end_tasks_below(&mut world, &id, 30);
        }
        run_until(&mut world, Micros::from_secs(10), |w| !waiting(w).is_empty());
        let before = waiting(&world);
        let view = world.controllers[waits].as_ref().unwrap().view_revision;
        world.crash_for(back, Micros::from_millis(200));
        let next = |w: &World| w.controllers[waits].as_ref().unwrap().view_revision > view;
        assert!(run_until(&mut world, Micros::from_secs(15), next), "seed {seed}: no new view");
        planned += before.len();
        let after = waiting(&world);
        assert!(before.iter().all(|start| !after.contains(start)), "seed {seed}: a start outlived its share");
        finish_all_jobs(&mut world, seed);
    }
    assert!(planned > 0, "nothing was planned when the view changed");
}

/// Guards H3 of a team's limit: of a job that is over only what was unfinished counted in what its team may still use, so
/// that second runs of its completed tasks, which go on somewhere, counted nowhere while the limit was not divided.
#[test]
fn tasks_that_still_run_of_a_job_that_is_done_count_before_a_limit_is_divided() {
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
    // Both together are within the limit, and a third is not beside them.
    let mut third = controller.jobs[&other].spec.as_ref().clone();
    third.id = "j-999999".into();
    third.tasks = ((40_000 - requested) / third.need().cpu + 1) as u32;
    let third = crate::coordination::model::Job::new(third, u64::MAX, controller.now);
    controller.jobs.insert(third.spec.id.clone(), third);
    assert!(controller.find_teams_with_binding_limit().contains("blue"));
}
