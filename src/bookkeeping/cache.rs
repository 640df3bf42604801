//! Final states, bounded in memory. They never change, so any copy is right.

use std::collections::{HashMap, VecDeque};

use crate::protocol::job::FinalState;

#[derive(Debug)]
pub struct FinalCache {
    most: usize,
    states: HashMap<String, (FinalState, u32)>,
    order: VecDeque<String>,
}

impl FinalCache {
    pub fn new(most: usize) -> Self {
        FinalCache { most: most.max(1), states: HashMap::new(), order: VecDeque::new() }
    }

    /// For one more the oldest would have to go.
    pub fn full(&self) -> bool {
        self.states.len() >= self.most
    }

    pub fn get(&self, job: &str) -> Option<(FinalState, u32)> {
        self.states.get(job).copied()
    }

    pub fn insert(&mut self, job: &str, state: FinalState, tasks: u32) {
        if self.states.insert(job.to_owned(), (state, tasks)).is_none() {
            self.order.push_back(job.to_owned());
            if self.order.len() > self.most
                && let Some(oldest) = self.order.pop_front()
            {
                self.states.remove(&oldest);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_cache_is_bounded_and_drops_the_oldest() {
        let mut cache = FinalCache::new(3);
        for i in 0..10 {
            cache.insert(&format!("j-{i}"), FinalState::Done, 1);
        }
        assert_eq!(cache.get("j-6"), None);
        assert_eq!(cache.get("j-7"), Some((FinalState::Done, 1)));
        assert_eq!(cache.states.len(), cache.order.len());
    }
}
