//! What backend servers say of themselves in their answers, on the completion interface.

use std::net::SocketAddr;
use std::time::Duration;

use super::Control;
use crate::BackendId;
use crate::BackendView;
use crate::Command;
use crate::HeardNotice;
use crate::Now;
use crate::Refusal;
use crate::RequestId;

impl Control {
    /// Notes what an answer said of its backend server.
    pub(super) fn observe_notice(&mut self, now: Now, backend: &str, heard: &HeardNotice) {
        if let Some(view) = self.backends.view_mut(backend) {
            view.observe_notice(now, &heard.notice);
        }
        self.observe_limit_notice(now, backend, heard);
    }

    /// Whether a call may be sent to a runner now: it may have said something since the
    /// runners were ranked.
    pub fn may_call(&mut self, now: Now, backend: &str, request: &RequestId) -> bool {
        let view = self.backends.view_mut(backend);
        view.is_some_and(|view| view.may_call(now, request)) && self.wish(now, backend)
    }

    /// Whether something may be sent to a backend server about what it runs: it has not
    /// asked for rest, and takes more under the limit that it named.
    pub fn may_reach(&mut self, now: Now, backend: &str) -> bool {
        !self.is_backing_off(now, backend) && self.wish(now, backend)
    }

    /// Whether a backend server has asked for rest that is not over.
    fn is_backing_off(&self, now: Now, backend: &str) -> bool {
        let view = self.backends.view(backend);
        view.is_some_and(|view| view.backoff_left(now).is_some())
    }

    /// The time until the first runner of a service has rested, or takes one more under its
    /// limit; `None` unless all that could run a call rest or are limited.
    pub fn runners_wait(&self, now: Now, service: &str) -> Option<Duration> {
        let views = self.backends.views().map(|(_, view)| view);
        let runners = views.filter(|view| view.server().service.as_deref() == Some(service));
        let available = runners.filter(|view| !view.is_draining());
        let waits: Option<Vec<Duration>> = available
            .map(|view| self.time_until_available(now, view))
            .collect();
        waits?.into_iter().min()
    }

    /// Time until a backend server takes something.
    fn time_until_available(&self, now: Now, view: &BackendView) -> Option<Duration> {
        let backoff = view.backoff_left(now);
        backoff.or_else(|| self.turn_in(now, &view.server().name))
    }

    /// The time until the first engine of a model has rested; `None` unless all rest.
    fn engines_backoff(&self, now: Now, model: &str) -> Option<Duration> {
        let available = self
            .backends
            .subset(model)
            .filter(|view| !view.is_draining());
        let waits: Option<Vec<Duration>> = available.map(|view| view.backoff_left(now)).collect();
        waits?.into_iter().min()
    }

    /// Why no engine takes a request.
    pub(super) fn no_engine_refusal(&self, now: Now, model: &str) -> Refusal {
        if let Some(left) = self.engines_backoff(now, model) {
            return Refusal::resting(model, left);
        }
        let available = self
            .backends
            .subset(model)
            .filter(|view| !view.is_draining());
        let waits: Option<Vec<Duration>> = available
            .map(|view| self.time_until_available(now, view))
            .collect();
        match waits.and_then(|waits| waits.into_iter().min()) {
            Some(left) => Refusal::limited(model, left),
            None => Refusal::no_backend(model),
        }
    }

    /// Refuses what waits for a model whose engines all rest for longer than it can wait:
    /// it is known already that it can't be served.
    pub(super) fn refuse_blocked_by_backoff(&mut self, now: Now, commands: &mut Vec<Command>) {
        let models: Vec<String> = self.queues.keys().cloned().collect();
        for model in models {
            let Some(left) = self.engines_backoff(now, &model) else {
                continue;
            };
            let queue = self.queues.get_mut(&model);
            let unservable = queue.map(|queue| queue.take_expired(now.saturating_add(left)));
            for queued in unservable.unwrap_or_default() {
                let refusal = Refusal::resting(&model, left);
                self.refuse(queued.submission.request, refusal, commands);
            }
        }
    }

    /// Engines whose reports this instance needs, but for those that want no question now.
    pub fn watched(&mut self, now: Now) -> Vec<(BackendId, SocketAddr)> {
        let mut watched = self.backends.watched();
        watched.retain(|(backend, _)| self.may_reach(now, backend));
        watched
    }
}
