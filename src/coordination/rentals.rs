//! Rentals: how they are stored, asked for and repeated, and what the cloud answers and lists.

use std::collections::BTreeSet;

use marblewalk_retry::Backoff;

use crate::bookkeeping::budget::Urgency;
use crate::bookkeeping::records::{self, BlockRow};
use crate::coordination::model::Machine;
use crate::coordination::{CloudPurpose, Controller, Effect, Purpose, rules};
use crate::protocol::cloud::{CloudCall, CloudReply, ListedState, MachineList, Rental};
use crate::protocol::peer::PeerMessage;
use crate::protocol::store::{Condition, StoreCall, StoreReply, Transaction, Write};
use crate::protocol::units::Micros;

impl Controller {
    /// Repeats rentals that a former leader stored: the same name rents nothing twice.
    pub(super) fn resume_rentals(&mut self) {
        let open: Vec<Rental> = self.rentals.values().map(|r| r.0.clone()).collect();
        for rental in open {
            self.call_rental(rental);
        }
    }

    pub(super) fn call_rental(&mut self, rental: Rental) {
        if let Some(lead) = &mut self.lead {
            lead.fleet.open.insert(rental.request.clone(), rental.clone());
        }
        self.cloud(Urgency::Acceptance, CloudPurpose::Rent(rental.clone()), CloudCall::Rent(rental));
    }

    /// Stores the rental, then asks for it: a leader that follows can tell what is on its way.
    pub(super) fn rent(&mut self, kind: String, zone: String, spot: bool, count: u32) -> bool {
        let Some(leader_stamp) = self.leader.as_ref().map(|l| l.2) else { return false };
        let Some(lead) = &mut self.lead else { return false };
        lead.fleet.named += 1;
        let request = format!("r-{leader_stamp}-{}", lead.fleet.named);
        let rental = Rental { request: request.clone(), kind, zone, spot, count };
        lead.fleet.open.insert(request.clone(), rental.clone());
        let Ok(value) = serde_json::to_value(&rental) else { return false };
        let transaction = Transaction {
            conditions: vec![
                Condition::new(records::LEADER_KEY, leader_stamp),
                Condition::new(records::rental_key(&request), 0),
                self.entitlement(),
            ],
            writes: vec![Write::put(records::rental_key(&request), value)],
        };
        self.store(Urgency::Completion, Purpose::RentalStored { rental }, StoreCall::Commit(transaction));
        true
    }

    pub(super) fn rental_stored(&mut self, rental: Rental, reply: StoreReply) {
        match reply {
            StoreReply::Committed { .. } => self.call_rental(rental),
            _ => {
                // The name is used up; if the record is there after all, the next leader repeats it.
                if let Some(lead) = &mut self.lead {
                    lead.fleet.open.remove(&rental.request);
                    lead.fleet.closing.insert(rental.request);
                }
            }
        }
    }

    pub(super) fn rental_closed(&mut self, request: String, reply: StoreReply) {
        // Where the watch has shown meanwhile that it is gone, only the answer was lost.
        let gone = matches!(reply, StoreReply::Committed { .. }) || !self.rentals.contains_key(&request);
        if let (Some(lead), false) = (&mut self.lead, gone) {
            lead.fleet.closing.insert(request);
        }
    }

    pub(super) fn cloud_replied(&mut self, purpose: CloudPurpose, reply: CloudReply) {
        if matches!(reply, CloudReply::Unclear) {
            self.counters.cloud_failures += 1;
        }
        match (purpose, reply) {
            (CloudPurpose::Types, CloudReply::Types(types)) => {
                self.types = types.into_iter().map(|t| (t.name.clone(), t)).collect();
                for m in self.machines.values_mut() {
                    if let Some(t) = self.types.get(&m.row.kind) {
                        m.supply = t.supply();
                    }
                }
                self.place_due = true;
            }
            (CloudPurpose::Types, _) => {}
            (CloudPurpose::Rent(rental), reply) => self.rent_replied(rental, reply),
            (CloudPurpose::Return(names), reply) => {
                let now = self.now;
                let Some(lead) = &mut self.lead else { return };
                for name in names {
                    lead.fleet.returning.remove(&name);
                    if matches!(reply, CloudReply::Returned) {
                        lead.fleet.returned.insert(name, now);
                    }
                }
            }
            (CloudPurpose::List, CloudReply::List(list)) => self.listed(list),
            (CloudPurpose::List, _) => {
                if let Some(lead) = &mut self.lead {
                    lead.fleet.listing = false;
                }
            }
        }
    }

    pub(super) fn rent_replied(&mut self, rental: Rental, reply: CloudReply) {
        let now = self.now;
        let Some(lead) = &mut self.lead else { return };
        lead.fleet.asking.remove(&rental.request);
        let key = (rental.kind.clone(), rental.zone.clone(), rental.spot);
        match reply {
            CloudReply::Rented(names) => {
                tracing::info!(
                    kind = rental.kind,
                    zone = rental.zone,
                    spot = rental.spot,
                    count = names.len(),
                    "rented"
                );
                self.counters.rentals += names.len() as u64;
                if (names.len() as u32) < rental.count {
                    lead.fleet.refused.insert(key, (now + Micros::from_secs(15), 1));
                } else {
                    lead.fleet.refused.remove(&key);
                }
                let rows = names.into_iter().map(|machine| BlockRow {
                    machine,
                    kind: rental.kind.clone(),
                    zone: rental.zone.clone(),
                    spot: rental.spot,
                    owner: String::new(),
                    registration: 0,
                    returning: false,
                    token: 0,
                });
                lead.fleet.arrived.extend(rows);
            }
            CloudReply::NoCapacity => {
                self.counters.refusals += 1;
                let (_, times) = lead.fleet.refused.get(&key).copied().unwrap_or((now, 0));
                let pause = rules::NO_CAPACITY.delay(times + 1);
                lead.fleet.refused.insert(key, (now + pause, times + 1));
            }
            CloudReply::Rejected => {
                lead.fleet.refused.insert(key, (now + Micros::from_secs(300), 1));
            }
            _ => {
                // It may have been carried out: the same name tells.
                if lead.fleet.open.contains_key(&rental.request) {
                    let (_, backoff) = lead
                        .fleet
                        .unclear
                        .entry(rental.request.clone())
                        .or_insert((rental, Backoff::default()));
                    backoff.failed(now, &rules::RENT, &mut self.rng);
                }
                return;
            }
        }
        lead.fleet.open.remove(&rental.request);
        lead.fleet.unclear.remove(&rental.request);
        lead.fleet.closing.insert(rental.request);
    }

    /// Asks again for rentals whose fate is not known.
    pub(super) fn repeat_rentals(&mut self) {
        let now = self.now;
        let Some(lead) = &mut self.lead else { return };
        let due: Vec<Rental> = lead
            .fleet
            .unclear
            .values_mut()
            .filter(|(rental, backoff)| backoff.ready(now) && !lead.fleet.asking.contains(&rental.request))
            .map(|(rental, _)| rental.clone())
            .collect();
        lead.fleet.asking.extend(due.iter().map(|r| r.request.clone()));
        for rental in due {
            self.cloud(Urgency::Other, CloudPurpose::Rent(rental.clone()), CloudCall::Rent(rental));
        }
    }

    /// The list lags, so it proves only what it shows: machines to record, and failures. And this: names come
    /// in the order of creation, so a machine whose name a page passes over, from its first to its last, had
    /// been created by the time that the page describes, and was no more. After an end of all controllers
    /// such machines could be asked by nobody, for their addresses were lost, and held all jobs back.
    pub(super) fn listed(&mut self, list: MachineList) {
        let lag = Micros::from_secs_f64(self.settings.params.cloud.list_lag_s * 2.0 + 5.0);
        let last = list.machines.last().map(|m| m.id.clone());
        let blind = self.blind();
        let unreached = list.machines.iter().filter(|l| {
            let unknown = |m: &Machine| m.addr.is_empty() && !m.unused();
            !l.addr.is_empty() && self.machines.get(&l.id).is_some_and(unknown)
        });
        let addresses: Vec<(String, String)> = unreached.map(|l| (l.id.clone(), l.addr.clone())).collect();
        if !addresses.is_empty() {
            self.take_addresses(&addresses);
            self.effects.push(Effect::Send(None, PeerMessage::Addresses(addresses)));
        }
        let Some(lead) = &mut self.lead else { return };
        if let Some(last) = &last {
            let first = std::mem::replace(&mut lead.fleet.listed_to, last.clone());
            let there: BTreeSet<&String> = list.machines.iter().map(|m| &m.id).collect();
            let within = |name: &&String| **name > first && *name < last;
            for name in self.machines.keys().filter(within) {
                if there.contains(name) {
                    lead.fleet.gone.remove(name);
                } else {
                    lead.fleet.gone.insert(name.clone());
                }
            }
        }
        for m in list.machines {
            if m.state == ListedState::Failed {
                lead.fleet.failed.insert(m.id.clone());
            }
            let known = self.machines.contains_key(&m.id) || lead.fleet.returned.contains_key(&m.id);
            // One just rented is recorded when its rental is answered; others turned up late.
            let settled = Micros::from_secs_f64(m.age_s) > lag || lead.fleet.open.is_empty();
            if !known && !blind && settled && !lead.fleet.arrived.iter().any(|r| r.machine == m.id) {
                lead.fleet.arrived.push(BlockRow {
                    machine: m.id,
                    kind: m.kind,
                    zone: m.zone,
                    spot: m.spot,
                    owner: String::new(),
                    registration: 0,
                    returning: false,
                    token: 0,
                });
            }
        }
        match last {
            Some(after) if list.more => {
                self.cloud(Urgency::Other, CloudPurpose::List, CloudCall::List { after })
            }
            _ => lead.fleet.listing = false,
        }
    }
}
