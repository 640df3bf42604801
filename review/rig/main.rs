//! Plays one case of the review: real controllers on loopback, with stand-ins of all around them.
//!
//! Arguments: the case, the file of its record, the command that starts a controller. `TROUBLE=0` in the environment
//! leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod cases;
mod controllers;
mod fleet;
mod http;
mod json;
mod state;

use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use controllers::{Controllers, Platform};
use fleet::{Job, MachineType, Shared, WorkerTimes, World};
use json::Json;

/// A deployment and its surroundings.
pub struct Rig {
    pub world: Shared,
    pub controllers: Controllers,
    pub trouble: bool,
    next_node: usize,
    temporary: PathBuf,
}

/// A deployment as the operators' pages describe it.
pub struct Site {
    pub params: String,
    pub zones: Vec<&'static str>,
    pub types: Vec<MachineType>,
    pub times: WorkerTimes,
    pub boot_s: f64,
    pub list_lag_s: f64,
}

impl Rig {
    /// Starts all stand-ins and three controllers, and waits until each can take requests.
    pub fn start(site: Site, record: &Path, command: &str, trouble: bool) -> Result<Rig, String> {
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).map_err(|e| e.to_string())?;
        let record = File::create(record).map_err(|e| e.to_string())?;
        let world = World::new(record, site.types, site.times, site.boot_s, site.list_lag_s);
        let world: Shared = Arc::new(Mutex::new(world));
        let cloud = fleet::serve_cloud(&world);
        let state = state::StateService::new();
        let states = (0..3).map(|_| state.serve()).collect();
        let platform = Platform { params: site.params, zones: site.zones, cloud, states };
        let controllers = Controllers::new(command, &temporary, &platform);
        world.lock().unwrap().nodes = controllers.apis.clone();
        let mut rig = Rig { world, controllers, trouble, next_node: 0, temporary };
        rig.note(&format!("case begins, trouble: {trouble}"));
        (0..3).for_each(|n| rig.controllers.start(n));
        let end = Instant::now() + Duration::from_secs(20);
        for n in 0..3 {
            let addr = rig.controllers.apis[n].1.clone();
            let healthy = || {
                http::call(&addr, "GET", "/healthz", "", Duration::from_secs(1)).is_some_and(|r| r.0 == 200)
            };
            while !healthy() {
                if Instant::now() > end {
                    return Err("the controllers do not become healthy".into());
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        rig.note("all controllers are healthy");
        Ok(rig)
    }

    pub fn note(&self, line: &str) {
        self.world.lock().unwrap().note(line);
    }

    pub fn now(&self) -> f64 {
        self.world.lock().unwrap().now()
    }

    pub fn sleep(&self, seconds: f64) {
        thread::sleep(Duration::from_secs_f64(seconds));
    }

    /// A request of a user to one controller after the other; recorded with its answer.
    pub fn ask(&mut self, method: &str, path: &str, body: &str) -> Option<(u16, Json)> {
        self.next_node = (self.next_node + 1) % self.controllers.apis.len();
        let (name, addr) = self.controllers.apis[self.next_node].clone();
        let wait = if method == "GET" { 2 } else { 5 };
        let reply = http::call(&addr, method, path, body, Duration::from_secs(wait));
        let answer =
            reply.as_ref().map_or("no answer".to_owned(), |(status, text)| format!("{status} {text}"));
        let sent = if body.len() > 600 { &body[..600] } else { body };
        self.note(&format!("user: {name} {method} {path} {sent} -> {answer}"));
        reply.map(|(status, text)| (status, Json::parse(&text).unwrap_or(Json::Null)))
    }

    /// Submits a job whose tasks run for `run_s`, and repeats that for up to 30 s. Returns the status that ended it.
    pub fn submit(&mut self, body: Json, run_s: f64) -> Option<u16> {
        let id = body.get("Uid").str().to_owned();
        let text = body.write();
        self.world.lock().unwrap().jobs.insert(id, Job { body, run_s });
        for _ in 0..25 {
            match self.ask("POST", "/api/jobs", &text) {
                Some((status @ (200 | 201 | 400 | 422), _)) => return Some(status),
                _ => self.sleep(1.2),
            }
        }
        None
    }

    /// The state of a job as a user is told; empty without such an answer.
    pub fn state_of(&mut self, id: &str) -> String {
        let reply = self.ask("GET", &format!("/api/jobs/{id}"), "");
        reply.filter(|r| r.0 == 200).map(|r| r.1.get("Status").str().to_owned()).unwrap_or_default()
    }

    /// Waits until a user is told that a job is in this state.
    pub fn wait_for(&mut self, id: &str, state: &str, seconds: f64) -> bool {
        let end = self.now() + seconds;
        while self.now() < end {
            if self.state_of(id) == state {
                return true;
            }
            self.sleep(1.0);
        }
        false
    }

    /// Copies the controllers' logs beside the record, if `KEEP_LOGS` is set.
    fn keep_logs(&self, record: &Path) {
        if std::env::var_os("KEEP_LOGS").is_some() {
            for n in 0..3 {
                let name = format!("quarry-{n}.log");
                let _ = std::fs::copy(self.temporary.join(&name), record.with_file_name(&name));
            }
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        (0..3).for_each(|n| self.controllers.kill(n));
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, command] = &args[..] else {
        eprintln!("arguments: CASE RECORD COMMAND");
        std::process::exit(2);
    };
    let record = PathBuf::from(record);
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    // A case that takes longer could not run.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(118));
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    let outcome = cases::play(case, &record, command, trouble);
    let code = match outcome {
        Ok((rig, broken)) => {
            let mut rig = rig;
            let ended = rig.controllers.ended();
            if let Some(n) = ended {
                rig.note(&format!("controller {n} has ended by itself"));
            }
            let verdict = broken.as_deref().unwrap_or("the rule held");
            rig.note(&format!("verdict: {verdict}"));
            println!("{case}: {verdict}");
            rig.keep_logs(&record);
            drop(rig);
            i32::from(broken.is_some())
        }
        Err(why) => {
            eprintln!("{case}: could not run: {why}");
            2
        }
    };
    std::process::exit(code);
}
