//! Membership of a controller: registration under a lease, loading of the records, leader election and eviction of
//! failed controllers.
//!
//! One lease of the state service carries both the registration and, for the leader, the leadership. A machine's
//! grant is valid for as long as the registration that it was made to, so the lease covers the grants as well, and
//! renewing it takes no write to the state service.

use std::collections::BTreeMap;

use crate::bookkeeping::call_queue::Urgency;
use crate::bookkeeping::records::{self, LeaderRecord, RegistrationRecord};
use crate::coordination::{Controller, Lease, Phase, Purpose, backoff_policies};
use crate::protocol::store::{Condition, StoreCall, StoreReply, Transaction, Write};
use crate::protocol::units::Micros;

/// How long a worker's failover from its owner to another controller counts as evidence against the owner.
const FAILOVER_WINDOW: Micros = Micros::from_secs(5);
/// How long a worker may take to report here again after it was redirected to an owner that does not answer it.
const REDIRECT_RETURN_WINDOW: Micros = Micros::from_secs(10);
/// How long a controller that does not refuse connections may be silent before it is suspected.
const SILENCE_TIMEOUT: Micros = Micros::from_secs(4);
/// A longer time between two ticks means that this process was paused.
const PAUSE_THRESHOLD: Micros = Micros::from_millis(1_500);
/// Delay before a failed renewal of the lease is repeated.
const RENEW_RETRY_DELAY: Micros = Micros::from_millis(400);
/// How long the state service keeps a request for changes open if there are none. The replica's age is counted from the
/// last answered request, so the hold must be short enough that a state service without changes does not make the
/// replica seem older than the last renewal.
const WATCH_HOLD: Micros = Micros::from_secs(1);

impl Controller {
    /// Registers if necessary, renews the lease, follows the state service's changes, and elects or evicts controllers.
    pub(super) fn membership_tick(&mut self) {
        match self.phase {
            Phase::Unregistered if self.join_backoff.ready(self.now) => {
                self.phase = Phase::Registering;
                let key = records::registration_key(self.own_name());
                self.enqueue_store_call(
                    Urgency::Entitlement,
                    Purpose::FindFormerRegistration,
                    StoreCall::Get { key },
                );
            }
            Phase::Active | Phase::Loading => self.renew_when_due(),
            _ => {}
        }
        if self.phase == Phase::Active {
            if self.next_follow_at.is_some_and(|at| at <= self.now) {
                self.next_follow_at = None;
                let call = StoreCall::Follow {
                    prefix: records::WATCHED_PREFIX.to_owned(),
                    after: self.applied_revision,
                    hold_ms: WATCH_HOLD.as_millis(),
                };
                self.enqueue_store_call(Urgency::Entitlement, Purpose::Follow, call);
            }
            self.try_become_leader();
            self.evict_suspects();
        }
    }

    /// Renews the lease when a sixth of its term has passed.
    fn renew_when_due(&mut self) {
        let every = Micros(self.lease_term.0 / 6);
        let now = self.now;
        if let Some(lease) = &mut self.lease
            && !lease.renewal_in_flight
            && now.since(lease.renewed_at) >= every
        {
            lease.renewal_in_flight = true;
            let call = StoreCall::Renew { lease: lease.id };
            self.enqueue_store_call(Urgency::Entitlement, Purpose::Renew, call);
        }
    }

    /// Tries to become the leader if there is none. The attempts of the members are staggered by their order.
    fn try_become_leader(&mut self) {
        if self.leader.is_some() {
            self.next_leader_attempt_at = Micros::ZERO;
            return;
        }
        if self.next_leader_attempt_at == Micros::ZERO {
            let rank = self.settings.controller_names().iter().position(|m| m == self.own_name()).unwrap_or(0)
                as u64;
            self.next_leader_attempt_at = self.now + Micros::from_millis(120 * rank);
        }
        if self.now < self.next_leader_attempt_at || !self.entitled() {
            return;
        }
        self.next_leader_attempt_at = self.now + Micros::from_secs(2);
        let Some(lease) = &self.lease else { return };
        let record = LeaderRecord { member: self.own_name().to_owned(), registration: lease.registration };
        let Ok(value) = serde_json::to_value(record) else { return };
        let transaction = Transaction {
            conditions: vec![Condition::new(records::LEADER_KEY, 0), self.registration_condition()],
            writes: vec![Write::put_with_lease(records::LEADER_KEY, value, lease.id)],
        };
        self.enqueue_store_call(
            Urgency::Entitlement,
            Purpose::TakeLeadership,
            StoreCall::Commit(transaction),
        );
    }

    /// Counts that a controller has refused a connection.
    pub(super) fn handle_connection_refused(&mut self, member: String) {
        let now = self.now;
        let (_, times) = self.refused_connections.entry(member).or_insert((now, 0));
        *times += 1;
    }

    /// Detects whether this process was paused. If so, it has received no messages meanwhile, and the others' silence
    /// proves nothing until they have had time to send some.
    pub(super) fn detect_process_pause(&mut self) {
        if self.now.since(self.last_tick_at) > PAUSE_THRESHOLD {
            self.resumed_at = self.now;
        }
        self.last_tick_at = self.now;
    }

    /// Registered controllers that have been silent for too long: for a short time if they refuse connections, or for
    /// a longer one otherwise, as a paused or partitioned controller does not refuse any.
    pub(super) fn suspects(&self) -> Vec<String> {
        let short_silence = Micros::from_millis(1_200);
        let silent =
            |m: &String| self.peers.get(m).is_none_or(|p| self.now.since(p.last_received_at) > short_silence);
        let refused = self
            .refused_connections
            .iter()
            .filter(|(_, (at, n))| *n >= 3 && self.now.since(*at) > Micros::from_millis(700));
        let mut suspects: Vec<String> = refused
            .map(|(m, _)| m.clone())
            .filter(|m| self.registrations.contains_key(m) && silent(m))
            .collect();
        let timed_out = self.registrations.iter().filter(|(member, registration)| {
            // A controller that has just registered may take long to load the records before its first status.
            let peer = self
                .peers
                .get(*member)
                .filter(|p| p.status.as_ref().is_some_and(|s| s.registration == **registration));
            let last_message_at = peer.map(|p| p.last_received_at.max(self.resumed_at));
            **member != self.settings.member
                && last_message_at.is_some_and(|at| self.now.since(at) > SILENCE_TIMEOUT)
        });
        for (member, _) in timed_out {
            if !suspects.contains(member) {
                suspects.push(member.clone());
            }
        }
        suspects
    }

    /// Whether the agreement of all other non-suspects is enough to treat a suspect as failed. It is if the suspect has
    /// refused connections; if it is only silent, the non-suspects must be a majority of the registered controllers.
    fn has_eviction_quorum(&self, member: &str, suspects: &[String]) -> bool {
        self.refused_connections.contains_key(member)
            || (self.registrations.len() - suspects.len()) * 2 > self.registrations.len()
    }

    /// Controllers whose workers have failed over to this one although they knew their owner. A packet filter between
    /// the controllers can make them all refuse each other's connections while none has failed; their workers then
    /// still reach them.
    pub(super) fn deserted_controllers(&self) -> Vec<String> {
        let mut counts: BTreeMap<&String, usize> = BTreeMap::new();
        for ((owner, _), (_, again)) in &self.worker_failovers {
            let recent = *again > Micros::ZERO && self.now.since(*again) < FAILOVER_WINDOW;
            *counts.entry(owner).or_default() += usize::from(recent);
        }
        // Counting up to two machines is sufficient. The result is needed for every status.
        let machines_of =
            |owner: &String| self.machines.values().filter(|m| m.row.owner == *owner).take(2).count();
        let enough = |owner: &String, n: usize| n >= 1 && n >= machines_of(owner).max(1);
        counts.into_iter().filter(|(o, n)| enough(o, *n)).map(|(owner, _)| owner.clone()).collect()
    }

    /// Notes that a worker has reported here instead of to its owner. Unless `settled`, it may not have known its
    /// owner, so it counts only if it reports here again after it was redirected to the owner.
    pub(super) fn note_worker_failover(&mut self, owner: &str, machine: &str, settled: bool) {
        let now = self.now;
        self.worker_failovers
            .retain(|_, (first, again)| now.since((*first).max(*again)) < REDIRECT_RETURN_WINDOW);
        let key = (owner.to_owned(), machine.to_owned());
        self.worker_failovers
            .entry(key)
            .and_modify(|(first, again)| {
                if now.since(*first) > Micros::from_millis(500) {
                    *again = now;
                }
            })
            .or_insert((now, if settled { now } else { Micros::ZERO }));
    }

    /// Ends the registration of a controller that, according to all others, has failed or is paused.
    ///
    /// Neither refused connections nor silence prove a failure, so its workers must have failed over as well. Safety
    /// does not depend on this being right: the evicted controller's transactions fail, its machines are fenced by
    /// new tokens, and tasks on unreachable ones wait until its lease has expired. A controller is not evicted twice
    /// within 30 s, so that a wrong decision is not repeated at once.
    fn evict_suspects(&mut self) {
        let suspects = self.suspects();
        if suspects.is_empty() || !self.entitled() || self.now < self.next_eviction_at {
            return;
        }
        let me = self.settings.member.clone();
        let others = || self.registrations.keys().filter(|m| !suspects.contains(*m));
        let other_statuses = || {
            others().filter(|m| **m != me).map(|m| {
                let peer =
                    self.peers.get(m).filter(|p| self.now.since(p.last_received_at) < Micros::from_secs(3));
                peer.and_then(|p| p.status.as_ref())
            })
        };
        let agreed = |member: &String| {
            other_statuses().all(|s| s.is_some_and(|s| s.suspects.contains(member)))
                && self.has_eviction_quorum(member, &suspects)
                && (self.deserted_controllers().contains(member)
                    || other_statuses().flatten().any(|s| s.deserted_controllers.contains(member)))
        };
        let min_interval = Micros::from_secs(30);
        let not_recently_evicted =
            |m: &String| self.evictions.get(m).is_none_or(|(at, _)| self.now.since(*at) > min_interval);
        let Some((leader, _, leader_revision)) = self.leader.clone() else { return };
        // The leader evicts. If it is a suspect itself, the first of the other members evicts it and takes over.
        let takes_over = suspects.contains(&leader);
        if if takes_over { others().next() != Some(&me) } else { leader != me } {
            return;
        }
        let candidate = if takes_over {
            Some(&leader)
        } else {
            suspects.iter().find(|m| not_recently_evicted(m) && agreed(m))
        };
        let Some(member) = candidate.filter(|m| not_recently_evicted(m) && agreed(m)).cloned() else {
            return;
        };
        let (Some(registration), Some(lease)) = (self.registrations.get(&member), &self.lease) else {
            return;
        };
        let mut transaction = Transaction {
            conditions: vec![
                Condition::new(records::LEADER_KEY, leader_revision),
                Condition::new(records::registration_key(&member), *registration),
                self.registration_condition(),
            ],
            writes: vec![
                Write::delete(records::registration_key(&member)),
                Write::put(records::eviction_key(&member), (*registration).into()),
            ],
        };
        if takes_over {
            let record = LeaderRecord { member: me, registration: lease.registration };
            let Ok(value) = serde_json::to_value(record) else { return };
            transaction.writes.push(Write::put_with_lease(records::LEADER_KEY, value, lease.id));
        }
        tracing::warn!(member, "evicting controller: it is silent and its workers have failed over");
        self.next_eviction_at = self.now + Micros::from_millis(800);
        self.enqueue_store_call(Urgency::Entitlement, Purpose::Evict, StoreCall::Commit(transaction));
    }

    /// The condition that every transaction of this controller carries: its registration is still in force.
    pub(super) fn registration_condition(&self) -> Condition {
        // No registration record has this revision. Without a registration every transaction fails.
        let registration = self.lease.as_ref().map_or(u64::MAX >> 1, |l| l.registration);
        Condition::new(records::registration_key(self.own_name()), registration)
    }

    /// Handles replies to the calls of registration, loading, renewal, election and eviction.
    pub(super) fn handle_membership_reply(&mut self, purpose: Purpose, sent: Micros, reply: StoreReply) {
        match (purpose, reply) {
            (Purpose::FindFormerRegistration, StoreReply::Found { value, .. }) => {
                // There is one process per controller, so the one that made this registration has ended.
                let lease = serde_json::from_value(value).map_or(0, |r: RegistrationRecord| r.lease);
                self.enqueue_store_call(
                    Urgency::Entitlement,
                    Purpose::ReleaseFormerLease,
                    StoreCall::Release { lease },
                );
            }
            (Purpose::FindFormerRegistration, StoreReply::Missing)
            | (Purpose::ReleaseFormerLease, StoreReply::Renewed | StoreReply::Missing) => {
                let life_ms = self.lease_term.as_millis();
                self.enqueue_store_call(Urgency::Entitlement, Purpose::Lease, StoreCall::Lease { life_ms });
            }
            (Purpose::Lease, StoreReply::Leased { lease }) => {
                let valid_until = self.valid_until(sent);
                self.lease = Some(Lease {
                    id: lease,
                    registration: 0,
                    valid_until,
                    confirmed_at: sent,
                    renewed_at: sent,
                    renewal_in_flight: false,
                });
                let key = records::registration_key(self.own_name());
                let Ok(value) = serde_json::to_value(RegistrationRecord { lease }) else { return };
                let transaction = Transaction {
                    conditions: vec![Condition::new(key.clone(), 0)],
                    writes: vec![Write::put_with_lease(key, value, lease)],
                };
                self.enqueue_store_call(
                    Urgency::Entitlement,
                    Purpose::Register { lease },
                    StoreCall::Commit(transaction),
                );
            }
            (Purpose::Register { lease }, StoreReply::Committed { revision }) => {
                if let Some(l) = &mut self.lease
                    && l.id == lease
                {
                    l.registration = revision;
                }
                self.phase = Phase::Loading;
                self.load_page(String::new());
            }
            (Purpose::Load, StoreReply::Page(page)) if self.phase == Phase::Loading => {
                if self.loaded_entries.is_empty() {
                    self.applied_revision = page.revision;
                    // Later pages show a newer state.
                    self.replica_as_of = sent;
                }
                let last = page.entries.last().map(|e| e.key.clone());
                self.loaded_entries.extend(page.entries);
                match last {
                    Some(after) if page.more => self.load_page(after),
                    _ => {
                        let entries = std::mem::take(&mut self.loaded_entries);
                        self.apply_loaded_records(entries);
                        self.phase = Phase::Active;
                        self.next_follow_at = Some(self.now);
                        self.join_backoff.succeeded();
                        tracing::info!(
                            registration = self.incarnation().1,
                            revision = self.applied_revision,
                            jobs = self.jobs.len(),
                            machines = self.machines.len(),
                            "registered, records loaded"
                        );
                    }
                }
            }
            (Purpose::Renew, StoreReply::Renewed) => {
                let until = self.valid_until(sent);
                if let Some(lease) = &mut self.lease {
                    lease.renewal_in_flight = false;
                    lease.renewed_at = sent;
                    lease.confirmed_at = lease.confirmed_at.max(sent);
                    lease.valid_until = lease.valid_until.max(until);
                }
            }
            (Purpose::Renew, StoreReply::Missing) => self.leave("the lease has ended"),
            (Purpose::Renew, _) => {
                if let Some(lease) = &mut self.lease {
                    lease.renewal_in_flight = false;
                    // Makes the next attempt due after the retry delay.
                    lease.renewed_at = self.now.since(Micros(self.lease_term.0 / 6)) + RENEW_RETRY_DELAY;
                }
            }
            (Purpose::TakeLeadership | Purpose::Evict, _) => {}
            (Purpose::Load, _) if self.phase != Phase::Loading => {}
            (_, reply) => {
                tracing::debug!(?reply, "registration or loading failed");
                self.leave("joining failed");
            }
        }
    }

    /// Requests the page of followed records that begins after this key.
    pub(super) fn load_page(&mut self, after: String) {
        let prefix = records::WATCHED_PREFIX.to_owned();
        self.enqueue_store_call(Urgency::Entitlement, Purpose::Load, StoreCall::List { prefix, after });
    }

    /// Drops all state that depends on the registration, and registers again after a delay.
    pub(super) fn leave(&mut self, why: &str) {
        if self.phase == Phase::Active {
            tracing::warn!(why, "left the cluster, registering again");
            self.counters.rejoins += 1;
        }
        self.phase = Phase::Unregistered;
        self.join_backoff.failed(self.now, &backoff_policies::JOIN, &mut self.rng);
        self.lease = None;
        self.leader_state = None;
        self.next_follow_at = None;
        self.loaded_entries.clear();
        self.clear_replica();
        let polls = std::mem::take(&mut self.pending_polls);
        self.defer_polls(polls);
        for (purpose, _) in self.store_calls.clear() {
            self.defer_request(purpose);
        }
        // Replies to calls made under the former registration must not be taken for replies under the next one.
        let calls: Vec<_> = self.store_calls_in_flight.drain().collect();
        for (_, (purpose, _)) in calls {
            self.defer_request(purpose);
        }
    }

    /// Tells the user whose request needed a call to retry later. The call will not be made, or its reply not be read.
    fn defer_request(&mut self, purpose: Purpose) {
        match purpose {
            Purpose::Accept { request, .. } => self.answer(request, super::Answer::RetryLater(1)),
            Purpose::LookUpLive { query, .. }
            | Purpose::LookUpFinal { query, .. }
            | Purpose::Withdraw { query, .. } => self.answer(query.request, super::Answer::RetryLater(1)),
            Purpose::CheckLive { polls } => self.defer_polls(polls),
            _ => {}
        }
    }

    /// Tells users who asked about live jobs to retry later.
    fn defer_polls(&mut self, polls: Vec<super::JobQuery>) {
        for query in polls {
            self.answer(query.request, super::Answer::RetryLater(1));
        }
    }
}
