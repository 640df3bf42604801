//! The settings file that the platform provides, and the operators' tuning file.

use std::path::Path;

use serde::Deserialize;

use crate::coordination::{CLOCK_DRIFT, LEASE_SLACK};
use crate::protocol::units::Micros;

/// Why a settings file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{path}: {source}")]
    Read { path: String, source: std::io::Error },
    #[error("{path}: {message}")]
    Parse { path: String, message: String },
    #[error("{field}: {problem}")]
    Value { field: String, problem: &'static str },
    #[error(
        "params.workers.cancel_s: {cancel_s} s is too short: block_lease_s of {block_lease_s:.3} s, \
         params.workers.lease_s of {lease_s} s and {margin_s:.3} s of margins make {sum_s:.3} s"
    )]
    CancelDeadlineTooShort { cancel_s: f64, block_lease_s: f64, lease_s: f64, margin_s: f64, sum_s: f64 },
}

/// Settings of a controller and of its cluster, provided by the platform. Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    pub member: String,
    pub zone: String,
    /// Address at which workers and users are served.
    pub api_addr: String,
    /// Address at which other controllers connect.
    pub internal_addr: String,
    /// The other controllers.
    #[serde(default)]
    pub members: Vec<Member>,
    pub external: External,
    pub params: Params,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    pub member: String,
    #[serde(default)]
    pub zone: String,
    /// Its `internal_addr`.
    pub addr: String,
}

/// Addresses of the external services: the cloud and the state service.
#[derive(Clone, Debug, Deserialize)]
pub struct External {
    pub cloud: String,
    pub state: String,
}

/// Parameters that all controllers of the cluster share.
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

/// A team's capacity guarantees (`cpus`, `gpus`) and limits (`cpus_max`, `gpus_max`); 0 stands for none.
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

/// A service level objective for the jobs of a class.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// `wait`: the time until a job starts; `finished`: the time until it is done. Other kinds have no effect.
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    /// Target time in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Fraction of the jobs that should meet the target time.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Timing of workers, in seconds.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Workers {
    /// Interval between a worker's reports.
    pub report_s: f64,
    /// Term of a worker's lease.
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    /// Time after a withdrawal by which the job's tasks must have stopped.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct StateLimits {
    /// Calls per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Largest size of a value.
    pub value_kb: f64,
    /// Most writes in a transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct CloudLimits {
    /// Calls per second.
    pub rps: f64,
    /// Time in seconds by which the list of rented machines may be out of date.
    pub list_lag_s: f64,
}

/// Limits of the machine that the controller runs on.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct MachineLimits {
    /// Most open sockets.
    pub sockets: usize,
}

/// Tuning parameters that operators may set. Every parameter has a default.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Seconds between the leader's regular planning rounds.
    pub round_s: f64,
    /// Seconds that a job is short of its volume, the number of tasks planned for it, before a surplus task of another
    /// job is stopped.
    pub surplus_wait_s: f64,
    /// Seconds that a machine may be idle before it is returned to the cloud; more where teams are guaranteed capacity.
    pub idle_return_s: f64,
    /// Term of a controller's lease in seconds. 0: derived from `cancel_s` and `lease_s`.
    pub block_lease_s: f64,
    /// Seconds of waiting after which a gang is placed first within its rank and machines are reserved for it.
    pub longest_wait_s: f64,
    /// Number of final states kept in memory.
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
        // Only the message is used, which names the field: the source excerpt after it spans several lines.
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
                return invalid(&field, "must be an IP address and port");
            }
        }
        if self.member.is_empty() || self.member.contains(char::is_whitespace) {
            return invalid("member", "must not be empty or contain whitespace");
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
            return invalid("params.state.txn_ops", "must be at least 6, the writes that a grant may need");
        }
        if self.params.machine_limits.sockets < 32 {
            return invalid("params.machine_limits.sockets", "must be at least 32");
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

    /// Names of all controllers, including this one, in ascending order.
    pub fn controller_names(&self) -> Vec<String> {
        let mut all: Vec<String> = self.members.iter().map(|m| m.member.clone()).collect();
        all.push(self.member.clone());
        all.sort();
        all.dedup();
        all
    }

    /// Term of a controller's lease.
    ///
    /// It is short enough that a controller that is cut off has become inactive, and the leases of its workers have
    /// expired, well before the tasks of a withdrawn job must have stopped.
    pub fn lease_term(&self, tuning: &Tuning) -> Micros {
        let w = &self.params.workers;
        if tuning.block_lease_s > 0.0 {
            return Micros::from_secs_f64(tuning.block_lease_s);
        }
        Micros::from_secs_f64(((w.cancel_s - w.lease_s) * 0.75).clamp(4.0, 15.0))
    }

    /// Maximum time from the commit of a withdrawal until the last task of the job has stopped.
    ///
    /// A controller that does not know of the withdrawal becomes inactive one lease term after it last read from the
    /// state service, and that read was before the commit. Until then it may still answer a report, or send a start
    /// into a worker session that it knows. The answer renews the worker's lease only as of the time at which the
    /// report was sent; the start renews no lease and has no effect in another session. So the task has stopped one
    /// worker lease later, however long the answer or the start is delayed on its way. The margins allow for clock
    /// drift and for timers that fire late.
    pub fn max_stop_time_after_commit(&self, tuning: &Tuning) -> Micros {
        self.lease_term(tuning) + self.max_stop_time_after_confirmation()
    }

    /// Maximum time from the confirmation of a withdrawal to the user until the last task of the job has stopped.
    ///
    /// A withdrawal is confirmed only when every controller knows of it or is inactive. From then on a task can run for
    /// one more worker lease, plus the margins.
    pub fn max_stop_time_after_confirmation(&self) -> Micros {
        let lease = Micros::from_secs_f64(self.params.workers.lease_s);
        lease + Self::timing_margin(lease)
    }

    /// Margin for clock drift during a worker lease and for late timers.
    fn timing_margin(worker_lease: Micros) -> Micros {
        worker_lease.mul_f64(CLOCK_DRIFT) + LEASE_SLACK + LEASE_SLACK
    }

    /// Checks that the tasks of a withdrawn job stop within `cancel_s`, whichever controllers or connections fail.
    ///
    /// # Errors
    /// [`SettingsError::CancelDeadlineTooShort`] if the leases and margins do not add up to less than `cancel_s`.
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
