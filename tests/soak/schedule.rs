//! The faults of a run, generated from its seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::history::Ms;

/// How a link between two controllers is interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Messages are held back and delivered when the fault is over.
    Hold,
    /// Connections are reset, and new ones are refused.
    Reset,
}

/// A fault. The names are printed in the schedule of a failed run.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A controller is killed and restarted after `away` ms.
    Kill { node: usize, away: Ms },
    /// The current leader is killed and restarted after `away` ms.
    KillLeader { away: Ms },
    /// All controllers are killed and restarted after `away` ms.
    KillAll { away: Ms },
    /// A controller's process is paused.
    Pause { node: usize },
    /// The state service rejects all calls of one controller, or of every controller.
    StoreRefuses { node: Option<usize> },
    /// A fraction of a controller's calls to the state service get no answer; of the transactions among them, some are
    /// never applied, some at once and some seconds later.
    StoreLoses { node: usize },
    /// Messages from one controller to another are interrupted.
    Peers { from: usize, to: usize, how: Cut },
    /// All messages between one controller and the others are interrupted, in both directions.
    Alone { node: usize, how: Cut },
    /// No worker's reports reach the controller.
    Workers { node: usize },
    /// Machines are cut off from the network in both directions.
    MachinesCut { count: usize },
    /// Machines hang.
    MachinesHang { count: usize },
    /// Machines receive neither answers to their reports nor direct orders.
    MachinesDeaf { count: usize },
    /// Machines receive direct orders, but their reports are lost.
    MachinesMute { count: usize },
    /// Machines fail permanently.
    MachinesDie { count: usize },
    /// Some direct orders are delayed by seconds and get no answer.
    LateCommands,
    /// Direct orders that were executed and answered arrive again, several times, seconds later.
    RepeatedCommands,
    /// Some reports are delivered a second time, seconds later, to a random controller.
    LateReports,
    /// Users cancel `count` running jobs at once, and machines of these jobs hang for `hang` ms.
    Cancel { count: usize, hang: Ms },
}

/// A fault with its start and its duration.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    pub at: Ms,
    pub duration: Ms,
    pub fault: Fault,
}

/// When the first fault starts, and the bound before which the last one starts.
pub const FIRST_FAULT: Ms = 6_000;
pub const LAST_FAULT_START: Ms = 26_000;

/// Generates the schedule of a seed for `nodes` controllers.
pub fn generate(seed: u64, nodes: usize) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut entries = Vec::new();
    let mut at = FIRST_FAULT;
    while at < LAST_FAULT_START {
        let duration = rng.random_range(1_000..9_000);
        let fault = random_fault(&mut rng, nodes);
        entries.push(ScheduledFault { at, duration, fault });
        // Two or three faults overlap.
        at += rng.random_range(700..2_400);
    }
    // Every run has three failovers of the leader, each with cancellations shortly after it.
    let first_failover = rng.random_range(FIRST_FAULT..LAST_FAULT_START - 10_000);
    for n in 0..3 {
        let away = rng.random_range(100..2_500);
        entries.push(ScheduledFault {
            at: first_failover + 3_500 * n,
            duration: 0,
            fault: Fault::KillLeader { away },
        });
        let hang = if rng.random_bool(0.5) { rng.random_range(1_000..8_000) } else { 0 };
        let fault = Fault::Cancel { count: rng.random_range(2..6), hang };
        entries.push(ScheduledFault {
            at: first_failover + 3_500 * n + rng.random_range(0..600),
            duration: 0,
            fault,
        });
    }
    if refuses_in_turn(seed) {
        entries.extend(refusals_in_turn(&mut rng, nodes));
    }
    // Answered orders are repeated from the first jobs on, so that copies arrive while controllers restart.
    entries.push(ScheduledFault { at: 0, duration: LAST_FAULT_START, fault: Fault::RepeatedCommands });
    entries.sort_by_key(|e| e.at);
    entries
}

/// Whether in a seed's run the state service refuses all controllers in turn. Its workers keep their tasks for longer than
/// a refused controller takes to come back.
pub fn refuses_in_turn(seed: u64) -> bool {
    seed.is_multiple_of(2)
}

/// The state service refuses all controllers for longer than their leases, and serves them again one by one; users
/// cancel jobs when the first is served.
fn refusals_in_turn(rng: &mut StdRng, nodes: usize) -> Vec<ScheduledFault> {
    let at = rng.random_range(FIRST_FAULT..LAST_FAULT_START - 10_000);
    let first = rng.random_range(0..nodes);
    let mut duration = rng.random_range(5_000..7_000);
    let cancel = Fault::Cancel { count: rng.random_range(2..5), hang: 0 };
    let cancel_at = at + duration + rng.random_range(0..1_000);
    let mut entries = vec![ScheduledFault { at: cancel_at, duration: 0, fault: cancel }];
    for n in 0..nodes {
        let node = Some((first + n) % nodes);
        entries.push(ScheduledFault { at, duration, fault: Fault::StoreRefuses { node } });
        duration += rng.random_range(100..2_500);
    }
    entries
}

fn random_fault(rng: &mut StdRng, nodes: usize) -> Fault {
    let node = rng.random_range(0..nodes);
    let to = (node + rng.random_range(1..nodes)) % nodes;
    let how = if rng.random_bool(0.5) { Cut::Hold } else { Cut::Reset };
    let count = rng.random_range(2..9);
    // Half of the killed controllers restart within a fraction of a second.
    let away = if rng.random_bool(0.5) { rng.random_range(50..400) } else { rng.random_range(400..6_000) };
    match rng.random_range(0..19) {
        0 | 1 => Fault::Kill { node, away },
        2 => Fault::KillAll { away: away.min(2_000) },
        3 | 4 => Fault::Pause { node },
        5 => Fault::StoreRefuses { node: None },
        6 | 7 => Fault::StoreRefuses { node: Some(node) },
        8 => Fault::StoreLoses { node },
        9 | 10 => Fault::Peers { from: node, to, how },
        11 => Fault::Alone { node, how },
        12 => Fault::Workers { node },
        13 => Fault::MachinesCut { count },
        14 => Fault::MachinesHang { count },
        15 => Fault::MachinesDeaf { count },
        16 => {
            if rng.random_bool(0.5) {
                Fault::MachinesMute { count }
            } else {
                Fault::MachinesDie { count: 2 }
            }
        }
        17 => Fault::LateCommands,
        _ => Fault::LateReports,
    }
}
