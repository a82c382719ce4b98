//! Admission control: workspace limits, backend server limits, retry budgets and queues.

pub(crate) mod admission;
pub(crate) mod connect_window;
pub(crate) mod connection_queue;
pub(crate) mod event_rate;
pub(crate) mod fair_queue;
pub(crate) mod limit_share;
pub(crate) mod request_rate;
pub(crate) mod retry_budget;
pub(crate) mod server_limits;
pub(crate) mod token_bucket;
