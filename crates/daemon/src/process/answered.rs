//! An answer of a backend server with what it says of the server itself.

use iristhread_core::Now;
use iristhread_core::ObservedNotice;
use iristhread_core::ServerNotice;

/// What became of a request, an order or a question, and what the answer says of its backend
/// server.
#[derive(Clone, Debug)]
pub struct Answered<T, E> {
    /// What became of it.
    pub result: Result<T, E>,
    /// What the answer says of the server.
    pub notice: ServerNotice,
}

impl<T, E> Answered<T, E> {
    /// What was heard of the server; `reports_limits` where it would have named its limit.
    pub fn heard(&self, sent_at: Now, reports_limits: bool) -> ObservedNotice {
        ObservedNotice {
            notice: self.notice,
            sent_at,
            reports_limits,
        }
    }

    /// An answer that says nothing of its server, or none at all.
    pub fn bare(result: Result<T, E>) -> Self {
        Answered {
            result,
            notice: ServerNotice::default(),
        }
    }
}
