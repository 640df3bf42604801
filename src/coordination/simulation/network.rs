//! Simulated network between controllers, and from them to the store, the cloud, workers and users.

use super::*;

/// A request that a controller has not answered yet.
pub(super) enum PendingRequest {
    Report { machine: String, session: u64, tally: u64 },
    User { job: String, withdraw: bool, sent_at: Micros, deadline: Micros },
}

impl World {
    /// Lets a controller handle an event; the effects are delayed if it is paused before sending.
    pub(super) fn deliver_event(&mut self, node: usize, event: Event) {
        let clock = self.local_time(node);
        let Some(controller) = &mut self.controllers[node] else { return };
        let effects = controller.handle(clock, event);
        let fault = TimedFault::PausedBeforeSending(node);
        if self.is_active(fault) && !effects.is_empty() {
            self.record_fault("stalls_before_sending");
            let (incarnation, until) = (self.incarnations[node], self.active_until(fault));
            self.send_stalled_until[node] = until;
            return self.schedule_at(until, SimEvent::DelayedEffects { node, incarnation, effects });
        }
        self.apply_effects(node, effects);
    }

    /// Counts a confirmation of a status that this process has never sent.
    pub(super) fn count_unsolicited_confirmation(&mut self, node: usize, event: &Event) {
        let last_sent = self.controllers[node].as_ref().map_or(u64::MAX, |c| c.status_sequence);
        if let Event::Peer(_, PeerMessage::StatusConfirmation { sequence, .. }) = event {
            self.coverage.unsolicited_confirmations += u32::from(*sequence > last_sent);
        }
    }

    /// Until when a controller handles no events.
    pub(super) fn paused_until(&self, node: usize) -> Micros {
        self.active_until(TimedFault::ControllerPaused(node)).max(self.send_stalled_until[node])
    }

    /// Carries out the effects that a controller has decided on.
    pub(super) fn apply_effects(&mut self, node: usize, effects: Vec<Effect>) {
        let incarnation = self.incarnations[node];
        for effect in effects {
            match effect {
                Effect::Store(id, call) => {
                    self.schedule_within(MS, 12 * MS, SimEvent::StoreCall { node, incarnation, id, call })
                }
                Effect::Cloud(id, call) => self.schedule_within(
                    50 * MS,
                    200 * MS,
                    SimEvent::CloudCall { node, incarnation, id, call },
                ),
                Effect::Orders { machine, addr, orders } => {
                    assert_eq!(addr, machine, "orders to another address than the machine's");
                    let sent_at = self.now;
                    let starts = orders.orders.iter().any(|o| matches!(o, Order::Start { .. }));
                    let delay = if starts { self.start_order_delay.clone() } else { MS..5 * MS };
                    let event = SimEvent::Orders { node, incarnation, machine, orders, sent_at };
                    self.schedule_within(delay.start, delay.end, event);
                }
                Effect::Send(to, message) => self.send_peer_message(node, to, message),
                Effect::Answer(request, answer) => self.deliver_answer(node, incarnation, request, answer),
            }
        }
    }

    /// Whether messages of one controller don't reach the other.
    pub(super) fn are_partitioned(&self, from: usize, to: usize) -> bool {
        self.is_active(TimedFault::AllPartitioned)
            || self.is_active(TimedFault::Isolated(from))
            || self.is_active(TimedFault::Isolated(to))
            || self.is_active(TimedFault::Partitioned(from, to))
            || self.is_active(TimedFault::Partitioned(to, from))
            || self.are_zones_partitioned(self.controller_zones[from], self.controller_zones[to])
    }

    /// Whether two zones differ and one of them is cut off.
    ///
    /// The empty zone "" stands for the location of users, the cloud and the store.
    pub(super) fn are_zones_partitioned(&self, a: &str, b: &str) -> bool {
        a != b && [a, b].iter().any(|zone| self.zone_partitioned_until(zone) > self.now)
    }

    /// The extra link delay of an event that stands for a message between controllers, users and workers.
    pub(super) fn extra_delay(&mut self, event: &SimEvent) -> Micros {
        let uses_link = match event {
            SimEvent::ToController { event, .. } => !matches!(event, Event::Store(..) | Event::Cloud(..)),
            SimEvent::ReportAnswered { .. } | SimEvent::UserAnswered { .. } | SimEvent::Orders { .. } => true,
            _ => false,
        };
        if uses_link { self.random_link_delay() } else { Micros::ZERO }
    }

    fn random_link_delay(&mut self) -> Micros {
        let slow = !self.extra_link_delay.is_empty()
            && self.now < self.fault_free_from
            && self.record_fault("slow_links");
        Micros(if slow { self.rng.random_range(self.extra_link_delay.clone()) } else { 0 })
    }

    /// Sends a message to the named controller, or to all others.
    pub(super) fn send_peer_message(&mut self, from: usize, to: Option<String>, message: PeerMessage) {
        for other in 0..self.settings.len() {
            let addressed = to.as_ref().is_none_or(|t| *t == self.settings[other].member);
            let partitioned = self.are_partitioned(from, other);
            if other == from || !addressed || !partitioned && self.is_message_lost() {
                continue;
            }
            // Messages between two controllers share a connection and keep their order.
            let mut delay = Micros(2 * MS) + self.random_link_delay();
            if partitioned {
                self.record_fault("peers_partitioned");
                let Some(arrives_at) = self.held_message_arrival(from, other) else { continue };
                delay = arrives_at.since(self.now);
                self.coverage.late_peer_messages += u32::from(delay > Micros::from_secs(5));
            }
            let event = Event::Peer(self.settings[from].member.clone(), message.clone());
            let incarnation = self.incarnations[other];
            let arrival = self.last_peer_arrival.entry((from, other)).or_default();
            *arrival = (self.now + delay).max(*arrival);
            let at = *arrival;
            self.schedule_at(at, SimEvent::ToController { node: other, incarnation, event });
        }
    }

    /// Reports refused connections to a controller.
    ///
    /// A controller that is down refuses connections; during a partition a packet filter does so too.
    pub(super) fn deliver_connection_refusals(&mut self, node: usize) {
        for other in (0..self.settings.len()).filter(|o| *o != node) {
            if self.are_partitioned(node, other) || self.controllers[other].is_none() {
                let member = self.settings[other].member.clone();
                self.deliver_event(node, Event::ConnectionRefused(member));
            }
        }
    }

    /// Sends a controller's answer to the worker or user that made the request.
    pub(super) fn deliver_answer(
        &mut self,
        node: usize,
        incarnation: u64,
        request: RequestId,
        answer: Answer,
    ) {
        match self.pending_requests.remove(&(node, incarnation, request)) {
            Some(PendingRequest::Report { machine, session, tally }) => {
                let zone = self.workers.get(&machine).map_or("", |w| w.zone.as_str());
                let partitioned = self.are_zones_partitioned(self.controller_zones[node], zone)
                    && self.record_fault("zone_cut");
                let answer = (!self.is_message_lost() && !partitioned).then_some(answer);
                let answered_at = self.now;
                let answered = SimEvent::ReportAnswered { machine, session, tally, answer, answered_at };
                self.schedule_within(MS, 30 * MS, answered);
            }
            // A user gives up after its deadline and receives no answer.
            Some(PendingRequest::User { job, withdraw, sent_at, deadline })
                if self.now <= deadline
                    && !self.are_zones_partitioned(self.controller_zones[node], "")
                    && !self.is_message_lost() =>
            {
                let answered_at = self.now;
                let answered =
                    SimEvent::UserAnswered { job, withdraw, answer, answered_by: node, sent_at, answered_at };
                self.schedule_within(MS, 5 * MS, answered);
            }
            _ => {}
        }
    }
}
