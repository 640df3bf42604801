//! Checks that no task that runs counts nowhere: what the controllers count of a team is at least what runs of it.

use super::*;
use crate::coordination::Phase;

/// What is counted, or runs, of a team: processors and accelerators, in thousandths.
type Usage = (u64, u64);

impl World {
    /// Checks, if every member of the view in force has accounted for what it took over, that the members together
    /// count at least what runs of each team, limited or not.
    pub(super) fn check_counts(&mut self) {
        // Starts that are sent unannounced are not known to their task's next owner: what such runs are to show.
        if self.skip_confirmations {
            return;
        }
        let Some(members) = self.settled_members() else { return };
        let counted: Vec<Usage> = self.settings[0]
            .params
            .teams
            .iter()
            .map(|team| {
                let of_members = members.iter().map(|c| c.team_usage(&team.name));
                of_members.fold((0, 0), |sum, used| (sum.0 + used.0, sum.1 + used.1))
            })
            .collect();
        let unknown_tasks = members.iter().any(|c| !c.machines_with_unknown_tasks.is_empty());
        for ((team, running), counted) in
            self.settings[0].params.teams.iter().zip(self.running_usage()).zip(counted)
        {
            assert!(
                counted.0 >= running.0 && counted.1 >= running.1,
                "uncounted: {} takes {running:?} and {counted:?} is counted at {:?}\n{}",
                team.name,
                self.now,
                self.describe_counts(&team.name)
            );
        }
        self.coverage.count_checks += 1;
        self.coverage.count_checks_with_unknown_tasks += u64::from(unknown_tasks);
    }

    /// The members of the view in force, if all of them run, have applied it and have accounted for what they took over.
    fn settled_members(&self) -> Option<Vec<&Controller>> {
        let (_, revision, _) = self.store.keys.get(records::VIEW_KEY)?;
        let has_applied = |c: &&Controller| c.phase == Phase::Active && c.view_revision == *revision;
        let any = self.controllers.iter().flatten().find(has_applied)?;
        let settled = |(name, registration): &(String, u64)| {
            self.controllers.iter().flatten().find(|c| {
                c.own_name() == name
                    && c.incarnation().1 == *registration
                    && has_applied(c)
                    && c.is_view_member
                    && !c.takeover_in_progress
            })
        };
        any.view.members.iter().map(settled).collect()
    }

    /// Describes where a team's tasks run and what each controller counts of it, for the message of a failed run.
    pub(super) fn describe_counts(&self, team: &str) -> String {
        let mut text = String::new();
        let of_team = |id: &TaskId| {
            self.jobs.get(&id.job).and_then(|j| j.spec.as_ref()).is_some_and(|spec| spec.team == team)
        };
        let mut names = BTreeSet::new();
        for (name, w) in self.workers.iter().filter(|(_, w)| !w.dead) {
            let running = w.tasks.iter().filter(|(id, t)| of_team(id) && t.counts_as_running());
            for (id, t) in running {
                names.insert(name);
                let final_state = self.jobs[&id.job].known_final;
                text += &format!("runs {} on {name} attempt {} {final_state:?}\n", id.text(), t.attempt);
            }
        }
        for c in self.controllers.iter().flatten() {
            text += &format!(
                "{} {:?} view {} of {:?} takeover {} counts {:?}, unknown {:?}\n",
                c.own_name(),
                c.incarnation(),
                c.view_revision,
                c.view.members,
                c.takeover_in_progress,
                c.team_usage(team),
                c.machines_with_unknown_tasks,
            );
            for (id, job) in c.jobs.iter().chain(c.retired.iter()).filter(|(_, j)| j.spec.team == team) {
                let live = c.jobs.contains_key(id);
                text += &format!(
                    "  {id} live {live} owner {:?} {:?} done {} on {:?}\n",
                    c.owner_of(id),
                    job.spec.need(),
                    job.done.len(),
                    job.placements
                );
            }
            for (name, m) in c.machines.iter().filter(|(name, _)| names.contains(name)) {
                let tasks: Vec<_> =
                    m.tasks.iter().map(|(id, t)| (id.text(), t.attempt, t.state, t.pending)).collect();
                text += &format!(
                    "  {name} owner {} token {} resolved {} ever {} {tasks:?}\n",
                    m.row.owner, m.row.token, m.resolved, m.ever_resolved
                );
            }
        }
        text
    }
}
