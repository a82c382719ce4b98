//! Reports placements and refusals of requests: in the log, in metrics, and to the other instances.

use std::time::Duration;

use iristhread_core::Ranking;
use iristhread_core::Refusal;
use slog::KV;
use slog::Record;
use slog::Serializer;
use slog::info;

use super::GatewayThread;
use super::limits::passed_over;
use super::speeds::SpeedFields;
use super::waiting::AskedRequest;

/// The fields that all lines about the admission of a request have in common.
impl KV for AskedRequest {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_str("request", &self.request)?;
        serializer.emit_str("content", &self.fingerprint.to_string())?;
        let parts = self.parts.iter().map(|part| part.in_workspace.to_string());
        serializer.emit_str("parts", &parts.collect::<Vec<_>>().join(","))?;
        serializer.emit_str("route", &self.level.route)?;
        match &self.level.workspace {
            Some(workspace) => serializer.emit_str("workspace", workspace)?,
            None => serializer.emit_none("workspace")?,
        }
        serializer.emit_u8("workspace_rank", self.level.rank.workspace)?;
        serializer.emit_u8("route_rank", self.level.rank.route)?;
        serializer.emit_f64("memory_limit", self.limits.memory_limit)?;
        serializer.emit_f64("rank_headroom", self.limits.rank_headroom)?;
        serializer.emit_bool("is_retry", self.limits.is_retry)
    }
}

impl GatewayThread {
    /// Reports that a request was placed. `waited` is the time for which it waited for room, if it
    /// did.
    pub(super) fn report_placement(
        &self,
        asked: &AskedRequest,
        waited: Option<Duration>,
        ranking: &Ranking,
    ) {
        self.count_skipped(ranking);
        if asked.is_session {
            // The other instances must not choose the same engine.
            self.immediate_heartbeat.notify_one();
        }
        self.log_placement(asked, waited, ranking);
    }

    fn log_placement(&self, asked: &AskedRequest, waited: Option<Duration>, ranking: &Ranking) {
        let message = match waited {
            Some(_) => "request placed from the queue",
            None => "backend server chosen",
        };
        info!(self.log, "{}", message;
            asked.clone(),
            "waited_ms" => waited.map(|waited| waited.as_millis() as u64),
            "ranking" => format!("{:?}", ids(ranking)),
            "passed_over" => passed_over(ranking),
            "backup" => ranking.backup.as_ref().map(|b| b.id.clone()),
            "requests_there" => ranking.server_view.requests,
            "memory_share" => ranking.server_view.memory,
            "instances_counted" => ranking.server_view.instances,
            SpeedFields(*ranking.server_view),
            "list_revision" => %self.control.list().revision());
    }

    /// Reports that a request was refused. `waited` is the time for which it waited for room, if it
    /// did.
    pub(super) fn report_refusal(
        &self,
        asked: &AskedRequest,
        waited: Option<Duration>,
        refusal: &Refusal,
    ) {
        self.metrics.refused(refusal.kind.as_str());
        let retries = self.metrics.retries();
        retries.refused(asked.limits.is_retry);
        retries.told(refusal.retry_after);
        if refusal.room.is_some() {
            // The content was refused for lack of memory: its caller may retry at any instance.
            self.immediate_heartbeat.notify_one();
        }
        self.log_refusal(asked, waited, refusal);
    }

    fn log_refusal(&self, asked: &AskedRequest, waited: Option<Duration>, refusal: &Refusal) {
        let forecast = refusal.room.and_then(|room| room.after);
        info!(self.log, "request refused";
            asked.clone(),
            "waited_ms" => waited.map(|waited| waited.as_millis() as u64),
            "kind" => refusal.kind.as_str(),
            "reason" => &refusal.message,
            "retry_after_ms" => refusal.retry_after.as_millis() as u64,
            "room_forecast_ms" => forecast.map(|after| after.as_millis() as u64),
            "tokens_waiting_to_retry" => refusal.room.map(|room| room.waiting_tokens),
            "list_revision" => %self.control.list().revision());
    }
}

fn ids(ranking: &Ranking) -> Vec<&str> {
    let replicas = ranking.replicas.iter();
    replicas.map(|replica| replica.id.as_str()).collect()
}
