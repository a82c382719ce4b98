//! Delivers the tokens of a generation to its caller, as an event stream or as a single answer.

use std::time::Duration;

use bytes::Bytes;
use iristhread_api::Choice;
use iristhread_api::Completion;
use iristhread_api::DONE_MARK;
use iristhread_api::Delta;
use iristhread_api::EndReason;
use iristhread_api::ErrorBody;
use iristhread_api::Usage;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::completion::api_error::ApiError;

/// Placeholder for the text of a token; the serialized event is split there.
const TEXT_MARK: &str = "\u{1}";

/// The caller has disconnected, or has not read for longer than the write timeout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerGone;

/// Formats the answers of one generation. The JSON around the text of a token is serialized only
/// once.
#[derive(Clone, Debug)]
pub struct AnswerFormat {
    id: String,
    model: String,
    is_chat: bool,
    before_text: String,
    after_text: String,
}

impl AnswerFormat {
    /// Creates the format for one generation.
    pub fn new(id: &str, model: &str, is_chat: bool) -> Self {
        let mut format = AnswerFormat {
            id: id.to_owned(),
            model: model.to_owned(),
            is_chat,
            before_text: String::new(),
            after_text: String::new(),
        };
        let mark = serde_json::to_string(TEXT_MARK).unwrap_or_default();
        let frame = serde_json::to_string(&format.part(TEXT_MARK, None)).unwrap_or_default();
        if let Some((before, after)) = frame.split_once(&mark) {
            format.before_text = before.to_owned();
            format.after_text = after.to_owned();
        }
        format
    }

    /// Returns the event for one token.
    fn event(&self, text: &str, cursor: &str) -> Bytes {
        let text = serde_json::to_string(text).unwrap_or_default();
        let (before, after) = (&self.before_text, &self.after_text);
        Bytes::from(format!("id: {cursor}\ndata: {before}{text}{after}\n\n"))
    }

    /// Returns the last events of a complete stream.
    fn final_events(&self, reason: EndReason) -> Bytes {
        let part = self.part("", Some(reason));
        let part = serde_json::to_string(&part).unwrap_or_default();
        Bytes::from(format!("data: {part}\n\ndata: {DONE_MARK}\n\n"))
    }

    fn part(&self, text: &str, reason: Option<EndReason>) -> Completion {
        let object = if self.is_chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        let mut choice = Choice {
            finish_reason: reason.map(|reason| reason.as_str().to_owned()),
            ..Choice::default()
        };
        if self.is_chat {
            choice.delta = Some(assistant(text.to_owned()));
        } else {
            choice.text = Some(text.to_owned());
        }
        self.completion(object, choice)
    }

    fn full(&self, text: String, tokens: u32, reason: EndReason) -> Completion {
        let object = if self.is_chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        let mut choice = Choice {
            finish_reason: Some(reason.as_str().to_owned()),
            ..Choice::default()
        };
        if self.is_chat {
            choice.message = Some(assistant(text));
        } else {
            choice.text = Some(text);
        }
        let mut completion = self.completion(object, choice);
        completion.usage = Some(Usage {
            completion_tokens: tokens,
        });
        completion
    }

    fn completion(&self, object: &str, choice: Choice) -> Completion {
        Completion {
            id: self.id.clone(),
            object: object.to_owned(),
            model: self.model.clone(),
            choices: vec![choice],
            usage: None,
        }
    }
}

fn assistant(content: String) -> Delta {
    Delta {
        content,
        role: "assistant".to_owned(),
    }
}

/// The caller's side of a generation.
#[derive(Debug)]
pub enum CallerSink {
    /// Server-sent events.
    Events {
        /// Frames to write to the connection.
        frames: mpsc::Sender<Bytes>,
        /// Maximum time that a frame waits for the caller to read.
        write_timeout: Duration,
    },
    /// A single answer at the end; empty once it has been sent.
    Full(Option<oneshot::Sender<Result<Completion, ApiError>>>),
}

impl CallerSink {
    /// Delivers a token; a single answer takes its tokens at the end instead.
    ///
    /// # Errors
    ///
    /// [`CallerGone`] if the connection was closed, or the caller read nothing within the write
    /// timeout.
    pub async fn token(
        &mut self,
        format: &AnswerFormat,
        text: &str,
        cursor: impl FnOnce() -> String,
    ) -> Result<(), CallerGone> {
        match self {
            CallerSink::Events { .. } => self.send(format.event(text, &cursor())).await,
            CallerSink::Full(_) => Ok(()),
        }
    }

    /// Ends a complete answer.
    ///
    /// # Errors
    ///
    /// [`CallerGone`] as for [`CallerSink::token`].
    pub async fn end(
        &mut self,
        format: &AnswerFormat,
        tokens: &[String],
        reason: EndReason,
    ) -> Result<(), CallerGone> {
        match self {
            CallerSink::Events { .. } => self.send(format.final_events(reason)).await,
            CallerSink::Full(reply) => {
                let count = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
                let completion = format.full(tokens.concat(), count, reason);
                send_reply(reply, Ok(completion))
            }
        }
    }

    /// Ends the answer with an explicit error, so that a truncated stream never looks complete.
    ///
    /// # Errors
    ///
    /// [`CallerGone`] as for [`CallerSink::token`].
    pub async fn error(&mut self, error: ApiError) -> Result<(), CallerGone> {
        match self {
            CallerSink::Events { .. } => {
                let body = ErrorBody {
                    error: *error.detail,
                };
                let body = serde_json::to_string(&body).unwrap_or_default();
                let frame = format!("event: error\ndata: {body}\n\n");
                self.send(Bytes::from(frame)).await
            }
            CallerSink::Full(reply) => send_reply(reply, Err(error)),
        }
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&mut self) {
        match self {
            CallerSink::Events { frames, .. } => frames.closed().await,
            CallerSink::Full(Some(reply)) => reply.closed().await,
            CallerSink::Full(None) => std::future::pending().await,
        }
    }

    async fn send(&mut self, frame: Bytes) -> Result<(), CallerGone> {
        let CallerSink::Events {
            frames,
            write_timeout,
        } = self
        else {
            return Ok(());
        };
        let sent = tokio::time::timeout(*write_timeout, frames.send(frame)).await;
        sent.map_err(|_| CallerGone)?.map_err(|_| CallerGone)
    }
}

fn send_reply(
    reply: &mut Option<oneshot::Sender<Result<Completion, ApiError>>>,
    answer: Result<Completion, ApiError>,
) -> Result<(), CallerGone> {
    let reply = reply.take().ok_or(CallerGone)?;
    reply.send(answer).map_err(|_| CallerGone)
}
