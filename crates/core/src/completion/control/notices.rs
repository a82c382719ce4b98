//! Server notices in the answers of backend servers, on the completion interface.

use std::net::SocketAddr;
use std::time::Duration;

use super::Control;
use crate::BackendId;
use crate::BackendView;
use crate::Command;
use crate::Now;
use crate::ObservedNotice;
use crate::Refusal;
use crate::RequestId;

impl Control {
    /// Applies the server notice of an answer.
    pub(super) fn observe_notice(&mut self, now: Now, backend: &str, heard: &ObservedNotice) {
        if let Some(view) = self.backends.view_mut(backend) {
            view.observe_notice(now, &heard.notice);
        }
        self.observe_limit_notice(now, backend, heard);
    }

    /// Returns whether a call may be sent to a runner now, and if so counts it as sent. This is
    /// checked again because a notice may have arrived since the runners were ranked.
    pub fn may_call(&mut self, now: Now, backend: &str, request: &RequestId) -> bool {
        let view = self.backends.view_mut(backend);
        view.is_some_and(|view| view.may_call(now, request)) && self.try_acquire(now, backend)
    }

    /// Returns whether a message about running work may be sent to a backend server: the server is
    /// not backing off, and its limit allows another request. An allowed one counts as sent.
    pub fn may_reach(&mut self, now: Now, backend: &str) -> bool {
        !self.is_backing_off(now, backend) && self.try_acquire(now, backend)
    }

    /// Returns whether a backend server has asked for a backoff that has not ended.
    fn is_backing_off(&self, now: Now, backend: &str) -> bool {
        let view = self.backends.view(backend);
        view.is_some_and(|view| view.backoff_left(now).is_some())
    }

    /// Returns the time until the first runner of a service ends its backoff or has room under its
    /// limit; `None` unless all runners that are not draining are backing off or limited.
    pub fn time_until_runner(&self, now: Now, service: &str) -> Option<Duration> {
        let views = self.backends.views().map(|(_, view)| view);
        let runners = views.filter(|view| view.server().service.as_deref() == Some(service));
        let available = runners.filter(|view| !view.is_draining());
        let waits: Option<Vec<Duration>> = available
            .map(|view| self.time_until_available(now, view))
            .collect();
        waits?.into_iter().min()
    }

    /// Returns the time until a backend server accepts a request; `None` if it does now.
    fn time_until_available(&self, now: Now, view: &BackendView) -> Option<Duration> {
        let backoff = view.backoff_left(now);
        backoff.or_else(|| self.time_until_allowed(now, &view.server().name))
    }

    /// Returns the time until the first engine of a model ends its backoff; `None` unless all
    /// engines that are not draining are backing off.
    fn engines_backoff(&self, now: Now, model: &str) -> Option<Duration> {
        let available = self
            .backends
            .subset(model)
            .filter(|view| !view.is_draining());
        let waits: Option<Vec<Duration>> = available.map(|view| view.backoff_left(now)).collect();
        waits?.into_iter().min()
    }

    /// Returns the refusal of a request that no engine accepts.
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

    /// Refuses queued requests whose deadline passes before the first engine of their model ends
    /// its backoff, because they can't be served in time.
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

    /// Returns the engines to poll for load reports: those that this instance needs, without those
    /// that are backing off or whose limit allows no request now.
    pub fn watched(&mut self, now: Now) -> Vec<(BackendId, SocketAddr)> {
        let mut watched = self.backends.watched();
        watched.retain(|(backend, _)| self.may_reach(now, backend));
        watched
    }
}
