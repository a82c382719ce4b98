//! What is believed of single backend servers: what they said of themselves, their failures, and
//! the requests under which they end.

pub(crate) mod failure_pause;
pub(crate) mod fingerprint;
pub(crate) mod leaving_marks;
pub(crate) mod load_report;
pub(crate) mod proven_contents;
pub(crate) mod server_notice;
pub(crate) mod server_rest;
pub(crate) mod suspect;
pub(crate) mod suspicions;
