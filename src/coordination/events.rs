//! The inputs and outputs of a controller: the events that it handles and the effects that it requests.

use crate::protocol::cloud::{CloudCall, CloudReply};
use crate::protocol::job::{JobSpec, JobState};
use crate::protocol::peer::PeerMessage;
use crate::protocol::store::{StoreCall, StoreReply};
use crate::protocol::worker::{DirectOrders, DirectReply, Report, ReportAnswer};

/// Identifies an external request that waits for its [`Answer`].
pub type RequestId = u64;
/// Identifies a call to the state service or the cloud.
pub type CallId = u64;

/// An input to a controller.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    Store(CallId, StoreReply),
    Cloud(CallId, CloudReply),
    Peer(String, PeerMessage),
    /// The named controller refused a connection.
    ConnectionRefused(String),
    Report(RequestId, Report),
    /// A worker's reply to direct orders sent under `token`.
    WorkerReply {
        machine: String,
        token: u64,
        reply: DirectReply,
    },
    Submit(RequestId, Box<JobSpec>),
    Query(RequestId, String),
    Withdraw(RequestId, String),
}

/// An action that the caller of a controller is to carry out.
#[derive(Debug)]
pub enum Effect {
    Store(CallId, StoreCall),
    Cloud(CallId, CloudCall),
    Answer(RequestId, Answer),
    /// Orders to a worker's own address.
    Orders {
        machine: String,
        addr: String,
        orders: DirectOrders,
    },
    /// A message to the named controller, or to all others if none is named.
    Send(Option<String>, PeerMessage),
}

/// The answer to an external request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Orders(ReportAnswer),
    /// The worker is to report to another controller: the one named, or the next one in its list.
    Redirect(Option<String>),
    Job {
        created: bool,
        id: String,
        state: JobState,
        done: u32,
        running: u32,
    },
    NotFound,
    Rejected(&'static str),
    /// The request is deferred; the client should retry after this many seconds.
    RetryLater(u32),
}
