//! Where the tokens of a generation go: an event stream or one whole answer.

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

/// Stands for the text of a token while the frame around it is made.
const TEXT_MARK: &str = "\u{1}";

/// The caller reads no more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerGone;

/// The form of answers of one generation, with the frame of an event prepared.
#[derive(Clone, Debug)]
pub struct AnswerFormat {
    id: String,
    model: String,
    is_chat: bool,
    before_text: String,
    after_text: String,
}

impl AnswerFormat {
    /// The form for one generation.
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

    /// The event of one token.
    fn event(&self, text: &str, cursor: &str) -> Bytes {
        let text = serde_json::to_string(text).unwrap_or_default();
        let (before, after) = (&self.before_text, &self.after_text);
        Bytes::from(format!("id: {cursor}\ndata: {before}{text}{after}\n\n"))
    }

    /// The last events of a whole stream.
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

/// One caller's end of a generation.
#[derive(Debug)]
pub enum CallerSink {
    /// Server-sent events.
    Events {
        /// Frames towards the connection.
        frames: mpsc::Sender<Bytes>,
        /// Longest time in which the caller reads nothing.
        write_timeout: Duration,
    },
    /// One answer at the end; empty once it was given.
    Full(Option<oneshot::Sender<Result<Completion, ApiError>>>),
}

impl CallerSink {
    /// Delivers a token.
    ///
    /// # Errors
    ///
    /// [`CallerGone`] when the connection ended or nothing was read for too
    /// long.
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

    /// Ends a whole answer.
    ///
    /// # Errors
    ///
    /// [`CallerGone`] as above.
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

    /// Ends with an explicit error; never with an end that looks whole.
    ///
    /// # Errors
    ///
    /// [`CallerGone`] as above.
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

    /// Waits until the caller is gone.
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
