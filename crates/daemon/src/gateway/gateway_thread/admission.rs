//! Admission of requests, as driven by the control thread: requests that wait for room are answered
//! when it comes, when they can no longer be served in time, or when the instance stops.

use std::time::Duration;

use iristhread_core::Now;
use iristhread_core::PlacementAdmission;
use iristhread_core::PlacementRequest;
use iristhread_core::Refusal;
use iristhread_core::RefusalKind;
use iristhread_core::RequestClass;
use iristhread_core::RunEnd;
use iristhread_core::SessionSignal;
use slog::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::GatewayThread;
use super::waiting::AskedLimits;
use super::waiting::AskedRequest;
use super::waiting::EndedWait;
use super::waiting::WaitEnd;
use super::waiting::WaitingRequest;
use crate::gateway::gateway_message::GatewayMessage;
use crate::gateway::gateway_message::Placed;

/// Interval at which waiting requests are checked. Their objectives are a second or more, so that
/// this delay is not noticed.
pub(super) const WAITING_CHECK: Duration = Duration::from_millis(10);

/// Minimum time between two checks that messages cause: heartbeats of a large fleet and progress
/// reports arrive several hundred times a second.
const MIN_CHECK_GAP: Duration = Duration::from_millis(5);

/// Retry-After of a request whose ID another waiting request has. It is short, since that one may
/// end at any time.
const DUPLICATE_ID_RETRY_AFTER: Duration = Duration::from_millis(100);

impl GatewayThread {
    /// Answers a placement request, or keeps its reply channel until there is room.
    pub(super) fn place(
        &mut self,
        ask: PlacementRequest,
        signals: mpsc::UnboundedSender<SessionSignal>,
        reply: oneshot::Sender<Placed>,
    ) {
        let now = self.clock.now();
        // The limits that the log states are those before the request itself counts as demand.
        let asked = self.describe(now, &ask);
        let admission = match self.waiting.contains(&ask.request) {
            true => PlacementAdmission::Refused(already_waiting()),
            false => self.control.admit(now, ask.clone()),
        };
        self.notify_demand_update();
        match admission {
            PlacementAdmission::Placed(ranking) => {
                self.report_placement(&asked, None, &ranking);
                let request = asked.request;
                self.signals.insert(request.clone(), signals);
                if reply.send(Placed::Ranked(ranking)).is_err() {
                    // The caller has disconnected: without this, the load would stay.
                    self.ended(&request, RunEnd::Withdrawn);
                }
            }
            PlacementAdmission::Refused(refusal) => {
                self.report_refusal(&asked, None, &refusal);
                // Fails if the caller has disconnected.
                let _ = reply.send(Placed::Refused(refusal));
            }
            PlacementAdmission::Waiting { until } => {
                let waiting = WaitingRequest {
                    asked,
                    signals,
                    reply,
                    since: now,
                    until,
                };
                self.enqueue(now, &ask, waiting);
            }
        }
    }

    /// Returns the values of a request that log lines about its admission contain.
    fn describe(&mut self, now: Now, ask: &PlacementRequest) -> AskedRequest {
        AskedRequest {
            request: ask.request.clone(),
            fingerprint: ask.fingerprint,
            parts: ask.parts.clone(),
            level: ask.level.clone(),
            limits: AskedLimits {
                memory_limit: self.control.placement_limit(now, ask),
                rank_headroom: self.control.rank_headroom(now, ask),
                is_retry: self.control.is_retry(ask),
            },
            is_session: ask.class == RequestClass::Stream,
        }
    }

    fn enqueue(&mut self, now: Now, ask: &PlacementRequest, waiting: WaitingRequest) {
        let (asked, until) = (waiting.asked.clone(), waiting.until);
        let refused = self.waiting.add(now, &mut self.control, waiting);
        if refused.is_none() {
            let forecast = self.control.wait_forecast(now, ask);
            info!(self.log, "request waits for room";
                asked,
                "tokens_ahead" => forecast.tokens_ahead,
                "freed_per_s" => forecast.freed_per_s,
                "expected_wait_ms" => forecast.wait.map(|wait| wait.as_millis() as u64),
                "instances_counted" => self.control.peers(),
                "wait_until_ms" => until.saturating_sub(now).as_millis() as u64,
                "waiting" => self.waiting.count());
        }
        self.report_ended_waits(refused.into_iter().collect());
    }

    /// Answers the waiting requests about which a decision can be made now.
    pub(super) fn check_waiting(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.waiting_checked_at = now;
        let ended = self.waiting.check(now, &mut self.control);
        if !ended.is_empty() {
            self.notify_demand_update();
        }
        self.report_ended_waits(ended);
    }

    /// Checks the waiting requests after a message that may have made room, unless that was done a
    /// moment ago.
    pub(super) fn check_waiting_after_message(&mut self) {
        let now = self.clock.now();
        if now.saturating_sub(self.waiting_checked_at) >= MIN_CHECK_GAP {
            self.check_waiting();
        }
    }

    /// Drops a request whose caller has disconnected; returns whether it was waiting.
    pub(super) fn withdraw_waiting(&mut self, request: &str) -> bool {
        let now = self.clock.now();
        let withdrawn = self.waiting.withdraw(now, &mut self.control, request);
        let was_waiting = withdrawn.is_some();
        self.report_ended_waits(withdrawn.into_iter().collect());
        was_waiting
    }

    /// Refuses all waiting requests, because a planned stop has begun.
    pub(super) fn stop_waiting(&mut self) {
        let ended = self.waiting.stop(self.clock.now(), &mut self.control);
        self.report_ended_waits(ended);
    }

    /// Logs and counts ended waits, and keeps the signal channels of the placed requests.
    fn report_ended_waits(&mut self, ended: Vec<EndedWait>) {
        for EndedWait { asked, waited, end } in ended {
            let label = match end {
                WaitEnd::Placed { ranking, signals } => {
                    self.report_placement(&asked, Some(waited), &ranking);
                    self.signals.insert(asked.request, signals);
                    "placed"
                }
                WaitEnd::Refused(refusal) => {
                    self.report_refusal(&asked, Some(waited), &refusal);
                    "refused"
                }
                WaitEnd::Withdrawn { was_placed } => {
                    self.log_withdrawal(&asked, waited, was_placed);
                    "withdrawn"
                }
            };
            self.metrics.admission.wait_ended(label, waited);
        }
        self.metrics.admission.waiting(self.waiting.count());
    }

    fn log_withdrawal(&self, asked: &AskedRequest, waited: Duration, was_placed: bool) {
        info!(self.log, "request withdrawn from the queue";
            asked.clone(),
            "was_placed" => was_placed,
            "waited_ms" => waited.as_millis() as u64);
    }
}

/// Whether a message may make room for a waiting request, or end its wait. Requests for a decision
/// or for the state make no room.
pub(super) fn may_end_wait(message: &GatewayMessage) -> bool {
    !matches!(
        message,
        GatewayMessage::Place { .. }
            | GatewayMessage::Resend { .. }
            | GatewayMessage::EngineChecks { .. }
            | GatewayMessage::LeftRunProbes { .. }
            | GatewayMessage::ServerAccepted { .. }
            | GatewayMessage::MaySend { .. }
            | GatewayMessage::CallerRetryAfter { .. }
            | GatewayMessage::OwnState { .. }
            | GatewayMessage::KnownState { .. }
    )
}

/// The refusal of a request while another one with its ID waits: their answers would be mixed up.
fn already_waiting() -> Refusal {
    let message = "a request with this id is waiting already";
    Refusal::new(RefusalKind::QueueFull, DUPLICATE_ID_RETRY_AFTER, message)
}
