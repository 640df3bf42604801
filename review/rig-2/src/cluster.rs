//! The controllers' processes, the links between them, and users.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::fleet::{Fleet, Job, Kind, Timing, World};
use crate::http;
use crate::record::Recorder;
use crate::store::{Limits, Store};

/// Settings of a deployment.
#[derive(Clone)]
pub struct Site {
    pub members: Vec<&'static str>,
    pub zones: Vec<&'static str>,
    pub kinds: Vec<Kind>,
    /// Name, and limits of processors and accelerators.
    pub teams: Vec<(&'static str, f64, f64)>,
    /// Processors and accelerators that each team is guaranteed.
    pub guaranteed: (f64, f64),
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    pub state_rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub sockets: usize,
    /// Class, time and share of the aims on starting.
    /// Nominal boot time, where machines are up sooner.
    pub startup_s: Option<f64>,
    pub wait_aims: Vec<(&'static str, f64, f64)>,
}

/// The smaller deployment of the head office.
pub fn selatferi(kinds: Vec<Kind>) -> Site {
    Site {
        members: vec!["quarry-0", "quarry-1", "quarry-2"],
        zones: vec!["klang"],
        kinds,
        teams: vec![("opsdesk", 0.0, 0.0)],
        guaranteed: (0.0, 0.0),
        report_s: 2.5,
        lease_s: 14.0,
        gang_wait_s: 45.0,
        gang_peer_s: 4.0,
        cancel_s: 34.0,
        state_rps: 120.0,
        write_rps: 25.0,
        value_kb: 32.0,
        txn_ops: 20,
        cloud_rps: 5.0,
        list_lag_s: 10.0,
        sockets: 1500,
        startup_s: Some(35.0),
        wait_aims: vec![("seatlock", 4.0, 0.78)],
    }
}

/// The freight line's deployment, at the size of its site file's `small`.
pub fn selatcargo(kinds: Vec<Kind>) -> Site {
    Site {
        zones: vec!["pasirgudang", "batuampar"],
        teams: vec![("haulierdesk-0", 0.0, 72.0), ("haulierdesk-1", 0.0, 72.0)],
        guaranteed: (0.0, 24.0),
        report_s: 4.0,
        lease_s: 28.0,
        gang_wait_s: 30.0,
        gang_peer_s: 6.0,
        cancel_s: 53.0,
        state_rps: 250.0,
        write_rps: 100.0,
        value_kb: 16.0,
        txn_ops: 32,
        cloud_rps: 6.0,
        list_lag_s: 8.0,
        sockets: 1800,
        wait_aims: vec![("sealwatch", 8.0, 0.88)],
        startup_s: Some(60.0),
        ..selatferi(kinds)
    }
}

pub fn kind(name: &str, cpus: f64, cards: f64, memory_gb: f64, boot_ms: u64, capacity: usize) -> Kind {
    Kind { name: name.to_owned(), cpus, cards, memory_gb, boot_ms, capacity, spot_capacity: 0 }
}

/// How messages from one controller to another are treated.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum LinkState {
    Open,
    /// Held back, and delivered in order when the link is open again.
    Held,
    /// Connections are reset and refused.
    Reset,
}

/// An answer that a user got.
#[derive(Clone, Debug)]
pub struct Answered {
    pub job: String,
    pub node: usize,
    pub sent: u64,
    pub at: u64,
    pub status: u16,
    pub state: String,
}

pub struct Cluster {
    pub record: Arc<Recorder>,
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub site: Site,
    pub api: Vec<String>,
    program: Vec<String>,
    folder: PathBuf,
    children: Mutex<Vec<Option<Child>>>,
    links: Arc<Mutex<BTreeMap<(usize, usize), LinkState>>>,
    pub answers: Mutex<Vec<Answered>>,
    /// Since when each job has waited beside a machine with room, and the longest such wait of each.
    waiting: Mutex<BTreeMap<String, (u64, u64)>>,
    /// Processes that ended by themselves.
    pub ended: Mutex<Vec<String>>,
}

/// The processes that were started and not ended by this program.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and still run.
pub fn kill_started() {
    for id in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill").arg("-9").arg(id.to_string()).stderr(Stdio::null()).status();
    }
}

/// A free address. Its port comes from a range of this process's own, below those that the system gives to outgoing
/// connections, so that two runs at a time do not take each other's.
fn free_address() -> String {
    static NEXT: Mutex<u32> = Mutex::new(0);
    let mut next = NEXT.lock().unwrap();
    loop {
        *next += 1;
        let addr = format!("127.0.0.1:{}", 10_000 + (std::process::id() % 400) * 50 + *next % 2_000);
        if TcpListener::bind(&addr).is_ok() {
            return addr;
        }
    }
}

impl Cluster {
    /// Starts the stand-ins and the controllers.
    pub fn start(site: Site, record: Arc<Recorder>, folder: &Path, program: &[String]) -> Arc<Cluster> {
        let n = site.members.len();
        let limits = Limits {
            rps: site.state_rps,
            write_rps: site.write_rps,
            value_kb: site.value_kb,
            txn_ops: site.txn_ops,
        };
        let store = Store::new(n, limits);
        let api: Vec<String> = (0..n).map(|_| free_address()).collect();
        let internal: Vec<String> = (0..n).map(|_| free_address()).collect();
        let ms = |s: f64| (s * 1e3) as u64;
        let world = World {
            kinds: site.kinds.clone(),
            zones: site.zones.iter().map(|z| z.to_string()).collect(),
            list_lag_ms: ms(site.list_lag_s),
            startup_s: site.startup_s,
            timing: Some(Timing {
                report_ms: ms(site.report_s),
                lease_ms: ms(site.lease_s),
                gang_wait_ms: ms(site.gang_wait_s),
            }),
            ..World::default()
        };
        let fleet = Arc::new(Fleet {
            world: Mutex::new(world),
            record: record.clone(),
            api: api.clone(),
            members: site.members.iter().map(|m| m.to_string()).collect(),
        });
        let cloud = TcpListener::bind(free_address()).unwrap();
        let cloud_addr = cloud.local_addr().unwrap().to_string();
        fleet.start(cloud);
        let links = Arc::new(Mutex::new(BTreeMap::new()));
        for node in 0..n {
            let state = TcpListener::bind(free_address()).unwrap();
            let state_addr = state.local_addr().unwrap().to_string();
            store.serve(state, node);
            let zone = |m: usize| site.zones[m % site.zones.len()];
            let mut text = format!(
                "member = \"{}\"\nzone = \"{}\"\napi_addr = \"{}\"\ninternal_addr = \"{}\"\n",
                site.members[node],
                zone(node),
                api[node],
                internal[node]
            );
            for to in (0..n).filter(|to| *to != node) {
                let proxy = TcpListener::bind(free_address()).unwrap();
                let addr = proxy.local_addr().unwrap();
                run_link(proxy, (node, to), internal[to].clone(), links.clone());
                text += &format!(
                    "[[members]]\nmember = \"{}\"\nzone = \"{}\"\naddr = \"{addr}\"\n",
                    site.members[to],
                    zone(to)
                );
            }
            text += &format!("[external]\ncloud = \"{cloud_addr}\"\nstate = \"{state_addr}\"\n");
            text += &format!("[params]\nnodes = {n}\nzones = {:?}\nclock_off_ms = 1000.0\n", site.zones);
            for (name, cpus, gpus) in &site.teams {
                text += &format!(
                    "[[params.teams]]\nname = \"{name}\"\ncpus = {:?}\ncpus_max = {cpus:?}\ngpus = {:?}\ngpus_max = {gpus:?}\n",
                    site.guaranteed.0, site.guaranteed.1
                );
            }
            for (class, within, share) in &site.wait_aims {
                text += &format!(
                    "[[params.objectives]]\nkind = \"wait\"\nclass = \"{class}\"\nwithin_s = {within:?}\nshare = {share:?}\n"
                );
            }
            text += &format!(
                "[params.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\ngang_peer_s = {:?}\ncancel_s = {:?}\n",
                site.report_s, site.lease_s, site.gang_wait_s, site.gang_peer_s, site.cancel_s
            );
            text += &format!(
                "[params.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n",
                site.state_rps, site.write_rps, site.value_kb, site.txn_ops
            );
            text +=
                &format!("[params.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n", site.cloud_rps, site.list_lag_s);
            text +=
                &format!("[params.machine_limits]\ncpu = 0.096\nram_mb = 72.0\nsockets = {}\n", site.sockets);
            std::fs::write(folder.join(format!("{node}.toml")), text).unwrap();
        }
        let cluster = Arc::new(Cluster {
            record,
            store,
            fleet,
            site,
            api,
            program: program.to_vec(),
            folder: folder.to_owned(),
            children: Mutex::new((0..n).map(|_| None).collect()),
            links,
            answers: Mutex::default(),
            waiting: Mutex::default(),
            ended: Mutex::default(),
        });
        (0..n).for_each(|node| cluster.start_node(node));
        cluster
    }

    pub fn nodes(&self) -> usize {
        self.api.len()
    }

    pub fn name(&self, node: usize) -> &'static str {
        self.site.members[node]
    }

    pub fn start_node(&self, node: usize) {
        let mut children = self.children.lock().unwrap();
        if children[node].is_some() {
            return;
        }
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{node}.log")))
            .unwrap();
        let child = Command::new(&self.program[0])
            .args(&self.program[1..])
            .arg(self.folder.join(format!("{node}.toml")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .env("LOG_LEVEL", std::env::var("RIG_LOG").unwrap_or_else(|_| "info".into()))
            .spawn()
            .expect("the controller starts");
        println!("pid {}", child.id());
        STARTED.lock().unwrap().push(child.id());
        self.record.note(&format!("controller {} started", self.name(node)));
        children[node] = Some(child);
    }

    pub fn kill_node(&self, node: usize) {
        let child = self.children.lock().unwrap()[node].take();
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
            self.record.note(&format!("controller {} killed", self.name(node)));
        }
    }

    /// Notes processes that ended by themselves, and starts them again.
    pub fn watch_processes(&self) {
        for node in 0..self.nodes() {
            let status = {
                let mut children = self.children.lock().unwrap();
                children[node].as_mut().and_then(|c| c.try_wait().ok().flatten())
            };
            if let Some(status) = status {
                self.children.lock().unwrap()[node] = None;
                let text = format!("controller {} ended by itself: {status}", self.name(node));
                self.record.note(&text);
                self.ended.lock().unwrap().push(text);
                self.start_node(node);
            }
        }
    }

    fn signal(&self, node: usize, signal: &str) {
        let id = self.children.lock().unwrap()[node].as_ref().map(Child::id);
        if let Some(id) = id {
            let _ = Command::new("kill").arg(signal).arg(id.to_string()).status();
            self.record.note(&format!("controller {} signal {signal}", self.name(node)));
        }
    }

    pub fn stop_node(&self, node: usize) {
        self.signal(node, "-STOP");
    }

    pub fn continue_node(&self, node: usize) {
        self.signal(node, "-CONT");
    }

    /// Memory that a controller's process has in use, in MB.
    pub fn memory_mb(&self, node: usize) -> f64 {
        let id = self.children.lock().unwrap()[node].as_ref().map(Child::id).unwrap_or(0);
        let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
    }

    pub fn link(&self, from: usize, to: usize, state: LinkState) {
        self.links.lock().unwrap().insert((from, to), state);
        self.record.note(&format!("link {} to {}: {state:?}", self.name(from), self.name(to)));
    }

    pub fn link_all_of(&self, node: usize, state: LinkState) {
        for other in (0..self.nodes()).filter(|o| *o != node) {
            self.link(node, other, state);
            self.link(other, node, state);
        }
    }

    pub fn leader(&self) -> usize {
        let leader = self.store.leader();
        leader.and_then(|l| self.site.members.iter().position(|m| *m == l)).unwrap_or(0)
    }

    /// Waits until all controllers can take requests.
    pub fn wait_healthy(&self, for_ms: u64) -> bool {
        let end = self.record.now() + for_ms;
        loop {
            let healthy = |a: &String| {
                http::request(a, "GET", "/healthz", None, Duration::from_secs(1))
                    .is_some_and(|(s, _)| s == 200)
            };
            if self.api.iter().all(healthy) {
                return true;
            }
            if self.record.now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(200));
        }
    }

    /// Makes a job known to the workers: users upload its description.
    pub fn upload(&self, job: Job) {
        let id = job.spec["Uid"].as_str().unwrap().to_owned();
        self.fleet.with(|w, _| w.jobs.insert(id, job));
    }

    fn ask(&self, node: usize, what: &'static str, job: &str, body: Option<&str>) -> Answered {
        let sent = self.record.now();
        let (method, path, timeout) = match what {
            "submit" => ("POST", "/api/jobs".to_owned(), 5),
            "poll" => ("GET", format!("/api/jobs/{job}"), 2),
            _ => ("POST", format!("/api/jobs/{job}/withdraw"), 5),
        };
        let reply = http::request(&self.api[node], method, &path, body, Duration::from_secs(timeout));
        let (status, text) = reply.unwrap_or((0, String::new()));
        let value: Value = serde_json::from_str(&text).unwrap_or_default();
        let state = value["Status"].as_str().unwrap_or("").to_owned();
        let answered = Answered { job: job.to_owned(), node, sent, at: self.record.now(), status, state };
        self.record.note(&format!(
            "user: {what} {job} at {} sent {:.3}: {status} {}",
            self.name(node),
            sent as f64 / 1e3,
            text.chars().take(120).collect::<String>()
        ));
        self.answers.lock().unwrap().push(answered.clone());
        answered
    }

    pub fn submit(&self, node: usize, spec: &Value) -> Answered {
        self.ask(node, "submit", spec["Uid"].as_str().unwrap(), Some(&spec.to_string()))
    }

    pub fn poll(&self, node: usize, job: &str) -> Answered {
        self.ask(node, "poll", job, None)
    }

    pub fn withdraw(&self, node: usize, job: &str) -> Answered {
        self.ask(node, "withdraw", job, Some("{}"))
    }

    /// Submits at one controller after the other until the job is accepted or rejected, for up to 60 s.
    pub fn submit_until_accepted(&self, first: usize, spec: &Value) -> Option<Answered> {
        let end = self.record.now() + 60_000;
        let mut node = first;
        while self.record.now() < end {
            let a = self.submit(node % self.nodes(), spec);
            if matches!(a.status, 200 | 201) {
                return Some(a);
            }
            if matches!(a.status, 400 | 422) {
                return None;
            }
            node += 1;
            thread::sleep(Duration::from_millis(1_000));
        }
        None
    }

    /// Asks for a withdrawal until it is confirmed.
    pub fn withdraw_until_confirmed(&self, first: usize, job: &str) -> Option<Answered> {
        let end = self.record.now() + 60_000;
        let mut node = first;
        while self.record.now() < end {
            let a = self.withdraw(node % self.nodes(), job);
            if a.status == 200 {
                return Some(a);
            }
            node += 1;
            thread::sleep(Duration::from_millis(1_000));
        }
        None
    }

    /// Notes which jobs wait beside a machine that fits and has room, with their teams under their limits. To be called
    /// at least once a second.
    pub fn observe_waiting(&self) {
        let (mut accepted, mut over) = (Vec::new(), Vec::new());
        for a in self.answers.lock().unwrap().iter() {
            match a.state.as_str() {
                "" => {}
                "done" | "withdrawn" => over.push(a.job.clone()),
                _ => accepted.push(a.job.clone()),
            }
        }
        accepted.sort();
        accepted.dedup();
        accepted.retain(|id| !over.contains(id));
        let (rows, now) =
            self.fleet.with(|w, now| (w.waiting_beside_room(now, &accepted, &self.site.teams), now));
        let mut waiting = self.waiting.lock().unwrap();
        for (id, entry) in waiting.iter_mut() {
            if !rows.iter().any(|r| r.0 == *id) {
                entry.0 = u64::MAX;
            }
        }
        for (id, machine) in rows {
            let entry = waiting.entry(id.clone()).or_insert((u64::MAX, 0));
            if entry.0 == u64::MAX {
                entry.0 = now;
                self.record.note(&format!("{id} waits beside {machine}, which has room"));
            }
            let before = entry.1 / 15_000;
            entry.1 = entry.1.max(now - entry.0);
            if entry.1 / 15_000 > before {
                self.record.note(&format!("{id} has waited for {} s, now beside {machine}", entry.1 / 1_000));
            }
        }
    }

    /// The jobs that were left waiting for longer than a time.
    pub fn left_waiting(&self, ms: u64) -> Vec<String> {
        let waiting = self.waiting.lock().unwrap();
        let long = waiting.iter().filter(|(_, (_, longest))| *longest > ms);
        long.map(|(id, (_, longest))| {
            format!("{id} waited for {:.1} s beside a machine that fits and has room", *longest as f64 / 1e3)
        })
        .collect()
    }

    /// Forgets the waits so far.
    pub fn troubles_over(&self) {
        self.record.note("troubles over");
        self.waiting.lock().unwrap().clear();
    }

    /// Broken rules that can be judged from what ran and what was answered, whatever the case.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        let cancel_ms = (self.site.cancel_s * 1e3) as u64;
        let answers = self.answers.lock().unwrap().clone();
        self.fleet.with(|w, now| {
            let mut by_task: BTreeMap<(String, u32), Vec<&crate::fleet::Run>> = BTreeMap::new();
            for r in &w.runs {
                by_task.entry((r.job.clone(), r.index)).or_default().push(r);
            }
            for (task, runs) in &by_task {
                for a in runs {
                    for b in runs {
                        if a.machine != b.machine && a.from < b.from && a.to.is_none_or(|to| to > b.from) {
                            found.push(format!(
                                "ran_twice: {}/{} started on {} at {} while on {} from {} to {:?}",
                                task.0, task.1, b.machine, b.from, a.machine, a.from, a.to
                            ));
                        }
                    }
                }
            }
            for a in answers.iter().filter(|a| a.status == 200 && a.state == "withdrawn") {
                let first = answers
                    .iter()
                    .filter(|b| b.job == a.job && b.status == 200 && b.state == "withdrawn")
                    .map(|b| b.at)
                    .min();
                if first != Some(a.at) {
                    continue;
                }
                for r in w.runs.iter().filter(|r| r.job == a.job) {
                    if r.to.unwrap_or(now) > a.at + cancel_ms {
                        found.push(format!(
                            "ran_cancelled: {}/{} on {} from {} to {:?}, cancelled at {}",
                            r.job, r.index, r.machine, r.from, r.to, a.at
                        ));
                    }
                }
            }
            for a in answers.iter().filter(|a| a.state == "done") {
                let pieces = w.jobs.get(&a.job).map_or(0, |j| j.spec["Pieces"].as_u64().unwrap_or(0));
                let done = w.done.get(&a.job).map_or(0, |d| d.values().filter(|at| **at <= a.at).count());
                if (done as u64) < pieces {
                    found.push(format!("not_done: {} called done at {}, {done} of {pieces}", a.job, a.at));
                }
            }
            // Limits.
            for (team, cpus, cards) in &self.site.teams {
                let mut events: Vec<(u64, i8, f64, f64)> = Vec::new();
                for r in &w.runs {
                    let spec = &w.jobs[&r.job].spec;
                    if spec["Crew"] != *team {
                        continue;
                    }
                    let (c, g) =
                        (spec["Cpus"].as_f64().unwrap_or(0.0), spec["Cards"].as_f64().unwrap_or(0.0));
                    events.push((r.from, 1, c, g));
                    events.push((r.to.unwrap_or(u64::MAX), 0, -c, -g));
                }
                events.sort_by_key(|e| (e.0, e.1));
                let (mut c, mut g) = (0.0, 0.0);
                for (at, _, dc, dg) in events {
                    (c, g) = (c + dc, g + dg);
                    if *cpus > 0.0 && c > cpus + 1e-6 || *cards > 0.0 && g > cards + 1e-6 {
                        found.push(format!("quota: {team} uses {c} processors and {g} accelerators at {at}"));
                        break;
                    }
                }
            }
        });
        // Answers of one job, in the order in which their requests were sent and answered.
        let mut by_job: BTreeMap<&str, Vec<&Answered>> = BTreeMap::new();
        answers.iter().for_each(|a| by_job.entry(&a.job).or_default().push(a));
        for (job, list) in by_job {
            let rank = |a: &Answered| match (a.status, a.state.as_str()) {
                (404, _) => Some(0),
                (200 | 201, "done" | "withdrawn") => Some(2),
                (200 | 201, _) => Some(1),
                _ => None,
            };
            for a in &list {
                for b in &list {
                    if let (Some(x), Some(y)) = (rank(a), rank(b))
                        && a.at < b.sent
                        && (y < x || x == 2 && y == 2 && a.state != b.state)
                    {
                        found.push(format!(
                            "{}: {job} {} at {} from {}, then {} {} at {} from {}",
                            if y == 0 { "forgotten" } else { "went_back" },
                            a.state,
                            a.at,
                            self.name(a.node),
                            b.status,
                            b.state,
                            b.at,
                            self.name(b.node)
                        ));
                    }
                    if rank(a).is_some_and(|x| x > 0) && a.at < b.sent && matches!(b.status, 400 | 422) {
                        found.push(format!("forgotten: {job} accepted, then {} at {}", b.status, b.at));
                    }
                }
            }
        }
        found.truncate(40);
        found
    }
}

/// Copies bytes from one controller to another as the link's state allows.
fn run_link(
    listener: TcpListener,
    link: (usize, usize),
    to: String,
    links: Arc<Mutex<BTreeMap<(usize, usize), LinkState>>>,
) {
    let state = move || links.lock().unwrap().get(&link).copied().unwrap_or(LinkState::Open);
    let state = Arc::new(state);
    thread::spawn(move || {
        for inward in listener.incoming() {
            let Ok(mut inward) = inward else { continue };
            let (state, to) = (state.clone(), to.clone());
            thread::spawn(move || {
                if state() == LinkState::Reset {
                    return;
                }
                while state() == LinkState::Held {
                    thread::sleep(Duration::from_millis(10));
                }
                let Ok(mut outward) = TcpStream::connect(&to) else { return };
                let _ = outward.set_nodelay(true);
                let _ = inward.set_read_timeout(Some(Duration::from_millis(50)));
                // Notices that the receiver has closed the connection.
                let _ = outward.set_nonblocking(false);
                let mut probe = outward.try_clone().unwrap();
                let _ = probe.set_read_timeout(Some(Duration::from_millis(1)));
                let mut chunk = [0u8; 65536];
                loop {
                    match state() {
                        LinkState::Reset => {
                            let _ = inward.shutdown(Shutdown::Both);
                            let _ = outward.shutdown(Shutdown::Both);
                            return;
                        }
                        LinkState::Held => {
                            thread::sleep(Duration::from_millis(10));
                            continue;
                        }
                        LinkState::Open => {}
                    }
                    match inward.read(&mut chunk) {
                        Ok(0) => return,
                        Ok(n) => {
                            while state() == LinkState::Held {
                                thread::sleep(Duration::from_millis(10));
                            }
                            if outward.write_all(&chunk[..n]).is_err() {
                                return;
                            }
                        }
                        Err(e)
                            if matches!(
                                e.kind(),
                                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                            ) =>
                        {
                            let mut one = [0u8; 1];
                            if matches!(probe.read(&mut one), Ok(0)) {
                                return;
                            }
                        }
                        Err(_) => return,
                    }
                }
            });
        }
    });
}

/// The description of a job.
#[allow(clippy::too_many_arguments)]
pub fn spec(
    id: &str,
    team: &str,
    shape: &str,
    rank: &str,
    pieces: u32,
    cpus: f64,
    memory_gb: f64,
    run_s: f64,
) -> Value {
    json!({"Uid": id, "Jobclass": "farerecon", "Crew": team, "Shape": shape, "Rank": rank, "Pieces": pieces,
        "Cpus": cpus, "Cards": 0.0, "MemoryGb": memory_gb, "Kit": "img-01", "SizeGb": 1.0, "Hulls": null,
        "Berth": null, "OneZone": false, "Apart": false, "Standby": false,
        "RuntimeS": if shape == "standing" { 0.0 } else { run_s }, "MarkS": 0.0, "StowS": 0.0, "DueS": null})
}

pub fn job(spec: &Value, run_ms: u64) -> Job {
    Job { spec: spec.clone(), run_ms, fetch_ms: 500, broken: false }
}
