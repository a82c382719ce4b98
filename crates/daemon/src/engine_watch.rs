//! Asks engines whether they leave, and looks after those that keep copies, while
//! nobody confirms the platform's list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join;
use futures::future::join_all;
use iristhread_core::Replica;
use slog::debug;

use crate::gateway::GatewayApp;
use crate::gateway_message::GatewayMessage;

/// Time between two rounds: an engine is gone 1.5 s after its notice, its report
/// is half a second old, and a first copy takes a quarter of a second.
const INTERVAL: Duration = Duration::from_millis(300);

/// Time in which a live engine takes a connection.
const LOOK_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks for the life of the process; the decisions say whom.
pub async fn run(app: Arc<GatewayApp>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        let checks = app
            .control
            .ask(|reply| GatewayMessage::EngineChecks { reply });
        let Some(checks) = checks.await else {
            return;
        };
        let asked = join_all(checks.ask.into_iter().map(|engine| ask(&app, engine)));
        let looked = join_all(checks.look.into_iter().map(|engine| look(&app, engine)));
        join(asked, looked).await;
    }
}

async fn ask(app: &GatewayApp, engine: Replica) {
    match app.mover.is_leaving(engine.address).await {
        Ok(true) => app.control.tell(GatewayMessage::Leaves {
            replica: engine.id,
            source: None,
        }),
        Ok(false) => {}
        // Its streams, and looks after its copies, show when it is gone.
        Err(error) => debug!(app.log, "engine does not say whether it leaves";
            "backend_server" => engine.id, "cause" => error.to_string()),
    }
}

async fn look(app: &GatewayApp, engine: Replica) {
    if !takes_connections(engine.address).await {
        app.control
            .tell(GatewayMessage::Unreachable { replica: engine.id });
    }
}

/// Looks at an engine that broke off, without holding up whoever asks.
pub fn look_soon(app: &Arc<GatewayApp>, engine: Replica) {
    let app = app.clone();
    tokio::spawn(async move { look(&app, engine).await });
}

/// Whether something takes a connection at an address in the time that a live
/// engine needs.
pub async fn takes_connections(address: SocketAddr) -> bool {
    let connect = tokio::net::TcpStream::connect(address);
    matches!(tokio::time::timeout(LOOK_TIMEOUT, connect).await, Ok(Ok(_)))
}
