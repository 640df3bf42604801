//! Meetings of machines, what they report and what they are told with ends of controllers and writes that lag
//! (`docs/meetings.md`). Each asserts that it took place.

use super::meetings::full;
use super::spells::Fate;
use super::takeovers::array;
use super::*;
use crate::bookkeeping::blocks::Block;
use crate::bookkeeping::records::BlockRow;
use crate::coordination::Machine;

/// Writes to blocks and rentals lag: a third is carried out at once and its answer lost, a third 3 to 12 s late. A repeat
/// that builds on the same fares the same.
fn delay_block_writes(t: &Transaction) -> Option<Fate> {
    let keys = t.writes.iter().map(|w| match w {
        Write::Put { key, .. } | Write::Delete { key } => key,
    });
    let lags =
        |key: &&String| key.starts_with(records::BLOCKS_PREFIX) || key.starts_with(records::RENTALS_PREFIX);
    let bytes = |key: &String| key.bytes().map(u64::from).sum::<u64>();
    let named: Vec<u64> = keys.filter(lags).map(bytes).collect();
    if named.is_empty() {
        return None;
    }
    let n = named.iter().sum::<u64>() + t.conditions.iter().map(|c| c.stamp).sum::<u64>();
    match n % 3 {
        0 => Some(Fate::AnswerLost),
        1 => Some(Fate::Late(Micros::from_secs(3 + n / 3 % 10))),
        _ => None,
    }
}

/// All machines that blocks name, as the store has them.
fn machines_in_blocks(world: &World) -> Vec<String> {
    let blocks = world.store.keys.iter().filter(|(key, _)| key.starts_with(records::BLOCKS_PREFIX));
    let names = blocks.flat_map(|(_, (value, ..))| {
        let mut block = Block::default();
        block.update(&value.to_string()).unwrap();
        block.machines().map(str::to_owned).collect::<Vec<_>>()
    });
    names.collect()
}

/// Guards against machines that are up, and at work, before the cloud lists them or their rental's record and their first
/// grant are known to have been written, when the leader ends: nothing runs twice, no job is forgotten, and each machine
/// is used and given back.
#[test]
fn machines_up_at_once_under_writes_that_lag_outlive_their_leader() {
    let (mut unlisted, mut unrecorded, mut unanswered, mut late) = (0, 0, 0, 0);
    for seed in 200..210 {
        let mut world = World::sized(seed, Trouble::default(), Size { controllers: 3, machines: 20 });
        world.boots = 200 * MS..2 * S;
        world.settings.iter_mut().for_each(|s| s.params.cloud.list_lag_s = 4.0);
        match seed % 2 {
            0 => world.fate_of = Some(delay_block_writes),
            _ => (world.trouble.late_writes, world.trouble.answers_lost) = (0.2, 0.3),
        }
        world.run(Micros::from_secs(4));
        for n in 0..8 {
            let spec = array(&mut world, n, 60);
            world.submit(spec);
        }
        let (mut ends, mut last) = (0, Micros::ZERO);
        while world.now < Micros::from_secs(100) {
            world.run(world.now + Micros::from_millis(50));
            // At work though not listed, or listed as starting as long again; up and in no block; rented while the record stands.
            let young = |w: &&Worker| world.now.since(w.rented) <= Micros::from_secs(6);
            let early = world.workers.values().filter(|w| young(w) && !w.tasks.is_empty()).count();
            let known: BTreeSet<String> = machines_in_blocks(&world).into_iter().collect();
            let strange = world.workers.iter().filter(|(n, w)| w.tally > 0 && !known.contains(*n)).count();
            let open = |name: &&String| world.store.keys.contains_key(&records::rental_key(name));
            let open = world.charters.keys().filter(open).count();
            let pause = Micros::from_secs([9, 25][usize::from([early, strange, open][ends % 3] == 0)]);
            if early + strange + open == 0 || ends == 6 || world.now.since(last) < pause {
                continue;
            }
            if let Some(leader) = world.leader() {
                (unlisted, unrecorded, unanswered) =
                    (unlisted + early, unrecorded + strange, unanswered + open);
                world.crash_for(leader, Micros::from_millis([300, 25_000][ends / 3]));
                (ends, last) = (ends + 1, world.now);
            }
        }
        assert!(ends > 1, "seed {seed}: the leader ended {ends} times");
        world.fate_of = None;
        late += world.met.late_commits + world.met.answers_lost;
        world.all_over(400, &format!("seed {seed}"));
        world.run(world.now + Micros::from_secs(60));
        let left: Vec<_> = world.workers.keys().collect();
        assert!(left.is_empty(), "seed {seed}: rented for ever: {left:?}");
        let open: Vec<_> =
            world.store.keys.keys().filter(|key| key.starts_with(records::RENTALS_PREFIX)).collect();
        assert!(open.is_empty(), "seed {seed}: rentals that nobody closes: {open:?}");
        assert_eq!(world.met.begun_again, 0, "seed {seed}");
    }
    eprintln!("{unlisted} unlisted, {unrecorded} unrecorded, {unanswered} unanswered, {late} writes lagged");
    assert!(unlisted > 5 && unrecorded > 5 && unanswered > 2 && late > 50);
}

/// Guards against a machine in two blocks: a record of new machines that got no answer was made again in another block,
/// for there was no room left beside what changed hands with it, and then both were carried out. What the later one said
/// was that nobody had ever held the machine, and a controller that joined took over what ran there.
#[test]
fn a_machine_is_recorded_in_one_block_whatever_lags() {
    let mut world = World::sized(300, Trouble::default(), Size { controllers: 3, machines: 0 });
    for n in 0..8 {
        let spec = array(&mut world, n, 400);
        world.submit(spec);
    }
    world.run(Micros::from_secs(8));
    // Blocks of a few machines, and grants of a block, as they are on a large fleet.
    for c in world.controllers.iter_mut().flatten() {
        let state = &mut c.settings.params.state;
        (state.value_kb, state.txn_ops) = (0.4, 3);
    }
    let names: Vec<String> = (0..10).map(|_| world.add_machine("c16", "east", false)).collect();
    world.run(world.now + Micros::from_secs(20));
    // The first block has room again.
    world.workers.get_mut(&names[0]).unwrap().dead = true;
    world.run(world.now + Micros::from_secs(30));
    let leader = world.leader().unwrap();
    let clock = world.clock(leader);
    let c = world.controllers[leader].as_mut().unwrap();
    let last = c.shards.iter().rfind(|(_, (block, _))| !block.is_empty()).unwrap();
    assert!(*last.0 > 1, "all in one block: {:?}", c.shards);
    let moved = last.1.0.machines().next().unwrap().to_owned();
    let to =
        c.view.members.iter().map(|m| &m.0).find(|m| **m != c.machines[&moved].row.owner).unwrap().clone();
    let row = BlockRow {
        machine: "m-900001".into(),
        owner: String::new(),
        registration: 0,
        token: 0,
        ..c.machines[&moved].row.clone()
    };
    let mut grant = |moves: BTreeMap<String, String>| {
        // What was on its way before has been answered.
        c.leader_state.as_mut().unwrap().grant_in_flight = false;
        assert!(c.grant(moves, vec![row.clone(), row.clone()], BTreeSet::new(), None));
        let calls = c.handle(clock, Event::Peer(String::new(), PeerMessage::ResyncRequest));
        let mut commits = calls.into_iter().filter_map(|e| match e {
            Effect::Store(id, StoreCall::Commit(t)) => Some((id, t)),
            _ => None,
        });
        let new = |t: &Transaction| serde_json::to_string(t).unwrap().contains("m-900001");
        let (id, t) = commits.rfind(|(_, t)| new(t)).unwrap();
        c.handle(clock, Event::Store(id, StoreReply::Unclear));
        t
    };
    let (first, again) = (grant([(moved, to)].into()), grant(BTreeMap::new()));
    let blocks = |t: &Transaction| -> Vec<String> {
        let keys = t.conditions.iter().map(|c| c.key.clone());
        keys.filter(|key| key.starts_with(records::BLOCKS_PREFIX)).collect()
    };
    assert_ne!(blocks(&first), blocks(&again), "both went to the same block");
    assert!(matches!(world.store.commit(again), StoreReply::Committed { .. }));
    assert!(matches!(world.store.commit(first), StoreReply::Conflict { .. }), "it is in two blocks");
    let here = machines_in_blocks(&world).into_iter().filter(|name| name == "m-900001").count();
    assert_eq!(here, 1);
}

/// Machines are off and on again.
fn reboot_machines(world: &mut World, which: impl Fn(usize) -> bool) {
    let now = world.now;
    for (_, w) in world.workers.values_mut().enumerate().filter(|(n, _)| which(*n)) {
        w.reboot(now);
    }
}

/// Guards against what copies of old reports prove that reach every controller just as a new leader begins: also of earlier
/// sessions and attempts, with completions and without.
#[test]
fn old_reports_to_every_controller_as_a_new_leader_begins_prove_nothing() {
    let mut met = Met::default();
    for seed in 220..224 {
        let mut world = full(seed, 12);
        world.keeps_reports = 0.4;
        for round in 0..3 {
            world.run(world.now + Micros::from_secs(6));
            reboot_machines(&mut world, |n| n % 3 == round);
            world.run(world.now + Micros::from_secs(6));
            let leader = world.leader().unwrap();
            world.crash_for(leader, Micros::from_millis([300, 25_000][(seed as usize + round) % 2]));
            world.run(world.now + Micros::from_secs(28));
        }
        world.all_over(500, &format!("seed {seed}"));
        assert_eq!(world.met.begun_again, 0, "seed {seed}");
        met.kept_given += world.met.kept_given;
        met.earlier_sessions += world.met.earlier_sessions;
        met.earlier_attempts += world.met.earlier_attempts;
        met.old_done += world.met.old_done;
    }
    eprintln!("{met:?}");
    assert!(met.kept_given > 500 && met.earlier_sessions > 100, "{met:?}");
    assert!(met.earlier_attempts > 100 && met.old_done > 100, "{met:?}");
}

/// Guards machines against being taken for deaf: of several old reports that came at once, each was answered, and the next
/// did not show the answer. Nobody answered such a machine any more until it had been asked itself.
#[test]
fn machines_whose_old_reports_come_at_once_are_not_taken_for_deaf() {
    let (mut given, mut deaf) = (0, 0);
    for seed in 230..234 {
        let mut world = full(seed, 12);
        world.keeps_reports = 1.0;
        world.run(world.now + Micros::from_secs(20));
        let leader = world.leader().unwrap();
        world.crash_for(leader, Micros::from_millis([300, 40_000][seed as usize % 2]));
        let until = world.now + Micros::from_secs(35);
        while world.now < until {
            world.run(world.now + Micros::from_millis(20));
            deaf += world
                .controllers
                .iter()
                .flatten()
                .map(Controller::non_receiving_machine_count)
                .sum::<usize>();
        }
        given += world.met.kept_given;
        assert_eq!(world.met.lost_by_lease, 0, "seed {seed}: tasks were lost");
        world.all_over(400, &format!("seed {seed}"));
    }
    eprintln!("{given} copies");
    assert!(given > 500, "only {given} copies were given");
    assert_eq!(deaf, 0, "machines that hear were taken for deaf");
}

/// Attempts of tasks on machines that their holders have not resolved: by controller, machine and its token.
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

/// Guards against a report that was held back until the new leader had acted, the last that a machine sent: from the same
/// session, from one that is over, with tasks that run elsewhere in a later attempt by now, with completions and without.
#[test]
fn a_report_held_back_until_the_new_leader_has_acted_proves_nothing() {
    let mut met = Met::default();
    for (form, seed) in (0..4).flat_map(|form| (0..3).map(move |n| (form, 250 + 10 * form + n))) {
        let mut world = full(seed, 12);
        world.run(world.now + Micros::from_secs(5));
        let send = |world: &mut World| -> Vec<Report> {
            let now = world.now;
            let sent = world.workers.iter_mut().map(|(name, w)| {
                w.tally += 1;
                w.report(name, now)
            });
            sent.collect()
        };
        let mut held = send(&mut world);
        if form == 2 {
            // What ran there runs again by then, as another attempt, there or elsewhere.
            reboot_machines(&mut world, |_| true);
            world.run(world.now + Micros::from_secs(12));
        }
        let leader = world.leader().unwrap();
        world.crash_for(leader, Micros::from_millis([300, 40_000][seed as usize % 2]));
        if form == 1 {
            reboot_machines(&mut world, |n| n % 2 == 0);
        } else if form == 3 {
            held = send(&mut world);
        }
        // Nothing newer comes from some before the new leader has acted.
        let until = world.now + Micros::from_secs(10);
        for (_, w) in world.workers.values_mut().enumerate().filter(|(n, _)| n % 2 == 0) {
            w.cut_until = until;
        }
        let begun = |w: &World| {
            w.leader().is_some_and(|n| n != leader || w.controllers[n].as_ref().unwrap().is_view_member)
        };
        while !begun(&world) && world.now < until + Micros::from_secs(30) {
            world.run(world.now + Micros::from_millis(20));
        }
        for (n, report) in held.iter().enumerate() {
            let after = [0, 50, 300, 1_000, 3_000, 9_000][(n + seed as usize) % 6];
            for node in 0..3 {
                let report = report.clone();
                world.at(world.now + Micros::from_millis(after), Happening::Copy { node, report });
            }
        }
        // Until a machine is resolved, an older report takes back nothing that came later.
        let until = world.now + Micros::from_secs(12);
        let mut before = unresolved_attempts(&world);
        while world.now < until {
            world.run(world.now + Micros::from_millis(20));
            let now = unresolved_attempts(&world);
            for (on, attempt) in &before {
                let went_back = now.get(on).is_some_and(|a| a < attempt);
                assert!(
                    !went_back,
                    "form {form}, seed {seed}: {on:?} was known in attempt {attempt}, now {now:?}"
                );
            }
            before = now;
        }
        world.run(world.now + Micros::from_secs(28));
        world.all_over(400, &format!("form {form}, seed {seed}"));
        assert_eq!(world.met.begun_again, 0, "form {form}, seed {seed}");
        met.late_copies += world.met.late_copies;
        met.earlier_sessions += world.met.earlier_sessions;
        met.earlier_attempts += world.met.earlier_attempts;
        met.old_done += world.met.old_done;
    }
    eprintln!("{met:?}");
    assert!(met.late_copies > 200 && met.earlier_sessions > 100, "{met:?}");
    assert!(met.earlier_attempts > 50 && met.old_done > 50, "{met:?}");
}

/// Guards against machines that reach no controller while direct commands reach them, with withdrawals and an end of the
/// leader: they answer when they are asked, and lose their tasks all the same, lease after lease. What was withdrawn is
/// gone in time, nothing runs twice, and one that stays so gets no more work and is given back.
#[test]
fn machines_that_reach_no_controller_are_not_taken_for_alive() {
    let (mut withdrawn, mut lost, mut wasted) = (0, 0, 0);
    for seed in 290..298 {
        let mut world = full(seed, 12);
        world.runs_for = 20 * S..60 * S;
        world.looks = [0.0, 0.5][seed as usize / 2 % 2];
        world.run(world.now + Micros::from_secs(20));
        let names: Vec<String> = world.workers.keys().cloned().collect();
        let until = world.now + Micros::from_secs([12, 45][seed as usize % 2]);
        for (n, name) in names.iter().enumerate().filter(|(n, _)| n % 3 == 0) {
            world.workers.get_mut(name).unwrap().mute_until = if n < 6 { Micros::MAX } else { until };
        }
        let ever = [&names[0], &names[3]];
        world.run(world.now + Micros::from_secs(2));
        withdrawn += world.withdraw_now(4, Micros::ZERO);
        world.run(world.now + Micros::from_millis([300, 8_000][seed as usize / 2 % 2]));
        let leader = world.leader().unwrap();
        world.crash_for(leader, Micros::from_millis([300, 25_000][seed as usize / 4 % 2]));
        world.run(world.now + Micros::from_secs(2));
        withdrawn += world.withdraw_now(3, Micros::ZERO);
        world.run(world.now + Micros::from_secs(40));
        let begun = |w: &World| w.begun.iter().filter(|(name, ..)| ever.contains(&name)).count();
        let before = begun(&world);
        world.run(world.now + Micros::from_secs(60));
        wasted += begun(&world) - before;
        let kept = ever.iter().filter(|name| world.workers.contains_key(**name)).count();
        assert_eq!(kept, 0, "seed {seed}: kept though it reaches nobody\n{}", world.describe(""));
        lost += world.met.lost_by_lease;
        world.runs_for = S..2 * S;
        world.all_over(500, &format!("seed {seed}"));
        assert_eq!(world.met.begun_again, 0, "seed {seed}");
    }
    eprintln!("{withdrawn} withdrawn, {lost} lost by lease, {wasted} wasted");
    assert!(withdrawn > 20 && lost > 100, "{withdrawn} withdrawn, {lost} tasks lost by lease");
    assert_eq!(wasted, 0, "work was begun on machines that had reached nobody for 40 s");
}

/// Guards what new starts assume when all controllers have been away for longer than a worker's lease: what ran is gone,
/// what had completed counts, what was withdrawn stays so, and every job is known again.
#[test]
fn all_controllers_away_for_longer_than_a_lease_lose_no_job() {
    let (mut lost, mut withdrawn, mut outlived) = (0, 0, Micros::ZERO);
    for seed in 310..318 {
        let mut world = full(seed, 12);
        if seed % 2 == 0 {
            world.runs_for = 20 * S..60 * S;
        }
        world.looks = [0.0, 0.5][seed as usize / 2 % 2];
        world.run(world.now + Micros::from_secs(8));
        withdrawn += world.withdraw_now(4, Micros::ZERO);
        world.run(world.now + Micros::from_millis([100, 700][seed as usize / 2 % 2]));
        let before = world.met.lost_by_lease;
        // Shorter than a lease, about as long, and longer: some machines have lapsed then and others have not.
        world.all_away(Micros::from_secs([17, 40, 13, 90][seed as usize % 4]));
        world.run(world.now + Micros::from_secs(100));
        lost += world.met.lost_by_lease - before;
        outlived = outlived.max(world.met.outlived);
        world.runs_for = S..2 * S;
        world.all_over(400, &format!("seed {seed}"));
        assert_eq!(world.met.begun_again, 0, "seed {seed}");
    }
    eprintln!("{lost} lost, {withdrawn} withdrawn, outlived {outlived:?}");
    assert!(lost > 200 && withdrawn > 20, "{lost} tasks lost by lease, {withdrawn} jobs withdrawn");
    assert!(outlived > Micros::from_secs(5), "withdrawn tasks were gone after {outlived:?}");
}

/// Guards against a zone with workers and a controller that is cut off for longer than a worker's lease: the controller
/// there goes on until its own lease is over, and nobody starts its tasks elsewhere before they are gone.
#[test]
fn a_zone_cut_off_with_a_controller_runs_nothing_that_runs_elsewhere() {
    let (mut inside, mut withdrawn, mut lost) = (0, 0, 0);
    for seed in 330..338 {
        let mut world = World::new(seed, Trouble::default());
        for n in 0..14 {
            world.add_machine("c16", ["east", "west"][n % 2], false);
        }
        world.run(Micros::from_secs(5));
        world.runs_for = 10 * S..40 * S;
        world.looks = [0.0, 0.5][seed as usize / 2 % 2];
        for n in 0..12 {
            let spec = array(&mut world, n, 100);
            world.submit(spec);
        }
        world.run(Micros::from_secs(25));
        let zone = ["east", "west"][seed as usize % 2];
        world.befalls(Spell::ZoneCut(zone), world.now + Micros::from_secs([20, 50][seed as usize / 2 % 2]));
        world.run(world.now + Micros::from_secs(1));
        withdrawn += world.withdraw_now(4, Micros::ZERO);
        world.run(world.now + Micros::from_secs(8));
        let within = world.workers.values().filter(|w| w.zone == zone);
        inside += within.map(|w| w.tasks.len()).sum::<usize>();
        withdrawn += world.withdraw_now(2, Micros::ZERO);
        world.run(world.now + Micros::from_secs(60));
        lost += world.met.lost_by_lease;
        world.runs_for = S..2 * S;
        world.all_over(400, &format!("seed {seed}"));
        assert_eq!(world.met.begun_again, 0, "seed {seed}");
    }
    eprintln!("{inside} inside, {withdrawn} withdrawn, {lost} lost by lease");
    assert!(inside > 100 && withdrawn > 30 && lost > 100, "{inside}, {withdrawn}, {lost}");
}

/// Guards against a leader that ends while machines with long tasks do not hear the next one, or hang, when just the jobs
/// on these are withdrawn: their tasks are gone in time though nobody can tell them to end, also where a machine goes on
/// within its lease, and nothing of theirs begins anywhere.
#[test]
fn long_tasks_that_do_not_hear_the_new_leader_are_gone_in_time() {
    let (mut there, mut confirmed, mut outlived) = (0, 0, Micros::ZERO);
    for seed in 350..362 {
        let mut world = full(seed, 8);
        world.runs_for = 60 * S..120 * S;
        world.looks = [0.0, 0.5][seed as usize / 2 % 2];
        world.run(world.now + Micros::from_secs(25));
        let leader = world.leader().unwrap();
        let c = world.controllers[leader].as_ref().unwrap();
        // Of those at work the leader's own first.
        let mut held: Vec<(bool, String)> =
            c.machines.iter().map(|(name, m)| (!c.owns(m), name.clone())).collect();
        held.retain(|(_, name)| world.workers.get(name).is_some_and(|w| w.tasks.len() > 3));
        held.sort();
        let held: Vec<String> = held.into_iter().map(|(_, name)| name).take(3).collect();
        let until = world.now + Micros::from_secs([8, 13, 40][seed as usize % 3]);
        let mut jobs = BTreeSet::new();
        for name in &held {
            let w = world.workers.get_mut(name).unwrap();
            jobs.extend(w.tasks.keys().map(|id| id.job.clone()));
            if seed % 2 == 0 { w.deaf_until = until } else { w.hung_until = until }
        }
        world.crash_for(leader, Micros::from_millis([300, 90_000][(seed as usize - 350) / 6]));
        world.run(world.now + Micros::from_millis([0, 1_000, 4_000, 9_000][seed as usize % 4]));
        for id in jobs.iter().take(5) {
            world.jobs.get_mut(id).unwrap().wants_withdrawal = true;
        }
        let tasks = |w: &World| {
            let on = held.iter().filter_map(|name| w.workers.get(name)).flat_map(|w| w.tasks.keys());
            on.filter(|id| w.jobs[&id.job].wants_withdrawal).count()
        };
        there += tasks(&world);
        world.run(world.now + Micros::from_secs(45));
        let wanted = || world.jobs.values().filter(|w| w.wants_withdrawal);
        assert!(wanted().all(|w| w.told_final.is_some()), "seed {seed}: not confirmed");
        confirmed += wanted().count();
        outlived = outlived.max(world.met.outlived);
        world.runs_for = S..2 * S;
        world.all_over(400, &format!("seed {seed}"));
        assert_eq!(world.met.begun_again, 0, "seed {seed}");
    }
    eprintln!("{there} there, {confirmed} confirmed, outlived {outlived:?}");
    assert!(there > 300 && confirmed > 30, "{there} tasks out of hearing, {confirmed} withdrawals confirmed");
    assert!(outlived > Micros::from_secs(8), "withdrawn tasks were gone after {outlived:?}");
}

/// Guards what is known of a controller against its own earlier lives: a list of the records is read page by page, and
/// what had changed before its last page is read again as changes. A life that had been loaded was taken for ended by the
/// registration before it, and from then on nothing of what it said was missed, whatever was.
#[test]
fn a_life_that_was_loaded_is_not_ended_by_one_before_it() {
    let mut world = full(410, 12);
    let known = |c: &Controller| {
        let me = c.incarnation();
        let listed = |name: &String, m: &Machine| {
            c.owner_is_registered(m) && !c.owns(m) && c.machine_knowledge.is_fully_known(name, &me)
        };
        c.machines.iter().find(|(name, m)| listed(name, m)).map(|(name, m)| (name.clone(), m.row.clone()))
    };
    let found = |w: &World| (0..3).find_map(|n| Some((n, known(w.controllers[n].as_ref()?)?)));
    while found(&world).is_none() && world.now < Micros::from_secs(60) {
        world.run(world.now + Micros::from_millis(100));
    }
    let (n, (name, row)) = found(&world).expect("nothing is known in full");
    let c = world.controllers[n].as_mut().unwrap();
    let me = c.incarnation();
    let (member, stamp) = (row.owner, row.registration);
    let life = (member.clone(), stamp);
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
    c.machine_knowledge.message_received(&life, u64::MAX - 1, false, c.applied_revision);
    assert!(
        !c.machine_knowledge.is_fully_known(&name, &me),
        "nothing can be missed of a life that is taken for ended"
    );
}
