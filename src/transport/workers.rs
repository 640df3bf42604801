//! Orders to workers' own addresses.

use super::client::{HttpClient, HttpError};
use crate::protocol::units::Micros;
use crate::protocol::worker::{DirectOrders, DirectReply};

const PATIENCE: Micros = Micros::from_millis(1_500);

/// Sends orders and says what came of them. Only a connection that was never made, or a worker that
/// says so, proves that they will not be carried out.
pub async fn send(http: &HttpClient, orders: &DirectOrders) -> DirectReply {
    let Ok(body) = serde_json::to_string(orders) else { return DirectReply::NotSent };
    let reply = match http.request("POST", "/orders", Some(body), PATIENCE).await {
        Ok(reply) => reply,
        Err(HttpError::Unconnected) => return DirectReply::NotSent,
        Err(_) => return DirectReply::Unclear,
    };
    match (reply.status, serde_json::from_slice(&reply.body)) {
        (200, Ok(report)) => DirectReply::Done(Box::new(report)),
        (409, Ok(report)) => DirectReply::Rejected(Box::new(report)),
        (400, _) => DirectReply::NotSent,
        _ => DirectReply::Unclear,
    }
}
