//! Cache of jobs' final states, bounded in size. Final states never change, so a cached copy never becomes stale.

use std::collections::{HashMap, VecDeque};

use crate::protocol::job::FinalState;

/// Final states and numbers of tasks by job id. When it is full, the oldest entry is dropped.
#[derive(Debug)]
pub struct FinalStateCache {
    capacity: usize,
    states: HashMap<String, (FinalState, u32)>,
    insertion_order: VecDeque<String>,
}

impl FinalStateCache {
    pub fn new(capacity: usize) -> Self {
        FinalStateCache {
            capacity: capacity.max(1),
            states: HashMap::new(),
            insertion_order: VecDeque::new(),
        }
    }

    /// Whether adding an entry would drop the oldest one.
    pub fn is_full(&self) -> bool {
        self.states.len() >= self.capacity
    }

    pub fn get(&self, job: &str) -> Option<(FinalState, u32)> {
        self.states.get(job).copied()
    }

    pub fn insert(&mut self, job: &str, state: FinalState, tasks: u32) {
        if self.states.insert(job.to_owned(), (state, tasks)).is_none() {
            self.insertion_order.push_back(job.to_owned());
            if self.insertion_order.len() > self.capacity
                && let Some(oldest) = self.insertion_order.pop_front()
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
        let mut cache = FinalStateCache::new(3);
        for i in 0..10 {
            cache.insert(&format!("j-{i}"), FinalState::Done, 1);
        }
        assert_eq!(cache.get("j-6"), None);
        assert_eq!(cache.get("j-7"), Some((FinalState::Done, 1)));
        assert_eq!(cache.states.len(), cache.insertion_order.len());
    }
}
