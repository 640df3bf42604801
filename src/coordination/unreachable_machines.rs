//! Detection of machines that their owners cannot reach, so that they are returned at once.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::Controller;
use crate::coordination::machine_moves::MAX_RESCUE_MOVES;
use crate::protocol::units::Micros;

/// How long after the time for its first report a machine may be silent under a new grant.
const FIRST_REPORT_TIMEOUT: Micros = Micros::from_secs(3);
/// How long a machine that does not answer direct calls may be silent under a new grant if jobs that were taken
/// over wait for it.
const UNRESPONSIVE_TIMEOUT: Micros = Micros::from_secs(4);

/// How well an owner reaches its machines.
#[derive(Debug, Default)]
struct OwnerReach<'a> {
    /// Revision of the owner's registration.
    registration: u64,
    /// Number of machines that it owns.
    machines: usize,
    /// Machines from which no message has arrived since they were granted: zone and name.
    silent_machines: Vec<(&'a str, &'a String)>,
    zones: BTreeMap<&'a str, ZoneReach<'a>>,
}

/// How well an owner reaches its machines in one zone.
#[derive(Debug, Default)]
struct ZoneReach<'a> {
    /// Number of machines that should have reported under their present grants.
    expected: usize,
    /// Number of those that report in time.
    reporting: usize,
    /// Machines with service replicas that neither report nor answer.
    unresponsive: Vec<&'a String>,
}

impl Controller {
    /// Machines that most likely are gone and are to be returned.
    ///
    /// These are machines that have sent no message since they were granted, although their owner's others do, and
    /// machines with service replicas that neither report nor answer. Jobs taken over would wait for the former for as
    /// long as the leases of the former owner and the worker together; the cloud's confirmation that a machine is
    /// returned ends the wait at once.
    pub(super) fn unreachable_machines(&mut self) -> BTreeSet<String> {
        // Reports come up to a quarter of their interval late, and a worker tries one controller per second to find its
        // owner.
        let limit = self.max_report_gap() + FIRST_REPORT_TIMEOUT;
        let late = self.max_report_gap().as_secs_f64();
        let mut found = BTreeSet::new();
        let me = self.incarnation();
        let Some(lead) = &self.leader_state else { return found };
        let mut silent_zones = lead.fleet.silent_zones.clone();
        silent_zones.retain(|_, at| self.now.since(*at) < self.worker_lease);
        let reports_elsewhere =
            |name: &str| lead.misdirected_reports.get(name).is_some_and(|h| self.now.since(h.1) < limit);
        let is_connected = |member: &str| {
            let age = self.peers.get(member).map_or(Micros::MAX, |p| self.now.since(p.last_received_at));
            member == self.own_name() || age <= Micros::from_secs(3)
        };
        let members = self.registrations.iter().filter(|(member, _)| is_connected(member));
        let mut reach: BTreeMap<&str, OwnerReach> = members
            .map(|(member, registration)| {
                (member.as_str(), OwnerReach { registration: *registration, ..OwnerReach::default() })
            })
            .collect();
        for (name, m) in self.machines.iter().filter(|(_, m)| !m.row.returning) {
            let Some(owner) =
                reach.get_mut(m.row.owner.as_str()).filter(|r| r.registration == m.row.registration)
            else {
                continue;
            };
            owner.machines += 1;
            // Jobs taken over wait only for a machine that may have unknown tasks.
            let waited_for =
                m.unresponsive && !m.resolved && !self.machine_knowledge.is_fully_known(name, &me);
            let timeout = if waited_for { UNRESPONSIVE_TIMEOUT } else { limit };
            let overdue = !m.resolved && self.now.since(m.grant_seen_at) > timeout;
            if !m.resolved && !overdue {
                continue;
            }
            let zone = owner.zones.entry(&m.row.zone).or_default();
            let silence_s = f64::from(self.seconds_silent(m));
            zone.expected += 1;
            zone.reporting += usize::from(m.resolved && silence_s <= late);
            // A machine that reports to another controller but takes no token for longer than its lease is not
            // receiving.
            let not_receiving = lead.rescue_moves.get(name).is_some_and(|times| *times >= MAX_RESCUE_MOVES)
                || self.now.since(m.grant_seen_at) > self.worker_lease;
            if overdue && (not_receiving || !reports_elsewhere(name)) {
                owner.silent_machines.push((&m.row.zone, name));
            }
            // An unreachable service replica is useless, so the machine's lease is not waited for.
            let replicas = || m.tasks.iter().any(|(id, t)| !t.ended() && self.is_service_task(id));
            if m.resolved
                && m.unresponsive
                && silence_s >= late * 2.0 + 2.0
                && !reports_elsewhere(name)
                && replicas()
            {
                zone.unresponsive.push(name);
            }
        }
        for (member, owner) in reach {
            // If an owner is cut off from a zone, none of its machines there reports one interval after the first
            // missed report. The zone's machines are not returned; they are reassigned to controllers that they reach.
            // After the cut its machines report again one by one, so the zone counts as silent for a worker lease
            // longer.
            for (zone, zone_reach) in &owner.zones {
                if zone_reach.reporting * 2 < zone_reach.expected {
                    silent_zones.insert((member.to_owned(), (*zone).to_owned()), self.now);
                }
            }
            let silent = |zone: &str| silent_zones.contains_key(&(member.to_owned(), zone.to_owned()));
            // An owner that misses more than a quarter of its machines is probably cut off itself.
            if owner.silent_machines.len() * 4 <= owner.machines.max(8) {
                let silent_machines = owner.silent_machines.into_iter().filter(|(zone, _)| !silent(zone));
                found.extend(silent_machines.map(|(_, name)| name.clone()));
            }
            let gone = owner
                .zones
                .iter()
                .filter(|(zone, _)| !silent(zone))
                .flat_map(|(_, zone_reach)| &zone_reach.unresponsive);
            found.extend(gone.map(|name| (*name).clone()));
        }
        if let Some(lead) = &mut self.leader_state {
            lead.fleet.silent_zones = silent_zones;
        }
        found
    }
}
