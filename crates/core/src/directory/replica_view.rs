//! One instance's view of the load of each replica, and the scores that rank replicas.

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
use crate::ServerSpeed;
use crate::ServerView;
use crate::ZoneId;
use crate::rendezvous_rank;

/// Cost of a replica in another availability zone, in shares of its capacity: a partition
/// between two zones breaks the streams between them.
const OTHER_ZONE_COST: f64 = 0.3;

/// Cost added for each zone that ranks before the own zone for a replica, in fleets with relays,
/// where instances receive the load of other zones late. Each zone thus prefers different
/// engines, so that they don't all choose the same one at the same time.
const NEXT_ZONE_COST: f64 = 0.2;

/// Cost of a replica whose last request failed.
const PROBATION_COST: f64 = 0.5;

/// Cost per remaining second of warm-up.
const WARM_UP_COST_PER_S: f64 = 0.2;

/// Cost of a full set of slots, on top of the memory: each session slows down the tokens of the
/// others.
const SLOTS_COST: f64 = 0.5;

/// Cost of prompts that are waiting for prefill, per share of memory.
const UNREAD_COST: f64 = 1.0;

/// Load cost to which the relative time of a server applies beside its own: a request takes longer
/// at a slow server also while that is idle. At least the random part, which would otherwise
/// outweigh the speed of idle servers.
const IDLE_COST: f64 = RELAYED_NOISE_COST;

/// Cost of the random part in fleets where all instances receive the update of a session at
/// once: it breaks ties between instances.
const NOISE_COST: f64 = 0.02;

/// [`NOISE_COST`] in fleets where updates come through relays: about the cost of one session, so
/// that instances that choose at the same time don't all choose the engine with the best score.
const RELAYED_NOISE_COST: f64 = 0.2;

/// State of the move of a session off its engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Moving {
    /// The session is not being moved.
    #[default]
    Stays,
    /// The session has to move, and no engine has room for it yet.
    Seeks,
    /// The session is being moved.
    Moves,
}

/// One request of this instance that is running on a replica.
#[derive(Clone, Debug)]
pub struct OwnRun {
    /// The replica that runs it.
    pub replica: BackendId,
    /// Incarnation of the replica when the request was sent; `None` if it wasn't listed.
    pub life: Option<IncarnationId>,
    /// The engine that holds a backup.
    pub backup: Option<BackendId>,
    /// Incarnation of the backup engine when it was chosen.
    pub backup_life: Option<IncarnationId>,
    /// The placement request.
    pub ask: PlacementRequest,
    /// Number of tokens generated so far.
    pub generated: u32,
    /// Time at which it was sent to the replica.
    pub sent_at: Now,
    /// Whether its first event was received.
    pub has_begun: bool,
    /// Time of its first event from this replica.
    pub begun_at: Option<Now>,
    /// Whether a replica has run it without a crash for long enough.
    pub is_proven: bool,
    /// State of its move off the replica.
    pub moving: Moving,
}

impl OwnRun {
    /// Returns the tokens that it is expected to hold in memory, half-way to its end.
    pub(crate) fn memory_tokens(&self) -> u64 {
        let expected = self.ask.likely_tokens().saturating_sub(self.generated) / 2;
        u64::from(self.ask.prompt_tokens + self.generated + expected)
    }
}

/// Returns the load that the requests of this instance put on each replica.
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

/// Score of a replica and the figures behind it.
#[derive(Clone, Debug)]
pub struct ReplicaScore {
    /// The replica.
    pub replica: Replica,
    /// Load from all instances, as far as known.
    pub load: LoadShare,
    /// Share of the memory that would be used, 0 for a replica that is not an engine.
    pub memory: f64,
    /// The sum of all costs; the lowest is best.
    pub cost: f64,
    /// Time that the replica needs as a multiple of the usual time under the same load.
    pub relative_time: f64,
    /// Forecast time from the send to the first event of a stream, or to the answer of a server
    /// that is not an engine; zero if it isn't known.
    pub first_event: Duration,
    /// Forecast time between two events of a stream; zero if it isn't known.
    pub event_gap: Duration,
}

impl ReplicaScore {
    /// Returns the state of the replica as this instance and `instances` others know it.
    pub fn view(&self, instances: usize) -> ServerView {
        ServerView {
            requests: self.load.requests,
            memory: self.memory,
            instances,
            relative_time: self.relative_time,
            first_event: self.first_event,
            event_gap: self.event_gap,
        }
    }
}

/// Inputs of the scoring besides the replica.
pub struct ScoreContext<'a> {
    /// The current time.
    pub now: Now,
    /// Availability zone of this instance.
    pub zone: &'a str,
    /// All availability zones with replicas of the service.
    pub zones: &'a BTreeSet<ZoneId>,
    /// Traits of the engines; `None` if the replicas are not engines.
    pub engine: Option<&'a EngineTraits>,
    /// The placement request.
    pub ask: &'a PlacementRequest,
    /// Remaining warm-up time of the replica.
    pub cold_for: Duration,
    /// Random number from 0 to 1 for the random part.
    pub noise: f64,
    /// Whether instances receive each other's load through relays.
    pub by_relays: bool,
    /// Speed of the replica.
    pub speed: ServerSpeed,
}

/// Scores one replica under the load of all instances.
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
        memory = (load.memory_tokens() as f64 + context.ask.memory_tokens()) / capacity;
        cost += memory + load.unread_tokens as f64 / capacity * UNREAD_COST;
    }
    let speed = &context.speed;
    cost += (cost + IDLE_COST) * (speed.relative_time - 1.0);
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
        relative_time: speed.relative_time,
        first_event: match context.engine {
            Some(_) => speed.first_event(&load, context.ask.prompt_tokens),
            None => speed.answer(),
        },
        event_gap: context.engine.map_or(Duration::ZERO, |engine| {
            speed.event_gap(engine.tokens_per_event)
        }),
    }
}

/// Returns the number of zones that rank before this instance's, among those other than the
/// replica's.
fn zones_before(replica: &Replica, context: &ScoreContext<'_>) -> usize {
    let others = context.zones.iter().map(String::as_str);
    let others = others.filter(|zone| *zone != replica.availability_zone);
    let rank = rendezvous_rank(&replica.id, others);
    let position = rank.iter().position(|zone| *zone == context.zone);
    position.unwrap_or(rank.len())
}
