//! The three final outcomes of a request.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request was executed, as reported to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of the request reached a backend server, or the backend server answered that it
    /// did not run the request.
    NotRun,
    /// The request ran, and the answer is the result of that run.
    Ran,
    /// Neither `NotRun` nor `Ran` can be proved.
    Unknown,
}

impl Outcome {
    /// Returns the form used in headers and error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not_run",
            Outcome::Ran => "ran",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
