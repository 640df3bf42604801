//! A small HTTP/1.1 client for one address that keeps connections alive.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::protocol::units::Micros;

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why a request has no response.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum HttpError {
    /// The request was not sent.
    #[error("could not connect")]
    ConnectFailed,
    #[error("no response in time")]
    Timeout,
    #[error("the request failed, or the response could not be read")]
    ExchangeFailed,
}

#[derive(Debug)]
pub struct HttpReply {
    pub status: u16,
    pub body: Bytes,
}

#[derive(Clone, Debug)]
pub struct HttpClient {
    base_url: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    pub fn new(addr: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(std::time::Duration::from_millis(1_000)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(std::time::Duration::from_secs(20))
            .pool_max_idle_per_host(2)
            .retry_canceled_requests(false)
            .build(connector);
        HttpClient { base_url: format!("http://{addr}"), client }
    }

    /// A client for another address that shares the connection pool of this one.
    pub fn with_addr(&self, addr: &str) -> Self {
        HttpClient { base_url: format!("http://{addr}"), client: self.client.clone() }
    }

    /// Sends a request and reads the response, all within `timeout`.
    pub async fn request(
        &self,
        method: &str,
        path: &str,
        body: Option<String>,
        timeout: Micros,
    ) -> Result<HttpReply, HttpError> {
        let host = self.base_url.trim_start_matches("http://");
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base_url))
            .header(HOST, host)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .map_err(|_| HttpError::ExchangeFailed)?;
        let exchange = async {
            let response = self.client.request(request).await;
            let response = response.map_err(|e| {
                if e.is_connect() { HttpError::ConnectFailed } else { HttpError::ExchangeFailed }
            })?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|_| HttpError::ExchangeFailed)?.to_bytes();
            Ok(HttpReply { status, body })
        };
        let limit = std::time::Duration::from_micros(timeout.0);
        tokio::time::timeout(limit, exchange).await.unwrap_or(Err(HttpError::Timeout))
    }
}
