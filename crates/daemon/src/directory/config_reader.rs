//! Reads and watches what the operators publish, the configuration and the zone
//! evacuations, as long as the process runs.

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
use crate::directory::outage_tracker::OutageTracker;
use crate::directory::outage_tracker::SOURCE;
use crate::directory::outage_tracker::outcome_label;
use crate::directory::outage_tracker::same_era;
use crate::directory::skipped_entries::SkippedEntries;
use crate::gateway::gateway_message::GatewayMessage;
use crate::gateway::gateway_metrics::GatewayMetrics;
use crate::gateway::gateway_thread::GatewayHandle;
use crate::peers::fleet_link::FleetLink;
use crate::peers::fleet_link::ReadDecision;
use crate::process::clock::Clock;

/// Reads the published configuration and evacuations while the reader ranking selects this
/// instance, and reports changes to the peers. The same calls return both, because every call
/// puts load on the directory.
pub struct ConfigReader {
    /// The platform's directory.
    pub directory: Arc<dyn Directory>,
    /// The gateway control thread.
    pub control: GatewayHandle,
    /// The link to the other instances.
    pub link: Arc<FleetLink>,
    /// The clock of this process.
    pub clock: Clock,
    /// Metrics of the gateway.
    pub metrics: Arc<GatewayMetrics>,
    /// The logger of the gateway.
    pub log: Logger,
}

impl ConfigReader {
    /// Runs until the process ends.
    pub async fn run(self) {
        let mut outage = OutageTracker::new("configuration");
        let mut skipped = SkippedEntries::default();
        let mut revision: Option<Revision> = None;
        let mut was_reading = false;
        let mut cycle = WatchCycle::default();
        loop {
            let Some(decision) = self.read_decision().await else {
                return;
            };
            let reads = decision.reason.is_some();
            if reads != was_reading {
                info!(self.log, "reading of the configuration"; "reads" => reads,
                    "reason" => decision.reason.map(|reason| reason.to_string()),
                    "version" => decision.version,
                    "age_ms" => decision.age.map(|age| age.as_millis() as u64));
                was_reading = reads;
            }
            if !reads {
                revision = None;
                outage.leave_to_other_readers(&self.log);
                tokio::time::sleep(READ_CHECK_INTERVAL).await;
                continue;
            }
            let sent = self.clock.now();
            // After a failure, a plain read shows sooner than a watch whether the directory is
            // available again.
            let after = revision.filter(|_| !outage.is_unavailable());
            let read = match after {
                None => self.read_whole(&mut skipped).await,
                Some(after) => self.watch(after, cycle.next_wait(sent), &mut skipped).await,
            };
            self.metrics
                .directory_called("config", outcome_label(&read));
            match read {
                Ok(read) => {
                    outage.succeeded(&self.log);
                    revision = Some(read.revision);
                    let confirmed_at = cycle.answered(sent, read.quiet_for, self.clock.now());
                    self.publish(read, confirmed_at);
                }
                Err(DirectoryError::HistoryGone) => {
                    info!(self.log, "directory no longer keeps the requested changes; reading all";
                        "of" => "configuration");
                    revision = None;
                    tokio::time::sleep(FIRST_PAUSE).await;
                }
                Err(error) => {
                    self.link.record_unreadable();
                    let waited = self.clock.now().saturating_sub(sent);
                    outage.failed(&self.log, &error, waited).await;
                }
            }
        }
    }

    /// Returns whether this instance should read; `None` when the process ends.
    async fn read_decision(&self) -> Option<ReadDecision> {
        let own = self.control.own_state().await?;
        Some(self.link.config_read_decision(own.config_version))
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

    fn publish(&self, read: PublishedRead, confirmed_at: Now) {
        // The evacuations come first: an instance that has just started becomes ready with its
        // first configuration and must know the evacuated zones by then.
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
        self.link.record_config_confirmed(confirmed_at);
    }
}

/// Result of one call to the directory.
struct PublishedRead {
    revision: Revision,
    /// Duration of the watch, if it returned no changes.
    quiet_for: Option<Duration>,
    configs: Vec<GatewayConfig>,
    evacuations: EvacuationUpdate,
}
