//! Reads and watches what the operators publish, the configuration and the zones that
//! are to be emptied, for as long as the process lives.

use std::sync::Arc;
use std::time::Duration;

use iristhread_core::AdvertisedEvacuations;
use iristhread_core::EvacuationUpdate;
use iristhread_core::GatewayConfig;
use iristhread_core::Now;
use iristhread_core::Revision;
use iristhread_core::WatchCycle;
use iristhread_core::read_timing::FIRST_PAUSE;
use iristhread_core::read_timing::READ_CHECK_INTERVAL;
use slog::Logger;
use slog::info;

use crate::directory::Directory;
use crate::directory::DirectoryError;
use crate::directory::directory_trouble::SOURCE;
use crate::directory::directory_trouble::Trouble;
use crate::directory::directory_trouble::end_of;
use crate::directory::directory_trouble::same_era;
use crate::directory::skipped_entries::SkippedEntries;
use crate::gateway::gateway_message::GatewayMessage;
use crate::gateway::gateway_metrics::GatewayMetrics;
use crate::gateway::gateway_thread::GatewayHandle;
use crate::peers::fleet_link::FleetLink;
use crate::peers::fleet_link::ReadingDuty;
use crate::process::clock::Clock;

/// Reads what is published while the rota says so, and tells the others what
/// changed. Evacuations come with the same calls, since each call has a price.
pub struct ConfigReader {
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

impl ConfigReader {
    /// Runs for the life of the process.
    pub async fn run(self) {
        let mut trouble = Trouble::new("configuration");
        let mut skipped = SkippedEntries::default();
        let mut revision: Option<Revision> = None;
        let mut was_reading = false;
        let mut cycle = WatchCycle::default();
        loop {
            let Some(duty) = self.duty().await else {
                return;
            };
            let reads = duty.reason.is_some();
            if reads != was_reading {
                info!(self.log, "reading of the configuration"; "reads" => reads,
                    "reason" => duty.reason.map(|reason| reason.to_string()),
                    "version" => duty.version,
                    "age_ms" => duty.age.map(|age| age.as_millis() as u64));
                was_reading = reads;
            }
            if !reads {
                revision = None;
                trouble.left_to_others(&self.log);
                tokio::time::sleep(READ_CHECK_INTERVAL).await;
                continue;
            }
            let sent = self.clock.now();
            // After a failure, a short question tells sooner than a watch whether
            // the directory is back.
            let after = revision.filter(|_| !trouble.is_lost());
            let read = match after {
                None => self.read_whole(&mut skipped).await,
                Some(after) => self.watch(after, cycle.next_wait(sent), &mut skipped).await,
            };
            self.metrics.directory_called("config", end_of(&read));
            match read {
                Ok(read) => {
                    trouble.succeeded(&self.log);
                    revision = Some(read.revision);
                    let confirmed_at = cycle.answered(sent, read.quiet_for, self.clock.now());
                    self.tell(read, confirmed_at);
                }
                Err(DirectoryError::HistoryGone) => {
                    info!(self.log, "history of the directory is gone; reading anew";
                        "of" => "configuration");
                    revision = None;
                    tokio::time::sleep(FIRST_PAUSE).await;
                }
                Err(error) => {
                    self.link.unreadable();
                    let waited = self.clock.now().saturating_sub(sent);
                    trouble.failed(&self.log, &error, waited).await;
                }
            }
        }
    }

    /// Whether this instance should read; `None` when the process ends.
    async fn duty(&self) -> Option<ReadingDuty> {
        let own = self.control.own_state().await?;
        Some(self.link.config_duty(own.config_version))
    }

    async fn read_whole(
        &self,
        skipped: &mut SkippedEntries,
    ) -> Result<PublishedRead, DirectoryError> {
        let read = self.directory.published().await?;
        skipped.note(&self.log, &self.metrics, &read.skipped);
        Ok(PublishedRead {
            revision: read.revision,
            quiet_for: None,
            configs: read.value.config.into_iter().collect(),
            evacuations: EvacuationUpdate::Whole(AdvertisedEvacuations {
                revision: read.revision,
                zones: read.value.evacuated,
            }),
        })
    }

    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
        skipped: &mut SkippedEntries,
    ) -> Result<PublishedRead, DirectoryError> {
        let read = self.directory.published_after(after, wait).await?;
        same_era(read.revision, after)?;
        skipped.note(&self.log, &self.metrics, &read.skipped);
        let changes = &read.value;
        let is_quiet =
            changes.configs.is_empty() && changes.evacuations.is_empty() && read.skipped.is_empty();
        Ok(PublishedRead {
            revision: read.revision,
            quiet_for: is_quiet.then_some(wait),
            configs: read.value.configs,
            evacuations: EvacuationUpdate::Changed {
                after,
                revision: read.revision,
                changes: read.value.evacuations,
            },
        })
    }

    fn tell(&self, read: PublishedRead, confirmed_at: Now) {
        // First: an instance that has just started calls itself ready with the
        // configuration, and must know by then where nothing may go.
        self.control.tell(GatewayMessage::Evacuations {
            news: read.evacuations,
            source: SOURCE.to_owned(),
        });
        for config in read.configs {
            self.control.tell(GatewayMessage::Config {
                config: Arc::new(config),
                source: SOURCE.to_owned(),
            });
        }
        self.link.config_read(confirmed_at);
    }
}

/// What a call brought.
struct PublishedRead {
    revision: Revision,
    /// The wait of a watch that brought nothing.
    quiet_for: Option<Duration>,
    configs: Vec<GatewayConfig>,
    evacuations: EvacuationUpdate,
}
