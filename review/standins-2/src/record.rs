//! The record of a run: what was sent, answered and run, with the time of each line.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A record that all threads of a run share.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates an empty record at `path`.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { start: Instant::now(), file })
    }

    /// Returns the time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Appends a line with the present time.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics while it writes");
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    /// Appends a line, and prints it as well.
    pub fn print(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
