//! Request relaying: the wire protocol of headers, buffered answers and event streams.

pub(crate) mod answer_timeout;
pub(crate) mod buffered_call;
pub(crate) mod caller_answer;
pub(crate) mod event_splitter;
pub(crate) mod exchange;
pub(crate) mod http_front_end;
pub(crate) mod request_body;
pub(crate) mod run_guard;
pub(crate) mod send_outcome;
pub(crate) mod session_signals;
pub(crate) mod stream_call;
pub(crate) mod stream_relay;
pub(crate) mod tries;
pub(crate) mod unread_body;
pub(crate) mod wire_protocol;
