//! Workers: their leases, tasks, reports and direct orders.

use super::*;

pub(super) struct Running {
    pub(super) attempt: u64,
    pub(super) state: TaskState,
    pub(super) cause: Option<Cause>,
    /// When the present state ends by itself.
    pub(super) until: Micros,
    /// When the command to start it left its controller.
    pub(super) ordered: Micros,
    /// When that command reached the machine.
    pub(super) arrived: Micros,
}

impl Running {
    /// Whether the task is on its machine, as the rules count it: from its image on until it has exited.
    pub(super) fn is_here(&self) -> bool {
        !matches!(self.state, TaskState::Ended | TaskState::Fetching)
    }
}

pub(super) struct Worker {
    pub(super) kind: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) rented: Micros,
    pub(super) dead: bool,
    pub(super) cut_until: Micros,
    pub(super) hung_until: Micros,
    /// Nothing that is said to it arrives.
    pub(super) deaf_until: Micros,
    /// Its reports reach no controller; what is said to it arrives and is answered.
    pub(super) mute_until: Micros,
    pub(super) faulty: bool,
    pub(super) session: u64,
    pub(super) tally: u64,
    pub(super) token: u64,
    pub(super) renewed: Micros,
    pub(super) target: usize,
    pub(super) next_report: Micros,
    /// The report in flight: session, tally, when it was sent.
    pub(super) waiting: Option<(u64, u64, Micros)>,
    pub(super) tasks: BTreeMap<TaskId, Running>,
    pub(super) notice: Option<Micros>,
}

impl Worker {
    /// Past its lease, a worker ends all tasks and begins its next session. How many tasks are lost by it.
    pub(super) fn lapse(&mut self, now: Micros, lease: Micros) -> usize {
        if now.since(self.renewed) <= lease {
            return 0;
        }
        let lost = self.tasks.values().filter(|t| t.state != TaskState::Ended).count();
        self.tasks.clear();
        self.session += 1;
        self.renewed = now;
        lost
    }

    /// The machine is off and on again within a fraction of a second.
    pub(super) fn reboot(&mut self, now: Micros) {
        self.tasks.clear();
        self.session += 1;
        (self.tally, self.token, self.renewed, self.waiting) = (0, 0, now, None);
        self.next_report = now + Micros::from_millis(300);
    }

    pub(super) fn report(&self, name: &str, now: Micros) -> Report {
        let tasks = self.tasks.iter().map(|(id, t)| ReportedTask {
            task: id.text(),
            attempt: t.attempt,
            state: t.state,
            cause: t.cause,
        });
        Report {
            machine: name.to_owned(),
            addr: name.to_owned(),
            kind: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: self.session,
            tally: self.tally,
            token: self.token,
            notice_s: self.notice.map(|at| at.since(now).as_secs_f64()),
            tasks: tasks.collect(),
        }
    }
}

impl World {
    /// Advances a worker: its lease, its tasks, its reports.
    pub(super) fn worker_turn(&mut self, name: String) {
        let (now, lease) = (self.now, self.lease());
        let every = Micros::from_secs_f64(self.settings[0].params.workers.report_s);
        let Some(w) = self.workers.get_mut(&name) else { return };
        if w.dead {
            return;
        }
        if w.hung_until > now {
            let until = w.hung_until;
            self.meets("machine_hangs");
            return self.at(until, Happening::Worker(name));
        }
        self.met.lost_by_lease += w.lapse(now, lease);
        let mut changed = false;
        let mut completed = Vec::new();
        let mut begun = Vec::new();
        for (id, t) in &mut w.tasks {
            if t.until > now || t.state == TaskState::Ended {
                continue;
            }
            changed = true;
            let job = self.jobs.get(&id.job).and_then(|j| j.spec.as_ref());
            let gang = job.is_some_and(|s| s.shape == Shape::Gang);
            let service = job.is_some_and(|s| s.shape == Shape::Service);
            match t.state {
                TaskState::Fetching if gang => {
                    t.state = TaskState::Waiting;
                    t.until = now + Micros::from_secs(45);
                    begun.push(id.clone());
                }
                TaskState::Fetching => {
                    t.state = TaskState::Running;
                    t.until = now
                        + if service && !self.mistaken.contains(&id.job) {
                            Micros::from_secs(9_999)
                        } else {
                            let early = self.far_apart && id.index == 0;
                            let range = if early { S..3 * S } else { self.runs_for.clone() };
                            Micros(self.rng.random_range(range))
                        };
                    begun.push(id.clone());
                }
                TaskState::Waiting => (t.state, t.cause) = (TaskState::Ended, Some(Cause::Alone)),
                TaskState::Running if w.faulty || self.mistaken.contains(&id.job) => {
                    let trouble = if w.faulty { "faulty" } else { "broken_jobs" };
                    *self.met.troubles.entry(trouble).or_default() += 1;
                    (t.state, t.cause) = (TaskState::Ended, Some(Cause::Error))
                }
                TaskState::Running => {
                    (t.state, t.cause) = (TaskState::Ended, Some(Cause::Done));
                    completed.push(id.clone());
                }
                _ => (t.state, t.cause) = (TaskState::Ended, Some(Cause::Stopped)),
            }
        }
        let mut ended = Vec::new();
        for id in completed {
            let wish = self.jobs.entry(id.job.clone()).or_default();
            let before = wish.tasks_done.len();
            // The tasks of a gang complete together.
            match wish.spec.as_ref().filter(|s| s.shape == Shape::Gang) {
                Some(gang) => wish.tasks_done.extend(0..gang.tasks),
                None => drop(wish.tasks_done.insert(id.index)),
            }
            let all = wish.spec.as_ref().map_or(0, |s| s.tasks as usize);
            if before < all && wish.tasks_done.len() == all {
                ended.push(id.job);
            }
        }
        ended.into_iter().for_each(|id| self.has_ended(id));
        begun.iter().for_each(|id| self.has_begun(&name, id));
        if changed || self.workers.len() < 50 || self.sequence.is_multiple_of(64) {
            self.gangs();
        }
        let Some(w) = self.workers.get_mut(&name) else { return };
        if w.waiting.is_some_and(|(_, _, sent)| now.since(sent) > Micros::from_secs(4)) {
            w.waiting = None;
            w.target = (w.target + 1) % self.settings.len();
            w.next_report = now + Micros::from_secs(1);
        }
        if w.waiting.is_none() && (now >= w.next_report || changed) {
            w.tally += 1;
            w.waiting = Some((w.session, w.tally, now));
            w.next_report = now + Micros(self.rng.random_range(every.0 * 3 / 4..every.0 * 5 / 4));
            let report = w.report(&name, now);
            let (node, mute) = (w.target, w.mute_until > now);
            let cut = w.cut_until > now;
            let zone = w.zone.clone();
            let (session, tally) = (w.session, w.tally);
            let late = self.trouble.late;
            // What cannot be sent leaves no copies.
            let (copies, keeps) =
                if mute { (0.0, 0.0) } else { (self.trouble.duplicate_reports, self.keeps_reports) };
            let cut = cut && self.meets("machine_cut")
                || mute && self.meets("blocked_reports")
                || self.zone_cut(self.controller_zones[node], &zone) && self.meets("zone_cut");
            if self.odds(keeps) {
                self.kept.push(report.clone());
            }
            if self.odds(copies) {
                let to = self.rng.random_range(0..self.settings.len());
                self.soon(S, 60 * S, Happening::Copy { node: to, report: report.clone() });
            }
            if cut || self.lost() {
                // Held up: it may arrive long after the worker has given it up.
                if !mute && self.odds(late) {
                    let request = self.next_request;
                    self.next_request += 1;
                    let life = self.lives[node];
                    self.soon(
                        5 * S,
                        60 * S,
                        Happening::ToController { node, life, event: Event::Report(request, report) },
                    );
                }
            } else if self.controllers[node].is_none() {
                self.soon(
                    MS,
                    2 * MS,
                    Happening::ReportAnswered {
                        machine: name.clone(),
                        session,
                        tally,
                        answer: Some(Answer::RetryLater(1)),
                        given: now,
                    },
                );
            } else {
                let request = self.next_request;
                self.next_request += 1;
                let life = self.lives[node];
                self.requests
                    .insert((node, life, request), Asked::Report { machine: name.clone(), session, tally });
                self.soon(
                    MS,
                    5 * MS,
                    Happening::ToController { node, life, event: Event::Report(request, report) },
                );
            }
        }
        self.at(now + Micros::from_millis(500), Happening::Worker(name));
    }

    /// Gangs start once all their tasks wait, and fail together.
    pub(super) fn gangs(&mut self) {
        let mut gangs: BTreeMap<_, Vec<(String, TaskId, TaskState)>> = BTreeMap::new();
        for (name, w) in self.workers.iter().filter(|(_, w)| !w.dead) {
            for (id, t) in &w.tasks {
                let spec = self.jobs.get(&id.job).and_then(|j| j.spec.as_ref());
                if spec.is_some_and(|s| s.shape == Shape::Gang) {
                    gangs.entry((id.job.clone(), t.attempt)).or_default().push((
                        name.clone(),
                        id.clone(),
                        t.state,
                    ));
                }
            }
        }
        for ((job, _), tasks) in gangs {
            let size = self.jobs[&job].spec.as_ref().map_or(0, |s| s.tasks as usize);
            let waiting = tasks.iter().filter(|t| t.2 == TaskState::Waiting).count();
            let running = tasks.iter().filter(|t| t.2 == TaskState::Running).count();
            let done = self.jobs[&job].tasks_done.len();
            let until = self.now + Micros(self.rng.random_range(self.runs_for.clone()));
            for (name, id, state) in tasks {
                let Some(t) = self.workers.get_mut(&name).and_then(|w| w.tasks.get_mut(&id)) else {
                    continue;
                };
                if waiting == size && state == TaskState::Waiting {
                    (t.state, t.until) = (TaskState::Running, until);
                } else if state == TaskState::Running && done == size {
                    (t.state, t.cause) = (TaskState::Ended, Some(Cause::Done));
                } else if state == TaskState::Running && running < size {
                    (t.state, t.cause) = (TaskState::Ended, Some(Cause::Peers));
                }
            }
        }
    }

    /// Orders to a worker's own address: they may be lost on the way, or arrive a minute later, or
    /// only the reply may be lost.
    pub(super) fn direct(
        &mut self,
        node: usize,
        machine: &str,
        orders: DirectOrders,
        sent: Micros,
    ) -> DirectReply {
        let now = self.now;
        let unreachable = self.workers.get(machine).is_none_or(|w| w.dead);
        if unreachable {
            return DirectReply::NotSent;
        }
        let held_up = self.workers.get(machine).is_some_and(|w| {
            w.cut_until > now
                || w.hung_until > now
                || w.deaf_until > now
                || self.zone_cut(self.controller_zones[node], &w.zone)
        });
        let share = self.trouble.delayed_orders;
        if !held_up && self.odds(share) {
            self.meets("delayed_orders");
            let machine = machine.to_owned();
            self.soon(S, 8 * S, Happening::LateOrders { machine, orders, sent });
            return DirectReply::Unclear;
        }
        if held_up || self.lost() {
            if self.rng.random_bool(0.7) {
                let machine = machine.to_owned();
                self.soon(MS, 60 * S, Happening::LateOrders { machine, orders, sent });
            }
            return DirectReply::Unclear;
        }
        let reply = self.execute(machine, orders, sent);
        if self.lost() { DirectReply::Unclear } else { reply }
    }

    pub(super) fn execute(&mut self, machine: &str, orders: DirectOrders, sent: Micros) -> DirectReply {
        let (now, lease) = (self.now, self.lease());
        let Some(w) = self.workers.get_mut(machine) else { return DirectReply::NotSent };
        if w.dead {
            return DirectReply::NotSent;
        }
        self.met.lost_by_lease += w.lapse(now, lease);
        w.tally += 1;
        if orders.token < w.token || orders.session != w.session {
            let there = |order: &Order| match order {
                Order::Start { task, attempt } => {
                    let here = TaskId::parse(task).and_then(|id| w.tasks.get(&id));
                    here.is_some_and(|t| t.attempt == *attempt && t.state != TaskState::Ended)
                }
                _ => false,
            };
            self.met.rejected_but_there += u32::from(orders.orders.iter().any(there));
            return DirectReply::Rejected(Box::new(w.report(machine, now)));
        }
        if orders.token > w.token {
            w.next_report = w.next_report.min(now + Micros::from_millis(500));
        }
        w.token = orders.token;
        let supply =
            self.types.iter().find(|t| t.name == w.kind).map(MachineType::supply).unwrap_or_default();
        for order in orders.orders {
            self.obey(machine, order, supply, sent);
        }
        DirectReply::Done(Box::new(self.workers[machine].report(machine, now)))
    }

    pub(super) fn report_answered(
        &mut self,
        name: String,
        session: u64,
        tally: u64,
        answer: Option<Answer>,
        given: Micros,
    ) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(&name) else { return };
        // Given up on by now, or meant for an earlier session.
        let Some((s, t, sent)) = w.waiting else { return };
        if (s, t) != (session, tally)
            || w.session != session
            || now.since(sent) > Micros::from_secs(4)
            || w.dead
            || w.hung_until > now
            || w.deaf_until > now
        {
            if w.deaf_until > now {
                self.meets("not_receiving");
            }
            return;
        }
        let Some(answer) = answer else { return };
        w.waiting = None;
        match answer {
            Answer::Orders(ReportAnswer { token, orders }) => {
                if token < w.token {
                    return;
                }
                if token > w.token {
                    w.next_report = now + Micros::from_millis(500);
                }
                w.token = token;
                w.renewed = sent;
                let supply =
                    self.types.iter().find(|t| t.name == w.kind).map(MachineType::supply).unwrap_or_default();
                for order in orders {
                    self.obey(&name, order, supply, given);
                }
            }
            Answer::Redirect(Some(member)) => {
                w.target = self.settings.iter().position(|s| s.member == member).unwrap_or(0);
                w.next_report = now + Micros(self.rng.random_range(0..500 * MS));
            }
            _ => {
                w.target = (w.target + 1) % self.settings.len();
                w.next_report = now + Micros::from_secs(1);
            }
        }
    }

    pub(super) fn obey(&mut self, name: &str, order: Order, supply: Resources, ordered: Micros) {
        let now = self.now;
        let fetch = Micros(self.rng.random_range(100 * MS..3 * S));
        match order {
            Order::Start { task, attempt } => {
                let id = TaskId::parse(&task).unwrap();
                let Some(wish) = self.jobs.get(&id.job) else { panic!("{task} was never submitted") };
                let Some(spec) = wish.spec.clone() else { panic!("{task} is unknown") };
                let w = self.workers.get_mut(name).unwrap();
                if let Some(t) = w.tasks.get(&id) {
                    if t.attempt != attempt && t.state != TaskState::Ended {
                        panic!("{task} ordered on {name}, where it runs as another attempt");
                    }
                    return;
                }
                let need =
                    |id: &TaskId| self.jobs[&id.job].spec.as_ref().map(|s| s.need()).unwrap_or_default();
                let room = w
                    .tasks
                    .iter()
                    .filter(|(_, t)| t.state != TaskState::Ended)
                    .fold(supply, |r, (i, _)| r.minus(need(i)));
                let fits = spec.need().fits(room);
                let running = Running {
                    attempt,
                    state: if fits { TaskState::Fetching } else { TaskState::Ended },
                    cause: (!fits).then_some(Cause::NoRoom),
                    until: now + fetch,
                    ordered,
                    arrived: now,
                };
                w.tasks.insert(id, running);
            }
            Order::Stop { task, attempt, grace_s } => {
                let id = TaskId::parse(&task).unwrap();
                let save = self.jobs.get(&id.job).and_then(|j| j.spec.as_ref()).map_or(0.0, |s| s.save_s);
                let w = self.workers.get_mut(name).unwrap();
                if let Some(t) = w.tasks.get_mut(&id)
                    && t.attempt == attempt
                    && t.state != TaskState::Ended
                {
                    self.stops.push(id);
                    if t.state == TaskState::Running && grace_s >= save && save > 0.0 {
                        (t.state, t.until) = (TaskState::Saving, now + Micros::from_secs_f64(save));
                    } else if t.state != TaskState::Saving || grace_s == 0.0 {
                        (t.state, t.cause) = (TaskState::Ended, Some(Cause::Stopped));
                    }
                }
            }
            Order::Forget { task, attempt } => {
                let id = TaskId::parse(&task).unwrap();
                let w = self.workers.get_mut(name).unwrap();
                if w.tasks.get(&id).is_some_and(|t| t.attempt == attempt && t.state == TaskState::Ended) {
                    w.tasks.remove(&id);
                }
            }
        }
    }
}
