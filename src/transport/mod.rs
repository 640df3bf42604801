//! Network connections and the main loop. All decisions are made by the controller in `coordination`.

pub mod client;
pub mod cloud;
pub mod links;
pub mod runtime;
pub mod server;
pub mod workers;
