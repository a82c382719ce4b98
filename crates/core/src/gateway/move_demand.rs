//! Learns how much memory the sessions of departing engines need at once.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Now;

/// Time after the first engine of a departure within which further engines belong to it: engines
/// have a notice of seconds, so their sessions need room at the same time.
const DEPARTURE_SPAN: Duration = Duration::from_secs(1);

/// Time in which the learned need halves. Rolling replacements take one engine after another within
/// half a minute; between departures that are further apart, the reserve would only refuse callers.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Time after the last departure at which the need is forgotten: a sixteenth of it is left.
const RETENTION: Duration = Duration::from_secs(120);

/// The latest departure of engines of one service, and what was learned before it.
#[derive(Clone, Copy, Debug)]
struct Departure {
    began_at: Now,
    /// Tokens of the sessions on its engines.
    tokens: f64,
    /// Need learned from earlier departures, at the time this one began.
    earlier: f64,
}

impl Departure {
    fn needed(&self, now: Now) -> f64 {
        let age = now.saturating_sub(self.began_at);
        if age >= RETENTION {
            return 0.0;
        }
        let halvings = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.tokens.max(self.earlier) * 0.5_f64.powf(halvings)
    }
}

/// Tokens by service that departures of engines have needed at once lately: the largest departure
/// counts, and decays.
#[derive(Clone, Debug, Default)]
pub struct MoveDemand {
    departures: BTreeMap<String, Departure>,
}

impl MoveDemand {
    /// Records that an engine of a service starts to leave with `tokens` of sessions on it. Engines
    /// that start to leave within a second of the first count as one departure.
    pub fn departed(&mut self, now: Now, service: &str, tokens: u64) {
        if tokens == 0 {
            return;
        }
        let tokens = tokens as f64;
        let is_same = |known: &&mut Departure| now.saturating_sub(known.began_at) < DEPARTURE_SPAN;
        if let Some(known) = self.departures.get_mut(service).filter(is_same) {
            known.tokens += tokens;
            return;
        }
        let departure = Departure {
            began_at: now,
            tokens,
            earlier: self.needed(now, service),
        };
        self.departures.insert(service.to_owned(), departure);
    }

    /// Returns the tokens that a departure of engines of a service is expected to need, 0 if no
    /// engine has left lately.
    pub fn needed(&self, now: Now, service: &str) -> f64 {
        let departure = self.departures.get(service);
        departure.map_or(0.0, |departure| departure.needed(now))
    }
}
