//! The attempts of a generation: start, reattachment and failover to other engines.

use std::time::Duration;

use http::StatusCode;
use iristhread_api::GenerateRequest;
use iristhread_core::Attempt;
use iristhread_core::Cursor;
use iristhread_core::Event;
use iristhread_core::Placement;
use iristhread_core::Submission;
use iristhread_core::TimelineEvent;
use slog::info;

use super::Generation;
use crate::completion::api_error::ApiError;
use crate::completion::app::App;
use crate::completion::control_message::ControlMessage;
use crate::engines::engine_watch::has_stopped_listening;

/// Maximum number of attempts of one generation; it then ends with an error.
const MAX_ATTEMPTS: Attempt = 12;

/// Maximum number of reattachments to the same attempt without a new token between them.
const MAX_IDLE_REATTACHES: u32 = 2;

/// Number of the most recently failed engines that are excluded from the next attempt.
const MAX_EXCLUDED_ENGINES: usize = 2;

/// Maximum wait for an engine for a stream whose answer has already begun.
const CONTINUE_TIMEOUT: Duration = Duration::from_secs(30);

impl Generation {
    pub(super) async fn start(&mut self) -> Result<(), ApiError> {
        let Some(cursor) = self.completion.cursor.clone() else {
            return self.place().await;
        };
        let delivered = cursor.delivered;
        self.note(TimelineEvent::Reconnected { delivered });
        if self.attach_at_cursor(&cursor).await {
            return Ok(());
        }
        if !self.session.can_continue() {
            return Err(stream_lost());
        }
        self.place().await
    }

    /// Attaches to the attempt at the engine that the cursor names. Returns whether it succeeded.
    async fn attach_at_cursor(&mut self, cursor: &Cursor) -> bool {
        let view = self.app.view();
        let servers = view.document.backend_servers.iter();
        let Some(server) = servers.into_iter().find(|s| s.name == cursor.engine) else {
            return false;
        };
        self.placement = Placement {
            engine: server.name.clone(),
            address: server.address,
            attempt: cursor.attempt,
        };
        let now = self.app.clock.now();
        self.session
            .begin_attempt(cursor.attempt, cursor.engine.clone(), now);
        if !self.attach().await {
            return false;
        }
        let submission = self.submission(cursor.attempt);
        self.app.control.tell(Event::Adopt {
            submission,
            engine: cursor.engine.clone(),
        });
        true
    }

    async fn attach(&mut self) -> bool {
        if !may_reach(&self.app, &self.placement.engine).await {
            return false;
        }
        let sent_at = self.app.clock.now();
        let attached = self.app.engines.attach(
            self.placement.address,
            self.session.generation(),
            self.placement.attempt,
            &self.reader,
        );
        let answer = attached.await;
        let observed = answer.heard(sent_at, false);
        self.app.observe_notice(&self.placement.engine, observed);
        match answer.result {
            Ok(stream) => {
                self.stream = stream;
                true
            }
            Err(_) => false,
        }
    }

    /// Starts attempts at engines that the control thread chooses, until one accepts it.
    pub(super) async fn place(&mut self) -> Result<(), ApiError> {
        while self.session.attempt() < MAX_ATTEMPTS {
            let submission = self.submission(self.session.attempt() + 1);
            let ask = |reply| ControlMessage::Submit { submission, reply };
            let decision = self.app.control.ask(ask).await.ok_or_else(stopping)?;
            let placement = decision.map_err(|refusal| ApiError::refused(&refusal))?;
            if self.begin_attempt(placement).await {
                return Ok(());
            }
        }
        Err(ApiError::unavailable(
            "attempts_exhausted",
            "no backend server took the request after several attempts",
        ))
    }

    async fn begin_attempt(&mut self, placement: Placement) -> bool {
        let now = self.app.clock.now();
        let (attempt, engine) = (placement.attempt, placement.engine.clone());
        self.session.begin_attempt(attempt, engine, now);
        self.idle_reattaches = 0;
        self.first_token_at = None;
        self.placement = placement;
        let request = GenerateRequest {
            generation: self.session.generation().clone(),
            attempt: self.placement.attempt,
            model: self.completion.model.clone(),
            adapter: self.completion.adapter.clone(),
            prompt: self.completion.prompt.clone(),
            received: self.session.tokens().to_vec(),
            max_tokens: self.completion.max_tokens,
            priority: self.completion.priority,
            reader: self.reader.clone(),
        };
        let address = self.placement.address;
        let sent_at = self.app.clock.now();
        let answer = self.app.engines.generate(address, request).await;
        let observed = answer.heard(sent_at, answer.result.is_ok());
        self.app.observe_notice(&self.placement.engine, observed);
        let asks_for_backoff = answer.notice.rest().is_some();
        match answer.result {
            Ok(stream) => {
                self.stream = stream;
                true
            }
            Err(error) => {
                info!(self.app.log, "engine did not accept an attempt";
                    "request" => &self.completion.request, "error" => %error);
                if !error.is_unsent() && !asks_for_backoff {
                    self.report_if_crashed().await;
                }
                // An engine that asks for backoff has not failed.
                self.attempt_lost("not taken", !asks_for_backoff);
                false
            }
        }
    }

    /// Reattaches to the same attempt first, as the connection may have failed while the engine
    /// still runs; fails over to another engine if that does not succeed.
    pub(super) async fn reattach_or_fail_over(
        &mut self,
        cause: &'static str,
    ) -> Result<(), ApiError> {
        while self.idle_reattaches < MAX_IDLE_REATTACHES {
            self.idle_reattaches += 1;
            if self.attach().await {
                return Ok(());
            }
        }
        self.fail_over(cause, true).await
    }

    /// Gives up the attempt and continues at another engine from the known tokens.
    pub(super) async fn fail_over(
        &mut self,
        cause: &str,
        engine_failed: bool,
    ) -> Result<(), ApiError> {
        self.cancel();
        if engine_failed {
            self.report_if_crashed().await;
        }
        self.attempt_lost(cause, engine_failed);
        if !self.session.can_continue() {
            return Err(stream_lost());
        }
        self.place().await
    }

    /// Checks whether the engine of the lost attempt has crashed, and reports it to the control
    /// thread. Called before the request is sent to another engine: the control thread may have
    /// to quarantine it first.
    async fn report_if_crashed(&mut self) {
        let first_token_at = self.first_token_at;
        let has_no_token = first_token_at.is_none();
        if has_stopped_listening(self.placement.address, has_no_token).await {
            let ran_for = first_token_at.map(|at| self.app.clock.now().saturating_sub(at));
            self.app.control.tell(Event::ServerCrashed {
                backend: self.placement.engine.clone(),
                fingerprint: self.completion.fingerprint(),
                parts: self.completion.parts(),
                ran_for: ran_for.unwrap_or_default(),
            });
        }
    }

    pub(super) fn attempt_lost(&mut self, cause: &str, engine_failed: bool) {
        self.app.metrics.attempt_lost(cause);
        self.note(TimelineEvent::AttemptLost {
            attempt: self.placement.attempt,
            engine: self.placement.engine.clone(),
            cause: cause.to_owned(),
            delivered: self.session.delivered(),
        });
        self.failed_engines.push(self.placement.engine.clone());
        if self.failed_engines.len() > MAX_EXCLUDED_ENGINES {
            self.failed_engines.remove(0);
        }
        self.app.control.tell(Event::AttemptLost {
            request: self.completion.request.clone(),
            engine_failed,
        });
    }

    /// Cancels the attempt in the background, so that the engine frees its memory. The engine
    /// ignores this if a newer reader has attached; that reader keeps its stream.
    pub(super) fn cancel(&self) {
        let app = self.app.clone();
        let (address, attempt) = (self.placement.address, self.placement.attempt);
        let generation = self.session.generation().clone();
        let reader = self.reader.clone();
        let engine = self.placement.engine.clone();
        tokio::spawn(async move {
            // An engine that is backing off or unreachable drops attempts without a reader itself.
            if !may_reach(&app, &engine).await {
                return;
            }
            let sent_at = app.clock.now();
            let cancelled = app.engines.cancel(address, &generation, attempt, &reader);
            let observed = cancelled.await.heard(sent_at, false);
            app.observe_notice(&engine, observed);
        });
    }

    pub(super) fn submission(&self, attempt: Attempt) -> Submission {
        let delivering = self.session.delivered() > 0;
        let now = self.app.clock.now();
        let deadline = match self.is_relaying {
            true => now + CONTINUE_TIMEOUT,
            false => self.completion.deadline,
        };
        Submission {
            request: self.completion.request.clone(),
            workspace: self.completion.workspace.clone(),
            fingerprint: self.completion.fingerprint(),
            parts: self.completion.parts(),
            model: self.completion.model.clone(),
            adapter: self.completion.adapter.clone(),
            prompt_tokens: self.completion.prompt_tokens,
            prefix: self.completion.prefix(),
            generated: self.session.known(),
            priority: self.completion.priority,
            deadline,
            attempt,
            exclude: self.failed_engines.clone(),
            delivering,
        }
    }
}

/// Checks whether a request about a generation may be sent to an engine now: it may have asked
/// for backoff, or its limit may be used up.
async fn may_reach(app: &App, engine: &str) -> bool {
    let ask = |reply| ControlMessage::MayReach {
        backend: engine.to_owned(),
        reply,
    };
    app.control.ask(ask).await.unwrap_or_default()
}

fn stream_lost() -> ApiError {
    ApiError::unknown(
        StatusCode::CONFLICT,
        "stream_lost",
        "the engine of this stream is gone; send the tokens that you hold in `received` to go on",
    )
}

fn stopping() -> ApiError {
    ApiError::unavailable("stopping", "the instance is stopping")
}
