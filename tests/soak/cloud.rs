//! Simulated cloud that implements the published protocol.

use std::collections::BTreeMap;
use std::sync::Arc;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use rand::RngExt;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::fleet;
use crate::rig::Rig;
use crate::worker;

/// Time after its rental during which a machine is missing from the list.
const LIST_LAG_MS: u64 = 800;

pub fn router(rig: Arc<Rig>) -> Router {
    Router::new()
        .route("/machine_types", get(list_machine_types))
        .route("/rentals", get(list_rentals).post(rent))
        .route("/rentals/return", post(return_machines))
        .with_state(rig)
}

fn reply(status: StatusCode, body: Value) -> Response {
    (status, body.to_string()).into_response()
}

async fn list_machine_types(State(rig): State<Arc<Rig>>) -> Response {
    let fleet = rig.fleet.lock().unwrap();
    let entry = |k: &fleet::MachineType| {
        let price = if k.capacity.gpu > 0 { 5.0 } else { 1.0 };
        json!({"Name": k.name, "Cpus": k.capacity.cpu as f64 / 1e3, "Cards": k.capacity.gpu as f64 / 1e3, "MemoryGb": 512.0,
            "CacheGb": 50.0, "FetchGbPerS": 5.0, "Rate": price, "SpotPrice": price / 2.0, "StartupS": 1.0,
            "Berths": ["east", "west"]})
    };
    reply(StatusCode::OK, json!({"Hulls": fleet.machine_types.iter().map(entry).collect::<Vec<_>>()}))
}

async fn rent(State(rig): State<Arc<Rig>>, body: Bytes) -> Response {
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
    let (rental, machine_type, zone) = (text("Charter"), text("Hull"), text("Berth"));
    let known_machines = rig.fleet.lock().unwrap().rentals.get(&rental).cloned();
    if let Some(names) = known_machines {
        return reply(StatusCode::OK, json!({"Hosts": names}));
    }
    let wanted = body["HowMany"].as_u64().unwrap_or(0).min(50) as usize;
    let existing = rig.fleet.lock().unwrap().machines.values().filter(|m| !m.dead).count();
    let count = wanted.min(rig.fleet.lock().unwrap().max_machines.saturating_sub(existing));
    if count == 0 {
        return reply(StatusCode::SERVICE_UNAVAILABLE, json!({"error": "no capacity"}));
    }
    let mut names = Vec::new();
    for _ in 0..count {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else { continue };
        let Ok(addr) = listener.local_addr() else { continue };
        let boot_ms = rand::rng().random_range(200..1_800);
        let spot = body["Standby"].as_bool().unwrap_or(false);
        let now = rig.now();
        let name =
            rig.fleet.lock().unwrap().add_machine(now, &machine_type, &zone, spot, addr.to_string(), boot_ms);
        let endpoint = worker::router(rig.clone(), name.clone());
        tokio::spawn(async move { axum::serve(listener, endpoint).await });
        tokio::spawn(worker::run_worker(rig.clone(), name.clone()));
        names.push(name);
    }
    rig.fleet.lock().unwrap().rentals.insert(rental, names.clone());
    reply(StatusCode::OK, json!({"Hosts": names}))
}

async fn return_machines(State(rig): State<Arc<Rig>>, body: Bytes) -> Response {
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let now = rig.now();
    let mut fleet = rig.fleet.lock().unwrap();
    let mut history = rig.history.lock().unwrap();
    for name in body["Hosts"].as_array().into_iter().flatten().filter_map(Value::as_str) {
        fleet.remove_machine(&mut history, name, now);
    }
    reply(StatusCode::OK, json!({}))
}

async fn list_rentals(
    State(rig): State<Arc<Rig>>,
    Query(query): Query<BTreeMap<String, String>>,
) -> Response {
    let after = query.get("After").cloned().unwrap_or_default();
    let limit: usize = query.get("Most").and_then(|m| m.parse().ok()).unwrap_or(500).min(500);
    let now = rig.now();
    let fleet = rig.fleet.lock().unwrap();
    let listed =
        fleet.machines.values().filter(|m| !m.dead && m.name > after && m.rented_at + LIST_LAG_MS < now);
    let row = |m: &fleet::Machine| {
        let status = if m.is_up(now) { "running" } else { "starting" };
        json!({"Uid": m.name, "Addr": m.addr, "Hull": m.machine_type, "Berth": m.zone, "Standby": m.spot, "Status": status,
            "HeldS": (now - m.rented_at) as f64 / 1e3})
    };
    let mut rows: Vec<Value> = listed.take(limit + 1).map(row).collect();
    let more = rows.len() > limit;
    rows.truncate(limit);
    reply(StatusCode::OK, json!({"Hosts": rows, "More": more}))
}
