//! Direct orders, which are sent to workers' own addresses.

use super::http_client::{HttpClient, HttpError};
use crate::protocol::units::Micros;
use crate::protocol::worker::{DirectOrders, DirectReply};

const CALL_TIMEOUT: Micros = Micros::from_millis(1_500);

/// Sends orders and returns their outcome.
///
/// Only a failed connection attempt or a rejection by the worker proves that the orders will not be carried out.
pub async fn send_orders(http: &HttpClient, orders: &DirectOrders) -> DirectReply {
    let Ok(body) = serde_json::to_string(orders) else { return DirectReply::NotSent };
    let reply = match http.request("POST", "/orders", Some(body), CALL_TIMEOUT).await {
        Ok(reply) => reply,
        Err(HttpError::ConnectFailed) => return DirectReply::NotSent,
        Err(_) => return DirectReply::Unclear,
    };
    match (reply.status, serde_json::from_slice(&reply.body)) {
        (200, Ok(report)) => DirectReply::Done(Box::new(report)),
        (409, Ok(report)) => DirectReply::Rejected(Box::new(report)),
        (400, _) => DirectReply::NotSent,
        _ => DirectReply::Unclear,
    }
}
