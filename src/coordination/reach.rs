//! Machines that their holders cannot reach: which of them are to be returned at once.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::Controller;
use crate::coordination::blocks::DEAF;
use crate::protocol::units::Micros;

/// How long beyond a late report a machine may stay unheard after it has changed hands.
const UNHEARD: Micros = Micros::from_secs(3);
/// How long a machine that does not answer may stay unheard after it has changed hands, if jobs wait for
/// it.
const UNANSWERING: Micros = Micros::from_secs(4);

/// What a controller hears of the machines that it holds.
#[derive(Debug, Default)]
struct Reach<'a> {
    node: u64,
    all: usize,
    /// Unheard since they were granted: zone and name.
    unheard: Vec<(&'a str, &'a String)>,
    zones: BTreeMap<&'a str, ZoneReach<'a>>,
}

/// Of a controller's machines in a zone: those that should report, how many of them do, and those that
/// seem to be gone.
#[derive(Debug, Default)]
struct ZoneReach<'a> {
    settled: usize,
    fine: usize,
    lost: Vec<&'a String>,
}

impl Controller {
    /// Machines that nobody has heard since they changed hands, though their owner hears its others:
    /// most likely they are gone. All jobs taken over wait for them, for as long as the leases of the
    /// former owner and the worker together; the cloud's word that they are returned settles it at once.
    pub(super) fn unreachable(&mut self) -> BTreeSet<String> {
        // Reports come up to a quarter late, and a worker looks for its new owner a second at a time.
        let limit = self.latest_report() + UNHEARD;
        let late = self.latest_report().as_secs_f64();
        let mut found = BTreeSet::new();
        let me = self.life();
        let Some(lead) = &self.lead else { return found };
        let mut silences = lead.fleet.silent.clone();
        silences.retain(|_, at| self.now.since(*at) < self.worker_lease);
        let heard = |name: &str| lead.heard.get(name).is_some_and(|h| self.now.since(h.1) < limit);
        let speaks = |member: &str| {
            let word = self.peers.get(member).map_or(Micros::MAX, |p| self.now.since(p.heard));
            member == self.me() || word <= Micros::from_secs(3)
        };
        let members = self.nodes.iter().filter(|(member, _)| speaks(member));
        let mut reach: BTreeMap<&str, Reach> = members
            .map(|(member, node)| (member.as_str(), Reach { node: *node, ..Reach::default() }))
            .collect();
        for (name, m) in self.machines.iter().filter(|(_, m)| !m.row.returning) {
            let Some(of) = reach.get_mut(m.row.owner.as_str()).filter(|r| r.node == m.row.registration)
            else {
                continue;
            };
            of.all += 1;
            // Jobs wait only for one of which not all is known.
            let waited_for = m.lost && !m.resolved && !self.ledger.is_fully_known(name, &me);
            let patience = if waited_for { UNANSWERING } else { limit };
            let unknown = !m.resolved && self.now.since(m.granted) > patience;
            if !m.resolved && !unknown {
                continue;
            }
            let zone = of.zones.entry(&m.row.zone).or_default();
            let dark = f64::from(self.dark(m));
            zone.settled += 1;
            zone.fine += usize::from(m.resolved && dark <= late);
            // One that is heard elsewhere and takes no token for longer than its lease does not hear.
            let deaf = lead.rescued.get(name).is_some_and(|times| *times >= DEAF)
                || self.now.since(m.granted) > self.worker_lease;
            if unknown && (deaf || !heard(name)) {
                of.unheard.push((&m.row.zone, name));
            }
            // A replica that cannot be reached is of no use to anyone, so one on a machine that neither
            // reports nor answers is not waited for until its lease ends.
            let replicas = || m.tasks.iter().any(|(id, t)| !t.ended() && self.serves(id));
            if m.resolved && m.lost && dark >= late * 2.0 + 2.0 && !heard(name) && replicas() {
                zone.lost.push(name);
            }
        }
        for (member, of) in reach {
            // A zone out of its owner's reach falls silent as a whole: none is heard there one report
            // after the first that is missed. It goes to whoever hears it. When it is back, its machines
            // are heard one after the other.
            for (zone, at) in &of.zones {
                if at.fine * 2 < at.settled {
                    silences.insert((member.to_owned(), (*zone).to_owned()), self.now);
                }
            }
            let silent = |zone: &str| silences.contains_key(&(member.to_owned(), zone.to_owned()));
            // An owner that hears few of its machines is cut off itself.
            if of.unheard.len() * 4 <= of.all.max(8) {
                let unheard = of.unheard.into_iter().filter(|(zone, _)| !silent(zone));
                found.extend(unheard.map(|(_, name)| name.clone()));
            }
            let gone = of.zones.iter().filter(|(zone, _)| !silent(zone)).flat_map(|(_, at)| &at.lost);
            found.extend(gone.map(|name| (*name).clone()));
        }
        if let Some(lead) = &mut self.lead {
            lead.fleet.silent = silences;
        }
        found
    }
}
