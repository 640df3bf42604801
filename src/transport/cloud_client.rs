//! HTTP calls to the cloud.

use serde_json::json;

use super::http_client::HttpClient;
use crate::protocol::cloud::{CloudCall, CloudReply, MachineList, MachineNames, MachineTypes};
use crate::protocol::units::Micros;

const CALL_TIMEOUT: Micros = Micros::from_secs(5);

/// Makes one call and returns its outcome.
pub async fn call(http: &HttpClient, call: CloudCall) -> CloudReply {
    let (method, path, body) = match &call {
        CloudCall::Types => ("GET", "/machine_types".to_owned(), None),
        CloudCall::Rent(rental) => ("POST", "/rentals".to_owned(), serde_json::to_string(rental).ok()),
        CloudCall::Return(machines) => {
            ("POST", "/rentals/return".to_owned(), Some(json!({ "Hosts": machines }).to_string()))
        }
        CloudCall::List { after } => {
            let cursor = if after.is_empty() { String::new() } else { format!("After={after}&") };
            ("GET", format!("/rentals?{cursor}Most=500"), None)
        }
    };
    let Ok(reply) = http.request(method, &path, body, CALL_TIMEOUT).await else {
        return CloudReply::Unclear;
    };
    let body = &reply.body[..];
    match (reply.status, call) {
        (200, CloudCall::Types) => serde_json::from_slice(body)
            .map_or(CloudReply::Unclear, |t: MachineTypes| CloudReply::Types(t.types)),
        (200, CloudCall::Rent(_)) => serde_json::from_slice(body)
            .map_or(CloudReply::Unclear, |n: MachineNames| CloudReply::Rented(n.machines)),
        (200, CloudCall::Return(_)) => CloudReply::Returned,
        (200, CloudCall::List { .. }) => {
            serde_json::from_slice::<MachineList>(body).map_or(CloudReply::Unclear, CloudReply::List)
        }
        (503, CloudCall::Rent(_)) if body.windows(11).any(|w| w == b"no capacity") => CloudReply::NoCapacity,
        (400, call) => {
            tracing::error!(?call, "the cloud rejected a call as malformed");
            CloudReply::Rejected
        }
        _ => CloudReply::Unclear,
    }
}
