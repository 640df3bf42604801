//! The leader's volumes: how many tasks each job may have at a time.
//!
//! The pools, processors and accelerators, are divided among teams and classes (`marblewalk_admission::pool`), and the
//! jobs that their shares admit make claims. Each team's claims on both pools together are capped by its limits. Then
//! each pool is divided among the claims ([`fair_volumes`]). What that leaves idle goes to waiting jobs that fit
//! (`backfill`).

use std::collections::{BTreeMap, HashMap};

use marblewalk_admission::pool::{self, Entitlement, FlowShare, JobAdmission, JobRequest, Turn};

use crate::coordination::Controller;
use crate::coordination::eligibility::allows;
use crate::coordination::fair_volumes::{Claim, fair_volumes};
use crate::coordination::model::{Job, Machine};
use crate::coordination::precedence::Precedence;
use crate::protocol::job::{JobSpec, Shape};
use crate::protocol::peer::Volume;
use crate::protocol::units::Resources;
use crate::settings::Team;

/// Factor on the weight of a job that can still meet its objective, compared with others of its rank, and the further
/// factor for a job with a single task left (less with more tasks, see [`Controller::urgency`]).
const ON_TIME_WEIGHT: f64 = 8.0;
const SMALL_JOB_WEIGHT: f64 = 6.0;

/// What a team without a limit on a resource may use of it: more than any deployment has, and far from overflowing when
/// amounts are added to it.
const UNLIMITED: u64 = u64::MAX >> 2;

/// A job that the shares admit.
struct AdmittedJob<'a> {
    id: &'a str,
    job: &'a Job,
    claim: Claim,
    turn: Turn,
    /// It claims accelerators.
    accelerator_pool: bool,
    /// It has tasks on machines, so it keeps its minimum.
    running: bool,
    precedence: Precedence,
}

impl AdmittedJob<'_> {
    /// The least that it is given.
    fn min_resources(&self) -> Resources {
        self.job.spec.need().times(u64::from(self.claim.min_tasks.min(self.claim.max_tasks)))
    }
}

/// What a team's tasks may use at once. Memory is not limited.
pub(super) fn team_limits(team: &Team) -> Resources {
    let limit = |most: f64| if most > 0.0 { (most * 1e3) as u64 } else { UNLIMITED };
    Resources { cpu: limit(team.cpus_max), gpu: limit(team.gpus_max), memory: UNLIMITED }
}

/// What one task takes of its pool: processors, or accelerators. A machine with room for only one large task has a
/// single slot for it, so the size is the part of a machine that the task makes unusable.
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

/// The machines that work may be planned on, as the division of the pools counts them.
struct PoolSupply<'a> {
    /// One machine of each kind, and how many there are: a job's share depends on the kind of a machine only.
    machine_kinds: Vec<(&'a Machine, f64)>,
    /// Processors that work with accelerators leaves to other work.
    cpu: u64,
    gpu: u64,
}

impl Controller {
    /// The volumes of all admitted jobs, and each team's and class's share of the pools. Claims are capped by the
    /// teams' limits before each pool is divided among them.
    pub(super) fn plan_volumes(&self) -> (Vec<Volume>, Vec<FlowShare>) {
        let supply = self.pool_supply();
        let mut admitted = Vec::new();
        let mut shares = Vec::new();
        for accelerator_pool in [false, true] {
            let (jobs, flows) = self.admit_jobs(accelerator_pool, &supply);
            admitted.extend(jobs);
            shares.extend(flows);
        }
        for team in &self.settings.params.teams {
            cap_demands_by_limits(team, &mut admitted);
        }
        let mut volumes = Vec::new();
        for accelerator_pool in [false, true] {
            let of_pool: Vec<&AdmittedJob> =
                admitted.iter().filter(|a| a.accelerator_pool == accelerator_pool).collect();
            let claims: Vec<Claim> = of_pool.iter().map(|a| a.claim.clone()).collect();
            let pool = if accelerator_pool { supply.gpu } else { supply.cpu };
            let task_counts = fair_volumes(&claims, pool as f64);
            volumes.extend(of_pool.into_iter().zip(task_counts).map(|(a, tasks)| Volume {
                job: a.id.to_owned(),
                tasks,
                turn: a.turn,
            }));
        }
        (volumes, shares)
    }

    /// The capacity that is divided.
    fn pool_supply(&self) -> PoolSupply<'_> {
        let available = self.machines.values().filter(|m| self.is_schedulable(m) || self.is_incoming(m));
        let available: Vec<&Machine> = available.collect();
        let total = available.iter().fold(Resources::default(), |sum, m| sum.plus(m.supply));
        // Processors of accelerator machines that work with accelerators takes are not available to other work.
        let (cpu, gpu) = self
            .jobs
            .values()
            .filter(|j| j.spec.gpus > 0.0)
            .map(|j| (j.spec.need(), u64::from(j.unfinished())))
            .fold((0, 0), |(cpu, gpu), (need, n)| (cpu + need.cpu * n, gpu + need.gpu * n));
        let taken_by_accelerator_jobs = available
            .iter()
            .map(|m| (m.supply.gpu * cpu).checked_div(gpu).unwrap_or(0).min(m.supply.cpu))
            .sum::<u64>();
        let mut counted: BTreeMap<_, (&Machine, f64)> = BTreeMap::new();
        for m in available {
            let kind_key = (&m.row.kind, &m.row.zone, m.row.spot, m.supply.cpu);
            counted.entry(kind_key).or_insert((m, 0.0)).1 += 1.0;
        }
        PoolSupply {
            machine_kinds: counted.into_values().collect(),
            cpu: total.cpu.saturating_sub(taken_by_accelerator_jobs),
            gpu: total.gpu,
        }
    }

    /// The jobs that the division of a pool admits, and each team's and class's share of the pool.
    fn admit_jobs(
        &self,
        accelerator_pool: bool,
        supply: &PoolSupply<'_>,
    ) -> (Vec<AdmittedJob<'_>>, Vec<FlowShare>) {
        let mut jobs: Vec<(&String, &Job)> = self
            .jobs
            .iter()
            .filter(|(id, j)| {
                (j.spec.gpus > 0.0) == accelerator_pool && j.unfinished() > 0 && !self.awaits_retry(id)
            })
            .collect();
        // Running jobs keep their minimum. The others are admitted by priority, then arrival, when all fit, and
        // otherwise as the shares of team and class allow (`marblewalk_admission::pool`).
        jobs.sort_by_cached_key(|(_, j)| (j.placements.is_empty(), self.precedence(j)));
        let machine_kinds: Vec<&Machine> = supply.machine_kinds.iter().map(|(m, _)| *m).collect();
        let mut sizes: HashMap<_, (f64, f64)> = HashMap::new();
        let size = |spec: &JobSpec| {
            let need = spec.need();
            let key =
                (need.cpu, need.gpu, need.memory, spec.spot, spec.machine_types.clone(), spec.zone.clone());
            *sizes.entry(key).or_insert_with(|| {
                let size = slot_size(spec, &machine_kinds);
                let fit = supply.machine_kinds.iter().filter(|(m, _)| allows(spec, m));
                let slots: f64 = fit.map(|(m, n)| need.times_in(m.supply) as f64 * n).sum();
                (size, size * slots)
            })
        };
        let requests: Vec<JobRequest<'_>> =
            jobs.iter().map(|(_, j)| j).map(self.request_builder(accelerator_pool, size)).collect();
        let pool = if accelerator_pool { supply.gpu } else { supply.cpu };
        let entitled = |team: &str| self.team_entitlement(team, accelerator_pool);
        let (admissions, flows) = pool::divide(&requests, pool as f64, entitled);
        let mut admitted = Vec::new();
        for (((id, job), request), admission) in jobs.into_iter().zip(&requests).zip(admissions) {
            let JobAdmission::Admitted { max_tasks, turn } = admission else { continue };
            let weight = match turn {
                Turn::Usual => self.urgency(job),
                Turn::First | Turn::Nth(_) => ON_TIME_WEIGHT * (1.0 + SMALL_JOB_WEIGHT),
                Turn::Spare(_) | Turn::Backfill => 1.0,
            };
            let priority = job.spec.priority.weight() * weight;
            let claim =
                Claim { priority, max_tasks, min_tasks: request.min_tasks(), task_size: request.task_size };
            let (running, precedence) = (!job.placements.is_empty(), self.precedence(job));
            admitted.push(AdmittedJob { id, job, claim, turn, accelerator_pool, running, precedence });
        }
        (admitted, flows)
    }

    /// Returns a function that describes a job to the division of its pool.
    fn request_builder<'a>(
        &'a self,
        accelerator_pool: bool,
        mut size: impl FnMut(&JobSpec) -> (f64, f64),
    ) -> impl FnMut(&&'a Job) -> JobRequest<'a> {
        let mut time_targets: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for o in self.settings.params.objectives.iter().filter(|o| o.kind == "finished") {
            if let (Some(class), Some(within)) = (o.class.as_deref(), o.within_s) {
                time_targets.entry(class).or_default().push(within);
            }
        }
        move |job| {
            let spec = &job.spec;
            let age = self.now.since(job.known_since).as_secs_f64();
            let time_targets = time_targets.get(spec.class.as_str()).into_iter().flatten().copied();
            let due = spec.deadline_s.into_iter().chain(time_targets).map(|within| within - age);
            let (size, usable) = size(spec);
            let need = spec.need();
            JobRequest {
                quota_size: if accelerator_pool { need.gpu } else { need.cpu } as f64,
                team: &spec.team,
                class: &spec.class,
                rank: spec.priority as u8,
                arrival: job.accepted_revision,
                unfinished_tasks: self.tasks_worth_starting(&spec.id, job),
                total_tasks: spec.tasks,
                gang: spec.shape != Shape::Array,
                running: !job.placements.is_empty(),
                started_tasks: job.started(),
                task_size: size,
                usable_supply: usable,
                estimated_task_s: spec.estimated_task_s,
                due_s: pool::nearest_reachable_deadline(due, spec.estimated_task_s),
                missed_starts: self.missed_starts(job).0,
            }
        }
    }

    /// A team's guarantee and limit in a pool.
    fn team_entitlement(&self, team: &str, accelerator_pool: bool) -> Entitlement {
        let team = self.settings.params.teams.iter().find(|t| t.name == team);
        team.map_or(Entitlement::default(), |t| {
            let (guarantee, limit) =
                if accelerator_pool { (t.gpus, t.gpus_max) } else { (t.cpus, t.cpus_max) };
            Entitlement { guarantee: guarantee * 1e3, limit: limit * 1e3 }
        })
    }

    /// The weight of a job within its rank, between 1 and 56: jobs that can still meet their deadline or their class's
    /// objective come before those that cannot, and among them jobs with few tasks left before those with many.
    ///
    /// With equal weights, a full pool would be shared so that all jobs finish late together.
    fn urgency(&self, job: &Job) -> f64 {
        let time_targets = self
            .settings
            .params
            .objectives
            .iter()
            .filter(|o| o.kind == "finished" && o.class.as_deref() == Some(job.spec.class.as_str()));
        let age = self.now.since(job.known_since).as_secs_f64();
        let mut due = job.spec.deadline_s.into_iter().chain(time_targets.filter_map(|o| o.within_s));
        if due.any(|within| within - age > job.spec.estimated_task_s * 0.6) {
            ON_TIME_WEIGHT * (1.0 + SMALL_JOB_WEIGHT / f64::from(job.unfinished().max(1)).sqrt())
        } else {
            1.0
        }
    }
}

/// Lowers the demands of a team's jobs, on both pools together, to a fair division of its limits.
///
/// When each pool was capped by itself, a team's plain jobs and its jobs with accelerators were each promised all of
/// the team's processors: jobs with a volume could not start, and jobs that could have started had no volume.
fn cap_demands_by_limits(team: &Team, admitted: &mut [AdmittedJob<'_>]) {
    if team.cpus_max <= 0.0 && team.gpus_max <= 0.0 {
        return;
    }
    let mut team_jobs: Vec<&mut AdmittedJob> =
        admitted.iter_mut().filter(|a| a.job.spec.team == team.name).collect();
    // First tasks of jobs that do not have their turn yet come last here: one after the other, they kept a gang as
    // large as the limit from ever starting.
    team_jobs.sort_by_key(|a| (!a.running, a.turn == Turn::First, a.precedence));
    // In this order, running jobs keep their minimum, and each other job is admitted if its minimum fits. The minimum
    // of a job that does not fit yet is deducted too, so that later jobs do not pass it: there would always be more of
    // them.
    let mut left = team_limits(team);
    for a in &mut team_jobs {
        let minimum = Resources { memory: 0, ..a.min_resources() };
        if !a.running && !minimum.fits(left) {
            a.claim.max_tasks = 0;
        }
        left = left.minus(minimum);
    }
    // Accelerators first: jobs that their limit does not admit leave processors to others.
    let accelerators = |need: Resources| need.gpu;
    let processors = |need: Resources| need.cpu;
    cap_demands(team.gpus_max, accelerators, &mut team_jobs);
    cap_demands(team.cpus_max, processors, &mut team_jobs);
}

/// Lowers demands to a fair division of one limit; `resource` selects the limited resource of a task's need.
fn cap_demands(limit: f64, resource: fn(Resources) -> u64, team_jobs: &mut [&mut AdmittedJob<'_>]) {
    if limit <= 0.0 {
        return;
    }
    let size = |a: &AdmittedJob| resource(a.job.spec.need()) as f64;
    let mut users: Vec<&mut &mut AdmittedJob> = team_jobs.iter_mut().filter(|a| size(a) > 0.0).collect();
    let claims: Vec<Claim> = users.iter().map(|a| Claim { task_size: size(a), ..a.claim.clone() }).collect();
    for (a, volume) in users.iter_mut().zip(fair_volumes(&claims, limit * 1e3)) {
        let claim = &mut a.claim;
        claim.max_tasks = claim.max_tasks.min(volume.max(claim.min_tasks));
    }
}
