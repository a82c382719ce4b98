//! Counters, gauges and histograms of a gateway, served as text to metrics collectors.
//! `docs/operators/metrics.md` lists them; a test compares the list with the served text.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use iristhread_core::Revision;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::process::thread_lag::LatenessObserver;

mod admission_metrics;
mod memory_metrics;
mod move_metrics;
mod retry_metrics;
mod server_metrics;
mod speed_metrics;

use admission_metrics::AdmissionMetrics;
use memory_metrics::MemoryMetrics;
use move_metrics::MoveMetrics;
use retry_metrics::RetryMetrics;
use speed_metrics::SpeedMetrics;

/// Bucket bounds of the histograms, in seconds. They cover the latency objectives of requests
/// (0.1 to 1.8 s) and the longest allowed pause of a stream (0.18 s).
const BOUNDS_S: [f64; 14] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.18, 0.3, 0.6, 1.0, 1.5, 1.8, 4.0, 10.0,
];

/// Label set of a metric with one label.
#[derive(Clone, Debug, Eq, EncodeLabelSet, Hash, PartialEq)]
pub struct Kind {
    /// What is counted; `docs/operators/metrics.md` lists the values.
    pub kind: &'static str,
}

/// Label set of a metric that counts operations by their outcome.
#[derive(Clone, Debug, Eq, EncodeLabelSet, Hash, PartialEq)]
pub struct KindAndEnd {
    /// The operation.
    pub kind: &'static str,
    /// The outcome of the operation.
    pub end: &'static str,
}

/// Metrics of one gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    /// Metrics of the admission of requests.
    pub admission: AdmissionMetrics,
    /// Metrics of the memory that is held for requests and connections.
    pub memory: MemoryMetrics,
    registry: Mutex<Registry>,
    requests: Family<KindAndEnd, Counter>,
    refusals: Family<Kind, Counter>,
    retries: RetryMetrics,
    attempts: Family<Kind, Counter>,
    notices: Family<Kind, Counter>,
    limit_checks: Family<Kind, Counter>,
    limits_allow: Counter<f64, AtomicU64>,
    limited: Gauge,
    detours: Family<Kind, Counter>,
    detours_served: Family<Kind, Counter>,
    cut_off_services: Gauge,
    failovers: Family<KindAndEnd, Counter>,
    moves: Family<Kind, Counter>,
    directory_calls: Family<KindAndEnd, Counter>,
    heartbeats: Family<Kind, Counter>,
    answer_time: Histogram,
    first_event_time: Histogram,
    longest_gap: Histogram,
    failover_pause: Histogram,
    placing_time: Histogram,
    config_version: Gauge,
    list_revision: Gauge,
    peers: Gauge,
    running: Gauge,
    evacuated_zones: Gauge,
    server_crashes: Counter,
    suspects: Gauge,
    unconfirmed_crashes: Gauge,
    quarantined: Gauge,
    quarantined_parts: Gauge,
    skipped_entries: Counter,
    backing_off: Gauge,
    directory_era: Gauge,
    config_age: Histogram,
    config_behind: Histogram,
    closed_unread: Counter,
    connect_time: Family<Kind, Histogram, fn() -> Histogram>,
    thread_lag: Family<Kind, Histogram, fn() -> Histogram>,
    /// Gauges of the speed of backend servers.
    pub speeds: SpeedMetrics,
    moves_room: MoveMetrics,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let histogram = || Histogram::new(BOUNDS_S);
        let metrics = GatewayMetrics {
            admission: AdmissionMetrics::default(),
            memory: MemoryMetrics::default(),
            registry: Mutex::new(Registry::with_prefix("iristhread")),
            requests: Family::default(),
            refusals: Family::default(),
            retries: RetryMetrics::default(),
            attempts: Family::default(),
            notices: Family::default(),
            limit_checks: Family::default(),
            limits_allow: Counter::default(),
            limited: Gauge::default(),
            detours: Family::default(),
            detours_served: Family::default(),
            cut_off_services: Gauge::default(),
            failovers: Family::default(),
            moves: Family::default(),
            directory_calls: Family::default(),
            heartbeats: Family::default(),
            answer_time: histogram(),
            first_event_time: histogram(),
            longest_gap: histogram(),
            failover_pause: histogram(),
            placing_time: histogram(),
            config_version: Gauge::default(),
            list_revision: Gauge::default(),
            peers: Gauge::default(),
            running: Gauge::default(),
            evacuated_zones: Gauge::default(),
            server_crashes: Counter::default(),
            suspects: Gauge::default(),
            unconfirmed_crashes: Gauge::default(),
            quarantined: Gauge::default(),
            quarantined_parts: Gauge::default(),
            skipped_entries: Counter::default(),
            backing_off: Gauge::default(),
            directory_era: Gauge::default(),
            config_age: histogram(),
            config_behind: histogram(),
            closed_unread: Counter::default(),
            connect_time: Family::new_with_constructor(|| Histogram::new(BOUNDS_S)),
            thread_lag: Family::new_with_constructor(|| Histogram::new(BOUNDS_S)),
            speeds: SpeedMetrics::default(),
            moves_room: MoveMetrics::default(),
        };
        metrics.register();
        metrics
    }
}

impl GatewayMetrics {
    fn register(&self) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let r = &mut *registry;
        self.admission.register(r);
        self.memory.register(r);
        r.register("requests", "Requests that ended", self.requests.clone());
        r.register("refusals", "Requests refused unsent", self.refusals.clone());
        self.retries.register(r);
        r.register("tries", "Sends to backend servers", self.attempts.clone());
        let detours = self.detours.clone();
        r.register("detours", "Connections requested from peers", detours);
        let served = self.detours_served.clone();
        r.register("detours_served", "Connections for peers", served);
        let cut_off = self.cut_off_services.clone();
        r.register("cut_off_services", "Services without a path", cut_off);
        let notices = self.notices.clone();
        r.register("notices", "What answers say of their servers", notices);
        let asks = self.limit_checks.clone();
        r.register("limit_asks", "Wishes to send under a server's limit", asks);
        let allow = self.limits_allow.clone();
        r.register("limits_allow", "What limits allow all instances", allow);
        let limited = self.limited.clone();
        r.register("limited_servers", "Servers that name a limit", limited);
        r.register(
            "carries",
            "Streams taken to another engine",
            self.failovers.clone(),
        );
        r.register("moves", "Moves of running sessions", self.moves.clone());
        let calls = self.directory_calls.clone();
        r.register(
            "directory_calls",
            "Calls to the platform's directory",
            calls,
        );
        let heartbeats = self.heartbeats.clone();
        r.register("heartbeats", "Heartbeats of instances", heartbeats);
        let answers = self.answer_time.clone();
        r.register("answer_seconds", "Time to a whole answer", answers);
        let first = self.first_event_time.clone();
        r.register(
            "first_event_seconds",
            "Time to a stream's first event",
            first,
        );
        let gap = self.longest_gap.clone();
        r.register("longest_gap_seconds", "Longest pause of a stream", gap);
        let pause = self.failover_pause.clone();
        r.register("carry_pause_seconds", "Pause of a carried stream", pause);
        let placing = self.placing_time.clone();
        r.register(
            "placing_seconds",
            "Time to choose a backend server",
            placing,
        );
        let version = self.config_version.clone();
        r.register("config_version", "Version in force", version);
        let revision = self.list_revision.clone();
        r.register("list_revision", "Revision of the server list", revision);
        r.register("peers", "Other instances heard lately", self.peers.clone());
        r.register("running", "Requests under way", self.running.clone());
        let evacuated = self.evacuated_zones.clone();
        r.register("evacuated_zones", "Zones that get nothing new", evacuated);
        let ends = self.server_crashes.clone();
        r.register("server_ends", "Servers that ended under a request", ends);
        let suspects = self.suspects.clone();
        r.register("suspects", "Contents under which servers ended", suspects);
        let parts = self.quarantined_parts.clone();
        r.register("quarantined_parts", "Refused parts of prompts", parts);
        let unconfirmed = self.unconfirmed_crashes.clone();
        let help = "Broken runs whose servers may have ended";
        r.register("unconfirmed_crashes", help, unconfirmed);
        let quarantined = self.quarantined.clone();
        r.register("quarantined", "Contents that are refused", quarantined);
        let skipped = self.skipped_entries.clone();
        r.register("skipped_entries", "Entries that can't be used", skipped);
        let resting = self.backing_off.clone();
        r.register("resting", "Servers that asked for rest", resting);
        let era = self.directory_era.clone();
        r.register("directory_era", "Era of the directory's list", era);
        let age = self.config_age.clone();
        r.register("config_age_seconds", "Age of the configuration", age);
        let behind = self.config_behind.clone();
        r.register(
            "config_behind_seconds",
            "Time behind peers with the configuration",
            behind,
        );
        let unread = self.closed_unread.clone();
        r.register("closed_unread", "Connections closed unread", unread);
        let connect = self.connect_time.clone();
        r.register("connect_seconds", "Direct connection attempts", connect);
        let lag = self.thread_lag.clone();
        r.register("thread_lag_seconds", "How late threads are", lag);
        self.speeds.register(r);
        self.moves_room.register(r);
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &registry);
        text
    }

    /// Counts a plain call with outcome `end` and observes its duration.
    pub fn call_ended(&self, end: &'static str, took: Duration) {
        let labels = KindAndEnd { kind: "call", end };
        self.requests.get_or_create(&labels).inc();
        self.answer_time.observe(took.as_secs_f64());
    }

    /// Counts a stream with outcome `end` and observes the longest gap between its events.
    pub fn stream_ended(&self, end: &'static str, longest_gap: Duration) {
        let labels = KindAndEnd {
            kind: "stream",
            end,
        };
        self.requests.get_or_create(&labels).inc();
        self.longest_gap.observe(longest_gap.as_secs_f64());
    }

    /// Observes the time until the first event of a stream.
    pub fn first_event(&self, took: Duration) {
        self.first_event_time.observe(took.as_secs_f64());
    }

    /// Counts a request that was refused before anything was sent.
    pub fn refused(&self, kind: &'static str) {
        self.refusals.get_or_create(&Kind { kind }).inc();
    }

    /// Returns the metrics of retry times.
    pub fn retries(&self) -> &RetryMetrics {
        &self.retries
    }

    /// Counts an attempt to send a request; `kind` is its outcome.
    pub fn tried(&self, kind: &'static str) {
        self.attempts.get_or_create(&Kind { kind }).inc();
    }

    /// Counts a failover of a stream with outcome `end` and observes the pause of the stream.
    pub fn failover_ended(&self, kind: &'static str, end: &'static str, pause: Duration) {
        self.failovers
            .get_or_create(&KindAndEnd { kind, end })
            .inc();
        self.failover_pause.observe(pause.as_secs_f64());
    }

    /// Counts the end of a move of a running session; `kind` is the outcome.
    pub fn moved(&self, kind: &'static str) {
        self.moves.get_or_create(&Kind { kind }).inc();
    }

    /// Returns the gauges of the memory kept free for moves.
    pub fn moves_room(&self) -> &MoveMetrics {
        &self.moves_room
    }

    /// Counts a call to the directory; `end` is its outcome.
    pub fn directory_called(&self, kind: &'static str, end: &'static str) {
        let labels = KindAndEnd { kind, end };
        self.directory_calls.get_or_create(&labels).inc();
    }

    /// Observes the time since the last confirmation of the configuration by the directory that
    /// this instance knows of.
    pub fn config_age(&self, age: Duration) {
        self.config_age.observe(age.as_secs_f64());
    }

    /// Observes how long a peer had a newer configuration before it was in force here.
    pub fn config_was_behind(&self, time: Duration) {
        self.config_behind.observe(time.as_secs_f64());
    }

    /// Counts connections of callers that were closed unread.
    pub fn closed_unread(&self, count: usize) {
        self.closed_unread.inc_by(count as u64);
    }

    /// Observes a direct connection attempt to a backend server; `kind` is its outcome.
    pub fn dialed(&self, kind: &'static str, took: Duration) {
        let histogram = self.connect_time.get_or_create(&Kind { kind });
        histogram.observe(took.as_secs_f64());
    }

    /// Returns what observes how late a thread of this process is; `kind` names the thread.
    pub fn lag_observer(&self, kind: &'static str) -> LatenessObserver {
        let histogram = self.thread_lag.get_or_create(&Kind { kind }).clone();
        Arc::new(move |lateness: Duration| histogram.observe(lateness.as_secs_f64()))
    }

    /// Counts a heartbeat; `kind` says whether it was sent, applied, forwarded or changed nothing.
    pub fn heartbeat(&self, kind: &'static str) {
        self.heartbeats.get_or_create(&Kind { kind }).inc();
    }

    /// Observes the time that the choice of a backend server took.
    pub fn placed(&self, took: Duration) {
        self.placing_time.observe(took.as_secs_f64());
    }

    /// Sets the number of evacuated availability zones.
    pub fn evacuated_zones(&self, count: usize) {
        self.evacuated_zones
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the era of the directory from which the list of backend servers comes.
    pub fn directory_era(&self, era: u64) {
        self.directory_era
            .set(i64::try_from(era).unwrap_or(i64::MAX));
    }

    /// Sets the gauges for the versions known to this instance, its peers and its running
    /// requests.
    pub fn state(
        &self,
        config_version: u64,
        list_revision: Revision,
        peers: usize,
        running: usize,
    ) {
        let signed = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        self.config_version.set(signed(config_version));
        self.list_revision.set(signed(list_revision.count));
        self.peers.set(signed(peers as u64));
        self.running.set(signed(running as u64));
    }
}
