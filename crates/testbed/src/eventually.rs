//! Waiting for a condition instead of a time.

use std::time::Duration;
use std::time::Instant;

use crate::child::SceneError;

const POLL: Duration = Duration::from_millis(20);

/// Longest wait for a condition; tests never fail for being slow before it.
const PATIENCE: Duration = Duration::from_secs(30);

/// Waits until a condition holds.
///
/// # Errors
///
/// [`SceneError::Waited`] when it does not come true.
pub async fn eventually(what: &str, condition: impl AsyncFn() -> bool) -> Result<(), SceneError> {
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        if condition().await {
            return Ok(());
        }
        tokio::time::sleep(POLL).await;
    }
    Err(SceneError::Waited(what.to_owned()))
}
