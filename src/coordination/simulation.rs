//! Simulated clusters in one thread.
//!
//! Real controllers run against a simulated state service, cloud, workers and users, with faults injected from a seed.
//! The protocol's rules are checked while the simulation runs.

mod broken_jobs;
mod capacity_shortage;
mod cloud;
mod cluster_sizes;
mod contradicted_conclusions;
mod count_check;
mod coverage;
mod direct_start_races;
mod duplicate_starts;
mod evictions;
mod false_reports;
mod fault_combinations;
mod fault_injection;
mod fault_pairs;
mod former_incarnations;
mod invalid_requests;
mod job_combinations;
mod late_statuses;
mod machine_fault_combinations;
mod measure_takeovers;
mod neglect_cases;
mod neglect_check;
mod network;
mod newcomer_message_orderings;
mod not_receiving;
mod outages;
mod overload;
mod query_load;
mod quick_restarts;
mod quota_fault_combinations;
mod quota_guard;
mod repeated_orders;
mod replaced_links;
mod request_bursts;
mod rules;
mod runs_at_limits;
mod services;
mod starts_in_flight;
mod status_message_orderings;
mod store;
mod takeover_combinations;
mod takeovers;
mod team_limit_checks;
mod timed_faults;
mod uninformed_message_orderings;
mod unknown_tasks;
mod user_request_combinations;
mod users;
mod withdrawals;
mod workers;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;

use coverage::Coverage;
use fault_injection::FaultProfile;
use neglect_check::NeglectMonitor;
use network::PendingRequest;
use repeated_orders::AnsweredCall;
use request_bursts::UserRequest;
use store::Store;
use timed_faults::{CALL_TIMEOUT, CommitFault, TimedFault};
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

/// Something that happens at a scheduled time; `node` is the index of a controller.
enum SimEvent {
    /// The periodic tick of a controller.
    Tick(usize),
    /// A controller starts.
    Start(usize),
    /// An event arrives at one incarnation of a controller.
    ToController { node: usize, incarnation: u64, event: Event },
    /// A controller's call arrives at the store.
    StoreCall { node: usize, incarnation: u64, id: CallId, call: StoreCall },
    /// A watch that has been open at the store since `opened_at`.
    Watch { node: usize, incarnation: u64, id: CallId, call: StoreCall, opened_at: Micros },
    /// A controller's call arrives at the cloud.
    CloudCall { node: usize, incarnation: u64, id: CallId, call: CloudCall },
    /// A worker's periodic update of its lease, tasks and reports.
    WorkerTurn(String),
    /// The answer to a report, or its loss, arrives at the worker.
    ReportAnswered {
        machine: String,
        session: u64,
        tally: u64,
        answer: Option<Answer>,
        /// When the answer left the controller.
        answered_at: Micros,
    },
    /// The user of a job sends its next request.
    UserTurn(String),
    /// A user sends a request to one given controller.
    SendUserRequest { node: usize, job: String, request: UserRequest },
    /// A copy of a report arrives at whichever incarnation of the controller is running.
    DuplicateReport { node: usize, report: Report },
    /// The answer to a request arrives at its user.
    UserAnswered {
        job: String,
        withdraw: bool,
        answer: Answer,
        answered_by: usize,
        /// When the user sent its request.
        sent_at: Micros,
        /// When the answer left the controller.
        answered_at: Micros,
    },
    /// Direct orders arrive at a machine.
    Orders { node: usize, incarnation: u64, machine: String, orders: DirectOrders, sent_at: Micros },
    /// Direct orders that were delayed arrive at a machine; their sender gets no reply.
    LateOrders { machine: String, orders: DirectOrders, sent_at: Micros },
    /// Direct orders that were carried out and answered arrive at their machine once more.
    RepeatedOrders(AnsweredCall),
    /// A transaction that was delayed arrives at the store; its sender gets no reply.
    LateCommit { node: usize, sent_at: Micros, transaction: Transaction },
    /// A fault begins; it lasts until the given time.
    FaultBegins(TimedFault, Micros),
    /// The effects that a controller decided on before it was paused are carried out.
    DelayedEffects { node: usize, incarnation: u64, effects: Vec<Effect> },
}

/// An event with its time and a sequence number that orders events of the same time.
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

#[derive(Clone, Copy)]
struct ClusterSize {
    controllers: usize,
    machines: usize,
}

/// A simulated cluster: its clock, event queue, components and injected faults.
struct World {
    rng: StdRng,
    now: Micros,
    queue: BinaryHeap<ScheduledEvent>,
    sequence: u64,
    settings: Vec<Settings>,
    tuning: Tuning,
    controllers: Vec<Option<Controller>>,
    /// How often each controller has been started.
    incarnations: Vec<u64>,
    /// When each controller was last started.
    started_at: Vec<Micros>,
    /// How fast each controller's clock runs.
    clock_rates: Vec<f64>,
    pending_requests: HashMap<(usize, u64, RequestId), PendingRequest>,
    next_request: RequestId,
    store: Store,
    /// Faults of the store and the controllers, with their start and end.
    timed_faults: Vec<(TimedFault, Micros, Micros)>,
    /// When the last of the faults so far ends.
    faults_end: Micros,
    cloud_down_until: Micros,
    /// Machines rented by each rental request, by its name.
    rentals: BTreeMap<String, Vec<String>>,
    next_machine: u32,
    machine_types: Vec<MachineType>,
    /// The most machines that the cloud provides at a time.
    cloud_capacity: usize,
    workers: BTreeMap<String, Worker>,
    jobs: BTreeMap<String, UserJob>,
    fault_profile: FaultProfile,
    tasks_started: u32,
    /// From then on no random faults are injected.
    fault_free_from: Micros,
    /// How long tasks run, in microseconds.
    task_run_time: std::ops::Range<u64>,
    /// Each job's first task ends long before its others.
    first_task_short: bool,
    /// A controller that the load balancer sends no users to.
    excluded_controller: Option<usize>,
    /// Until when each controller is paused by `TimedFault::PausedBeforeSending`.
    send_stalled_until: Vec<Micros>,
    /// When the last transaction of each controller was committed.
    last_commit_at: Vec<Micros>,
    coverage: Coverage,
    /// Jobs whose tasks fail on every machine.
    broken_jobs: BTreeSet<String>,
    /// Calls that reached the store, those that it refused or that were lost included.
    store_calls: u64,
    /// Controllers start tasks without waiting until the others have confirmed the announced starts.
    skip_confirmations: bool,
    /// Owners place their jobs without the volumes that the leader gives them.
    ignore_leader_volumes: bool,
    /// When each call reached the store, and how many writes it had.
    store_writes: Vec<(Micros, u32)>,
    /// Chooses the fault, if any, of a transaction that reaches the store.
    commit_fault: Option<fn(&Transaction) -> Option<CommitFault>>,
    /// How long new machines take to boot, in microseconds.
    boot_time: std::ops::Range<u64>,
    /// Extra delay of each message between controllers, users and workers, in microseconds.
    extra_link_delay: std::ops::Range<u64>,
    /// How long starts take to a worker's address, in microseconds.
    start_order_delay: std::ops::Range<u64>,
    /// When the last message of one controller to another arrives.
    last_peer_arrival: BTreeMap<(usize, usize), Micros>,
    /// Probability that a copy of a report is retained for the next leader.
    report_retention: f64,
    /// Copies of reports that wait for the next leader.
    retained_reports: Vec<Report>,
    /// Revision of the leader record when the copies were last delivered.
    last_leader_revision: u64,
    /// Probability that a user withdraws its job at the moment at which the job's last task completes.
    withdraw_at_end_probability: f64,
    controller_zones: Vec<&'static str>,
    /// No controller is started before this time.
    controllers_down_until: Micros,
    /// When the leader crashes next, if the fault profile has leader crashes.
    next_leader_crash: Micros,
    /// Task attempts that have started: machine, session, task, attempt.
    started_attempts: BTreeSet<(String, u64, TaskId, u64)>,
    /// Probability that a user sends a burst of requests each time it first learns that its job is accepted, done or
    /// withdrawn.
    request_burst_probability: f64,
    /// Answers are also checked against the time at which they were sent, not only against that of their request.
    checks_answer_times: bool,
    /// Tasks that had not ended when an order stopped them.
    stopped_tasks: Vec<TaskId>,
    neglect_monitor: NeglectMonitor,
    /// Direct calls with starts that were carried out and answered, if they are kept.
    answered_calls: Option<Vec<AnsweredCall>>,
}

impl World {
    fn new(seed: u64, fault_profile: FaultProfile) -> World {
        World::with_size(seed, fault_profile, ClusterSize { controllers: 3, machines: 14 })
    }

    fn with_size(seed: u64, fault_profile: FaultProfile, size: ClusterSize) -> World {
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
        let machine_type = |name: &str, cpus, gpus, memory_gb, price| MachineType {
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
        let clock_rates = (0..size.controllers).map(|_| 1.0 + rng.random_range(0.0..0.0005)).collect();
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
            clock_rates,
            pending_requests: HashMap::new(),
            next_request: 1,
            store,
            timed_faults: Vec::new(),
            faults_end: Micros::ZERO,
            cloud_down_until: Micros::ZERO,
            rentals: BTreeMap::new(),
            next_machine: 0,
            machine_types: vec![
                machine_type("c16", 16.0, 0.0, 64.0, 1.0),
                machine_type("g8", 16.0, 4.0, 64.0, 5.0),
            ],
            cloud_capacity: size.machines,
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            fault_profile,
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
            neglect_monitor: NeglectMonitor::default(),
            answered_calls: None,
        };
        world.set_fault_profile(fault_profile);
        for n in 0..size.controllers {
            world.schedule_at(Micros::from_millis(10 * n as u64), SimEvent::Start(n));
        }
        world
    }

    fn schedule_at(&mut self, at: Micros, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(ScheduledEvent(at.max(self.now), self.sequence, event));
    }

    /// Schedules an event after a random delay between `from` and `to` microseconds, plus extra link delay.
    fn schedule_within(&mut self, from: u64, to: u64, event: SimEvent) {
        let delay = Micros(self.rng.random_range(from..=to)) + self.extra_delay(&event);
        self.schedule_at(self.now + delay, event);
    }

    /// Draws with probability `p`; never true once the random faults are over.
    fn chance(&mut self, p: f64) -> bool {
        p > 0.0 && self.now < self.fault_free_from && self.rng.random_bool(p.min(1.0))
    }

    /// Decides whether a message is lost. Callers may still deliver some of the lost ones, up to a minute later.
    fn is_message_lost(&mut self) -> bool {
        let p = self.fault_profile.lost;
        self.chance(p) && self.record_fault("lost")
    }

    /// Counts an injected fault that takes effect.
    fn record_fault(&mut self, fault: &'static str) -> bool {
        *self.coverage.faults.entry(fault).or_default() += 1;
        true
    }

    /// The time since the controller's start by its own clock, which runs a little fast.
    fn local_time(&self, node: usize) -> Micros {
        self.now.since(self.started_at[node]).mul_f64(self.clock_rates[node])
    }

    /// Processes all events up to the given time.
    fn run(&mut self, until: Micros) {
        while let Some(ScheduledEvent(at, ..)) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Some(ScheduledEvent(at, _, event)) = self.queue.pop() else { break };
            self.now = at;
            self.process_event(event);
            // Task starts are checked at once; the state of a large cluster only every few steps.
            if self.workers.len() < 50 || self.sequence.is_multiple_of(16) {
                self.check_rules();
            }
        }
        self.now = until;
    }

    fn process_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Start(_) if self.now < self.controllers_down_until => {
                self.schedule_at(self.controllers_down_until, event)
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
                self.record_fault("process_pause");
                let until = self.paused_until(n);
                self.schedule_at(until, event);
            }
            SimEvent::DelayedEffects { node, incarnation, effects } => {
                if self.incarnations[node] == incarnation {
                    self.apply_effects(node, effects);
                }
            }
            SimEvent::Tick(n) => {
                if self.controllers[n].is_some() {
                    if n == 0 || self.controllers[0].is_none() {
                        self.inject_faults(0.1);
                    }
                    self.deliver_event(n, Event::Tick);
                    if self.sequence.is_multiple_of(4) {
                        self.deliver_connection_refusals(n);
                    }
                    self.schedule_at(self.now + Micros::from_millis(100), SimEvent::Tick(n));
                }
            }
            SimEvent::ToController { node, incarnation, event } => {
                let from_user = matches!(event, Event::Submit(..) | Event::Query(..) | Event::Withdraw(..));
                if let Event::Submit(_, spec) = &event
                    && self.jobs.get(&spec.id).is_some_and(|user_job| user_job.known_accepted)
                {
                    self.record_fault("repeated_requests");
                }
                self.count_unsolicited_confirmation(node, &event);
                if self.incarnations[node] == incarnation
                    && !(from_user && self.are_zones_partitioned(self.controller_zones[node], ""))
                {
                    self.deliver_event(node, event);
                }
            }
            SimEvent::StoreCall { node, incarnation, id, call } => {
                self.store_calls += 1;
                self.store_writes.push((self.now, call.writes()));
                self.handle_store_call(node, incarnation, id, call, self.now);
            }
            SimEvent::Watch { node, incarnation, id, call, opened_at } => {
                self.handle_store_call(node, incarnation, id, call, opened_at)
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
                self.record_fault("duplicate_reports");
                self.deliver_event(node, Event::Report(self.next_request - 1, report));
            }
            SimEvent::LateCommit { node, sent_at, transaction } => {
                self.apply_late_commit(node, sent_at, transaction)
            }
            SimEvent::FaultBegins(fault, until) => self.begin_fault(fault, until),
            SimEvent::CloudCall { node, incarnation, id, call } => {
                let down = self.now < self.cloud_down_until && self.record_fault("cloud_outage");
                let unreachable = down || self.are_zones_partitioned(self.controller_zones[node], "");
                let reply = if unreachable { CloudReply::Unclear } else { self.handle_cloud_call(&call) };
                let reply = if self.is_message_lost() { CloudReply::Unclear } else { reply };
                let event = Event::Cloud(id, reply);
                self.schedule_within(50 * MS, 200 * MS, SimEvent::ToController { node, incarnation, event });
            }
            SimEvent::Orders { node, incarnation, machine, orders, sent_at } => {
                let token = orders.token;
                let call = AnsweredCall { node, machine: machine.clone(), orders: orders.clone(), sent_at };
                let reply = self.deliver_direct_orders(node, &machine, orders, sent_at);
                if matches!(reply, DirectReply::Done(_)) {
                    self.record_answered_call(call);
                }
                let unclear = matches!(reply, DirectReply::Unclear);
                let event = Event::WorkerReply { machine, token, reply };
                let event = SimEvent::ToController { node, incarnation, event };
                // A call without an answer blocks until its timeout; reports are received and answered meanwhile.
                if unclear {
                    self.schedule_at(self.now + CALL_TIMEOUT, event)
                } else {
                    self.schedule_within(MS, 5 * MS, event)
                }
            }
            SimEvent::LateOrders { machine, orders, sent_at } => {
                let any = !orders.orders.is_empty();
                let done = matches!(self.execute_orders(&machine, orders, sent_at), DirectReply::Done(_));
                let late = self.now.since(sent_at) > Micros::from_secs(1);
                self.coverage.late_orders += u32::from(any && done && late);
            }
            SimEvent::RepeatedOrders(call) => drop(self.repeat_orders(call)),
            SimEvent::WorkerTurn(name) => self.advance_worker(name),
            SimEvent::ReportAnswered { machine, session, tally, answer, answered_at } => {
                self.handle_report_answer(machine, session, tally, answer, answered_at);
            }
            SimEvent::UserTurn(job) => self.advance_user(job),
            SimEvent::SendUserRequest { node, job, request } => self.try_user_request(node, job, request),
            SimEvent::UserAnswered { job, withdraw, answer, answered_by, sent_at, answered_at } => self
                .handle_user_answer(
                    AnsweredRequest { job, withdraw, sent_at },
                    answer,
                    answered_by,
                    answered_at,
                ),
        }
    }
}
