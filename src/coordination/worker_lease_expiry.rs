//! Expiry of workers' leases: machines that have been silent for so long that their leases have certainly expired and
//! their tasks have therefore ended.

use std::collections::BTreeMap;

use crate::coordination::removal::RemovalGround;
use crate::coordination::{CLOCK_DRIFT, Controller, LEASE_SLACK, Phase};
use crate::protocol::units::Micros;

impl Controller {
    /// Removes the tasks of own machines whose workers' leases have certainly expired.
    pub(super) fn machines_tick(&mut self) {
        self.propagate_gang_stops();
        let awaits_machines = self.awaits_machines();
        self.retired.retain(|_, job| awaits_machines || !job.placements.is_empty());
        // All tasks of a withdrawn job must have ended `cancel_s` after its withdrawal.
        let cancel_period = Micros::from_secs_f64(self.settings.params.workers.cancel_s);
        while self.recently_removed.front().is_some_and(|(at, ..)| self.now.since(*at) > cancel_period) {
            self.recently_removed.pop_front();
        }
        let silence = self.worker_lease + self.worker_lease.mul_f64(CLOCK_DRIFT) + LEASE_SLACK + LEASE_SLACK;
        let min_applied = self.min_revision_of_others();
        let (now, followed) = (self.now, self.replica_as_of);
        let registration = self.lease.as_ref().map_or(0, |l| l.registration);
        let mut expired = Vec::new();
        for (name, machine) in &mut self.machines {
            let is_own =
                machine.row.registration == registration && machine.row.owner == self.settings.member;
            if !is_own || machine.resolved && machine.tasks.is_empty() {
                continue;
            }
            // Once all other controllers have applied the grant, none of them answers the machine any more.
            let applied_by_others = min_applied.is_some_and(|revision| revision >= machine.grant_revision);
            machine.former_owners_gone_since =
                machine.former_owners_gone_since.or(applied_by_others.then_some(now));
            let Some(sole_owner_since) = machine.former_owners_gone_since else { continue };
            // If the machine is resolved, a former owner's answer does not renew its lease. A session lasts for a
            // lease from its beginning, even if none of its reports is answered.
            let mut last_renewal = machine
                .last_answered
                .unwrap_or(sole_owner_since)
                .max(machine.session_seen_at.unwrap_or_default());
            if !machine.resolved {
                last_renewal = last_renewal.max(sole_owner_since);
            }
            // Another controller may have been granted the machine, and have answered it, after the state that this
            // controller last read from the state service. So the silence is counted only up to that read.
            if followed.since(last_renewal) > silence {
                expired.push(name.clone());
            }
        }
        if expired.is_empty() {
            return;
        }
        for name in expired {
            self.counters.lease_expirations += 1;
            tracing::info!(machine = name, "worker lease expired, removing its tasks");
            // Planned starts have not been sent, so they can be planned again in the next session.
            self.replace_tasks(&name, BTreeMap::new(), RemovalGround::LeaseExpired);
            self.machine_knowledge.owner_reported(&name, &self.incarnation(), true);
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.resolved = true;
                machine.ever_resolved = true;
                // Late reports of the ended session are ignored.
                if machine.last_received_at.is_some() {
                    machine.session += 1;
                    machine.session_seen_at = None;
                    machine.tally = 0;
                }
            }
        }
        self.check_takeover();
        self.schedule_status();
        self.schedule_round();
        self.placement_due = true;
    }

    /// Lowest revision that all other controllers that may act are known to have applied: the registered ones have
    /// reported theirs, and the leases of all others have ended. None if one of them may be behind.
    fn min_revision_of_others(&self) -> Option<u64> {
        if self.phase != Phase::Active || self.evicted_may_act() {
            return None;
        }
        let others = self.registrations.iter().filter(|(member, _)| *member != self.own_name());
        others
            .map(|(member, registration)| {
                let status = self.peers.get(member)?.status.as_ref()?;
                (status.registration == *registration).then_some(status.applied_revision)
            })
            .try_fold(u64::MAX, |least, applied| Some(least.min(applied?)))
    }
}
