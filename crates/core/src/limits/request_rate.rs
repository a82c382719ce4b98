//! A request rate that can be compared and serialized.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Thousandths per unit.
const MILLI: f64 = 1e3;

/// Upper bound of a rate (1,000,000 requests per second): more than any one server accepts, and
/// low enough that a mistyped number cannot overflow a sum.
const MAX_MILLI_PER_S: f64 = 1e9;

/// Requests per second, stored in thousandths.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestRate {
    milli_per_s: u64,
}

impl RequestRate {
    /// A rate that permits no requests.
    pub const ZERO: RequestRate = RequestRate { milli_per_s: 0 };

    /// Creates a rate from requests per second. Rates below a thousandth and negative rates become
    /// zero.
    pub fn from_per_s(per_s: f64) -> RequestRate {
        let milli = (per_s * MILLI).clamp(0.0, MAX_MILLI_PER_S);
        RequestRate {
            milli_per_s: milli as u64,
        }
    }

    /// Requests per second.
    pub fn per_s(self) -> f64 {
        self.milli_per_s as f64 / MILLI
    }

    /// Whether the rate permits no requests.
    pub fn is_zero(self) -> bool {
        self.milli_per_s == 0
    }

    /// Time between two requests; `None` if the rate is zero.
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

    /// The rate multiplied by `count`.
    #[must_use]
    pub fn times(self, count: u32) -> RequestRate {
        RequestRate {
            milli_per_s: self.milli_per_s.saturating_mul(u64::from(count)),
        }
    }

    /// The rate less `other`, at least zero.
    #[must_use]
    pub fn minus(self, other: RequestRate) -> RequestRate {
        RequestRate {
            milli_per_s: self.milli_per_s.saturating_sub(other.milli_per_s),
        }
    }
}
