//! Teams' limits: what counts as used, whether a limit binds, how it is divided among the controllers, and the permit
//! without which no start is planned or sent.
//!
//! A limit binds unless all recorded machines, or all that the team has requested, are within it. While it does not, nobody
//! counts. Once it does, the leader divides it: the first record in a view grants nothing to anybody, and later ones are
//! made when all members have accounted for what they took over and have followed the record in force (`grants`). An
//! owner starts tasks of a team as far as its own share has room beside what it counts as used (`usage`, `permit`).
//! What must hold is checked as it happens (`guard`).

mod division;
mod grants;
mod guard;
mod permit;
mod usage;

pub use guard::Breach;
pub(crate) use guard::Guard;
pub use permit::Permit;
pub(super) use permit::{Allowance, InForce};
