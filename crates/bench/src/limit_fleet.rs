//! Instances before one backend server that names a limit for all of them together, in
//! virtual time: what reaches it, by several ways to share the limit.

use std::time::Duration;

use iristhread_core::LimitParameters;
use iristhread_core::LimitShare;
use iristhread_core::Now;
use iristhread_core::RequestRate;
use rand_core::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;

const STEP: Duration = Duration::from_millis(5);

/// Span in which what reaches the server is counted.
const SPAN: Duration = Duration::from_secs(4);

/// Time from the naming of the limit from which it must be kept.
const KEPT_FROM: Duration = Duration::from_secs(3);

/// When trouble begins.
const TROUBLE_AT: Duration = Duration::from_secs(10);

/// Parts of the fleet that may not hear each other.
const HALVES: usize = 2;

/// Rise of what an instance wishes for that it tells at once.
const NEWS: f64 = 2.0;

/// Least time between two heartbeats.
const LEAST_BEAT: Duration = Duration::from_millis(100);

/// Of 100 heartbeats so many are lost.
const LOST_PERCENT: f64 = 2.0;

/// How a limit is shared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitWay {
    /// A token bucket with an equal part of the limit, full at first.
    EqualFull,
    /// The same, filled by chance at first.
    EqualByChance,
    /// A token bucket with a part by demand, filled by chance at first.
    BucketByDemand,
    /// Each wish is granted by chance, by the limit's part of all wishes.
    ByChance(LimitParameters),
    /// Each wish earns that part of a send.
    Earned(LimitParameters),
}

/// What happens after ten seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// So many times the requests, for ten seconds.
    Burst(f64),
    /// Two halves don't hear each other, to the end.
    Halves,
    /// A third of the instances start anew.
    Restarts,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct LimitTrial {
    /// Instances.
    pub instances: usize,
    /// One in this many of them has requests.
    pub asking_one_in: usize,
    /// The limit, requests a second.
    pub limit_per_s: f64,
    /// Requests a second that want the server.
    pub wanted_per_s: f64,
    /// What happens.
    pub trouble: Trouble,
    /// Whether a wish that changes much is told at once.
    pub tells_news: bool,
    /// How long it lasts.
    pub time: Duration,
}

/// What a run led to.
#[derive(Clone, Copy, Debug)]
pub struct LimitOutcome {
    /// Most that reached the server within four seconds.
    pub most: usize,
    /// Part of what it would have taken of what was wanted.
    pub used: f64,
}

struct Instance {
    share: LimitShare,
    bucket: f64,
    filled_at: Now,
    beats_at: Now,
    beat_at: Now,
    told_per_s: f64,
}

/// A fleet before one server.
pub struct LimitFleet {
    trial: LimitTrial,
    way: LimitWay,
    random: Pcg32,
    now: Now,
    instances: Vec<Instance>,
    /// What each instance told last, as each half knows it.
    told: [Vec<f64>; HALVES],
    /// Heartbeats on their way: when they arrive, whose, and what they tell.
    beats: Vec<(Now, usize, f64)>,
    sent: Vec<Now>,
    wished: f64,
}

impl LimitTrial {
    /// What the server may get in the span: half as much again, and five.
    pub fn allowed(&self) -> usize {
        (1.5 * self.limit_per_s * SPAN.as_secs_f64()) as usize + 5
    }

    /// Time between two heartbeats, and until one is known everywhere.
    fn beat(&self) -> (Duration, Duration) {
        let own_zone = self.instances.min(100) as u32;
        let beat = (Duration::from_millis(12) * own_zone)
            .clamp(Duration::from_millis(200), Duration::from_secs(1));
        match self.instances > 32 {
            true => (beat, Duration::from_millis(400)),
            false => (beat, Duration::from_millis(20)),
        }
    }

    fn wanted_at(&self, now: Now) -> f64 {
        match self.trouble {
            Trouble::Burst(factor) if now >= TROUBLE_AT && now < TROUBLE_AT * 2 => {
                self.wanted_per_s * factor
            }
            _ => self.wanted_per_s,
        }
    }
}

impl LimitWay {
    fn terms(self) -> LimitParameters {
        match self {
            LimitWay::ByChance(terms) | LimitWay::Earned(terms) => terms,
            _ => LimitParameters::default(),
        }
    }
}

impl LimitFleet {
    /// Plays a run.
    pub fn play(trial: LimitTrial, way: LimitWay, seed: u64) -> LimitOutcome {
        let mut random = Pcg32::seed_from_u64(seed);
        let (beat, _) = trial.beat();
        let count = trial.instances;
        let instances = (0..count).map(|_| Instance {
            share: LimitShare::new(Now::ZERO, way.terms(), draw(&mut random)),
            bucket: match way {
                LimitWay::EqualFull => 1.0,
                _ => draw(&mut random),
            },
            filled_at: Now::ZERO,
            beats_at: beat.mul_f64(draw(&mut random)),
            beat_at: Now::ZERO,
            told_per_s: 0.0,
        });
        let instances = instances.collect();
        let mut fleet = LimitFleet {
            trial,
            way,
            now: Now::ZERO,
            instances,
            told: std::array::from_fn(|_| vec![0.0; count]),
            beats: Vec::new(),
            sent: Vec::new(),
            wished: 0.0,
            random,
        };
        while fleet.now < trial.time {
            fleet.step();
        }
        fleet.outcome()
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.trial.trouble == Trouble::Restarts && self.now == TROUBLE_AT {
            self.restart_a_third();
        }
        self.tell();
        let mut wanted = self.trial.wanted_at(self.now) * STEP.as_secs_f64();
        while draw(&mut self.random) < wanted.min(1.0) {
            wanted -= 1.0;
            self.request_grant();
        }
    }

    fn restart_a_third(&mut self) {
        let terms = self.way.terms();
        for number in (0..self.instances.len()).step_by(3) {
            let earned = draw(&mut self.random);
            let instance = &mut self.instances[number];
            instance.share = LimitShare::new(self.now, terms, earned);
            instance.bucket = earned;
            instance.filled_at = self.now;
        }
    }

    fn tell(&mut self) {
        let (beat, way) = self.trial.beat();
        for number in 0..self.instances.len() {
            let instance = &mut self.instances[number];
            let wanted = instance.share.wanted(self.now).per_s();
            let is_news = self.trial.tells_news && wanted > instance.told_per_s * NEWS;
            let may_tell = self.now.saturating_sub(instance.beat_at) >= LEAST_BEAT;
            if self.now < instance.beats_at && !(is_news && may_tell) {
                continue;
            }
            instance.beats_at = self.now + beat;
            instance.beat_at = self.now;
            instance.told_per_s = wanted;
            let is_lost = draw(&mut self.random) < LOST_PERCENT / 100.0;
            if !is_lost {
                self.beats.push((self.now + way, number, wanted));
            }
        }
        let (now, is_cut) = (self.now, self.is_cut());
        let (arrived, waiting) = self.beats.drain(..).partition(|(at, _, _)| *at <= now);
        self.beats = waiting;
        let arrived: Vec<(Now, usize, f64)> = arrived;
        for (_, number, told) in arrived {
            for half in 0..HALVES {
                if !is_cut || half == number % HALVES {
                    self.told[half][number] = told;
                }
            }
        }
    }

    fn is_cut(&self) -> bool {
        self.trial.trouble == Trouble::Halves && self.now >= TROUBLE_AT
    }

    /// A request of one of those who ask wants the server.
    fn request_grant(&mut self) {
        let asking = self.trial.instances.div_ceil(self.trial.asking_one_in);
        let place = (draw(&mut self.random) * asking as f64) as usize;
        let number = place * self.trial.asking_one_in % self.trial.instances;
        if self.now >= KEPT_FROM {
            self.wished += 1.0;
        }
        if self.is_granted(number) {
            self.sent.push(self.now);
        }
    }

    fn is_granted(&mut self, number: usize) -> bool {
        let now = self.now;
        let limit = RequestRate::from_per_s(self.trial.limit_per_s);
        let told = &self.told[number % HALVES];
        let others = told.iter().sum::<f64>() - told[number];
        let others = RequestRate::from_per_s(others);
        let chance = draw(&mut self.random);
        let count = self.trial.instances as f64;
        let instance = &mut self.instances[number];
        let part = instance.share.part(now, limit, others);
        let own = instance.share.wanted(now).per_s();
        let granted = instance.share.request_grant(now, limit, others);
        let share = match self.way {
            LimitWay::Earned(_) => return granted,
            LimitWay::ByChance(_) => return chance < part,
            LimitWay::EqualFull | LimitWay::EqualByChance => limit.per_s() / count,
            LimitWay::BucketByDemand => {
                limit.per_s() * (own / (own + others.per_s()).max(f64::MIN_POSITIVE))
            }
        };
        let filled = now.saturating_sub(instance.filled_at).as_secs_f64() * share;
        instance.filled_at = now;
        instance.bucket = (instance.bucket + filled).min(share.max(1.0));
        let granted = instance.bucket >= 1.0;
        if granted {
            instance.bucket -= 1.0;
        }
        granted
    }

    fn outcome(&self) -> LimitOutcome {
        let sent: Vec<Now> = self
            .sent
            .iter()
            .copied()
            .filter(|at| *at >= KEPT_FROM)
            .collect();
        let mut first = 0;
        let mut most = 0;
        for (last, at) in sent.iter().enumerate() {
            while at.saturating_sub(sent[first]) >= SPAN {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        let time = self.trial.time.saturating_sub(KEPT_FROM).as_secs_f64();
        let could = self.wished.min(self.trial.limit_per_s * time).max(1.0);
        LimitOutcome {
            most,
            used: sent.len() as f64 / could,
        }
    }
}

/// A number from 0 to 1.
fn draw(random: &mut Pcg32) -> f64 {
    f64::from(random.next_u32()) / (f64::from(u32::MAX) + 1.0)
}
