//! The completion interface: the API for callers, calls with tickets, generations and settings.

pub(crate) mod api_error;
pub(crate) mod app;
pub(crate) mod call_answer;
pub(crate) mod call_store;
pub(crate) mod caller_api;
pub(crate) mod caller_sink;
pub(crate) mod config_view;
pub(crate) mod control_load;
pub(crate) mod control_message;
pub(crate) mod control_thread;
pub(crate) mod daemon;
pub(crate) mod generation;
pub(crate) mod left_run;
pub(crate) mod request_guard;
pub(crate) mod service_api;
pub(crate) mod service_call;
pub(crate) mod settings;
pub(crate) mod validated_completion;
