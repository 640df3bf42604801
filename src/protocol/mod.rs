//! Messages exchanged with users, workers, the cloud and the state service, and between controllers.

pub mod cloud;
pub mod job;
pub mod peer;
pub mod store;
pub mod worker;

pub use marblewalk_units as units;
