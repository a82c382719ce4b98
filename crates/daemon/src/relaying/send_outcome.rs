//! Outcomes of one send of a request to a backend server.

use http::HeaderMap;
use http::StatusCode;
use hyper::body::Incoming;
use iristhread_api::ends_with_connection;

use crate::engines::notices::SendRestriction;
use crate::relaying::wire_protocol::AnswerHead;

/// An answer of a backend server whose body has not been read yet.
pub struct BackendAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Response headers as received.
    pub headers: HeaderMap,
    /// Unread body.
    pub body: Incoming,
    /// Values from the response headers.
    pub head: AnswerHead,
}

/// The outcome of one send.
pub enum SendOutcome {
    /// An answer to this request.
    Answer(Box<BackendAnswer>),
    /// The connection failed: no byte was written.
    NotConnected(String),
    /// Nothing was sent: this instance has no path to the backend server.
    NoPath(String),
    /// Nothing was sent: the availability zone of the backend server is evacuated.
    ZoneEvacuated,
    /// Nothing was sent: a server notice of the backend server restricts sends of this kind.
    Withheld(SendRestriction),
    /// Nothing was sent: the deadline of the answer has passed.
    DeadlinePassed,
    /// Nothing was sent: the body was given up for other requests.
    BodyGivenUp,
    /// The connection was lost, or the answer is not an answer to this request.
    Lost(String),
    /// No answer arrived before the deadline.
    TimedOut,
}

impl SendOutcome {
    /// Label value used in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            SendOutcome::Answer(answer) if answer.head.is_not_run => "said_not_run",
            SendOutcome::Answer(_) => "answered",
            SendOutcome::NotConnected(_) => "not_connected",
            SendOutcome::NoPath(_) => "no_path",
            SendOutcome::ZoneEvacuated => "zone_closed",
            SendOutcome::Withheld(_) => "withheld",
            SendOutcome::DeadlinePassed => "deadline_passed",
            SendOutcome::BodyGivenUp => "body_given_up",
            SendOutcome::Lost(_) => "lost",
            SendOutcome::TimedOut => "timed_out",
        }
    }
}

impl BackendAnswer {
    /// Whether the answer has neither a length nor chunks, so that it ends with its connection: an
    /// answer that was cut looks like a whole one.
    pub fn ends_with_connection(&self) -> bool {
        ends_with_connection(&self.headers, &self.body)
    }

    /// Whether the status implies that the request was not run although the backend server did
    /// not state so. Such an answer must not be forwarded.
    pub fn is_ambiguous_refusal(&self) -> bool {
        let promises = matches!(self.status.as_u16(), 408 | 421 | 429 | 503);
        promises && !self.head.is_not_run
    }
}
