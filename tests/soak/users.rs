//! Simulated users: they submit more jobs than their teams' limits allow to run, query them, repeat submissions at all
//! controllers, and cancel some jobs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use marblewalk::protocol::units::Micros;
use marblewalk::transport::http_client::HttpClient;
use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::{Value, json};

use crate::fleet::JobBehaviour;
use crate::history::{Amount, Answer, AnswerKind, JobFacts, Ms};
use crate::rig::Rig;

/// How long a user waits for the answer to a query, and to a submission or cancellation.
const QUERY_TIMEOUT: Micros = Micros::from_millis(2_000);
const REQUEST_TIMEOUT: Micros = Micros::from_millis(5_000);

/// A job and the body of its submission.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub body: Value,
    pub behaviour: JobBehaviour,
    /// Time after acceptance at which the user cancels the job.
    pub cancel_after: Option<Ms>,
}

/// Signals to users to cancel their jobs now.
#[derive(Default)]
pub struct CancelSignals(std::sync::Mutex<BTreeMap<String, Arc<AtomicBool>>>);

impl CancelSignals {
    fn flag(&self, id: &str) -> Arc<AtomicBool> {
        self.0.lock().unwrap().entry(id.to_owned()).or_default().clone()
    }

    pub fn request(&self, id: &str) {
        self.flag(id).store(true, Ordering::Relaxed);
    }
}

/// Generates a random job of a team.
pub fn random_job(rng: &mut StdRng, n: u32, team: &str) -> Job {
    let id = format!("j-{n:06}");
    let shape = ["sweep", "sweep", "sweep", "ensemble", "ensemble", "standing"][rng.random_range(0..6)];
    let tasks: u32 = match shape {
        "sweep" => rng.random_range(1..14),
        _ => rng.random_range(1..4),
    };
    let cpus = rng.random_range(1..4u32);
    let gpus = u32::from(rng.random_bool(0.35));
    let one_zone = rng.random_bool(0.25);
    let spread = !one_zone && rng.random_bool(0.15);
    let zone = rng.random_bool(0.1).then(|| "west".to_owned());
    let spot = rng.random_bool(0.5);
    let run_ms = rng.random_range(1_500..9_000);
    let save_ms = if rng.random_bool(0.4) { 300 } else { 0 };
    let rank = ["idle", "normal", "normal", "urgent"][rng.random_range(0..4)];
    let body = json!({"Uid": id, "Jobclass": "any", "Crew": team, "Shape": shape, "Rank": rank, "Pieces": tasks,
        "Cpus": f64::from(cpus), "Cards": f64::from(gpus), "MemoryGb": 1.0, "Kit": format!("img-{}", n % 4),
        "SizeGb": 1.0, "Hulls": null, "Berth": zone, "OneZone": one_zone, "Apart": spread, "Standby": spot,
        "RuntimeS": if shape == "standing" { 0.0 } else { run_ms as f64 / 1e3 }, "MarkS": 1.0,
        "StowS": save_ms as f64 / 1e3, "DueS": null});
    let facts = JobFacts {
        team: team.to_owned(),
        tasks,
        need: Amount { cpu: u64::from(cpus) * 1_000, gpu: u64::from(gpus) * 1_000 },
        kinds: None,
        zone,
        one_zone,
        spread,
        spot,
        service: shape == "standing",
        gang: shape == "ensemble",
    };
    let run_ms = if shape == "standing" { Ms::MAX } else { run_ms };
    let behaviour = JobBehaviour { facts, run_ms, save_ms };
    let cancel_after = rng.random_bool(0.3).then(|| rng.random_range(0..8_000));
    Job { id, body, behaviour, cancel_after }
}

/// A user of one job.
struct User {
    rig: Arc<Rig>,
    client: HttpClient,
    job: Job,
}

impl User {
    /// Sends a request to one controller and records the answer. `None` if there was none, or if it does not show the
    /// state of the job.
    async fn send_request(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: Option<String>,
        timeout: Micros,
    ) -> Option<AnswerKind> {
        let sent = self.rig.now();
        let to = self.client.with_addr(&self.rig.nodes[node].api);
        let reply = to.request(method, path, body, timeout).await.ok()?;
        let text: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
        let kind = match (reply.status, text["Status"].as_str()) {
            (200 | 201, Some("done")) => AnswerKind::Done,
            (200 | 201, Some("withdrawn")) => AnswerKind::Withdrawn,
            (200 | 201, Some(_)) => AnswerKind::Live,
            (404, _) => AnswerKind::Unknown,
            (400 | 422, _) => AnswerKind::Refused,
            _ => return None,
        };
        let at = self.rig.now();
        let answer = Answer { job: self.job.id.clone(), sent, at, kind };
        self.rig.history.lock().unwrap().answers.push(answer);
        Some(kind)
    }

    fn random_node(&self) -> usize {
        rand::rng().random_range(0..self.rig.nodes.len())
    }

    async fn submit(&self, node: usize) -> Option<AnswerKind> {
        self.send_request(node, "POST", "/api/jobs", Some(self.job.body.to_string()), REQUEST_TIMEOUT).await
    }

    async fn query(&self, node: usize) -> Option<AnswerKind> {
        self.send_request(node, "GET", &format!("/api/jobs/{}", self.job.id), None, QUERY_TIMEOUT).await
    }

    async fn withdraw(&self, node: usize) -> Option<AnswerKind> {
        let path = format!("/api/jobs/{}/withdraw", self.job.id);
        self.send_request(node, "POST", &path, Some("{}".into()), REQUEST_TIMEOUT).await
    }

    /// Sends a query and a repeated submission at once to each controller, one controller after the other.
    async fn query_and_resubmit_everywhere(&self) {
        let nodes = 0..self.rig.nodes.len();
        let requests = nodes.map(|node| async move {
            tokio::join!(self.query(node), self.submit(node));
        });
        let mut requests: Vec<_> = requests.map(Box::pin).collect();
        for request in &mut requests {
            request.await;
        }
    }

    /// Requests the cancellation at random controllers until one confirms it or reports the job as done. False if none
    /// has by `until`.
    async fn cancel(&self, until: Ms) -> bool {
        let now = self.rig.now();
        self.rig.history.lock().unwrap().cancel_requested_at.entry(self.job.id.clone()).or_insert(now);
        while self.rig.now() < until {
            if matches!(
                self.withdraw(self.random_node()).await,
                Some(AnswerKind::Withdrawn | AnswerKind::Done)
            ) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        false
    }

    async fn submit_until_accepted(&self, until: Ms) -> bool {
        while self.rig.now() < until {
            match self.submit(self.random_node()).await {
                Some(AnswerKind::Refused | AnswerKind::Unknown) => return false,
                Some(_) => return true,
                None => tokio::time::sleep(Duration::from_millis(700)).await,
            }
        }
        false
    }
}

/// Submits a job, queries it and cancels it if that is due, until the end of the run.
pub async fn run_user(rig: Arc<Rig>, job: Job, cancel_signals: Arc<CancelSignals>, until: Ms) {
    {
        let mut fleet = rig.fleet.lock().unwrap();
        let mut history = rig.history.lock().unwrap();
        fleet.jobs.insert(job.id.clone(), job.behaviour.clone());
        history.jobs.insert(job.id.clone(), job.behaviour.facts.clone());
    }
    let service = job.behaviour.facts.service;
    let user = User { rig, client: HttpClient::new(""), job };
    if !user.submit_until_accepted(until).await {
        return;
    }
    let checks_all_controllers = rand::rng().random_bool(0.3);
    if checks_all_controllers {
        user.query_and_resubmit_everywhere().await;
    }
    let cancel_signal = cancel_signals.flag(&user.job.id);
    let accepted = user.rig.now();
    let cancels_at = user.job.cancel_after.map_or(Ms::MAX, |after| accepted + after);
    loop {
        let now = user.rig.now();
        if now >= until {
            return;
        }
        let faults_end = user.rig.history.lock().unwrap().faults_end;
        let service_due_to_end = service && faults_end > 0 && now > faults_end;
        let ended = if cancel_signal.load(Ordering::Relaxed) || now >= cancels_at || service_due_to_end {
            user.cancel(until).await
        } else {
            matches!(user.query(user.random_node()).await, Some(AnswerKind::Done | AnswerKind::Withdrawn))
        };
        if ended {
            break;
        }
        let pause = rand::rng().random_range(300..1_000);
        let remaining = cancels_at.saturating_sub(user.rig.now()).max(1);
        tokio::time::sleep(Duration::from_millis(pause.min(remaining))).await;
    }
    if checks_all_controllers {
        user.query_and_resubmit_everywhere().await;
    }
    // Queries go on after the job has ended: the answer must not change.
    while user.rig.now() < until {
        let pause = rand::rng().random_range(2_000..5_000);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        user.query(user.random_node()).await;
    }
}

/// Queries a job that was never submitted.
pub async fn query_unknown_job(rig: Arc<Rig>, until: Ms) {
    let facts = JobFacts {
        team: String::new(),
        tasks: 1,
        need: Amount::default(),
        kinds: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        service: true,
        gang: false,
    };
    let behaviour = JobBehaviour { facts, run_ms: 0, save_ms: 0 };
    let job = Job { id: "j-999999".into(), body: Value::Null, behaviour, cancel_after: None };
    let user = User { rig, client: HttpClient::new(""), job };
    while user.rig.now() < until {
        user.query(user.random_node()).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
}
