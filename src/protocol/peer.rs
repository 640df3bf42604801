//! What controllers tell each other, as `bitcode` frames.

use bitcode::{Decode, Encode};
use marblewalk_admission::pool::Turn;
use marblewalk_admission::rate_plan::{LoadReport, RatePlan};
use marblewalk_recovery::MessagePosition;

use super::job::Final;
use super::units::Micros;
use super::worker::{Cause, TaskId, TaskState};

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct TaskStatus {
    pub task: TaskId,
    pub attempt: u64,
    pub state: TaskState,
    pub cause: Option<Cause>,
}

/// A machine as its owner knows it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MachineStatus {
    pub machine: String,
    /// The grant under which this was learned.
    pub token: u64,
    /// The list of tasks is complete: nothing older can still change it.
    pub resolved: bool,
    /// A fresh token is wanted: an order sent directly may still arrive.
    pub renew: bool,
    pub addr: String,
    pub up: bool,
    pub apart: bool,
    pub notice: bool,
    /// It neither reports nor answers.
    pub lost: bool,
    /// Since when nothing runs here, on the sender's clock.
    pub idle_since: Option<Micros>,
    /// When it was last heard, on the sender's clock, if that is longer ago than a report may be late.
    pub silent_since: Option<Micros>,
    pub tasks: Vec<TaskStatus>,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StopRequest {
    pub machine: String,
    pub task: TaskId,
    pub attempt: u64,
    pub grace_ms: u64,
}

/// A job that is over, by the state service's records.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Ended {
    pub job: String,
    pub state: Final,
    /// How many tasks it had.
    pub tasks: u32,
    /// The revision that recorded it.
    pub revision: u64,
}

/// How far a worker's messages have been read.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Tally {
    pub machine: String,
    pub session: u64,
    pub tally: u64,
}

/// The regular message from one controller to all others. Of machines it says what has changed since
/// the message before it: whoever has missed one asks for all.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Status {
    /// Counts the sender's statuses to all, in its present life.
    pub sequence: u64,
    /// How many statuses to single controllers have followed the last one to all: those have its number too.
    pub single: u32,
    /// `machines` holds all of the sender's.
    pub whole: bool,
    /// It announces starts that wait for the receiver's confirmation.
    pub confirm: bool,
    /// The view before which the sender announced nothing that is not confirmed; 0: something may be.
    pub cleared: u64,
    /// The sender's clock, for the instants in `machines`.
    pub clock: Micros,
    /// Revision up to which the sender has applied the store's changes.
    pub applied: u64,
    /// The sender's registration, which is also its entitlement.
    pub stamp: u64,
    /// The sender reached the store a moment ago.
    pub store_ok: bool,
    /// All that the sender took over is accounted for.
    pub adopted: bool,
    /// Per limited team: processors and accelerators in use by the sender's jobs.
    pub usage: Vec<(String, u64, u64)>,
    /// That is what runs or may yet be started, and nothing is counted for what only may be somewhere.
    pub usage_exact: bool,
    pub machines: Vec<MachineStatus>,
    pub tallies: Vec<Tally>,
    pub stops: Vec<StopRequest>,
    /// Jobs that the sender has recorded as over, or found to be.
    pub over: Vec<Ended>,
    /// Controllers that refuse the sender's connections and have fallen silent.
    pub unheard: Vec<String>,
    /// Controllers whose workers have turned to the sender.
    pub deserted: Vec<String>,
}

impl Status {
    /// Its place among all statuses that the sender has made under its registration.
    pub fn position(&self) -> MessagePosition {
        MessagePosition { broadcast: self.sequence, unicast: self.single }
    }
}

/// How many tasks an admitted job may have at a time, and when its turn comes.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Volume {
    pub job: String,
    pub tasks: u32,
    pub turn: Turn,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    Status(Status),
    /// The sender wants to hear of all the receiver's machines: it has missed a status.
    Again,
    /// The sender, under this registration, takes jobs over: what does the receiver know of machines that are not known
    /// in full?
    Witness {
        stamp: u64,
        question: u64,
    },
    /// Machines, whoever holds them, of which the sender, under this registration, knows all that may be
    /// there though their holders do not say so yet.
    Testimony {
        stamp: u64,
        /// The registration that asked.
        asker: u64,
        question: u64,
        machines: Vec<MachineStatus>,
    },
    /// The sender, under this registration, has taken in all statuses of the receiver's up to this number.
    Seen {
        stamp: u64,
        /// The registration under which the receiver sent them.
        asker: u64,
        sequence: u64,
    },
    /// The leader's volumes, one for each admitted job.
    Volumes {
        leader: u64,
        round: u64,
        volumes: Vec<Volume>,
        /// Room on some machines is kept for jobs of a class that must start sooner than any machine
        /// boots: machine and class.
        kept: Vec<(String, String)>,
        /// Zones in which room is held back for a gang that fits nowhere: zone, or none for all, and
        /// job.
        reserved: Vec<(String, String)>,
        /// Tasks to stop of jobs above their volume, for one that has waited below its own.
        surplus: Vec<(String, u32)>,
    },
    /// What the sender is offered at its door, and what it holds of the store's limits.
    Door(LoadReport),
    /// The leader's parts of the limits and rates of flows.
    Plan(RatePlan),
    /// Where machines can be reached, as the cloud lists them.
    Addresses(Vec<(String, String)>),
    /// A machine reports to the sender, whose it is not: perhaps it cannot reach its owner.
    Heard {
        machine: String,
    },
    /// A machine that reports but is not in any block.
    Stray {
        machine: String,
        kind: String,
        zone: String,
        spot: bool,
    },
}

impl PeerMessage {
    /// The registration that a reply is meant for; none of a message that is no reply.
    ///
    /// Statuses and questions are numbered within a process, and the address outlives it: a reply that is late reaches the
    /// next process, or the next registration of the same one, which has sent other things under these numbers.
    pub fn meant_for(&self) -> Option<u64> {
        match self {
            PeerMessage::Seen { asker, .. } | PeerMessage::Testimony { asker, .. } => Some(*asker),
            _ => None,
        }
    }
}
