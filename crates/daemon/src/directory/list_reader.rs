//! Reads and watches the platform's list of backend servers, as long as the process runs.

use std::sync::Arc;
use std::time::Duration;

use iristhread_core::Now;
use iristhread_core::Revision;
use iristhread_core::WatchCycle;
use iristhread_core::read_timing::FIRST_PAUSE;
use iristhread_core::read_timing::READ_CHECK_INTERVAL;
use slog::Logger;
use slog::info;

use crate::directory::Directory;
use crate::directory::DirectoryError;
use crate::directory::Listing;
use crate::directory::outage_tracker::OutageTracker;
use crate::directory::outage_tracker::SOURCE;
use crate::directory::outage_tracker::not_older;
use crate::directory::outage_tracker::outcome_label;
use crate::directory::outage_tracker::same_era;
use crate::directory::skipped_entries::SkippedEntries;
use crate::gateway::gateway_message::GatewayMessage;
use crate::gateway::gateway_metrics::GatewayMetrics;
use crate::gateway::gateway_thread::GatewayHandle;
use crate::peers::fleet_link::FleetLink;
use crate::peers::heartbeat::ListUpdate;
use crate::process::clock::Clock;

/// Pause between two watches, so that one answer collects several changes. Every call puts load
/// on the directory, and changes may take seconds to come into effect.
const WATCH_PAUSE: Duration = Duration::from_millis(100);

/// Time after an outage during which updates advertise it, because removals may be caused by
/// it. `ReplicaList` decides which removals count; this constant only bounds the advertising.
const OUTAGE_REMOVAL_WINDOW: Duration = Duration::from_secs(3);

/// Reads the list of backend servers while the reader ranking selects this instance, and
/// reports changes to the peers.
pub struct ListReader {
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

impl ListReader {
    /// Runs until the process ends.
    pub async fn run(self) {
        let mut outage = OutageTracker::new("backend servers");
        let mut skipped = SkippedEntries::default();
        let mut history_gone = false;
        let mut outage_ended: Option<Now> = None;
        let mut was_reading = false;
        let mut cycle = WatchCycle::default();
        loop {
            let Some(own) = self.control.own_state().await else {
                return;
            };
            let is_lost = self.link.is_directory_list_stale(own.list_revision);
            self.control.tell(GatewayMessage::ListStale { is_lost });
            let reads = self.link.reads_list(own.list_revision);
            if reads != was_reading {
                info!(self.log, "reading of the list of backend servers"; "reads" => reads);
                was_reading = reads;
            }
            if !reads {
                if !is_lost {
                    outage.leave_to_other_readers(&self.log);
                }
                tokio::time::sleep(READ_CHECK_INTERVAL).await;
                continue;
            }
            let after = own.list_revision;
            let sent = self.clock.now();
            let read = match after.is_none() || history_gone {
                true => self.read_whole(after, &mut skipped).await,
                false => {
                    let wait = cycle.next_wait(sent);
                    self.watch((after, wait), outage_ended, &mut skipped).await
                }
            };
            self.metrics.directory_called("list", outcome_label(&read));
            match read {
                Ok(read) => {
                    history_gone = false;
                    if outage.succeeded(&self.log) {
                        // Sent before the list: entries may be missing from it only because
                        // of the outage.
                        self.control.tell(GatewayMessage::OutageEnded);
                        outage_ended = Some(self.clock.now());
                    }
                    let confirmed_at = cycle.answered(sent, read.quiet_for(), self.clock.now());
                    self.publish(read, confirmed_at);
                    tokio::time::sleep(WATCH_PAUSE).await;
                }
                Err(DirectoryError::HistoryGone) => {
                    info!(self.log, "directory no longer keeps the requested changes; reading all";
                        "of" => "backend servers");
                    history_gone = true;
                    tokio::time::sleep(FIRST_PAUSE).await;
                }
                Err(error) => {
                    self.link.record_unreadable();
                    let waited = self.clock.now().saturating_sub(sent);
                    outage.failed(&self.log, &error, waited).await;
                    // Removals in the first successful read may be caused by the outage.
                    outage_ended = Some(self.clock.now());
                }
            }
        }
    }

    fn publish(&self, read: ListRead, confirmed_at: Now) {
        match read {
            ListRead::Same { .. } => self.link.record_list_confirmed(confirmed_at, None),
            ListRead::Whole { revision, listing } => {
                self.control.tell(GatewayMessage::Replicas {
                    revision,
                    listing,
                    source: SOURCE.to_owned(),
                });
                self.link.record_list_confirmed(confirmed_at, None);
            }
            ListRead::Changed(update) => {
                self.control.tell(GatewayMessage::ListUpdate {
                    news: update.clone(),
                    source: SOURCE.to_owned(),
                });
                self.link.record_list_confirmed(confirmed_at, Some(update));
            }
        }
    }

    async fn read_whole(
        &self,
        known: Revision,
        skipped: &mut SkippedEntries,
    ) -> Result<ListRead, DirectoryError> {
        let read = self.directory.replicas().await?;
        not_older(read.revision, known)?;
        skipped.note(&self.log, &self.metrics, &read.skipped);
        Ok(ListRead::Whole {
            revision: read.revision,
            listing: read.value,
        })
    }

    async fn watch(
        &self,
        (after, wait): (Revision, Duration),
        outage_ended: Option<Now>,
        skipped: &mut SkippedEntries,
    ) -> Result<ListRead, DirectoryError> {
        let read = self.directory.replicas_after(after, wait).await?;
        same_era(read.revision, after)?;
        skipped.note(&self.log, &self.metrics, &read.skipped);
        // Skipped entries count as changes, too.
        if read.value.is_empty() && read.skipped.is_empty() {
            return Ok(ListRead::Same { quiet_for: wait });
        }
        let since = outage_ended.map(|at| self.clock.now().saturating_sub(at));
        let since = since.filter(|since| *since < OUTAGE_REMOVAL_WINDOW);
        Ok(ListRead::Changed(ListUpdate {
            after,
            revision: read.revision,
            changes: read.value,
            outage_ended_ms: since.map(|since| since.as_millis() as u64),
        }))
    }
}

/// Result of one call about the list.
enum ListRead {
    /// The watch returned no changes after `quiet_for`.
    Same { quiet_for: Duration },
    /// Some entries have changed.
    Changed(ListUpdate),
    /// The full list was read.
    Whole {
        revision: Revision,
        listing: Listing,
    },
}

impl ListRead {
    fn quiet_for(&self) -> Option<Duration> {
        match self {
            ListRead::Same { quiet_for } => Some(*quiet_for),
            ListRead::Changed(_) | ListRead::Whole { .. } => None,
        }
    }
}
