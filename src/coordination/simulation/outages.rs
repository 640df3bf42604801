//! Outages: what goes on, and what their ends must not bring.

use super::*;

/// Guards against calls that are repeated ever faster while the store is away, and all at once when it is
/// back: users' requests would be refused for as long again.
#[test]
fn an_outage_of_the_store_ends_without_a_storm() {
    let mut world = World::new(31, FaultProfile::default());
    for _ in 0..12 {
        world.add_machine("c16", "east", false);
    }
    world.run(Micros::from_secs(5));
    for n in 0..40 {
        let job =
            JobSpec { shape: Shape::Array, zone: None, gpus: 0.0, spread: false, ..world.random_job(n) };
        let job = JobSpec { team: "green".into(), one_zone: false, machine_types: None, ..job };
        world.submit(JobSpec { tasks: 12, cpus: 1.0, memory_gb: 1.0, ..job });
    }
    world.run(Micros::from_secs(20));
    let rate = |world: &mut World, seconds: u64| {
        let before = world.store_calls;
        world.run(world.now + Micros::from_secs(seconds));
        (world.store_calls - before) as f64 / seconds as f64
    };
    let usual = rate(&mut world, 5);
    let over = |world: &World| world.jobs.values().filter(|w| w.told_final.is_some()).count();
    let before = over(&world);
    world.befalls(Spell::StoreDown, world.now + Micros::from_secs(25));
    world.run(world.now + Micros::from_secs(10));
    let away = rate(&mut world, 15);
    assert!(away < usual * 1.5 + 10.0, "{away} calls a second to a store that is away, {usual} before");
    let back = rate(&mut world, 3);
    let limit = world.settings[0].params.state.rps;
    assert!(back < limit * 0.9, "{back} calls a second when the store is back");
    assert!(before < 40, "no job was left to end in the outage");
    world.run(world.now + Micros::from_secs(200));
    for (id, wish) in &world.jobs {
        assert!(wish.told_final.is_some(), "{id} is not over\n{}", world.describe_job(id));
    }
}

/// Tasks lost by their leases in an outage of so many seconds, with a deployment's times: between two reports, a
/// worker's lease, a withdrawal's time.
fn lost_in_an_outage(seed: u64, seconds: u64, (report_s, lease_s, cancel_s): (f64, f64, f64)) -> usize {
    let mut world = World::new(seed, FaultProfile::default());
    for s in &mut world.settings {
        let w = &mut s.params.workers;
        (w.report_s, w.lease_s, w.cancel_s) = (report_s, lease_s, cancel_s);
    }
    world.runs_for = 200 * S..300 * S;
    for _ in 0..12 {
        world.add_machine("c16", "east", false);
    }
    world.run(Micros::from_secs(5));
    for n in 0..9 {
        let spec = super::takeovers::array(&mut world, n, 40);
        world.submit(spec);
    }
    world.run(Micros::from_secs(30));
    assert!(world.started > 50, "seed {seed}: only {} tasks run", world.started);
    world.befalls(Spell::StoreDown, world.now + Micros::from_secs(seconds));
    world.run(world.now + Micros::from_secs(seconds + 30));
    world.met.lost_by_lease
}

/// The times of the deployments: the rig's, maapoue-cores, selatferi-hq, selatcargo.
const TIMES: [(f64, f64, f64); 4] =
    [(2.5, 14.0, 34.0), (5.0, 27.0, 57.0), (6.0, 31.0, 51.0), (4.0, 28.0, 53.0)];

/// Guards running tasks against a bound on the age of knowledge that is tighter than withdrawals need: whatever the
/// deployment, an outage kills nothing that its leases leave room for.
#[test]
fn an_outage_that_the_leases_outlast_kills_nothing_that_runs() {
    for (times, seconds) in TIMES.into_iter().zip([18, 29, 32, 30]) {
        let lost = lost_in_an_outage(5, seconds, times);
        assert_eq!(lost, 0, "{times:?}: {lost} tasks lost in an outage of {seconds} s");
    }
}

/// How long an outage each deployment outlives, printed: `cargo test --lib outlives -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn how_long_an_outage_each_deployment_outlives() {
    for times in TIMES {
        let most = |seed| (10..60).find(|s| lost_in_an_outage(seed, *s, times) > 0).unwrap_or(60) - 1;
        let most: Vec<u64> = (5..10).map(most).collect();
        eprintln!("report, lease, cancel {times:?}: {most:?} s without a task lost");
        assert!(most.iter().all(|s| *s >= 10), "{times:?}: {most:?}");
    }
}

/// A controller that stands still while its clock runs on, alone and as jobs are taken over, does
/// nothing with what it knew before.
#[test]
fn a_controller_that_stands_still_does_no_harm_when_it_goes_on() {
    for seed in 0..6 {
        let mut world =
            World::new(seed, FaultProfile { machine_hangs: 0.1, machine_cut: 0.05, ..Default::default() });
        for _ in 0..18 {
            world.add_machine("c16", "east", false);
        }
        world.run(Micros::from_secs(5));
        for n in 0..12 {
            let spec = world.random_job(n);
            world.submit(spec);
        }
        world.run(Micros::from_secs(20));
        for round in 0..4u64 {
            let n = (seed + round) as usize % 3;
            let length = [4, 9, 17, 37][round as usize];
            world.befalls(Spell::StandsStill(n), world.now + Micros::from_secs(length));
            if round % 2 == 1 {
                world.crash((n + 1) % 3);
            }
            world.run(world.now + Micros::from_secs(length + 8));
        }
        world.trouble = FaultProfile::default();
        for wish in world.jobs.values_mut() {
            wish.wants_withdrawal |= wish.spec.as_ref().is_some_and(|s| s.shape == Shape::Service);
        }
        world.run(world.now + Micros::from_secs(400));
        for (id, wish) in &world.jobs {
            let over = wish.refused || wish.told_final.is_some();
            assert!(over, "seed {seed}: {id} is not over\n{}", world.describe_job(id));
        }
    }
}
