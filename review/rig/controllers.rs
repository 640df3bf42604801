//! The controllers' processes, started with the command of the deploy file.

use std::fs::File;
use std::io::Write;
use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};

/// What the settings of all controllers have in common.
pub struct Platform {
    /// The part from `[params]` on.
    pub params: String,
    pub zones: Vec<&'static str>,
    pub cloud: String,
    /// The state service's address for each controller.
    pub states: Vec<String>,
}

struct Controller {
    child: Option<Child>,
    settings: std::path::PathBuf,
    log: std::path::PathBuf,
}

/// Reads from a pipe which processes were started and ended; when the pipe is closed, as the rig has ended in whatever
/// way, it kills those that are left and removes the folder of settings and logs.
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
rm -rf "$0"
"#;

pub struct Controllers {
    command: Vec<String>,
    all: Vec<Controller>,
    watchdog: Child,
    watchdog_input: Option<ChildStdin>,
    /// Names and addresses for users and workers.
    pub apis: Vec<(String, String)>,
}

fn free_addr(held: &mut Vec<TcpListener>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address").to_string();
    held.push(listener);
    addr
}

impl Controllers {
    /// Writes the settings, and starts nothing yet. `command`: `run` of the deploy file.
    pub fn new(command: &str, folder: &Path, platform: &Platform) -> Controllers {
        let count = platform.states.len();
        let mut held = Vec::new();
        let addrs: Vec<(String, String)> =
            (0..count).map(|_| (free_addr(&mut held), free_addr(&mut held))).collect();
        let zone = |n: usize| platform.zones[n % platform.zones.len()];
        let mut all = Vec::new();
        for n in 0..count {
            let mut text = format!(
                "member = \"quarry-{n}\"\nzone = \"{}\"\napi_addr = \"{}\"\ninternal_addr = \"{}\"\n",
                zone(n),
                addrs[n].0,
                addrs[n].1
            );
            for other in (0..count).filter(|other| *other != n) {
                text += &format!(
                    "[[members]]\nmember = \"quarry-{other}\"\nzone = \"{}\"\naddr = \"{}\"\n",
                    zone(other),
                    addrs[other].1
                );
            }
            text +=
                &format!("[external]\ncloud = \"{}\"\nstate = \"{}\"\n", platform.cloud, platform.states[n]);
            text += &platform.params;
            let settings = folder.join(format!("quarry-{n}.toml"));
            std::fs::write(&settings, text).expect("settings");
            all.push(Controller { child: None, settings, log: folder.join(format!("quarry-{n}.log")) });
        }
        let apis = addrs.into_iter().enumerate().map(|(n, a)| (format!("quarry-{n}"), a.0)).collect();
        let mut watchdog = Command::new("sh")
            .args(["-c", WATCHDOG])
            .arg(folder)
            .stdin(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("a shell");
        let watchdog_input = watchdog.stdin.take();
        let command = command.split_whitespace().map(str::to_owned).collect();
        Controllers { command, all, watchdog, watchdog_input, apis }
    }

    fn tell_watchdog(&mut self, verb: &str, id: u32) {
        if let Some(input) = &mut self.watchdog_input {
            let _ = writeln!(input, "{verb} {id}");
        }
    }

    pub fn start(&mut self, n: usize) {
        let c = &mut self.all[n];
        let log = File::options().create(true).append(true).open(&c.log).expect("a log");
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .arg(&c.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let child = child.expect("the program of the deploy file");
        let id = child.id();
        c.child = Some(child);
        self.tell_watchdog("started", id);
    }

    /// Sends a signal to a controller, as `kill` names it.
    pub fn signal(&self, n: usize, signal: &str) {
        if let Some(child) = &self.all[n].child {
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.all[n].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.tell_watchdog("ended", child.id());
        }
    }

    /// A controller that has ended by itself.
    pub fn ended(&mut self) -> Option<usize> {
        self.all.iter_mut().position(|c| c.child.as_mut().is_some_and(|c| !matches!(c.try_wait(), Ok(None))))
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.all.len()).for_each(|n| self.kill(n));
        drop(self.watchdog_input.take());
        let _ = self.watchdog.wait();
    }
}
