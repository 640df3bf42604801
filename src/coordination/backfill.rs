//! Room that the volumes leave idle goes to waiting jobs that fit into it.
//!
//! Shares and limits are divided among jobs by their claims. Rounded to whole tasks, held for a gang that does not fit yet,
//! or promised to a job that no machine takes, a part of a team's limit stays unused beside a job that fits into it and has
//! no volume. Such a job is backfilled: once it has waited for [`BACKFILL_AFTER`] it is given a volume of what it starts
//! with, a task or a whole gang, the longest wait first, and no other task when that one has ended ([`Turn::Backfill`]).
//!
//! A gang that would fit into its team's limit but not beside what runs could be passed for ever. So when it is its turn,
//! nobody who has waited for less is backfilled beyond it for [`HOLD`] of each [`CYCLE`]: tasks end meanwhile, and the
//! gang starts if that is enough. In the rest of the cycle others pass it, so that nobody waits for longer than a cycle
//! and [`BACKFILL_AFTER`] beside idle room.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use marblewalk_admission::pool::Turn;

use crate::coordination::Controller;
use crate::coordination::eligibility::{HeldBack, allows};
use crate::coordination::model::{Job, Machine};
use crate::coordination::volume_plan::limits;
use crate::protocol::job::JobSpec;
use crate::protocol::peer::Volume;
use crate::protocol::units::{Micros, Resources};

/// Jobs that have had nothing running for so long may be backfilled.
pub(super) const BACKFILL_AFTER: Micros = Micros::from_secs(20);
/// In each cycle, for how long room is held for a gang that does not fit into what its team's limit leaves.
const CYCLE: Micros = Micros::from_secs(50);
const HOLD: Micros = Micros::from_secs(35);
/// A job that has been backfilled and found no place within this time gives the room up, and is tried again later.
const GIVEN_UP_AFTER: Micros = Micros::from_secs(20);
const TRIED_AGAIN_AFTER: Micros = Micros::from_secs(20);
/// The most jobs that are looked at in a round, and the most that may be backfilled at a time.
const MOST_LOOKED_AT: usize = 200;
const MOST_BACKFILLED: usize = 64;

/// The jobs that are backfilled. A new leader begins with none: what runs by then is like any other task.
#[derive(Debug, Default)]
pub(crate) struct Backfill {
    /// Since when.
    named: BTreeMap<String, Micros>,
    /// Jobs that found no place, and when they may be tried again.
    given_up: BTreeMap<String, Micros>,
}

/// What nobody uses or is expected to use.
struct Idle {
    /// Of each team's limits.
    limits: HashMap<String, Resources>,
    /// Of the machines.
    machines: Resources,
}

impl Idle {
    /// Whether a need fits into what is left of its team's limit.
    fn within_limit(&self, spec: &JobSpec, need: Resources) -> bool {
        let need = Resources { memory: 0, ..need };
        self.limits.get(&spec.team).is_some_and(|left| need.fits(*left))
    }

    fn take(&mut self, spec: &JobSpec, need: Resources) {
        self.machines = self.machines.minus(need);
        if let Some(left) = self.limits.get_mut(&spec.team) {
            *left = left.minus(need);
        }
    }
}

/// What a job starts with: a task, or all of a gang or a service.
fn unit(job: &Job) -> (u32, Resources) {
    let tasks = job.spec.floor().min(job.unfinished()).max(1);
    (tasks, job.spec.need().times(u64::from(tasks)))
}

impl Controller {
    /// Gives volumes to waiting jobs that have none and fit into what the others' leave.
    pub(super) fn backfill(&mut self, volumes: &mut Vec<Volume>) {
        let Some(lead) = &mut self.lead else { return };
        let mut backfill = std::mem::take(&mut lead.backfill);
        let holds = self.now.since(lead.since).0 % CYCLE.0 < HOLD.0;
        self.keep_backfilled(&mut backfill, volumes);
        let waiting = self.backfill_candidates(&backfill, volumes);
        if !waiting.is_empty() {
            let mut idle = self.idle(volumes);
            let mut held_teams = BTreeSet::new();
            for id in waiting.iter().take(MOST_LOOKED_AT) {
                let Some(job) = self.jobs.get(id.as_str()) else { continue };
                let (tasks, need) = unit(job);
                if held_teams.contains(&job.spec.team) || backfill.named.len() >= MOST_BACKFILLED {
                    continue;
                }
                if !idle.within_limit(&job.spec, need) {
                    if holds && tasks > 1 {
                        held_teams.insert(job.spec.team.clone());
                    }
                    continue;
                }
                // Room that others are expected to take is not passed on while the cycle holds it.
                let unclaimed = !holds || Resources { memory: 0, ..need }.fits(idle.machines);
                if unclaimed && self.has_places(&job.spec, u64::from(tasks)) {
                    idle.take(&job.spec, need);
                    backfill.named.insert(id.clone(), self.now);
                    volumes.push(Volume { job: id.clone(), tasks, turn: Turn::Backfill });
                    tracing::debug!(job = id.as_str(), tasks, "backfilled");
                }
            }
        }
        if let Some(lead) = &mut self.lead {
            lead.backfill = backfill;
        }
    }

    /// Jobs that have been backfilled stay so until what they started with has ended, or found no place.
    fn keep_backfilled(&self, backfill: &mut Backfill, volumes: &mut Vec<Volume>) {
        let now = self.now;
        backfill.given_up.retain(|id, until| *until > now && self.jobs.contains_key(id.as_str()));
        let mut kept = Vec::new();
        let given_up = &mut backfill.given_up;
        backfill.named.retain(|id, since| {
            let Some(job) = self.jobs.get(id.as_str()).filter(|j| j.unfinished() > 0) else { return false };
            let waits = job.placed() == 0;
            // Its task has come and gone.
            if waits && job.wait.waited(now) < now.since(*since) {
                return false;
            }
            if waits && now.since(*since) >= GIVEN_UP_AFTER {
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

    /// The jobs that may be backfilled, the longest wait first.
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
        waiting.into_iter().map(|(.., id)| id).collect()
    }

    /// What the volumes leave of limits and machines. Stalled jobs count with what they have.
    fn idle(&self, volumes: &[Volume]) -> Idle {
        let named: HashMap<&str, u32> = volumes.iter().map(|v| (v.job.as_str(), v.tasks)).collect();
        let teams = self.settings.params.teams.iter();
        let mut left: HashMap<String, Resources> = teams.map(|t| (t.name.clone(), limits(t))).collect();
        let serving = self.machines.values().filter(|m| self.serving(m));
        let mut machines = serving.fold(Resources::default(), |sum, m| sum.plus(m.free()));
        for (id, job) in &self.jobs {
            let volume = named.get(id.as_str()).copied().unwrap_or(0);
            let expected = if self.is_stalled(id) { 0 } else { volume.saturating_sub(job.placed()) };
            let need = job.spec.need();
            machines = machines.minus(need.times(u64::from(expected)));
            if let Some(left) = left.get_mut(&job.spec.team) {
                *left = left.minus(need.times(u64::from(job.placed() + expected)));
            }
        }
        Idle { limits: left, machines }
    }

    /// Whether machines have room for so many tasks of a job, wherever they are held.
    fn has_places(&self, spec: &JobSpec, tasks: u64) -> bool {
        let cards = self.cards(self.machines.values().filter(|m| self.serving(m)));
        let cards = cards.after(self.waited(&spec.id));
        let closed = HeldBack::from(self, &self.reserved, spec);
        let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
        let open = |m: &Machine| self.serving(m) && allows(spec, m) && !closed.holds(m);
        for (name, m) in self.machines.iter().filter(|(_, m)| spec.need().fits(m.free()) && open(m)) {
            let room = self.room_for(spec, name, m.free());
            let zone = if spec.one_zone { m.row.zone.as_str() } else { "" };
            let places = zones.entry(zone).or_default();
            *places += cards.times(spec, m, room);
            if *places >= tasks {
                return true;
            }
        }
        false
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
