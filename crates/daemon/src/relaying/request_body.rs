//! The body of a caller's request, for as long as it may be sent again.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use iristhread_core::ClaimId;

use crate::process::claimed_body::ClaimedBody;
use crate::process::memory::Memory;
use crate::process::memory::RetainedBytes;

/// The body of a request. Once its stream runs it is retained in case its session moves, and is given
/// up if others need its memory.
pub struct RequestBody {
    bytes: Arc<RetainedBytes>,
    claim: Option<ClaimId>,
    memory: Arc<Memory>,
}

impl RequestBody {
    /// Takes over a body that is needed.
    pub fn new(body: ClaimedBody, memory: Arc<Memory>) -> Self {
        RequestBody {
            bytes: Arc::new(Mutex::new(Some(body.bytes))),
            claim: body.claim,
            memory,
        }
    }

    /// Returns the bytes, `None` if they were given up or dropped.
    pub fn bytes(&self) -> Option<Bytes> {
        self.lock().clone()
    }

    /// Lets the bytes be given up from now on.
    pub fn retain(&self) {
        if let Some(claim) = self.claim {
            self.memory.retain(claim, &self.bytes);
        }
    }

    /// No longer lets the bytes be given up; returns whether they are still there.
    pub fn keep(&self) -> bool {
        if let Some(claim) = self.claim {
            self.memory.keep(claim);
        }
        self.lock().is_some()
    }

    /// Drops the bytes: nothing can be sent again.
    pub fn discard(&self) {
        drop(self.lock().take());
    }

    fn lock(&self) -> MutexGuard<'_, Option<Bytes>> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
