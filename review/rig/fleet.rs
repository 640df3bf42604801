//! Stand-ins of the cloud and of the workers on its machines, as PROTOCOL has them.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{Json, map, text};

/// Times of the workers, as in the settings of the controllers.
#[derive(Clone, Copy)]
pub struct WorkerTimes {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
}

/// A machine type, and how many machines of it the cloud has to give.
#[derive(Clone)]
pub struct MachineType {
    pub name: &'static str,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub price: f64,
    pub spot_price: f64,
    /// What the cloud's page says.
    pub startup_s: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    /// Each zone, and how many ordinary and spot machines are to be had there.
    pub capacity: Vec<(&'static str, usize, usize)>,
}

/// A job as its user submitted it, and how long each of its tasks runs.
#[derive(Clone)]
pub struct Job {
    pub body: Json,
    pub run_s: f64,
}

impl Job {
    fn gang(&self) -> bool {
        self.body.get("Shape").str() == "ensemble"
    }

    pub fn need(&self) -> [f64; 3] {
        ["Cpus", "Cards", "MemoryGb"].map(|field| self.body.get(field).num())
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    Fetching,
    Waiting,
    Running,
    Saving,
    Ended,
}

impl State {
    fn name(self) -> &'static str {
        match self {
            State::Fetching => "fetching",
            State::Waiting => "waiting",
            State::Running => "running",
            State::Saving => "saving",
            State::Ended => "ended",
        }
    }
}

pub struct Task {
    pub state: State,
    why: &'static str,
    /// When the state ends by itself.
    until: Instant,
}

/// Job, number and attempt.
pub type TaskKey = (String, u32, u64);

pub struct Machine {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub addr: String,
    rented_at: Instant,
    pub up_at: Instant,
    session: u64,
    tally: u64,
    token: u64,
    /// When the last answered report was sent, or the session began.
    renewed_at: Instant,
    pub tasks: BTreeMap<TaskKey, Task>,
    images: BTreeSet<String>,
    node: usize,
    changed: bool,
}

/// Everything outside of the controllers and the state service.
pub struct World {
    start: Instant,
    record: File,
    pub types: Vec<MachineType>,
    times: WorkerTimes,
    boot: Duration,
    list_lag: Duration,
    pub machines: BTreeMap<String, Machine>,
    rented: u64,
    rentals: BTreeMap<String, Vec<String>>,
    pub jobs: BTreeMap<String, Job>,
    pub completed: BTreeSet<(String, u32)>,
    /// Tasks that came to be on a machine: job, number, machine, and when.
    pub starts: Vec<(String, u32, String, f64)>,
    /// Names and addresses of the controllers.
    pub nodes: Vec<(String, String)>,
}

pub type Shared = Arc<Mutex<World>>;

impl World {
    pub fn new(
        record: File,
        types: Vec<MachineType>,
        times: WorkerTimes,
        boot_s: f64,
        list_lag_s: f64,
    ) -> World {
        World {
            start: Instant::now(),
            record,
            types,
            times,
            boot: Duration::from_secs_f64(boot_s),
            list_lag: Duration::from_secs_f64(list_lag_s),
            machines: BTreeMap::new(),
            rented: 0,
            rentals: BTreeMap::new(),
            jobs: BTreeMap::new(),
            completed: BTreeSet::new(),
            starts: Vec::new(),
            nodes: Vec::new(),
        }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds a line to the record.
    pub fn note(&mut self, line: &str) {
        let at = self.now();
        let _ = writeln!(self.record, "{at:8.3} {line}");
    }

    pub fn free(&self, machine: &Machine) -> [f64; 3] {
        let kind = self.types.iter().find(|t| t.name == machine.kind).expect("a known type");
        let mut free = [kind.cpus, kind.gpus, kind.memory_gb];
        for (key, _) in machine.tasks.iter().filter(|(_, t)| t.state != State::Ended) {
            if let Some(job) = self.jobs.get(&key.0) {
                free.iter_mut().zip(job.need()).for_each(|(free, need)| *free -= need);
            }
        }
        free
    }

    /// The machines that are up, that the job allows and that have room for one of its tasks; none if it has to start
    /// with more tasks than they take together.
    pub fn machines_with_room(&self, job: &str) -> Vec<String> {
        let Some(job) = self.jobs.get(job) else { return Vec::new() };
        let now = Instant::now();
        let (hulls, spot) = (job.body.get("Hulls"), job.body.get("Standby").is_true());
        let slots = |m: &Machine| {
            let allowed = m.up_at <= now
                && (spot || !m.spot)
                && (*hulls == Json::Null || hulls.list().iter().any(|h| h.str() == m.kind));
            let times = self.free(m).into_iter().zip(job.need()).filter(|(_, need)| *need > 0.0);
            let times = times.map(|(free, need)| ((free + 1e-9) / need) as u64).min().unwrap_or(0);
            if allowed { times } else { 0 }
        };
        let with_room: Vec<(&String, u64)> =
            self.machines.iter().map(|(name, m)| (name, slots(m))).filter(|(_, n)| *n > 0).collect();
        let least = if job.body.get("Shape").str() == "sweep" {
            1
        } else {
            job.body.get("Pieces").int().unwrap_or(1)
        };
        if with_room.iter().map(|(_, n)| n).sum::<u64>() < least {
            return Vec::new();
        }
        with_room.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// The number of a job's tasks on machines, those that wait for their image too.
    pub fn placed(&self, job: &str) -> usize {
        let tasks = self.machines.values().flat_map(|m| &m.tasks);
        tasks.filter(|(key, t)| key.0 == job && t.state != State::Ended).count()
    }

    /// Ends the tasks of a session whose lease is over, and begins the next one.
    fn expire(&mut self, name: &str) {
        let lease = Duration::from_secs_f64(self.times.lease_s);
        let Some(m) = self.machines.get_mut(name) else { return };
        if m.renewed_at.elapsed() <= lease {
            return;
        }
        m.session += 1;
        m.renewed_at = Instant::now();
        m.changed = true;
        let (lost, session) = (m.tasks.values().filter(|t| t.state != State::Ended).count(), m.session);
        m.tasks.clear();
        self.note(&format!("{name}: lease over, {lost} tasks killed, session {session} begins"));
    }

    fn report(&mut self, name: &str) -> Json {
        let Some(m) = self.machines.get_mut(name) else { return Json::Null };
        m.tally += 1;
        let piece = |((job, index, attempt), t): (&TaskKey, &Task)| {
            let mut piece = map(&[
                ("Piece", text(format!("{job}/{index}"))),
                ("Launch", Json::Int(*attempt)),
                ("Status", text(t.state.name())),
            ]);
            if t.state == State::Ended {
                piece.set("Cause", text(t.why));
            }
            piece
        };
        map(&[
            ("Host", text(name)),
            ("Addr", text(m.addr.clone())),
            ("Hull", text(m.kind.clone())),
            ("Berth", text(m.zone.clone())),
            ("Standby", Json::Bool(m.spot)),
            ("Watch", Json::Int(m.session)),
            ("Tally", Json::Int(m.tally)),
            ("Helm", Json::Int(m.token)),
            ("WarningS", Json::Null),
            ("Pieces", Json::List(m.tasks.iter().map(piece).collect())),
        ])
    }

    /// Executes orders; `way`: how they came.
    fn execute(&mut self, name: &str, orders: &Json, way: &str) {
        let count = |verb: &str| orders.list().iter().filter(|o| o.get("Verb").str() == verb).count();
        let (runs, kills, forgets) = (count("run"), count("kill"), count("forget"));
        if runs + kills + forgets > 0 {
            let first = orders.list()[0].write();
            self.note(&format!(
                "{name}: {way} brings run {runs}, kill {kills}, forget {forgets}; first {first}"
            ));
        }
        for order in orders.list() {
            let Some((job, index)) = order.get("Piece").str().split_once('/') else { continue };
            let Ok(index) = index.parse::<u32>() else { continue };
            let key: TaskKey = (job.to_owned(), index, order.get("Launch").int().unwrap_or(0));
            match order.get("Verb").str() {
                "run" => self.run(name, key),
                "kill" => self.kill(name, &key, order.get("LeewayS").num()),
                "forget" => {
                    let Some(m) = self.machines.get_mut(name) else { return };
                    if m.tasks.get(&key).is_some_and(|t| t.state == State::Ended) {
                        m.tasks.remove(&key);
                        m.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, name: &str, key: TaskKey) {
        let Some(m) = self.machines.get(name) else { return };
        if m.tasks.contains_key(&key) {
            return;
        }
        let other = m.tasks.iter().any(|(k, t)| (&k.0, k.1) == (&key.0, key.1) && t.state != State::Ended);
        let job =
            self.jobs.get(&key.0).filter(|j| u64::from(key.1) < j.body.get("Pieces").int().unwrap_or(0));
        let refused = match job {
            None => Some("no_such"),
            Some(_) if other => Some("in_use"),
            Some(j) if self.free(m).iter().zip(j.need()).any(|(free, need)| need > free + 1e-9) => {
                Some("full")
            }
            Some(_) => None,
        };
        let kit = job.map(|j| j.body.get("Kit").str().to_owned()).unwrap_or_default();
        let rate = self.types.iter().find(|t| t.name == m.kind).map_or(1.0, |t| t.fetch_gb_per_s);
        let size = job.map_or(0.0, |j| j.body.get("SizeGb").num());
        let fetch_s = if m.images.contains(&kit) { 0.05 } else { size / rate };
        let (state, why) =
            if refused.is_some() { (State::Ended, refused.unwrap()) } else { (State::Fetching, "") };
        let until = Instant::now() + Duration::from_secs_f64(fetch_s);
        if let Some(m) = self.machines.get_mut(name) {
            m.tasks.insert(key.clone(), Task { state, why, until });
            m.images.insert(kit);
            m.changed = true;
        }
        if let Some(why) = refused {
            self.note(&format!("{name}: run {}/{} attempt {} refused: {why}", key.0, key.1, key.2));
        }
    }

    fn kill(&mut self, name: &str, key: &TaskKey, leeway_s: f64) {
        let stow_s = self.jobs.get(&key.0).map_or(0.0, |j| j.body.get("StowS").num());
        let saves = self.jobs.get(&key.0).is_some_and(|j| j.body.get("MarkS").num() > 0.0);
        let Some(t) = self.machines.get_mut(name).and_then(|m| m.tasks.get_mut(key)) else { return };
        match t.state {
            State::Ended => return,
            State::Running if saves && leeway_s >= stow_s => {
                (t.state, t.until) = (State::Saving, Instant::now() + Duration::from_secs_f64(stow_s));
            }
            State::Saving if leeway_s > 0.0 => return,
            _ => (t.state, t.why) = (State::Ended, "stopped"),
        }
        if let Some(m) = self.machines.get_mut(name) {
            m.changed = true;
        }
    }

    /// Moves all tasks on to the present moment.
    fn advance(&mut self) {
        let now = Instant::now();
        for name in self.machines.keys().cloned().collect::<Vec<_>>() {
            if self.machines[&name].up_at > now {
                continue;
            }
            self.expire(&name);
            let due =
                self.machines[&name].tasks.iter().filter(|(_, t)| t.state != State::Ended && t.until <= now);
            for key in due.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
                self.task_due(&name, &key, now);
            }
        }
        self.advance_gangs(now);
    }

    fn task_due(&mut self, name: &str, key: &TaskKey, now: Instant) {
        let Some(job) = self.jobs.get(&key.0).cloned() else { return };
        let run = Duration::from_secs_f64(job.run_s);
        let done_before = self.completed.contains(&(key.0.clone(), key.1));
        let wait = Duration::from_secs_f64(self.times.gang_wait_s);
        let at = self.now();
        let Some(t) = self.machines.get_mut(name).and_then(|m| m.tasks.get_mut(key)) else { return };
        match t.state {
            State::Fetching => {
                if done_before {
                    (t.state, t.why) = (State::Ended, "done");
                } else if job.gang() {
                    (t.state, t.until) = (State::Waiting, now + wait);
                } else {
                    (t.state, t.until) = (State::Running, now + run);
                }
                self.starts.push((key.0.clone(), key.1, name.to_owned(), at));
                self.note(&format!("{name}: {}/{} attempt {} is on the machine", key.0, key.1, key.2));
            }
            State::Waiting => (t.state, t.why) = (State::Ended, "incomplete"),
            State::Running if job.gang() => return,
            State::Running => {
                (t.state, t.why) = (State::Ended, "done");
                self.completed.insert((key.0.clone(), key.1));
            }
            State::Saving => (t.state, t.why) = (State::Ended, "stopped"),
            State::Ended => return,
        }
        if let Some(m) = self.machines.get_mut(name) {
            m.changed = true;
        }
    }

    /// Gangs start, complete and fail together.
    fn advance_gangs(&mut self, now: Instant) {
        let mut gangs: BTreeMap<(String, u64), Vec<(String, TaskKey, State, Instant)>> = BTreeMap::new();
        for (name, m) in &self.machines {
            for (key, t) in m.tasks.iter().filter(|(_, t)| t.state != State::Ended) {
                if self.jobs.get(&key.0).is_some_and(Job::gang) {
                    let gang = gangs.entry((key.0.clone(), key.2)).or_default();
                    gang.push((name.clone(), key.clone(), t.state, t.until));
                }
            }
        }
        for ((id, _), members) in gangs {
            let job = self.jobs[&id].clone();
            let size = job.body.get("Pieces").int().unwrap_or(0) as usize;
            let count = |state| members.iter().filter(|m| m.2 == state).count();
            let (waiting, running) = (count(State::Waiting), count(State::Running));
            let next = if waiting == size {
                (State::Running, "")
            } else if running == size && members.iter().all(|m| m.3 <= now) {
                (State::Ended, "done")
            } else if running > 0 && running < size && count(State::Saving) == 0 {
                (State::Ended, "peers")
            } else {
                continue;
            };
            for (name, key, state, _) in
                members.iter().filter(|m| matches!(m.2, State::Waiting | State::Running))
            {
                if next.1 == "peers" && *state != State::Running {
                    continue;
                }
                if next.1 == "done" {
                    self.completed.insert((key.0.clone(), key.1));
                }
                let Some(m) = self.machines.get_mut(name) else { continue };
                m.changed = true;
                if let Some(t) = m.tasks.get_mut(key) {
                    (t.state, t.why, t.until) = (next.0, next.1, now + Duration::from_secs_f64(job.run_s));
                }
            }
        }
    }

    fn machine_entry(&self, name: &str, m: &Machine) -> Json {
        let status = if m.up_at <= Instant::now() { "running" } else { "starting" };
        map(&[
            ("Uid", text(name)),
            ("Addr", text(m.addr.clone())),
            ("Hull", text(m.kind.clone())),
            ("Berth", text(m.zone.clone())),
            ("Standby", Json::Bool(m.spot)),
            ("Status", text(status)),
            ("HeldS", Json::Num(m.rented_at.elapsed().as_secs_f64())),
        ])
    }
}

/// Starts the cloud, and returns its address.
pub fn serve_cloud(world: &Shared) -> String {
    let (listener, addr) = http::listen();
    let shared = world.clone();
    http::serve(listener, move |request| cloud(&shared, &request));
    let shared = world.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(20));
            shared.lock().unwrap().advance();
        }
    });
    addr
}

fn cloud(shared: &Shared, request: &Request) -> Reply {
    let body = Json::parse(&request.body).unwrap_or(Json::Null);
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/machine_types") => {
            let world = shared.lock().unwrap();
            let hull = |t: &MachineType| {
                map(&[
                    ("Name", text(t.name)),
                    ("Cpus", Json::Num(t.cpus)),
                    ("Cards", Json::Num(t.gpus)),
                    ("MemoryGb", Json::Num(t.memory_gb)),
                    ("CacheGb", Json::Num(t.cache_gb)),
                    ("FetchGbPerS", Json::Num(t.fetch_gb_per_s)),
                    ("Rate", Json::Num(t.price)),
                    ("SpotPrice", Json::Num(t.spot_price)),
                    ("StartupS", Json::Num(t.startup_s)),
                    ("Berths", Json::List(t.capacity.iter().map(|c| text(c.0)).collect())),
                ])
            };
            Some((200, map(&[("Hulls", Json::List(world.types.iter().map(hull).collect()))]).write()))
        }
        ("POST", "/rentals") => Some(rent(shared, &body)),
        ("POST", "/rentals/return") => {
            let mut world = shared.lock().unwrap();
            for name in body.get("Hosts").list().iter().map(Json::str) {
                if let Some(m) = world.machines.remove(name) {
                    let lost = m.tasks.values().filter(|t| t.state != State::Ended).count();
                    world.note(&format!("cloud: {name} returned with {lost} tasks"));
                }
            }
            Some((200, "{}".into()))
        }
        ("GET", "/rentals") => {
            let (after, most) =
                (request.param("After"), request.param("Most").parse().unwrap_or(500).min(500));
            let world = shared.lock().unwrap();
            let listed =
                world.machines.iter().filter(|(n, m)| **n > after && m.rented_at.elapsed() > world.list_lag);
            let mut rows: Vec<Json> = listed.take(most + 1).map(|(n, m)| world.machine_entry(n, m)).collect();
            let more = rows.len() > most;
            rows.truncate(most);
            Some((200, map(&[("Hosts", Json::List(rows)), ("More", Json::Bool(more))]).write()))
        }
        _ => Some((400, "{}".into())),
    }
}

fn rent(shared: &Shared, body: &Json) -> (u16, String) {
    let (charter, kind, zone) = (
        body.get("Charter").str().to_owned(),
        body.get("Hull").str().to_owned(),
        body.get("Berth").str().to_owned(),
    );
    let (spot, wanted) =
        (body.get("Standby").is_true(), body.get("HowMany").int().unwrap_or(0).min(50) as usize);
    let mut world = shared.lock().unwrap();
    let answer = |names: &[String]| {
        let names = names.iter().map(|n| text(n.clone())).collect();
        (200, map(&[("Hosts", Json::List(names))]).write())
    };
    if let Some(names) = world.rentals.get(&charter) {
        return answer(names);
    }
    let of_kind = world.types.iter().filter(|t| t.name == kind).flat_map(|t| &t.capacity);
    let Some(limit) = of_kind.into_iter().find(|c| c.0 == zone).map(|c| if spot { c.2 } else { c.1 }) else {
        return (400, "{}".into());
    };
    let held = world.machines.values().filter(|m| m.kind == kind && m.zone == zone && m.spot == spot).count();
    let count = wanted.min(limit.saturating_sub(held));
    if count == 0 {
        world.note(&format!("cloud: {charter} refused, no capacity: {wanted} {kind} in {zone}, spot {spot}"));
        return (503, map(&[("error", text("no capacity"))]).write());
    }
    let mut names = Vec::new();
    for _ in 0..count {
        let (listener, addr) = http::listen();
        world.rented += 1;
        let name = format!("m-{:06}", world.rented);
        let now = Instant::now();
        let up_at = now + world.boot;
        let node = world.rented as usize % world.nodes.len();
        let machine = Machine {
            kind: kind.clone(),
            zone: zone.clone(),
            spot,
            addr,
            rented_at: now,
            up_at,
            session: 1,
            tally: 0,
            token: 0,
            renewed_at: up_at,
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            node,
            changed: true,
        };
        world.machines.insert(name.clone(), machine);
        let (handled, its_name) = (shared.clone(), name.clone());
        http::serve(listener, move |request| direct(&handled, &its_name, &request));
        let (reporting, its_name) = (shared.clone(), name.clone());
        thread::spawn(move || report_for_ever(&reporting, &its_name));
        names.push(name);
    }
    world.note(&format!("cloud: {charter} rents {kind} in {zone}, spot {spot}: {names:?} of {wanted}"));
    world.rentals.insert(charter, names.clone());
    answer(&names)
}

/// A request to a worker's own address.
fn direct(shared: &Shared, name: &str, request: &Request) -> Reply {
    let mut world = shared.lock().unwrap();
    let up = world.machines.get(name).is_some_and(|m| m.up_at <= Instant::now());
    if !up {
        return None;
    }
    world.expire(name);
    if request.path == "/show" {
        return Some((200, world.report(name).write()));
    }
    let body = Json::parse(&request.body).unwrap_or(Json::Null);
    let (Some(token), Some(session)) = (body.get("Helm").int(), body.get("Watch").int()) else {
        return Some((400, "{}".into()));
    };
    let m = world.machines.get_mut(name)?;
    if token < m.token || session != m.session {
        return Some((409, world.report(name).write()));
    }
    m.changed |= token > m.token;
    m.token = token;
    world.execute(name, body.get("Orders"), "a direct call");
    Some((200, world.report(name).write()))
}

/// The reports of one worker, until its machine is gone.
fn report_for_ever(shared: &Shared, name: &str) {
    let (mut next, mut last) = (Instant::now(), None::<Instant>);
    let mut jitter = 0u64;
    loop {
        thread::sleep(Duration::from_millis(20));
        let (addr, body, session) = {
            let mut world = shared.lock().unwrap();
            let every = world.times.report_s;
            let Some(m) = world.machines.get(name) else { return };
            let now = Instant::now();
            let changed = m.changed && last.is_none_or(|at| now - at >= Duration::from_millis(500));
            if m.up_at > now || (now < next && !changed) {
                continue;
            }
            world.expire(name);
            jitter = (jitter * 7 + 3) % 11;
            next = now + Duration::from_secs_f64(every * (0.75 + 0.05 * jitter as f64));
            last = Some(now);
            let body = world.report(name).write();
            let Some(m) = world.machines.get_mut(name) else { return };
            m.changed = false;
            let (node, session) = (m.node, m.session);
            (world.nodes[node].1.clone(), body, session)
        };
        let sent = Instant::now();
        let reply = http::call(&addr, "POST", "/v1/report", &body, Duration::from_secs(4));
        let mut world = shared.lock().unwrap();
        world.expire(name);
        let count = world.nodes.len();
        let names: Vec<String> = world.nodes.iter().map(|n| n.0.clone()).collect();
        let Some(m) = world.machines.get_mut(name) else { return };
        let pause = match &reply {
            Some((200, text)) => {
                let answer = Json::parse(text).unwrap_or(Json::Null);
                let Some(token) = answer.get("Helm").int().filter(|t| *t >= m.token && m.session == session)
                else {
                    continue;
                };
                m.changed |= token > m.token;
                (m.token, m.renewed_at) = (token, sent);
                world.execute(name, answer.get("Orders"), "an answer");
                continue;
            }
            Some((421, text)) => {
                let answer = Json::parse(text).unwrap_or(Json::Null);
                let to =
                    names.iter().position(|n| *n == answer.get("Harbour").str()).filter(|to| *to != m.node);
                m.node = to.unwrap_or((m.node + 1) % count);
                if to.is_some() { 0.1 } else { 1.0 }
            }
            _ => {
                m.node = (m.node + 1) % count;
                1.0
            }
        };
        if let Some((status, _)) = reply.as_ref().filter(|r| r.0 != 421 && r.0 != 503) {
            let line = format!("{name}: report of {} bytes answered with {status}", body.len());
            world.note(&line);
        }
        drop(world);
        thread::sleep(Duration::from_secs_f64(pause));
        next = Instant::now();
    }
}
