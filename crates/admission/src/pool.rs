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

use crate::fair::{self, Party};

/// The fraction of a pool that all ranks below the highest get together, whatever the demand of the highest.
pub const LEAST: f64 = 1.0 / 16.0;
/// The fraction of a flow's share that is spent in order of arrival, so that small jobs can't starve a large one.
pub const BY_ARRIVAL: f64 = 1.0 / 16.0;
/// The fraction of a flow's share that goes to first tasks of jobs whose turn has not come, in order of arrival. It
/// bounds the wait for a job's first task, which starts long before the whole job can be done.
pub const FIRST: f64 = 1.0 / 16.0;
/// The largest fraction of a share that first tasks get, if they need it to start within [`FIRST_WITHIN_S`].
pub const FIRST_MOST: f64 = 0.15;
const FIRST_WITHIN_S: f64 = 200.0;
/// The largest jobs of a flow get a fraction of its share: their fraction of the flow's work times this, and at most
/// half. Among them the job with the least remaining work goes first. Ordering all jobs by least work alone, fewer than
/// a third of gangs of 16 tasks ever started beside small ones.
pub const LARGE: f64 = 0.75;
const LARGE_MOST: f64 = 0.5;
/// The ratios of demand to share between which that fraction grows from zero to its full value: after a short rush
/// there is time enough for the largest jobs, and an earlier start would only delay others.
const LARGE_DEMAND: (f64, f64) = (2.0, 8.0);
/// A job counts as one of the largest if this fraction of its flow's jobs is no larger.
const LARGE_FROM: f64 = 0.85;
/// How far beyond its share a flow admits jobs, for capacity that the first jobs in turn can't use.
pub const SPARE: f64 = 0.25;
/// Factor on the work of a gang for each objective time for its start that it has missed: a gang that can still start
/// in time, and takes little work, goes before one that can't.
const MISSED: f64 = 4.0;
/// The smallest fraction of its estimated run time that a task is assumed to take: estimates are often too high.
const ESTIMATE: f64 = 0.6;

/// A job with unfinished tasks, as input to the division of a pool.
#[derive(Clone, Debug)]
pub struct Offer<'a> {
    pub team: &'a str,
    pub class: &'a str,
    /// A higher rank goes first.
    pub rank: u8,
    /// Orders jobs by arrival.
    pub arrival: u64,
    /// Tasks that are not done.
    pub tasks: u32,
    /// Tasks that the job was submitted with.
    pub of: u32,
    /// All tasks start together or none does.
    pub whole: bool,
    /// Some of its tasks run: the job keeps its minimum.
    pub begun: bool,
    /// Tasks that run or are done.
    pub started: u32,
    /// What one task takes of the pool, including what it makes unusable on its machine.
    pub size: f64,
    /// What one task takes of its team's limit: no more than the task requests.
    pub taken: f64,
    /// The most of the pool that its tasks can use on the machines that are eligible for it.
    pub usable: f64,
    /// Estimated run time of a task, in seconds.
    pub task_s: f64,
    /// Seconds until the nearest deadline that can still be met, as [`nearest_reachable_deadline`] finds it; none if no
    /// deadline can be met.
    pub due_s: Option<f64>,
    /// How many of the objective times for its start have passed.
    pub starts_missed: u8,
}

/// The nearest of a job's deadlines, in seconds from now, that can still be met by tasks estimated to take `task_s`.
pub fn nearest(due_s: impl Iterator<Item = f64>, task_s: f64) -> Option<f64> {
    due_s.filter(|due| *due > task_s * ESTIMATE).min_by(f64::total_cmp)
}

impl Offer<'_> {
    fn demand(&self) -> f64 {
        f64::from(self.tasks) * self.size
    }

    /// Remaining work, in the pool's unit times seconds.
    fn work(&self) -> f64 {
        self.demand() * self.task_s.max(1.0)
    }

    /// At most the first task of the job has started, and that one still runs.
    fn hardly_begun(&self) -> bool {
        !self.whole && self.started <= 1 && (self.begun || self.started == 0)
    }

    /// The fewest tasks that the job gets once admitted.
    pub fn floor(&self) -> u32 {
        if self.whole { self.tasks } else { self.tasks.min(1) }
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

/// When an admitted job may start tasks, relative to the other jobs of its rank. The variants are in order of
/// precedence, except that [`Turn::Usual`] leaves the order to rank and arrival.
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
pub enum Verdict {
    /// The job may run up to this many tasks at a time.
    Admitted { most: u32, turn: Turn },
    /// The job waits until others are done.
    Waits,
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

type FlowKey<'a> = (u8, &'a str, &'a str);

/// Divides a pool: returns a decision for each job, in the order of `offers`, and each flow's share.
pub fn divide(
    offers: &[Offer<'_>],
    supply: f64,
    entitled: impl Fn(&str) -> Entitlement,
) -> (Vec<Verdict>, Vec<FlowShare>) {
    let mut flows: BTreeMap<FlowKey, Vec<usize>> = BTreeMap::new();
    for (i, offer) in offers.iter().enumerate().filter(|(_, o)| o.tasks > 0) {
        flows.entry((offer.rank, offer.team, offer.class)).or_default().push(i);
    }
    let demands: Vec<f64> = flows.values().map(|f| f.iter().map(|i| offers[*i].demand()).sum()).collect();
    let keys: Vec<FlowKey> = flows.keys().copied().collect();
    // A share of machines that the flow's jobs can't run on would be lost to the other flows.
    let usable = |flow: &Vec<usize>| flow.iter().map(|i| offers[*i].usable).fold(0.0, f64::max);
    let wanted: Vec<f64> = flows.values().zip(&demands).map(|(f, d)| d.min(usable(f))).collect();
    let entitled = |team: &str| in_the_pool(offers, team, entitled(team));
    let shares = flow_shares(&keys, &wanted, supply, &entitled);
    let mut verdicts = vec![Verdict::Waits; offers.len()];
    let mut rows = Vec::new();
    for (((rank, team, class), members), (demand, share)) in flows.iter().zip(demands.iter().zip(&shares)) {
        if *share + 1e-6 >= *demand {
            for i in members {
                verdicts[*i] = Verdict::Admitted { most: offers[*i].tasks, turn: Turn::Usual };
            }
        } else {
            spend(offers, members, *share, &mut verdicts);
        }
        rows.push(FlowShare {
            rank: *rank,
            team: (*team).to_owned(),
            class: (*class).to_owned(),
            demand: *demand,
            share: *share,
            jobs: members.len(),
        });
    }
    (verdicts, rows)
}

/// A team's limit in the pool's unit: tasks make more of their machines unusable than counts against the limit.
fn in_the_pool(offers: &[Offer<'_>], team: &str, entitled: Entitlement) -> Entitlement {
    if entitled.limit <= 0.0 {
        return entitled;
    }
    let own = offers.iter().filter(|o| o.team == team);
    let (size, taken) =
        own.fold((0.0, 0.0), |(size, taken), o| (size + o.demand(), taken + f64::from(o.tasks) * o.taken));
    let more = if taken > 0.0 { (size / taken).max(1.0) } else { 1.0 };
    Entitlement { limit: entitled.limit * more, ..entitled }
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
    let parties: Vec<Party> = names
        .iter()
        .map(|team| {
            let guarantee = entitled(team).guarantee.max(0.0);
            Party { demand: wanted(team, &teams[team]).min(guarantee), weight: guarantee.max(1e-9) }
        })
        .collect();
    for (team, mut part) in names.iter().zip(fair::shares(&parties, left)) {
        left -= part;
        let mut ranks: Vec<u8> = teams[team].iter().map(|i| keys[*i].0).collect();
        ranks.sort_unstable();
        ranks.dedup();
        for rank in ranks.into_iter().rev() {
            part -=
                give(&mut shares, demands, part, teams[team].iter().copied().filter(|i| keys[*i].0 == rank));
        }
    }
    // Then the flows of lower ranks get an equal part of the minimum, so that none is left at zero.
    let top = keys.iter().map(|k| k.0).max().unwrap_or(0);
    let below: Vec<usize> = (0..keys.len()).filter(|i| keys[*i].0 < top).collect();
    let each = if below.is_empty() { 0.0 } else { supply * LEAST / below.len() as f64 };
    for i in below {
        let of_team: f64 = teams[keys[i].1].iter().map(|j| shares[*j]).sum();
        let room = (limit(keys[i].1) - of_team).max(0.0);
        let more = (demands[i].min(each) - shares[i]).clamp(0.0, left.max(0.0).min(room));
        shares[i] += more;
        left -= more;
    }
    let mut ranks: Vec<u8> = keys.iter().map(|k| k.0).collect();
    ranks.sort_unstable();
    ranks.dedup();
    for rank in ranks.into_iter().rev() {
        let parties: Vec<Party> = names
            .iter()
            .map(|team| {
                let flows = &teams[team];
                let has: f64 = flows.iter().map(|i| shares[*i]).sum();
                let mine = flows.iter().filter(|i| keys[**i].0 == rank);
                let wants: f64 = mine.map(|i| demands[*i] - shares[*i]).sum();
                Party { demand: wants.min((limit(team) - has).max(0.0)), weight: 1.0 }
            })
            .collect();
        for (team, part) in names.iter().zip(fair::shares(&parties, left)) {
            let mine = teams[team].iter().copied().filter(|i| keys[*i].0 == rank);
            left -= give(&mut shares, demands, part, mine);
        }
    }
    shares
}

/// Distributes `part` equally among flows, up to their unmet demand, and returns how much was added to the shares.
fn give(shares: &mut [f64], demands: &[f64], part: f64, flows: impl Iterator<Item = usize>) -> f64 {
    let flows: Vec<usize> = flows.collect();
    let party = |i: &usize| Party { demand: demands[*i] - shares[*i], weight: 1.0 };
    let parties: Vec<Party> = flows.iter().map(party).collect();
    let mut given = 0.0;
    for (i, more) in flows.iter().zip(fair::shares(&parties, part)) {
        shares[*i] += more;
        given += more;
    }
    given
}

/// Spends a flow's share on its jobs. Jobs that run keep their minimum whatever their turn.
fn spend(offers: &[Offer<'_>], flow: &[usize], share: f64, verdicts: &mut [Verdict]) {
    let mut by_arrival = flow.to_vec();
    by_arrival.sort_unstable_by_key(|i| offers[*i].arrival);
    let mut order = Vec::with_capacity(flow.len());
    let mut spent = 0.0;
    let mut rest = Vec::new();
    for i in by_arrival {
        if spent < share * BY_ARRIVAL {
            spent += offers[i].demand();
            order.push(i);
        } else {
            rest.push(i);
        }
    }
    let large = large_from(offers, flow);
    // A job that has started goes on: tasks that are done count as no remaining work.
    let left_of = |i: &usize| offers[*i].task_s * f64::from(offers[*i].of) * offers[*i].size;
    let mut largest: Vec<usize> = rest.extract_if(.., |i| offers[*i].of >= large).collect();
    largest
        .sort_by(|a, b| left_of(a).total_cmp(&left_of(b)).then(offers[*a].arrival.cmp(&offers[*b].arrival)));
    let work = |i: &usize| offers[*i].work();
    let demand: f64 = flow.iter().map(|i| offers[*i].demand()).sum();
    let (from, to) = LARGE_DEMAND;
    let depth = ((demand / share.max(1e-9) - from) / (to - from)).clamp(0.0, 1.0);
    let of_work = largest.iter().map(work).sum::<f64>() / flow.iter().map(work).sum::<f64>().max(1.0);
    let part = of_work * LARGE * depth;
    let mut of_large = 0.0;
    for i in largest {
        if of_large < share * part.min(LARGE_MOST) {
            of_large += offers[i].demand();
            order.push(i);
        } else {
            rest.push(i);
        }
    }
    let left = (share * (1.0 - BY_ARRIVAL) - of_large).max(share * BY_ARRIVAL);
    order.extend(most_in_time(offers, rest, left));
    // A running gang keeps its machines in any case.
    let held: f64 =
        flow.iter().filter(|i| offers[**i].whole && offers[**i].begun).map(|i| offers[*i].demand()).sum();
    // The part of the share that first tasks may take. What they leave is spent like the rest.
    let hardly = || flow.iter().filter(|i| offers[**i].hardly_begun()).map(|i| &offers[*i]);
    let in_time: f64 = hardly().map(|o| o.size * o.task_s.max(1.0) / FIRST_WITHIN_S).sum();
    let part = in_time.clamp(share * FIRST, share * FIRST_MOST);
    let mut first = part.min(hardly().map(|o| o.size).sum());
    let mut left = share - held - first;
    let fits = |i: usize, room: f64| {
        let offer = &offers[i];
        let most = ((room / offer.size + 1e-6).floor().max(0.0)).min(f64::from(offer.tasks)) as u32;
        if offer.whole && room > 0.0 { offer.tasks } else { most }
    };
    let mut later = Vec::new();
    let mut last = None;
    for (turn, i) in order.into_iter().enumerate() {
        let (offer, turn) = (&offers[i], turn as u32);
        let most = if offer.whole && offer.begun { offer.tasks } else { fits(i, left) };
        if most == 0 {
            later.push((turn, i));
            continue;
        }
        verdicts[i] = Verdict::Admitted { most, turn: Turn::Nth(turn) };
        if !(offer.whole && offer.begun) {
            left -= f64::from(most) * offer.size;
            last = Some((turn, i, most));
        }
    }
    // A first task keeps its place until it ends. Then the place goes to the next job, by arrival.
    let mut firsts: Vec<usize> = later.iter().map(|l| l.1).filter(|i| offers[*i].hardly_begun()).collect();
    firsts.sort_unstable_by_key(|i| (!offers[*i].begun, offers[*i].arrival));
    for i in firsts {
        let offer = &offers[i];
        if offer.begun || first + 1e-6 >= offer.size {
            first -= offer.size;
            verdicts[i] = Verdict::Admitted { most: 1, turn: Turn::First };
        }
    }
    left += first;
    if let Some((turn, i, most)) = last {
        let more = fits(i, left).min(offers[i].tasks - most);
        left -= f64::from(more) * offers[i].size;
        verdicts[i] = Verdict::Admitted { most: most + more, turn: Turn::Nth(turn) };
    }
    let mut spare = share * SPARE;
    for (turn, i) in later {
        let offer = &offers[i];
        if let Verdict::Admitted { most, .. } = verdicts[i] {
            let more = fits(i, left).min(offer.tasks - most);
            if more > 0 {
                left -= f64::from(more) * offer.size;
                verdicts[i] = Verdict::Admitted { most: most + more, turn: Turn::Nth(turn) };
            }
            continue;
        }
        let (mut most, mut named) = (fits(i, left), Turn::Nth(turn));
        if most > 0 {
            left -= f64::from(most) * offer.size;
        } else if fits(i, spare) > 0 {
            (most, named) = (fits(i, spare), Turn::Spare(turn));
            spare -= f64::from(most) * offer.size;
        } else if offer.begun {
            (most, named) = (offer.floor(), Turn::Spare(turn));
        }
        if most > 0 {
            verdicts[i] = Verdict::Admitted { most, turn: named };
        }
    }
}

/// The number of tasks from which a job counts as one of the largest of its flow; `u32::MAX` if all are of one size.
fn large_from(offers: &[Offer<'_>], flow: &[usize]) -> u32 {
    let mut sizes: Vec<u32> = flow.iter().map(|i| offers[*i].of).collect();
    sizes.sort_unstable();
    let least = sizes.first().copied().unwrap_or(0);
    let from = sizes.get((sizes.len() as f64 * LARGE_FROM) as usize).copied().unwrap_or(u32::MAX);
    if from > least { from } else { u32::MAX }
}

/// A job's work in a max-heap: the largest is removed first.
#[derive(PartialEq)]
struct Largest(f64, usize);
impl Eq for Largest {}
impl PartialOrd for Largest {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Largest {
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
fn most_in_time(offers: &[Offer<'_>], jobs: Vec<usize>, share: f64) -> Vec<usize> {
    struct Row {
        job: usize,
        arrival: u64,
        work: f64,
        due: f64,
        in_time: bool,
        missed: u8,
    }
    let mut rows: Vec<Row> = jobs
        .into_iter()
        .map(|job| {
            let o = &offers[job];
            let due = o.due_s.unwrap_or(f64::INFINITY);
            // Only a job whose tasks start together can miss its start.
            let missed = if o.whole { o.starts_missed } else { 0 };
            Row { job, arrival: o.arrival, work: o.work(), due, in_time: o.due_s.is_some(), missed }
        })
        .collect();
    rows.sort_unstable_by(|a, b| a.due.total_cmp(&b.due).then(a.arrival.cmp(&b.arrival)));
    let mut chosen: BinaryHeap<Largest> = BinaryHeap::new();
    let mut work = 0.0;
    for i in 0..rows.len() {
        if rows[i].due.is_infinite() {
            break;
        }
        work += rows[i].work;
        chosen.push(Largest(rows[i].work, i));
        if work > rows[i].due * share
            && let Some(Largest(largest, late)) = chosen.pop()
        {
            work -= largest;
            rows[late].in_time = false;
        }
    }
    if !rows.iter().all(|row| row.in_time) {
        let ends = |row: &Row| if row.in_time { 0.5 } else { 1.0 };
        let cost = |row: &Row| row.work * ends(row) * MISSED.powi(i32::from(row.missed));
        rows.sort_unstable_by(|a, b| cost(a).total_cmp(&cost(b)).then(a.arrival.cmp(&b.arrival)));
    }
    rows.into_iter().map(|row| row.job).collect()
}

#[cfg(test)]
mod tests;
