//! What one instance believes about one replica.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::BackendId;
use crate::EngineTraits;
use crate::FailureBackoff;
use crate::IncarnationId;
use crate::LoadShare;
use crate::LoadShares;
use crate::Now;
use crate::PlacementRequest;
use crate::Replica;
use crate::RequestId;
use crate::ZoneId;
use crate::rendezvous_rank;

/// Cost of a replica in another availability zone, in shares of its capacity:
/// zones that are cut off from each other lose the streams between them.
const OTHER_ZONE_COST: f64 = 0.3;

/// Added for each other zone that is nearer to a replica by rank, where instances
/// hear of other zones' sessions late: each zone first turns to other engines than
/// the rest, so that they don't all choose the same one at the same moment.
const NEXT_ZONE_COST: f64 = 0.2;

/// Cost of a replica whose last request failed.
const PROBATION_COST: f64 = 0.5;

/// Cost per second of warm-up that is left.
const WARM_UP_COST_PER_S: f64 = 0.2;

/// Cost of a full set of slots, on top of the memory: each session slows the
/// others' tokens.
const SLOTS_COST: f64 = 0.5;

/// Cost of prompts that wait to be read, per share of memory.
const UNREAD_COST: f64 = 1.0;

/// Share of the random part where all hear of a session at once: it breaks ties
/// between instances.
const NOISE_COST: f64 = 0.02;

/// The same where they hear of it by way of a relay: about the cost of one session,
/// so that those who choose at the same moment don't all choose the engine that
/// seems best.
const RELAYED_NOISE_COST: f64 = 0.2;

/// Whether a session is being moved off its engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Moving {
    /// It stays.
    #[default]
    Stays,
    /// It has to move, and no engine has room for it.
    Seeks,
    /// It moves.
    Moves,
}

/// One request of this instance that runs somewhere.
#[derive(Clone, Debug)]
pub struct OwnRun {
    /// The replica that runs it.
    pub replica: BackendId,
    /// Its life when it was sent there; `None` where it wasn't listed.
    pub life: Option<IncarnationId>,
    /// The engine that keeps a copy.
    pub backup: Option<BackendId>,
    /// The life of that engine when it was chosen.
    pub backup_life: Option<IncarnationId>,
    /// What it asked for.
    pub ask: PlacementRequest,
    /// Tokens that came out.
    pub generated: u32,
    /// Whether its first event is there.
    pub has_begun: bool,
    /// When its first event came from this replica.
    pub begun_at: Option<Now>,
    /// Whether a replica has run it well for a while.
    pub is_proven: bool,
    /// Whether it is being moved off its replica.
    pub moving: Moving,
}

impl OwnRun {
    fn memory_tokens(&self) -> u64 {
        let further = self.ask.likely_tokens().saturating_sub(self.generated) / 2;
        u64::from(self.ask.prompt_tokens + self.generated + further)
    }
}

/// Sums up what the requests of this instance put on each replica.
pub fn own_shares(runs: &HashMap<RequestId, OwnRun>) -> LoadShares {
    let mut shares = LoadShares::new();
    for run in runs.values() {
        let share = shares.entry(run.replica.clone()).or_default();
        share.requests += 1;
        share.session_tokens += run.memory_tokens();
        if !run.has_begun {
            share.unread_tokens += u64::from(run.ask.prompt_tokens);
        }
        if let Some(backup) = &run.backup {
            let share = shares.entry(backup.clone()).or_default();
            share.copy_tokens += run.memory_tokens();
        }
    }
    shares
}

/// Figures that decide between replicas.
#[derive(Clone, Debug)]
pub struct ReplicaScore {
    /// The replica.
    pub replica: Replica,
    /// What all instances have put on it, as far as known.
    pub load: LoadShare,
    /// Share of the memory that would be taken, 0 where there is none.
    pub memory: f64,
    /// The sum of all costs; the lowest is best.
    pub cost: f64,
}

/// What scoring needs besides the replica.
pub struct ScoreContext<'a> {
    /// Now.
    pub now: Now,
    /// Zone of this instance.
    pub zone: &'a str,
    /// All zones that have replicas of the service.
    pub zones: &'a BTreeSet<ZoneId>,
    /// Traits of the engines, if they are engines.
    pub engine: Option<&'a EngineTraits>,
    /// The request.
    pub ask: &'a PlacementRequest,
    /// How much longer the replica is cold.
    pub cold_for: Duration,
    /// A number from 0 to 1 for the random part.
    pub noise: f64,
    /// Whether instances hear of each other's sessions by way of relays.
    pub by_relays: bool,
}

/// Scores one replica under the load that all instances have put on it.
pub fn score(
    replica: &Replica,
    load: LoadShare,
    pause: &FailureBackoff,
    context: &ScoreContext<'_>,
) -> ReplicaScore {
    let slots = f64::from(replica.slots.max(1));
    let mut cost = f64::from(load.requests) / slots * SLOTS_COST;
    let mut memory = 0.0;
    if let Some(engine) = context.engine {
        let capacity = engine.memory_tokens.max(1) as f64;
        let prompt = f64::from(context.ask.prompt_tokens + context.ask.likely_tokens() / 2);
        memory = (load.memory_tokens() as f64 + prompt) / capacity;
        cost += memory + load.unread_tokens as f64 / capacity * UNREAD_COST;
    }
    if replica.availability_zone != context.zone {
        cost += OTHER_ZONE_COST;
        if context.by_relays {
            cost += NEXT_ZONE_COST * zones_before(replica, context) as f64;
        }
    }
    if pause.on_probation() {
        cost += PROBATION_COST;
    }
    cost += context.cold_for.as_secs_f64() * WARM_UP_COST_PER_S;
    cost += context.noise
        * match context.by_relays {
            true => RELAYED_NOISE_COST,
            false => NOISE_COST,
        };
    ReplicaScore {
        replica: replica.clone(),
        load,
        memory,
        cost,
    }
}

/// Zones that come before the one of this instance, of those without the replica.
fn zones_before(replica: &Replica, context: &ScoreContext<'_>) -> usize {
    let others = context.zones.iter().map(String::as_str);
    let others = others.filter(|zone| *zone != replica.availability_zone);
    let rank = rendezvous_rank(&replica.id, others);
    let place = rank.iter().position(|zone| *zone == context.zone);
    place.unwrap_or(rank.len())
}
