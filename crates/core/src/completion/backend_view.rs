//! What one instance believes about one backend server.

use std::collections::HashMap;
use std::time::Duration;

use crate::BackendServer;
use crate::FailurePause;
use crate::LengthEstimator;
use crate::LoadReport;
use crate::MemoryDemand;
use crate::MemoryForecast;
use crate::Now;
use crate::OwnSession;
use crate::RequestId;
use crate::RoutingContext;
use crate::ServerNotice;
use crate::ServerRest;

/// Lag that reports are taken to have when they arrive.
const REPORT_LAG: Duration = Duration::from_millis(300);

/// Stands for the class of sessions about which only their number is known.
const ANY_CLASS: &str = "";

/// Belief about one backend server, corrected by what was sent to it since its
/// last report.
#[derive(Clone, Debug)]
pub struct BackendView {
    pub(crate) server: BackendServer,
    pub(crate) report: Option<LoadReport>,
    reported_at: Now,
    own_at_report: (u32, f64),
    own: MemoryDemand,
    started_since: MemoryDemand,
    sessions: HashMap<RequestId, OwnSession>,
    failure_backoff: FailurePause,
    /// The rest that it asked for, until it has taken work again.
    backoff: Option<ServerRest>,
    /// Whether one of its answers said that it leaves.
    notice_draining: bool,
}

impl BackendView {
    /// A backend server about which nothing is known yet.
    pub fn new(server: BackendServer) -> Self {
        BackendView {
            server,
            report: None,
            reported_at: Now::ZERO,
            own_at_report: (0, 0.0),
            own: MemoryDemand::default(),
            started_since: MemoryDemand::default(),
            sessions: HashMap::new(),
            failure_backoff: FailurePause::default(),
            backoff: None,
            notice_draining: false,
        }
    }

    /// Takes a newer report; a repeated sequence number refreshes nothing. Returns whether
    /// it is the first of another life.
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
            // It counts its reports from its start: what the life before said is void.
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

    /// Sums up anew: the estimator has learnt, and rounding errors add up.
    fn refresh(&mut self, estimator: &LengthEstimator) {
        self.own = MemoryDemand::default();
        for session in self.sessions.values_mut() {
            session.counted = session.demand(estimator);
            self.own.add(&session.counted, 1.0);
        }
    }

    /// Counts a session of this instance.
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

    /// Notes how far a session is.
    pub(crate) fn progress(
        &mut self,
        request: &RequestId,
        generated: u32,
        estimator: &LengthEstimator,
    ) {
        self.backoff.take_if(|backoff| backoff.is_over_by(request));
        if let Some(session) = self.sessions.get_mut(request) {
            self.own.add(&session.counted, -1.0);
            session.generated = generated;
            session.counted = session.demand(estimator);
            self.own.add(&session.counted, 1.0);
        }
    }

    /// Counts a session no longer.
    pub(crate) fn end(&mut self, request: &RequestId) {
        if let Some(backoff) = &mut self.backoff {
            backoff.gone(request);
        }
        if let Some(session) = self.sessions.remove(request) {
            self.own.add(&session.counted, -1.0);
        }
    }

    /// Notes a failure of a request or report; pauses the backend server with
    /// exponential backoff.
    pub(crate) fn fail(&mut self, now: Now) {
        self.failure_backoff.fail(now);
    }

    /// Notes success: the backend server counts as well again.
    pub(crate) fn succeed(&mut self) {
        self.failure_backoff.succeed();
    }

    /// Notes what one of its answers said of it.
    pub(crate) fn observe_notice(&mut self, now: Now, notice: &ServerNotice) {
        self.notice_draining |= notice.is_leaving;
        if let Some(time) = notice.rest() {
            let backoff = self.backoff.get_or_insert_default();
            backoff.asked(now, time);
        }
    }

    /// Notes that it answered a call: it takes work, unless it asked for rest since.
    pub(crate) fn answered(&mut self, now: Now) {
        self.failure_backoff.succeed();
        self.backoff.take_if(|backoff| backoff.is_over(now));
    }

    /// Whether a call may be sent now; the first one after a rest tries it.
    pub(crate) fn may_call(&mut self, now: Now, request: &RequestId) -> bool {
        if self.is_draining() || !self.backoff_allows_send(now) {
            return false;
        }
        if let Some(backoff) = &mut self.backoff {
            backoff.sent(now, request);
        }
        true
    }

    /// Whether it leaves, by whatever word.
    pub(crate) fn is_draining(&self) -> bool {
        let reported = self.report.as_ref().is_some_and(|report| report.leaving);
        self.server.leaving || reported || self.notice_draining
    }

    /// How much longer it rests, if it does.
    pub(crate) fn backoff_left(&self, now: Now) -> Option<Duration> {
        let left = self.backoff.as_ref().map(|backoff| backoff.left(now));
        left.filter(|left| !left.is_zero())
    }

    fn backoff_allows_send(&self, now: Now) -> bool {
        self.backoff
            .as_ref()
            .is_none_or(|backoff| backoff.may_send(now))
    }

    /// Why no new work may go there now, if so.
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
        if self.failure_backoff.is_paused(now) {
            return Some("paused after failures");
        }
        None
    }

    /// Whether it is on probation: the pause is over, and one request may try.
    pub(crate) fn on_probation(&self) -> bool {
        self.failure_backoff.on_probation()
    }

    /// Sessions of this instance there.
    pub(crate) fn own_sessions(&self) -> u32 {
        u32::try_from(self.sessions.len()).unwrap_or(u32::MAX)
    }

    /// Sessions of all instances there, as far as known: the report, corrected
    /// by own starts and ends since. Others are taken to do as this instance.
    pub(crate) fn sessions_of_all(&self, sharers: u32) -> f64 {
        let Some(report) = &self.report else {
            return f64::from(self.own_sessions() * sharers);
        };
        let reported = f64::from(report.running + report.waiting);
        let others = (reported - f64::from(self.own_at_report.0)).max(0.0);
        others + f64::from(self.own_sessions())
    }

    /// Time of one decoding step as reported, milliseconds.
    pub(crate) fn step_ms(&self) -> f64 {
        self.report.as_ref().map_or(0.0, |report| report.step_ms)
    }

    /// Sessions waiting inside the engine as reported.
    pub(crate) fn waiting(&self) -> u32 {
        self.report.as_ref().map_or(0, |report| report.waiting)
    }

    /// Predicts memory at the horizon at which it is scarcest, with `need`
    /// added. `margin` counts standard deviations. The cost does not depend on
    /// the number of sessions: their sums are kept up to date.
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
        // The others do as this instance: what it started since the report,
        // each of them started as well.
        let others = f64::from(context.sharers.saturating_sub(1));
        sum.add(&self.started_since, others);
        sum.add(&self.others(context.now, context.estimator, report), 1.0);
        sum.forecast(report.memory_tokens, margin)
    }

    /// Sessions of other instances, as the report shows them, grown since.
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

    /// Tokens that a session has grown by since the state that the report shows.
    fn steps_since_report(&self, now: Now, report: &LoadReport) -> f64 {
        let age = now.saturating_sub(self.reported_at) + REPORT_LAG;
        if report.step_ms <= 0.0 {
            return 0.0;
        }
        age.as_secs_f64() * 1e3 / report.step_ms
    }
}
