//! The decisions of several instances over fakes of engines, in virtual time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use iristhread_core::Command;
use iristhread_core::Control;
use iristhread_core::Event;
use iristhread_core::RoutingPolicy;
use iristhread_core::Submission;

use crate::figures::Figures;
use crate::figures::SessionStory;
use crate::policy_fleet::MODEL;
use crate::policy_fleet::control;
use crate::policy_fleet::document;
use crate::policy_fleet::engine_name;
use crate::policy_fleet::entry;
use crate::virtual_engine::EngineEventKind;
use crate::virtual_engine::VirtualEngine;
use crate::workload::Deployment;
use crate::workload::Session;
use crate::workload::Workload;

const INSTANCES: usize = 6;

/// Time of one decoding step.
const STEP: Duration = Duration::from_millis(25);

/// Memory of one engine.
const MEMORY_TOKENS: u64 = 8_000;

/// Lag of load reports, and the time between two looks at them.
const REPORT_LAG: Duration = Duration::from_millis(300);
const REPORT_EVERY: u32 = 20;

/// Steps between two ticks of the decisions.
const TICK_EVERY: u32 = 2;

/// Tokens between two progress events.
const PROGRESS_EVERY: u32 = 32;

/// Longest wait for a start.
const DEADLINE: Duration = Duration::from_secs(5);

/// Time after the last arrival in which sessions may end.
const DRAIN: Duration = Duration::from_secs(60);

/// Sessions that arrive before this are not counted: the estimator and the
/// engines fill up first.
const WARM_UP: Duration = Duration::from_secs(30);

/// How long lost engines stay away.
pub const OUTAGE: Duration = Duration::from_secs(20);

/// One run to make.
#[derive(Clone, Copy, Debug)]
pub struct Trial {
    /// Whose workload.
    pub deployment: Deployment,
    /// How engines are chosen.
    pub policy: RoutingPolicy,
    /// Offered load as a share of capacity.
    pub load: f64,
    /// Span of arrivals.
    pub span: Duration,
    /// Seed of arrivals and decisions.
    pub seed: u64,
    /// Engines that die at the middle of the span and are back, empty, after
    /// [`OUTAGE`].
    pub engines_lost: usize,
}

struct Live {
    session: Session,
    instance: usize,
    generated: u32,
    last: Duration,
    story: SessionStory,
    attempt: u32,
}

/// One run.
pub struct PolicyWorld {
    trial: Trial,
    now: Duration,
    step_count: u32,
    controls: Vec<Control>,
    engines: Vec<VirtualEngine>,
    /// Lost engines are the first ones, until this time.
    down_until: Duration,
    names: HashMap<String, usize>,
    live: HashMap<usize, Live>,
    figures: Figures,
    served_by_second: Vec<f64>,
}

impl PolicyWorld {
    /// Sets a run up.
    pub fn new(trial: Trial) -> Self {
        let workload = Workload::new(trial.deployment, trial.seed);
        let engines = trial.deployment.engines();
        let document = Arc::new(document(&workload, engines));
        let mut controls: Vec<Control> = (0..INSTANCES)
            .map(|number| control(number, trial.policy, trial.seed))
            .collect();
        for control in &mut controls {
            let offered = Event::ConfigOffered {
                version: 1,
                document: document.clone(),
                source: "platform".to_owned(),
            };
            control.handle(Duration::ZERO, 0, offered);
            let entries = (0..INSTANCES).map(entry).collect();
            control.handle(
                Duration::ZERO,
                0,
                Event::InstanceListOffered {
                    version: 1,
                    entries,
                },
            );
        }
        let names = (0..engines).map(|number| (engine_name(number), number));
        PolicyWorld {
            now: Duration::ZERO,
            step_count: 0,
            controls,
            engines: vec![VirtualEngine::new(MEMORY_TOKENS); engines],
            down_until: Duration::ZERO,
            names: names.collect(),
            live: HashMap::new(),
            figures: Figures::new(workload.workspaces().len()),
            served_by_second: Vec::new(),
            trial,
        }
    }

    /// Requests a second that fill all engines.
    pub fn capacity_per_s(deployment: Deployment) -> f64 {
        let memory = MEMORY_TOKENS as f64 * deployment.engines() as f64;
        Workload::new(deployment, 1).capacity_per_s(memory, STEP)
    }

    /// Makes the run; its figures, and the worth served in each second.
    pub fn run(mut self) -> (Figures, Vec<f64>) {
        let rate = Self::capacity_per_s(self.trial.deployment) * self.trial.load;
        let mut workload = Workload::new(self.trial.deployment, self.trial.seed);
        let arrivals = workload.arrivals(rate, self.trial.span);
        let mut arrivals = arrivals.into_iter().enumerate().peekable();
        let end = self.trial.span + DRAIN;
        while self.now < end {
            self.now += STEP;
            self.step_count += 1;
            while let Some((id, session)) = arrivals.next_if(|(_, session)| session.at <= self.now)
            {
                self.arrive(id, session);
            }
            self.lose_engines();
            self.step_engines();
            self.tell_controls();
        }
        let left: Vec<usize> = self.live.keys().copied().collect();
        left.into_iter().for_each(|id| self.finish(id));
        (self.figures, self.served_by_second)
    }

    fn arrive(&mut self, id: usize, session: Session) {
        let instance = id % INSTANCES;
        let live = Live {
            instance,
            generated: 0,
            last: session.at,
            story: SessionStory::default(),
            attempt: 1,
            session,
        };
        self.live.insert(id, live);
        self.submit(id);
    }

    fn submit(&mut self, id: usize) {
        let Some(live) = self.live.get(&id) else {
            return;
        };
        let submission = Submission {
            request: id.to_string(),
            workspace: format!("w{}", live.session.workspace),
            model: MODEL.to_owned(),
            prompt_tokens: live.session.prompt_tokens,
            prefix: live.session.workspace as u64,
            generated: live.generated,
            deadline: self.now + DEADLINE,
            attempt: live.attempt,
            delivering: live.generated > 0,
            ..Submission::default()
        };
        let instance = live.instance;
        self.decide(instance, Event::Submit(submission));
    }

    fn decide(&mut self, instance: usize, event: Event) {
        let commands = self.controls[instance].handle(self.now, 0, event);
        for command in commands {
            match command {
                Command::Start { request, placement } => {
                    let id: usize = request.parse().unwrap_or_default();
                    let engine = self.names[&placement.engine];
                    self.start(id, engine);
                }
                Command::Refuse { request, .. } => {
                    self.figures.refused += 1;
                    self.finish(request.parse().unwrap_or_default());
                }
                _ => {}
            }
        }
    }

    fn is_down(&self, engine: usize) -> bool {
        engine < self.trial.engines_lost && self.now < self.down_until
    }

    fn start(&mut self, id: usize, engine: usize) {
        if self.is_down(engine) {
            return self.move_on(id);
        }
        if let Some(live) = self.live.get(&id) {
            let (prompt, length) = (live.session.prompt_tokens, live.session.length);
            self.engines[engine].start(id, prompt, live.generated, length);
        }
    }

    fn step_engines(&mut self) {
        let mut events = Vec::new();
        for engine in &mut self.engines {
            engine.step(self.now, STEP, &mut events);
        }
        for (id, kind) in events {
            match kind {
                EngineEventKind::Token => self.token(id),
                EngineEventKind::Preempted => self.figures.preemptions += 1,
                EngineEventKind::End => {
                    self.token(id);
                    self.end(id);
                }
            }
        }
    }

    fn token(&mut self, id: usize) {
        let Some(live) = self.live.get_mut(&id) else {
            return;
        };
        let gap = self.now.saturating_sub(live.last);
        live.last = self.now;
        live.generated += 1;
        if live.generated == 1 {
            live.story.start = Some(self.now.saturating_sub(live.session.at));
        } else {
            live.story.gap(gap);
            self.figures.gap(gap);
        }
        if live.generated == 1 || live.generated.is_multiple_of(PROGRESS_EVERY) {
            let (instance, generated) = (live.instance, live.generated);
            let request = id.to_string();
            self.decide(instance, Event::Progress { request, generated });
        }
    }

    fn end(&mut self, id: usize) {
        let Some(live) = self.live.get_mut(&id) else {
            return;
        };
        live.story.is_whole = true;
        let (instance, generated) = (live.instance, live.generated);
        let request = id.to_string();
        self.decide(instance, Event::AttemptFinished { request, generated });
        self.finish(id);
    }

    fn finish(&mut self, id: usize) {
        let Some(live) = self.live.remove(&id) else {
            return;
        };
        let workspace = format!("w{}", live.session.workspace);
        let request = id.to_string();
        if live.session.at >= WARM_UP {
            let before = self.figures.served_worth();
            let (place, worth) = (live.session.workspace, live.session.worth);
            self.figures.add(place, worth, &live.story);
            let second = self.now.as_secs() as usize;
            if self.served_by_second.len() <= second {
                self.served_by_second.resize(second + 1, 0.0);
            }
            self.served_by_second[second] += self.figures.served_worth() - before;
        }
        self.decide(live.instance, Event::Closed { request, workspace });
    }

    fn tell_controls(&mut self) {
        if self.step_count.is_multiple_of(REPORT_EVERY) {
            for engine in 0..self.engines.len() {
                self.tell_report(engine);
            }
        }
        if self.step_count.is_multiple_of(TICK_EVERY) {
            (0..INSTANCES).for_each(|instance| self.decide(instance, Event::Tick));
        }
    }

    fn tell_report(&mut self, engine: usize) {
        if self.is_down(engine) {
            for instance in 0..INSTANCES {
                let backend = engine_name(engine);
                self.decide(instance, Event::BackendFailed { backend });
            }
            return;
        }
        let Some(report) = self.engines[engine].load(self.now, REPORT_LAG) else {
            return;
        };
        for instance in 0..INSTANCES {
            let report = report.clone();
            let backend = engine_name(engine);
            self.decide(instance, Event::Report { backend, report });
        }
    }

    /// Engines that die lose their sessions; each goes on elsewhere.
    fn lose_engines(&mut self) {
        let middle = self.trial.span / 2;
        if self.now < middle || self.now >= middle + STEP {
            return;
        }
        self.down_until = self.now + OUTAGE;
        for engine in 0..self.trial.engines_lost {
            let fresh = VirtualEngine::new(MEMORY_TOKENS);
            let dead = std::mem::replace(&mut self.engines[engine], fresh);
            for id in dead.sessions() {
                self.move_on(id);
            }
        }
    }

    fn move_on(&mut self, id: usize) {
        let Some(live) = self.live.get_mut(&id) else {
            return;
        };
        live.attempt += 1;
        let instance = live.instance;
        let request = id.to_string();
        self.decide(
            instance,
            Event::AttemptLost {
                request,
                engine_failed: true,
            },
        );
        self.submit(id);
    }
}
