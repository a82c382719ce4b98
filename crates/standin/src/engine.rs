//! The engine stand-in: continuous batching with a memory limit. Memory can run out during
//! decoding; sessions are then preempted.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use iristhread_api::EngineFaults;
use iristhread_api::FencedOrder;
use iristhread_api::GenerateRequest;
use iristhread_core::LoadReport;

use crate::engine_session::EngineSession;
use crate::engine_session::SessionState;
use crate::engine_settings::EngineSettings;
use crate::prefix_cache::PrefixCache;

/// Time for which a finished session stays readable without a reader.
const FINISHED_SESSION_RETENTION: Duration = Duration::from_secs(30);

/// Generation id and attempt number.
pub type SessionKey = (String, u32);

/// State of one engine. A step generates one token for each running session, or reads a part of
/// its prompt.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) faults: EngineFaults,
    pub(crate) sessions: BTreeMap<SessionKey, EngineSession>,
    cache: PrefixCache,
    reports: VecDeque<(Instant, LoadReport)>,
    orders: u64,
    preemptions: u64,
    sequence: u64,
    highest_fence: u64,
    adapters: Vec<String>,
    /// Number of requests received for new sessions and for the load.
    pub(crate) arrivals: u64,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(settings: EngineSettings) -> Self {
        Engine {
            cache: PrefixCache::new(settings.cache_tokens),
            settings,
            faults: EngineFaults::default(),
            sessions: BTreeMap::new(),
            reports: VecDeque::new(),
            orders: 0,
            preemptions: 0,
            sequence: 0,
            highest_fence: 0,
            adapters: Vec::new(),
            arrivals: 0,
        }
    }

    /// Starts a session, or takes over the existing one for the reader of this request.
    pub fn start(&mut self, request: GenerateRequest, now: Instant) -> SessionKey {
        let key = (request.generation.clone(), request.attempt);
        self.orders += 1;
        let order = self.orders;
        let reader = request.reader.clone();
        let session = self
            .sessions
            .entry(key.clone())
            .or_insert_with(|| EngineSession::new(request, order, now));
        session.reader = reader;
        key
    }

    /// Cancels a session; returns `false` if it is gone or a newer reader has attached.
    pub fn cancel(&mut self, key: &SessionKey, reader: &str) -> bool {
        let Some(session) = self.sessions.get_mut(key) else {
            return false;
        };
        if session.reader != reader {
            return false;
        }
        session.state = SessionState::Cancelled;
        true
    }

    /// Applies an order. Returns `false` if the engine checks fences and the order's fence is lower
    /// than one seen before.
    pub fn apply_order(&mut self, order: FencedOrder) -> bool {
        if self.settings.checks_fences && order.fence < self.highest_fence {
            return false;
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        self.adapters = order.adapters;
        true
    }

    /// Runs one decoding step; does nothing under the `stall` fault.
    pub fn step(&mut self, now: Instant) {
        if self.faults.stall {
            return;
        }
        self.admit();
        for session in self.sessions.values_mut() {
            if session.state == SessionState::Running {
                session.step(self.settings.prefill_per_step);
            }
        }
        self.preempt_until_fits();
        self.drop_expired(now);
        self.report(now);
    }

    /// Tokens of the longest session, for the fault that exits at a token count.
    pub fn longest(&self) -> u32 {
        let lengths = self.sessions.values().map(EngineSession::generated);
        lengths.max().unwrap_or(0)
    }

    /// Whether a session with this prompt is running, for the fault that exits under a prompt.
    pub fn is_running_prompt(&self, prompt: &str) -> bool {
        let mut sessions = self.sessions.values();
        sessions.any(|s| s.state == SessionState::Running && s.request.prompt == prompt)
    }

    /// The newest load report that is at least `report_lag` old, else the oldest one.
    pub fn load(&self, now: Instant) -> LoadReport {
        let old_enough = |(at, _): &&(Instant, LoadReport)| now - *at >= self.settings.report_lag;
        let found = self.reports.iter().rev().find(old_enough);
        let oldest = self.reports.front();
        let mut report = found.or(oldest).map(|(_, r)| r.clone()).unwrap_or_default();
        report.leaving = self.faults.leaving;
        report
    }

    fn running(&self) -> impl Iterator<Item = &EngineSession> {
        let running = |s: &&EngineSession| s.state == SessionState::Running;
        self.sessions.values().filter(running)
    }

    fn used(&self) -> u64 {
        self.running().map(EngineSession::size).sum()
    }

    /// Admits waiting sessions by priority, then in order of arrival, up to the first that finds no
    /// room in the batch or in memory. An idle engine admits one session whatever its size.
    fn admit(&mut self) {
        let waiting = |s: &&mut EngineSession| s.state == SessionState::Waiting;
        let mut used = self.used();
        let running = self.running().count();
        let mut queue: Vec<&mut EngineSession> =
            self.sessions.values_mut().filter(waiting).collect();
        queue.sort_by_key(|session| (u8::MAX - session.request.priority, session.order));
        for (running, session) in (running..).zip(queue) {
            let fits = used + session.size() < self.settings.memory_tokens;
            if running >= self.settings.max_batch || !(fits || running == 0) {
                return;
            }
            let cached = self.cache.touch(&session.request.prompt);
            let size = u32::try_from(session.size()).unwrap_or(u32::MAX);
            session.prefill_left = size.saturating_sub(cached);
            session.state = SessionState::Running;
            used += session.size();
        }
    }

    /// Preempts sessions until the others fit into memory: lowest priority first, then the
    /// latest arrival. The last running session is never preempted.
    fn preempt_until_fits(&mut self) {
        while self.used() > self.settings.memory_tokens && self.running().count() > 1 {
            let victim = self
                .sessions
                .values_mut()
                .filter(|session| session.state == SessionState::Running)
                .min_by_key(|session| (session.request.priority, u64::MAX - session.order));
            let Some(victim) = victim else {
                return;
            };
            victim.state = SessionState::Waiting;
            victim.preemptions += 1;
            self.preemptions += 1;
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        let orphan_grace = self.settings.orphan_grace;
        self.sessions.retain(|_, session| {
            let idle = now - session.idle_since;
            let grace = match session.state {
                SessionState::Waiting | SessionState::Running => orphan_grace,
                SessionState::Done(_) | SessionState::Cancelled => FINISHED_SESSION_RETENTION,
            };
            session.readers > 0 || idle < grace
        });
    }

    fn report(&mut self, now: Instant) {
        if self.faults.freeze_reports {
            return;
        }
        self.sequence += 1;
        let waiting = |s: &&EngineSession| s.state == SessionState::Waiting;
        let report = LoadReport {
            sequence: self.sequence,
            memory_tokens: self.settings.memory_tokens,
            used_tokens: self.used(),
            running: u32::try_from(self.running().count()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.sessions.values().filter(waiting).count())
                .unwrap_or(u32::MAX),
            step_ms: self.settings.step.as_secs_f64() * 1e3,
            preemptions: self.preemptions,
            leaving: false,
            adapters: self.adapters.clone(),
        };
        self.reports.push_back((now, report));
        let keep = self.settings.report_lag * 2;
        while self.reports.front().is_some_and(|(at, _)| now - *at > keep) {
            self.reports.pop_front();
        }
    }
}
