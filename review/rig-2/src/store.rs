//! Stand-in of the state service: keys, leases, transactions, watches and the limits of the pages.

use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Reply};

struct Record {
    value: Value,
    stamp: u64,
    lease: Option<u64>,
}

/// What the service does with the calls of one controller.
#[derive(Clone, Default)]
pub struct Treatment {
    /// 503 to everything; open watches wait.
    pub refuses: bool,
    /// Time before a call is carried out.
    pub delay: Duration,
    /// Calls whose body or path contains this text are carried out, and their answers are lost.
    pub loses_answer: Option<String>,
    /// Transactions that contain the text are not answered, and carried out after the given time.
    pub late: Option<(String, Duration)>,
}

#[derive(Default)]
struct Contents {
    epoch: u64,
    keys: BTreeMap<String, Record>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    log: VecDeque<(u64, Value)>,
    treatment: Vec<Treatment>,
    calls: (f64, Option<Instant>),
    writes: (f64, Option<Instant>),
    pub refused_over_limit: u64,
}

pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

pub struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
    limits: Limits,
}

fn take(bucket: &mut (f64, Option<Instant>), rate: f64, cost: f64) -> bool {
    let now = Instant::now();
    let since = bucket.1.map_or(1.0, |at| (now - at).as_secs_f64());
    bucket.0 = (bucket.0 + since * rate).min(rate);
    bucket.1 = Some(now);
    if bucket.0 < cost {
        return false;
    }
    bucket.0 -= cost;
    true
}

impl Store {
    pub fn new(controllers: usize, limits: Limits) -> Arc<Store> {
        let contents = Contents { treatment: vec![Treatment::default(); controllers], ..Contents::default() };
        Arc::new(Store { contents: Mutex::new(contents), changed: Condvar::new(), limits })
    }

    /// Changes how a controller's calls are treated.
    pub fn treat(&self, node: usize, change: impl FnOnce(&mut Treatment)) {
        change(&mut self.contents.lock().unwrap().treatment[node]);
        self.changed.notify_all();
    }

    /// After an outage all leases regain their full time.
    pub fn end_outage(&self) {
        let mut c = self.contents.lock().unwrap();
        c.treatment.iter_mut().for_each(|t| t.refuses = false);
        let now = Instant::now();
        c.leases.values_mut().for_each(|(end, term)| *end = now + *term);
        self.changed.notify_all();
    }

    pub fn value(&self, key: &str) -> Option<Value> {
        self.contents.lock().unwrap().keys.get(key).map(|r| r.value.clone())
    }

    pub fn over_limit(&self) -> u64 {
        self.contents.lock().unwrap().refused_over_limit
    }

    /// The controller that the service's record names as leader.
    pub fn leader(&self) -> Option<String> {
        self.value("c/leader")?["member"].as_str().map(str::to_owned)
    }

    /// Serves a controller on an address of its own.
    pub fn serve(self: &Arc<Store>, listener: TcpListener, node: usize) {
        let store = self.clone();
        http::serve(listener, move |method, path, body| store.handle(node, method, path, body));
    }

    fn expire(c: &mut Contents) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> = c.leases.iter().filter(|(_, (end, _))| *end < now).map(|(id, _)| *id).collect();
        // During an outage of all no lease ends.
        if c.treatment.iter().all(|t| t.refuses) {
            return false;
        }
        let any = !ended.is_empty();
        ended.into_iter().for_each(|id| Self::end_lease(c, id));
        any
    }

    fn end_lease(c: &mut Contents, lease: u64) {
        c.leases.remove(&lease);
        let attached: Vec<String> =
            c.keys.iter().filter(|(_, r)| r.lease == Some(lease)).map(|(k, _)| k.clone()).collect();
        if attached.is_empty() {
            return;
        }
        c.epoch += 1;
        for key in attached {
            c.keys.remove(&key);
            let epoch = c.epoch;
            c.log.push_back((epoch, json!({"Remove": key, "Stamp": epoch})));
        }
    }

    fn commit(&self, c: &mut Contents, body: &Value) -> (u16, Value) {
        let empty = Vec::new();
        let writes = body["Writes"].as_array().unwrap_or(&empty);
        let conditions = body["If"].as_array().unwrap_or(&empty);
        let too_long = |w: &Value| {
            !w["Value"].is_null() && w["Value"].to_string().len() as f64 > self.limits.value_kb * 1024.0
        };
        if writes.len() > self.limits.txn_ops
            || conditions.len() > self.limits.txn_ops * 4
            || body.to_string().len() > 64 * 1024
            || writes.iter().any(too_long)
        {
            return (400, json!({"error": "over a limit"}));
        }
        for write in writes {
            if let Some(lease) = write["Permit"].as_u64()
                && !c.leases.contains_key(&lease)
            {
                return (400, json!({"error": "no such lease"}));
            }
        }
        let failed: Vec<&str> = conditions
            .iter()
            .filter(|x| {
                let stamp = c.keys.get(x["Path"].as_str().unwrap_or("")).map_or(0, |r| r.stamp);
                Some(stamp) != x["Stamp"].as_u64()
            })
            .filter_map(|x| x["Path"].as_str())
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "Epoch": c.epoch}));
        }
        if !writes.is_empty() {
            c.epoch += 1;
        }
        let epoch = c.epoch;
        for write in writes {
            if let Some(key) = write["Write"].as_str() {
                let value = write["Value"].clone();
                c.log.push_back((epoch, json!({"Write": key, "Value": value, "Stamp": epoch})));
                c.keys
                    .insert(key.to_owned(), Record { value, stamp: epoch, lease: write["Permit"].as_u64() });
            } else if let Some(key) = write["Remove"].as_str()
                && c.keys.remove(key).is_some()
            {
                c.log.push_back((epoch, json!({"Remove": key, "Stamp": epoch})));
            }
        }
        while c.log.len() > 10_000 {
            c.log.pop_front();
        }
        (200, json!({"Epoch": epoch}))
    }

    fn handle(self: &Arc<Store>, node: usize, method: &str, path: &str, body: &str) -> Reply {
        let trouble = || Reply::Answer(503, json!({"error": "trouble"}).to_string());
        let treatment = self.contents.lock().unwrap().treatment[node].clone();
        if treatment.refuses {
            return trouble();
        }
        if !treatment.delay.is_zero() {
            thread::sleep(treatment.delay);
            if self.contents.lock().unwrap().treatment[node].refuses {
                return trouble();
            }
        }
        let parsed: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let mut c = self.contents.lock().unwrap();
        if Self::expire(&mut c) {
            self.changed.notify_all();
        }
        let writes = parsed["Writes"].as_array().map_or(0, Vec::len) as f64;
        let (rps, write_rps) = (self.limits.rps, self.limits.write_rps);
        if !take(&mut c.calls, rps, 1.0) || writes > 0.0 && !take(&mut c.writes, write_rps, writes) {
            c.refused_over_limit += 1;
            return Reply::Answer(429, json!({"error": "too many"}).to_string());
        }
        if let Some((text, delay)) = &treatment.late
            && path == "/commit"
            && body.contains(text.as_str())
        {
            let (store, delay) = (self.clone(), *delay);
            thread::spawn(move || {
                thread::sleep(delay);
                let mut c = store.contents.lock().unwrap();
                Self::expire(&mut c);
                let _ = store.commit(&mut c, &parsed);
                store.changed.notify_all();
            });
            return Reply::Silence(Duration::from_secs(5));
        }
        let (route, _) = path.split_once('?').unwrap_or((path, ""));
        let number = |text: Option<String>| text.and_then(|t| t.parse::<u64>().ok());
        let (status, answer) = match (method, route) {
            ("POST", "/commit") => {
                if parsed.is_null() {
                    (400, json!({"error": "malformed"}))
                } else {
                    let result = self.commit(&mut c, &parsed);
                    self.changed.notify_all();
                    result
                }
            }
            ("GET", "/keys") => {
                let prefix = http::parameter(path, "Starts").unwrap_or_default();
                let after = http::parameter(path, "After").unwrap_or_default();
                let most = number(http::parameter(path, "Most")).unwrap_or(200).min(1_000) as usize;
                let (mut entries, mut bytes, mut more) = (Vec::new(), 0, false);
                for (key, r) in c.keys.range(prefix.clone()..).take_while(|(k, _)| k.starts_with(&prefix)) {
                    if *key <= after {
                        continue;
                    }
                    let entry = json!({"Path": key, "Value": r.value, "Stamp": r.stamp});
                    bytes += entry.to_string().len() + 1;
                    if entries.len() == most || bytes > 511 * 1024 {
                        more = true;
                        break;
                    }
                    entries.push(entry);
                }
                (200, json!({"Entries": entries, "More": more, "Epoch": c.epoch}))
            }
            ("GET", "/follow") => {
                let prefix = http::parameter(path, "Starts").unwrap_or_default();
                let after = number(http::parameter(path, "After")).unwrap_or(0);
                let hold = number(http::parameter(path, "HoldMs")).unwrap_or(0).min(60_000);
                let end = Instant::now() + Duration::from_millis(hold);
                loop {
                    if Self::expire(&mut c) {
                        self.changed.notify_all();
                    }
                    let waits = c.treatment[node].refuses;
                    if !waits {
                        if c.log.front().is_some_and(|(e, _)| *e > after + 1) && c.log.len() >= 10_000 {
                            break (410, json!({"error": "too old"}));
                        }
                        let starts = |v: &Value| {
                            let key = v["Write"].as_str().or(v["Remove"].as_str()).unwrap_or("");
                            key.starts_with(&prefix)
                        };
                        let from = c.log.partition_point(|(e, _)| *e <= after);
                        let news: Vec<Value> =
                            c.log.range(from..).filter(|(_, v)| starts(v)).map(|(_, v)| v.clone()).collect();
                        if !news.is_empty() || Instant::now() >= end {
                            break (200, json!({"Epoch": c.epoch, "News": news}));
                        }
                    }
                    c = self.changed.wait_timeout(c, Duration::from_millis(50)).unwrap().0;
                }
            }
            ("POST", "/leases") => {
                let life =
                    Duration::from_millis(parsed["LifeMs"].as_u64().unwrap_or(100).clamp(100, 600_000));
                c.next_lease += 1;
                let id = c.next_lease;
                c.leases.insert(id, (Instant::now() + life, life));
                (200, json!({"Permit": id}))
            }
            (_, route) if route.starts_with("/leases/") => {
                let rest = &route["/leases/".len()..];
                let id: u64 = rest.split('/').next().and_then(|t| t.parse().ok()).unwrap_or(0);
                if !c.leases.contains_key(&id) {
                    (404, json!({"error": "no such lease"}))
                } else if method == "DELETE" {
                    Self::end_lease(&mut c, id);
                    self.changed.notify_all();
                    (200, json!({}))
                } else {
                    if let Some((end, term)) = c.leases.get_mut(&id) {
                        *end = Instant::now() + *term;
                    }
                    (200, json!({"Permit": id}))
                }
            }
            ("GET", route) if route.starts_with("/keys/") => {
                let key = &route["/keys/".len()..];
                match c.keys.get(key) {
                    Some(r) => {
                        (200, json!({"Path": key, "Value": r.value, "Stamp": r.stamp, "Permit": r.lease}))
                    }
                    None => (404, json!({"Epoch": c.epoch})),
                }
            }
            _ => (400, json!({"error": "malformed"})),
        };
        drop(c);
        if let Some(text) = &treatment.loses_answer
            && (body.contains(text.as_str()) || path.contains(text.as_str()))
        {
            return Reply::Silence(Duration::from_secs(5));
        }
        Reply::Answer(status, answer.to_string())
    }
}
