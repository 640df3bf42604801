//! Job descriptions as users submit them, their validation, and job states.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::units::{Micros, Resources};

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u64 = 100_000;

/// How the tasks of a job relate to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks.
    #[serde(rename = "sweep")]
    Array,
    /// Tasks that only run all together.
    #[serde(rename = "ensemble")]
    Gang,
    /// Replicas that are to run permanently.
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
    /// Weight of the priority when capacity is divided into volumes: `p` in the paper's formula.
    pub fn weight(self) -> f64 {
        match self {
            Priority::Low => 1.0,
            Priority::Normal => 1e3,
            Priority::High => 1e6,
            Priority::Production => 1e9,
        }
    }
}

/// A job as a user submits it. Resources, run time and the time for saving state are per task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "Uid")]
    pub id: String,
    /// Job class, to which the operators' objectives refer.
    #[serde(rename = "Jobclass")]
    pub class: String,
    #[serde(rename = "Crew")]
    pub team: String,
    #[serde(rename = "Shape")]
    pub shape: Shape,
    #[serde(rename = "Rank")]
    pub priority: Priority,
    /// Number of tasks.
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
    /// Size of the image.
    #[serde(rename = "SizeGb")]
    pub image_gb: f64,
    /// Machine types that the job may use; `None`: all.
    #[serde(rename = "Hulls", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// The only zone that the job may use; `None`: all.
    #[serde(rename = "Berth", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks must be in the same zone.
    #[serde(rename = "OneZone")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "Apart")]
    pub spread: bool,
    /// Tasks may run on spot machines.
    #[serde(rename = "Standby")]
    pub spot: bool,
    /// Estimated run time; 0 if it is not known.
    #[serde(rename = "RuntimeS")]
    pub estimated_task_s: f64,
    #[serde(rename = "MarkS")]
    pub checkpoint_s: f64,
    /// Time that a task needs for saving its state when it is stopped.
    #[serde(rename = "StowS")]
    pub save_s: f64,
    /// Time from submission within which the job should have finished.
    #[serde(rename = "DueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Why a submission is rejected as malformed.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum SubmissionError {
    #[error("the body is not a JSON object")]
    NotAnObject,
    #[error("field missing or of the wrong kind: {0}")]
    InvalidField(String),
    #[error("field out of range: {0}")]
    OutOfRange(&'static str),
}

/// Whether a text has the form of a job id: `j-` followed by 1 to 20 digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|n| !n.is_empty() && n.len() <= 20 && n.bytes().all(|b| b.is_ascii_digit()))
}

impl JobSpec {
    /// Parses and validates the body of a submission.
    pub fn parse(body: &[u8]) -> Result<JobSpec, SubmissionError> {
        let value: Value = serde_json::from_slice(body).map_err(|_| SubmissionError::NotAnObject)?;
        if !value.is_object() {
            return Err(SubmissionError::NotAnObject);
        }
        let spec: JobSpec =
            serde_json::from_value(value).map_err(|e| SubmissionError::InvalidField(e.to_string()))?;
        spec.validate()?;
        Ok(spec)
    }

    fn validate(&self) -> Result<(), SubmissionError> {
        let ensure = |ok: bool, field| if ok { Ok(()) } else { Err(SubmissionError::OutOfRange(field)) };
        let is_name = |s: &str| !s.is_empty() && s.len() <= 200;
        let is_amount = |x: f64| x.is_finite() && (0.0..=1e9).contains(&x);
        ensure(is_job_id(&self.id), "Uid")?;
        ensure(is_name(&self.class), "Jobclass")?;
        ensure(is_name(&self.team), "Crew")?;
        ensure((1..=MAX_TASKS).contains(&u64::from(self.tasks)), "Pieces")?;
        ensure(is_amount(self.cpus), "Cpus")?;
        ensure(is_amount(self.gpus), "Cards")?;
        ensure(is_amount(self.memory_gb), "MemoryGb")?;
        ensure(self.cpus > 0.0 || self.gpus > 0.0 || self.memory_gb > 0.0, "Cpus")?;
        ensure(is_name(&self.image), "Kit")?;
        ensure(is_amount(self.image_gb), "SizeGb")?;
        ensure(is_amount(self.estimated_task_s), "RuntimeS")?;
        ensure(is_amount(self.checkpoint_s), "MarkS")?;
        ensure(is_amount(self.save_s), "StowS")?;
        ensure(self.deadline_s.is_none_or(is_amount), "DueS")?;
        let valid_types =
            self.machine_types.as_ref().is_none_or(|t| t.len() <= 256 && t.iter().all(|n| is_name(n)));
        ensure(valid_types, "Hulls")?;
        ensure(self.zone.as_deref().is_none_or(is_name), "Berth")
    }

    /// Resources that one task needs.
    pub fn need(&self) -> Resources {
        Resources::need(self.cpus, self.gpus, self.memory_gb)
    }

    /// Time that a task needs for saving its state when it is stopped.
    pub fn save_time(&self) -> Micros {
        Micros::from_secs_f64(self.save_s)
    }

    /// Number of tasks that must run together for the job to make progress.
    pub fn min_tasks(&self) -> u32 {
        if self.shape == Shape::Array { 1 } else { self.tasks }
    }
}

/// The final state of a job that has ended. It never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub enum FinalState {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "withdrawn")]
    Withdrawn,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    Queued,
    Running,
    Final(FinalState),
}

impl JobState {
    /// Name of the state in answers to users.
    pub fn name(self) -> &'static str {
        match self {
            JobState::Queued => "queued",
            JobState::Running => "running",
            JobState::Final(FinalState::Done) => "done",
            JobState::Final(FinalState::Withdrawn) => "withdrawn",
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn submission(change: impl Fn(&mut serde_json::Map<String, Value>)) -> Vec<u8> {
        let text = r#"{"Uid":"j-000412","Jobclass":"train","Crew":"vision","Shape":"ensemble",
            "Rank":"urgent","Pieces":16,"Cpus":8.0,"Cards":1.0,"MemoryGb":64.0,"Kit":"img-07",
            "SizeGb":6.2,"Hulls":["g8"],"Berth":null,"OneZone":true,"Apart":false,"Standby":true,
            "RuntimeS":240.0,"MarkS":30.0,"StowS":4.0,"DueS":900.0,"Later":1}"#;
        let Value::Object(mut map) = serde_json::from_str(text).unwrap() else { panic!() };
        change(&mut map);
        serde_json::to_vec(&map).unwrap()
    }

    #[test]
    fn a_submission_is_accepted_only_if_every_field_is_valid() {
        let spec = JobSpec::parse(&submission(|_| {})).unwrap();
        assert_eq!((spec.tasks, spec.min_tasks(), spec.zone), (16, 16, None));
        assert!(JobSpec::parse(&submission(|m| drop(m.remove("DueS")))).is_ok());
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
            let parsed = JobSpec::parse(&submission(|m| drop(m.insert(field.into(), value.clone()))));
            assert!(parsed.is_err(), "{field} = {value} was accepted");
        }
        for field in ["Uid", "Crew", "Pieces", "OneZone", "Kit", "StowS"] {
            assert!(
                JobSpec::parse(&submission(|m| drop(m.remove(field)))).is_err(),
                "accepted without {field}"
            );
        }
        assert_eq!(JobSpec::parse(b"[1]"), Err(SubmissionError::NotAnObject));
        assert_eq!(JobSpec::parse(b"{"), Err(SubmissionError::NotAnObject));
    }
}
