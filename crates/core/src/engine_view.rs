//! What one instance believes about one backend server.

use std::collections::HashMap;
use std::time::Duration;

use crate::BackendServer;
use crate::LengthEstimator;
use crate::LoadReport;
use crate::Now;
use crate::RequestId;

/// Steps ahead at which memory is predicted, in tokens per session.
const HORIZONS: [u32; 6] = [0, 64, 256, 1_024, 4_096, 16_384];

/// Lag that reports are taken to have when they arrive.
const REPORT_LAG: Duration = Duration::from_millis(300);

/// First pause after a failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause of a backend server that keeps failing.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// A session of this instance on an engine.
#[derive(Clone, Debug)]
pub(crate) struct OwnSession {
    pub class: String,
    pub prompt_tokens: u32,
    pub generated: u32,
}

impl OwnSession {
    fn size(&self) -> f64 {
        f64::from(self.prompt_tokens) + f64::from(self.generated)
    }
}

/// Memory predicted for an engine, as a share of what it has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct MemoryForecast {
    /// Expected share at the worst horizon.
    pub expected: f64,
    /// Expected share plus the safety margin, at the worst horizon.
    pub guarded: f64,
}

/// Belief about one backend server, corrected by what was sent to it since its
/// last report.
#[derive(Clone, Debug)]
pub struct EngineView {
    pub(crate) server: BackendServer,
    pub(crate) report: Option<LoadReport>,
    reported_at: Now,
    own_at_report: (u32, f64),
    started_since: Vec<OwnSession>,
    pub(crate) sessions: HashMap<RequestId, OwnSession>,
    failures: u32,
    paused_until: Now,
}

impl EngineView {
    /// A backend server about which nothing is known yet.
    pub fn new(server: BackendServer) -> Self {
        EngineView {
            server,
            report: None,
            reported_at: Now::ZERO,
            own_at_report: (0, 0.0),
            started_since: Vec::new(),
            sessions: HashMap::new(),
            failures: 0,
            paused_until: Now::ZERO,
        }
    }

    /// Takes a newer report; a repeated sequence number refreshes nothing.
    pub(crate) fn take_report(&mut self, now: Now, report: LoadReport) {
        let repeated = self
            .report
            .as_ref()
            .is_some_and(|last| last.sequence == report.sequence);
        if repeated {
            return;
        }
        let own_tokens = self.sessions.values().map(OwnSession::size).sum();
        self.own_at_report = (self.own_sessions(), own_tokens);
        self.report = Some(report);
        self.reported_at = now;
        self.started_since.clear();
    }

    /// Counts a session of this instance.
    pub(crate) fn start(&mut self, request: RequestId, session: OwnSession) {
        self.started_since.push(session.clone());
        self.sessions.insert(request, session);
    }

    /// Notes a failure of a request or report; pauses the backend server with
    /// exponential backoff.
    pub(crate) fn fail(&mut self, now: Now) {
        let doublings = self.failures.min(5);
        let pause = FIRST_PAUSE * 2_u32.pow(doublings);
        self.failures += 1;
        self.paused_until = now + pause.min(LONGEST_PAUSE);
    }

    /// Notes success: the backend server counts as well again.
    pub(crate) fn succeed(&mut self) {
        self.failures = 0;
        self.paused_until = Now::ZERO;
    }

    /// Why no new work may go there now, if so.
    pub(crate) fn ruled_out(&self, now: Now) -> Option<&'static str> {
        if self.server.leaving {
            return Some("leaving by configuration");
        }
        if self.report.as_ref().is_some_and(|report| report.leaving) {
            return Some("leaving by its own notice");
        }
        if self.paused_until > now {
            return Some("paused after failures");
        }
        None
    }

    /// Whether it is on probation: the pause is over, and one request may try.
    pub(crate) fn on_probation(&self) -> bool {
        self.failures > 0
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
    /// added. `margin` counts standard deviations.
    pub(crate) fn forecast(
        &self,
        now: Now,
        estimator: &LengthEstimator,
        need: &OwnSession,
        sharers: u32,
        margin: f64,
    ) -> MemoryForecast {
        let Some(report) = &self.report else {
            return MemoryForecast::default();
        };
        let capacity = (report.memory_tokens as f64).max(1.0);
        let mut worst = MemoryForecast::default();
        for horizon in HORIZONS {
            let mut sum = MomentSum::default();
            for session in self.sessions.values().chain([need]) {
                sum.add_session(1.0, session, estimator, horizon);
            }
            // The others do as this instance: what it started since the report,
            // each of them started as well.
            let others = f64::from(sharers.saturating_sub(1));
            for session in &self.started_since {
                sum.add_session(others, session, estimator, horizon);
            }
            self.add_others(now, &mut sum, estimator, horizon, report);
            let expected = sum.mean / capacity;
            let guarded = (sum.mean + margin * sum.variance.sqrt()) / capacity;
            if guarded > worst.guarded {
                worst = MemoryForecast { expected, guarded };
            }
        }
        worst
    }

    /// Tokens that a session has grown by since the state that the report shows.
    fn steps_since_report(&self, now: Now, report: &LoadReport) -> f64 {
        let age = now.saturating_sub(self.reported_at) + REPORT_LAG;
        if report.step_ms > 0.0 {
            age.as_secs_f64() * 1e3 / report.step_ms
        } else {
            0.0
        }
    }

    fn add_others(
        &self,
        now: Now,
        sum: &mut MomentSum,
        estimator: &LengthEstimator,
        horizon: u32,
        report: &LoadReport,
    ) {
        let reported = f64::from(report.running + report.waiting);
        let others = reported - f64::from(self.own_at_report.0);
        let others_tokens = report.used_tokens as f64 - self.own_at_report.1;
        if others < 1.0 || others_tokens <= 0.0 {
            return;
        }
        let grown = self.steps_since_report(now, report);
        let mean_size = others_tokens / others + grown;
        let generated = (mean_size / 2.0) as u32;
        let survives = estimator.survival("", generated, horizon);
        sum.add(others, mean_size + f64::from(horizon), survives);
    }
}

/// Mean and variance of a sum of independent sessions that each take `size`
/// with probability `survives`.
#[derive(Default)]
struct MomentSum {
    mean: f64,
    variance: f64,
}

impl MomentSum {
    fn add_session(
        &mut self,
        count: f64,
        session: &OwnSession,
        estimator: &LengthEstimator,
        horizon: u32,
    ) {
        let survives = estimator.survival(&session.class, session.generated, horizon);
        self.add(count, session.size() + f64::from(horizon), survives);
    }

    fn add(&mut self, count: f64, size: f64, survives: f64) {
        self.mean += count * size * survives;
        self.variance += count * size * size * survives * (1.0 - survives);
    }
}
