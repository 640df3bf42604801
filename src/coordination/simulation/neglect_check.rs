//! The neglect check (rule `neglected`): while no fault is active, no job may wait for long if a suitable machine has
//! enough free capacity and the job's team is under its limit.

use std::collections::VecDeque;

use super::*;

/// The longest time for which a job that could run may wait once all faults are over.
const MAX_WAIT: Micros = Micros::from_secs(90);
/// Time between two samples.
const SAMPLE_INTERVAL: Micros = Micros::from_secs(5);
/// Number of samples that span `MAX_WAIT`.
const SAMPLES: usize = (MAX_WAIT.0 / SAMPLE_INTERVAL.0) as usize + 1;

/// State of the cluster at one moment.
struct Sample {
    /// Free capacity of each machine that could have been given work.
    free_capacity: BTreeMap<String, Resources>,
    /// Resources used by each team, including ordered tasks that still fetch their image.
    usage: Vec<Resources>,
    /// Number of tasks of each waiting job that had to be placed together for it to proceed.
    missing_tasks: BTreeMap<String, u64>,
    /// Resources used by the tasks of each waiting gang, by machine.
    gang_usage: BTreeMap<String, BTreeMap<String, Resources>>,
}

impl Sample {
    /// Free capacity and team usage as they would have been if the job had had no placed task.
    fn without_job(&self, id: &str, team: usize) -> (BTreeMap<String, Resources>, Vec<Resources>) {
        let (mut free_capacity, mut usage) = (self.free_capacity.clone(), self.usage.clone());
        for (machine, need) in self.gang_usage.get(id).into_iter().flatten() {
            if let Some(free) = free_capacity.get_mut(machine) {
                *free = free.plus(*need);
            }
            usage[team] = usage[team].minus(*need);
        }
        (free_capacity, usage)
    }
}

/// Samples taken since the last fault was over.
#[derive(Default)]
pub(super) struct NeglectMonitor {
    next_sample: Micros,
    samples: VecDeque<Sample>,
    /// Since when each job has had tasks to start.
    waiting_since: BTreeMap<String, Micros>,
}

impl World {
    /// Time at which the last fault was over.
    fn fault_free_since(&self) -> Micros {
        let fault_free_from = self
            .fault_free_from
            .max(self.faults_end)
            .max(self.cloud_down_until)
            .max(self.controllers_down_until);
        let fault_ends = self.workers.values().filter(|w| !w.dead).flat_map(|w| {
            [w.partitioned_until, w.hung_until, w.not_receiving_until, w.reports_blocked_until]
        });
        fault_ends.fold(fault_free_from, Micros::max)
    }

    fn need(&self, id: &TaskId) -> Resources {
        self.jobs.get(&id.job).and_then(|j| j.spec.as_ref()).map(JobSpec::need).unwrap_or_default()
    }

    /// Free capacity of each machine that reports, is not faulty and has no preemption notice.
    fn free_capacity(&self) -> BTreeMap<String, Resources> {
        let max_report_age = Micros::from_secs_f64(self.settings[0].params.workers.report_s * 3.0);
        let usable = self.workers.iter().filter(|(_, w)| {
            !w.dead
                && !w.faulty
                && w.preempted_at.is_none()
                && w.token > 0
                && self.now.since(w.lease_renewed_at) <= max_report_age
        });
        usable
            .map(|(name, w)| {
                let kind = self.machine_types.iter().find(|t| t.name == w.kind);
                let supply = kind.map(MachineType::supply).unwrap_or_default();
                let tasks = w.tasks.iter().filter(|(_, t)| t.state != TaskState::Ended);
                (
                    name.clone(),
                    tasks.fold(supply, |free_capacity, (id, _)| free_capacity.minus(self.need(id))),
                )
            })
            .collect()
    }

    /// Resources used by each team, including ordered tasks that still fetch their image.
    fn team_usage(&self) -> Vec<Resources> {
        let teams = &self.settings[0].params.teams;
        let mut usage = vec![Resources::default(); teams.len()];
        for (id, _) in
            self.workers_within_lease().flat_map(|w| &w.tasks).filter(|(_, t)| t.state != TaskState::Ended)
        {
            let Some(spec) = self.jobs.get(&id.job).and_then(|j| j.spec.as_ref()) else { continue };
            if let Some(team) = teams.iter().position(|t| t.name == spec.team) {
                usage[team] = usage[team].plus(spec.need());
            }
        }
        usage
    }

    fn is_gang(&self, id: &str) -> bool {
        self.jobs.get(id).and_then(|j| j.spec.as_ref()).is_some_and(|spec| spec.shape == Shape::Gang)
    }

    /// Resources used by a job's tasks, by machine.
    fn usage_by_machine(&self, id: &str) -> BTreeMap<String, Resources> {
        let mut usage: BTreeMap<String, Resources> = BTreeMap::new();
        for (name, w) in &self.workers {
            let tasks = w.tasks.iter().filter(|(i, t)| i.job == id && t.state != TaskState::Ended);
            for (task, _) in tasks {
                let usage = usage.entry(name.clone()).or_default();
                *usage = usage.plus(self.need(task));
            }
        }
        usage
    }

    /// Number of tasks that have to be placed together for a job to proceed, and number of its placed tasks in each
    /// zone; `None` if it has no task to start.
    fn tasks_to_place(&self, id: &str, wish: &UserJob) -> Option<(u64, BTreeMap<&str, u64>)> {
        let spec = wish.spec.as_ref()?;
        let active = wish.known_accepted && wish.known_final.is_none() && !wish.rejected;
        // A broken job is retried ever more rarely, and a job that its user withdraws need not start any more.
        if !active || wish.wants_withdrawal || self.broken_jobs.contains(id) {
            return None;
        }
        let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
        let mut placed_or_done = wish.completed_tasks.clone();
        for w in self.workers_within_lease() {
            for (task, _) in w.tasks.iter().filter(|(i, t)| i.job == id && t.state != TaskState::Ended) {
                placed_or_done.insert(task.index);
                *zones.entry(&w.zone).or_default() += 1;
            }
        }
        let missing_tasks = u64::from(spec.tasks).saturating_sub(placed_or_done.len() as u64);
        let all_at_once = spec.shape == Shape::Gang || spec.shape == Shape::Service && zones.is_empty();
        (missing_tasks > 0).then_some((if all_at_once { missing_tasks } else { 1 }, zones))
    }

    /// Whether `count` tasks of a job fit into the free capacity, beside its tasks already placed in each zone.
    fn fits_into(
        &self,
        spec: &JobSpec,
        count: u64,
        placed: &BTreeMap<&str, u64>,
        free_capacity: &BTreeMap<String, Resources>,
    ) -> bool {
        let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
        for (name, free_capacity) in free_capacity {
            let Some(w) = self.workers.get(name) else { continue };
            let allowed = spec.machine_types.as_ref().is_none_or(|t| t.contains(&w.kind))
                && spec.zone.as_ref().is_none_or(|z| *z == w.zone)
                && (spec.spot || !w.spot)
                && (!spec.one_zone || placed.is_empty() || placed.contains_key(w.zone.as_str()));
            if allowed {
                *zones.entry(&w.zone).or_default() += spec.need().times_in(*free_capacity);
            }
        }
        let max_per_zone = u64::from(spec.tasks.div_ceil(2));
        if spec.spread {
            for (zone, slots) in &mut zones {
                *slots = (*slots).min(max_per_zone.saturating_sub(placed.get(zone).copied().unwrap_or(0)));
            }
        }
        if spec.one_zone { zones.values().any(|n| *n >= count) } else { zones.values().sum::<u64>() >= count }
    }

    /// Samples waiting jobs and free capacity every few seconds while no fault is active, and fails the run if a job is
    /// neglected.
    ///
    /// A job is neglected if for `MAX_WAIT` it has had tasks to start, none has started, the capacity that was free on
    /// the machines in every sample is enough for one task (for a gang: for all missing tasks), and its team was under
    /// its limit in every sample.
    pub(super) fn check_neglect(&mut self) {
        if self.now < self.neglect_monitor.next_sample {
            return;
        }
        self.neglect_monitor.next_sample = self.now + SAMPLE_INTERVAL;
        if self.now < self.fault_free_since() {
            self.neglect_monitor.samples.clear();
            self.neglect_monitor.waiting_since.clear();
            return;
        }
        if self.neglect_monitor.samples.len() == SAMPLES {
            self.neglect_monitor.samples.pop_front();
        }
        let waits =
            self.jobs.iter().filter_map(|(id, wish)| Some((id.clone(), self.tasks_to_place(id, wish)?.0)));
        let missing_tasks: BTreeMap<String, u64> = waits.collect();
        let gang_usage = missing_tasks
            .keys()
            .filter(|id| self.is_gang(id))
            .map(|id| (id.clone(), self.usage_by_machine(id)))
            .collect();
        let sample = Sample {
            free_capacity: self.free_capacity(),
            usage: self.team_usage(),
            missing_tasks,
            gang_usage,
        };
        self.neglect_monitor.samples.push_back(sample);
        let mut waiting_since = BTreeMap::new();
        let mut overdue = Vec::new();
        for (id, wish) in &self.jobs {
            let Some((count, placed)) = self.tasks_to_place(id, wish) else { continue };
            let since = self.neglect_monitor.waiting_since.get(id).copied().unwrap_or(self.now);
            let since = if self.is_gang(id) { since } else { since.max(wish.last_task_start) };
            waiting_since.insert(id.clone(), since);
            if self.now.since(since) >= MAX_WAIT && self.neglect_monitor.samples.len() == SAMPLES {
                overdue.push((id, wish, self.max_missing_tasks(id).max(count), placed, since));
            }
        }
        if !overdue.is_empty() {
            let samples = self
                .neglect_monitor
                .samples
                .iter()
                .map(|sample| (sample.free_capacity.clone(), sample.usage.clone()));
            let (free_capacity, usage) = min_free_and_max_usage(samples);
            for (id, wish, count, placed, since) in &overdue {
                let Some(spec) = &wish.spec else { continue };
                let missing_fit = self.within_team_limit(spec, *count, &usage)
                    && self.fits_into(spec, *count, placed, &free_capacity);
                let fits = missing_fit || self.is_gang(id) && self.whole_gang_fits(id, spec);
                let description = || self.describe_neglect(id, spec, *since, &free_capacity, &usage);
                assert!(!fits, "neglected: {}", description());
            }
        }
        self.coverage.neglect_checks += overdue.len() as u32;
        self.neglect_monitor.waiting_since = waiting_since;
    }

    /// The largest number of a job's tasks that had to be placed in any sample.
    ///
    /// A gang is ordered task by task, so the tasks that are missing in a sample taken halfway may have fitted in all
    /// samples although the whole gang did not. Pair 634001 (spot_preempted and query_everywhere): a gang of four had
    /// to be spread over two zones, and one zone had no machine until 249 s; in the sample at 250 s two of its tasks
    /// had been ordered there.
    fn max_missing_tasks(&self, id: &str) -> u64 {
        self.neglect_monitor
            .samples
            .iter()
            .filter_map(|sample| sample.missing_tasks.get(id))
            .copied()
            .max()
            .unwrap_or(0)
    }

    /// Whether a whole gang has fitted in all samples, regardless of its tasks that were placed in some of them.
    fn whole_gang_fits(&self, id: &str, spec: &JobSpec) -> bool {
        let teams = &self.settings[0].params.teams;
        let Some(team) = teams.iter().position(|t| t.name == spec.team) else { return false };
        let (free_capacity, usage) = min_free_and_max_usage(
            self.neglect_monitor.samples.iter().map(|sample| sample.without_job(id, team)),
        );
        let tasks = u64::from(spec.tasks);
        self.within_team_limit(spec, tasks, &usage)
            && self.fits_into(spec, tasks, &BTreeMap::new(), &free_capacity)
    }

    /// Describes a neglected job, its team and the machines for the message of a failed run.
    fn describe_neglect(
        &self,
        id: &str,
        spec: &JobSpec,
        since: Micros,
        free_capacity: &BTreeMap<String, Resources>,
        usage: &[Resources],
    ) -> String {
        let team = self.settings[0].params.teams.iter().position(|t| t.name == spec.team);
        let max_usage = team.map(|t| usage[t]);
        let free: Vec<_> =
            free_capacity.iter().filter(|(_, r)| spec.need().fits(**r)).map(|(name, _)| name).collect();
        let owners = self.controllers.iter().flatten();
        let volumes: Vec<_> = owners
            .flat_map(|c| c.jobs.values().filter(|j| j.owner.as_deref() == Some(c.own_name())))
            .filter(|j| j.spec.team == spec.team)
            .map(|j| {
                let reason = j.wait.reason();
                (&j.spec.id, &j.owner, j.volume, j.placed(), j.unfinished(), j.spec.cpus, j.spec.gpus, reason)
            })
            .collect();
        format!(
            "{id} has waited since {since:?}, now {:?}: {spec:?}; maximum usage of its team: {max_usage:?}; machines \
             with enough capacity in all samples: {free:?}; the team's jobs (owner, volume, placed, unfinished, need, \
             wait reason): {volumes:?}\n{}",
            self.now,
            self.describe_job(id)
        )
    }

    /// Whether a team that uses `usage` stays within its limit with `count` more tasks of a job.
    fn within_team_limit(&self, spec: &JobSpec, count: u64, usage: &[Resources]) -> bool {
        let teams = &self.settings[0].params.teams;
        let Some(team) = teams.iter().position(|t| t.name == spec.team) else { return false };
        let all = usage[team].plus(spec.need().times(count));
        let within = |used: u64, limit: f64| limit <= 0.0 || used as f64 <= limit * 1e3 + 1e-6;
        within(all.cpu, teams[team].cpus_max) && within(all.gpu, teams[team].gpus_max)
    }
}

/// The minimum free capacity of each machine and the maximum usage of each team over all samples.
fn min_free_and_max_usage(
    mut samples: impl Iterator<Item = (BTreeMap<String, Resources>, Vec<Resources>)>,
) -> (BTreeMap<String, Resources>, Vec<Resources>) {
    let Some((mut free_capacity, mut usage)) = samples.next() else { return Default::default() };
    for (sample_capacity, sample_usage) in samples {
        free_capacity.retain(|name, free_capacity| {
            sample_capacity.get(name).is_some_and(|now| {
                *free_capacity = free_capacity.min(*now);
                true
            })
        });
        usage.iter_mut().zip(&sample_usage).for_each(|(most, now)| *most = most.max(*now));
    }
    (free_capacity, usage)
}

/// Runs the neglect check for two minutes on a waiting job and one machine, without controllers or faults, and returns
/// how often the job had waited for long. `before_sample` may change the state before each sample.
fn count_long_waits(spec: JobSpec, before_sample: fn(&mut World, &str, u64)) -> u32 {
    let mut world = World::new(5, FaultProfile { checks_neglect: true, ..Default::default() });
    world.queue.clear();
    world.fault_free_from = Micros::ZERO;
    let name = world.add_machine("g8", "east", false);
    let id = spec.id.clone();
    world.jobs.insert(id, UserJob { spec: Some(spec), known_accepted: true, ..Default::default() });
    for sample in 0..24 {
        world.now = Micros::from_secs(30 + 5 * sample);
        let now = world.now;
        let w = world.workers.get_mut(&name).unwrap();
        (w.lease_renewed_at, w.token) = (now, 1);
        before_sample(&mut world, &name, sample);
        world.check_neglect();
    }
    world.coverage.neglect_checks
}

/// A job whose tasks need four processors each and fit on any on-demand machine.
fn waiting_job(shape: Shape, tasks: u32, team: &str) -> JobSpec {
    let mut world = World::new(6, FaultProfile::default());
    let job = JobSpec {
        shape,
        tasks,
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 1.0,
        machine_types: None,
        ..world.random_job(1)
    };
    JobSpec { zone: None, one_zone: false, spread: false, spot: false, team: team.into(), ..job }
}

/// The check reports an array with a task that fits.
#[test]
#[should_panic(expected = "neglected: j-000001")]
fn an_array_that_waits_although_a_task_fits_is_reported() {
    count_long_waits(waiting_job(Shape::Array, 30, "green"), |_, _, _| {});
}

/// The check reports a gang that fits as a whole.
#[test]
#[should_panic(expected = "neglected: j-000001")]
fn a_gang_that_waits_although_it_fits_as_a_whole_is_reported() {
    count_long_waits(waiting_job(Shape::Gang, 4, "green"), |_, _, _| {});
}

/// Places tasks of a job on a machine, or removes them from it.
fn set_placed(world: &mut World, machine: &str, id: &str, tasks: std::ops::Range<u32>, placed: bool) {
    let (cause, until, ordered) = (None, Micros::MAX, Micros::ZERO);
    let w = world.workers.get_mut(machine).unwrap();
    for task in tasks.map(|n| TaskId::new(id, n)) {
        w.tasks.remove(&task);
        if placed {
            let state = TaskState::Waiting;
            w.tasks.insert(
                task,
                WorkerTask {
                    attempt: 1,
                    state,
                    cause,
                    state_until: until,
                    ordered_at: ordered,
                    arrived_at: ordered,
                },
            );
        }
    }
}

/// Guards against the check missing a gang that fits in all samples, with some of its tasks placed in one of them.
///
/// In that sample the free capacity is lower by these tasks, while in the others all tasks of the gang are missing.
#[test]
#[should_panic(expected = "neglected: j-000001")]
fn a_gang_that_fits_in_all_samples_is_reported_although_parts_were_placed_in_one() {
    let place_two_of_four_once = |world: &mut World, name: &str, sample| {
        set_placed(world, name, "j-000001", 0..2, sample == 10);
    };
    count_long_waits(waiting_job(Shape::Gang, 4, "green"), place_two_of_four_once);
}

/// Guards against a false report of a gang that never fitted as a whole, although the tasks that it lacks in the last
/// samples have fitted in all of them: pair 634001.
#[test]
fn a_gang_that_never_fits_as_a_whole_is_not_reported_although_its_missing_tasks_fit() {
    let add_machine_for_two_of_five = |world: &mut World, _: &str, sample| {
        if sample == 20 {
            world.add_machine("c16", "west", false);
        }
        if sample >= 20 {
            let now = world.now;
            let (name, w) = world.workers.iter_mut().find(|(_, w)| w.kind == "c16").unwrap();
            (w.lease_renewed_at, w.token) = (now, 1);
            let name = name.clone();
            set_placed(world, &name, "j-000001", 0..2, true);
        }
    };
    assert!(count_long_waits(waiting_job(Shape::Gang, 5, "green"), add_machine_for_two_of_five) > 0);
}

/// Guards against false reports of jobs that wait for capacity, for an allowed machine or for their team's limit, or
/// that have not waited for long enough.
#[test]
fn jobs_that_wait_for_capacity_or_their_teams_limit_are_not_reported() {
    let gang = waiting_job(Shape::Gang, 5, "green");
    assert!(count_long_waits(gang, |_, _, _| {}) > 0, "no capacity for the fifth task");
    let array = waiting_job(Shape::Array, 30, "green");
    let spread_gang = JobSpec { spread: true, ..waiting_job(Shape::Gang, 4, "green") };
    assert!(count_long_waits(spread_gang, |_, _, _| {}) > 0, "capacity in one zone only");
    assert!(
        count_long_waits(JobSpec { machine_types: Some(vec!["c16".into()]), ..array.clone() }, |_, _, _| {})
            > 0
    );
    assert!(count_long_waits(JobSpec { zone: Some("west".into()), ..array.clone() }, |_, _, _| {}) > 0);
    let faulty = |world: &mut World, name: &str, _| world.workers.get_mut(name).unwrap().faulty = true;
    assert!(count_long_waits(array.clone(), faulty) > 0);
    let task_starts = |world: &mut World, _: &str, sample| {
        if sample % 10 == 9 {
            let now = world.now;
            world.jobs.values_mut().for_each(|w| w.last_task_start = now);
        }
    };
    assert_eq!(count_long_waits(array.clone(), task_starts), 0, "a task starts now and then");
    let fault_until_sample = |world: &mut World, _: &str, sample| {
        if sample == 8 {
            world.faults_end = world.now + Micros(1);
        }
    };
    assert_eq!(count_long_waits(array, fault_until_sample), 0, "a fault was active too recently");
    // In one sample, all of the team's processors are in use on another machine.
    let at_its_limit = |world: &mut World, _: &str, sample| {
        if sample == 10 {
            let other = world.add_machine("c16", "west", false);
            let job = JobSpec { id: "j-000002".into(), cpus: 24.0, ..waiting_job(Shape::Array, 1, "red") };
            world.jobs.insert(job.id.clone(), UserJob { spec: Some(job.clone()), ..Default::default() });
            let state = TaskState::Running;
            let (cause, until, ordered) = (None, Micros::MAX, Micros::ZERO);
            let task = WorkerTask {
                attempt: 1,
                state,
                cause,
                state_until: until,
                ordered_at: ordered,
                arrived_at: ordered,
            };
            let now = world.now;
            let w = world.workers.get_mut(&other).unwrap();
            w.lease_renewed_at = now;
            w.tasks.insert(TaskId::new(&job.id, 0), task);
        }
    };
    assert!(count_long_waits(waiting_job(Shape::Array, 30, "red"), at_its_limit) > 0);
}
