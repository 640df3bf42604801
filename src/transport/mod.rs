//! Connections of every kind. Nothing is decided here.

pub mod client;
pub mod cloud;
pub mod links;
pub mod runtime;
pub mod server;
pub mod workers;
