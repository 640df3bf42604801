//! Network side of a simulated worker: the endpoint for direct orders, and the reports to the controllers.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use marblewalk::protocol::units::Micros;
use marblewalk::transport::http_client::HttpClient;
use rand::RngExt;
use serde_json::Value;

use crate::fleet::Machine;
use crate::history::Ms;
use crate::rig::Rig;

/// How long a worker waits for the answer to a report; a later answer is dropped.
const ANSWER_TIMEOUT_MS: Ms = 4_000;

/// Number of copies of each call that was answered while calls are repeated.
const COPIES_PER_CALL: usize = 4;

/// How much later a copy of answered orders arrives: up to more than two leases of a worker.
const REPETITION_DELAY_MS: std::ops::Range<Ms> = 1_000..15_000;

/// Handler state of the endpoint of one worker.
#[derive(Clone)]
struct WorkerEndpoint {
    rig: Arc<Rig>,
    name: String,
}

/// Routes of the endpoint of one worker.
pub fn router(rig: Arc<Rig>, name: String) -> Router {
    Router::new()
        .route("/orders", post(handle_orders))
        .route("/show", get(handle_show))
        .with_state(WorkerEndpoint { rig, name })
}

impl WorkerEndpoint {
    /// If requests do not reach the worker now: until when, and whether the requests sent meanwhile are executed then.
    fn blocked_until(&self, now: Ms) -> Option<(Ms, bool)> {
        let fleet = self.rig.fleet.lock().unwrap();
        let machine = fleet.machines.get(&self.name)?;
        if !machine.is_up(now) {
            return Some((now + 60_000, false));
        }
        if machine.not_receiving_until > now {
            return Some((machine.not_receiving_until, false));
        }
        let until = machine.hung_until.max(machine.cut_until);
        (until > now).then_some((until, true))
    }

    fn execute(&self, body: &Value) -> (StatusCode, Value) {
        let now = self.rig.now();
        let mut fleet = self.rig.fleet.lock().unwrap();
        let mut history = self.rig.history.lock().unwrap();
        fleet.handle_direct_orders(&mut history, &self.name, body, now)
    }
}

async fn handle_orders(State(endpoint): State<WorkerEndpoint>, body: Bytes) -> Response {
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let now = endpoint.rig.now();
    let delayed_by_fault =
        endpoint.rig.faults.lock().unwrap().late_commands() && rand::rng().random_bool(0.3);
    let blocked = endpoint
        .blocked_until(now)
        .or_else(|| delayed_by_fault.then(|| (now + rand::rng().random_range(1_000..8_000), true)));
    if let Some((until, executes)) = blocked {
        // The orders are executed even if the sender has timed out meanwhile.
        let (delayed, rig) = (endpoint.clone(), endpoint.rig.clone());
        tokio::spawn(async move {
            rig.sleep_until(until).await;
            let reachable = delayed.blocked_until(rig.now()).is_none();
            if executes && reachable {
                delayed.execute(&body);
            }
        });
        tokio::time::sleep(Duration::from_secs(10)).await;
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let (status, report) = endpoint.execute(&body);
    if status == StatusCode::OK {
        repeat_later(&endpoint, &body);
    }
    (status, report.to_string()).into_response()
}

/// Delivers copies of orders that were executed, each after a random delay if the worker is reachable then.
fn repeat_later(endpoint: &WorkerEndpoint, body: &Value) {
    let is_empty = body["Orders"].as_array().is_none_or(Vec::is_empty);
    if is_empty || !endpoint.rig.faults.lock().unwrap().repeated_commands() {
        return;
    }
    for _ in 0..COPIES_PER_CALL {
        let (endpoint, body) = (endpoint.clone(), body.clone());
        tokio::spawn(async move {
            let delay_ms = rand::rng().random_range(REPETITION_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            if endpoint.blocked_until(endpoint.rig.now()).is_none() {
                let (status, _) = endpoint.execute(&body);
                endpoint.rig.record_copy(status == StatusCode::OK);
            }
        });
    }
}

async fn handle_show(State(endpoint): State<WorkerEndpoint>) -> Response {
    if endpoint.blocked_until(endpoint.rig.now()).is_some() {
        tokio::time::sleep(Duration::from_secs(10)).await;
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let report =
        endpoint.rig.fleet.lock().unwrap().machines.get_mut(&endpoint.name).map(Machine::next_report);
    report.unwrap_or_default().to_string().into_response()
}

/// A report to be sent to the controller `target_node`, with a flag whether it reaches it.
struct PendingReport {
    target_node: usize,
    body: Value,
    session: u64,
    sent: Ms,
    reaches_target: bool,
}

/// Sends the worker's reports until its machine is gone.
pub async fn run_worker(rig: Arc<Rig>, name: String) {
    let client = HttpClient::new("");
    let mut next_report_at = 0;
    let mut last_report_at = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let pending = {
            let now = rig.now();
            let mut fleet = rig.fleet.lock().unwrap();
            let settings = fleet.settings;
            let Some(machine) = fleet.machines.get_mut(&name) else { return };
            if machine.dead {
                return;
            }
            let changed = machine.changed_since_report && now >= last_report_at + 500;
            if !machine.is_active(now) || now < next_report_at && !changed {
                continue;
            }
            let mut history = rig.history.lock().unwrap();
            machine.expire_lease(&mut history, now, settings.lease_ms);
            machine.changed_since_report = false;
            let interval = rand::rng().random_range(settings.report_ms * 3 / 4..settings.report_ms * 5 / 4);
            (last_report_at, next_report_at) = (now, now + interval);
            let target_node = machine.target_node % rig.nodes.len();
            let cut = machine.cut_until > now || machine.not_sending_until > now;
            let reaches_target = !cut && !rig.faults.lock().unwrap().worker_reports_cut(target_node);
            PendingReport {
                target_node,
                body: machine.next_report(),
                session: machine.session,
                sent: now,
                reaches_target,
            }
        };
        let (new_target, delay_ms) = send_report(&rig, &client, &name, pending).await;
        if let Some(target) = new_target {
            let mut fleet = rig.fleet.lock().unwrap();
            if let Some(machine) = fleet.machines.get_mut(&name) {
                machine.target_node = target;
            }
        }
        if delay_ms > 0 {
            next_report_at = rig.now() + delay_ms;
        }
    }
}

/// Sends a report and applies its answer.
///
/// Returns the controller to report to from now on, if it changes, and the delay until the next report; 0: the regular
/// interval.
async fn send_report(
    rig: &Arc<Rig>,
    client: &HttpClient,
    name: &str,
    pending: PendingReport,
) -> (Option<usize>, Ms) {
    let count = rig.nodes.len();
    let next_node = Some((pending.target_node + 1) % count);
    let text = pending.body.to_string();
    if pending.reaches_target && rig.faults.lock().unwrap().late_reports() && rand::rng().random_bool(0.3) {
        let (rig, client, text) = (rig.clone(), client.clone(), text.clone());
        tokio::spawn(async move {
            let (delay_ms, node) = {
                let mut rng = rand::rng();
                (rng.random_range(1_000..10_000), rng.random_range(0..count))
            };
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            let to = client.with_addr(&rig.nodes[node].api);
            let _ =
                to.request("POST", "/v1/report", Some(text), Micros::from_millis(ANSWER_TIMEOUT_MS)).await;
        });
    }
    if !pending.reaches_target {
        tokio::time::sleep(Duration::from_millis(ANSWER_TIMEOUT_MS)).await;
        return (next_node, 1_000);
    }
    let to = client.with_addr(&rig.nodes[pending.target_node].api);
    let timeout = Micros::from_millis(ANSWER_TIMEOUT_MS);
    let Ok(reply) = to.request("POST", "/v1/report", Some(text), timeout).await else {
        return (next_node, 1_000);
    };
    let answer: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let now = rig.now();
    let mut fleet = rig.fleet.lock().unwrap();
    let mut history = rig.history.lock().unwrap();
    let lease_ms = fleet.settings.lease_ms;
    let Some(machine) = fleet.machines.get_mut(name) else { return (None, 0) };
    let answer_lost = machine.not_receiving_until > now || machine.cut_until > now || !machine.is_active(now);
    if answer_lost || now - pending.sent > ANSWER_TIMEOUT_MS {
        return (next_node, 1_000);
    }
    machine.expire_lease(&mut history, now, lease_ms);
    match reply.status {
        200 => {
            let token = answer["Helm"].as_u64();
            // The answer is for an earlier session or has an older token: it is dropped, and the target stays.
            if machine.session != pending.session || token.is_none_or(|t| t < machine.token) {
                return (None, 0);
            }
            let token = token.unwrap_or_default();
            machine.changed_since_report |= token > machine.token;
            (machine.token, machine.lease_renewed_at) = (token, pending.sent);
            fleet.execute_orders(&mut history, name, &answer["Orders"], now);
            (None, 0)
        }
        421 => {
            let owner =
                answer["Harbour"].as_str().and_then(|to| to.strip_prefix("n-")?.parse::<usize>().ok());
            match owner.filter(|to| *to != pending.target_node && *to < count) {
                Some(to) => (Some(to), rand::rng().random_range(1..500)),
                None => (next_node, 1_000),
            }
        }
        _ => (next_node, 1_000),
    }
}
