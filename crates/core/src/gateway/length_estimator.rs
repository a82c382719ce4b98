//! Online estimate of the remaining length of a generation.

use std::collections::HashMap;

/// Ratio between the bounds of adjacent buckets.
const BUCKET_RATIO: f64 = 1.25;

/// Number of buckets; the last bound is above 10 million tokens.
const BUCKETS: usize = 73;

/// Number of finished generations after which the weight of older ones is halved.
const HALF_LIFE: f64 = 2_000.0;

/// Weight of the shared histogram, in samples, when it is mixed with that of a class.
const PRIOR_WEIGHT: f64 = 20.0;

/// Mean length in tokens that is assumed until a generation has finished.
const INITIAL_MEAN_TOKENS: f64 = 256.0;

/// Distribution of generation lengths per class (workspace and model). A shared distribution
/// serves as the prior for classes with few samples.
#[derive(Debug, Default)]
pub struct LengthEstimator {
    shared: Histogram,
    classes: HashMap<String, Histogram>,
}

impl LengthEstimator {
    /// Records the length of a finished generation.
    pub fn finished(&mut self, class: &str, tokens: u32) {
        self.shared.add(tokens);
        if !self.classes.contains_key(class) {
            self.classes.insert(class.to_owned(), Histogram::default());
        }
        if let Some(histogram) = self.classes.get_mut(class) {
            histogram.add(tokens);
        }
    }

    /// Returns the probability that a generation with `generated` tokens so far produces more
    /// than `further` additional tokens.
    pub fn survival(&self, class: &str, generated: u32, further: u32) -> f64 {
        let now = self.above(class, f64::from(generated));
        let then = self.above(class, f64::from(generated) + f64::from(further));
        if now <= 0.0 {
            return exponential(f64::from(further));
        }
        (then / now).min(1.0)
    }

    /// Returns quantile `q` of the remaining length in tokens.
    pub fn remaining_quantile(&self, class: &str, generated: u32, q: f64) -> u32 {
        let mut low = 0_u32;
        let mut high = bucket_bound(BUCKETS - 1) as u32;
        while low < high {
            let middle = low + (high - low) / 2;
            if self.survival(class, generated, middle) <= 1.0 - q {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        low
    }

    /// Removes the classes for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.classes.retain(|class, _| keep(class));
    }

    fn above(&self, class: &str, tokens: f64) -> f64 {
        let shared = self.shared.share_above(tokens);
        let Some(own) = self.classes.get(class) else {
            return shared;
        };
        let weight = own.total() / (own.total() + PRIOR_WEIGHT);
        weight * own.share_above(tokens) + (1.0 - weight) * shared
    }
}

fn exponential(tokens: f64) -> f64 {
    (-tokens / INITIAL_MEAN_TOKENS).exp()
}

/// Sample counts, stored per bucket as the sum from that bucket to the last, so that a lookup
/// takes constant time regardless of the number of buckets.
#[derive(Debug)]
struct Histogram {
    from: [f64; BUCKETS + 1],
}

impl Default for Histogram {
    fn default() -> Self {
        Histogram {
            from: [0.0; BUCKETS + 1],
        }
    }
}

impl Histogram {
    fn total(&self) -> f64 {
        self.from[0]
    }

    fn add(&mut self, tokens: u32) {
        for sum in &mut self.from[..=bucket_of(tokens)] {
            *sum += 1.0;
        }
        if self.total() >= HALF_LIFE * 2.0 {
            self.halve();
        }
    }

    fn halve(&mut self) {
        for sum in &mut self.from {
            *sum /= 2.0;
        }
    }

    fn share_above(&self, tokens: f64) -> f64 {
        if self.total() <= 0.0 {
            return exponential(tokens);
        }
        let bucket = bucket_of(tokens as u32);
        let beyond = self.from[bucket + 1];
        let within = self.from[bucket] - beyond;
        let low = if bucket == 0 {
            0.0
        } else {
            bucket_bound(bucket - 1)
        };
        let high = bucket_bound(bucket);
        let left = ((high - tokens) / (high - low)).clamp(0.0, 1.0);
        (beyond + left * within) / self.total()
    }
}

fn bucket_bound(bucket: usize) -> f64 {
    let exponent = i32::try_from(bucket).unwrap_or(i32::MAX);
    BUCKET_RATIO.powi(exponent)
}

fn bucket_of(tokens: u32) -> usize {
    if tokens == 0 {
        return 0;
    }
    let exponent = f64::from(tokens).ln() / BUCKET_RATIO.ln();
    (exponent.ceil().max(0.0) as usize).min(BUCKETS - 1)
}
