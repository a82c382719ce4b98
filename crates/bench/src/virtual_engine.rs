//! A small fake of an engine at the interface of `iristhread-core`, stepped in
//! virtual time. No network and no platform.

use std::collections::VecDeque;
use std::time::Duration;

use iristhread_core::LoadReport;

/// Prompt tokens read in one step.
const PREFILL_PER_STEP: u32 = 512;

/// Sessions decoded at once.
const MAX_BATCH: usize = 256;

/// What one step did to a session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineEventKind {
    /// A token.
    Token,
    /// The last token.
    End,
    /// Displaced from memory.
    Preempted,
}

#[derive(Clone, Debug)]
struct Running {
    id: usize,
    prompt: u32,
    generated: u32,
    length: u32,
    prefill_left: u32,
}

impl Running {
    fn size(&self) -> u64 {
        u64::from(self.prompt + self.generated)
    }
}

/// Continuous batching with memory that can run out in the middle.
#[derive(Clone, Debug)]
pub struct VirtualEngine {
    /// Memory for generations, in tokens.
    pub memory_tokens: u64,
    running: Vec<Running>,
    waiting: VecDeque<Running>,
    reports: VecDeque<(Duration, LoadReport)>,
    sequence: u64,
    used: u64,
}

impl VirtualEngine {
    /// An idle engine.
    pub fn new(memory_tokens: u64) -> Self {
        VirtualEngine {
            memory_tokens,
            running: Vec::new(),
            waiting: VecDeque::new(),
            reports: VecDeque::new(),
            sequence: 0,
            used: 0,
        }
    }

    /// Takes a session.
    pub fn start(&mut self, id: usize, prompt: u32, generated: u32, length: u32) {
        self.waiting.push_back(Running {
            id,
            prompt,
            generated,
            length,
            prefill_left: 0,
        });
    }

    /// One decoding step; tells what happened to each session.
    pub fn step(
        &mut self,
        now: Duration,
        step: Duration,
        events: &mut Vec<(usize, EngineEventKind)>,
    ) {
        self.admit();
        let mut ended = false;
        for session in &mut self.running {
            if session.prefill_left > 0 {
                session.prefill_left = session.prefill_left.saturating_sub(PREFILL_PER_STEP);
                continue;
            }
            session.generated += 1;
            self.used += 1;
            let is_last = session.generated >= session.length;
            ended |= is_last;
            let kind = if is_last {
                EngineEventKind::End
            } else {
                EngineEventKind::Token
            };
            events.push((session.id, kind));
        }
        if ended {
            self.running
                .retain(|session| session.generated < session.length);
            self.used = self.running.iter().map(Running::size).sum();
        }
        self.give_way(events);
        self.report(now, step);
    }

    /// The newest report that is at least `lag` old.
    pub fn load(&self, now: Duration, lag: Duration) -> Option<LoadReport> {
        let old_enough = |(at, _): &&(Duration, LoadReport)| now.saturating_sub(*at) >= lag;
        let found = self.reports.iter().rev().find(old_enough);
        found.map(|(_, report)| report.clone())
    }

    /// Ids of all sessions.
    pub fn sessions(&self) -> Vec<usize> {
        let all = self.running.iter().chain(&self.waiting);
        all.map(|session| session.id).collect()
    }

    fn admit(&mut self) {
        while let Some(next) = self.waiting.front() {
            let fits = self.used + next.size() < self.memory_tokens;
            let has_room = self.running.len() < MAX_BATCH && (fits || self.running.is_empty());
            if !has_room {
                return;
            }
            if let Some(mut session) = self.waiting.pop_front() {
                session.prefill_left = session.prompt + session.generated;
                self.used += session.size();
                self.running.push(session);
            }
        }
    }

    /// The session that came last gives way and starts its reading anew.
    fn give_way(&mut self, events: &mut Vec<(usize, EngineEventKind)>) {
        while self.used > self.memory_tokens && self.running.len() > 1 {
            if let Some(victim) = self.running.pop() {
                self.used -= victim.size();
                events.push((victim.id, EngineEventKind::Preempted));
                self.waiting.push_front(victim);
            }
        }
    }

    fn report(&mut self, now: Duration, step: Duration) {
        self.sequence += 1;
        let report = LoadReport {
            sequence: self.sequence,
            memory_tokens: self.memory_tokens,
            used_tokens: self.used,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            step_ms: step.as_secs_f64() * 1e3,
            ..LoadReport::default()
        };
        self.reports.push_back((now, report));
        while self
            .reports
            .front()
            .is_some_and(|(at, _)| now.saturating_sub(*at) > Duration::from_secs(1))
        {
            self.reports.pop_front();
        }
    }
}
