//! A stand-in for the cloud, by its published protocol.

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

/// How long a new machine is missing in the list.
const LAG_MS: u64 = 800;

pub fn router(rig: Arc<Rig>) -> Router {
    Router::new()
        .route("/machine_types", get(types))
        .route("/rentals", get(list).post(rent))
        .route("/rentals/return", post(give_back))
        .with_state(rig)
}

fn reply(status: StatusCode, body: Value) -> Response {
    (status, body.to_string()).into_response()
}

async fn types(State(rig): State<Arc<Rig>>) -> Response {
    let fleet = rig.fleet.lock().unwrap();
    let kind = |k: &fleet::Kind| {
        let price = if k.has.gpu > 0 { 5.0 } else { 1.0 };
        json!({"Name": k.name, "Cpus": k.has.cpu as f64 / 1e3, "Cards": k.has.gpu as f64 / 1e3, "MemoryGb": 512.0,
            "CacheGb": 50.0, "FetchGbPerS": 5.0, "Rate": price, "SpotPrice": price / 2.0, "StartupS": 1.0,
            "Berths": ["east", "west"]})
    };
    reply(StatusCode::OK, json!({"Hulls": fleet.kinds.iter().map(kind).collect::<Vec<_>>()}))
}

async fn rent(State(rig): State<Arc<Rig>>, body: Bytes) -> Response {
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
    let (charter, kind, zone) = (text("Charter"), text("Hull"), text("Berth"));
    let known = rig.fleet.lock().unwrap().charters.get(&charter).cloned();
    if let Some(names) = known {
        return reply(StatusCode::OK, json!({"Hosts": names}));
    }
    let wanted = body["HowMany"].as_u64().unwrap_or(0).min(50) as usize;
    let there = rig.fleet.lock().unwrap().machines.values().filter(|m| !m.dead).count();
    let count = wanted.min(rig.fleet.lock().unwrap().capacity.saturating_sub(there));
    if count == 0 {
        return reply(StatusCode::SERVICE_UNAVAILABLE, json!({"error": "no capacity"}));
    }
    let mut names = Vec::new();
    for _ in 0..count {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else { continue };
        let Ok(addr) = listener.local_addr() else { continue };
        let boots = rand::rng().random_range(200..1_800);
        let spot = body["Standby"].as_bool().unwrap_or(false);
        let now = rig.now();
        let name = rig.fleet.lock().unwrap().add(now, &kind, &zone, spot, addr.to_string(), boots);
        let own = worker::router(rig.clone(), name.clone());
        tokio::spawn(async move { axum::serve(listener, own).await });
        tokio::spawn(worker::work(rig.clone(), name.clone()));
        names.push(name);
    }
    rig.fleet.lock().unwrap().charters.insert(charter, names.clone());
    reply(StatusCode::OK, json!({"Hosts": names}))
}

async fn give_back(State(rig): State<Arc<Rig>>, body: Bytes) -> Response {
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let now = rig.now();
    let mut fleet = rig.fleet.lock().unwrap();
    let mut history = rig.history.lock().unwrap();
    for name in body["Hosts"].as_array().into_iter().flatten().filter_map(Value::as_str) {
        fleet.remove(&mut history, name, now);
    }
    reply(StatusCode::OK, json!({}))
}

async fn list(State(rig): State<Arc<Rig>>, Query(query): Query<BTreeMap<String, String>>) -> Response {
    let after = query.get("After").cloned().unwrap_or_default();
    let most: usize = query.get("Most").and_then(|m| m.parse().ok()).unwrap_or(500).min(500);
    let now = rig.now();
    let fleet = rig.fleet.lock().unwrap();
    let listed = fleet.machines.values().filter(|m| !m.dead && m.name > after && m.rented_at + LAG_MS < now);
    let row = |m: &fleet::Machine| {
        let status = if m.up(now) { "running" } else { "starting" };
        json!({"Uid": m.name, "Addr": m.addr, "Hull": m.kind, "Berth": m.zone, "Standby": m.spot, "Status": status,
            "HeldS": (now - m.rented_at) as f64 / 1e3})
    };
    let mut rows: Vec<Value> = listed.take(most + 1).map(row).collect();
    let more = rows.len() > most;
    rows.truncate(most);
    reply(StatusCode::OK, json!({"Hosts": rows, "More": more}))
}
