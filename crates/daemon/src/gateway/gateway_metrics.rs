//! Counters and histograms of a gateway, served as text for whoever collects
//! them. `docs/operators/metrics.md` lists them; a test compares the two.

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

/// Bounds of the histograms, seconds: the objectives of the users' requests
/// (0.1 to 1.8 s) and the allowed pause (0.18 s) lie between them.
const BOUNDS_S: [f64; 14] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.18, 0.3, 0.6, 1.0, 1.5, 1.8, 4.0, 10.0,
];

/// One label.
#[derive(Clone, Debug, Eq, EncodeLabelSet, Hash, PartialEq)]
pub struct Kind {
    /// What the figure is about; docs/operators/metrics.md lists the values.
    pub kind: &'static str,
}

/// Two labels: what was done, and how it ended.
#[derive(Clone, Debug, Eq, EncodeLabelSet, Hash, PartialEq)]
pub struct KindAndEnd {
    /// What was done.
    pub kind: &'static str,
    /// How it ended.
    pub end: &'static str,
}

/// What one gateway measures.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Mutex<Registry>,
    requests: Family<KindAndEnd, Counter>,
    refusals: Family<Kind, Counter>,
    tries: Family<Kind, Counter>,
    notices: Family<Kind, Counter>,
    limit_asks: Family<Kind, Counter>,
    limits_allow: Counter<f64, AtomicU64>,
    limited: Gauge,
    carries: Family<KindAndEnd, Counter>,
    moves: Family<Kind, Counter>,
    directory_calls: Family<KindAndEnd, Counter>,
    heartbeats: Family<Kind, Counter>,
    answer_time: Histogram,
    first_event_time: Histogram,
    longest_gap: Histogram,
    carry_pause: Histogram,
    placing_time: Histogram,
    config_version: Gauge,
    list_revision: Gauge,
    peers: Gauge,
    running: Gauge,
    evacuated_zones: Gauge,
    server_ends: Counter,
    suspects: Gauge,
    quarantined: Gauge,
    skipped_entries: Counter,
    resting: Gauge,
    directory_era: Gauge,
    config_age: Histogram,
    config_behind: Histogram,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let histogram = || Histogram::new(BOUNDS_S);
        let metrics = GatewayMetrics {
            registry: Mutex::new(Registry::with_prefix("iristhread")),
            requests: Family::default(),
            refusals: Family::default(),
            tries: Family::default(),
            notices: Family::default(),
            limit_asks: Family::default(),
            limits_allow: Counter::default(),
            limited: Gauge::default(),
            carries: Family::default(),
            moves: Family::default(),
            directory_calls: Family::default(),
            heartbeats: Family::default(),
            answer_time: histogram(),
            first_event_time: histogram(),
            longest_gap: histogram(),
            carry_pause: histogram(),
            placing_time: histogram(),
            config_version: Gauge::default(),
            list_revision: Gauge::default(),
            peers: Gauge::default(),
            running: Gauge::default(),
            evacuated_zones: Gauge::default(),
            server_ends: Counter::default(),
            suspects: Gauge::default(),
            quarantined: Gauge::default(),
            skipped_entries: Counter::default(),
            resting: Gauge::default(),
            directory_era: Gauge::default(),
            config_age: histogram(),
            config_behind: histogram(),
        };
        metrics.register();
        metrics
    }
}

impl GatewayMetrics {
    fn register(&self) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let r = &mut *registry;
        r.register("requests", "Requests that ended", self.requests.clone());
        r.register("refusals", "Requests refused unsent", self.refusals.clone());
        r.register("tries", "Sends to backend servers", self.tries.clone());
        let notices = self.notices.clone();
        r.register("notices", "What answers say of their servers", notices);
        let asks = self.limit_asks.clone();
        r.register("limit_asks", "Wishes to send under a server's limit", asks);
        let allow = self.limits_allow.clone();
        r.register("limits_allow", "What limits allow all instances", allow);
        let limited = self.limited.clone();
        r.register("limited_servers", "Servers that name a limit", limited);
        r.register(
            "carries",
            "Streams taken to another engine",
            self.carries.clone(),
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
        let pause = self.carry_pause.clone();
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
        let ends = self.server_ends.clone();
        r.register("server_ends", "Servers that ended under a request", ends);
        let suspects = self.suspects.clone();
        r.register("suspects", "Contents under which servers ended", suspects);
        let quarantined = self.quarantined.clone();
        r.register("quarantined", "Contents that are refused", quarantined);
        let skipped = self.skipped_entries.clone();
        r.register("skipped_entries", "Entries that can't be used", skipped);
        let resting = self.resting.clone();
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
    }

    /// All figures in the text format of OpenMetrics.
    pub fn text(&self) -> String {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &registry);
        text
    }

    /// A plain call ended after a time.
    pub fn call_ended(&self, end: &'static str, took: Duration) {
        let labels = KindAndEnd { kind: "call", end };
        self.requests.get_or_create(&labels).inc();
        self.answer_time.observe(took.as_secs_f64());
    }

    /// A stream ended.
    pub fn stream_ended(&self, end: &'static str, longest_gap: Duration) {
        let labels = KindAndEnd {
            kind: "stream",
            end,
        };
        self.requests.get_or_create(&labels).inc();
        self.longest_gap.observe(longest_gap.as_secs_f64());
    }

    /// The first event of a stream came after a time.
    pub fn first_event(&self, took: Duration) {
        self.first_event_time.observe(took.as_secs_f64());
    }

    /// A request was refused before anything was sent.
    pub fn refused(&self, kind: &'static str) {
        self.refusals.get_or_create(&Kind { kind }).inc();
    }

    /// A request was sent; `kind` says how that went.
    pub fn tried(&self, kind: &'static str) {
        self.tries.get_or_create(&Kind { kind }).inc();
    }

    /// An answer said something of its backend server.
    pub fn noticed(&self, kind: &'static str) {
        self.notices.get_or_create(&Kind { kind }).inc();
    }

    /// Something was to be sent under a server's limit; `kind` says whether it was.
    pub fn limit_asked(&self, kind: &'static str) {
        self.limit_asks.get_or_create(&Kind { kind }).inc();
    }

    /// The limits in force allowed so many requests of all instances since the last time.
    pub fn limits_allow(&self, requests: f64) {
        self.limits_allow.inc_by(requests);
    }

    /// So many backend servers name a limit.
    pub fn limited(&self, count: usize) {
        self.limited.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// A stream was taken to another engine, or was lost.
    pub fn carried(&self, kind: &'static str, end: &'static str, pause: Duration) {
        self.carries.get_or_create(&KindAndEnd { kind, end }).inc();
        self.carry_pause.observe(pause.as_secs_f64());
    }

    /// A move of a running session ended.
    pub fn moved(&self, kind: &'static str) {
        self.moves.get_or_create(&Kind { kind }).inc();
    }

    /// The directory was called.
    pub fn directory_called(&self, kind: &'static str, end: &'static str) {
        let labels = KindAndEnd { kind, end };
        self.directory_calls.get_or_create(&labels).inc();
    }

    /// The directory confirmed the configuration so long ago, to this instance's knowledge.
    pub fn config_age(&self, age: Duration) {
        self.config_age.observe(age.as_secs_f64());
    }

    /// A peer had a newer configuration for so long until it was in force here.
    pub fn config_was_behind(&self, time: Duration) {
        self.config_behind.observe(time.as_secs_f64());
    }

    /// A heartbeat was sent, taken, passed on, or changed nothing.
    pub fn heartbeat(&self, kind: &'static str) {
        self.heartbeats.get_or_create(&Kind { kind }).inc();
    }

    /// A backend server was chosen within a time.
    pub fn placed(&self, took: Duration) {
        self.placing_time.observe(took.as_secs_f64());
    }

    /// So many zones are evacuated.
    pub fn evacuated_zones(&self, count: usize) {
        self.evacuated_zones
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// A backend server ended under a request of this instance.
    pub fn server_ended(&self) {
        self.server_ends.inc();
    }

    /// An entry of the directory could not be used.
    pub fn entry_skipped(&self) {
        self.skipped_entries.inc();
    }

    /// So many contents of requests are suspected to end backend servers, and so many of
    /// these are quarantined.
    pub fn suspects(&self, suspected: usize, quarantined: usize) {
        let signed = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.suspects.set(signed(suspected));
        self.quarantined.set(signed(quarantined));
    }

    /// So many backend servers have asked this instance for rest that is not over.
    pub fn resting(&self, count: usize) {
        self.resting.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// The list is of this era of the directory.
    pub fn directory_era(&self, era: u64) {
        self.directory_era
            .set(i64::try_from(era).unwrap_or(i64::MAX));
    }

    /// What this instance knows and has under way.
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
