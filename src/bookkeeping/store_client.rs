//! HTTP client of the state service.

use serde::Deserialize;
use serde_json::{Value, json};

use crate::protocol::store::{StoreCall, StoreReply};
use crate::protocol::units::Micros;
use crate::transport::http_client::{HttpClient, HttpReply};

/// Timeout of all calls but [`StoreCall::Follow`]. The service usually replies in milliseconds, at times in hundreds of
/// milliseconds.
const CALL_TIMEOUT: Micros = Micros::from_millis(1_500);

#[derive(Deserialize)]
struct CommitResponse {
    #[serde(rename = "Epoch")]
    revision: u64,
}

#[derive(Deserialize)]
struct LeaseResponse {
    #[serde(rename = "Permit")]
    lease: u64,
}

#[derive(Deserialize)]
struct ConflictResponse {
    /// Keys of the conditions that did not hold.
    failed: Vec<String>,
}

#[derive(Deserialize)]
struct GetResponse {
    #[serde(rename = "Value")]
    value: Value,
    #[serde(rename = "Stamp")]
    stamp: u64,
}

/// Converts the body of a reply, or returns [`StoreReply::Unclear`] if it can't be read.
fn decode<T: for<'a> Deserialize<'a>>(
    reply: &HttpReply,
    convert: impl FnOnce(T) -> StoreReply,
) -> StoreReply {
    serde_json::from_slice(&reply.body).map(convert).unwrap_or(StoreReply::Unclear)
}

/// Sends one call to the state service and returns its outcome.
pub async fn call(http: &HttpClient, call: StoreCall) -> StoreReply {
    let follow = matches!(call, StoreCall::Follow { .. });
    let mut timeout = CALL_TIMEOUT;
    let (method, path, body) = match &call {
        StoreCall::Get { key } => ("GET", format!("/keys/{key}"), None),
        StoreCall::List { prefix, after } => {
            let from = if after.is_empty() { String::new() } else { format!("&After={after}") };
            ("GET", format!("/keys?Starts={prefix}{from}&Most=500"), None)
        }
        StoreCall::Commit(transaction) => {
            ("POST", "/commit".to_owned(), serde_json::to_string(transaction).ok())
        }
        StoreCall::Lease { life_ms } => {
            ("POST", "/leases".to_owned(), Some(json!({ "LifeMs": life_ms }).to_string()))
        }
        StoreCall::Renew { lease } => ("POST", format!("/leases/{lease}/renew"), Some("{}".to_owned())),
        StoreCall::Release { lease } => ("DELETE", format!("/leases/{lease}"), None),
        StoreCall::Follow { prefix, after, hold_ms } => {
            timeout = Micros::from_millis(hold_ms + 1_500);
            ("GET", format!("/follow?Starts={prefix}&After={after}&HoldMs={hold_ms}"), None)
        }
    };
    let Ok(reply) = http.request(method, &path, body, timeout).await else {
        return StoreReply::Unclear;
    };
    match (reply.status, &call) {
        (200, StoreCall::Get { .. }) => {
            decode(&reply, |f: GetResponse| StoreReply::Found { value: f.value, stamp: f.stamp })
        }
        (200, StoreCall::List { .. }) => decode(&reply, StoreReply::Page),
        (200, StoreCall::Commit(_)) => {
            decode(&reply, |r: CommitResponse| StoreReply::Committed { revision: r.revision })
        }
        (200, StoreCall::Lease { .. }) => {
            decode(&reply, |l: LeaseResponse| StoreReply::Leased { lease: l.lease })
        }
        (200 | 204, StoreCall::Renew { .. } | StoreCall::Release { .. }) => StoreReply::Renewed,
        (200, StoreCall::Follow { .. }) => decode(&reply, StoreReply::News),
        (404, _) => StoreReply::Missing,
        (409, _) => decode(&reply, |f: ConflictResponse| StoreReply::Conflict { failed: f.failed }),
        (410, _) if follow => StoreReply::TooOld,
        (400, StoreCall::Commit(_)) if contains(&reply.body, b"no such lease") => StoreReply::NoLease,
        (400, _) => {
            tracing::error!(
                ?call,
                body = %String::from_utf8_lossy(&reply.body),
                "state service rejected a call as malformed"
            );
            StoreReply::Refused
        }
        (429 | 503, _) => StoreReply::Refused,
        _ => StoreReply::Unclear,
    }
}

fn contains(body: &[u8], text: &[u8]) -> bool {
    body.windows(text.len()).any(|w| w == text)
}
