//! Rentals of machines: storing, requesting and repeating them, and handling the cloud's replies and lists.

use std::collections::BTreeSet;

use marblewalk_retry::Backoff;

use crate::bookkeeping::call_queue::Urgency;
use crate::bookkeeping::records::{self, BlockRow};
use crate::coordination::model::Machine;
use crate::coordination::{CloudPurpose, Controller, Effect, Purpose, backoff_policies};
use crate::protocol::cloud::{CloudCall, CloudReply, ListedState, MachineList, Rental};
use crate::protocol::peer::PeerMessage;
use crate::protocol::store::{Condition, StoreCall, StoreReply, Transaction, Write};
use crate::protocol::units::Micros;

impl Controller {
    /// Repeats the rentals that a former leader stored. Requests are idempotent: the cloud does not rent twice under
    /// the same name.
    pub(super) fn resume_rentals(&mut self) {
        let open: Vec<Rental> = self.rentals.values().map(|r| r.0.clone()).collect();
        for rental in open {
            self.send_rental(rental);
        }
    }

    /// Requests a stored rental from the cloud.
    pub(super) fn send_rental(&mut self, rental: Rental) {
        if let Some(lead) = &mut self.leader_state {
            lead.fleet.pending_rentals.insert(rental.request.clone(), rental.clone());
        }
        self.enqueue_cloud_call(
            Urgency::Acceptance,
            CloudPurpose::Rent(rental.clone()),
            CloudCall::Rent(rental),
        );
    }

    /// Stores a rental. It is requested once it is stored, so that a later leader knows which rentals may be pending.
    /// Returns whether the write was sent.
    pub(super) fn rent(&mut self, kind: String, zone: String, spot: bool, count: u32) -> bool {
        let Some(leader_revision) = self.leader.as_ref().map(|l| l.2) else { return false };
        let Some(lead) = &mut self.leader_state else { return false };
        lead.fleet.requests_named += 1;
        let request = format!("r-{leader_revision}-{}", lead.fleet.requests_named);
        let rental = Rental { request: request.clone(), kind, zone, spot, count };
        lead.fleet.pending_rentals.insert(request.clone(), rental.clone());
        let Ok(value) = serde_json::to_value(&rental) else { return false };
        let transaction = Transaction {
            conditions: vec![
                Condition::new(records::LEADER_KEY, leader_revision),
                Condition::new(records::rental_key(&request), 0),
                self.registration_condition(),
            ],
            writes: vec![Write::put(records::rental_key(&request), value)],
        };
        self.enqueue_store_call(
            Urgency::Completion,
            Purpose::RentalStored { rental },
            StoreCall::Commit(transaction),
        );
        true
    }

    /// Requests a rental whose record was written, or abandons it if the write was not confirmed.
    pub(super) fn handle_rental_stored(&mut self, rental: Rental, reply: StoreReply) {
        match reply {
            StoreReply::Committed { .. } => self.send_rental(rental),
            _ => {
                // The name is not used again. If the record was written after all, the next leader repeats the rental.
                if let Some(lead) = &mut self.leader_state {
                    lead.fleet.pending_rentals.remove(&rental.request);
                    lead.fleet.rentals_to_delete.insert(rental.request);
                }
            }
        }
    }

    /// Handles the reply to the deletion of a rental's record, which is repeated if it failed.
    pub(super) fn handle_rental_closed(&mut self, request: String, reply: StoreReply) {
        // If the watch has shown that the record is gone, only the reply was lost.
        let deleted = matches!(reply, StoreReply::Committed { .. }) || !self.rentals.contains_key(&request);
        if let (Some(lead), false) = (&mut self.leader_state, deleted) {
            lead.fleet.rentals_to_delete.insert(request);
        }
    }

    /// Handles the reply to a call to the cloud.
    pub(super) fn handle_cloud_reply(&mut self, purpose: CloudPurpose, reply: CloudReply) {
        if matches!(reply, CloudReply::Unclear) {
            self.counters.cloud_failures += 1;
        }
        match (purpose, reply) {
            (CloudPurpose::Types, CloudReply::Types(types)) => {
                self.machine_types = types.into_iter().map(|t| (t.name.clone(), t)).collect();
                for m in self.machines.values_mut() {
                    if let Some(t) = self.machine_types.get(&m.row.kind) {
                        m.supply = t.supply();
                    }
                }
                self.placement_due = true;
            }
            (CloudPurpose::Types, _) => {}
            (CloudPurpose::Rent(rental), reply) => self.handle_rent_reply(rental, reply),
            (CloudPurpose::Return(names), reply) => {
                let now = self.now;
                let Some(lead) = &mut self.leader_state else { return };
                for name in names {
                    lead.fleet.returns_in_flight.remove(&name);
                    if matches!(reply, CloudReply::Returned) {
                        lead.fleet.returned_at.insert(name, now);
                    }
                }
            }
            (CloudPurpose::List, CloudReply::List(list)) => self.handle_machine_list(list),
            (CloudPurpose::List, _) => {
                if let Some(lead) = &mut self.leader_state {
                    lead.fleet.list_in_flight = false;
                }
            }
        }
    }

    /// Handles the reply to a rental: records its machines, delays further ones of the kind, or repeats it.
    pub(super) fn handle_rent_reply(&mut self, rental: Rental, reply: CloudReply) {
        let now = self.now;
        let Some(lead) = &mut self.leader_state else { return };
        lead.fleet.retries_in_flight.remove(&rental.request);
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
                    lead.fleet.refusals.insert(key, (now + Micros::from_secs(15), 1));
                } else {
                    lead.fleet.refusals.remove(&key);
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
                    has_token_range: false,
                });
                lead.fleet.machines_to_record.extend(rows);
            }
            CloudReply::NoCapacity => {
                self.counters.rentals_refused += 1;
                let (_, times) = lead.fleet.refusals.get(&key).copied().unwrap_or((now, 0));
                let pause = backoff_policies::NO_CAPACITY.delay(times + 1);
                lead.fleet.refusals.insert(key, (now + pause, times + 1));
            }
            CloudReply::Rejected => {
                lead.fleet.refusals.insert(key, (now + Micros::from_secs(300), 1));
            }
            _ => {
                // The rental may have taken effect. Repeating it under the same name shows that.
                if lead.fleet.pending_rentals.contains_key(&rental.request) {
                    let (_, backoff) = lead
                        .fleet
                        .unconfirmed_rentals
                        .entry(rental.request.clone())
                        .or_insert((rental, Backoff::default()));
                    backoff.failed(now, &backoff_policies::RENT, &mut self.rng);
                }
                return;
            }
        }
        lead.fleet.pending_rentals.remove(&rental.request);
        lead.fleet.unconfirmed_rentals.remove(&rental.request);
        lead.fleet.rentals_to_delete.insert(rental.request);
    }

    /// Repeats rentals without a conclusive answer, when due.
    pub(super) fn retry_rentals(&mut self) {
        let now = self.now;
        let Some(lead) = &mut self.leader_state else { return };
        let due: Vec<Rental> = lead
            .fleet
            .unconfirmed_rentals
            .values_mut()
            .filter(|(rental, backoff)| {
                backoff.ready(now) && !lead.fleet.retries_in_flight.contains(&rental.request)
            })
            .map(|(rental, _)| rental.clone())
            .collect();
        lead.fleet.retries_in_flight.extend(due.iter().map(|r| r.request.clone()));
        for rental in due {
            self.enqueue_cloud_call(
                Urgency::Other,
                CloudPurpose::Rent(rental.clone()),
                CloudCall::Rent(rental),
            );
        }
    }

    /// Handles a page of the cloud's list of machines.
    ///
    /// The list lags behind, so a missing machine may be too new to be listed. Only machines that it contains, to be
    /// recorded or marked as failed, are certain, with one exception: names are listed in the order of creation. If the
    /// name of a recorded machine lies in a page's range, after the last name of the page before and before its own
    /// last name, but the page does not contain it, then the machine had been created by the time of the page and no
    /// longer existed.
    ///
    /// After a failure of all controllers, no controller could query such machines because their addresses were lost,
    /// and they blocked all jobs.
    pub(super) fn handle_machine_list(&mut self, list: MachineList) {
        let lag = Micros::from_secs_f64(self.settings.params.cloud.list_lag_s * 2.0 + 5.0);
        let last = list.machines.last().map(|m| m.id.clone());
        let some_unreadable = self.has_unreadable_blocks();
        let without_address = list.machines.iter().filter(|l| {
            let lacks_address = |m: &Machine| m.addr.is_empty() && !m.never_granted();
            !l.addr.is_empty() && self.machines.get(&l.id).is_some_and(lacks_address)
        });
        let addresses: Vec<(String, String)> =
            without_address.map(|l| (l.id.clone(), l.addr.clone())).collect();
        if !addresses.is_empty() {
            self.apply_addresses(&addresses);
            self.effects.push(Effect::Send(None, PeerMessage::Addresses(addresses)));
        }
        let Some(lead) = &mut self.leader_state else { return };
        if let Some(last) = &last {
            let first = std::mem::replace(&mut lead.fleet.list_cursor, last.clone());
            let listed: BTreeSet<&String> = list.machines.iter().map(|m| &m.id).collect();
            let in_page_range = |name: &&String| **name > first && *name < last;
            for name in self.machines.keys().filter(in_page_range) {
                if listed.contains(name) {
                    lead.fleet.unlisted.remove(name);
                } else {
                    lead.fleet.unlisted.insert(name.clone());
                }
            }
        }
        for m in list.machines {
            if m.state == ListedState::Failed {
                lead.fleet.failed.insert(m.id.clone());
            }
            let known = self.machines.contains_key(&m.id) || lead.fleet.returned_at.contains_key(&m.id);
            // A machine that was just rented is recorded when its rental is answered. Others are recorded from the
            // list: those older than its lag, or any machine if no rental is pending.
            let may_record = Micros::from_secs_f64(m.age_s) > lag || lead.fleet.pending_rentals.is_empty();
            if !known
                && !some_unreadable
                && may_record
                && !lead.fleet.machines_to_record.iter().any(|r| r.machine == m.id)
            {
                lead.fleet.machines_to_record.push(BlockRow {
                    machine: m.id,
                    kind: m.kind,
                    zone: m.zone,
                    spot: m.spot,
                    owner: String::new(),
                    registration: 0,
                    returning: false,
                    token: 0,
                    has_token_range: false,
                });
            }
        }
        match last {
            Some(after) if list.more => {
                self.enqueue_cloud_call(Urgency::Other, CloudPurpose::List, CloudCall::List { after })
            }
            _ => lead.fleet.list_in_flight = false,
        }
    }
}
