//! Processor time and memory of a process, as the system accounts them.

use std::time::Duration;

/// Ticks a second in `/proc`, fixed on Linux.
const TICKS_PER_S: u64 = 100;

/// Place of user and system time after the command name in `stat`.
const USER_FIELD: usize = 11;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessCost {
    /// Processor time.
    pub cpu: Duration,
    /// Resident memory now, KiB.
    pub resident_kib: u64,
}

impl ProcessCost {
    /// Reads it; zero when the process is gone.
    pub fn of(pid: u32) -> Self {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<u64> = after_name
            .split_whitespace()
            .map(|field| field.parse().unwrap_or(0))
            .collect();
        let ticks = fields.iter().skip(USER_FIELD).take(2).sum::<u64>();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = line.and_then(|line| line.split_whitespace().next());
        ProcessCost {
            cpu: Duration::from_millis(ticks * 1_000 / TICKS_PER_S),
            resident_kib: resident.and_then(|text| text.parse().ok()).unwrap_or(0),
        }
    }
}
