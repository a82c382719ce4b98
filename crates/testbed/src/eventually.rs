//! Polls for a condition, in place of fixed delays.

use std::time::Duration;
use std::time::Instant;

use crate::child::SceneError;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout for a condition, long enough that a slow machine does not fail a test.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls `condition` every 20 ms until it returns `true`.
///
/// # Errors
///
/// [`SceneError::Waited`] with the description in `what` if the timeout of 30 s expires.
pub async fn eventually(what: &str, condition: impl AsyncFn() -> bool) -> Result<(), SceneError> {
    let start = Instant::now();
    while start.elapsed() < CONDITION_TIMEOUT {
        if condition().await {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(SceneError::Waited(what.to_owned()))
}
