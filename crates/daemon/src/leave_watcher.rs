//! Learns from the engines themselves that they leave, while the platform's
//! list can't be read.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use iristhread_core::Replica;
use slog::info;

use crate::fleet_link::FleetLink;
use crate::gateway::GatewayApp;
use crate::gateway_message::GatewayMessage;

/// Time between two looks: engines are gone 1.5 s after their notice, a report
/// is half a second old, and a move takes a quarter of a second.
const INTERVAL: Duration = Duration::from_millis(250);

/// Age of the list from which engines are asked: longer than a watch and the
/// way of its news. Each question has a price, so nobody asks before.
const STALE_LIST: Duration = Duration::from_millis(1_700);

/// Asks for the life of the process.
pub async fn run(app: Arc<GatewayApp>, link: Arc<FleetLink>) {
    let mut was_asking = false;
    loop {
        tokio::time::sleep(INTERVAL).await;
        let ask = |reply| GatewayMessage::OwnState { reply };
        let Some(own) = app.control.ask(ask).await else {
            return;
        };
        let age = link.list_age(own.list_revision);
        let asks = age > STALE_LIST && own.config_version > 0;
        if asks != was_asking {
            info!(app.log, "asking engines whether they leave";
                "asks" => asks, "list_age_ms" => age.as_millis() as u64);
            was_asking = asks;
        }
        if asks {
            ask_engines(&app).await;
        }
    }
}

async fn ask_engines(app: &GatewayApp) {
    let ask = |reply| GatewayMessage::Uncopied { reply };
    let engines = app.control.ask(ask).await.unwrap_or_default();
    join_all(engines.into_iter().map(|engine| ask_one(app, engine))).await;
}

/// An engine that gives no answer is noticed by its streams.
async fn ask_one(app: &GatewayApp, engine: Replica) {
    if let Ok(true) = app.mover.is_leaving(engine.address).await {
        app.control
            .tell(GatewayMessage::Leaves { replica: engine.id });
    }
}
