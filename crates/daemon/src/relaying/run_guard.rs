//! Reports the end of a request to the control thread in every case.

use std::sync::Arc;

use iristhread_core::RunEnd;

use crate::gateway::GatewayApp;
use crate::gateway::gateway_message::GatewayMessage;

/// Reports the end of a request to the gateway thread when dropped, also when its task is
/// dropped because the caller disconnected.
pub struct RunGuard {
    app: Arc<GatewayApp>,
    request: String,
    end: RunEnd,
    is_armed: bool,
}

impl RunGuard {
    /// Guards a request from its placement on, or from the start of its wait for room; its end is
    /// `Withdrawn` until [`set_end`](Self::set_end) is called.
    pub fn new(app: Arc<GatewayApp>, request: String) -> Self {
        RunGuard {
            app,
            request,
            end: RunEnd::Withdrawn,
            is_armed: true,
        }
    }

    /// Reports nothing when dropped: the request was refused.
    pub fn disarm(&mut self) {
        self.is_armed = false;
    }

    /// The guarded request.
    pub fn request(&self) -> &str {
        &self.request
    }

    /// Sets the end to report.
    pub fn set_end(&mut self, end: RunEnd) {
        self.end = end;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.is_armed {
            return;
        }
        self.app.control.tell(GatewayMessage::Ended {
            request: self.request.clone(),
            end: self.end,
        });
    }
}
