//! Logs and counts what is known of the speed of backend servers.

use iristhread_core::ServerView;
use slog::KV;
use slog::Record;
use slog::Serializer;
use slog::info;

use super::GatewayThread;

/// Speed of a chosen backend server and the forecasts that follow from it, as fields of a log line.
pub(super) struct SpeedFields(pub ServerView);

impl KV for SpeedFields {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let ServerView {
            relative_time,
            first_event,
            event_gap,
            ..
        } = self.0;
        serializer.emit_f64("relative_time", relative_time)?;
        serializer.emit_u64("first_event_forecast_ms", first_event.as_millis() as u64)?;
        serializer.emit_u64("event_gap_forecast_ms", event_gap.as_millis() as u64)
    }
}

impl GatewayThread {
    /// Logs the backend servers whose speed has begun or ceased to be usual, and sets the gauges.
    pub(super) fn report_speeds(&mut self) {
        for change in self.control.take_speed_changes() {
            info!(self.log, "speed of a backend server changed";
                "backend_server" => &change.server.id,
                "life" => change.server.life,
                "speed" => change.class.as_str(),
                "relative_time" => change.relative_time,
                "own_measured_ms" => change.own.measured_ms,
                "own_expected_ms" => change.own.expected_ms,
                "peers_measured_ms" => change.peers.measured_ms,
                "peers_expected_ms" => change.peers.expected_ms,
                "instances_counted" => self.control.peers());
        }
        let speeds = self.control.speeds();
        let relative_times = speeds.relative_times();
        self.metrics.speeds.set(relative_times, speeds.count_slow());
    }
}
