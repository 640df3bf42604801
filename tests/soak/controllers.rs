//! The controllers' processes: starts, kills and pauses the built program, by process id.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::history::Ms;

struct ControllerProcess {
    child: Option<Child>,
    /// Earliest time of the next start while there is no process.
    start_at: Ms,
    settings: PathBuf,
    log: PathBuf,
}

/// Shell script that kills the remaining controllers when the soak ends, even if the soak itself is killed.
///
/// It reads from a pipe which controllers are running; the pipe is closed when the soak ends.
const WATCHDOG_SCRIPT: &str = r#"
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

/// The processes of all controllers. The running ones are killed on drop.
pub struct ControllerProcesses {
    all: Vec<Mutex<ControllerProcess>>,
    watchdog: Mutex<Child>,
    /// Pipe on which the watchdog is notified of started and ended controllers.
    watchdog_input: Mutex<Option<ChildStdin>>,
    /// A controller has exited because its port was in use.
    port_conflict: AtomicBool,
}

impl ControllerProcesses {
    /// Writes the settings files and starts the watchdog, but no controller yet.
    pub fn new(folder: &Path, settings: &[String]) -> std::io::Result<ControllerProcesses> {
        let mut all = Vec::new();
        for (n, text) in settings.iter().enumerate() {
            let path = folder.join(format!("n-{n}.toml"));
            std::fs::write(&path, text)?;
            let log = folder.join(format!("n-{n}.log"));
            all.push(Mutex::new(ControllerProcess { child: None, start_at: 0, settings: path, log }));
        }
        let mut watchdog = Command::new("sh")
            .arg("-c")
            .arg(WATCHDOG_SCRIPT)
            .stdin(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let watchdog_input = Mutex::new(watchdog.stdin.take());
        Ok(ControllerProcesses {
            all,
            watchdog: Mutex::new(watchdog),
            watchdog_input,
            port_conflict: AtomicBool::new(false),
        })
    }

    /// Whether a controller has exited because its port was in use.
    pub fn port_conflict(&self) -> bool {
        self.port_conflict.load(Ordering::Relaxed)
    }

    fn notify_watchdog(&self, verb: &str, child: &Child) {
        if let Some(pipe) = self.watchdog_input.lock().unwrap().as_mut() {
            let _ = writeln!(pipe, "{verb} {}", child.id());
        }
    }

    /// Kills a process and waits for its exit.
    fn kill_and_wait(&self, child: &mut Child) {
        let _ = child.kill();
        let _ = child.wait();
        self.notify_watchdog("ended", child);
    }

    /// Whether a controller has a process, paused or not.
    pub fn has_process(&self, node: usize) -> bool {
        self.all[node].lock().unwrap().child.is_some()
    }

    /// Starts the controllers that are due. Returns a description of each controller that exited by itself.
    pub fn poll(&self, now: Ms) -> Vec<String> {
        let mut exits = Vec::new();
        for (n, process) in self.all.iter().enumerate() {
            let mut process = process.lock().unwrap();
            if let Some(child) = &mut process.child
                && let Ok(Some(status)) = child.try_wait()
            {
                exits.push(format!("n-{n} at {now}: {status}"));
                self.notify_watchdog("ended", child);
                let log = std::fs::read_to_string(&process.log).unwrap_or_default();
                let port_in_use =
                    log.lines().last().is_some_and(|line| line.contains("Address already in use"));
                self.port_conflict.fetch_or(port_in_use, Ordering::Relaxed);
                process.child = None;
                process.start_at = now + 500;
            }
            if process.child.is_none() && now >= process.start_at {
                process.child = start(&process).ok();
                if let Some(child) = &process.child {
                    self.notify_watchdog("started", child);
                }
            }
        }
        exits
    }

    /// Kills a controller; it is restarted after `away` ms.
    pub fn kill(&self, node: usize, now: Ms, away: Ms) {
        let mut process = self.all[node].lock().unwrap();
        if let Some(mut child) = process.child.take() {
            self.kill_and_wait(&mut child);
            process.start_at = now + away;
        }
    }

    /// Pauses a controller's process (SIGSTOP) or resumes it (SIGCONT).
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
                self.kill_and_wait(&mut child);
            }
        }
    }
}

impl Drop for ControllerProcesses {
    fn drop(&mut self) {
        self.kill_all();
        // The watchdog exits when its pipe is closed.
        drop(self.watchdog_input.lock().unwrap().take());
        let _ = self.watchdog.lock().unwrap().wait();
    }
}

fn start(process: &ControllerProcess) -> std::io::Result<Child> {
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
