//! Simulated state service that implements the published protocol.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use rand::RngExt;
use serde_json::{Value, json};

use crate::history::Ms;
use crate::rig::Rig;

/// Number of changes that are retained for watches.
const MAX_LOG_ENTRIES: usize = 10_000;

#[derive(Clone)]
struct Record {
    value: Value,
    written_revision: u64,
    lease: Option<u64>,
}

/// Contents of the state service: keys, leases and the log of changes.
#[derive(Default)]
pub struct Store {
    revision: u64,
    keys: BTreeMap<String, Record>,
    /// Expiry time and term of each lease.
    leases: BTreeMap<u64, (Ms, Ms)>,
    next_lease: u64,
    log: Vec<(u64, String, Option<Value>)>,
}

impl Store {
    /// Value of a key.
    pub fn value(&self, key: &str) -> Option<&Value> {
        self.keys.get(key).map(|r| &r.value)
    }

    /// Number of writes to a key since the start of the run.
    pub fn write_count(&self, key: &str) -> usize {
        self.log.iter().filter(|(_, k, value)| k == key && value.is_some()).count()
    }

    fn expire(&mut self, now: Ms) {
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end < now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached: Vec<String> =
            self.keys.iter().filter(|(_, r)| r.lease == Some(lease)).map(|(k, _)| k.clone()).collect();
        if attached.is_empty() {
            return;
        }
        self.revision += 1;
        for key in attached {
            self.keys.remove(&key);
            self.log.push((self.revision, key, None));
        }
    }

    /// Extends all leases to their full term after an outage.
    pub fn extend_leases(&mut self, now: Ms) {
        self.leases.values_mut().for_each(|(end, term)| *end = now + *term);
    }

    fn commit(&mut self, body: &Value) -> (StatusCode, Value) {
        let written_revision = |key: &str| self.keys.get(key).map_or(0, |r| r.written_revision);
        let writes = body["Writes"].as_array().cloned().unwrap_or_default();
        for write in &writes {
            if let Some(lease) = write["Permit"].as_u64()
                && !self.leases.contains_key(&lease)
            {
                return (StatusCode::BAD_REQUEST, json!({"error": "no such lease"}));
            }
        }
        let conditions = body["If"].as_array().cloned().unwrap_or_default();
        let failed: Vec<String> = conditions
            .iter()
            .filter(|c| {
                written_revision(c["Path"].as_str().unwrap_or_default())
                    != c["Stamp"].as_u64().unwrap_or_default()
            })
            .map(|c| c["Path"].as_str().unwrap_or_default().to_owned())
            .collect();
        if !failed.is_empty() {
            return (StatusCode::CONFLICT, json!({"failed": failed, "Epoch": self.revision}));
        }
        if !writes.is_empty() {
            self.revision += 1;
        }
        for write in writes {
            if let Some(key) = write["Write"].as_str() {
                let record = Record {
                    value: write["Value"].clone(),
                    written_revision: self.revision,
                    lease: write["Permit"].as_u64(),
                };
                self.log.push((self.revision, key.to_owned(), Some(record.value.clone())));
                self.keys.insert(key.to_owned(), record);
            } else if let Some(key) = write["Remove"].as_str()
                && self.keys.remove(key).is_some()
            {
                self.log.push((self.revision, key.to_owned(), None));
            }
        }
        (StatusCode::OK, json!({"Epoch": self.revision}))
    }

    /// The changes after a revision; `None` if some of them are no longer retained.
    fn changes_after(&self, prefix: &str, after: u64) -> Option<Vec<Value>> {
        let dropped = self.log.len().saturating_sub(MAX_LOG_ENTRIES);
        if dropped > 0 && self.log[dropped - 1].0 > after {
            return None;
        }
        let since = self.log.partition_point(|(revision, ..)| *revision <= after);
        let changes = self.log[since..].iter().filter(|(_, key, _)| key.starts_with(prefix));
        let change = |(revision, key, value): &(u64, String, Option<Value>)| match value {
            Some(value) => json!({"Write": key, "Value": value, "Stamp": revision}),
            None => json!({"Remove": key, "Stamp": revision}),
        };
        Some(changes.map(change).collect())
    }
}

/// The state service as seen by one controller, with the faults of that connection.
#[derive(Clone)]
struct ControllerConnection {
    rig: Arc<Rig>,
    node: usize,
}

fn reply(status: StatusCode, body: Value) -> Response {
    (status, body.to_string()).into_response()
}

impl ControllerConnection {
    /// The error response, if the service rejects the controller's calls now.
    fn refusal(&self) -> Option<Response> {
        let is_refused = self.rig.faults.lock().unwrap().store_refuses(self.node);
        is_refused.then(|| reply(StatusCode::SERVICE_UNAVAILABLE, json!({"error": "trouble"})))
    }

    /// Decides at random whether this call gets no answer, if that fault is active.
    fn drops_call(&self) -> bool {
        let faulty = self.rig.faults.lock().unwrap().store_drops_calls(self.node);
        faulty && rand::rng().random_bool(0.35)
    }

    async fn withhold_answer(&self) -> Response {
        tokio::time::sleep(Duration::from_secs(8)).await;
        reply(StatusCode::SERVICE_UNAVAILABLE, json!({}))
    }

    fn with_store<T>(&self, f: impl FnOnce(&mut Store) -> T) -> T {
        let now = self.rig.now();
        let mut store = self.rig.store.lock().unwrap();
        let before = store.revision;
        store.expire(now);
        let result = f(&mut store);
        if store.revision != before {
            self.rig.store_changed.notify_waiters();
        }
        result
    }
}

/// Routes of the state service for one controller.
pub fn router(rig: Arc<Rig>, node: usize) -> Router {
    Router::new()
        .route("/keys", get(list))
        .route("/keys/{*key}", get(read))
        .route("/commit", post(commit))
        .route("/leases", post(create_lease))
        .route("/leases/{id}/renew", post(renew_lease))
        .route("/leases/{id}", axum::routing::delete(release_lease))
        .route("/follow", get(follow))
        .with_state(ControllerConnection { rig, node })
}

async fn read(State(connection): State<ControllerConnection>, Path(key): Path<String>) -> Response {
    if let Some(refusal) = connection.refusal() {
        return refusal;
    }
    if connection.drops_call() {
        return connection.withhold_answer().await;
    }
    connection.with_store(|store| match store.keys.get(&key) {
        Some(r) => reply(
            StatusCode::OK,
            json!({"Path": key, "Value": r.value, "Stamp": r.written_revision, "Permit": r.lease}),
        ),
        None => reply(StatusCode::NOT_FOUND, json!({"Epoch": store.revision})),
    })
}

async fn list(
    State(connection): State<ControllerConnection>,
    Query(query): Query<BTreeMap<String, String>>,
) -> Response {
    if let Some(refusal) = connection.refusal() {
        return refusal;
    }
    if connection.drops_call() {
        return connection.withhold_answer().await;
    }
    let text = |name: &str| query.get(name).cloned().unwrap_or_default();
    let (prefix, after) = (text("Starts"), text("After"));
    let limit: usize = text("Most").parse().unwrap_or(200).min(1_000);
    connection.with_store(|store| {
        let matching = store.keys.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
        let entry =
            |(k, r): (&String, &Record)| json!({"Path": k, "Value": r.value, "Stamp": r.written_revision});
        let mut entries: Vec<Value> = matching.take(limit + 1).map(entry).collect();
        let more = entries.len() > limit;
        entries.truncate(limit);
        reply(StatusCode::OK, json!({"Entries": entries, "More": more, "Epoch": store.revision}))
    })
}

async fn commit(State(connection): State<ControllerConnection>, body: Bytes) -> Response {
    if let Some(refusal) = connection.refusal() {
        return refusal;
    }
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return reply(StatusCode::BAD_REQUEST, json!({"error": "malformed"}));
    };
    if connection.drops_call() {
        // The transaction is applied never, at once or late; its answer is lost in each case.
        let outcome = rand::rng().random_range(0..3);
        if outcome == 1 {
            connection.with_store(|store| store.commit(&body));
        } else if outcome == 2 {
            let (connection, delay_ms) = (connection.clone(), rand::rng().random_range(1_000..6_000));
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                connection.with_store(|store| store.commit(&body));
            });
        }
        return connection.withhold_answer().await;
    }
    let (status, answer) = connection.with_store(|store| store.commit(&body));
    reply(status, answer)
}

async fn create_lease(State(connection): State<ControllerConnection>, body: Bytes) -> Response {
    if let Some(refusal) = connection.refusal() {
        return refusal;
    }
    let term =
        serde_json::from_slice::<Value>(&body).ok().and_then(|b| b["LifeMs"].as_u64()).unwrap_or(5_000);
    let now = connection.rig.now();
    let id = connection.with_store(|store| {
        store.next_lease += 1;
        store.leases.insert(store.next_lease, (now + term, term));
        store.next_lease
    });
    reply(StatusCode::OK, json!({"Permit": id}))
}

async fn renew_lease(State(connection): State<ControllerConnection>, Path(id): Path<u64>) -> Response {
    if let Some(refusal) = connection.refusal() {
        return refusal;
    }
    if connection.drops_call() {
        return connection.withhold_answer().await;
    }
    let now = connection.rig.now();
    connection.with_store(|store| match store.leases.get_mut(&id) {
        Some((end, term)) => {
            *end = now + *term;
            reply(StatusCode::OK, json!({}))
        }
        None => reply(StatusCode::NOT_FOUND, json!({})),
    })
}

async fn release_lease(State(connection): State<ControllerConnection>, Path(id): Path<u64>) -> Response {
    if let Some(refusal) = connection.refusal() {
        return refusal;
    }
    connection.with_store(|store| {
        if !store.leases.contains_key(&id) {
            return reply(StatusCode::NOT_FOUND, json!({}));
        }
        store.end_lease(id);
        reply(StatusCode::OK, json!({}))
    })
}

async fn follow(
    State(connection): State<ControllerConnection>,
    Query(query): Query<BTreeMap<String, String>>,
) -> Response {
    if let Some(refusal) = connection.refusal() {
        return refusal;
    }
    let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let (after, hold_ms) = (number("After"), number("HoldMs").min(60_000));
    let prefix = query.get("Starts").cloned().unwrap_or_default();
    let end = tokio::time::Instant::now() + Duration::from_millis(hold_ms);
    loop {
        let changed = connection.rig.store_changed.notified();
        // An open watch is held while the service rejects this controller's calls.
        let is_refusing = connection.rig.faults.lock().unwrap().store_refuses(connection.node);
        let result = connection.with_store(|store| (store.revision, store.changes_after(&prefix, after)));
        let (revision, Some(changes)) = result else {
            return reply(StatusCode::GONE, json!({"error": "too old"}));
        };
        let hold_expired = tokio::time::Instant::now() >= end;
        if !is_refusing && (!changes.is_empty() || hold_expired) {
            return reply(StatusCode::OK, json!({"Epoch": revision, "News": changes}));
        }
        let pause = if is_refusing { Duration::from_millis(100) } else { end - tokio::time::Instant::now() };
        let _ = tokio::time::timeout(pause.min(Duration::from_millis(500)), changed).await;
    }
}
