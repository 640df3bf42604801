//! Which jobs do not make use of what they are given.
//!
//! A job may have a volume, and its owner a share of the team's limit with room for it, and yet nothing of it starts: no
//! machine fits, or its zone is full. What it does not use would lie idle as long as that lasts. So the leader notes
//! since when a job could have started something and has not, and for a while counts on it no more.

use std::collections::BTreeMap;

use crate::protocol::units::Micros;

/// A job that starts nothing for so long, though nothing but machines keeps it from it, is stalled.
const STALLS_AFTER: Micros = Micros::from_secs(20);
/// For so long others come before it, unless it starts something.
const SET_ASIDE_FOR: Micros = Micros::from_secs(60);

/// Since when a job that is below its volume has started nothing.
#[derive(Clone, Copy, Debug)]
struct Short {
    started: u32,
    since: Micros,
}

/// What the leader knows of jobs below their volume. A new leader begins with nothing.
#[derive(Debug, Default)]
pub(crate) struct Stalls {
    short: BTreeMap<String, Short>,
    /// How many tasks stalled jobs had started, and until when they are set aside.
    stalled: BTreeMap<String, (u32, Micros)>,
}

impl Stalls {
    /// Takes in a job below its volume: how many of its tasks have been started, and whether its team's limit has room
    /// for one more at its owner.
    pub fn observe(&mut self, now: Micros, job: &str, started: u32, has_room: bool) {
        if self.stalled.get(job).is_some_and(|(then, until)| *then != started || *until <= now) {
            self.stalled.remove(job);
        }
        if !has_room {
            self.short.remove(job);
            return;
        }
        let fresh = Short { started, since: now };
        let short = self.short.entry(job.to_owned()).or_insert(fresh);
        if short.started != started {
            *short = fresh;
        }
        if now.since(short.since) >= STALLS_AFTER {
            *short = fresh;
            self.stalled.insert(job.to_owned(), (started, now + SET_ASIDE_FOR));
        }
    }

    /// Forgets jobs that are not below their volume any more.
    pub fn retain(&mut self, mut is_short: impl FnMut(&str) -> bool) {
        self.short.retain(|job, _| is_short(job));
        self.stalled.retain(|job, _| is_short(job));
    }

    /// Whether a job makes no use of what it is given.
    pub fn is_stalled(&self, job: &str) -> bool {
        self.stalled.contains_key(job)
    }
}

#[cfg(test)]
mod tests;
