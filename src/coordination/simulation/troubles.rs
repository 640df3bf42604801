//! Troubles, and runs of a few minutes under them.

use super::*;

/// Troubles that a run may bring, each with its odds per second.
#[derive(Clone, Copy, Default)]
pub(super) struct Trouble {
    /// No trouble: a run fails for a job neglected in calm.
    #[expect(dead_code, reason = "every run is judged so by now; older tests still ask for it by name")]
    pub(super) judges_neglect: bool,
    pub(super) crash: f64,
    pub(super) crash_all: f64,
    pub(super) machine_dies: f64,
    pub(super) machine_cut: f64,
    pub(super) machine_hangs: f64,
    pub(super) faulty: f64,
    pub(super) spot_taken: f64,
    pub(super) store_outage: f64,
    pub(super) store_refuses_one: f64,
    pub(super) cloud_outage: f64,
    pub(super) peers_apart: f64,
    pub(super) lost: f64,
    pub(super) late: f64,
    /// A controller stands still while its clock runs on.
    pub(super) stands_still: f64,
    /// A controller loses the store and the other controllers, not its workers.
    pub(super) isolated: f64,
    /// A machine's reports arrive, answers and commands don't reach it.
    pub(super) deaf: f64,
    /// A machine is started again within a fraction of a second, with a new session and no tasks.
    pub(super) reboots: f64,
    /// Odds, not a second but each time: a report is copied, the copy comes late, to whichever controller is
    /// there; a user repeats what was carried out; a job is submitted with a mistake.
    pub(super) copies: f64,
    pub(super) repeats: f64,
    pub(super) mistaken: f64,
    /// The store answers slowly.
    pub(super) store_slow: f64,
    /// The store refuses the leader alone, and then everybody, for longer than a withdrawal may take.
    pub(super) gap: f64,
    /// Odds, each time: a transaction gets no answer and is carried out 2 to 12 s later; a job is withdrawn.
    pub(super) late_writes: f64,
    pub(super) withdrawn: f64,
    /// Orders to a worker's address are held up for seconds, with their answer.
    pub(super) held_up: f64,
    /// Odds, each time: a transaction is carried out and its answer lost; a copy of a report is kept for the next leader.
    pub(super) answers_lost: f64,
    pub(super) kept_reports: f64,
    /// A machine's reports reach nobody; direct commands reach it and are answered.
    pub(super) mute: f64,
    /// The leader ends every 12 s.
    pub(super) leaders: bool,
    /// Users call off some of the running jobs within 0.2 s, and in half of the cases their machines hang.
    pub(super) call_off: f64,
    /// Odds, each time: a job is called off at the moment at which its last task ends.
    pub(super) at_end: f64,
    /// Machines are up within two seconds; messages are under way for long.
    pub(super) quick_boots: bool,
    pub(super) slow_links: bool,
    /// A zone's workers and controllers reach only each other; all controllers are away: each for longer than the
    /// workers' lease.
    pub(super) zone_cut: f64,
    pub(super) all_away: f64,
    /// Users ask for what makes no sense.
    pub(super) odd: f64,
    /// Odds, each time: a user who first hears that a job is accepted, done or withdrawn asks everywhere.
    pub(super) looks: f64,
}

impl World {
    /// These troubles may be drawn from now on.
    pub(super) fn bring(&mut self, trouble: Trouble) {
        self.fault_profile = trouble;
        self.boot_time = if trouble.quick_boots { 200 * MS..2 * S } else { S..15 * S };
        self.extra_link_delay = if trouble.slow_links { 50 * MS..400 * MS } else { 0..0 };
        self.report_retention = trouble.kept_reports;
        self.withdraw_at_end_probability = trouble.at_end;
        self.request_burst_probability = trouble.looks;
    }

    pub(super) fn make_trouble(&mut self, seconds: f64) {
        let t = self.fault_profile;
        let s = |p: f64| p * seconds;
        if self.chance(s(t.crash)) {
            let n = self.rng.random_range(0..self.settings.len());
            let there = self.controllers[n].is_some();
            self.crash(n);
            there.then(|| self.record_fault("crash"));
        }
        if self.chance(s(t.crash_all)) && self.record_fault("crash_all") {
            (0..self.settings.len()).for_each(|n| self.crash(n));
        }
        if self.chance(s(t.store_outage)) {
            let length = Micros(self.rng.random_range(S..20 * S));
            self.begin_fault(TimedFault::StoreDown, self.now + length);
        }
        if self.chance(s(t.store_refuses_one)) {
            let length = Micros(self.rng.random_range(5 * S..35 * S));
            let n = self.rng.random_range(0..self.settings.len());
            self.begin_fault(TimedFault::StoreRefuses(n), self.now + length);
        }
        if self.chance(s(t.store_slow)) {
            let length = Micros(self.rng.random_range(5 * S..40 * S));
            self.begin_fault(TimedFault::StoreSlow, self.now + length);
        }
        if self.chance(s(t.gap))
            && let Some(leader) = self.leader()
        {
            let refused = Micros(self.rng.random_range(S..15 * S));
            let away = Micros(self.rng.random_range(20 * S..70 * S));
            self.record_fault("gap");
            self.begin_fault(TimedFault::StoreRefuses(leader), self.now + refused);
            let from = Micros(self.rng.random_range(0..refused.0));
            self.schedule_fault(self.now + from, TimedFault::StoreDown, away);
        }
        if self.chance(s(t.stands_still)) {
            let length = Micros(self.rng.random_range(S..40 * S));
            let n = self.rng.random_range(0..self.settings.len());
            self.begin_fault(TimedFault::ControllerPaused(n), self.now + length);
        }
        if self.chance(s(t.isolated)) {
            let length = Micros(self.rng.random_range(S..45 * S));
            let n = self.rng.random_range(0..self.settings.len());
            self.begin_fault(TimedFault::Isolated(n), self.now + length);
        }
        if self.chance(s(t.cloud_outage)) {
            self.cloud_down_until = self.now + Micros(self.rng.random_range(S..30 * S));
        }
        if self.chance(s(t.peers_apart)) {
            let a = self.rng.random_range(0..self.settings.len());
            let until = self.now + Micros(self.rng.random_range(S..30 * S));
            self.begin_fault(TimedFault::Partitioned(a, (a + 1) % self.settings.len()), until);
        }
        if t.leaders
            && self.now >= self.next_leader_crash
            && self.now < self.fault_free_from
            && let Some(leader) = self.leader()
        {
            self.next_leader_crash = self.now + Micros::from_secs(12);
            self.crash(leader);
            self.record_fault("leaders");
        }
        if self.chance(s(t.call_off)) {
            let count = self.rng.random_range(2..8);
            let hang = if self.rng.random_bool(0.5) { self.rng.random_range(S..40 * S) } else { 0 };
            if self.withdraw_running_jobs(count, Micros(hang)) > 0 {
                self.record_fault("call_off");
            }
        }
        if self.chance(s(t.odd)) {
            self.send_invalid_request();
        }
        let lease = self.worker_lease().0;
        if self.chance(s(t.zone_cut)) {
            let length = Micros(self.rng.random_range(lease + S..lease * 3));
            let zone = ["east", "west"][self.rng.random_range(0..2)];
            self.begin_fault(TimedFault::ZonePartitioned(zone), self.now + length);
        }
        if self.chance(s(t.all_away)) && self.record_fault("all_away") {
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
        let (deaf, reboots, mute) =
            (self.chance(s(t.deaf)), self.chance(s(t.reboots)), self.chance(s(t.mute)));
        let (dies, cut, hangs, faulty, taken) = (
            self.chance(s(t.machine_dies)),
            self.chance(s(t.machine_cut)),
            self.chance(s(t.machine_hangs)),
            self.chance(s(t.faulty)),
            self.chance(s(t.spot_taken)),
        );
        let Some(w) = self.workers.get_mut(&name) else { return };
        let taken = taken && w.spot;
        w.dead |= dies;
        w.faulty |= faulty;
        if deaf {
            w.not_receiving_until = now + length;
        }
        if mute {
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
        if taken {
            match w.preempted_at {
                None => w.preempted_at = Some(now + Micros::from_secs(12)),
                Some(_) => w.dead = true,
            }
        }
        for (drawn, trouble) in [(dies, "machine_dies"), (taken, "spot_taken"), (reboots, "reboots")] {
            drawn.then(|| self.record_fault(trouble));
        }
    }

    /// The controller that leads, as it sees it itself.
    pub(super) fn leader(&self) -> Option<usize> {
        (0..self.settings.len()).find(|n| self.controllers[*n].as_ref().is_some_and(Controller::leading))
    }

    /// What each controller knows of a job, for the message of a failed run.
    pub(super) fn describe(&self, id: &str) -> String {
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
            text += &format!("  view {:?} nodes {:?} leading {}\n", c.view, c.registrations, c.leading());
            for (name, m) in &c.machines {
                let tasks: Vec<_> = m.tasks.iter().map(|(i, t)| (i.text(), t.state, t.attempt)).collect();
                text += &format!("  {name} {:?} up {} resolved {} {tasks:?}\n", m.row, m.up, m.resolved);
            }
        }
        text
    }

    /// How long an ended controller stays away: half of them are started again within a fraction of a
    /// second.
    fn away(&mut self) -> Micros {
        let quick = self.rng.random_bool(0.5);
        Micros(self.rng.random_range(if quick { 50 * MS..700 * MS } else { 700 * MS..7 * S }))
    }

    pub(super) fn crash(&mut self, n: usize) {
        if self.controllers[n].is_some() {
            let back = self.away();
            self.crash_for(n, back);
        }
    }

    /// Ends a controller, which is started again after a time of one's own.
    pub(super) fn crash_for(&mut self, n: usize, away: Micros) {
        if self.controllers[n].take().is_some() {
            self.incarnations[n] += 1;
            self.schedule_at(self.now + away, SimEvent::Start(n));
        }
    }
}

/// A run of a few minutes under the given trouble; at the end all is calm, and all that was accepted
/// and not withdrawn must be done.
pub(super) fn play(seed: u64, trouble: Trouble) -> World {
    let mut world = World::new(seed, trouble);
    world.run(Micros::from_secs(5));
    let mut endless = Vec::new();
    for n in 0..40u32 {
        let spec = world.random_job(n);
        let mistaken = trouble.mistaken > 0.0 && world.rng.random_bool(trouble.mistaken);
        if mistaken {
            world.broken_jobs.insert(spec.id.clone());
        }
        if mistaken || spec.shape == Shape::Service {
            endless.push(spec.id.clone());
        }
        world.submit(spec);
        let pause = world.rng.random_range(0..5 * S);
        let next = world.now + Micros(pause);
        world.run(next);
        if trouble.withdrawn > 0.0 && n >= 3 && world.rng.random_bool(trouble.withdrawn) {
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
            "seed {seed}: {id} is not over: {:?}, done {:?}\n{}",
            wish.spec,
            wish.completed_tasks,
            world.describe(id)
        );
    }
    assert!(world.tasks_started > 50, "seed {seed}: hardly anything ran");
    world.check_infeasible_jobs_rejected();
    world
}

/// How many times as many seeds as in CI are to be played: `MARBLEWALK_SOAK`, a number.
pub(super) fn soak() -> u64 {
    std::env::var("MARBLEWALK_SOAK").ok().and_then(|n| n.parse().ok()).unwrap_or(1).max(1)
}

/// How many runs are played at once in a soak: `RUST_TEST_THREADS`, or as many as there are processors.
fn at_once() -> usize {
    let processors = || std::thread::available_parallelism().map_or(1, |n| n.get());
    std::env::var("RUST_TEST_THREADS").ok().and_then(|n| n.parse().ok()).unwrap_or_else(processors).max(1)
}

/// Plays the seeds given; with `MARBLEWALK_SOAK` that many times as many.
pub(super) fn play_all(seeds: std::ops::Range<u64>, trouble: Trouble) {
    let count = (seeds.end - seeds.start) * soak();
    play_each((seeds.start..seeds.start + count).map(|seed| (String::new(), seed, trouble)).collect());
}

/// Plays runs, each with what it is called, one after the other; in a soak on all processors, and all that failed
/// are named at the end.
pub(super) fn play_each(runs: Vec<(String, u64, Trouble)>) {
    play_each_by(runs, |seed, trouble| drop(play(seed, trouble)));
}

/// The same, each played by a function of one's own.
pub(super) fn play_each_by(runs: Vec<(String, u64, Trouble)>, play: fn(u64, Trouble)) {
    if soak() <= 1 {
        return runs.into_iter().for_each(|(_, seed, trouble)| play(seed, trouble));
    }
    let next = std::sync::atomic::AtomicUsize::new(0);
    let failed = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|threads| {
        for _ in 0..at_once() {
            threads.spawn(|| {
                while let Some((name, seed, trouble)) =
                    runs.get(next.fetch_add(1, std::sync::atomic::Ordering::Relaxed))
                {
                    if let Err(panic) = std::panic::catch_unwind(|| play(*seed, *trouble)) {
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
fn a_quiet_cluster_does_all_its_work() {
    play_all(0..6, Trouble { judges_neglect: true, ..Default::default() });
}

/// Guards against the fault by which a task's place was forgotten when a machine changed hands.
#[test]
fn controllers_that_crash_singly_and_together_run_nothing_twice() {
    play_all(100..108, Trouble { crash: 0.04, crash_all: 0.01, ..Default::default() });
}

#[test]
fn state_outages_with_crashes_lose_no_accepted_job() {
    play_all(200..208, Trouble { store_outage: 0.03, crash_all: 0.015, crash: 0.02, ..Default::default() });
}

#[test]
fn a_controller_refused_by_the_store_alone_falls_silent_in_time() {
    let trouble = Trouble { store_refuses_one: 0.03, machine_cut: 0.05, ..Default::default() };
    play_all(300..308, trouble);
    // A start that was planned for a withdrawn job, sent minutes later.
    play(32_053, trouble);
}

#[test]
fn machines_that_die_hang_or_are_cut_off_neither_block_nor_double_work() {
    let trouble = Trouble {
        machine_dies: 0.03,
        machine_cut: 0.05,
        machine_hangs: 0.05,
        faulty: 0.01,
        spot_taken: 0.3,
        crash: 0.01,
        ..Default::default()
    };
    play_all(400..408, trouble);
    // A session that began unheard was taken for one that had lapsed.
    play(42_017, trouble);
}

#[test]
fn messages_lost_or_minutes_late_change_nothing() {
    let trouble = Trouble { lost: 0.03, late: 0.7, crash: 0.02, ..Default::default() };
    play_all(500..508, trouble);
}

#[test]
fn controllers_apart_from_each_other_keep_the_rules() {
    let trouble = Trouble { peers_apart: 0.04, crash: 0.02, cloud_outage: 0.02, ..Default::default() };
    play_all(600..608, trouble);
}

#[test]
fn everything_at_once_breaks_no_rule() {
    let trouble = Trouble {
        crash: 0.02,
        crash_all: 0.004,
        machine_dies: 0.01,
        machine_cut: 0.03,
        machine_hangs: 0.03,
        faulty: 0.004,
        spot_taken: 0.1,
        store_outage: 0.01,
        store_refuses_one: 0.01,
        cloud_outage: 0.01,
        peers_apart: 0.02,
        lost: 0.01,
        late: 0.6,
        ..Default::default()
    };
    play_all(700..712, trouble);
}

/// Guards against what copies prove: a late one of a report says nothing about now, whoever it comes to, also a
/// controller that has just begun, and what was carried out is not carried out again.
#[test]
fn late_copies_and_repeats_prove_nothing() {
    let trouble =
        Trouble { copies: 0.3, repeats: 0.3, crash: 0.03, reboots: 0.05, late: 0.5, ..Default::default() };
    play_all(800..808, trouble);
}

/// Guards against trust in a machine that speaks and does not hear: its tasks die with its sessions, and its jobs
/// go on elsewhere, also where their controllers end.
#[test]
fn machines_that_do_not_hear_hold_nothing_up() {
    let trouble = Trouble { deaf: 0.1, reboots: 0.02, crash: 0.02, crash_all: 0.002, ..Default::default() };
    play_all(900..908, trouble);
}

/// Guards against a controller that goes on with its workers when others may act for it: cut off from the store
/// and the other controllers, standing still in the middle of it, and back within a fraction of a second.
#[test]
fn a_controller_with_its_workers_alone_falls_silent_in_time() {
    let trouble = Trouble { isolated: 0.03, stands_still: 0.02, crash: 0.02, ..Default::default() };
    play_all(1_000..1_008, trouble);
}

/// Guards every rule against all that the operators have met, at once.
#[test]
fn all_troubles_of_the_operators_together_break_no_rule() {
    let trouble = Trouble {
        crash: 0.015,
        crash_all: 0.002,
        machine_dies: 0.005,
        machine_cut: 0.02,
        machine_hangs: 0.02,
        faulty: 0.003,
        store_outage: 0.005,
        store_refuses_one: 0.005,
        peers_apart: 0.01,
        lost: 0.005,
        late: 0.5,
        stands_still: 0.01,
        isolated: 0.01,
        deaf: 0.03,
        reboots: 0.02,
        copies: 0.1,
        repeats: 0.1,
        mistaken: 0.1,
        ..Default::default()
    };
    play_all(1_100..1_112, trouble);
}
