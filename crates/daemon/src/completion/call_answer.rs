//! What became of a call to a plain service.

use iristhread_core::Outcome;
use serde::Deserialize;
use serde::Serialize;

/// The final answer of a call; the same for every delivery of its ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallAnswer {
    /// Whether it ran.
    pub outcome: Outcome,
    /// Status towards the caller.
    pub status: u16,
    /// Stable code of the error, if it is one of this system.
    pub code: Option<String>,
    /// A sentence for the caller, if it is an error of this system.
    pub message: Option<String>,
    /// Seconds after which a retry makes sense.
    pub retry_after_s: Option<u64>,
    /// Type of the body.
    pub content_type: Option<String>,
    /// Body of the backend server's answer.
    pub body: Vec<u8>,
}

impl CallAnswer {
    /// The backend server's own answer.
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

    /// Proved not to have run.
    pub fn not_run(status: u16, code: &str, message: impl Into<String>) -> Self {
        CallAnswer {
            retry_after_s: Some(1),
            ..Self::error(Outcome::NotRun, status, code, message)
        }
    }

    /// May have run.
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
