//! Channel to a control thread.

use std::time::Duration;

use iristhread_core::Now;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::process::clock::Clock;
use crate::process::thread_lag::ThreadLag;

/// A message and the time at which it was sent.
type SentMessage<Message> = (Now, Message);

/// Sends messages to the thread that owns a state. Clones share the channel.
#[derive(Debug)]
pub struct ControlSender<Message> {
    messages: mpsc::UnboundedSender<SentMessage<Message>>,
    clock: Clock,
    lag: ThreadLag,
}

/// Receives the messages of a control thread and measures how long they waited.
pub struct ControlInbox<Message> {
    messages: mpsc::UnboundedReceiver<SentMessage<Message>>,
    lag: ThreadLag,
}

impl<Message> Clone for ControlSender<Message> {
    fn clone(&self) -> Self {
        ControlSender {
            messages: self.messages.clone(),
            clock: self.clock,
            lag: self.lag.clone(),
        }
    }
}

impl<Message> ControlSender<Message> {
    /// Creates an unbounded channel and returns the sender and the thread's receiver, which records
    /// in `lag` how long messages wait.
    pub fn new(clock: Clock, lag: ThreadLag) -> (Self, ControlInbox<Message>) {
        let (messages, inbox) = mpsc::unbounded_channel();
        let inbox = ControlInbox {
            messages: inbox,
            lag: lag.clone(),
        };
        let sender = ControlSender {
            messages,
            clock,
            lag,
        };
        (sender, inbox)
    }

    /// Returns how long messages wait for the thread.
    pub fn lateness(&self) -> Duration {
        self.lag.latest()
    }

    /// Sends a message that needs no answer. It is dropped if the process is stopping.
    pub fn tell(&self, message: Message) {
        // Fails only when the process is stopping.
        let _ = self.messages.send((self.clock.now(), message));
    }

    /// Sends a message and waits for the answer; `None` if the process is stopping.
    pub async fn ask<Answer>(
        &self,
        message: impl FnOnce(oneshot::Sender<Answer>) -> Message,
    ) -> Option<Answer> {
        let (reply, answer) = oneshot::channel();
        let message = message(reply);
        self.messages.send((self.clock.now(), message)).ok()?;
        answer.await.ok()
    }
}

impl<Message> ControlInbox<Message> {
    /// Returns the next message; `None` if all senders are gone.
    pub async fn recv(&mut self) -> Option<Message> {
        let (sent_at, message) = self.messages.recv().await?;
        self.lag.handled(sent_at);
        Some(message)
    }
}
