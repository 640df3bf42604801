//! State that all parts of a run share: its clock, the simulated services, the active faults and the history.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::fleet::Fleet;
use crate::history::{History, Ms};
use crate::schedule::{Cut, Fault};
use crate::state_service::Store;

/// The addresses of a controller.
#[derive(Clone, Debug)]
pub struct Address {
    pub api: String,
    pub internal: String,
}

/// The faults that are active now.
#[derive(Default)]
pub struct Faults {
    last_number: u64,
    active: Vec<(u64, Fault)>,
}

impl Faults {
    /// Activates a fault and returns its number, with which it is ended.
    pub fn begin(&mut self, fault: Fault) -> u64 {
        self.last_number += 1;
        self.active.push((self.last_number, fault));
        self.last_number
    }

    pub fn end(&mut self, number: u64) {
        self.active.retain(|(n, _)| *n != number);
    }

    fn is_active(&self, matches_fault: impl Fn(&Fault) -> bool) -> bool {
        self.active.iter().any(|(_, fault)| matches_fault(fault))
    }

    /// Whether the state service rejects the controller's calls.
    pub fn store_refuses(&self, node: usize) -> bool {
        self.is_active(|f| matches!(f, Fault::StoreRefuses { node: n } if n.is_none_or(|n| n == node)))
    }

    /// Whether some of the controller's calls to the state service get no answer.
    pub fn store_drops_calls(&self, node: usize) -> bool {
        self.is_active(|f| matches!(f, Fault::StoreLoses { node: n } if *n == node))
    }

    /// Whether workers' reports to the controller are lost.
    pub fn worker_reports_cut(&self, node: usize) -> bool {
        self.is_active(|f| matches!(f, Fault::Workers { node: n } if *n == node))
    }

    pub fn late_commands(&self) -> bool {
        self.is_active(|f| *f == Fault::LateCommands)
    }

    pub fn repeated_commands(&self) -> bool {
        self.is_active(|f| *f == Fault::RepeatedCommands)
    }

    pub fn late_reports(&self) -> bool {
        self.is_active(|f| *f == Fault::LateReports)
    }

    /// How the link from one controller to another is interrupted, if it is. `Reset` takes precedence over `Hold`.
    pub fn link_cut(&self, from: usize, to: usize) -> Option<Cut> {
        let cuts = self.active.iter().filter_map(|(_, fault)| match fault {
            Fault::Peers { from: f, to: t, how } if (*f, *t) == (from, to) => Some(*how),
            Fault::Alone { node, how } if [from, to].contains(node) => Some(*how),
            _ => None,
        });
        cuts.max_by_key(|cut| *cut == Cut::Reset)
    }
}

/// Shared state of one run.
pub struct Rig {
    start: Instant,
    pub seed: u64,
    pub nodes: Vec<Address>,
    pub history: Mutex<History>,
    pub store: Mutex<Store>,
    /// Notified when the contents of the store change.
    pub store_changed: Notify,
    pub fleet: Mutex<Fleet>,
    pub faults: Mutex<Faults>,
    /// Largest delay of the rig behind its own schedule, in ms.
    max_delay: AtomicU64,
    /// Copies of answered direct orders that arrived at their workers, and those that the workers took.
    copies_arrived: AtomicU64,
    copies_taken: AtomicU64,
}

impl Rig {
    pub fn new(seed: u64, nodes: Vec<Address>, history: History, fleet: Fleet) -> Rig {
        Rig {
            start: Instant::now(),
            seed,
            nodes,
            history: Mutex::new(history),
            store: Mutex::default(),
            store_changed: Notify::new(),
            fleet: Mutex::new(fleet),
            faults: Mutex::default(),
            max_delay: AtomicU64::new(0),
            copies_arrived: AtomicU64::new(0),
            copies_taken: AtomicU64::new(0),
        }
    }

    /// Time since the start of the run, from a monotonic clock.
    pub fn now(&self) -> Ms {
        self.start.elapsed().as_millis() as Ms
    }

    pub async fn sleep_until(&self, at: Ms) {
        let remaining = at.saturating_sub(self.now());
        tokio::time::sleep(Duration::from_millis(remaining)).await;
    }

    /// Records the delay of an action of the rig that was due at `due` and starts now.
    pub fn record_delay(&self, due: Ms) {
        self.max_delay.fetch_max(self.now().saturating_sub(due), Ordering::Relaxed);
    }

    /// Counts a copy of answered direct orders that arrived at its worker.
    pub fn record_copy(&self, taken: bool) {
        self.copies_arrived.fetch_add(1, Ordering::Relaxed);
        self.copies_taken.fetch_add(u64::from(taken), Ordering::Relaxed);
    }

    /// The numbers of copies that arrived and that were taken.
    pub fn copies(&self) -> (u64, u64) {
        (self.copies_arrived.load(Ordering::Relaxed), self.copies_taken.load(Ordering::Relaxed))
    }

    pub fn max_delay(&self) -> Ms {
        self.max_delay.load(Ordering::Relaxed)
    }
}
