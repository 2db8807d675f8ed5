//! The record of a case: one line for each thing that was sent, answered or run.

use crate::lock;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record file, with the time since the start of the case.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    /// Creates the file `record.txt` in the folder of the case.
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record(Arc::new((Instant::now(), Mutex::new(file)))))
    }

    /// Milliseconds since the start of the case.
    pub fn ms(&self) -> u64 {
        self.0.0.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let elapsed = self.0.0.elapsed();
        let line = format!("{:8.3} {}\n", elapsed.as_secs_f64(), text.as_ref());
        let _ = lock(&self.0.1).write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
