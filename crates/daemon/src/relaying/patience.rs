//! Waits for answers until they are due, also in a process that stood still.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::timeout_at;

/// Time in which what has arrived already is read: a few turns of the tasks
/// between the socket and whoever waits.
const CATCH_UP: Duration = Duration::from_millis(20);

/// Waits for an answer until it is due; `None` when it has not come by then. After
/// a stop of the whole process the timer is over before the connection is looked
/// at: an answer that had arrived by then must not be lost by that.
pub async fn until<T>(due: Instant, answer: impl Future<Output = T>) -> Option<T> {
    let mut answer = pin!(answer);
    if let Ok(answer) = timeout_at(due, &mut answer).await {
        return Some(answer);
    }
    timeout_at(Instant::now() + CATCH_UP, answer).await.ok()
}
