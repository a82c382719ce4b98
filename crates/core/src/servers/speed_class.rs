//! Classes of speed of backend servers, and the changes between them that are logged.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::IncarnationId;
use crate::Now;
use crate::ServerLife;
use crate::SpeedSample;

/// Minimum time between two reported changes of one server: one whose speed is near the tolerance
/// would otherwise be reported with each update.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Whether a server takes longer than a usual one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SpeedClass {
    /// As fast as usual, within the tolerance, or unknown.
    #[default]
    Usual,
    /// Takes longer.
    Slow,
    /// Takes less time.
    Fast,
}

impl SpeedClass {
    /// Returns the class of a relative time.
    pub fn of(relative_time: f64, tolerance: f64) -> SpeedClass {
        if relative_time > 1.0 + tolerance {
            SpeedClass::Slow
        } else if relative_time < 1.0 - tolerance {
            SpeedClass::Fast
        } else {
            SpeedClass::Usual
        }
    }

    /// Returns the name of the class in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            SpeedClass::Usual => "usual",
            SpeedClass::Slow => "slow",
            SpeedClass::Fast => "fast",
        }
    }
}

/// A change of the class of a server and its inputs.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    /// The server.
    pub server: ServerLife,
    /// Its class from now on.
    pub class: SpeedClass,
    /// Its relative time.
    pub relative_time: f64,
    /// Timings of this instance.
    pub own: SpeedSample,
    /// Sums of the timings of all other instances.
    pub peers: SpeedSample,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    class: SpeedClass,
    at: Now,
}

/// Last reported class of each server that is not usual or was not.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpeedClasses {
    reported: BTreeMap<IncarnationId, Reported>,
    changes: Vec<SpeedChange>,
}

impl SpeedClasses {
    /// Records the relative time of a server, from the timings of this instance and its peers.
    pub(crate) fn update(
        &mut self,
        now: Now,
        server: &ServerLife,
        relative_time: f64,
        tolerance: f64,
        (own, peers): (SpeedSample, SpeedSample),
    ) {
        let class = SpeedClass::of(relative_time, tolerance);
        let reported = self.reported.get(&server.life);
        let is_recent = |reported: &Reported| now.saturating_sub(reported.at) < MIN_REPORT_INTERVAL;
        if reported.map(|reported| reported.class).unwrap_or_default() == class
            || reported.is_some_and(is_recent)
        {
            return;
        }
        let update = Reported { class, at: now };
        self.reported.insert(server.life, update);
        self.changes.push(SpeedChange {
            server: server.clone(),
            class,
            relative_time,
            own,
            peers,
        });
    }

    /// Forgets the servers for which `is_listed` returns `false`.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(IncarnationId) -> bool) {
        self.reported.retain(|life, _| is_listed(*life));
    }

    /// Takes the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<SpeedChange> {
        std::mem::take(&mut self.changes)
    }
}
