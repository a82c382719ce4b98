//! Errors of the command-line tool with their exit codes.

use iristhread_api::HttpClientError;
use iristhread_core::Outcome;
use thiserror::Error;

/// Reason why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// The command line or the environment is invalid or incomplete.
    #[error("{0}")]
    Usage(String),
    /// A file can't be read or parsed.
    #[error("can't read {file}: {cause}")]
    File {
        /// Name of the file.
        file: String,
        /// Error of the operating system or the parser.
        cause: String,
    },
    /// A configuration document has faults, which were printed.
    #[error("{file}: {count} faults")]
    Faults {
        /// Name of the file.
        file: String,
        /// Number of faults.
        count: usize,
    },
    /// The request was refused or failed.
    #[error("{message} (outcome: {outcome})")]
    Refused {
        /// Message of the instance, or of the failed request.
        message: String,
        /// Whether the request ran.
        outcome: Outcome,
    },
    /// No instance could be reached, or none gave a valid response.
    #[error("no instance gave a valid response: {0}")]
    Unreachable(String),
    /// A stream could not be completed at any instance.
    #[error("the stream is incomplete after {received} tokens: {cause}")]
    Incomplete {
        /// Number of tokens received.
        received: usize,
        /// Failure of the last connection.
        cause: String,
    },
    /// The timeout of a wait elapsed before its condition was met.
    #[error("{0}")]
    TimedOut(String),
}

impl CliError {
    /// Returns the exit code: 1 failed and not run, 2 usage error or faults in a file, 3 unknown
    /// whether the request ran, 4 incomplete stream, 5 timed out.
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
