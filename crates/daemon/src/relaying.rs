//! Requests on their way: the border to their headers, whole answers, and streams.

pub(crate) mod dialect;
pub(crate) mod event_splitter;
pub(crate) mod exchange;
pub(crate) mod front_answer;
pub(crate) mod gateway_front;
pub(crate) mod patience;
pub(crate) mod plain_call;
pub(crate) mod stream_call;
pub(crate) mod stream_relay;
