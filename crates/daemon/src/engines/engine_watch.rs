//! Queries engines whether they are draining, and probes backup engines, while the platform's
//! list is not confirmed. Probes backend servers after a lost connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join;
use futures::future::join_all;
use iristhread_api::Dial;
use iristhread_api::DialError;
use iristhread_api::TcpDial;
use iristhread_core::Replica;
use slog::debug;
use slog::info;

use crate::detour::reach::Reach;
use crate::gateway::GatewayApp;
use crate::gateway::gateway_message::GatewayMessage;

/// Time between two rounds of queries. An engine ends 1.5 s after its notice, its report is up to
/// 0.5 s old, and the first copy of a session takes 0.25 s.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of a probe of the completion interface: a live engine accepts a connection within this
/// time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay of the second probe of a backend server at which a connection was lost but which still
/// accepts new ones: a crashing server may close its connections before its listener, and it is
/// back after some seconds.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(100);

/// Queries and probes engines until the process ends. The control thread selects the engines.
pub async fn run(app: Arc<GatewayApp>) {
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let checks = app
            .control
            .ask(|reply| GatewayMessage::EngineChecks { reply });
        let Some(checks) = checks.await else {
            return;
        };
        let queries = join_all(
            checks
                .query
                .into_iter()
                .map(|engine| query_draining(&app, engine)),
        );
        let probes = join_all(checks.probe.into_iter().map(|engine| probe(&app, engine)));
        join(queries, probes).await;
    }
}

async fn query_draining(app: &GatewayApp, engine: Replica) {
    match app.mover.is_leaving(engine.clone()).await.result {
        Ok(true) => app.control.tell(GatewayMessage::Leaves {
            replica: engine.server_life(),
            source: None,
        }),
        Ok(false) => {}
        // If the engine has ended, its streams and the probes of its backups will show it.
        Err(error) => debug!(app.log, "query whether an engine is draining failed";
            "backend_server" => engine.id, "cause" => error.to_string()),
    }
}

/// Probes a backend server and reports what the probe shows.
pub async fn probe(app: &GatewayApp, engine: Replica) -> Reach {
    let reach = app.dialer.reach(engine.address).await;
    let replica = engine.server_life();
    if reach != Reach::Accepts {
        info!(app.log, "backend server was probed";
            "backend_server" => &replica.id, "reach" => reach.as_str());
    }
    // A crash that is assumed wrongly costs some seconds of one request's repeats. That the server
    // can't be reached is told to all instances, and needs one that reaches other servers.
    if matches!(reach, Reach::Refuses | Reach::RefusesHere) {
        app.control.tell(GatewayMessage::ServerCrashed {
            replica: replica.clone(),
        });
    }
    if matches!(reach, Reach::Refuses | Reach::Silent) {
        app.control.tell(GatewayMessage::Unreachable { replica });
    }
    reach
}

/// Reports the lost connection of a request at a backend server and probes whether the server has
/// crashed, so that the next decision takes it into account.
pub async fn probe_broken_server(app: &Arc<GatewayApp>, request: &str, server: &Replica) {
    report_broken_run(app, request, server);
    probe_twice(app, server).await;
}

/// Reports the lost connection of a request at a backend server. The report has to come before that of
/// the end of the request, after which nothing is known of it.
pub fn report_broken_run(app: &GatewayApp, request: &str, server: &Replica) {
    app.control.tell(GatewayMessage::RunBroken {
        request: request.to_owned(),
        replica: server.clone(),
    });
}

/// Probes a backend server; if something still listens there, a second probe follows.
pub async fn probe_twice(app: &Arc<GatewayApp>, server: &Replica) {
    if probe(app, server.clone()).await == Reach::Accepts {
        let (app, server) = (app.clone(), server.clone());
        tokio::spawn(async move {
            tokio::time::sleep(SECOND_PROBE_DELAY).await;
            probe(&app, server).await;
        });
    }
}

/// Whether a backend server has ended with an answer that ended with its connection.
pub async fn has_ended_with_answer(app: &GatewayApp, server: &Replica) -> bool {
    let reach = app.dialer.reach(server.address).await;
    matches!(reach, Reach::Refuses | Reach::RefusesHere)
}

/// Same as [`has_ended_with_answer`], with a second look at a server that still accepts connections.
pub async fn has_ended_soon_after_answer(app: &GatewayApp, server: &Replica) -> bool {
    if has_ended_with_answer(app, server).await {
        return true;
    }
    tokio::time::sleep(SECOND_PROBE_DELAY).await;
    has_ended_with_answer(app, server).await
}

/// Whether nothing listens at the address of a backend server any more. A crashing server may
/// close its connections before its listener: with `probes_twice`, a second probe follows.
pub async fn has_stopped_listening(address: SocketAddr, probes_twice: bool) -> bool {
    let dial = TcpDial {
        connect_timeout: PROBE_TIMEOUT,
    };
    let mut dialed = dial.dial(address).await;
    if dialed.is_ok() && probes_twice {
        tokio::time::sleep(SECOND_PROBE_DELAY).await;
        dialed = dial.dial(address).await;
    }
    matches!(dialed, Err(DialError::Refused))
}
