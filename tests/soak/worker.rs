//! A stand-in worker on the network: its own address, where commands come in, and its reports to the controllers.

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

/// How long a worker waits for the answer to a report, and drops one that comes later.
const ANSWER_MS: Ms = 4_000;

/// A worker's own address.
#[derive(Clone)]
struct Own {
    rig: Arc<Rig>,
    name: String,
}

/// Serves a worker's own address.
pub fn router(rig: Arc<Rig>, name: String) -> Router {
    Router::new().route("/orders", post(orders)).route("/show", get(show)).with_state(Own { rig, name })
}

impl Own {
    /// Until when nothing gets through to the worker, if so, and whether what was sent is carried out then.
    fn held(&self, now: Ms) -> Option<(Ms, bool)> {
        let fleet = self.rig.fleet.lock().unwrap();
        let machine = fleet.machines.get(&self.name)?;
        if !machine.up(now) {
            return Some((now + 60_000, false));
        }
        if machine.deaf_until > now {
            return Some((machine.deaf_until, false));
        }
        let until = machine.hung_until.max(machine.cut_until);
        (until > now).then_some((until, true))
    }

    fn carry_out(&self, body: &Value) -> (StatusCode, Value) {
        let now = self.rig.now();
        let mut fleet = self.rig.fleet.lock().unwrap();
        let mut history = self.rig.history.lock().unwrap();
        fleet.direct(&mut history, &self.name, body, now)
    }
}

async fn orders(State(own): State<Own>, body: Bytes) -> Response {
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let now = own.rig.now();
    let late = own.rig.faults.lock().unwrap().late_commands() && rand::rng().random_bool(0.3);
    let held = own.held(now).or_else(|| late.then(|| (now + rand::rng().random_range(1_000..8_000), true)));
    if let Some((until, done)) = held {
        // Also when the sender has given up meanwhile.
        let (later, rig) = (own.clone(), own.rig.clone());
        tokio::spawn(async move {
            rig.until(until).await;
            let reachable = later.held(rig.now()).is_none();
            if done && reachable {
                later.carry_out(&body);
            }
        });
        tokio::time::sleep(Duration::from_secs(10)).await;
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let (status, report) = own.carry_out(&body);
    (status, report.to_string()).into_response()
}

async fn show(State(own): State<Own>) -> Response {
    if own.held(own.rig.now()).is_some() {
        tokio::time::sleep(Duration::from_secs(10)).await;
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let report = own.rig.fleet.lock().unwrap().machines.get_mut(&own.name).map(Machine::report);
    report.unwrap_or_default().to_string().into_response()
}

/// A report to send: to which controller, its text, and whether it gets there.
struct Due {
    target: usize,
    body: Value,
    session: u64,
    sent: Ms,
    arrives: bool,
}

/// A worker's life: it reports until its machine is gone.
pub async fn work(rig: Arc<Rig>, name: String) {
    let client = HttpClient::new("");
    let mut next = 0;
    let mut last = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let due = {
            let now = rig.now();
            let mut fleet = rig.fleet.lock().unwrap();
            let terms = fleet.terms;
            let Some(machine) = fleet.machines.get_mut(&name) else { return };
            if machine.dead {
                return;
            }
            let changed = machine.changed && now >= last + 500;
            if !machine.acts(now) || now < next && !changed {
                continue;
            }
            let mut history = rig.history.lock().unwrap();
            machine.lapse(&mut history, now, terms.lease_ms);
            machine.changed = false;
            let spread = rand::rng().random_range(terms.report_ms * 3 / 4..terms.report_ms * 5 / 4);
            (last, next) = (now, now + spread);
            let target = machine.target % rig.nodes.len();
            let cut = machine.cut_until > now || machine.mute_until > now;
            let arrives = !cut && !rig.faults.lock().unwrap().workers_cut(target);
            Due { target, body: machine.report(), session: machine.session, sent: now, arrives }
        };
        let (moved, wait) = report(&rig, &client, &name, due).await;
        if let Some(target) = moved {
            let mut fleet = rig.fleet.lock().unwrap();
            if let Some(machine) = fleet.machines.get_mut(&name) {
                machine.target = target;
            }
        }
        if wait > 0 {
            next = rig.now() + wait;
        }
    }
}

/// Sends a report and takes its answer: where to report next, if elsewhere, and how soon.
async fn report(rig: &Arc<Rig>, client: &HttpClient, name: &str, due: Due) -> (Option<usize>, Ms) {
    let count = rig.nodes.len();
    let next = Some((due.target + 1) % count);
    let text = due.body.to_string();
    if due.arrives && rig.faults.lock().unwrap().late_reports() && rand::rng().random_bool(0.3) {
        let (rig, client, text) = (rig.clone(), client.clone(), text.clone());
        tokio::spawn(async move {
            let (late, node) = {
                let mut rng = rand::rng();
                (rng.random_range(1_000..10_000), rng.random_range(0..count))
            };
            tokio::time::sleep(Duration::from_millis(late)).await;
            let to = client.with_addr(&rig.nodes[node].api);
            let _ = to.request("POST", "/v1/report", Some(text), Micros::from_millis(ANSWER_MS)).await;
        });
    }
    if !due.arrives {
        tokio::time::sleep(Duration::from_millis(ANSWER_MS)).await;
        return (next, 1_000);
    }
    let to = client.with_addr(&rig.nodes[due.target].api);
    let patience = Micros::from_millis(ANSWER_MS);
    let Ok(reply) = to.request("POST", "/v1/report", Some(text), patience).await else {
        return (next, 1_000);
    };
    let answer: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let now = rig.now();
    let mut fleet = rig.fleet.lock().unwrap();
    let mut history = rig.history.lock().unwrap();
    let lease = fleet.terms.lease_ms;
    let Some(machine) = fleet.machines.get_mut(name) else { return (None, 0) };
    let lost = machine.deaf_until > now || machine.cut_until > now || !machine.acts(now);
    if lost || now - due.sent > ANSWER_MS {
        return (next, 1_000);
    }
    machine.lapse(&mut history, now, lease);
    match reply.status {
        200 => {
            let token = answer["Helm"].as_u64();
            // Dropped; the worker stays.
            if machine.session != due.session || token.is_none_or(|t| t < machine.token) {
                return (None, 0);
            }
            let token = token.unwrap_or_default();
            machine.changed |= token > machine.token;
            (machine.token, machine.renewed) = (token, due.sent);
            fleet.obey_all(&mut history, name, &answer["Orders"], now);
            (None, 0)
        }
        421 => {
            let named =
                answer["Harbour"].as_str().and_then(|to| to.strip_prefix("n-")?.parse::<usize>().ok());
            match named.filter(|to| *to != due.target && *to < count) {
                Some(to) => (Some(to), rand::rng().random_range(1..500)),
                None => (next, 1_000),
            }
        }
        _ => (next, 1_000),
    }
}
