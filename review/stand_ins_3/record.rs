//! Record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write as _,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be created")),
        })
    }

    /// Returns the time since the start of the case.
    pub fn time(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.time().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {}", text.as_ref());
    }
}
