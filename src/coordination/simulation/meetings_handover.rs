//! Meetings of hand-over and changes of leader with withdrawals and outages, each brought about by a script that asserts
//! that it did (`docs/meetings.md`).

use super::meetings_limits::*;
use super::*;
use crate::coordination::replica::rendezvous;
use crate::protocol::store::Condition;

/// Guards every rule against ten changes of leader within two minutes, in half of the runs with an outage of the store
/// in the midst of them, while jobs come and are withdrawn and all teams are at their limits.
#[test]
fn ten_leaders_within_two_minutes_break_no_rule() {
    for seed in 80..86 {
        let (mut world, mut n) = cluster_at_limits(seed);
        let start = world.now;
        let outage = start + Micros::from_secs(30);
        if seed % 2 == 1 {
            world.will_befall(outage, Spell::StoreDown, Micros::from_secs(25));
        }
        let (before, mut ends, mut inside) = (world.store.revision, 0, 0);
        let mut led = None;
        while world.now < start + Micros::from_secs(120) {
            let next = world.now + Micros::from_millis(11_500);
            // In an outage the one that leads may have ended: then one that would follow it does.
            let leader = world.leader().or(led).unwrap_or(0);
            led = Some((leader + 1) % 3);
            let away = Micros::from_millis([300, 4_000, 9_000][ends % 3]);
            world.crash_for(leader, away);
            ends += 1;
            inside += usize::from(world.under(Spell::StoreDown));
            for (i, id) in running_jobs(&world).iter().step_by(3).enumerate() {
                request_withdrawal(&mut world, (leader + 1 + i % 2) % 3, id);
            }
            submit_more_work(&mut world, &mut n, 1);
            let rest = next.since(world.now);
            run_for(&mut world, rest);
        }
        let leaders = leader_count_since(&world, before);
        assert!(
            ends >= 10 && leaders >= if seed % 2 == 1 { 7 } else { 10 },
            "seed {seed}: {leaders} leaders"
        );
        assert!(seed % 2 == 0 || inside >= 2, "seed {seed}: {inside} ends inside the outage");
        world.runs_for = S..3 * S;
        run_for(&mut world, Micros::from_secs(60));
        world.all_over(500, &format!("seed {seed}"));
    }
}

/// The revision in which a job's end was recorded.
fn recorded(world: &World, id: &str) -> Option<u64> {
    let key = records::final_state_key(id);
    world.store.log.iter().find(|(_, k, _)| *k == key).map(|(revision, ..)| *revision)
}

/// The revision of the newest view.
fn viewed(world: &World) -> u64 {
    world.store.keys.get(records::VIEW_KEY).map_or(0, |(_, stamp, _)| *stamp)
}

/// The others take a controller for ended that goes on and does not know. The revision of that.
fn evict(world: &mut World, node: usize) -> u64 {
    let member = world.settings[node].member.clone();
    let key = records::registration_key(&member);
    let stamp = world.store.keys[&key].1;
    let writes = vec![Write::delete(key.clone()), Write::put(records::eviction_key(&member), stamp.into())];
    let done = world.store.commit(Transaction { conditions: vec![Condition::new(key, stamp)], writes });
    assert!(matches!(done, StoreReply::Committed { .. }));
    world.store.revision
}

/// Grants with a new view are late, so that there is time between an eviction and the grant that follows it.
fn late_views(t: &Transaction) -> Option<Fate> {
    let written = t.writes.iter().any(|w| matches!(w, Write::Put { key, .. } if key == records::VIEW_KEY));
    written.then_some(Fate::Late(Micros::from_millis(700)))
}

/// One controller's work changes hands, and its jobs are withdrawn: before its eviction, between that and the grant, or
/// between the grant and the first order under it (0 to 2), by way of the old owner, the new one or a third (0 to 2). How
/// many withdrawals met that, and how many tasks still ran then.
fn handed_over(seed: u64, phase: usize, via: usize) -> (usize, usize) {
    let mut world = cluster_with_spare_room(seed, &[("blue", 40.0, 0.0), ("green", 0.0, 0.0)]);
    let leader = world.leader().unwrap();
    let old = (leader + 1) % 3;
    let new = (old + 1 + seed as usize % 2) % 3;
    let by = [old, new, 3 - old - new][via];
    let members: Vec<String> = (0..3).map(|n| format!("n-{n}")).collect();
    let rest: Vec<&str> = (0..3).filter(|n| *n != old).map(|n| members[n].as_str()).collect();
    let passes =
        |n: &u32| rendezvous(&format!("j-{n:06}"), rest.iter().copied()) == Some(members[new].as_str());
    let numbers: Vec<u32> = job_numbers_of(old).filter(passes).take(8).collect();
    let ids: Vec<String> = numbers.iter().map(|n| submit_array(&mut world, *n, "blue", 5)).collect();
    let all = |w: &World| ids.iter().map(|id| present_task_count(w, id)).sum::<usize>();
    assert!(run_until(&mut world, Micros::from_secs(60), |w| all(w) == 40), "seed {seed}: {}", all(&world));
    // Others wait for what becomes free.
    for owner in 0..3 {
        let n = job_numbers_of(owner).nth(30).unwrap();
        submit_array(&mut world, n, "blue", 20);
    }
    run_for(&mut world, Micros::from_secs(2));
    let c = world.controllers[old].as_ref().unwrap();
    let held: Vec<String> = c.machines.iter().filter(|m| c.owns(m.1)).map(|m| m.0.clone()).collect();
    // It does not read of its end for a while, and its machines are out of reach for as long or longer.
    world.befalls(Spell::WatchHangs(old), world.now + Micros::from_secs(4));
    for (i, name) in held.iter().enumerate() {
        let until = world.now + Micros::from_secs(if phase == 2 { 3 } else { [0, 8, 12][i % 3] });
        let w = world.workers.get_mut(name).unwrap();
        if (i + seed as usize).is_multiple_of(2) { w.cut_until = until } else { w.hung_until = until }
    }
    let (view, life) = (viewed(&world), world.lives[old]);
    let mut evicted = 0;
    if phase > 0 {
        world.fate_of = (phase == 1).then_some(late_views);
        evicted = evict(&mut world, old);
    }
    if phase == 2 {
        assert!(
            run_until(&mut world, Micros::from_secs(5), |w| viewed(w) > view),
            "seed {seed}: no new view"
        );
    }
    let unaware =
        world.lives[old] == life && world.controllers[old].as_ref().is_some_and(Controller::entitled);
    let left = all(&world);
    ids.iter().for_each(|id| request_withdrawal(&mut world, by, id));
    if phase == 0 {
        run_for(&mut world, Micros::from_millis(35));
        evicted = evict(&mut world, old);
    }
    assert!(run_until(&mut world, Micros::from_secs(8), |w| viewed(w) > view), "seed {seed}: no new view");
    let granted = viewed(&world);
    if phase == 2 {
        run_for(&mut world, Micros::from_millis(300));
    }
    // The tokens of the new grant that no machine has seen: nothing has been ordered under it.
    let c = world.controllers[leader].as_ref().unwrap();
    let unseen =
        held.iter().all(|name| c.machines.get(name).is_none_or(|m| world.workers[name].token < m.row.token));
    let in_time = |id: &&String| match (phase, via, recorded(&world, id)) {
        // What it is asked for by then it cannot record, and does not know that.
        (1 | 2, 0, at) => unaware && at.is_none_or(|at| at > evicted),
        (0, _, Some(at)) => at < evicted,
        (1, _, Some(at)) => at > evicted && at < granted,
        (_, _, Some(at)) => at > granted && unseen,
        _ => false,
    };
    let met = ids.iter().filter(in_time).count();
    run_for(&mut world, Micros::from_secs(40));
    for id in &ids {
        assert!(world.jobs[id].told_final.is_some(), "seed {seed}: {id} is not over\n{}", world.describe(id));
    }
    finish_all_jobs(&mut world, seed);
    (met, left)
}

/// Guards withdrawals in the seconds in which one controller's work changes hands, at its limit: what its tasks still run
/// counts, nothing of them is started by anybody, and they are gone in time.
#[test]
fn withdrawals_while_work_changes_hands_hold_whoever_takes_them() {
    let mut met = [[(0, 0); 3]; 3];
    for (phase, of_phase) in met.iter_mut().enumerate() {
        for (via, count) in of_phase.iter_mut().enumerate() {
            for seed in 100..102 {
                let (withdrawn, left) = handed_over(seed + 10 * phase as u64 + 3 * via as u64, phase, via);
                *count = (count.0 + withdrawn, count.1 + left);
            }
        }
    }
    eprintln!("withdrawals met and tasks left, by phase and by whom: {met:?}");
    assert!(met.iter().flatten().all(|(withdrawn, left)| *withdrawn >= 4 && *left >= 40), "{met:?}");
}

/// Guards withdrawals against an outage that begins while they are carried out: the store is slow, refuses the leader
/// alone at that very moment, and a second later answers nobody for longer than a withdrawal may take.
#[test]
fn withdrawals_at_the_moment_of_a_refusal_hold_through_an_outage_a_second_later() {
    let (mut before, mut after, mut left) = (0, 0, 0);
    for seed in 120..130 {
        let (mut world, _) = cluster_at_limits(seed);
        let leader = world.leader().unwrap();
        if seed % 2 == 0 {
            world.befalls(Spell::StoreSlow, world.now + Micros::from_secs(12));
            run_for(&mut world, Micros::from_secs(8));
        }
        let ids = running_jobs(&world);
        let refused = Micros::from_secs([2, 6, 15][seed as usize % 3]);
        world.befalls(Spell::StoreRefuses(leader), world.now + refused);
        if seed % 3 == 0 {
            (0..3).for_each(|n| world.befalls(Spell::Apart(leader, n), world.now + Micros::from_secs(60)));
        }
        for (i, id) in ids.iter().enumerate() {
            request_withdrawal(&mut world, (leader + i % 3) % 3, id);
        }
        run_for(&mut world, Micros::from_secs(1));
        let done: Vec<&String> = ids.iter().filter(|id| recorded(&world, id).is_some()).collect();
        before += done.len();
        left += done.iter().map(|id| present_task_count(&world, id)).sum::<usize>();
        let away = Micros(world.rng.random_range(36 * S..70 * S));
        world.befalls(Spell::StoreDown, world.now + away);
        let open = ids.len() - done.len();
        run_for(&mut world, away + Micros::from_secs(30));
        after += open;
        for id in &ids {
            assert!(
                world.jobs[id].told_final.is_some(),
                "seed {seed}: {id} is not over\n{}",
                world.describe(id)
            );
        }
        world.runs_for = S..3 * S;
        run_for(&mut world, Micros::from_secs(60));
        world.all_over(500, &format!("seed {seed}"));
    }
    eprintln!(
        "{before} withdrawals recorded before the outage, {after} after it; {left} tasks ran when it began"
    );
    assert!(before > 20 && after > 20 && left > 20, "{before} before, {after} after, {left} tasks left");
}
