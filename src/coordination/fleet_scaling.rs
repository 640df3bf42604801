//! The leader's management of the fleet: which machines it rents and returns.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use marblewalk_retry::Backoff;

use crate::bookkeeping::call_queue::Urgency;
use crate::bookkeeping::records::{self, BlockRow};
use crate::coordination::eligibility::allows;
use crate::coordination::model::{Job, Machine, PlacedTask};
use crate::coordination::{CloudPurpose, Controller, Purpose};
use crate::protocol::cloud::{CloudCall, MachineType, Rental};
use crate::protocol::job::{JobSpec, Shape};
use crate::protocol::store::{StoreCall, Transaction, Write};
use crate::protocol::units::{Micros, Resources};
use crate::protocol::worker::TaskId;

/// Maximum number of machines in one rental request.
const MAX_MACHINES_PER_REQUEST: u64 = 50;
/// Maximum number of rental requests per machine type, zone and pricing (spot or on-demand) in one round.
const MAX_REQUESTS_PER_ROUND: u64 = 4;
/// How long a new leader collects the state of the fleet before it rents.
const NEW_LEADER_RENTAL_DELAY: Micros = Micros::from_secs(2);
/// How much waiting work, in seconds of a slot's time, justifies renting another machine.
const MIN_WORK_PER_MACHINE_S: f64 = 90.0;
/// Approximate time that fetching an image adds to a task, in seconds.
const TYPICAL_FETCH_S: f64 = 10.0;
/// Factor by which idle machines are kept longer if teams have guarantees.
const GUARANTEED_IDLE_FACTOR: f64 = 20.0;
/// How long there must be no live job before guaranteed capacity is returned too.
const NO_JOBS_PERIOD: Micros = Micros::from_secs(20);
/// Length of the window of past arrivals from which future ones are estimated.
pub(super) const ARRIVAL_WINDOW: Micros = Micros::from_secs(60);
/// How often the machine types and prices are read.
const TYPES_INTERVAL: Micros = Micros::from_secs(60);

/// How often the machines are listed. A new leader does so at once, to learn the machines' addresses.
const LIST_INTERVAL: Micros = Micros::from_secs(5);

/// The leader's state of rentals, returns and demand.
#[derive(Debug, Default)]
pub(crate) struct FleetState {
    /// A listing of the machines is in progress.
    pub list_in_flight: bool,
    pub list_started_at: Option<Micros>,
    /// The last name of the previous page: the requested page begins after it.
    pub list_cursor: String,
    /// Machines whose name lies in the range of a page that does not contain them.
    pub unlisted: BTreeSet<String>,
    /// Type, zone and pricing (spot or not) of refused rentals: until when none is tried again, and how many were
    /// refused in a row.
    pub refusals: BTreeMap<(String, String, bool), (Micros, u32)>,
    /// Rentals that are being stored or requested, by request name.
    pub pending_rentals: BTreeMap<String, Rental>,
    /// Those of them whose last request had no conclusive answer, and when to repeat it.
    pub unconfirmed_rentals: BTreeMap<String, (Rental, Backoff)>,
    /// Those whose repeated request has not been answered.
    pub retries_in_flight: BTreeSet<String>,
    /// Number of request names that this leader has used.
    pub requests_named: u64,
    /// Machines that a rental's answer or the cloud's list has shown and that are still to be recorded.
    pub machines_to_record: Vec<BlockRow>,
    /// Requests of completed or abandoned rentals whose records are to be deleted.
    pub rentals_to_delete: BTreeSet<String>,
    /// Machines whose return has been requested and not answered.
    pub returns_in_flight: BTreeSet<String>,
    /// When the cloud confirmed the return of machines.
    pub returned_at: BTreeMap<String, Micros>,
    /// Machines that the cloud has listed as failed.
    pub failed: BTreeSet<String>,
    pub last_rental_at: Micros,
    /// Each team's recent peak demand, which decays: of jobs that need on-demand (not spot) machines, and of all.
    pub peak_demand: BTreeMap<String, (Resources, Resources)>,
    /// Likely variation of the demand of jobs that need on-demand machines. A few large jobs vary more than many
    /// small ones.
    pub demand_margin: Resources,
    pub demand_updated_at: Micros,
    /// The latest array of each class, and the recent arrivals of the class: time and number of tasks.
    pub recent_arrivals: BTreeMap<String, (JobSpec, VecDeque<(Micros, u32)>)>,
    /// Controllers and zones: when the controller last received reports from fewer than half of its machines in that
    /// zone.
    pub silent_zones: BTreeMap<(String, String), Micros>,
    /// Since when there has been no live job, if there is none.
    pub no_jobs_since: Option<Micros>,
}

impl Controller {
    /// Reads the machine types when due. Every controller does so, because it checks submissions against them.
    pub(super) fn types_tick(&mut self) {
        let due = match self.machine_types_requested_at {
            None => true,
            Some(at) => {
                self.now.since(at)
                    >= if self.machine_types.is_empty() { Micros::from_secs(1) } else { TYPES_INTERVAL }
            }
        };
        if due {
            self.machine_types_requested_at = Some(self.now);
            self.enqueue_cloud_call(Urgency::Acceptance, CloudPurpose::Types, CloudCall::Types);
        }
    }

    /// Notes a machine that reports although no block contains it, so that it is recorded, and then used or returned.
    pub(super) fn note_unrecorded_machine(
        &mut self,
        machine: String,
        kind: String,
        zone: String,
        spot: bool,
    ) {
        let now = self.now;
        if self.has_unreadable_blocks() {
            return;
        }
        let Some(lead) = &mut self.leader_state else { return };
        if lead.fleet.returned_at.contains_key(&machine) || !self.machine_types.contains_key(&kind) {
            return;
        }
        let row = BlockRow {
            machine: machine.clone(),
            kind,
            zone,
            spot,
            owner: String::new(),
            registration: 0,
            returning: false,
            token: 0,
            has_token_range: false,
        };
        let granted = self.machines.get(&machine).is_some_and(|m| !m.never_granted());
        if !granted && lead.unrecorded_machines.insert(machine, (row, now)).is_none() {
            self.schedule_round();
        }
    }

    /// Whether a machine is booting, or up and not yet granted to a controller.
    pub(super) fn is_incoming(&self, machine: &Machine) -> bool {
        machine.never_granted() && !machine.row.returning
    }

    /// Expires old state of the fleet, lists the machines when due, and continues rentals and returns.
    pub(super) fn fleet_tick(&mut self) {
        let now = self.now;
        let no_jobs = self.jobs.is_empty();
        let Some(lead) = &mut self.leader_state else { return };
        lead.fleet.no_jobs_since = no_jobs.then(|| lead.fleet.no_jobs_since.unwrap_or(now));
        for (_, times) in lead.fleet.recent_arrivals.values_mut() {
            times.retain(|(at, _)| now.since(*at) < ARRIVAL_WINDOW);
        }
        lead.unrecorded_machines.retain(|_, (_, at)| now.since(*at) < Micros::from_secs(10));
        lead.fleet.returned_at.retain(|_, at| now.since(*at) < Micros::from_secs(120));
        let machines = &self.machines;
        lead.unrecorded_machines.retain(|name, _| machines.get(name).is_none_or(Machine::never_granted));
        // Names are never reused, so state of machines that have left the records is not needed any more.
        lead.misdirected_reports.retain(|name, _| machines.contains_key(name));
        lead.fleet.failed.retain(|name| machines.contains_key(name));
        if !lead.fleet.list_in_flight
            && lead.fleet.list_started_at.is_none_or(|at| now.since(at) >= LIST_INTERVAL)
        {
            lead.fleet.list_in_flight = true;
            lead.fleet.list_started_at = Some(now);
            lead.fleet.list_cursor.clear();
            lead.fleet.unlisted.retain(|name| self.machines.contains_key(name));
            self.enqueue_cloud_call(
                Urgency::Other,
                CloudPurpose::List,
                CloudCall::List { after: String::new() },
            );
        }
        self.retry_rentals();
        self.record_rented_machines();
        self.return_machines();
    }

    /// Records rented machines, without an owner until they report. Then deletes the records of completed rentals.
    fn record_rented_machines(&mut self) {
        let Some(lead) = &mut self.leader_state else { return };
        if lead.grant_in_flight {
            return;
        }
        let known = &self.machines;
        lead.fleet.machines_to_record.retain(|r| !known.contains_key(&r.machine));
        let rows = lead.fleet.machines_to_record.clone();
        if !rows.is_empty() {
            self.grant(BTreeMap::new(), rows, BTreeSet::new(), None);
            return;
        }
        // The record of a rental is needed only until its machines are recorded.
        if let Some(request) = lead.fleet.rentals_to_delete.pop_first() {
            let transaction = Transaction {
                conditions: vec![self.registration_condition()],
                writes: vec![Write::delete(records::rental_key(&request))],
            };
            self.enqueue_store_call(
                Urgency::Completion,
                Purpose::RentalClosed { request },
                StoreCall::Commit(transaction),
            );
        }
    }

    /// Whether the cloud no longer lists a machine and its owner has received no report from it in time.
    fn is_gone(&self, name: &str, m: &Machine) -> bool {
        let unlisted = self.leader_state.as_ref().is_some_and(|l| l.fleet.unlisted.contains(name));
        let reported_in_time =
            m.resolved && f64::from(self.seconds_silent(m)) <= self.max_report_gap().as_secs_f64();
        unlisted && !reported_in_time
    }

    /// The reason for which a machine should be returned, if any.
    fn return_reason(&self, name: &str, m: &Machine, max_idle: Micros) -> Option<&'static str> {
        let boot_s = || self.machine_types.get(&m.row.kind).map_or(60.0, |t| t.boot_s);
        let lease_s = self.worker_lease.as_secs_f64() as u32;
        let failed = self.leader_state.as_ref().is_some_and(|l| l.fleet.failed.contains(name));
        if self.is_gone(name, m) {
            Some("gone")
        } else if failed {
            Some("failed")
        } else if m.never_granted() && self.now.since(m.known_since).as_secs_f64() > boot_s() * 2.2 + 10.0 {
            Some("slow to boot")
        } else if m.quarantined {
            Some("faulty")
        } else if !m.never_granted() && m.resolved && self.seconds_silent(m) > lease_s + 25 {
            Some("silent")
        } else if !m.never_granted()
            && m.up
            && m.resolved
            && m.tasks.is_empty()
            && !m.preemption_notice
            && self.now.since(m.idle_since) > max_idle
        {
            Some("idle")
        } else {
            None
        }
    }

    /// Marks machines to return in the records, requests the return of marked ones, and removes the records of those
    /// whose return is confirmed.
    fn return_machines(&mut self) {
        // If teams are guaranteed capacity, work that waits for a machine to boot costs more than idle machines.
        let idle_factor =
            if !self.has_guarantees() || self.no_jobs_lately() { 1.0 } else { GUARANTEED_IDLE_FACTOR };
        let max_idle = Micros::from_secs_f64(self.tuning.idle_return_s * idle_factor);
        let mut idle_names = Vec::new();
        let mut names = Vec::new();
        let Some(lead) = self.leader_state.as_ref().filter(|l| !l.grant_in_flight) else { return };
        // A new leader first collects the others' statuses. It removes only machines that are gone, because those
        // block jobs until they leave the records.
        let is_new_leader = self.now.since(lead.since) < Micros::from_secs(4);
        if is_new_leader && lead.fleet.unlisted.is_empty() {
            return;
        }
        let unreachable = self.unreachable_machines();
        for (name, m) in &self.machines {
            if m.row.returning || is_new_leader && !self.is_gone(name, m) {
                continue;
            }
            let why = unreachable.contains(name).then_some("unreachable");
            match why.or_else(|| self.return_reason(name, m, max_idle)) {
                Some("idle") => idle_names.push(name.clone()),
                Some(why) => names.push((name.clone(), why)),
                None => {}
            }
        }
        let unneeded = self.unneeded_idle(idle_names);
        names.extend(unneeded.into_iter().map(|n| (n, "idle")));
        if !names.is_empty() {
            for (name, why) in &names {
                tracing::info!(machine = name, why, "returning machine to the cloud");
            }
            let moves = names.into_iter().map(|(n, _)| (n, String::new())).collect();
            self.grant(moves, Vec::new(), BTreeSet::new(), None);
            return;
        }
        // Marked machines are returned to the cloud, and leave the records once the cloud has confirmed that.
        let marked: Vec<String> =
            self.machines.iter().filter(|(_, m)| m.row.returning).map(|(n, _)| n.clone()).collect();
        let Some(lead) = &mut self.leader_state else { return };
        let confirmed: BTreeSet<String> =
            marked.iter().filter(|n| lead.fleet.returned_at.contains_key(*n)).cloned().collect();
        let to_return: Vec<String> = marked
            .into_iter()
            .filter(|n| !confirmed.contains(n) && !lead.fleet.returns_in_flight.contains(n))
            .take(100)
            .collect();
        if !to_return.is_empty() {
            lead.fleet.returns_in_flight.extend(to_return.iter().cloned());
            self.counters.returns += to_return.len() as u64;
            self.enqueue_cloud_call(
                Urgency::Withdrawal,
                CloudPurpose::Return(to_return.clone()),
                CloudCall::Return(to_return),
            );
        }
        if !confirmed.is_empty() {
            self.grant(BTreeMap::new(), Vec::new(), confirmed, None);
        }
    }

    /// The idle machines that are not needed for a guarantee, for the last plan, or for a class that must start
    /// sooner than a machine boots.
    fn unneeded_idle(&self, mut idle: Vec<String>) -> Vec<String> {
        if self.no_jobs_lately() {
            return idle;
        }
        let (on_demand, all) = self.guarantee_targets();
        let (mut has_on_demand, mut has_all) = self.retained_supply();
        // On-demand machines cost more than spot ones and are returned first.
        idle.sort_by_key(|name| self.machines[name].row.spot);
        let mut names = Vec::new();
        for name in idle {
            let m = &self.machines[&name];
            // A gang may wait for this machine together with one that is still booting.
            if self.leader_state.as_ref().is_some_and(|l| l.reserved_by_plan.contains(&name)) {
                continue;
            }
            if self.fast_start_reservations.contains_key(&name) {
                continue;
            }
            let is_short = |target: Resources, supply: Resources| {
                let remaining = supply.minus(m.supply);
                (target.cpu > 0 && m.supply.gpu == 0 && remaining.cpu < target.cpu)
                    || (target.gpu > 0 && m.supply.gpu > 0 && remaining.gpu < target.gpu)
            };
            if is_short(all, has_all) || !m.row.spot && is_short(on_demand, has_on_demand) {
                continue;
            }
            has_all = has_all.minus(m.supply);
            if !m.row.spot {
                has_on_demand = has_on_demand.minus(m.supply);
            }
            names.push(name);
        }
        names
    }

    /// Whether no job has been live for [`NO_JOBS_PERIOD`]. Then no idle machine is kept, even for guarantees.
    fn no_jobs_lately(&self) -> bool {
        let since = self.leader_state.as_ref().and_then(|l| l.fleet.no_jobs_since);
        since.is_some_and(|at| self.now.since(at) > NO_JOBS_PERIOD)
    }

    /// Rents machines for tasks that could not be placed, for expected arrivals, for room to keep free and for
    /// guarantees.
    pub(super) fn scale_up(&mut self) {
        let now = self.now;
        self.update_peak_demand();
        let Some(lead) = &self.leader_state else { return };
        // A new leader first collects the state of the fleet.
        if self.machine_types.is_empty()
            || now.since(lead.since) < NEW_LEADER_RENTAL_DELAY
            || now.since(lead.fleet.last_rental_at) < Micros::from_millis(500)
        {
            return;
        }
        let mut incoming: Vec<(String, String, bool, Resources)> = self
            .machines
            .values()
            .filter(|m| self.is_incoming(m))
            .map(|m| (m.row.kind.clone(), m.row.zone.clone(), m.row.spot, m.supply))
            .collect();
        for r in lead.fleet.pending_rentals.values() {
            let supply = self.machine_types.get(&r.kind).map(MachineType::supply).unwrap_or_default();
            incoming.extend((0..r.count).map(|_| (r.kind.clone(), r.zone.clone(), r.spot, supply)));
        }
        for r in lead.fleet.machines_to_record.iter().filter(|r| !self.machines.contains_key(&r.machine)) {
            let supply = self.machine_types.get(&r.kind).map(MachineType::supply).unwrap_or_default();
            incoming.push((r.kind.clone(), r.zone.clone(), r.spot, supply));
        }
        let mut wanted: BTreeMap<(String, String, bool), f64> = BTreeMap::new();
        let mut freed_slots = BTreeMap::new();
        for u in &lead.unplaced {
            let Some(job) = self.jobs.get(&u.job).filter(|j| self.worth_renting_for(&u.job, j)) else {
                continue;
            };
            let waiting = u64::from(self.tasks_worth_starting(&u.job, job).saturating_sub(job.placed()));
            self.add_wanted(
                &job.spec,
                u.count.max(waiting),
                u.zones.as_ref(),
                &mut incoming,
                &mut freed_slots,
                &mut wanted,
            );
        }
        // If the fleet is full, every job has a volume that it can place and none is unplaced. Tasks beyond their
        // jobs' volumes wait for machines too, and so do jobs that were not admitted.
        let counted: BTreeSet<&String> = lead.unplaced.iter().map(|u| &u.job).collect();
        let other_jobs = self.jobs.iter().filter(|(id, _)| !counted.contains(id));
        for (id, job) in other_jobs.filter(|(id, j)| self.worth_renting_for(id, j)) {
            let waiting = self.tasks_worth_starting(id, job).saturating_sub(job.placed());
            if waiting > 0 && (job.spec.min_tasks() == 1 || job.placements.is_empty()) {
                let zones = self.zone_headroom(id, job, std::iter::empty());
                self.add_wanted(
                    &job.spec,
                    u64::from(waiting),
                    zones.as_ref(),
                    &mut incoming,
                    &mut freed_slots,
                    &mut wanted,
                );
            }
        }
        // More tasks will arrive while the machines boot.
        for (spec, count) in self.expected_arrivals() {
            self.add_wanted(&spec, count, None, &mut incoming, &mut freed_slots, &mut wanted);
        }
        // Room to keep free for classes that must start sooner than a machine boots.
        for (class, spec) in &self.fast_start_jobs {
            let kept_machines = self.fast_start_reservations.values().filter(|c| *c == class).count();
            let lacking = self.fast_start_slots(spec).saturating_sub(kept_machines) as u64;
            self.add_wanted(
                spec,
                lacking,
                None,
                &mut incoming,
                &mut BTreeMap::from([(spec.gpus > 0.0, 0.0)]),
                &mut wanted,
            );
        }
        if !self.jobs.is_empty() {
            self.add_wanted_for_guarantees(&mut wanted);
        }
        let mut requested = false;
        for ((kind, zone, spot), machines) in wanted {
            // The requests of one round are sent without waiting for each other's answers.
            let mut left =
                (machines.ceil() as u64).clamp(1, MAX_MACHINES_PER_REQUEST * MAX_REQUESTS_PER_ROUND);
            while left > 0 {
                let count = left.min(MAX_MACHINES_PER_REQUEST);
                requested |= self.rent(kind.clone(), zone.clone(), spot, count as u32);
                left -= count;
            }
        }
        if requested && let Some(lead) = &mut self.leader_state {
            lead.fleet.last_rental_at = now;
        }
    }

    /// Whether machines may be rented for a job. For one that fails wherever it runs, none are rented, unless it may be
    /// tried again and no existing machine could run it.
    fn worth_renting_for(&self, id: &str, job: &Job) -> bool {
        let anywhere = || self.machines.values().any(|m| self.is_schedulable(m) && allows(&job.spec, m));
        !self.is_broken(id) || !self.awaits_retry(id) && !anywhere()
    }

    /// Whether rentals of this type, zone and pricing were refused so recently that none is tried.
    fn is_refused(&self, key: &(String, String, bool)) -> bool {
        self.leader_state
            .as_ref()
            .and_then(|l| l.fleet.refusals.get(key))
            .is_some_and(|(until, _)| *until > self.now)
    }

    /// Places `count` tasks on incoming machines and into slots that running tasks will free, and adds the machines to
    /// rent for the remaining tasks to `wanted`.
    ///
    /// Each zone takes at most as many tasks as `zones` allows, or any number if `zones` is none. `incoming` holds
    /// type, zone, pricing and free resources of machines; `freed_slots` is by whether the tasks need accelerators;
    /// `wanted` holds the number of machines by type, zone and pricing.
    fn add_wanted(
        &self,
        spec: &JobSpec,
        count: u64,
        zones: Option<&BTreeMap<String, u64>>,
        incoming: &mut [(String, String, bool, Resources)],
        freed_slots: &mut BTreeMap<bool, f64>,
        wanted: &mut BTreeMap<(String, String, bool), f64>,
    ) {
        let Some(zones) = zones else {
            return self.add_wanted_in_zone(spec, count, None, incoming, freed_slots, wanted);
        };
        // A job that restricts zones asks only in those that may take more of its tasks.
        let mut left = count;
        for (zone, limit) in zones.iter().filter(|(_, limit)| **limit > 0) {
            let count_here = left.min(*limit);
            self.add_wanted_in_zone(spec, count_here, Some(zone), incoming, freed_slots, wanted);
            left -= count_here;
        }
    }

    /// As [`Self::add_wanted`], in the zone `only` or in all.
    fn add_wanted_in_zone(
        &self,
        spec: &JobSpec,
        mut count: u64,
        only: Option<&String>,
        incoming: &mut [(String, String, bool, Resources)],
        freed_slots: &mut BTreeMap<bool, f64>,
        wanted: &mut BTreeMap<(String, String, bool), f64>,
    ) {
        let need = spec.need();
        let type_ok = |kind: &String| spec.machine_types.as_ref().is_none_or(|t| t.contains(kind));
        let zone_ok = |zone: &String| spec.zone.as_ref().or(only).is_none_or(|z| z == zone);
        for (kind, zone, spot, room) in incoming.iter_mut() {
            if type_ok(kind) && zone_ok(zone) && (spec.spot || !*spot) {
                let n = need.times_in(*room).min(count);
                count -= n;
                *room = room.minus(need.times(n));
            }
        }
        if count == 0 {
            return;
        }
        // By the time a new machine has booted, occupied slots will have become free.
        let boot_s = self.shortest_boot_s(spec);
        if spec.min_tasks() == 1 && spec.estimated_task_s > 0.0 && boot_s.is_finite() {
            let tasks_per_slot = boot_s / (spec.estimated_task_s + TYPICAL_FETCH_S);
            let left = freed_slots
                .entry(need.gpu > 0)
                .or_insert_with(|| self.occupied_slots(spec) as f64 * tasks_per_slot);
            let n = (*left as u64).min(count);
            *left -= n as f64;
            count -= n;
            if count == 0 {
                return;
            }
        }
        let mut options = Vec::new();
        let mut cheapest = f64::INFINITY;
        for t in self.machine_types.values().filter(|t| type_ok(&t.name) && need.fits(t.supply())) {
            if spec.gpus == 0.0
                && t.gpus > 0.0
                && self
                    .machine_types
                    .values()
                    .any(|o| o.gpus == 0.0 && type_ok(&o.name) && need.fits(o.supply()))
            {
                continue;
            }
            for zone in t.zones.iter().filter(|z| zone_ok(z)) {
                for spot in [true, false] {
                    if spot && !spec.spot {
                        continue;
                    }
                    let key = (t.name.clone(), zone.clone(), spot);
                    let price = if spot { t.spot_price } else { t.price };
                    let slots = need.times_in(t.supply()).max(1);
                    cheapest = cheapest.min(price / slots as f64);
                    if !self.is_refused(&key) {
                        options.push((price / slots as f64, key, slots));
                    }
                }
            }
        }
        let Some((price, key, slots)) = options.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)) else {
            return;
        };
        // A slot runs several short tasks in turn, and a machine is rented only for enough work.
        let tasks_per_slot = if spec.min_tasks() > 1 || spec.estimated_task_s <= 0.0 {
            1.0
        } else {
            (MIN_WORK_PER_MACHINE_S / spec.estimated_task_s).max(1.0)
        };
        // If the cheapest suitable machines are refused, a more expensive one must have more work to do.
        let tasks_per_slot = if tasks_per_slot > 1.0 {
            tasks_per_slot * (price / cheapest).max(1.0).sqrt()
        } else {
            tasks_per_slot
        };
        *wanted.entry(key).or_default() += count as f64 / slots as f64 / tasks_per_slot;
    }

    /// Whether a task is a replica of a live service.
    pub(super) fn is_service_task(&self, task: &TaskId) -> bool {
        self.jobs.get(&task.job).is_some_and(|j| j.spec.shape == Shape::Service)
    }

    /// Number of slots occupied by tasks with similar needs. Replicas of services do not count, as they do not end by
    /// themselves.
    fn occupied_slots(&self, spec: &JobSpec) -> usize {
        let need = spec.need();
        let usable = self
            .machines
            .values()
            .filter(|m| m.up && !m.row.returning && !m.quarantined && !m.preemption_notice);
        let services = self.jobs.values().any(|j| j.spec.shape == Shape::Service);
        let similar = |(id, t): &(&TaskId, &PlacedTask)| {
            !t.ended()
                && (t.need.gpu > 0) == (need.gpu > 0)
                && t.need.cpu * 2 >= need.cpu
                && !(services && self.is_service_task(id))
        };
        usable.map(|m| m.tasks.iter().filter(similar).count()).sum()
    }

    /// Adds the machines that the teams' guarantees need: this capacity must exist before the jobs arrive.
    fn add_wanted_for_guarantees(&self, wanted: &mut BTreeMap<(String, String, bool), f64>) {
        let targets = self.guarantee_targets();
        let mut supply = self.retained_supply();
        for r in self.leader_state.iter().flat_map(|l| l.fleet.pending_rentals.values()) {
            if let Some(t) = self.machine_types.get(&r.kind) {
                let incoming = t.supply().times(u64::from(r.count));
                supply.1 = supply.1.plus(incoming);
                if !r.spot {
                    supply.0 = supply.0.plus(incoming);
                }
            }
        }
        for accelerated in [false, true] {
            let amount = |r: Resources| if accelerated { r.gpu } else { r.cpu };
            for (spot, target, available) in [(false, targets.0, supply.0), (true, targets.1, supply.1)] {
                let lacking = amount(target).saturating_sub(amount(available));
                if lacking == 0 {
                    continue;
                }
                let cheapest = self
                    .machine_types
                    .values()
                    .filter(|t| (t.gpus > 0.0) == accelerated)
                    .flat_map(|t| t.zones.iter().map(move |z| (t, z)))
                    .flat_map(|(t, z)| {
                        let on_demand = (t, t.price, (t.name.clone(), z.clone(), false));
                        let cheap = (t, t.spot_price, (t.name.clone(), z.clone(), true));
                        spot.then_some(cheap).into_iter().chain([on_demand])
                    })
                    .filter(|(_, _, key)| !self.is_refused(key))
                    .min_by(|a, b| {
                        (a.1 / amount(a.0.supply()) as f64).total_cmp(&(b.1 / amount(b.0.supply()) as f64))
                    });
                if let Some((t, _, key)) = cheapest {
                    let machines = lacking.div_ceil(amount(t.supply()).max(1)).min(4) as f64;
                    let entry = wanted.entry(key).or_default();
                    *entry = entry.max(machines);
                }
            }
        }
    }
}
