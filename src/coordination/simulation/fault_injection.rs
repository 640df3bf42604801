//! Fault injection: which faults a random run may inject, how they are drawn, and runs of a few minutes under them.

use super::outages::DEPLOYMENT_TIMINGS;
use super::*;

/// Which faults a run may inject. A number is the fault's expected rate per second unless its comment says otherwise.
#[derive(Clone, Copy, Default)]
pub(super) struct FaultProfile {
    /// No fault: a run fails if a job is neglected in a calm period.
    #[expect(dead_code, reason = "every run is checked for neglect; older tests still set the flag")]
    pub(super) checks_neglect: bool,
    /// One controller, or all of them, crash and are restarted.
    pub(super) crash: f64,
    pub(super) crash_all: f64,
    /// A machine dies, is disconnected for 1 to 50 s, or hangs for as long.
    pub(super) machine_dies: f64,
    pub(super) machine_cut: f64,
    pub(super) machine_hangs: f64,
    /// A machine becomes faulty: every task that runs on it fails.
    pub(super) faulty: f64,
    /// A spot machine gets a preemption notice, or dies if it has one already.
    pub(super) spot_preempted: f64,
    /// The store is down for all controllers, or refuses one controller only.
    pub(super) store_outage: f64,
    pub(super) store_refuses_one: f64,
    pub(super) cloud_outage: f64,
    /// Two controllers are partitioned from each other.
    pub(super) peers_partitioned: f64,
    /// Probability per message: it is lost; and that a lost report or transaction arrives up to a minute later after
    /// all.
    pub(super) lost: f64,
    pub(super) late: f64,
    /// A controller's process is paused while its clock runs on.
    pub(super) process_pause: f64,
    /// A controller loses the store and the other controllers, not its workers.
    pub(super) isolated: f64,
    /// A machine's reports arrive, but answers and orders do not reach it.
    pub(super) not_receiving: f64,
    /// A machine reboots within a fraction of a second, with a new session and no tasks.
    pub(super) reboots: f64,
    /// Probability per report: a copy of it arrives late at a random controller, in whichever incarnation that is.
    pub(super) duplicate_reports: f64,
    /// Probability per request: a user repeats a request that was carried out.
    pub(super) repeated_requests: f64,
    /// Probability per job: it is broken and fails wherever it runs.
    pub(super) broken_jobs: f64,
    /// The store answers slowly.
    pub(super) store_slow: f64,
    /// The store refuses the leader alone, and then all controllers, for longer than a withdrawal may take.
    pub(super) refusal_then_outage: f64,
    /// Probability per transaction: it gets no answer and is committed 2 to 12 s later.
    pub(super) late_writes: f64,
    /// Probability per job: it is withdrawn.
    pub(super) withdrawn: f64,
    /// Probability per call: orders to a worker's address arrive seconds later, and the call gets no answer.
    pub(super) delayed_orders: f64,
    /// Probability per transaction: it is committed, but its answer is lost.
    pub(super) answers_lost: f64,
    /// Probability per report: a copy of it is kept and delivered when the next leader appears.
    pub(super) retained_reports: f64,
    /// A machine's reports reach no controller; direct orders reach it and are answered.
    pub(super) blocked_reports: f64,
    /// The leader crashes every 12 s.
    pub(super) leader_crashes: bool,
    /// Users withdraw some of the running jobs within 0.2 s, and in half of the cases their machines hang.
    pub(super) withdraw_running: f64,
    /// Probability per job: it is withdrawn at the moment at which its last task ends.
    pub(super) withdraw_at_end: f64,
    /// Machines boot within two seconds; every message takes 50 to 400 ms longer.
    pub(super) quick_boots: bool,
    pub(super) slow_links: bool,
    /// A zone's workers and controllers reach only each other; all controllers are down. Each lasts longer than the
    /// workers' lease.
    pub(super) zone_cut: f64,
    pub(super) all_controllers_down: f64,
    /// Users send invalid requests.
    pub(super) invalid_requests: f64,
    /// Probability each time that a user first learns that a job is accepted, done or withdrawn: the user then queries
    /// every controller.
    pub(super) request_bursts: f64,
    /// Probability per call: orders that a worker has carried out and answered arrive there once more.
    pub(super) repeated_orders: f64,
    /// The store refuses all controllers until their leases have ended, and serves them again one by one; users
    /// withdraw jobs at the first one that is served. The workers' leases are those of one of the deployments.
    pub(super) refused_in_turn: f64,
}

impl World {
    /// Sets which faults may be injected from now on.
    pub(super) fn set_fault_profile(&mut self, profile: FaultProfile) {
        self.fault_profile = profile;
        self.boot_time = if profile.quick_boots { 200 * MS..2 * S } else { S..15 * S };
        self.extra_link_delay = if profile.slow_links { 50 * MS..400 * MS } else { 0..0 };
        self.report_retention = profile.retained_reports;
        self.withdraw_at_end_probability = profile.withdraw_at_end;
        self.request_burst_probability = profile.request_bursts;
    }

    /// Draws the faults that begin within the next `seconds`, at most one per kind.
    pub(super) fn inject_faults(&mut self, seconds: f64) {
        let profile = self.fault_profile;
        let probability = |rate: f64| rate * seconds;
        if self.chance(probability(profile.crash)) {
            let n = self.rng.random_range(0..self.settings.len());
            let was_up = self.controllers[n].is_some();
            self.crash(n);
            was_up.then(|| self.record_fault("crash"));
        }
        if self.chance(probability(profile.crash_all)) && self.record_fault("crash_all") {
            (0..self.settings.len()).for_each(|n| self.crash(n));
        }
        if self.chance(probability(profile.store_outage)) {
            let length = Micros(self.rng.random_range(S..20 * S));
            self.begin_fault(TimedFault::StoreDown, self.now + length);
        }
        if self.chance(probability(profile.store_refuses_one)) {
            let length = Micros(self.rng.random_range(5 * S..35 * S));
            let n = self.rng.random_range(0..self.settings.len());
            self.begin_fault(TimedFault::StoreRefuses(n), self.now + length);
        }
        if self.chance(probability(profile.store_slow)) {
            let length = Micros(self.rng.random_range(5 * S..40 * S));
            self.begin_fault(TimedFault::StoreSlow, self.now + length);
        }
        if self.chance(probability(profile.refusal_then_outage))
            && let Some(leader) = self.leader()
        {
            let refused = Micros(self.rng.random_range(S..15 * S));
            let outage = Micros(self.rng.random_range(20 * S..70 * S));
            self.record_fault("refusal_then_outage");
            self.begin_fault(TimedFault::StoreRefuses(leader), self.now + refused);
            let from = Micros(self.rng.random_range(0..refused.0));
            self.schedule_fault(self.now + from, TimedFault::StoreDown, outage);
        }
        if self.chance(probability(profile.refused_in_turn)) && self.record_fault("refused_in_turn") {
            self.refuse_in_turn();
        }
        if self.chance(probability(profile.process_pause)) {
            let length = Micros(self.rng.random_range(S..40 * S));
            let n = self.rng.random_range(0..self.settings.len());
            self.begin_fault(TimedFault::ControllerPaused(n), self.now + length);
        }
        if self.chance(probability(profile.isolated)) {
            let length = Micros(self.rng.random_range(S..45 * S));
            let n = self.rng.random_range(0..self.settings.len());
            self.begin_fault(TimedFault::Isolated(n), self.now + length);
        }
        if self.chance(probability(profile.cloud_outage)) {
            self.cloud_down_until = self.now + Micros(self.rng.random_range(S..30 * S));
        }
        if self.chance(probability(profile.peers_partitioned)) {
            let a = self.rng.random_range(0..self.settings.len());
            let until = self.now + Micros(self.rng.random_range(S..30 * S));
            self.begin_fault(TimedFault::Partitioned(a, (a + 1) % self.settings.len()), until);
        }
        if profile.leader_crashes
            && self.now >= self.next_leader_crash
            && self.now < self.fault_free_from
            && let Some(leader) = self.leader()
        {
            self.next_leader_crash = self.now + Micros::from_secs(12);
            self.crash(leader);
            self.record_fault("leader_crashes");
        }
        if self.chance(probability(profile.withdraw_running)) {
            let count = self.rng.random_range(2..8);
            let hang = if self.rng.random_bool(0.5) { self.rng.random_range(S..40 * S) } else { 0 };
            if self.withdraw_running_jobs(count, Micros(hang)) > 0 {
                self.record_fault("withdraw_running");
            }
        }
        if self.chance(probability(profile.invalid_requests)) {
            self.send_invalid_request();
        }
        let lease = self.worker_lease().0;
        if self.chance(probability(profile.zone_cut)) {
            let length = Micros(self.rng.random_range(lease + S..lease * 3));
            let zone = ["east", "west"][self.rng.random_range(0..2)];
            self.begin_fault(TimedFault::ZonePartitioned(zone), self.now + length);
        }
        if self.chance(probability(profile.all_controllers_down)) && self.record_fault("all_controllers_down")
        {
            let length = Micros(self.rng.random_range(lease + S..lease * 3));
            self.stop_all_controllers(length);
        }
        let names: Vec<String> =
            self.workers.iter().filter(|(_, w)| !w.dead).map(|(n, _)| n.clone()).collect();
        if names.is_empty() {
            return;
        }
        let name = names[self.rng.random_range(0..names.len())].clone();
        let (now, length) = (self.now, Micros(self.rng.random_range(S..50 * S)));
        let (not_receiving, reboots, blocked_reports) = (
            self.chance(probability(profile.not_receiving)),
            self.chance(probability(profile.reboots)),
            self.chance(probability(profile.blocked_reports)),
        );
        let (dies, cut, hangs, faulty, preempted) = (
            self.chance(probability(profile.machine_dies)),
            self.chance(probability(profile.machine_cut)),
            self.chance(probability(profile.machine_hangs)),
            self.chance(probability(profile.faulty)),
            self.chance(probability(profile.spot_preempted)),
        );
        let Some(w) = self.workers.get_mut(&name) else { return };
        let preempted = preempted && w.spot;
        w.dead |= dies;
        w.faulty |= faulty;
        if not_receiving {
            w.not_receiving_until = now + length;
        }
        if blocked_reports {
            w.reports_blocked_until = now + length;
        }
        if reboots {
            w.reboot(now);
        }
        if cut {
            w.partitioned_until = now + length;
        }
        if hangs {
            w.hung_until = now + length;
        }
        if preempted {
            match w.preempted_at {
                None => w.preempted_at = Some(now + Micros::from_secs(12)),
                Some(_) => w.dead = true,
            }
        }
        for (drawn, fault) in [(dies, "machine_dies"), (preempted, "spot_preempted"), (reboots, "reboots")] {
            drawn.then(|| self.record_fault(fault));
        }
    }

    /// The first controller that takes itself for the leader.
    pub(super) fn leader(&self) -> Option<usize> {
        (0..self.settings.len()).find(|n| self.controllers[*n].as_ref().is_some_and(Controller::leading))
    }

    /// Describes what each controller knows of a job, for the message of a failed run.
    pub(super) fn describe_job(&self, id: &str) -> String {
        let mut text = String::new();
        for c in self.controllers.iter().flatten() {
            let job = c.jobs.get(id).map(|j| {
                (
                    &j.owner,
                    j.takeover_pending,
                    j.volume,
                    &j.placements,
                    j.completion_in_flight,
                    j.attempt,
                    c.awaits_retry(id),
                    j.turn,
                    j.done.len(),
                )
            });
            text += &format!(
                "{} {:?} unresolved {:?} job {job:?}\n",
                c.own_name(),
                c.phase,
                c.unresolved_machines
            );
            text +=
                &format!("  view {:?} registrations {:?} leading {}\n", c.view, c.registrations, c.leading());
            for (name, m) in &c.machines {
                let tasks: Vec<_> = m.tasks.iter().map(|(i, t)| (i.text(), t.state, t.attempt)).collect();
                text += &format!("  {name} {:?} up {} resolved {} {tasks:?}\n", m.row, m.up, m.resolved);
            }
        }
        text
    }

    /// Draws how long a crashed controller stays down: half of them are restarted within a fraction of a second.
    fn random_downtime(&mut self) -> Micros {
        let quick = self.rng.random_bool(0.5);
        Micros(self.rng.random_range(if quick { 50 * MS..700 * MS } else { 700 * MS..7 * S }))
    }

    /// Crashes a controller, unless it is down already; it restarts after a random time.
    pub(super) fn crash(&mut self, n: usize) {
        if self.controllers[n].is_some() {
            let downtime = self.random_downtime();
            self.crash_for(n, downtime);
        }
    }

    /// Crashes a controller, unless it is down already; it restarts after the given time.
    pub(super) fn crash_for(&mut self, n: usize, downtime: Micros) {
        if self.controllers[n].take().is_some() {
            self.incarnations[n] += 1;
            self.schedule_at(self.now + downtime, SimEvent::Start(n));
        }
    }
}

/// Runs a random workload for a few minutes under the given faults. After a calm period at the end, every accepted job
/// must be done or withdrawn.
pub(super) fn run_random(seed: u64, profile: FaultProfile) -> World {
    let mut world = World::new(seed, profile);
    if profile.refused_in_turn > 0.0 {
        world.set_worker_timings(DEPLOYMENT_TIMINGS[seed as usize % DEPLOYMENT_TIMINGS.len()]);
    }
    world.run(Micros::from_secs(5));
    let mut endless = Vec::new();
    for n in 0..40u32 {
        let spec = world.random_job(n);
        let broken = profile.broken_jobs > 0.0 && world.rng.random_bool(profile.broken_jobs);
        if broken {
            world.broken_jobs.insert(spec.id.clone());
        }
        if broken || spec.shape == Shape::Service {
            endless.push(spec.id.clone());
        }
        world.submit(spec);
        let pause = world.rng.random_range(0..5 * S);
        let next = world.now + Micros(pause);
        world.run(next);
        if profile.withdrawn > 0.0 && n >= 3 && world.rng.random_bool(profile.withdrawn) {
            let id = format!("j-{:06}", n - 3);
            world.jobs.get_mut(&id).unwrap().wants_withdrawal = true;
        }
        if n % 9 == 8 {
            let id = format!("j-{:06}", n - 3);
            world.jobs.get_mut(&id).unwrap().wants_withdrawal = true;
        }
    }
    world.fault_free_from = world.now;
    for w in world.workers.values_mut() {
        w.faulty = false;
    }
    for id in endless {
        world.jobs.get_mut(&id).unwrap().wants_withdrawal = true;
    }
    let end = world.now + Micros::from_secs(700);
    world.run(end);
    for (id, wish) in &world.jobs {
        assert!(
            wish.rejected || wish.known_final.is_some(),
            "seed {seed}: {id} has not ended: {:?}, done {:?}\n{}",
            wish.spec,
            wish.completed_tasks,
            world.describe_job(id)
        );
    }
    assert!(world.tasks_started > 50, "seed {seed}: too few tasks were started");
    world.check_infeasible_jobs_rejected();
    world
}

/// The number by which a soak multiplies CI's number of seeds, from `MARBLEWALK_SOAK`; 1 without it.
pub(super) fn soak_factor() -> u64 {
    std::env::var("MARBLEWALK_SOAK").ok().and_then(|n| n.parse().ok()).unwrap_or(1).max(1)
}

/// The number of parallel runs in a soak: `RUST_TEST_THREADS`, or the number of processors.
fn parallel_runs() -> usize {
    let processors = || std::thread::available_parallelism().map_or(1, |n| n.get());
    std::env::var("RUST_TEST_THREADS").ok().and_then(|n| n.parse().ok()).unwrap_or_else(processors).max(1)
}

/// Runs the given seeds; in a soak, `soak_factor` times as many from the same start.
pub(super) fn run_seeds(seeds: std::ops::Range<u64>, profile: FaultProfile) {
    let count = (seeds.end - seeds.start) * soak_factor();
    run_each((seeds.start..seeds.start + count).map(|seed| (String::new(), seed, profile)).collect());
}

/// Runs each of (name, seed, profile), one after the other. In a soak the runs share all processors, and the failed
/// ones are listed at the end.
pub(super) fn run_each(runs: Vec<(String, u64, FaultProfile)>) {
    run_each_with(runs, |seed, profile| drop(run_random(seed, profile)));
}

/// As `run_each`, with the given function in place of `run_random`.
pub(super) fn run_each_with(runs: Vec<(String, u64, FaultProfile)>, run: fn(u64, FaultProfile)) {
    if soak_factor() <= 1 {
        return runs.into_iter().for_each(|(_, seed, profile)| run(seed, profile));
    }
    let next = std::sync::atomic::AtomicUsize::new(0);
    let failed = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|threads| {
        for _ in 0..parallel_runs() {
            threads.spawn(|| {
                while let Some((name, seed, profile)) =
                    runs.get(next.fetch_add(1, std::sync::atomic::Ordering::Relaxed))
                {
                    if let Err(panic) = std::panic::catch_unwind(|| run(*seed, *profile)) {
                        let why = panic.downcast_ref::<String>().and_then(|text| text.lines().next());
                        eprintln!("failed: {name}, seed {seed}: {}", why.unwrap_or_default());
                        failed.lock().unwrap().push((name.as_str(), *seed));
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "failed runs: {failed:?}");
}

#[test]
fn all_jobs_complete_without_faults() {
    run_seeds(0..6, FaultProfile { checks_neglect: true, ..Default::default() });
}

/// Guards against forgetting where a task runs when its machine is granted to another controller.
#[test]
fn crashes_of_one_or_all_controllers_run_no_task_twice() {
    run_seeds(100..108, FaultProfile { crash: 0.04, crash_all: 0.01, ..Default::default() });
}

#[test]
fn store_outages_with_crashes_lose_no_accepted_job() {
    run_seeds(
        200..208,
        FaultProfile { store_outage: 0.03, crash_all: 0.015, crash: 0.02, ..Default::default() },
    );
}

#[test]
fn a_controller_refused_by_the_store_becomes_inactive_in_time() {
    let profile = FaultProfile { store_refuses_one: 0.03, machine_cut: 0.05, ..Default::default() };
    run_seeds(300..308, profile);
    // A start that was planned before its job was withdrawn was sent minutes later.
    run_random(32_053, profile);
}

#[test]
fn machines_that_die_hang_or_are_cut_off_neither_block_nor_duplicate_tasks() {
    let profile = FaultProfile {
        machine_dies: 0.03,
        machine_cut: 0.05,
        machine_hangs: 0.05,
        faulty: 0.01,
        spot_preempted: 0.3,
        crash: 0.01,
        ..Default::default()
    };
    run_seeds(400..408, profile);
    // A session whose first reports were lost was taken for one that had expired.
    run_random(42_017, profile);
}

#[test]
fn lost_and_late_messages_break_no_rule() {
    let profile = FaultProfile { lost: 0.03, late: 0.7, crash: 0.02, ..Default::default() };
    run_seeds(500..508, profile);
}

#[test]
fn controllers_partitioned_from_each_other_break_no_rule() {
    let profile =
        FaultProfile { peers_partitioned: 0.04, crash: 0.02, cloud_outage: 0.02, ..Default::default() };
    run_seeds(600..608, profile);
}

#[test]
fn basic_faults_combined_break_no_rule() {
    let profile = FaultProfile {
        crash: 0.02,
        crash_all: 0.004,
        machine_dies: 0.01,
        machine_cut: 0.03,
        machine_hangs: 0.03,
        faulty: 0.004,
        spot_preempted: 0.1,
        store_outage: 0.01,
        store_refuses_one: 0.01,
        cloud_outage: 0.01,
        peers_partitioned: 0.02,
        lost: 0.01,
        late: 0.6,
        ..Default::default()
    };
    run_seeds(700..712, profile);
}

/// Guards against taking a late copy of a report for the machine's present state, at any controller, also one that has
/// just started, and against carrying out a repeated request a second time.
#[test]
fn late_report_copies_and_repeated_requests_change_nothing() {
    let profile = FaultProfile {
        duplicate_reports: 0.3,
        repeated_requests: 0.3,
        crash: 0.03,
        reboots: 0.05,
        late: 0.5,
        ..Default::default()
    };
    run_seeds(800..808, profile);
}

/// Guards against relying on a machine whose reports arrive but which receives nothing: its tasks end with its
/// sessions, and its jobs continue on other machines, also when their controllers crash.
#[test]
fn machines_that_receive_nothing_block_no_job() {
    let profile = FaultProfile {
        not_receiving: 0.1,
        reboots: 0.02,
        crash: 0.02,
        crash_all: 0.002,
        ..Default::default()
    };
    run_seeds(900..908, profile);
}

/// Guards against a controller that keeps ordering its workers when others may already act for it: it is cut off from
/// the store and the other controllers, its process is paused meanwhile, or it crashes and is back within a fraction of
/// a second.
#[test]
fn a_controller_that_reaches_only_its_workers_becomes_inactive_in_time() {
    let profile = FaultProfile { isolated: 0.03, process_pause: 0.02, crash: 0.02, ..Default::default() };
    run_seeds(1_000..1_008, profile);
}

/// Guards limits and withdrawals when no controller is served by the store for longer than its lease, and users withdraw
/// jobs at the first one that is back.
#[test]
fn controllers_refused_in_turn_break_no_rule() {
    let profile = FaultProfile { refused_in_turn: 0.03, withdrawn: 0.2, ..Default::default() };
    run_seeds(1_200..1_212, profile);
}

/// Guards every rule against all faults that operators have met, combined.
#[test]
fn faults_seen_by_operators_combined_break_no_rule() {
    let profile = FaultProfile {
        crash: 0.015,
        crash_all: 0.002,
        machine_dies: 0.005,
        machine_cut: 0.02,
        machine_hangs: 0.02,
        faulty: 0.003,
        store_outage: 0.005,
        store_refuses_one: 0.005,
        peers_partitioned: 0.01,
        lost: 0.005,
        late: 0.5,
        process_pause: 0.01,
        isolated: 0.01,
        not_receiving: 0.03,
        reboots: 0.02,
        duplicate_reports: 0.1,
        repeated_requests: 0.1,
        broken_jobs: 0.1,
        ..Default::default()
    };
    run_seeds(1_100..1_112, profile);
}
