//! What a controller decides: plain state machines without I/O or clock.
//!
//! A [`Controller`] takes events, each with the time on its own steady clock, and leaves effects to
//! be carried out. Nothing here waits, so a seeded test can run a whole cluster step by step.

mod admission;
mod backfill;
mod blocks;
mod conclusions;
mod counters;
mod direct_calls;
mod displacement;
mod eligibility;
mod events;
mod failures;
mod finals;
mod fleet;
mod fleet_demand;
mod gangs;
mod intake;
mod knowledge;
mod lapses;
mod leader;
mod machines;
mod membership;
mod model;
mod pending;
mod placement;
mod precedence;
mod progress;
mod purposes;
mod quota;
mod reach;
mod removal;
mod rentals;
mod replica;
mod rules;
mod stalls;
mod start_gate;
mod takeover;
mod volume_plan;
pub mod volumes;
mod waiting;
mod words;

#[cfg(test)]
mod simulation;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use indexmap::IndexMap;
use marblewalk_admission::{rate_plan::HeldLease, submission_limiter::SubmissionLimiter};
use marblewalk_fault_attribution::FaultAttribution;
use marblewalk_recovery::{Announcements, Incarnation, MachineKnowledge, WitnessQueries};
use marblewalk_retry::Backoff;
use rand::{SeedableRng, rngs::StdRng};
use rustc_hash::{FxBuildHasher, FxHashMap};

use crate::bookkeeping::blocks::Block;
use crate::bookkeeping::budget::{Budget, Urgency};
use crate::bookkeeping::cache::FinalCache;
use crate::bookkeeping::records::{QuotaRecord, UninformedRecord, ViewRecord};
use crate::protocol::cloud::{CloudCall, MachineType, Rental};
use crate::protocol::job::JobSpec;
use crate::protocol::peer::{MachineStatus, Status};
use crate::protocol::store::{StoreCall, StoreReply};
use crate::protocol::units::{Micros, Resources};
use crate::settings::{Settings, Tuning};

pub use counters::Counters;
pub use events::{Answer, CallId, Effect, Event, RequestId};
pub use model::{Job, Machine};
pub(crate) use purposes::{CloudPurpose, Missing, Purpose, Question, Wanted};
pub use quota::Breach;
pub use removal::Removal;
pub use waiting::WaitReason;

/// Steady clocks of two machines may drift apart by 0.05%; this leaves a margin.
pub(crate) const DRIFT: f64 = 0.001;
/// Answers in flight when a lease runs out, and timers that fire late.
pub(crate) const SLACK: Micros = Micros::from_millis(300);

/// Least time between two passes over the jobs that wait for a start.
const PLACE_SPACING: Micros = Micros::from_millis(90);

/// Jobs or machines, in the order of their names: new ones go in by `insert_sorted`, and leave by
/// `shift_remove`. They are looked up far more often than they come and go, and all are looked through in
/// every round: a tree of names spent a fifth of all processor time on comparing them.
pub(crate) type ByName<T> = IndexMap<String, T, FxBuildHasher>;

/// Where a controller stands in its own life.
#[derive(Debug, PartialEq)]
pub(crate) enum Phase {
    /// No registration: nothing may be done.
    Outside,
    Registering,
    Loading,
    Active,
}

#[derive(Debug)]
pub(crate) struct Lease {
    pub id: u64,
    /// Stamp of the registration: entitles every transaction.
    pub stamp: u64,
    pub valid_until: Micros,
    /// When the last renewal that was answered was sent.
    pub proved: Micros,
    pub renewed: Micros,
    pub renewing: bool,
}

/// What another controller last said of itself.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    pub heard: Micros,
    pub status: Option<Status>,
    /// Its last word on each machine, with instants on this controller's clock.
    pub words: FxHashMap<String, MachineStatus>,
    pub asked_again: Micros,
}

/// One controller.
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) tuning: Tuning,
    pub(crate) lease_term: Micros,
    pub(crate) worker_lease: Micros,
    pub(crate) report_every: Micros,
    pub(crate) now: Micros,
    pub(crate) rng: StdRng,
    pub(crate) effects: Vec<Effect>,

    next_call: CallId,
    pub(crate) calls: Budget<(Purpose, StoreCall)>,
    in_flight: HashMap<CallId, (Purpose, Micros)>,
    /// Calls and changes a second that are this controller's without a plan.
    pub(crate) own_rates: (f64, f64),
    pub(crate) door: SubmissionLimiter,
    pub(crate) held: HeldLease,
    pub(crate) word_at: Micros,
    pub(crate) cloud_calls: Budget<(CloudPurpose, CloudCall)>,
    cloud_in_flight: HashMap<CallId, CloudPurpose>,

    pub(crate) phase: Phase,
    pub(crate) joining: Backoff,
    pub(crate) lease: Option<Lease>,
    /// Why this controller was silent at its last tick.
    pub(crate) silent: Option<knowledge::Silence>,
    pub(crate) store_heard: Micros,

    // Replica of what the store holds under the followed prefix.
    pub(crate) applied: u64,
    /// Keys of records that this version cannot read.
    pub(crate) unreadable: BTreeSet<String>,
    pub(crate) loading: Vec<crate::protocol::store::Entry>,
    pub(crate) follow_at: Option<Micros>,
    pub(crate) following: Backoff,
    /// When the last request for changes that was answered was sent: the replica is as new as that.
    pub(crate) followed_at: Micros,
    pub(crate) jobs: ByName<Job>,
    pub(crate) nodes: BTreeMap<String, u64>,
    pub(crate) leader: Option<(String, u64, u64)>,
    pub(crate) view: ViewRecord,
    pub(crate) view_stamp: u64,
    pub(crate) counter: (u64, u64),
    pub(crate) quota: (QuotaRecord, u64),
    pub(crate) shards: BTreeMap<usize, (Block, u64)>,
    /// Jobs that are over while tasks of theirs may still be somewhere.
    pub(crate) retired: BTreeMap<String, Job>,
    /// Machines with tasks of jobs that this controller has no record of: not yet, or no more. Each new record
    /// looks here rather than through all machines.
    pub(crate) strangers: HashMap<String, BTreeSet<String>>,
    /// What jobs that have lately left the records may still take: since when, team and amount.
    pub(crate) removed: VecDeque<(Micros, String, Resources)>,
    /// Teams whose limits must be counted, as of the present pass.
    pub(crate) bound: BTreeSet<String>,
    pub(crate) quota_guard: quota::Guard,
    pub(crate) rentals: BTreeMap<String, (Rental, u64)>,
    pub(crate) done_keys: BTreeMap<String, BTreeMap<usize, u64>>,

    pub(crate) machines: ByName<Machine>,
    pub(crate) types: BTreeMap<String, MachineType>,
    pub(crate) types_at: Option<Micros>,
    pub(crate) peers: BTreeMap<String, Peer>,
    /// The latest job of each class that must start sooner than a machine boots.
    pub(crate) quick: BTreeMap<String, JobSpec>,
    /// Machines with room kept for such a class.
    pub(crate) kept: BTreeMap<String, String>,
    /// Zones in which room is held back for a gang that fits nowhere.
    pub(crate) reserved: Vec<(String, String)>,
    /// The last tick, and since when ticks have come as they should.
    pub(crate) ticked: Micros,
    pub(crate) awake_since: Micros,
    /// Controllers that refuse connections: since when, and how often.
    pub(crate) refusals: BTreeMap<String, (Micros, u32)>,
    /// Workers that have turned to this controller instead of their owner: when first, and when again
    /// after they had been sent back. By owner and machine.
    pub(crate) turned: BTreeMap<(String, String), (Micros, Micros)>,
    /// When controllers were last evicted, as far as this one knows, and in which revision.
    pub(crate) evicted: BTreeMap<String, (Micros, u64)>,
    /// Up to which revision the changes had been read, and when, over the last term of a lease.
    pub(crate) read_by: VecDeque<(u64, Micros)>,
    pub(crate) evict_at: Micros,
    /// Starts announced to the others, and what follows from theirs.
    pub(crate) announcements: Announcements,
    pub(crate) ledger: MachineKnowledge,
    /// The record of controllers that this one does not wait for, its stamp, and whether it is being
    /// written.
    pub(crate) uninformed: (UninformedRecord, u64),
    pub(crate) recording: bool,
    /// What failures say of jobs and machines.
    pub(crate) blame: FaultAttribution,
    /// What is asked of the others while jobs are taken over.
    pub(crate) inquiry: WitnessQueries,
    /// Tasks of own jobs on others' machines may have been asked to stop.
    pub(crate) stops_abroad: bool,
    /// Machines not yet accounted for since jobs were taken over.
    pub(crate) unresolved: BTreeSet<String>,
    /// Users' questions about jobs that are live as far as this controller knows.
    pub(crate) polls: Vec<Question>,
    pub(crate) polls_at: Micros,
    pub(crate) finals: FinalCache,
    pub(crate) reading_finals: finals::Reading,
    /// Ends that not all others are known to know of, by job.
    pub(crate) spreading: IndexMap<String, finals::Spreading>,
    /// Up to which status each registration of the others has taken in this controller's.
    pub(crate) statuses_heard: BTreeMap<String, (u64, u64)>,
    /// Users who wait until all know of a withdrawal.
    pub(crate) awaiting: Vec<finals::Awaiting>,
    pub(crate) awaiting_at: Micros,
    pub(crate) lead: Option<leader::Leading>,
    pub(crate) lead_at: Micros,
    pub(crate) volumes_heard: Micros,
    pub(crate) waits: waiting::Waits,
    pub(crate) status_due: Option<Micros>,
    pub(crate) status_sent: Micros,
    pub(crate) announced_at: Micros,
    pub(crate) status_sequence: u64,
    /// Statuses to single controllers since the last one to all.
    pub(crate) statuses_to_single: u32,
    /// What the others have been told of this controller's machines, and how far these were read.
    pub(crate) told: FxHashMap<String, (MachineStatus, (u64, u64))>,
    pub(crate) flush_at: Micros,
    pub(crate) place_due: bool,
    place_at: Micros,
    /// The view names this controller under its present registration.
    pub(crate) placing: bool,
    /// Jobs have been taken over and not all machines are accounted for.
    pub(crate) taking_over: bool,
    /// How often tasks were taken for gone, by what that rested on.
    pub(crate) removals: BTreeMap<Removal, u64>,
    /// The latest of these, to notice when one turns out to be wrong.
    pub(crate) conclusions: conclusions::Conclusions,
    pub counters: Counters,
    #[cfg(test)]
    pub(crate) careless: bool,
    #[cfg(test)]
    pub(crate) alone: bool,
}

impl Controller {
    pub fn new(settings: Settings, tuning: Tuning, seed: u64) -> Controller {
        let count = settings.everyone().len() as f64;
        let state = settings.params.state;
        let cloud = settings.params.cloud;
        let workers = settings.params.workers;
        Controller {
            lease_term: settings.lease(&tuning),
            worker_lease: Micros::from_secs_f64(workers.lease_s),
            report_every: Micros::from_secs_f64(workers.report_s),
            now: Micros::ZERO,
            rng: StdRng::seed_from_u64(seed),
            effects: Vec::new(),
            next_call: 0,
            // Each controller keeps to its part of the limits, so that together they stay within.
            calls: Budget::new(state.rps * 0.95 / count, state.write_rps * 0.95 / count, 0.9),
            own_rates: (0.0, 0.0),
            door: SubmissionLimiter::default(),
            held: HeldLease::default(),
            word_at: Micros::ZERO,
            in_flight: HashMap::new(),
            cloud_calls: Budget::new(cloud.rps * 0.8, cloud.rps, 1.0),
            cloud_in_flight: HashMap::new(),
            phase: Phase::Outside,
            joining: Backoff::default(),
            lease: None,
            silent: Some(knowledge::Silence::Unjoined),
            store_heard: Micros::ZERO,
            applied: 0,
            unreadable: BTreeSet::new(),
            loading: Vec::new(),
            follow_at: None,
            following: Backoff::default(),
            followed_at: Micros::ZERO,
            jobs: ByName::default(),
            nodes: BTreeMap::new(),
            leader: None,
            view: ViewRecord::default(),
            view_stamp: 0,
            counter: (0, 0),
            quota: Default::default(),
            shards: BTreeMap::new(),
            retired: BTreeMap::new(),
            strangers: HashMap::new(),
            removed: VecDeque::new(),
            bound: BTreeSet::new(),
            quota_guard: quota::Guard::default(),
            rentals: BTreeMap::new(),
            done_keys: BTreeMap::new(),
            machines: ByName::default(),
            types: BTreeMap::new(),
            types_at: None,
            peers: BTreeMap::new(),
            ticked: Micros::ZERO,
            awake_since: Micros::ZERO,
            refusals: BTreeMap::new(),
            turned: BTreeMap::new(),
            evicted: BTreeMap::new(),
            read_by: VecDeque::new(),
            evict_at: Micros::ZERO,
            quick: BTreeMap::new(),
            kept: BTreeMap::new(),
            reserved: Vec::new(),
            announcements: Announcements::new(),
            ledger: MachineKnowledge::new(),
            uninformed: Default::default(),
            recording: false,
            blame: FaultAttribution::default(),
            inquiry: WitnessQueries::default(),
            stops_abroad: false,
            unresolved: BTreeSet::new(),
            polls: Vec::new(),
            polls_at: Micros::ZERO,
            finals: FinalCache::new(tuning.final_cache),
            reading_finals: Default::default(),
            spreading: IndexMap::new(),
            statuses_heard: BTreeMap::new(),
            awaiting: Vec::new(),
            awaiting_at: Micros::ZERO,
            lead: None,
            lead_at: Micros::ZERO,
            volumes_heard: Micros::ZERO,
            waits: waiting::Waits::default(),
            status_due: None,
            status_sent: Micros::ZERO,
            announced_at: Micros::ZERO,
            status_sequence: 0,
            statuses_to_single: 0,
            told: FxHashMap::default(),
            flush_at: Micros::ZERO,
            place_due: false,
            place_at: Micros::ZERO,
            placing: false,
            taking_over: false,
            removals: BTreeMap::new(),
            conclusions: conclusions::Conclusions::default(),
            counters: Counters::default(),
            #[cfg(test)]
            careless: false,
            #[cfg(test)]
            alone: false,
            settings,
            tuning,
        }
    }

    pub fn me(&self) -> &str {
        &self.settings.member
    }

    pub(crate) fn life(&self) -> Incarnation {
        (self.settings.member.clone(), self.lease.as_ref().map_or(0, |l| l.stamp))
    }

    /// Takes one event and returns what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Store(call, reply) => {
                if let Some((purpose, sent)) = self.in_flight.remove(&call) {
                    self.store_replied(purpose, sent, reply);
                }
            }
            Event::Cloud(call, reply) => {
                if let Some(purpose) = self.cloud_in_flight.remove(&call) {
                    self.cloud_replied(purpose, reply);
                }
            }
            Event::Peer(from, message) => self.peer_said(from, message),
            Event::Refused(member) => self.refused_by(member),
            Event::Report(request, report) => self.reported(request, report),
            Event::Worker { machine, token, reply } => self.worker_replied(&machine, token, reply),
            Event::Submit(request, spec) => self.submitted(request, spec),
            Event::Query(request, job) => self.queried(request, job),
            Event::Withdraw(request, job) => self.withdrawal(request, job),
        }
        if self.may_place() {
            self.place();
            self.status_tick();
            self.speak();
        }
        self.answer_awaiting();
        self.send_calls();
        std::mem::take(&mut self.effects)
    }

    /// Whether a pass over all waiting jobs is due. Many events call for one, and on a large
    /// deployment a pass for each would take more than the whole share of the processor.
    pub(crate) fn may_place(&mut self) -> bool {
        let due = self.place_due && self.now >= self.place_at;
        if due {
            self.counters.passes += 1;
            self.place_due = false;
            self.place_at = self.now + PLACE_SPACING;
        }
        due
    }

    fn tick(&mut self) {
        self.notice_standstill();
        self.membership_tick();
        self.note_silence();
        for (purpose, _) in self.calls.expire(self.now, Micros::from_millis(1_500)) {
            self.store_replied(purpose, self.now, StoreReply::Refused);
        }
        self.admission_tick();
        if self.phase != Phase::Active {
            return;
        }
        self.check_polls();
        self.read_finals();
        self.machines_tick();
        self.lift_halts();
        self.record_uninformed();
        self.note_waits();
        self.leader_tick();
        self.place_due = true;
        self.flush_progress();
        self.types_tick();
        self.status_tick();
    }

    pub(crate) fn store(&mut self, urgency: Urgency, purpose: Purpose, call: StoreCall) {
        let writes = call.writes();
        self.calls.push(self.now, urgency, writes, (purpose, call));
    }

    pub(crate) fn cloud(&mut self, urgency: Urgency, purpose: CloudPurpose, call: CloudCall) {
        self.cloud_calls.push(self.now, urgency, 0, (purpose, call));
    }

    fn send_calls(&mut self) {
        while let Some((purpose, call)) = self.calls.pop(self.now) {
            self.next_call += 1;
            self.in_flight.insert(self.next_call, (purpose, self.now));
            self.effects.push(Effect::Store(self.next_call, call));
        }
        while let Some((purpose, call)) = self.cloud_calls.pop(self.now) {
            self.next_call += 1;
            self.cloud_in_flight.insert(self.next_call, purpose);
            self.effects.push(Effect::Cloud(self.next_call, call));
        }
    }

    pub(crate) fn answer(&mut self, request: RequestId, answer: Answer) {
        if matches!(answer, Answer::Later(_)) {
            self.counters.deferred += 1;
        }
        self.effects.push(Effect::Answer(request, answer));
    }

    fn store_replied(&mut self, purpose: Purpose, sent: Micros, reply: StoreReply) {
        match reply {
            StoreReply::Refused | StoreReply::Unclear => self.counters.store_failures += 1,
            _ => self.store_heard = self.now,
        }
        match purpose {
            Purpose::FormerLife
            | Purpose::ReleaseFormer
            | Purpose::Lease
            | Purpose::Register { .. }
            | Purpose::Load
            | Purpose::Renew
            | Purpose::Evict
            | Purpose::Lead => self.membership_replied(purpose, sent, reply),
            Purpose::Follow => self.followed(sent, reply),
            Purpose::Grant | Purpose::Quota => self.granted(reply),
            Purpose::Accept { request, spec } => self.accept_replied(request, *spec, reply),
            Purpose::LookLive { question, wanted } => self.looked_live(question, wanted, sent, reply),
            Purpose::CheckLive { polls } => self.checked_live(polls, sent, reply),
            Purpose::LookFinal { question, missing } => self.looked_final(question, missing, reply),
            Purpose::Withdraw { question, tasks } => self.withdraw_replied(question, tasks, reply),
            Purpose::Complete { job, tasks } => self.complete_replied(job, tasks, reply),
            Purpose::Progress { job, chunk } => self.progress_replied(job, chunk, reply),
            Purpose::RentalStored { rental } => self.rental_stored(rental, reply),
            Purpose::RentalClosed { request } => self.rental_closed(request, reply),
            Purpose::Uninformed { record } => self.uninformed_recorded(record, reply),
            Purpose::Finals => self.finals_read(reply),
            Purpose::Cleanup => {}
        }
    }

    /// Whether this controller can take requests, as far as the load balancer is concerned.
    ///
    /// In an outage of the state service all controllers stay healthy and defer, for being taken out
    /// would only prolong the outage. Only one that alone is cut off from the store steps aside.
    pub fn healthy(&self) -> bool {
        if self.phase != Phase::Active {
            return false;
        }
        let fresh = Micros::from_secs(3);
        let mine = self.now.since(self.store_heard) < fresh + Micros::from_secs(6);
        let others = self
            .peers
            .values()
            .any(|p| self.now.since(p.heard) < fresh && p.status.as_ref().is_some_and(|s| s.store_reachable));
        mine && self.now.since(self.store_heard) < fresh || !others || (self.entitled() && mine)
    }

    pub fn leading(&self) -> bool {
        self.lead.is_some()
    }

    pub fn machine_counts(&self) -> (usize, usize) {
        let mine = self.machines.values().filter(|m| self.owns(m)).count();
        (mine, self.machines.len())
    }

    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    pub fn adopting(&self) -> usize {
        self.unresolved.len()
    }

    /// Starts wait for another controller to confirm that it knows of them.
    pub fn confirmations_owed(&self) -> bool {
        self.announcements.has_unconfirmed()
    }

    /// Records that this version cannot read.
    pub fn records_unread(&self) -> usize {
        self.unreadable.len()
    }

    pub fn waiting_calls(&self) -> usize {
        self.calls.waiting(Urgency::Rest)
    }
}
