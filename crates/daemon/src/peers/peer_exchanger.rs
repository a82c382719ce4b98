//! Carries out the version exchanges that the control thread requests.

use std::sync::Arc;
use std::time::Duration;

use slog::debug;
use tokio::sync::mpsc;

use crate::completion::app::App;
use crate::completion::control_message::ControlMessage;
use crate::completion::control_message::Versions;
use crate::completion::control_thread::ExchangeTarget;
use crate::peers::peer_answers::apply_peer_update;
use crate::peers::peer_answers::apply_peer_versions;
use crate::peers::peer_answers::update_for;
use crate::peers::peer_answers::versions_of;
use crate::peers::peer_message::PeerReply;
use crate::peers::peer_message::PeerRequest;
use crate::peers::peer_message::PeerUpdate;

/// Timeout of an exchange or an offer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Limit of concurrent exchanges; further ones wait.
const MAX_CONCURRENT_EXCHANGES: usize = 16;

/// Time between two rounds of exchanges with the seed peers.
const SEED_EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Exchanges versions with the seed peers of the settings until this instance has a configuration
/// and an instance list.
pub async fn run_seeds(app: Arc<App>) {
    loop {
        for seed in &app.settings.seed_peers {
            exchange(&app, (seed.instance.clone(), seed.address)).await;
        }
        tokio::time::sleep(SEED_EXCHANGE_INTERVAL).await;
        let ask = |reply| ControlMessage::Versions { reply };
        let versions = app.control.ask(ask).await;
        let is_complete = |own: &Versions| own.config_version > 0 && own.roster_version > 0;
        if versions.as_ref().is_none_or(is_complete) {
            return;
        }
    }
}

/// Carries out exchanges with the peers from `targets` until the process ends.
pub async fn run_exchanges(app: Arc<App>, mut targets: mpsc::UnboundedReceiver<ExchangeTarget>) {
    let permits = Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT_EXCHANGES));
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

/// Compares versions with a peer; the side with the older version gets the newer one. This side
/// sends what the peer lacks, because the peer may not know an address to request it from.
async fn exchange(app: &App, (instance, address): ExchangeTarget) {
    let ask = |reply| ControlMessage::Versions { reply };
    let Some(own) = app.control.ask(ask).await else {
        return;
    };
    let request = PeerRequest::Exchange(versions_of(&app.identity, &own));
    let answer = app.peers.ask(instance.clone(), address, request, TIMEOUT);
    match answer.await {
        Ok(PeerReply::Exchange { versions, news }) => {
            apply_peer_update(app, &instance, news);
            let lacking = update_for(app, &own, &versions).await;
            debug!(app.log, "exchanged"; "peer" => &instance, "own" => own.config_version,
                "theirs" => versions.config_version, "offers" => !lacking.is_empty());
            apply_peer_versions(app, instance.clone(), &versions);
            if !lacking.is_empty() {
                offer(app, (instance, address), lacking).await;
            }
        }
        Ok(_) => {
            debug!(app.log, "peer answered an exchange with another reply"; "peer" => &instance)
        }
        Err(error) => debug!(app.log, "exchange failed"; "error" => %error),
    }
}

async fn offer(app: &App, (instance, address): ExchangeTarget, update: PeerUpdate) {
    let request = PeerRequest::Offer(update);
    let answer = app.peers.ask(instance, address, request, TIMEOUT);
    if let Err(error) = answer.await {
        debug!(app.log, "offer failed"; "error" => %error);
    }
}
