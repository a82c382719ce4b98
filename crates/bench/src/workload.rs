//! Open arrivals of the two deployments, by seed.

use std::time::Duration;

use iristhread_core::Workspace;
use rand_core::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;

/// Shape of the tail of lengths (log-logistic): smaller is heavier.
const TAIL_SHAPE: f64 = 1.8;

const LONGEST_TOKENS: f64 = 4_000.0;

/// Sessions drawn for the estimate of capacity.
const CAPACITY_SAMPLE: usize = 20_000;

/// One of the users' deployments.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    /// The Serra utility: 15 engines.
    Serra,
    /// Legnofilo: 12 engines.
    Legnofilo,
}

impl Deployment {
    /// Model engines.
    pub fn engines(self) -> usize {
        match self {
            Deployment::Serra => 15,
            Deployment::Legnofilo => 12,
        }
    }
}

/// One request to come.
#[derive(Clone, Debug)]
pub struct Session {
    /// When it arrives.
    pub at: Duration,
    /// Place of its workspace in the list.
    pub workspace: usize,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens of its answer; nobody knows them beforehand.
    pub length: u32,
    /// What it is worth when answered whole and on time.
    pub worth: f64,
}

/// Ten workspaces, a few of them large, with lengths of a heavy tail.
#[derive(Clone, Debug)]
pub struct Workload {
    random: Pcg32,
    shares: Vec<f64>,
    medians: Vec<f64>,
    worths: Vec<f64>,
}

impl Workload {
    /// A workload of a deployment.
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        let medians = match deployment {
            Deployment::Serra => vec![
                160.0, 220.0, 120.0, 90.0, 90.0, 160.0, 220.0, 60.0, 60.0, 90.0,
            ],
            Deployment::Legnofilo => {
                vec![60.0, 80.0, 400.0, 60.0, 60.0, 40.0, 80.0, 60.0, 40.0, 300.0]
            }
        };
        Workload {
            random: Pcg32::seed_from_u64(seed),
            shares: vec![0.3, 0.2, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05],
            medians,
            worths: vec![2.0, 1.0, 1.0, 5.0, 1.0, 3.0, 1.0, 1.0, 2.0, 1.0],
        }
    }

    /// The workspaces as a configuration declares them: weights follow shares.
    pub fn workspaces(&self) -> Vec<Workspace> {
        let workspace = |(number, share): (usize, &f64)| Workspace {
            name: format!("w{number}"),
            weight: (share * 100.0) as u32,
            priority: 0,
            max_open_requests: 10_000,
            max_requests_per_s: 10_000,
            key_hashes: Vec::new(),
        };
        self.shares.iter().enumerate().map(workspace).collect()
    }

    /// Arrivals at `rate` a second over `span`, Poisson.
    pub fn arrivals(&mut self, rate: f64, span: Duration) -> Vec<Session> {
        let mut sessions = Vec::new();
        let mut at_s = 0.0;
        while at_s < span.as_secs_f64() {
            at_s += -self.fraction().max(1e-12).ln() / rate;
            sessions.push(self.session(Duration::from_secs_f64(at_s)));
        }
        sessions
    }

    /// Requests a second that fill this much memory all the time: each holds
    /// its prompt and a growing answer for as many steps as it has tokens.
    pub fn capacity_per_s(&self, memory_tokens: f64, step: Duration) -> f64 {
        let mut sample = self.clone();
        let mut held = 0.0;
        for _ in 0..CAPACITY_SAMPLE {
            let session = sample.session(Duration::ZERO);
            let (prompt, length) = (f64::from(session.prompt_tokens), f64::from(session.length));
            held += prompt * length + length * length / 2.0;
        }
        let mean_held = held / CAPACITY_SAMPLE as f64;
        memory_tokens / (mean_held * step.as_secs_f64())
    }

    fn session(&mut self, at: Duration) -> Session {
        let workspace = self.draw_workspace();
        let odds = {
            let share = self.fraction();
            share / (1.0 - share).max(1e-9)
        };
        let length = self.medians[workspace] * odds.powf(1.0 / TAIL_SHAPE);
        Session {
            at,
            workspace,
            prompt_tokens: 40 + self.random.next_u32() % 200,
            length: length.clamp(1.0, LONGEST_TOKENS) as u32,
            worth: self.worths[workspace],
        }
    }

    fn draw_workspace(&mut self) -> usize {
        let mut left = self.fraction();
        for (number, share) in self.shares.iter().enumerate() {
            left -= share;
            if left <= 0.0 {
                return number;
            }
        }
        0
    }

    fn fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }
}
