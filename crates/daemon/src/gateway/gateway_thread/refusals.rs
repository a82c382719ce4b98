//! Retry times of requests that backend servers refused.

use std::time::Duration;

use iristhread_core::PlacementRequest;

use super::GatewayThread;

impl GatewayThread {
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
            // The content was refused for lack of memory: its caller may retry at any instance.
            self.immediate_heartbeat.notify_one();
        }
        self.metrics.retries().told(retry_after);
        retry_after
    }
}
