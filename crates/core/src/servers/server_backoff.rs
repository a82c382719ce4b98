//! A backoff that a backend server requested: nothing is sent while it lasts, and after it a
//! single trial request checks whether the server accepts work again.

use std::time::Duration;

use crate::Now;
use crate::RequestId;

/// Time after which another trial request may be sent although the first has no result: its task
/// may have ended with its caller. Longer than calls take, and than streams take to begin.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Backoff of one backend server, as requested in its answers to this instance.
///
/// A backoff is not a failure: the server is reachable and controls its own load. But an
/// overloaded server would be overloaded again if all waiting requests were sent to it at the same
/// time, so an instance sends one trial request first, and more once the server has accepted it.
#[derive(Clone, Debug, Default)]
pub struct ServerBackoff {
    until: Now,
    /// The trial request and when it was sent.
    trial_request: Option<(RequestId, Now)>,
}

impl ServerBackoff {
    /// Records that the server requested a backoff. Of several, the one that ends last applies,
    /// whatever the order in which the answers are read.
    pub fn asked(&mut self, now: Now, backoff: Duration) {
        self.until = self.until.max(now.saturating_add(backoff));
        self.trial_request = None;
    }

    /// When the backoff ends.
    pub fn until(&self) -> Now {
        self.until
    }

    /// Remaining time of the backoff.
    pub fn left(&self, now: Now) -> Duration {
        self.until.saturating_sub(now)
    }

    /// Whether a request may be sent: the backoff is over and no trial request is pending.
    pub fn may_send(&self, now: Now) -> bool {
        let trial_expires_at = |(_, since): &(RequestId, Now)| *since + TRIAL_TIMEOUT;
        let is_trial_pending = self
            .trial_request
            .as_ref()
            .is_some_and(|trial_request| now < trial_expires_at(trial_request));
        self.left(now).is_zero() && !is_trial_pending
    }

    /// Records that a request is sent, which becomes the trial request if none is pending.
    pub fn sent(&mut self, now: Now, request: &str) {
        if self.may_send(now) {
            self.trial_request = Some((request.to_owned(), now));
        }
    }

    /// Records that a request is no longer at the server; if it was the trial request, the next
    /// request may be one.
    pub fn gone(&mut self, request: &str) {
        if self.is_trial_request(request) {
            self.trial_request = None;
        }
    }

    /// Whether the server's acceptance of a request shows that the backoff has ended. Requests that
    /// it had accepted before it requested the backoff show nothing.
    pub fn is_ended_by(&self, request: &str) -> bool {
        self.is_trial_request(request)
    }

    /// Whether the backoff is over, so that an answer shows that the server accepts work.
    pub fn is_over(&self, now: Now) -> bool {
        self.left(now).is_zero()
    }

    fn is_trial_request(&self, request: &str) -> bool {
        let trial_request = self.trial_request.as_ref();
        trial_request.is_some_and(|(trial_request, _)| trial_request == request)
    }
}
