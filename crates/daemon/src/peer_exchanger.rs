//! Carries out the exchanges that the decisions ask for.

use std::sync::Arc;
use std::time::Duration;

use iristhread_core::Event;
use slog::debug;
use tokio::sync::mpsc;

use crate::app::App;
use crate::control_message::ControlMessage;
use crate::control_message::Versions;
use crate::control_thread::ExchangeTarget;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;
use crate::peer_server::tell_versions;
use crate::peer_server::versions_of;
use crate::platform_reader::offered;

/// Longest wait for a peer's versions.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Exchanges under way at once; more wait for these.
const MAX_UNDER_WAY: usize = 16;

/// Time between two rounds of asking the seed peers.
const SEED_INTERVAL: Duration = Duration::from_secs(1);

/// Asks the peers of the settings until a configuration and a list are there.
pub async fn run_seeds(app: Arc<App>) {
    loop {
        for seed in &app.settings.seed_peers {
            exchange(&app, (seed.instance.clone(), seed.address)).await;
        }
        tokio::time::sleep(SEED_INTERVAL).await;
        let ask = |reply| ControlMessage::Versions { reply };
        let versions = app.control.ask(ask).await;
        let is_complete = |own: &Versions| own.config_version > 0 && own.roster_version > 0;
        if versions.as_ref().is_none_or(is_complete) {
            return;
        }
    }
}

/// Runs for the life of the process.
pub async fn run_exchanges(app: Arc<App>, mut targets: mpsc::UnboundedReceiver<ExchangeTarget>) {
    let permits = Arc::new(tokio::sync::Semaphore::new(MAX_UNDER_WAY));
    while let Some(target) = targets.recv().await {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let app = app.clone();
        tokio::spawn(async move {
            exchange(&app, target).await;
            drop(permit);
        });
    }
}

async fn exchange(app: &App, (instance, address): ExchangeTarget) {
    let ask = |reply| ControlMessage::Versions { reply };
    let Some(own) = app.control.ask(ask).await else {
        return;
    };
    let request = PeerRequest::Exchange(versions_of(&app.identity, &own));
    let answer = app
        .peers
        .ask(instance.clone(), address, request, TIMEOUT)
        .await;
    match answer {
        Ok(PeerReply::Exchange {
            versions,
            config,
            instances,
        }) => {
            if let Some(instances) = instances {
                app.control.tell(Event::RosterOffered {
                    version: instances.version,
                    entries: instances.entries,
                });
            }
            if let Some(config) = config {
                app.control.tell(offered(config, &instance));
            }
            tell_versions(app, instance, &versions);
        }
        Ok(_) => debug!(app.log, "a peer answered something else"; "peer" => &instance),
        Err(error) => debug!(app.log, "exchange failed"; "error" => %error),
    }
}
