//! Errors of the tool, each with an exit code.

use iristhread_api::HttpClientError;
use iristhread_core::Outcome;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// The command line or environment lacks something.
    #[error("{0}")]
    Usage(String),
    /// A file can't be read.
    #[error("{file}: can't be read: {cause}")]
    File {
        /// The file.
        file: String,
        /// What the system said.
        cause: String,
    },
    /// A document has faults; they were printed.
    #[error("{file}: {count} faults")]
    Faults {
        /// The file.
        file: String,
        /// How many.
        count: usize,
    },
    /// The request was refused or failed.
    #[error("{message} (outcome: {outcome})")]
    Refused {
        /// What the instance said.
        message: String,
        /// Whether it ran.
        outcome: Outcome,
    },
    /// No instance could be reached, or none answered as promised.
    #[error("no instance gave an answer: {0}")]
    Unreachable(String),
    /// A stream ended without its end mark on every instance.
    #[error("the stream is not whole after {received} tokens: {cause}")]
    Incomplete {
        /// Tokens received.
        received: usize,
        /// The last cause.
        cause: String,
    },
    /// A wait was over before its condition.
    #[error("{0}")]
    TimedOut(String),
}

impl CliError {
    /// Exit code: 1 failed and not run, 2 usage or faults, 3 unknown whether it
    /// ran, 4 stream not whole, 5 timed out.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Usage(_) | CliError::File { .. } | CliError::Faults { .. } => 2,
            CliError::Refused {
                outcome: Outcome::Unknown,
                ..
            } => 3,
            CliError::Refused { .. } | CliError::Unreachable(_) => 1,
            CliError::Incomplete { .. } => 4,
            CliError::TimedOut(_) => 5,
        }
    }
}

impl From<HttpClientError> for CliError {
    fn from(error: HttpClientError) -> Self {
        match error {
            HttpClientError::Status { body, status, .. } => {
                CliError::Unreachable(format!("{status}: {body}"))
            }
            other => CliError::Unreachable(other.to_string()),
        }
    }
}
