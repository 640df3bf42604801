//! Demand and guarantees of teams, and expected arrivals of job classes, by which the leader sizes the fleet.

use std::collections::{BTreeMap, VecDeque};

use crate::coordination::Controller;
use crate::coordination::eligibility::allows;
use crate::coordination::fleet_scaling::ARRIVAL_WINDOW;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobSpec, Shape};
use crate::protocol::units::Resources;

/// Time constant, in seconds, with which the recorded peak of a team's demand decays.
const PEAK_DECAY_S: f64 = 300.0;
/// How many standard deviations of the demand are kept as a margin above it.
const DEMAND_DEVIATIONS: f64 = 2.0;

impl Controller {
    /// Whether any team is guaranteed capacity.
    pub(super) fn has_guarantees(&self) -> bool {
        self.settings.params.teams.iter().any(|t| t.cpus > 0.0 || t.gpus > 0.0)
    }

    /// Updates the teams' peak demand. It decays, so that capacity kept for a peak is eventually returned.
    pub(super) fn update_peak_demand(&mut self) {
        if !self.has_guarantees() {
            return;
        }
        let demand = self.current_demand();
        let demand: BTreeMap<String, _> = demand.into_iter().map(|(t, a)| (t.to_owned(), a)).collect();
        // Jobs arrive and end at random, so the standard deviation of their number is the root of the number. That of
        // their total size is the root of the sum of the squared sizes.
        let (mut cpu, mut gpu) = (0.0, 0.0);
        for j in self.jobs.values().filter(|j| !j.spec.spot) {
            let all = j.spec.need().times(u64::from(j.spec.tasks));
            cpu += (all.cpu as f64).powi(2);
            gpu += (all.gpu as f64).powi(2);
        }
        let deviation = |x: f64| (DEMAND_DEVIATIONS * x.sqrt()) as u64;
        let margin = Resources { cpu: deviation(cpu), gpu: deviation(gpu), memory: 0 };
        let now = self.now;
        let Some(lead) = &mut self.leader_state else { return };
        let decay = (-now.since(lead.fleet.demand_updated_at).as_secs_f64() / PEAK_DECAY_S).exp();
        lead.fleet.demand_updated_at = now;
        lead.fleet.demand_margin = lead.fleet.demand_margin.scaled(decay).max(margin);
        for (on_demand, all) in lead.fleet.peak_demand.values_mut() {
            (*on_demand, *all) = (on_demand.scaled(decay), all.scaled(decay));
        }
        for (team, (on_demand, all)) in demand {
            let peak = lead.fleet.peak_demand.entry(team).or_default();
            *peak = (peak.0.max(on_demand), peak.1.max(all));
        }
    }

    /// Records the arrival of a job, from which future arrivals of its class are estimated.
    pub(super) fn record_arrival(&mut self, spec: &JobSpec) {
        let now = self.now;
        if let Some(lead) = &mut self.leader_state
            && spec.shape == Shape::Array
            && spec.estimated_task_s > 0.0
        {
            let (latest, times) = lead
                .fleet
                .recent_arrivals
                .entry(spec.class.clone())
                .or_insert_with(|| (spec.clone(), VecDeque::new()));
            *latest = spec.clone();
            times.push_back((now, spec.tasks));
        }
    }

    /// Estimates, for each class of arrays, how many tasks will arrive while a machine boots, beyond those for which
    /// there is room now and at most as many as fit in the unused guarantees. Only guaranteed work must not wait: for
    /// other work it is cheaper to rent machines once it has arrived.
    pub(super) fn expected_arrivals(&self) -> Vec<(JobSpec, u64)> {
        let Some(lead) = &self.leader_state else { return Vec::new() };
        let mut left = self.unused_guarantee();
        let schedulable = || self.machines.values().filter(|m| self.is_schedulable(m));
        let mut expected = Vec::new();
        for (spec, times) in lead.fleet.recent_arrivals.values() {
            let need = spec.need();
            let tasks: u64 = times.iter().map(|(_, n)| u64::from(*n)).sum();
            let arriving =
                tasks as f64 / ARRIVAL_WINDOW.as_secs_f64() * self.shortest_boot_s(spec).min(600.0);
            let (guarantee_left, need_per_task) =
                if need.gpu > 0 { (left.gpu, need.gpu) } else { (left.cpu, need.cpu) };
            let guaranteed_tasks = guarantee_left / need_per_task.max(1);
            let arriving = guaranteed_tasks.min(arriving as u64);
            left = left.minus(need.times(arriving));
            let room: u64 = schedulable().filter(|m| allows(spec, m)).map(|m| need.times_in(m.free())).sum();
            if arriving > room {
                expected.push((spec.clone(), arriving - room));
            }
        }
        expected
    }

    /// The part of the teams' guarantees that exceeds their current demand.
    pub(super) fn unused_guarantee(&self) -> Resources {
        let demand = self.current_demand();
        self.settings.params.teams.iter().fold(Resources::default(), |sum, team| {
            let demand = demand.get(team.name.as_str()).map_or(Resources::default(), |a| a.1);
            sum.plus(Resources::need(team.cpus, team.gpus, 0.0).minus(demand))
        })
    }

    /// Shortest boot time, in seconds, of the machine types that a job may use.
    pub(super) fn shortest_boot_s(&self, spec: &JobSpec) -> f64 {
        let suitable = |t: &&MachineType| {
            spec.machine_types.as_ref().is_none_or(|names| names.contains(&t.name))
                && spec.need().fits(t.supply())
        };
        self.machine_types.values().filter(suitable).map(|t| t.boot_s).fold(f64::INFINITY, f64::min)
    }

    /// Current demand of each team: of jobs that need on-demand (not spot) machines, and of all jobs.
    pub(super) fn current_demand(&self) -> BTreeMap<&str, (Resources, Resources)> {
        let mut by_team: BTreeMap<&str, (Resources, Resources)> = BTreeMap::new();
        for job in self.jobs.values() {
            let demand = job.spec.need().times(u64::from(job.unfinished()));
            let (on_demand, all) = by_team.entry(&job.spec.team).or_default();
            *all = all.plus(demand);
            if !job.spec.spot {
                *on_demand = on_demand.plus(demand);
            }
        }
        by_team
    }

    /// Capacity to keep available for the guarantees: of on-demand machines, and of all machines. The guarantees may
    /// add up to more than can be rented, so each counts only up to its team's peak demand.
    pub(super) fn guarantee_targets(&self) -> (Resources, Resources) {
        let mut sum = (Resources::default(), Resources::default());
        let mut limit = Resources::default();
        let Some(lead) = &self.leader_state else { return sum };
        for team in &self.settings.params.teams {
            let Some((on_demand, all)) = lead.fleet.peak_demand.get(&team.name) else { continue };
            let guarantee = Resources::need(team.cpus, team.gpus, 0.0);
            sum = (sum.0.plus(on_demand.min(guarantee)), sum.1.plus(all.min(guarantee)));
            limit = limit.plus(guarantee);
        }
        let on_demand = sum.0.plus(lead.fleet.demand_margin).min(limit);
        (on_demand, sum.1.max(on_demand))
    }

    /// Capacity of the machines that exist or are booting and are expected to stay: of on-demand ones, and of all.
    pub(super) fn retained_supply(&self) -> (Resources, Resources) {
        let retained =
            self.machines.values().filter(|m| !m.row.returning && !m.quarantined && !m.preemption_notice);
        retained.fold(Default::default(), |(on_demand, all): (Resources, Resources), m| {
            (if m.row.spot { on_demand } else { on_demand.plus(m.supply) }, all.plus(m.supply))
        })
    }
}
