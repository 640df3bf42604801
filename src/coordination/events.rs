//! What a controller is told, and what it asks to be done: events and times go in, effects come out.

use crate::protocol::cloud::{CloudCall, CloudReply};
use crate::protocol::job::{JobSpec, JobState};
use crate::protocol::peer::PeerMessage;
use crate::protocol::store::{StoreCall, StoreReply};
use crate::protocol::worker::{DirectOrders, DirectReply, Report, ReportAnswer};

/// Names a request from outside that waits for its [`Answer`].
pub type RequestId = u64;
/// Names a call to the state service or the cloud.
pub type CallId = u64;

/// What has happened.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    Store(CallId, StoreReply),
    Cloud(CallId, CloudReply),
    Peer(String, PeerMessage),
    /// A controller refused a connection.
    Refused(String),
    Report(RequestId, Report),
    /// A worker's reply to direct orders under a token.
    Worker {
        machine: String,
        token: u64,
        reply: DirectReply,
    },
    Submit(RequestId, Box<JobSpec>),
    Query(RequestId, String),
    Withdraw(RequestId, String),
}

/// What is to be done.
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
    /// To one controller, or to all others.
    Send(Option<String>, PeerMessage),
}

/// The answer to a request from outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Orders(ReportAnswer),
    /// Report elsewhere: to the member named, or to the next one.
    Elsewhere(Option<String>),
    Job {
        created: bool,
        id: String,
        state: JobState,
        done: u32,
        running: u32,
    },
    NotFound,
    Impossible(&'static str),
    /// Not now: come back after so many seconds.
    Later(u32),
}
