//! A small HTTP/1.1 client for one address, with kept-alive connections.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::protocol::units::Micros;

/// The largest response that is read.
const MOST: usize = 16 << 20;

#[derive(Debug, PartialEq, thiserror::Error)]
pub enum HttpError {
    #[error("no connection")]
    Unconnected,
    #[error("no answer in time")]
    Timeout,
    #[error("the connection failed")]
    Broken,
}

#[derive(Debug)]
pub struct HttpReply {
    pub status: u16,
    pub body: Bytes,
}

#[derive(Clone, Debug)]
pub struct HttpClient {
    base: String,
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
        HttpClient { base: format!("http://{addr}"), client }
    }

    /// The same client for another address.
    pub fn at(&self, addr: &str) -> Self {
        HttpClient { base: format!("http://{addr}"), client: self.client.clone() }
    }

    pub async fn request(
        &self,
        method: &str,
        path: &str,
        body: Option<String>,
        patience: Micros,
    ) -> Result<HttpReply, HttpError> {
        let host = self.base.trim_start_matches("http://");
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header(HOST, host)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .map_err(|_| HttpError::Broken)?;
        let exchange = async {
            let response = self.client.request(request).await;
            let response = response
                .map_err(|e| if e.is_connect() { HttpError::Unconnected } else { HttpError::Broken })?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MOST).collect().await;
            let body = body.map_err(|_| HttpError::Broken)?.to_bytes();
            Ok(HttpReply { status, body })
        };
        let limit = std::time::Duration::from_micros(patience.0);
        tokio::time::timeout(limit, exchange).await.unwrap_or(Err(HttpError::Timeout))
    }
}
