//! State of single backend servers: the notices in their answers, their failures, their speed, and
//! the requests that are suspected to crash them.

pub(crate) mod advertised_suspect;
pub(crate) mod brittle_servers;
pub(crate) mod conclusions;
pub(crate) mod draining_marks;
pub(crate) mod failure_backoff;
pub(crate) mod fingerprint;
pub(crate) mod known_good_requests;
pub(crate) mod load_curve;
pub(crate) mod load_report;
pub(crate) mod path_delay;
pub(crate) mod prompt_part;
pub(crate) mod quarantine;
pub(crate) mod run_timings;
pub(crate) mod server_backoff;
pub(crate) mod server_links;
pub(crate) mod server_notice;
pub(crate) mod server_speed;
pub(crate) mod server_speeds;
pub(crate) mod speed_class;
pub(crate) mod suspect;
pub(crate) mod suspect_standing;
pub(crate) mod suspect_store;
pub(crate) mod suspected_request;
pub(crate) mod suspicion_update;
pub(crate) mod suspicions;
