//! Calls to the state service and its replies.
//!
//! The state service keeps keys with JSON values. Each transaction has a revision; the `stamp` of a key is the revision
//! at which it was last written.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;

/// A JSON value as received, to be parsed into the type of its record.
///
/// Most of the changes that a controller receives are blocks of machines in which few rows have changed. Building a
/// [`Value`] of each block would cost more than all further processing.
#[derive(Clone, Debug, Deserialize)]
#[serde(transparent)]
pub struct RawJson(Box<RawValue>);

impl RawJson {
    pub fn text(&self) -> &str {
        self.0.get()
    }

    pub fn parse<'a, T: Deserialize<'a>>(&'a self) -> serde_json::Result<T> {
        serde_json::from_str(self.text())
    }
}

#[cfg(test)]
impl From<&Value> for RawJson {
    fn from(value: &Value) -> RawJson {
        RawJson(serde_json::value::to_raw_value(value).unwrap())
    }
}

/// A key, its value and the revision at which it was last written.
#[derive(Clone, Debug, Deserialize)]
pub struct Entry {
    #[serde(rename = "Path")]
    pub key: String,
    #[serde(rename = "Value")]
    pub value: RawJson,
    #[serde(rename = "Stamp")]
    pub stamp: u64,
}

/// One page of a list of entries.
#[derive(Clone, Debug, Deserialize)]
pub struct Page {
    #[serde(rename = "Entries")]
    pub entries: Vec<Entry>,
    /// More entries follow the last one of this page.
    #[serde(rename = "More", default)]
    pub more: bool,
    #[serde(rename = "Epoch")]
    pub revision: u64,
}

/// A condition of a transaction: the key was last written at revision `stamp`, or does not exist if that is 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    #[serde(rename = "Path")]
    pub key: String,
    #[serde(rename = "Stamp")]
    pub stamp: u64,
}

impl Condition {
    pub fn new(key: impl Into<String>, stamp: u64) -> Self {
        Condition { key: key.into(), stamp }
    }
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    Put {
        #[serde(rename = "Write")]
        key: String,
        #[serde(rename = "Value")]
        value: Value,
        /// The key is deleted when this lease ends.
        #[serde(rename = "Permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "Remove")]
        key: String,
    },
}

impl Write {
    pub fn put(key: impl Into<String>, value: Value) -> Self {
        Write::Put { key: key.into(), value, lease: None }
    }

    pub fn put_with_lease(key: impl Into<String>, value: Value, lease: u64) -> Self {
        Write::Put { key: key.into(), value, lease: Some(lease) }
    }

    pub fn delete(key: impl Into<String>) -> Self {
        Write::Delete { key: key.into() }
    }
}

/// Writes that are executed atomically if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    #[serde(rename = "If")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "Writes")]
    pub writes: Vec<Write>,
}

/// A change of a key that a transaction made, with its revision.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "RawChange")]
pub enum Change {
    Put { key: String, value: RawJson, stamp: u64 },
    Delete { key: String, stamp: u64 },
}

/// A change in the form in which it is sent. It is deserialized in one pass, because changes are many.
#[derive(Deserialize)]
struct RawChange {
    #[serde(rename = "Write")]
    write: Option<String>,
    #[serde(rename = "Remove")]
    remove: Option<String>,
    #[serde(rename = "Value")]
    value: Option<RawJson>,
    #[serde(rename = "Stamp")]
    stamp: u64,
}

impl TryFrom<RawChange> for Change {
    type Error = &'static str;

    fn try_from(raw: RawChange) -> Result<Change, Self::Error> {
        match raw {
            RawChange { write: Some(key), remove: None, value: Some(value), stamp } => {
                Ok(Change::Put { key, value, stamp })
            }
            RawChange { write: None, remove: Some(key), stamp, .. } => Ok(Change::Delete { key, stamp }),
            _ => Err("a change must either write a value or remove a key"),
        }
    }
}

/// The changes under a watched prefix up to a revision.
#[derive(Clone, Debug, Deserialize)]
pub struct ChangeBatch {
    #[serde(rename = "Epoch")]
    pub revision: u64,
    #[serde(rename = "News", default)]
    pub changes: Vec<Change>,
}

/// A call to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    Get {
        key: String,
    },
    /// Reads a page of the entries under a prefix that follow the key `after`.
    List {
        prefix: String,
        after: String,
    },
    Commit(Transaction),
    /// Creates a lease that ends if it is not renewed for `life_ms`.
    Lease {
        life_ms: u64,
    },
    Renew {
        lease: u64,
    },
    Release {
        lease: u64,
    },
    /// Waits up to `hold_ms` for changes under a prefix after a revision.
    Follow {
        prefix: String,
        after: u64,
        hold_ms: u64,
    },
}

impl StoreCall {
    /// Number of writes that count against the state service's limit of writes per second.
    pub fn writes(&self) -> u32 {
        match self {
            StoreCall::Commit(t) => t.writes.len() as u32,
            _ => 0,
        }
    }
}

/// The outcome of a call to the state service.
#[derive(Clone, Debug)]
pub enum StoreReply {
    /// The value of a key and the revision at which it was last written.
    Found {
        value: Value,
        stamp: u64,
    },
    /// The key or the lease does not exist.
    Missing,
    Page(Page),
    Committed {
        revision: u64,
    },
    /// Conditions did not hold for these keys: nothing was written.
    Conflict {
        failed: Vec<String>,
    },
    Leased {
        lease: u64,
    },
    /// The lease was renewed or released.
    Renewed,
    /// The changes under the watched prefix; none if there were no changes in time.
    News(ChangeBatch),
    /// The state service no longer keeps the changes after the requested revision.
    TooOld,
    /// The transaction put a key with a lease that has ended.
    NoLease,
    /// Not executed: over the rate limit, during an outage, or rejected as malformed.
    Refused,
    /// No valid answer: the call may have been executed, or may still be.
    Unclear,
}
