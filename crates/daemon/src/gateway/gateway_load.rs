//! Whether a gateway is late with the requests that it has read.

use std::sync::Arc;

use iristhread_core::MemoryShortage;

use crate::detour::server_dialer::ServerDialer;
use crate::gateway::gateway_metrics::GatewayMetrics;
use crate::gateway::gateway_thread::GatewayHandle;
use crate::process::connection_memory::ConnectionMemory;
use crate::process::gated_listener::Lateness;
use crate::process::gated_listener::LoadSignal;
use crate::process::memory::Memory;
use crate::process::read_permit::ReadPermit;

/// Reads the lateness of the parts of a gateway.
pub struct GatewayLoad {
    /// The gateway control thread.
    pub control: GatewayHandle,
    /// Knows the delay of the path to backend servers.
    pub dialer: Arc<ServerDialer>,
    /// The memory that is held for others.
    pub memory: Arc<Memory>,
    /// Metrics of the gateway.
    pub metrics: Arc<GatewayMetrics>,
}

impl LoadSignal for GatewayLoad {
    fn lateness(&self) -> Lateness {
        Lateness {
            has_room: self.dialer.has_room(),
            control_wait: self.control.lateness(),
            path_delay: self.dialer.current_path_delay(),
        }
    }

    fn read_permit(&self) -> Option<ReadPermit> {
        Some(self.dialer.read_permit())
    }

    fn connection_memory(&self) -> Result<Option<Arc<ConnectionMemory>>, MemoryShortage> {
        ConnectionMemory::claim(&self.memory).map(Some)
    }

    fn closed_unread(&self, count: usize) {
        self.metrics.closed_unread(count);
    }
}
