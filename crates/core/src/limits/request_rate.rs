//! How often something may happen, as a number that can be compared and sent.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Thousandths in one.
const MILLI: f64 = 1e3;

/// Largest rate: above what any one server takes, so that a mistyped figure can't overflow a
/// sum.
const LARGEST_MILLI_PER_S: f64 = 1e9;

/// Requests a second, in thousandths.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestRate {
    milli_per_s: u64,
}

impl RequestRate {
    /// Nothing at all.
    pub const ZERO: RequestRate = RequestRate { milli_per_s: 0 };

    /// A rate; less than a thousandth counts as nothing, and so do negative rates.
    pub fn from_per_s(per_s: f64) -> RequestRate {
        let milli = (per_s * MILLI).clamp(0.0, LARGEST_MILLI_PER_S);
        RequestRate {
            milli_per_s: milli as u64,
        }
    }

    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.milli_per_s as f64 / MILLI
    }

    /// Whether it allows nothing.
    pub fn is_zero(self) -> bool {
        self.milli_per_s == 0
    }

    /// Time between two requests; `None` if there is no second one.
    pub fn spacing(self) -> Option<Duration> {
        (!self.is_zero()).then(|| Duration::from_secs_f64(1.0 / self.per_s()))
    }

    /// The sum of two rates.
    #[must_use]
    pub fn plus(self, other: RequestRate) -> RequestRate {
        RequestRate {
            milli_per_s: self.milli_per_s.saturating_add(other.milli_per_s),
        }
    }

    /// So many times as much.
    #[must_use]
    pub fn times(self, count: u32) -> RequestRate {
        RequestRate {
            milli_per_s: self.milli_per_s.saturating_mul(u64::from(count)),
        }
    }

    /// What is left after a rate that was added before is taken away.
    #[must_use]
    pub fn minus(self, other: RequestRate) -> RequestRate {
        RequestRate {
            milli_per_s: self.milli_per_s.saturating_sub(other.milli_per_s),
        }
    }
}
