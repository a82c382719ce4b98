//! A buffer whose bytes are claimed from the budget of the process.

use bytes::Bytes;
use iristhread_core::ClaimId;
use memmap2::MmapMut;

use crate::process::memory::MemoryClaim;

/// Capacity from which on a buffer is a mapping of its own, which goes back to the system at once
/// when it is dropped.
const MIN_MAPPED_BYTES: usize = 32 << 10;

enum Storage {
    Heap(Vec<u8>),
    Mapped(MmapMut),
}

/// A buffer of a fixed capacity. Dropping it releases its claim.
pub struct ClaimedBuffer {
    // Dropped before the claim.
    storage: Storage,
    len: usize,
    claim: MemoryClaim,
}

impl ClaimedBuffer {
    /// Creates an empty buffer of `capacity` bytes that `claim` allows.
    ///
    /// # Errors
    ///
    /// The error of the operating system if it has no memory.
    pub fn new(capacity: usize, claim: MemoryClaim) -> std::io::Result<Self> {
        let storage = match capacity >= MIN_MAPPED_BYTES {
            true => Storage::Mapped(MmapMut::map_anon(capacity)?),
            false => Storage::Heap(vec![0; capacity]),
        };
        Ok(ClaimedBuffer {
            storage,
            len: 0,
            claim,
        })
    }

    /// Returns the claim of the buffer.
    pub fn claim_id(&self) -> ClaimId {
        self.claim.id()
    }

    /// Returns the number of bytes that still fit.
    pub fn room(&self) -> usize {
        self.capacity() - self.len
    }

    /// Appends bytes as far as they fit; returns the number of those that did.
    pub fn fill(&mut self, bytes: &[u8]) -> usize {
        let taken = bytes.len().min(self.room());
        let end = self.len + taken;
        let free = match &mut self.storage {
            Storage::Heap(buffer) => &mut buffer[self.len..end],
            Storage::Mapped(buffer) => &mut buffer[self.len..end],
        };
        free.copy_from_slice(&bytes[..taken]);
        self.len = end;
        taken
    }

    /// Returns the bytes; the claim is released with their last copy.
    pub fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }

    fn capacity(&self) -> usize {
        match &self.storage {
            Storage::Heap(buffer) => buffer.len(),
            Storage::Mapped(buffer) => buffer.len(),
        }
    }
}

impl AsRef<[u8]> for ClaimedBuffer {
    fn as_ref(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(buffer) => &buffer[..self.len],
            Storage::Mapped(buffer) => &buffer[..self.len],
        }
    }
}
