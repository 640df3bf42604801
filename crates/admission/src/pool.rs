//! Division of a pool of machines among jobs when there is more work than machines.
//!
//! A pool's supply is divided among *flows*, one for each rank, team and class with unfinished work: guarantees first,
//! then by rank, and within a rank by max-min fairness among teams and among a team's classes. A flow spends its share
//! on few jobs at a time, each with all the tasks it can use, so that jobs that have started also finish. A part of the
//! share is spent in order of arrival. The rest goes to the largest number of jobs that can be done in time (Moore, "An
//! n job, one machine sequencing algorithm for minimizing the number of late jobs", 1968, with the share as the
//! machine), earliest deadline first, and then by remaining work.
//!
//! No state is kept from one division to the next, so a new leader divides as the previous one did.

use std::collections::{BTreeMap, BinaryHeap};

use bitcode::{Decode, Encode};

use crate::max_min::{self, Claimant};

/// The fraction of a pool that all ranks below the highest get together, whatever the demand of the highest.
pub const LOWER_RANKS_FRACTION: f64 = 1.0 / 16.0;
/// The fraction of a flow's share that is spent in order of arrival, so that small jobs can't starve a large one.
pub const ARRIVAL_ORDER_FRACTION: f64 = 1.0 / 16.0;
/// The fraction of a flow's share that goes to first tasks of jobs whose turn has not come, in order of arrival. It
/// bounds the wait for a job's first task, which starts long before the whole job can be done.
pub const FIRST_TASKS_FRACTION: f64 = 1.0 / 16.0;
/// The largest fraction of a share that first tasks get, if they need it to start within `FIRST_TASK_TARGET_S`.
pub const FIRST_TASKS_MAX_FRACTION: f64 = 0.15;
const FIRST_TASK_TARGET_S: f64 = 200.0;
/// The largest jobs of a flow get a fraction of its share: their fraction of the flow's work times this, and at most
/// half. Among them, too, the job with the least work goes first. Ordering all jobs by least work alone, fewer than
/// a third of gangs of 16 tasks ever started beside small ones.
pub const LARGE_JOBS_FACTOR: f64 = 0.75;
const LARGE_JOBS_MAX_FRACTION: f64 = 0.5;
/// The ratios of demand to share between which that fraction grows from zero to its full value: after a short rush
/// there is time enough for the largest jobs, and an earlier start would only delay others.
const LARGE_JOBS_DEMAND_RATIOS: (f64, f64) = (2.0, 8.0);
/// A job counts as one of the largest if this fraction of its flow's jobs is no larger.
const LARGE_JOB_QUANTILE: f64 = 0.85;
/// How far beyond its share a flow admits jobs, for capacity that the first jobs in turn can't use.
pub const SPARE_FRACTION: f64 = 0.25;
/// Factor on the work of a gang for each objective time for its start that it has missed: a gang that can still start
/// in time, and takes little work, goes before one that can't.
const MISSED_START_FACTOR: f64 = 4.0;
/// The smallest fraction of its estimated run time that a task is assumed to take: estimates are often too high.
const MIN_RUN_TIME_FRACTION: f64 = 0.6;

/// A job with unfinished tasks, as input to the division of a pool.
#[derive(Clone, Debug)]
pub struct JobRequest<'a> {
    pub team: &'a str,
    pub class: &'a str,
    /// A higher rank goes first.
    pub rank: u8,
    /// Orders jobs by arrival.
    pub arrival: u64,
    /// Tasks that are not done.
    pub unfinished_tasks: u32,
    /// Tasks that the job was submitted with.
    pub total_tasks: u32,
    /// All tasks start together or none does.
    pub gang: bool,
    /// Some of its tasks run: the job keeps its minimum.
    pub running: bool,
    /// Tasks that run or are done.
    pub started_tasks: u32,
    /// What one task takes of the pool, including what it makes unusable on its machine.
    pub task_size: f64,
    /// What one task takes of its team's limit: no more than the task requests.
    pub quota_size: f64,
    /// The most of the pool that its tasks can use on the machines that are eligible for it.
    pub usable_supply: f64,
    /// Estimated run time of a task, in seconds.
    pub estimated_task_s: f64,
    /// Seconds until the nearest deadline that can still be met, as [`nearest_reachable_deadline`] finds it; none if no
    /// deadline can be met.
    pub due_s: Option<f64>,
    /// How many of the objective times for its start have passed.
    pub missed_starts: u8,
}

/// The nearest of a job's deadlines, in seconds from now, that can still be met by tasks estimated to take `task_s`.
pub fn nearest_reachable_deadline(due_s: impl Iterator<Item = f64>, task_s: f64) -> Option<f64> {
    due_s.filter(|due| *due > task_s * MIN_RUN_TIME_FRACTION).min_by(f64::total_cmp)
}

impl JobRequest<'_> {
    fn demand(&self) -> f64 {
        f64::from(self.unfinished_tasks) * self.task_size
    }

    /// Remaining work, in the pool's unit times seconds.
    fn work(&self) -> f64 {
        self.demand() * self.estimated_task_s.max(1.0)
    }

    /// At most the first task of the job has started, and that one still runs.
    fn is_at_first_task(&self) -> bool {
        !self.gang && self.started_tasks <= 1 && (self.running || self.started_tasks == 0)
    }

    /// The fewest tasks that the job gets once admitted.
    pub fn min_tasks(&self) -> u32 {
        if self.gang { self.unfinished_tasks } else { self.unfinished_tasks.min(1) }
    }
}

/// What a team is entitled to in this pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Entitlement {
    /// Goes to the team's work before anything else is divided.
    pub guarantee: f64,
    /// The most that the team may use; 0: no limit.
    pub limit: f64,
}

/// When an admitted job may start tasks, relative to the other jobs of its rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Turn {
    /// The supply suffices for the whole flow: by rank and arrival.
    #[default]
    Usual,
    /// Only the job's first task, long before its turn; no other task when that one has ended.
    First,
    /// Position among the jobs on which the flow's share is spent.
    Nth(u32),
    /// Uses capacity that the jobs before it leave, in this order.
    Spare(u32),
    /// The job has waited for long and uses what all others leave idle: only the tasks that it starts with, and no more
    /// when they end.
    Backfill,
}

/// Decision on a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobAdmission {
    /// The job may run up to this many tasks at a time.
    Admitted { max_tasks: u32, turn: Turn },
    /// The job waits until others are done.
    Waiting,
}

/// One flow's part in a division, for the operators.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowShare {
    pub rank: u8,
    pub team: String,
    pub class: String,
    pub demand: f64,
    pub share: f64,
    pub jobs: usize,
}

/// Rank, team and class.
type FlowKey<'a> = (u8, &'a str, &'a str);

/// Divides a pool: returns a decision for each job, in the order of `jobs`, and each flow's share.
pub fn divide(
    jobs: &[JobRequest<'_>],
    supply: f64,
    entitled: impl Fn(&str) -> Entitlement,
) -> (Vec<JobAdmission>, Vec<FlowShare>) {
    let mut flows: BTreeMap<FlowKey, Vec<usize>> = BTreeMap::new();
    for (i, job) in jobs.iter().enumerate().filter(|(_, job)| job.unfinished_tasks > 0) {
        flows.entry((job.rank, job.team, job.class)).or_default().push(i);
    }
    let demands: Vec<f64> = flows.values().map(|f| f.iter().map(|i| jobs[*i].demand()).sum()).collect();
    let keys: Vec<FlowKey> = flows.keys().copied().collect();
    // A share of machines that the flow's jobs can't run on would be lost to the other flows.
    let usable = |flow: &Vec<usize>| flow.iter().map(|i| jobs[*i].usable_supply).fold(0.0, f64::max);
    let wanted: Vec<f64> = flows.values().zip(&demands).map(|(f, d)| d.min(usable(f))).collect();
    let entitled = |team: &str| limit_in_pool_units(jobs, team, entitled(team));
    let shares = flow_shares(&keys, &wanted, supply, &entitled);
    let mut admissions = vec![JobAdmission::Waiting; jobs.len()];
    let mut flow_shares = Vec::new();
    for (((rank, team, class), members), (demand, share)) in flows.iter().zip(demands.iter().zip(&shares)) {
        if *share + 1e-6 >= *demand {
            for i in members {
                admissions[*i] =
                    JobAdmission::Admitted { max_tasks: jobs[*i].unfinished_tasks, turn: Turn::Usual };
            }
        } else {
            spend_share(jobs, members, *share, &mut admissions);
        }
        flow_shares.push(FlowShare {
            rank: *rank,
            team: (*team).to_owned(),
            class: (*class).to_owned(),
            demand: *demand,
            share: *share,
            jobs: members.len(),
        });
    }
    (admissions, flow_shares)
}

/// Converts a team's limit to the pool's unit: with what it makes unusable on its machine, a task takes more of the
/// pool than counts against the limit.
fn limit_in_pool_units(jobs: &[JobRequest<'_>], team: &str, entitled: Entitlement) -> Entitlement {
    if entitled.limit <= 0.0 {
        return entitled;
    }
    let own = jobs.iter().filter(|job| job.team == team);
    let (size, taken) = own.fold((0.0, 0.0), |(size, taken), job| {
        (size + job.demand(), taken + f64::from(job.unfinished_tasks) * job.quota_size)
    });
    let added = if taken > 0.0 { (size / taken).max(1.0) } else { 1.0 };
    Entitlement { limit: entitled.limit * added, ..entitled }
}

/// Divides the supply among flows: first the guarantees, then the minimum of lower ranks, then rank by rank.
fn flow_shares(
    keys: &[FlowKey],
    demands: &[f64],
    supply: f64,
    entitled: &impl Fn(&str) -> Entitlement,
) -> Vec<f64> {
    let mut shares = vec![0.0; keys.len()];
    let mut left = supply;
    let mut teams: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (i, key) in keys.iter().enumerate() {
        teams.entry(key.1).or_default().push(i);
    }
    let limit = |team: &str| {
        let limit = entitled(team).limit;
        if limit > 0.0 { limit } else { f64::INFINITY }
    };
    // Within a guarantee a team's higher ranks go first.
    let wanted =
        |team: &str, flows: &[usize]| flows.iter().map(|i| demands[*i]).sum::<f64>().min(limit(team));
    let names: Vec<&str> = teams.keys().copied().collect();
    let claimants: Vec<Claimant> = names
        .iter()
        .map(|team| {
            let guarantee = entitled(team).guarantee.max(0.0);
            Claimant { demand: wanted(team, &teams[team]).min(guarantee), weight: guarantee.max(1e-9) }
        })
        .collect();
    for (team, mut part) in names.iter().zip(max_min::shares(&claimants, left)) {
        left -= part;
        let mut ranks: Vec<u8> = teams[team].iter().map(|i| keys[*i].0).collect();
        ranks.sort_unstable();
        ranks.dedup();
        for rank in ranks.into_iter().rev() {
            part -= raise_shares(
                &mut shares,
                demands,
                part,
                teams[team].iter().copied().filter(|i| keys[*i].0 == rank),
            );
        }
    }
    // Then the flows of lower ranks get an equal part of the minimum, so that none is left at zero.
    let highest = keys.iter().map(|k| k.0).max().unwrap_or(0);
    let lower_flows: Vec<usize> = (0..keys.len()).filter(|i| keys[*i].0 < highest).collect();
    let each =
        if lower_flows.is_empty() { 0.0 } else { supply * LOWER_RANKS_FRACTION / lower_flows.len() as f64 };
    for i in lower_flows {
        let team_share: f64 = teams[keys[i].1].iter().map(|j| shares[*j]).sum();
        let room = (limit(keys[i].1) - team_share).max(0.0);
        let added = (demands[i].min(each) - shares[i]).clamp(0.0, left.max(0.0).min(room));
        shares[i] += added;
        left -= added;
    }
    let mut ranks: Vec<u8> = keys.iter().map(|k| k.0).collect();
    ranks.sort_unstable();
    ranks.dedup();
    for rank in ranks.into_iter().rev() {
        let claimants: Vec<Claimant> = names
            .iter()
            .map(|team| {
                let flows = &teams[team];
                let team_share: f64 = flows.iter().map(|i| shares[*i]).sum();
                let team_flows = flows.iter().filter(|i| keys[**i].0 == rank);
                let unmet: f64 = team_flows.map(|i| demands[*i] - shares[*i]).sum();
                Claimant { demand: unmet.min((limit(team) - team_share).max(0.0)), weight: 1.0 }
            })
            .collect();
        for (team, part) in names.iter().zip(max_min::shares(&claimants, left)) {
            let team_flows = teams[team].iter().copied().filter(|i| keys[*i].0 == rank);
            left -= raise_shares(&mut shares, demands, part, team_flows);
        }
    }
    shares
}

/// Distributes `part` equally among flows, up to their unmet demand, and returns how much was added to the shares.
fn raise_shares(shares: &mut [f64], demands: &[f64], part: f64, flows: impl Iterator<Item = usize>) -> f64 {
    let flows: Vec<usize> = flows.collect();
    let claimant = |i: &usize| Claimant { demand: demands[*i] - shares[*i], weight: 1.0 };
    let claimants: Vec<Claimant> = flows.iter().map(claimant).collect();
    let mut distributed = 0.0;
    for (i, added) in flows.iter().zip(max_min::shares(&claimants, part)) {
        shares[*i] += added;
        distributed += added;
    }
    distributed
}

/// Spends a flow's share on its jobs. Jobs that run keep their minimum whatever their turn.
fn spend_share(jobs: &[JobRequest<'_>], flow: &[usize], share: f64, admissions: &mut [JobAdmission]) {
    let mut by_arrival = flow.to_vec();
    by_arrival.sort_unstable_by_key(|i| jobs[*i].arrival);
    let mut order = Vec::with_capacity(flow.len());
    let mut spent = 0.0;
    let mut rest = Vec::new();
    for i in by_arrival {
        if spent < share * ARRIVAL_ORDER_FRACTION {
            spent += jobs[i].demand();
            order.push(i);
        } else {
            rest.push(i);
        }
    }
    let large = large_job_threshold(jobs, flow);
    // Ordered by the work of all submitted tasks, done or not, so that a job that has started keeps its position.
    let total_work =
        |i: &usize| jobs[*i].estimated_task_s * f64::from(jobs[*i].total_tasks) * jobs[*i].task_size;
    let mut largest: Vec<usize> = rest.extract_if(.., |i| jobs[*i].total_tasks >= large).collect();
    largest.sort_by(|a, b| {
        total_work(a).total_cmp(&total_work(b)).then(jobs[*a].arrival.cmp(&jobs[*b].arrival))
    });
    let work = |i: &usize| jobs[*i].work();
    let demand: f64 = flow.iter().map(|i| jobs[*i].demand()).sum();
    let (from, to) = LARGE_JOBS_DEMAND_RATIOS;
    let ramp = ((demand / share.max(1e-9) - from) / (to - from)).clamp(0.0, 1.0);
    let fraction_of_work =
        largest.iter().map(work).sum::<f64>() / flow.iter().map(work).sum::<f64>().max(1.0);
    let fraction = fraction_of_work * LARGE_JOBS_FACTOR * ramp;
    let mut spent_on_large = 0.0;
    for i in largest {
        if spent_on_large < share * fraction.min(LARGE_JOBS_MAX_FRACTION) {
            spent_on_large += jobs[i].demand();
            order.push(i);
        } else {
            rest.push(i);
        }
    }
    let remaining =
        (share * (1.0 - ARRIVAL_ORDER_FRACTION) - spent_on_large).max(share * ARRIVAL_ORDER_FRACTION);
    order.extend(spending_order(jobs, rest, remaining));
    // A running gang keeps its machines in any case.
    let held: f64 =
        flow.iter().filter(|i| jobs[**i].gang && jobs[**i].running).map(|i| jobs[*i].demand()).sum();
    // The part of the share that first tasks may take. What they leave is spent like the rest.
    let at_first_task = || flow.iter().filter(|i| jobs[**i].is_at_first_task()).map(|i| &jobs[*i]);
    let needed: f64 =
        at_first_task().map(|job| job.task_size * job.estimated_task_s.max(1.0) / FIRST_TASK_TARGET_S).sum();
    let first_tasks_limit = needed.clamp(share * FIRST_TASKS_FRACTION, share * FIRST_TASKS_MAX_FRACTION);
    let mut first_tasks_share = first_tasks_limit.min(at_first_task().map(|job| job.task_size).sum());
    let mut remaining = share - held - first_tasks_share;
    let tasks_that_fit = |i: usize, room: f64| {
        let job = &jobs[i];
        let max_tasks =
            ((room / job.task_size + 1e-6).floor().max(0.0)).min(f64::from(job.unfinished_tasks)) as u32;
        if job.gang && room > 0.0 { job.unfinished_tasks } else { max_tasks }
    };
    let mut unserved = Vec::new();
    let mut last_served = None;
    for (position, i) in order.into_iter().enumerate() {
        let (job, position) = (&jobs[i], position as u32);
        let max_tasks =
            if job.gang && job.running { job.unfinished_tasks } else { tasks_that_fit(i, remaining) };
        if max_tasks == 0 {
            unserved.push((position, i));
            continue;
        }
        admissions[i] = JobAdmission::Admitted { max_tasks, turn: Turn::Nth(position) };
        if !(job.gang && job.running) {
            remaining -= f64::from(max_tasks) * job.task_size;
            last_served = Some((position, i, max_tasks));
        }
    }
    // A first task keeps its slot until it ends. Then the slot goes to the next job, by arrival.
    let mut first_task_jobs: Vec<usize> =
        unserved.iter().map(|l| l.1).filter(|i| jobs[*i].is_at_first_task()).collect();
    first_task_jobs.sort_unstable_by_key(|i| (!jobs[*i].running, jobs[*i].arrival));
    for i in first_task_jobs {
        let job = &jobs[i];
        if job.running || first_tasks_share + 1e-6 >= job.task_size {
            first_tasks_share -= job.task_size;
            admissions[i] = JobAdmission::Admitted { max_tasks: 1, turn: Turn::First };
        }
    }
    remaining += first_tasks_share;
    if let Some((position, i, max_tasks)) = last_served {
        let extra = tasks_that_fit(i, remaining).min(jobs[i].unfinished_tasks - max_tasks);
        remaining -= f64::from(extra) * jobs[i].task_size;
        admissions[i] = JobAdmission::Admitted { max_tasks: max_tasks + extra, turn: Turn::Nth(position) };
    }
    let mut spare = share * SPARE_FRACTION;
    for (position, i) in unserved {
        let job = &jobs[i];
        if let JobAdmission::Admitted { max_tasks, .. } = admissions[i] {
            let extra = tasks_that_fit(i, remaining).min(job.unfinished_tasks - max_tasks);
            if extra > 0 {
                remaining -= f64::from(extra) * job.task_size;
                admissions[i] =
                    JobAdmission::Admitted { max_tasks: max_tasks + extra, turn: Turn::Nth(position) };
            }
            continue;
        }
        let (mut max_tasks, mut granted_turn) = (tasks_that_fit(i, remaining), Turn::Nth(position));
        if max_tasks > 0 {
            remaining -= f64::from(max_tasks) * job.task_size;
        } else if tasks_that_fit(i, spare) > 0 {
            (max_tasks, granted_turn) = (tasks_that_fit(i, spare), Turn::Spare(position));
            spare -= f64::from(max_tasks) * job.task_size;
        } else if job.running {
            (max_tasks, granted_turn) = (job.min_tasks(), Turn::Spare(position));
        }
        if max_tasks > 0 {
            admissions[i] = JobAdmission::Admitted { max_tasks, turn: granted_turn };
        }
    }
}

/// The number of tasks from which a job counts as one of the largest of its flow; `u32::MAX` if that many are as small
/// as any.
fn large_job_threshold(jobs: &[JobRequest<'_>], flow: &[usize]) -> u32 {
    let mut sizes: Vec<u32> = flow.iter().map(|i| jobs[*i].total_tasks).collect();
    sizes.sort_unstable();
    let least = sizes.first().copied().unwrap_or(0);
    let from = sizes.get((sizes.len() as f64 * LARGE_JOB_QUANTILE) as usize).copied().unwrap_or(u32::MAX);
    if from > least { from } else { u32::MAX }
}

/// A job's work in a max-heap: the largest is removed first.
#[derive(PartialEq)]
struct LargestWorkFirst(f64, usize);
impl Eq for LargestWorkFirst {}
impl PartialOrd for LargestWorkFirst {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for LargestWorkFirst {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// Orders jobs for spending a share. If all of them can be done in time: earliest deadline first. Else by remaining
/// work, which counts half for the largest set of jobs that can be done in time, and more for gangs that have missed
/// their start.
///
/// In that case the deadlines do not order the jobs that can be done in time: estimates are too rough for that, and new
/// jobs arrive too often.
fn spending_order(jobs: &[JobRequest<'_>], members: Vec<usize>, share: f64) -> Vec<usize> {
    struct Candidate {
        index: usize,
        arrival: u64,
        work: f64,
        due: f64,
        in_time: bool,
        missed_starts: u8,
    }
    let mut candidates: Vec<Candidate> = members
        .into_iter()
        .map(|index| {
            let job = &jobs[index];
            let due = job.due_s.unwrap_or(f64::INFINITY);
            // Only a job whose tasks start together can miss its start.
            let missed_starts = if job.gang { job.missed_starts } else { 0 };
            Candidate {
                index,
                arrival: job.arrival,
                work: job.work(),
                due,
                in_time: job.due_s.is_some(),
                missed_starts,
            }
        })
        .collect();
    candidates.sort_unstable_by(|a, b| a.due.total_cmp(&b.due).then(a.arrival.cmp(&b.arrival)));
    let mut on_time: BinaryHeap<LargestWorkFirst> = BinaryHeap::new();
    let mut work = 0.0;
    for i in 0..candidates.len() {
        if candidates[i].due.is_infinite() {
            break;
        }
        work += candidates[i].work;
        on_time.push(LargestWorkFirst(candidates[i].work, i));
        if work > candidates[i].due * share
            && let Some(LargestWorkFirst(largest, dropped)) = on_time.pop()
        {
            work -= largest;
            candidates[dropped].in_time = false;
        }
    }
    if !candidates.iter().all(|candidate| candidate.in_time) {
        let deadline_factor = |candidate: &Candidate| if candidate.in_time { 0.5 } else { 1.0 };
        let cost = |candidate: &Candidate| {
            candidate.work
                * deadline_factor(candidate)
                * MISSED_START_FACTOR.powi(i32::from(candidate.missed_starts))
        };
        candidates.sort_unstable_by(|a, b| cost(a).total_cmp(&cost(b)).then(a.arrival.cmp(&b.arrival)));
    }
    candidates.into_iter().map(|candidate| candidate.index).collect()
}

#[cfg(test)]
mod tests;
