//! marblewalk: a scheduler for a cluster of machines that are rented from a cloud, run by a few small controllers.
//!
//! `protocol` defines the messages, `coordination` makes all decisions (without I/O and without reading a clock),
//! `bookkeeping` keeps records in the state service within its rate limits, and `transport` carries messages over the
//! network. `settings` reads the settings files, and `cli` the command line.

pub mod bookkeeping;
pub mod cli;
pub mod coordination;
pub mod protocol;
pub mod settings;
pub mod transport;
