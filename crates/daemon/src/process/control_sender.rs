//! Channel to a control thread.

use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Sends messages to the thread that owns a state. Clones share the channel.
#[derive(Debug)]
pub struct ControlSender<Message> {
    messages: mpsc::UnboundedSender<Message>,
}

impl<Message> Clone for ControlSender<Message> {
    fn clone(&self) -> Self {
        ControlSender {
            messages: self.messages.clone(),
        }
    }
}

impl<Message> ControlSender<Message> {
    /// Creates an unbounded channel and returns the sender and the thread's receiver.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Message>) {
        let (messages, inbox) = mpsc::unbounded_channel();
        (ControlSender { messages }, inbox)
    }

    /// Sends a message that needs no answer. It is dropped if the process is stopping.
    pub fn tell(&self, message: Message) {
        // Fails only when the process is stopping.
        let _ = self.messages.send(message);
    }

    /// Sends a message and waits for the answer; `None` if the process is stopping.
    pub async fn ask<Answer>(
        &self,
        message: impl FnOnce(oneshot::Sender<Answer>) -> Message,
    ) -> Option<Answer> {
        let (reply, answer) = oneshot::channel();
        self.messages.send(message(reply)).ok()?;
        answer.await.ok()
    }
}
