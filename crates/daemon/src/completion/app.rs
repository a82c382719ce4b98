//! What the traffic tasks of one process share.

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

/// Shared by all tasks; every field is safe to use from any thread.
pub struct App {
    /// Settings.
    pub settings: Settings,
    /// Who this process is.
    pub identity: Identity,
    /// Clocks.
    pub clock: Clock,
    /// Decisions.
    pub control: ControlHandle,
    /// Configuration in force.
    pub views: watch::Receiver<Arc<ConfigView>>,
    /// Engines.
    pub engines: Arc<dyn EnginePort>,
    /// Other instances.
    pub peers: Arc<dyn PeerPort>,
    /// Client for plain services: a connection per call.
    pub services: HttpClient,
    /// Answers of calls with a ticket.
    pub calls: CallStore,
    /// Changes of resources.
    pub resources: ResourceLog,
    /// Places for streams and calls.
    pub stream_permits: Arc<Semaphore>,
    /// Metrics.
    pub metrics: Metrics,
    /// Logger.
    pub log: Logger,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
}

impl App {
    /// The configuration in force now.
    pub fn view(&self) -> Arc<ConfigView> {
        self.views.borrow().clone()
    }

    /// Notes what an answer said of its engine or runner.
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
        info!(self.log, "answer tells of its backend server";
            "backend_server" => backend,
            "leaving" => notice.is_leaving,
            "rest_ms" => notice.rest().map(|rest| rest.as_millis() as u64),
            "limit_per_s" => notice.limit.rate().map(RequestRate::per_s),
            "unreadable" => notice.is_unreadable());
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && self.view().version > 0
    }
}
