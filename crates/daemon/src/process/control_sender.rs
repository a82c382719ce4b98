//! The way to a control thread.

use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Sends messages to the thread that owns a state; cheap to clone.
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
    /// A sender, and the inbox of the thread.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Message>) {
        let (messages, inbox) = mpsc::unbounded_channel();
        (ControlSender { messages }, inbox)
    }

    /// Tells of something.
    pub fn tell(&self, message: Message) {
        // Fails only when the process is stopping.
        let _ = self.messages.send(message);
    }

    /// Asks for an answer; `None` when the process is stopping.
    pub async fn ask<Answer>(
        &self,
        message: impl FnOnce(oneshot::Sender<Answer>) -> Message,
    ) -> Option<Answer> {
        let (reply, answer) = oneshot::channel();
        self.messages.send(message(reply)).ok()?;
        answer.await.ok()
    }
}
