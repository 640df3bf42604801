//! Calls to the cloud and its replies.

use serde::{Deserialize, Serialize};

use super::units::Resources;

/// A type of machine that can be rented.
#[derive(Clone, Debug, Deserialize)]
pub struct MachineType {
    #[serde(rename = "Name")]
    pub name: String,
    #[serde(rename = "Cpus")]
    pub cpus: f64,
    #[serde(rename = "Cards", default)]
    pub gpus: f64,
    #[serde(rename = "MemoryGb")]
    pub memory_gb: f64,
    /// Size of the machine's image cache.
    #[serde(rename = "CacheGb", default)]
    pub cache_gb: f64,
    /// Speed at which the machine fetches images.
    #[serde(rename = "FetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "Rate", default)]
    pub price: f64,
    #[serde(rename = "SpotPrice", default)]
    pub spot_price: f64,
    /// Time from the rental until the machine runs.
    #[serde(rename = "StartupS", default)]
    pub boot_s: f64,
    /// Zones in which the type is available.
    #[serde(rename = "Berths", default)]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Resources that a machine of this type provides.
    pub fn supply(&self) -> Resources {
        Resources::supply(self.cpus, self.gpus, self.memory_gb)
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "Hulls")]
    pub types: Vec<MachineType>,
}

/// A request to rent machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    /// Id of the request.
    #[serde(rename = "Charter")]
    pub request: String,
    /// Name of the machine type.
    #[serde(rename = "Hull")]
    pub kind: String,
    #[serde(rename = "Berth")]
    pub zone: String,
    #[serde(rename = "Standby")]
    pub spot: bool,
    #[serde(rename = "HowMany")]
    pub count: u32,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "Hosts")]
    pub machines: Vec<String>,
}

/// State of a machine in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum ListedState {
    #[serde(rename = "starting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
}

/// A rented machine in the cloud's list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "Uid")]
    pub id: String,
    #[serde(rename = "Addr", default)]
    pub addr: String,
    #[serde(rename = "Hull")]
    pub kind: String,
    #[serde(rename = "Berth")]
    pub zone: String,
    #[serde(rename = "Standby", default)]
    pub spot: bool,
    #[serde(rename = "Status")]
    pub state: ListedState,
    /// Time since the machine was rented.
    #[serde(rename = "HeldS", default)]
    pub age_s: f64,
}

/// One page of the cloud's list of rented machines.
#[derive(Clone, Debug, Deserialize)]
pub struct MachineList {
    #[serde(rename = "Hosts")]
    pub machines: Vec<ListedMachine>,
    /// More machines follow the last one of this page.
    #[serde(rename = "More", default)]
    pub more: bool,
}

/// A call to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudCall {
    /// Reads the machine types.
    Types,
    Rent(Rental),
    /// Returns the machines with these names.
    Return(Vec<String>),
    /// Reads a page of the rented machines that follow the machine `after`.
    List {
        after: String,
    },
}

/// The outcome of a call to the cloud.
#[derive(Clone, Debug)]
pub enum CloudReply {
    Types(Vec<MachineType>),
    /// Names of the rented machines.
    Rented(Vec<String>),
    NoCapacity,
    Returned,
    List(MachineList),
    /// Rejected as malformed: a retry of the same call would fail again.
    Rejected,
    /// Refused for now, or no valid answer: the call may have been executed, or may still be.
    Unclear,
}
