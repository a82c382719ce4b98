//! The result of a request to a backend server, with the server notice of its answer.

use iristhread_core::Now;
use iristhread_core::ObservedNotice;
use iristhread_core::ServerNotice;

/// The result of a request, an order or a query to a backend server, with the server notice of the
/// answer.
#[derive(Clone, Debug)]
pub struct Answered<T, E> {
    /// The result.
    pub result: Result<T, E>,
    /// The server notice of the answer; empty if there is no answer.
    pub notice: ServerNotice,
}

impl<T, E> Answered<T, E> {
    /// Returns the notice with the time at which the request was sent. `reports_limits` is true if
    /// the server would have declared its limit in this answer.
    pub fn heard(&self, sent_at: Now, reports_limits: bool) -> ObservedNotice {
        ObservedNotice {
            notice: self.notice,
            sent_at,
            reports_limits,
        }
    }

    /// Creates a result without a server notice, for an answer that has none or a missing answer.
    pub fn bare(result: Result<T, E>) -> Self {
        Answered {
            result,
            notice: ServerNotice::default(),
        }
    }
}
