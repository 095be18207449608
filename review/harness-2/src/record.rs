//! What was sent, answered and run, with the time since the start of the case.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add(&self, line: impl Into<String>) {
        let now = self.now();
        self.lines
            .lock()
            .expect("no panic")
            .push((now, line.into()));
    }

    pub fn write(&self, file: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().expect("no panic").clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:9.3} s  {line}", at.as_secs_f64());
        }
        fs::write(file, text)
    }
}
