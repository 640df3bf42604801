//! Backoff policies for failed calls, one for each kind of call.
//!
//! The initial delays are short enough for normal operation; they grow only while calls keep failing.

use marblewalk_retry::BackoffPolicy;

use crate::protocol::units::Micros;

/// Joining, which is registration and loading. The jitter keeps controllers that restart together from joining
/// together.
pub const JOIN: BackoffPolicy = BackoffPolicy {
    initial: Micros::from_millis(400),
    max: Micros::from_secs(2),
    multiplier: 1.5,
    jitter: 0.75,
};

/// Requests for changes of the records. The delays are short because everything else depends on recent records.
pub const FOLLOW: BackoffPolicy = BackoffPolicy {
    initial: Micros::from_millis(300),
    max: Micros::from_millis(600),
    multiplier: 1.3,
    jitter: 0.2,
};

/// A failed grant. The changes of the records have to show the conflict before another grant can succeed.
pub const GRANT: BackoffPolicy = BackoffPolicy {
    initial: Micros::from_millis(500),
    max: Micros::from_secs(2),
    multiplier: 1.5,
    jitter: 0.0,
};

/// Recording that a job is done. Users expect the answer within three seconds.
pub const COMPLETE: BackoffPolicy = BackoffPolicy {
    initial: Micros::from_millis(300),
    max: Micros::from_secs(1),
    multiplier: 1.5,
    jitter: 0.5,
};

/// A rental with an unknown outcome. Repeating it under the same request name shows the outcome.
pub const RENT: BackoffPolicy = BackoffPolicy {
    initial: Micros::from_millis(500),
    max: Micros::from_secs(8),
    multiplier: 2.0,
    jitter: 0.2,
};

/// Renting a machine type in a zone, on-demand or spot, for which the cloud has no capacity.
pub const NO_CAPACITY: BackoffPolicy =
    BackoffPolicy { initial: Micros::from_secs(8), max: Micros::from_secs(40), multiplier: 2.0, jitter: 0.0 };
