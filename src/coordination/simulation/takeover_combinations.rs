//! Scripted combinations of takeovers and leader changes with withdrawals and outages; each test asserts that its
//! combination took place (`docs/meetings.md`).

use super::quota_fault_combinations::*;
use super::*;
use crate::coordination::replica::rendezvous;
use crate::protocol::store::Condition;

/// Guards every rule against ten leader changes within two minutes while jobs are submitted and withdrawn and all teams
/// are at their limits. In half of the runs the store is down for a part of that time.
#[test]
fn ten_leader_changes_within_two_minutes_break_no_rule() {
    for seed in 80..86 {
        let (mut world, mut n) = cluster_at_limits(seed);
        let start = world.now;
        let outage = start + Micros::from_secs(30);
        if seed % 2 == 1 {
            world.schedule_fault(outage, TimedFault::StoreDown, Micros::from_secs(25));
        }
        let (before, mut crashes, mut inside) = (world.store.revision, 0, 0);
        let mut last_successor = None;
        while world.now < start + Micros::from_secs(120) {
            let next = world.now + Micros::from_millis(11_500);
            // During an outage there may be no leader: then a possible successor crashes.
            let leader = world.leader().or(last_successor).unwrap_or(0);
            last_successor = Some((leader + 1) % 3);
            let downtime = Micros::from_millis([300, 4_000, 9_000][crashes % 3]);
            world.crash_for(leader, downtime);
            crashes += 1;
            inside += usize::from(world.is_active(TimedFault::StoreDown));
            for (i, id) in running_jobs(&world).iter().step_by(3).enumerate() {
                request_withdrawal(&mut world, (leader + 1 + i % 2) % 3, id);
            }
            submit_more_work(&mut world, &mut n, 1);
            let rest = next.since(world.now);
            run_for(&mut world, rest);
        }
        let leaders = leader_count_since(&world, before);
        assert!(
            crashes >= 10 && leaders >= if seed % 2 == 1 { 7 } else { 10 },
            "seed {seed}: {leaders} leaders"
        );
        assert!(seed % 2 == 0 || inside >= 2, "seed {seed}: {inside} crashes during the outage");
        world.task_run_time = S..3 * S;
        run_for(&mut world, Micros::from_secs(60));
        world.expect_all_jobs_to_end(500, &format!("seed {seed}"));
    }
}

/// The revision in which a job's end was recorded.
fn end_revision(world: &World, id: &str) -> Option<u64> {
    let key = records::final_state_key(id);
    world.store.log.iter().find(|(_, k, _)| *k == key).map(|(revision, ..)| *revision)
}

/// The revision of the newest view.
fn view_revision(world: &World) -> u64 {
    world.store.keys.get(records::VIEW_KEY).map_or(0, |(_, stamp, _)| *stamp)
}

/// Deletes a controller's registration and records its eviction, as its peers do; the controller itself keeps running
/// and has not read of it. Returns the revision of the eviction.
fn evict(world: &mut World, node: usize) -> u64 {
    let member = world.settings[node].member.clone();
    let key = records::registration_key(&member);
    let stamp = world.store.keys[&key].1;
    let writes = vec![Write::delete(key.clone()), Write::put(records::eviction_key(&member), stamp.into())];
    let done = world.store.commit(Transaction { conditions: vec![Condition::new(key, stamp)], writes });
    assert!(matches!(done, StoreReply::Committed { .. }));
    world.store.revision
}

/// Delays transactions that write a new view, so that time passes_to_new between an eviction and the grant that follows
/// it.
fn delay_views(t: &Transaction) -> Option<CommitFault> {
    let written = t.writes.iter().any(|w| matches!(w, Write::Put { key, .. } if key == records::VIEW_KEY));
    written.then_some(CommitFault::Delayed(Micros::from_millis(700)))
}

/// Withdraws the jobs of a controller that is evicted and whose work another takes over. `phase` is the moment of the
/// withdrawals: 0 before the eviction, 1 between the eviction and the grant, 2 between the grant and the first order
/// under it. `via` is the controller that gets them: 0 the old owner, 1 the new one, 2 the third. Returns how many
/// withdrawals fell into that phase, and how many of the tasks were still there.
fn withdraw_during_handover(seed: u64, phase: usize, via: usize) -> (usize, usize) {
    let mut world = cluster_with_spare_room(seed, &[("blue", 40.0, 0.0), ("green", 0.0, 0.0)]);
    let leader = world.leader().unwrap();
    let old = (leader + 1) % 3;
    let new = (old + 1 + seed as usize % 2) % 3;
    let by = [old, new, 3 - old - new][via];
    let members: Vec<String> = (0..3).map(|n| format!("n-{n}")).collect();
    let rest: Vec<&str> = (0..3).filter(|n| *n != old).map(|n| members[n].as_str()).collect();
    let passes_to_new =
        |n: &u32| rendezvous(&format!("j-{n:06}"), rest.iter().copied()) == Some(members[new].as_str());
    let numbers: Vec<u32> = job_numbers_of(old).filter(passes_to_new).take(8).collect();
    let ids: Vec<String> = numbers.iter().map(|n| submit_array(&mut world, *n, "blue", 5)).collect();
    let present = |w: &World| ids.iter().map(|id| present_task_count(w, id)).sum::<usize>();
    assert!(
        run_until(&mut world, Micros::from_secs(60), |w| present(w) == 40),
        "seed {seed}: {}",
        present(&world)
    );
    // More jobs wait for what becomes free.
    for owner in 0..3 {
        let n = job_numbers_of(owner).nth(30).unwrap();
        submit_array(&mut world, n, "blue", 20);
    }
    run_for(&mut world, Micros::from_secs(2));
    let c = world.controllers[old].as_ref().unwrap();
    let held: Vec<String> = c.machines.iter().filter(|m| c.owns(m.1)).map(|m| m.0.clone()).collect();
    // The old owner does not read of its eviction for a while, and many of its machines are unreachable meanwhile.
    world.begin_fault(TimedFault::WatchHangs(old), world.now + Micros::from_secs(4));
    for (i, name) in held.iter().enumerate() {
        let until = world.now + Micros::from_secs(if phase == 2 { 3 } else { [0, 8, 12][i % 3] });
        let w = world.workers.get_mut(name).unwrap();
        if (i + seed as usize).is_multiple_of(2) { w.partitioned_until = until } else { w.hung_until = until }
    }
    let (view, incarnation) = (view_revision(&world), world.incarnations[old]);
    let mut evicted = 0;
    if phase > 0 {
        world.commit_fault = (phase == 1).then_some(delay_views);
        evicted = evict(&mut world, old);
    }
    if phase == 2 {
        assert!(
            run_until(&mut world, Micros::from_secs(5), |w| view_revision(w) > view),
            "seed {seed}: no new view"
        );
    }
    let unaware_of_eviction = world.incarnations[old] == incarnation
        && world.controllers[old].as_ref().is_some_and(Controller::entitled);
    let left = present(&world);
    ids.iter().for_each(|id| request_withdrawal(&mut world, by, id));
    if phase == 0 {
        run_for(&mut world, Micros::from_millis(35));
        evicted = evict(&mut world, old);
    }
    assert!(
        run_until(&mut world, Micros::from_secs(8), |w| view_revision(w) > view),
        "seed {seed}: no new view"
    );
    let granted = view_revision(&world);
    if phase == 2 {
        run_for(&mut world, Micros::from_millis(300));
    }
    // Whether no machine has seen its token of the new grant, so that nothing has been ordered under it.
    let c = world.controllers[leader].as_ref().unwrap();
    let unseen =
        held.iter().all(|name| c.machines.get(name).is_none_or(|m| world.workers[name].token < m.row.token));
    let in_time = |id: &&String| match (phase, via, end_revision(&world, id)) {
        // The old owner cannot record these withdrawals, and does not know that it has been evicted.
        (1 | 2, 0, at) => unaware_of_eviction && at.is_none_or(|at| at > evicted),
        (0, _, Some(at)) => at < evicted,
        (1, _, Some(at)) => at > evicted && at < granted,
        (_, _, Some(at)) => at > granted && unseen,
        _ => false,
    };
    let met = ids.iter().filter(in_time).count();
    run_for(&mut world, Micros::from_secs(40));
    for id in &ids {
        assert!(
            world.jobs[id].known_final.is_some(),
            "seed {seed}: {id} has not ended\n{}",
            world.describe_job(id)
        );
    }
    finish_all_jobs(&mut world, seed);
    (met, left)
}

/// Guards withdrawals during the seconds in which another controller takes over, with the team at its limit: the
/// withdrawn jobs' tasks count for as long as they run, no controller starts any of them, and they stop in time.
#[test]
fn withdrawals_during_a_takeover_hold_at_every_controller() {
    let mut met = [[(0, 0); 3]; 3];
    for (phase, of_phase) in met.iter_mut().enumerate() {
        for (via, count) in of_phase.iter_mut().enumerate() {
            for seed in 100..102 {
                let (withdrawn, left) =
                    withdraw_during_handover(seed + 10 * phase as u64 + 3 * via as u64, phase, via);
                *count = (count.0 + withdrawn, count.1 + left);
            }
        }
    }
    eprintln!("withdrawals in time and tasks left, by phase and by controller: {met:?}");
    assert!(met.iter().flatten().all(|(withdrawn, left)| *withdrawn >= 4 && *left >= 40), "{met:?}");
}

/// Guards withdrawals against an outage that begins while they are carried out: the store refuses the leader alone when
/// they are requested, in half of the runs it is slow as well, and a second later it is down for longer than a
/// withdrawal may take.
#[test]
fn withdrawals_hold_through_a_refusal_and_an_outage_a_second_later() {
    let (mut before, mut after, mut left) = (0, 0, 0);
    for seed in 120..130 {
        let (mut world, _) = cluster_at_limits(seed);
        let leader = world.leader().unwrap();
        if seed % 2 == 0 {
            world.begin_fault(TimedFault::StoreSlow, world.now + Micros::from_secs(12));
            run_for(&mut world, Micros::from_secs(8));
        }
        let ids = running_jobs(&world);
        let refused = Micros::from_secs([2, 6, 15][seed as usize % 3]);
        world.begin_fault(TimedFault::StoreRefuses(leader), world.now + refused);
        if seed % 3 == 0 {
            (0..3).for_each(|n| {
                world.begin_fault(TimedFault::Partitioned(leader, n), world.now + Micros::from_secs(60))
            });
        }
        for (i, id) in ids.iter().enumerate() {
            request_withdrawal(&mut world, (leader + i % 3) % 3, id);
        }
        run_for(&mut world, Micros::from_secs(1));
        let recorded: Vec<&String> = ids.iter().filter(|id| end_revision(&world, id).is_some()).collect();
        before += recorded.len();
        left += recorded.iter().map(|id| present_task_count(&world, id)).sum::<usize>();
        let outage = Micros(world.rng.random_range(36 * S..70 * S));
        world.begin_fault(TimedFault::StoreDown, world.now + outage);
        let open = ids.len() - recorded.len();
        run_for(&mut world, outage + Micros::from_secs(30));
        after += open;
        for id in &ids {
            assert!(
                world.jobs[id].known_final.is_some(),
                "seed {seed}: {id} has not ended\n{}",
                world.describe_job(id)
            );
        }
        world.task_run_time = S..3 * S;
        run_for(&mut world, Micros::from_secs(60));
        world.expect_all_jobs_to_end(500, &format!("seed {seed}"));
    }
    eprintln!(
        "{before} withdrawals recorded before the outage, {after} after it; {left} tasks ran when it began"
    );
    assert!(before > 20 && after > 20 && left > 20, "{before} before, {after} after, {left} tasks left");
}
