//! Probes the backend servers of runs that this instance no longer waits for: nobody reads their
//! connections any more, so that nothing else shows in time that a server has ended under such a run.

use std::sync::Arc;
use std::time::Duration;

use iristhread_core::Replica;

use crate::detour::reach::Reach;
use crate::engines::engine_watch;
use crate::gateway::GatewayApp;
use crate::gateway::gateway_message::GatewayMessage;

/// Time between two rounds of probes; a server that is due several times in it is probed once.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Probes servers until the process ends. The control thread selects them.
pub async fn run(app: Arc<GatewayApp>) {
    loop {
        app.run_left().await;
        if probe_rounds(&app).await.is_none() {
            return;
        }
    }
}

/// Probes servers until no further probe is awaited; `None` once the control thread has ended.
async fn probe_rounds(app: &Arc<GatewayApp>) -> Option<()> {
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let ask = |reply| GatewayMessage::LeftRunProbes { reply };
        let probes = app.control.ask(ask).await?;
        for server in probes.due {
            tokio::spawn(probe(app.clone(), server));
        }
        if !probes.awaits_more {
            return Some(());
        }
    }
}

async fn probe(app: Arc<GatewayApp>, server: Replica) {
    let at = app.clock.now();
    let replica = server.server_life();
    let reach = engine_watch::probe(&app, server).await;
    if matches!(reach, Reach::Accepts | Reach::OnlyByPeer) {
        app.control
            .tell(GatewayMessage::ServerAccepted { replica, at });
    }
}
