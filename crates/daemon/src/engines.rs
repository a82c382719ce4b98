//! Engines: requests to them, their health and load, server notices, and moves of sessions.

pub(crate) mod engine_port;
pub(crate) mod engine_watch;
pub(crate) mod left_run_watch;
pub(crate) mod load_poller;
pub(crate) mod notices;
pub(crate) mod session_move;
pub(crate) mod session_mover;
pub(crate) mod suspicion_log;
