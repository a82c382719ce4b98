//! Replies to requests that wait for room.

use std::collections::HashMap;
use std::time::Duration;

use iristhread_core::Fingerprint;
use iristhread_core::GatewayControl;
use iristhread_core::Now;
use iristhread_core::PlacementAdmission;
use iristhread_core::PromptParts;
use iristhread_core::Ranking;
use iristhread_core::Refusal;
use iristhread_core::RefusalKind;
use iristhread_core::RequestId;
use iristhread_core::RunEnd;
use iristhread_core::ServiceLevel;
use iristhread_core::SessionSignal;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::gateway::gateway_message::Placed;

/// Retry-After of requests that are refused because the instance stops. It is short, since the load
/// balancer knows other instances.
pub(crate) const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Retry-After of a request that waited in vain and for which no other time is known: approximately
/// the time until a session ends.
const OVERDUE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Decisions about waiting requests. [`GatewayControl`] makes them.
pub trait AdmissionQueue {
    /// Returns the decisions that can be made now.
    fn admit_waiting(&mut self, now: Now) -> Vec<(RequestId, PlacementAdmission)>;

    /// Removes a waiting request.
    fn withdraw_waiting(&mut self, request: &str);

    /// Refuses all waiting requests.
    fn refuse_waiting(&mut self, now: Now) -> Vec<(RequestId, Refusal)>;

    /// Removes the load of a request that was placed but is not sent.
    fn end_unsent(&mut self, now: Now, request: &str);
}

impl AdmissionQueue for GatewayControl {
    fn admit_waiting(&mut self, now: Now) -> Vec<(RequestId, PlacementAdmission)> {
        GatewayControl::admit_waiting(self, now)
    }

    fn withdraw_waiting(&mut self, request: &str) {
        GatewayControl::withdraw_waiting(self, request);
    }

    fn refuse_waiting(&mut self, now: Now) -> Vec<(RequestId, Refusal)> {
        GatewayControl::refuse_waiting(self, now)
    }

    fn end_unsent(&mut self, now: Now, request: &str) {
        self.ended(now, request, RunEnd::Withdrawn);
    }
}

/// The memory that a request may use, and whether its content was refused before.
#[derive(Clone, Copy, Debug, Default)]
pub struct AskedLimits {
    /// Fraction of an engine's memory up to which it may use it.
    pub memory_limit: f64,
    /// Fraction of an engine's memory that is kept free for more urgent requests.
    pub rank_headroom: f64,
    /// Whether a request with its content was refused lately for lack of memory.
    pub is_retry: bool,
}

/// The values of a request that log lines about its admission contain.
#[derive(Clone, Debug)]
pub struct AskedRequest {
    /// The request.
    pub request: RequestId,
    /// Digest of its content.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub parts: PromptParts,
    /// Its priority, latency objectives and deadline.
    pub level: ServiceLevel,
    /// The limits that applied when it arrived.
    pub limits: AskedLimits,
    /// Whether it is a session, which receives signals about later decisions.
    pub is_session: bool,
}

/// A request that waits for room, with the channels to its task.
#[derive(Debug)]
pub struct WaitingRequest {
    /// The request.
    pub asked: AskedRequest,
    /// Receives the later decisions about the session.
    pub signals: mpsc::UnboundedSender<SessionSignal>,
    /// The answer. Its receiver is dropped when the caller disconnects.
    pub reply: oneshot::Sender<Placed>,
    /// Time at which it began to wait.
    pub since: Now,
    /// Time after which it could no longer be served in time.
    pub until: Now,
}

/// How the wait of a request ended.
#[derive(Debug)]
pub enum WaitEnd {
    /// It was placed and its task knows.
    Placed {
        /// The answer to the task.
        ranking: Ranking,
        /// Receives the later decisions about the session.
        signals: mpsc::UnboundedSender<SessionSignal>,
    },
    /// It was refused and its task knows.
    Refused(Refusal),
    /// Its caller disconnected.
    Withdrawn {
        /// Whether it had just been placed; its load is removed again.
        was_placed: bool,
    },
}

/// A request whose wait has ended.
#[derive(Debug)]
pub struct EndedWait {
    /// The request.
    pub asked: AskedRequest,
    /// Time for which it waited.
    pub waited: Duration,
    /// How its wait ended.
    pub end: WaitEnd,
}

/// The requests that wait for room, by ID. Each is answered once.
#[derive(Debug, Default)]
pub struct WaitingReplies {
    requests: HashMap<RequestId, WaitingRequest>,
    is_stopping: bool,
}

impl WaitingReplies {
    /// Returns the number of waiting requests.
    pub fn count(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether a request waits.
    pub fn contains(&self, request: &str) -> bool {
        self.requests.contains_key(request)
    }

    /// Adds a request, or refuses it at once if the instance stops.
    pub fn add(
        &mut self,
        now: Now,
        queue: &mut impl AdmissionQueue,
        waiting: WaitingRequest,
    ) -> Option<EndedWait> {
        let request = waiting.asked.request.clone();
        if self.is_stopping {
            queue.withdraw_waiting(&request);
            return Some(waiting.refuse(now, stopping()));
        }
        self.requests.insert(request, waiting);
        None
    }

    /// Answers all requests about which a decision can be made, and drops those whose callers have
    /// disconnected.
    pub fn check(&mut self, now: Now, queue: &mut impl AdmissionQueue) -> Vec<EndedWait> {
        // Room must not go to a caller that has left.
        let left = self.select(|waiting| waiting.reply.is_closed());
        let mut ended: Vec<EndedWait> = left
            .iter()
            .filter_map(|request| self.withdraw(now, queue, request))
            .collect();
        for (request, admission) in queue.admit_waiting(now) {
            ended.extend(self.decide(now, queue, &request, admission));
        }
        // Bounds the wait of requests about which no decision is made any more, for example because
        // their service left the configuration.
        for request in self.select(|waiting| waiting.until < now) {
            queue.withdraw_waiting(&request);
            let waiting = self.requests.remove(&request);
            ended.extend(waiting.map(|waiting| waiting.refuse(now, overdue())));
        }
        ended
    }

    /// Drops a request whose caller has disconnected; `None` if it doesn't wait.
    pub fn withdraw(
        &mut self,
        now: Now,
        queue: &mut impl AdmissionQueue,
        request: &str,
    ) -> Option<EndedWait> {
        let waiting = self.requests.remove(request)?;
        queue.withdraw_waiting(request);
        Some(waiting.end(now, WaitEnd::Withdrawn { was_placed: false }))
    }

    /// Refuses all waiting requests and lets none wait from now on, because the instance stops.
    pub fn stop(&mut self, now: Now, queue: &mut impl AdmissionQueue) -> Vec<EndedWait> {
        self.is_stopping = true;
        queue.refuse_waiting(now);
        let requests = std::mem::take(&mut self.requests);
        let refuse = |waiting: WaitingRequest| waiting.refuse(now, stopping());
        requests.into_values().map(refuse).collect()
    }

    fn decide(
        &mut self,
        now: Now,
        queue: &mut impl AdmissionQueue,
        request: &str,
        admission: PlacementAdmission,
    ) -> Option<EndedWait> {
        match admission {
            PlacementAdmission::Waiting { until } => {
                if let Some(waiting) = self.requests.get_mut(request) {
                    waiting.until = until;
                }
                None
            }
            PlacementAdmission::Refused(refusal) => {
                let waiting = self.requests.remove(request)?;
                Some(waiting.refuse(now, refusal))
            }
            PlacementAdmission::Placed(ranking) => {
                let Some(waiting) = self.requests.remove(request) else {
                    queue.end_unsent(now, request);
                    return None;
                };
                // The process may have been suspended since the request began to wait.
                if waiting.until < now || waiting.asked.level.deadline <= now {
                    queue.end_unsent(now, request);
                    return Some(waiting.refuse(now, overdue()));
                }
                Some(waiting.place(now, queue, ranking))
            }
        }
    }

    fn select(&self, is_selected: impl Fn(&WaitingRequest) -> bool) -> Vec<RequestId> {
        let selected = self.requests.values().filter(|w| is_selected(w));
        selected.map(|w| w.asked.request.clone()).collect()
    }
}

impl WaitingRequest {
    fn place(self, now: Now, queue: &mut impl AdmissionQueue, ranking: Ranking) -> EndedWait {
        let waited = now.saturating_sub(self.since);
        let end = match self.reply.send(Placed::Ranked(ranking.clone())) {
            Ok(()) => WaitEnd::Placed {
                ranking,
                signals: self.signals,
            },
            // The caller disconnected in this moment: without this, the load would stay.
            Err(_) => {
                queue.end_unsent(now, &self.asked.request);
                WaitEnd::Withdrawn { was_placed: true }
            }
        };
        EndedWait {
            asked: self.asked,
            waited,
            end,
        }
    }

    fn refuse(self, now: Now, refusal: Refusal) -> EndedWait {
        let waited = now.saturating_sub(self.since);
        let sent = self.reply.send(Placed::Refused(refusal.clone()));
        EndedWait {
            asked: self.asked,
            waited,
            end: match sent {
                Ok(()) => WaitEnd::Refused(refusal),
                Err(_) => WaitEnd::Withdrawn { was_placed: false },
            },
        }
    }

    fn end(self, now: Now, end: WaitEnd) -> EndedWait {
        EndedWait {
            waited: now.saturating_sub(self.since),
            asked: self.asked,
            end,
        }
    }
}

fn stopping() -> Refusal {
    let message = "the instance is stopping";
    Refusal::new(RefusalKind::Stopping, STOPPING_RETRY_AFTER, message)
}

fn overdue() -> Refusal {
    let message = "no room came in time for the request";
    Refusal::new(RefusalKind::Deadline, OVERDUE_RETRY_AFTER, message)
}
