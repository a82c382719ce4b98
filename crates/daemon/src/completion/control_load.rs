//! Whether an instance of the completion interface is late with the requests that it has read.

use std::sync::Arc;
use std::time::Duration;

use crate::completion::control_thread::ControlHandle;
use crate::process::gated_listener::Lateness;
use crate::process::gated_listener::LoadSignal;
use crate::process::metrics::Metrics;
use crate::process::read_permit::ReadPermit;

/// Reads the lateness of the control thread.
pub struct ControlLoad {
    /// The control thread.
    pub control: ControlHandle,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
}

impl LoadSignal for ControlLoad {
    fn lateness(&self) -> Lateness {
        Lateness {
            has_room: true,
            control_wait: self.control.lateness(),
            path_delay: Duration::ZERO,
        }
    }

    fn read_permit(&self) -> Option<ReadPermit> {
        None
    }

    fn closed_unread(&self, count: usize) {
        self.metrics.closed_unread(count);
    }
}
