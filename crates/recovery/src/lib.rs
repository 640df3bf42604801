//! What survives a controller's end.
//!
//! A controller that takes jobs over must not start a task that may still be somewhere. Waiting until
//! every machine has reported is always right, but then one silent machine holds back all jobs. This
//! crate keeps the evidence that makes the wait needless in most cases:
//!
//! - [`Announcements`]: a start is *announced* to the other controllers before it is ordered, and ordered
//!   only when all have confirmed it. One that does not confirm is recorded as uninformed first.
//! - [`Ledger`]: what a controller may conclude from the announcements that it confirmed. A machine is
//!   *listed* if all that may be on it is known, whether or not it can be reached.
//! - [`Inquiry`]: what a controller that has just joined, and has confirmed nothing, asks of the others.
//!
//! All are plain state machines: events and times in, answers out. Carrying messages, recording and
//! deciding what to start are the caller's.

mod announcements;
mod inquiry;
mod ledger;
mod position;

pub use announcements::Announcements;
pub use inquiry::{Inquiry, Question};
pub use ledger::{Hearing, Ledger};
pub use position::Position;

/// A controller in one of its lives: its name, and the stamp of its registration.
pub type Life = (String, u64);
