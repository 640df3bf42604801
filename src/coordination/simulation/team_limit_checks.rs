//! The simulation's check of teams' limits, and runs of teams at their limits.

use super::*;

/// A world in which a machine runs tasks of the red team that take one accelerator more than its limit. `alter` then
/// changes the world or the machine named.
fn world_over_limit(alter: fn(&mut World, &str)) -> World {
    let mut world = World::new(3, FaultProfile::default());
    let name = world.add_machine("g8", "east", false);
    let job = JobSpec { shape: Shape::Array, tasks: 5, cpus: 1.0, gpus: 1.0, ..world.random_job(4) };
    assert_eq!(job.team, "red");
    world.jobs.insert(job.id.clone(), UserJob { spec: Some(job.clone()), ..Default::default() });
    for index in 0..5 {
        let state = [TaskState::Running, TaskState::Waiting, TaskState::Saving][index as usize % 3];
        let (ordered, arrived) = (Micros::ZERO, Micros::ZERO);
        let task = WorkerTask {
            attempt: 1,
            state,
            cause: None,
            state_until: Micros::MAX,
            ordered_at: ordered,
            arrived_at: arrived,
        };
        world.workers.get_mut(&name).unwrap().tasks.insert(TaskId::new(&job.id, index), task);
    }
    alter(&mut world, &name);
    world
}

fn worker<'a>(world: &'a mut World, name: &str) -> &'a mut Worker {
    world.workers.get_mut(name).unwrap()
}

/// Guards the check of limits: it must count accelerators, also of a team that is not the first one.
#[test]
#[should_panic(expected = "quota: red takes (5000, 5000)")]
fn use_of_more_accelerators_than_the_limit_is_detected() {
    world_over_limit(|_, _| {}).check_rules();
}

/// Guards the check of limits: it must count tasks of a withdrawn job on a hung machine that no controller reaches, as
/// long as the machine's lease holds.
#[test]
#[should_panic(expected = "quota: red takes (5000, 5000)")]
fn withdrawn_tasks_on_an_unreachable_hung_machine_count_within_its_lease() {
    let hung = |world: &mut World, name: &str| {
        let lease = world.worker_lease();
        let w = worker(world, name);
        (w.partitioned_until, w.hung_until, w.not_receiving_until) = (Micros::MAX, Micros::MAX, Micros::MAX);
        let now = w.lease_renewed_at + lease;
        world.now = now;
        world.jobs.values_mut().for_each(|w| w.known_final = Some((FinalState::Withdrawn, now)));
    };
    world_over_limit(hung).check_rules();
}

/// Guards against counting tasks that take no resources: those that still fetch their image, and those of machines that
/// are dead or whose lease has expired, as a hung machine ends its tasks first when it resumes after that.
#[test]
fn tasks_that_cannot_run_count_against_no_limit() {
    let fetching = |world: &mut World, name: &str| {
        let task = worker(world, name).tasks.values_mut().next().unwrap();
        task.state = TaskState::Fetching;
    };
    let dead = |world: &mut World, name: &str| worker(world, name).dead = true;
    let expired = |world: &mut World, name: &str| {
        let lease = world.worker_lease();
        let w = worker(world, name);
        w.hung_until = Micros::MAX;
        let now = w.lease_renewed_at + lease + Micros(1);
        world.now = now;
    };
    for alter in [fetching as fn(&mut World, &str), dead, expired] {
        let mut world = world_over_limit(alter);
        world.check_rules();
        assert!(world.coverage.peak_usage[2].1 <= 4_000);
    }
}

/// Guards every team's limits of processors and accelerators while controllers crash, machines hang and are cut off,
/// and jobs are withdrawn. Each limit must bind at some time.
#[test]
fn teams_stay_within_their_limits_under_crashes_and_machine_faults() {
    let profile = FaultProfile {
        crash: 0.03,
        crash_all: 0.004,
        machine_hangs: 0.05,
        machine_cut: 0.05,
        not_receiving: 0.03,
        withdrawn: 0.3,
        ..Default::default()
    };
    let mut peaks = vec![(0, 0); 3];
    for seed in 20_100..20_104 {
        let mut world = World::with_size(seed, profile, ClusterSize { controllers: 3, machines: 24 });
        for n in 0..20 {
            world.add_machine(["c16", "g8"][n % 2], ["east", "west"][n % 4 / 2], false);
        }
        world.run(Micros::from_secs(5));
        for n in 0..60 {
            let team = ["blue", "green", "red"][n as usize % 3];
            let job = JobSpec { team: team.into(), shape: Shape::Array, ..world.random_job(n) };
            let gpus = f64::from(n / 3 % 2);
            world.submit(JobSpec {
                tasks: 20,
                cpus: 2.0 - gpus,
                gpus,
                zone: None,
                machine_types: None,
                ..job
            });
            world.run(world.now + Micros::from_secs(3));
            let share = world.fault_profile.withdrawn;
            if world.chance(share) {
                let id = format!("j-{:06}", n / 2);
                world.jobs.get_mut(&id).unwrap().wants_withdrawal = true;
            }
        }
        for (all, one) in peaks.iter_mut().zip(&world.coverage.peak_usage) {
            *all = (all.0.max(one.0), all.1.max(one.1));
        }
    }
    eprintln!("{peaks:?}");
    // A task takes one or two processors: if a limit's remainder is smaller than that, the limit binds.
    assert!(peaks[0].0 >= 39_000 && peaks[2].0 >= 23_000, "{peaks:?}: a limit never bound");
    assert_eq!((peaks[0].1, peaks[2].1), (4_000, 4_000), "a limit never bound");
}
