//! Cost of admission control in a large deployment: processor time of one division of a pool, of one submission and of
//! one rate plan, and the encoded size of a plan and of a load report. The load is simulated, the times are measured:
//!
//!     cargo run --release -p marblewalk-admission --example cost

use std::time::Instant;

use marblewalk_admission::pool::{self, Entitlement, JobRequest};
use marblewalk_admission::rate_plan::{LoadReport, Planner, Rates};
use marblewalk_admission::submission_limiter::{Capacity, SubmissionLimiter};
use marblewalk_units::Micros;

const CONTROLLERS: usize = 7;
const JOBS: u64 = 5_000;
const CLASSES: u64 = 1_000;

/// Microseconds per call, averaged over many calls.
fn per_call(times: u32, mut call: impl FnMut()) -> f64 {
    let start = Instant::now();
    (0..times).for_each(|_| call());
    start.elapsed().as_secs_f64() * 1e6 / f64::from(times)
}

fn main() {
    let names: Vec<String> = (0..CLASSES).map(|n| format!("class-{n}")).collect();
    for classes in [2, CLASSES] {
        let jobs: Vec<JobRequest> = (0..JOBS)
            .map(|n| JobRequest {
                team: if n % 2 == 0 { "red" } else { "blue" },
                class: &names[(n % classes) as usize],
                rank: 1 + (n % 7 == 0) as u8,
                arrival: n,
                unfinished_tasks: 1 + (n * 7_919 % 60) as u32,
                total_tasks: 1 + (n * 7_919 % 60) as u32,
                gang: n % 11 == 0,
                running: n % 5 == 0,
                started_tasks: u32::from(n % 5 == 0),
                quota_size: 1.0,
                task_size: 1_000.0,
                usable_supply: 8_000e3,
                estimated_task_s: 20.0 + (n * 31 % 90) as f64,
                due_s: pool::nearest_reachable_deadline(
                    [(n % 300) as f64, (n % 600) as f64].into_iter(),
                    20.0,
                ),
                missed_starts: (n % 3) as u8,
            })
            .collect();
        let took = per_call(50, || {
            std::hint::black_box(pool::divide(&jobs, 10_000e3, |_| Entitlement::default()));
        });
        println!("{JOBS} jobs of {classes} classes: a division takes {took:.0} us");
    }
    let full = Capacity { submissions_per_s: 5.0, queue_delay: Micros::from_secs(1) };
    let mut limiter = SubmissionLimiter::default();
    let mut id = 0u64;
    let took = per_call(20_000, || {
        id += 1;
        let class = &names[(id % CLASSES) as usize];
        limiter.decide(Micros::from_millis(id), &format!("j-{id:06}"), "red", class, full);
    });
    println!("{CLASSES} classes, all deferred: a submission takes {took:.1} us");
    let now = Micros::from_millis(id);
    let mut planner = Planner::new(Micros::ZERO, 1, Rates { writes: 14_000, calls: 71_000 });
    let members: Vec<(String, u64)> = (0..CONTROLLERS).map(|n| (format!("quarry-{n}"), 1)).collect();
    let report = LoadReport {
        registration: 1,
        clock: now,
        offered_rates: limiter.flows.offered_rates(now),
        retry_slots: limiter.take_unsent_slots(now),
        ..Default::default()
    };
    let took = per_call(200, || {
        members.iter().for_each(|(m, _)| planner.record_report(now, m, report.clone()));
        std::hint::black_box(planner.next_plan(now, &members, 30.0));
    });
    let plan = planner.next_plan(now, &members, 30.0);
    println!("a plan for {CONTROLLERS} controllers takes {took:.0} us");
    println!(
        "bytes: a plan {}, a load report {}",
        bitcode::encode(&plan).len(),
        bitcode::encode(&report).len()
    );
}
