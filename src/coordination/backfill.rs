//! Backfill: gives room that the volumes leave idle to waiting jobs that fit into it.
//!
//! Volumes divide shares and limits among the jobs by their claims. Part of a team's limit and of the machines stays
//! unused when volumes are rounded to whole tasks, when room is held for a gang that does not fit yet, or when room is
//! promised to a job that no machine takes, while a job that would fit has no volume. Such a job is backfilled: once it
//! has waited for [`BACKFILL_AFTER`], it is given a volume of its initial allocation, a task or a whole gang; the
//! longest wait comes first. When that has ended it is given no other task ([`Turn::Backfill`]). The room on the
//! machines is what the last plan of machine moves left of each.
//!
//! A gang that fits into its team's limit or on the machines, but not beside what is running, could be passed over
//! forever. So when its turn comes, no job that has waited for less is backfilled into the room that it needs during
//! the first [`GANG_HOLD_TIME`] of each [`GANG_HOLD_CYCLE`]: tasks end meanwhile, and the gang starts if that frees
//! enough room. During the rest of the cycle other jobs pass it, so that no job waits beside idle room for longer than
//! a cycle and [`BACKFILL_AFTER`].
//!
//! Where a team's limit is fully used nothing is idle, and running jobs would take each slot that becomes free. An
//! array that has waited for [`OVERDUE_AFTER`] is backfilled there all the same, and the volumes of its team's running
//! arrays are lowered by as much: they shrink as their tasks end. Such jobs get at most one part in
//! [`OVERDUE_LIMIT_DIVISOR`] of the limit, so that other jobs complete.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use marblewalk_admission::pool::Turn;

use crate::coordination::Controller;
use crate::coordination::eligibility::{AcceleratorPolicy, GangHold, allows};
use crate::coordination::model::Job;
use crate::coordination::volume_plan::team_limits;
use crate::protocol::job::{JobSpec, Priority, Shape};
use crate::protocol::peer::Volume;
use crate::protocol::units::{Micros, Resources};

/// A job that has had no task placed for this long may be backfilled.
pub(super) const BACKFILL_AFTER: Micros = Micros::from_secs(20);
/// A job that has waited for this long comes before further tasks of running jobs.
pub(super) const OVERDUE_AFTER: Micros = Micros::from_secs(45);
/// At most one part in this many of a team's limit goes to overdue jobs.
const OVERDUE_LIMIT_DIVISOR: u64 = 2;
/// During the first [`GANG_HOLD_TIME`] of each cycle, room is held for a gang that does not fit into what its team's
/// limit leaves.
const GANG_HOLD_CYCLE: Micros = Micros::from_secs(50);
pub(super) const GANG_HOLD_TIME: Micros = Micros::from_secs(35);
/// A backfilled job that could not be placed within this time gives its room up, and is tried again after
/// [`BACKFILL_RETRY_DELAY`].
pub(super) const BACKFILL_TIMEOUT: Micros = Micros::from_secs(20);
pub(super) const BACKFILL_RETRY_DELAY: Micros = Micros::from_secs(10);
/// Beside this many backfilled jobs of a team, none of its gangs is backfilled: gangs would take the room that is left
/// for gangs that have their turn.
const MAX_BACKFILLED_IN_GANG_ROOM: usize = 64;
/// Maximum number of searches among the machines in a round that find no slots. The next round continues after the job
/// of the last one.
const MAX_FAILED_SEARCHES: usize = 100;

/// The jobs that are backfilled. A new leader starts with none: tasks that run by then count like any others.
#[derive(Debug, Default)]
pub(crate) struct Backfill {
    jobs: BTreeMap<String, BackfilledJob>,
    /// Jobs that could not be placed, and when each may be tried again.
    retry_at: BTreeMap<String, Micros>,
    /// The job of the last search in a round that used up [`MAX_FAILED_SEARCHES`].
    resume_after: Option<String>,
}

/// A job that is backfilled.
#[derive(Clone, Copy, Debug)]
struct BackfilledJob {
    since: Micros,
    /// It waits until ending tasks free a part of its team's limit.
    waits_for_limit: bool,
}

/// Resources that are neither used nor expected to be used.
struct IdleResources {
    /// What is left of each team's limits.
    limits: HashMap<String, Resources>,
    /// What is left of each machine that has free room.
    machines: BTreeMap<String, Resources>,
}

impl IdleResources {
    /// Whether a need fits into what is left of its team's limit.
    fn fits_limit(&self, spec: &JobSpec, need: Resources) -> bool {
        self.limits.get(&spec.team).is_some_and(|left| without_memory(need).fits(*left))
    }

    fn deduct(&mut self, spec: &JobSpec, need: Resources) {
        if let Some(left) = self.limits.get_mut(&spec.team) {
            *left = left.minus(need);
        }
    }
}

/// Everything that a search for slots depends on: if it fails for one job, it fails for all jobs with an equal key.
#[derive(PartialEq, Eq, Hash)]
struct SearchKey {
    need: Resources,
    tasks: u32,
    class: String,
    priority: Priority,
    types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
    one_zone: bool,
    /// Whether the job has waited so long that it may use any machine, including those kept for work with accelerators.
    overdue: bool,
}

fn without_memory(need: Resources) -> Resources {
    Resources { memory: 0, ..need }
}

/// What a job starts with: one task of an array, or all tasks of a gang or a service.
fn initial_allocation(job: &Job) -> (u32, Resources) {
    let tasks = job.spec.min_tasks().min(job.unfinished()).max(1);
    (tasks, job.spec.need().times(u64::from(tasks)))
}

impl Controller {
    /// Gives volumes to waiting jobs that have none and fit into what the other volumes leave.
    pub(super) fn backfill(&mut self, volumes: &mut Vec<Volume>) {
        let Some(lead) = &mut self.leader_state else { return };
        let mut backfill = std::mem::take(&mut lead.backfill);
        self.update_backfilled(&mut backfill, volumes);
        let waiting = self.backfill_candidates(&backfill, volumes);
        if !waiting.is_empty() {
            self.admit_to_backfill(&mut backfill, volumes, waiting);
        }
        self.lower_volumes_for_limit_waiters(&backfill, volumes);
        if let Some(lead) = &mut self.leader_state {
            lead.backfill = backfill;
        }
    }

    /// Backfills the waiting jobs for which there is room.
    fn admit_to_backfill(&self, backfill: &mut Backfill, volumes: &mut Vec<Volume>, waiting: Vec<String>) {
        let Some(lead) = &self.leader_state else { return };
        let holding = self.now.since(lead.since).0 % GANG_HOLD_CYCLE.0 < GANG_HOLD_TIME.0;
        let mut idle = self.idle_resources(volumes);
        let accelerator_policy =
            self.accelerator_policy(self.machines.values().filter(|m| self.is_schedulable(m)));
        let mut overdue_left = self.limits_left_for_overdue(backfill);
        let mut in_gang_room = self.backfilled_in_gang_room(backfill);
        let mut held_teams = BTreeSet::new();
        let mut failed_searches: HashSet<SearchKey> = HashSet::new();
        for id in waiting {
            let Some(job) = self.jobs.get(id.as_str()) else { continue };
            let (tasks, need) = initial_allocation(job);
            let in_gang_room_of_team = in_gang_room.get(job.spec.team.as_str()).copied().unwrap_or(0);
            let gangs_excluded = tasks > 1 && in_gang_room_of_team >= MAX_BACKFILLED_IN_GANG_ROOM;
            if gangs_excluded || held_teams.contains(&job.spec.team) {
                continue;
            }
            let fits = idle.fits_limit(&job.spec, need);
            let waits_for_limit =
                !fits && self.may_wait_for_limit(job) && overdue_left.fits_limit(&job.spec, need);
            if !fits && !waits_for_limit {
                if holding && tasks > 1 {
                    held_teams.insert(job.spec.team.clone());
                }
                continue;
            }
            let search_key = self.search_key(job, tasks);
            if failed_searches.contains(&search_key) {
                continue;
            }
            if !self.allocate_slots(&mut idle.machines, accelerator_policy, &job.spec, u64::from(tasks)) {
                if holding && job.is_gang() {
                    self.hold_gang_machines(&mut idle.machines, &job.spec);
                }
                failed_searches.insert(search_key);
                if failed_searches.len() == MAX_FAILED_SEARCHES {
                    backfill.resume_after = Some(id);
                    return;
                }
                continue;
            }
            if waits_for_limit {
                overdue_left.deduct(&job.spec, need);
            } else {
                *in_gang_room.entry(job.spec.team.as_str()).or_default() += 1;
            }
            idle.deduct(&job.spec, need);
            tracing::debug!(job = id.as_str(), tasks, in_line = waits_for_limit, "job backfilled");
            volumes.push(Volume { job: id.clone(), tasks, turn: Turn::Backfill });
            backfill.jobs.insert(id, BackfilledJob { since: self.now, waits_for_limit });
        }
        backfill.resume_after = None;
    }

    /// Counts by team the jobs that are backfilled into room that a gang of the team could use. Those that wait for the
    /// limit take slots of running arrays instead, and jobs of other teams use nothing of the team's limit.
    fn backfilled_in_gang_room(&self, backfill: &Backfill) -> HashMap<&str, usize> {
        let mut counts = HashMap::new();
        let in_gang_room = backfill.jobs.iter().filter(|(_, entry)| !entry.waits_for_limit);
        for job in in_gang_room.filter_map(|(id, _)| self.jobs.get(id.as_str())) {
            *counts.entry(job.spec.team.as_str()).or_default() += 1;
        }
        counts
    }

    /// Keeps each backfilled job until its initial allocation has ended, or until it could not be placed for too long.
    fn update_backfilled(&self, backfill: &mut Backfill, volumes: &mut Vec<Volume>) {
        let now = self.now;
        backfill.retry_at.retain(|id, until| *until > now && self.jobs.contains_key(id.as_str()));
        let limits_left = self.limits_left_by_placed();
        let mut kept = Vec::new();
        let retry_at = &mut backfill.retry_at;
        backfill.jobs.retain(|id, entry| {
            let Some(job) = self.jobs.get(id.as_str()).filter(|j| j.unfinished() > 0) else { return false };
            let waits = job.placed() == 0;
            // Its initial allocation has started and ended.
            if waits && job.wait.waited(now) < now.since(entry.since) {
                return false;
            }
            // While its team's limit is in use, the job does not wait for a machine, so its timeout starts anew.
            if entry.waits_for_limit && waits && !limits_left.fits_limit(&job.spec, initial_allocation(job).1)
            {
                entry.since = now;
            }
            if waits && now.since(entry.since) >= BACKFILL_TIMEOUT {
                retry_at.insert(id.clone(), now + BACKFILL_RETRY_DELAY);
                return false;
            }
            kept.push(Volume { job: id.clone(), tasks: initial_allocation(job).0, turn: Turn::Backfill });
            true
        });
        // A job that has its own turn by now takes that instead.
        let in_turn = |v: &Volume| v.tasks > 0 && matches!(v.turn, Turn::Usual | Turn::Nth(_));
        let admitted: BTreeSet<&str> = volumes
            .iter()
            .filter(|v| in_turn(v) && self.jobs.get(&v.job).is_some_and(|j| j.placed() == 0))
            .map(|v| v.job.as_str())
            .collect();
        kept.retain(|v| !admitted.contains(v.job.as_str()));
        backfill.jobs.retain(|id, _| kept.iter().any(|v| v.job == *id));
        volumes.retain(|v| !backfill.jobs.contains_key(&v.job));
        volumes.extend(kept);
    }

    /// The jobs that may be backfilled, the longest wait first, beginning where the last round had to stop.
    fn backfill_candidates(&self, backfill: &Backfill, volumes: &[Volume]) -> Vec<String> {
        let with_volume = volumes.iter().filter(|v| v.tasks > 0).map(|v| v.job.as_str());
        let with_volume: BTreeSet<&str> = with_volume.collect();
        let waits = |id: &str, job: &Job| {
            job.placed() == 0
                && job.unfinished() > 0
                && job.wait.waited(self.now) >= BACKFILL_AFTER
                && !with_volume.contains(id)
                && !self.awaits_retry(id)
                && !self.is_broken(id)
                && !backfill.retry_at.contains_key(id)
        };
        let waiting = self.jobs.iter().filter(|(id, job)| waits(id, job));
        let mut waiting: Vec<_> =
            waiting.map(|(id, job)| (job.wait.unplaced_since, self.precedence(job), id.clone())).collect();
        waiting.sort();
        let mut waiting: Vec<String> = waiting.into_iter().map(|(.., id)| id).collect();
        let last = backfill.resume_after.as_ref().and_then(|last| waiting.iter().position(|id| id == last));
        if let Some(last) = last {
            waiting.rotate_left(last + 1);
        }
        waiting
    }

    /// What the volumes leave of limits and machines. A stalled job counts only with its placed tasks.
    fn idle_resources(&self, volumes: &[Volume]) -> IdleResources {
        let volume_by_job: HashMap<&str, u32> = volumes.iter().map(|v| (v.job.as_str(), v.tasks)).collect();
        let mut idle = self.limits_left_by_placed();
        for (id, job) in &self.jobs {
            let volume = volume_by_job.get(id.as_str()).copied().unwrap_or(0);
            let expected = if self.is_stalled(id) { 0 } else { volume.saturating_sub(job.placed()) };
            idle.deduct(&job.spec, job.spec.need().times(u64::from(expected)));
        }
        let left = self.leader_state.iter().flat_map(|lead| &lead.free_after_plan);
        let free = left.filter_map(|(name, left)| {
            let machine = self.machines.get(name).filter(|m| self.is_schedulable(m))?;
            Some((name.clone(), left.min(machine.free())))
        });
        idle.machines = free.collect();
        idle
    }

    /// What the placed tasks leave of the limits.
    fn limits_left_by_placed(&self) -> IdleResources {
        let mut idle = self.limits_divided_by(1);
        for job in self.jobs.values().filter(|j| j.placed() > 0) {
            idle.deduct(&job.spec, job.spec.need().times(u64::from(job.placed())));
        }
        idle
    }

    /// Each team's limits divided by `divisor`.
    fn limits_divided_by(&self, divisor: u64) -> IdleResources {
        let one =
            |limit: Resources| Resources { cpu: limit.cpu / divisor, gpu: limit.gpu / divisor, ..limit };
        let teams = self.settings.params.teams.iter();
        let limits = teams.map(|t| (t.name.clone(), one(team_limits(t)))).collect();
        IdleResources { limits, machines: BTreeMap::new() }
    }

    /// What overdue jobs may still use of their teams' limits, beside the jobs that are backfilled.
    fn limits_left_for_overdue(&self, backfill: &Backfill) -> IdleResources {
        let mut overdue_left = self.limits_divided_by(OVERDUE_LIMIT_DIVISOR);
        for id in backfill.jobs.keys() {
            if let Some(job) = self.jobs.get(id.as_str()) {
                overdue_left.deduct(&job.spec, initial_allocation(job).1);
            }
        }
        overdue_left
    }

    /// Whether a job may be backfilled where only ending tasks make room for it under the limit.
    fn may_wait_for_limit(&self, job: &Job) -> bool {
        job.spec.shape == Shape::Array && job.wait.waited(self.now) >= OVERDUE_AFTER
    }

    /// Lowers the volumes of running arrays by what the jobs that wait for their team's limit need, the largest volumes
    /// first.
    fn lower_volumes_for_limit_waiters(&self, backfill: &Backfill, volumes: &mut [Volume]) {
        let mut needed_by_team: BTreeMap<&str, Resources> = BTreeMap::new();
        let limit_waiters = backfill.jobs.iter().filter(|(_, entry)| entry.waits_for_limit);
        for job in limit_waiters.filter_map(|(id, _)| self.jobs.get(id.as_str())).filter(|j| j.placed() == 0)
        {
            let sum = needed_by_team.entry(&job.spec.team).or_default();
            *sum = sum.plus(without_memory(job.spec.need()));
        }
        if needed_by_team.is_empty() {
            return;
        }
        let may_lower = |v: &Volume| v.turn != Turn::Backfill && v.tasks > 1;
        let mut largest_first: Vec<usize> = (0..volumes.len()).filter(|n| may_lower(&volumes[*n])).collect();
        largest_first.sort_by_key(|n| std::cmp::Reverse(volumes[*n].tasks));
        for n in largest_first {
            let volume = &mut volumes[n];
            let Some(job) = self.jobs.get(&volume.job) else { continue };
            let Some(needed) = needed_by_team.get_mut(job.spec.team.as_str()) else { continue };
            if job.spec.shape != Shape::Array || job.placed() == 0 {
                continue;
            }
            let need = without_memory(job.spec.need());
            // Lowering the volume of a job that uses none of the missing resources frees nothing.
            while volume.tasks > 1 && need.min(*needed) != Resources::default() {
                volume.tasks -= 1;
                *needed = needed.minus(need);
            }
        }
    }

    /// Removes the machines on which a gang could be placed from `rooms`: those in the zone with the most room for it,
    /// or in all zones if it is not bound to one.
    fn hold_gang_machines(&self, rooms: &mut BTreeMap<String, Resources>, spec: &JobSpec) {
        let of_gang = |name: &String, room: Resources| {
            let machine = self.machines.get(name).filter(|m| allows(spec, m) && spec.need().fits(room))?;
            Some(if spec.one_zone { machine.row.zone.as_str() } else { "" })
        };
        let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
        for (name, room) in rooms.iter() {
            if let Some(zone) = of_gang(name, *room) {
                *zones.entry(zone).or_default() += spec.need().times_in(*room);
            }
        }
        let most = zones.into_iter().max_by_key(|(_, slots)| *slots).map(|(zone, _)| zone);
        rooms.retain(|name, room| of_gang(name, *room).is_none_or(|zone| Some(zone) != most));
    }

    fn search_key(&self, job: &Job, tasks: u32) -> SearchKey {
        let spec = &job.spec;
        SearchKey {
            need: spec.need(),
            tasks,
            class: spec.class.clone(),
            priority: spec.priority,
            types: spec.machine_types.clone(),
            zone: spec.zone.clone(),
            spot: spec.spot,
            one_zone: spec.one_zone,
            overdue: AcceleratorPolicy::is_overdue(job.wait.waited(self.now)),
        }
    }

    /// Takes room for the given number of tasks of a job, whichever members own the machines. Returns whether there is
    /// enough.
    fn allocate_slots(
        &self,
        rooms: &mut BTreeMap<String, Resources>,
        accelerator_policy: AcceleratorPolicy,
        spec: &JobSpec,
        tasks: u64,
    ) -> bool {
        let accelerator_policy = accelerator_policy.for_wait(self.waited(&spec.id));
        let gang_hold = GangHold::from(self, &self.gang_reservations, spec);
        let mut zones: BTreeMap<&str, Vec<(String, u64)>> = BTreeMap::new();
        let mut chosen = None;
        for (name, room) in rooms.iter().filter(|(_, room)| spec.need().fits(**room)) {
            let Some(m) = self.machines.get(name).filter(|m| allows(spec, m) && !gang_hold.covers(m)) else {
                continue;
            };
            let zone = if spec.one_zone { m.row.zone.as_str() } else { "" };
            let slots_by_machine = zones.entry(zone).or_default();
            let before: u64 = slots_by_machine.iter().map(|(_, n)| n).sum();
            let here = accelerator_policy
                .tasks_that_fit(spec, m, self.room_available_to(spec, name, *room))
                .min(tasks - before);
            if here > 0 {
                slots_by_machine.push((name.clone(), here));
            }
            if before + here == tasks {
                chosen = Some(std::mem::take(slots_by_machine));
                break;
            }
        }
        for (name, count) in chosen.iter().flatten() {
            if let Some(room) = rooms.get_mut(name) {
                *room = room.minus(spec.need().times(*count));
            }
        }
        chosen.is_some()
    }

    /// Whether the leader has noted that a job makes no use of its volume.
    pub(super) fn is_stalled(&self, id: &str) -> bool {
        self.leader_state.as_ref().is_some_and(|l| l.stalls.is_stalled(id))
    }

    /// Notes which jobs below their volume start nothing although their owner's share of the team's limit has room for
    /// them.
    pub(super) fn note_stalls(&mut self) {
        let Some(lead) = &mut self.leader_state else { return };
        let mut stalls = std::mem::take(&mut lead.stalls);
        stalls.retain(|id| self.jobs.get(id).is_some_and(|j| j.remaining_volume() > 0));
        let mut remaining_share = HashMap::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.remaining_volume() > 0) {
            let Some(owner) = job.owner.as_deref() else { continue };
            let left = remaining_share
                .entry((owner, job.spec.team.as_str()))
                .or_insert_with(|| self.remaining_share(owner, &job.spec.team));
            let (_, need) = initial_allocation(job);
            let need = if job.placed() == 0 { need } else { job.spec.need() };
            let has_room = left.is_none_or(|left| Resources { memory: 0, ..need }.fits(left));
            stalls.observe(self.now, id, job.started(), has_room);
        }
        if let Some(lead) = &mut self.leader_state {
            lead.stalls = stalls;
        }
    }
}
