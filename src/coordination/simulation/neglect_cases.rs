//! Smallest reproductions of neglected jobs: no fault was active, a machine had free capacity for the job and its team
//! was under its limit, yet the job waited. `docs/incidents/2026-12-03-neglect-in-calm.md` has the traces.

use super::quota_fault_combinations::{
    cluster_with_spare_room, job_numbers_of, present_task_count, run_for, run_until,
};
use super::takeovers::array;
use super::*;

/// The longest time that a job may wait while no fault is active and it could run.
const MAX_WAIT: Micros = Micros::from_secs(90);

/// Parameters of a submitted job; `array` sets all others.
struct JobParams {
    /// The controller that owns the job.
    owner: usize,
    /// Index into the job numbers that `owned_by` yields for the owner, distinct for each job.
    nth: usize,
    shape: Shape,
    priority: Priority,
    tasks: u32,
    cpus: f64,
    gpus: f64,
}

/// Submits a job of a team and returns its id.
fn submit_job(world: &mut World, team: &str, params: JobParams) -> String {
    let n = job_numbers_of(params.owner).nth(params.nth).unwrap();
    let spec = array(world, n, params.tasks);
    let JobParams { shape, priority, cpus, gpus, .. } = params;
    let spec = JobSpec { team: team.into(), shape, priority, cpus, gpus, spot: false, ..spec };
    let id = spec.id.clone();
    world.submit(spec);
    id
}

/// Team red may use 24 processors, team green is unlimited.
const TEAM_LIMITS: [(&str, f64, f64); 2] = [("red", 24.0, 0.0), ("green", 0.0, 0.0)];

/// Guards against the part of a team's limit that no volume covers staying unused although a waiting job fits into it.
///
/// The team may use 24 processors. An array of rank high runs four tasks of five processors and has many more; a gang
/// of the same rank needs 20 processors, which do not fit beside any of these tasks; an array of rank low has tasks of
/// three processors. Four processors stayed idle for as long as the first array ran, because the high rank's share was
/// the whole limit, and the low rank's share, a sixteenth, was less than one task. Pair 128001 logged
/// `reason="not_admitted" volume=0` for 169 s, with the team's tasks at 20 of 24 processors.
#[test]
fn limit_left_over_by_the_volumes_goes_to_a_job_that_fits() {
    for seed in 3_000..3_003 {
        let mut world = cluster_with_spare_room(seed, &TEAM_LIMITS);
        world.task_run_time = 8 * S..12 * S;
        let high = |owner, nth, shape, tasks| JobParams {
            owner,
            nth,
            shape,
            priority: Priority::High,
            tasks,
            cpus: 5.0,
            gpus: 0.0,
        };
        submit_job(&mut world, "red", high(1, 0, Shape::Array, 100));
        run_for(&mut world, Micros::from_secs(5));
        submit_job(&mut world, "red", high(2, 0, Shape::Gang, 4));
        let low = JobParams { priority: Priority::Low, cpus: 3.0, ..high(1, 1, Shape::Array, 10) };
        let low = submit_job(&mut world, "red", low);
        let begun = |w: &World| w.jobs[&low].last_task_start > Micros::ZERO;
        assert!(run_until(&mut world, MAX_WAIT, begun), "seed {seed}: {}", world.describe_job(&low));
        assert!(world.running_usage()[0].0 <= 24_000);
    }
}

/// Guards against starvation of a gang that fits into its team's limit, but not beside the team's running tasks, by a
/// steady stream of small jobs with short tasks that fit into the rest.
///
/// It came about because the first tasks of jobs whose turn had not come were placed before the gang, one after the
/// other: three of 24 processors were in use throughout, and the gang had no volume for 240 s.
#[test]
fn a_gang_as_large_as_its_teams_limit_is_not_starved_by_small_jobs() {
    for seed in 3_010..3_013 {
        let mut world = cluster_with_spare_room(seed, &TEAM_LIMITS);
        world.task_run_time = 8 * S..12 * S;
        let low = |owner, nth| JobParams {
            owner,
            nth,
            shape: Shape::Array,
            priority: Priority::Low,
            tasks: 1,
            cpus: 3.0,
            gpus: 0.0,
        };
        for nth in 0..8 {
            submit_job(&mut world, "red", low(nth % 3, nth));
        }
        run_for(&mut world, Micros::from_secs(4));
        let gang = JobParams { shape: Shape::Gang, tasks: 4, cpus: 6.0, ..low(0, 300) };
        let gang = submit_job(&mut world, "red", gang);
        let end = world.now + Micros::from_secs(240);
        let mut nth = 8;
        while world.now < end && present_task_count(&world, &gang) < 4 {
            submit_job(&mut world, "red", low(nth % 3, nth));
            nth += 1;
            run_for(&mut world, Micros::from_millis(400));
        }
        assert_eq!(present_task_count(&world, &gang), 4, "seed {seed}: {}", world.describe_job(&gang));
    }
}

/// Guards against promising all of a team's processors twice, once to its plain jobs and once to its jobs with
/// accelerators.
///
/// Pair 171000: a gang had a volume of four tasks of five processors and waited with `reason="quota_processors"` for
/// 133 s, because accelerator tasks ran on the processors promised to it; at the same time a job of three processors
/// was denied what was promised to the gang.
#[test]
fn volumes_of_plain_and_accelerated_jobs_together_stay_within_the_team_limit() {
    let mut world = cluster_with_spare_room(3_020, &[("red", 24.0, 8.0), ("green", 0.0, 0.0)]);
    for _ in 0..4 {
        world.add_machine("g8", "east", false);
    }
    run_for(&mut world, Micros::from_secs(18));
    let job = |owner, gpus| JobParams {
        owner,
        nth: 0,
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks: 40,
        cpus: 3.0,
        gpus,
    };
    submit_job(&mut world, "red", job(1, 0.0));
    submit_job(&mut world, "red", job(2, 1.0));
    run_for(&mut world, Micros::from_secs(15));
    let leader = world.controllers[world.leader().unwrap()].as_ref().unwrap();
    let (volumes, _) = leader.plan_volumes();
    let promised: u64 =
        volumes.iter().map(|v| u64::from(v.tasks) * leader.jobs[&v.job].spec.need().cpu).sum();
    assert_eq!(volumes.len(), 2);
    assert!((21_000..=24_000).contains(&promised), "{promised} of 24000 promised: {volumes:?}");
}

/// Delays the writes that record completed tasks.
fn delay_progress_writes(t: &Transaction) -> Option<CommitFault> {
    let records_progress =
        |w: &Write| matches!(w, Write::Put { key, .. } if key.starts_with(records::COMPLETIONS_PREFIX));
    t.writes.iter().any(records_progress).then_some(CommitFault::Delayed(Micros::from_secs(12)))
}

/// Guards against counting ended tasks against their team's limit until their completion is recorded.
///
/// Such a task stays listed on its machine but uses nothing. Pair 388000: a controller counted 35 processors while its
/// tasks used 27, and its jobs waited for their limit. In this test the records are 12 s late; with tasks of about 4 s
/// only 0.17 of the limit was in use.
#[test]
fn ended_tasks_with_unrecorded_completions_do_not_count_against_the_limit() {
    let mut world = cluster_with_spare_room(3_030, &TEAM_LIMITS);
    world.task_run_time = 3 * S..5 * S;
    let job = |owner| JobParams {
        owner,
        nth: 0,
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks: 400,
        cpus: 2.0,
        gpus: 0.0,
    };
    submit_job(&mut world, "red", job(1));
    submit_job(&mut world, "red", job(2));
    run_for(&mut world, Micros::from_secs(20));
    world.commit_fault = Some(delay_progress_writes);
    let (mut used, samples) = (0, 300);
    for _ in 0..samples {
        run_for(&mut world, Micros::from_millis(200));
        used += world.running_usage()[0].0;
    }
    let used_fraction = used as f64 / samples as f64 / 24_000.0;
    assert!(used_fraction > 0.6, "only {used_fraction:.2} of the limit was in use");
}

/// Guards against a job without accelerators waiting beside an idle accelerator machine when no other machine exists or
/// can be rented.
///
/// Such jobs were kept off accelerator machines on which no accelerator was in use. Pair 655000: `reason="no_machine"`
/// beside an idle machine with accelerators.
#[test]
fn a_plain_job_takes_an_idle_accelerator_machine_where_there_is_no_other() {
    for seed in 3_040..3_043 {
        let mut world =
            World::with_size(seed, FaultProfile::default(), ClusterSize { controllers: 3, machines: 3 });
        world.tuning.idle_return_s = 900.0;
        for _ in 0..3 {
            world.add_machine("g8", "east", false);
        }
        world.cloud_capacity = 0;
        world.run(Micros::from_secs(12));
        let accelerated = JobParams {
            owner: 1,
            nth: 0,
            shape: Shape::Array,
            priority: Priority::Normal,
            tasks: 40,
            cpus: 5.0,
            gpus: 2.0,
        };
        // The limit of team red allows one of these tasks at a time.
        submit_job(&mut world, "red", accelerated);
        run_for(&mut world, Micros::from_secs(8));
        let plain = JobParams {
            owner: 2,
            nth: 0,
            shape: Shape::Array,
            priority: Priority::Normal,
            tasks: 4,
            cpus: 14.0,
            gpus: 0.0,
        };
        let plain = submit_job(&mut world, "green", plain);
        let begun = |w: &World| w.jobs[&plain].last_task_start > Micros::ZERO;
        assert!(run_until(&mut world, MAX_WAIT, begun), "seed {seed}: {}", world.describe_job(&plain));
    }
}

/// Runs pairs of faults in which a job was neglected, beside those of
/// `no_job_is_neglected_in_calm_after_two_kinds_of_fault`.
///
/// Of 1,190 runs with the neglect check, 12 failed; seven of these are here, each with the job's reason `not_admitted`.
/// The last three seeds were found once these were fixed: a plain job was kept off accelerator machines (655000); the
/// check reported a gang that was not neglected (634001); a job with a volume had `reason="no_machine"` for 74 s beside
/// its owner's idle machine, which was held for a job of a higher rank that waited for its team's limit (148002).
#[test]
fn pairs_of_faults_that_led_to_neglected_jobs_pass() {
    let seeds = [400_000, 143_000, 191_000, 653_000, 206_000, 598_001, 670_000, 655_000, 634_001, 148_002];
    super::fault_pairs::run_pair_seeds(&seeds);
}

/// Guards against a bound on the number of jobs that are backfilled at a time.
///
/// A former bound of 64 (`MOST_BACKFILLED`) was reached on selatferi's limit day in the first round of each cycle
/// (`cap=155`), and all other jobs waited although machines with enough free capacity were there. In this test 99 jobs
/// of one processor wait for their team's limit, which is then lifted, with 14 machines that have more than enough
/// capacity.
#[test]
fn all_waiting_jobs_that_fit_are_backfilled_however_many_there_are() {
    let mut world = cluster_with_spare_room(3_050, &[("red", 1.0, 0.0), ("green", 0.0, 0.0)]);
    for nth in 0..100 {
        let (shape, priority) = (Shape::Array, Priority::Normal);
        submit_job(
            &mut world,
            "red",
            JobParams { owner: nth % 3, nth, shape, priority, tasks: 1, cpus: 1.0, gpus: 0.0 },
        );
    }
    run_for(&mut world, Micros::from_secs(60));
    let leader = world.leader().unwrap();
    let leader = world.controllers[leader].as_mut().unwrap();
    leader.settings.params.teams.iter_mut().for_each(|team| team.cpus_max = 0.0);
    let waiting = leader.jobs.values().filter(|j| j.placed() == 0).count();
    let mut volumes = Vec::new();
    leader.backfill(&mut volumes);
    assert_eq!((waiting, volumes.len()), (99, 99));
}

/// Guards against gangs not being backfilled while 64 jobs of another team are, although the gang's own team is under
/// its limit and the machines have enough free capacity.
///
/// Found in `maapoue-limits` at a team limit in full use: a gang had the reason `crowded` for 70 s without any fault.
#[test]
fn a_gang_that_fits_is_backfilled_however_many_jobs_of_another_team_are() {
    let mut world = cluster_with_spare_room(3_080, &[("red", 1.0, 0.0), ("green", 8.0, 0.0)]);
    let job = |nth, shape, tasks, cpus| JobParams {
        owner: nth % 3,
        nth,
        shape,
        priority: Priority::Normal,
        tasks,
        cpus,
        gpus: 0.0,
    };
    world.task_run_time = 500 * S..600 * S;
    submit_job(&mut world, "green", job(200, Shape::Array, 200, 8.0));
    for nth in 0..100 {
        submit_job(&mut world, "red", job(nth, Shape::Array, 1, 1.0));
    }
    run_for(&mut world, Micros::from_secs(20));
    let gang = submit_job(&mut world, "green", job(201, Shape::Gang, 4, 2.0));
    run_for(&mut world, Micros::from_secs(60));
    let leader = world.leader().unwrap();
    let leader = world.controllers[leader].as_mut().unwrap();
    leader.settings.params.teams.iter_mut().for_each(|team| team.cpus_max = 0.0);
    let mut volumes = Vec::new();
    leader.backfill(&mut volumes);
    assert!(volumes.len() > 64 && volumes.iter().any(|v| v.job == gang), "{} backfilled", volumes.len());
}

/// Guards against the delays of backfilling adding up to more than `MAX_WAIT`: the time until a job may be backfilled,
/// the time for which capacity is held for a gang, the timeout of a backfill that starts nothing, and the delay before
/// the next try.
#[test]
fn backfill_delays_add_up_to_less_than_the_max_wait() {
    use crate::coordination::backfill::{
        BACKFILL_AFTER, BACKFILL_RETRY_DELAY, BACKFILL_TIMEOUT, GANG_HOLD_TIME,
    };
    let longest = BACKFILL_AFTER + GANG_HOLD_TIME + BACKFILL_TIMEOUT + BACKFILL_RETRY_DELAY;
    assert!(longest < MAX_WAIT, "{longest:?}");
}

/// Guards against starvation of jobs with no running task at a team limit in full use.
///
/// The running jobs took each slot that became free. On the operators' day of limits, arrays with no running task
/// waited for 90 s and more with `not_admitted`, while a twentieth of the limit was unused between two tasks or by
/// tasks that fetched their images.
#[test]
fn at_a_full_team_limit_an_overdue_job_gets_the_next_free_slot() {
    for seed in 3_060..3_063 {
        let mut world = cluster_with_spare_room(seed, &TEAM_LIMITS);
        world.task_run_time = 55 * S..65 * S;
        let array = |owner, nth| JobParams {
            owner,
            nth,
            shape: Shape::Array,
            priority: Priority::Normal,
            tasks: 200,
            cpus: 2.0,
            gpus: 0.0,
        };
        let first = submit_job(&mut world, "red", array(0, 0));
        run_for(&mut world, Micros::from_secs(8));
        let others: Vec<String> =
            (1..9).map(|nth| submit_job(&mut world, "red", array(nth % 3, nth))).collect();
        let all_begun = |w: &World| others.iter().all(|id| w.jobs[id].last_task_start > Micros::ZERO);
        let in_time = run_until(&mut world, MAX_WAIT, all_begun);
        let begun = others.iter().filter(|id| world.jobs[*id].last_task_start > Micros::ZERO).count();
        assert!(in_time, "seed {seed}: {begun} of 8 begun; {}", world.describe_job(&first));
        assert!(world.running_usage()[0].0 <= 24_000);
    }
}

/// Guards against an endless cycle of renting and returning machines for a gang.
///
/// The gang needs more machines than can boot within the idle return time: the machines that were up first were
/// returned as idle while the last ones booted, and others were rented in their place. Found where the last job of a
/// large cluster was a gang of 16: for 230 s nine machines were up at all times, and 16 were booting.
#[test]
fn idle_machines_of_a_gang_are_not_returned_while_the_others_boot() {
    for seed in 3_070..3_073 {
        let mut world =
            World::with_size(seed, FaultProfile::default(), ClusterSize { controllers: 3, machines: 60 });
        world.run(Micros::from_secs(12));
        let gang = JobParams {
            owner: 1,
            nth: 0,
            shape: Shape::Gang,
            priority: Priority::Low,
            tasks: 24,
            cpus: 15.0,
            gpus: 0.0,
        };
        let gang = submit_job(&mut world, "green", gang);
        let begun = |w: &World| present_task_count(w, &gang) == 24;
        assert!(run_until(&mut world, MAX_WAIT, begun), "seed {seed}: {}", world.describe_job(&gang));
    }
}

/// Guards against a gang spread over two zones that never starts beside idle machines: the leader moved some to its owner,
/// and balanced others away from it in the same rounds.
#[test]
fn idle_machines_that_a_spread_gang_needs_are_not_balanced_away() {
    let mut late = Vec::new();
    for seed in 3_100..3_110 {
        let mut world = World::new(seed, FaultProfile::default());
        world.cloud_capacity = 10;
        for n in 0..10 {
            world.add_machine("c16", if n % 2 == 0 { "east" } else { "west" }, false);
        }
        world.run(Micros::from_secs(5));
        let n = job_numbers_of(seed as usize % 3).next().unwrap();
        let spec = array(&mut world, n, 23);
        let id = spec.id.clone();
        world.submit(JobSpec { shape: Shape::Gang, cpus: 5.0, spread: true, spot: false, ..spec });
        let submitted = world.now;
        world.run(submitted + MAX_WAIT);
        let begun = world.jobs[&id].last_task_start;
        if begun < submitted {
            late.push(seed);
        }
    }
    assert!(late.is_empty(), "the gang has not begun after 90 s: {late:?}");
}
