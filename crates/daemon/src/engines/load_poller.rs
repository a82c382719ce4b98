//! Polls the load of engines at a bounded rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use iristhread_core::BackendId;
use iristhread_core::Event;

use crate::completion::app::App;
use crate::completion::control_message::ControlMessage;

/// Maximum number of load reports fetched per second, over all engines. It bounds the cost of
/// control traffic (docs/CAPACITY.md).
const POLLS_PER_S: u32 = 16;

/// Minimum time between two load reports of one engine.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Polls the engines that the control thread watches until the process ends.
pub async fn run_polls(app: Arc<App>) {
    let ask = |reply| ControlMessage::Watched { reply };
    while let Some(engines) = app.control.ask(ask).await {
        if engines.is_empty() {
            tokio::time::sleep(MIN_POLL_INTERVAL).await;
            continue;
        }
        let count = u32::try_from(engines.len()).unwrap_or(u32::MAX);
        let pause = (Duration::from_secs(1) / POLLS_PER_S).max(MIN_POLL_INTERVAL / count);
        for (engine, address) in engines {
            tokio::spawn(poll(app.clone(), engine, address));
            tokio::time::sleep(pause).await;
        }
    }
}

async fn poll(app: Arc<App>, backend: BackendId, address: SocketAddr) {
    let sent_at = app.clock.now();
    let answer = app.engines.load(address).await;
    let asks_for_backoff = answer.notice.rest().is_some();
    app.observe_notice(&backend, answer.heard(sent_at, false));
    app.control.tell(match answer.result {
        Ok(report) => Event::Report { backend, report },
        // A request for backoff is no failure.
        Err(_) if asks_for_backoff => return,
        Err(_) => Event::BackendFailed { backend },
    });
}
