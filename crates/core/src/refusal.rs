//! Why a request is refused, and when it may come back.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Reason of a refusal; each is proved `not_run` by construction, because it
/// is decided before anything is sent to a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The workspace has sent more requests a second than its limit.
    RateLimit,
    /// The workspace has as many requests open as its limit.
    ConcurrencyLimit,
    /// The entry queue of the workspace is full.
    QueueFull,
    /// The request can't start before its deadline.
    Deadline,
    /// No live backend server can serve the request.
    NoBackend,
    /// The retry budget of the workspace or the backend server is spent.
    RetryBudget,
    /// The instance has no configuration in force.
    NotReady,
    /// Backend servers have ended under requests with the same content.
    Quarantined,
    /// All backend servers that could serve the request have asked for rest.
    Resting,
    /// All that could serve it take no more now: they have named limits.
    Limited,
}

impl RefusalKind {
    /// The form used in metrics.
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
        }
    }
}

/// Advice to a caller when nothing is there that could serve it.
const NO_BACKEND_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Longest advice to a caller whose request is quarantined: past the patience of any.
const MAX_QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Shortest: the time in which one instance tries such a request.
const MIN_QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A refusal with the time after which a retry makes sense.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// When to come back.
    pub retry_after: Duration,
    /// A sentence for the caller that names the limit.
    pub message: String,
}

impl Refusal {
    /// Creates a refusal.
    pub fn new(kind: RefusalKind, retry_after: Duration, message: impl Into<String>) -> Self {
        Refusal {
            kind,
            retry_after,
            message: message.into(),
        }
    }

    /// No configuration that names the workspace is in force.
    pub fn not_ready() -> Self {
        Refusal::new(
            RefusalKind::NotReady,
            NO_BACKEND_RETRY_AFTER,
            "no configuration that names the workspace is in force here",
        )
    }

    /// So many backend servers have ended under requests with the same content, which is
    /// quarantined for a time.
    pub fn quarantined(ends: usize, left: Duration) -> Self {
        Refusal::new(
            RefusalKind::Quarantined,
            left.clamp(MIN_QUARANTINE_RETRY_AFTER, MAX_QUARANTINE_RETRY_AFTER),
            format!("{ends} backend servers have ended under requests like this one"),
        )
    }

    /// All backend servers that could serve a request have asked for rest.
    pub fn resting(of: &str, left: Duration) -> Self {
        Refusal::new(
            RefusalKind::Resting,
            left,
            format!("all backend servers of {of} have asked for rest"),
        )
    }

    /// All backend servers that could serve a request have named limits.
    pub fn limited(of: &str, left: Duration) -> Self {
        Refusal::new(
            RefusalKind::Limited,
            left,
            format!("the backend servers of {of} take no more requests now: they named limits"),
        )
    }

    /// No backend server can serve a model now.
    pub fn no_backend(model: &str) -> Self {
        Refusal::new(
            RefusalKind::NoBackend,
            NO_BACKEND_RETRY_AFTER,
            format!("no backend server that serves {model} is available"),
        )
    }
}
