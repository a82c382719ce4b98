//! Reasons for refusing a request, and when the caller may retry.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ExpectedRoom;
use crate::QuarantineCause;
use crate::SuspectKind;

/// Reason of a refusal. A refused request is known to be `not_run`, because the decision is made
/// before anything is sent to a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The workspace has exceeded its limit of requests per second.
    RateLimit,
    /// The workspace has reached its limit of open requests.
    ConcurrencyLimit,
    /// The entry queue of the workspace is full, or no engine has room for the request now.
    QueueFull,
    /// The request can't start before its deadline.
    Deadline,
    /// No live backend server can serve the request.
    NoBackend,
    /// The retry budget of the workspace or the backend server is spent.
    RetryBudget,
    /// The instance has no configuration in force.
    NotReady,
    /// Backend servers have crashed under requests with the same fingerprint.
    Quarantined,
    /// All backend servers that could serve the request are backing off.
    Resting,
    /// All backend servers that could serve the request have announced limits and accept no more at
    /// present.
    Limited,
    /// The instance stops.
    Stopping,
}

impl RefusalKind {
    /// Returns the label value used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalKind::RateLimit => "rate_limit",
            RefusalKind::ConcurrencyLimit => "concurrency_limit",
            RefusalKind::QueueFull => "queue_full",
            RefusalKind::Deadline => "deadline",
            RefusalKind::NoBackend => "no_backend",
            RefusalKind::RetryBudget => "retry_budget",
            RefusalKind::NotReady => "not_ready",
            RefusalKind::Quarantined => "quarantined",
            RefusalKind::Resting => "resting",
            RefusalKind::Limited => "limited",
            RefusalKind::Stopping => "stopping",
        }
    }
}

/// Retry-After for a caller when no configuration or backend server can serve the request.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Upper bound of the Retry-After for a quarantined request: longer than the timeout of any caller.
const MAX_QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Lower bound of the Retry-After for a quarantined request: the interval at which one instance
/// tries such a request.
const MIN_QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A refusal with the time after which a retry makes sense.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub kind: RefusalKind,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
    /// Message for the caller, naming the limit.
    pub message: String,
    /// The forecast behind `retry_after`, if it follows from one.
    pub room: Option<ExpectedRoom>,
}

impl Refusal {
    /// Creates a refusal.
    pub fn new(kind: RefusalKind, retry_after: Duration, message: impl Into<String>) -> Self {
        Refusal {
            kind,
            retry_after,
            message: message.into(),
            room: None,
        }
    }

    /// Creates a refusal for a workspace that no configuration in force names.
    pub fn not_ready() -> Self {
        Refusal::new(
            RefusalKind::NotReady,
            UNAVAILABLE_RETRY_AFTER,
            "no configuration that names the workspace is in force here",
        )
    }

    /// Creates a refusal for a request that is quarantined because backend servers have crashed under
    /// requests with the same content or part of their prompt. `left` is the remaining quarantine
    /// time.
    pub fn quarantined(cause: &QuarantineCause, left: Duration) -> Self {
        let ends = cause.ends;
        let message = match cause.kind {
            SuspectKind::Content => {
                format!("{ends} backend servers have ended under requests like this one")
            }
            SuspectKind::Part(_) | SuspectKind::PartInFleet(_) => format!(
                "{ends} backend servers have ended under requests with the same part {} of their \
                 prompts",
                cause.fingerprint
            ),
        };
        let retry_after = left.clamp(MIN_QUARANTINE_RETRY_AFTER, MAX_QUARANTINE_RETRY_AFTER);
        Refusal::new(RefusalKind::Quarantined, retry_after, message)
    }

    /// Creates a refusal because all backend servers of `of` are backing off, for `left` at least.
    pub fn resting(of: &str, left: Duration) -> Self {
        Refusal::new(
            RefusalKind::Resting,
            left,
            format!("all backend servers of {of} have asked for rest"),
        )
    }

    /// Creates a refusal because all backend servers of `of` have announced limits.
    pub fn limited(of: &str, left: Duration) -> Self {
        Refusal::new(
            RefusalKind::Limited,
            left,
            format!("the backend servers of {of} take no more requests now: they named limits"),
        )
    }

    /// Creates a refusal because no backend server can serve the model now.
    pub fn no_backend(model: &str) -> Self {
        Refusal::new(
            RefusalKind::NoBackend,
            UNAVAILABLE_RETRY_AFTER,
            format!("no backend server that serves {model} is available"),
        )
    }
}
