//! The controller's scheduling and coordination logic, as state machines without I/O and without a clock.
//!
//! A [`Controller`] handles events, each with a time on its monotonic clock, and returns the effects that the caller is
//! to carry out. It never blocks, so a seeded test can simulate a whole cluster step by step.

mod admission;
mod backfill;
mod backoff_policies;
mod call_purposes;
mod conclusions;
mod counters;
mod direct_calls;
mod eligibility;
mod events;
pub mod fair_volumes;
mod final_states;
mod fleet_demand;
mod fleet_scaling;
mod forgetting;
mod gangs;
mod health;
mod knowledge;
mod leader;
mod machine_moves;
mod membership;
mod model;
mod order_log;
mod peer_statuses;
mod pending_start;
mod placement;
mod precedence;
mod preemption;
mod progress;
mod quota;
mod removal;
mod rentals;
mod replica;
mod stalls;
mod start_gate;
mod takeover;
mod task_failures;
mod unreachable_machines;
mod user_requests;
mod volume_plan;
mod wait_reasons;
mod worker_lease_expiry;
mod worker_reports;

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
use crate::bookkeeping::call_queue::{RateLimitedQueue, Urgency};
use crate::bookkeeping::final_state_cache::FinalStateCache;
use crate::bookkeeping::records::{QuotaRecord, UninformedRecord, ViewRecord};
use crate::protocol::cloud::{CloudCall, MachineType, Rental};
use crate::protocol::job::JobSpec;
use crate::protocol::peer::{MachineStatus, Status};
use crate::protocol::store::{StoreCall, StoreReply};
use crate::protocol::units::{Micros, Resources};
use crate::settings::{Settings, Tuning};

pub(crate) use call_purposes::{CloudPurpose, IfNotFound, JobQuery, LookupGoal, Purpose};
pub use counters::Counters;
pub use events::{Answer, CallId, Effect, Event, RequestId};
pub use model::{Job, Machine};
pub use quota::Breach;
pub use removal::RemovalGround;
pub use wait_reasons::WaitReason;

/// Relative drift allowed for between two machines' monotonic clocks. They may differ by 0.05%; this leaves a margin.
pub(crate) const CLOCK_DRIFT: f64 = 0.001;
/// Margin added to leases for answers that are in flight when a lease expires and for timers that fire late.
pub(crate) const LEASE_SLACK: Micros = Micros::from_millis(300);

/// Minimum time between two placement passes.
const MIN_PLACEMENT_INTERVAL: Micros = Micros::from_millis(90);

/// A map from names of jobs or machines, sorted by name: insert with `insert_sorted`, remove with `shift_remove`.
///
/// Lookups and full scans are far more frequent than changes. A `BTreeMap` spent a fifth of all processor time on
/// comparing names.
pub(crate) type SortedMap<T> = IndexMap<String, T, FxBuildHasher>;

/// State of a controller's registration.
#[derive(Debug, PartialEq)]
pub(crate) enum Phase {
    /// No registration; the controller may do nothing.
    Unregistered,
    /// Obtaining a lease and writing the registration record.
    Registering,
    /// Registered; reading all records.
    Loading,
    /// Registered, and following the changes of the records.
    Active,
}

/// The lease of this controller's registration.
#[derive(Debug)]
pub(crate) struct Lease {
    pub id: u64,
    /// Revision of the registration record, which is a condition of every transaction; 0 until it is written.
    pub registration: u64,
    /// The controller does not act on the lease after this time.
    pub valid_until: Micros,
    /// When the last successful request, creation or renewal, was sent.
    pub confirmed_at: Micros,
    /// The next renewal is due a sixth of the lease's term after this time.
    pub renewed_at: Micros,
    /// A renewal is in flight.
    pub renewal_in_flight: bool,
}

/// What this controller knows of another one from its messages.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    /// When its last status was received.
    pub last_received_at: Micros,
    pub status: Option<Status>,
    /// Its last status of each machine, with times converted to this controller's clock.
    pub machine_statuses: FxHashMap<String, MachineStatus>,
    /// When a full status was last requested from it, after one had been missed.
    pub resync_requested_at: Micros,
}

/// The state of one controller.
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) tuning: Tuning,
    /// Term of a controller's lease.
    pub(crate) lease_term: Micros,
    /// Term of a worker's lease, which answers to its reports renew.
    pub(crate) worker_lease: Micros,
    /// Regular time between two reports of a worker.
    pub(crate) report_every: Micros,
    /// Time of the event being handled.
    pub(crate) now: Micros,
    pub(crate) rng: StdRng,
    /// Effects of the event being handled.
    pub(crate) effects: Vec<Effect>,

    next_call: CallId,
    pub(crate) store_calls: RateLimitedQueue<(Purpose, StoreCall)>,
    store_calls_in_flight: HashMap<CallId, (Purpose, Micros)>,
    /// Calls and writes per second that this controller may make without a rate lease.
    pub(crate) base_rates: (f64, f64),
    pub(crate) submission_limiter: SubmissionLimiter,
    /// The part of the state service's limits that this controller holds by a plan of the leader.
    pub(crate) held_rate_lease: HeldLease,
    pub(crate) next_load_report_at: Micros,
    pub(crate) cloud_calls: RateLimitedQueue<(CloudPurpose, CloudCall)>,
    cloud_calls_in_flight: HashMap<CallId, CloudPurpose>,

    pub(crate) phase: Phase,
    pub(crate) join_backoff: Backoff,
    pub(crate) lease: Option<Lease>,
    /// Why this controller was inactive at its last tick, if it was.
    pub(crate) last_inactive_reason: Option<knowledge::InactiveReason>,
    /// When the state service last gave a definite reply.
    pub(crate) last_store_reply_at: Micros,

    // Replica of the state service's records under the followed prefix.
    /// Revision up to which changes have been applied.
    pub(crate) applied_revision: u64,
    /// Keys of records that this version cannot read.
    pub(crate) unreadable_keys: BTreeSet<String>,
    /// Records read so far while the controller is loading.
    pub(crate) loaded_entries: Vec<crate::protocol::store::Entry>,
    /// When the next request for changes is sent; `None` while one is in flight, or none can be made.
    pub(crate) next_follow_at: Option<Micros>,
    pub(crate) follow_backoff: Backoff,
    /// When the last successful request for changes was sent. The replica is at least as recent as that.
    pub(crate) replica_as_of: Micros,
    pub(crate) jobs: SortedMap<Job>,
    /// Registered controllers and the revisions of their registration records.
    pub(crate) registrations: BTreeMap<String, u64>,
    /// The leader, the revision of its registration, and the revision of the leader record.
    pub(crate) leader: Option<(String, u64, u64)>,
    pub(crate) view: ViewRecord,
    /// Revision of the view record.
    pub(crate) view_revision: u64,
    /// The highest fencing token granted so far, and the revision of its record.
    pub(crate) token_counter: (u64, u64),
    /// The division of the teams' limits among the controllers, and the revision of its record.
    pub(crate) quota_record: (QuotaRecord, u64),
    /// Block records of machines by number, with their revisions.
    pub(crate) shards: BTreeMap<usize, (Block, u64)>,
    /// Jobs that have ended while some of their tasks may still be on machines, known or not.
    pub(crate) retired: BTreeMap<String, Job>,
    /// By job, the machines with tasks of jobs that this controller has no record of: the record has not been read yet,
    /// or has been deleted. A new job looks up its machines here instead of scanning all of them.
    pub(crate) machines_with_unknown_tasks: HashMap<String, BTreeSet<String>>,
    /// Recently ended jobs, whose tasks may still take resources: when the job was removed, its team, and the amount.
    pub(crate) recently_removed: VecDeque<(Micros, String, Resources)>,
    /// Teams whose limits may be reached, as of the present placement pass.
    pub(crate) teams_with_binding_limit: BTreeSet<String>,
    pub(crate) quota_guard: quota::Guard,
    /// Rental records by request, with their revisions.
    pub(crate) rentals: BTreeMap<String, (Rental, u64)>,
    /// Recorded completion chunks by job and chunk number, with the revisions of their records.
    pub(crate) done_keys: BTreeMap<String, BTreeMap<usize, u64>>,

    pub(crate) machines: SortedMap<Machine>,
    pub(crate) machine_types: BTreeMap<String, MachineType>,
    /// When the cloud was last asked for its machine types.
    pub(crate) machine_types_requested_at: Option<Micros>,
    pub(crate) peers: BTreeMap<String, Peer>,
    /// The latest job of each class that must start sooner than a machine boots.
    pub(crate) fast_start_jobs: BTreeMap<String, JobSpec>,
    /// Machines on which room is kept for such a class: machine and class.
    pub(crate) fast_start_reservations: BTreeMap<String, String>,
    /// Zones in which room is held back for a gang that fits nowhere: zone, or empty for all zones, and job.
    pub(crate) gang_reservations: Vec<(String, String)>,
    pub(crate) last_tick_at: Micros,
    /// When this process last resumed after a pause during which it received nothing.
    pub(crate) resumed_at: Micros,
    /// Controllers that refuse connections: time of the first refusal, and number of refusals.
    pub(crate) refused_connections: BTreeMap<String, (Micros, u32)>,
    /// Workers that reported to this controller instead of their owner, by owner and machine: the first such report,
    /// and the last one after the worker had been redirected to its owner.
    pub(crate) worker_failovers: BTreeMap<(String, String), (Micros, Micros)>,
    /// Last known eviction of each controller: when this controller learned of it, and its revision.
    pub(crate) evictions: BTreeMap<String, (Micros, u64)>,
    /// Applied revisions and when each was reached, over the last lease term.
    pub(crate) read_history: VecDeque<(u64, Micros)>,
    /// This controller evicts no other one before this time.
    pub(crate) next_eviction_at: Micros,
    /// Starts announced to the other controllers, and their confirmations.
    pub(crate) announcements: Announcements,
    /// For which machines all tasks that may be on them are known.
    pub(crate) machine_knowledge: MachineKnowledge,
    /// This controller's record of the peers whose confirmations its starts do not wait for, and the record's revision.
    pub(crate) uninformed_record: (UninformedRecord, u64),
    /// A transaction that writes that record is in flight.
    pub(crate) uninformed_write_in_flight: bool,
    /// Attributes task failures to jobs or machines.
    pub(crate) fault_attribution: FaultAttribution,
    /// Queries to the other controllers about unresolved machines during a takeover.
    pub(crate) witness_queries: WitnessQueries,
    /// Tasks of own jobs on other controllers' machines may have been marked to stop.
    pub(crate) remote_stops_pending: bool,
    /// Machines not accounted for yet since jobs were taken over.
    pub(crate) unresolved_machines: BTreeSet<String>,
    /// Users' queries about jobs that this controller knows as live, waiting for the next check against the state
    /// service.
    pub(crate) pending_polls: Vec<JobQuery>,
    pub(crate) next_poll_check_at: Micros,
    /// Final states of ended jobs.
    pub(crate) final_states: FinalStateCache,
    pub(crate) final_states_scan: final_states::FinalStatesScan,
    /// Ends of jobs that some other controllers may not know of, by job.
    pub(crate) unsettled_ends: IndexMap<String, final_states::UnsettledEnd>,
    /// By controller: its registration, and the last of this controller's statuses up to which it has received all.
    pub(crate) status_confirmations: BTreeMap<String, (u64, u64)>,
    /// Users' requests that wait until an end is settled.
    pub(crate) end_waiters: Vec<final_states::EndWaiter>,
    pub(crate) next_end_check_at: Micros,
    /// Present while this controller is the leader.
    pub(crate) leader_state: Option<leader::LeaderState>,
    /// When to try next to become the leader; zero while there is one.
    pub(crate) next_leader_attempt_at: Micros,
    /// When the leader's volumes were last received.
    pub(crate) volumes_received_at: Micros,
    pub(crate) wait_summary: wait_reasons::WaitSummary,
    /// When a status is to be sent, if earlier than the next regular one.
    pub(crate) status_due_at: Option<Micros>,
    pub(crate) last_regular_status_at: Micros,
    pub(crate) last_status_at: Micros,
    /// Number of the last broadcast status.
    pub(crate) status_sequence: u64,
    /// Number of statuses sent to single controllers since the last broadcast.
    pub(crate) unicast_statuses: u32,
    /// The last broadcast status of each own machine, and the session and number of the last worker message it covers.
    pub(crate) sent_machine_statuses: FxHashMap<String, (MachineStatus, (u64, u64))>,
    /// When completions are next recorded.
    pub(crate) next_progress_flush_at: Micros,
    /// Something has changed since the last placement pass.
    pub(crate) placement_due: bool,
    next_placement_at: Micros,
    /// The view contains this controller's present registration.
    pub(crate) is_view_member: bool,
    /// Jobs have been taken over, and not all machines are accounted for yet.
    pub(crate) takeover_in_progress: bool,
    /// How often tasks were concluded to be no longer on a machine, by the ground for it.
    pub(crate) removal_counts: BTreeMap<RemovalGround, u64>,
    /// The latest of these conclusions, kept to detect messages that contradict them.
    pub(crate) conclusions: conclusions::Conclusions,
    pub counters: Counters,
    /// Orders starts without waiting for the other controllers' confirmations.
    #[cfg(test)]
    pub(crate) skip_confirmations: bool,
    /// Gives each job a volume of all its unfinished tasks, whatever the leader's volumes are.
    #[cfg(test)]
    pub(crate) ignore_leader_volumes: bool,
    /// Grants a single token with each machine, as earlier versions did.
    #[cfg(test)]
    pub(crate) grants_single_tokens: bool,
}

impl Controller {
    pub fn new(settings: Settings, tuning: Tuning, seed: u64) -> Controller {
        let count = settings.controller_names().len() as f64;
        let state = settings.params.state;
        let cloud = settings.params.cloud;
        let workers = settings.params.workers;
        Controller {
            lease_term: settings.lease_term(&tuning),
            worker_lease: Micros::from_secs_f64(workers.lease_s),
            report_every: Micros::from_secs_f64(workers.report_s),
            now: Micros::ZERO,
            rng: StdRng::seed_from_u64(seed),
            effects: Vec::new(),
            next_call: 0,
            // Each controller uses at most its part of the limits, so that the sum stays within them.
            store_calls: RateLimitedQueue::new(state.rps * 0.95 / count, state.write_rps * 0.95 / count, 0.9),
            base_rates: (0.0, 0.0),
            submission_limiter: SubmissionLimiter::default(),
            held_rate_lease: HeldLease::default(),
            next_load_report_at: Micros::ZERO,
            store_calls_in_flight: HashMap::new(),
            cloud_calls: RateLimitedQueue::new(cloud.rps * 0.8, cloud.rps, 1.0),
            cloud_calls_in_flight: HashMap::new(),
            phase: Phase::Unregistered,
            join_backoff: Backoff::default(),
            lease: None,
            last_inactive_reason: Some(knowledge::InactiveReason::Unjoined),
            last_store_reply_at: Micros::ZERO,
            applied_revision: 0,
            unreadable_keys: BTreeSet::new(),
            loaded_entries: Vec::new(),
            next_follow_at: None,
            follow_backoff: Backoff::default(),
            replica_as_of: Micros::ZERO,
            jobs: SortedMap::default(),
            registrations: BTreeMap::new(),
            leader: None,
            view: ViewRecord::default(),
            view_revision: 0,
            token_counter: (0, 0),
            quota_record: Default::default(),
            shards: BTreeMap::new(),
            retired: BTreeMap::new(),
            machines_with_unknown_tasks: HashMap::new(),
            recently_removed: VecDeque::new(),
            teams_with_binding_limit: BTreeSet::new(),
            quota_guard: quota::Guard::default(),
            rentals: BTreeMap::new(),
            done_keys: BTreeMap::new(),
            machines: SortedMap::default(),
            machine_types: BTreeMap::new(),
            machine_types_requested_at: None,
            peers: BTreeMap::new(),
            last_tick_at: Micros::ZERO,
            resumed_at: Micros::ZERO,
            refused_connections: BTreeMap::new(),
            worker_failovers: BTreeMap::new(),
            evictions: BTreeMap::new(),
            read_history: VecDeque::new(),
            next_eviction_at: Micros::ZERO,
            fast_start_jobs: BTreeMap::new(),
            fast_start_reservations: BTreeMap::new(),
            gang_reservations: Vec::new(),
            announcements: Announcements::new(),
            machine_knowledge: MachineKnowledge::new(),
            uninformed_record: Default::default(),
            uninformed_write_in_flight: false,
            fault_attribution: FaultAttribution::default(),
            witness_queries: WitnessQueries::default(),
            remote_stops_pending: false,
            unresolved_machines: BTreeSet::new(),
            pending_polls: Vec::new(),
            next_poll_check_at: Micros::ZERO,
            final_states: FinalStateCache::new(tuning.final_cache),
            final_states_scan: Default::default(),
            unsettled_ends: IndexMap::new(),
            status_confirmations: BTreeMap::new(),
            end_waiters: Vec::new(),
            next_end_check_at: Micros::ZERO,
            leader_state: None,
            next_leader_attempt_at: Micros::ZERO,
            volumes_received_at: Micros::ZERO,
            wait_summary: wait_reasons::WaitSummary::default(),
            status_due_at: None,
            last_regular_status_at: Micros::ZERO,
            last_status_at: Micros::ZERO,
            status_sequence: 0,
            unicast_statuses: 0,
            sent_machine_statuses: FxHashMap::default(),
            next_progress_flush_at: Micros::ZERO,
            placement_due: false,
            next_placement_at: Micros::ZERO,
            is_view_member: false,
            takeover_in_progress: false,
            removal_counts: BTreeMap::new(),
            conclusions: conclusions::Conclusions::default(),
            counters: Counters::default(),
            #[cfg(test)]
            skip_confirmations: false,
            #[cfg(test)]
            ignore_leader_volumes: false,
            #[cfg(test)]
            grants_single_tokens: false,
            settings,
            tuning,
        }
    }

    /// This controller's member name.
    pub fn own_name(&self) -> &str {
        &self.settings.member
    }

    /// This controller's name and the revision of its registration, 0 without one.
    pub(crate) fn incarnation(&self) -> Incarnation {
        (self.settings.member.clone(), self.lease.as_ref().map_or(0, |l| l.registration))
    }

    /// Handles one event and returns the effects to carry out.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Store(call, reply) => {
                if let Some((purpose, sent)) = self.store_calls_in_flight.remove(&call) {
                    self.handle_store_reply(purpose, sent, reply);
                }
            }
            Event::Cloud(call, reply) => {
                if let Some(purpose) = self.cloud_calls_in_flight.remove(&call) {
                    self.handle_cloud_reply(purpose, reply);
                }
            }
            Event::Peer(from, message) => self.handle_peer_message(from, message),
            Event::ConnectionRefused(member) => self.handle_connection_refused(member),
            Event::Report(request, report) => self.handle_report(request, report),
            Event::WorkerReply { machine, token, reply } => self.handle_direct_reply(&machine, token, reply),
            Event::Submit(request, spec) => self.handle_submission(request, spec),
            Event::Query(request, job) => self.handle_query(request, job),
            Event::Withdraw(request, job) => self.handle_withdrawal(request, job),
        }
        if self.begin_due_placement() {
            self.run_placement_pass();
            self.status_tick();
            self.send_direct_calls();
        }
        self.answer_end_waiters();
        self.send_calls();
        std::mem::take(&mut self.effects)
    }

    /// Returns whether a placement pass is due; if so, the caller has to run it, as it counts as begun.
    ///
    /// Passes are spaced because many events call for one. On a large deployment a pass for each event would take more
    /// than the controller's whole share of the processor.
    pub(crate) fn begin_due_placement(&mut self) -> bool {
        let due = self.placement_due && self.now >= self.next_placement_at;
        if due {
            self.counters.placement_passes += 1;
            self.placement_due = false;
            self.next_placement_at = self.now + MIN_PLACEMENT_INTERVAL;
        }
        due
    }

    fn tick(&mut self) {
        self.detect_process_pause();
        self.membership_tick();
        self.log_inactivity_change();
        for (purpose, _) in self.store_calls.remove_expired(self.now, Micros::from_millis(1_500)) {
            self.handle_store_reply(purpose, self.now, StoreReply::Refused);
        }
        self.admission_tick();
        if self.phase != Phase::Active {
            return;
        }
        self.check_polls();
        self.read_final_states();
        self.machines_tick();
        self.check_running();
        self.lift_halts();
        self.record_uninformed();
        self.update_wait_reasons();
        self.leader_tick();
        self.placement_due = true;
        self.flush_progress();
        self.types_tick();
        self.status_tick();
    }

    pub(crate) fn enqueue_store_call(&mut self, urgency: Urgency, purpose: Purpose, call: StoreCall) {
        let writes = call.writes();
        self.store_calls.push(self.now, urgency, writes, (purpose, call));
    }

    pub(crate) fn enqueue_cloud_call(&mut self, urgency: Urgency, purpose: CloudPurpose, call: CloudCall) {
        self.cloud_calls.push(self.now, urgency, 0, (purpose, call));
    }

    /// Moves queued calls to the effects, as far as their rates allow.
    fn send_calls(&mut self) {
        while let Some((purpose, call)) = self.store_calls.pop(self.now) {
            self.next_call += 1;
            self.store_calls_in_flight.insert(self.next_call, (purpose, self.now));
            self.effects.push(Effect::Store(self.next_call, call));
        }
        while let Some((purpose, call)) = self.cloud_calls.pop(self.now) {
            self.next_call += 1;
            self.cloud_calls_in_flight.insert(self.next_call, purpose);
            self.effects.push(Effect::Cloud(self.next_call, call));
        }
    }

    /// Answers an external request.
    pub(crate) fn answer(&mut self, request: RequestId, answer: Answer) {
        if matches!(answer, Answer::RetryLater(_)) {
            self.counters.deferred += 1;
        }
        self.effects.push(Effect::Answer(request, answer));
    }

    /// Handles the reply to a call that was sent at `sent`. Calls that expired in the queue get a refusal.
    fn handle_store_reply(&mut self, purpose: Purpose, sent: Micros, reply: StoreReply) {
        match reply {
            StoreReply::Refused | StoreReply::Unclear => self.counters.store_failures += 1,
            _ => self.last_store_reply_at = self.now,
        }
        match purpose {
            Purpose::FindFormerRegistration
            | Purpose::ReleaseFormerLease
            | Purpose::Lease
            | Purpose::Register { .. }
            | Purpose::Load
            | Purpose::Renew
            | Purpose::Evict
            | Purpose::TakeLeadership => self.handle_membership_reply(purpose, sent, reply),
            Purpose::Follow => self.handle_follow_reply(sent, reply),
            Purpose::Grant | Purpose::Quota => self.handle_grant_reply(reply),
            Purpose::Accept { request, spec } => self.handle_accept_reply(request, *spec, reply),
            Purpose::LookUpLive { query, goal } => self.handle_live_lookup_reply(query, goal, sent, reply),
            Purpose::CheckLive { polls } => self.handle_poll_check_reply(polls, sent, reply),
            Purpose::LookUpFinal { query, if_not_found } => {
                self.handle_final_lookup_reply(query, if_not_found, reply)
            }
            Purpose::Withdraw { query, tasks } => self.handle_withdraw_reply(query, tasks, reply),
            Purpose::Complete { job, tasks } => self.handle_complete_reply(job, tasks, reply),
            Purpose::Progress { job, chunk } => self.handle_progress_reply(job, chunk, reply),
            Purpose::RentalStored { rental } => self.handle_rental_stored(rental, reply),
            Purpose::RentalClosed { request } => self.handle_rental_closed(request, reply),
            Purpose::Uninformed { record } => self.handle_uninformed_reply(record, reply),
            Purpose::ReadFinals => self.handle_final_states_reply(reply),
            Purpose::Cleanup => {}
        }
    }
}
