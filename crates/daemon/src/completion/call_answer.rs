//! The result of a call to a plain service.

use iristhread_core::Outcome;
use serde::Deserialize;
use serde::Serialize;

/// The final answer to a call; the same for every delivery of its ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallAnswer {
    /// Whether the call ran.
    pub outcome: Outcome,
    /// HTTP status for the caller.
    pub status: u16,
    /// Stable error code, if the error is reported by this system.
    pub code: Option<String>,
    /// Error message, if the error is reported by this system.
    pub message: Option<String>,
    /// Seconds that the caller should wait before a retry.
    pub retry_after_s: Option<u64>,
    /// `Content-Type` of the body.
    pub content_type: Option<String>,
    /// Body of the backend server's answer; empty for errors of this system.
    pub body: Vec<u8>,
}

impl CallAnswer {
    /// Creates the answer for a call that the backend server answered itself.
    pub fn ran(status: u16, content_type: Option<String>, body: Vec<u8>) -> Self {
        CallAnswer {
            outcome: Outcome::Ran,
            status,
            code: None,
            message: None,
            retry_after_s: None,
            content_type,
            body,
        }
    }

    /// Creates the answer for a call that certainly did not run; a retry is advised after 1 s.
    pub fn not_run(status: u16, code: &str, message: impl Into<String>) -> Self {
        CallAnswer {
            retry_after_s: Some(1),
            ..Self::error(Outcome::NotRun, status, code, message)
        }
    }

    /// Creates the answer for a call that may have run, with status 502.
    pub fn unknown(code: &str, message: impl Into<String>) -> Self {
        Self::error(Outcome::Unknown, 502, code, message)
    }

    fn error(outcome: Outcome, status: u16, code: &str, message: impl Into<String>) -> Self {
        CallAnswer {
            outcome,
            status,
            code: Some(code.to_owned()),
            message: Some(message.into()),
            retry_after_s: None,
            content_type: None,
            body: Vec::new(),
        }
    }
}
