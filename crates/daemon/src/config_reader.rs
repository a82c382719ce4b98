//! Reads and watches the platform's configuration, for as long as the process
//! lives.

use std::sync::Arc;

use iristhread_core::GatewayConfig;
use slog::Logger;
use slog::info;

use crate::directory::Directory;
use crate::directory::DirectoryError;
use crate::directory::Revision;
use crate::directory_trouble::FIRST_PAUSE;
use crate::directory_trouble::ROTA_CHECK;
use crate::directory_trouble::SOURCE;
use crate::directory_trouble::Trouble;
use crate::directory_trouble::WATCH;
use crate::directory_trouble::end_of;
use crate::fleet_link::FleetLink;
use crate::gateway_message::GatewayMessage;
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_thread::GatewayHandle;

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
            let read = self.read(revision.filter(|_| !trouble.is_lost())).await;
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
        let own = self.control.own_state().await?;
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
        for config in configs {
            self.control.tell(GatewayMessage::Config {
                config: Arc::new(config),
                source: SOURCE.to_owned(),
            });
        }
        self.link.config_read();
    }
}
