//! The place that a connection takes among those that are read but not sent on.

/// Frees a place when dropped.
pub struct ReadPermit {
    free: Option<Box<dyn FnOnce() + Send + Sync>>,
}

impl ReadPermit {
    /// Creates a permit that calls `free` when dropped.
    pub fn new(free: impl FnOnce() + Send + Sync + 'static) -> Self {
        ReadPermit {
            free: Some(Box::new(free)),
        }
    }
}

impl Drop for ReadPermit {
    fn drop(&mut self) {
        if let Some(free) = self.free.take() {
            free();
        }
    }
}
