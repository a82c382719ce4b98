//! What an answer says of the backend server that gave it, whatever it says of the
//! request.

use std::time::Duration;

use crate::Now;
use crate::RequestRate;

/// Status of an answer that turns a request away because of the server's state
/// (RFC 9110, section 15.6.4).
const UNAVAILABLE: u16 = 503;

/// The same for a caller that sends too much (RFC 6585, section 4).
const TOO_MANY_REQUESTS: u16 = 429;

/// Longest rest that is granted: a day. A mistyped figure should not take a server out of
/// service for the life of an instance.
const LONGEST_REST: Duration = Duration::from_secs(24 * 3_600);

/// The time to come back that an answer names (RFC 9110, section 10.2.3). Its form as a
/// date is not read: clocks of different machines differ by more than a rest lasts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RetryAfter {
    /// It names none.
    #[default]
    Absent,
    /// After so long.
    In(Duration),
    /// It names one that can't be read.
    Unreadable,
}

impl RetryAfter {
    /// Reads seconds, fractions included.
    pub fn parse(text: &str) -> RetryAfter {
        match text.trim().parse::<f64>() {
            Ok(seconds) if seconds.is_finite() && seconds >= 0.0 => {
                let longest = LONGEST_REST.as_secs_f64();
                RetryAfter::In(Duration::from_secs_f64(seconds.min(longest)))
            }
            _ => RetryAfter::Unreadable,
        }
    }
}

/// The requests a second that a server takes from all instances together, as an answer names
/// it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DeclaredLimit {
    /// It names none.
    #[default]
    Absent,
    /// So many.
    Of(RequestRate),
    /// It names one that can't be read.
    Unreadable,
}

impl DeclaredLimit {
    /// Reads a decimal number of requests a second.
    pub fn parse(text: &str) -> DeclaredLimit {
        match text.trim().parse::<f64>() {
            Ok(per_s) if per_s.is_finite() && per_s >= 0.0 => {
                DeclaredLimit::Of(RequestRate::from_per_s(per_s))
            }
            _ => DeclaredLimit::Unreadable,
        }
    }

    /// The rate, where one was read.
    pub fn rate(self) -> Option<RequestRate> {
        match self {
            DeclaredLimit::Of(rate) => Some(rate),
            DeclaredLimit::Absent | DeclaredLimit::Unreadable => None,
        }
    }
}

/// What one answer says of its backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerNotice {
    /// It leaves.
    pub is_leaving: bool,
    /// It turned the request away, and names a time to come back.
    pub retry_after: RetryAfter,
    /// What it takes from all instances together, whatever became of the request.
    pub limit: DeclaredLimit,
}

impl ServerNotice {
    /// Reads the notice of an answer. A time to come back counts only where the request was
    /// turned away: anywhere else it speaks of the request.
    pub fn of(
        status: u16,
        is_leaving: bool,
        retry_after: Option<&str>,
        limit: Option<&str>,
    ) -> ServerNotice {
        let turns_away = matches!(status, UNAVAILABLE | TOO_MANY_REQUESTS);
        let retry_after = retry_after.filter(|_| turns_away);
        ServerNotice {
            is_leaving,
            retry_after: retry_after.map_or(RetryAfter::Absent, RetryAfter::parse),
            limit: limit.map_or(DeclaredLimit::Absent, DeclaredLimit::parse),
        }
    }

    /// How long the server wants nothing from whom it answered; `None` when it asks for no
    /// rest, or for one of no length.
    pub fn rest(&self) -> Option<Duration> {
        match self.retry_after {
            RetryAfter::In(rest) if !rest.is_zero() => Some(rest),
            _ => None,
        }
    }

    /// Whether it says something that can't be read.
    pub fn is_unreadable(&self) -> bool {
        self.retry_after == RetryAfter::Unreadable || self.limit == DeclaredLimit::Unreadable
    }

    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        *self == ServerNotice::default()
    }
}

/// What one answer said of its server, with what orders it among other answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ObservedNotice {
    /// What it said.
    pub notice: ServerNotice,
    /// When what it answers was sent.
    pub sent_at: Now,
    /// Whether the server would have named its limit in this answer: one that it names no
    /// more it doesn't have. Answers to orders and questions don't say so, nor do failures and
    /// refusals, which another program may have given.
    pub reports_limits: bool,
}
