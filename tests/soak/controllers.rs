//! The controllers' processes: the built program, started, killed and paused by their ids.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

use crate::history::Ms;

struct Process {
    child: Option<Child>,
    /// When it is to be started again.
    start_at: Ms,
    settings: PathBuf,
    log: PathBuf,
}

/// All controllers. Whatever is left of them is killed when this is dropped.
pub struct Processes(Vec<Mutex<Process>>);

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
        Ok(Processes(all))
    }

    /// Whether a controller has a process, paused or not.
    pub fn runs(&self, node: usize) -> bool {
        self.0[node].lock().unwrap().child.is_some()
    }

    /// Starts those that are due; names those that have ended by themselves.
    pub fn look(&self, now: Ms) -> Vec<String> {
        let mut ended = Vec::new();
        for (n, process) in self.0.iter().enumerate() {
            let mut process = process.lock().unwrap();
            if let Some(child) = &mut process.child
                && let Ok(Some(status)) = child.try_wait()
            {
                ended.push(format!("n-{n} at {now}: {status}"));
                process.child = None;
                process.start_at = now + 500;
            }
            if process.child.is_none() && now >= process.start_at {
                process.child = start(&process).ok();
            }
        }
        ended
    }

    /// Kills a controller, which is started again after so long.
    pub fn kill(&self, node: usize, now: Ms, away: Ms) {
        let mut process = self.0[node].lock().unwrap();
        if let Some(mut child) = process.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            process.start_at = now + away;
        }
    }

    /// Stops a process where it stands, or lets it go on.
    pub fn pause(&self, node: usize, paused: bool) {
        let process = self.0[node].lock().unwrap();
        if let Some(child) = &process.child {
            let signal = if paused { "-STOP" } else { "-CONT" };
            let _ = Command::new("kill").arg(signal).arg(child.id().to_string()).status();
        }
    }

    pub fn kill_all(&self) {
        for process in &self.0 {
            let child = process.lock().unwrap().child.take();
            if let Some(mut child) = child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.kill_all();
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
