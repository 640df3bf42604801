//! The permit without which no start is planned or sent.

use std::collections::BTreeSet;

use crate::bookkeeping::records::Allotment;
use crate::coordination::Controller;
use crate::coordination::model::Pending;
use crate::coordination::waiting::WaitReason;
use crate::protocol::job::JobSpec;
use crate::protocol::units::Resources;
use crate::protocol::worker::TaskId;

/// More than any deployment has, and far from overflowing where it is added to.
const UNLIMITED: u64 = u64::MAX >> 1;

/// Shows that a start was within its team's limit as its owner counted, in this view and under this registration. There is
/// no other way to one than an [`Allowance`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(test, derive(Default))]
pub struct Permit {
    registration: u64,
    view: u64,
}

/// What an owner may still start of a team's jobs, as of one decision.
#[derive(Debug)]
pub(in crate::coordination) struct Allowance {
    permit: Permit,
    room: Resources,
    /// The owner's share of the limit, processors and accelerators; none while the limit does not bind.
    granted: Option<(u64, u64)>,
    used: (u64, u64),
}

impl Allowance {
    /// What is left.
    pub fn room(&self) -> Resources {
        self.room
    }

    /// Why so much may not be started; none where it may.
    pub fn refusal(&self, need: Resources) -> Option<WaitReason> {
        if self.room == Resources::default() && self.granted.is_none() {
            Some(WaitReason::QuotaUndivided)
        } else if need.cpu > self.room.cpu {
            Some(WaitReason::QuotaProcessors)
        } else if need.gpu > self.room.gpu {
            Some(WaitReason::QuotaAccelerators)
        } else {
            None
        }
    }

    /// Takes what one task needs.
    pub fn take(&mut self, need: Resources) -> Option<Permit> {
        let need = Resources { memory: 0, ..need };
        if !need.fits(self.room) {
            return None;
        }
        self.room = self.room.minus(need);
        Some(self.permit)
    }
}

/// Which permits hold now: those of the present view and registration.
#[derive(Clone, Copy, Debug)]
pub(in crate::coordination) struct InForce(Permit);

impl InForce {
    /// Whether a start with this permit may be sent.
    pub fn covers(self, permit: Permit) -> bool {
        self.0 == permit
    }
}

impl Controller {
    /// The permits that hold now.
    pub(in crate::coordination) fn permits_in_force(&self) -> InForce {
        InForce(Permit { registration: self.life().1, view: self.view_stamp })
    }

    /// What this controller may still start of a job's team, by its share of the team's limit.
    pub(in crate::coordination) fn allowance(&self, spec: &JobSpec) -> Allowance {
        let permit = self.permits_in_force().0;
        let none = Allowance { permit, room: Resources::default(), granted: None, used: (0, 0) };
        let Some(team) = self.settings.params.teams.iter().find(|t| t.name == spec.team) else {
            return none;
        };
        if self.quota_guard.halts(&team.name) {
            return none;
        }
        if !self.bound.contains(&team.name) {
            let room = Resources { cpu: UNLIMITED, gpu: UNLIMITED, memory: UNLIMITED };
            return Allowance { room, ..none };
        }
        let Some((cpu, gpu)) = self.own_share(&team.name) else { return none };
        let used = self.team_usage(&team.name);
        let left = |limit: f64, granted: u64, used: u64| {
            if limit > 0.0 { granted.saturating_sub(used) } else { UNLIMITED }
        };
        let room = Resources {
            cpu: left(team.cpus_max, cpu, used.0),
            gpu: left(team.gpus_max, gpu, used.1),
            memory: UNLIMITED,
        };
        Allowance { permit, room, granted: Some((cpu, gpu)), used }
    }

    /// This controller's share of a team's limit by the record in force, if there is one for its registration and view.
    pub(super) fn own_share(&self, team: &str) -> Option<(u64, u64)> {
        let (me, registration) = self.life();
        let mine = |r: &&Allotment| r.team == team && r.member == me && r.registration == registration;
        let rows = self.quota.0.rows.iter().filter(|_| self.quota.0.view == self.view_stamp);
        rows.clone().find(mine).map(|r| (r.cpu, r.gpu))
    }

    /// The same for the operators' log.
    pub(in crate::coordination) fn quota_share(&self, team: &str) -> Option<(u64, u64)> {
        self.own_share(team)
    }

    /// Says on what a start rests, for a timeline.
    pub(in crate::coordination) fn log_planned(&self, task: &TaskId, machine: &str, by: &Allowance) {
        tracing::debug!(
            task = task.text(),
            machine,
            leader = self.leader.as_ref().map_or("", |l| l.0.as_str()),
            leader_stamp = self.leader.as_ref().map_or(0, |l| l.2),
            view = by.permit.view,
            registration = by.permit.registration,
            applied = self.applied,
            knowledge_ms = self.knowledge_age().as_millis(),
            granted = ?by.granted,
            used = ?by.used,
            "start planned"
        );
    }

    /// Starts that were planned in a former view and not sent: where a limit does not bind they go on, where it does they
    /// are taken back, since the share that they were planned within is void.
    pub(in crate::coordination) fn renew_permits(&mut self) {
        let permit = self.permits_in_force().0;
        let bound = if self.placing { self.bound_teams() } else { BTreeSet::new() };
        let goes_on = |task: &TaskId| self.jobs.get(&task.job).is_some_and(|j| !bound.contains(&j.spec.team));
        let mut lapsed: Vec<(String, TaskId)> = Vec::new();
        let mut renewed: Vec<(String, TaskId)> = Vec::new();
        for (name, machine) in &self.machines {
            for (task, on) in machine.tasks.iter().filter(|(_, t)| t.planned()) {
                let list = if self.placing && goes_on(task) { &mut renewed } else { &mut lapsed };
                list.push((name.clone(), task.clone()));
                debug_assert!(on.pending.is_some());
            }
        }
        for (name, task) in renewed {
            if let Some(on) = self.machines.get_mut(&name).and_then(|m| m.tasks.get_mut(&task)) {
                on.pending = Some(Pending::Planned(permit));
            }
        }
        for (name, task) in lapsed {
            self.drop_planned(&name, |t| *t == task);
        }
    }

    /// Takes back starts on a machine whose permits hold no more: a call that was not carried out may have had them along
    /// while the view changed.
    pub(in crate::coordination) fn drop_unpermitted(&mut self, name: &str) {
        let in_force = self.permits_in_force();
        let Some(machine) = self.machines.get(name) else { return };
        let lapsed = |pending: Option<Pending>| match pending {
            Some(Pending::Planned(permit)) => !in_force.covers(permit),
            _ => false,
        };
        let tasks = machine.tasks.iter().filter(|(_, t)| lapsed(t.pending));
        let tasks: BTreeSet<TaskId> = tasks.map(|(id, _)| id.clone()).collect();
        if !tasks.is_empty() {
            self.drop_planned(name, |id| tasks.contains(id));
        }
    }
}
