//! Reports of workers, and orders to them.

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

    /// Parses the form `<job>/<index>`.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.split_once('/')?;
        Some(TaskId { job: job.to_owned(), index: index.parse().ok()? })
    }

    /// The form `<job>/<index>` that workers use.
    pub fn text(&self) -> String {
        format!("{}/{}", self.job, self.index)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub enum TaskState {
    /// The machine fetches the image.
    #[serde(rename = "fetching")]
    Fetching,
    /// The task waits for the others of its gang.
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    /// The task saves its state before it stops.
    #[serde(rename = "saving")]
    Saving,
    #[serde(rename = "ended")]
    Ended,
}

/// Why a task ended, or why an order to start it was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub enum Cause {
    #[serde(rename = "done")]
    Done,
    /// Stopped by an order.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of its gang ended.
    #[serde(rename = "peers")]
    Peers,
    /// Its gang was not complete in time.
    #[serde(rename = "incomplete")]
    Alone,
    /// The task failed.
    #[serde(rename = "error")]
    Error,
    /// The task did not fit into the machine's free resources.
    #[serde(rename = "full")]
    NoRoom,
    /// Another attempt of the task was still on the machine.
    #[serde(rename = "in_use")]
    Busy,
    /// The job or the task does not exist.
    #[serde(rename = "no_such")]
    Unknown,
    /// A cause that this version does not know: the task counts as ended, neither completed nor failed.
    #[serde(other)]
    Other,
}

/// A task in a worker's report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReportedTask {
    /// `<job>/<index>`, see [`TaskId::parse`].
    #[serde(rename = "Piece")]
    pub task: String,
    /// Number of the start, which tells this attempt from other starts of the task.
    #[serde(rename = "Launch")]
    pub attempt: u64,
    #[serde(rename = "Status")]
    pub state: TaskState,
    #[serde(rename = "Cause", default)]
    pub cause: Option<Cause>,
}

/// A worker's report on its machine and all tasks there.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    #[serde(rename = "Host")]
    pub machine: String,
    /// The worker's address for direct orders.
    #[serde(rename = "Addr", default)]
    pub addr: String,
    /// Name of the machine type.
    #[serde(rename = "Hull")]
    pub kind: String,
    #[serde(rename = "Berth")]
    pub zone: String,
    #[serde(rename = "Standby", default)]
    pub spot: bool,
    /// Number of the worker's session: when its lease expires or it restarts, it ends all tasks and begins a new
    /// session.
    #[serde(rename = "Watch")]
    pub session: u64,
    /// Number of this message. It increases within a session and orders reports and replies to direct orders.
    #[serde(rename = "Tally")]
    pub tally: u64,
    /// The highest fencing token that the worker has received.
    #[serde(rename = "Helm", default)]
    pub token: u64,
    /// Time until the cloud takes the machine back, if it has given notice.
    #[serde(rename = "WarningS", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "Pieces", default)]
    pub tasks: Vec<ReportedTask>,
}

/// An order to a worker. It applies only to the attempt that it names.
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
        /// Time that the task gets for saving its state.
        #[serde(rename = "LeewayS")]
        grace_s: f64,
    },
    /// Removes an ended task from the worker's reports.
    #[serde(rename = "forget")]
    Forget {
        #[serde(rename = "Piece")]
        task: String,
        #[serde(rename = "Launch")]
        attempt: u64,
    },
}

/// Orders sent to a worker's own address, instead of in the answer to a report.
///
/// The worker rejects them if it has received a higher token or is in another session.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DirectOrders {
    #[serde(rename = "Helm")]
    pub token: u64,
    #[serde(rename = "Watch")]
    pub session: u64,
    #[serde(rename = "Orders")]
    pub orders: Vec<Order>,
}

/// The outcome of direct orders.
#[derive(Clone, Debug)]
pub enum DirectReply {
    /// The orders were carried out; the report shows the state after them.
    Done(Box<Report>),
    /// Nothing was carried out: the worker has a higher token or is in another session.
    Rejected(Box<Report>),
    /// The worker received nothing, or found the orders malformed.
    NotSent,
    /// The orders may have been carried out, or may still be.
    Unclear,
}

/// The answer to a worker's report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReportAnswer {
    #[serde(rename = "Helm")]
    pub token: u64,
    #[serde(rename = "Orders")]
    pub orders: Vec<Order>,
}
