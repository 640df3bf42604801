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
use looks::Look;
use network::Asked;
use spells::{Fate, PATIENCE, Spell};
use store::Store;
use troubles::FaultProfile;
use users::{Asking, Wish};
use workers::{Running, Worker};

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

enum Happening {
    Tick(usize),
    Start(usize),
    ToController {
        node: usize,
        life: u64,
        event: Event,
    },
    StoreCall {
        node: usize,
        life: u64,
        id: CallId,
        call: StoreCall,
    },
    /// A watch that is open at the store, since then.
    Watch {
        node: usize,
        life: u64,
        id: CallId,
        call: StoreCall,
        since: Micros,
    },
    CloudCall {
        node: usize,
        life: u64,
        id: CallId,
        call: CloudCall,
    },
    Worker(String),
    ReportAnswered {
        machine: String,
        session: u64,
        tally: u64,
        answer: Option<Answer>,
        /// When it left the controller.
        given: Micros,
    },
    User(String),
    /// A user asks one controller, for itself.
    Looks {
        node: usize,
        job: String,
        look: Look,
    },
    /// A copy of a report, to whichever life of the controller is there.
    Copy {
        node: usize,
        report: Report,
    },
    UserAnswered {
        job: String,
        withdraw: bool,
        answer: Answer,
        by: usize,
        /// When the user sent its request, and when the answer left the controller.
        sent: Micros,
        given: Micros,
    },
    Orders {
        node: usize,
        life: u64,
        machine: String,
        orders: DirectOrders,
        sent: Micros,
    },
    LateOrders {
        machine: String,
        orders: DirectOrders,
        sent: Micros,
    },
    LateCommit {
        node: usize,
        sent: Micros,
        transaction: Transaction,
    },
    /// A spell begins, until then.
    Befalls(Spell, Micros),
    /// What a controller decided before it stood still leaves now.
    Leaves {
        node: usize,
        life: u64,
        effects: Vec<Effect>,
    },
}

struct Scheduled(Micros, u64, Happening);
impl PartialEq for Scheduled {
    fn eq(&self, o: &Self) -> bool {
        (self.0, self.1) == (o.0, o.1)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, o: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, o: &Self) -> std::cmp::Ordering {
        (o.0, o.1).cmp(&(self.0, self.1))
    }
}

/// What a run has met: a test that brings a meeting about asserts that it did.
#[derive(Debug, Default)]
struct Met {
    /// Transactions without an answer that were carried out after newer ones of the same controller.
    late_commits: u32,
    /// Copies of reports that came after newer reports of the machine, and of those the ones of an earlier session.
    late_copies: u32,
    earlier_sessions: u32,
    /// Tasks in copies that were in a later attempt by then, and those that had completed.
    earlier_attempts: u32,
    old_done: u32,
    /// Tasks that began a second time in the same attempt and session.
    begun_again: u32,
    /// Orders that were carried out more than a second after they were sent.
    late_orders: u32,
    /// Orders that a worker rejected though it had a start among them from the answer to a report.
    rejected_but_there: u32,
    /// Tasks that had completed and began again.
    done_again: u32,
    /// Tasks that a worker ended since nobody had renewed its lease.
    lost_by_lease: usize,
    /// Confirmations of statuses that the process they came to had not sent.
    unasked_confirmations: u32,
    /// Words of controllers that came more than five seconds late.
    late_words: u32,
    /// The longest that a task was there after its job's withdrawal had been recorded, and confirmed.
    outlived: Micros,
    outlived_confirmed: Micros,
    /// Starts of tasks of jobs whose withdrawal had been confirmed, by commands that were in flight at the
    /// confirmation.
    in_flight: u32,
    /// Transactions carried out at once of which the answer was lost.
    answers_lost: u32,
    /// Copies of reports that were kept and given to a controller when a new leader had appeared.
    kept_given: u32,
    /// How often each trouble that was drawn took effect.
    troubles: BTreeMap<&'static str, u32>,
    /// Looks at all controllers after a user has heard something first; of jobs that nobody submitted, and of those
    /// the answers that there is no such job.
    looks: u32,
    unknown: u32,
    unknown_denied: u32,
    /// Answers about jobs that are over, to questions sent after their users had heard of it.
    repeated_finals: u32,
    /// Answers older than what their users had heard, to requests sent before they had heard it.
    overlapped: u32,
    /// The most processors and accelerators that each team's tasks took at once, in thousandths.
    peaks: Vec<(u64, u64)>,
    /// How often a job that had waited for 90 s in calm was held against the machines that had had room all the while.
    waits: u32,
}

#[derive(Clone, Copy)]
struct Size {
    controllers: usize,
    machines: usize,
}

struct World {
    rng: StdRng,
    now: Micros,
    queue: BinaryHeap<Scheduled>,
    sequence: u64,
    settings: Vec<Settings>,
    tuning: Tuning,
    controllers: Vec<Option<Controller>>,
    lives: Vec<u64>,
    booted: Vec<Micros>,
    drift: Vec<f64>,
    requests: HashMap<(usize, u64, RequestId), Asked>,
    next_request: RequestId,
    store: Store,
    /// What has befallen the store and the controllers, since when and until when.
    spells: Vec<(Spell, Micros, Micros)>,
    /// When the last spell so far ends.
    spells_over: Micros,
    cloud_down: Micros,
    charters: BTreeMap<String, Vec<String>>,
    next_machine: u32,
    types: Vec<MachineType>,
    capacity: usize,
    workers: BTreeMap<String, Worker>,
    jobs: BTreeMap<String, Wish>,
    trouble: FaultProfile,
    started: u32,
    calm_after: Micros,
    /// How long tasks run, in microseconds; and whether a job's first task ends long before its others.
    runs_for: std::ops::Range<u64>,
    far_apart: bool,
    /// A controller that users do not get to: the balancer has them elsewhere.
    passed_over: Option<usize>,
    /// Until when controllers that stalled before sending something stand still.
    stalled_until: Vec<Micros>,
    /// When each controller's newest transaction was carried out, by when it was sent.
    newest_commit: Vec<Micros>,
    met: Met,
    /// Jobs that fail wherever they run.
    mistaken: BTreeSet<String>,
    /// Calls that have reached the store, or would have.
    store_calls: u64,
    /// Controllers order starts without waiting for the others to know of them.
    careless: bool,
    /// Owners work for themselves, without the leader's division of the pools.
    alone: bool,
    /// When changes reached the store, and how many.
    changes: Vec<(Micros, u32)>,
    /// What befalls a transaction that reaches the store.
    fate_of: Option<fn(&Transaction) -> Option<Fate>>,
    /// How long new machines take to be up, and how much longer than else each message between controllers, users
    /// and workers is on its way, in microseconds.
    boots: std::ops::Range<u64>,
    links: std::ops::Range<u64>,
    /// How long starts are on their way to a worker's address, in microseconds.
    starts_take: std::ops::Range<u64>,
    /// When the last message from one controller to another arrives.
    last_words: BTreeMap<(usize, usize), Micros>,
    /// Share of the reports of which a copy is kept for the next leader; those copies; and the leader they wait beyond.
    keeps_reports: f64,
    kept: Vec<Report>,
    last_leader: u64,
    /// Share of the jobs that are called off at the moment at which their last task ends.
    withdraw_at_end: f64,
    controller_zones: Vec<&'static str>,
    /// Until then no controller is started.
    all_away: Micros,
    /// When the leader ends next, under `FaultProfile::leader_crashes`.
    next_end: Micros,
    /// Machines, their sessions, and the tasks and attempts that have begun in them.
    begun: BTreeSet<(String, u64, TaskId, u64)>,
    /// Odds, each time that a user first hears that a job is accepted, done or withdrawn, that it asks everywhere.
    looks: f64,
    /// An older answer is judged by when it was given too, not only by when its request was sent.
    judges_arrivals: bool,
    /// Tasks that were there when a command stopped them.
    stops: Vec<TaskId>,
    idle: Idle,
}

impl World {
    fn new(seed: u64, trouble: FaultProfile) -> World {
        World::sized(seed, trouble, Size { controllers: 3, machines: 14 })
    }

    fn sized(seed: u64, trouble: FaultProfile, size: Size) -> World {
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
            lives: vec![0; size.controllers],
            booted: vec![Micros::ZERO; size.controllers],
            drift,
            requests: HashMap::new(),
            next_request: 1,
            store,
            spells: Vec::new(),
            spells_over: Micros::ZERO,
            cloud_down: Micros::ZERO,
            charters: BTreeMap::new(),
            next_machine: 0,
            types: vec![kind("c16", 16.0, 0.0, 64.0, 1.0), kind("g8", 16.0, 4.0, 64.0, 5.0)],
            capacity: size.machines,
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            trouble,
            started: 0,
            calm_after: Micros::MAX,
            runs_for: 2 * S..20 * S,
            far_apart: false,
            passed_over: None,
            stalled_until: vec![Micros::ZERO; size.controllers],
            newest_commit: vec![Micros::ZERO; size.controllers],
            met: Met::default(),
            mistaken: BTreeSet::new(),
            store_calls: 0,
            careless: false,
            alone: false,
            changes: Vec::new(),
            fate_of: None,
            boots: 0..0,
            links: 0..0,
            starts_take: MS..5 * MS,
            last_words: BTreeMap::new(),
            keeps_reports: 0.0,
            kept: Vec::new(),
            last_leader: 0,
            withdraw_at_end: 0.0,
            controller_zones: (0..size.controllers).map(|n| ["east", "west"][n % 2]).collect(),
            all_away: Micros::ZERO,
            next_end: Micros::ZERO,
            begun: BTreeSet::new(),
            looks: 0.0,
            stops: Vec::new(),
            judges_arrivals: true,
            idle: Idle::default(),
        };
        world.set_fault_profile(trouble);
        for n in 0..size.controllers {
            world.at(Micros::from_millis(10 * n as u64), Happening::Start(n));
        }
        world
    }

    fn at(&mut self, at: Micros, what: Happening) {
        self.sequence += 1;
        self.queue.push(Scheduled(at.max(self.now), self.sequence, what));
    }

    fn soon(&mut self, from: u64, to: u64, what: Happening) {
        let delay = Micros(self.rng.random_range(from..=to)) + self.on_its_way(&what);
        self.at(self.now + delay, what);
    }

    fn odds(&mut self, p: f64) -> bool {
        p > 0.0 && self.now < self.calm_after && self.rng.random_bool(p.min(1.0))
    }

    /// A message may be lost; a late one arrives up to a minute later.
    fn lost(&mut self) -> bool {
        let p = self.trouble.lost;
        self.odds(p) && self.meets("lost")
    }

    /// A trouble takes effect.
    fn meets(&mut self, trouble: &'static str) -> bool {
        *self.met.troubles.entry(trouble).or_default() += 1;
        true
    }

    fn clock(&self, node: usize) -> Micros {
        self.now.since(self.booted[node]).mul_f64(self.drift[node])
    }

    fn run(&mut self, until: Micros) {
        while let Some(Scheduled(at, ..)) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Some(Scheduled(at, _, what)) = self.queue.pop() else { break };
            self.now = at;
            self.happen(what);
            // Every start is judged at once; the whole of a large fleet every few steps.
            if self.workers.len() < 50 || self.sequence.is_multiple_of(16) {
                self.check();
            }
        }
        self.now = until;
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Start(_) if self.now < self.all_away => self.at(self.all_away, what),
            Happening::Start(n) => {
                self.lives[n] += 1;
                self.booted[n] = self.now;
                let seed = self.rng.random();
                let mut controller = Controller::new(self.settings[n].clone(), self.tuning.clone(), seed);
                controller.skip_confirmations = self.careless;
                controller.ignore_leader_volumes = self.alone;
                self.controllers[n] = Some(controller);
                self.at(self.now, Happening::Tick(n));
            }
            Happening::Tick(n)
            | Happening::ToController { node: n, .. }
            | Happening::Copy { node: n, .. }
                if self.still_until(n) > self.now =>
            {
                self.meets("process_pause");
                let until = self.still_until(n);
                self.at(until, what);
            }
            Happening::Leaves { node, life, effects } => {
                if self.lives[node] == life {
                    self.carry_out(node, effects);
                }
            }
            Happening::Tick(n) => {
                if self.controllers[n].is_some() {
                    if n == 0 || self.controllers[0].is_none() {
                        self.inject_faults(0.1);
                    }
                    self.tell(n, Event::Tick);
                    if self.sequence.is_multiple_of(4) {
                        self.refusals(n);
                    }
                    self.at(self.now + Micros::from_millis(100), Happening::Tick(n));
                }
            }
            Happening::ToController { node, life, event } => {
                let users = matches!(event, Event::Submit(..) | Event::Query(..) | Event::Withdraw(..));
                if let Event::Submit(_, spec) = &event
                    && self.jobs.get(&spec.id).is_some_and(|wish| wish.told_accepted)
                {
                    self.meets("repeated_requests");
                }
                self.note_unasked(node, &event);
                if self.lives[node] == life && !(users && self.zone_cut(self.controller_zones[node], "")) {
                    self.tell(node, event);
                }
            }
            Happening::StoreCall { node, life, id, call } => {
                self.store_calls += 1;
                self.changes.push((self.now, call.writes()));
                self.at_the_store(node, life, id, call, self.now);
            }
            Happening::Watch { node, life, id, call, since } => {
                self.at_the_store(node, life, id, call, since)
            }
            Happening::Copy { node, report } => {
                if let Some(w) = self.workers.get(&report.machine) {
                    self.met.late_copies += u32::from((w.session, w.tally) > (report.session, report.tally));
                    self.met.earlier_sessions += u32::from(w.session > report.session);
                }
                for t in &report.tasks {
                    let id = TaskId::parse(&t.task).unwrap();
                    let later = |w: &Worker| w.tasks.get(&id).is_some_and(|now| now.attempt > t.attempt);
                    self.met.earlier_attempts += u32::from(self.workers.values().any(later));
                    self.met.old_done += u32::from(t.cause == Some(Cause::Done));
                }
                self.next_request += 1;
                self.meets("duplicate_reports");
                self.tell(node, Event::Report(self.next_request - 1, report));
            }
            Happening::LateCommit { node, sent, transaction } => self.late_commit(node, sent, transaction),
            Happening::Befalls(spell, until) => self.befalls(spell, until),
            Happening::CloudCall { node, life, id, call } => {
                let down = self.now < self.cloud_down && self.meets("cloud_outage");
                let away = down || self.zone_cut(self.controller_zones[node], "");
                let reply = if away { CloudReply::Unclear } else { self.cloud(&call) };
                let reply = if self.lost() { CloudReply::Unclear } else { reply };
                let event = Event::Cloud(id, reply);
                self.soon(50 * MS, 200 * MS, Happening::ToController { node, life, event });
            }
            Happening::Orders { node, life, machine, orders, sent } => {
                let token = orders.token;
                let reply = self.direct(node, &machine, orders, sent);
                let unclear = matches!(reply, DirectReply::Unclear);
                let event = Event::WorkerReply { machine, token, reply };
                let event = Happening::ToController { node, life, event };
                // Who hears nothing waits; meanwhile reports come and are answered.
                if unclear { self.at(self.now + PATIENCE, event) } else { self.soon(MS, 5 * MS, event) }
            }
            Happening::LateOrders { machine, orders, sent } => {
                let any = !orders.orders.is_empty();
                let done = matches!(self.execute(&machine, orders, sent), DirectReply::Done(_));
                let late = self.now.since(sent) > Micros::from_secs(1);
                self.met.late_orders += u32::from(any && done && late);
            }
            Happening::Worker(name) => self.worker_turn(name),
            Happening::ReportAnswered { machine, session, tally, answer, given } => {
                self.report_answered(machine, session, tally, answer, given);
            }
            Happening::User(job) => self.user_turn(job),
            Happening::Looks { node, job, look } => self.look(node, job, look),
            Happening::UserAnswered { job, withdraw, answer, by, sent, given } => {
                self.user_answered(Asking { job, withdraw, sent }, answer, by, given)
            }
        }
    }
}
