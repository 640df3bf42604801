//! How old what a controller knows may be: whoever answers a worker, starts or vouches does so on knowledge of bounded
//! age, and is silent otherwise.
//!
//! A controller acts until its lease's term after the *older* of two requests to the state service that were answered,
//! each counted from before it was sent: the last renewal of its registration, and the last that brought all changes.
//! Either alone proves nothing. A renewal says that nobody has been given its machines, and nothing of what has
//! happened to jobs: when the state service is back after an outage, all leases have their full time again, and a
//! controller that had been refused before could renew its own before it had read one change; it answered its workers
//! and started tasks of jobs that had been withdrawn a minute ago.
//!
//! So nothing is started and no worker's lease renewed by a controller that does not know of a withdrawal a term after
//! it was confirmed, and a worker's lease later its tasks are gone: `Settings::leave_room` checks the sum.

use crate::coordination::{Controller, DRIFT, Phase};
use crate::protocol::units::Micros;
use crate::protocol::worker::{DirectOrders, Order, ReportAnswer};

/// Shows that a controller may act at this moment: answers to reports and orders are made with one, and there is no
/// other way to one than to have asked.
pub(crate) struct Proof(());

impl Proof {
    /// The answer to a report, which renews the worker's lease.
    pub(super) fn answer(&self, token: u64, orders: Vec<Order>) -> ReportAnswer {
        ReportAnswer { token, orders }
    }

    /// Orders to a worker's own address.
    pub(super) fn order(&self, token: u64, session: u64, orders: Vec<Order>) -> DirectOrders {
        DirectOrders { token, session, orders }
    }
}

/// Why a controller is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Silence {
    /// It has no registration, or has not loaded the records yet.
    Unjoined,
    /// Its registration was not renewed in time.
    Unrenewed,
    /// It has not read in time what has changed.
    Unfollowed,
}

impl Controller {
    /// How long what was learned by a request sent then may be relied on.
    pub(super) fn until(&self, sent: Micros) -> Micros {
        let margin = Micros::from_millis(100) + self.lease_term.mul_f64(DRIFT);
        sent + self.lease_term.since(margin)
    }

    /// Why this controller may not act now, if so.
    pub(crate) fn silence(&self) -> Option<Silence> {
        match &self.lease {
            Some(lease) if self.phase == Phase::Active => {
                if lease.valid_until <= self.now {
                    Some(Silence::Unrenewed)
                } else if self.until(self.followed_at) <= self.now {
                    Some(Silence::Unfollowed)
                } else {
                    None
                }
            }
            _ => Some(Silence::Unjoined),
        }
    }

    pub(crate) fn proof(&self) -> Option<Proof> {
        self.silence().is_none().then_some(Proof(()))
    }

    /// Whether this controller may give orders, answer reports and vouch for its jobs.
    pub fn entitled(&self) -> bool {
        self.silence().is_none()
    }

    /// How old the older of the two proofs is; zero where there is no registration.
    pub fn knowledge_age(&self) -> Micros {
        let oldest = self.lease.as_ref().map(|l| l.proved.min(self.followed_at));
        oldest.map_or(Micros::ZERO, |at| self.now.since(at))
    }

    /// Tells the operators when this controller falls silent, and when it acts again.
    pub(super) fn note_silence(&mut self) {
        let silence = self.silence();
        if silence == self.silent {
            return;
        }
        let age_s = self.knowledge_age().as_secs_f64();
        match silence {
            Some(why) if self.silent.is_none() => tracing::warn!(?why, age_s, "silent"),
            None => tracing::info!(was = ?self.silent, age_s, "acts again"),
            _ => {}
        }
        self.silent = silence;
    }
}
