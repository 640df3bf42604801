//! Stand-ins of the cloud and the workers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::http::{self, Reply};
use crate::record::Recorder;

type Ms = u64;

#[derive(Clone, Copy)]
pub struct Timing {
    pub report_ms: Ms,
    pub lease_ms: Ms,
    pub gang_wait_ms: Ms,
}

#[derive(Clone)]
pub struct Kind {
    pub name: String,
    pub cpus: f64,
    pub cards: f64,
    pub memory_gb: f64,
    pub boot_ms: Ms,
    /// Most machines at a time in each zone.
    pub capacity: usize,
    pub spot_capacity: usize,
}

/// How a job's tasks behave.
#[derive(Clone)]
pub struct Job {
    pub spec: Value,
    pub run_ms: Ms,
    pub fetch_ms: Ms,
    /// Its tasks fail.
    pub broken: bool,
}

impl Job {
    pub fn need(&self) -> (f64, f64, f64) {
        let n = |f: &str| self.spec[f].as_f64().unwrap_or(0.0);
        (n("Cpus"), n("Cards"), n("MemoryGb"))
    }
    fn gang(&self) -> bool {
        self.spec["Shape"] == "ensemble"
    }
    fn pieces(&self) -> usize {
        self.spec["Pieces"].as_u64().unwrap_or(0) as usize
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum State {
    Fetching,
    Waiting,
    Running,
    Saving,
    Ended,
}

#[derive(Clone)]
pub struct Task {
    pub state: State,
    cause: &'static str,
    until: Ms,
    /// Index in the list of runs while the task is on its machine.
    run: Option<usize>,
    stored: bool,
}

/// A time for which a task was on a machine.
#[derive(Clone, Debug)]
pub struct Run {
    pub job: String,
    pub index: u32,
    pub machine: String,
    pub from: Ms,
    pub to: Option<Ms>,
    pub why: &'static str,
}

pub struct Machine {
    pub name: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub addr: String,
    pub rented_at: Ms,
    pub up_at: Ms,
    pub gone_at: Option<Ms>,
    pub failed: bool,
    pub session: u64,
    pub tally: u64,
    pub token: u64,
    pub lease_from: Ms,
    pub tasks: BTreeMap<(String, u64), Task>,
    changed: bool,
    /// Stands still until then.
    pub hung_until: Ms,
    /// Neither its reports nor orders to it get through until then.
    pub cut_until: Ms,
    /// Its reports do not get through until then.
    pub mute_until: Ms,
    /// Nothing that it is sent gets through until then.
    pub deaf_until: Ms,
    pub notice_until: Option<Ms>,
    /// Fails every task that it starts until then.
    pub sick_until: Ms,
    pub oversize_reports: u64,
    pub expiries: u64,
}

impl Machine {
    fn active(&self, now: Ms) -> bool {
        self.gone_at.is_none() && now >= self.up_at && now >= self.hung_until
    }

    fn report(&mut self, now: Ms) -> Value {
        self.tally += 1;
        let pieces: Vec<Value> = self
            .tasks
            .iter()
            .map(|((piece, attempt), t)| {
                let state = match t.state {
                    State::Fetching => "fetching",
                    State::Waiting => "waiting",
                    State::Running => "running",
                    State::Saving => "saving",
                    State::Ended => "ended",
                };
                let mut v = json!({"Piece": piece, "Launch": attempt, "Status": state});
                if t.state == State::Ended {
                    v["Cause"] = t.cause.into();
                    if t.stored {
                        v["Stored"] = true.into();
                    }
                }
                v
            })
            .collect();
        let warning = self.notice_until.map(|at| at.saturating_sub(now) as f64 / 1e3);
        json!({"Host": self.name, "Addr": self.addr, "Hull": self.kind, "Berth": self.zone, "Standby": self.spot,
            "Watch": self.session, "Tally": self.tally, "Helm": self.token, "WarningS": warning, "Pieces": pieces})
    }
}

#[derive(Default)]
pub struct World {
    pub kinds: Vec<Kind>,
    pub zones: Vec<String>,
    pub machines: BTreeMap<String, Machine>,
    pub jobs: BTreeMap<String, Job>,
    pub runs: Vec<Run>,
    /// Completed tasks of each job, and when.
    pub done: BTreeMap<String, BTreeMap<u32, Ms>>,
    pub rentals: BTreeMap<String, Vec<String>>,
    pub next_machine: u64,
    pub cloud_out: bool,
    pub list_lag_ms: Ms,
    /// Snapshots of the list: when taken, and rows.
    pub lists: Vec<(Ms, Vec<Value>)>,
    /// Messages between controllers and workers that were held back: (from then on, until).
    pub timing: Option<Timing>,
    /// Controllers that no worker reaches.
    pub unreachable_nodes: BTreeSet<usize>,
    pub rent_calls: u64,
    /// Nominal boot time, where it is not the real one.
    pub startup_s: Option<f64>,
}

pub struct Fleet {
    pub world: Mutex<World>,
    pub record: Arc<Recorder>,
    pub api: Vec<String>,
    pub members: Vec<String>,
}

fn end(
    world_runs: &mut [Run],
    done: Option<()>,
    m: &mut Machine,
    key: &(String, u64),
    cause: &'static str,
    at: Ms,
) {
    let _ = done;
    if let Some(t) = m.tasks.get_mut(key) {
        (t.state, t.cause) = (State::Ended, cause);
        if let Some(run) = t.run.take() {
            (world_runs[run].to, world_runs[run].why) = (Some(at), cause);
        }
        m.changed = true;
    }
}

fn split(piece: &str) -> (String, u32) {
    let (job, index) = piece.split_once('/').unwrap_or((piece, "0"));
    (job.to_owned(), index.parse().unwrap_or(u32::MAX))
}

impl World {
    fn expire(&mut self, name: &str, now: Ms, record: &Recorder) {
        let lease = self.timing.map_or(14_000, |t| t.lease_ms);
        let runs = &mut self.runs;
        let Some(m) = self.machines.get_mut(name) else { return };
        if m.gone_at.is_some() || now < m.up_at || now <= m.lease_from + lease {
            return;
        }
        let at = m.lease_from + lease;
        let running = m.tasks.values().filter(|t| t.run.is_some()).count();
        for t in m.tasks.values_mut() {
            if let Some(run) = t.run.take() {
                // A machine that hung runs nothing meanwhile.
                (runs[run].to, runs[run].why) = (Some(at.max(runs[run].from)), "lease over");
            }
        }
        m.tasks.clear();
        m.session += 1;
        m.expiries += 1;
        (m.lease_from, m.changed) = (now, true);
        record.note(&format!("worker {name}: lease over, {running} tasks killed, session {}", m.session));
    }

    fn remove(&mut self, name: &str, now: Ms, record: &Recorder, why: &str) {
        self.expire(name, now, record);
        let runs = &mut self.runs;
        let Some(m) = self.machines.get_mut(name).filter(|m| m.gone_at.is_none()) else { return };
        m.gone_at = Some(now);
        for t in m.tasks.values_mut() {
            if let Some(run) = t.run.take() {
                (runs[run].to, runs[run].why) = (Some(now), "machine gone");
            }
        }
        m.tasks.clear();
        record.note(&format!("machine {name}: {why}"));
    }

    /// A machine stops with all that is on it. With `failed` it stays listed as failed.
    pub fn kill_machine(&mut self, name: &str, now: Ms, record: &Recorder, failed: bool) {
        self.remove(name, now, record, "stopped by itself");
        if let Some(m) = self.machines.get_mut(name) {
            m.failed = failed;
        }
    }

    pub fn orders(&mut self, name: &str, orders: &Value, now: Ms, record: &Recorder) {
        for order in orders.as_array().into_iter().flatten() {
            let piece = order["Piece"].as_str().unwrap_or("").to_owned();
            let attempt = order["Launch"].as_u64().unwrap_or(0);
            let key = (piece.clone(), attempt);
            let (job_id, index) = split(&piece);
            let verb = order["Verb"].as_str().unwrap_or("");
            record.note(&format!("worker {name}: {verb} {piece} attempt {attempt}"));
            let Some(m) = self.machines.get_mut(name) else { return };
            match verb {
                "run" => {
                    if m.tasks.contains_key(&key) {
                        continue;
                    }
                    let task = |state, cause, until| Task { state, cause, until, run: None, stored: false };
                    let Some(job) = self.jobs.get(&job_id).filter(|j| (index as usize) < j.pieces()) else {
                        m.tasks.insert(key, task(State::Ended, "no_such", 0));
                        m.changed = true;
                        continue;
                    };
                    let here = m.tasks.iter().any(|((p, _), t)| *p == piece && t.state != State::Ended);
                    let (mut c, mut g, mut b) = job.need();
                    for ((p, _), t) in &m.tasks {
                        if t.state != State::Ended
                            && let Some(j) = self.jobs.get(&split(p).0)
                        {
                            let n = j.need();
                            (c, g, b) = (c + n.0, g + n.1, b + n.2);
                        }
                    }
                    let k = self.kinds.iter().find(|k| k.name == m.kind);
                    let fits = k.is_some_and(|k| {
                        c <= k.cpus + 1e-6 && g <= k.cards + 1e-6 && b <= k.memory_gb + 1e-6
                    });
                    let t = if here {
                        task(State::Ended, "in_use", 0)
                    } else if !fits {
                        task(State::Ended, "full", 0)
                    } else {
                        task(State::Fetching, "", now + job.fetch_ms)
                    };
                    m.tasks.insert(key, t);
                    m.changed = true;
                }
                "kill" => {
                    let grace = (order["LeewayS"].as_f64().unwrap_or(0.0) * 1e3) as Ms;
                    let Some(t) = m.tasks.get_mut(&key).filter(|t| t.state != State::Ended) else { continue };
                    let job = self.jobs.get(&job_id);
                    let save = job.map_or(0, |j| (j.spec["StowS"].as_f64().unwrap_or(0.0) * 1e3) as Ms);
                    let saves = job.is_some_and(|j| j.spec["MarkS"].as_f64().unwrap_or(0.0) > 0.0);
                    if t.state == State::Saving && grace > 0 {
                        continue;
                    }
                    if t.state == State::Running && saves && grace >= save {
                        (t.state, t.until) = (State::Saving, now + save);
                        m.changed = true;
                    } else {
                        end(&mut self.runs, None, m, &key, "stopped", now);
                    }
                }
                "forget" => {
                    if m.tasks.get(&key).is_some_and(|t| t.state == State::Ended) {
                        m.tasks.remove(&key);
                        m.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    pub fn tick(&mut self, now: Ms, record: &Recorder) {
        let names: Vec<String> = self.machines.keys().cloned().collect();
        let timing = self.timing.unwrap();
        for name in &names {
            if !self.machines[name].active(now) {
                continue;
            }
            self.expire(name, now, record);
            let m = self.machines.get_mut(name).unwrap();
            let due: Vec<(String, u64)> = m
                .tasks
                .iter()
                .filter(|(_, t)| t.state != State::Ended && t.until <= now)
                .map(|(k, _)| k.clone())
                .collect();
            for key in due {
                let (job_id, index) = split(&key.0);
                let Some(job) = self.jobs.get(&job_id) else { continue };
                let t = m.tasks.get_mut(&key).unwrap();
                match t.state {
                    State::Fetching => {
                        self.runs.push(Run {
                            job: job_id.clone(),
                            index,
                            machine: name.clone(),
                            from: now,
                            to: None,
                            why: "",
                        });
                        t.run = Some(self.runs.len() - 1);
                        record.note(&format!("task {} attempt {} starts on {name}", key.0, key.1));
                        if self.done.get(&job_id).is_some_and(|d| d.contains_key(&index)) {
                            end(&mut self.runs, None, m, &key, "done", now);
                        } else if job.gang() {
                            (t.state, t.until) = (State::Waiting, now + timing.gang_wait_ms);
                        } else if now < m.sick_until {
                            record.note(&format!("task {} attempt {} fails on {name}", key.0, key.1));
                            end(&mut self.runs, None, m, &key, "error", now);
                        } else {
                            (t.state, t.until) = (State::Running, now.saturating_add(job.run_ms));
                        }
                        m.changed = true;
                    }
                    State::Waiting => end(&mut self.runs, None, m, &key, "incomplete", now),
                    State::Running if job.gang() => {}
                    State::Running => {
                        let cause = if job.broken { "error" } else { "done" };
                        if !job.broken {
                            self.done.entry(job_id).or_default().entry(index).or_insert(now);
                        }
                        record.note(&format!("task {} attempt {} {cause} on {name}", key.0, key.1));
                        end(&mut self.runs, None, m, &key, cause, now);
                    }
                    State::Saving => {
                        t.stored = true;
                        end(&mut self.runs, None, m, &key, "stopped", now)
                    }
                    State::Ended => {}
                }
            }
        }
        self.gangs(now);
    }

    fn gangs(&mut self, now: Ms) {
        type Member = (String, (String, u64), State, Ms);
        let mut gangs: BTreeMap<(String, u64), Vec<Member>> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.gone_at.is_none()) {
            for (key, t) in m.tasks.iter().filter(|(_, t)| t.state != State::Ended) {
                let job = split(&key.0).0;
                if self.jobs.get(&job).is_some_and(Job::gang) {
                    gangs.entry((job, key.1)).or_default().push((
                        m.name.clone(),
                        key.clone(),
                        t.state,
                        t.until,
                    ));
                }
            }
        }
        for ((id, _), members) in gangs {
            let job = self.jobs[&id].clone();
            let active = |n: &String| self.machines[n].active(now);
            let all_active = members.iter().all(|m| active(&m.0));
            let count = |s: State| members.iter().filter(|m| m.2 == s).count();
            let (size, running) = (job.pieces(), count(State::Running));
            let acting: Vec<Member> = members.iter().filter(|m| active(&m.0)).cloned().collect();
            if count(State::Waiting) == size && all_active {
                for (name, key, ..) in &members {
                    let m = self.machines.get_mut(name).unwrap();
                    let t = m.tasks.get_mut(key).unwrap();
                    (t.state, t.until, m.changed) = (State::Running, now + job.run_ms, true);
                }
            } else if running == size && all_active && members.iter().all(|m| m.3 <= now) {
                for (name, key, ..) in &members {
                    if job.broken {
                        let m = self.machines.get_mut(name).unwrap();
                        end(&mut self.runs, None, m, key, "error", now);
                        continue;
                    }
                    self.done.entry(id.clone()).or_default().entry(split(&key.0).1).or_insert(now);
                    let m = self.machines.get_mut(name).unwrap();
                    end(&mut self.runs, None, m, key, "done", now);
                }
            } else if running > 0 && running < size && count(State::Saving) == 0 {
                for (name, key, state, _) in &acting {
                    if *state == State::Running {
                        let m = self.machines.get_mut(name).unwrap();
                        end(&mut self.runs, None, m, key, "peers", now);
                    }
                }
            }
        }
    }

    /// The waiting arrays of which a task fits into the room of a machine that is up, with their teams under their
    /// limits: those that are accepted, have nothing on a machine and are not done. With the machine and its room.
    pub fn waiting_beside_room(
        &self,
        now: Ms,
        accepted: &[String],
        limits: &[(&str, f64, f64)],
    ) -> Vec<(String, String)> {
        let mut used: BTreeMap<&str, (f64, f64, f64)> = BTreeMap::new();
        let mut by_team: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        let mut present: BTreeSet<String> = BTreeSet::new();
        for m in self.machines.values().filter(|m| m.gone_at.is_none()) {
            for ((piece, _), t) in &m.tasks {
                let id = split(piece).0;
                if t.state == State::Ended {
                    continue;
                }
                if let Some(j) = self.jobs.get(&id) {
                    let n = j.need();
                    let u = used.entry(&m.name).or_default();
                    *u = (u.0 + n.0, u.1 + n.1, u.2 + n.2);
                    let b = by_team.entry(j.spec["Crew"].as_str().unwrap_or("")).or_default();
                    *b = (b.0 + n.0, b.1 + n.1);
                }
                present.insert(id);
            }
        }
        let mut found = Vec::new();
        for id in accepted.iter().filter(|id| !present.contains(*id)) {
            let Some(job) = self.jobs.get(id).filter(|j| j.spec["Shape"] == "sweep" && !j.broken) else {
                continue;
            };
            if self.done.get(id).is_some_and(|d| d.len() == job.pieces()) {
                continue;
            }
            let n = job.need();
            let team = job.spec["Crew"].as_str().unwrap_or("");
            let u = by_team.get(team).copied().unwrap_or_default();
            let limit = limits.iter().find(|l| l.0 == team);
            if limit.is_some_and(|l| l.1 > 0.0 && u.0 + n.0 > l.1 || l.2 > 0.0 && u.1 + n.1 > l.2) {
                continue;
            }
            let room = self.machines.values().find(|m| {
                let Some(k) = self.kinds.iter().find(|k| k.name == m.kind) else { return false };
                let u = used.get(m.name.as_str()).copied().unwrap_or_default();
                m.active(now)
                    && m.notice_until.is_none()
                    && (job.spec["Standby"] == true || !m.spot)
                    && (job.spec["Berth"].is_null() || job.spec["Berth"] == m.zone.as_str())
                    && (job.spec["Hulls"].is_null()
                        || job.spec["Hulls"]
                            .as_array()
                            .is_some_and(|h| h.iter().any(|h| *h == m.kind.as_str())))
                    && u.0 + n.0 <= k.cpus
                    && u.1 + n.1 <= k.cards
                    && u.2 + n.2 <= k.memory_gb
            });
            if let Some(m) = room {
                found.push((id.clone(), m.name.clone()));
            }
        }
        found
    }

    fn list_now(&self, now: Ms) -> Vec<Value> {
        self.machines
            .values()
            .filter(|m| m.gone_at.is_none() || m.failed)
            .map(|m| {
                let status = if m.failed {
                    "failed"
                } else if now >= m.up_at {
                    "running"
                } else {
                    "starting"
                };
                json!({"Uid": m.name, "Addr": m.addr, "Hull": m.kind, "Berth": m.zone, "Standby": m.spot,
                    "Status": status, "HeldS": (now - m.rented_at) as f64 / 1e3})
            })
            .collect()
    }
}

impl Fleet {
    pub fn with<T>(&self, f: impl FnOnce(&mut World, Ms) -> T) -> T {
        let mut world = self.world.lock().unwrap();
        let now = self.record.now();
        f(&mut world, now)
    }

    /// Starts the cloud and the clock of the workers.
    pub fn start(self: &Arc<Fleet>, cloud: TcpListener) {
        let fleet = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                fleet.with(|w, now| {
                    w.tick(now, &fleet.record);
                    if w.lists.last().is_none_or(|(at, _)| now >= at + 500) {
                        let list = w.list_now(now);
                        w.lists.push((now, list));
                    }
                });
            }
        });
        let fleet = self.clone();
        http::serve(cloud, move |method, path, body| fleet.cloud(method, path, body));
    }

    fn cloud(self: &Arc<Fleet>, method: &str, path: &str, body: &str) -> Reply {
        let answer = |status, v: Value| Reply::Answer(status, v.to_string());
        if self.with(|w, _| w.cloud_out) {
            return answer(503, json!({"error": "trouble"}));
        }
        let v: Value = serde_json::from_str(body).unwrap_or_default();
        match (method, path.split('?').next().unwrap_or("")) {
            ("GET", "/machine_types") => self.with(|w, _| {
                let rows: Vec<Value> = w
                    .kinds
                    .iter()
                    .map(|k| {
                        json!({"Name": k.name, "Cpus": k.cpus, "Cards": k.cards, "MemoryGb": k.memory_gb,
                            "CacheGb": 60.0, "FetchGbPerS": 1.0, "Rate": 1.0, "SpotPrice": 0.4,
                            "StartupS": w.startup_s.unwrap_or(k.boot_ms as f64 / 1e3), "Berths": w.zones})
                    })
                    .collect();
                answer(200, json!({"Hulls": rows}))
            }),
            ("POST", "/rentals") => self.rent(&v),
            ("POST", "/rentals/return") => {
                self.with(|w, now| {
                    for name in v["Hosts"].as_array().into_iter().flatten().filter_map(Value::as_str) {
                        w.remove(name, now, &self.record, "returned");
                        if let Some(m) = w.machines.get_mut(name) {
                            m.failed = false;
                        }
                    }
                });
                answer(200, json!({}))
            }
            ("GET", "/rentals") => self.with(|w, now| {
                let after = http::parameter(path, "After").unwrap_or_default();
                let most: usize = http::parameter(path, "Most").and_then(|t| t.parse().ok()).unwrap_or(500);
                let as_of = now.saturating_sub(w.list_lag_ms);
                let list = w.lists.iter().rev().find(|(at, _)| *at <= as_of).map(|(_, l)| l.clone());
                let rows: Vec<Value> = list
                    .unwrap_or_default()
                    .into_iter()
                    .filter(|r| r["Uid"].as_str().unwrap_or("") > after.as_str())
                    .collect();
                let more = rows.len() > most;
                answer(200, json!({"Hosts": rows.into_iter().take(most).collect::<Vec<_>>(), "More": more}))
            }),
            _ => answer(400, json!({"error": "malformed"})),
        }
    }

    fn rent(self: &Arc<Fleet>, v: &Value) -> Reply {
        let answer = |status, v: Value| Reply::Answer(status, v.to_string());
        let text = |f: &str| v[f].as_str().unwrap_or("").to_owned();
        let (charter, kind, zone, spot) =
            (text("Charter"), text("Hull"), text("Berth"), v["Standby"].as_bool().unwrap_or(false));
        let mut names = Vec::new();
        self.with(|w, now| {
            w.rent_calls += 1;
            if let Some(known) = w.rentals.get(&charter) {
                names = known.clone();
                return;
            }
            let Some(k) = w.kinds.iter().find(|k| k.name == kind).cloned() else { return };
            let up = w
                .machines
                .values()
                .filter(|m| m.gone_at.is_none() && m.kind == kind && m.zone == zone && m.spot == spot)
                .count();
            let most = if spot { k.spot_capacity } else { k.capacity };
            let count = (v["HowMany"].as_u64().unwrap_or(0).min(50) as usize).min(most.saturating_sub(up));
            for _ in 0..count {
                names.push(self.add_machine(w, now, &k, &zone, spot, k.boot_ms));
            }
            if !names.is_empty() {
                w.rentals.insert(charter.clone(), names.clone());
            }
        });
        if names.is_empty() {
            return answer(503, json!({"error": "no capacity"}));
        }
        answer(200, json!({"Hosts": names}))
    }

    pub fn add_machine(
        self: &Arc<Fleet>,
        w: &mut World,
        now: Ms,
        k: &Kind,
        zone: &str,
        spot: bool,
        boot_ms: Ms,
    ) -> String {
        w.next_machine += 1;
        let name = format!("m-{:06}", w.next_machine);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap().to_string();
        self.record.note(&format!("machine {name}: rented, {} in {zone}, at {addr}", k.name));
        w.machines.insert(
            name.clone(),
            Machine {
                name: name.clone(),
                kind: k.name.clone(),
                zone: zone.to_owned(),
                spot,
                addr,
                rented_at: now,
                up_at: now + boot_ms,
                gone_at: None,
                failed: false,
                session: 1,
                tally: 0,
                token: 0,
                lease_from: now + boot_ms,
                tasks: BTreeMap::new(),
                changed: true,
                hung_until: 0,
                cut_until: 0,
                mute_until: 0,
                deaf_until: 0,
                notice_until: None,
                sick_until: 0,
                oversize_reports: 0,
                expiries: 0,
            },
        );
        let (fleet, machine) = (self.clone(), name.clone());
        http::serve(listener, move |method, path, body| fleet.direct(&machine, method, path, body));
        let (fleet, machine, first) = (self.clone(), name.clone(), w.next_machine as usize);
        thread::spawn(move || fleet.report_loop(&machine, first));
        name
    }

    /// The endpoint of a worker.
    fn direct(self: &Arc<Fleet>, name: &str, method: &str, path: &str, body: &str) -> Reply {
        loop {
            let wait = self.with(|w, now| {
                let m = &w.machines[name];
                if m.gone_at.is_some() || now < m.up_at || now < m.deaf_until {
                    return None;
                }
                Some(m.hung_until.max(m.cut_until).saturating_sub(now))
            });
            match wait {
                None => return Reply::Silence(Duration::from_secs(20)),
                Some(0) => break,
                // Held back, and delivered when the machine goes on, whether or not the sender has given up.
                Some(ms) => thread::sleep(Duration::from_millis(ms)),
            }
        }
        let v: Value = serde_json::from_str(body).unwrap_or_default();
        self.with(|w, now| {
            w.expire(name, now, &self.record);
            let m = w.machines.get_mut(name).unwrap();
            if method == "GET" && path == "/show" {
                return Reply::Answer(200, m.report(now).to_string());
            }
            let (Some(token), Some(session)) = (v["Helm"].as_u64(), v["Watch"].as_u64()) else {
                return Reply::Answer(400, json!({"error": "Helm or Watch is missing"}).to_string());
            };
            if token < m.token || session != m.session {
                return Reply::Answer(409, m.report(now).to_string());
            }
            if token > m.token {
                (m.token, m.changed) = (token, true);
            }
            w.orders(name, &v["Orders"], now, &self.record);
            let m = w.machines.get_mut(name).unwrap();
            Reply::Answer(200, m.report(now).to_string())
        })
    }

    /// Sends a worker's reports until its machine is gone.
    fn report_loop(self: &Arc<Fleet>, name: &str, first: usize) {
        let nodes = self.api.len();
        let mut node = first % nodes;
        let (mut next_at, mut last_at, mut n) = (0, 0, first as u64);
        loop {
            thread::sleep(Duration::from_millis(20));
            let due = self.with(|w, now| {
                let timing = w.timing.unwrap();
                let m = w.machines.get_mut(name).unwrap();
                if m.gone_at.is_some() {
                    return Err(());
                }
                if !m.active(now) || now < next_at && !(m.changed && now >= last_at + 500) {
                    return Ok(None);
                }
                w.expire(name, now, &self.record);
                let m = w.machines.get_mut(name).unwrap();
                m.changed = false;
                // Reports come a quarter early to a quarter late.
                n = n.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                let share = 0.75 + (n >> 33) as f64 / (1u64 << 31) as f64 * 0.5;
                (last_at, next_at) = (now, now + (timing.report_ms as f64 * share) as u64);
                let held_until = m.cut_until.max(m.mute_until);
                Ok(Some((now, m.session, m.report(now).to_string(), held_until)))
            });
            let (sent, session, text, held_until) = match due {
                Err(()) => return,
                Ok(None) => continue,
                Ok(Some(due)) => due,
            };
            if text.len() > 64 * 1024 {
                self.with(|w, _| w.machines.get_mut(name).unwrap().oversize_reports += 1);
                self.record.note(&format!("worker {name}: its report has {} bytes", text.len()));
            }
            let unreachable = held_until > sent || self.with(|w, _| w.unreachable_nodes.contains(&node));
            let reply = if unreachable {
                thread::sleep(Duration::from_millis(4_000));
                None
            } else {
                http::request(
                    &self.api[node],
                    "POST",
                    "/v1/report",
                    Some(&text),
                    Duration::from_millis(4_000),
                )
            };
            let now = self.record.now();
            let (status, answer) = match &reply {
                Some((status, text)) => (*status, serde_json::from_str::<Value>(text).unwrap_or_default()),
                None => (0, Value::Null),
            };
            let mut fails = true;
            if status == 200 {
                fails = self.with(|w, at| {
                    let m = &w.machines[name];
                    if m.gone_at.is_some()
                        || !m.active(at)
                        || m.cut_until.max(m.deaf_until) > at
                        || at > sent + 4_000
                    {
                        return true;
                    }
                    w.expire(name, at, &self.record);
                    let m = w.machines.get_mut(name).unwrap();
                    let token = answer["Helm"].as_u64();
                    if m.session == session && token.is_some_and(|t| t >= m.token) {
                        m.changed |= token > Some(m.token);
                        (m.token, m.lease_from) = (token.unwrap(), sent);
                        w.orders(name, &answer["Orders"], at, &self.record);
                    }
                    false
                });
            } else if status == 421
                && let Some(to) = answer["Harbour"].as_str()
                && let Some(to) = self.members.iter().position(|m| m == to).filter(|to| *to != node)
            {
                (node, next_at, fails) = (to, now + n % 500, false);
            } else if status >= 400 && status != 421 && status != 503 {
                self.record.note(&format!("worker {name}: {} answers {status} {answer}", self.members[node]));
            }
            if fails {
                (node, next_at) = ((node + 1) % nodes, now + 1_000);
                last_at = now + 500;
            }
        }
    }
}
