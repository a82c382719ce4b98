//! What connection attempts show about a backend server.

use iristhread_api::DialError;

/// What the attempt to connect to a server shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// The server accepts the connection.
    Accepts,
    /// Only a peer reaches the server: the server lives, and this instance is cut off from it.
    OnlyByPeer,
    /// The server refuses the connection, also to a peer: it has ended.
    Refuses,
    /// The server refuses the connection, and no instance is known to reach another server of the
    /// service: the server has ended, or this instance is cut off from all of them.
    RefusesHere,
    /// The server does not answer.
    Silent,
    /// No instance that reaches other servers of the service was found, or this instance is late
    /// itself: nothing is known about the server.
    Unknown,
}

impl Reach {
    /// Text for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Reach::Accepts => "accepts",
            Reach::OnlyByPeer => "only_by_peer",
            Reach::Refuses => "refuses",
            Reach::RefusesHere => "refuses_here",
            Reach::Silent => "silent",
            Reach::Unknown => "unknown",
        }
    }

    /// Returns what a direct connection attempt shows.
    pub fn of<C>(dialed: &Result<C, DialError>) -> Reach {
        match dialed {
            Ok(_) => Reach::Accepts,
            Err(error) => Reach::of_failed(error),
        }
    }

    /// Returns what a failed direct connection attempt shows.
    pub fn of_failed(error: &DialError) -> Reach {
        match error {
            DialError::Refused => Reach::Refuses,
            DialError::NoPath(_) => Reach::Unknown,
            DialError::Silent(_) | DialError::Failed(_) => Reach::Silent,
        }
    }
}
