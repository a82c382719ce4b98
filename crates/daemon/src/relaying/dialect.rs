//! The border to the headers that callers and backend servers speak.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use http::StatusCode;
use iristhread_core::BackendId;
use iristhread_core::RequestId;
use iristhread_core::ServerNotice;
use thiserror::Error;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHead {
    /// Identifies this try of the caller.
    pub request: RequestId,
    /// How long the caller waits, from when it sent the request.
    pub patience: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// Tokens of the prompt; 0 when the request is for no engine.
    pub prompt_tokens: u32,
    /// Most tokens that the caller takes.
    pub max_tokens: u32,
    /// The caller's guess of the tokens that come out.
    pub expected_tokens: Option<u32>,
    /// The last event of the stream that the caller holds, `None` when it wants
    /// all. Means something only where streams may be resumed.
    pub last_event: Option<LastEvent>,
}

/// The last event of a stream that its caller holds, as the caller names it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LastEvent {
    /// The event of this id.
    Id(u64),
    /// What it sent is no id of an event.
    Unreadable,
}

/// Why a head can't be used.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HeadFault {
    /// The request has no id.
    #[error("the request has no id")]
    NoRequestId,
    /// A header can't be read.
    #[error("the header {0} can't be read")]
    Unreadable(&'static str),
}

/// Where a stream goes on from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumePoint {
    /// The copy of the session's memory; without one the engine reads the prompt
    /// and what came out anew.
    pub copy: Option<CopyName>,
    /// Id of the last event that the caller was sent, 0 for none.
    pub after_event: u64,
}

/// Names a copy of a session's memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CopyName {
    /// Made by a move; the engine that ran the session gave it a name.
    Moved {
        /// The engine that ran the session.
        source: SocketAddr,
        /// The name.
        handle: String,
    },
    /// Kept by this engine as the session grew.
    Backup {
        /// The engine that keeps it.
        keeper: SocketAddr,
    },
}

/// How a request is sent to a backend server.
#[derive(Clone, Debug)]
pub struct SendOrder {
    /// The request.
    pub request: RequestId,
    /// Only this life of the backend server may run it.
    pub replica: BackendId,
    /// Time left for the answer.
    pub time_left: Duration,
    /// Whose it is.
    pub workspace: Option<String>,
    /// Whether the caller's key stays here.
    pub hides_key: bool,
    /// Urgency at an engine, 0 is the most urgent.
    pub urgency: Option<u8>,
    /// Engine that keeps a copy of the session as it grows.
    pub backup: Option<SocketAddr>,
    /// Where a session goes on from.
    pub resume: Option<ResumePoint>,
}

/// What the head of a backend server's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// The request that it answers.
    pub request: Option<RequestId>,
    /// Whether it bears the mark of a whole answer of a backend server.
    pub is_stamped: bool,
    /// Whether the backend server says that it did not run the request.
    pub is_not_run: bool,
    /// What it says of the backend server itself.
    pub notice: ServerNotice,
}

/// Translates between headers and the product's types. Decides nothing.
pub trait Dialect: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`HeadFault`] names the header.
    fn read_caller(&self, headers: &HeaderMap) -> Result<CallerHead, HeadFault>;

    /// The headers that a backend server gets: the caller's, without those that
    /// are the system's to set, and those that the order asks for.
    fn write_order(&self, caller: &HeaderMap, order: &SendOrder) -> HeaderMap;

    /// Reads the head of an answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;
}
