//! Replies to requests that wait for room: each is answered once, and none is left waiting.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use iristhread_core::Fingerprint;
use iristhread_core::Now;
use iristhread_core::PlacementAdmission;
use iristhread_core::PromptParts;
use iristhread_core::Ranking;
use iristhread_core::Refusal;
use iristhread_core::RefusalKind;
use iristhread_core::RequestId;
use iristhread_core::ServerView;
use iristhread_core::ServiceLevel;
use iristhread_daemon::AdmissionQueue;
use iristhread_daemon::AskedLimits;
use iristhread_daemon::AskedRequest;
use iristhread_daemon::EndedWait;
use iristhread_daemon::Placed;
use iristhread_daemon::WaitEnd;
use iristhread_daemon::WaitingReplies;
use iristhread_daemon::WaitingRequest;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Decisions that a test sets, and the calls that were made.
#[derive(Default)]
struct ScriptedQueue {
    next: Vec<(RequestId, PlacementAdmission)>,
    /// Dropped during the next decisions, as if the caller disconnected then.
    leaves: Option<oneshot::Receiver<Placed>>,
    withdrawn: Vec<RequestId>,
    unsent: Vec<RequestId>,
}

impl AdmissionQueue for ScriptedQueue {
    fn admit_waiting(&mut self, _: Now) -> Vec<(RequestId, PlacementAdmission)> {
        self.leaves = None;
        std::mem::take(&mut self.next)
    }

    fn withdraw_waiting(&mut self, request: &str) {
        self.withdrawn.push(request.to_owned());
    }

    fn refuse_waiting(&mut self, _: Now) -> Vec<(RequestId, Refusal)> {
        Vec::new()
    }

    fn end_unsent(&mut self, _: Now, request: &str) {
        self.unsent.push(request.to_owned());
    }
}

const fn at(ms: u64) -> Now {
    Duration::from_millis(ms)
}

/// Adds a request that waits from 0 ms until 1,000 ms and returns the receiver of its answer.
fn wait(replies: &mut WaitingReplies, request: &str) -> oneshot::Receiver<Placed> {
    let (receiver, refused) = add(replies, &mut ScriptedQueue::default(), request);
    assert!(refused.is_none());
    receiver
}

fn add(
    replies: &mut WaitingReplies,
    queue: &mut ScriptedQueue,
    request: &str,
) -> (oneshot::Receiver<Placed>, Option<EndedWait>) {
    let (reply, receiver) = oneshot::channel();
    let (signals, _) = mpsc::unbounded_channel();
    let asked = AskedRequest {
        request: request.to_owned(),
        fingerprint: Fingerprint::default(),
        parts: PromptParts::default(),
        level: ServiceLevel {
            deadline: at(6_000),
            ..ServiceLevel::default()
        },
        limits: AskedLimits::default(),
        is_session: true,
    };
    let waiting = WaitingRequest {
        asked,
        signals,
        reply,
        since: at(0),
        until: at(1_000),
    };
    (receiver, replies.add(at(0), queue, waiting))
}

/// A ranking that can be told from others by its instance count.
fn placed(request: &str, mark: usize) -> (RequestId, PlacementAdmission) {
    let ranking = Ranking {
        replicas: Vec::new(),
        backup: None,
        server_view: Box::new(ServerView {
            requests: 0,
            memory: 0.0,
            instances: mark,
            relative_time: 1.0,
            first_event: Duration::ZERO,
            event_gap: Duration::ZERO,
        }),
        passed_over: Vec::new(),
    };
    (request.to_owned(), PlacementAdmission::Placed(ranking))
}

fn mark(mut receiver: oneshot::Receiver<Placed>) -> Result<usize, Refusal> {
    match receiver.try_recv().unwrap() {
        Placed::Ranked(ranking) => Ok(ranking.server_view.instances),
        Placed::Refused(refusal) => Err(refusal),
    }
}

fn refusal(receiver: oneshot::Receiver<Placed>) -> Refusal {
    mark(receiver).unwrap_err()
}

/// Answers that are mixed up would send two requests to the engine of one.
#[test]
fn answers_reach_their_requests() {
    let (mut replies, mut queue) = (WaitingReplies::default(), ScriptedQueue::default());
    let (a, b, c) = (
        wait(&mut replies, "a"),
        wait(&mut replies, "b"),
        wait(&mut replies, "c"),
    );
    let full = Refusal::new(RefusalKind::QueueFull, at(700), "full");
    let refused = ("c".to_owned(), PlacementAdmission::Refused(full.clone()));
    queue.next = vec![placed("b", 2), refused, placed("a", 1)];
    let ended = replies.check(at(400), &mut queue);
    assert!(ended.iter().all(|wait| wait.waited == at(400)));
    assert_eq!((mark(a), mark(b), mark(c)), (Ok(1), Ok(2), Err(full)));
    assert!(replies.is_empty() && queue.unsent.is_empty() && queue.withdrawn.is_empty());
}

/// Without the withdrawal, room would be given to a caller that has left, ahead of those that wait.
#[test]
fn request_of_caller_that_left_is_withdrawn() {
    let (mut replies, mut queue) = (WaitingReplies::default(), ScriptedQueue::default());
    drop(wait(&mut replies, "left"));
    let (stays, _ended) = (wait(&mut replies, "stays"), wait(&mut replies, "ended"));
    // Its task has reported its end.
    assert!(replies.withdraw(at(10), &mut queue, "ended").is_some());
    assert!(replies.withdraw(at(10), &mut queue, "ended").is_none());
    queue.next = vec![placed("stays", 1)];
    let ended = replies.check(at(100), &mut queue);
    assert_eq!(queue.withdrawn, ["ended", "left"]);
    let end = &ended[0].end;
    assert!(matches!(end, WaitEnd::Withdrawn { was_placed: false }));
    assert_eq!(mark(stays), Ok(1));
    assert!(replies.is_empty());
}

/// The load of a request that was placed for a caller that left would stay at its engine forever.
#[test]
fn load_of_caller_that_leaves_at_placement_is_removed() {
    let (mut replies, mut queue) = (WaitingReplies::default(), ScriptedQueue::default());
    queue.leaves = Some(wait(&mut replies, "a"));
    // A placement that the queue reports for a request that doesn't wait leaves no load either.
    queue.next = vec![placed("a", 1), placed("unknown", 2)];
    let ended = replies.check(at(100), &mut queue);
    assert_eq!(ended.len(), 1);
    let end = &ended[0].end;
    assert!(matches!(end, WaitEnd::Withdrawn { was_placed: true }));
    assert_eq!(queue.unsent, ["a", "unknown"]);
    assert!(replies.is_empty());
}

/// Requests that still wait at a planned stop would hold it up until their objectives have passed.
#[test]
fn stop_refuses_waiting_and_later_requests() {
    let (mut replies, mut queue) = (WaitingReplies::default(), ScriptedQueue::default());
    let (a, b) = (wait(&mut replies, "a"), wait(&mut replies, "b"));
    assert_eq!(replies.stop(at(50), &mut queue).len(), 2);
    let (later, ended) = add(&mut replies, &mut queue, "later");
    assert!(ended.is_some());
    assert_eq!(queue.withdrawn, ["later"]);
    for receiver in [a, b, later] {
        let refusal = refusal(receiver);
        assert_eq!(refusal.kind, RefusalKind::Stopping);
        assert!(refusal.retry_after <= at(300), "{refusal:?}");
    }
    assert!(replies.is_empty());
}

/// A request about which no decision is made, for example because its service left the
/// configuration, would wait forever.
#[test]
fn request_without_decision_is_refused_at_its_bound() {
    let (mut replies, mut queue) = (WaitingReplies::default(), ScriptedQueue::default());
    let receiver = wait(&mut replies, "a");
    assert!(replies.check(at(1_000), &mut queue).is_empty());
    assert_eq!(replies.check(at(1_001), &mut queue).len(), 1);
    assert_eq!(refusal(receiver).kind, RefusalKind::Deadline);
    assert_eq!(queue.withdrawn, ["a"]);
    assert!(replies.is_empty());
}

/// After a suspension of the process, a request whose time is over would be sent although nobody
/// waits for its answer any more.
#[test]
fn request_that_is_over_is_refused_after_suspension() {
    let (mut replies, mut queue) = (WaitingReplies::default(), ScriptedQueue::default());
    let (over, extended) = (wait(&mut replies, "over"), wait(&mut replies, "extended"));
    let longer = PlacementAdmission::Waiting { until: at(9_000) };
    queue.next = vec![("extended".to_owned(), longer)];
    assert!(replies.check(at(900), &mut queue).is_empty());
    // The bound of one has passed, the deadline of the other as well.
    queue.next = vec![placed("over", 1), placed("extended", 2)];
    assert_eq!(replies.check(at(6_000), &mut queue).len(), 2);
    assert_eq!(refusal(over).kind, RefusalKind::Deadline);
    assert_eq!(refusal(extended).kind, RefusalKind::Deadline);
    assert_eq!(queue.unsent, ["over", "extended"]);
    assert!(replies.is_empty());
}
