//! The permit that every planned or sent start requires.

use std::collections::BTreeSet;

use crate::bookkeeping::records::Allotment;
use crate::coordination::Controller;
use crate::coordination::model::PendingStart;
use crate::coordination::wait_reasons::WaitReason;
use crate::protocol::job::JobSpec;
use crate::protocol::units::Resources;
use crate::protocol::worker::TaskId;

/// The room under a limit that is not binding: more than any deployment has, and far from overflowing when amounts are
/// added to it.
const UNLIMITED: u64 = u64::MAX >> 1;

/// Proof that a start was within its team's limit by its owner's count, in one view and under one registration. Permits
/// are issued by an [`Allowance`]; those of teams without a binding limit are carried over to a new view by
/// [`Controller::renew_permits`].
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
    /// The owner's share of the limit, processors and accelerators; `None` if the limit is not binding, or if nothing
    /// may be started because the owner has no share or the team is halted.
    granted: Option<(u64, u64)>,
    used: (u64, u64),
}

impl Allowance {
    /// What may still be started.
    pub fn remaining(&self) -> Resources {
        self.room
    }

    /// Why `need` may not be started; `None` if it may.
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

    /// Issues a permit for one task and deducts what the task needs.
    pub fn issue_permit(&mut self, need: Resources) -> Option<Permit> {
        let need = Resources { memory: 0, ..need };
        if !need.fits(self.room) {
            return None;
        }
        self.room = self.room.minus(need);
        Some(self.permit)
    }
}

/// The permit that is valid now: that of the current view and registration.
#[derive(Clone, Copy, Debug)]
pub(in crate::coordination) struct ActivePermit(Permit);

impl ActivePermit {
    /// Whether a start with this permit may be sent.
    pub fn covers(self, permit: Permit) -> bool {
        self.0 == permit
    }
}

impl Controller {
    /// The permit that is valid now.
    pub(in crate::coordination) fn active_permit(&self) -> ActivePermit {
        ActivePermit(Permit { registration: self.incarnation().1, view: self.view_revision })
    }

    /// What this controller may still start of a job's team, by its share of the team's limit.
    pub(in crate::coordination) fn allowance(&self, spec: &JobSpec) -> Allowance {
        let permit = self.active_permit().0;
        let none = Allowance { permit, room: Resources::default(), granted: None, used: (0, 0) };
        let Some(team) = self.settings.params.teams.iter().find(|t| t.name == spec.team) else {
            return none;
        };
        if self.quota_guard.is_halted(&team.name) {
            return none;
        }
        if !self.teams_with_binding_limit.contains(&team.name) {
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

    /// This controller's share of a team's limit in the record in force; `None` if the record has none for its
    /// registration and view.
    pub(in crate::coordination) fn own_share(&self, team: &str) -> Option<(u64, u64)> {
        let (me, registration) = self.incarnation();
        let mine = |r: &&Allotment| r.team == team && r.member == me && r.registration == registration;
        let rows = self.quota_record.0.rows.iter().filter(|_| self.quota_record.0.view == self.view_revision);
        rows.clone().find(mine).map(|r| (r.cpu, r.gpu))
    }

    /// The same, for the log of waiting jobs.
    pub(in crate::coordination) fn quota_share(&self, team: &str) -> Option<(u64, u64)> {
        self.own_share(team)
    }

    /// Logs what a planned start is based on, so that a timeline can be reconstructed.
    pub(in crate::coordination) fn log_planned_start(&self, task: &TaskId, machine: &str, by: &Allowance) {
        // What is counted is worked out once more for the log, so only if it is written.
        let divided = by.granted.is_some() && tracing::enabled!(tracing::Level::DEBUG);
        let team = self.jobs.get(&task.job).filter(|_| divided).map(|job| job.spec.team.as_str());
        let counted = team.map(|team| self.usage_parts(team));
        tracing::debug!(
            task = task.text(),
            machine,
            team,
            counted = ?counted,
            leader = self.leader.as_ref().map_or("", |l| l.0.as_str()),
            leader_stamp = self.leader.as_ref().map_or(0, |l| l.2),
            view = by.permit.view,
            registration = by.permit.registration,
            applied = self.applied_revision,
            knowledge_ms = self.knowledge_age().as_millis(),
            granted = ?by.granted,
            used = ?by.used,
            "start planned"
        );
    }

    /// Handles starts that were planned in an earlier view and not sent. Where the team's limit is not binding, their
    /// permits are renewed. Where it is, the starts are dropped, since the share that they were planned within is
    /// void.
    pub(in crate::coordination) fn renew_permits(&mut self) {
        let permit = self.active_permit().0;
        let binding =
            if self.is_view_member { self.find_teams_with_binding_limit() } else { BTreeSet::new() };
        let keeps_permit =
            |task: &TaskId| self.jobs.get(&task.job).is_some_and(|j| !binding.contains(&j.spec.team));
        let mut invalid: Vec<(String, TaskId)> = Vec::new();
        let mut renewed: Vec<(String, TaskId)> = Vec::new();
        for (name, machine) in &self.machines {
            for (task, placed_task) in machine.tasks.iter().filter(|(_, t)| t.planned()) {
                let list =
                    if self.is_view_member && keeps_permit(task) { &mut renewed } else { &mut invalid };
                list.push((name.clone(), task.clone()));
                debug_assert!(placed_task.pending.is_some());
            }
        }
        for (name, task) in renewed {
            if let Some(placed_task) = self.machines.get_mut(&name).and_then(|m| m.tasks.get_mut(&task)) {
                placed_task.pending = Some(PendingStart::Planned(permit));
            }
        }
        for (name, task) in invalid {
            self.drop_planned_starts(&name, |t| *t == task);
        }
    }

    /// Drops planned starts on a machine whose permits are no longer valid: a direct call that was not carried out
    /// may have carried them while the view changed.
    pub(in crate::coordination) fn drop_unpermitted_starts(&mut self, name: &str) {
        let active_permit = self.active_permit();
        let Some(machine) = self.machines.get(name) else { return };
        let invalid = |pending: Option<PendingStart>| match pending {
            Some(PendingStart::Planned(permit)) => !active_permit.covers(permit),
            _ => false,
        };
        let tasks = machine.tasks.iter().filter(|(_, t)| invalid(t.pending));
        let tasks: BTreeSet<TaskId> = tasks.map(|(id, _)| id.clone()).collect();
        if !tasks.is_empty() {
            self.drop_planned_starts(name, |id| tasks.contains(id));
        }
    }
}
