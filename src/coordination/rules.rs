//! How calls that failed are repeated, each kind by one rule.
//!
//! First pauses are as short as the ordinary path wants them; they grow only while calls go on failing.

use marblewalk_retry::BackoffPolicy;

use crate::protocol::units::Micros;

/// Joining: registration and loading. Controllers that ended together must not join together.
pub const JOIN: BackoffPolicy = BackoffPolicy {
    initial: Micros::from_millis(400),
    max: Micros::from_secs(2),
    multiplier: 1.5,
    jitter: 0.75,
};

/// Following the store's changes: whoever is late here is late with everything.
pub const FOLLOW: BackoffPolicy = BackoffPolicy {
    initial: Micros::from_millis(300),
    max: Micros::from_millis(600),
    multiplier: 1.3,
    jitter: 0.2,
};

/// A grant that was not carried out: the watch first shows why.
pub const GRANT: BackoffPolicy = BackoffPolicy {
    initial: Micros::from_millis(500),
    max: Micros::from_secs(2),
    multiplier: 1.5,
    jitter: 0.0,
};

/// The record that a job is done. Users expect the answer within three seconds.
pub const COMPLETE: BackoffPolicy = BackoffPolicy {
    initial: Micros::from_millis(300),
    max: Micros::from_secs(1),
    multiplier: 1.5,
    jitter: 0.5,
};

/// A rental whose fate is not known: the same name tells.
pub const RENT: BackoffPolicy = BackoffPolicy {
    initial: Micros::from_millis(500),
    max: Micros::from_secs(8),
    multiplier: 2.0,
    jitter: 0.2,
};

/// A type, zone and kind of which there are no machines.
pub const NO_CAPACITY: BackoffPolicy =
    BackoffPolicy { initial: Micros::from_secs(8), max: Micros::from_secs(40), multiplier: 2.0, jitter: 0.0 };
