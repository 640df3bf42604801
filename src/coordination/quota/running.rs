//! What is known to run of each team by the workers' own messages, whatever else is uncertain.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::Controller;
use crate::coordination::model::{Machine, PlacedTask};
use crate::coordination::quota::invariants::exceeds;
use crate::protocol::units::{Micros, Resources};
use crate::protocol::worker::{TaskId, TaskState};

/// How old an owner's last status may be for its machines to count. Statuses come every second.
const MAX_STATUS_AGE: Micros = Micros::from_secs(2);

/// How old this controller's own records may be. Their changes are read every second or so.
const MAX_RECORD_AGE: Micros = Micros::from_secs(2);

impl Controller {
    /// The teams of which more is known to run than their limits allow; none while this controller's records are old: it
    /// may still take machines for its own whose tasks another owner has started elsewhere.
    pub(super) fn teams_running_beyond_limit(&self) -> BTreeSet<String> {
        if !self.entitled() || self.now.since(self.replica_as_of) > MAX_RECORD_AGE {
            return BTreeSet::new();
        }
        // A task may be shown by two machines while their owners' statuses are from different moments, but is counted
        // twice only in this first, cheaper pass.
        let all = self.shown_usage(|_| true);
        if self.teams_beyond_limit(&all).is_empty() {
            return BTreeSet::new();
        }
        let mut counted: BTreeSet<&TaskId> = BTreeSet::new();
        let once = self.shown_usage(|id| counted.insert(id));
        self.teams_beyond_limit(&once)
    }

    /// What the tasks use that `counts` selects of those that the workers' last messages have shown running.
    fn shown_usage<'a>(&'a self, mut counts: impl FnMut(&'a TaskId) -> bool) -> BTreeMap<&'a str, Resources> {
        let mut usage: BTreeMap<&str, Resources> = BTreeMap::new();
        for machine in self.machines.values().filter(|machine| self.is_shown_lately(machine)) {
            let running = machine.tasks.iter().filter(|(_, task)| has_image(task));
            for (id, _) in running {
                let Some(job) = self.jobs.get(&id.job).or_else(|| self.retired.get(&id.job)) else {
                    continue;
                };
                if counts(id) {
                    let of_team = usage.entry(&job.spec.team).or_default();
                    *of_team = of_team.plus(job.spec.need());
                }
            }
        }
        usage
    }

    /// Whether the tasks of a machine are all known, from its own messages or from a recent status of its owner.
    fn is_shown_lately(&self, machine: &Machine) -> bool {
        let owner = &machine.row.owner;
        let recent =
            || self.peers.get(owner).is_some_and(|p| self.now.since(p.last_received_at) <= MAX_STATUS_AGE);
        machine.resolved && (self.owns(machine) || self.owner_is_registered(machine) && recent())
    }

    fn teams_beyond_limit(&self, usage: &BTreeMap<&str, Resources>) -> BTreeSet<String> {
        let teams = self.settings.params.teams.iter().filter(|team| {
            let used = usage.get(team.name.as_str()).copied().unwrap_or_default();
            exceeds(team.cpus_max, used.cpu) || exceeds(team.gpus_max, used.gpu)
        });
        teams.map(|team| team.name.clone()).collect()
    }
}

/// Whether a task's image has been fetched and it has not ended, so that it counts as running.
fn has_image(task: &PlacedTask) -> bool {
    !matches!(task.state, TaskState::Fetching | TaskState::Ended)
}
