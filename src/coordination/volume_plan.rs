//! The leader's volumes: how many tasks each job may have at a time.
//!
//! The pools, processors and accelerators, are divided among teams and classes (`marblewalk_admission::pool`), and the jobs
//! that their shares admit make claims. Of each team the claims on both pools together are lowered to its limits. Then
//! each pool is filled ([`share`]). What that leaves idle goes to waiting jobs that fit (`backfill`).

use std::collections::{BTreeMap, HashMap};

use marblewalk_admission::pool::{self, Entitlement, FlowShare, JobAdmission, JobRequest, Turn};

use crate::coordination::Controller;
use crate::coordination::eligibility::allows;
use crate::coordination::model::{Job, Machine};
use crate::coordination::precedence::Precedence;
use crate::coordination::volumes::{Claim, share};
use crate::protocol::job::{JobSpec, Shape};
use crate::protocol::peer::Volume;
use crate::protocol::units::Resources;
use crate::settings::Team;

/// How much more than others of its rank a job counts that can still meet its aim, and how much more
/// again if it has but one task left.
const URGENT: f64 = 8.0;
const SMALL: f64 = 6.0;

/// A team without a limit of some kind may use so much of it: more than any deployment has, and far from overflowing
/// where it is added to.
const UNLIMITED: u64 = u64::MAX >> 2;

/// A job that the shares admit.
struct Admitted<'a> {
    id: &'a str,
    job: &'a Job,
    claim: Claim,
    turn: Turn,
    /// It claims accelerators.
    accelerated: bool,
    /// It has tasks on machines, so it keeps its floor.
    begun: bool,
    precedence: Precedence,
}

impl Admitted<'_> {
    /// The least that it is given.
    fn floor(&self) -> Resources {
        self.job.spec.need().times(u64::from(self.claim.floor.min(self.claim.demand)))
    }
}

/// What a team's tasks may use at once, without memory.
pub(super) fn limits(team: &Team) -> Resources {
    let limit = |most: f64| if most > 0.0 { (most * 1e3) as u64 } else { UNLIMITED };
    Resources { cpu: limit(team.cpus_max), gpu: limit(team.gpus_max), memory: UNLIMITED }
}

/// One task's share of its pool: processors, or accelerators. A machine that takes only one large
/// task has but one slot for it, so the share is the machine's part that the task makes unusable.
fn slot_size(spec: &JobSpec, machines: &[&Machine]) -> f64 {
    let need = spec.need();
    let part = |m: &&&Machine| {
        let times = need.times_in(m.supply).max(1) as f64;
        if spec.gpus > 0.0 { m.supply.gpu as f64 / times } else { m.supply.cpu as f64 / times }
    };
    let plain = if spec.gpus > 0.0 { need.gpu } else { need.cpu } as f64;
    let least = machines.iter().filter(|m| allows(spec, m)).map(|m| part(&m)).fold(f64::INFINITY, f64::min);
    if least.is_finite() { least.max(plain) } else { plain.max(1.0) }
}

/// The machines that work may be planned on, as a division of the pools sees them.
struct Supply<'a> {
    /// One of each sort, and how many there are: a job's share depends on what a machine is, not on which.
    sorts: Vec<(&'a Machine, f64)>,
    /// Of the processors what accelerators' work leaves.
    cpu: u64,
    gpu: u64,
}

impl Controller {
    /// The volumes of all admitted jobs: per pool, and before that per team limit; and what each team
    /// and class has of the pools.
    pub(super) fn volumes(&self) -> (Vec<Volume>, Vec<FlowShare>) {
        let supply = self.supply();
        let mut admitted = Vec::new();
        let mut shares = Vec::new();
        for accelerated in [false, true] {
            let (jobs, flows) = self.admit(accelerated, &supply);
            admitted.extend(jobs);
            shares.extend(flows);
        }
        for team in &self.settings.params.teams {
            cap_by_limits(team, &mut admitted);
        }
        let mut volumes = Vec::new();
        for accelerated in [false, true] {
            let of_pool: Vec<&Admitted> = admitted.iter().filter(|a| a.accelerated == accelerated).collect();
            let claims: Vec<Claim> = of_pool.iter().map(|a| a.claim.clone()).collect();
            let pool = if accelerated { supply.gpu } else { supply.cpu };
            let fill = share(&claims, pool as f64);
            volumes.extend(of_pool.into_iter().zip(fill).map(|(a, tasks)| Volume {
                job: a.id.to_owned(),
                tasks,
                turn: a.turn,
            }));
        }
        (volumes, shares)
    }

    /// What there is to be divided.
    fn supply(&self) -> Supply<'_> {
        let there = self.machines.values().filter(|m| self.serving(m) || self.coming(m));
        let there: Vec<&Machine> = there.collect();
        let total = there.iter().fold(Resources::default(), |sum, m| sum.plus(m.supply));
        // What accelerators' work takes of their machines' processors is not there for other work.
        let (cpu, gpu) = self
            .jobs
            .values()
            .filter(|j| j.spec.gpus > 0.0)
            .map(|j| (j.spec.need(), u64::from(j.unfinished())))
            .fold((0, 0), |(cpu, gpu), (need, n)| (cpu + need.cpu * n, gpu + need.gpu * n));
        let with_cards = there
            .iter()
            .map(|m| (m.supply.gpu * cpu).checked_div(gpu).unwrap_or(0).min(m.supply.cpu))
            .sum::<u64>();
        let mut counted: BTreeMap<_, (&Machine, f64)> = BTreeMap::new();
        for m in there {
            let sort = (&m.row.kind, &m.row.zone, m.row.spot, m.supply.cpu);
            counted.entry(sort).or_insert((m, 0.0)).1 += 1.0;
        }
        Supply {
            sorts: counted.into_values().collect(),
            cpu: total.cpu.saturating_sub(with_cards),
            gpu: total.gpu,
        }
    }

    /// The jobs of a pool that its division admits, and what each team and class has of it.
    fn admit(&self, accelerated: bool, supply: &Supply<'_>) -> (Vec<Admitted<'_>>, Vec<FlowShare>) {
        let mut jobs: Vec<(&String, &Job)> = self
            .jobs
            .iter()
            .filter(|(id, j)| (j.spec.gpus > 0.0) == accelerated && j.unfinished() > 0 && !self.held(id))
            .collect();
        // Running jobs keep their floors; the others are admitted by priority, then arrival, when all
        // fit, and else as the shares of team and class allow (`marblewalk_admission::pool`).
        jobs.sort_by_cached_key(|(_, j)| (j.on.is_empty(), self.precedence(j)));
        let sorts: Vec<&Machine> = supply.sorts.iter().map(|(m, _)| *m).collect();
        let mut sizes: HashMap<_, (f64, f64)> = HashMap::new();
        let size = |spec: &JobSpec| {
            let need = spec.need();
            let key =
                (need.cpu, need.gpu, need.memory, spec.spot, spec.machine_types.clone(), spec.zone.clone());
            *sizes.entry(key).or_insert_with(|| {
                let size = slot_size(spec, &sorts);
                let fit = supply.sorts.iter().filter(|(m, _)| allows(spec, m));
                let slots: f64 = fit.map(|(m, n)| need.times_in(m.supply) as f64 * n).sum();
                (size, size * slots)
            })
        };
        let offers: Vec<JobRequest<'_>> =
            jobs.iter().map(|(_, j)| j).map(self.offers(accelerated, size)).collect();
        let pool = if accelerated { supply.gpu } else { supply.cpu };
        let entitled = |team: &str| self.team_entitlement(team, accelerated);
        let (verdicts, flows) = pool::divide(&offers, pool as f64, entitled);
        let mut admitted = Vec::new();
        for (((id, job), offer), verdict) in jobs.into_iter().zip(&offers).zip(verdicts) {
            let JobAdmission::Admitted { max_tasks, turn } = verdict else { continue };
            let weight = match turn {
                Turn::Usual => self.urgency(job),
                Turn::First | Turn::Nth(_) => URGENT * (1.0 + SMALL),
                Turn::Spare(_) | Turn::Backfill => 1.0,
            };
            let priority = job.spec.priority.weight() * weight;
            let claim =
                Claim { priority, demand: max_tasks, floor: offer.min_tasks(), size: offer.task_size };
            let (begun, precedence) = (!job.on.is_empty(), self.precedence(job));
            admitted.push(Admitted { id, job, claim, turn, accelerated, begun, precedence });
        }
        (admitted, flows)
    }

    /// What the admission is told of a job.
    fn offers<'a>(
        &'a self,
        accelerated: bool,
        mut size: impl FnMut(&JobSpec) -> (f64, f64),
    ) -> impl FnMut(&&'a Job) -> JobRequest<'a> {
        let mut aims: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for o in self.settings.params.objectives.iter().filter(|o| o.kind == "finished") {
            if let (Some(class), Some(within)) = (o.class.as_deref(), o.within_s) {
                aims.entry(class).or_default().push(within);
            }
        }
        move |job| {
            let spec = &job.spec;
            let age = self.now.since(job.since).as_secs_f64();
            let aims = aims.get(spec.class.as_str()).into_iter().flatten().copied();
            let due = spec.deadline_s.into_iter().chain(aims).map(|within| within - age);
            let (size, usable) = size(spec);
            let need = spec.need();
            JobRequest {
                quota_size: if accelerated { need.gpu } else { need.cpu } as f64,
                team: &spec.team,
                class: &spec.class,
                rank: spec.priority as u8,
                arrival: job.stamp,
                unfinished_tasks: self.worth_trying(&spec.id, job),
                total_tasks: spec.tasks,
                gang: spec.shape != Shape::Array,
                running: !job.on.is_empty(),
                started_tasks: job.started(),
                task_size: size,
                usable_supply: usable,
                estimated_task_s: spec.estimated_task_s,
                due_s: pool::nearest_reachable_deadline(due, spec.estimated_task_s),
                missed_starts: self.starts_missed(job).0,
            }
        }
    }

    /// A team's guarantee and limit in a pool.
    fn team_entitlement(&self, team: &str, accelerated: bool) -> Entitlement {
        let team = self.settings.params.teams.iter().find(|t| t.name == team);
        team.map_or(Entitlement::default(), |t| {
            let (guarantee, limit) = if accelerated { (t.gpus, t.gpus_max) } else { (t.cpus, t.cpus_max) };
            Entitlement { guarantee: guarantee * 1e3, limit: limit * 1e3 }
        })
    }

    /// Within a rank, between 1 and 56: jobs that can still be done in the time their class aims at
    /// come before those that cannot, and of these the ones with little left before those with much.
    ///
    /// With equal priorities a full pool is shared so that all jobs finish late together.
    fn urgency(&self, job: &Job) -> f64 {
        let aims = self
            .settings
            .params
            .objectives
            .iter()
            .filter(|o| o.kind == "finished" && o.class.as_deref() == Some(job.spec.class.as_str()));
        let age = self.now.since(job.since).as_secs_f64();
        let mut due = job.spec.deadline_s.into_iter().chain(aims.filter_map(|o| o.within_s));
        if due.any(|within| within - age > job.spec.estimated_task_s * 0.6) {
            URGENT * (1.0 + SMALL / f64::from(job.unfinished().max(1)).sqrt())
        } else {
            1.0
        }
    }
}

/// Lowers the demands of a team's jobs, on both pools together, to a fair fill of its limits.
///
/// Each pool for itself, a team's plain jobs and its jobs with accelerators were each promised all of its processors: what
/// had a volume could not start, and what might have started had none.
fn cap_by_limits(team: &Team, admitted: &mut [Admitted<'_>]) {
    if team.cpus_max <= 0.0 && team.gpus_max <= 0.0 {
        return;
    }
    let mut own: Vec<&mut Admitted> = admitted.iter_mut().filter(|a| a.job.spec.team == team.name).collect();
    // First tasks of jobs whose turn is not yet come last here: one after the other they kept a gang as large as the limit
    // from ever starting.
    own.sort_by_key(|a| (!a.begun, a.turn == Turn::First, a.precedence));
    // In their order: those that run keep their floors, and of the others each is admitted when its
    // floor fits. One that does not fit yet is not passed by later ones, for they would never end.
    let mut left = limits(team);
    for a in &mut own {
        let floor = Resources { memory: 0, ..a.floor() };
        if !a.begun && !floor.fits(left) {
            a.claim.demand = 0;
        }
        left = left.minus(floor);
    }
    // Accelerators first: what they do not admit leaves processors to others.
    let accelerators = |need: Resources| need.gpu;
    let processors = |need: Resources| need.cpu;
    fill_limit(team.gpus_max, accelerators, &mut own);
    fill_limit(team.cpus_max, processors, &mut own);
}

/// Lowers demands to a fair fill of one limit, of what `of` a task needs.
fn fill_limit(limit: f64, of: fn(Resources) -> u64, own: &mut [&mut Admitted<'_>]) {
    if limit <= 0.0 {
        return;
    }
    let size = |a: &Admitted| of(a.job.spec.need()) as f64;
    let mut users: Vec<&mut &mut Admitted> = own.iter_mut().filter(|a| size(a) > 0.0).collect();
    let claims: Vec<Claim> = users.iter().map(|a| Claim { size: size(a), ..a.claim.clone() }).collect();
    for (a, volume) in users.iter_mut().zip(share(&claims, limit * 1e3)) {
        let claim = &mut a.claim;
        claim.demand = claim.demand.min(volume.max(claim.floor));
    }
}
