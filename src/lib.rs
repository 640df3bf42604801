//! marblewalk: a scheduler for a cluster of rented machines, run by a few small controllers.
//!
//! `protocol` says what is exchanged, `coordination` decides (without I/O or clock), `bookkeeping`
//! keeps records within the state service's limits, and `transport` carries messages.

pub mod bookkeeping;
pub mod cli;
pub mod coordination;
pub mod protocol;
pub mod settings;
pub mod transport;
