//! Placement of requests: admission, choice of an engine, start and end of attempts.

use std::time::Duration;

use super::Control;
use super::Running;
use crate::BackendId;
use crate::BackendView;
use crate::Command;
use crate::Now;
use crate::OwnSession;
use crate::Placement;
use crate::Queued;
use crate::Refusal;
use crate::RefusalKind;
use crate::RequestId;
use crate::RoutingContext;
use crate::RoutingNeed;
use crate::Submission;
use crate::SuspectedRequest;
use crate::TimelineEvent;
use crate::Workspace;
use crate::WorkspaceId;
use crate::completion::router::Choice;

/// Retry-After of refusals for a full queue, an exhausted retry budget or a missed deadline.
pub(super) const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of instances that are assumed to behave like this one. With more instances the
/// extrapolation from this one would be noise (docs/CAPACITY.md).
const MAX_SHARERS: u32 = 8;

/// Maximum number of prefixes whose engine is recorded. Half of the entries are dropped when the
/// map is full.
const MAX_WARM_PREFIXES: usize = 8_192;

/// Quantile of the estimated length that a workspace is charged for when a request starts.
const CHARGED_QUANTILE: f64 = 0.5;

impl Control {
    pub(super) fn submit(&mut self, now: Now, submission: Submission, commands: &mut Vec<Command>) {
        let request = submission.request.clone();
        if let Err(refusal) = self.try_submit(now, submission, commands) {
            self.refuse(request, refusal, commands);
        }
    }

    fn try_submit(
        &mut self,
        now: Now,
        submission: Submission,
        commands: &mut Vec<Command>,
    ) -> Result<(), Refusal> {
        let workspace = self.workspace(&submission.workspace)?;
        self.note(
            Some(submission.request.clone()),
            TimelineEvent::Submitted {
                workspace: submission.workspace.clone(),
                model: submission.model.clone(),
                attempt: submission.attempt,
            },
        );
        let suspected = SuspectedRequest {
            fingerprint: submission.fingerprint,
            parts: &submission.parts,
        };
        self.check_quarantine(now, &submission.request, suspected)?;
        self.admit(now, &workspace, &submission)?;
        let waits = self
            .queues
            .get(&submission.model)
            .is_some_and(|queue| !queue.is_empty());
        if !waits || submission.attempt > 1 {
            let choice = self.choose(now, &submission);
            let no_engine = choice.engine.is_none() && !choice.may_wait;
            if choice.engine.is_some() {
                self.charge(&workspace, &submission);
                self.start(now, submission, choice, commands);
                return Ok(());
            }
            if no_engine && !submission.delivering {
                return Err(self.no_engine_refusal(now, &submission.model));
            }
        }
        self.enqueue(now, &workspace, submission)
    }

    /// Admits an attempt. A first attempt counts against the limits of the workspace. A further
    /// attempt before the first token spends from the retry budget. An attempt for a request whose
    /// caller has received tokens already is never refused here.
    fn admit(
        &mut self,
        now: Now,
        workspace: &Workspace,
        submission: &Submission,
    ) -> Result<(), Refusal> {
        if submission.attempt <= 1 {
            self.admission.open(now, workspace)?;
            self.open_ids.insert(submission.request.clone());
            self.budget.earn(&workspace.name);
            return Ok(());
        }
        if submission.delivering || self.budget.spend(&[&workspace.name]) {
            return Ok(());
        }
        Err(Refusal::new(
            RefusalKind::RetryBudget,
            BUSY_RETRY_AFTER,
            "the workspace has spent its budget of retries",
        ))
    }

    fn enqueue(
        &mut self,
        now: Now,
        workspace: &Workspace,
        submission: Submission,
    ) -> Result<(), Refusal> {
        let max_queued = self.settings.max_queued;
        let queue = self.queues.entry(submission.model.clone()).or_default();
        let depth = queue.depth(&submission.workspace);
        if depth >= max_queued && !submission.delivering {
            let message =
                format!("the workspace has {depth} requests waiting, the limit max_queued");
            return Err(Refusal::new(
                RefusalKind::QueueFull,
                BUSY_RETRY_AFTER,
                message,
            ));
        }
        let request = submission.request.clone();
        queue.push(
            workspace.weight,
            Queued {
                submission,
                since: now,
            },
        );
        self.note(Some(request), TimelineEvent::Queued { depth: depth + 1 });
        Ok(())
    }

    pub(super) fn choose(&mut self, now: Now, submission: &Submission) -> Choice {
        let mut need = RoutingNeed {
            class: class_of(&submission.workspace, &submission.model),
            model: submission.model.clone(),
            adapter: submission.adapter.clone(),
            prompt_tokens: submission.prompt_tokens,
            generated: submission.generated,
            exclude: submission.exclude.clone(),
            limited: Vec::new(),
            warm: self.warm.get(&submission.prefix).cloned(),
        };
        let sharers = self.sharers(&submission.model);
        loop {
            let context = RoutingContext {
                now,
                estimator: &self.estimator,
                sharers,
                need: &need,
            };
            let choice = self.router.choose(&self.backends, &context);
            match &choice.engine {
                Some(engine) if !self.try_acquire(now, engine) => need.limited.push(engine.clone()),
                _ => return choice,
            }
        }
    }

    /// Number of instances that send to the engines of this instance's subset, including this one:
    /// the live instances of the local zone if all these engines are in it, else all instances.
    fn sharers(&self, model: &str) -> u32 {
        let own_zone = self.settings.zone.as_str();
        let is_local = |view: &BackendView| view.server.availability_zone == own_zone;
        let instances = match self.backends.subset(model).all(is_local) {
            true => self.instance_list.live_in(own_zone).len(),
            false => self.instance_list.entries().count(),
        };
        let sharers = u32::try_from(instances).unwrap_or(MAX_SHARERS);
        sharers.clamp(1, MAX_SHARERS)
    }

    pub(super) fn start(
        &mut self,
        now: Now,
        submission: Submission,
        choice: Choice,
        commands: &mut Vec<Command>,
    ) {
        let Some(engine) = choice.engine else {
            return;
        };
        let Some(address) = self.backends.view(&engine).map(|view| view.server.address) else {
            return;
        };
        let request = submission.request.clone();
        self.note(
            Some(request.clone()),
            TimelineEvent::Placed {
                engine: engine.clone(),
                attempt: submission.attempt,
                candidates: choice.candidates,
            },
        );
        self.adopt(now, &submission, engine.clone());
        self.record_warm_prefix(submission.prefix, &engine);
        commands.push(Command::Start {
            request,
            placement: Placement {
                engine,
                address,
                attempt: submission.attempt,
            },
        });
    }

    /// Records an attempt as running on an engine.
    pub(super) fn adopt(&mut self, now: Now, submission: &Submission, engine: BackendId) {
        let class = class_of(&submission.workspace, &submission.model);
        let session = OwnSession {
            class: class.clone(),
            prompt_tokens: submission.prompt_tokens,
            generated: submission.generated,
            ..OwnSession::default()
        };
        if let Some(view) = self.backends.view_mut(&engine) {
            view.start(now, submission.request.clone(), session, &self.estimator);
        }
        let running = Running {
            engine,
            class,
            fingerprint: submission.fingerprint,
            parts: submission.parts.clone(),
            first_progress_at: None,
        };
        self.running.insert(submission.request.clone(), running);
    }

    pub(super) fn progress(&mut self, request: &RequestId, generated: u32) {
        let Some(running) = self.running.get(request) else {
            return;
        };
        let Some(view) = self.backends.view_mut(&running.engine) else {
            return;
        };
        view.succeed();
        view.progress(request, generated, &self.estimator);
    }

    pub(super) fn attempt_finished(
        &mut self,
        now: Now,
        request: &RequestId,
        generated: u32,
        commands: &mut Vec<Command>,
    ) {
        self.progress(request, generated);
        let Some(running) = self.release(request) else {
            return;
        };
        self.estimator.finished(&running.class, generated);
        let request = SuspectedRequest {
            fingerprint: running.fingerprint,
            parts: &running.parts,
        };
        self.record_success(now, request);
        self.drain_engine(now, &running.engine, commands);
    }

    pub(super) fn attempt_lost(
        &mut self,
        now: Now,
        request: &RequestId,
        engine_failed: bool,
        commands: &mut Vec<Command>,
    ) {
        let Some(running) = self.release(request) else {
            return;
        };
        if engine_failed {
            self.backend_failed(now, &running.engine);
        } else {
            self.drain_engine(now, &running.engine, commands);
        }
    }

    pub(super) fn closed(&mut self, request: &RequestId, workspace: &WorkspaceId) {
        self.release(request);
        self.known_good_requests.remove(request);
        for queue in self.queues.values_mut() {
            queue.remove(request);
        }
        if self.open_ids.remove(request) {
            self.admission.close(workspace);
        }
    }

    fn release(&mut self, request: &RequestId) -> Option<Running> {
        let running = self.running.remove(request)?;
        if let Some(view) = self.backends.view_mut(&running.engine) {
            view.end(request);
        }
        Some(running)
    }

    pub(super) fn backend_failed(&mut self, now: Now, backend: &str) {
        if let Some(view) = self.backends.view_mut(backend) {
            view.fail(now);
        }
    }

    pub(super) fn backend_answered(&mut self, now: Now, backend: &str) {
        if let Some(view) = self.backends.view_mut(backend) {
            view.answered(now);
        }
    }

    fn charge(&mut self, workspace: &Workspace, submission: &Submission) {
        let cost = self.cost(submission);
        if let Some(queue) = self.queues.get_mut(&submission.model) {
            queue.charge(&workspace.name, workspace.weight, cost);
        }
    }

    pub(super) fn cost(&self, submission: &Submission) -> f64 {
        let class = class_of(&submission.workspace, &submission.model);
        let further =
            self.estimator
                .remaining_quantile(&class, submission.generated, CHARGED_QUANTILE);
        f64::from(submission.prompt_tokens) + f64::from(further)
    }

    fn record_warm_prefix(&mut self, prefix: u64, engine: &BackendId) {
        if self.warm.len() >= MAX_WARM_PREFIXES {
            let mut index = 0;
            self.warm.retain(|_, _| {
                index += 1;
                index % 2 == 0
            });
        }
        self.warm.insert(prefix, engine.clone());
    }

    pub(super) fn workspace(&self, name: &str) -> Result<Workspace, Refusal> {
        let offer = self.config.in_force().ok_or_else(Refusal::not_ready)?;
        let workspace = offer.document.workspace(name);
        workspace.cloned().ok_or_else(Refusal::not_ready)
    }
}

fn class_of(workspace: &str, model: &str) -> String {
    format!("{workspace}/{model}")
}
