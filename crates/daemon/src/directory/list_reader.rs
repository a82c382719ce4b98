//! Reads and watches the platform's list of backend servers, for as long as the
//! process lives.

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
use crate::directory::directory_trouble::SOURCE;
use crate::directory::directory_trouble::Trouble;
use crate::directory::directory_trouble::end_of;
use crate::directory::directory_trouble::not_older;
use crate::directory::directory_trouble::same_era;
use crate::directory::skipped_entries::SkippedEntries;
use crate::gateway::gateway_message::GatewayMessage;
use crate::gateway::gateway_metrics::GatewayMetrics;
use crate::gateway::gateway_thread::GatewayHandle;
use crate::peers::fleet_link::FleetLink;
use crate::peers::heartbeat::ListNews;
use crate::process::clock::Clock;

/// Pause between two watches, in which changes add up to one answer: each call
/// has a price, and changes have seconds to take effect.
const BATCH: Duration = Duration::from_millis(100);

/// How long after an outage removals may stem from it; `ReplicaList` draws the
/// line, this bounds what is told.
const OUTAGE_SHADOW: Duration = Duration::from_secs(3);

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
        let mut skipped = SkippedEntries::default();
        let mut forgotten = false;
        let mut outage_ended: Option<Now> = None;
        let mut was_reading = false;
        let mut cycle = WatchCycle::default();
        loop {
            let Some(own) = self.control.own_state().await else {
                return;
            };
            let is_lost = self.link.list_is_lost(own.list_revision);
            self.control.tell(GatewayMessage::ListLost { is_lost });
            let reads = self.link.reads_list(own.list_revision);
            if reads != was_reading {
                info!(self.log, "reading of the list"; "reads" => reads);
                was_reading = reads;
            }
            if !reads {
                if !is_lost {
                    trouble.left_to_others(&self.log);
                }
                tokio::time::sleep(READ_CHECK_INTERVAL).await;
                continue;
            }
            let after = own.list_revision;
            let sent = self.clock.now();
            let read = match after.is_none() || forgotten {
                true => self.read_whole(after, &mut skipped).await,
                false => {
                    let wait = cycle.next_wait(sent);
                    self.watch((after, wait), outage_ended, &mut skipped).await
                }
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
                    let confirmed_at = cycle.answered(sent, read.quiet_for(), self.clock.now());
                    self.tell(read, confirmed_at);
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
                    let waited = self.clock.now().saturating_sub(sent);
                    trouble.failed(&self.log, &error, waited).await;
                    // Removals that are read first belong to the outage.
                    outage_ended = Some(self.clock.now());
                }
            }
        }
    }

    fn tell(&self, read: ListRead, confirmed_at: Now) {
        match read {
            ListRead::Same { .. } => self.link.list_read(confirmed_at, None),
            ListRead::Whole { revision, listing } => {
                self.control.tell(GatewayMessage::Replicas {
                    revision,
                    listing,
                    source: SOURCE.to_owned(),
                });
                self.link.list_read(confirmed_at, None);
            }
            ListRead::Changed(news) => {
                self.control.tell(GatewayMessage::ListNews {
                    news: news.clone(),
                    source: SOURCE.to_owned(),
                });
                self.link.list_read(confirmed_at, Some(news));
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
        // What was left out counts as seen, too.
        if read.value.is_empty() && read.skipped.is_empty() {
            return Ok(ListRead::Same { quiet_for: wait });
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
    /// Nothing has changed while the watch waited.
    Same { quiet_for: Duration },
    /// Some entries have.
    Changed(ListNews),
    /// The whole list.
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
