//! Probes the services of which this instance reaches no server, to find out when that is over.

use std::sync::Arc;
use std::time::Duration;

use crate::detour::server_dialer::ServerDialer;

/// Time between two checks for due probes.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Probes until the process ends. Nothing is sent while every service can be reached.
pub async fn run(dialer: Arc<ServerDialer>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        for server in dialer.due_probes() {
            let dialer = dialer.clone();
            // The next probe must not wait for a slow one.
            tokio::spawn(async move { dialer.probe(&server).await });
        }
    }
}
