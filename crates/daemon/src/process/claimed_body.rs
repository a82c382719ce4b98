//! Reads a body as a whole within the budget of the process.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use iristhread_core::ClaimId;
use iristhread_core::MemoryAsk;
use iristhread_core::MemoryKind;
use iristhread_core::MemoryOwner;
use iristhread_core::MemoryShortage;
use thiserror::Error;

use crate::process::claimed_buffer::ClaimedBuffer;
use crate::process::memory::Memory;
use crate::process::memory::MemoryClaim;

/// First capacity for a body of unknown length.
const FIRST_CAPACITY_BYTES: usize = 16 << 10;

/// Why a body was not read.
#[derive(Debug, Error)]
pub enum BodyFault {
    /// It is longer than the limit.
    #[error("the body is too large")]
    TooLarge,
    /// It did not arrive in time.
    #[error("the body did not arrive in time")]
    Late,
    /// Its connection broke.
    #[error("the body can't be read: {0}")]
    Broken(#[from] hyper::Error),
    /// The process has no memory for it.
    #[error("{} bytes of memory are asked for, {} are free", .0.asked_bytes, .0.free_bytes)]
    NoMemory(MemoryShortage),
    /// The operating system has no memory for it.
    #[error("the system has no memory: {0}")]
    System(#[from] std::io::Error),
}

/// A body that was read as a whole.
pub struct ClaimedBody {
    /// The bytes; their claim is released with the last copy of them.
    pub bytes: Bytes,
    /// The claim, `None` for an empty body.
    pub claim: Option<ClaimId>,
}

/// What a body is read for.
pub struct BodyReader<'a> {
    /// Grants the memory.
    pub memory: &'a Arc<Memory>,
    /// What it is held for.
    pub kind: MemoryKind,
    /// For whom it is held.
    pub owner: MemoryOwner,
    /// Maximum size in bytes.
    pub max_bytes: usize,
    /// Maximum wait for memory.
    pub max_wait: Duration,
}

impl BodyReader<'_> {
    /// Reads a body. Its announced length is claimed before its first byte is read; a body without
    /// one claims more as it grows. What is left of a body that was not read stays with the caller.
    ///
    /// # Errors
    ///
    /// [`BodyFault`].
    pub async fn read(&self, body: &mut Incoming) -> Result<ClaimedBody, BodyFault> {
        let announced = body.size_hint().exact();
        let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        match announced {
            Some(0) => Ok(ClaimedBody {
                bytes: Bytes::new(),
                claim: None,
            }),
            Some(length) if length > self.max_bytes => Err(BodyFault::TooLarge),
            Some(length) => {
                let buffer = self.buffer(length).await?;
                self.read_into(buffer, body).await
            }
            None => {
                let first = FIRST_CAPACITY_BYTES.min(self.max_bytes);
                let buffer = self.buffer(first).await?;
                self.read_into(buffer, body).await
            }
        }
    }

    async fn read_into(
        &self,
        mut buffer: ClaimedBuffer,
        body: &mut Incoming,
    ) -> Result<ClaimedBody, BodyFault> {
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let mut left = &data[..];
            loop {
                let taken = buffer.fill(left);
                left = &left[taken..];
                if left.is_empty() {
                    break;
                }
                buffer = self.larger(buffer).await?;
            }
        }
        Ok(ClaimedBody {
            claim: Some(buffer.claim_id()),
            bytes: buffer.freeze(),
        })
    }

    /// Returns a buffer of twice the capacity with the same bytes.
    async fn larger(&self, buffer: ClaimedBuffer) -> Result<ClaimedBuffer, BodyFault> {
        let used = buffer.as_ref().len();
        if used >= self.max_bytes {
            return Err(BodyFault::TooLarge);
        }
        let mut larger = self.buffer((used * 2).min(self.max_bytes)).await?;
        larger.fill(buffer.as_ref());
        Ok(larger)
    }

    async fn buffer(&self, capacity: usize) -> Result<ClaimedBuffer, BodyFault> {
        let claim = self.claim(capacity).await;
        let claim = claim.map_err(BodyFault::NoMemory)?;
        Ok(ClaimedBuffer::new(capacity, claim)?)
    }

    async fn claim(&self, bytes: usize) -> Result<MemoryClaim, MemoryShortage> {
        let ask = MemoryAsk {
            kind: self.kind,
            bytes: bytes as u64,
            owner: self.owner.clone(),
        };
        self.memory.claim(&ask, self.max_wait).await
    }
}
