//! Outages of the state service and pauses of controllers: what must survive them, and what must not follow them.

use super::*;

/// Guards against a retry storm: calls repeated ever faster during an outage of the state service, and all at once
/// after it, so that users' requests would be rejected for as long again.
#[test]
fn a_store_outage_causes_no_retry_storm() {
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
    let usual_rate = rate(&mut world, 5);
    let over = |world: &World| world.jobs.values().filter(|w| w.known_final.is_some()).count();
    let before = over(&world);
    world.begin_fault(TimedFault::StoreDown, world.now + Micros::from_secs(25));
    world.run(world.now + Micros::from_secs(10));
    let rate_during_outage = rate(&mut world, 15);
    assert!(
        rate_during_outage < usual_rate * 1.5 + 10.0,
        "{rate_during_outage} calls per second during the outage, {usual_rate} before"
    );
    let rate_after_outage = rate(&mut world, 3);
    let limit = world.settings[0].params.state.rps;
    assert!(rate_after_outage < limit * 0.9, "{rate_after_outage} calls per second after the outage");
    assert!(before < 40, "all jobs had ended before the outage");
    world.run(world.now + Micros::from_secs(200));
    for (id, wish) in &world.jobs {
        assert!(wish.known_final.is_some(), "{id} is not over\n{}", world.describe_job(id));
    }
}

impl World {
    /// Sets the workers' report interval and lease, and the cancel deadline, in seconds.
    pub(super) fn set_worker_timings(&mut self, (report_s, lease_s, cancel_s): (f64, f64, f64)) {
        for s in &mut self.settings {
            let w = &mut s.params.workers;
            (w.report_s, w.lease_s, w.cancel_s) = (report_s, lease_s, cancel_s);
        }
    }
}

/// Number of tasks that workers stop because their lease expires during an outage of the state service.
///
/// The timings are those of a deployment: report interval, worker lease, and cancel deadline.
fn tasks_lost_in_outage(seed: u64, seconds: u64, timings: (f64, f64, f64)) -> usize {
    let mut world = World::new(seed, FaultProfile::default());
    world.set_worker_timings(timings);
    world.task_run_time = 200 * S..300 * S;
    for _ in 0..12 {
        world.add_machine("c16", "east", false);
    }
    world.run(Micros::from_secs(5));
    for n in 0..9 {
        let spec = super::takeovers::array(&mut world, n, 40);
        world.submit(spec);
    }
    world.run(Micros::from_secs(30));
    assert!(world.tasks_started > 50, "seed {seed}: only {} tasks run", world.tasks_started);
    world.begin_fault(TimedFault::StoreDown, world.now + Micros::from_secs(seconds));
    world.run(world.now + Micros::from_secs(seconds + 30));
    world.coverage.tasks_lost_to_lease_expiry
}

/// Report interval, worker lease and cancel deadline of the deployments: test rig, maapoue-cores, selatferi-hq,
/// selatcargo.
pub(super) const DEPLOYMENT_TIMINGS: [(f64, f64, f64); 4] =
    [(2.5, 14.0, 34.0), (5.0, 27.0, 57.0), (6.0, 31.0, 51.0), (4.0, 28.0, 53.0)];

/// Guards running tasks against a bound on the age of knowledge that is tighter than withdrawals require: in every
/// deployment, an outage shorter than its leases allow stops no task.
#[test]
fn an_outage_shorter_than_the_leases_allow_stops_no_task() {
    for (times, seconds) in DEPLOYMENT_TIMINGS.into_iter().zip([18, 29, 32, 30]) {
        let lost = tasks_lost_in_outage(5, seconds, times);
        assert_eq!(lost, 0, "{times:?}: {lost} tasks lost in an outage of {seconds} s");
    }
}

/// Prints the longest outage that each deployment survives without a lost task:
/// `cargo test --lib longest_survived_outage -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn longest_survived_outage_of_each_deployment() {
    for times in DEPLOYMENT_TIMINGS {
        let survived = |seed| (10..60).find(|s| tasks_lost_in_outage(seed, *s, times) > 0).unwrap_or(60) - 1;
        let longest: Vec<u64> = (5..10).map(survived).collect();
        eprintln!("report, lease, cancel {times:?}: {longest:?} s of outage without a lost task");
        assert!(longest.iter().all(|s| *s >= 10), "{times:?}: {longest:?}");
    }
}

/// Guards against a controller acting on outdated knowledge after a pause during which its clock runs on, both on its
/// own and while jobs are being taken over.
#[test]
fn a_paused_controller_does_not_act_on_outdated_knowledge() {
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
            world.begin_fault(TimedFault::ControllerPaused(n), world.now + Micros::from_secs(length));
            if round % 2 == 1 {
                world.crash((n + 1) % 3);
            }
            world.run(world.now + Micros::from_secs(length + 8));
        }
        world.fault_profile = FaultProfile::default();
        for wish in world.jobs.values_mut() {
            wish.wants_withdrawal |= wish.spec.as_ref().is_some_and(|s| s.shape == Shape::Service);
        }
        world.run(world.now + Micros::from_secs(400));
        for (id, wish) in &world.jobs {
            let over = wish.rejected || wish.known_final.is_some();
            assert!(over, "seed {seed}: {id} is not over\n{}", world.describe_job(id));
        }
    }
}
