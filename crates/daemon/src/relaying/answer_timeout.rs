//! Waits for answers until a deadline, also in a process that was suspended.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::timeout_at;

/// Extra time after the deadline in which data that has already arrived is read. It covers a few
/// scheduler turns of the tasks between the socket and the waiting task.
const CATCH_UP_TIME: Duration = Duration::from_millis(20);

/// Waits for an answer until `due`; returns `None` if it has not arrived by then. After a
/// suspension of the whole process the timer expires before the connection is polled. An answer
/// that had arrived by then must not be lost because of that, so it is polled once more.
pub async fn until<T>(due: Instant, answer: impl Future<Output = T>) -> Option<T> {
    let mut answer = pin!(answer);
    if let Ok(answer) = timeout_at(due, &mut answer).await {
        return Some(answer);
    }
    timeout_at(Instant::now() + CATCH_UP_TIME, answer)
        .await
        .ok()
}
