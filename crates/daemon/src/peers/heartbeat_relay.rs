//! Queue of the heartbeats that this instance forwards within its availability zone.

use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::sync::Notify;

use crate::peers::heartbeat::Datagram;
use crate::peers::heartbeat::SealedHeartbeat;

/// Approximate limit of the bytes of heartbeats in one datagram: far below the limit of UDP, and
/// small enough not to delay streams on a slow link.
const MAX_BUNDLE_BYTES: usize = 12_000;

/// Limit of queued heartbeats: enough for several hundred instances within one bundle interval.
/// Above it the oldest are dropped; their senders repeat the state in later heartbeats.
const MAX_WAITING_HEARTBEATS: usize = 2_000;

/// Heartbeats queued for forwarding.
#[derive(Debug, Default)]
pub struct HeartbeatRelay {
    waiting: Mutex<Vec<SealedHeartbeat>>,
    arrived: Notify,
}

impl HeartbeatRelay {
    /// Queues a heartbeat that is new to this instance.
    pub fn push(&self, heartbeat: SealedHeartbeat) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.len() >= MAX_WAITING_HEARTBEATS {
            waiting.remove(0);
        }
        waiting.push(heartbeat);
        self.arrived.notify_one();
    }

    /// Waits until a heartbeat is queued.
    pub async fn arrival(&self) {
        self.arrived.notified().await;
    }

    /// Empties the queue and returns its heartbeats as encoded datagrams, in order.
    pub fn take(&self) -> Vec<Vec<u8>> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let waiting = std::mem::take(&mut *waiting);
        let mut bundles: Vec<Vec<SealedHeartbeat>> = Vec::new();
        let mut room = 0;
        for heartbeat in waiting {
            let size = heartbeat.size_bytes();
            match bundles.last_mut().filter(|_| size <= room) {
                Some(bundle) => {
                    room -= size;
                    bundle.push(heartbeat);
                }
                None => {
                    room = MAX_BUNDLE_BYTES.saturating_sub(size);
                    bundles.push(vec![heartbeat]);
                }
            }
        }
        let datagrams = bundles.into_iter().map(|heartbeats| Datagram {
            pass_on: false,
            heartbeats,
        });
        datagrams.filter_map(|datagram| datagram.encode()).collect()
    }
}
