//! The HTTP side towards users, workers and health checks, and the operators' page of counters.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Router;
use axum::body::{Body, to_bytes};
use axum::extract::{Path, Request, State};
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::runtime::{Input, Overview};
use crate::coordination::{Answer, Event, RequestId};
use crate::protocol::job::{JobSpec, is_job_id};
use crate::protocol::worker::Report;

/// The largest request body.
const MOST_BODY: usize = 64 * 1024;
/// Requests of each kind on their way through the controller; further ones are deferred at once. Each
/// kind has its own, so that no flood of one keeps out the others.
const MOST_PENDING: usize = 200;
/// Users' questions wait together for one check.
const MOST_QUERIES: usize = 400;

pub struct Shared {
    pub inputs: mpsc::Sender<Input>,
    pub overview: Mutex<Overview>,
    pub next: AtomicU64,
    reports: Semaphore,
    submissions: Semaphore,
    queries: Semaphore,
    withdrawals: Semaphore,
}

impl Shared {
    pub fn new(inputs: mpsc::Sender<Input>) -> Arc<Shared> {
        Arc::new(Shared {
            inputs,
            overview: Mutex::default(),
            next: AtomicU64::new(1),
            reports: Semaphore::new(MOST_PENDING),
            submissions: Semaphore::new(MOST_PENDING),
            queries: Semaphore::new(MOST_QUERIES),
            withdrawals: Semaphore::new(MOST_PENDING),
        })
    }

    /// Hands a request to the controller and waits for its word.
    async fn ask(
        &self,
        pending: &Semaphore,
        event: impl FnOnce(RequestId) -> Event,
        patience: Duration,
    ) -> Answer {
        let Ok(_permit) = pending.try_acquire() else { return Answer::RetryLater(1) };
        let request = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        if self.inputs.try_send(Input::Request(request, event(request), tx)).is_err() {
            return Answer::RetryLater(1);
        }
        match tokio::time::timeout(patience, rx).await {
            Ok(Ok(answer)) => answer,
            _ => Answer::RetryLater(1),
        }
    }
}

pub fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/healthz", get(healthz))
        .route("/v1/report", post(report))
        .route("/api/jobs", post(submit))
        .route("/api/jobs/{id}", get(query))
        .route("/api/jobs/{id}/withdraw", post(withdraw))
        .route("/desk", get(desk))
        .with_state(shared)
}

fn body(status: StatusCode, value: Value) -> Response {
    let json = HeaderValue::from_static("application/json");
    (status, [(header::CONTENT_TYPE, json)], value.to_string()).into_response()
}

fn error(status: StatusCode, message: &str) -> Response {
    body(status, json!({ "error": message }))
}

fn respond(answer: Answer) -> Response {
    match answer {
        Answer::Orders(orders) => {
            body(StatusCode::OK, serde_json::to_value(orders).unwrap_or_else(|_| json!({})))
        }
        Answer::Redirect(Some(member)) => body(StatusCode::MISDIRECTED_REQUEST, json!({ "Harbour": member })),
        Answer::Redirect(None) => body(StatusCode::MISDIRECTED_REQUEST, json!({})),
        Answer::Job { created, id, state, done, running } => {
            let status = if created { StatusCode::CREATED } else { StatusCode::OK };
            body(status, json!({ "Uid": id, "Status": state.name(), "done": done, "running": running }))
        }
        Answer::NotFound => error(StatusCode::NOT_FOUND, "no such job"),
        Answer::Rejected(why) => error(StatusCode::UNPROCESSABLE_ENTITY, why),
        Answer::RetryLater(seconds) => {
            let mut response = error(StatusCode::SERVICE_UNAVAILABLE, "not now");
            response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
            response
        }
    }
}

async fn healthz(State(shared): State<Arc<Shared>>) -> Response {
    let healthy = shared.overview.lock().is_ok_and(|o| o.healthy);
    let status = if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    body(status, json!({ "healthy": healthy }))
}

async fn read(body: Body) -> Result<bytes::Bytes, Response> {
    match tokio::time::timeout(Duration::from_secs(4), to_bytes(body, MOST_BODY)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(_)) => Err(error(StatusCode::BAD_REQUEST, "the body is broken off or longer than 64 KiB")),
        Err(_) => Err(error(StatusCode::REQUEST_TIMEOUT, "the body did not arrive")),
    }
}

async fn report(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    let bytes = match read(request.into_body()).await {
        Ok(bytes) => bytes,
        Err(response) => return response,
    };
    match serde_json::from_slice::<Report>(&bytes) {
        Ok(report) => respond(
            shared.ask(&shared.reports, |id| Event::Report(id, report), Duration::from_millis(3_500)).await,
        ),
        Err(e) => error(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}

async fn submit(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    let bytes = match read(request.into_body()).await {
        Ok(bytes) => bytes,
        Err(response) => return response,
    };
    match JobSpec::parse(&bytes) {
        Ok(spec) => respond(
            shared
                .ask(
                    &shared.submissions,
                    |id| Event::Submit(id, Box::new(spec)),
                    Duration::from_millis(3_500),
                )
                .await,
        ),
        Err(e) => error(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}

async fn query(State(shared): State<Arc<Shared>>, Path(id): Path<String>) -> Response {
    if !is_job_id(&id) {
        return respond(Answer::NotFound);
    }
    respond(
        shared.ask(&shared.queries, |request| Event::Query(request, id), Duration::from_millis(1_800)).await,
    )
}

async fn withdraw(State(shared): State<Arc<Shared>>, Path(id): Path<String>) -> Response {
    if !is_job_id(&id) {
        return respond(Answer::NotFound);
    }
    respond(
        shared
            .ask(&shared.withdrawals, |request| Event::Withdraw(request, id), Duration::from_millis(3_500))
            .await,
    )
}

async fn desk(State(shared): State<Arc<Shared>>) -> Response {
    let text = shared.overview.lock().map(|o| o.text.clone()).unwrap_or_default();
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    ([(header::CONTENT_TYPE, plain)], text).into_response()
}

/// Serves connections until told to stop. Beyond `most` connections, new ones are refused.
pub async fn serve(listener: TcpListener, router: Router, most: usize, stop: CancellationToken) {
    let places = Arc::new(Semaphore::new(most));
    loop {
        let Some(accepted) = stop.run_until_cancelled(listener.accept()).await else { return };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(place) = places.clone().try_acquire_owned() else { continue };
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(router.clone());
        let stop = stop.clone();
        tokio::spawn(async move {
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                // A connection that sends no request, or half of one, does not keep its place.
                .header_read_timeout(Duration::from_secs(30))
                .max_buf_size(MOST_BODY)
                .serve_connection(TokioIo::new(stream), service);
            stop.run_until_cancelled(connection).await;
            drop(place);
        });
    }
}
