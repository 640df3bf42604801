//! Room that the volumes leave idle goes to waiting jobs that fit into it.
//!
//! Shares and limits are divided among jobs by their claims. Rounded to whole tasks, held for a gang that does not fit yet,
//! or promised to a job that no machine takes, a part of a team's limit and of the machines stays unused beside a job that
//! fits into it and has no volume. Such a job is backfilled: once it has waited for [`BACKFILL_AFTER`] it is given a volume
//! of what it starts with, a task or a whole gang, the longest wait first, and no other task when that one has ended
//! ([`Turn::Backfill`]). What the machines have room for is what the last plan of blocks left of each.
//!
//! A gang that would fit into its team's limit or on the machines, but not beside what runs, could be passed for ever. So
//! when it is its turn, nobody who has waited for less is backfilled into what it needs for [`HOLD`] of each [`CYCLE`]:
//! tasks end meanwhile, and the gang starts if that is enough. In the rest of the cycle others pass it, so that nobody waits for longer than a cycle
//! and [`BACKFILL_AFTER`] beside idle room.
//!
//! Where a team's limit is in use in full nothing is idle, and jobs that run would take each place that becomes free.
//! A job of single tasks that has waited for [`OVERDUE_AFTER`] is backfilled there all the same, and the volumes of its
//! team's running arrays are lowered by as much: they shrink as their tasks end. Such jobs have one part in
//! [`OVERDUE_PART`] of the limit at most, so that others get done.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use marblewalk_admission::pool::Turn;

use crate::coordination::Controller;
use crate::coordination::eligibility::{Cards, HeldBack, allows};
use crate::coordination::model::Job;
use crate::coordination::volume_plan::limits;
use crate::protocol::job::{JobSpec, Priority, Shape};
use crate::protocol::peer::Volume;
use crate::protocol::units::{Micros, Resources};

/// Jobs that have had nothing running for so long may be backfilled.
pub(super) const BACKFILL_AFTER: Micros = Micros::from_secs(20);
/// Those that have waited for so long come before further tasks of jobs that run.
pub(super) const OVERDUE_AFTER: Micros = Micros::from_secs(45);
/// One part in so many of a team's limit goes to overdue jobs at most.
const OVERDUE_PART: u64 = 2;
/// In each cycle, for how long room is held for a gang that does not fit into what its team's limit leaves.
const CYCLE: Micros = Micros::from_secs(50);
pub(super) const HOLD: Micros = Micros::from_secs(35);
/// A job that has been backfilled and found no place within this time gives the room up, and is tried again later.
pub(super) const GIVEN_UP_AFTER: Micros = Micros::from_secs(20);
pub(super) const TRIED_AGAIN_AFTER: Micros = Micros::from_secs(10);
/// Beside so many backfilled jobs of a team none of its gangs are: they would take what is left for gangs in turn.
const MOST_BESIDE_GANGS: usize = 64;
/// The most searches among the machines in a round that find no place. The next round goes on behind the last of them.
const MOST_VAIN_SEARCHES: usize = 100;

/// The jobs that are backfilled. A new leader begins with none: what runs by then is like any other task.
#[derive(Debug, Default)]
pub(crate) struct Backfill {
    named: BTreeMap<String, Named>,
    /// Jobs that found no place, and when they may be tried again.
    given_up: BTreeMap<String, Micros>,
    /// The last job whose search was in vain in a round that had no more of them to make.
    resume_behind: Option<String>,
}

/// A job that is backfilled.
#[derive(Clone, Copy, Debug)]
struct Named {
    since: Micros,
    /// It waits for a place that becomes free under its team's limit.
    in_line: bool,
}

/// What nobody uses or is expected to use.
struct Idle {
    /// Of each team's limits.
    limits: HashMap<String, Resources>,
    /// Of each machine that has any.
    machines: BTreeMap<String, Resources>,
}

impl Idle {
    /// Whether a need fits into what is left of its team's limit.
    fn within_limit(&self, spec: &JobSpec, need: Resources) -> bool {
        self.limits.get(&spec.team).is_some_and(|left| without_memory(need).fits(*left))
    }

    fn take(&mut self, spec: &JobSpec, need: Resources) {
        if let Some(left) = self.limits.get_mut(&spec.team) {
            *left = left.minus(need);
        }
    }
}

/// All that a search for places depends on: where it is in vain for one job it is so for all that want the same.
#[derive(PartialEq, Eq, Hash)]
struct Wanted {
    need: Resources,
    tasks: u32,
    class: String,
    priority: Priority,
    types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
    one_zone: bool,
    /// Whether it has waited too long to be kept off any machine.
    overdue: bool,
}

fn without_memory(need: Resources) -> Resources {
    Resources { memory: 0, ..need }
}

/// What a job starts with: a task, or all of a gang or a service.
fn unit(job: &Job) -> (u32, Resources) {
    let tasks = job.spec.min_tasks().min(job.unfinished()).max(1);
    (tasks, job.spec.need().times(u64::from(tasks)))
}

impl Controller {
    /// Gives volumes to waiting jobs that have none and fit into what the others' leave.
    pub(super) fn backfill(&mut self, volumes: &mut Vec<Volume>) {
        let Some(lead) = &mut self.lead else { return };
        let mut backfill = std::mem::take(&mut lead.backfill);
        self.keep_backfilled(&mut backfill, volumes);
        let waiting = self.backfill_candidates(&backfill, volumes);
        if !waiting.is_empty() {
            self.name_backfilled(&mut backfill, volumes, waiting);
        }
        self.lower_for_those_in_line(&backfill, volumes);
        if let Some(lead) = &mut self.lead {
            lead.backfill = backfill;
        }
    }

    /// Backfills those of the waiting jobs for which there is room.
    fn name_backfilled(&self, backfill: &mut Backfill, volumes: &mut Vec<Volume>, waiting: Vec<String>) {
        let Some(lead) = &self.lead else { return };
        let holds = self.now.since(lead.since).0 % CYCLE.0 < HOLD.0;
        let mut idle = self.idle(volumes);
        let cards = self.cards(self.machines.values().filter(|m| self.serving(m)));
        let mut line = self.part_for_overdue(backfill);
        let mut beside_gangs = self.backfilled_beside_gangs(backfill);
        let mut held_teams = BTreeSet::new();
        let mut in_vain: HashSet<Wanted> = HashSet::new();
        for id in waiting {
            let Some(job) = self.jobs.get(id.as_str()) else { continue };
            let (tasks, need) = unit(job);
            let beside = beside_gangs.get(job.spec.team.as_str()).copied().unwrap_or(0);
            let crowded = tasks > 1 && beside >= MOST_BESIDE_GANGS;
            if crowded || held_teams.contains(&job.spec.team) {
                continue;
            }
            let fits = idle.within_limit(&job.spec, need);
            let in_line = !fits && self.may_wait_in_line(job) && line.within_limit(&job.spec, need);
            if !fits && !in_line {
                if holds && tasks > 1 {
                    held_teams.insert(job.spec.team.clone());
                }
                continue;
            }
            let wanted = self.wanted_places(job, tasks);
            if in_vain.contains(&wanted) {
                continue;
            }
            if !self.take_places(&mut idle.machines, cards, &job.spec, u64::from(tasks)) {
                if holds && job.is_gang() {
                    self.hold_places(&mut idle.machines, &job.spec);
                }
                in_vain.insert(wanted);
                if in_vain.len() == MOST_VAIN_SEARCHES {
                    backfill.resume_behind = Some(id);
                    return;
                }
                continue;
            }
            if in_line {
                line.take(&job.spec, need);
            } else {
                *beside_gangs.entry(job.spec.team.as_str()).or_default() += 1;
            }
            idle.take(&job.spec, need);
            tracing::debug!(job = id.as_str(), tasks, in_line, "backfilled");
            volumes.push(Volume { job: id.clone(), tasks, turn: Turn::Backfill });
            backfill.named.insert(id, Named { since: self.now, in_line });
        }
        backfill.resume_behind = None;
    }

    /// How many jobs of each team are backfilled into room that a gang of the team could have. Those in line take places
    /// of running arrays, and other teams' jobs nothing of its limit.
    fn backfilled_beside_gangs(&self, backfill: &Backfill) -> HashMap<&str, usize> {
        let mut counts = HashMap::new();
        let beside = backfill.named.iter().filter(|(_, named)| !named.in_line);
        for job in beside.filter_map(|(id, _)| self.jobs.get(id.as_str())) {
            *counts.entry(job.spec.team.as_str()).or_default() += 1;
        }
        counts
    }

    /// Jobs that have been backfilled stay so until what they started with has ended, or found no place.
    fn keep_backfilled(&self, backfill: &mut Backfill, volumes: &mut Vec<Volume>) {
        let now = self.now;
        backfill.given_up.retain(|id, until| *until > now && self.jobs.contains_key(id.as_str()));
        let in_use = self.in_use_of_limits();
        let mut kept = Vec::new();
        let given_up = &mut backfill.given_up;
        backfill.named.retain(|id, named| {
            let Some(job) = self.jobs.get(id.as_str()).filter(|j| j.unfinished() > 0) else { return false };
            let waits = job.placed() == 0;
            // Its task has come and gone.
            if waits && job.wait.waited(now) < now.since(named.since) {
                return false;
            }
            // While its team's limit is in use it is not for want of a machine that it waits.
            if named.in_line && waits && !in_use.within_limit(&job.spec, unit(job).1) {
                named.since = now;
            }
            if waits && now.since(named.since) >= GIVEN_UP_AFTER {
                given_up.insert(id.clone(), now + TRIED_AGAIN_AFTER);
                return false;
            }
            kept.push(Volume { job: id.clone(), tasks: unit(job).0, turn: Turn::Backfill });
            true
        });
        // One that has its turn by now takes it instead.
        let in_turn = |v: &Volume| v.tasks > 0 && matches!(v.turn, Turn::Usual | Turn::Nth(_));
        let admitted: BTreeSet<&str> = volumes
            .iter()
            .filter(|v| in_turn(v) && self.jobs.get(&v.job).is_some_and(|j| j.placed() == 0))
            .map(|v| v.job.as_str())
            .collect();
        kept.retain(|v| !admitted.contains(v.job.as_str()));
        backfill.named.retain(|id, _| kept.iter().any(|v| v.job == *id));
        volumes.retain(|v| !backfill.named.contains_key(&v.job));
        volumes.extend(kept);
    }

    /// The jobs that may be backfilled, the longest wait first, or from where the last round had to end.
    fn backfill_candidates(&self, backfill: &Backfill, volumes: &[Volume]) -> Vec<String> {
        let with_volume = volumes.iter().filter(|v| v.tasks > 0).map(|v| v.job.as_str());
        let with_volume: BTreeSet<&str> = with_volume.collect();
        let waits = |id: &str, job: &Job| {
            job.placed() == 0
                && job.unfinished() > 0
                && job.wait.waited(self.now) >= BACKFILL_AFTER
                && !with_volume.contains(id)
                && !self.held(id)
                && !self.mistaken(id)
                && !backfill.given_up.contains_key(id)
        };
        let waiting = self.jobs.iter().filter(|(id, job)| waits(id, job));
        let mut waiting: Vec<_> =
            waiting.map(|(id, job)| (job.wait.since, self.precedence(job), id.clone())).collect();
        waiting.sort();
        let mut waiting: Vec<String> = waiting.into_iter().map(|(.., id)| id).collect();
        let last = backfill.resume_behind.as_ref().and_then(|last| waiting.iter().position(|id| id == last));
        if let Some(last) = last {
            waiting.rotate_left(last + 1);
        }
        waiting
    }

    /// What the volumes leave of limits and machines. Stalled jobs count with what they have.
    fn idle(&self, volumes: &[Volume]) -> Idle {
        let named: HashMap<&str, u32> = volumes.iter().map(|v| (v.job.as_str(), v.tasks)).collect();
        let mut idle = self.in_use_of_limits();
        for (id, job) in &self.jobs {
            let volume = named.get(id.as_str()).copied().unwrap_or(0);
            let expected = if self.is_stalled(id) { 0 } else { volume.saturating_sub(job.placed()) };
            idle.take(&job.spec, job.spec.need().times(u64::from(expected)));
        }
        let left = self.lead.iter().flat_map(|lead| &lead.left_by_plan);
        let free = left.filter_map(|(name, left)| {
            let machine = self.machines.get(name).filter(|m| self.serving(m))?;
            Some((name.clone(), left.min(machine.free())))
        });
        idle.machines = free.collect();
        idle
    }

    /// What the tasks that are somewhere leave of the limits.
    fn in_use_of_limits(&self) -> Idle {
        let mut idle = self.whole_limits(1);
        for job in self.jobs.values().filter(|j| j.placed() > 0) {
            idle.take(&job.spec, job.spec.need().times(u64::from(job.placed())));
        }
        idle
    }

    /// One part in so many of each team's limits.
    fn whole_limits(&self, part: u64) -> Idle {
        let one = |limit: Resources| Resources { cpu: limit.cpu / part, gpu: limit.gpu / part, ..limit };
        let teams = self.settings.params.teams.iter();
        let limits = teams.map(|t| (t.name.clone(), one(limits(t)))).collect();
        Idle { limits, machines: BTreeMap::new() }
    }

    /// What overdue jobs may still have of their teams' limits, beside those that are backfilled.
    fn part_for_overdue(&self, backfill: &Backfill) -> Idle {
        let mut line = self.whole_limits(OVERDUE_PART);
        for id in backfill.named.keys() {
            if let Some(job) = self.jobs.get(id.as_str()) {
                line.take(&job.spec, unit(job).1);
            }
        }
        line
    }

    /// Whether a job may be backfilled where only tasks that end make room for it.
    fn may_wait_in_line(&self, job: &Job) -> bool {
        job.spec.shape == Shape::Array && job.wait.waited(self.now) >= OVERDUE_AFTER
    }

    /// Lowers the volumes of running arrays by what jobs in line are to have of their team's limit, the largest first.
    fn lower_for_those_in_line(&self, backfill: &Backfill, volumes: &mut [Volume]) {
        let mut wanted: BTreeMap<&str, Resources> = BTreeMap::new();
        let line = backfill.named.iter().filter(|(_, named)| named.in_line);
        for job in line.filter_map(|(id, _)| self.jobs.get(id.as_str())).filter(|j| j.placed() == 0) {
            let sum = wanted.entry(&job.spec.team).or_default();
            *sum = sum.plus(without_memory(job.spec.need()));
        }
        if wanted.is_empty() {
            return;
        }
        let lowers = |v: &Volume| v.turn != Turn::Backfill && v.tasks > 1;
        let mut largest_first: Vec<usize> = (0..volumes.len()).filter(|n| lowers(&volumes[*n])).collect();
        largest_first.sort_by_key(|n| std::cmp::Reverse(volumes[*n].tasks));
        for n in largest_first {
            let volume = &mut volumes[n];
            let Some(job) = self.jobs.get(&volume.job) else { continue };
            let Some(wanted) = wanted.get_mut(job.spec.team.as_str()) else { continue };
            if job.spec.shape != Shape::Array || job.placed() == 0 {
                continue;
            }
            let need = without_memory(job.spec.need());
            // A job that uses none of what is lacking makes no room by shrinking.
            while volume.tasks > 1 && need.min(*wanted) != Resources::default() {
                volume.tasks -= 1;
                *wanted = wanted.minus(need);
            }
        }
    }

    /// Takes the machines out on which a gang could come together: in the zone that has most room for it, or in all.
    fn hold_places(&self, rooms: &mut BTreeMap<String, Resources>, spec: &JobSpec) {
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
        let most = zones.into_iter().max_by_key(|(_, places)| *places).map(|(zone, _)| zone);
        rooms.retain(|name, room| of_gang(name, *room).is_none_or(|zone| Some(zone) != most));
    }

    fn wanted_places(&self, job: &Job, tasks: u32) -> Wanted {
        let spec = &job.spec;
        Wanted {
            need: spec.need(),
            tasks,
            class: spec.class.clone(),
            priority: spec.priority,
            types: spec.machine_types.clone(),
            zone: spec.zone.clone(),
            spot: spec.spot,
            one_zone: spec.one_zone,
            overdue: Cards::lets_in_after(job.wait.waited(self.now)),
        }
    }

    /// Takes room for so many tasks of a job, wherever the machines are held; whether there is.
    fn take_places(
        &self,
        rooms: &mut BTreeMap<String, Resources>,
        cards: Cards,
        spec: &JobSpec,
        tasks: u64,
    ) -> bool {
        let cards = cards.after(self.waited(&spec.id));
        let closed = HeldBack::from(self, &self.reserved, spec);
        let mut zones: BTreeMap<&str, Vec<(String, u64)>> = BTreeMap::new();
        let mut chosen = None;
        for (name, room) in rooms.iter().filter(|(_, room)| spec.need().fits(**room)) {
            let Some(m) = self.machines.get(name).filter(|m| allows(spec, m) && !closed.holds(m)) else {
                continue;
            };
            let zone = if spec.one_zone { m.row.zone.as_str() } else { "" };
            let places = zones.entry(zone).or_default();
            let before: u64 = places.iter().map(|(_, n)| n).sum();
            let here = cards.times(spec, m, self.room_for(spec, name, *room)).min(tasks - before);
            if here > 0 {
                places.push((name.clone(), here));
            }
            if before + here == tasks {
                chosen = Some(std::mem::take(places));
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

    /// Whether a job makes no use of its volume, as the leader has seen it.
    pub(super) fn is_stalled(&self, id: &str) -> bool {
        self.lead.as_ref().is_some_and(|l| l.stalls.is_stalled(id))
    }

    /// Notes which jobs below their volume start nothing though their team's limit has room for them at their owner.
    pub(super) fn note_stalls(&mut self) {
        let Some(lead) = &mut self.lead else { return };
        let mut stalls = std::mem::take(&mut lead.stalls);
        stalls.retain(|id| self.jobs.get(id).is_some_and(|j| j.lacking() > 0));
        let mut left_of_share = HashMap::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.lacking() > 0) {
            let Some(owner) = job.owner.as_deref() else { continue };
            let left = left_of_share
                .entry((owner, job.spec.team.as_str()))
                .or_insert_with(|| self.left_of_share(owner, &job.spec.team));
            let (_, need) = unit(job);
            let need = if job.placed() == 0 { need } else { job.spec.need() };
            let has_room = left.is_none_or(|left| Resources { memory: 0, ..need }.fits(left));
            stalls.observe(self.now, id, job.started(), has_room);
        }
        if let Some(lead) = &mut self.lead {
            lead.stalls = stalls;
        }
    }
}
