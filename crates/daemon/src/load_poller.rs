//! Asks engines for their load at a bounded rate.

use std::sync::Arc;
use std::time::Duration;

use iristhread_core::BackendKind;
use iristhread_core::BackendServer;
use iristhread_core::Event;
use iristhread_core::rendezvous_rank;

use crate::app::App;

/// Reports asked for a second, over all engines; bounds the bytes of control.
const POLLS_PER_S: u32 = 16;

/// Least time between two reports of one engine.
const LEAST_INTERVAL: Duration = Duration::from_millis(500);

/// Engines asked by one instance at most; the subset of its decisions.
const MAX_ENGINES: usize = 64;

/// Runs for the life of the process.
pub async fn run_polls(app: Arc<App>) {
    loop {
        let engines = engines_to_ask(&app);
        let interval = Duration::from_secs(1) / POLLS_PER_S;
        if engines.is_empty() {
            tokio::time::sleep(LEAST_INTERVAL).await;
            continue;
        }
        let count = u32::try_from(engines.len()).unwrap_or(u32::MAX);
        let pause = interval.max(LEAST_INTERVAL / count);
        for engine in engines {
            tokio::spawn(ask(app.clone(), engine));
            tokio::time::sleep(pause).await;
        }
    }
}

fn engines_to_ask(app: &App) -> Vec<BackendServer> {
    let view = app.view();
    let engines = view.document.backend_servers.iter();
    let engines: Vec<&BackendServer> = engines
        .filter(|server| server.kind == BackendKind::Engine)
        .collect();
    if engines.len() <= MAX_ENGINES {
        return engines.into_iter().cloned().collect();
    }
    let near = engines
        .into_iter()
        .filter(|server| server.availability_zone == app.settings.zone);
    let near: Vec<&BackendServer> = near.collect();
    let names = near.iter().map(|server| server.name.as_str());
    let rank = rendezvous_rank(&app.identity.instance, names);
    let chosen = &rank[..rank.len().min(MAX_ENGINES)];
    let is_chosen = |server: &&BackendServer| chosen.contains(&server.name.as_str());
    near.into_iter().filter(is_chosen).cloned().collect()
}

async fn ask(app: Arc<App>, engine: BackendServer) {
    let event = match app.engines.load(engine.address).await {
        Ok(report) => Event::Report {
            backend: engine.name,
            report,
        },
        Err(_) => Event::BackendFailed {
            backend: engine.name,
        },
    };
    app.control.tell(event);
}
