use std::fs;

use anyhow::Context as _;

/// Bytes in a KiB, as the system counts memory.
const KIB: f64 = 1024.0;

/// What a process has used.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    /// Processor time in microseconds.
    pub(crate) cpu: f64,
    /// Resident memory in bytes.
    pub(crate) memory: f64,
}

/// Reads what a process has used; `self` is the own one.
pub(crate) fn of(process: &str) -> anyhow::Result<Usage> {
    let mut nanos = 0.0;
    for task in fs::read_dir(format!("/proc/{process}/task"))? {
        let path = task?.path().join("schedstat");
        let text = fs::read_to_string(path).unwrap_or_default();
        let first = text.split_whitespace().next();
        nanos += first.and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0);
    }
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    let kib: f64 = kib.context("no VmRSS")?.parse()?;
    Ok(Usage {
        cpu: nanos / 1000.0,
        memory: kib * KIB,
    })
}

/// Returns the resident memory of the own process in bytes.
pub(crate) fn own_memory() -> anyhow::Result<f64> {
    Ok(of("self")?.memory)
}
