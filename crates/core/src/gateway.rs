//! Gateway decisions: placement, ranking, backups, failover and retry limits for each request.

pub(crate) mod engine_priority;
pub(crate) mod event_order;
pub(crate) mod gateway_control;
pub(crate) mod gateway_parameters;
pub(crate) mod length_estimator;
pub(crate) mod memory_demand;
pub(crate) mod move_demand;
pub(crate) mod placement_request;
pub(crate) mod rank_demand;
pub(crate) mod refused_contents;
pub(crate) mod room_forecast;
pub(crate) mod service_level;
pub(crate) mod waiting_requests;
pub(crate) mod workspace_shares;
