//! Metrics of backend servers: paths to them, what they declare, and crashes.

use super::GatewayMetrics;
use super::Kind;

impl GatewayMetrics {
    /// Counts a connection that was requested from a peer; `kind` is the reply.
    pub fn detour(&self, kind: &'static str) {
        self.detours.get_or_create(&Kind { kind }).inc();
    }

    /// Counts a connection that a peer requested; `kind` is the reply.
    pub fn detour_served(&self, kind: &'static str) {
        self.detours_served.get_or_create(&Kind { kind }).inc();
    }

    /// Sets the number of services of which this instance reaches no server.
    pub fn cut_off_services(&self, count: usize) {
        self.cut_off_services
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a server notice in an answer.
    pub fn notice_observed(&self, kind: &'static str) {
        self.notices.get_or_create(&Kind { kind }).inc();
    }

    /// Counts a check of a server's limit before a send; `kind` says whether it was granted.
    pub fn limit_checked(&self, kind: &'static str) {
        self.limit_checks.get_or_create(&Kind { kind }).inc();
    }

    /// Adds the number of requests that the limits in force allowed all instances together since
    /// the last call.
    pub fn limits_allow(&self, requests: f64) {
        self.limits_allow.inc_by(requests);
    }

    /// Sets the number of backend servers that declare a limit.
    pub fn limited(&self, count: usize) {
        self.limited.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a backend server that crashed while it ran a request of this instance.
    pub fn server_crashed(&self) {
        self.server_crashes.inc();
    }

    /// Counts an unusable entry of the directory.
    pub fn entry_skipped(&self) {
        self.skipped_entries.inc();
    }

    /// Sets the number of request fingerprints that are suspected to crash backend servers, and
    /// the number of those that are quarantined.
    pub fn suspects(&self, suspected: usize, quarantined: usize) {
        let signed = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.suspects.set(signed(suspected));
        self.quarantined.set(signed(quarantined));
    }

    /// Sets the number of parts of prompts that are quarantined.
    pub fn quarantined_parts(&self, count: usize) {
        self.quarantined_parts
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the number of broken runs for which it is not known whether their servers crashed.
    pub fn unconfirmed_crashes(&self, count: usize) {
        self.unconfirmed_crashes
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the number of backend servers that asked this instance for a backoff which is still
    /// running.
    pub fn backing_off(&self, count: usize) {
        self.backing_off
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}
