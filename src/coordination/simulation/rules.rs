//! The protocol's rules, judged at every start and after every step.

use super::*;

impl World {
    /// A worker's lease, as the deployment has it.
    pub(super) fn lease(&self) -> Micros {
        Micros::from_secs_f64(self.settings[0].params.workers.lease_s)
    }

    /// How long after a withdrawal was recorded, and after it was confirmed, the last task may be there: not
    /// `cancel_s`, but the sums by which the design keeps within it.
    pub(super) fn withdrawn_within(&self) -> (Micros, Micros) {
        (
            self.settings[0].max_stop_time_after_commit(&Tuning::default()),
            self.settings[0].max_stop_time_after_confirmation(),
        )
    }

    /// A task has its image: the moment at which the rules are judged.
    pub(super) fn has_begun(&mut self, name: &str, id: &TaskId) {
        self.started += 1;
        let again = self.jobs.get(&id.job).is_some_and(|w| w.tasks_done.contains(&id.index));
        self.met.done_again += u32::from(again);
        if let Some(wish) = self.jobs.get_mut(&id.job) {
            wish.begun = self.now;
        }
        for (other, w) in self.workers.iter().filter(|(n, w)| *n != name && !w.dead) {
            if let Some(t) = w.tasks.get(id) {
                // A worker past its lease has only not noticed yet.
                let gone = self.now.since(w.renewed) > self.lease();
                assert!(!t.is_here() || gone, "ran_twice: {id:?} on {other} and {name} at {:?}", self.now);
            }
        }
        let spec = self.jobs[&id.job].spec.clone().unwrap();
        let w = &self.workers[name];
        let new = self.begun.insert((name.to_owned(), w.session, id.clone(), w.tasks[id].attempt));
        self.met.begun_again += u32::from(!new);
        assert!(
            spec.machine_types.as_ref().is_none_or(|t| t.contains(&w.kind)),
            "wrong_place: type of {id:?}"
        );
        assert!(spec.zone.as_ref().is_none_or(|z| *z == w.zone), "wrong_place: zone of {id:?}");
        assert!(spec.spot || !w.spot, "wrong_place: {id:?} on a spot machine");
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for w in self.holding() {
            for (_, t) in w.tasks.iter().filter(|(i, t)| i.job == id.job && t.is_here()) {
                debug_assert!(t.attempt > 0);
                *zones.entry(&w.zone).or_default() += 1;
            }
        }
        assert!(!spec.one_zone || zones.len() <= 1, "wrong_place: {id:?} in a second zone");
        let most = spec.tasks.div_ceil(2);
        assert!(!spec.spread || zones.values().all(|n| *n <= most), "wrong_place: {id:?} not apart");
        let (wish, ordered) = (&self.jobs[&id.job], w.tasks[id].ordered);
        if let Some((FinalState::Withdrawn, at)) = wish.told_final {
            assert!(self.now.since(at) < self.withdrawn_within().1, "ran_cancelled: {id:?}");
        }
        // No start after a confirmed withdrawal, but for those whose command was under way by then.
        if let Some(confirmed) = wish.confirmed {
            assert!(
                ordered <= confirmed,
                "ran_cancelled: {id:?} began at {:?}, ordered at {ordered:?}, withdrawn at {confirmed:?}",
                self.now
            );
            self.met.in_flight += 1;
        }
    }

    /// With all troubles over, a job about which no question is answered for so long is forgotten, however others
    /// fare. Its user asks every few seconds and never stops.
    fn check_known(&self) {
        let most = Micros::from_secs(75);
        // A spell that began in time may go on for longer than that.
        let calm = self.calm_after.max(self.spells_over);
        for (id, wish) in self.jobs.iter().filter(|(_, w)| w.told_accepted) {
            let since = self.now.since(wish.answered.max(calm));
            assert!(
                since <= most,
                "forgotten: nothing was heard of {id} for {since:?}\n{}",
                self.describe_job(id)
            );
        }
    }

    /// All is calm from here on, and after so many seconds what was accepted must be over.
    pub(super) fn all_over(&mut self, seconds: u64, what: &str) {
        self.calm_after = self.now;
        self.passed_over = None;
        self.run(self.now + Micros::from_secs(seconds));
        for (id, wish) in &self.jobs {
            let over = wish.refused || wish.told_final.is_some();
            assert!(over, "{what}: {id} is not over\n{}", self.describe_job(id));
        }
    }

    /// Workers on which tasks may be, as the rules count them: whether anybody can ask them does not matter. A hung one
    /// has not ended its tasks and may go on with them at any time within its lease, so they are there; past it the
    /// first thing it does is to end them. Any other worker past its lease has only not noticed yet.
    pub(super) fn holding(&self) -> impl Iterator<Item = &Worker> {
        let lease = self.lease();
        self.workers.values().filter(move |w| !w.dead && self.now.since(w.renewed) <= lease)
    }

    /// What each team's tasks take, in the order of the settings: of those that have their image until they are gone,
    /// whatever has become of their jobs.
    pub(super) fn taken(&self) -> Vec<(u64, u64)> {
        let teams = &self.settings[0].params.teams;
        let mut taken = vec![(0, 0); teams.len()];
        for (id, _) in self.holding().flat_map(|w| &w.tasks).filter(|(_, t)| t.is_here()) {
            let Some(spec) = self.jobs.get(&id.job).and_then(|j| j.spec.as_ref()) else { continue };
            if let Some(team) = teams.iter().position(|t| t.name == spec.team) {
                taken[team].0 += spec.need().cpu;
                taken[team].1 += spec.need().gpu;
            }
        }
        taken
    }

    fn check_limits(&mut self) {
        let taken = self.taken();
        self.met.peaks.resize(taken.len(), (0, 0));
        let teams = &self.settings[0].params.teams;
        for ((team, used), peak) in teams.iter().zip(&taken).zip(&mut self.met.peaks) {
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
    pub(super) fn check(&mut self) {
        let (mut outlived, mut confirmed) = (Micros::ZERO, Micros::ZERO);
        let most = self.withdrawn_within();
        for (id, task) in self.holding().flat_map(|w| &w.tasks).filter(|(_, t)| t.is_here()) {
            if let Some((FinalState::Withdrawn, at)) = self.jobs.get(&id.job).and_then(|j| j.told_final) {
                let since = self.now.since(at);
                confirmed = confirmed.max(since);
                // A start that was under way then has renewed nothing, but its machine's lease may have been since.
                let most = if task.arrived > at { most.0 } else { most.1 };
                assert!(since < most, "ran_cancelled: {id:?} still runs");
            }
            if let Some(at) = self.store.withdrawn.get(&id.job) {
                outlived = outlived.max(self.now.since(*at));
            }
            assert!(outlived < most.0, "ran_cancelled: {id:?} still runs");
        }
        self.met.outlived = self.met.outlived.max(outlived);
        self.met.outlived_confirmed = self.met.outlived_confirmed.max(confirmed);
        if self.sequence.is_multiple_of(256) {
            self.check_known();
        }
        self.check_limits();
        self.check_idle();
    }
}
