//! Names of the headers that are not standard ones, and what they say.

use http::HeaderMap;
use http::StatusCode;
use http::header;
use iristhread_core::ServerNotice;

/// One of `not_run`, `ran`, `unknown`.
pub const OUTCOME_HEADER: &str = "iristhread-outcome";

/// Id of the request, in answers; also what `iristhread explain` takes.
pub const REQUEST_ID_HEADER: &str = "iristhread-request-id";

/// A ticket for a call that may not be repeated.
pub const TICKET_HEADER: &str = "iristhread-ticket";

/// Milliseconds that the caller still waits; shrinks at each hop.
pub const DEADLINE_HEADER: &str = "iristhread-deadline-ms";

/// 1 in the answers of an engine or plain service that leaves.
pub const LEAVING_HEADER: &str = "iristhread-leaving";

/// Requests a second that an engine or plain service takes from all instances together.
pub const LIMIT_HEADER: &str = "iristhread-limit";

/// The idempotency key sent to a plain service (IETF draft of that name).
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The cursor that a caller holds (HTML standard, server-sent events).
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";

/// What the head of an answer says of its engine or plain service.
pub fn notice_of(status: StatusCode, headers: &HeaderMap) -> ServerNotice {
    let text = |name: &str| {
        let value = headers.get(name);
        value.map(|value| value.to_str().unwrap_or_default())
    };
    let is_leaving = text(LEAVING_HEADER) == Some("1");
    let time = text(header::RETRY_AFTER.as_str());
    ServerNotice::of(status.as_u16(), is_leaving, time, text(LIMIT_HEADER))
}
