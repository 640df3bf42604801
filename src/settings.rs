//! The platform's settings file, and the operators' own.

use std::path::Path;

use serde::Deserialize;

use crate::coordination::{DRIFT, SLACK};
use crate::protocol::units::Micros;

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{path}: {source}")]
    Read { path: String, source: std::io::Error },
    #[error("{path}: {message}")]
    Parse { path: String, message: String },
    #[error("{field}: {problem}")]
    Value { field: String, problem: &'static str },
    #[error(
        "params.workers.cancel_s: {cancel_s} s leave no room: block_lease_s of {block_lease_s:.3} s, \
         params.workers.lease_s of {lease_s} s and {margin_s:.3} s of margins make {sum_s:.3} s"
    )]
    CancelDeadlineTooShort { cancel_s: f64, block_lease_s: f64, lease_s: f64, margin_s: f64, sum_s: f64 },
}

#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    pub member: String,
    pub zone: String,
    pub api_addr: String,
    pub internal_addr: String,
    #[serde(default)]
    pub members: Vec<Member>,
    pub external: External,
    pub params: Params,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    pub member: String,
    #[serde(default)]
    pub zone: String,
    pub addr: String,
}

#[derive(Clone, Debug, Deserialize)]
pub struct External {
    pub cloud: String,
    pub state: String,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Params {
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub machine_limits: MachineLimits,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Clone, Copy, Debug, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
pub struct MachineLimits {
    pub sockets: usize,
}

/// What operators may set for themselves. Every value has a default.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Seconds between the leader's regular rounds.
    pub round_s: f64,
    /// Seconds a job sits below its volume before a surplus task elsewhere is stopped.
    pub surplus_wait_s: f64,
    /// Seconds a machine may stay idle before it is returned.
    pub idle_return_s: f64,
    /// Seconds a block lease lasts; 0: what `cancel_s` and `lease_s` leave room for.
    pub block_lease_s: f64,
    /// Seconds after which a waiting gang comes first of its rank, and room is held for it.
    pub longest_wait_s: f64,
    /// Final states kept in memory.
    pub final_cache: usize,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            round_s: 2.0,
            surplus_wait_s: 20.0,
            idle_return_s: 6.0,
            block_lease_s: 0.0,
            longest_wait_s: 120.0,
            final_cache: 20_000,
        }
    }
}

fn read_toml<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<T, SettingsError> {
    let name = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|source| SettingsError::Read { path: name.clone(), source })?;
    toml::from_str(&text).map_err(|e| {
        // The message names the field; the excerpt that follows it would span lines.
        let line = e.span().map(|s| text[..s.start].lines().count().max(1)).unwrap_or(1);
        let message = format!("line {line}: {}", e.message().replace('\n', " "));
        SettingsError::Parse { path: name, message }
    })
}

impl Tuning {
    pub fn load(path: &Path) -> Result<Tuning, SettingsError> {
        let tuning: Tuning = read_toml(path)?;
        for (field, value, min) in [
            ("round_s", tuning.round_s, 0.1),
            ("surplus_wait_s", tuning.surplus_wait_s, 0.0),
            ("idle_return_s", tuning.idle_return_s, 0.0),
            ("block_lease_s", tuning.block_lease_s, 0.0),
            ("longest_wait_s", tuning.longest_wait_s, 1.0),
        ] {
            check_range(field, value, min, 86_400.0)?;
        }
        Ok(tuning)
    }
}

fn check_range(field: &str, value: f64, min: f64, max: f64) -> Result<(), SettingsError> {
    if value.is_finite() && (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(SettingsError::Value { field: field.to_owned(), problem: "out of range" })
    }
}

impl Settings {
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let settings: Settings = read_toml(path)?;
        settings.check()?;
        Ok(settings)
    }

    pub fn check(&self) -> Result<(), SettingsError> {
        let invalid = |field: &str, problem| Err(SettingsError::Value { field: field.to_owned(), problem });
        let mut addrs = vec![
            ("api_addr".to_owned(), &self.api_addr),
            ("internal_addr".to_owned(), &self.internal_addr),
            ("external.cloud".to_owned(), &self.external.cloud),
            ("external.state".to_owned(), &self.external.state),
        ];
        for m in &self.members {
            addrs.push((format!("members.{}.addr", m.member), &m.addr));
        }
        for (field, addr) in addrs {
            if addr.parse::<std::net::SocketAddr>().is_err() {
                return invalid(&field, "not an IP address and port");
            }
        }
        if self.member.is_empty() || self.member.contains(char::is_whitespace) {
            return invalid("member", "empty or with spaces");
        }
        let w = &self.params.workers;
        for (field, value) in [
            ("params.workers.report_s", w.report_s),
            ("params.workers.lease_s", w.lease_s),
            ("params.workers.gang_wait_s", w.gang_wait_s),
            ("params.workers.gang_peer_s", w.gang_peer_s),
            ("params.workers.cancel_s", w.cancel_s),
            ("params.cloud.rps", self.params.cloud.rps),
            ("params.state.rps", self.params.state.rps),
            ("params.state.write_rps", self.params.state.write_rps),
            ("params.state.value_kb", self.params.state.value_kb),
        ] {
            check_range(field, value, 0.01, 1e6)?;
        }
        check_range("params.cloud.list_lag_s", self.params.cloud.list_lag_s, 0.0, 1e6)?;
        if self.params.state.txn_ops < 6 {
            return invalid("params.state.txn_ops", "fewer than the 6 changes that a grant may need");
        }
        if self.params.machine_limits.sockets < 32 {
            return invalid("params.machine_limits.sockets", "fewer than 32");
        }
        for t in &self.params.teams {
            for (field, value) in
                [("cpus", t.cpus), ("cpus_max", t.cpus_max), ("gpus", t.gpus), ("gpus_max", t.gpus_max)]
            {
                check_range(&format!("params.teams.{}.{field}", t.name), value, 0.0, 1e9)?;
            }
        }
        Ok(())
    }

    /// All controllers, this one included, in a fixed order.
    pub fn controller_names(&self) -> Vec<String> {
        let mut all: Vec<String> = self.members.iter().map(|m| m.member.clone()).collect();
        all.push(self.member.clone());
        all.sort();
        all.dedup();
        all
    }

    /// How long a controller's lease lasts: a cut-off controller must have fallen silent, and its
    /// workers' leases run out, well before a cancellation is due.
    pub fn lease_term(&self, tuning: &Tuning) -> Micros {
        let w = &self.params.workers;
        if tuning.block_lease_s > 0.0 {
            return Micros::from_secs_f64(tuning.block_lease_s);
        }
        Micros::from_secs_f64(((w.cancel_s - w.lease_s) * 0.75).clamp(4.0, 15.0))
    }

    /// How long after a withdrawal was confirmed the last of its job's tasks is certainly gone.
    ///
    /// Whoever does not know of it falls silent a lease after what it last learned from the state service, and that
    /// is older than the confirmation. Until then it may have answered a report, or sent a start into a session that
    /// it knew; the one renews a worker's lease as of when the report was sent, the other renews nothing and is of no
    /// effect in another session. So however long an answer or a command is held up on its way, a worker's lease later
    /// the task is gone. The margins are for the drift of the clocks and for timers that fire late.
    pub fn max_stop_time_after_commit(&self, tuning: &Tuning) -> Micros {
        self.lease_term(tuning) + self.max_stop_time_after_confirmation()
    }

    /// How long after a withdrawal was *confirmed* its job's last task is gone at the latest, in the order of events of
    /// the rules: confirmed only when every controller knows of it or is silent, it has a worker's lease left.
    pub fn max_stop_time_after_confirmation(&self) -> Micros {
        let lease = Micros::from_secs_f64(self.params.workers.lease_s);
        lease + Self::timing_margin(lease)
    }

    fn timing_margin(worker_lease: Micros) -> Micros {
        worker_lease.mul_f64(DRIFT) + SLACK + SLACK
    }

    /// Checks that a withdrawal holds in time, whatever fails.
    ///
    /// # Errors
    /// [`SettingsError::CancelDeadlineTooShort`] where the leases and margins are not shorter than `cancel_s`.
    pub fn check_cancel_deadline(&self, tuning: &Tuning) -> Result<(), SettingsError> {
        let (workers, stop_time) = (&self.params.workers, self.max_stop_time_after_commit(tuning));
        if stop_time < Micros::from_secs_f64(workers.cancel_s) {
            return Ok(());
        }
        Err(SettingsError::CancelDeadlineTooShort {
            cancel_s: workers.cancel_s,
            block_lease_s: self.lease_term(tuning).as_secs_f64(),
            lease_s: workers.lease_s,
            margin_s: Self::timing_margin(Micros::from_secs_f64(workers.lease_s)).as_secs_f64(),
            sum_s: stop_time.as_secs_f64(),
        })
    }
}

#[cfg(test)]
pub(crate) mod tests;
