//! Sends metrics over UDP in the StatsD format.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use iristhread_core::Outcome;

use crate::process::thread_lag::LatenessObserver;
use crate::process::thread_lag::MIN_LATENESS;

/// Prefix of the names of all metrics.
const PREFIX: &str = "iristhread";

/// Maximum number of metrics that wait for the sender thread.
const QUEUE_CAPACITY: usize = 4_096;

/// The metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Creates metrics that are sent to `address`, or dropped if there is none.
    ///
    /// # Errors
    ///
    /// No UDP socket can be opened.
    pub fn new(address: Option<SocketAddr>, instance: &str, zone: &str) -> std::io::Result<Self> {
        let builder = match address {
            None => StatsdClient::builder(PREFIX, NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink =
                    BufferedUdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
                let queued = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
                StatsdClient::builder(PREFIX, queued)
            }
        };
        let client = builder
            .with_tag("instance", instance)
            .with_tag("availability_zone", zone)
            .build();
        Ok(Metrics { client })
    }

    /// Counts a request that ended with `outcome`.
    pub fn ended(&self, workspace: &str, outcome: Outcome) {
        let metric = self.client.count_with_tags("requests", 1);
        metric
            .with_tag("workspace", workspace)
            .with_tag("outcome", outcome.as_str())
            .send();
    }

    /// Records the time to the first token of a stream.
    pub fn first_token(&self, time: Duration) {
        self.client.time_with_tags("first_token_ms", time).send();
    }

    /// Records the longest time without progress of a stream that ended.
    pub fn longest_gap(&self, time: Duration) {
        self.client.time_with_tags("longest_gap_ms", time).send();
    }

    /// Counts a session that its engine preempted.
    pub fn preempted(&self) {
        self.client.count_with_tags("preemptions", 1).send();
    }

    /// Counts an attempt that was lost to `cause`.
    pub fn attempt_lost(&self, cause: &str) {
        let metric = self.client.count_with_tags("attempts_lost", 1);
        metric.with_tag("cause", cause).send();
    }

    /// Reports the number of queued and of running requests.
    pub fn load(&self, queued: u64, running: u64) {
        self.client.gauge_with_tags("queued", queued).send();
        self.client.gauge_with_tags("running", running).send();
    }

    /// Counts connections of callers that were closed unread.
    pub fn closed_unread(&self, count: usize) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.client.count_with_tags("closed_unread", count).send();
    }

    /// Returns what reports how late the control thread is, if it is.
    pub fn lag_observer(self: &Arc<Self>) -> LatenessObserver {
        let metrics = self.clone();
        Arc::new(move |lateness: Duration| {
            if lateness < MIN_LATENESS {
                return;
            }
            let metric = metrics.client.time_with_tags("control_lag_ms", lateness);
            metric.send();
        })
    }
}
