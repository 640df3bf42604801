//! Failover of jobs between controllers: which tasks may still be running after a controller has failed.
//!
//! A controller that takes over jobs must not start a task that may still run somewhere. It could wait until every
//! machine has reported, but then one silent machine would block all jobs. This crate keeps the evidence that makes
//! the wait unnecessary in most cases:
//!
//! - [`Announcements`]: a start is *announced* to the other controllers before it is ordered, and ordered only when
//!   all of them have confirmed the announcement. A controller that does not confirm is first recorded in the state
//!   service as *uninformed*; from then on starts do not wait for it.
//! - [`MachineKnowledge`]: what a controller can conclude from the announcements that it has confirmed. A machine is
//!   *fully known* if every task that may be on it is known, whether or not the machine can be reached.
//! - [`WitnessQueries`]: the queries by which a controller that has just joined, and has confirmed nothing yet, learns
//!   from the others what may be on a machine.
//!
//! All types are state machines without I/O or clock. Sending messages, writing records and deciding what to start
//! is up to the caller.

mod announcements;
mod machine_knowledge;
mod message_position;
mod witness_queries;

pub use announcements::Announcements;
pub use machine_knowledge::{MachineKnowledge, SequenceCheck};
pub use message_position::MessagePosition;
pub use witness_queries::{QueryTarget, WitnessQueries};

/// One incarnation of a controller: its member name and the revision of its registration.
pub type Incarnation = (String, u64);
