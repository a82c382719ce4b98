//! The rest that a backend server asked for: nothing is sent while it lasts, and after it
//! one request tries whether the server takes work again.

use std::time::Duration;

use crate::Now;
use crate::RequestId;

/// Time after which another request may try although nothing is known of the first: its task
/// may have ended with its caller. Longer than calls take, and streams to begin.
const LONGEST_TRIAL: Duration = Duration::from_secs(10);

/// Rest of one backend server, as this instance was asked for it.
///
/// A rest is no failure: the server is there, and its load is its own matter. But one that
/// was too busy would be too busy again if all that waited came back at the same moment, so
/// an instance sends one request first, and more once that was taken.
#[derive(Clone, Debug, Default)]
pub struct ServerBackoff {
    until: Now,
    /// The request that tries it, and since when.
    trial: Option<(RequestId, Now)>,
}

impl ServerBackoff {
    /// Notes that the server asked for rest. Of several the longest counts, in whatever
    /// order their answers are read.
    pub fn asked(&mut self, now: Now, rest: Duration) {
        self.until = self.until.max(now.saturating_add(rest));
        self.trial = None;
    }

    /// When it is over.
    pub fn until(&self) -> Now {
        self.until
    }

    /// How much longer it lasts.
    pub fn left(&self, now: Now) -> Duration {
        self.until.saturating_sub(now)
    }

    /// Whether a request may be sent: the rest is over and no other one is trying.
    pub fn may_send(&self, now: Now) -> bool {
        let trial_ends = |(_, since): &(RequestId, Now)| *since + LONGEST_TRIAL;
        let is_tried = self
            .trial
            .as_ref()
            .is_some_and(|trial| now < trial_ends(trial));
        self.left(now).is_zero() && !is_tried
    }

    /// Notes that a request is sent.
    pub fn sent(&mut self, now: Now, request: &str) {
        if self.may_send(now) {
            self.trial = Some((request.to_owned(), now));
        }
    }

    /// Notes that a request is at the server no longer; the next one may try if it did.
    pub fn gone(&mut self, request: &str) {
        if self.is_tried_by(request) {
            self.trial = None;
        }
    }

    /// Whether the server, by taking a request, has shown that the rest is behind it.
    /// Requests that it had taken before it asked show nothing.
    pub fn is_ended_by(&self, request: &str) -> bool {
        self.is_tried_by(request)
    }

    /// Whether the rest is over, so that an answer shows that the server takes work.
    pub fn is_over(&self, now: Now) -> bool {
        self.left(now).is_zero()
    }

    fn is_tried_by(&self, request: &str) -> bool {
        let trial = self.trial.as_ref();
        trial.is_some_and(|(trial, _)| trial == request)
    }
}
