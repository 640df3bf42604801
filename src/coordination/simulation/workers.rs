//! Simulated workers: leases, tasks, reports and direct orders.

use super::*;

/// A task on a simulated worker.
pub(super) struct WorkerTask {
    pub(super) attempt: u64,
    pub(super) state: TaskState,
    pub(super) cause: Option<Cause>,
    /// When the present state ends without an order.
    pub(super) state_until: Micros,
    /// When the start order left its controller.
    pub(super) ordered_at: Micros,
    /// When the start order reached the machine.
    pub(super) arrived_at: Micros,
}

impl WorkerTask {
    /// Whether the rules count the task as running: from the time at which its image is there until it has exited.
    pub(super) fn counts_as_running(&self) -> bool {
        !matches!(self.state, TaskState::Ended | TaskState::Fetching)
    }
}

/// A machine and the worker on it.
pub(super) struct Worker {
    pub(super) kind: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) rented_at: Micros,
    pub(super) dead: bool,
    /// Until when neither its reports nor direct orders get through.
    pub(super) partitioned_until: Micros,
    /// Until when it does nothing; its tasks stay.
    pub(super) hung_until: Micros,
    /// Until when no message reaches the machine.
    pub(super) not_receiving_until: Micros,
    /// Until when its reports reach no controller, while direct orders reach it and are answered.
    pub(super) reports_blocked_until: Micros,
    /// Every task fails on it.
    pub(super) faulty: bool,
    pub(super) session: u64,
    pub(super) tally: u64,
    pub(super) token: u64,
    pub(super) lease_renewed_at: Micros,
    /// Index of the controller that it reports to.
    pub(super) target_controller: usize,
    pub(super) next_report_at: Micros,
    /// The report in flight: session, tally, time at which it was sent.
    pub(super) report_in_flight: Option<(u64, u64, Micros)>,
    pub(super) tasks: BTreeMap<TaskId, WorkerTask>,
    /// When the cloud takes the spot machine back, once the preemption notice has been given.
    pub(super) preempted_at: Option<Micros>,
}

impl Worker {
    /// Ends all tasks and begins a new session if the lease has expired.
    ///
    /// Returns the number of unfinished tasks that are lost.
    pub(super) fn expire_lease(&mut self, now: Micros, lease: Micros) -> usize {
        if now.since(self.lease_renewed_at) <= lease {
            return 0;
        }
        let lost = self.tasks.values().filter(|t| t.state != TaskState::Ended).count();
        self.tasks.clear();
        self.session += 1;
        self.lease_renewed_at = now;
        lost
    }

    /// Restarts the machine within a fraction of a second: all tasks are lost and a new session begins.
    pub(super) fn reboot(&mut self, now: Micros) {
        self.tasks.clear();
        self.session += 1;
        (self.tally, self.token, self.lease_renewed_at, self.report_in_flight) = (0, 0, now, None);
        self.next_report_at = now + Micros::from_millis(300);
    }

    pub(super) fn build_report(&self, name: &str, now: Micros) -> Report {
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
            notice_s: self.preempted_at.map(|at| at.since(now).as_secs_f64()),
            tasks: tasks.collect(),
        }
    }
}

impl World {
    /// Advances a worker's lease, tasks and reports.
    pub(super) fn advance_worker(&mut self, name: String) {
        let (now, lease) = (self.now, self.worker_lease());
        let report_interval = Micros::from_secs_f64(self.settings[0].params.workers.report_s);
        let Some(w) = self.workers.get_mut(&name) else { return };
        if w.dead {
            return;
        }
        if w.hung_until > now {
            let until = w.hung_until;
            self.record_fault("machine_hangs");
            return self.schedule_at(until, SimEvent::WorkerTurn(name));
        }
        self.coverage.tasks_lost_to_lease_expiry += w.expire_lease(now, lease);
        let mut changed = false;
        let mut completed = Vec::new();
        let mut started = Vec::new();
        for (id, t) in &mut w.tasks {
            if t.state_until > now || t.state == TaskState::Ended {
                continue;
            }
            changed = true;
            let job = self.jobs.get(&id.job).and_then(|j| j.spec.as_ref());
            let gang = job.is_some_and(|s| s.shape == Shape::Gang);
            let service = job.is_some_and(|s| s.shape == Shape::Service);
            match t.state {
                TaskState::Fetching if gang => {
                    t.state = TaskState::Waiting;
                    t.state_until = now + Micros::from_secs(45);
                    started.push(id.clone());
                }
                TaskState::Fetching => {
                    t.state = TaskState::Running;
                    t.state_until = now
                        + if service && !self.broken_jobs.contains(&id.job) {
                            Micros::from_secs(9_999)
                        } else {
                            let early = self.first_task_short && id.index == 0;
                            let range = if early { S..3 * S } else { self.task_run_time.clone() };
                            Micros(self.rng.random_range(range))
                        };
                    started.push(id.clone());
                }
                TaskState::Waiting => (t.state, t.cause) = (TaskState::Ended, Some(Cause::Alone)),
                TaskState::Running if w.faulty || self.broken_jobs.contains(&id.job) => {
                    let fault = if w.faulty { "faulty" } else { "broken_jobs" };
                    *self.coverage.faults.entry(fault).or_default() += 1;
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
            let user_job = self.jobs.entry(id.job.clone()).or_default();
            let before = user_job.completed_tasks.len();
            // The tasks of a gang complete together.
            match user_job.spec.as_ref().filter(|s| s.shape == Shape::Gang) {
                Some(gang) => user_job.completed_tasks.extend(0..gang.tasks),
                None => drop(user_job.completed_tasks.insert(id.index)),
            }
            let all = user_job.spec.as_ref().map_or(0, |s| s.tasks as usize);
            if before < all && user_job.completed_tasks.len() == all {
                ended.push(id.job);
            }
        }
        ended.into_iter().for_each(|id| self.job_tasks_completed(id));
        started.iter().for_each(|id| self.check_task_start(&name, id));
        if changed || self.workers.len() < 50 || self.sequence.is_multiple_of(64) {
            self.advance_gangs();
        }
        let Some(w) = self.workers.get_mut(&name) else { return };
        if w.report_in_flight.is_some_and(|(_, _, sent_at)| now.since(sent_at) > Micros::from_secs(4)) {
            w.report_in_flight = None;
            w.target_controller = (w.target_controller + 1) % self.settings.len();
            w.next_report_at = now + Micros::from_secs(1);
        }
        if w.report_in_flight.is_none() && (now >= w.next_report_at || changed) {
            w.tally += 1;
            w.report_in_flight = Some((w.session, w.tally, now));
            w.next_report_at =
                now + Micros(self.rng.random_range(report_interval.0 * 3 / 4..report_interval.0 * 5 / 4));
            let report = w.build_report(&name, now);
            let (node, reports_blocked) = (w.target_controller, w.reports_blocked_until > now);
            let partitioned = w.partitioned_until > now;
            let zone = w.zone.clone();
            let (session, tally) = (w.session, w.tally);
            let late = self.fault_profile.late;
            // A report that cannot be sent leaves no copies.
            let (copies, retention) = if reports_blocked {
                (0.0, 0.0)
            } else {
                (self.fault_profile.duplicate_reports, self.report_retention)
            };
            let partitioned = partitioned && self.record_fault("machine_cut")
                || reports_blocked && self.record_fault("blocked_reports")
                || self.are_zones_partitioned(self.controller_zones[node], &zone)
                    && self.record_fault("zone_cut");
            if self.chance(retention) {
                self.retained_reports.push(report.clone());
            }
            if self.chance(copies) {
                let to = self.rng.random_range(0..self.settings.len());
                self.schedule_within(
                    S,
                    60 * S,
                    SimEvent::DuplicateReport { node: to, report: report.clone() },
                );
            }
            if partitioned || self.is_message_lost() {
                // A delayed report may arrive long after the worker has timed out.
                if !reports_blocked && self.chance(late) {
                    let request = self.next_request;
                    self.next_request += 1;
                    let incarnation = self.incarnations[node];
                    self.schedule_within(
                        5 * S,
                        60 * S,
                        SimEvent::ToController { node, incarnation, event: Event::Report(request, report) },
                    );
                }
            } else if self.controllers[node].is_none() {
                self.schedule_within(
                    MS,
                    2 * MS,
                    SimEvent::ReportAnswered {
                        machine: name.clone(),
                        session,
                        tally,
                        answer: Some(Answer::RetryLater(1)),
                        answered_at: now,
                    },
                );
            } else {
                let request = self.next_request;
                self.next_request += 1;
                let incarnation = self.incarnations[node];
                self.pending_requests.insert(
                    (node, incarnation, request),
                    PendingRequest::Report { machine: name.clone(), session, tally },
                );
                self.schedule_within(
                    MS,
                    5 * MS,
                    SimEvent::ToController { node, incarnation, event: Event::Report(request, report) },
                );
            }
        }
        self.schedule_at(now + Micros::from_millis(500), SimEvent::WorkerTurn(name));
    }

    /// Starts the tasks of a gang once all of them wait, and ends them all when one of them is missing or done.
    pub(super) fn advance_gangs(&mut self) {
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
            let done = self.jobs[&job].completed_tasks.len();
            let until = self.now + Micros(self.rng.random_range(self.task_run_time.clone()));
            for (name, id, state) in tasks {
                let Some(t) = self.workers.get_mut(&name).and_then(|w| w.tasks.get_mut(&id)) else {
                    continue;
                };
                if waiting == size && state == TaskState::Waiting {
                    (t.state, t.state_until) = (TaskState::Running, until);
                } else if state == TaskState::Running && done == size {
                    (t.state, t.cause) = (TaskState::Ended, Some(Cause::Done));
                } else if state == TaskState::Running && running < size {
                    (t.state, t.cause) = (TaskState::Ended, Some(Cause::Peers));
                }
            }
        }
    }

    /// Delivers orders to a worker's own address.
    ///
    /// The orders may be lost, the orders may arrive up to a minute later, or only the reply may be lost.
    pub(super) fn deliver_direct_orders(
        &mut self,
        node: usize,
        machine: &str,
        orders: DirectOrders,
        sent_at: Micros,
    ) -> DirectReply {
        let now = self.now;
        let unreachable = self.workers.get(machine).is_none_or(|w| w.dead);
        if unreachable {
            return DirectReply::NotSent;
        }
        let blocked = self.workers.get(machine).is_some_and(|w| {
            w.partitioned_until > now
                || w.hung_until > now
                || w.not_receiving_until > now
                || self.are_zones_partitioned(self.controller_zones[node], &w.zone)
        });
        let p = self.fault_profile.delayed_orders;
        if !blocked && self.chance(p) {
            self.record_fault("delayed_orders");
            let machine = machine.to_owned();
            self.schedule_within(S, 8 * S, SimEvent::LateOrders { machine, orders, sent_at });
            return DirectReply::Unclear;
        }
        if blocked || self.is_message_lost() {
            if self.rng.random_bool(0.7) {
                let machine = machine.to_owned();
                self.schedule_within(MS, 60 * S, SimEvent::LateOrders { machine, orders, sent_at });
            }
            return DirectReply::Unclear;
        }
        let reply = self.execute_orders(machine, orders, sent_at);
        if self.is_message_lost() { DirectReply::Unclear } else { reply }
    }

    /// Executes orders that arrive at the worker's address, if token and session match.
    pub(super) fn execute_orders(
        &mut self,
        machine: &str,
        orders: DirectOrders,
        sent_at: Micros,
    ) -> DirectReply {
        let (now, lease) = (self.now, self.worker_lease());
        let Some(w) = self.workers.get_mut(machine) else { return DirectReply::NotSent };
        if w.dead {
            return DirectReply::NotSent;
        }
        self.coverage.tasks_lost_to_lease_expiry += w.expire_lease(now, lease);
        w.tally += 1;
        if orders.token < w.token || orders.session != w.session {
            let is_started = |order: &Order| match order {
                Order::Start { task, attempt } => {
                    let here = TaskId::parse(task).and_then(|id| w.tasks.get(&id));
                    here.is_some_and(|t| t.attempt == *attempt && t.state != TaskState::Ended)
                }
                _ => false,
            };
            self.coverage.rejected_but_started += u32::from(orders.orders.iter().any(is_started));
            return DirectReply::Rejected(Box::new(w.build_report(machine, now)));
        }
        if orders.token > w.token {
            w.next_report_at = w.next_report_at.min(now + Micros::from_millis(500));
        }
        w.token = orders.token;
        let supply =
            self.machine_types.iter().find(|t| t.name == w.kind).map(MachineType::supply).unwrap_or_default();
        for order in orders.orders {
            self.execute_order(machine, order, supply, sent_at);
        }
        DirectReply::Done(Box::new(self.workers[machine].build_report(machine, now)))
    }

    /// Handles the answer to a report; `None` if it was lost.
    pub(super) fn handle_report_answer(
        &mut self,
        name: String,
        session: u64,
        tally: u64,
        answer: Option<Answer>,
        answered_at: Micros,
    ) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(&name) else { return };
        // Ignores answers after the worker's timeout and answers for an earlier session.
        let Some((s, t, sent_at)) = w.report_in_flight else { return };
        if (s, t) != (session, tally)
            || w.session != session
            || now.since(sent_at) > Micros::from_secs(4)
            || w.dead
            || w.hung_until > now
            || w.not_receiving_until > now
        {
            if w.not_receiving_until > now {
                self.record_fault("not_receiving");
            }
            return;
        }
        let Some(answer) = answer else { return };
        w.report_in_flight = None;
        match answer {
            Answer::Orders(ReportAnswer { token, orders }) => {
                if token < w.token {
                    return;
                }
                if token > w.token {
                    w.next_report_at = now + Micros::from_millis(500);
                }
                w.token = token;
                w.lease_renewed_at = sent_at;
                let supply = self
                    .machine_types
                    .iter()
                    .find(|t| t.name == w.kind)
                    .map(MachineType::supply)
                    .unwrap_or_default();
                for order in orders {
                    self.execute_order(&name, order, supply, answered_at);
                }
            }
            Answer::Redirect(Some(member)) => {
                w.target_controller = self.settings.iter().position(|s| s.member == member).unwrap_or(0);
                w.next_report_at = now + Micros(self.rng.random_range(0..500 * MS));
            }
            _ => {
                w.target_controller = (w.target_controller + 1) % self.settings.len();
                w.next_report_at = now + Micros::from_secs(1);
            }
        }
    }

    /// Executes one order on a machine; `ordered_at` is when it left its controller.
    pub(super) fn execute_order(&mut self, name: &str, order: Order, supply: Resources, ordered_at: Micros) {
        let now = self.now;
        let fetch = Micros(self.rng.random_range(100 * MS..3 * S));
        match order {
            Order::Start { task, attempt } => {
                let id = TaskId::parse(&task).unwrap();
                let Some(user_job) = self.jobs.get(&id.job) else { panic!("{task} was never submitted") };
                let Some(spec) = user_job.spec.clone() else { panic!("{task} is unknown") };
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
                let new_task = WorkerTask {
                    attempt,
                    state: if fits { TaskState::Fetching } else { TaskState::Ended },
                    cause: (!fits).then_some(Cause::NoRoom),
                    state_until: now + fetch,
                    ordered_at,
                    arrived_at: now,
                };
                w.tasks.insert(id, new_task);
            }
            Order::Stop { task, attempt, grace_s } => {
                let id = TaskId::parse(&task).unwrap();
                let save = self.jobs.get(&id.job).and_then(|j| j.spec.as_ref()).map_or(0.0, |s| s.save_s);
                let w = self.workers.get_mut(name).unwrap();
                if let Some(t) = w.tasks.get_mut(&id)
                    && t.attempt == attempt
                    && t.state != TaskState::Ended
                {
                    self.stopped_tasks.push(id);
                    if t.state == TaskState::Running && grace_s >= save && save > 0.0 {
                        (t.state, t.state_until) = (TaskState::Saving, now + Micros::from_secs_f64(save));
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
