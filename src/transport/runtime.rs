//! Runs a controller: carries its effects out and brings it the events.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::client::HttpClient;
use super::cloud;
use super::links::{self, Links};
use super::server::{self, Shared};
use super::workers;
use crate::bookkeeping::client as store;
use crate::coordination::{Answer, Breach, Controller, Effect, Event, RemovalGround, RequestId};
use crate::protocol::peer::PeerMessage;
use crate::protocol::units::Micros;
use crate::settings::{Settings, Tuning};

/// How often a controller is told that time has passed.
const TICK: Duration = Duration::from_millis(100);

#[derive(Debug)]
pub enum Input {
    Request(RequestId, Event, oneshot::Sender<Answer>),
    Peer(String, PeerMessage),
    Reply(Event),
}

/// What the HTTP side may know without asking the controller.
#[derive(Debug, Default)]
pub struct Overview {
    pub healthy: bool,
    pub text: String,
}

/// Runs until told to stop.
pub async fn run(settings: Settings, tuning: Tuning, stop: CancellationToken) -> std::io::Result<()> {
    let api = TcpListener::bind(&settings.api_addr).await?;
    let internal = TcpListener::bind(&settings.internal_addr).await?;
    let (inputs, mut incoming) = mpsc::channel(1_024);
    let shared = Shared::new(inputs.clone());
    // Room is left for the links and for the calls to the store and the cloud.
    let most = settings.params.machine_limits.sockets.saturating_sub(24).max(8);
    tokio::spawn(server::serve(api, server::router(shared.clone()), most, stop.clone()));
    tokio::spawn(links::listen(internal, settings.controller_names(), inputs.clone(), stop.clone()));
    let links = Links::start(&settings, &inputs, &stop);
    let state = HttpClient::new(&settings.external.state);
    let cloud = HttpClient::new(&settings.external.cloud);

    let worker = HttpClient::new("");

    let seed = rand::random();
    let mut controller = Controller::new(settings, tuning, seed);
    let mut waiting: HashMap<RequestId, oneshot::Sender<Answer>> = HashMap::new();
    let start = Instant::now();
    let mut ticker = tokio::time::interval(TICK);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ticks = 0u64;
    loop {
        let event = tokio::select! {
            biased;
            _ = stop.cancelled() => return Ok(()),
            _ = ticker.tick() => Event::Tick,
            input = incoming.recv() => match input {
                Some(Input::Request(request, event, tx)) => {
                    waiting.insert(request, tx);
                    event
                }
                Some(Input::Peer(from, message)) => Event::Peer(from, message),
                Some(Input::Reply(event)) => event,
                None => return Ok(()),
            },
        };
        let tick = matches!(event, Event::Tick);
        let now = Micros(start.elapsed().as_micros() as u64);
        for effect in controller.handle(now, event) {
            match effect {
                Effect::Answer(request, answer) => {
                    if let Some(tx) = waiting.remove(&request) {
                        let _ = tx.send(answer);
                    }
                }
                Effect::Send(Some(to), message) => links.send(&to, &message),
                Effect::Send(None, message) => links.broadcast(&message),
                Effect::Orders { machine, addr, orders } => {
                    let (http, inputs) = (worker.at(&addr), inputs.clone());
                    tokio::spawn(async move {
                        let reply = workers::send(&http, &orders).await;
                        let event = Event::WorkerReply { machine, token: orders.token, reply };
                        let _ = inputs.send(Input::Reply(event)).await;
                    });
                }
                Effect::Store(id, call) => {
                    let (http, inputs) = (state.clone(), inputs.clone());
                    tokio::spawn(async move {
                        let reply = store::call(&http, call).await;
                        let _ = inputs.send(Input::Reply(Event::Store(id, reply))).await;
                    });
                }
                Effect::Cloud(id, call) => {
                    let (http, inputs) = (cloud.clone(), inputs.clone());
                    tokio::spawn(async move {
                        let reply = cloud::call(&http, call).await;
                        let _ = inputs.send(Input::Reply(Event::Cloud(id, reply))).await;
                    });
                }
            }
        }
        if tick {
            ticks += 1;
            if let Ok(mut overview) = shared.overview.lock() {
                overview.healthy = controller.healthy();
                if ticks % 10 == 1 {
                    overview.text = describe(&controller);
                }
            }
            if ticks.is_multiple_of(100) {
                waiting.retain(|_, tx| !tx.is_closed());
            }
        }
    }
}

/// The operators' page: one `name value` a line.
fn describe(c: &Controller) -> String {
    let (held, known) = c.machine_counts();
    let n = &c.counters;
    let rows: [(&str, u64); 40] = [
        ("healthy", c.healthy().into()),
        ("entitled", c.entitled().into()),
        ("leading", c.leading().into()),
        ("knowledge_age_ms", c.knowledge_age().as_millis()),
        ("machines_held", held as u64),
        ("machines_known", known as u64),
        ("machines_unaccounted", c.unresolved_machine_count() as u64),
        ("machines_apart", c.quarantined_machine_count() as u64),
        ("machines_deaf", c.non_receiving_machine_count() as u64),
        ("jobs_live", c.job_count() as u64),
        ("jobs_mistaken", c.broken_job_count() as u64),
        ("store_calls_waiting", c.waiting_store_calls() as u64),
        ("reports_total", n.reports),
        ("reports_stale_total", n.reports_stale),
        ("reports_odd_total", n.reports_mismatched),
        ("placement_passes_total", n.placement_passes),
        ("task_starts_total", n.starts),
        ("task_stops_total", n.stops),
        ("task_completions_total", n.completions),
        ("task_errors_total", n.task_errors),
        ("machine_lapses_total", n.lapses),
        ("jobs_accepted_total", n.accepted),
        ("requests_deferred_total", n.deferred),
        ("grants_total", n.grants),
        ("grant_conflicts_total", n.grant_conflicts),
        ("machines_rented_total", n.rentals),
        ("rentals_refused_total", n.rentals_refused),
        ("machines_returned_total", n.returns),
        ("rejoins_total", n.rejoins),
        ("takeovers_total", n.takeovers),
        ("takeovers_listed_total", n.takeovers_fully_known),
        ("confirmations_owed", c.has_unconfirmed_starts().into()),
        ("ends_unsettled", c.unsettled_end_count() as u64),
        ("records_unread", c.unreadable_record_count() as u64),
        ("direct_starts_already_answered_total", n.starts_already_answered),
        ("starts_held_back_total", n.starts_held_back),
        ("replies_misdirected_total", n.replies_misdirected),
        ("statuses_outdated_total", n.statuses_outdated),
        ("store_failures_total", n.store_failures),
        ("cloud_failures_total", n.cloud_failures),
    ];
    let mut text: String = rows.iter().map(|(name, value)| format!("marblewalk_{name} {value}\n")).collect();
    // Names of classes are the users' own: quotes and line ends would make rows of them.
    let name = |s: &str| s.replace(['"', '\\', '\n'], "_");
    let (planned, appointments, flows) = c.admission_metrics();
    text += &format!("marblewalk_admission_plan_in_force {}\n", u64::from(planned));
    text += &format!("marblewalk_admission_appointments {appointments}\n");
    for (flow, row) in flows {
        let labels = format!("team=\"{}\",class=\"{}\"", name(&flow.team), name(&flow.class));
        for (what, n) in [("offered", row.offered), ("taken", row.taken), ("turned_away", row.turned_away)] {
            text += &format!("marblewalk_submissions_{what}_total{{{labels}}} {n}\n");
        }
    }
    for (reason, count) in c.jobs_waiting() {
        text += &format!("marblewalk_jobs_waiting{{reason=\"{}\"}} {count}\n", reason.name());
    }
    for breach in Breach::all() {
        let count = c.quota_breaches(breach);
        text += &format!("marblewalk_quota_breaches_total{{rule=\"{}\"}} {count}\n", breach.name());
    }
    for ground in RemovalGround::all() {
        let count = c.removals(ground);
        text += &format!("marblewalk_tasks_taken_for_gone_total{{ground=\"{}\"}} {count}\n", ground.name());
        for (what, count) in [
            ("contradicted", c.conclusions_contradicted(ground)),
            ("questioned", c.conclusions_questioned(ground)),
        ] {
            text += &format!("marblewalk_conclusions_{what}_total{{ground=\"{}\"}} {count}\n", ground.name());
        }
    }
    text += &format!("marblewalk_conclusions_crowded_out_total {}\n", c.conclusions_crowded_out());
    for (share, oldest) in c.pool_shares() {
        let labels = format!(
            "team=\"{}\",class=\"{}\",rank=\"{}\"",
            name(&share.team),
            name(&share.class),
            share.rank
        );
        text += &format!("marblewalk_pool_wanted{{{labels}}} {:.1}\n", share.demand / 1e3);
        text += &format!("marblewalk_pool_share{{{labels}}} {:.1}\n", share.share / 1e3);
        text += &format!("marblewalk_pool_jobs{{{labels}}} {}\n", share.jobs);
        text += &format!("marblewalk_pool_oldest_wait_seconds{{{labels}}} {oldest:.1}\n");
    }
    text
}
