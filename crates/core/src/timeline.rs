//! A bounded ring of typed events, for the time line over all processes.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::Attempt;
use crate::BackendId;
use crate::Candidate;
use crate::ConfigVersion;
use crate::HybridTime;
use crate::InstanceId;
use crate::Outcome;
use crate::RefusalKind;
use crate::RequestId;
use crate::WorkspaceId;

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum TimelineEvent {
    /// A request was accepted for a decision.
    Submitted {
        /// Workspace of the caller.
        workspace: WorkspaceId,
        /// Model asked for.
        model: String,
        /// Attempt that this submission is for.
        attempt: Attempt,
    },
    /// A request waits for a free backend server.
    Queued {
        /// Requests of the workspace in the queue, this one included.
        depth: usize,
    },
    /// A backend server was chosen.
    Placed {
        /// The chosen one.
        engine: BackendId,
        /// Attempt that it runs.
        attempt: Attempt,
        /// All that were compared, with scores and reasons.
        candidates: Vec<Candidate>,
    },
    /// The request was refused before anything was sent.
    Refused {
        /// Why.
        kind: RefusalKind,
        /// Seconds after which a retry makes sense.
        retry_after_s: u64,
    },
    /// The first token of an attempt reached the instance.
    FirstToken {
        /// Which attempt.
        attempt: Attempt,
    },
    /// An attempt was given up.
    AttemptLost {
        /// Which attempt.
        attempt: Attempt,
        /// Backend server that ran it.
        engine: BackendId,
        /// What was seen.
        cause: String,
        /// Tokens delivered to the caller by then.
        delivered: u32,
    },
    /// The engine displaced the session and will resume it.
    Preempted {
        /// Which attempt.
        attempt: Attempt,
        /// Backend server that did it.
        engine: BackendId,
    },
    /// A caller came back with a cursor.
    Reconnected {
        /// Tokens it holds.
        delivered: u32,
    },
    /// The caller's connection ended before the stream did.
    CallerLost {
        /// Tokens written towards it by then.
        delivered: u32,
    },
    /// The request ended.
    Ended {
        /// Outcome told to the caller.
        outcome: Outcome,
        /// Tokens delivered in all.
        delivered: u32,
        /// Why it ended.
        reason: String,
    },
    /// A call to a plain service was forwarded to the instance of its ticket.
    Forwarded {
        /// That instance.
        instance: InstanceId,
    },
    /// A configuration came into force.
    ConfigInForce {
        /// Its version.
        version: ConfigVersion,
        /// Where it came from.
        source: String,
    },
    /// A configuration was refused; the last good one stays in force.
    ConfigRefused {
        /// Its version.
        version: ConfigVersion,
        /// The first faults found.
        reason: String,
    },
}

/// One event with its place in time and space.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimelineRecord {
    /// Hybrid logical time.
    pub time: HybridTime,
    /// Instance that recorded it.
    pub instance: InstanceId,
    /// Request that it is about, if any.
    pub request: Option<RequestId>,
    /// What happened.
    #[serde(flatten)]
    pub event: TimelineEvent,
}

/// The ring of one process.
#[derive(Debug)]
pub struct Timeline {
    instance: InstanceId,
    capacity: usize,
    records: VecDeque<TimelineRecord>,
}

impl Timeline {
    /// Creates a ring for at most `capacity` records.
    pub fn new(instance: InstanceId, capacity: usize) -> Self {
        Timeline {
            instance,
            capacity,
            records: VecDeque::new(),
        }
    }

    /// Appends a record and drops the oldest when full.
    pub fn record(&mut self, time: HybridTime, request: Option<RequestId>, event: TimelineEvent) {
        if self.records.len() == self.capacity {
            self.records.pop_front();
        }
        self.records.push_back(TimelineRecord {
            time,
            instance: self.instance.clone(),
            request,
            event,
        });
    }

    /// Records after `after`, oldest first, of one request (with those that came
    /// back for its generation, `ID.…`) or of all.
    pub fn since(&self, after: HybridTime, request: Option<&str>) -> Vec<TimelineRecord> {
        let wanted = |record: &&TimelineRecord| {
            record.time > after && request.is_none_or(|id| is_about(record, id))
        };
        self.records.iter().filter(wanted).cloned().collect()
    }
}

fn is_about(record: &TimelineRecord, id: &str) -> bool {
    let Some(request) = record.request.as_deref() else {
        return false;
    };
    let rest = request.strip_prefix(id);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}
