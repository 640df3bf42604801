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
//! it was confirmed, and a worker's lease later its tasks are gone: `Settings::check_cancel_deadline` checks the sum.

use crate::coordination::{Controller, DRIFT, Phase, SLACK};
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

/// What is known of a job that the store has shown to be live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// It is, as far as this controller has followed.
    Live,
    /// Its record was read before, and has gone since: it is over.
    Left,
    /// That was too long ago, or this controller may not act: others may have ended it and told its user.
    Uncertain,
}

/// How old the store's word may be on which a user is told that a job is live, or unknown. Its replies take
/// milliseconds, and a few hundred now and then.
const RECENT: Micros = Micros::from_millis(500);

impl Controller {
    /// How long what was learned by a request sent then may be relied on.
    pub(super) fn until(&self, sent: Micros) -> Micros {
        let margin = Micros::from_millis(100) + self.lease_term.mul_f64(DRIFT);
        sent + self.lease_term.since(margin)
    }

    /// Whether what a request showed that was sent then is recent enough to tell a user.
    ///
    /// A slow store's reply may be older than what another controller has told the job's user meanwhile.
    pub(super) fn recent(&self, sent: Micros) -> bool {
        self.now.since(sent) <= RECENT && self.entitled()
    }

    /// What to make of the store's word that a job was live, in reply to a request sent then.
    pub(super) fn liveness(&self, job: &str, sent: Micros, stamp: Option<u64>) -> Liveness {
        if !self.recent(sent) {
            Liveness::Uncertain
        } else if self.jobs.contains_key(job) || stamp.is_some_and(|s| s > self.applied) {
            Liveness::Live
        } else {
            Liveness::Left
        }
    }

    /// From when on no controller acts that has not read the changes up to this revision, by what this one has read
    /// and when.
    pub(super) fn silent_without(&self, revision: u64) -> Micros {
        let read = self.read_by.iter().find(|(applied, _)| *applied >= revision).map(|(_, at)| *at);
        read.unwrap_or(self.now) + self.lease_term
    }

    /// Notes that the changes up to here have been read now: often enough to tell a lease's term by.
    pub(super) fn note_read(&mut self) {
        let spaced = Micros(self.lease_term.0 / 16);
        if self.read_by.back().is_some_and(|(_, at)| self.now.since(*at) < spaced) {
            return;
        }
        self.read_by.push_back((self.applied, self.now));
        // Of all that is older than a term the newest says enough.
        while self.read_by.get(1).is_some_and(|(_, at)| self.now.since(*at) > self.lease_term) {
            self.read_by.pop_front();
        }
    }

    /// A controller that was evicted and has not registered again may not know: its lease, renewed just before, runs on.
    pub(super) fn evicted_may_act(&self) -> bool {
        let term = self.lease_term + self.lease_term.mul_f64(DRIFT) + SLACK;
        let again = |member: &String, stamp: u64| self.nodes.get(member).is_some_and(|node| *node > stamp);
        let mut evicted = self.evicted.iter();
        evicted.any(|(member, (at, stamp))| self.now.since(*at) <= term && !again(member, *stamp))
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
