//! Tests of the division of a pool.

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::*;

const NAMES: [&str; 3] = ["red", "green", "blue"];

fn job(
    team: &'static str,
    class: &'static str,
    rank: u8,
    arrival: u64,
    unfinished_tasks: u32,
) -> JobRequest<'static> {
    JobRequest {
        team,
        class,
        rank,
        arrival,
        unfinished_tasks,
        total_tasks: unfinished_tasks,
        gang: false,
        running: false,
        started_tasks: 0,
        task_size: 1.0,
        quota_size: 1.0,
        usable_supply: f64::INFINITY,
        estimated_task_s: 10.0,
        due_s: Some(100.0),
        missed_starts: 0,
    }
}

/// Random pools: no more than the supply is divided, guarantees are kept, no flow is left at zero, and a flow's share
/// is spent on its jobs.
#[test]
fn shares_respect_entitlements_and_are_spent() {
    for seed in 0..400 {
        let mut rng = StdRng::seed_from_u64(seed);
        let n = rng.random_range(1..60);
        let jobs: Vec<JobRequest> = (0..n)
            .map(|i| {
                let (team, class) = (NAMES[rng.random_range(0..3)], NAMES[rng.random_range(0..3)]);
                let one = job(team, class, rng.random_range(0..3), i, rng.random_range(1..30));
                let running = rng.random_bool(0.2);
                let started_tasks = if running || rng.random_bool(0.2) { rng.random_range(1..4) } else { 0 };
                JobRequest {
                    gang: class == "blue",
                    running,
                    started_tasks,
                    due_s: nearest_reachable_deadline([rng.random_range(0.0..300.0)].into_iter(), 10.0),
                    ..one
                }
            })
            .collect();
        let supply = rng.random_range(20.0..600.0);
        let entitled = |team: &str| match team {
            "red" => Entitlement { guarantee: 15.0, limit: 0.0 },
            "green" => Entitlement { guarantee: 0.0, limit: 100.0 },
            _ => Entitlement::default(),
        };
        let (admissions, flows) = divide(&jobs, supply, entitled);
        let total: f64 = flows.iter().map(|f| f.share).sum();
        assert!(total <= supply + 1e-6, "seed {seed}: {total} of {supply}");
        let of = |team: &str| {
            let own = flows.iter().filter(|f| f.team == team);
            own.fold((0.0, 0.0), |(d, s), f| (d + f.demand, s + f.share))
        };
        assert!(of("red").1 >= of("red").0.min(15.0) - 1e-6, "seed {seed}: the guarantee");
        assert!(of("green").1 <= 100.0 + 1e-6, "seed {seed}: the limit");
        let least = supply * LOWER_RANKS_FRACTION / flows.len() as f64;
        for f in &flows {
            let own: Vec<usize> = (0..jobs.len())
                .filter(|i| {
                    let job = &jobs[*i];
                    job.team == f.team && job.class == f.class && job.rank == f.rank
                })
                .collect();
            let allocated = |i: &usize| match admissions[*i] {
                JobAdmission::Admitted { max_tasks, turn: Turn::Usual | Turn::Nth(_) | Turn::First } => {
                    f64::from(max_tasks)
                }
                _ => 0.0,
            };
            let spent: f64 = own.iter().map(allocated).sum();
            let largest = own.iter().map(|i| jobs[*i].demand()).fold(0.0, f64::max);
            let held: f64 =
                own.iter().filter(|i| jobs[**i].gang && jobs[**i].running).map(|i| jobs[*i].demand()).sum();
            let due = f.share.min(f.demand);
            assert!(spent >= due.floor() - 1.0, "seed {seed}: {spent} spent of {f:?}");
            assert!(spent <= due.max(held) + largest + 1e-6, "seed {seed}: {spent} spent of {f:?}");
            let limited = f.team == "green";
            assert!(limited || f.share >= f.demand.min(least) - 1e-6, "seed {seed}: {f:?} of {supply}");
        }
        for (job, v) in jobs.iter().zip(&admissions).filter(|(job, _)| job.running) {
            let JobAdmission::Admitted { max_tasks, .. } = v else {
                panic!("seed {seed}: {job:?} lost its minimum")
            };
            assert!(*max_tasks >= job.min_tasks(), "seed {seed}");
        }
    }
}

/// Guards against a share of machines that the flow's jobs can't run on: under sixteen times the usual number of urgent
/// gangs, which need large machines, arrays that run on small machines got only the minimum while machines were idle.
#[test]
fn unusable_supply_goes_to_other_flows() {
    let urgent = (0..50).map(|n| JobRequest { usable_supply: 30.0, ..job("red", "rush", 2, n, 10) });
    let plain = (50..60).map(|n| job("red", "any", 1, n, 10));
    let jobs: Vec<JobRequest> = urgent.chain(plain).collect();
    let (_, flows) = divide(&jobs, 100.0, |_| Entitlement::default());
    let share = |class: &str| flows.iter().find(|f| f.class == class).map(|f| f.share);
    assert_eq!((share("rush"), share("any")), (Some(30.0), Some(70.0)));
}

/// Guards jobs against starvation when many arrive at once: each starts its first task within a bound that follows from
/// the jobs before it and from the fraction kept for first tasks, and nearly as many jobs finish as if the smallest
/// always went first.
#[test]
fn when_many_jobs_arrive_each_starts_a_first_task_soon_and_most_finish() {
    let (supply, task_s) = (160.0, 40u64);
    let mut jobs: Vec<JobRequest> = Vec::new();
    let mut running: Vec<(u64, u64)> = Vec::new();
    let mut waits: BTreeMap<u64, u64> = BTreeMap::new();
    let (mut arrivals, mut done, mut sizes) = (0, 0, Vec::new());
    for second in 0..800u64 {
        if second < 200 {
            arrivals += 1;
            sizes.push(10 + (arrivals * 7 % 31) as u32);
            let one = job("red", "any", 1, arrivals, 10 + (arrivals * 7 % 31) as u32);
            jobs.push(JobRequest { estimated_task_s: task_s as f64, due_s: None, ..one });
        }
        for (arrival, _) in running.extract_if(.., |(_, end)| *end <= second) {
            if let Some(job) = jobs.iter_mut().find(|job| job.arrival == arrival) {
                job.unfinished_tasks -= 1;
            }
        }
        done += jobs.extract_if(.., |job| job.unfinished_tasks == 0).count();
        for job in &mut jobs {
            job.running = running.iter().any(|(arrival, _)| *arrival == job.arrival);
        }
        let (admissions, _) = divide(&jobs, supply, |_| Entitlement::default());
        let mut turns: Vec<(Turn, usize, u32)> = Vec::new();
        for (i, v) in admissions.iter().enumerate() {
            if let JobAdmission::Admitted { max_tasks, turn } = v {
                turns.push((*turn, i, *max_tasks));
            }
        }
        turns.sort_by_key(|(turn, i, _)| (*turn, *i));
        for (turn, i, max_tasks) in turns {
            let job = &mut jobs[i];
            let running_tasks = running.iter().filter(|(arrival, _)| *arrival == job.arrival).count() as u32;
            let to_start = if turn == Turn::First && job.started_tasks > 0 {
                0
            } else {
                max_tasks.saturating_sub(running_tasks)
            };
            for _ in 0..to_start
                .min(job.unfinished_tasks - running_tasks)
                .min((supply as usize - running.len()) as u32)
            {
                running.push((job.arrival, second + task_s));
                job.started_tasks += 1;
                waits.entry(job.arrival).or_insert(second + 1 - job.arrival);
            }
        }
    }
    assert_eq!(waits.len(), 200, "jobs without a first task");
    // Ten slots of 40 s each for 200 first tasks.
    let longest = waits.values().max();
    assert!(longest.is_some_and(|s| *s <= 800), "waited {longest:?} s");
    sizes.sort_unstable();
    let mut work = supply * 800.0 / task_s as f64;
    let best = sizes.iter().take_while(|tasks| {
        work -= f64::from(**tasks);
        work >= 0.0
    });
    let best = best.count();
    assert!(best < 160 && done * 10 >= best * 8, "{done} done of {best} that could be");
}

/// Simulates a pool of 32 slots and returns after how many seconds the job `one` ends beside an endless stream of other
/// jobs; none if it does not end.
fn seconds_beside_stream(
    mut one: JobRequest<'static>,
    stream: fn(u64) -> JobRequest<'static>,
) -> Option<u64> {
    let mut jobs: Vec<JobRequest> = (1..40).map(stream).collect();
    one.arrival = 40;
    jobs.push(one);
    let mut work: BTreeMap<u64, f64> = BTreeMap::new();
    for second in 0..4_000u64 {
        jobs.extend((0..2).map(|k| stream(100 + second * 2 + k)));
        let (admissions, _) = divide(&jobs, 32.0, |_| Entitlement::default());
        // Slots go to jobs in order of their turn. A gang that does not fit is skipped.
        let mut turns: Vec<(Turn, usize, u32)> = Vec::new();
        for (i, v) in admissions.iter().enumerate() {
            if let JobAdmission::Admitted { max_tasks, turn } = v {
                turns.push((*turn, i, *max_tasks));
            }
        }
        turns.sort_by_key(|(turn, i, _)| (*turn, *i));
        let mut free_slots = 32.0;
        for (_, i, max_tasks) in turns {
            let job = &mut jobs[i];
            let max_tasks = f64::from(max_tasks);
            if free_slots >= if job.gang { max_tasks } else { 1.0 } {
                let used = max_tasks.min(free_slots);
                (free_slots, job.running) = (free_slots - used, true);
                *work.entry(job.arrival).or_default() += used / job.estimated_task_s;
            }
        }
        jobs.retain_mut(|job| {
            let done = work.get_mut(&job.arrival);
            if let Some(done) =
                done.filter(|d| **d >= if job.gang { f64::from(job.unfinished_tasks) } else { 1.0 })
            {
                job.unfinished_tasks -= (done.floor() as u32).min(job.unfinished_tasks);
                *done -= done.floor();
            }
            job.due_s =
                nearest_reachable_deadline(job.due_s.map(|due| due - 1.0).into_iter(), job.estimated_task_s);
            job.unfinished_tasks > 0
        });
        if jobs.iter().all(|job| job.arrival != 40) {
            return Some(second);
        }
    }
    None
}

/// Guards large jobs and gangs against starvation by an endless stream of small jobs, and lower ranks against urgent
/// work: each wait has a bound that follows from the share.
#[test]
fn no_stream_of_jobs_starves_another_job() {
    let small = |n| job("red", "any", 1, n, 4);
    let urgent = |n| job("red", "rush", 2, n, 40);
    // By arrival on 2 of 32 slots: 800 s for 40 earlier jobs of 4 tasks, then 1500 s for its own 300 tasks.
    let large = seconds_beside_stream(job("red", "any", 1, 0, 300), small);
    assert!(large.is_some_and(|s| s <= 2_400), "the large array took {large:?} s");
    let gang = seconds_beside_stream(JobRequest { gang: true, ..job("red", "any", 1, 0, 16) }, small);
    assert!(gang.is_some_and(|s| s <= 1_000), "the gang took {gang:?} s");
    let lower = seconds_beside_stream(job("red", "any", 0, 0, 10), urgent);
    assert!(lower.is_some_and(|s| s <= 100), "the lower rank took {lower:?} s");
    let other = seconds_beside_stream(job("red", "other", 2, 0, 40), urgent);
    assert!(other.is_some_and(|s| s <= 60), "the other class took {other:?} s");
}

/// Guards a team against being held below its limit: capacity that its tasks make unusable on their machines counted
/// against the limit, and of four tasks with one accelerator each, under a limit of four, only three were admitted.
#[test]
fn a_teams_limit_does_not_count_capacity_that_its_tasks_make_unusable() {
    for wide in 0..=4 {
        let jobs: Vec<JobRequest> = (0..4)
            .map(|n| {
                let class = if n % 2 == 0 { "any" } else { "other" };
                let task_size = if n < wide { 4.0 / 3.0 } else { 1.0 };
                JobRequest { task_size, ..job("red", class, 1, n, 1) }
            })
            .collect();
        let limited = |limit| divide(&jobs, 40.0, |_| Entitlement { guarantee: 0.0, limit }).0;
        let admitted = |admissions: Vec<JobAdmission>| {
            admissions.iter().filter(|v| **v != JobAdmission::Waiting).count()
        };
        assert_eq!(admitted(limited(4.0)), 4, "{wide} of four are wide");
        assert!(admitted(limited(2.0)) < 4, "{wide} of four are wide");
    }
}
