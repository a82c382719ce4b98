//! Errors in the shape that clients of completion APIs read.

use iristhread_core::Outcome;
use serde::Deserialize;
use serde::Serialize;

/// Body of every answer that is not a success.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What went wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// A sentence for the user.
    pub message: String,
    /// Class, such as `invalid_request_error`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Field of the request at fault, if one is.
    pub param: Option<String>,
    /// Stable code of this error.
    pub code: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Seconds after which a retry makes sense, where it does.
    pub retry_after_s: Option<u64>,
}
