//! The protocol's rules, judged at every start and after every step.

use super::*;

impl World {
    /// A worker's lease, as the deployment has it.
    pub(super) fn worker_lease(&self) -> Micros {
        Micros::from_secs_f64(self.settings[0].params.workers.lease_s)
    }

    /// How long after a withdrawal was recorded, and after it was confirmed, the last task may be there: not
    /// `cancel_s`, but the sums by which the design keeps within it.
    pub(super) fn max_stop_times(&self) -> (Micros, Micros) {
        (
            self.settings[0].max_stop_time_after_commit(&Tuning::default()),
            self.settings[0].max_stop_time_after_confirmation(),
        )
    }

    /// A task has its image: the moment at which the rules are judged.
    pub(super) fn check_task_start(&mut self, name: &str, id: &TaskId) {
        self.tasks_started += 1;
        let again = self.jobs.get(&id.job).is_some_and(|w| w.completed_tasks.contains(&id.index));
        self.coverage.restarts_after_completion += u32::from(again);
        if let Some(wish) = self.jobs.get_mut(&id.job) {
            wish.last_task_start = self.now;
        }
        for (other, w) in self.workers.iter().filter(|(n, w)| *n != name && !w.dead) {
            if let Some(t) = w.tasks.get(id) {
                // A worker past its lease has only not noticed yet.
                let gone = self.now.since(w.lease_renewed_at) > self.worker_lease();
                assert!(
                    !t.counts_as_running() || gone,
                    "ran_twice: {id:?} on {other} and {name} at {:?}",
                    self.now
                );
            }
        }
        let spec = self.jobs[&id.job].spec.clone().unwrap();
        let w = &self.workers[name];
        let new = self.started_attempts.insert((name.to_owned(), w.session, id.clone(), w.tasks[id].attempt));
        self.coverage.repeated_starts += u32::from(!new);
        assert!(
            spec.machine_types.as_ref().is_none_or(|t| t.contains(&w.kind)),
            "wrong_place: type of {id:?}"
        );
        assert!(spec.zone.as_ref().is_none_or(|z| *z == w.zone), "wrong_place: zone of {id:?}");
        assert!(spec.spot || !w.spot, "wrong_place: {id:?} on a spot machine");
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for w in self.workers_within_lease() {
            for (_, t) in w.tasks.iter().filter(|(i, t)| i.job == id.job && t.counts_as_running()) {
                debug_assert!(t.attempt > 0);
                *zones.entry(&w.zone).or_default() += 1;
            }
        }
        assert!(!spec.one_zone || zones.len() <= 1, "wrong_place: {id:?} in a second zone");
        let most = spec.tasks.div_ceil(2);
        assert!(!spec.spread || zones.values().all(|n| *n <= most), "wrong_place: {id:?} not apart");
        let (wish, ordered) = (&self.jobs[&id.job], w.tasks[id].ordered_at);
        if let Some((FinalState::Withdrawn, at)) = wish.known_final {
            assert!(self.now.since(at) < self.max_stop_times().1, "ran_cancelled: {id:?}");
        }
        // No start after a confirmed withdrawal, but for those whose command was under way by then.
        if let Some(confirmed) = wish.withdrawal_confirmed_at {
            assert!(
                ordered <= confirmed,
                "ran_cancelled: {id:?} began at {:?}, ordered at {ordered:?}, withdrawn at {confirmed:?}",
                self.now
            );
            self.coverage.starts_in_flight_at_confirmation += 1;
        }
    }

    /// With all troubles over, a job about which no question is answered for so long is forgotten, however others
    /// fare. Its user asks every few seconds and never stops.
    fn check_not_forgotten(&self) {
        let most = Micros::from_secs(75);
        // A spell that began in time may go on for longer than that.
        let calm = self.fault_free_from.max(self.faults_end);
        for (id, wish) in self.jobs.iter().filter(|(_, w)| w.known_accepted) {
            let since = self.now.since(wish.last_answered_at.max(calm));
            assert!(
                since <= most,
                "forgotten: nothing was heard of {id} for {since:?}\n{}",
                self.describe(id)
            );
        }
    }

    /// All is calm from here on, and after so many seconds what was accepted must be over.
    pub(super) fn expect_all_jobs_to_end(&mut self, seconds: u64, what: &str) {
        self.fault_free_from = self.now;
        self.excluded_controller = None;
        self.run(self.now + Micros::from_secs(seconds));
        for (id, wish) in &self.jobs {
            let over = wish.rejected || wish.known_final.is_some();
            assert!(over, "{what}: {id} is not over\n{}", self.describe(id));
        }
    }

    /// Workers on which tasks may be, as the rules count them: whether anybody can ask them does not matter. A hung one
    /// has not ended its tasks and may go on with them at any time within its lease, so they are there; past it the
    /// first thing it does is to end them. Any other worker past its lease has only not noticed yet.
    pub(super) fn workers_within_lease(&self) -> impl Iterator<Item = &Worker> {
        let lease = self.worker_lease();
        self.workers.values().filter(move |w| !w.dead && self.now.since(w.lease_renewed_at) <= lease)
    }

    /// What each team's tasks take, in the order of the settings: of those that have their image until they are gone,
    /// whatever has become of their jobs.
    pub(super) fn running_usage(&self) -> Vec<(u64, u64)> {
        let teams = &self.settings[0].params.teams;
        let mut taken = vec![(0, 0); teams.len()];
        for (id, _) in
            self.workers_within_lease().flat_map(|w| &w.tasks).filter(|(_, t)| t.counts_as_running())
        {
            let Some(spec) = self.jobs.get(&id.job).and_then(|j| j.spec.as_ref()) else { continue };
            if let Some(team) = teams.iter().position(|t| t.name == spec.team) {
                taken[team].0 += spec.need().cpu;
                taken[team].1 += spec.need().gpu;
            }
        }
        taken
    }

    fn check_team_limits(&mut self) {
        let taken = self.running_usage();
        self.coverage.peak_usage.resize(taken.len(), (0, 0));
        let teams = &self.settings[0].params.teams;
        for ((team, used), peak) in teams.iter().zip(&taken).zip(&mut self.coverage.peak_usage) {
            let over = |used: u64, limit: f64| limit > 0.0 && used as f64 > limit * 1e3 + 1e-6;
            assert!(
                !over(used.0, team.cpus_max) && !over(used.1, team.gpus_max),
                "quota: {} takes {used:?} of ({}, {}) at {:?}",
                team.name,
                team.cpus_max,
                team.gpus_max,
                self.now
            );
            *peak = (peak.0.max(used.0), peak.1.max(used.1));
        }
    }

    /// What must hold at every moment.
    pub(super) fn check_rules(&mut self) {
        let (mut outlived, mut confirmed) = (Micros::ZERO, Micros::ZERO);
        let most = self.max_stop_times();
        for (id, task) in
            self.workers_within_lease().flat_map(|w| &w.tasks).filter(|(_, t)| t.counts_as_running())
        {
            if let Some((FinalState::Withdrawn, at)) = self.jobs.get(&id.job).and_then(|j| j.known_final) {
                let since = self.now.since(at);
                confirmed = confirmed.max(since);
                // A start that was under way then has renewed nothing, but its machine's lease may have been since.
                let most = if task.arrived_at > at { most.0 } else { most.1 };
                assert!(since < most, "ran_cancelled: {id:?} still runs");
            }
            if let Some(at) = self.store.withdrawals.get(&id.job) {
                outlived = outlived.max(self.now.since(*at));
            }
            assert!(outlived < most.0, "ran_cancelled: {id:?} still runs");
        }
        self.coverage.max_run_after_withdrawal = self.coverage.max_run_after_withdrawal.max(outlived);
        self.coverage.max_run_after_confirmation = self.coverage.max_run_after_confirmation.max(confirmed);
        if self.sequence.is_multiple_of(256) {
            self.check_not_forgotten();
        }
        self.check_team_limits();
        self.check_idle();
    }
}
