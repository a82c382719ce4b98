//! Asks engines for their load at a bounded rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use iristhread_core::BackendId;
use iristhread_core::Event;

use crate::completion::app::App;
use crate::completion::control_message::ControlMessage;

/// Reports asked for a second, over all engines; bounds the cost of control
/// (docs/CAPACITY.md).
const POLLS_PER_S: u32 = 16;

/// Least time between two reports of one engine.
const LEAST_INTERVAL: Duration = Duration::from_millis(500);

/// Asks the engines that decisions look at, for the life of the process.
pub async fn run_polls(app: Arc<App>) {
    let ask = |reply| ControlMessage::Watched { reply };
    while let Some(engines) = app.control.ask(ask).await {
        if engines.is_empty() {
            tokio::time::sleep(LEAST_INTERVAL).await;
            continue;
        }
        let count = u32::try_from(engines.len()).unwrap_or(u32::MAX);
        let pause = (Duration::from_secs(1) / POLLS_PER_S).max(LEAST_INTERVAL / count);
        for (engine, address) in engines {
            tokio::spawn(poll(app.clone(), engine, address));
            tokio::time::sleep(pause).await;
        }
    }
}

async fn poll(app: Arc<App>, backend: BackendId, address: SocketAddr) {
    let sent_at = app.clock.now();
    let answer = app.engines.load(address).await;
    let asks_for_rest = answer.notice.rest().is_some();
    app.observe_notice(&backend, answer.heard(sent_at, false));
    app.control.tell(match answer.result {
        Ok(report) => Event::Report { backend, report },
        // Rest is no failure.
        Err(_) if asks_for_rest => return,
        Err(_) => Event::BackendFailed { backend },
    });
}
