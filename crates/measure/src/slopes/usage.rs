use std::fs;

use anyhow::Context as _;

/// Bytes in a KiB, the unit of `VmRSS` in `/proc/PID/status`.
const KIB: f64 = 1024.0;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    /// Processor time of all threads, in microseconds.
    pub(crate) cpu_micros: f64,

    pub(crate) resident_bytes: f64,
}

/// Reads the resource usage of a process by its id; `self` stands for this process.
pub(crate) fn read(process: &str) -> anyhow::Result<Usage> {
    let mut nanos = 0.0;
    for task in fs::read_dir(format!("/proc/{process}/task"))? {
        let path = task?.path().join("schedstat");
        let text = fs::read_to_string(path).unwrap_or_default();
        let cpu_nanos = text.split_whitespace().next();
        nanos += cpu_nanos.and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0);
    }
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    let kib: f64 = kib.context("/proc/PID/status lacks VmRSS")?.parse()?;
    Ok(Usage {
        cpu_micros: nanos / 1000.0,
        resident_bytes: kib * KIB,
    })
}

pub(crate) fn own_resident_bytes() -> anyhow::Result<f64> {
    Ok(read("self")?.resident_bytes)
}
