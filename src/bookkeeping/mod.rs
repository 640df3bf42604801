//! Records in the state service, the client for it, and the rate-limited queue of calls to it and to the cloud.

pub mod blocks;
pub mod call_queue;
pub mod final_state_cache;
pub mod records;
pub mod store_client;
