//! Predicts the memory demand of sessions until they end.

use crate::LengthEstimator;

/// Prediction horizons, in further tokens per session.
const HORIZONS: [u32; 6] = [0, 64, 256, 1_024, 4_096, 16_384];

/// A session of this instance on an engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnSession {
    /// Class of the session in the length estimator.
    pub class: String,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Tokens generated, as last reported.
    pub generated: u32,
    /// Contribution of the session to the totals of its engine.
    pub counted: MemoryDemand,
}

impl OwnSession {
    /// Returns the current memory use in tokens.
    pub fn size(&self) -> f64 {
        f64::from(self.prompt_tokens) + f64::from(self.generated)
    }

    /// Returns the predicted memory demand.
    pub fn demand(&self, estimator: &LengthEstimator) -> MemoryDemand {
        MemoryDemand::of(estimator, &self.class, self.size(), self.generated)
    }
}

/// Predicted memory use of an engine, as a fraction of its capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct MemoryForecast {
    /// Expected fraction at the worst horizon.
    pub expected: f64,
    /// Expected fraction plus the safety margin, at the worst horizon.
    pub guarded: f64,
}

/// Mean and variance of the memory use of independent sessions, per horizon.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryDemand {
    mean: [f64; HORIZONS.len()],
    variance: [f64; HORIZONS.len()],
}

impl MemoryDemand {
    /// Returns the demand of one session. At each horizon it uses its current size plus the
    /// growth until then, provided that it is still running.
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

    /// Adds `other` `count` times; a negative count subtracts it.
    pub fn add(&mut self, other: &MemoryDemand, count: f64) {
        for place in 0..HORIZONS.len() {
            self.mean[place] += other.mean[place] * count;
            self.variance[place] += other.variance[place] * count;
        }
    }

    /// Returns the demand of `count` identical sessions.
    pub fn times(&self, count: f64) -> Self {
        let mut demand = MemoryDemand::default();
        demand.add(self, count);
        demand
    }

    /// Returns the fraction of `memory_tokens` in use at the horizon of highest use. `margin` is
    /// the safety margin in standard deviations.
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
