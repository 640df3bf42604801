//! The protocol's rules, checked at every task start and after every step.

use super::*;

impl World {
    /// The term of a worker's lease in the settings.
    pub(super) fn worker_lease(&self) -> Micros {
        Micros::from_secs_f64(self.settings[0].params.workers.lease_s)
    }

    /// The longest times for which tasks may run after a withdrawal was recorded, and after it was confirmed.
    ///
    /// These are the sums of delays that the design guarantees, which keep within `cancel_s`.
    pub(super) fn max_stop_times(&self) -> (Micros, Micros) {
        (
            self.settings[0].max_stop_time_after_commit(&Tuning::default()),
            self.settings[0].max_stop_time_after_confirmation(),
        )
    }

    /// Checks the rules for a task whose image has just become available.
    pub(super) fn check_task_start(&mut self, name: &str, id: &TaskId) {
        self.tasks_started += 1;
        let completed_before = self.jobs.get(&id.job).is_some_and(|w| w.completed_tasks.contains(&id.index));
        self.coverage.restarts_after_completion += u32::from(completed_before);
        if let Some(user_job) = self.jobs.get_mut(&id.job) {
            user_job.last_task_start = self.now;
        }
        for (other, w) in self.workers.iter().filter(|(n, w)| *n != name && !w.dead) {
            if let Some(t) = w.tasks.get(id) {
                // A worker whose lease has expired ends its tasks as soon as it notices.
                let lease_expired = self.now.since(w.lease_renewed_at) > self.worker_lease();
                assert!(
                    !t.counts_as_running() || lease_expired,
                    "ran_twice: {id:?} on {other} and {name} at {:?}",
                    self.now
                );
            }
        }
        let spec = self.jobs[&id.job].spec.clone().unwrap();
        let w = &self.workers[name];
        let is_new =
            self.started_attempts.insert((name.to_owned(), w.session, id.clone(), w.tasks[id].attempt));
        self.coverage.repeated_starts += u32::from(!is_new);
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
        let limit = spec.tasks.div_ceil(2);
        assert!(
            !spec.spread || zones.values().all(|n| *n <= limit),
            "wrong_place: {id:?} not spread over the zones"
        );
        let (user_job, ordered_at) = (&self.jobs[&id.job], w.tasks[id].ordered_at);
        if let Some((FinalState::Withdrawn, at)) = user_job.known_final {
            assert!(self.now.since(at) < self.max_stop_times().1, "ran_cancelled: {id:?}");
        }
        // After a confirmed withdrawal no task may start, except by orders that were in flight at the confirmation.
        if let Some(confirmed_at) = user_job.withdrawal_confirmed_at {
            assert!(
                ordered_at <= confirmed_at,
                "ran_cancelled: {id:?} began at {:?}, ordered at {ordered_at:?}, withdrawn at {confirmed_at:?}",
                self.now
            );
            self.coverage.starts_in_flight_at_confirmation += 1;
        }
    }

    /// Checks that no accepted job is forgotten.
    ///
    /// Without faults, a job is forgotten if no request about it is answered for 75 s, whether or not other jobs'
    /// requests are. Its user sends a request every few seconds without end.
    fn check_not_forgotten(&self) {
        let limit = Micros::from_secs(75);
        // A timed fault that began earlier may last beyond that.
        let faults_over_at = self.fault_free_from.max(self.faults_end);
        for (id, user_job) in self.jobs.iter().filter(|(_, w)| w.known_accepted) {
            let unanswered_for = self.now.since(user_job.last_answered_at.max(faults_over_at));
            assert!(
                unanswered_for <= limit,
                "forgotten: no request about {id} was answered for {unanswered_for:?}\n{}",
                self.describe_job(id)
            );
        }
    }

    /// Ends all random faults and checks that every accepted job has ended after the given number of seconds.
    pub(super) fn expect_all_jobs_to_end(&mut self, seconds: u64, context: &str) {
        self.fault_free_from = self.now;
        self.excluded_controller = None;
        self.run(self.now + Micros::from_secs(seconds));
        for (id, user_job) in &self.jobs {
            let is_over = user_job.rejected || user_job.known_final.is_some();
            assert!(is_over, "{context}: {id} is not over\n{}", self.describe_job(id));
        }
    }

    /// Workers on which the rules count tasks, whether or not any controller can reach them.
    ///
    /// A hung worker has not ended its tasks and may resume them at any time within its lease, so they count; after its
    /// lease the first thing it does is to end them. Any other worker whose lease has expired has only not noticed it
    /// yet.
    pub(super) fn workers_within_lease(&self) -> impl Iterator<Item = &Worker> {
        let lease = self.worker_lease();
        self.workers.values().filter(move |w| !w.dead && self.now.since(w.lease_renewed_at) <= lease)
    }

    /// Processors and accelerators in use by each team, in the order of the settings.
    ///
    /// Tasks count from the time at which their image is there until they have exited, whatever the state of their job.
    pub(super) fn running_usage(&self) -> Vec<(u64, u64)> {
        let teams = &self.settings[0].params.teams;
        let mut usage = vec![(0, 0); teams.len()];
        for (id, _) in
            self.workers_within_lease().flat_map(|w| &w.tasks).filter(|(_, t)| t.counts_as_running())
        {
            let Some(spec) = self.jobs.get(&id.job).and_then(|j| j.spec.as_ref()) else { continue };
            if let Some(team) = teams.iter().position(|t| t.name == spec.team) {
                usage[team].0 += spec.need().cpu;
                usage[team].1 += spec.need().gpu;
            }
        }
        usage
    }

    /// Checks that no team uses more than its limits, and records the peaks.
    fn check_team_limits(&mut self) {
        let usage = self.running_usage();
        self.coverage.peak_usage.resize(usage.len(), (0, 0));
        let teams = &self.settings[0].params.teams;
        for ((team, used), peak) in teams.iter().zip(&usage).zip(&mut self.coverage.peak_usage) {
            let exceeds = |used: u64, limit: f64| limit > 0.0 && used as f64 > limit * 1e3 + 1e-6;
            assert!(
                !exceeds(used.0, team.cpus_max) && !exceeds(used.1, team.gpus_max),
                "quota: {} takes {used:?} of ({}, {}) at {:?}",
                team.name,
                team.cpus_max,
                team.gpus_max,
                self.now
            );
            *peak = (peak.0.max(used.0), peak.1.max(used.1));
        }
    }

    /// Checks the rules that hold at every moment.
    pub(super) fn check_rules(&mut self) {
        let (mut max_after_withdrawal, mut max_after_confirmation) = (Micros::ZERO, Micros::ZERO);
        let limit = self.max_stop_times();
        for (id, task) in
            self.workers_within_lease().flat_map(|w| &w.tasks).filter(|(_, t)| t.counts_as_running())
        {
            if let Some((FinalState::Withdrawn, at)) = self.jobs.get(&id.job).and_then(|j| j.known_final) {
                let elapsed = self.now.since(at);
                max_after_confirmation = max_after_confirmation.max(elapsed);
                // A start order in flight at that time did not renew the machine's lease, but the lease may have been
                // renewed since.
                let limit = if task.arrived_at > at { limit.0 } else { limit.1 };
                assert!(elapsed < limit, "ran_cancelled: {id:?} still runs");
            }
            if let Some(at) = self.store.withdrawals.get(&id.job) {
                max_after_withdrawal = max_after_withdrawal.max(self.now.since(*at));
            }
            assert!(max_after_withdrawal < limit.0, "ran_cancelled: {id:?} still runs");
        }
        self.coverage.max_run_after_withdrawal =
            self.coverage.max_run_after_withdrawal.max(max_after_withdrawal);
        self.coverage.max_run_after_confirmation =
            self.coverage.max_run_after_confirmation.max(max_after_confirmation);
        if self.sequence.is_multiple_of(256) {
            self.check_not_forgotten();
        }
        self.check_team_limits();
        self.check_counts();
        self.check_neglect();
    }
}
