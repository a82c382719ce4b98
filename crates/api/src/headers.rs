//! Names of the headers that callers and backend servers exchange, and the parser of server
//! notices.

use http::HeaderMap;
use http::StatusCode;
use http::header;
use iristhread_core::ServerNotice;

/// Whether the request ran: `not_run`, `ran` or `unknown`.
pub const OUTCOME_HEADER: &str = "iristhread-outcome";

/// Request id in responses, as `iristhread explain` takes it.
pub const REQUEST_ID_HEADER: &str = "iristhread-request-id";

/// Ticket for a service call that must not be repeated.
pub const TICKET_HEADER: &str = "iristhread-ticket";

/// Milliseconds left until the deadline of the caller; decreases at each hop.
pub const DEADLINE_HEADER: &str = "iristhread-deadline-ms";

/// `1` in the responses of an engine or plain service that is draining.
pub const LEAVING_HEADER: &str = "iristhread-leaving";

/// Requests per second that an engine or plain service accepts from all instances together.
pub const LIMIT_HEADER: &str = "iristhread-limit";

/// Idempotency key sent to a plain service (IETF draft "The Idempotency-Key HTTP Header Field").
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Cursor of a reconnecting caller (HTML standard, server-sent events).
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";

/// Reads the notice of an engine or plain service from the status and headers of its response.
pub fn parse_server_notice(status: StatusCode, headers: &HeaderMap) -> ServerNotice {
    let text = |name: &str| {
        let value = headers.get(name);
        value.map(|value| value.to_str().unwrap_or_default())
    };
    let is_leaving = text(LEAVING_HEADER) == Some("1");
    let time = text(header::RETRY_AFTER.as_str());
    ServerNotice::of(status.as_u16(), is_leaving, time, text(LIMIT_HEADER))
}
