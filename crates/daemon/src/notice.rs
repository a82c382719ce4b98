//! Hears what answers say of their backend servers.

use iristhread_core::Replica;
use iristhread_core::RetryAfter;
use iristhread_core::ServerNotice;
use slog::info;

use crate::gateway::GatewayApp;

/// Notes what an answer to a request said of its backend server.
pub fn heard(app: &GatewayApp, replica: &Replica, notice: &ServerNotice, request: &str) {
    if notice.is_empty() {
        return;
    }
    if notice.is_leaving {
        app.metrics.noticed("leaving");
    }
    if notice.rest().is_some() {
        app.metrics.noticed("rest");
    }
    if notice.retry_after == RetryAfter::Unreadable {
        app.metrics.noticed("unreadable");
    }
    info!(app.log, "answer tells of its backend server";
        "request" => request,
        "backend_server" => &replica.id,
        "leaving" => notice.is_leaving,
        "rest_ms" => notice.rest().map(|rest| rest.as_millis() as u64),
        "unreadable" => notice.retry_after == RetryAfter::Unreadable);
}
