//! Purposes of calls to the state service and the cloud, kept until their replies arrive.

use std::collections::BTreeSet;

use marblewalk_recovery::Incarnation;

use crate::coordination::RequestId;
use crate::protocol::cloud::Rental;
use crate::protocol::job::JobSpec;
use crate::protocol::units::Micros;

/// A user's request about a job.
#[derive(Clone, Debug)]
pub(crate) struct JobQuery {
    pub request: RequestId,
    pub job: String,
    /// When the user stops waiting for the answer.
    pub deadline: Micros,
}

/// Why a job's records are looked up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookupGoal {
    /// To answer with the job's state.
    State,
    /// To withdraw the job.
    Withdrawal,
    /// To check whether a submission that cannot run was accepted before. If not, it is rejected with this reason.
    Rejection(&'static str),
}

/// The meaning of a job's missing final record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IfNotFound {
    /// It proves nothing: the job was accepted, and may have been live in the meantime.
    Inconclusive,
    /// The job had never been accepted as of this time, when its live record was looked up and was missing too.
    NeverAccepted { as_of: Micros, goal: LookupGoal },
}

/// The purpose of a call to the state service.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    /// Reads the registration that a former process of this controller may have left.
    FindFormerRegistration,
    ReleaseFormerLease,
    /// Creates the lease for a new registration.
    Lease,
    Register {
        lease: u64,
    },
    /// Loads a page of the records.
    Load,
    /// Waits for changes of the records.
    Follow,
    /// Renews the lease.
    Renew,
    TakeLeadership,
    Evict,
    Grant,
    Accept {
        request: RequestId,
        spec: Box<JobSpec>,
    },
    /// Looks up whether a job is live; if not, its final record is looked up next.
    LookUpLive {
        query: JobQuery,
        goal: LookupGoal,
    },
    /// Checks in one transaction whether these jobs are live.
    CheckLive {
        polls: Vec<JobQuery>,
    },
    /// Looks up a job's final record.
    LookUpFinal {
        query: JobQuery,
        /// The meaning of a missing final record.
        if_not_found: IfNotFound,
    },
    Withdraw {
        query: JobQuery,
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
    ReadFinals,
    Quota,
    Uninformed {
        record: BTreeSet<Incarnation>,
    },
}

/// The purpose of a call to the cloud.
#[derive(Clone, Debug)]
pub(crate) enum CloudPurpose {
    Types,
    Rent(Rental),
    Return(Vec<String>),
    List,
}
