//! What is believed of single backend servers: what they said of themselves, their failures, and
//! the requests under which they end.

pub(crate) mod draining_marks;
pub(crate) mod failure_backoff;
pub(crate) mod fingerprint;
pub(crate) mod known_good_requests;
pub(crate) mod load_report;
pub(crate) mod server_backoff;
pub(crate) mod server_notice;
pub(crate) mod suspect;
pub(crate) mod suspicions;
