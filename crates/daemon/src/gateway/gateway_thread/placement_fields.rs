//! Fields that the log lines of placements and refusals have in common.

use iristhread_core::ServiceLevel;
use slog::KV;
use slog::Record;
use slog::Serializer;

/// Service level of a request and the memory that it may use.
pub(super) struct PlacementFields {
    /// What its caller is owed.
    pub level: ServiceLevel,
    /// Fraction of an engine's memory up to which it may use it.
    pub memory_limit: f64,
    /// Fraction of an engine's memory that is kept free for more urgent requests.
    pub rank_headroom: f64,
}

impl KV for PlacementFields {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_str("route", &self.level.route)?;
        match &self.level.workspace {
            Some(workspace) => serializer.emit_str("workspace", workspace)?,
            None => serializer.emit_none("workspace")?,
        }
        serializer.emit_u8("workspace_rank", self.level.rank.workspace)?;
        serializer.emit_u8("route_rank", self.level.rank.route)?;
        serializer.emit_f64("memory_limit", self.memory_limit)?;
        serializer.emit_f64("rank_headroom", self.rank_headroom)
    }
}
