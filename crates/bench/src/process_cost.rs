//! Processor time and memory of a process, as the system accounts them.

use std::time::Duration;

/// Ticks a second in `/proc`, fixed on Linux.
const TICKS_PER_S: u64 = 100;

/// Place of user and system time after the command name in `stat`.
const USER_FIELD: usize = 11;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessCost {
    /// Processor time in the program.
    pub user: Duration,
    /// Processor time in the system on its behalf.
    pub system: Duration,
    /// Resident memory now, KiB.
    pub resident_kib: u64,
}

impl ProcessCost {
    /// Processor time in all.
    pub fn cpu(&self) -> Duration {
        self.user + self.system
    }

    /// Adds what was used between two readings.
    pub fn add_since(&mut self, before: ProcessCost, after: ProcessCost) {
        self.user += after.user.saturating_sub(before.user);
        self.system += after.system.saturating_sub(before.system);
    }

    /// Reads it; zero when the process is gone.
    pub fn of(pid: u32) -> Self {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<u64> = after_name
            .split_whitespace()
            .map(|field| field.parse().unwrap_or(0))
            .collect();
        let ticks = |place: usize| fields.get(place).copied().unwrap_or(0);
        let time = |place| Duration::from_millis(ticks(place) * 1_000 / TICKS_PER_S);
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = line.and_then(|line| line.split_whitespace().next());
        ProcessCost {
            user: time(USER_FIELD),
            system: time(USER_FIELD + 1),
            resident_kib: resident.and_then(|text| text.parse().ok()).unwrap_or(0),
        }
    }
}
