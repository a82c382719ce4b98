//! Refusals and the retry times that callers are told.

use std::time::Duration;

use iristhread_core::Fingerprint;
use iristhread_core::PlacementRequest;
use iristhread_core::Refusal;
use slog::info;

use super::GatewayThread;
use super::placement_fields::PlacementFields;

impl GatewayThread {
    /// Logs and counts a refusal. Other instances learn at once that a content was refused for lack
    /// of memory, since its caller may come back to any of them.
    pub(super) fn record_refusal(
        &self,
        (request, fingerprint): (&str, Fingerprint),
        fields: PlacementFields,
        is_retry: bool,
        refusal: &Refusal,
    ) {
        self.metrics.refused(refusal.kind.as_str());
        let retries = self.metrics.retries();
        retries.refused(is_retry);
        retries.told(refusal.retry_after);
        if refusal.room.is_some() {
            self.immediate_heartbeat.notify_one();
        }
        let forecast = refusal.room.and_then(|room| room.after);
        info!(self.log, "request refused";
            "request" => request,
            "content" => fingerprint.to_string(),
            fields,
            "reason" => &refusal.message,
            "retry_after_ms" => refusal.retry_after.as_millis() as u64,
            "room_forecast_ms" => forecast.map(|after| after.as_millis() as u64),
            "tokens_waiting_to_retry" => refusal.room.map(|room| room.waiting_tokens),
            "is_retry" => is_retry,
            "list_revision" => %self.control.list().revision());
    }

    /// Returns the Retry-After of a request that no backend server accepted.
    pub(super) fn caller_retry_after(
        &mut self,
        ask: &PlacementRequest,
        otherwise: Duration,
    ) -> Duration {
        let was_retry = self.control.is_retry(ask);
        let now = self.clock.now();
        let retry_after = self.control.caller_retry_after(now, ask, otherwise);
        if !was_retry && self.control.is_retry(ask) {
            self.immediate_heartbeat.notify_one();
        }
        self.metrics.retries().told(retry_after);
        retry_after
    }
}
