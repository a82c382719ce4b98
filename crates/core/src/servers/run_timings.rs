//! Times the requests of this instance that run on backend servers.

use std::collections::HashMap;
use std::time::Duration;

use crate::IncarnationId;
use crate::Now;
use crate::RequestId;
use crate::TimedUnits;

/// What a request was doing since its last report.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// It waits for its first event. The server had to read this number of prompt tokens before.
    Reading { tokens_ahead: u64 },
    /// It had generated this number of tokens.
    Generating { generated: u32 },
    /// It has been interrupted: what it generates until the next report is not timed.
    Interrupted,
}

#[derive(Clone, Copy, Debug)]
struct RunTiming {
    server: IncarnationId,
    since: Now,
    /// Load of the server at that time, as a fraction of its slots.
    load: f64,
    phase: Phase,
}

/// Result of the timing of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timed {
    /// Its server read its prompt.
    Prompt {
        /// Prompt tokens of earlier requests that the server had to read before.
        tokens_ahead: u64,
        /// Time from the send to the first event.
        took: Duration,
    },
    /// Its server generated tokens.
    Tokens(TimedUnits),
}

/// Timings in progress by request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimings {
    runs: HashMap<RequestId, RunTiming>,
}

impl RunTimings {
    /// Records that a request was sent to a server. `tokens_ahead` are the prompt tokens that the
    /// server reads before those of the request.
    pub(crate) fn sent(
        &mut self,
        now: Now,
        request: &str,
        server: IncarnationId,
        load: f64,
        tokens_ahead: u64,
    ) {
        let timing = RunTiming {
            server,
            since: now,
            load,
            phase: Phase::Reading { tokens_ahead },
        };
        self.runs.insert(request.to_owned(), timing);
    }

    /// Records that a request has generated tokens at a server with a load. Returns the timing
    /// since the last report; `None` if it has begun to run on that server since then, or was
    /// interrupted.
    pub(crate) fn progress(
        &mut self,
        now: Now,
        request: &str,
        (server, load): (IncarnationId, f64),
        generated: u32,
    ) -> Option<Timed> {
        let timing = RunTiming {
            server,
            since: now,
            load,
            phase: Phase::Generating { generated },
        };
        let before = self.runs.insert(request.to_owned(), timing);
        let before = before.filter(|before| before.server == server)?;
        let took = now.saturating_sub(before.since);
        match before.phase {
            Phase::Reading { tokens_ahead } => Some(Timed::Prompt { tokens_ahead, took }),
            Phase::Generating { generated: earlier } => Some(Timed::Tokens(TimedUnits {
                units: f64::from(generated.saturating_sub(earlier)),
                took,
                load: f64::midpoint(before.load, load),
            })),
            Phase::Interrupted => None,
        }
    }

    /// Records that a request was answered by the server to which it was sent. Returns the timing
    /// of the answer; `None` if the request was sent again elsewhere.
    pub(crate) fn answered(&mut self, now: Now, request: &str, load: f64) -> Option<TimedUnits> {
        let sent = self.runs.remove(request)?;
        Some(TimedUnits {
            units: 1.0,
            took: now.saturating_sub(sent.since),
            load: f64::midpoint(sent.load, load),
        })
    }

    /// Records that a request has waited for something other than the speed of its server. A wait
    /// for the first event is one for the prompts ahead.
    pub(crate) fn interrupt(&mut self, request: &str) {
        let timing = self.runs.get_mut(request);
        let is_generating =
            |timing: &&mut RunTiming| matches!(timing.phase, Phase::Generating { .. });
        if let Some(timing) = timing.filter(is_generating) {
            timing.phase = Phase::Interrupted;
        }
    }

    /// Drops the timing of a request.
    pub(crate) fn forget(&mut self, request: &str) {
        self.runs.remove(request);
    }
}
