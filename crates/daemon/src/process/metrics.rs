//! Metrics over UDP in the StatsD form.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use iristhread_core::Outcome;

const PREFIX: &str = "iristhread";

/// Datagrams that wait for the sender.
const QUEUED: usize = 4_096;

/// What one process measures.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Sends to `address`, or nowhere.
    ///
    /// # Errors
    ///
    /// When no socket can be opened.
    pub fn new(address: Option<SocketAddr>, instance: &str, zone: &str) -> std::io::Result<Self> {
        let builder = match address {
            None => StatsdClient::builder(PREFIX, NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink =
                    BufferedUdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
                let queued = QueuingMetricSink::with_capacity(sink, QUEUED);
                StatsdClient::builder(PREFIX, queued)
            }
        };
        let client = builder
            .with_tag("instance", instance)
            .with_tag("availability_zone", zone)
            .build();
        Ok(Metrics { client })
    }

    /// A request ended with an outcome.
    pub fn ended(&self, workspace: &str, outcome: Outcome) {
        let metric = self.client.count_with_tags("requests", 1);
        metric
            .with_tag("workspace", workspace)
            .with_tag("outcome", outcome.as_str())
            .send();
    }

    /// Time to the first token.
    pub fn first_token(&self, time: Duration) {
        self.client.time_with_tags("first_token_ms", time).send();
    }

    /// Longest time without progress of a stream that ended.
    pub fn longest_gap(&self, time: Duration) {
        self.client.time_with_tags("longest_gap_ms", time).send();
    }

    /// A session was displaced by its engine.
    pub fn preempted(&self) {
        self.client.count_with_tags("preemptions", 1).send();
    }

    /// An attempt was given up.
    pub fn attempt_lost(&self, cause: &str) {
        let metric = self.client.count_with_tags("attempts_lost", 1);
        metric.with_tag("cause", cause).send();
    }

    /// Requests that wait and that run.
    pub fn load(&self, queued: u64, running: u64) {
        self.client.gauge_with_tags("queued", queued).send();
        self.client.gauge_with_tags("running", running).send();
    }
}
