//! One resolved request of a caller, and its placement at backend servers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::HeaderMap;
use http::Method;
use http::Uri;
use iristhread_core::FailoverTarget;
use iristhread_core::Fingerprint;
use iristhread_core::MemoryOwner;
use iristhread_core::Now;
use iristhread_core::PlacementRequest;
use iristhread_core::PromptParts;
use iristhread_core::Ranking;
use iristhread_core::RegionId;
use iristhread_core::Replica;
use iristhread_core::RequestRank;
use iristhread_core::Route;
use iristhread_core::SendResult;
use iristhread_core::ServiceLevel;
use iristhread_core::SessionSignal;
use slog::info;
use tokio::sync::mpsc;

use crate::gateway::GatewayApp;
use crate::gateway::gateway_message::GatewayMessage;
use crate::gateway::gateway_message::Placed;
use crate::gateway::gateway_message::Resend;
use crate::gateway::gateway_thread::waiting::STOPPING_RETRY_AFTER;
use crate::process::read_permit::ReadPermit;
use crate::relaying::caller_answer;
use crate::relaying::caller_answer::CallerAnswer;
use crate::relaying::request_body::RequestBody;
use crate::relaying::run_guard::RunGuard;
use crate::relaying::wire_protocol::CallerHead;
use crate::relaying::wire_protocol::ResumePoint;

mod send;

/// An attempt of a repeatable request is abandoned after this many times its latency objective,
/// so that a second attempt is still useful.
const ATTEMPT_OBJECTIVES: u32 = 2;

/// A request whose route, service and workspace are known.
pub struct Exchange {
    /// State shared by all tasks of the gateway.
    pub app: Arc<GatewayApp>,
    /// Values from the request headers.
    pub head: CallerHead,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Request headers as received.
    pub headers: HeaderMap,
    /// Complete request body, for as long as it may be sent again.
    pub body: RequestBody,
    /// Digest of the request, by which crashes under equal requests are recognised.
    pub fingerprint: Fingerprint,
    /// The parts of the prompt that other requests may share.
    pub parts: PromptParts,
    /// Route of the request.
    pub route: Route,
    /// The service that runs it.
    pub service: String,
    /// Name of the caller's workspace, if any.
    pub workspace: Option<String>,
    /// Whether callers have API keys, which are never sent to backend servers.
    pub hides_key: bool,
    /// Priority rank of the workspace; 0 is the highest priority.
    pub workspace_rank: u8,
    /// The only regions whose backend servers may receive the request; `None` for all regions.
    pub homes: Option<BTreeSet<RegionId>>,
    /// Id of the last event of this stream that the caller has received, 0 for none.
    pub after_event: u64,
    /// Time at which the request arrived.
    pub arrived: Now,
    /// Deadline of the final answer.
    pub answer_deadline: Now,
    /// Held until the request is first sent on.
    pub read_permit: Mutex<Option<ReadPermit>>,
}

impl Exchange {
    /// Requests a ranking of backend servers from the gateway thread. The request may wait for room
    /// first; that time belongs to its objective and its deadline.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller if the request was refused; nothing was sent.
    pub async fn place(
        &self,
        signals: mpsc::UnboundedSender<SessionSignal>,
    ) -> Result<(Ranking, RunGuard), Box<CallerAnswer>> {
        let began = self.app.clock.now();
        // Without it, the load of the request would stay if the caller disconnects at the moment of
        // the placement.
        let mut guard = RunGuard::new(self.app.clone(), self.head.request.clone());
        let placed = self.app.control.ask(|reply| GatewayMessage::Place {
            ask: self.placement_request(),
            signals,
            reply,
        });
        let placed = placed.await;
        self.app.metrics.placed(self.app.clock.now() - began);
        let refused = match placed {
            Some(Placed::Ranked(ranking)) => return Ok((ranking, guard)),
            Some(Placed::Refused(refusal)) => {
                caller_answer::not_run(refusal.retry_after, &refusal.message)
            }
            None => caller_answer::not_run(STOPPING_RETRY_AFTER, "the instance is stopping"),
        };
        guard.disarm();
        Err(Box::new(refused))
    }

    /// Holds the body of a stream that runs only in case it is sent again, and not at all if its
    /// engine can neither move the session nor back it up and the route allows no other run.
    pub fn stream_began(&self) {
        match self.route.can_resume || self.app.engines_pass_sessions_on(&self.service) {
            true => self.body.retain(),
            false => self.body.discard(),
        }
    }

    /// Returns for whom memory of this request is held.
    pub fn memory_owner(&self) -> MemoryOwner {
        MemoryOwner {
            workspace: self.workspace.clone().unwrap_or_default(),
            rank: self.rank(),
        }
    }

    fn rank(&self) -> RequestRank {
        RequestRank {
            workspace: self.workspace_rank,
            route: self.route.rank,
        }
    }

    /// Builds the placement request. Events that the caller has already received count as prompt
    /// tokens and no longer as output tokens, since they are prefilled and not generated again.
    fn placement_request(&self) -> PlacementRequest {
        let per_event = u64::from(self.app.tokens_per_event(&self.service));
        let held = self.after_event.saturating_mul(per_event);
        let held = u32::try_from(held).unwrap_or(u32::MAX);
        let held = held.min(self.head.max_tokens);
        let expected = self.head.expected_tokens;
        PlacementRequest {
            request: self.head.request.clone(),
            fingerprint: self.fingerprint,
            parts: self.parts.clone(),
            service: self.service.clone(),
            class: self.route.class,
            prompt_tokens: self.head.prompt_tokens.saturating_add(held),
            max_tokens: self.head.max_tokens - held,
            expected_tokens: expected.map(|tokens| tokens.saturating_sub(held)),
            homes: self.homes.clone(),
            level: ServiceLevel {
                route: self.route.name.clone(),
                workspace: self.workspace.clone(),
                rank: self.rank(),
                objective: self.route.objective,
                pause_objective: self.route.pause_objective,
                arrived: self.arrived,
                deadline: self.answer_deadline,
            },
        }
    }

    /// The point at which the stream starts for its caller; `None` for its first event.
    pub fn start_point(&self) -> Option<ResumePoint> {
        let resumed = self.after_event > 0;
        resumed.then_some(ResumePoint {
            copy: None,
            after_event: self.after_event,
        })
    }

    /// Whether another send is allowed. It consumes the retry budget of the service, unless no
    /// byte of the previous send was written.
    pub async fn may_retry(&self, before: SendResult) -> bool {
        let asked = self.app.control.ask(|reply| GatewayMessage::Resend {
            request: self.head.request.clone(),
            service: self.service.clone(),
            spends_budget: before != SendResult::NotConnected,
            reply,
        });
        let cause = match asked.await {
            Some(Resend::Granted) => return true,
            Some(Resend::BudgetSpent) => "the retry budget is spent",
            Some(Resend::Quarantined) => "backend servers crash under requests like it",
            None => "the instance is stopping",
        };
        info!(self.app.log, "request is not retried";
            "request" => &self.head.request, "cause" => cause,
            "content" => self.fingerprint.to_string(),
            "service" => &self.service);
        false
    }

    /// Asks for the backend server of another try, by what is known now; `None` if none other than
    /// those in `tried` accepts it.
    pub async fn place_again(&self, tried: Vec<Replica>) -> Option<FailoverTarget> {
        let asked = self.app.control.ask(|reply| GatewayMessage::PlaceAgain {
            request: self.head.request.clone(),
            tried,
            reply,
        });
        asked.await.flatten()
    }

    /// Returns the deadline of one attempt: earlier than that of the answer if another attempt
    /// may follow.
    pub fn attempt_deadline(&self, is_repeatable: bool) -> Now {
        let until = self.app.clock.now() + self.route.objective * ATTEMPT_OBJECTIVES;
        match is_repeatable && self.route.max_attempts > 1 {
            true => until.min(self.answer_deadline),
            false => self.answer_deadline,
        }
    }

    /// Time left until the deadline of the final answer.
    pub fn time_left(&self) -> Duration {
        self.answer_deadline.saturating_sub(self.app.clock.now())
    }

    /// Returns the Retry-After for a request that no backend server accepted: `otherwise` while
    /// at least one of the backend servers accepts requests.
    pub async fn caller_retry_after(&self, otherwise: Duration) -> Duration {
        let ask = self.placement_request();
        let control = &self.app.control;
        let asked = control.ask(|reply| GatewayMessage::CallerRetryAfter {
            ask,
            otherwise,
            reply,
        });
        asked.await.unwrap_or(otherwise)
    }
}
