//! Whether a controller should get requests, and the figures of its state that operators see.

use crate::bookkeeping::call_queue::Urgency;
use crate::coordination::{Controller, Phase};
use crate::protocol::units::Micros;

impl Controller {
    /// Whether the load balancer should send requests to this controller.
    ///
    /// During an outage of the state service all controllers stay healthy and defer requests, because removing them
    /// from the load balancer would only prolong the outage. A controller is unhealthy if it cannot reach the state
    /// service while others can.
    pub fn healthy(&self) -> bool {
        if self.phase != Phase::Active {
            return false;
        }
        let fresh = Micros::from_secs(3);
        let reached_lately = self.now.since(self.last_store_reply_at) < fresh + Micros::from_secs(6);
        let reached_by_others = self.peers.values().any(|p| {
            self.now.since(p.last_received_at) < fresh && p.status.as_ref().is_some_and(|s| s.store_reachable)
        });
        reached_lately && self.now.since(self.last_store_reply_at) < fresh
            || !reached_by_others
            || (self.entitled() && reached_lately)
    }

    pub fn leading(&self) -> bool {
        self.leader_state.is_some()
    }

    /// The numbers of own machines and of all machines.
    pub fn machine_counts(&self) -> (usize, usize) {
        let own = self.machines.values().filter(|m| self.owns(m)).count();
        (own, self.machines.len())
    }

    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Number of machines that are not accounted for yet since jobs were taken over.
    pub fn unresolved_machine_count(&self) -> usize {
        self.unresolved_machines.len()
    }

    /// Whether announced starts wait for another controller's confirmation.
    pub fn has_unconfirmed_starts(&self) -> bool {
        self.announcements.has_unconfirmed()
    }

    /// Number of records that this version cannot read.
    pub fn unreadable_record_count(&self) -> usize {
        self.unreadable_keys.len()
    }

    /// Number of calls to the state service that are queued.
    pub fn waiting_store_calls(&self) -> usize {
        self.store_calls.waiting_calls(Urgency::Other)
    }
}
