//! Reads the platform while this instance is one of its readers.

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

/// Maximum time that one watch waits at the platform for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before a retry after the first failed read; doubled after each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay before a retry, without jitter.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Pause after each successful read, however fast the platform answers.
const READ_PAUSE: Duration = Duration::from_millis(50);

/// Period over which the first reads of instances are spread.
const START_SPREAD: Duration = Duration::from_millis(300);

/// Source that the timeline names for configurations from the platform.
const SOURCE: &str = "platform";

/// Reads from the platform and passes what it reads to the control thread.
pub struct PlatformReader {
    platform: Arc<dyn PlatformPort>,
    control: ControlHandle,
    reads: watch::Receiver<bool>,
    log: Logger,
}

impl PlatformReader {
    /// Creates a reader that reads while `reads` is true.
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

    /// Reads until the process stops.
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
                    let unchanged_for = answer.is_none().then_some(WATCH_TIMEOUT);
                    self.take_config(seen, answer, state_age(sent.elapsed(), unchanged_for));
                    tokio::time::sleep(READ_PAUSE).await;
                }
                Err(error) => retry_delay = self.wait_before_retry(&error, retry_delay).await,
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
                    tokio::time::sleep(READ_PAUSE).await;
                }
                Err(error) => retry_delay = self.wait_before_retry(&error, retry_delay).await,
            }
        }
    }

    /// Passes a configuration on. `ago` is the age of the state that the answer confirms.
    fn take_config(&self, seen: u64, answer: Option<ConfigReply>, ago: Duration) {
        if let Some(config) = answer {
            self.control.tell(offered(config, SOURCE));
        }
        self.control
            .tell(Event::ConfigConfirmed { version: seen, ago });
    }

    /// Logs a failed read, waits and returns the delay before the next retry.
    async fn wait_before_retry(&self, error: &PlatformError, retry_delay: Duration) -> Duration {
        warn!(self.log, "failed to read from the platform"; "error" => %error);
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(retry_delay.mul_f64(jitter)).await;
        (retry_delay * 2).min(MAX_RETRY_DELAY)
    }

    /// Waits for a random time, to spread the first reads of instances that start at once.
    async fn spread_start(&self) {
        let share = rand::rng().random_range(0.0..1.0);
        tokio::time::sleep(START_SPREAD.mul_f64(share)).await;
    }

    async fn wait_until_reader(&self) {
        let mut reads = self.reads.clone();
        // Fails only if the process is stopping.
        let _ = reads.wait_for(|reads| *reads).await;
    }
}

/// Returns the event for a configuration that was read, whether it can be parsed or not.
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

/// Returns the age of the state that an answer confirms, for a call that took `took`. The process
/// may have been suspended before it handled the answer; so without a known time of the answer, the
/// state is as old as the call.
fn state_age(took: Duration, unchanged_for: Option<Duration>) -> Duration {
    let confirmed_at = WatchCycle::default().answered(Duration::ZERO, unchanged_for, took);
    took.saturating_sub(confirmed_at)
}
