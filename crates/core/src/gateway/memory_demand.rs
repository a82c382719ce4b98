//! Memory that sessions will need, predicted over their remaining lives.

use crate::LengthEstimator;

/// Steps ahead at which memory is predicted, in tokens per session.
const HORIZONS: [u32; 6] = [0, 64, 256, 1_024, 4_096, 16_384];

/// A session of this instance on an engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnSession {
    /// Class for the length estimate.
    pub class: String,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens generated, as last heard.
    pub generated: u32,
    /// Its part in the sums of its engine.
    pub counted: MemoryDemand,
}

impl OwnSession {
    /// Memory that it takes now, in tokens.
    pub fn size(&self) -> f64 {
        f64::from(self.prompt_tokens) + f64::from(self.generated)
    }

    /// Memory that it will need.
    pub fn demand(&self, estimator: &LengthEstimator) -> MemoryDemand {
        MemoryDemand::of(estimator, &self.class, self.size(), self.generated)
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

/// Mean and variance, by horizon, of the memory of independent sessions.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryDemand {
    mean: [f64; HORIZONS.len()],
    variance: [f64; HORIZONS.len()],
}

impl MemoryDemand {
    /// The demand of one session: at each horizon it holds its size and what it
    /// has grown by, if it is still alive by then.
    pub fn of(estimator: &LengthEstimator, class: &str, size: f64, generated: u32) -> Self {
        let mut demand = MemoryDemand::default();
        for (place, horizon) in HORIZONS.iter().enumerate() {
            let alive = estimator.survival(class, generated, *horizon);
            let grown = size + f64::from(*horizon);
            demand.mean[place] = grown * alive;
            demand.variance[place] = grown * grown * alive * (1.0 - alive);
        }
        demand
    }

    /// Adds another, `count` times; a negative count takes it away.
    pub fn add(&mut self, other: &MemoryDemand, count: f64) {
        for place in 0..HORIZONS.len() {
            self.mean[place] += other.mean[place] * count;
            self.variance[place] += other.variance[place] * count;
        }
    }

    /// The demand of `count` sessions alike.
    pub fn times(&self, count: f64) -> Self {
        let mut demand = MemoryDemand::default();
        demand.add(self, count);
        demand
    }

    /// The share of `memory_tokens` at the horizon at which it is scarcest.
    pub fn forecast(&self, memory_tokens: u64, margin: f64) -> MemoryForecast {
        let capacity = (memory_tokens as f64).max(1.0);
        let mut worst = MemoryForecast::default();
        for (mean, variance) in self.mean.iter().zip(&self.variance) {
            let guarded = (mean + margin * variance.max(0.0).sqrt()) / capacity;
            if guarded > worst.guarded {
                let expected = mean / capacity;
                worst = MemoryForecast { expected, guarded };
            }
        }
        worst
    }
}
