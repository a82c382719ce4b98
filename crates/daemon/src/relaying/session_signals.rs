//! The decisions of the control thread about one session, as its task receives them.

use std::collections::VecDeque;

use iristhread_core::SessionSignal;
use tokio::sync::mpsc;

/// Receives the signals of one session. Those that arrive before its stream has begun are kept for
/// later, except for the one that ends it.
pub struct SessionSignals {
    receiver: mpsc::UnboundedReceiver<SessionSignal>,
    kept: VecDeque<SessionSignal>,
}

impl SessionSignals {
    /// Receives the signals of a channel.
    pub fn new(receiver: mpsc::UnboundedReceiver<SessionSignal>) -> Self {
        SessionSignals {
            receiver,
            kept: VecDeque::new(),
        }
    }

    /// Returns the next signal; `None` once there will be no more.
    pub async fn next(&mut self) -> Option<SessionSignal> {
        match self.kept.pop_front() {
            Some(signal) => Some(signal),
            None => self.receiver.recv().await,
        }
    }

    /// Completes when the session is to be withdrawn before its stream has begun.
    pub async fn withdrawn(&mut self) {
        while let Some(signal) = self.receiver.recv().await {
            match signal {
                SessionSignal::Withdraw => return,
                SessionSignal::MoveTo(_) | SessionSignal::EngineRestarted => {
                    self.kept.push_back(signal);
                }
            }
        }
        std::future::pending().await
    }
}
