//! What teams ask for and are guaranteed, and what is to be expected of classes: the leader sizes the fleet by it.

use std::collections::{BTreeMap, VecDeque};

use crate::coordination::Controller;
use crate::coordination::eligibility::allows;
use crate::coordination::fleet::LOOK_BACK;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobSpec, Shape};
use crate::protocol::units::Resources;

/// How long a team's greatest demand counts for what is kept there for its guarantee, about.
const REMEMBERED: f64 = 300.0;
/// How many standard deviations of what is asked for are kept beyond it.
const DEVIATIONS: f64 = 2.0;

impl Controller {
    pub(super) fn any_guarantee(&self) -> bool {
        self.settings.params.teams.iter().any(|t| t.cpus > 0.0 || t.gpus > 0.0)
    }

    /// Notes what the teams ask for. A greatest demand fades, so that what was kept for it is given back.
    pub(super) fn note_demand(&mut self) {
        if !self.any_guarantee() {
            return;
        }
        let asked = self.asked_now();
        let asked: BTreeMap<String, _> = asked.into_iter().map(|(t, a)| (t.to_owned(), a)).collect();
        // Jobs come and go by chance: their number strays by its root, and so does the sum of their sizes.
        let (mut cpu, mut gpu) = (0.0, 0.0);
        for j in self.jobs.values().filter(|j| !j.spec.spot) {
            let all = j.spec.need().times(u64::from(j.spec.tasks));
            cpu += (all.cpu as f64).powi(2);
            gpu += (all.gpu as f64).powi(2);
        }
        let root = |x: f64| (DEVIATIONS * x.sqrt()) as u64;
        let swing = Resources { cpu: root(cpu), gpu: root(gpu), memory: 0 };
        let now = self.now;
        let Some(lead) = &mut self.lead else { return };
        let fade = (-now.since(lead.fleet.asked_at).as_secs_f64() / REMEMBERED).exp();
        lead.fleet.asked_at = now;
        lead.fleet.swing = lead.fleet.swing.scaled(fade).max(swing);
        for (ordinary, all) in lead.fleet.asked.values_mut() {
            (*ordinary, *all) = (ordinary.scaled(fade), all.scaled(fade));
        }
        for (team, (ordinary, all)) in asked {
            let most = lead.fleet.asked.entry(team).or_default();
            *most = (most.0.max(ordinary), most.1.max(all));
        }
    }

    /// Notes a new job, for what is to be expected of its class.
    pub(super) fn note_arrival(&mut self, spec: &JobSpec) {
        let now = self.now;
        if let Some(lead) = &mut self.lead
            && spec.shape == Shape::Array
            && spec.estimated_task_s > 0.0
        {
            let (latest, times) = lead
                .fleet
                .arrivals
                .entry(spec.class.clone())
                .or_insert_with(|| (spec.clone(), VecDeque::new()));
            *latest = spec.clone();
            times.push_back((now, spec.tasks));
        }
    }

    /// Tasks of each class of arrays that will likely come in the time that a machine takes to boot,
    /// beyond those for which there is room now, as far as their teams' guarantees go: only guaranteed
    /// work must not wait, and machines for other work are cheaper rented once it is there.
    pub(super) fn expected(&self) -> Vec<(JobSpec, u64)> {
        let Some(lead) = &self.lead else { return Vec::new() };
        let mut left = self.unused_guarantee();
        let serving = || self.machines.values().filter(|m| self.serving(m));
        let mut expected = Vec::new();
        for (spec, times) in lead.fleet.arrivals.values() {
            let need = spec.need();
            let tasks: u64 = times.iter().map(|(_, n)| u64::from(*n)).sum();
            let coming = tasks as f64 / LOOK_BACK.as_secs_f64() * self.soonest_boot(spec).min(600.0);
            let (left_of, each) = if need.gpu > 0 { (left.gpu, need.gpu) } else { (left.cpu, need.cpu) };
            let guaranteed = left_of / each.max(1);
            let coming = guaranteed.min(coming as u64);
            left = left.minus(need.times(coming));
            let room: u64 = serving().filter(|m| allows(spec, m)).map(|m| need.times_in(m.free())).sum();
            if coming > room {
                expected.push((spec.clone(), coming - room));
            }
        }
        expected
    }

    /// What the teams do not use of their guarantees.
    pub(super) fn unused_guarantee(&self) -> Resources {
        let asked = self.asked_now();
        self.settings.params.teams.iter().fold(Resources::default(), |sum, team| {
            let asked = asked.get(team.name.as_str()).map_or(Resources::default(), |a| a.1);
            sum.plus(Resources::need(team.cpus, team.gpus, 0.0).minus(asked))
        })
    }

    /// How long the type of machine that boots soonest takes, of those that a job may use.
    pub(super) fn soonest_boot(&self, spec: &JobSpec) -> f64 {
        let ok = |t: &&MachineType| {
            spec.machine_types.as_ref().is_none_or(|names| names.contains(&t.name))
                && spec.need().fits(t.supply())
        };
        self.types.values().filter(ok).map(|t| t.boot_s).fold(f64::INFINITY, f64::min)
    }

    /// What each team asks for now: by jobs that need ordinary machines, and by all.
    pub(super) fn asked_now(&self) -> BTreeMap<&str, (Resources, Resources)> {
        let mut asked: BTreeMap<&str, (Resources, Resources)> = BTreeMap::new();
        for job in self.jobs.values() {
            let wants = job.spec.need().times(u64::from(job.unfinished()));
            let (ordinary, all) = asked.entry(&job.spec.team).or_default();
            *all = all.plus(wants);
            if !job.spec.spot {
                *ordinary = ordinary.plus(wants);
            }
        }
        asked
    }

    /// What is to be there for the guarantees: of ordinary machines, and of all together. Guarantees may
    /// add up to more than there is to rent, so each counts only as far as its team makes use of it.
    pub(super) fn guaranteed(&self) -> (Resources, Resources) {
        let mut sum = (Resources::default(), Resources::default());
        let mut limit = Resources::default();
        let Some(lead) = &self.lead else { return sum };
        for team in &self.settings.params.teams {
            let Some((ordinary, all)) = lead.fleet.asked.get(&team.name) else { continue };
            let most = Resources::need(team.cpus, team.gpus, 0.0);
            sum = (sum.0.plus(ordinary.min(most)), sum.1.plus(all.min(most)));
            limit = limit.plus(most);
        }
        let ordinary = sum.0.plus(lead.fleet.swing).min(limit);
        (ordinary, sum.1.max(ordinary))
    }

    /// Machines up or coming that can be counted on: ordinary ones, and all.
    pub(super) fn standing_supply(&self) -> (Resources, Resources) {
        let stay = self.machines.values().filter(|m| !m.row.returning && !m.apart && !m.notice);
        stay.fold(Default::default(), |(ordinary, all): (Resources, Resources), m| {
            (if m.row.spot { ordinary } else { ordinary.plus(m.supply) }, all.plus(m.supply))
        })
    }
}
