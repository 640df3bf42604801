//! Jobs as users describe them, and the check every submission passes.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::units::{Micros, Resources};

/// The most tasks one job may have.
pub const MAX_TASKS: u64 = 100_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    #[serde(rename = "sweep")]
    Array,
    #[serde(rename = "ensemble")]
    Gang,
    #[serde(rename = "standing")]
    Service,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "idle")]
    Low,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "urgent")]
    High,
    #[serde(rename = "prod")]
    Production,
}

impl Priority {
    /// The weight p of the paper's volumes.
    pub fn weight(self) -> f64 {
        match self {
            Priority::Low => 1.0,
            Priority::Normal => 1e3,
            Priority::High => 1e6,
            Priority::Production => 1e9,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "Uid")]
    pub id: String,
    #[serde(rename = "Jobclass")]
    pub class: String,
    #[serde(rename = "Crew")]
    pub team: String,
    #[serde(rename = "Shape")]
    pub shape: Shape,
    #[serde(rename = "Rank")]
    pub priority: Priority,
    #[serde(rename = "Pieces")]
    pub tasks: u32,
    #[serde(rename = "Cpus")]
    pub cpus: f64,
    #[serde(rename = "Cards")]
    pub gpus: f64,
    #[serde(rename = "MemoryGb")]
    pub memory_gb: f64,
    #[serde(rename = "Kit")]
    pub image: String,
    #[serde(rename = "SizeGb")]
    pub image_gb: f64,
    #[serde(rename = "Hulls", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "Berth", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "OneZone")]
    pub one_zone: bool,
    #[serde(rename = "Apart")]
    pub spread: bool,
    #[serde(rename = "Standby")]
    pub spot: bool,
    #[serde(rename = "RuntimeS")]
    pub estimate_s: f64,
    #[serde(rename = "MarkS")]
    pub checkpoint_s: f64,
    #[serde(rename = "StowS")]
    pub save_s: f64,
    #[serde(rename = "DueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Why a submission is malformed.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum Malformed {
    #[error("the body is not a JSON object")]
    NotAnObject,
    #[error("field missing or of the wrong kind: {0}")]
    Shape(String),
    #[error("field out of range: {0}")]
    Range(&'static str),
}

/// Whether a text has the form of a job id: the prefix and at least one digit, nothing else.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|n| !n.is_empty() && n.len() <= 20 && n.bytes().all(|b| b.is_ascii_digit()))
}

impl JobSpec {
    /// Reads and checks a submission's body.
    pub fn parse(body: &[u8]) -> Result<JobSpec, Malformed> {
        let value: Value = serde_json::from_slice(body).map_err(|_| Malformed::NotAnObject)?;
        if !value.is_object() {
            return Err(Malformed::NotAnObject);
        }
        let spec: JobSpec = serde_json::from_value(value).map_err(|e| Malformed::Shape(e.to_string()))?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), Malformed> {
        let ensure = |ok: bool, field| if ok { Ok(()) } else { Err(Malformed::Range(field)) };
        let name = |s: &str| !s.is_empty() && s.len() <= 200;
        let amount = |x: f64| x.is_finite() && (0.0..=1e9).contains(&x);
        ensure(is_job_id(&self.id), "Uid")?;
        ensure(name(&self.class), "Jobclass")?;
        ensure(name(&self.team), "Crew")?;
        ensure((1..=MAX_TASKS).contains(&u64::from(self.tasks)), "Pieces")?;
        ensure(amount(self.cpus), "Cpus")?;
        ensure(amount(self.gpus), "Cards")?;
        ensure(amount(self.memory_gb), "MemoryGb")?;
        ensure(self.cpus > 0.0 || self.gpus > 0.0 || self.memory_gb > 0.0, "Cpus")?;
        ensure(name(&self.image), "Kit")?;
        ensure(amount(self.image_gb), "SizeGb")?;
        ensure(amount(self.estimate_s), "RuntimeS")?;
        ensure(amount(self.checkpoint_s), "MarkS")?;
        ensure(amount(self.save_s), "StowS")?;
        ensure(self.deadline_s.is_none_or(amount), "DueS")?;
        let listed = self.types.as_ref().is_none_or(|t| t.len() <= 256 && t.iter().all(|n| name(n)));
        ensure(listed, "Hulls")?;
        ensure(self.zone.as_deref().is_none_or(name), "Berth")
    }

    pub fn need(&self) -> Resources {
        Resources::need(self.cpus, self.gpus, self.memory_gb)
    }

    pub fn save(&self) -> Micros {
        Micros::from_secs_f64(self.save_s)
    }

    /// Tasks that must run together for the job to make progress.
    pub fn floor(&self) -> u32 {
        if self.shape == Shape::Array { 1 } else { self.tasks }
    }
}

/// The state of a job that is over. It never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub enum Final {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "withdrawn")]
    Withdrawn,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    Queued,
    Running,
    Final(Final),
}

impl JobState {
    pub fn name(self) -> &'static str {
        match self {
            JobState::Queued => "queued",
            JobState::Running => "running",
            JobState::Final(Final::Done) => "done",
            JobState::Final(Final::Withdrawn) => "withdrawn",
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn body(change: impl Fn(&mut serde_json::Map<String, Value>)) -> Vec<u8> {
        let text = r#"{"Uid":"j-000412","Jobclass":"train","Crew":"vision","Shape":"ensemble",
            "Rank":"urgent","Pieces":16,"Cpus":8.0,"Cards":1.0,"MemoryGb":64.0,"Kit":"img-07",
            "SizeGb":6.2,"Hulls":["g8"],"Berth":null,"OneZone":true,"Apart":false,"Standby":true,
            "RuntimeS":240.0,"MarkS":30.0,"StowS":4.0,"DueS":900.0,"Later":1}"#;
        let Value::Object(mut map) = serde_json::from_str(text).unwrap() else { panic!() };
        change(&mut map);
        serde_json::to_vec(&map).unwrap()
    }

    #[test]
    fn a_submission_is_taken_only_when_every_field_is_sound() {
        let spec = JobSpec::parse(&body(|_| {})).unwrap();
        assert_eq!((spec.tasks, spec.floor(), spec.zone), (16, 16, None));
        assert!(JobSpec::parse(&body(|m| drop(m.remove("DueS")))).is_ok());
        let bad: [(&str, Value); 14] = [
            ("Uid", "x-1".into()),
            ("Uid", "j-".into()),
            ("Uid", "j-1/2".into()),
            ("Pieces", 0.into()),
            ("Pieces", 100_001.into()),
            ("Pieces", (-3).into()),
            ("Pieces", 1.5.into()),
            ("Cpus", (-1.0).into()),
            ("Cpus", "8".into()),
            ("SizeGb", Value::Null),
            ("RuntimeS", 1e300.into()),
            ("Shape", "heap".into()),
            ("Rank", 3.into()),
            ("Hulls", "g8".into()),
        ];
        for (field, value) in bad {
            let parsed = JobSpec::parse(&body(|m| drop(m.insert(field.into(), value.clone()))));
            assert!(parsed.is_err(), "{field} = {value} was taken");
        }
        for field in ["Uid", "Crew", "Pieces", "OneZone", "Kit", "StowS"] {
            assert!(JobSpec::parse(&body(|m| drop(m.remove(field)))).is_err(), "{field} may be left out");
        }
        assert_eq!(JobSpec::parse(b"[1]"), Err(Malformed::NotAnObject));
        assert_eq!(JobSpec::parse(b"{"), Err(Malformed::NotAnObject));
    }
}
