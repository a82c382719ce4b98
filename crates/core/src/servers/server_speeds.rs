//! Speed of backend servers, from the times that tokens and answers took.
//!
//! Each timing is kept beside the time that a usual server would have taken under the same load, so
//! that a crowded server doesn't count as slow, nor an idle one as fast. Instances advertise the
//! sums of both. The relative time of a server is the quotient of the sums of all instances, as a
//! multiple of the median of its service: a usual server is one with the median.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::IncarnationId;
use crate::Now;
use crate::ServerLife;
use crate::ServerSpeed;
use crate::SpeedChange;
use crate::SpeedClass;
use crate::SpeedSample;
use crate::servers::load_curve::LoadCurve;
use crate::servers::speed_class::SpeedClasses;

/// Half-life of the timings of a server: longer than the prompts of a burst hold up an engine, so
/// that its load isn't taken for its speed, and short enough for a lasting change to show within
/// seconds.
const SAMPLE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Half-life of the timings from which the time by load is learned. It belongs to the service and
/// changes slowly, and one instance times each server seldom.
const CURVE_HALF_LIFE: Duration = Duration::from_secs(30);

/// Expected time for which a server counts as usual beside its timings, in ms: single events come
/// late for other reasons than the speed of the server.
const USUAL_MS: f64 = 1_000.0;

/// Minimum expected time of the timings of a server that are advertised, in ms. Less than that
/// hardly moves the relative time beside [`USUAL_MS`], and would add to each heartbeat.
const MIN_ADVERTISED_MS: f64 = 500.0;

/// Expected time below which the timings of a server are dropped, in ms.
const MIN_KEPT_MS: f64 = 1.0;

/// Highest relative time: a single timing that took longer (a paused session) counts as this, and a
/// slower server would get no requests, by which its recovery would show.
const MAX_RELATIVE_TIME: f64 = 4.0;

/// Lowest relative time: the inverse of the highest.
const MIN_RELATIVE_TIME: f64 = 1.0 / MAX_RELATIVE_TIME;

/// Tokens or answers of one server that were timed.
#[derive(Clone, Copy, Debug)]
pub struct TimedUnits {
    /// Tokens (of an engine) or answers (of any other server).
    pub units: f64,
    /// Time that they took.
    pub took: Duration,
    /// Mean requests in flight at the server in that time, as a fraction of its slots.
    pub load: f64,
}

/// A listed server and its load.
#[derive(Clone, Debug)]
pub struct ServerLoad {
    /// The incarnation.
    pub server: ServerLife,
    /// Its service.
    pub service: String,
    /// Requests in flight there from all instances, as a fraction of its slots.
    pub load: f64,
}

/// Sums of the timings of one server by one or more instances.
#[derive(Clone, Copy, Debug, Default)]
struct TimedSums {
    measured_ms: f64,
    expected_ms: f64,
}

impl TimedSums {
    fn plus(self, other: TimedSums) -> TimedSums {
        TimedSums {
            measured_ms: self.measured_ms + other.measured_ms,
            expected_ms: self.expected_ms + other.expected_ms,
        }
    }

    fn ratio(self) -> f64 {
        (self.measured_ms + USUAL_MS) / (self.expected_ms + USUAL_MS)
    }

    fn sample(self) -> SpeedSample {
        SpeedSample {
            measured_ms: self.measured_ms.round() as u32,
            expected_ms: self.expected_ms.round() as u32,
        }
    }
}

impl From<SpeedSample> for TimedSums {
    fn from(sample: SpeedSample) -> Self {
        TimedSums {
            measured_ms: f64::from(sample.measured_ms),
            expected_ms: f64::from(sample.expected_ms),
        }
    }
}

/// A listed server with its timings.
struct TimedServer<'a> {
    listed: &'a ServerLoad,
    /// Timings of this instance.
    own: TimedSums,
    /// Sums of the timings of all other instances.
    peers: SpeedSample,
}

/// What was learned of one service.
#[derive(Clone, Debug, Default)]
struct ServiceTimes {
    curve: LoadCurve,
    prompt_ms: f64,
    prompt_tokens: f64,
}

/// Speed of the backend servers, as this instance knows it.
#[derive(Clone, Debug, Default)]
pub struct ServerSpeeds {
    services: BTreeMap<String, ServiceTimes>,
    own: BTreeMap<IncarnationId, TimedSums>,
    /// Relative times at the last update, before the tolerance.
    relative: BTreeMap<IncarnationId, f64>,
    loads: BTreeMap<IncarnationId, f64>,
    classes: SpeedClasses,
    tolerance: f64,
    updated_at: Now,
}

impl ServerSpeeds {
    /// Records tokens or answers of a server.
    pub fn record(&mut self, service: &str, server: IncarnationId, timed: &TimedUnits) {
        let measured_ms = timed.took.as_secs_f64() * 1_000.0;
        if timed.units <= 0.0 || measured_ms <= 0.0 {
            return;
        }
        let times = self.services.entry(service.to_owned()).or_default();
        let ms_per_unit = times.curve.ms_per_unit(timed.load);
        let mut capped_ms = measured_ms;
        if let Some(ms_per_unit) = ms_per_unit {
            let expected_ms = ms_per_unit * timed.units;
            capped_ms = measured_ms.min(expected_ms * MAX_RELATIVE_TIME);
            let sums = self.own.entry(server).or_default();
            sums.measured_ms += capped_ms;
            sums.expected_ms += expected_ms;
        }
        times
            .curve
            .record(server, timed.load, capped_ms / timed.units);
    }

    /// Records the time in which an engine read prompts.
    pub fn record_prompt(
        &mut self,
        service: &str,
        server: IncarnationId,
        tokens: u64,
        took: Duration,
    ) {
        let relative = self.relative_time(server);
        let times = self.services.entry(service.to_owned()).or_default();
        times.prompt_ms += took.as_secs_f64() * 1_000.0;
        times.prompt_tokens += tokens as f64 * relative;
    }

    /// Returns the requests in flight at a server as a fraction of its slots, at the last update.
    pub fn load(&self, server: IncarnationId) -> f64 {
        self.loads.get(&server).copied().unwrap_or_default()
    }

    /// Returns what is known of the speed of a server under a load.
    pub fn speed(&self, service: &str, server: IncarnationId, load: f64) -> ServerSpeed {
        let relative = self.relative_time(server);
        let times = self.services.get(service);
        let prompts = times.filter(|times| times.prompt_tokens > 0.0);
        ServerSpeed {
            relative_time: match SpeedClass::of(relative, self.tolerance) {
                SpeedClass::Usual => 1.0,
                SpeedClass::Slow | SpeedClass::Fast => relative,
            },
            ms_per_unit: times.and_then(|times| times.curve.ms_per_unit(load)),
            ms_per_prompt_token: prompts.map(|times| times.prompt_ms / times.prompt_tokens),
        }
    }

    /// Returns the timings of this instance that matter to others, of the `max_servers` servers
    /// that rank lowest. The rank must not depend on the timings: if the servers with the longest came
    /// first, those of fast servers, whose requests are short, would be left out.
    pub fn advertised(
        &self,
        max_servers: usize,
        rank: impl Fn(IncarnationId) -> u64,
    ) -> BTreeMap<IncarnationId, SpeedSample> {
        let own = self.own.iter();
        let mut matter: Vec<_> = own
            .filter(|(_, sums)| sums.expected_ms >= MIN_ADVERTISED_MS)
            .collect();
        matter.sort_by_key(|(life, _)| rank(**life));
        let matter = matter.into_iter().take(max_servers);
        matter.map(|(life, sums)| (*life, sums.sample())).collect()
    }

    /// Learns from the timings since the last update and those of the peers. Servers that are not
    /// listed are forgotten.
    pub fn update(
        &mut self,
        now: Now,
        listed: &[ServerLoad],
        peers: &BTreeMap<IncarnationId, SpeedSample>,
        tolerance: f64,
    ) {
        self.tolerance = tolerance;
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        let loads = listed
            .iter()
            .map(|listed| (listed.server.life, listed.load));
        self.loads = loads.collect();
        self.decay_own(elapsed);
        let timed = listed.iter().map(|listed| {
            let life = &listed.server.life;
            TimedServer {
                listed,
                own: self.own.get(life).copied().unwrap_or_default(),
                peers: peers.get(life).copied().unwrap_or_default(),
            }
        });
        let timed: Vec<TimedServer<'_>> = timed.collect();
        self.relative = relative_times(&timed);
        self.update_classes(now, &timed);
        self.learn(elapsed);
    }

    /// Takes the servers whose speed has begun or ceased to be usual.
    pub fn take_changes(&mut self) -> Vec<SpeedChange> {
        self.classes.take_changes()
    }

    /// Returns the relative times of all listed servers, before the tolerance.
    pub fn relative_times(&self) -> impl Iterator<Item = f64> {
        self.relative.values().copied()
    }

    /// Returns the number of servers that count as slow.
    pub fn count_slow(&self) -> usize {
        let is_slow =
            |relative: &f64| SpeedClass::of(*relative, self.tolerance) == SpeedClass::Slow;
        self.relative_times().filter(is_slow).count()
    }

    fn relative_time(&self, server: IncarnationId) -> f64 {
        self.relative.get(&server).copied().unwrap_or(1.0)
    }

    /// Reduces the weight of earlier timings, and drops those of servers that are not listed.
    fn decay_own(&mut self, elapsed: Duration) {
        let decay = decay(elapsed, SAMPLE_HALF_LIFE);
        let loads = &self.loads;
        self.own.retain(|life, sums| {
            sums.measured_ms *= decay;
            sums.expected_ms *= decay;
            sums.expected_ms >= MIN_KEPT_MS && loads.contains_key(life)
        });
    }

    fn update_classes(&mut self, now: Now, timed: &[TimedServer<'_>]) {
        for TimedServer { listed, own, peers } in timed {
            let relative = self.relative_time(listed.server.life);
            let inputs = (own.sample(), *peers);
            self.classes
                .update(now, &listed.server, relative, self.tolerance, inputs);
        }
        self.classes.retain(|life| self.loads.contains_key(&life));
    }

    fn learn(&mut self, elapsed: Duration) {
        let decay = decay(elapsed, CURVE_HALF_LIFE);
        let relative = &self.relative;
        for times in self.services.values_mut() {
            let relative_time = |life| relative.get(&life).copied().unwrap_or(1.0);
            times.curve.learn(decay, relative_time);
            times.prompt_ms *= decay;
            times.prompt_tokens *= decay;
        }
    }
}

/// Returns the relative times of the servers that were timed. They relate to the median of each
/// service: a mean would move with a single server that is very slow.
fn relative_times(timed: &[TimedServer<'_>]) -> BTreeMap<IncarnationId, f64> {
    let mut by_service: BTreeMap<&str, Vec<(IncarnationId, f64)>> = BTreeMap::new();
    for TimedServer { listed, own, peers } in timed {
        let sums = own.plus(TimedSums::from(*peers));
        if sums.expected_ms < MIN_KEPT_MS {
            continue;
        }
        let ratios = by_service.entry(listed.service.as_str()).or_default();
        ratios.push((listed.server.life, sums.ratio()));
    }
    let mut relative = BTreeMap::new();
    for mut ratios in by_service.into_values() {
        ratios.sort_by(|a, b| a.1.total_cmp(&b.1));
        let middle = (ratios[(ratios.len() - 1) / 2].1 + ratios[ratios.len() / 2].1) / 2.0;
        let clamp = |ratio: f64| (ratio / middle).clamp(MIN_RELATIVE_TIME, MAX_RELATIVE_TIME);
        relative.extend(ratios.iter().map(|(life, ratio)| (*life, clamp(*ratio))));
    }
    relative
}

fn decay(elapsed: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / half_life.as_secs_f64())
}
