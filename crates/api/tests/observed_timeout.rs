//! A thread that looks late at its sockets does not take its own lateness for silence.

use std::time::Duration;

use iristhread_api::NoResult;
use iristhread_api::observed_timeout;
use tokio::sync::oneshot;
use tokio::time::Instant;

const LIMIT: Duration = Duration::from_millis(200);

/// Time for which the thread does something else between two looks.
const TURN: Duration = Duration::from_millis(300);

/// Keeps this thread from its sockets and timers for most of the time.
async fn keep_busy() {
    loop {
        std::thread::sleep(TURN);
        tokio::task::yield_now().await;
    }
}

/// The other side answered in time, and the late thread took it for silent.
#[tokio::test]
async fn an_answer_that_a_late_thread_has_not_seen_is_no_silence() {
    let (answer, answered) = oneshot::channel();
    let busy = tokio::spawn(keep_busy());
    tokio::task::yield_now().await;
    let begun = std::thread::spawn(move || {
        std::thread::sleep(TURN + Duration::from_millis(100));
        answer.send(()).ok();
    });
    let result = observed_timeout(LIMIT, answered).await;
    busy.abort();
    assert_eq!(result, Ok(Ok(())));
    assert!(begun.join().is_ok());
}

#[tokio::test]
async fn a_late_thread_does_not_wait_forever() {
    let busy = tokio::spawn(keep_busy());
    tokio::task::yield_now().await;
    let result = observed_timeout(LIMIT, std::future::pending::<()>()).await;
    busy.abort();
    assert_eq!(result, Err(NoResult::Unobserved));
}

#[tokio::test(start_paused = true)]
async fn silence_is_noticed_in_time() {
    let began = Instant::now();
    let result = observed_timeout(LIMIT, std::future::pending::<()>()).await;
    assert_eq!(result, Err(NoResult::Silent));
    assert!(began.elapsed() <= LIMIT + Duration::from_millis(10));
}
