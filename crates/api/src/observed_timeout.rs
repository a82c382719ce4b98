//! Timeouts that count only the time in which this thread looked for the result.
//!
//! A thread that gets too little processor time finds its timers expired when it looks at its
//! sockets. An answer that has arrived meanwhile, or that the other side had no time to give, would
//! count as silence of the other side.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use thiserror::Error;
use tokio::time::Instant;
use tokio::time::timeout;

/// Number of looks within a timeout. No span between two looks counts for more than its part of the
/// timeout, however late the second is.
const LOOKS: u32 = 4;

/// Multiple of the timeout after which waiting ends even if this thread rarely looked.
const MAX_FACTOR: u32 = 4;

/// Why there is no result.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum NoResult {
    /// There was none within the timeout.
    #[error("no answer in time")]
    Silent,
    /// This thread looked too rarely to tell.
    #[error("no answer, but this thread rarely looked for one")]
    Unobserved,
}

/// Waits for a result for `limit`, of which no more than a quarter counts between two looks.
///
/// # Errors
///
/// [`NoResult`].
pub async fn observed_timeout<T>(
    limit: Duration,
    result: impl Future<Output = T>,
) -> Result<T, NoResult> {
    let mut result = pin!(result);
    let began = Instant::now();
    for _ in 0..LOOKS {
        if began.elapsed() >= limit * MAX_FACTOR {
            return Err(NoResult::Unobserved);
        }
        if let Ok(result) = timeout(limit / LOOKS, &mut result).await {
            return Ok(result);
        }
    }
    Err(NoResult::Silent)
}
