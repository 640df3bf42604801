//! Scripted combinations of events in jobs' lives and faults of transactions; each test asserts that its combination
//! took place (`docs/meetings.md`).

use super::takeovers::array;
use super::*;

/// The number of items that a controller or the store retains, by kind: the maximum over all controllers.
type RetainedCounts = BTreeMap<&'static str, usize>;

/// The length of a value's debug form: a measure of the size of types whose fields are private to another crate.
fn debug_length(of: &impl std::fmt::Debug) -> usize {
    format!("{of:?}").len()
}

fn retained_counts(world: &World) -> RetainedCounts {
    let mut counts = RetainedCounts::new();
    let mut record = |name, n: usize| {
        let entry = counts.entry(name).or_default();
        *entry = n.max(*entry);
    };
    for (node, c) in world.controllers.iter().enumerate().filter_map(|(n, c)| Some((n, c.as_ref()?))) {
        record("retired", c.retired.len());
        record("recently removed", c.recently_removed.len());
        record("machines with unknown tasks", c.machines_with_unknown_tasks.len());
        record("completion keys", c.done_keys.len());
        record("unsettled ends", c.unsettled_ends.len());
        record("end waiters", c.end_waiters.len());
        record("status acks", c.status_confirmations.len());
        record("read history", c.read_history.len());
        record("refused connections", c.refused_connections.len());
        record("worker failovers", c.worker_failovers.len());
        record("evictions", c.evictions.len());
        record("rentals", c.rentals.len());
        record("pending polls", c.pending_polls.len());
        record("sent machine statuses", c.sent_machine_statuses.len());
        record("fast start jobs", c.fast_start_jobs.len());
        record("calls in flight", c.store_calls_in_flight.len() + c.cloud_calls_in_flight.len());
        record("waiting calls", c.waiting_store_calls());
        let removed = |name: &&String| !c.machines.contains_key(*name);
        let statuses = c.peers.values().flat_map(|p| p.machine_statuses.keys());
        record("machine statuses of peers", statuses.clone().count());
        record("machine statuses of removed machines", statuses.filter(removed).count());
        let (_, retry_slots, rows) = c.admission_metrics();
        record("retry slots", retry_slots);
        record("admission rows", rows.len());
        record("fault attribution", debug_length(&c.fault_attribution));
        record("machine knowledge", debug_length(&c.machine_knowledge));
        record("announcements", debug_length(&c.announcements));
        record("witness queries", debug_length(&c.witness_queries));
        if let Some(lead) = &c.leader_state {
            let fleet = &lead.fleet;
            record(
                "leader rentals",
                fleet.pending_rentals.len() + fleet.unconfirmed_rentals.len() + fleet.rentals_to_delete.len(),
            );
            record(
                "leader machines",
                fleet.machines_to_record.len() + fleet.returns_in_flight.len() + fleet.failed.len(),
            );
            record(
                "misdirected reports and moves",
                lead.misdirected_reports.len() + lead.rescue_moves.len() + lead.moved_at.len(),
            );
            let noted_machines =
                lead.misdirected_reports.keys().chain(lead.rescue_moves.keys()).chain(&fleet.failed);
            record("leader notes on removed machines", noted_machines.filter(removed).count());
            record("starved", lead.starved.len() + lead.unplaced.len());
        }
        // Requests that wait for an answer, none for longer than the timeout of a store call.
        let open = world
            .pending_requests
            .keys()
            .filter(|(n, incarnation, _)| (*n, *incarnation) == (node, world.incarnations[node]));
        record("open requests", open.count());
    }
    let under = |prefix: &str| world.store.keys.keys().filter(|key| key.starts_with(prefix)).count();
    record("live records", under(records::LIVE_JOBS_PREFIX));
    record("completion records", under(records::COMPLETIONS_PREFIX));
    record("rental records", under(records::RENTALS_PREFIX));
    record("watched records", under(records::WATCHED_PREFIX));
    counts
}

/// A stream of small jobs, submitted one after the other at a constant rate.
#[derive(Clone, Copy)]
struct JobStream {
    minutes: usize,
    per_s: u32,
    /// The maximum number of tasks of a job.
    max_tasks: u32,
    /// The first task of a job ends seconds before the others, so that its progress is recorded.
    first_task_short: bool,
    machines: usize,
}

const ONE_TASK: JobStream =
    JobStream { minutes: 4, per_s: 4, max_tasks: 1, first_task_short: false, machines: 14 };

/// Submits a stream of jobs, a quarter of which are withdrawn at random moments. Returns the maximum of each count in
/// each minute.
fn run_job_stream(world: &mut World, of: JobStream) -> Vec<RetainedCounts> {
    for n in 0..of.machines {
        world.add_machine("c16", if n % 2 == 0 { "east" } else { "west" }, false);
    }
    world.task_run_time = if of.first_task_short { 4 * S..9 * S } else { S..8 * S };
    world.first_task_short = of.first_task_short;
    world.run(Micros::from_secs(16));
    let each_minute = of.per_s * 60;
    let mut by_minute = vec![RetainedCounts::new(); of.minutes];
    let mut withdrawals: Vec<(Micros, String)> = Vec::new();
    for n in 0..of.minutes as u32 * each_minute {
        let tasks = world.rng.random_range(1..=of.max_tasks);
        let spec = array(world, n, tasks);
        let shape = if of.max_tasks > 1 && n % 5 == 0 { Shape::Gang } else { Shape::Array };
        let spec = JobSpec { shape, zone: None, estimated_task_s: 4.0, ..spec };
        if n % 4 == 1 {
            let at = world.now + Micros(world.rng.random_range(0..5 * S));
            withdrawals.push((at, spec.id.clone()));
        }
        world.submit(spec);
        world.run(world.now + Micros(S / u64::from(of.per_s)));
        let now = world.now;
        for (_, id) in withdrawals.extract_if(.., |(at, _)| *at <= now) {
            world.jobs.get_mut(&id).unwrap().wants_withdrawal = true;
        }
        if n % of.per_s == 0 {
            for (name, count) in retained_counts(world) {
                let most = by_minute[(n / each_minute) as usize].entry(name).or_default();
                *most = count.max(*most);
            }
        }
    }
    for (_, id) in withdrawals {
        world.jobs.get_mut(&id).unwrap().wants_withdrawal = true;
    }
    by_minute
}

/// Runs a stream of jobs and asserts that no count exceeds one and a half times that of the first minute by more than
/// `slack`, and that only final states are left when all jobs have ended.
fn assert_nothing_accumulates(mut world: World, of: JobStream, slack: usize) -> World {
    let by_minute = run_job_stream(&mut world, of);
    for name in by_minute[0].keys() {
        let each: Vec<usize> = by_minute.iter().map(|counts| counts[name]).collect();
        let most = each[0] + each[0] / 2 + slack;
        assert!(each.iter().all(|n| *n <= most), "{name}: grows from minute to minute: {each:?}");
    }
    world.expect_all_jobs_to_end(120, "a stream of small jobs");
    world.run(world.now + Micros::from_secs(40));
    let left = retained_counts(&world);
    for name in EMPTY_AT_THE_END {
        assert_eq!(left.get(name).copied().unwrap_or(0), 0, "{name}: not empty at the end: {left:?}");
    }
    let over = world.jobs.values().filter(|w| w.known_final.is_some()).count();
    let finals = world.store.keys.keys().filter(|key| key.starts_with(records::FINAL_STATES_PREFIX)).count();
    assert_eq!(finals, over, "there must be one final state per job");
    let withdrawn =
        world.jobs.values().filter(|w| w.known_final.is_some_and(|f| f.0 == FinalState::Withdrawn));
    let withdrawn = withdrawn.count();
    assert!(withdrawn > over / 10, "only {withdrawn} of {over} were withdrawn");
    world
}

/// The counts that must be zero when all jobs have ended.
const EMPTY_AT_THE_END: [&str; 15] = [
    "machine statuses of removed machines",
    "leader notes on removed machines",
    "retired",
    "recently removed",
    "machines with unknown tasks",
    "completion keys",
    "end waiters",
    "unsettled ends",
    "rentals",
    "leader rentals",
    "starved",
    "pending polls",
    "live records",
    "completion records",
    "rental records",
];

/// Guards against memory and records that many small jobs leave behind: four jobs a second, a quarter of them
/// withdrawn, must leave only their final states.
#[test]
fn a_stream_of_one_task_jobs_leaves_only_final_states() {
    for seed in 2_000..2_002 {
        assert_nothing_accumulates(World::new(seed, FaultProfile::default()), ONE_TASK, 16);
    }
}

/// Guards against completion records that outlive their jobs: the leader deleted three a second, however many jobs
/// ended, and the rest accumulated among the records that every controller watches. Also guards against machine
/// statuses and notes of machines that are no longer recorded, which a controller retained until it stopped.
#[test]
fn small_jobs_leave_no_completion_records_and_no_state_of_removed_machines() {
    let of = JobStream { max_tasks: 4, first_task_short: true, minutes: 3, ..ONE_TASK };
    assert_nothing_accumulates(World::new(2_010, FaultProfile::default()), of, 16);
    let mut world =
        World::with_size(2_030, FaultProfile::default(), ClusterSize { controllers: 3, machines: 40 });
    for s in &mut world.settings {
        (s.params.state.write_rps, s.params.state.rps) = (120.0, 600.0);
    }
    let of = JobStream { max_tasks: 3, first_task_short: true, per_s: 10, machines: 30, minutes: 3 };
    let world = assert_nothing_accumulates(world, of, 16);
    let completions: BTreeSet<&String> = world
        .store
        .log
        .iter()
        .map(|l| &l.1)
        .filter(|key| key.starts_with(records::COMPLETIONS_PREFIX))
        .collect();
    assert!(completions.len() > 600, "only {} completion records were written", completions.len());
}

/// Guards against retained state and records of small jobs while controllers crash, machines die or are preempted, and
/// transactions are committed late.
#[test]
fn small_jobs_accumulate_nothing_under_faults() {
    let profile = FaultProfile {
        crash: 0.03,
        machine_dies: 0.05,
        spot_preempted: 0.05,
        late_writes: 0.05,
        ..Default::default()
    };
    for seed in 2_020..2_022 {
        let of = JobStream { max_tasks: 2, minutes: 3, ..ONE_TASK };
        let world = assert_nothing_accumulates(World::new(seed, profile), of, 100);
        let lost = world.next_machine as usize - world.workers.values().filter(|w| !w.dead).count();
        let (late, incarnations) = (world.coverage.late_commits, world.incarnations.iter().sum::<u64>());
        assert!(
            late > 10 && incarnations > 3 && lost > 10,
            "seed {seed}: {late} late, {incarnations} incarnations, {lost} lost"
        );
    }
}

/// Runs small arrays and gangs without other faults, while their users query, resubmit and withdraw them at every
/// controller, mostly at the moment at which the last task ends.
fn withdrawn_at_the_end(seed: u64) -> World {
    let mut world = World::new(seed, FaultProfile { repeated_requests: 0.5, ..Default::default() });
    (world.request_burst_probability, world.withdraw_at_end_probability) = (0.6, 0.5);
    world.task_run_time = S..6 * S;
    for n in 0..14 {
        world.add_machine("c16", if n % 2 == 0 { "east" } else { "west" }, false);
    }
    world.run(Micros::from_secs(16));
    for n in 0..90 {
        let spec = array(&mut world, n, 1 + n % 3);
        let shape = if n % 2 == 0 { Shape::Array } else { Shape::Gang };
        world.submit(JobSpec { shape, ..spec });
        world.run(world.now + Micros::from_millis(700));
        // Some are withdrawn a little later at all controllers at once, when the end may be on its way to the store.
        let ended = |w: &UserJob| {
            let all = w.spec.as_ref().map_or(0, |s| s.tasks as usize);
            w.completed_tasks.len() == all && w.known_final.is_none() && !w.wants_withdrawal
        };
        let ended: Vec<String> =
            world.jobs.iter().filter(|(_, w)| ended(w)).map(|(id, _)| id.clone()).collect();
        for id in ended {
            world.jobs.get_mut(&id).unwrap().wants_withdrawal = true;
            (0..3).for_each(|node| world.send_user_request(node, id.clone(), UserRequest::Withdraw));
        }
    }
    world
}

/// Sends a burst of requests about every job to all controllers.
fn send_request_bursts(world: &mut World) {
    let ids: Vec<String> = world.jobs.keys().cloned().collect();
    for id in ids {
        world.send_request_burst(&id);
        world.run(world.now + Micros::from_millis(40));
    }
    world.run(world.now + Micros::from_secs(6));
}

/// Guards against two final states of a job whose last task ends while it is withdrawn, queried and resubmitted:
/// exactly one of done and withdrawn is recorded, once, and every controller answers with it from then on, also after a
/// restart.
#[test]
fn a_job_withdrawn_as_its_last_task_ends_has_one_final_state_at_all_controllers() {
    let (mut withdrawn, mut done, mut repeated) = (0, 0, 0);
    for seed in 2_100..2_104 {
        let mut world = withdrawn_at_the_end(seed);
        world.expect_all_jobs_to_end(60, &format!("seed {seed}"));
        send_request_bursts(&mut world);
        (0..3).for_each(|n| world.crash_for(n, Micros::from_millis(300)));
        world.run(world.now + Micros::from_secs(6));
        send_request_bursts(&mut world);
        for (id, wish) in &world.jobs {
            let recorded = world.store.log.iter().filter(|l| l.1 == records::final_state_key(id)).count();
            assert_eq!(recorded, 1, "seed {seed}: {id} has {recorded} final records");
            let tasks = wish.spec.as_ref().unwrap().tasks as usize;
            match wish.known_final.unwrap().0 {
                FinalState::Withdrawn => withdrawn += u32::from(wish.completed_tasks.len() == tasks),
                FinalState::Done => done += u32::from(wish.wants_withdrawal),
            }
        }
        repeated += world.coverage.repeated_final_states;
    }
    eprintln!(
        "{withdrawn} withdrawn with all tasks done, {done} done despite a withdrawal, {repeated} repeated answers"
    );
    assert!(
        withdrawn > 40 && done > 40 && repeated > 5_000,
        "{withdrawn} withdrawn, {done} done, {repeated} repeated"
    );
}

/// Whether a transaction puts a key with this prefix.
fn writes_under(t: &Transaction, prefix: &str) -> bool {
    t.writes.iter().any(|w| matches!(w, Write::Put { key, .. } if key.starts_with(prefix)))
}

/// Whether a transaction deletes a key with this prefix.
fn deletes_under(t: &Transaction, prefix: &str) -> bool {
    t.writes.iter().any(|w| matches!(w, Write::Delete { key } if key.starts_with(prefix)))
}

/// Whether a transaction records this final state of a job.
fn records_end(t: &Transaction, state: FinalState) -> bool {
    let record = |w: &Write| match w {
        Write::Put { key, value, .. } if key.starts_with(records::FINAL_STATES_PREFIX) => {
            serde_json::from_value::<records::FinalRecord>(value.clone()).ok()
        }
        _ => None,
    };
    t.writes.iter().any(|w| record(w).is_some_and(|r| r.state == state))
}

/// A kind of transaction: its name, and whether a transaction is of that kind.
type TransactionKind = (&'static str, fn(&Transaction) -> bool);

/// All kinds of transaction, recognized by their writes.
const KINDS: [TransactionKind; 14] = [
    ("acceptance", |t| writes_under(t, records::LIVE_JOBS_PREFIX)),
    ("withdrawal", |t| records_end(t, FinalState::Withdrawn)),
    ("completion", |t| records_end(t, FinalState::Done)),
    ("progress", |t| writes_under(t, records::COMPLETIONS_PREFIX)),
    ("grant", |t| writes_under(t, records::BLOCKS_PREFIX) && !writes_under(t, records::VIEW_KEY)),
    ("view", |t| writes_under(t, records::VIEW_KEY)),
    ("leadership", |t| writes_under(t, records::LEADER_KEY) && !writes_under(t, records::EVICTIONS_PREFIX)),
    ("eviction", |t| writes_under(t, records::EVICTIONS_PREFIX)),
    ("quota", |t| writes_under(t, records::QUOTA_KEY)),
    ("registration", |t| writes_under(t, records::REGISTRATIONS_PREFIX)),
    ("uninformed", |t| writes_under(t, records::UNINFORMED_PREFIX)),
    ("rental", |t| writes_under(t, records::RENTALS_PREFIX)),
    ("rental deletion", |t| deletes_under(t, records::RENTALS_PREFIX)),
    ("progress deletion", |t| deletes_under(t, records::COMPLETIONS_PREFIX)),
];

/// Loses the replies to two of three transactions of one kind, chosen by a hash of their content.
fn answer_loss<const KIND: usize>(t: &Transaction) -> Option<CommitFault> {
    let text = serde_json::to_vec(t).unwrap();
    let hash =
        text.iter().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3));
    (KINDS[KIND].1(t) && (hash >> 32) % 3 > 0).then_some(CommitFault::ReplyLost)
}

/// `answer_loss` for each of `KINDS`.
const ANSWER_LOSSES: [fn(&Transaction) -> Option<CommitFault>; 14] = [
    answer_loss::<0>,
    answer_loss::<1>,
    answer_loss::<2>,
    answer_loss::<3>,
    answer_loss::<4>,
    answer_loss::<5>,
    answer_loss::<6>,
    answer_loss::<7>,
    answer_loss::<8>,
    answer_loss::<9>,
    answer_loss::<10>,
    answer_loss::<11>,
    answer_loss::<12>,
    answer_loss::<13>,
];

/// Runs a cluster in which every kind of transaction occurs, and loses the replies to those of one kind, while all
/// controllers act on what is committed.
fn run_with_lost_answers(seed: u64, kind: usize) -> World {
    let mut world = World::new(seed, FaultProfile { repeated_requests: 0.3, ..Default::default() });
    (world.commit_fault, world.request_burst_probability) = (Some(ANSWER_LOSSES[kind]), 0.5);
    (world.first_task_short, world.task_run_time) = (true, 3 * S..12 * S);
    for n in 0..8 {
        world.add_machine("c16", if n % 2 == 0 { "east" } else { "west" }, false);
    }
    world.run(Micros::from_secs(16));
    let leader = |w: &World| w.leader().unwrap_or(0);
    for n in 0..44u32 {
        let spec = world.random_job(n);
        // Two of three jobs are of one team, so that its limit binds.
        let team = if n % 3 == 0 { spec.team } else { "blue".into() };
        let shape = if spec.shape == Shape::Service { Shape::Array } else { spec.shape };
        let (tasks, cpus) = (spec.tasks.min(8), spec.cpus.min(4.0));
        world.submit(JobSpec { team, shape, tasks, cpus, ..spec });
        let pause = Micros(world.rng.random_range(S..3 * S));
        world.run(world.now + pause);
        if n % 4 == 3 {
            let id = format!("j-{:06}", n - 3);
            world.jobs.get_mut(&id).unwrap().wants_withdrawal = true;
        }
        let now = world.now;
        match n {
            6 | 28 | 38 => {
                let crashed = leader(&world);
                world.crash_for(crashed, Micros::from_millis(if n == 6 { 300 } else { 6_000 }));
            }
            12 => {
                let paused = (leader(&world) + 1) % 3;
                world.begin_fault(TimedFault::ControllerPaused(paused), now + Micros::from_secs(16));
            }
            20 => {
                let paused = leader(&world);
                world.begin_fault(TimedFault::ControllerPaused(paused), now + Micros::from_secs(16));
            }
            30 => {
                let paused = (leader(&world) + 2) % 3;
                world.begin_fault(TimedFault::ControllerPaused(paused), now + Micros::from_secs(16));
            }
            24 | 34 => world.begin_fault(TimedFault::Partitioned(0, 1), now + Micros::from_secs(8)),
            _ => {}
        }
    }
    world.commit_fault = None;
    world.expect_all_jobs_to_end(400, &format!("{} {seed}", KINDS[kind].0));
    for prefix in [records::RENTALS_PREFIX, records::COMPLETIONS_PREFIX, records::LIVE_JOBS_PREFIX] {
        let left = world.store.keys.keys().filter(|key| key.starts_with(prefix)).count();
        assert_eq!(left, 0, "{} {seed}: {left} records under {prefix}", KINDS[kind].0);
    }
    world
}

/// Guards each kind of transaction against a commit whose reply is lost: the sender takes it for failed while all
/// others have read it, and neither may break a rule by acting on that.
#[test]
fn transactions_whose_replies_are_lost_break_no_rule() {
    let mut met = Vec::new();
    for (kind, (name, _)) in KINDS.iter().enumerate() {
        let lost: u32 =
            (0..4).map(|seed| run_with_lost_answers(2_200 + seed, kind).coverage.lost_commit_replies).sum();
        met.push((*name, lost));
    }
    eprintln!("replies lost: {met:?}");
    assert!(met.iter().all(|(_, lost)| *lost >= 3), "{met:?}");
}
