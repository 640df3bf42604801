//! Records in the state service, the client for it, and the rate-limited queue of calls to it and to the cloud.

pub mod blocks;
pub mod budget;
pub mod cache;
pub mod client;
pub mod records;
