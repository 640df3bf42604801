//! A stand-in for the state service, by its published protocol.

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

/// Changes that are kept for those who follow.
const KEPT: usize = 10_000;

#[derive(Clone)]
struct Record {
    value: Value,
    stamp: u64,
    lease: Option<u64>,
}

/// Keys, leases and the log of changes.
#[derive(Default)]
pub struct Store {
    epoch: u64,
    keys: BTreeMap<String, Record>,
    /// When each lease ends, and its length.
    leases: BTreeMap<u64, (Ms, Ms)>,
    next_lease: u64,
    log: Vec<(u64, String, Option<Value>)>,
}

impl Store {
    /// What a key holds.
    pub fn value(&self, key: &str) -> Option<&Value> {
        self.keys.get(key).map(|r| &r.value)
    }

    /// How often a key was written since the beginning.
    pub fn written(&self, key: &str) -> usize {
        self.log.iter().filter(|(_, k, value)| k == key && value.is_some()).count()
    }

    fn expire(&mut self, now: Ms) {
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end < now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end(id));
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached: Vec<String> =
            self.keys.iter().filter(|(_, r)| r.lease == Some(lease)).map(|(k, _)| k.clone()).collect();
        if attached.is_empty() {
            return;
        }
        self.epoch += 1;
        for key in attached {
            self.keys.remove(&key);
            self.log.push((self.epoch, key, None));
        }
    }

    /// After an outage all leases regain their full time.
    pub fn regain(&mut self, now: Ms) {
        self.leases.values_mut().for_each(|(end, life)| *end = now + *life);
    }

    fn commit(&mut self, body: &Value) -> (StatusCode, Value) {
        let stamp = |key: &str| self.keys.get(key).map_or(0, |r| r.stamp);
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
                stamp(c["Path"].as_str().unwrap_or_default()) != c["Stamp"].as_u64().unwrap_or_default()
            })
            .map(|c| c["Path"].as_str().unwrap_or_default().to_owned())
            .collect();
        if !failed.is_empty() {
            return (StatusCode::CONFLICT, json!({"failed": failed, "Epoch": self.epoch}));
        }
        if !writes.is_empty() {
            self.epoch += 1;
        }
        for write in writes {
            if let Some(key) = write["Write"].as_str() {
                let record = Record {
                    value: write["Value"].clone(),
                    stamp: self.epoch,
                    lease: write["Permit"].as_u64(),
                };
                self.log.push((self.epoch, key.to_owned(), Some(record.value.clone())));
                self.keys.insert(key.to_owned(), record);
            } else if let Some(key) = write["Remove"].as_str()
                && self.keys.remove(key).is_some()
            {
                self.log.push((self.epoch, key.to_owned(), None));
            }
        }
        (StatusCode::OK, json!({"Epoch": self.epoch}))
    }

    /// The changes after a revision; none if they are no longer all kept.
    fn news(&self, prefix: &str, after: u64) -> Option<Vec<Value>> {
        let kept = self.log.len().saturating_sub(KEPT);
        if kept > 0 && self.log[kept - 1].0 > after {
            return None;
        }
        let since = self.log.partition_point(|(epoch, ..)| *epoch <= after);
        let news = self.log[since..].iter().filter(|(_, key, _)| key.starts_with(prefix));
        let change = |(epoch, key, value): &(u64, String, Option<Value>)| match value {
            Some(value) => json!({"Write": key, "Value": value, "Stamp": epoch}),
            None => json!({"Remove": key, "Stamp": epoch}),
        };
        Some(news.map(change).collect())
    }
}

/// One controller's side of the state service.
#[derive(Clone)]
struct Side {
    rig: Arc<Rig>,
    node: usize,
}

fn reply(status: StatusCode, body: Value) -> Response {
    (status, body.to_string()).into_response()
}

impl Side {
    /// What a call meets on its way: a refusal, or nothing.
    fn refused(&self) -> Option<Response> {
        let refused = self.rig.faults.lock().unwrap().store_refuses(self.node);
        refused.then(|| reply(StatusCode::SERVICE_UNAVAILABLE, json!({"error": "trouble"})))
    }

    /// Whether this call is one of those that get no answer.
    fn loses(&self) -> bool {
        let loses = self.rig.faults.lock().unwrap().store_loses(self.node);
        loses && rand::rng().random_bool(0.35)
    }

    async fn no_answer(&self) -> Response {
        tokio::time::sleep(Duration::from_secs(8)).await;
        reply(StatusCode::SERVICE_UNAVAILABLE, json!({}))
    }

    fn with<T>(&self, f: impl FnOnce(&mut Store) -> T) -> T {
        let now = self.rig.now();
        let mut store = self.rig.store.lock().unwrap();
        let before = store.epoch;
        store.expire(now);
        let result = f(&mut store);
        if store.epoch != before {
            self.rig.changed.notify_waiters();
        }
        result
    }
}

/// The state service as one controller reaches it.
pub fn router(rig: Arc<Rig>, node: usize) -> Router {
    Router::new()
        .route("/keys", get(list))
        .route("/keys/{*key}", get(read))
        .route("/commit", post(commit))
        .route("/leases", post(lease))
        .route("/leases/{id}/renew", post(renew))
        .route("/leases/{id}", axum::routing::delete(release))
        .route("/follow", get(follow))
        .with_state(Side { rig, node })
}

async fn read(State(side): State<Side>, Path(key): Path<String>) -> Response {
    if let Some(refusal) = side.refused() {
        return refusal;
    }
    if side.loses() {
        return side.no_answer().await;
    }
    side.with(|store| match store.keys.get(&key) {
        Some(r) => {
            reply(StatusCode::OK, json!({"Path": key, "Value": r.value, "Stamp": r.stamp, "Permit": r.lease}))
        }
        None => reply(StatusCode::NOT_FOUND, json!({"Epoch": store.epoch})),
    })
}

async fn list(State(side): State<Side>, Query(query): Query<BTreeMap<String, String>>) -> Response {
    if let Some(refusal) = side.refused() {
        return refusal;
    }
    if side.loses() {
        return side.no_answer().await;
    }
    let text = |name: &str| query.get(name).cloned().unwrap_or_default();
    let (prefix, after) = (text("Starts"), text("After"));
    let most: usize = text("Most").parse().unwrap_or(200).min(1_000);
    side.with(|store| {
        let matching = store.keys.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
        let entry = |(k, r): (&String, &Record)| json!({"Path": k, "Value": r.value, "Stamp": r.stamp});
        let mut entries: Vec<Value> = matching.take(most + 1).map(entry).collect();
        let more = entries.len() > most;
        entries.truncate(most);
        reply(StatusCode::OK, json!({"Entries": entries, "More": more, "Epoch": store.epoch}))
    })
}

async fn commit(State(side): State<Side>, body: Bytes) -> Response {
    if let Some(refusal) = side.refused() {
        return refusal;
    }
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return reply(StatusCode::BAD_REQUEST, json!({"error": "malformed"}));
    };
    if side.loses() {
        // Never, at once with the answer lost, or late.
        let fate = rand::rng().random_range(0..3);
        if fate == 1 {
            side.with(|store| store.commit(&body));
        } else if fate == 2 {
            let (side, late) = (side.clone(), rand::rng().random_range(1_000..6_000));
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(late)).await;
                side.with(|store| store.commit(&body));
            });
        }
        return side.no_answer().await;
    }
    let (status, answer) = side.with(|store| store.commit(&body));
    reply(status, answer)
}

async fn lease(State(side): State<Side>, body: Bytes) -> Response {
    if let Some(refusal) = side.refused() {
        return refusal;
    }
    let life =
        serde_json::from_slice::<Value>(&body).ok().and_then(|b| b["LifeMs"].as_u64()).unwrap_or(5_000);
    let now = side.rig.now();
    let id = side.with(|store| {
        store.next_lease += 1;
        store.leases.insert(store.next_lease, (now + life, life));
        store.next_lease
    });
    reply(StatusCode::OK, json!({"Permit": id}))
}

async fn renew(State(side): State<Side>, Path(id): Path<u64>) -> Response {
    if let Some(refusal) = side.refused() {
        return refusal;
    }
    if side.loses() {
        return side.no_answer().await;
    }
    let now = side.rig.now();
    side.with(|store| match store.leases.get_mut(&id) {
        Some((end, life)) => {
            *end = now + *life;
            reply(StatusCode::OK, json!({}))
        }
        None => reply(StatusCode::NOT_FOUND, json!({})),
    })
}

async fn release(State(side): State<Side>, Path(id): Path<u64>) -> Response {
    if let Some(refusal) = side.refused() {
        return refusal;
    }
    side.with(|store| {
        if !store.leases.contains_key(&id) {
            return reply(StatusCode::NOT_FOUND, json!({}));
        }
        store.end(id);
        reply(StatusCode::OK, json!({}))
    })
}

async fn follow(State(side): State<Side>, Query(query): Query<BTreeMap<String, String>>) -> Response {
    if let Some(refusal) = side.refused() {
        return refusal;
    }
    let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let (after, hold) = (number("After"), number("HoldMs").min(60_000));
    let prefix = query.get("Starts").cloned().unwrap_or_default();
    let end = tokio::time::Instant::now() + Duration::from_millis(hold);
    loop {
        let changed = side.rig.changed.notified();
        // An open watch waits as long as the service does not serve this controller.
        let waits = side.rig.faults.lock().unwrap().store_refuses(side.node);
        let news = side.with(|store| (store.epoch, store.news(&prefix, after)));
        let (epoch, Some(changes)) = news else {
            return reply(StatusCode::GONE, json!({"error": "too old"}));
        };
        let late = tokio::time::Instant::now() >= end;
        if !waits && (!changes.is_empty() || late) {
            return reply(StatusCode::OK, json!({"Epoch": epoch, "News": changes}));
        }
        let pause = if waits { Duration::from_millis(100) } else { end - tokio::time::Instant::now() };
        let _ = tokio::time::timeout(pause.min(Duration::from_millis(500)), changed).await;
    }
}
