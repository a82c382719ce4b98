//! Error responses in the format that clients of completion APIs expect.

use iristhread_core::Outcome;
use serde::Deserialize;
use serde::Serialize;

/// Body of every response that is not a success.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// Description of an error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Message for the user.
    pub message: String,
    /// Class of the error, such as `invalid_request_error`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Invalid field of the request, if the error concerns one.
    pub param: Option<String>,
    /// Stable code of the error.
    pub code: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Seconds after which a retry may succeed; `None` if a retry is not advised.
    pub retry_after_s: Option<u64>,
}
