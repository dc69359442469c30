//! Record of a case, in `record.txt` of its folder.

use std::{fs::File, io::Write as _, path::Path, sync::Mutex, time::Instant};

pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("record")),
            start: Instant::now(),
        }
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line with the time of an earlier event.
    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{seconds:9.3} {text}");
    }
}
