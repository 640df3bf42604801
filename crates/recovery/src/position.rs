//! Where a message stands among all that one life of a controller has sent.

/// The place of a message in the order in which its sender made them.
///
/// A message to all has the next number. One to a single controller keeps the number of the last one to all and is counted
/// apart, since the others do not miss it. A connection that was given up may still deliver what it held after the first
/// messages of the one that has taken its place, so a receiver compares places rather than trust the order of arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The number of the last message to all.
    pub number: u64,
    /// How many messages to single controllers have followed that one.
    pub single: u32,
}
