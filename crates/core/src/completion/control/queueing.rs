//! Queues of requests that wait for an engine: start, expiry and refusal.

use super::Control;
use super::placement::BUSY_RETRY_AFTER;
use crate::Command;
use crate::Now;
use crate::Refusal;
use crate::RefusalKind;
use crate::RequestId;
use crate::Submission;
use crate::TimelineEvent;

impl Control {
    /// Starts queued requests for the models of one engine.
    pub(super) fn drain_engine(&mut self, now: Now, engine: &str, commands: &mut Vec<Command>) {
        let Some(view) = self.backends.view(engine) else {
            return;
        };
        for model in view.server.models.clone() {
            self.drain(now, &model, commands);
        }
    }

    pub(super) fn drain_all(&mut self, now: Now, commands: &mut Vec<Command>) {
        let models: Vec<String> = self.queues.keys().cloned().collect();
        for model in models {
            self.drain(now, &model, commands);
        }
        self.queues.retain(|_, queue| !queue.is_empty());
    }

    pub(super) fn drain(&mut self, now: Now, model: &str, commands: &mut Vec<Command>) {
        while let Some(next) = self.peek(model) {
            let choice = self.choose(now, &next);
            if choice.engine.is_none() {
                return;
            }
            let cost = self.cost(&next);
            if let Some(queue) = self.queues.get_mut(model) {
                queue.pop(cost);
            }
            self.start(now, next, choice, commands);
        }
    }

    fn peek(&self, model: &str) -> Option<Submission> {
        let queued = self.queues.get(model)?.peek()?;
        Some(queued.submission.clone())
    }

    /// Refuses queued requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: Now, commands: &mut Vec<Command>) {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            expired.extend(queue.take_expired(now));
        }
        for queued in expired {
            let refusal = Refusal::new(
                RefusalKind::Deadline,
                BUSY_RETRY_AFTER,
                "no backend server had room before the deadline of the request",
            );
            self.refuse(queued.submission.request, refusal, commands);
        }
    }

    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        refusal: Refusal,
        commands: &mut Vec<Command>,
    ) {
        self.note(
            Some(request.clone()),
            TimelineEvent::Refused {
                kind: refusal.kind,
                retry_after_s: refusal.retry_after.as_secs().max(1),
            },
        );
        commands.push(Command::Refuse { request, refusal });
    }
}
