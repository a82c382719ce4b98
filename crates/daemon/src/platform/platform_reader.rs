//! Reads the platform while the rota says so.

use std::sync::Arc;
use std::time::Duration;

use iristhread_api::ConfigReply;
use iristhread_core::Document;
use iristhread_core::Event;
use iristhread_core::WatchCycle;
use rand::RngExt;
use slog::Logger;
use slog::warn;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::completion::control_thread::ControlHandle;
use crate::platform::platform_port::PlatformError;
use crate::platform::platform_port::PlatformPort;

/// How long one watch waits at the platform.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause after a failed read, and the longest after several.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Least time between two reads, whatever the platform answers.
const MIN_READ_PAUSE: Duration = Duration::from_millis(50);

/// Span over which first reads are spread.
const START_SPREAD: Duration = Duration::from_millis(300);

/// Source named in the time line for what comes from the platform.
const SOURCE: &str = "platform";

/// Feeds the control thread from the platform.
pub struct PlatformReader {
    platform: Arc<dyn PlatformPort>,
    control: ControlHandle,
    reads: watch::Receiver<bool>,
    log: Logger,
}

impl PlatformReader {
    /// A reader that waits for the rota.
    pub fn new(
        platform: Arc<dyn PlatformPort>,
        control: ControlHandle,
        reads: watch::Receiver<bool>,
        log: Logger,
    ) -> Self {
        PlatformReader {
            platform,
            control,
            reads,
            log,
        }
    }

    /// Reads for the life of the process.
    pub async fn run(self) {
        futures::join!(self.watch_config(), self.watch_instances());
    }

    async fn watch_config(&self) {
        self.spread_start().await;
        let mut seen = 0;
        let mut retry_delay = INITIAL_RETRY_DELAY;
        loop {
            self.wait_until_reader().await;
            let sent = Instant::now();
            match self.platform.config(seen, WATCH_TIMEOUT).await {
                Ok(answer) => {
                    retry_delay = INITIAL_RETRY_DELAY;
                    seen = answer.as_ref().map_or(seen, |config| config.version);
                    let quiet_for = answer.is_none().then_some(WATCH_TIMEOUT);
                    self.take_config(seen, answer, age(sent.elapsed(), quiet_for));
                    tokio::time::sleep(MIN_READ_PAUSE).await;
                }
                Err(error) => retry_delay = self.failed(&error, retry_delay).await,
            }
        }
    }

    async fn watch_instances(&self) {
        self.spread_start().await;
        let mut seen = 0;
        let mut retry_delay = INITIAL_RETRY_DELAY;
        loop {
            self.wait_until_reader().await;
            match self.platform.instances(seen, WATCH_TIMEOUT).await {
                Ok(answer) => {
                    retry_delay = INITIAL_RETRY_DELAY;
                    if let Some(list) = answer {
                        seen = list.version;
                        self.control.tell(Event::InstanceListOffered {
                            version: list.version,
                            entries: list.entries,
                        });
                    }
                    tokio::time::sleep(MIN_READ_PAUSE).await;
                }
                Err(error) => retry_delay = self.failed(&error, retry_delay).await,
            }
        }
    }

    /// `ago` is the age of what the answer proves.
    fn take_config(&self, seen: u64, answer: Option<ConfigReply>, ago: Duration) {
        if let Some(config) = answer {
            self.control.tell(offered(config, SOURCE));
        }
        self.control
            .tell(Event::ConfigConfirmed { version: seen, ago });
    }

    async fn failed(&self, error: &PlatformError, retry_delay: Duration) -> Duration {
        warn!(self.log, "reading the platform failed"; "error" => %error);
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(retry_delay.mul_f64(jitter)).await;
        (retry_delay * 2).min(MAX_RETRY_DELAY)
    }

    /// Spreads the first reads of instances that all start at once.
    async fn spread_start(&self) {
        let share = rand::rng().random_range(0.0..1.0);
        tokio::time::sleep(START_SPREAD.mul_f64(share)).await;
    }

    async fn wait_until_reader(&self) {
        let mut reads = self.reads.clone();
        // Fails only when the process is stopping.
        let _ = reads.wait_for(|reads| *reads).await;
    }
}

/// The event for a configuration that was read, readable or not.
pub fn offered(config: ConfigReply, source: &str) -> Event {
    match serde_json::from_value::<Document>(config.document) {
        Ok(document) => Event::ConfigOffered {
            version: config.version,
            document: Arc::new(document),
            source: source.to_owned(),
        },
        Err(error) => Event::ConfigUnreadable {
            version: config.version,
            reason: error.to_string(),
        },
    }
}

/// How old what an answer proves is, after a call that took so long: the process may have
/// stood still before it handled the answer.
fn age(took: Duration, quiet_for: Option<Duration>) -> Duration {
    let proven = WatchCycle::default().answered(Duration::ZERO, quiet_for, took);
    took.saturating_sub(proven)
}
