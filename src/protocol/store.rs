//! The state service's messages.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;

/// A value as it came: whoever needs it reads it into what it should be. Most of what a controller follows
/// are blocks of machines of which few have changed, and a tree of each costs more than all that follows.
#[derive(Clone, Debug, Deserialize)]
#[serde(transparent)]
pub struct Json(Box<RawValue>);

impl Json {
    pub fn text(&self) -> &str {
        self.0.get()
    }

    pub fn read<'a, T: Deserialize<'a>>(&'a self) -> serde_json::Result<T> {
        serde_json::from_str(self.text())
    }
}

#[cfg(test)]
impl From<&Value> for Json {
    fn from(value: &Value) -> Json {
        Json(serde_json::value::to_raw_value(value).unwrap())
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct Entry {
    #[serde(rename = "Path")]
    pub key: String,
    #[serde(rename = "Value")]
    pub value: Json,
    #[serde(rename = "Stamp")]
    pub stamp: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Page {
    #[serde(rename = "Entries")]
    pub entries: Vec<Entry>,
    #[serde(rename = "More", default)]
    pub more: bool,
    #[serde(rename = "Epoch")]
    pub revision: u64,
}

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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    Put {
        #[serde(rename = "Write")]
        key: String,
        #[serde(rename = "Value")]
        value: Value,
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

    pub fn leased(key: impl Into<String>, value: Value, lease: u64) -> Self {
        Write::Put { key: key.into(), value, lease: Some(lease) }
    }

    pub fn delete(key: impl Into<String>) -> Self {
        Write::Delete { key: key.into() }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    #[serde(rename = "If")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "Writes")]
    pub writes: Vec<Write>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "RawChange")]
pub enum Change {
    Put { key: String, value: Json, stamp: u64 },
    Delete { key: String, stamp: u64 },
}

/// A change as it is sent: read in one go, for there are many.
#[derive(Deserialize)]
struct RawChange {
    #[serde(rename = "Write")]
    write: Option<String>,
    #[serde(rename = "Remove")]
    remove: Option<String>,
    #[serde(rename = "Value")]
    value: Option<Json>,
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
            _ => Err("a change neither writes a value nor removes a key"),
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct News {
    #[serde(rename = "Epoch")]
    pub revision: u64,
    #[serde(rename = "News", default)]
    pub changes: Vec<Change>,
}

/// A call to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    Get { key: String },
    List { prefix: String, after: String },
    Commit(Transaction),
    Lease { life_ms: u64 },
    Renew { lease: u64 },
    Release { lease: u64 },
    Follow { prefix: String, after: u64, hold_ms: u64 },
}

impl StoreCall {
    /// How much of the change budget the call takes.
    pub fn writes(&self) -> u32 {
        match self {
            StoreCall::Commit(t) => t.writes.len() as u32,
            _ => 0,
        }
    }
}

/// What came of a call to the state service.
#[derive(Clone, Debug)]
pub enum StoreReply {
    Found {
        value: Value,
        stamp: u64,
    },
    /// The key, or the lease, does not exist.
    Missing,
    Page(Page),
    Committed {
        revision: u64,
    },
    Conflict {
        failed: Vec<String>,
    },
    Leased {
        lease: u64,
    },
    Renewed,
    News(News),
    /// The changes asked for are no longer kept.
    TooOld,
    /// A put named a lease that has ended.
    NoLease,
    /// Not executed: over the limit, an outage, or refused as malformed.
    Refused,
    /// No answer: it may have been executed, or may yet be.
    Unclear,
}
