//! Placement of a controller's own jobs on its own machines.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use marblewalk_admission::pool::Turn;

use crate::coordination::eligibility::{
    AcceleratorPolicy, GangHold, allows, keeps_costly_machine, zone_has_headroom,
};
use crate::coordination::model::{Job, Machine, PendingStart, PlacedTask};
use crate::coordination::precedence::Precedence;
use crate::coordination::quota::Allowance;
use crate::coordination::wait_reasons::WaitReason;
use crate::coordination::{Controller, SortedMap};
use crate::protocol::job::{JobSpec, Shape};
use crate::protocol::peer::Volume;
use crate::protocol::units::{Micros, Resources};
use crate::protocol::worker::{TaskId, TaskState};

/// Maximum number of starts planned in one pass. It keeps a job with very many tasks from delaying all other jobs.
pub(super) const MAX_STARTS_PER_PASS: usize = 400;

/// A backfilled array must have had no task placed for this long before it starts one, whatever the leader's last
/// volumes say.
const BACKFILL_RESTART_DELAY: Micros = Micros::from_secs(10);

/// Sort key by which an owner ranks machines for a task, the lowest first: suspicion of a fault, whether the task would
/// keep a costlier machine than it needs, time to fetch the image, processors left.
type Preference = (usize, bool, Micros, u64);

/// Restricts the machines that [`Controller::choose_machines`] considers.
pub(super) enum MachineFilter<'a> {
    All,
    Zone(&'a str),
    /// Machines whose cache holds the job's image.
    ImageCached,
}

impl MachineFilter<'_> {
    fn zone(&self) -> Option<&str> {
        if let MachineFilter::Zone(zone) = self { Some(zone) } else { None }
    }
}

/// Free capacity of the machines that this controller may use, during one placement pass.
pub(super) struct AvailableCapacity {
    pub(super) free: SortedMap<Resources>,
    /// Free capacity once all tasks that are being stopped have gone, less what has been planned on it. Empty if no job
    /// in this pass may preempt tasks.
    pub(super) free_after_stops: SortedMap<Resources>,
    pub(super) accelerator_policy: AcceleratorPolicy,
    /// Zones in which room is held back for a gang that fits nowhere: zone and job.
    pub(super) gang_reservations: Vec<(String, String)>,
}

impl AvailableCapacity {
    pub(super) fn allocate(&mut self, names: &[String], need: Resources) {
        for name in names {
            for capacity in [&mut self.free, &mut self.free_after_stops] {
                if let Some(room) = capacity.get_mut(name) {
                    *room = room.minus(need);
                }
            }
        }
    }
}

impl Controller {
    /// Whether this controller owns the job, has taken it over completely and is not recording its completion.
    pub(super) fn is_placeable(&self, job: &Job) -> bool {
        !job.takeover_pending && !job.completion_in_flight && job.owner.as_deref() == Some(self.own_name())
    }

    /// Whether no volumes have come from the leader for three rounds.
    fn leader_silent(&self) -> bool {
        self.now.since(self.volumes_received_at) > Micros::from_secs_f64(self.tuning.round_s * 3.0)
    }

    /// How many tasks of a job its owner may have placed at a time.
    pub(super) fn target_task_count(&self, job: &Job) -> u32 {
        // Without volumes from the leader, work goes on within the machines that this controller owns.
        let no_recent_volumes = self.leader_silent()
            && self.now.since(job.known_since) > Micros::from_secs_f64(self.tuning.round_s);
        let unfinished = self.tasks_worth_starting(&job.spec.id, job);
        match job.turn {
            _ if no_recent_volumes => unfinished,
            // The job has had its first task. Once that ends, the slot goes to another job.
            Turn::First if job.started() > 0 => job.placed().min(job.volume),
            Turn::Backfill if job.spec.shape == Shape::Array => self.backfill_target(job),
            _ => job.volume.min(unfinished),
        }
    }

    /// How many tasks a backfilled array may have placed: its volume if nothing of it has been placed for
    /// [`BACKFILL_RESTART_DELAY`], otherwise what is placed, as ended tasks are not replaced.
    fn backfill_target(&self, job: &Job) -> u32 {
        let may_start = job.placed() == 0 && job.wait.waited(self.now) >= BACKFILL_RESTART_DELAY;
        if may_start { job.volume.min(job.unfinished()) } else { job.placed().min(job.volume) }
    }

    /// Plans starts for all own jobs that are below their target, in order of precedence.
    pub(super) fn run_placement_pass(&mut self) {
        if !self.entitled() || !self.is_view_member {
            return;
        }
        let mut order: Vec<(Precedence, bool, String)> = Vec::new();
        for (id, job) in &self.jobs {
            // A job that the leader's volumes do not name fails the first check, before its owner is looked up, unless
            // no messages of a leader arrive.
            if job.placed() < self.target_task_count(job) && self.is_placeable(job) && !self.awaits_retry(id)
            {
                let precedence = self.placement_precedence(job);
                order.push((precedence, false, id.clone()));
                // Each array in its turn is tried first on the machines that have its image, before any array is tried
                // on other machines. In order of turn alone, a job would fetch its image on a machine where the next
                // job needs no fetch.
                if let Turn::Nth(turn) = job.turn
                    && job.spec.shape == Shape::Array
                {
                    order.push((Precedence { group: 0, position: turn, ..precedence }, true, id.clone()));
                }
            }
        }
        if order.is_empty() {
            return;
        }
        order.sort();
        self.teams_with_binding_limit = self.find_teams_with_binding_limit();
        let usable_machines = || self.machines.iter().filter(|(_, m)| self.accepts_starts(m));
        let free = usable_machines().map(|(name, m)| (name.clone(), m.free())).collect();
        // Only services that need a fast start use room that other tasks are still leaving.
        let preempts = |id: &String| self.jobs.get(id).is_some_and(|j| self.may_preempt(&j.spec));
        let free_after_stops = if order.iter().any(|(_, _, id)| preempts(id)) {
            usable_machines().map(|(name, m)| (name.clone(), m.free_after_stops())).collect()
        } else {
            SortedMap::default()
        };
        let gang_reservations =
            if self.leader_silent() { Vec::new() } else { self.gang_reservations.clone() };
        let mut capacity = AvailableCapacity {
            free,
            free_after_stops,
            accelerator_policy: self
                .accelerator_policy(self.machines.values().filter(|m| self.accepts_starts(m))),
            gang_reservations,
        };
        let mut planned = 0;
        let mut planned_by_team: BTreeMap<String, Resources> = BTreeMap::new();
        let mut unserved_rank: Option<u8> = None;
        for (Precedence { rank, .. }, cached_only, id) in order {
            if planned >= MAX_STARTS_PER_PASS {
                break;
            }
            // Jobs of lower rank must not fill the room that waiting jobs of a higher rank need.
            if let Some(waiting_rank) = unserved_rank
                && rank > waiting_rank
            {
                self.hold_machines_for_waiting(&mut capacity, waiting_rank);
                unserved_rank = None;
            }
            let gang = self.jobs.get(&id).is_some_and(Job::is_gang);
            let placed = if gang {
                self.place_gang(&id, &mut capacity)
            } else {
                self.place_independent_tasks(&id, &mut capacity, cached_only)
            };
            if let Some(job) = self.jobs.get_mut(&id) {
                job.wait.placement_refusal = placed.err();
            }
            let started = placed.unwrap_or(0);
            planned += started;
            if started > 0
                && let Some(job) = self.jobs.get(&id)
            {
                let sum = planned_by_team.entry(job.spec.team.clone()).or_default();
                *sum = sum.plus(job.spec.need());
            }
            if cached_only {
                continue;
            }
            let below_target = self.jobs.get(&id).is_some_and(|j| j.placed() < self.target_task_count(j));
            if below_target && unserved_rank.is_none() {
                unserved_rank = Some(rank);
            }
        }
        self.check_planned(&planned_by_team);
        if planned > 0 {
            // A start is ordered only after the other controllers have confirmed the status that announces it.
            self.status_due_at = Some(self.now);
        }
    }

    /// Takes out of the pass, for each waiting own job of this rank or higher, the machine that will likely have room
    /// for the job soonest: of those that it may use, the one with the largest part of its processors free.
    fn hold_machines_for_waiting(&self, capacity: &mut AvailableCapacity, rank: u8) {
        let waiting = self.jobs.values().filter(|j| {
            u8::MAX - j.spec.priority as u8 <= rank
                && self.is_placeable(j)
                && j.placed() < self.target_task_count(j)
                // A job that waits for its team's limit does not wait for a machine.
                && j.wait.placement_refusal.is_none_or(WaitReason::is_lack_of_machines)
        });
        for job in waiting {
            let accelerator_policy = capacity.accelerator_policy.for_wait(job.wait.waited(self.now));
            // On a machine with room for one of its tasks, something other than room keeps the job from starting.
            let lacks_room = |room: Resources| job.is_gang() || !job.spec.need().fits(room);
            // Room in a zone that the job may not use does not help it: without this check, jobs bound to a full zone
            // kept the machines of other zones idle.
            let zones = self.zone_counts(&job.spec.id);
            let here = |m: &Machine| zones.get(&m.row.zone).copied().unwrap_or(0);
            let zone_allows = |m: &Machine| zone_has_headroom(&job.spec, here(m), zones.values().sum());
            let best = capacity
                .free
                .iter()
                .filter_map(|(name, room)| self.machines.get(name).map(|m| (name, room, m)))
                .filter(|(_, room, m)| allows(&job.spec, m) && zone_allows(m) && lacks_room(**room))
                .filter(|(_, room, m)| !accelerator_policy.excludes(&job.spec, m, **room))
                .max_by_key(|(_, room, m)| room.cpu * 1000 / m.supply.cpu.max(1))
                .map(|(name, ..)| name.clone());
            if let Some(name) = best {
                capacity.free.shift_remove(&name);
            }
        }
    }

    /// Whether jobs of a class must start sooner than any machine boots: a wait objective for more than half of them is
    /// shorter than the shortest boot time.
    pub(super) fn needs_fast_start(&self, class: &str) -> bool {
        let quickest = self.machine_types.values().map(|t| t.boot_s).fold(f64::INFINITY, f64::min);
        self.settings.params.objectives.iter().any(|o| {
            o.kind == "wait"
                && o.class.as_deref() == Some(class)
                && o.within_s.is_some_and(|w| w < quickest)
                && o.share.is_some_and(|s| s > 0.5)
        })
    }

    /// The part of a machine's free room that a job may use. Room that is kept for a class that needs a fast start is
    /// excluded, unless the job is of that class or has a higher priority.
    pub(super) fn room_available_to(&self, spec: &JobSpec, name: &str, room: Resources) -> Resources {
        match self.fast_start_reservations.get(name).and_then(|class| self.fast_start_jobs.get(class)) {
            Some(reserved_for)
                if reserved_for.class != spec.class && reserved_for.priority >= spec.priority =>
            {
                room.minus(reserved_for.need())
            }
            _ => room,
        }
    }

    /// Whether tasks may be started on a machine now: this controller owns it, has received a message from it within
    /// three report intervals, and it receives its answers and is not quarantined, being returned or about to be
    /// preempted.
    fn accepts_starts(&self, machine: &Machine) -> bool {
        let recent = Micros(self.report_every.0 * 3);
        self.owns(machine)
            && !machine.row.returning
            && !machine.quarantined
            && !machine.preemption_notice
            && !machine.delivery.is_not_receiving()
            && machine.last_received_at.is_some_and(|at| self.now.since(at) < recent)
    }

    /// Plans starts of tasks of an array or a service, as many as its target, the team's quota and the machines allow.
    /// Returns their number, or the reason why there are none.
    fn place_independent_tasks(
        &mut self,
        id: &str,
        capacity: &mut AvailableCapacity,
        cached_only: bool,
    ) -> Result<usize, WaitReason> {
        let Some(job) = self.jobs.get(id) else { return Ok(0) };
        let spec = job.spec.clone();
        let missing =
            self.target_task_count(job).saturating_sub(job.placed()).min(MAX_STARTS_PER_PASS as u32);
        let mut allowance = self.allowance(&spec);
        if let Some(reason) = allowance.refusal(spec.need()) {
            return Err(reason);
        }
        let missing = u64::from(missing).min(spec.need().times_in(allowance.remaining()));
        let zones = self.zone_counts(id);
        let names = if self.may_preempt(&spec) {
            // First the machines that have the image, then those that have it and on which tasks of lower rank can be
            // preempted, then any machine with room: a service that needs a fast start hardly has time to fetch its
            // image.
            let mut names = self.choose_machines(
                &spec,
                missing as usize,
                capacity,
                zones.clone(),
                &MachineFilter::ImageCached,
            );
            capacity.allocate(&names, spec.need());
            let mut tasks_by_zone = zones;
            self.add_zone_counts(&names, &mut tasks_by_zone);
            let mut still_missing = missing - names.len() as u64;
            still_missing -= self.preempt_for(&spec, still_missing, &mut tasks_by_zone, capacity, true);
            let others = self.choose_machines(
                &spec,
                still_missing as usize,
                capacity,
                tasks_by_zone.clone(),
                &MachineFilter::All,
            );
            capacity.allocate(&others, spec.need());
            self.add_zone_counts(&others, &mut tasks_by_zone);
            still_missing -= others.len() as u64;
            self.preempt_for(&spec, still_missing, &mut tasks_by_zone, capacity, false);
            names.extend(others);
            names
        } else {
            let filter = if cached_only { MachineFilter::ImageCached } else { MachineFilter::All };
            let names = self.choose_machines(&spec, missing as usize, capacity, zones, &filter);
            capacity.allocate(&names, spec.need());
            names
        };
        if names.is_empty() {
            return Err(WaitReason::NoMachine);
        }
        let Some(job) = self.jobs.get(id) else { return Ok(0) };
        let startable = |i: &u32| !job.done.contains(*i) && !job.placements.contains_key(i);
        let starts: Vec<u32> = (job.next_unplaced..spec.tasks).filter(startable).take(names.len()).collect();
        let attempt = self.next_attempt(id);
        for (index, name) in starts.iter().zip(&names) {
            self.plan_start(id, *index, attempt, name, &mut allowance);
        }
        if let (Some(job), Some(first)) = (self.jobs.get_mut(id), starts.first()) {
            job.next_unplaced = *first;
        }
        Ok(starts.len())
    }

    /// Adds one task for each of the named machines to a job's task counts by zone.
    fn add_zone_counts(&self, names: &[String], zones: &mut BTreeMap<String, u32>) {
        for machine in names.iter().filter_map(|name| self.machines.get(name)) {
            *zones.entry(machine.row.zone.clone()).or_default() += 1;
        }
    }

    /// Estimated time until a machine has a job's image, zero if it has it already. Fetches at the same time share the
    /// machine's fetch rate.
    pub(super) fn fetch_time(&self, spec: &JobSpec, machine: &Machine) -> Micros {
        if machine.has_image(&spec.image) {
            return Micros::ZERO;
        }
        let rate = self.machine_types.get(&machine.row.kind).map_or(0.0, |t| t.fetch_gb_per_s).max(1e-3);
        let fetching = machine.tasks.iter().filter(|(_, t)| t.state == TaskState::Fetching);
        let images: BTreeSet<&String> =
            fetching.filter_map(|(id, _)| self.jobs.get(&id.job).map(|j| &j.spec.image)).collect();
        let concurrent_fetches = images.len() + usize::from(!images.contains(&spec.image));
        // An image that is being fetched already counts as half fetched.
        let remaining_part = if images.contains(&spec.image) { 0.5 } else { 1.0 };
        Micros::from_secs_f64((spec.image_gb / rate * concurrent_fetches as f64 * remaining_part).max(1e-3))
    }

    /// Returns a new attempt number for a job. Attempt numbers increase from one start to the next and from one owner
    /// to the next.
    pub(super) fn next_attempt(&mut self, id: &str) -> u64 {
        let applied = self.applied_revision;
        self.jobs.get_mut(id).map_or(0, |j| {
            j.attempt = (j.attempt + 1).max(applied);
            j.attempt
        })
    }

    /// Plans the start of a task on a machine, if the team's quota allows one more.
    pub(super) fn plan_start(
        &mut self,
        id: &str,
        index: u32,
        attempt: u64,
        name: &str,
        allowance: &mut Allowance,
    ) {
        let need = self.need_of(id);
        let Some(permit) = allowance.issue_permit(need) else { return };
        let task = TaskId::new(id, index);
        self.log_planned_start(&task, name, allowance);
        let placed_task = PlacedTask {
            attempt,
            state: TaskState::Fetching,
            cause: None,
            need,
            pending: Some(PendingStart::Planned(permit)),
            highest_call_token: None,
            announced_in_status: 0,
            stop_grace: None,
            stop_sent: false,
            started_at: self.now,
        };
        if let Some(machine) = self.machines.get_mut(name) {
            machine.tasks.insert(task, placed_task);
            machine.idle_since = self.now;
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.add_placement(index, name);
        }
    }

    /// Number of a job's tasks by zone; each task counts wherever it may be until it is known to be gone. Empty for
    /// jobs without a constraint on zones.
    pub(super) fn zone_counts(&self, id: &str) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        // Most jobs have no such constraint, and an array may have a thousand placements to count in every pass.
        if let Some(job) = self.jobs.get(id).filter(|j| j.spec.one_zone || j.spec.spread) {
            for machine in job.placements.values().flatten().filter_map(|name| self.machines.get(name)) {
                *counts.entry(machine.row.zone.clone()).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Selects machines for up to `count` tasks of a job; each machine is listed once for every task that it is to
    /// take. Machines are ranked by [`Preference`]: of equally trusted and costly ones, those that have the image come
    /// first, then the fullest. `zones` holds the numbers of the job's other tasks by zone.
    pub(super) fn choose_machines(
        &self,
        spec: &JobSpec,
        count: usize,
        capacity: &AvailableCapacity,
        mut zones: BTreeMap<String, u32>,
        filter: &MachineFilter<'_>,
    ) -> Vec<String> {
        let need = spec.need();
        let gang_hold = GangHold::from(self, &capacity.gang_reservations, spec);
        let accelerator_policy = capacity.accelerator_policy.for_wait(self.waited(&spec.id));
        let mut options: Vec<(Preference, &String, Resources, &Machine)> = Vec::new();
        // Most machines are full, and this runs for every waiting job, so the cheap check comes first.
        for (name, room) in capacity.free.iter().filter(|(_, room)| count > 0 && need.fits(**room)) {
            let Some(m) = self.machines.get(name) else { continue };
            if allows(spec, m) && filter.zone().is_none_or(|z| z == m.row.zone) && !gang_hold.covers(m) {
                let fetch = self.fetch_time(spec, m);
                if fetch == Micros::ZERO || !matches!(filter, MachineFilter::ImageCached) {
                    let suspicion = self.fault_attribution.suspicion(&spec.id, name);
                    let preference = (suspicion, keeps_costly_machine(spec, m), fetch, room.cpu - need.cpu);
                    options.push((preference, name, *room, m));
                }
            }
        }
        options.sort_unstable_by_key(|(key, name, ..)| (*key, *name));
        let mut total: u32 = zones.values().sum();
        let mut names = Vec::new();
        // Each task makes a machine fuller, so the best machine stays the best while it has room.
        for (_, name, mut room, machine) in options {
            let mut here = zones.get(&machine.row.zone).copied().unwrap_or(0);
            let before = names.len();
            while names.len() < count
                && need.fits(self.room_available_to(spec, name, room))
                && !accelerator_policy.excludes(spec, machine, room)
                && zone_has_headroom(spec, here, total)
            {
                names.push(name.clone());
                room = room.minus(need);
                (here, total) = (here + 1, total + 1);
            }
            if names.len() > before {
                zones.insert(machine.row.zone.clone(), here);
            }
            if names.len() == count {
                break;
            }
        }
        names
    }

    /// Applies the volumes that the leader has sent. A job that they do not name is not admitted.
    pub(super) fn apply_volumes(
        &mut self,
        volumes: &[Volume],
        fast_start_reservations: Vec<(String, String)>,
        gang_reservations: Vec<(String, String)>,
    ) {
        self.fast_start_reservations = fast_start_reservations.into_iter().collect();
        self.gang_reservations = gang_reservations;
        self.volumes_received_at = self.now;
        let volume_by_job: HashMap<&str, (u32, Turn)> =
            volumes.iter().map(|v| (v.job.as_str(), (v.tasks, v.turn))).collect();
        #[cfg(test)]
        let ignore_leader = self.ignore_leader_volumes;
        for (id, job) in &mut self.jobs {
            (job.volume, job.turn) = volume_by_job.get(id.as_str()).copied().unwrap_or_default();
            #[cfg(test)]
            if ignore_leader {
                (job.volume, job.turn) = (job.unfinished(), Turn::Usual);
            }
        }
        self.placement_due = true;
    }

    /// Stops the most recently started tasks of own jobs, as many as the leader has found above each job's volume.
    pub(super) fn stop_surplus(&mut self, surplus: &[(String, u32)]) {
        for (id, count) in surplus {
            let Some(job) = self.jobs.get(id).filter(|j| self.is_placeable(j)) else { continue };
            let grace = job.spec.save_time() + Micros::from_secs(1);
            let mut tasks: Vec<(Micros, String, TaskId)> = Vec::new();
            for (index, machines) in &job.placements {
                let task = TaskId::new(id, *index);
                for name in machines {
                    if let Some(t) = self.machines.get(name).and_then(|m| m.tasks.get(&task))
                        && !t.ended()
                        && t.stop_grace.is_none()
                    {
                        tasks.push((t.started_at, name.clone(), task.clone()));
                    }
                }
            }
            tasks.sort();
            for (_, name, task) in tasks.into_iter().rev().take(*count as usize) {
                if let Some(t) = self.machines.get_mut(&name).and_then(|m| m.tasks.get_mut(&task)) {
                    t.stop_grace = Some(grace);
                    self.remote_stops_pending = true;
                }
            }
        }
    }
}
