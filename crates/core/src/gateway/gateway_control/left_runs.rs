//! Runs that this instance no longer waits for although their servers may still execute them: the
//! caller has disconnected, or the time of the attempt is over. A server that crashes soon
//! afterwards may have crashed under them.

use std::collections::VecDeque;
use std::time::Duration;

use super::crash_attribution::BrokenRun;
use crate::Now;

/// Maximum number of runs that are remembered: enough for all callers of an instance that leave
/// within some seconds.
const MAX_LEFT: usize = 1_024;

/// Time for which a run is remembered: a crash is confirmed at the latest by the list of backend
/// servers.
const LEFT_RUN_LIFETIME: Duration = Duration::from_secs(10);

/// The remembered runs, those left first in front.
#[derive(Debug, Default)]
pub(super) struct LeftRuns {
    runs: VecDeque<BrokenRun>,
}

impl LeftRuns {
    /// Remembers a run. A run of the same content on the same server takes the place of an earlier
    /// one, and the earliest is forgotten if there are too many.
    pub(super) fn add(&mut self, left: BrokenRun) {
        self.runs.retain(|run| !run.is_repeated_by(&left));
        self.runs.push_back(left);
        if self.runs.len() > MAX_LEFT {
            self.runs.pop_front();
        }
    }

    /// Removes and returns the runs whose servers have ended.
    pub(super) fn take_ended(&mut self, has_ended: impl Fn(&BrokenRun) -> bool) -> Vec<BrokenRun> {
        let runs = std::mem::take(&mut self.runs);
        let (ended, others): (Vec<BrokenRun>, Vec<BrokenRun>) =
            runs.into_iter().partition(has_ended);
        self.runs = others.into();
        ended
    }

    /// Removes the runs that have been remembered for long enough.
    pub(super) fn expire(&mut self, now: Now) {
        self.runs
            .retain(|run| now.saturating_sub(run.at) < LEFT_RUN_LIFETIME);
    }
}
