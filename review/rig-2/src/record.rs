//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Recorder {
    start: Instant,
    file: Mutex<File>,
}

impl Recorder {
    pub fn new(path: &std::path::Path) -> Recorder {
        Recorder { start: Instant::now(), file: Mutex::new(File::create(path).expect("record.txt")) }
    }

    /// Milliseconds since the beginning of the run.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.start.elapsed().as_secs_f64());
    }
}
