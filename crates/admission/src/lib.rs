//! Admission control under overload: state machines without I/O or clock.
//!
//! - [`max_min`] divides an amount by weighted max-min fairness.
//! - [`pool`] divides a pool of machines among the waiting jobs, so that the admitted ones finish.
//! - [`flows`] counts submissions by team and class.
//! - [`submission_limiter`] decides which submissions one controller takes, and when the others may be retried.
//! - [`rate_plan`] keeps all controllers together within the rate limits of the state service.

pub mod flows;
pub mod max_min;
pub mod pool;
pub mod rate_plan;
pub mod submission_limiter;
