//! Reads and watches the platform's directory, for as long as the process
//! lives, and says when it is lost and regained.

use std::sync::Arc;
use std::time::Duration;

use iristhread_core::GatewayConfig;
use iristhread_core::Now;
use iristhread_core::Replica;
use rand::RngExt;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::clock::Clock;
use crate::directory::Directory;
use crate::directory::DirectoryError;
use crate::directory::Revision;
use crate::fleet_link::FleetLink;
use crate::gateway_message::GatewayMessage;
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_thread::GatewayHandle;
use crate::heartbeat::ListNews;

/// First pause after a failed call; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause: a directory that is back is noticed within it, and lapsed
/// entries are back within two seconds.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Pause between two watches, in which changes add up to one answer: each call
/// has a price, and changes have seconds to take effect.
const BATCH: Duration = Duration::from_millis(100);

/// Longest time that a watch waits: the others notice within it, and two
/// heartbeats, when a reader is cut off without a word; and the answer of a watch
/// may be lost.
const WATCH: Duration = Duration::from_secs(1);

/// Time between two looks at whether this instance should read.
const ROTA_CHECK: Duration = Duration::from_millis(150);

/// How long after an outage removals may stem from it; `ReplicaList` draws the
/// line, this bounds what is told.
const OUTAGE_SHADOW: Duration = Duration::from_secs(3);

/// Who had what was read.
const SOURCE: &str = "directory";

/// Calls that fail, one after the other.
struct Trouble {
    what: &'static str,
    pause: Duration,
    is_lost: bool,
}

impl Trouble {
    fn new(what: &'static str) -> Self {
        Trouble {
            what,
            pause: FIRST_PAUSE,
            is_lost: false,
        }
    }

    /// Notes a failure and waits; apart from other instances by chance.
    async fn failed(&mut self, log: &Logger, error: &DirectoryError) {
        if !self.is_lost {
            warn!(log, "directory lost"; "of" => self.what, "cause" => error.to_string());
        }
        self.is_lost = true;
        let factor = rand::rng().random_range(0.7..1.3);
        tokio::time::sleep(self.pause.mul_f64(factor)).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    /// Notes success; returns whether an outage has ended.
    fn succeeded(&mut self, log: &Logger) -> bool {
        let was_lost = self.is_lost;
        if was_lost {
            info!(log, "directory regained"; "of" => self.what);
        }
        *self = Trouble::new(self.what);
        was_lost
    }
}

/// Reads the configuration while the rota says so, and tells the others that it
/// changed.
pub struct ConfigReader {
    /// The directory.
    pub directory: Arc<dyn Directory>,
    /// The decisions.
    pub control: GatewayHandle,
    /// The other instances.
    pub link: Arc<FleetLink>,
    /// Figures for operators.
    pub metrics: Arc<GatewayMetrics>,
    /// Logger.
    pub log: Logger,
}

impl ConfigReader {
    /// Runs for the life of the process.
    pub async fn run(self) {
        let mut trouble = Trouble::new("configuration");
        let mut revision: Option<Revision> = None;
        let mut was_reading = false;
        loop {
            let Some(reads) = self.reads().await else {
                return;
            };
            if reads != was_reading {
                info!(self.log, "reading of the configuration"; "reads" => reads);
                was_reading = reads;
            }
            if !reads {
                revision = None;
                tokio::time::sleep(ROTA_CHECK).await;
                continue;
            }
            // After a failure, a short question tells sooner than a watch whether
            // the directory is back.
            let read = self.read(revision.filter(|_| !trouble.is_lost)).await;
            self.metrics.directory_called("config", end_of(&read));
            match read {
                Ok((configs, at)) => {
                    trouble.succeeded(&self.log);
                    self.tell(configs);
                    revision = Some(at);
                }
                Err(DirectoryError::HistoryGone) => {
                    info!(self.log, "history of the directory is gone; reading anew";
                        "of" => "configuration");
                    revision = None;
                    tokio::time::sleep(FIRST_PAUSE).await;
                }
                Err(error) => {
                    self.link.unreadable();
                    trouble.failed(&self.log, &error).await;
                }
            }
        }
    }

    /// Whether this instance should read; `None` when the process ends.
    async fn reads(&self) -> Option<bool> {
        let ask = |reply| GatewayMessage::OwnState { reply };
        let own = self.control.ask(ask).await?;
        Some(self.link.reads_config(own.config_version))
    }

    async fn read(
        &self,
        after: Option<Revision>,
    ) -> Result<(Vec<GatewayConfig>, Revision), DirectoryError> {
        match after {
            None => {
                let read = self.directory.config().await?;
                Ok((read.value.into_iter().collect(), read.revision))
            }
            Some(after) => {
                let read = self.directory.config_after(after, WATCH).await?;
                Ok((read.value, read.revision))
            }
        }
    }

    fn tell(&self, configs: Vec<GatewayConfig>) {
        self.link.config_read();
        let is_news = !configs.is_empty();
        for config in configs {
            self.control.tell(GatewayMessage::Config {
                config: Arc::new(config),
                source: SOURCE.to_owned(),
            });
        }
        if is_news {
            self.link.beat_soon();
        }
    }
}

fn end_of<T>(read: &Result<T, DirectoryError>) -> &'static str {
    match read {
        Ok(_) => "answered",
        Err(DirectoryError::Unreachable(_)) => "unreachable",
        Err(DirectoryError::Silent) => "silent",
        Err(DirectoryError::Busy(_)) => "refused",
        Err(DirectoryError::HistoryGone) => "history_gone",
        Err(DirectoryError::Unreadable(_)) => "unreadable",
    }
}

/// Reads the list of backend servers while the rota says so, and tells the
/// others what changed.
pub struct ListReader {
    /// The directory.
    pub directory: Arc<dyn Directory>,
    /// The decisions.
    pub control: GatewayHandle,
    /// The other instances.
    pub link: Arc<FleetLink>,
    /// Clocks.
    pub clock: Clock,
    /// Figures for operators.
    pub metrics: Arc<GatewayMetrics>,
    /// Logger.
    pub log: Logger,
}

impl ListReader {
    /// Runs for the life of the process.
    pub async fn run(self) {
        let mut trouble = Trouble::new("backend servers");
        let mut forgotten = false;
        let mut outage_ended: Option<Now> = None;
        let mut was_reading = false;
        loop {
            let Some(own) = self
                .control
                .ask(|reply| GatewayMessage::OwnState { reply })
                .await
            else {
                return;
            };
            let reads = self.link.reads_list(own.list_revision);
            if reads != was_reading {
                info!(self.log, "reading of the list"; "reads" => reads);
                was_reading = reads;
            }
            if !reads {
                tokio::time::sleep(ROTA_CHECK).await;
                continue;
            }
            let after = own.list_revision;
            let read = match after == 0 || forgotten {
                true => self.read_whole().await,
                false => self.watch(after, outage_ended).await,
            };
            self.metrics.directory_called("list", end_of(&read));
            match read {
                Ok(read) => {
                    forgotten = false;
                    if trouble.succeeded(&self.log) {
                        // Before the list: what it lacks may be missing only
                        // because of the outage.
                        self.control.tell(GatewayMessage::OutageEnded);
                        outage_ended = Some(self.clock.now());
                    }
                    self.tell(read);
                    tokio::time::sleep(BATCH).await;
                }
                Err(DirectoryError::HistoryGone) => {
                    info!(self.log, "history of the directory is gone; reading anew";
                        "of" => "backend servers");
                    forgotten = true;
                    tokio::time::sleep(FIRST_PAUSE).await;
                }
                Err(error) => {
                    self.link.unreadable();
                    trouble.failed(&self.log, &error).await;
                    // Removals that are read first belong to the outage.
                    outage_ended = Some(self.clock.now());
                }
            }
        }
    }

    fn tell(&self, read: ListRead) {
        match read {
            ListRead::Same => self.link.list_read(None),
            ListRead::Whole { revision, replicas } => {
                self.control.tell(GatewayMessage::Replicas {
                    revision,
                    replicas,
                    source: SOURCE.to_owned(),
                });
                self.link.list_read(None);
                self.link.beat_soon();
            }
            ListRead::Changed(news) => {
                self.control.tell(GatewayMessage::ListNews {
                    news: news.clone(),
                    source: SOURCE.to_owned(),
                });
                self.link.list_read(Some(news));
            }
        }
    }

    /// One entry that can't be read must not hide the others.
    fn warn_of(&self, skipped: &[String]) {
        for entry in skipped {
            warn!(self.log, "entry of a backend server left out"; "cause" => entry);
        }
    }

    async fn read_whole(&self) -> Result<ListRead, DirectoryError> {
        let read = self.directory.replicas().await?;
        self.warn_of(&read.skipped);
        Ok(ListRead::Whole {
            revision: read.revision,
            replicas: read.value,
        })
    }

    async fn watch(
        &self,
        after: Revision,
        outage_ended: Option<Now>,
    ) -> Result<ListRead, DirectoryError> {
        let read = self.directory.replicas_after(after, WATCH).await?;
        self.warn_of(&read.skipped);
        // What was left out counts as seen, too.
        if read.value.is_empty() && read.skipped.is_empty() {
            return Ok(ListRead::Same);
        }
        let since = outage_ended.map(|at| self.clock.now().saturating_sub(at));
        let since = since.filter(|since| *since < OUTAGE_SHADOW);
        Ok(ListRead::Changed(ListNews {
            after,
            revision: read.revision,
            changes: read.value,
            outage_ended_ms: since.map(|since| since.as_millis() as u64),
        }))
    }
}

/// What a call about the list brought.
enum ListRead {
    /// Nothing has changed.
    Same,
    /// Some entries have.
    Changed(ListNews),
    /// The whole list.
    Whole {
        revision: Revision,
        replicas: Vec<Replica>,
    },
}
