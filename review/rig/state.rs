//! Stand-in of the state service: keys, leases, transactions and watches, as PROTOCOL has them.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{Json, map, text};

struct Record {
    value: Json,
    stamp: u64,
    lease: Option<u64>,
}

#[derive(Default)]
struct Store {
    epoch: u64,
    keys: BTreeMap<String, Record>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
    log: Vec<(u64, String, Option<Json>)>,
}

impl Store {
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end < now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, r)| r.lease == Some(lease)).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.epoch += 1;
        }
        for key in keys {
            self.keys.remove(&key);
            self.log.push((self.epoch, key, None));
        }
    }

    fn commit(&mut self, body: &Json) -> (u16, Json) {
        let writes = body.get("Writes").list();
        let leases = writes.iter().filter_map(|w| w.get("Permit").int());
        if leases.into_iter().any(|lease| !self.leases.contains_key(&lease)) {
            return (400, map(&[("error", text("no such lease"))]));
        }
        let stamp = |key: &str| self.keys.get(key).map_or(0, |r| r.stamp);
        let failed: Vec<Json> = body
            .get("If")
            .list()
            .iter()
            .filter(|c| stamp(c.get("Path").str()) != c.get("Stamp").int().unwrap_or(0))
            .map(|c| c.get("Path").clone())
            .collect();
        if !failed.is_empty() {
            return (409, map(&[("failed", Json::List(failed)), ("Epoch", Json::Int(self.epoch))]));
        }
        if !writes.is_empty() {
            self.epoch += 1;
        }
        for write in writes {
            let (put, removed) = (write.get("Write").str(), write.get("Remove").str());
            if !put.is_empty() {
                let value = write.get("Value").clone();
                self.log.push((self.epoch, put.to_owned(), Some(value.clone())));
                let record = Record { value, stamp: self.epoch, lease: write.get("Permit").int() };
                self.keys.insert(put.to_owned(), record);
            } else if self.keys.remove(removed).is_some() {
                self.log.push((self.epoch, removed.to_owned(), None));
            }
        }
        (200, map(&[("Epoch", Json::Int(self.epoch))]))
    }

    fn news(&self, prefix: &str, after: u64) -> Vec<Json> {
        let from = self.log.partition_point(|(epoch, ..)| *epoch <= after);
        let changes = self.log[from..].iter().filter(|(_, key, _)| key.starts_with(prefix));
        let change = |(epoch, key, value): &(u64, String, Option<Json>)| match value {
            Some(v) => map(&[("Write", text(key)), ("Value", v.clone()), ("Stamp", Json::Int(*epoch))]),
            None => map(&[("Remove", text(key)), ("Stamp", Json::Int(*epoch))]),
        };
        changes.map(change).collect()
    }
}

pub struct StateService {
    store: Mutex<Store>,
    changed: Condvar,
}

impl StateService {
    pub fn new() -> Arc<StateService> {
        Arc::new(StateService { store: Mutex::default(), changed: Condvar::new() })
    }

    /// Starts to serve one controller, and returns the address for it.
    pub fn serve(self: &Arc<Self>) -> String {
        let (listener, addr) = http::listen();
        let service = self.clone();
        http::serve(listener, move |request| service.handle(&request));
        addr
    }

    fn handle(&self, request: &Request) -> Reply {
        let parts: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        if (request.method.as_str(), parts[0]) == ("GET", "follow") {
            return self.follow(request);
        }
        let mut store = self.store.lock().unwrap();
        store.expire();
        let before = store.epoch;
        let reply = match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["keys"]) => Self::page(&store, request),
            ("GET", ["keys", ..]) => {
                let key = &request.path["/keys/".len()..];
                match store.keys.get(key) {
                    Some(r) => {
                        let lease = r.lease.map_or(Json::Null, Json::Int);
                        let (path, value, stamp) = (text(key), r.value.clone(), Json::Int(r.stamp));
                        (200, map(&[("Path", path), ("Value", value), ("Stamp", stamp), ("Permit", lease)]))
                    }
                    None => (404, map(&[("Epoch", Json::Int(store.epoch))])),
                }
            }
            ("POST", ["commit"]) => match Json::parse(&request.body) {
                Some(body) => store.commit(&body),
                None => (400, map(&[])),
            },
            ("POST", ["leases"]) => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let term = Duration::from_millis(body.get("LifeMs").int().unwrap_or(5_000));
                store.last_lease += 1;
                let id = store.last_lease;
                store.leases.insert(id, (Instant::now() + term, term));
                (200, map(&[("Permit", Json::Int(id))]))
            }
            ("POST", ["leases", id, "renew"]) => {
                match id.parse().ok().and_then(|id: u64| store.leases.get_mut(&id)) {
                    Some((end, term)) => {
                        *end = Instant::now() + *term;
                        (200, map(&[]))
                    }
                    None => (404, map(&[])),
                }
            }
            ("DELETE", ["leases", id]) => {
                let id = id.parse().unwrap_or(0);
                let known = store.leases.contains_key(&id);
                store.end_lease(id);
                (if known { 200 } else { 404 }, map(&[]))
            }
            _ => (400, map(&[])),
        };
        if store.epoch != before {
            self.changed.notify_all();
        }
        Some((reply.0, reply.1.write()))
    }

    /// A page of at most 1,000 entries and 512 KiB.
    fn page(store: &Store, request: &Request) -> (u16, Json) {
        let (prefix, after) = (request.param("Starts"), request.param("After"));
        let most = request.param("Most").parse().unwrap_or(200).min(1_000);
        let (mut entries, mut more, mut bytes) = (Vec::new(), false, 0);
        for (key, r) in store.keys.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after) {
            let entry =
                map(&[("Path", text(key)), ("Value", r.value.clone()), ("Stamp", Json::Int(r.stamp))]);
            bytes += entry.write().len() + 1;
            if entries.len() == most || bytes > 500 << 10 {
                more = true;
                break;
            }
            entries.push(entry);
        }
        let epoch = Json::Int(store.epoch);
        (200, map(&[("Entries", Json::List(entries)), ("More", Json::Bool(more)), ("Epoch", epoch)]))
    }

    fn follow(&self, request: &Request) -> Reply {
        let number = |name: &str| request.param(name).parse::<u64>().unwrap_or(0);
        let (prefix, after) = (request.param("Starts"), number("After"));
        let end = Instant::now() + Duration::from_millis(number("HoldMs").min(60_000));
        let mut store = self.store.lock().unwrap();
        loop {
            let before = store.epoch;
            store.expire();
            if store.epoch != before {
                self.changed.notify_all();
            }
            let news = store.news(&prefix, after);
            let now = Instant::now();
            if !news.is_empty() || now >= end {
                let body = map(&[("Epoch", Json::Int(store.epoch)), ("News", Json::List(news))]);
                return Some((200, body.write()));
            }
            let wait = (end - now).min(Duration::from_millis(50));
            store = self.changed.wait_timeout(store, wait).unwrap().0;
        }
    }
}
