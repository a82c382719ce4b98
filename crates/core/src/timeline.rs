//! A bounded ring buffer of typed events, from which the timeline over all processes is built.

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

/// An event on the timeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum TimelineEvent {
    /// A request was accepted for a decision.
    Submitted {
        /// Workspace of the caller.
        workspace: WorkspaceId,
        /// Requested model.
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
        /// Chosen backend server.
        engine: BackendId,
        /// Attempt that the backend server runs.
        attempt: Attempt,
        /// All compared candidates, with scores and reasons.
        candidates: Vec<Candidate>,
    },
    /// The request was refused before anything was sent.
    Refused {
        /// Reason of the refusal.
        kind: RefusalKind,
        /// Seconds after which a retry makes sense.
        retry_after_s: u64,
    },
    /// The first token of an attempt reached the instance.
    FirstToken {
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// An attempt was abandoned.
    AttemptLost {
        /// Number of the attempt.
        attempt: Attempt,
        /// Backend server that ran it.
        engine: BackendId,
        /// Observed cause of the loss.
        cause: String,
        /// Tokens delivered to the caller before the loss.
        delivered: u32,
    },
    /// The engine displaced the session and will resume it.
    Preempted {
        /// Number of the attempt.
        attempt: Attempt,
        /// Backend server that preempted the session.
        engine: BackendId,
    },
    /// A caller reconnected with a cursor.
    Reconnected {
        /// Tokens that the caller has already received.
        delivered: u32,
    },
    /// The caller's connection closed before the stream ended.
    CallerLost {
        /// Tokens written to the connection before it closed.
        delivered: u32,
    },
    /// The request ended.
    Ended {
        /// Outcome reported to the caller.
        outcome: Outcome,
        /// Total number of tokens delivered.
        delivered: u32,
        /// Reason for the end.
        reason: String,
    },
    /// A call to a service without an engine was forwarded to the instance named in its ticket.
    Forwarded {
        /// Instance that the call was forwarded to.
        instance: InstanceId,
    },
    /// A configuration was put in force.
    ConfigInForce {
        /// Version of the configuration.
        version: ConfigVersion,
        /// Source of the configuration.
        source: String,
    },
    /// A configuration was refused; the last valid one stays in force.
    ConfigRefused {
        /// Version of the configuration.
        version: ConfigVersion,
        /// First validation errors.
        reason: String,
    },
}

/// One event with its time and the instance that recorded it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimelineRecord {
    /// Hybrid logical time.
    pub time: HybridTime,
    /// Instance that recorded the event.
    pub instance: InstanceId,
    /// Request that the event concerns, if any.
    pub request: Option<RequestId>,
    /// An event on the timeline.
    #[serde(flatten)]
    pub event: TimelineEvent,
}

/// Ring buffer of the timeline records of one process.
#[derive(Debug)]
pub struct Timeline {
    instance: InstanceId,
    capacity: usize,
    records: VecDeque<TimelineRecord>,
}

impl Timeline {
    /// Creates a ring buffer for at most `capacity` records.
    pub fn new(instance: InstanceId, capacity: usize) -> Self {
        Timeline {
            instance,
            capacity,
            records: VecDeque::new(),
        }
    }

    /// Appends a record; drops the oldest one if the buffer is full.
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

    /// Returns the records after `after`, oldest first, either of all requests or of one. The
    /// records of one request include those of its reconnections, whose ids have the form `ID.…`.
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
