//! State shared by the traffic tasks of one process.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use iristhread_api::HttpClient;
use iristhread_core::Event;
use iristhread_core::ObservedNotice;
use iristhread_core::RequestRate;
use slog::Logger;
use slog::info;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::completion::call_store::CallStore;
use crate::completion::config_view::ConfigView;
use crate::completion::control_message::Identity;
use crate::completion::control_thread::ControlHandle;
use crate::completion::settings::Settings;
use crate::engines::engine_port::EnginePort;
use crate::operators::resource_log::ResourceLog;
use crate::peers::peer_port::PeerPort;
use crate::process::clock::Clock;
use crate::process::metrics::Metrics;

/// State shared by all tasks; every field can be used from any thread.
pub struct App {
    /// Settings of this instance.
    pub settings: Settings,
    /// Instance and incarnation of this process.
    pub identity: Identity,
    /// Monotonic and wall clock of this process.
    pub clock: Clock,
    /// Handle of the control thread.
    pub control: ControlHandle,
    /// The configuration in force, updated by the control thread.
    pub views: watch::Receiver<Arc<ConfigView>>,
    /// Client for engines.
    pub engines: Arc<dyn EnginePort>,
    /// Client for the other instances.
    pub peers: Arc<dyn PeerPort>,
    /// Client for plain services; opens a connection per call.
    pub services: HttpClient,
    /// Answers to calls with a ticket.
    pub calls: CallStore,
    /// Log of changes to resources.
    pub resources: ResourceLog,
    /// One permit per stream or call; the number is `max_streams`.
    pub stream_permits: Arc<Semaphore>,
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
    /// Logger of this process.
    pub log: Logger,
    /// Whether a planned stop has begun; the instance is then not ready.
    pub stopping: AtomicBool,
}

impl App {
    /// Returns the configuration in force now.
    pub fn view(&self) -> Arc<ConfigView> {
        self.views.borrow().clone()
    }

    /// Passes the server notice of an answer to the control thread, and logs it. An empty notice
    /// is passed on only if the answer reports limits: it then ends an earlier limit.
    pub fn observe_notice(&self, backend: &str, heard: ObservedNotice) {
        let notice = &heard.notice;
        if notice.is_empty() && !heard.reports_limits {
            return;
        }
        self.control.tell(Event::NoticeReceived {
            backend: backend.to_owned(),
            heard,
        });
        if notice.is_empty() {
            return;
        }
        info!(self.log, "answer contains a server notice";
            "backend_server" => backend,
            "leaving" => notice.is_leaving,
            "rest_ms" => notice.rest().map(|rest| rest.as_millis() as u64),
            "limit_per_s" => notice.limit.rate().map(RequestRate::per_s),
            "unreadable" => notice.is_unreadable());
    }

    /// Whether this instance takes requests: a configuration is in force and no stop has begun.
    pub fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && self.view().version > 0
    }
}
