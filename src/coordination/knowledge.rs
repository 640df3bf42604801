//! Bounds the age of the knowledge that a controller acts on.
//!
//! A controller answers workers, starts tasks and answers users about its jobs only while its knowledge is recent
//! enough; otherwise it is inactive. It may act for one lease term after the *older* of two successful requests to the
//! state service, counted from the time each was sent: the last renewal of its lease, and the last request that
//! returned all changes.
//!
//! Neither is sufficient alone. A renewal shows that the controller's machines were not granted to others, but nothing
//! about jobs. After an outage of the state service all leases get their full term again, so a controller that had been
//! refused could renew its lease before it had read a single change: it answered its workers and started tasks of jobs
//! that had been withdrawn a minute earlier.
//!
//! With this bound, a controller that does not know of a withdrawal starts nothing and renews no worker's lease once a
//! lease term has passed since the withdrawal was confirmed. One worker lease later the job's tasks are gone.
//! `Settings::check_cancel_deadline` checks the sum of these times.

use crate::coordination::{CLOCK_DRIFT, Controller, LEASE_SLACK, Phase};
use crate::protocol::units::Micros;
use crate::protocol::worker::{DirectOrders, Order, ReportAnswer};

/// Proof that the controller may act at this moment.
///
/// Answers to reports and direct orders can only be built from it, and only [`Controller::authorization`] creates it.
pub(crate) struct Authorization(());

impl Authorization {
    /// The answer to a report, which renews the worker's lease.
    pub(super) fn answer(&self, token: u64, orders: Vec<Order>) -> ReportAnswer {
        ReportAnswer { token, orders }
    }

    /// Orders to a worker's own address.
    pub(super) fn order(&self, token: u64, session: u64, orders: Vec<Order>) -> DirectOrders {
        DirectOrders { token, session, orders }
    }
}

/// Why a controller is inactive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InactiveReason {
    /// It is not registered, or has not loaded the records yet.
    Unjoined,
    /// Its lease was not renewed in time.
    Unrenewed,
    /// It has not read the changes of the records in time.
    Unfollowed,
}

/// Whether a job is still live, given a reply of the state service that showed it as live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// The job is live as of the revision that this controller has applied.
    Live,
    /// The job's record has been applied and deleted since, so the job has ended.
    Ended,
    /// The reply is too old or this controller may not act. Another controller may have ended the job and told its
    /// user.
    Uncertain,
}

/// Maximum age of a state service reply on which a user gets the answer that a job is live, or unknown. Replies take
/// milliseconds, and occasionally a few hundred.
const MAX_LOOKUP_AGE: Micros = Micros::from_millis(500);

impl Controller {
    /// The time until which the reply to a request sent at `sent` may be relied on.
    pub(super) fn valid_until(&self, sent: Micros) -> Micros {
        let margin = Micros::from_millis(100) + self.lease_term.mul_f64(CLOCK_DRIFT);
        sent + self.lease_term.since(margin)
    }

    /// Whether the reply to a request sent at `sent` is recent enough to answer a user with.
    ///
    /// If the state service is slow, another controller may have given the job's user a newer answer in the meantime.
    pub(super) fn is_recent(&self, sent: Micros) -> bool {
        self.now.since(sent) <= MAX_LOOKUP_AGE && self.entitled()
    }

    /// Whether a job is still live that the state service reported as live, in reply to a request sent at `sent`.
    /// `record_revision` is the revision of the job's record, if the reply contains it.
    pub(super) fn liveness(&self, job: &str, sent: Micros, record_revision: Option<u64>) -> Liveness {
        if !self.is_recent(sent) {
            Liveness::Uncertain
        } else if self.jobs.contains_key(job)
            || record_revision.is_some_and(|revision| revision > self.applied_revision)
        {
            Liveness::Live
        } else {
            Liveness::Ended
        }
    }

    /// The time from which every controller has read the changes up to `revision` or is inactive, derived from when
    /// this controller read them.
    pub(super) fn read_by_all_at(&self, revision: u64) -> Micros {
        let read = self.read_history.iter().find(|(applied, _)| *applied >= revision).map(|(_, at)| *at);
        read.unwrap_or(self.now) + self.lease_term
    }

    /// Records that the changes up to the applied revision have been read now. Entries are a sixteenth of a lease term
    /// apart, which is precise enough for [`Controller::read_by_all_at`].
    pub(super) fn record_read_revision(&mut self) {
        let interval = Micros(self.lease_term.0 / 16);
        if self.read_history.back().is_some_and(|(_, at)| self.now.since(*at) < interval) {
            return;
        }
        self.read_history.push_back((self.applied_revision, self.now));
        // Of the entries older than a lease term only the newest is needed.
        while self.read_history.get(1).is_some_and(|(_, at)| self.now.since(*at) > self.lease_term) {
            self.read_history.pop_front();
        }
    }

    /// Whether an evicted controller may still be active. It may not know of the eviction until its lease, possibly
    /// renewed just before, has expired, unless it has registered again.
    pub(super) fn evicted_may_act(&self) -> bool {
        let term = self.lease_term + self.lease_term.mul_f64(CLOCK_DRIFT) + LEASE_SLACK;
        let registered_again = |member: &String, eviction: u64| {
            self.registrations.get(member).is_some_and(|registration| *registration > eviction)
        };
        let mut evictions = self.evictions.iter();
        evictions.any(|(member, (at, revision))| {
            self.now.since(*at) <= term && !registered_again(member, *revision)
        })
    }

    /// Why this controller may not act now; `None` if it may.
    pub(crate) fn inactive_reason(&self) -> Option<InactiveReason> {
        match &self.lease {
            Some(lease) if self.phase == Phase::Active => {
                if lease.valid_until <= self.now {
                    Some(InactiveReason::Unrenewed)
                } else if self.valid_until(self.replica_as_of) <= self.now {
                    Some(InactiveReason::Unfollowed)
                } else {
                    None
                }
            }
            _ => Some(InactiveReason::Unjoined),
        }
    }

    /// A proof that this controller may act now, if it may.
    pub(crate) fn authorization(&self) -> Option<Authorization> {
        self.inactive_reason().is_none().then_some(Authorization(()))
    }

    /// Whether this controller may give orders, answer reports and answer users about its jobs.
    pub fn entitled(&self) -> bool {
        self.inactive_reason().is_none()
    }

    /// Age of the older of the last lease renewal and the last request for changes; zero without a registration.
    pub fn knowledge_age(&self) -> Micros {
        let oldest = self.lease.as_ref().map(|l| l.confirmed_at.min(self.replica_as_of));
        oldest.map_or(Micros::ZERO, |at| self.now.since(at))
    }

    /// Logs when this controller becomes inactive and when it becomes active again.
    pub(super) fn log_inactivity_change(&mut self) {
        let reason = self.inactive_reason();
        if reason == self.last_inactive_reason {
            return;
        }
        let age_s = self.knowledge_age().as_secs_f64();
        match reason {
            Some(why) if self.last_inactive_reason.is_none() => {
                tracing::warn!(?why, age_s, "became inactive")
            }
            None => tracing::info!(was = ?self.last_inactive_reason, age_s, "became active"),
            _ => {}
        }
        self.last_inactive_reason = reason;
    }
}
