//! Whole clusters in one thread: controllers, and stand-ins for the state service, the cloud, the
//! workers and the users, under seeded trouble. The protocol's rules are checked after every step.

mod abuse;
mod asking;
mod at_limits;
mod cloud;
mod contradictions;
mod deafness;
mod evictions;
mod fleets;
mod former_lives;
mod idle;
mod late_statuses;
mod limits;
mod looks;
mod measure;
mod meetings;
mod meetings_apart;
mod meetings_handover;
mod meetings_jobs;
mod meetings_limits;
mod meetings_looks;
mod meetings_machines;
mod meetings_room;
mod meetings_starts;
mod mistakes;
mod neglect;
mod network;
mod newcomer_orders;
mod odd;
mod outages;
mod overload;
mod pairs;
mod quota_guard;
mod replaced_links;
mod returns;
mod rules;
mod second_starts;
mod services;
mod spells;
mod start_orders;
mod store;
mod takeovers;
mod troubles;
mod uninformed_orders;
mod users;
mod withdrawals;
mod workers;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;

use idle::Idle;
use looks::UserRequest;
use network::PendingRequest;
use spells::{CommitFault, PATIENCE, TimedFault};
use store::Store;
use troubles::Trouble;
use users::{AnsweredRequest, UserJob};
use workers::{Worker, WorkerTask};

use super::{Answer, CallId, Controller, Effect, Event, RequestId};
use crate::bookkeeping::{blocks, records};
use crate::protocol::cloud::{
    CloudCall, CloudReply, ListedMachine, ListedState, MachineList, MachineType, Rental,
};
use crate::protocol::job::{FinalState, JobSpec, JobState, Priority, Shape};
use crate::protocol::peer::PeerMessage;
use crate::protocol::store::{Change, ChangeBatch, Entry, Page, StoreCall, StoreReply, Transaction, Write};
use crate::protocol::units::{Micros, Resources};
use crate::protocol::worker::{
    Cause, DirectOrders, DirectReply, Order, Report, ReportAnswer, ReportedTask, TaskId, TaskState,
};
use crate::settings::{Settings, Team, Tuning};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

enum SimEvent {
    Tick(usize),
    Start(usize),
    ToController {
        node: usize,
        incarnation: u64,
        event: Event,
    },
    StoreCall {
        node: usize,
        incarnation: u64,
        id: CallId,
        call: StoreCall,
    },
    /// A watch that is open at the store, since then.
    Watch {
        node: usize,
        incarnation: u64,
        id: CallId,
        call: StoreCall,
        opened_at: Micros,
    },
    CloudCall {
        node: usize,
        incarnation: u64,
        id: CallId,
        call: CloudCall,
    },
    WorkerTurn(String),
    ReportAnswered {
        machine: String,
        session: u64,
        tally: u64,
        answer: Option<Answer>,
        /// When it left the controller.
        answered_at: Micros,
    },
    UserTurn(String),
    /// A user asks one controller, for itself.
    UserRequest {
        node: usize,
        job: String,
        request: UserRequest,
    },
    /// A copy of a report, to whichever life of the controller is there.
    DuplicateReport {
        node: usize,
        report: Report,
    },
    UserAnswered {
        job: String,
        withdraw: bool,
        answer: Answer,
        answered_by: usize,
        /// When the user sent its request, and when the answer left the controller.
        sent_at: Micros,
        answered_at: Micros,
    },
    Orders {
        node: usize,
        incarnation: u64,
        machine: String,
        orders: DirectOrders,
        sent_at: Micros,
    },
    LateOrders {
        machine: String,
        orders: DirectOrders,
        sent_at: Micros,
    },
    LateCommit {
        node: usize,
        sent_at: Micros,
        transaction: Transaction,
    },
    /// A spell begins, until then.
    FaultBegins(TimedFault, Micros),
    /// What a controller decided before it stood still leaves now.
    DelayedEffects {
        node: usize,
        incarnation: u64,
        effects: Vec<Effect>,
    },
}

struct ScheduledEvent(Micros, u64, SimEvent);
impl PartialEq for ScheduledEvent {
    fn eq(&self, o: &Self) -> bool {
        (self.0, self.1) == (o.0, o.1)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, o: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, o: &Self) -> std::cmp::Ordering {
        (o.0, o.1).cmp(&(self.0, self.1))
    }
}

/// What a run has met: a test that brings a meeting about asserts that it did.
#[derive(Debug, Default)]
struct Coverage {
    /// Transactions without an answer that were carried out after newer ones of the same controller.
    late_commits: u32,
    /// Copies of reports that came after newer reports of the machine, and of those the ones of an earlier session.
    late_duplicates: u32,
    duplicates_of_earlier_sessions: u32,
    /// Tasks in copies that were in a later attempt by then, and those that had completed.
    duplicate_tasks_of_earlier_attempts: u32,
    duplicate_completed_tasks: u32,
    /// Tasks that began a second time in the same attempt and session.
    repeated_starts: u32,
    /// Orders that were carried out more than a second after they were sent.
    late_orders: u32,
    /// Orders that a worker rejected though it had a start among them from the answer to a report.
    rejected_but_started: u32,
    /// Tasks that had completed and began again.
    restarts_after_completion: u32,
    /// Tasks that a worker ended since nobody had renewed its lease.
    tasks_lost_to_lease_expiry: usize,
    /// Confirmations of statuses that the process they came to had not sent.
    unsolicited_confirmations: u32,
    /// Words of controllers that came more than five seconds late.
    late_peer_messages: u32,
    /// The longest that a task was there after its job's withdrawal had been recorded, and confirmed.
    max_run_after_withdrawal: Micros,
    max_run_after_confirmation: Micros,
    /// Starts of tasks of jobs whose withdrawal had been confirmed, by commands that were in flight at the
    /// confirmation.
    starts_in_flight_at_confirmation: u32,
    /// Transactions carried out at once of which the answer was lost.
    lost_commit_replies: u32,
    /// Copies of reports that were kept and given to a controller when a new leader had appeared.
    retained_reports_delivered: u32,
    /// How often each trouble that was drawn took effect.
    faults: BTreeMap<&'static str, u32>,
    /// Looks at all controllers after a user has heard something first; of jobs that nobody submitted, and of those
    /// the answers that there is no such job.
    request_bursts: u32,
    unknown_job_requests: u32,
    unknown_job_denials: u32,
    /// Answers about jobs that are over, to questions sent after their users had heard of it.
    repeated_final_states: u32,
    /// Answers older than what their users had heard, to requests sent before they had heard it.
    overlapping_answers: u32,
    /// The most processors and accelerators that each team's tasks took at once, in thousandths.
    peak_usage: Vec<(u64, u64)>,
    /// How often a job that had waited for 90 s in calm was held against the machines that had had room all the while.
    neglect_checks: u32,
}

#[derive(Clone, Copy)]
struct ClusterSize {
    controllers: usize,
    machines: usize,
}

struct World {
    rng: StdRng,
    now: Micros,
    queue: BinaryHeap<ScheduledEvent>,
    sequence: u64,
    settings: Vec<Settings>,
    tuning: Tuning,
    controllers: Vec<Option<Controller>>,
    incarnations: Vec<u64>,
    started_at: Vec<Micros>,
    clock_rates: Vec<f64>,
    pending_requests: HashMap<(usize, u64, RequestId), PendingRequest>,
    next_request: RequestId,
    store: Store,
    /// What has befallen the store and the controllers, since when and until when.
    faults: Vec<(TimedFault, Micros, Micros)>,
    /// When the last spell so far ends.
    faults_end: Micros,
    cloud_down_until: Micros,
    rentals: BTreeMap<String, Vec<String>>,
    next_machine: u32,
    machine_types: Vec<MachineType>,
    cloud_capacity: usize,
    workers: BTreeMap<String, Worker>,
    jobs: BTreeMap<String, UserJob>,
    fault_profile: Trouble,
    tasks_started: u32,
    fault_free_from: Micros,
    /// How long tasks run, in microseconds; and whether a job's first task ends long before its others.
    task_run_time: std::ops::Range<u64>,
    first_task_short: bool,
    /// A controller that users do not get to: the balancer has them elsewhere.
    excluded_controller: Option<usize>,
    /// Until when controllers that stalled before sending something stand still.
    send_stalled_until: Vec<Micros>,
    /// When each controller's newest transaction was carried out, by when it was sent.
    last_commit_at: Vec<Micros>,
    coverage: Coverage,
    /// Jobs that fail wherever they run.
    broken_jobs: BTreeSet<String>,
    /// Calls that have reached the store, or would have.
    store_calls: u64,
    /// Controllers order starts without waiting for the others to know of them.
    skip_confirmations: bool,
    /// Owners work for themselves, without the leader's division of the pools.
    ignore_leader_volumes: bool,
    /// When changes reached the store, and how many.
    store_writes: Vec<(Micros, u32)>,
    /// What befalls a transaction that reaches the store.
    commit_fault: Option<fn(&Transaction) -> Option<CommitFault>>,
    /// How long new machines take to be up, and how much longer than else each message between controllers, users
    /// and workers is on its way, in microseconds.
    boot_time: std::ops::Range<u64>,
    extra_link_delay: std::ops::Range<u64>,
    /// How long starts are on their way to a worker's address, in microseconds.
    start_order_delay: std::ops::Range<u64>,
    /// When the last message from one controller to another arrives.
    last_peer_arrival: BTreeMap<(usize, usize), Micros>,
    /// Share of the reports of which a copy is kept for the next leader; those copies; and the leader they wait beyond.
    report_retention: f64,
    retained_reports: Vec<Report>,
    last_leader_revision: u64,
    /// Share of the jobs that are called off at the moment at which their last task ends.
    withdraw_at_end_probability: f64,
    controller_zones: Vec<&'static str>,
    /// Until then no controller is started.
    controllers_down_until: Micros,
    /// When the leader ends next, under `Trouble::leaders`.
    next_leader_crash: Micros,
    /// Machines, their sessions, and the tasks and attempts that have begun in them.
    started_attempts: BTreeSet<(String, u64, TaskId, u64)>,
    /// Odds, each time that a user first hears that a job is accepted, done or withdrawn, that it asks everywhere.
    request_burst_probability: f64,
    /// An older answer is judged by when it was given too, not only by when its request was sent.
    checks_answer_times: bool,
    /// Tasks that were there when a command stopped them.
    stopped_tasks: Vec<TaskId>,
    neglect_monitor: Idle,
}

impl World {
    fn new(seed: u64, trouble: Trouble) -> World {
        World::with_size(seed, trouble, ClusterSize { controllers: 3, machines: 14 })
    }

    fn with_size(seed: u64, trouble: Trouble, size: ClusterSize) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut base: Settings = toml::from_str(crate::settings::tests::SAMPLE).unwrap();
        base.params.teams[0].gpus_max = 4.0;
        base.params.teams.push(Team {
            name: "red".into(),
            cpus: 0.0,
            cpus_max: 24.0,
            gpus: 0.0,
            gpus_max: 4.0,
        });
        let mut settings = Vec::new();
        for n in 0..size.controllers {
            let mut s = base.clone();
            s.member = format!("n-{n}");
            s.members = (0..size.controllers)
                .filter(|m| *m != n)
                .map(|m| crate::settings::Member {
                    member: format!("n-{m}"),
                    zone: String::new(),
                    addr: "10.0.0.1:1".into(),
                })
                .collect();
            settings.push(s);
        }
        let kind = |name: &str, cpus, gpus, memory_gb, price| MachineType {
            name: name.into(),
            cpus,
            gpus,
            memory_gb,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price,
            spot_price: price / 2.0,
            boot_s: 10.0,
            zones: vec!["east".into(), "west".into()],
        };
        let limits = base.params.state;
        let store = Store {
            txn_ops: limits.txn_ops,
            value_limit: (limits.value_kb * 1024.0) as usize,
            revision: 1,
            ..Default::default()
        };
        let drift = (0..size.controllers).map(|_| 1.0 + rng.random_range(0.0..0.0005)).collect();
        let mut world = World {
            rng,
            now: Micros::ZERO,
            queue: BinaryHeap::new(),
            sequence: 0,
            settings,
            tuning: Tuning::default(),
            controllers: (0..size.controllers).map(|_| None).collect(),
            incarnations: vec![0; size.controllers],
            started_at: vec![Micros::ZERO; size.controllers],
            clock_rates: drift,
            pending_requests: HashMap::new(),
            next_request: 1,
            store,
            faults: Vec::new(),
            faults_end: Micros::ZERO,
            cloud_down_until: Micros::ZERO,
            rentals: BTreeMap::new(),
            next_machine: 0,
            machine_types: vec![kind("c16", 16.0, 0.0, 64.0, 1.0), kind("g8", 16.0, 4.0, 64.0, 5.0)],
            cloud_capacity: size.machines,
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            fault_profile: trouble,
            tasks_started: 0,
            fault_free_from: Micros::MAX,
            task_run_time: 2 * S..20 * S,
            first_task_short: false,
            excluded_controller: None,
            send_stalled_until: vec![Micros::ZERO; size.controllers],
            last_commit_at: vec![Micros::ZERO; size.controllers],
            coverage: Coverage::default(),
            broken_jobs: BTreeSet::new(),
            store_calls: 0,
            skip_confirmations: false,
            ignore_leader_volumes: false,
            store_writes: Vec::new(),
            commit_fault: None,
            boot_time: 0..0,
            extra_link_delay: 0..0,
            start_order_delay: MS..5 * MS,
            last_peer_arrival: BTreeMap::new(),
            report_retention: 0.0,
            retained_reports: Vec::new(),
            last_leader_revision: 0,
            withdraw_at_end_probability: 0.0,
            controller_zones: (0..size.controllers).map(|n| ["east", "west"][n % 2]).collect(),
            controllers_down_until: Micros::ZERO,
            next_leader_crash: Micros::ZERO,
            started_attempts: BTreeSet::new(),
            request_burst_probability: 0.0,
            stopped_tasks: Vec::new(),
            checks_answer_times: true,
            neglect_monitor: Idle::default(),
        };
        world.bring(trouble);
        for n in 0..size.controllers {
            world.schedule_at(Micros::from_millis(10 * n as u64), SimEvent::Start(n));
        }
        world
    }

    fn schedule_at(&mut self, at: Micros, what: SimEvent) {
        self.sequence += 1;
        self.queue.push(ScheduledEvent(at.max(self.now), self.sequence, what));
    }

    fn schedule_within(&mut self, from: u64, to: u64, what: SimEvent) {
        let delay = Micros(self.rng.random_range(from..=to)) + self.extra_delay(&what);
        self.schedule_at(self.now + delay, what);
    }

    fn chance(&mut self, p: f64) -> bool {
        p > 0.0 && self.now < self.fault_free_from && self.rng.random_bool(p.min(1.0))
    }

    /// A message may be lost; a late one arrives up to a minute later.
    fn is_message_lost(&mut self) -> bool {
        let p = self.fault_profile.lost;
        self.chance(p) && self.record_fault("lost")
    }

    /// A trouble takes effect.
    fn record_fault(&mut self, trouble: &'static str) -> bool {
        *self.coverage.faults.entry(trouble).or_default() += 1;
        true
    }

    fn local_time(&self, node: usize) -> Micros {
        self.now.since(self.started_at[node]).mul_f64(self.clock_rates[node])
    }

    fn run(&mut self, until: Micros) {
        while let Some(ScheduledEvent(at, ..)) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Some(ScheduledEvent(at, _, what)) = self.queue.pop() else { break };
            self.now = at;
            self.process_event(what);
            // Every start is judged at once; the whole of a large fleet every few steps.
            if self.workers.len() < 50 || self.sequence.is_multiple_of(16) {
                self.check_rules();
            }
        }
        self.now = until;
    }

    fn process_event(&mut self, what: SimEvent) {
        match what {
            SimEvent::Start(_) if self.now < self.controllers_down_until => {
                self.schedule_at(self.controllers_down_until, what)
            }
            SimEvent::Start(n) => {
                self.incarnations[n] += 1;
                self.started_at[n] = self.now;
                let seed = self.rng.random();
                let mut controller = Controller::new(self.settings[n].clone(), self.tuning.clone(), seed);
                controller.skip_confirmations = self.skip_confirmations;
                controller.ignore_leader_volumes = self.ignore_leader_volumes;
                self.controllers[n] = Some(controller);
                self.schedule_at(self.now, SimEvent::Tick(n));
            }
            SimEvent::Tick(n)
            | SimEvent::ToController { node: n, .. }
            | SimEvent::DuplicateReport { node: n, .. }
                if self.paused_until(n) > self.now =>
            {
                self.record_fault("stands_still");
                let until = self.paused_until(n);
                self.schedule_at(until, what);
            }
            SimEvent::DelayedEffects { node, incarnation: life, effects } => {
                if self.incarnations[node] == life {
                    self.apply_effects(node, effects);
                }
            }
            SimEvent::Tick(n) => {
                if self.controllers[n].is_some() {
                    if n == 0 || self.controllers[0].is_none() {
                        self.make_trouble(0.1);
                    }
                    self.deliver_event(n, Event::Tick);
                    if self.sequence.is_multiple_of(4) {
                        self.deliver_connection_refusals(n);
                    }
                    self.schedule_at(self.now + Micros::from_millis(100), SimEvent::Tick(n));
                }
            }
            SimEvent::ToController { node, incarnation: life, event } => {
                let users = matches!(event, Event::Submit(..) | Event::Query(..) | Event::Withdraw(..));
                if let Event::Submit(_, spec) = &event
                    && self.jobs.get(&spec.id).is_some_and(|wish| wish.known_accepted)
                {
                    self.record_fault("repeats");
                }
                self.count_unsolicited_confirmation(node, &event);
                if self.incarnations[node] == life
                    && !(users && self.are_zones_partitioned(self.controller_zones[node], ""))
                {
                    self.deliver_event(node, event);
                }
            }
            SimEvent::StoreCall { node, incarnation: life, id, call } => {
                self.store_calls += 1;
                self.store_writes.push((self.now, call.writes()));
                self.handle_store_call(node, life, id, call, self.now);
            }
            SimEvent::Watch { node, incarnation: life, id, call, opened_at: since } => {
                self.handle_store_call(node, life, id, call, since)
            }
            SimEvent::DuplicateReport { node, report } => {
                if let Some(w) = self.workers.get(&report.machine) {
                    self.coverage.late_duplicates +=
                        u32::from((w.session, w.tally) > (report.session, report.tally));
                    self.coverage.duplicates_of_earlier_sessions += u32::from(w.session > report.session);
                }
                for t in &report.tasks {
                    let id = TaskId::parse(&t.task).unwrap();
                    let later = |w: &Worker| w.tasks.get(&id).is_some_and(|now| now.attempt > t.attempt);
                    self.coverage.duplicate_tasks_of_earlier_attempts +=
                        u32::from(self.workers.values().any(later));
                    self.coverage.duplicate_completed_tasks += u32::from(t.cause == Some(Cause::Done));
                }
                self.next_request += 1;
                self.record_fault("late_reports");
                self.deliver_event(node, Event::Report(self.next_request - 1, report));
            }
            SimEvent::LateCommit { node, sent_at: sent, transaction } => {
                self.apply_late_commit(node, sent, transaction)
            }
            SimEvent::FaultBegins(spell, until) => self.begin_fault(spell, until),
            SimEvent::CloudCall { node, incarnation: life, id, call } => {
                let down = self.now < self.cloud_down_until && self.record_fault("cloud_outage");
                let away = down || self.are_zones_partitioned(self.controller_zones[node], "");
                let reply = if away { CloudReply::Unclear } else { self.handle_cloud_call(&call) };
                let reply = if self.is_message_lost() { CloudReply::Unclear } else { reply };
                let event = Event::Cloud(id, reply);
                self.schedule_within(
                    50 * MS,
                    200 * MS,
                    SimEvent::ToController { node, incarnation: life, event },
                );
            }
            SimEvent::Orders { node, incarnation: life, machine, orders, sent_at: sent } => {
                let token = orders.token;
                let reply = self.deliver_direct_orders(node, &machine, orders, sent);
                let unclear = matches!(reply, DirectReply::Unclear);
                let event = Event::WorkerReply { machine, token, reply };
                let event = SimEvent::ToController { node, incarnation: life, event };
                // Who hears nothing waits; meanwhile reports come and are answered.
                if unclear {
                    self.schedule_at(self.now + PATIENCE, event)
                } else {
                    self.schedule_within(MS, 5 * MS, event)
                }
            }
            SimEvent::LateOrders { machine, orders, sent_at: sent } => {
                let any = !orders.orders.is_empty();
                let done = matches!(self.execute_orders(&machine, orders, sent), DirectReply::Done(_));
                let late = self.now.since(sent) > Micros::from_secs(1);
                self.coverage.late_orders += u32::from(any && done && late);
            }
            SimEvent::WorkerTurn(name) => self.advance_worker(name),
            SimEvent::ReportAnswered { machine, session, tally, answer, answered_at: given } => {
                self.handle_report_answer(machine, session, tally, answer, given);
            }
            SimEvent::UserTurn(job) => self.advance_user(job),
            SimEvent::UserRequest { node, job, request: look } => self.try_user_request(node, job, look),
            SimEvent::UserAnswered {
                job,
                withdraw,
                answer,
                answered_by: by,
                sent_at: sent,
                answered_at: given,
            } => self.handle_user_answer(AnsweredRequest { job, withdraw, sent_at: sent }, answer, by, given),
        }
    }
}
