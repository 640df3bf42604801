//! Network connections and the main loop. All decisions are made by the controller in `coordination`.

pub mod cloud_client;
pub mod http_client;
pub mod peer_links;
pub mod runtime;
pub mod server;
pub mod worker_client;
