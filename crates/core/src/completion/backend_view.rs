//! State of one backend server as seen by one instance.

use std::collections::HashMap;
use std::time::Duration;

use crate::BackendServer;
use crate::FailureBackoff;
use crate::LengthEstimator;
use crate::LoadReport;
use crate::MemoryDemand;
use crate::MemoryForecast;
use crate::Now;
use crate::OwnSession;
use crate::RequestId;
use crate::RoutingContext;
use crate::ServerBackoff;
use crate::ServerNotice;

/// Assumed age of a load report when it arrives.
const REPORT_LAG: Duration = Duration::from_millis(300);

/// Class of sessions of which only the number is known.
const ANY_CLASS: &str = "";

/// Estimated state of one backend server: its last load report, corrected by the requests that
/// this instance has sent to it since.
#[derive(Clone, Debug)]
pub struct BackendView {
    pub(crate) server: BackendServer,
    pub(crate) report: Option<LoadReport>,
    reported_at: Now,
    own_at_report: (u32, f64),
    own: MemoryDemand,
    started_since: MemoryDemand,
    sessions: HashMap<RequestId, OwnSession>,
    failure_backoff: FailureBackoff,
    /// Backoff that the server asked for, until it accepts work again.
    backoff: Option<ServerBackoff>,
    /// Whether a server notice said that the server is draining.
    notice_draining: bool,
}

impl BackendView {
    /// Creates the view of a backend server that has not reported yet.
    pub fn new(server: BackendServer) -> Self {
        BackendView {
            server,
            report: None,
            reported_at: Now::ZERO,
            own_at_report: (0, 0.0),
            own: MemoryDemand::default(),
            started_since: MemoryDemand::default(),
            sessions: HashMap::new(),
            failure_backoff: FailureBackoff::default(),
            backoff: None,
            notice_draining: false,
        }
    }

    /// Applies a load report; a report with a repeated sequence number is ignored. Returns
    /// whether it is the first one of a new incarnation.
    pub(crate) fn take_report(
        &mut self,
        now: Now,
        report: LoadReport,
        estimator: &LengthEstimator,
    ) -> bool {
        let repeated = self
            .report
            .as_ref()
            .is_some_and(|last| last.sequence == report.sequence);
        if repeated {
            return false;
        }
        let is_new_incarnation = self
            .report
            .as_ref()
            .is_some_and(|last| report.sequence < last.sequence);
        if is_new_incarnation {
            // A server counts its reports from its start, so a lower number means a new
            // incarnation. Notices of the previous one no longer apply.
            self.backoff = None;
            self.notice_draining = false;
        }
        let own_tokens = self.sessions.values().map(OwnSession::size).sum();
        self.own_at_report = (self.own_sessions(), own_tokens);
        self.report = Some(report);
        self.reported_at = now;
        self.started_since = MemoryDemand::default();
        self.refresh(estimator);
        is_new_incarnation
    }

    /// Recomputes the demand of all sessions, because the estimates change as the estimator learns
    /// and the running sum accumulates rounding errors.
    fn refresh(&mut self, estimator: &LengthEstimator) {
        self.own = MemoryDemand::default();
        for session in self.sessions.values_mut() {
            session.counted = session.demand(estimator);
            self.own.add(&session.counted, 1.0);
        }
    }

    /// Adds a session of this instance.
    pub(crate) fn start(
        &mut self,
        now: Now,
        request: RequestId,
        mut session: OwnSession,
        estimator: &LengthEstimator,
    ) {
        session.counted = session.demand(estimator);
        self.own.add(&session.counted, 1.0);
        self.started_since.add(&session.counted, 1.0);
        self.end(&request);
        if let Some(backoff) = &mut self.backoff {
            backoff.sent(now, &request);
        }
        self.sessions.insert(request, session);
    }

    /// Records the number of tokens that a session has generated.
    pub(crate) fn progress(
        &mut self,
        request: &RequestId,
        generated: u32,
        estimator: &LengthEstimator,
    ) {
        self.backoff.take_if(|backoff| backoff.is_ended_by(request));
        if let Some(session) = self.sessions.get_mut(request) {
            self.own.add(&session.counted, -1.0);
            session.generated = generated;
            session.counted = session.demand(estimator);
            self.own.add(&session.counted, 1.0);
        }
    }

    /// Removes a session.
    pub(crate) fn end(&mut self, request: &RequestId) {
        if let Some(backoff) = &mut self.backoff {
            backoff.gone(request);
        }
        if let Some(session) = self.sessions.remove(request) {
            self.own.add(&session.counted, -1.0);
        }
    }

    /// Records a failed request or report and starts or extends the exponential backoff.
    pub(crate) fn fail(&mut self, now: Now) {
        self.failure_backoff.fail(now);
    }

    /// Records a success, which ends the backoff after failures.
    pub(crate) fn succeed(&mut self) {
        self.failure_backoff.succeed();
    }

    /// Applies a server notice from one of the server's answers.
    pub(crate) fn observe_notice(&mut self, now: Now, notice: &ServerNotice) {
        self.notice_draining |= notice.is_leaving;
        if let Some(time) = notice.rest() {
            let backoff = self.backoff.get_or_insert_default();
            backoff.asked(now, time);
        }
    }

    /// Records an answered call: the server accepts work, unless it has asked for a backoff since.
    pub(crate) fn answered(&mut self, now: Now) {
        self.failure_backoff.succeed();
        self.backoff.take_if(|backoff| backoff.is_over(now));
    }

    /// Returns whether a call may be sent now, and if so counts it as sent. The first call after a
    /// backoff is the trial request.
    pub(crate) fn may_call(&mut self, now: Now, request: &RequestId) -> bool {
        if self.is_draining() || !self.backoff_allows_send(now) {
            return false;
        }
        if let Some(backoff) = &mut self.backoff {
            backoff.sent(now, request);
        }
        true
    }

    /// Whether the server is draining according to the configuration, its load report or a notice.
    pub(crate) fn is_draining(&self) -> bool {
        let reported = self.report.as_ref().is_some_and(|report| report.leaving);
        self.server.leaving || reported || self.notice_draining
    }

    /// Remaining time of the backoff that the server asked for, if any.
    pub(crate) fn backoff_left(&self, now: Now) -> Option<Duration> {
        let left = self.backoff.as_ref().map(|backoff| backoff.left(now));
        left.filter(|left| !left.is_zero())
    }

    fn backoff_allows_send(&self, now: Now) -> bool {
        self.backoff
            .as_ref()
            .is_none_or(|backoff| backoff.may_send(now))
    }

    /// Returns why the server can't take new work now, or `None` if it can.
    pub(crate) fn ruled_out(&self, now: Now) -> Option<&'static str> {
        if self.server.leaving {
            return Some("leaving by configuration");
        }
        if self.is_draining() {
            return Some("leaving by its own notice");
        }
        if !self.backoff_allows_send(now) {
            return Some("resting at its own request");
        }
        if self.failure_backoff.is_backing_off(now) {
            return Some("paused after failures");
        }
        None
    }

    /// Whether the server is on probation: the backoff after failures is over, and one trial
    /// request is allowed.
    pub(crate) fn on_probation(&self) -> bool {
        self.failure_backoff.on_probation()
    }

    /// Number of sessions that this instance runs on the server.
    pub(crate) fn own_sessions(&self) -> u32 {
        u32::try_from(self.sessions.len()).unwrap_or(u32::MAX)
    }

    /// Estimated number of sessions of all instances on the server: the reported number, corrected
    /// by the sessions that this instance has started and ended since. Without a report, the
    /// other instances are assumed to run as many sessions as this one.
    pub(crate) fn sessions_of_all(&self, sharers: u32) -> f64 {
        let Some(report) = &self.report else {
            return f64::from(self.own_sessions() * sharers);
        };
        let reported = f64::from(report.running + report.waiting);
        let others = (reported - f64::from(self.own_at_report.0)).max(0.0);
        others + f64::from(self.own_sessions())
    }

    /// Reported duration of one decoding step in milliseconds; 0 without a report.
    pub(crate) fn step_ms(&self) -> f64 {
        self.report.as_ref().map_or(0.0, |report| report.step_ms)
    }

    /// Reported number of sessions that wait inside the engine; 0 without a report.
    pub(crate) fn waiting(&self) -> u32 {
        self.report.as_ref().map_or(0, |report| report.waiting)
    }

    /// Predicts the memory use with `need` added, at the horizon at which memory is scarcest.
    /// `margin` is a number of standard deviations. The cost does not depend on the number of
    /// sessions, because their sums are maintained incrementally.
    pub(crate) fn forecast(
        &self,
        context: &RoutingContext<'_>,
        need: &OwnSession,
        margin: f64,
    ) -> MemoryForecast {
        let Some(report) = &self.report else {
            return MemoryForecast::default();
        };
        let mut sum = self.own.clone();
        sum.add(&need.demand(context.estimator), 1.0);
        // The other instances are assumed to have started as many sessions since the report as
        // this one.
        let others = f64::from(context.sharers.saturating_sub(1));
        sum.add(&self.started_since, others);
        sum.add(&self.others(context.now, context.estimator, report), 1.0);
        sum.forecast(report.memory_tokens, margin)
    }

    /// Demand of the sessions of other instances: the reported sessions, with the tokens that they
    /// have generated since.
    fn others(&self, now: Now, estimator: &LengthEstimator, report: &LoadReport) -> MemoryDemand {
        let reported = f64::from(report.running + report.waiting);
        let count = reported - f64::from(self.own_at_report.0);
        let tokens = report.used_tokens as f64 - self.own_at_report.1;
        if count < 1.0 || tokens <= 0.0 {
            return MemoryDemand::default();
        }
        let size = tokens / count + self.steps_since_report(now, report);
        let generated = (size / 2.0) as u32;
        MemoryDemand::of(estimator, ANY_CLASS, size, generated).times(count)
    }

    /// Estimated number of tokens that a session has generated since the report was taken.
    fn steps_since_report(&self, now: Now, report: &LoadReport) -> f64 {
        let age = now.saturating_sub(self.reported_at) + REPORT_LAG;
        if report.step_ms <= 0.0 {
            return 0.0;
        }
        age.as_secs_f64() * 1e3 / report.step_ms
    }
}
