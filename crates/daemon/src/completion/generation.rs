//! Relays one generation to its caller: drives a [`Session`] over engines that may crash, stall,
//! reset connections or send the answer of another request.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use http::StatusCode;
use iristhread_api::EndReason;
use iristhread_api::EngineEvent;
use iristhread_core::BackendId;
use iristhread_core::Cursor;
use iristhread_core::EndVerdict;
use iristhread_core::Event;
use iristhread_core::KNOWN_GOOD_AFTER;
use iristhread_core::Outcome;
use iristhread_core::Placement;
use iristhread_core::PromptParts;
use iristhread_core::Session;
use iristhread_core::TimelineEvent;
use iristhread_core::TokenVerdict;
use tokio::time::sleep_until;

use crate::completion::api_error::ApiError;
use crate::completion::app::App;
use crate::completion::caller_sink::AnswerFormat;
use crate::completion::caller_sink::CallerSink;
use crate::completion::left_run;
use crate::completion::left_run::RunAtServer;
use crate::completion::validated_completion::ValidatedCompletion;
use crate::engines::engine_port::EngineStream;

mod attempts;

/// Number of tokens between two progress events to the control thread.
const PROGRESS_EVERY: u32 = 32;

/// Result of handling the next event of a stream.
enum Step {
    Continue,
    Complete(EndReason),
    Lost(&'static str),
    Stalled,
    Diverged,
    CallerGone,
}

/// A running generation.
pub struct Generation {
    app: Arc<App>,
    completion: ValidatedCompletion,
    owner: String,
    reader: String,
    session: Session,
    format: AnswerFormat,
    stream: EngineStream,
    placement: Placement,
    failed_engines: Vec<BackendId>,
    idle_reattaches: u32,
    /// Whether the caller has received the headers of the answer; from then on the deadline for
    /// the start no longer applies.
    is_relaying: bool,
    is_closed: bool,
    last_progress: iristhread_core::Now,
    /// When the first new token of this attempt arrived, if any has.
    first_token_at: Option<iristhread_core::Now>,
    longest_gap: Duration,
}

impl Generation {
    /// Starts or resumes a generation; returns once an engine has accepted it.
    ///
    /// # Errors
    ///
    /// An [`ApiError`] for the caller; the request is then closed and nothing is left running.
    pub async fn begin(app: Arc<App>, completion: ValidatedCompletion) -> Result<Self, ApiError> {
        let now = app.clock.now();
        let session = match &completion.cursor {
            None => Session::new(completion.request.clone(), now),
            Some(cursor) => resumed_session(&app, &completion, cursor)?,
        };
        let unplaced = Placement {
            engine: BackendId::new(),
            address: app.settings.caller_address,
            attempt: session.attempt(),
        };
        let mut generation = Generation {
            owner: completion.owner(),
            reader: uuid::Uuid::new_v4().simple().to_string(),
            format: AnswerFormat::new(session.generation(), &completion.model, completion.is_chat),
            stream: futures::stream::empty().boxed(),
            placement: unplaced,
            failed_engines: Vec::new(),
            idle_reattaches: 0,
            is_relaying: false,
            is_closed: false,
            last_progress: now,
            first_token_at: None,
            longest_gap: Duration::ZERO,
            app,
            completion,
            session,
        };
        match generation.start().await {
            Ok(()) => Ok(generation),
            Err(error) => {
                let error = generation.adjust_outcome(error);
                generation.close(error.detail.outcome, &error.detail.code);
                Err(error)
            }
        }
    }

    /// Relays tokens to the caller until the generation ends.
    pub async fn run(mut self, mut sink: CallerSink) {
        self.is_relaying = true;
        loop {
            let step = self.step(&mut sink).await;
            let next = match step {
                Step::Continue => Ok(()),
                Step::Complete(reason) => return self.end(sink, reason).await,
                Step::CallerGone => return self.caller_gone().await,
                Step::Diverged => Err(diverged()),
                Step::Lost(cause) => self.reattach_or_fail_over(cause).await,
                Step::Stalled => self.fail_over("stalled", true).await,
            };
            if let Err(error) = next {
                return self.fail(sink, error).await;
            }
        }
    }

    async fn step(&mut self, sink: &mut CallerSink) -> Step {
        let stalled_at = self.app.clock.instant(self.session.stall_deadline());
        let event = tokio::select! {
            biased;
            event = self.stream.next() => event,
            () = sink.closed() => return Step::CallerGone,
            () = sleep_until(stalled_at) => return Step::Stalled,
        };
        match event {
            Some(Ok(event)) => self.handle_event(event, sink).await,
            Some(Err(_)) => Step::Lost("connection broke"),
            None => Step::Lost("connection closed before the end mark"),
        }
    }

    async fn handle_event(&mut self, event: EngineEvent, sink: &mut CallerSink) -> Step {
        match event {
            EngineEvent::Token {
                generation,
                attempt,
                position,
                text,
            } => {
                let now = self.app.clock.now();
                let verdict = self
                    .session
                    .token(&generation, attempt, position, &text, now);
                match verdict {
                    TokenVerdict::Deliver => self.deliver(&text, sink).await,
                    TokenVerdict::Duplicate | TokenVerdict::Foreign => Step::Continue,
                    TokenVerdict::Gap => Step::Lost("tokens missing"),
                    TokenVerdict::Diverged => Step::Diverged,
                }
            }
            EngineEvent::Preempted { .. } => {
                self.app.metrics.preempted();
                self.note(TimelineEvent::Preempted {
                    attempt: self.placement.attempt,
                    engine: self.placement.engine.clone(),
                });
                Step::Continue
            }
            EngineEvent::End {
                generation,
                attempt,
                total,
                reason,
            } => match self.session.end(&generation, attempt, total) {
                EndVerdict::Complete => Step::Complete(reason),
                EndVerdict::Foreign => Step::Continue,
                EndVerdict::Gap => Step::Lost("end mark before the last token"),
            },
        }
    }

    async fn deliver(&mut self, text: &str, sink: &mut CallerSink) -> Step {
        self.measure_gap();
        self.first_token_at.get_or_insert(self.last_progress);
        self.idle_reattaches = 0;
        let known = self.session.known();
        if known == 1 {
            let attempt = self.placement.attempt;
            self.note(TimelineEvent::FirstToken { attempt });
        }
        if known == 1 || known.is_multiple_of(PROGRESS_EVERY) {
            self.app.control.tell(Event::Progress {
                request: self.completion.request.clone(),
                generated: known,
            });
        }
        let (session, owner) = (&self.session, &self.owner);
        let keyring = &self.app.settings.keyring;
        let cursor = || session.cursor().encode(owner, keyring);
        match sink.token(&self.format, text, cursor).await {
            Ok(()) => Step::Continue,
            Err(_) => Step::CallerGone,
        }
    }

    fn measure_gap(&mut self) {
        let now = self.app.clock.now();
        let gap = now.saturating_sub(self.last_progress);
        if self.session.known() == 1 {
            self.app.metrics.first_token(gap);
        } else {
            self.longest_gap = self.longest_gap.max(gap);
        }
        self.last_progress = now;
    }

    async fn end(mut self, mut sink: CallerSink, reason: EndReason) {
        self.app.control.tell(Event::AttemptFinished {
            request: self.completion.request.clone(),
            generated: self.session.known(),
        });
        self.app.metrics.longest_gap(self.longest_gap);
        let ended = sink.end(&self.format, self.session.tokens(), reason).await;
        let text = if ended.is_ok() {
            reason.as_str()
        } else {
            "caller left at the end"
        };
        self.close(Outcome::Ran, text);
    }

    async fn fail(mut self, mut sink: CallerSink, error: ApiError) {
        self.cancel();
        let error = self.adjust_outcome(error);
        let (outcome, code) = (error.detail.outcome, error.detail.code.clone());
        // The caller may have disconnected as well; nobody else needs the error.
        let _ = sink.error(error).await;
        self.close(outcome, &code);
    }

    /// Sets the outcome to unknown if tokens were delivered: such a request has run, so the error
    /// must not claim that it has not.
    fn adjust_outcome(&self, mut error: ApiError) -> ApiError {
        if self.session.delivered() > 0 {
            error.detail.outcome = Outcome::Unknown;
        }
        error
    }

    /// Handles a caller that disconnected: leaves it `caller_grace` to reconnect, perhaps at
    /// another instance, then cancels the generation at the engine.
    async fn caller_gone(mut self) {
        let delivered = self.session.delivered();
        self.note(TimelineEvent::CallerLost { delivered });
        tokio::time::sleep(self.app.settings.limits.caller_grace).await;
        self.leave_run();
        self.app.control.tell(Event::AttemptLost {
            request: self.completion.request.clone(),
            engine_failed: false,
        });
        self.close(Outcome::Unknown, "caller left");
    }

    /// Cancels the attempt, and watches its engine unless the attempt ran well.
    fn leave_run(&self) {
        self.cancel();
        let now = self.app.clock.now();
        let ran_for = self.first_token_at.map(|at| now.saturating_sub(at));
        if self.placement.engine.is_empty() || ran_for >= Some(KNOWN_GOOD_AFTER) {
            return;
        }
        let run = RunAtServer {
            backend: self.placement.engine.clone(),
            address: self.placement.address,
            fingerprint: self.completion.fingerprint(),
            // Sound requests share them, and runs that are left prove none of them sound.
            parts: PromptParts::default(),
        };
        left_run::watch(&self.app, run);
    }

    fn close(&mut self, outcome: Outcome, reason: &str) {
        self.is_closed = true;
        self.note(TimelineEvent::Ended {
            outcome,
            delivered: self.session.delivered(),
            reason: reason.to_owned(),
        });
        self.app.metrics.ended(&self.completion.workspace, outcome);
        self.app.control.tell(Event::Closed {
            request: self.completion.request.clone(),
            workspace: self.completion.workspace.clone(),
        });
    }

    fn note(&self, event: TimelineEvent) {
        self.app.control.note(&self.completion.request, event);
    }
}

/// The HTTP server drops the request of a caller that disconnects before the answer begins; this
/// cancels and closes its generation.
impl Drop for Generation {
    fn drop(&mut self) {
        if !self.is_closed {
            self.leave_run();
            self.close(Outcome::Unknown, "caller left before the start");
        }
    }
}

fn resumed_session(
    app: &App,
    completion: &ValidatedCompletion,
    cursor: &Cursor,
) -> Result<Session, ApiError> {
    let session = Session::resumed(cursor, completion.received.clone(), app.clock.now());
    session.ok_or_else(|| {
        let message = "the tokens in `received` are not those that were delivered";
        ApiError::invalid("received_mismatch", Some("received"), message)
    })
}

fn diverged() -> ApiError {
    ApiError::unknown(
        StatusCode::CONFLICT,
        "stream_diverged",
        "the engine's text is not the one that you hold; start again without Last-Event-ID",
    )
}
