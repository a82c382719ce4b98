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
use crate::gateway::gateway_message::GatewayMessage;

/// Time between two rounds: an engine is gone 1.5 s after its notice, its report
/// is half a second old, and a first copy takes a quarter of a second.
const INTERVAL: Duration = Duration::from_millis(300);

/// Time in which a live engine takes a connection.
const LOOK_TIMEOUT: Duration = Duration::from_millis(300);

/// Time until a backend server that broke off and takes connections is looked at once
/// more: one that ends may close its connections first, and is back after seconds.
const SECOND_LOOK: Duration = Duration::from_millis(100);

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
        let asked = join_all(checks.query.into_iter().map(|engine| ask(&app, engine)));
        let looked = join_all(checks.probe.into_iter().map(|engine| look(&app, engine)));
        join(asked, looked).await;
    }
}

async fn ask(app: &GatewayApp, engine: Replica) {
    match app.mover.is_leaving(engine.clone()).await.result {
        Ok(true) => app.control.tell(GatewayMessage::Leaves {
            replica: engine.server_life(),
            source: None,
        }),
        Ok(false) => {}
        // Its streams, and looks after its copies, show when it is gone.
        Err(error) => debug!(app.log, "engine does not say whether it leaves";
            "backend_server" => engine.id, "cause" => error.to_string()),
    }
}

async fn look(app: &GatewayApp, engine: Replica) -> Reach {
    let reach = reach_of(engine.address).await;
    let replica = engine.server_life();
    if reach == Reach::Refuses {
        app.control.tell(GatewayMessage::ServerCrashed {
            replica: replica.clone(),
        });
    }
    if reach != Reach::Accepts {
        app.control.tell(GatewayMessage::Unreachable { replica });
    }
    reach
}

/// Notes that a request broke off at a backend server and looks whether that has ended:
/// what is decided next should know. Where something listens still, one more look follows.
pub async fn look_at_broken(app: &Arc<GatewayApp>, request: &str, server: &Replica) {
    app.control.tell(GatewayMessage::BrokeOff {
        request: request.to_owned(),
        replica: server.clone(),
    });
    if look(app, server.clone()).await == Reach::Accepts {
        let (app, server) = (app.clone(), server.clone());
        tokio::spawn(async move {
            tokio::time::sleep(SECOND_LOOK).await;
            look(&app, server).await;
        });
    }
}

/// Whether nothing listens any more where a backend server was. One that ends may close
/// its connections first: where that matters, it is looked at once more.
pub async fn has_ended(address: SocketAddr, looks_again: bool) -> bool {
    let mut reach = reach_of(address).await;
    if reach == Reach::Accepts && looks_again {
        tokio::time::sleep(SECOND_LOOK).await;
        reach = reach_of(address).await;
    }
    reach == Reach::Refuses
}

/// What a connection to an address meets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// Something accepts it.
    Accepts,
    /// It is refused: whatever listened there has ended.
    Refuses,
    /// No answer in the time that a live engine needs.
    Silent,
}

/// Looks whether something takes a connection at an address.
pub async fn reach_of(address: SocketAddr) -> Reach {
    let connect = tokio::net::TcpStream::connect(address);
    match tokio::time::timeout(LOOK_TIMEOUT, connect).await {
        Ok(Ok(_)) => Reach::Accepts,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => Reach::Refuses,
        Ok(Err(_)) | Err(_) => Reach::Silent,
    }
}
