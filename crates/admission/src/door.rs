//! Rate limiting of job submissions at one controller.
//!
//! Without a shortage every submission is admitted. When writes to the state service are short, each flow has a rate,
//! and a submission that exceeds it is told when to retry: it gets a *retry slot*. The slots are sent to all
//! controllers, so that each gives the same answer, and a submission that comes back in its slot is admitted before
//! new ones.

use std::collections::{HashMap, VecDeque};

use bitcode::{Decode, Encode};
use marblewalk_units::Micros;
use xxhash_rust::xxh3::xxh3_64;

use crate::flows::{self, Flow, Flows};

/// No submission is admitted that would wait longer than this for the state service, and none that is ahead of its
/// flow's rate where the wait is more than half of this: a user would rather wait a second for an answer than be turned
/// away for a second.
pub const MOST_BEHIND: Micros = Micros::from_millis(1_200);
const HALF_BEHIND: Micros = Micros(MOST_BEHIND.0 / 2);
/// How far ahead of its rate a flow's submissions are admitted, so that a short burst is not treated as a shortage.
const BURST: Micros = Micros::from_secs(1);
/// The shortest and the longest time to a retry slot. Users repeat a request for 60 s, and wait at most 30 s before
/// they do.
const SOONEST: Micros = Micros::from_secs(1);
const LATEST: Micros = Micros::from_secs(30);
/// The part of a flow's rate that retry slots may use. It is below 1 because retries reach controllers at random.
const FILLED: f64 = 0.85;
/// How much earlier than its slot a retry is accepted, to allow for clock differences and rounding.
const EARLY: Micros = Micros::from_millis(1_200);
/// How long a retry slot is kept after its time.
const KEPT: Micros = Micros::from_secs(60);
/// The most retry slots that are kept, and that are sent to the other controllers in one message.
const MOST_APPOINTMENTS: usize = 8_192;
const MOST_TOLD: usize = 256;

/// Why a submission was turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its retry slot is still to come.
    Early,
    /// Its flow has used up its share.
    Share,
    /// The queue for the state service is too long for any submission.
    Behind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Take,
    /// Not admitted: the submission may be retried after this time.
    Turned(Reason, Micros),
}

/// What this controller can admit at present.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Submissions per second that this controller can record.
    pub per_s: f64,
    /// How long the next submission would wait in the queue for the state service.
    pub behind: Micros,
}

/// A retry slot as it is sent to the other controllers: the hash of the job's id, and the time until the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Appointment {
    pub id: u64,
    pub due_in: Micros,
}

/// The submission rate limiter of one controller.
#[derive(Debug, Default)]
pub struct Door {
    pub flows: Flows,
    /// The fraction of each flow that the plan in force admits; none without a plan.
    planned: Option<HashMap<Flow, f64>>,
    due: HashMap<u64, Micros>,
    /// Slots in the order in which they were made.
    order: VecDeque<(Micros, u64)>,
    untold: VecDeque<u64>,
    /// Since when users' queries for a job have been turned away, by the hash of its id.
    unanswered: HashMap<u64, Micros>,
    asked: VecDeque<(Micros, u64)>,
}

impl Door {
    /// Sets the fraction of each flow that a plan admits; none if no plan is in force.
    pub fn follow(&mut self, plan: Option<&[(Flow, f64)]>) {
        self.planned = plan.map(|parts| parts.iter().cloned().collect());
    }

    /// Decides on a submission. One that is admitted must be recorded now.
    pub fn offer(&mut self, now: Micros, id: &str, team: &str, class: &str, capacity: Capacity) -> Verdict {
        self.forget(now);
        let hash = xxh3_64(id.as_bytes());
        let due = self.due.get(&hash).copied();
        let rate = self.rate_of(now, team, class, capacity.per_s);
        let row = self.flows.row(team, class);
        row.offered += 1;
        if due.is_none() {
            row.rate.add(now, 1.0);
        }
        let verdict = match due {
            Some(due) if now + EARLY < due => Verdict::Turned(Reason::Early, due.since(now)),
            // It comes back in its retry slot.
            Some(_) if capacity.behind <= MOST_BEHIND => Verdict::Take,
            Some(_) => Verdict::Turned(Reason::Behind, SOONEST.max(capacity.behind)),
            None => {
                let gap = Micros::from_secs_f64(1.0 / (rate * FILLED).max(1e-3));
                let turn = row.next.max(now);
                // A flow within its share does not wait for those that exceed theirs.
                let most = if turn == now { MOST_BEHIND } else { HALF_BEHIND };
                if capacity.behind <= most && turn.since(now) <= BURST {
                    row.next = turn + gap;
                    Verdict::Take
                } else if capacity.behind <= Micros(HALF_BEHIND.0 / 2) {
                    // The queue is short: no other flow needs the capacity.
                    row.next = turn;
                    Verdict::Take
                } else {
                    // The present queue also delays the submissions that come back.
                    let turn = turn.max(now + capacity.behind).min(now + LATEST);
                    row.next = turn + gap;
                    let reason = if capacity.behind <= most { Reason::Share } else { Reason::Behind };
                    Verdict::Turned(reason, turn.since(now).max(SOONEST))
                }
            }
        };
        match verdict {
            Verdict::Take => {
                row.taken += 1;
                self.due.remove(&hash);
            }
            Verdict::Turned(_, wait) => {
                row.turned_away += 1;
                if due.is_none() {
                    self.appoint(hash, now + wait);
                    self.untold.push_back(hash);
                    // Without other controllers the queue of unsent slots is never drained.
                    if self.untold.len() > MOST_APPOINTMENTS {
                        self.untold.pop_front();
                    }
                }
            }
        }
        verdict
    }

    /// The rate of a flow at this controller: by the plan in force, or else by what is submitted here.
    fn rate_of(&self, now: Micros, team: &str, class: &str, per_s: f64) -> f64 {
        let flow = Flow { team: team.to_owned(), class: class.to_owned() };
        let offered = self.flows.offered(now);
        if let Some(part) = self.planned.as_ref().and_then(|p| p.get(&flow))
            && let Some((_, rate)) = offered.iter().find(|(f, _)| *f == flow)
        {
            return rate * part;
        }
        let rates = flows::divide(&offered, per_s);
        // A flow that has not been seen yet gets what an equal division would leave it.
        let fair = per_s / (offered.len() + 1) as f64;
        rates.into_iter().find(|(f, _)| *f == flow).map_or(fair, |(_, rate)| rate.max(fair))
    }

    fn appoint(&mut self, id: u64, due: Micros) {
        self.due.insert(id, due);
        self.order.push_back((due, id));
        if self.due.len() > MOST_APPOINTMENTS
            && let Some((_, oldest)) = self.order.pop_front()
        {
            self.due.remove(&oldest);
        }
    }

    fn forget(&mut self, now: Micros) {
        while self.order.front().is_some_and(|(due, _)| *due + KEPT < now) {
            if let Some((due, id)) = self.order.pop_front()
                && self.due.get(&id) == Some(&due)
            {
                self.due.remove(&id);
            }
        }
        while self.asked.front().is_some_and(|(at, _)| *at + KEPT < now) {
            if let Some((at, id)) = self.asked.pop_front()
                && self.unanswered.get(&id) == Some(&at)
            {
                self.unanswered.remove(&id);
            }
        }
    }

    /// Takes the slots made since the last call, to be sent to the other controllers.
    pub fn tell(&mut self, now: Micros) -> Vec<Appointment> {
        let n = self.untold.len().min(MOST_TOLD);
        let told = self.untold.drain(..n);
        told.filter_map(|id| Some(Appointment { id, due_in: self.due.get(&id)?.since(now) })).collect()
    }

    /// Adds another controller's slots. Of two slots of one job the later is kept, as the user was told it last.
    pub fn told(&mut self, now: Micros, appointments: &[Appointment]) {
        for a in appointments {
            let due = now + a.due_in.min(LATEST);
            if self.due.get(&a.id).is_none_or(|known| *known < due) {
                self.appoint(a.id, due);
            }
        }
    }

    /// Since when a job's user has queried it without an answer; now, if this is the first query. When there are more
    /// queries than can be answered, those that have waited longest go first.
    pub fn asked(&self, now: Micros, id: &str) -> Micros {
        self.unanswered.get(&xxh3_64(id.as_bytes())).copied().unwrap_or(now)
    }

    /// Notes that a query for a job was turned away.
    pub fn unanswered(&mut self, now: Micros, id: &str) {
        self.forget(now);
        let hash = xxh3_64(id.as_bytes());
        if self.unanswered.len() < MOST_APPOINTMENTS && !self.unanswered.contains_key(&hash) {
            self.unanswered.insert(hash, now);
            self.asked.push_back((now, hash));
        }
    }

    /// Notes that a query for a job was answered.
    pub fn answered(&mut self, id: &str) {
        self.unanswered.remove(&xxh3_64(id.as_bytes()));
    }

    /// The number of retry slots still to come.
    pub fn appointments(&self) -> usize {
        self.due.len()
    }
}

#[cfg(test)]
mod tests {
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    use super::*;

    /// A user as the protocol describes it: repeats a request after the time it is told, for 60 s.
    struct User {
        id: String,
        class: &'static str,
        first: Micros,
        next: Micros,
        turned: u32,
        taken: Option<Micros>,
    }

    /// Simulates several controllers, which restart now and then, under ten times the submissions that they can record.
    fn rush(seed: u64) -> Vec<User> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut doors: Vec<Door> = (0..4).map(|_| Door::default()).collect();
        let mut queues = [0.0f64; 4];
        let per_s = 2.0;
        let mut users: Vec<User> = Vec::new();
        for ms in (0..150_000u64).step_by(50) {
            let now = Micros::from_millis(ms);
            let rush = (20_000..30_000).contains(&ms);
            for (class, odds) in [("flood", if rush { 0.99 } else { 0.0 }), ("quiet", 0.025)] {
                if ms < 80_000 && rng.random_bool(odds) {
                    let id = format!("j-{:06}", users.len());
                    users.push(User { id, class, first: now, next: now, turned: 0, taken: None });
                }
            }
            for q in &mut queues {
                *q = (*q - per_s * 0.05).max(0.0);
            }
            if rng.random_bool(0.001) {
                let n = rng.random_range(0..4);
                (doors[n], queues[n]) = (Door::default(), 0.0);
            }
            if ms % 500 == 0 {
                for n in 0..4 {
                    let told = doors[n].tell(now);
                    (0..4).filter(|m| *m != n).for_each(|m| doors[m].told(now, &told));
                }
            }
            let patient = |u: &User| now.since(u.first) < Micros::from_secs(60);
            for u in users.iter_mut().filter(|u| u.taken.is_none() && u.next <= now && patient(u)) {
                let n = rng.random_range(0..4);
                let capacity = Capacity { per_s, behind: Micros::from_secs_f64(queues[n] / per_s) };
                match doors[n].offer(now, &u.id, "red", u.class, capacity) {
                    Verdict::Take => {
                        queues[n] += 1.0;
                        u.taken = Some(now);
                    }
                    Verdict::Turned(_, wait) => {
                        assert!(wait >= SOONEST && wait <= LATEST + MOST_BEHIND, "{wait:?}");
                        u.turned += 1;
                        u.next = now + wait;
                    }
                }
                // What is admitted is recorded within the time that users wait for an answer.
                assert!(queues[n] / per_s < 3.0, "seed {seed}: {} s behind", queues[n] / per_s);
            }
        }
        users
    }

    /// Guards each class's share: however many submissions of other classes come, those of the quiet class are admitted
    /// at once or nearly so, and all others within the time that users keep trying, at few attempts.
    #[test]
    fn a_rush_of_one_class_keeps_out_nobody_and_few_come_often() {
        for seed in 0..20 {
            let users = rush(seed);
            let taken = users.iter().filter(|u| u.taken.is_some()).count();
            assert!(taken * 100 >= users.len() * 97, "seed {seed}: {taken} of {}", users.len());
            for u in users.iter().filter(|u| u.class == "quiet") {
                assert!(u.turned <= 3, "seed {seed}: {} was turned away {} times", u.id, u.turned);
            }
            let often = users.iter().filter(|u| u.turned > 3).count();
            assert!(often * 20 <= users.len(), "seed {seed}: {often} of {} came often", users.len());
        }
    }

    /// Guards against gaming: a submission has one retry slot at all controllers, and in it goes before new
    /// submissions.
    #[test]
    fn nobody_wins_by_asking_another_controller() {
        let mut doors = [Door::default(), Door::default(), Door::default()];
        let now = Micros::from_secs(100);
        let full = Capacity { per_s: 2.0, behind: Micros::from_secs(3) };
        let Verdict::Turned(Reason::Behind, wait) = doors[0].offer(now, "j-1", "red", "any", full) else {
            panic!("let in");
        };
        let told = doors[0].tell(now);
        let later = now + Micros::from_millis(500);
        for door in &mut doors[1..] {
            door.told(now, &told);
            let free = Capacity { per_s: 2.0, behind: Micros::ZERO };
            let verdict = door.offer(later, "j-1", "red", "any", free);
            assert_eq!(verdict, Verdict::Turned(Reason::Early, wait - Micros::from_millis(500)));
            // In its slot it is admitted, where a new submission is not.
            let busy = Capacity { per_s: 2.0, behind: MOST_BEHIND };
            door.offer(now + wait, "j-2", "red", "any", busy);
            assert!(matches!(door.offer(now + wait, "j-3", "red", "any", busy), Verdict::Turned(..)));
            assert_eq!(door.offer(now + wait, "j-1", "red", "any", busy), Verdict::Take);
        }
    }

    /// Guards against unbounded memory: retry slots and rejected queries are bounded, and past ones are removed.
    #[test]
    fn what_is_remembered_stays_bounded() {
        let mut door = Door::default();
        let full = Capacity { per_s: 1.0, behind: Micros::from_secs(3) };
        for n in 0..50_000u64 {
            let now = Micros::from_millis(n);
            door.offer(now, &format!("j-{n}"), "red", &format!("c-{}", n % 1_000), full);
            door.unanswered(now, &format!("j-{n}"));
            assert!(door.appointments() <= MOST_APPOINTMENTS);
        }
        assert!(door.unanswered.len() <= MOST_APPOINTMENTS && door.untold.len() <= MOST_APPOINTMENTS);
        door.offer(Micros::from_secs(400), "j-1", "red", "any", full);
        assert_eq!((door.appointments(), door.unanswered.len()), (1, 0));
    }
}
