//! Learns from the engines themselves that they leave, while the platform's
//! list can't be read.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use iristhread_core::Replica;
use slog::debug;
use slog::info;

use crate::fleet_link::FleetLink;
use crate::gateway::GatewayApp;
use crate::gateway_message::GatewayMessage;

/// Time between two looks: engines are gone 1.5 s after their notice, a report
/// is half a second old, and a move takes a quarter of a second.
const INTERVAL: Duration = Duration::from_millis(300);

/// Asks for the life of the process.
pub async fn run(app: Arc<GatewayApp>, link: Arc<FleetLink>) {
    let mut was_asking = false;
    loop {
        tokio::time::sleep(INTERVAL).await;
        let Some(own) = app.control.own_state().await else {
            return;
        };
        // Each question has a price: nobody asks while the list tells.
        let asks = own.config_version > 0 && link.list_is_lost(own.list_revision);
        if asks != was_asking {
            info!(app.log, "asking engines whether they leave";
                "asks" => asks, "list_revision" => own.list_revision);
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

async fn ask_one(app: &GatewayApp, engine: Replica) {
    match app.mover.is_leaving(engine.address).await {
        Ok(true) => app
            .control
            .tell(GatewayMessage::Leaves { replica: engine.id }),
        Ok(false) => {}
        // Its streams notice when it is gone.
        Err(error) => debug!(app.log, "engine does not say whether it leaves";
            "backend_server" => engine.id, "cause" => error.to_string()),
    }
}
