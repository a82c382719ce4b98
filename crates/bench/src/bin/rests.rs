//! Ways to keep to the rest that servers ask for, on a model of instances before one service:
//! what reaches servers that rest, how many calls are refused, and how many arrive in the
//! first moment after a rest of all. Prints a table for docs/design/0014.

use std::collections::VecDeque;
use std::time::Duration;

use iristhread_core::Now;
use iristhread_core::ServerBackoff;
use rand_core::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;

const INSTANCES: usize = 9;
const SERVERS: usize = 3;
const SECONDS: u64 = 30;
const SEEDS: u64 = 20;
const STEP: Duration = Duration::from_millis(5);
const STEPS_PER_S: u64 = 200;

/// Calls that a server works on at once, and that it queues beyond.
const SLOTS: usize = 6;
const QUEUE: usize = 4;
const WORK: Duration = Duration::from_millis(60);

/// Rest that a server asks for.
const REST: Duration = Duration::from_secs(3);

/// Time until the others hear of it.
const HEARD_AFTER: Duration = Duration::from_millis(200);

/// How long a caller takes part: it comes back once, when it is told to within this.
const PATIENCE: Duration = Duration::from_secs(6);

/// Time to come back where nobody said one.
const COME_BACK: Duration = Duration::from_millis(300);

/// Time after a rest whose arrivals are counted.
const MOMENT: Duration = Duration::from_millis(50);

/// When the servers that are sick turn everything away.
const SICK: std::ops::Range<u64> = 5..14;

#[derive(Clone, Copy)]
struct Way {
    name: &'static str,
    heeds: bool,
    tries_first: bool,
    /// Part of a rest over which callers are spread after it.
    spread: f64,
    tells_others: bool,
}

const WAYS: [Way; 12] = [
    Way::new("nobody listens (as it stood)", false, false, 0.0, false),
    Way::new("own rests", true, false, 0.0, false),
    Way::new("own, one tries first", true, true, 0.0, false),
    Way::new("own, callers spread by 0.25", true, false, 0.25, false),
    Way::new(
        "own, one tries first, spread by 0.25",
        true,
        true,
        0.25,
        false,
    ),
    Way::new("own, callers spread by 0.5", true, false, 0.5, false),
    Way::new(
        "own, one tries first, spread by 0.5",
        true,
        true,
        0.5,
        false,
    ),
    Way::new("own, callers spread by 1.0", true, false, 1.0, false),
    Way::new(
        "own, one tries first, spread by 1.0",
        true,
        true,
        1.0,
        false,
    ),
    Way::new("own, callers spread by 2.0", true, false, 2.0, false),
    Way::new(
        "own, one tries first, spread by 2.0",
        true,
        true,
        2.0,
        false,
    ),
    Way::new(
        "others told, one tries first, spread by 1.0",
        true,
        true,
        1.0,
        true,
    ),
];

impl Way {
    const fn new(
        name: &'static str,
        heeds: bool,
        tries_first: bool,
        spread: f64,
        tells_others: bool,
    ) -> Way {
        Way {
            name,
            heeds,
            tries_first,
            spread,
            tells_others,
        }
    }
}

/// A call that arrives at an instance.
#[derive(Clone, Debug)]
struct Call {
    id: String,
    at: Now,
    instance: usize,
    is_second: bool,
}

struct Running {
    call: String,
    instance: usize,
    ends: Now,
}

#[derive(Default)]
struct Sums {
    served: u64,
    refused: u64,
    reached_resting: u64,
    after_rest: u64,
}

struct Model {
    way: Way,
    sick: usize,
    random: Pcg32,
    /// By instance and server.
    rests: Vec<Vec<Option<ServerBackoff>>>,
    /// What others will hear, and when.
    told: Vec<(Now, usize, Now)>,
    running: Vec<Vec<Running>>,
    waiting: Vec<Call>,
    sums: Sums,
}

impl Model {
    fn run(way: Way, sick: usize, calls_per_s: f64, seed: u64) -> Sums {
        let mut model = Model {
            way,
            sick,
            random: Pcg32::seed_from_u64(seed),
            rests: vec![vec![None; SERVERS]; INSTANCES],
            told: Vec::new(),
            running: (0..SERVERS).map(|_| Vec::new()).collect(),
            waiting: Vec::new(),
            sums: Sums::default(),
        };
        let mut number = 0;
        let mut arrivals = VecDeque::new();
        let mut after_rest = 0;
        for step in 0..SECONDS * STEPS_PER_S {
            let now = STEP * step as u32;
            model.end_calls(now);
            model.hear(now);
            let before = model.sums.served + model.sums.refused;
            if model.fraction() < calls_per_s / STEPS_PER_S as f64 {
                number += 1;
                let instance = model.random.next_u32() as usize % INSTANCES;
                let call = Call {
                    id: format!("c{number}"),
                    at: now,
                    instance,
                    is_second: false,
                };
                model.place(now, call);
            }
            let due = |call: &Call| call.at <= now;
            let (due, later): (Vec<Call>, Vec<Call>) = std::mem::take(&mut model.waiting)
                .into_iter()
                .partition(due);
            model.waiting = later;
            for call in due {
                model.place(now, call);
            }
            let over = Duration::from_secs(SICK.end);
            if now >= over && now < over + REST {
                arrivals.push_back(model.sums.served + model.sums.refused - before);
                if arrivals.len() > (MOMENT.as_millis() / STEP.as_millis()) as usize {
                    arrivals.pop_front();
                }
                after_rest = after_rest.max(arrivals.iter().sum::<u64>());
            }
        }
        model.sums.after_rest = after_rest;
        model.sums
    }

    fn fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    fn end_calls(&mut self, now: Now) {
        for server in 0..SERVERS {
            let (over, on): (Vec<Running>, Vec<Running>) =
                std::mem::take(&mut self.running[server])
                    .into_iter()
                    .partition(|running| running.ends <= now);
            self.running[server] = on;
            for running in over {
                let rest = &mut self.rests[running.instance][server];
                rest.take_if(|rest| rest.is_ended_by(&running.call));
            }
        }
    }

    fn hear(&mut self, now: Now) {
        let (heard, later): (Vec<_>, Vec<_>) = self.told.drain(..).partition(|(at, ..)| *at <= now);
        self.told = later;
        for (_, server, until) in heard {
            for instance in 0..INSTANCES {
                let rest = self.rests[instance][server].get_or_insert_default();
                rest.asked(now, until.saturating_sub(now));
            }
        }
    }

    fn may_send(&self, now: Now, instance: usize, server: usize) -> bool {
        let Some(rest) = &self.rests[instance][server] else {
            return true;
        };
        if !self.way.heeds {
            return true;
        }
        match self.way.tries_first {
            true => rest.may_send(now),
            false => rest.is_over(now),
        }
    }

    /// The server with the fewest calls: one that refuses has none.
    fn place(&mut self, now: Now, call: Call) {
        let open = (0..SERVERS).filter(|server| self.may_send(now, call.instance, *server));
        let chosen = open.min_by_key(|server| (self.running[*server].len(), *server));
        let Some(server) = chosen else {
            return self.refuse(now, call, true);
        };
        if let Some(rest) = &mut self.rests[call.instance][server] {
            rest.sent(now, &call.id);
        }
        let second = now.as_secs();
        let is_sick = server < self.sick && SICK.contains(&second);
        if is_sick || self.running[server].len() >= SLOTS + QUEUE {
            return self.turned_away(now, call, server);
        }
        let queued = (self.running[server].len() / SLOTS) as u32;
        self.running[server].push(Running {
            call: call.id,
            instance: call.instance,
            ends: now + WORK * (queued + 1),
        });
        self.sums.served += 1;
    }

    fn turned_away(&mut self, now: Now, call: Call, server: usize) {
        let rest = self.rests[call.instance][server].get_or_insert_default();
        self.sums.reached_resting += u64::from(!rest.is_over(now));
        rest.asked(now, REST);
        if self.way.tells_others {
            self.told.push((now + HEARD_AFTER, server, now + REST));
        }
        self.refuse(now, call, false);
    }

    fn refuse(&mut self, now: Now, call: Call, all_rest: bool) {
        self.sums.refused += 1;
        if call.is_second {
            return;
        }
        let mut after = COME_BACK;
        if all_rest {
            let rests = self.rests[call.instance].iter().flatten();
            let left = rests.map(|rest| rest.left(now)).min().unwrap_or_default();
            let spread = left.mul_f64(self.way.spread * self.fraction());
            after = left.max(COME_BACK) + spread;
        }
        if after <= PATIENCE {
            self.waiting.push(Call {
                at: now + after,
                is_second: true,
                ..call
            });
        }
    }
}

fn main() {
    println!(
        "| servers that rest | way | calls served | refused | reached resting ones | most in {MOMENT:?} after |"
    );
    println!("|---|---|---|---|---|---|");
    for (sick, calls_per_s) in [
        (1, 40.0),
        (SERVERS, 40.0),
        (SERVERS, 120.0),
        (SERVERS, 200.0),
    ] {
        for way in WAYS {
            let mut sums = Sums::default();
            for seed in 0..SEEDS {
                let run = Model::run(way, sick, calls_per_s, seed);
                sums.served += run.served;
                sums.refused += run.refused;
                sums.reached_resting += run.reached_resting;
                sums.after_rest += run.after_rest;
            }
            let mean = |sum: u64| sum as f64 / SEEDS as f64;
            println!(
                "| {sick} of {SERVERS}, {calls_per_s} a second | {} | {:.0} | {:.0} | {:.0} | {:.1} |",
                way.name,
                mean(sums.served),
                mean(sums.refused),
                mean(sums.reached_resting),
                sums.after_rest as f64 / SEEDS as f64,
            );
        }
    }
}
