//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Result<Self, String> {
        let path = format!("{folder}/record.txt");
        let file = File::create(&path).map_err(|error| format!("{path}: {error}"))?;
        Ok(Self {
            file: Mutex::new(file),
            began: Instant::now(),
        })
    }

    pub fn note(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        drop(writeln!(file, "{at:8.3} s  {text}"));
    }
}
