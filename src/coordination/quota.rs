//! Teams' limits: which usage counts, whether a limit is binding, how it is divided among the controllers, and the
//! permit that every planned or sent start requires.
//!
//! A limit is binding unless all recorded machines, or everything that the team has requested, are within it. While it
//! is not, usage is not counted against it. Once it is, the leader divides it: the first record in a view grants
//! nothing to any controller, and later ones are written when all members have accounted for what they took over and
//! have applied the record in force (`shares`). An owner starts tasks of a team as far as its own share has room beside
//! the usage that it counts (`usage`, `unknown_tasks`, `permit`). The invariants are checked at run time (`invariants`,
//! `running`).

mod division;
mod invariants;
mod permit;
mod running;
mod shares;
mod unknown_tasks;
mod usage;

pub use invariants::Breach;
pub(crate) use invariants::Guard;
pub use permit::Permit;
pub(super) use permit::{ActivePermit, Allowance};
