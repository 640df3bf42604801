//! The faults of a run, drawn from its seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::history::Ms;

/// What a link between two parties does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// What is sent waits and is delivered when the cut is over.
    Hold,
    /// Connections are reset, and new ones are closed at once.
    Reset,
}

/// What befalls whom.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A controller is killed and started again after so long.
    Kill { node: usize, away: Ms },
    /// The leader of that moment is.
    KillLeader { away: Ms },
    /// All are.
    KillAll { away: Ms },
    /// A controller's process stands still.
    Pause { node: usize },
    /// The state service refuses one controller, or all.
    StoreRefuses { node: Option<usize> },
    /// Of a controller's calls to the state service a share gets no answer; some of its transactions are carried out at
    /// once, some seconds late.
    StoreLoses { node: usize },
    /// What one controller sends another does not get through.
    Peers { from: usize, to: usize, how: Cut },
    /// What a controller sends to others and they to it does not get through.
    Alone { node: usize, how: Cut },
    /// No worker's report reaches a controller.
    Workers { node: usize },
    /// Machines that cannot be reached and reach nobody.
    MachinesCut { count: usize },
    /// Machines that stand still.
    MachinesHang { count: usize },
    /// Machines that are told nothing: answers and commands do not reach them.
    MachinesDeaf { count: usize },
    /// Machines whose reports reach nobody; commands reach them.
    MachinesMute { count: usize },
    /// Machines that stop for good.
    MachinesDie { count: usize },
    /// Direct commands are held up for seconds and get no answer.
    LateCommands,
    /// Copies of reports arrive again, seconds later, at any controller.
    LateReports,
    /// Users call off so many running jobs at once, and their machines hang that long.
    Cancel { count: usize, hang: Ms },
}

/// A fault from one moment to another.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    pub at: Ms,
    pub duration: Ms,
    pub fault: Fault,
}

/// When the first fault comes, and the last one begins.
pub const FIRST_FAULT: Ms = 6_000;
pub const LAST_FAULT_START: Ms = 26_000;

/// The schedule of a seed for so many controllers.
pub fn generate(seed: u64, nodes: usize) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut entries = Vec::new();
    let mut at = FIRST_FAULT;
    while at < LAST_FAULT_START {
        let duration = rng.random_range(1_000..9_000);
        let fault = random_fault(&mut rng, nodes);
        entries.push(ScheduledFault { at, duration, fault });
        // Two or three overlap.
        at += rng.random_range(700..2_400);
    }
    // Every run has a series of leaders, and cancellations while it lasts.
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
    entries.sort_by_key(|e| e.at);
    entries
}

fn random_fault(rng: &mut StdRng, nodes: usize) -> Fault {
    let node = rng.random_range(0..nodes);
    let to = (node + rng.random_range(1..nodes)) % nodes;
    let how = if rng.random_bool(0.5) { Cut::Hold } else { Cut::Reset };
    let count = rng.random_range(2..9);
    // Half of those that end are back within a fraction of a second.
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
