//! A controller's own life: registration under a lease, loading the records, leadership.
//!
//! One lease of the state service carries both the registration and, for the leader, the leadership.
//! A block is good for as long as the registration it was granted to, so the lease is also the
//! blocks' lease, and renewing it costs no change of the store.

use std::collections::BTreeMap;

use crate::bookkeeping::budget::Urgency;
use crate::bookkeeping::records::{self, LeaderRecord, NodeRecord};
use crate::coordination::{Controller, Lease, Phase, Purpose, rules};
use crate::protocol::store::{Condition, StoreCall, StoreReply, Transaction, Write};
use crate::protocol::units::Micros;

/// How long it counts that a worker has turned from its owner to another controller.
const TURNED: Micros = Micros::from_secs(5);
/// How long a worker may take to come again that was sent back to an owner that does not answer it.
const SENT_BACK: Micros = Micros::from_secs(10);
/// How long a controller that refuses nobody may say nothing.
const SPEECHLESS: Micros = Micros::from_secs(4);
/// Between two of a controller's ticks there is never so much, unless it has stood still.
const STOOD_STILL: Micros = Micros::from_millis(1_500);
const RETRY: Micros = Micros::from_millis(400);
/// How long a request for changes waits for one. What is known is as old as the request that brought it, so a quiet
/// store must not make it look older than the renewals do.
const HOLD: Micros = Micros::from_secs(1);

impl Controller {
    pub(super) fn membership_tick(&mut self) {
        match self.phase {
            Phase::Outside if self.joining.ready(self.now) => {
                self.phase = Phase::Registering;
                let key = records::node(self.me());
                self.store(Urgency::Entitlement, Purpose::FormerLife, StoreCall::Get { key });
            }
            Phase::Active | Phase::Loading => self.renew_when_due(),
            _ => {}
        }
        if self.phase == Phase::Active {
            if self.follow_at.is_some_and(|at| at <= self.now) {
                self.follow_at = None;
                let call = StoreCall::Follow {
                    prefix: records::FOLLOWED.to_owned(),
                    after: self.applied,
                    hold_ms: HOLD.as_millis(),
                };
                self.store(Urgency::Entitlement, Purpose::Follow, call);
            }
            self.seek_leadership();
            self.evict_suspects();
        }
    }

    fn renew_when_due(&mut self) {
        let every = Micros(self.lease_term.0 / 6);
        let now = self.now;
        if let Some(lease) = &mut self.lease
            && !lease.renewing
            && now.since(lease.renewed) >= every
        {
            lease.renewing = true;
            let call = StoreCall::Renew { lease: lease.id };
            self.store(Urgency::Entitlement, Purpose::Renew, call);
        }
    }

    /// Takes the leadership when nobody has it; the members' order spreads the attempts.
    fn seek_leadership(&mut self) {
        if self.leader.is_some() {
            self.lead_at = Micros::ZERO;
            return;
        }
        if self.lead_at == Micros::ZERO {
            let rank = self.settings.everyone().iter().position(|m| m == self.me()).unwrap_or(0) as u64;
            self.lead_at = self.now + Micros::from_millis(120 * rank);
        }
        if self.now < self.lead_at || !self.entitled() {
            return;
        }
        self.lead_at = self.now + Micros::from_secs(2);
        let Some(lease) = &self.lease else { return };
        let record = LeaderRecord { member: self.me().to_owned(), node: lease.stamp };
        let Ok(value) = serde_json::to_value(record) else { return };
        let transaction = Transaction {
            conditions: vec![Condition::new(records::LEADER, 0), self.entitlement()],
            writes: vec![Write::put_with_lease(records::LEADER, value, lease.id)],
        };
        self.store(Urgency::Entitlement, Purpose::Lead, StoreCall::Commit(transaction));
    }

    pub(super) fn refused_by(&mut self, member: String) {
        let now = self.now;
        let (_, times) = self.refusals.entry(member).or_insert((now, 0));
        *times += 1;
    }

    /// Notes whether this controller has stood still: then it has heard nobody, and has itself to doubt first.
    pub(super) fn notice_standstill(&mut self) {
        if self.now.since(self.ticked) > STOOD_STILL {
            self.awake_since = self.now;
        }
        self.ticked = self.now;
    }

    /// Registered controllers that have said nothing for a while: a short one if they refuse connections, and a
    /// longer one if they do not, for one that stands still or is cut off refuses nobody.
    pub(super) fn suspects(&self) -> Vec<String> {
        let quiet = Micros::from_millis(1_200);
        let silent = |m: &String| self.peers.get(m).is_none_or(|p| self.now.since(p.heard) > quiet);
        let refused = self
            .refusals
            .iter()
            .filter(|(_, (at, n))| *n >= 3 && self.now.since(*at) > Micros::from_millis(700));
        let mut suspects: Vec<String> =
            refused.map(|(m, _)| m.clone()).filter(|m| self.nodes.contains_key(m) && silent(m)).collect();
        let speechless = self.nodes.iter().filter(|(member, node)| {
            // One that has just begun has much to load before its first word.
            let heard = self
                .peers
                .get(*member)
                .filter(|p| p.status.as_ref().is_some_and(|s| s.registration == **node));
            let since = heard.map(|p| p.heard.max(self.awake_since));
            **member != self.settings.member && since.is_some_and(|at| self.now.since(at) > SPEECHLESS)
        });
        for (member, _) in speechless {
            if !suspects.contains(member) {
                suspects.push(member.clone());
            }
        }
        suspects
    }

    /// Whether a suspect may be taken for ended: a refusal tells a little, and silence alone only what more than
    /// half of the registered controllers agree on.
    fn enough_to_judge(&self, member: &str, suspects: &[String]) -> bool {
        self.refusals.contains_key(member) || (self.nodes.len() - suspects.len()) * 2 > self.nodes.len()
    }

    /// Controllers whose workers have turned to this one, though they knew whose they were. Where a
    /// packet filter stands between the controllers alone, all refuse each other though none has
    /// ended: its workers still have it.
    pub(super) fn deserted(&self) -> Vec<String> {
        let mut counts: BTreeMap<&String, usize> = BTreeMap::new();
        for ((owner, _), (_, again)) in &self.turned {
            let lately = *again > Micros::ZERO && self.now.since(*again) < TURNED;
            *counts.entry(owner).or_default() += usize::from(lately);
        }
        // Two are enough to know, and every status asks.
        let held = |owner: &String| self.machines.values().filter(|m| m.row.owner == *owner).take(2).count();
        let enough = |owner: &String, n: usize| n >= 1 && n >= held(owner).max(1);
        counts.into_iter().filter(|(o, n)| enough(o, *n)).map(|(owner, _)| owner.clone()).collect()
    }

    /// Notes that a worker has come here instead of to its owner. One that has not settled may only
    /// not have known whose it is, until it is sent back and comes again.
    pub(super) fn turned_here(&mut self, owner: &str, machine: &str, settled: bool) {
        let now = self.now;
        self.turned.retain(|_, (first, again)| now.since((*first).max(*again)) < SENT_BACK);
        let key = (owner.to_owned(), machine.to_owned());
        self.turned
            .entry(key)
            .and_modify(|(first, again)| {
                if now.since(*first) > Micros::from_millis(500) {
                    *again = now;
                }
            })
            .or_insert((now, if settled { now } else { Micros::ZERO }));
    }

    /// Ends the registration of a controller that, as far as all others can tell, has ended or stands still.
    ///
    /// Neither a refusal nor silence proves anything, so its workers must have turned away as well. Even then
    /// nothing relies on it: the evicted one's transactions fail, its machines are fenced by new tokens, and
    /// unreachable ones wait out its lease. Not twice in half a minute, so that a mistake does not repeat itself.
    fn evict_suspects(&mut self) {
        let suspects = self.suspects();
        if suspects.is_empty() || !self.entitled() || self.now < self.evict_at {
            return;
        }
        let me = self.settings.member.clone();
        let others = || self.nodes.keys().filter(|m| !suspects.contains(*m));
        let words = || {
            others().filter(|m| **m != me).map(|m| {
                let peer = self.peers.get(m).filter(|p| self.now.since(p.heard) < Micros::from_secs(3));
                peer.and_then(|p| p.status.as_ref())
            })
        };
        let agreed = |member: &String| {
            words().all(|s| s.is_some_and(|s| s.suspects.contains(member)))
                && self.enough_to_judge(member, &suspects)
                && (self.deserted().contains(member)
                    || words().flatten().any(|s| s.deserted_controllers.contains(member)))
        };
        let pause = Micros::from_secs(30);
        let fresh = |m: &String| self.evicted.get(m).is_none_or(|(at, _)| self.now.since(*at) > pause);
        let Some((leader, _, leader_stamp)) = self.leader.clone() else { return };
        // The leader evicts; if it is the one to go, the first of the others does and takes over.
        let takes_over = suspects.contains(&leader);
        if if takes_over { others().next() != Some(&me) } else { leader != me } {
            return;
        }
        let first = if takes_over { Some(&leader) } else { suspects.iter().find(|m| fresh(m) && agreed(m)) };
        let Some(member) = first.filter(|m| fresh(m) && agreed(m)).cloned() else { return };
        let (Some(node), Some(lease)) = (self.nodes.get(&member), &self.lease) else { return };
        let mut transaction = Transaction {
            conditions: vec![
                Condition::new(records::LEADER, leader_stamp),
                Condition::new(records::node(&member), *node),
                self.entitlement(),
            ],
            writes: vec![
                Write::delete(records::node(&member)),
                Write::put(records::evicted(&member), (*node).into()),
            ],
        };
        if takes_over {
            let record = LeaderRecord { member: me, node: lease.stamp };
            let Ok(value) = serde_json::to_value(record) else { return };
            transaction.writes.push(Write::put_with_lease(records::LEADER, value, lease.id));
        }
        tracing::warn!(member, "nobody hears it, and its workers have turned away: evicted");
        self.evict_at = self.now + Micros::from_millis(800);
        self.store(Urgency::Entitlement, Purpose::Evict, StoreCall::Commit(transaction));
    }

    /// The condition that every transaction of this controller carries.
    pub(super) fn entitlement(&self) -> Condition {
        // No registration has this stamp, so without one every transaction fails.
        let stamp = self.lease.as_ref().map_or(u64::MAX >> 1, |l| l.stamp);
        Condition::new(records::node(self.me()), stamp)
    }

    pub(super) fn membership_replied(&mut self, purpose: Purpose, sent: Micros, reply: StoreReply) {
        match (purpose, reply) {
            (Purpose::FormerLife, StoreReply::Found { value, .. }) => {
                // One process per controller: whoever holds this registration is no more.
                let lease = serde_json::from_value(value).map_or(0, |r: NodeRecord| r.lease);
                self.store(Urgency::Entitlement, Purpose::ReleaseFormer, StoreCall::Release { lease });
            }
            (Purpose::FormerLife, StoreReply::Missing)
            | (Purpose::ReleaseFormer, StoreReply::Renewed | StoreReply::Missing) => {
                let life_ms = self.lease_term.as_millis();
                self.store(Urgency::Entitlement, Purpose::Lease, StoreCall::Lease { life_ms });
            }
            (Purpose::Lease, StoreReply::Leased { lease }) => {
                let valid_until = self.until(sent);
                self.lease = Some(Lease {
                    id: lease,
                    stamp: 0,
                    valid_until,
                    proved: sent,
                    renewed: sent,
                    renewing: false,
                });
                let key = records::node(self.me());
                let Ok(value) = serde_json::to_value(NodeRecord { lease }) else { return };
                let transaction = Transaction {
                    conditions: vec![Condition::new(key.clone(), 0)],
                    writes: vec![Write::put_with_lease(key, value, lease)],
                };
                self.store(Urgency::Entitlement, Purpose::Register { lease }, StoreCall::Commit(transaction));
            }
            (Purpose::Register { lease }, StoreReply::Committed { revision }) => {
                if let Some(l) = &mut self.lease
                    && l.id == lease
                {
                    l.stamp = revision;
                }
                self.phase = Phase::Loading;
                self.load(String::new());
            }
            (Purpose::Load, StoreReply::Page(page)) if self.phase == Phase::Loading => {
                if self.loading.is_empty() {
                    self.applied = page.revision;
                    // What is read of later pages is newer.
                    self.followed_at = sent;
                }
                let last = page.entries.last().map(|e| e.key.clone());
                self.loading.extend(page.entries);
                match last {
                    Some(after) if page.more => self.load(after),
                    _ => {
                        let entries = std::mem::take(&mut self.loading);
                        self.load_all(entries);
                        self.phase = Phase::Active;
                        self.follow_at = Some(self.now);
                        self.joining.succeeded();
                        tracing::info!(jobs = self.jobs.len(), machines = self.machines.len(), "joined");
                    }
                }
            }
            (Purpose::Renew, StoreReply::Renewed) => {
                let until = self.until(sent);
                if let Some(lease) = &mut self.lease {
                    lease.renewing = false;
                    lease.renewed = sent;
                    lease.proved = lease.proved.max(sent);
                    lease.valid_until = lease.valid_until.max(until);
                }
            }
            (Purpose::Renew, StoreReply::Missing) => self.leave("the lease has ended"),
            (Purpose::Renew, _) => {
                if let Some(lease) = &mut self.lease {
                    lease.renewing = false;
                    lease.renewed = self.now.since(Micros(self.lease_term.0 / 6)) + RETRY;
                }
            }
            (Purpose::Lead | Purpose::Evict, _) => {}
            (Purpose::Load, _) if self.phase != Phase::Loading => {}
            (_, reply) => {
                tracing::debug!(?reply, "joining put off");
                self.leave("joining failed");
            }
        }
    }

    pub(super) fn load(&mut self, after: String) {
        let prefix = records::FOLLOWED.to_owned();
        self.store(Urgency::Entitlement, Purpose::Load, StoreCall::List { prefix, after });
    }

    /// Gives everything up and starts again as a new member.
    pub(super) fn leave(&mut self, why: &str) {
        if self.phase == Phase::Active {
            tracing::warn!(why, "left, joining again");
            self.counters.rejoins += 1;
        }
        self.phase = Phase::Outside;
        self.joining.failed(self.now, &rules::JOIN, &mut self.rng);
        self.lease = None;
        self.lead = None;
        self.follow_at = None;
        self.loading.clear();
        self.forget_replica();
        let polls = std::mem::take(&mut self.polls);
        self.turn_polls_away(polls);
        for (purpose, _) in self.calls.clear() {
            self.turn_away(purpose);
        }
        // Replies of calls made in the former life must not be taken for the new life's.
        let calls: Vec<_> = self.in_flight.drain().collect();
        for (_, (purpose, _)) in calls {
            self.turn_away(purpose);
        }
    }

    /// Answers the request behind a call that will not be made, or whose reply will not be read.
    fn turn_away(&mut self, purpose: Purpose) {
        match purpose {
            Purpose::Accept { request, .. } => self.answer(request, super::Answer::Later(1)),
            Purpose::LookLive { question, .. }
            | Purpose::LookFinal { question, .. }
            | Purpose::Withdraw { question, .. } => self.answer(question.request, super::Answer::Later(1)),
            Purpose::CheckLive { polls } => self.turn_polls_away(polls),
            _ => {}
        }
    }

    fn turn_polls_away(&mut self, polls: Vec<super::Question>) {
        for question in polls {
            self.answer(question.request, super::Answer::Later(1));
        }
    }
}
