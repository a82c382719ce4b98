//! Server notices: statements in an answer about the backend server itself, independent of the
//! result of the request.

use std::time::Duration;

use crate::Now;
use crate::RequestRate;

/// Status of an answer that rejects a request because of the server's state
/// (RFC 9110, section 15.6.4).
const UNAVAILABLE: u16 = 503;

/// Status of an answer that rejects a request because the caller sends too many (RFC 6585,
/// section 4).
const TOO_MANY_REQUESTS: u16 = 429;

/// Maximum backoff: one day. A mistyped number must not take a server out of service for as long
/// as an instance runs.
const MAX_BACKOFF: Duration = Duration::from_secs(24 * 3_600);

/// The `Retry-After` value of an answer (RFC 9110, section 10.2.3). Dates are not supported: the
/// clocks of different machines differ by more than a backoff lasts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RetryAfter {
    /// The answer has none.
    #[default]
    Absent,
    /// The delay after which to retry.
    In(Duration),
    /// The value can't be parsed.
    Unreadable,
}

impl RetryAfter {
    /// Parses seconds, including fractions. Larger values than a day become a day.
    pub fn parse(text: &str) -> RetryAfter {
        match text.trim().parse::<f64>() {
            Ok(seconds) if seconds.is_finite() && seconds >= 0.0 => {
                let max_seconds = MAX_BACKOFF.as_secs_f64();
                RetryAfter::In(Duration::from_secs_f64(seconds.min(max_seconds)))
            }
            _ => RetryAfter::Unreadable,
        }
    }
}

/// The limit in requests per second that a server declares for all instances together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DeclaredLimit {
    /// The answer declares none.
    #[default]
    Absent,
    /// The declared rate.
    Of(RequestRate),
    /// The value can't be parsed.
    Unreadable,
}

impl DeclaredLimit {
    /// Parses a decimal number of requests per second.
    pub fn parse(text: &str) -> DeclaredLimit {
        match text.trim().parse::<f64>() {
            Ok(per_s) if per_s.is_finite() && per_s >= 0.0 => {
                DeclaredLimit::Of(RequestRate::from_per_s(per_s))
            }
            _ => DeclaredLimit::Unreadable,
        }
    }

    /// The declared rate, if there is one that could be parsed.
    pub fn rate(self) -> Option<RequestRate> {
        match self {
            DeclaredLimit::Of(rate) => Some(rate),
            DeclaredLimit::Absent | DeclaredLimit::Unreadable => None,
        }
    }
}

/// The number of rejections a second, of all instances together, that a server declares to
/// withstand: with more it falls over.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DeclaredBound {
    /// The answer declares none.
    #[default]
    Absent,
    /// The declared number.
    Of(u32),
    /// The value can't be parsed.
    Unreadable,
}

impl DeclaredBound {
    /// Parses a whole number.
    pub fn parse(text: &str) -> DeclaredBound {
        let bound = text.trim().parse();
        bound.map_or(DeclaredBound::Unreadable, DeclaredBound::Of)
    }

    /// The declared number, if there is one that could be parsed.
    pub fn rejections_per_s(self) -> Option<u32> {
        match self {
            DeclaredBound::Of(bound) => Some(bound),
            DeclaredBound::Absent | DeclaredBound::Unreadable => None,
        }
    }
}

/// The notice of one answer about its backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerNotice {
    /// The server is draining.
    pub is_leaving: bool,
    /// The time after which to retry, if the server rejected the request.
    pub retry_after: RetryAfter,
    /// The declared limit for all instances together, whatever the result of the request.
    pub limit: DeclaredLimit,
    /// The declared bound of rejections, whatever the result of the request.
    pub brittle: DeclaredBound,
}

impl ServerNotice {
    /// Reads the notice of an answer. `Retry-After` counts only if the request was rejected: in
    /// other answers it refers to the request and not to the server.
    pub fn of(
        status: u16,
        is_leaving: bool,
        retry_after: Option<&str>,
        limit: Option<&str>,
    ) -> ServerNotice {
        let is_rejection = matches!(status, UNAVAILABLE | TOO_MANY_REQUESTS);
        let retry_after = retry_after.filter(|_| is_rejection);
        ServerNotice {
            is_leaving,
            retry_after: retry_after.map_or(RetryAfter::Absent, RetryAfter::parse),
            limit: limit.map_or(DeclaredLimit::Absent, DeclaredLimit::parse),
            brittle: DeclaredBound::Absent,
        }
    }

    /// Adds the declared bound of rejections, if the answer has one.
    pub fn with_brittle(self, bound: Option<&str>) -> ServerNotice {
        ServerNotice {
            brittle: bound.map_or(DeclaredBound::Absent, DeclaredBound::parse),
            ..self
        }
    }

    /// The backoff that the server requests from the instance that it answered; `None` if it
    /// requests none or one of zero length.
    pub fn rest(&self) -> Option<Duration> {
        match self.retry_after {
            RetryAfter::In(backoff) if !backoff.is_zero() => Some(backoff),
            _ => None,
        }
    }

    /// Whether a value of the notice can't be parsed.
    pub fn is_unreadable(&self) -> bool {
        self.retry_after == RetryAfter::Unreadable
            || self.limit == DeclaredLimit::Unreadable
            || self.brittle == DeclaredBound::Unreadable
    }

    /// Whether the notice is empty.
    pub fn is_empty(&self) -> bool {
        *self == ServerNotice::default()
    }
}

/// The notice of one answer, with the data that orders it among other answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ObservedNotice {
    /// The notice.
    pub notice: ServerNotice,
    /// When the answered request was sent.
    pub sent_at: Now,
    /// Whether the server would have declared its limit in this answer, so that a missing limit
    /// means that there is none. False for answers to orders and queries, and for failures and
    /// refusals, which may come from another program.
    pub reports_limits: bool,
}
