//! Why calls to the state service and the cloud were made, kept until their replies come.

use std::collections::BTreeSet;

use marblewalk_recovery::Incarnation;

use crate::coordination::RequestId;
use crate::protocol::cloud::Rental;
use crate::protocol::job::JobSpec;
use crate::protocol::units::Micros;

/// What a user asks of a job.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    pub request: RequestId,
    pub job: String,
    /// When its user has gone.
    pub until: Micros,
}

/// What the records are looked through for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wanted {
    /// The job's state.
    State,
    /// To withdraw it.
    Withdrawal,
    /// Whether a submission that cannot run was accepted before; else it is refused, with this reason.
    Refusal(&'static str),
}

/// What the lack of a record of the job's end means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Missing {
    /// Nothing: it has been accepted, and may have been live meanwhile.
    Nothing,
    /// It has never been accepted, as of then: its live record had been looked for before.
    Unknown { as_of: Micros, wanted: Wanted },
}

/// Why a call to the state service was made.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    FormerLife,
    ReleaseFormer,
    Lease,
    Register {
        lease: u64,
    },
    Load,
    Follow,
    Renew,
    Lead,
    Evict,
    Grant,
    Accept {
        request: RequestId,
        spec: Box<JobSpec>,
    },
    /// Is the job live? If not, is it over?
    LookLive {
        question: Question,
        wanted: Wanted,
    },
    /// Are these jobs live?
    CheckLive {
        polls: Vec<Question>,
    },
    LookFinal {
        question: Question,
        /// What to do if it is not over either.
        missing: Missing,
    },
    Withdraw {
        question: Question,
        tasks: u32,
    },
    Complete {
        job: String,
        tasks: u32,
    },
    Progress {
        job: String,
        chunk: usize,
    },
    RentalStored {
        rental: Rental,
    },
    RentalClosed {
        request: String,
    },
    Cleanup,
    Finals,
    Quota,
    Uninformed {
        record: BTreeSet<Incarnation>,
    },
}

/// Why a call to the cloud was made.
#[derive(Clone, Debug)]
pub(crate) enum CloudPurpose {
    Types,
    Rent(Rental),
    Return(Vec<String>),
    List,
}
