//! Machines that have been silent for so long that their workers' leases have certainly expired, and their tasks with them.

use std::collections::BTreeMap;

use crate::coordination::removal::Removal;
use crate::coordination::{Controller, DRIFT, Phase, SLACK};
use crate::protocol::units::Micros;

impl Controller {
    /// Notices machines that have been silent for so long that their tasks are certainly gone.
    pub(super) fn machines_tick(&mut self) {
        self.stop_gangs();
        self.retired.retain(|_, job| !job.on.is_empty());
        // By then a cancelled job's tasks must be gone.
        let over = Micros::from_secs_f64(self.settings.params.workers.cancel_s);
        while self.removed.front().is_some_and(|(at, ..)| self.now.since(*at) > over) {
            self.removed.pop_front();
        }
        let silence = self.worker_lease + self.worker_lease.mul_f64(DRIFT) + SLACK + SLACK;
        let others = self.others_applied();
        let (now, followed) = (self.now, self.followed_at);
        let stamp = self.lease.as_ref().map_or(0, |l| l.stamp);
        let mut lapsed = Vec::new();
        for (name, machine) in &mut self.machines {
            let own = machine.row.node == stamp && machine.row.owner == self.settings.member;
            if !own || machine.resolved && machine.tasks.is_empty() {
                continue;
            }
            // No other controller can answer a machine under a grant older than what all have seen.
            let nobody_else = others.is_some_and(|revision| revision >= machine.stamp);
            machine.former_gone = machine.former_gone.or(nobody_else.then_some(now));
            let Some(former) = machine.former_gone else { continue };
            // Under a resolved grant nobody else's answer counts. A session lasts a lease from its
            // beginning even if no report of it is ever answered.
            let mut last = machine.answered.unwrap_or(former).max(machine.session_at.unwrap_or_default());
            if !machine.resolved {
                last = last.max(former);
            }
            // Another may have been granted the machine, and answer it, since this controller last heard
            // from the store: only as of then is its own silence the worker's.
            if followed.since(last) > silence {
                lapsed.push(name.clone());
            }
        }
        if lapsed.is_empty() {
            return;
        }
        for name in lapsed {
            self.counters.lapses += 1;
            tracing::info!(machine = name, "silent beyond its lease: its tasks are gone");
            // A planned start has not been sent and can wait for the next session.
            self.replace_tasks(&name, BTreeMap::new(), Removal::LeaseExpired);
            self.ledger.holder_reported(&name, &self.life(), true);
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.resolved = true;
                machine.known = true;
                // Whatever the ended session still has to say comes too late.
                if machine.heard.is_some() {
                    machine.session += 1;
                    machine.session_at = None;
                    machine.tally = 0;
                }
            }
        }
        self.check_adoption();
        self.soon_status();
        self.soon_round();
        self.place_due = true;
    }

    /// Up to which revision all other controllers that may act have followed the store: those that are
    /// registered have said so, and the leases of the rest have ended. None while one may be behind.
    fn others_applied(&self) -> Option<u64> {
        if self.phase != Phase::Active || self.evicted_may_act() {
            return None;
        }
        let others = self.nodes.iter().filter(|(member, _)| *member != self.me());
        others
            .map(|(member, node)| {
                let status = self.peers.get(member)?.status.as_ref()?;
                (status.registration == *node).then_some(status.applied_revision)
            })
            .try_fold(u64::MAX, |least, applied| Some(least.min(applied?)))
    }
}
