//! Users who look everywhere, repeat and call off within milliseconds of what they hear, while something else goes wrong.

use super::troubles::run_random;
use super::*;
use crate::coordination::knowledge::Liveness;

/// Plays runs in which users look everywhere, under further trouble; what they met together.
fn looked(seeds: std::ops::Range<u64>, profile: FaultProfile) -> Met {
    let mut met = Met::default();
    let count = (seeds.end - seeds.start) * super::troubles::soak_factor();
    for seed in seeds.start..seeds.start + count {
        let world = run_random(seed, FaultProfile { request_bursts: 0.7, withdrawn: 0.3, ..profile });
        met.looks += world.met.looks;
        met.repeated_finals += world.met.repeated_finals;
        met.answers_lost += world.met.answers_lost;
        met.late_commits += world.met.late_commits;
        met.overlapped += world.met.overlapped;
    }
    eprintln!("{met:?}");
    assert!(met.looks > 100 && met.repeated_finals > 400, "{met:?}");
    met
}

/// A small cluster with one array that is accepted and runs.
fn with_one_job(seed: u64) -> (World, String) {
    let mut world = World::new(seed, FaultProfile::default());
    (0..4).for_each(|_| drop(world.add_machine("c16", "east", false)));
    world.run(Micros::from_secs(20));
    let spec = super::takeovers::array(&mut world, 1, 40);
    let id = spec.id.clone();
    world.submit(spec);
    world.run(world.now + Micros::from_secs(3));
    (world, id)
}

/// Guards answers that a slow store gives late against being told after a newer one has been heard.
#[test]
fn users_who_look_everywhere_hear_nothing_older_from_a_slow_store() {
    looked(30_000..30_004, FaultProfile { store_slow: 0.05, ..Default::default() });
}

/// Guards acceptances, withdrawals and ends of which only the answer is lost: whoever asks next is told of them.
#[test]
fn users_who_look_everywhere_hear_of_what_was_carried_out_without_an_answer() {
    let met = looked(30_100..30_104, FaultProfile { answers_lost: 0.3, ..Default::default() });
    assert!(met.answers_lost > 100, "{met:?}");
}

/// The same with transactions that are carried out seconds later.
#[test]
fn users_who_look_everywhere_hear_nothing_older_while_writes_are_late() {
    let met = looked(30_200..30_204, FaultProfile { late_writes: 0.2, ..Default::default() });
    assert!(met.late_commits > 30, "{met:?}");
}

/// Guards users who look everywhere while one controller after the other leads and ends.
#[test]
fn users_who_look_everywhere_hear_nothing_older_from_the_next_leader() {
    looked(30_300..30_304, FaultProfile { leader_crashes: true, crash: 0.02, ..Default::default() });
}

/// Guards users who look everywhere against controllers that others do not reach, or that the store refuses.
#[test]
fn users_who_look_everywhere_hear_nothing_older_from_a_controller_apart() {
    looked(
        30_400..30_404,
        FaultProfile {
            isolated: 0.02,
            peers_partitioned: 0.03,
            store_refuses_one: 0.02,
            ..Default::default()
        },
    );
}

/// Guards a user with two requests at once, a question and a withdrawal, under a slow store: the withdrawal was carried
/// out and its answer delayed, another controller found the record of the end and told nobody, and a third one's
/// check, read before that, said that the job was live.
#[test]
fn an_end_found_in_the_records_is_told_like_one_recorded() {
    run_random(
        262_009,
        FaultProfile { store_slow: 0.02, refusal_then_outage: 0.01, withdrawn: 0.3, ..Default::default() },
    );
    let (mut world, id) = with_one_job(7);
    // The first answer is lost, and two controllers follow nothing while the third finds the record.
    world.fate_of = Some(|t| {
        let ends =
            |w: &Write| matches!(w, Write::Put { key, .. } if key.starts_with(records::FINAL_STATES_PREFIX));
        t.writes.iter().any(ends).then_some(Fate::AnswerLost)
    });
    (0..3).for_each(|n| world.befalls(Spell::WatchHangs(n), world.now + Micros::from_secs(1)));
    world.jobs.get_mut(&id).unwrap().wants_withdrawal = true;
    world.ask(0, id.clone(), Look::Withdraws);
    world.run(world.now + Micros::from_millis(100));
    assert!(world.store.withdrawn.contains_key(&id) && world.jobs[&id].told_final.is_none());
    assert!((0..3).all(|n| world.controllers[n].as_ref().unwrap().final_states.get(&id).is_none()));
    world.ask(1, id.clone(), Look::Withdraws);
    world.run(world.now + Micros::from_millis(400));
    let known = |n: usize| world.controllers[n].as_ref().unwrap().final_states.get(&id).is_some();
    assert!((0..3).all(known), "what one has found the others do not know");
    world.run(world.now + Micros::from_secs(2));
    assert!(world.jobs[&id].told_final.is_some(), "all know, and its user has not been told");
}

/// Guards accepted jobs against a controller that has not heard of them and whose list of machine types is partial, or
/// has changed: it refused the repeated submission for ever.
#[test]
fn a_repeated_submission_is_not_refused_for_the_machine_types_known_here() {
    for seed in 0..3 {
        let mut world = World::new(seed, FaultProfile::default());
        (0..4).for_each(|n| drop(world.add_machine("c16", ["east", "west"][n % 2], false)));
        world.run(Micros::from_secs(20));
        let node = seed as usize % 3;
        world.befalls(Spell::WatchHangs(node), world.now + Micros::from_secs(6));
        world.passed_over = Some(node);
        let spec = super::takeovers::array(&mut world, 1, 40);
        let id = spec.id.clone();
        world.submit(spec.clone());
        world.run(world.now + Micros::from_secs(1));
        assert!(world.jobs[&id].told_accepted);
        let c = world.controllers[node].as_mut().unwrap();
        assert!(!c.jobs.contains_key(&id), "seed {seed}: it knows the job");
        c.machine_types.values_mut().for_each(|t| t.cpus = 0.5);
        let never = JobSpec { id: "j-000500".into(), ..spec };
        world.jobs.insert(never.id.clone(), Wish { spec: Some(never), ..Default::default() });
        let before = world.jobs[&id].answered;
        for job in [id.clone(), "j-000500".into()] {
            (0..3).for_each(|_| world.ask(node, job.clone(), Look::Submits));
        }
        world.run(world.now + Micros::from_secs(1));
        assert!(world.jobs[&id].answered > before, "seed {seed}: its user was told nothing");
        assert!(world.jobs["j-000500"].refused, "seed {seed}: one that was never accepted is not refused");
    }
}

/// Guards a user against "queued" for a job that the store showed to be live and that has left the records since.
#[test]
fn a_job_that_has_left_the_records_since_it_was_looked_up_is_not_called_live() {
    let (mut world, id) = with_one_job(9);
    let c = world.controllers[0].as_mut().unwrap();
    let (now, stamp) = (c.now, c.jobs[&id].accepted_revision);
    assert_eq!(c.liveness(&id, now, Some(stamp)), Liveness::Live);
    c.retire(&id);
    assert_eq!(c.liveness(&id, now, Some(stamp)), Liveness::Ended);
    // Its acceptance has not been followed yet.
    assert_eq!(c.liveness(&id, now, Some(c.applied_revision + 1)), Liveness::Live);
    let old = Micros(now.0 - 501 * MS);
    assert_eq!(c.liveness(&id, old, Some(stamp)), Liveness::Uncertain);
}
