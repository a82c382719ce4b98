//! Runs at backend servers that nobody waits for any more: their servers are checked a few times, since
//! nothing else shows that one has ended under such a run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use iristhread_core::BackendId;
use iristhread_core::BackendServer;
use iristhread_core::Event;
use iristhread_core::Fingerprint;
use iristhread_core::PromptParts;

use crate::completion::app::App;
use crate::engines::engine_watch::has_stopped_listening;
use crate::peers::peer_message::ForwardedCall;

/// Pauses before the checks of the server: a server ends soon after it has begun a run that ends it.
const CHECK_PAUSES: [Duration; 3] = [
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(800),
];

/// What a run is recognized by, and where it is.
#[derive(Clone, Debug)]
pub struct RunAtServer {
    /// The backend server.
    pub backend: BackendId,
    /// Its address.
    pub address: SocketAddr,
    /// Fingerprint of the content.
    pub fingerprint: Fingerprint,
    /// Parts of the prompt; none for calls.
    pub parts: PromptParts,
}

impl RunAtServer {
    /// Returns the run of a call.
    pub fn of_call(call: &ForwardedCall, runner: &BackendServer) -> Self {
        RunAtServer {
            backend: runner.name.clone(),
            address: runner.address,
            fingerprint: call.fingerprint(),
            parts: PromptParts::default(),
        }
    }
}

/// Checks in the background whether the server of a run ends after the run was left, and reports it.
pub fn watch(app: &Arc<App>, run: RunAtServer) {
    let app = app.clone();
    tokio::spawn(async move {
        for pause in CHECK_PAUSES {
            tokio::time::sleep(pause).await;
            if has_stopped_listening(run.address, false).await {
                return report_crash(&app, run);
            }
        }
    });
}

/// Reports that the server of a run ended under it.
pub fn report_crash(app: &App, run: RunAtServer) {
    app.control.tell(Event::ServerCrashed {
        backend: run.backend,
        fingerprint: run.fingerprint,
        parts: run.parts,
        ran_for: Duration::ZERO,
    });
}

/// A run that is watched once this is dropped, unless its end was seen: the HTTP server drops the
/// request of a caller that disconnects.
pub struct OpenRun {
    app: Arc<App>,
    run: Option<RunAtServer>,
}

impl OpenRun {
    /// Guards a run from its send on.
    pub fn new(app: &Arc<App>, run: RunAtServer) -> Self {
        let app = app.clone();
        OpenRun {
            app,
            run: Some(run),
        }
    }

    /// Records that the end of the run was seen.
    pub fn end(mut self) {
        self.run = None;
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        if let Some(run) = self.run.take() {
            watch(&self.app, run);
        }
    }
}
