//! Order of the messages that one incarnation of a controller sends.

/// The position of a message in the order in which its sender made them.
///
/// A broadcast has the next broadcast number. A message to a single controller keeps the number of the last broadcast
/// and is counted separately, since the other controllers do not miss it. A connection that was given up may still
/// deliver its messages after the first ones of the connection that replaced it, so a receiver compares positions
/// instead of relying on the order of arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessagePosition {
    /// The number of the last broadcast.
    pub broadcast: u64,
    /// How many messages to single controllers were sent after that broadcast.
    pub unicast: u32,
}
