//! The record of a run: one line for each event, with the milliseconds since the start of the run.

use std::fmt::Display;
use std::fs::File;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record that all threads of a run share.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    /// Creates the record at the path in `REVIEW_RECORD`.
    pub fn create() -> io::Result<Self> {
        let path = std::env::var("REVIEW_RECORD").map_err(io::Error::other)?;
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, started_at: Instant::now() })
    }

    /// Writes one event.
    pub fn note(&self, event: impl Display) {
        let at_ms = self.started_at.elapsed().as_secs_f64() * 1e3;
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at_ms:10.1} {event}");
        }
    }

    /// Writes a line of the result to the record and to standard output.
    pub fn conclude(&self, line: impl Display) {
        println!("{line}");
        self.note(line);
    }
}
