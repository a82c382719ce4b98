//! Time per token or answer of the servers of one service, as a function of their load.
//!
//! Fast servers are given more requests, so that means over all servers at the same load would
//! compare the fast ones with themselves. The growth of the time with the load is therefore taken
//! from differences within each server, and the level from all servers.

use std::collections::BTreeMap;

use crate::IncarnationId;

/// Growth of the time from an idle to a full server that is assumed as long as few timings at
/// different loads are known: the same as in the cost of slots.
const ASSUMED_GROWTH: f64 = 0.5;

/// Weight of [`ASSUMED_GROWTH`], as a sum of squared differences in load: six timings that differ
/// from the mean by an eighth of the slots.
const ASSUMED_GROWTH_WEIGHT: f64 = 0.1;

/// Highest growth of the time from an idle to a full server. A larger one is an error of the
/// estimate: requests that are processed one after the other take this many times as long.
const MAX_GROWTH: f64 = 24.0;

/// Weight below which the timings of a server are dropped.
const MIN_WEIGHT: f64 = 0.05;

/// Sums over the timings of one server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerSums {
    weight: f64,
    load: f64,
    load_squared: f64,
    ms: f64,
    load_ms: f64,
}

impl ServerSums {
    fn scale(&mut self, factor: f64) {
        self.weight *= factor;
        self.load *= factor;
        self.load_squared *= factor;
        self.ms *= factor;
        self.load_ms *= factor;
    }

    /// Returns the sum of squared differences in load, and the sum of the products of differences
    /// in load and in time, the latter as a fraction of the server's mean time.
    fn differences(&self) -> (f64, f64) {
        let mean_ms = self.ms / self.weight;
        let load = self.load_squared - self.load * self.load / self.weight;
        let product = self.load_ms - self.load * mean_ms;
        (load.max(0.0), product / mean_ms)
    }
}

/// Line through the time by load.
#[derive(Clone, Copy, Debug)]
struct Line {
    /// Time at an idle server, in ms.
    idle_ms: f64,
    /// Fraction by which the time is longer at a full server.
    growth: f64,
}

/// Learned time per unit (token or answer) of a service by load. With a load of 1, all slots are in
/// use.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadCurve {
    servers: BTreeMap<IncarnationId, ServerSums>,
    line: Option<Line>,
}

impl LoadCurve {
    /// Records the time per unit, in ms, of a server under a load.
    pub(crate) fn record(&mut self, server: IncarnationId, load: f64, ms_per_unit: f64) {
        let sums = self.servers.entry(server).or_default();
        sums.weight += 1.0;
        sums.load += load;
        sums.load_squared += load * load;
        sums.ms += ms_per_unit;
        sums.load_ms += load * ms_per_unit;
    }

    /// Returns the time per unit, in ms, at a usual server under a load; `None` if nothing has been
    /// timed yet.
    pub(crate) fn ms_per_unit(&self, load: f64) -> Option<f64> {
        let line = self.line?;
        Some(line.idle_ms * (1.0 + line.growth * load))
    }

    /// Reduces the weight of earlier timings by `decay`, and learns from those that remain.
    /// `relative_time` returns the relative time of a server as known now: the level is that of a
    /// usual server, whichever servers this instance has timed.
    pub(crate) fn learn(&mut self, decay: f64, relative_time: impl Fn(IncarnationId) -> f64) {
        self.servers.retain(|_, sums| {
            sums.scale(decay);
            sums.weight >= MIN_WEIGHT && sums.ms > 0.0
        });
        if self.servers.is_empty() {
            // The last line is still the best guess.
            return;
        }
        let growth = self.growth();
        let ms: f64 = self.servers.values().map(|sums| sums.ms).sum();
        let idle = self
            .servers
            .iter()
            .map(|(server, sums)| relative_time(*server) * (sums.weight + growth * sums.load));
        self.line = Some(Line {
            idle_ms: ms / idle.sum::<f64>(),
            growth,
        });
    }

    fn growth(&self) -> f64 {
        let sums = self.servers.values();
        let weight: f64 = sums.clone().map(|sums| sums.weight).sum();
        let load: f64 = sums.clone().map(|sums| sums.load).sum();
        let mean_load = load / weight;
        let (mut squares, mut products) = (ASSUMED_GROWTH_WEIGHT, 0.0);
        products += ASSUMED_GROWTH_WEIGHT * ASSUMED_GROWTH / (1.0 + ASSUMED_GROWTH * mean_load);
        for (of_load, product) in sums.map(ServerSums::differences) {
            squares += of_load;
            products += product;
        }
        // The slope is a fraction of the time at the mean load, the growth one of the idle time.
        let slope = (products / squares).max(0.0);
        let idle = 1.0 - slope * mean_load;
        match idle > slope / MAX_GROWTH {
            true => slope / idle,
            false => MAX_GROWTH,
        }
    }
}
