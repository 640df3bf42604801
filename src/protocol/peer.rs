//! Messages between controllers, encoded with `bitcode`. The encoding is positional: the order of fields and variants
//! is part of the wire format.

use bitcode::{Decode, Encode};
use marblewalk_admission::pool::Turn;
use marblewalk_admission::rate_plan::{LoadReport, RatePlan};
use marblewalk_recovery::MessagePosition;

use super::job::FinalState;
use super::units::Micros;
use super::worker::{Cause, TaskId, TaskState};

/// A task on a machine as the machine's owner knows it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct TaskStatus {
    pub task: TaskId,
    /// Number of the start, which tells this attempt from other starts of the task.
    pub attempt: u64,
    pub state: TaskState,
    /// Why the task ended, if it did and the reason is known.
    pub cause: Option<Cause>,
}

/// A machine as its owner, the controller that it is granted to, knows it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MachineStatus {
    pub machine: String,
    /// Token of the grant under which this state was learned.
    pub token: u64,
    /// The list of tasks is complete: no earlier order or owner can still change it.
    pub resolved: bool,
    /// The machine needs a new fencing token, because an order that was sent to it directly may still arrive.
    pub token_renewal_needed: bool,
    /// Address for direct orders; empty if it is not known.
    pub addr: String,
    /// A report or a reply of the machine has arrived under the present grant.
    pub up: bool,
    /// No tasks are started on the machine, because jobs that run elsewhere fail there, or because it receives no
    /// answers.
    pub quarantined: bool,
    /// The cloud has given notice that it will take the machine back.
    pub preemption_notice: bool,
    /// The machine did not answer direct calls, and none of its reports has arrived since; or it is not receiving.
    pub unresponsive: bool,
    /// Since when the machine has no tasks, on the sender's clock.
    pub idle_since: Option<Micros>,
    /// Time of the machine's last message, on the sender's clock, if that is longer ago than the longest regular gap
    /// between reports.
    pub silent_since: Option<Micros>,
    pub tasks: Vec<TaskStatus>,
}

/// A request to stop a task on a machine that the receiver owns.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StopRequest {
    pub machine: String,
    pub task: TaskId,
    pub attempt: u64,
    /// Time that the task gets for saving its state.
    pub grace_ms: u64,
}

/// A job that has ended according to the records in the state service.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct EndedJob {
    pub job: String,
    pub state: FinalState,
    /// Total number of tasks of the job.
    pub tasks: u32,
    /// Revision of the state service at which the end was recorded.
    pub revision: u64,
}

/// Position of the last message of a worker that the machine's owner has processed.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Tally {
    pub machine: String,
    pub session: u64,
    /// Number of that message within the session.
    pub tally: u64,
}

/// The status message that a controller regularly sends to all others.
///
/// It normally contains only the machines whose state has changed since the previous status. A controller that has
/// missed one sends a [`PeerMessage::ResyncRequest`] and receives a full status.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Status {
    /// Number of the sender's last broadcast status under its present registration; that of this status if it is a
    /// broadcast.
    pub sequence: u64,
    /// How many statuses the sender has sent to single controllers since that broadcast.
    pub unicast_statuses: u32,
    /// `machines` contains all machines of the sender, not only the changed ones.
    pub full: bool,
    /// The status announces starts or withdrawals that wait for the receiver's confirmation.
    pub needs_confirmation: bool,
    /// Revision of the sender's present view if every announcement before that view is confirmed, or known to be
    /// missing by the controllers that have not confirmed it; otherwise 0.
    pub confirmed_before_view: u64,
    /// The sender's clock when the status was made: the receiver converts the times in `machines` with it.
    pub clock: Micros,
    /// Revision of the state service up to which the sender has applied changes.
    pub applied_revision: u64,
    /// Revision of the sender's registration record.
    pub registration: u64,
    /// The state service has answered the sender within the last two seconds.
    pub store_reachable: bool,
    /// The sender is in the view, and no takeover of jobs is in progress there.
    pub takeover_complete: bool,
    /// Processors and accelerators in use by the sender's jobs, for each team with a quota.
    pub usage: Vec<(String, u64, u64)>,
    /// `usage` counts only tasks that run or may still be started, and none that are merely not known to have ended.
    pub usage_exact: bool,
    pub machines: Vec<MachineStatus>,
    pub tallies: Vec<Tally>,
    pub stop_requests: Vec<StopRequest>,
    /// Jobs whose end the sender has recorded or found recorded.
    pub ended_jobs: Vec<EndedJob>,
    /// Controllers that the sender suspects to have failed, because they refuse its connections or send no messages.
    pub suspects: Vec<String>,
    /// Controllers whose workers have started to report to the sender instead.
    pub deserted_controllers: Vec<String>,
}

impl Status {
    /// Position in the order in which the sender made its statuses under this registration.
    pub fn position(&self) -> MessagePosition {
        MessagePosition { broadcast: self.sequence, unicast: self.unicast_statuses }
    }
}

/// How many tasks an admitted job may have at a time, and when it may start them relative to other jobs.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Volume {
    pub job: String,
    pub tasks: u32,
    pub turn: Turn,
}

/// A message from one controller to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    Status(Status),
    /// Asks the receiver for a full status, because the sender has missed one.
    ResyncRequest,
    /// Asks a witness, during a takeover of jobs, which tasks may be on machines that the sender does not know in full.
    WitnessQuery {
        /// Registration of the sender.
        registration: u64,
        /// Number of the query.
        query: u64,
    },
    /// The answer to a `WitnessQuery`: machines of which the sender knows every task that may be there, though their
    /// owners have not reported them in full.
    WitnessAnswer {
        /// Registration of the sender.
        registration: u64,
        /// Registration under which the query was sent.
        requester_registration: u64,
        /// Number of the query.
        query: u64,
        machines: Vec<MachineStatus>,
    },
    /// Confirms that the sender has applied all statuses of the receiver up to `sequence`.
    StatusConfirmation {
        /// Registration of the sender.
        registration: u64,
        /// Registration under which the receiver sent the statuses.
        requester_registration: u64,
        sequence: u64,
    },
    /// The leader's volumes, one for each admitted job.
    Volumes {
        /// Registration of the leader.
        leader_registration: u64,
        /// Number of the leader's round.
        round: u64,
        volumes: Vec<Volume>,
        /// Machine and job class: room on the machine is kept for jobs of a class that must start sooner than a new
        /// machine boots.
        fast_start_reservations: Vec<(String, String)>,
        /// Zone and job: room in the zone, or in all zones if it is empty, is held for a gang that fits nowhere yet.
        gang_reservations: Vec<(String, String)>,
        /// Job and number of its tasks to stop: the job is above its volume while another waits below its own.
        surplus: Vec<(String, u32)>,
    },
    /// Submissions offered to the sender, and the part of the state service's rate limits that it holds and wants.
    LoadReport(LoadReport),
    /// The leader's division of the rate limits, and the admitted fraction of each flow of submissions.
    RatePlan(RatePlan),
    /// Machines and their addresses, as the cloud lists them.
    Addresses(Vec<(String, String)>),
    /// Tells the leader that a machine reports to the sender, which does not own it: the machine may be unable to reach
    /// its owner.
    MisdirectedReport {
        machine: String,
    },
    /// Tells the leader of a machine that sends reports but is in no block record.
    UnrecordedMachine {
        machine: String,
        kind: String,
        zone: String,
        spot: bool,
    },
}

impl PeerMessage {
    /// The registration that a reply is addressed to; `None` if the message is not a reply.
    ///
    /// Statuses and queries are numbered within a process, while the address outlives it. A late reply may reach a
    /// later process, or a later registration of the same process, which has used the same numbers for other messages.
    pub fn target_registration(&self) -> Option<u64> {
        match self {
            PeerMessage::StatusConfirmation { requester_registration, .. }
            | PeerMessage::WitnessAnswer { requester_registration, .. } => Some(*requester_registration),
            _ => None,
        }
    }
}
