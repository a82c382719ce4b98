//! Runs that this instance no longer waits for although their servers may still execute them: the
//! caller has disconnected, or the time of the attempt is over. A server that crashes soon
//! afterwards may have crashed under them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::crash_attribution::BrokenRun;
use crate::Fingerprint;
use crate::IncarnationId;
use crate::Now;
use crate::Replica;
use crate::ServerLife;

/// Maximum number of runs that are remembered: enough for all callers of an instance that leave
/// within some seconds.
const MAX_LEFT: usize = 1_024;

/// Times at which the server of a run is probed after the run was left. A server that accepts
/// connections at the last one did not crash under the run: it has stopped it long ago.
const PROBE_TIMES: [Duration; 3] = [
    Duration::from_millis(100),
    Duration::from_millis(400),
    Duration::from_millis(1_200),
];

/// A run and the probes of its server.
#[derive(Debug)]
struct LeftRun {
    run: BrokenRun,
    server: Replica,
    probes: usize,
}

impl LeftRun {
    fn is_due(&self, now: Now) -> bool {
        let next = PROBE_TIMES.get(self.probes);
        next.is_some_and(|after| now >= self.run.at + *after)
    }

    /// Counts all probes that are due as one.
    fn count_probes(&mut self, now: Now) {
        while self.is_due(now) {
            self.probes += 1;
        }
    }

    /// Whether the server has survived the run if it accepts a connection at `now`.
    fn is_over(&self, now: Now) -> bool {
        let last = PROBE_TIMES.last();
        last.is_some_and(|after| now >= self.run.at + *after)
    }
}

/// The remembered runs, those left first in front.
#[derive(Debug, Default)]
pub(super) struct LeftRuns {
    runs: VecDeque<LeftRun>,
}

impl LeftRuns {
    /// Remembers a run. A run of the same content on the same server takes the place of an earlier
    /// one, and the earliest is forgotten if there are too many.
    pub(super) fn add(&mut self, run: BrokenRun, server: Replica) {
        self.runs.retain(|left| !left.run.is_repeated_by(&run));
        self.runs.push_back(LeftRun {
            run,
            server,
            probes: 0,
        });
        if self.runs.len() > MAX_LEFT {
            self.runs.pop_front();
        }
    }

    /// Whether a run of this content is remembered.
    pub(super) fn has(&self, content: Fingerprint) -> bool {
        self.runs.iter().any(|left| left.run.fingerprint == content)
    }

    /// Returns the servers to probe now, each once.
    pub(super) fn due_probes(&mut self, now: Now) -> Vec<Replica> {
        let mut due: BTreeMap<IncarnationId, Replica> = BTreeMap::new();
        for left in self.runs.iter_mut().filter(|left| left.is_due(now)) {
            left.count_probes(now);
            due.entry(left.run.incarnation)
                .or_insert_with(|| left.server.clone());
        }
        due.into_values().collect()
    }

    /// Whether probes are still to come.
    pub(super) fn awaits_probes(&self) -> bool {
        let latest = self.runs.back();
        latest.is_some_and(|left| left.probes < PROBE_TIMES.len())
    }

    /// Forgets the runs that a server has survived that accepted a connection at `at`.
    pub(super) fn server_accepted(&mut self, server: &ServerLife, at: Now) {
        let has_survived = |left: &LeftRun| left.run.incarnation == server.life && left.is_over(at);
        self.runs.retain(|left| !has_survived(left));
    }

    /// Removes and returns the runs whose servers have ended.
    pub(super) fn take_ended(&mut self, has_ended: impl Fn(&BrokenRun) -> bool) -> Vec<BrokenRun> {
        let runs = std::mem::take(&mut self.runs);
        let (ended, others): (Vec<LeftRun>, Vec<LeftRun>) =
            runs.into_iter().partition(|left| has_ended(&left.run));
        self.runs = others.into();
        ended.into_iter().map(|left| left.run).collect()
    }

    /// Removes the runs that have been remembered for `timeout`.
    pub(super) fn expire(&mut self, now: Now, timeout: Duration) {
        let is_remembered = |left: &LeftRun| now.saturating_sub(left.run.at) < timeout;
        self.runs.retain(is_remembered);
    }
}
