//! The HTTP server for users, workers, health checks and operators.

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

use super::runtime::{Input, PublishedState};
use crate::coordination::{Answer, Event, RequestId};
use crate::protocol::job::{JobSpec, is_job_id};
use crate::protocol::worker::Report;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of requests of one kind that wait for the controller's answer. Further requests are deferred at once.
///
/// Each kind has a limit of its own, so that a flood of one kind does not keep out the others.
const MAX_PENDING_REQUESTS: usize = 200;
/// The same limit for users' queries. It is higher, because waiting queries share one check of the state service.
const MAX_PENDING_QUERIES: usize = 400;

/// State shared by all HTTP handlers.
pub struct ServerState {
    pub inputs: mpsc::Sender<Input>,
    pub published: Mutex<PublishedState>,
    /// Id of the next request.
    pub next_request: AtomicU64,
    /// Permits for pending requests, one semaphore for each kind.
    reports: Semaphore,
    submissions: Semaphore,
    queries: Semaphore,
    withdrawals: Semaphore,
}

impl ServerState {
    pub fn new(inputs: mpsc::Sender<Input>) -> Arc<ServerState> {
        Arc::new(ServerState {
            inputs,
            published: Mutex::default(),
            next_request: AtomicU64::new(1),
            reports: Semaphore::new(MAX_PENDING_REQUESTS),
            submissions: Semaphore::new(MAX_PENDING_REQUESTS),
            queries: Semaphore::new(MAX_PENDING_QUERIES),
            withdrawals: Semaphore::new(MAX_PENDING_REQUESTS),
        })
    }

    /// Passes a request to the controller and waits for the answer. Defers the request if too many of its kind are
    /// pending, the controller's input queue is full, or there is no answer in time.
    async fn call_controller(
        &self,
        pending: &Semaphore,
        event: impl FnOnce(RequestId) -> Event,
        timeout: Duration,
    ) -> Answer {
        let Ok(_permit) = pending.try_acquire() else { return Answer::RetryLater(1) };
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        if self.inputs.try_send(Input::Request(request, event(request), tx)).is_err() {
            return Answer::RetryLater(1);
        }
        match tokio::time::timeout(timeout, rx).await {
            Ok(Ok(answer)) => answer,
            _ => Answer::RetryLater(1),
        }
    }
}

pub fn router(shared: Arc<ServerState>) -> Router {
    Router::new()
        .route("/healthz", get(healthz))
        .route("/v1/report", post(report))
        .route("/api/jobs", post(submit))
        .route("/api/jobs/{id}", get(query))
        .route("/api/jobs/{id}/withdraw", post(withdraw))
        .route("/desk", get(metrics_page))
        .with_state(shared)
}

fn json_response(status: StatusCode, value: Value) -> Response {
    let content_type = HeaderValue::from_static("application/json");
    (status, [(header::CONTENT_TYPE, content_type)], value.to_string()).into_response()
}

fn error_response(status: StatusCode, message: &str) -> Response {
    json_response(status, json!({ "error": message }))
}

fn to_response(answer: Answer) -> Response {
    match answer {
        Answer::Orders(orders) => {
            json_response(StatusCode::OK, serde_json::to_value(orders).unwrap_or_else(|_| json!({})))
        }
        Answer::Redirect(Some(member)) => {
            json_response(StatusCode::MISDIRECTED_REQUEST, json!({ "Harbour": member }))
        }
        Answer::Redirect(None) => json_response(StatusCode::MISDIRECTED_REQUEST, json!({})),
        Answer::Job { created, id, state, done, running } => {
            let status = if created { StatusCode::CREATED } else { StatusCode::OK };
            json_response(
                status,
                json!({ "Uid": id, "Status": state.name(), "done": done, "running": running }),
            )
        }
        Answer::NotFound => error_response(StatusCode::NOT_FOUND, "no such job"),
        Answer::Rejected(why) => error_response(StatusCode::UNPROCESSABLE_ENTITY, why),
        Answer::RetryLater(seconds) => {
            let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, "not now");
            response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
            response
        }
    }
}

async fn healthz(State(shared): State<Arc<ServerState>>) -> Response {
    let healthy = shared.published.lock().is_ok_and(|p| p.healthy);
    let status = if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json_response(status, json!({ "healthy": healthy }))
}

async fn read_body(body: Body) -> Result<bytes::Bytes, Response> {
    match tokio::time::timeout(Duration::from_secs(4), to_bytes(body, MAX_BODY_BYTES)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(_)) => {
            Err(error_response(StatusCode::BAD_REQUEST, "the body is broken off or longer than 64 KiB"))
        }
        Err(_) => Err(error_response(StatusCode::REQUEST_TIMEOUT, "the body did not arrive")),
    }
}

async fn report(State(shared): State<Arc<ServerState>>, request: Request) -> Response {
    let bytes = match read_body(request.into_body()).await {
        Ok(bytes) => bytes,
        Err(response) => return response,
    };
    match serde_json::from_slice::<Report>(&bytes) {
        Ok(report) => to_response(
            shared
                .call_controller(
                    &shared.reports,
                    |id| Event::Report(id, report),
                    Duration::from_millis(3_500),
                )
                .await,
        ),
        Err(e) => error_response(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}

async fn submit(State(shared): State<Arc<ServerState>>, request: Request) -> Response {
    let bytes = match read_body(request.into_body()).await {
        Ok(bytes) => bytes,
        Err(response) => return response,
    };
    match JobSpec::parse(&bytes) {
        Ok(spec) => to_response(
            shared
                .call_controller(
                    &shared.submissions,
                    |id| Event::Submit(id, Box::new(spec)),
                    Duration::from_millis(3_500),
                )
                .await,
        ),
        Err(e) => error_response(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}

async fn query(State(shared): State<Arc<ServerState>>, Path(id): Path<String>) -> Response {
    if !is_job_id(&id) {
        return to_response(Answer::NotFound);
    }
    to_response(
        shared
            .call_controller(
                &shared.queries,
                |request| Event::Query(request, id),
                Duration::from_millis(1_800),
            )
            .await,
    )
}

async fn withdraw(State(shared): State<Arc<ServerState>>, Path(id): Path<String>) -> Response {
    if !is_job_id(&id) {
        return to_response(Answer::NotFound);
    }
    to_response(
        shared
            .call_controller(
                &shared.withdrawals,
                |request| Event::Withdraw(request, id),
                Duration::from_millis(3_500),
            )
            .await,
    )
}

async fn metrics_page(State(shared): State<Arc<ServerState>>) -> Response {
    let metrics = shared.published.lock().map(|p| p.metrics.clone()).unwrap_or_default();
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    ([(header::CONTENT_TYPE, content_type)], metrics).into_response()
}

/// Serves connections until `stop` is cancelled. While `max_connections` are open, new ones are closed at once.
pub async fn serve(listener: TcpListener, router: Router, max_connections: usize, stop: CancellationToken) {
    let connection_permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let Some(accepted) = stop.run_until_cancelled(listener.accept()).await else { return };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(permit) = connection_permits.clone().try_acquire_owned() else { continue };
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(router.clone());
        let stop = stop.clone();
        tokio::spawn(async move {
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                // Closes connections that send no request or only a part of its head, so that they do not occupy a
                // permit.
                .header_read_timeout(Duration::from_secs(30))
                .max_buf_size(MAX_BODY_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            stop.run_until_cancelled(connection).await;
            drop(permit);
        });
    }
}
