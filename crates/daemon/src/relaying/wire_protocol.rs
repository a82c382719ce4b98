//! The interface to the headers that callers and backend servers use on the wire.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use http::StatusCode;
use iristhread_core::BackendId;
use iristhread_core::RequestId;
use iristhread_core::ServerNotice;
use thiserror::Error;

/// Values from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHead {
    /// Identifies this attempt of the caller.
    pub request: RequestId,
    /// How long the caller waits for the answer, counted from when it sent the request.
    pub answer_timeout: Option<Duration>,
    /// The API key of the caller.
    pub key: Option<String>,
    /// Number of prompt tokens; 0 when the request is not for an engine.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens that the caller accepts.
    pub max_tokens: u32,
    /// The caller's estimate of the number of output tokens.
    pub expected_tokens: Option<u32>,
    /// Ids of the parts of the prompt that other requests may share, in the order of the prompt.
    pub shared_parts: Vec<String>,
    /// Id of the last part of the prompt, which belongs to the request itself or to its session.
    pub own_part: Option<String>,
    /// The last event of the stream that the caller has received, `None` when it requests the
    /// whole stream. Only used on routes whose streams may be resumed.
    pub last_event: Option<LastEvent>,
}

/// The last event of a stream that its caller has received, as stated by the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LastEvent {
    /// The event with this id.
    Id(u64),
    /// The value that the caller sent is not an event id.
    Unreadable,
}

/// Why the headers of a request are rejected.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HeadFault {
    /// The request id is missing.
    #[error("the request has no id")]
    NoRequestId,
    /// The named header can't be parsed.
    #[error("the header {0} can't be read")]
    Unreadable(&'static str),
}

/// The point from which a stream is resumed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumePoint {
    /// The copy of the session's memory to resume from. Without one the engine prefills the
    /// prompt and the output so far again.
    pub copy: Option<SessionCopy>,
    /// Id of the last event that was sent to the caller, 0 for none.
    pub after_event: u64,
}

/// Identifies a copy of a session's memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SessionCopy {
    /// Created by a move; named by the engine that ran the session.
    Moved {
        /// Address of the engine that ran the session.
        source: SocketAddr,
        /// Name of the copy.
        handle: String,
    },
    /// Backup that an engine has kept up to date as the session grew.
    Backup {
        /// Address of the engine that holds the backup.
        backup_engine: SocketAddr,
    },
}

/// Parameters of one send of a request to a backend server.
#[derive(Clone, Debug)]
pub struct SendParameters {
    /// Id of the request.
    pub request: RequestId,
    /// Only this incarnation of the backend server may run the request.
    pub replica: BackendId,
    /// Time left until the deadline of the answer.
    pub time_left: Duration,
    /// Workspace of the caller.
    pub workspace: Option<String>,
    /// Whether the caller's key is removed from the headers.
    pub hides_key: bool,
    /// Priority at an engine; 0 is the highest.
    pub priority: Option<u8>,
    /// Address of the engine that holds a backup of the session as it grows.
    pub backup: Option<SocketAddr>,
    /// The point to resume from; `None` for a stream that starts at its first event.
    pub resume: Option<ResumePoint>,
}

/// Values from the headers of a backend server's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Id of the request that is answered.
    pub request: Option<RequestId>,
    /// Whether the headers contain the stamp of a complete answer of a backend server.
    pub is_stamped: bool,
    /// Whether the backend server states that it did not run the request.
    pub is_not_run: bool,
    /// Server notice: what the backend server states about itself.
    pub notice: ServerNotice,
}

/// Translates between headers and the types of this crate. Makes no decisions.
pub trait WireProtocol: Send + Sync {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// [`HeadFault`] if the request id is missing or a header can't be parsed.
    fn read_caller_head(&self, headers: &HeaderMap) -> Result<CallerHead, HeadFault>;

    /// Returns the headers to send to a backend server: the caller's headers, without those
    /// that only this system may set, and those that follow from the parameters.
    fn write_headers(&self, caller: &HeaderMap, parameters: &SendParameters) -> HeaderMap;

    /// Reads the headers of a backend server's answer.
    fn read_answer_head(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;
}
