//! What carries messages between controllers, and from them to everyone else.

use super::*;

pub(super) enum Asked {
    Report { machine: String, session: u64, tally: u64 },
    User { job: String, withdraw: bool, sent: Micros, until: Micros },
}

impl World {
    pub(super) fn tell(&mut self, node: usize, event: Event) {
        let clock = self.clock(node);
        let Some(controller) = &mut self.controllers[node] else { return };
        let effects = controller.handle(clock, event);
        let stalls = Spell::StallsBeforeSending(node);
        if self.under(stalls) && !effects.is_empty() {
            self.meets("stalls_before_sending");
            let (life, until) = (self.lives[node], self.until(stalls));
            self.stalled_until[node] = until;
            return self.at(until, Happening::Leaves { node, life, effects });
        }
        self.carry_out(node, effects);
    }

    /// Counts a confirmation of a status that this process has never sent.
    pub(super) fn note_unasked(&mut self, node: usize, event: &Event) {
        let sent = self.controllers[node].as_ref().map_or(u64::MAX, |c| c.status_sequence);
        if let Event::Peer(_, PeerMessage::StatusConfirmation { sequence, .. }) = event {
            self.met.unasked_confirmations += u32::from(*sequence > sent);
        }
    }

    /// Until when a controller takes no event.
    pub(super) fn still_until(&self, node: usize) -> Micros {
        self.until(Spell::StandsStill(node)).max(self.stalled_until[node])
    }

    /// What a controller has decided leaves it.
    pub(super) fn carry_out(&mut self, node: usize, effects: Vec<Effect>) {
        let life = self.lives[node];
        for effect in effects {
            match effect {
                Effect::Store(id, call) => {
                    self.soon(MS, 12 * MS, Happening::StoreCall { node, life, id, call })
                }
                Effect::Cloud(id, call) => {
                    self.soon(50 * MS, 200 * MS, Happening::CloudCall { node, life, id, call })
                }
                Effect::Orders { machine, addr, orders } => {
                    assert_eq!(addr, machine, "an address is made up");
                    let sent = self.now;
                    let starts = orders.orders.iter().any(|o| matches!(o, Order::Start { .. }));
                    let take = if starts { self.starts_take.clone() } else { MS..5 * MS };
                    let what = Happening::Orders { node, life, machine, orders, sent };
                    self.soon(take.start, take.end, what);
                }
                Effect::Send(to, message) => self.send(node, to, message),
                Effect::Answer(request, answer) => self.answered(node, life, request, answer),
            }
        }
    }

    pub(super) fn cut(&self, from: usize, to: usize) -> bool {
        self.under(Spell::AllApart)
            || self.under(Spell::Isolated(from))
            || self.under(Spell::Isolated(to))
            || self.under(Spell::Apart(from, to))
            || self.under(Spell::Apart(to, from))
            || self.zone_cut(self.controller_zones[from], self.controller_zones[to])
    }

    /// Whether a zone is cut off that one of the two lies in and the other does not. No zone, "", is where users, the
    /// cloud and the store are.
    pub(super) fn zone_cut(&self, a: &str, b: &str) -> bool {
        a != b && [a, b].iter().any(|zone| self.zone_cut_until(zone) > self.now)
    }

    /// How much longer than else a message is on its way.
    pub(super) fn on_its_way(&mut self, what: &Happening) -> Micros {
        let linked = match what {
            Happening::ToController { event, .. } => !matches!(event, Event::Store(..) | Event::Cloud(..)),
            Happening::ReportAnswered { .. } | Happening::UserAnswered { .. } | Happening::Orders { .. } => {
                true
            }
            _ => false,
        };
        if linked { self.link() } else { Micros::ZERO }
    }

    fn link(&mut self) -> Micros {
        let slow = !self.links.is_empty() && self.now < self.calm_after && self.meets("slow_links");
        Micros(if slow { self.rng.random_range(self.links.clone()) } else { 0 })
    }

    pub(super) fn send(&mut self, from: usize, to: Option<String>, message: PeerMessage) {
        for other in 0..self.settings.len() {
            let named = to.as_ref().is_none_or(|t| *t == self.settings[other].member);
            let cut = self.cut(from, other);
            if other == from || !named || !cut && self.lost() {
                continue;
            }
            // Messages between two controllers share a connection and keep their order.
            let mut delay = Micros(2 * MS) + self.link();
            if cut {
                self.meets("peers_partitioned");
                let Some(until) = self.held_until(from, other) else { continue };
                delay = until.since(self.now);
                self.met.late_words += u32::from(delay > Micros::from_secs(5));
            }
            let event = Event::Peer(self.settings[from].member.clone(), message.clone());
            let life = self.lives[other];
            let last = self.last_words.entry((from, other)).or_default();
            *last = (self.now + delay).max(*last);
            let at = *last;
            self.at(at, Happening::ToController { node: other, life, event });
        }
    }

    /// A controller that has ended refuses connections; now and then a packet filter does so too.
    pub(super) fn refusals(&mut self, node: usize) {
        for other in (0..self.settings.len()).filter(|o| *o != node) {
            if self.cut(node, other) || self.controllers[other].is_none() {
                let member = self.settings[other].member.clone();
                self.tell(node, Event::ConnectionRefused(member));
            }
        }
    }

    pub(super) fn answered(&mut self, node: usize, life: u64, request: RequestId, answer: Answer) {
        match self.requests.remove(&(node, life, request)) {
            Some(Asked::Report { machine, session, tally }) => {
                let zone = self.workers.get(&machine).map_or("", |w| w.zone.as_str());
                let cut = self.zone_cut(self.controller_zones[node], zone) && self.meets("zone_cut");
                let answer = (!self.lost() && !cut).then_some(answer);
                let given = self.now;
                let answered = Happening::ReportAnswered { machine, session, tally, answer, given };
                self.soon(MS, 30 * MS, answered);
            }
            // A user who has waited too long has gone, and hears no answer.
            Some(Asked::User { job, withdraw, sent, until })
                if self.now <= until && !self.zone_cut(self.controller_zones[node], "") && !self.lost() =>
            {
                let given = self.now;
                let answered = Happening::UserAnswered { job, withdraw, answer, by: node, sent, given };
                self.soon(MS, 5 * MS, answered);
            }
            _ => {}
        }
    }
}
