//! The main loop: passes events to the controller and executes the effects that it returns.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::cloud_client;
use super::http_client::HttpClient;
use super::peer_links::{self, Links};
use super::server::{self, ServerState};
use super::worker_client;
use crate::bookkeeping::store_client;
use crate::coordination::{Answer, Breach, Controller, Effect, Event, RemovalGround, RequestId};
use crate::protocol::peer::PeerMessage;
use crate::protocol::units::Micros;
use crate::settings::{Settings, Tuning};

/// Interval of the tick events that drive the controller's timers.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Input of the main loop from connections and calls.
#[derive(Debug)]
pub enum Input {
    /// An HTTP request, as an event, and the channel for its answer.
    Request(RequestId, Event, oneshot::Sender<Answer>),
    /// A message from the named controller.
    Peer(String, PeerMessage),
    /// The outcome of a call or of a connection attempt, as an event.
    Reply(Event),
}

/// State that the main loop publishes for HTTP handlers, which read it without a request to the controller.
#[derive(Debug, Default)]
pub struct PublishedState {
    pub healthy: bool,
    /// The metrics in text form.
    pub metrics: String,
}

/// Runs a controller until `stop` is cancelled.
pub async fn run(settings: Settings, tuning: Tuning, stop: CancellationToken) -> std::io::Result<()> {
    let api = TcpListener::bind(&settings.api_addr).await?;
    let internal = TcpListener::bind(&settings.internal_addr).await?;
    let (inputs, mut incoming) = mpsc::channel(1_024);
    let server_state = ServerState::new(inputs.clone());
    // 24 sockets are left for links to other controllers and for calls to the state service and the cloud.
    let max_connections = settings.params.machine_limits.sockets.saturating_sub(24).max(8);
    tokio::spawn(server::serve(api, server::router(server_state.clone()), max_connections, stop.clone()));
    tokio::spawn(peer_links::listen(internal, settings.controller_names(), inputs.clone(), stop.clone()));
    let links = Links::start(&settings, &inputs, &stop);
    let store_http = HttpClient::new(&settings.external.state);
    let cloud_http = HttpClient::new(&settings.external.cloud);

    // Each call sets the address of its worker.
    let worker_http = HttpClient::new("");

    let seed = rand::random();
    let mut controller = Controller::new(settings, tuning, seed);
    let mut pending_answers: HashMap<RequestId, oneshot::Sender<Answer>> = HashMap::new();
    let start = Instant::now();
    let mut ticker = tokio::time::interval(TICK_INTERVAL);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ticks = 0u64;
    loop {
        let event = tokio::select! {
            biased;
            _ = stop.cancelled() => return Ok(()),
            _ = ticker.tick() => Event::Tick,
            input = incoming.recv() => match input {
                Some(Input::Request(request, event, tx)) => {
                    pending_answers.insert(request, tx);
                    event
                }
                Some(Input::Peer(from, message)) => Event::Peer(from, message),
                Some(Input::Reply(event)) => event,
                None => return Ok(()),
            },
        };
        let is_tick = matches!(event, Event::Tick);
        let now = Micros(start.elapsed().as_micros() as u64);
        for effect in controller.handle(now, event) {
            match effect {
                Effect::Answer(request, answer) => {
                    if let Some(tx) = pending_answers.remove(&request) {
                        let _ = tx.send(answer);
                    }
                }
                Effect::Send(Some(to), message) => links.send(&to, &message),
                Effect::Send(None, message) => links.broadcast(&message),
                Effect::Orders { machine, addr, orders } => {
                    let (http, inputs) = (worker_http.with_addr(&addr), inputs.clone());
                    tokio::spawn(async move {
                        let reply = worker_client::send_orders(&http, &orders).await;
                        let event = Event::WorkerReply { machine, token: orders.token, reply };
                        let _ = inputs.send(Input::Reply(event)).await;
                    });
                }
                Effect::Store(id, call) => {
                    let (http, inputs) = (store_http.clone(), inputs.clone());
                    tokio::spawn(async move {
                        let reply = store_client::call(&http, call).await;
                        let _ = inputs.send(Input::Reply(Event::Store(id, reply))).await;
                    });
                }
                Effect::Cloud(id, call) => {
                    let (http, inputs) = (cloud_http.clone(), inputs.clone());
                    tokio::spawn(async move {
                        let reply = cloud_client::call(&http, call).await;
                        let _ = inputs.send(Input::Reply(Event::Cloud(id, reply))).await;
                    });
                }
            }
        }
        if is_tick {
            ticks += 1;
            if let Ok(mut published) = server_state.published.lock() {
                published.healthy = controller.healthy();
                // Rendered once a second.
                if ticks % 10 == 1 {
                    published.metrics = render_metrics(&controller);
                }
            }
            // Every 10 seconds, drops requests that timed out or whose client has disconnected.
            if ticks.is_multiple_of(100) {
                pending_answers.retain(|_, tx| !tx.is_closed());
            }
        }
    }
}

/// Metrics in text form: one `name value` or `name{labels} value` per line.
fn render_metrics(controller: &Controller) -> String {
    let (machines_held, machines_known) = controller.machine_counts();
    let counters = &controller.counters;
    let rows: [(&str, u64); 41] = [
        ("healthy", controller.healthy().into()),
        ("entitled", controller.entitled().into()),
        ("leading", controller.leading().into()),
        ("knowledge_age_ms", controller.knowledge_age().as_millis()),
        ("machines_held", machines_held as u64),
        ("machines_known", machines_known as u64),
        ("machines_unaccounted", controller.unresolved_machine_count() as u64),
        ("machines_apart", controller.quarantined_machine_count() as u64),
        ("machines_deaf", controller.non_receiving_machine_count() as u64),
        ("jobs_live", controller.job_count() as u64),
        ("jobs_mistaken", controller.broken_job_count() as u64),
        ("store_calls_waiting", controller.waiting_store_calls() as u64),
        ("reports_total", counters.reports),
        ("reports_stale_total", counters.reports_stale),
        ("reports_odd_total", counters.reports_mismatched),
        ("placement_passes_total", counters.placement_passes),
        ("task_starts_total", counters.starts),
        ("task_stops_total", counters.stops),
        ("task_completions_total", counters.completions),
        ("task_errors_total", counters.task_errors),
        ("machine_lapses_total", counters.lease_expirations),
        ("jobs_accepted_total", counters.accepted),
        ("requests_deferred_total", counters.deferred),
        ("grants_total", counters.grants),
        ("grant_conflicts_total", counters.grant_conflicts),
        ("machines_rented_total", counters.rentals),
        ("rentals_refused_total", counters.rentals_refused),
        ("machines_returned_total", counters.returns),
        ("rejoins_total", counters.rejoins),
        ("takeovers_total", counters.takeovers),
        ("takeovers_listed_total", counters.takeovers_fully_known),
        ("confirmations_owed", controller.has_unconfirmed_starts().into()),
        ("ends_unsettled", controller.unsettled_end_count() as u64),
        ("records_unread", controller.unreadable_record_count() as u64),
        ("direct_starts_already_answered_total", counters.starts_already_answered),
        ("starts_held_back_total", counters.starts_held_back),
        ("unexpected_tasks_total", counters.unexpected_tasks),
        ("replies_misdirected_total", counters.replies_misdirected),
        ("statuses_outdated_total", counters.statuses_outdated),
        ("store_failures_total", counters.store_failures),
        ("cloud_failures_total", counters.cloud_failures),
    ];
    let mut text: String = rows.iter().map(|(name, value)| format!("marblewalk_{name} {value}\n")).collect();
    // Users choose the names of classes: quotes, backslashes and line ends in them would break the format.
    let escape = |s: &str| s.replace(['"', '\\', '\n'], "_");
    let (plan_in_force, retry_slots, flows) = controller.admission_metrics();
    text += &format!("marblewalk_admission_plan_in_force {}\n", u64::from(plan_in_force));
    text += &format!("marblewalk_admission_appointments {retry_slots}\n");
    for (flow, flow_counters) in flows {
        let labels = format!("team=\"{}\",class=\"{}\"", escape(&flow.team), escape(&flow.class));
        for (outcome, count) in [
            ("offered", flow_counters.offered),
            ("taken", flow_counters.admitted),
            ("turned_away", flow_counters.deferred),
        ] {
            text += &format!("marblewalk_submissions_{outcome}_total{{{labels}}} {count}\n");
        }
    }
    for (reason, count) in controller.jobs_waiting() {
        text += &format!("marblewalk_jobs_waiting{{reason=\"{}\"}} {count}\n", reason.name());
    }
    for breach in Breach::all() {
        let count = controller.quota_breaches(breach);
        text += &format!("marblewalk_quota_breaches_total{{rule=\"{}\"}} {count}\n", breach.name());
    }
    for ground in RemovalGround::all() {
        let count = controller.removals(ground);
        text += &format!("marblewalk_tasks_taken_for_gone_total{{ground=\"{}\"}} {count}\n", ground.name());
        for (outcome, count) in [
            ("contradicted", controller.conclusions_contradicted(ground)),
            ("questioned", controller.conclusions_questioned(ground)),
        ] {
            text +=
                &format!("marblewalk_conclusions_{outcome}_total{{ground=\"{}\"}} {count}\n", ground.name());
        }
    }
    text += &format!("marblewalk_conclusions_crowded_out_total {}\n", controller.conclusions_crowded_out());
    for (share, oldest_wait_s) in controller.pool_shares() {
        let labels = format!(
            "team=\"{}\",class=\"{}\",rank=\"{}\"",
            escape(&share.team),
            escape(&share.class),
            share.rank
        );
        text += &format!("marblewalk_pool_wanted{{{labels}}} {:.1}\n", share.demand / 1e3);
        text += &format!("marblewalk_pool_share{{{labels}}} {:.1}\n", share.share / 1e3);
        text += &format!("marblewalk_pool_jobs{{{labels}}} {}\n", share.jobs);
        text += &format!("marblewalk_pool_oldest_wait_seconds{{{labels}}} {oldest_wait_s:.1}\n");
    }
    text
}
