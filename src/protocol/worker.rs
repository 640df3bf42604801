//! What workers report and what they are ordered.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// One task of one job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct TaskId {
    pub job: String,
    pub index: u32,
}

impl TaskId {
    pub fn new(job: &str, index: u32) -> Self {
        TaskId { job: job.to_owned(), index }
    }

    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.split_once('/')?;
        Some(TaskId { job: job.to_owned(), index: index.parse().ok()? })
    }

    pub fn text(&self) -> String {
        format!("{}/{}", self.job, self.index)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub enum TaskState {
    #[serde(rename = "fetching")]
    Fetching,
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "saving")]
    Saving,
    #[serde(rename = "ended")]
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub enum Cause {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "peers")]
    Peers,
    #[serde(rename = "incomplete")]
    Alone,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "full")]
    NoRoom,
    #[serde(rename = "in_use")]
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
    /// A reason this version does not know: treated as a plain end.
    #[serde(other)]
    Other,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReportedTask {
    #[serde(rename = "Piece")]
    pub task: String,
    #[serde(rename = "Launch")]
    pub attempt: u64,
    #[serde(rename = "Status")]
    pub state: TaskState,
    #[serde(rename = "Cause", default)]
    pub cause: Option<Cause>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    #[serde(rename = "Host")]
    pub machine: String,
    #[serde(rename = "Addr", default)]
    pub addr: String,
    #[serde(rename = "Hull")]
    pub kind: String,
    #[serde(rename = "Berth")]
    pub zone: String,
    #[serde(rename = "Standby", default)]
    pub spot: bool,
    #[serde(rename = "Watch")]
    pub session: u64,
    #[serde(rename = "Tally")]
    pub tally: u64,
    #[serde(rename = "Helm", default)]
    pub token: u64,
    #[serde(rename = "WarningS", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "Pieces", default)]
    pub tasks: Vec<ReportedTask>,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "Verb")]
pub enum Order {
    #[serde(rename = "run")]
    Start {
        #[serde(rename = "Piece")]
        task: String,
        #[serde(rename = "Launch")]
        attempt: u64,
    },
    #[serde(rename = "kill")]
    Stop {
        #[serde(rename = "Piece")]
        task: String,
        #[serde(rename = "Launch")]
        attempt: u64,
        #[serde(rename = "LeewayS")]
        grace_s: f64,
    },
    #[serde(rename = "forget")]
    Forget {
        #[serde(rename = "Piece")]
        task: String,
        #[serde(rename = "Launch")]
        attempt: u64,
    },
}

/// Orders sent to a worker's own address.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DirectOrders {
    #[serde(rename = "Helm")]
    pub token: u64,
    #[serde(rename = "Watch")]
    pub session: u64,
    #[serde(rename = "Orders")]
    pub orders: Vec<Order>,
}

/// What came of them.
#[derive(Clone, Debug)]
pub enum DirectReply {
    /// Carried out, and how the worker stands after it.
    Done(Box<Report>),
    /// Nothing was carried out: another token or session.
    Rejected(Box<Report>),
    /// The worker was never reached.
    NotSent,
    /// They may have been carried out, or may yet be.
    Unclear,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReportAnswer {
    #[serde(rename = "Helm")]
    pub token: u64,
    #[serde(rename = "Orders")]
    pub orders: Vec<Order>,
}
