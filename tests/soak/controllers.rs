//! The controllers' processes: the built program, started, killed and paused by their ids.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::history::Ms;

struct Process {
    child: Option<Child>,
    /// When it is to be started again.
    start_at: Ms,
    settings: PathBuf,
    log: PathBuf,
}

/// Kills what is left of the controllers when the soak ends, also when it is killed: it reads from a pipe which of them
/// run, and the pipe is closed by then.
const WATCHDOG: &str = r#"
trap '' INT TERM
ids=
while read -r verb id; do
    case $verb in
    started) ids="$ids $id" ;;
    ended)
        others=
        for other in $ids; do [ "$other" = "$id" ] || others="$others $other"; done
        ids=$others
        ;;
    esac
done
for id in $ids; do kill -9 "$id"; done
"#;

/// All controllers. Whatever is left of them is killed when this is dropped.
pub struct Processes {
    all: Vec<Mutex<Process>>,
    watchdog: Mutex<Child>,
    /// Which controllers run, for the watchdog.
    told: Mutex<Option<ChildStdin>>,
    /// A controller has ended since its port was in use.
    ports_taken: AtomicBool,
}

impl Processes {
    /// Nothing is started yet.
    pub fn new(folder: &Path, settings: &[String]) -> std::io::Result<Processes> {
        let mut all = Vec::new();
        for (n, text) in settings.iter().enumerate() {
            let path = folder.join(format!("n-{n}.toml"));
            std::fs::write(&path, text)?;
            let log = folder.join(format!("n-{n}.log"));
            all.push(Mutex::new(Process { child: None, start_at: 0, settings: path, log }));
        }
        let mut watchdog =
            Command::new("sh").arg("-c").arg(WATCHDOG).stdin(Stdio::piped()).stderr(Stdio::null()).spawn()?;
        let told = Mutex::new(watchdog.stdin.take());
        Ok(Processes { all, watchdog: Mutex::new(watchdog), told, ports_taken: AtomicBool::new(false) })
    }

    /// Whether a controller has ended since its port was in use.
    pub fn ports_taken(&self) -> bool {
        self.ports_taken.load(Ordering::Relaxed)
    }

    fn tell_watchdog(&self, verb: &str, child: &Child) {
        if let Some(pipe) = self.told.lock().unwrap().as_mut() {
            let _ = writeln!(pipe, "{verb} {}", child.id());
        }
    }

    /// Ends a process and waits until it has ended.
    fn end(&self, child: &mut Child) {
        let _ = child.kill();
        let _ = child.wait();
        self.tell_watchdog("ended", child);
    }

    /// Whether a controller has a process, paused or not.
    pub fn runs(&self, node: usize) -> bool {
        self.all[node].lock().unwrap().child.is_some()
    }

    /// Starts those that are due; names those that have ended by themselves.
    pub fn look(&self, now: Ms) -> Vec<String> {
        let mut ended = Vec::new();
        for (n, process) in self.all.iter().enumerate() {
            let mut process = process.lock().unwrap();
            if let Some(child) = &mut process.child
                && let Ok(Some(status)) = child.try_wait()
            {
                ended.push(format!("n-{n} at {now}: {status}"));
                self.tell_watchdog("ended", child);
                let log = std::fs::read_to_string(&process.log).unwrap_or_default();
                let taken = log.lines().last().is_some_and(|line| line.contains("Address already in use"));
                self.ports_taken.fetch_or(taken, Ordering::Relaxed);
                process.child = None;
                process.start_at = now + 500;
            }
            if process.child.is_none() && now >= process.start_at {
                process.child = start(&process).ok();
                if let Some(child) = &process.child {
                    self.tell_watchdog("started", child);
                }
            }
        }
        ended
    }

    /// Kills a controller, which is started again after so long.
    pub fn kill(&self, node: usize, now: Ms, away: Ms) {
        let mut process = self.all[node].lock().unwrap();
        if let Some(mut child) = process.child.take() {
            self.end(&mut child);
            process.start_at = now + away;
        }
    }

    /// Stops a process where it stands, or lets it go on.
    pub fn pause(&self, node: usize, paused: bool) {
        let process = self.all[node].lock().unwrap();
        if let Some(child) = &process.child {
            let signal = if paused { "-STOP" } else { "-CONT" };
            let _ = Command::new("kill").arg(signal).arg(child.id().to_string()).status();
        }
    }

    pub fn kill_all(&self) {
        for process in &self.all {
            let child = process.lock().unwrap().child.take();
            if let Some(mut child) = child {
                self.end(&mut child);
            }
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.kill_all();
        // Its pipe is closed, so that it ends.
        drop(self.told.lock().unwrap().take());
        let _ = self.watchdog.lock().unwrap().wait();
    }
}

fn start(process: &Process) -> std::io::Result<Child> {
    let log: File = OpenOptions::new().create(true).append(true).open(&process.log)?;
    Command::new(env!("CARGO_BIN_EXE_marblewalk"))
        .arg("--config")
        .arg(&process.settings)
        .env("LOG_LEVEL", std::env::var("SOAK_LOG").unwrap_or_else(|_| "info".into()))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
}
