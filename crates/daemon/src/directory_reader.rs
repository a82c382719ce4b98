//! Reads and watches the platform's directory, for as long as the process
//! lives, and says when it is lost and regained.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::directory::Directory;
use crate::directory::DirectoryError;
use crate::directory::Revision;
use crate::gateway_message::GatewayMessage;
use crate::gateway_thread::GatewayHandle;

/// Longest time that one watch waits.
const WATCH: Duration = Duration::from_secs(20);

/// First pause after a failed call; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause: a directory that is back is noticed within it, and lapsed
/// entries are back within two seconds.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Pause between two watches, in which changes add up to one answer: each call
/// has a price, and changes have seconds to take effect.
const BATCH: Duration = Duration::from_millis(100);

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

/// Reads and watches the configuration.
pub async fn run_config(directory: Arc<dyn Directory>, control: GatewayHandle, log: Logger) {
    let mut trouble = Trouble::new("configuration");
    let mut revision: Option<Revision> = None;
    loop {
        let read = match revision {
            None => directory.config().await.map(|read| {
                let configs = read.value.into_iter().collect();
                (configs, read.revision)
            }),
            Some(after) => {
                let read = directory.config_after(after, WATCH).await;
                read.map(|read| (read.value, read.revision))
            }
        };
        match read {
            Ok((configs, at)) => {
                trouble.succeeded(&log);
                tell_configs(&control, configs);
                revision = Some(at);
            }
            Err(DirectoryError::HistoryGone) => {
                info!(log, "history of the directory is gone; reading anew"; "of" => "configuration");
                revision = None;
            }
            Err(error) => trouble.failed(&log, &error).await,
        }
    }
}

fn tell_configs(control: &GatewayHandle, configs: Vec<iristhread_core::GatewayConfig>) {
    for config in configs {
        control.tell(GatewayMessage::Config {
            config: Arc::new(config),
            source: SOURCE.to_owned(),
        });
    }
}

/// Reads and watches the list of backend servers.
pub async fn run_replicas(directory: Arc<dyn Directory>, control: GatewayHandle, log: Logger) {
    let mut trouble = Trouble::new("backend servers");
    let mut revision: Option<Revision> = None;
    loop {
        let read = match revision {
            None => directory.replicas().await.map(|read| {
                let message = GatewayMessage::Replicas {
                    revision: read.revision,
                    replicas: read.value,
                    source: SOURCE.to_owned(),
                };
                (message, read.revision)
            }),
            Some(after) => directory.replicas_after(after, WATCH).await.map(|read| {
                let message = GatewayMessage::ReplicaChanges {
                    revision: read.revision,
                    changes: read.value,
                };
                (message, read.revision)
            }),
        };
        match read {
            Ok((message, at)) => {
                if trouble.succeeded(&log) {
                    control.tell(GatewayMessage::OutageEnded);
                }
                control.tell(message);
                revision = Some(at);
                tokio::time::sleep(BATCH).await;
            }
            Err(DirectoryError::HistoryGone) => {
                info!(log, "history of the directory is gone; reading anew"; "of" => "backend servers");
                control.tell(GatewayMessage::OutageEnded);
                revision = None;
            }
            Err(error) => {
                trouble.failed(&log, &error).await;
            }
        }
    }
}
