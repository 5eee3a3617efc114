//! The record of a case: what was sent, answered and run, and what follows from it.

use std::fs;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    path: PathBuf,
    began: Instant,
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    pub fn new(folder: &str) -> Self {
        Self {
            path: PathBuf::from(folder).join("record.txt"),
            began: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Returns a time in seconds from the start of the case.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    /// Adds a line about what happened at a time.
    pub fn add(&self, at: Instant, line: String) {
        let seconds = self.seconds(at);
        self.lines.lock().unwrap().push((seconds, line));
    }

    /// Writes the conclusion, followed by the lines in the order of time.
    pub fn write(&self, conclusion: &str) {
        let mut lines = self.lines.lock().unwrap();
        lines.sort_by(|one, other| one.0.total_cmp(&other.0));
        let mut text = format!("{conclusion}\n\n");
        for (seconds, line) in lines.iter() {
            text.push_str(&format!("{seconds:9.3} s  {line}\n"));
        }
        if let Err(error) = fs::write(&self.path, text) {
            crate::cannot_run(&format!("{}: {error}", self.path.display()));
        }
        println!("{conclusion}");
    }
}
