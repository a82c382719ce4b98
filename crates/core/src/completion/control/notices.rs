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
    pub(super) fn noticed(&mut self, now: Now, backend: &str, heard: &HeardNotice) {
        if let Some(view) = self.book.view_mut(backend) {
            view.noticed(now, &heard.notice);
        }
        self.observe_limit(now, backend, heard);
    }

    /// Whether a call may be sent to a runner now: it may have said something since the
    /// runners were ranked.
    pub fn may_call(&mut self, now: Now, backend: &str, request: &RequestId) -> bool {
        let view = self.book.view_mut(backend);
        view.is_some_and(|view| view.may_call(now, request)) && self.wish(now, backend)
    }

    /// Whether something may be sent to a backend server about what it runs: it has not
    /// asked for rest, and takes more under the limit that it named.
    pub fn may_reach(&mut self, now: Now, backend: &str) -> bool {
        !self.rests(now, backend) && self.wish(now, backend)
    }

    /// Whether a backend server has asked for rest that is not over.
    fn rests(&self, now: Now, backend: &str) -> bool {
        let view = self.book.view(backend);
        view.is_some_and(|view| view.rest_left(now).is_some())
    }

    /// The time until the first runner of a service has rested, or takes one more under its
    /// limit; `None` unless all that could run a call rest or are limited.
    pub fn runners_wait(&self, now: Now, service: &str) -> Option<Duration> {
        let views = self.book.views().map(|(_, view)| view);
        let runners = views.filter(|view| view.server().service.as_deref() == Some(service));
        let staying = runners.filter(|view| !view.leaves());
        let lefts: Option<Vec<Duration>> = staying.map(|view| self.wait_for(now, view)).collect();
        lefts?.into_iter().min()
    }

    /// Time until a backend server takes something.
    fn wait_for(&self, now: Now, view: &BackendView) -> Option<Duration> {
        let rest = view.rest_left(now);
        rest.or_else(|| self.turn_in(now, &view.server().name))
    }

    /// The time until the first engine of a model has rested; `None` unless all rest.
    fn engines_rest(&self, now: Now, model: &str) -> Option<Duration> {
        let staying = self.book.subset(model).filter(|view| !view.leaves());
        let lefts: Option<Vec<Duration>> = staying.map(|view| view.rest_left(now)).collect();
        lefts?.into_iter().min()
    }

    /// Why no engine takes a request.
    pub(super) fn nothing_takes(&self, now: Now, model: &str) -> Refusal {
        if let Some(left) = self.engines_rest(now, model) {
            return Refusal::resting(model, left);
        }
        let staying = self.book.subset(model).filter(|view| !view.leaves());
        let lefts: Option<Vec<Duration>> = staying.map(|view| self.wait_for(now, view)).collect();
        match lefts.and_then(|lefts| lefts.into_iter().min()) {
            Some(left) => Refusal::limited(model, left),
            None => Refusal::no_backend(model),
        }
    }

    /// Refuses what waits for a model whose engines all rest for longer than it can wait:
    /// it is known already that it can't be served.
    pub(super) fn refuse_outlasted(&mut self, now: Now, commands: &mut Vec<Command>) {
        let models: Vec<String> = self.queues.keys().cloned().collect();
        for model in models {
            let Some(left) = self.engines_rest(now, &model) else {
                continue;
            };
            let queue = self.queues.get_mut(&model);
            let hopeless = queue.map(|queue| queue.take_expired(now.saturating_add(left)));
            for queued in hopeless.unwrap_or_default() {
                let refusal = Refusal::resting(&model, left);
                self.refuse(queued.submission.request, refusal, commands);
            }
        }
    }

    /// Engines whose reports this instance needs, but for those that want no question now.
    pub fn watched(&mut self, now: Now) -> Vec<(BackendId, SocketAddr)> {
        let mut watched = self.book.watched();
        watched.retain(|(backend, _)| self.may_reach(now, backend));
        watched
    }
}
