//! Whether this instance should read the platform's directory, and why.

use std::fmt;
use std::sync::PoisonError;
use std::time::Duration;

use iristhread_core::ConfigVersion;
use iristhread_core::LagUpdate;
use iristhread_core::Now;
use iristhread_core::ReadTiming;
use iristhread_core::Revision;
use slog::info;

use super::FleetLink;

/// Why an instance reads the platform's configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadReason {
    /// It has none yet.
    First,
    /// A peer has had a newer one for too long.
    Behind,
    /// A peer has a newer one, and it relays for its zone.
    Relay,
    /// Nobody has confirmed it for too long.
    Old,
    /// It reads for its zone.
    Rank,
}

impl fmt::Display for ReadReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReadReason::First => "first",
            ReadReason::Behind => "behind",
            ReadReason::Relay => "relay",
            ReadReason::Old => "old",
            ReadReason::Rank => "rank",
        })
    }
}

/// Whether an instance should read the platform's configuration, and what that goes by.
#[derive(Clone, Copy, Debug)]
pub struct ReadDecision {
    /// Why it should; `None` if it shouldn't.
    pub reason: Option<ReadReason>,
    /// The version in force.
    pub version: ConfigVersion,
    /// How long ago the platform confirmed it, to this instance's knowledge.
    pub age: Option<Duration>,
}

impl FleetLink {
    /// Whether this instance should watch the platform's list.
    pub fn reads_list(&self, list_revision: Revision) -> bool {
        let now = self.clock.now();
        let members = self.members();
        let state = self.directory_state();
        let heard = members.list_confirmed_at(now, list_revision);
        let confirmed_at = state.list_confirmed_at().max(heard);
        let may_begin = !list_revision.is_none() || now >= self.first_list_read_at;
        may_begin && members.reads_list(now, confirmed_at, state.can_read())
    }

    /// Whether nobody has confirmed the list for longer than is usual: engines
    /// may come and go unheard.
    pub fn is_directory_list_stale(&self, list_revision: Revision) -> bool {
        let now = self.clock.now();
        let members = self.members();
        let heard = members.list_confirmed_at(now, list_revision);
        let confirmed_at = self.directory_state().list_confirmed_at().max(heard);
        members.is_stale(now, confirmed_at)
    }

    /// Whether this instance should watch the platform's configuration: as for
    /// the list, or because no peer hands over the newer one that it has, or because
    /// a relay fetches it for its zone.
    pub fn config_read_decision(&self, version: ConfigVersion) -> ReadDecision {
        let now = self.clock.now();
        let members = self.members();
        let state = self.directory_state();
        let heard = members.config_confirmed_at(now, version);
        let confirmed_at = state.config_confirmed_at().max(heard);
        let is_ahead = members.is_ahead_in_config(now, version);
        let is_stuck = self.is_config_overdue(now, is_ahead, version, &members.waits(now));
        let reason = if version == 0 {
            (now >= self.first_config_read_at).then_some(ReadReason::First)
        } else if is_stuck {
            Some(ReadReason::Behind)
        } else if is_ahead && members.is_relay(now) {
            Some(ReadReason::Relay)
        } else if members.reads(now, confirmed_at, state.can_read()) {
            Some(match members.is_old(now, confirmed_at) {
                true => ReadReason::Old,
                false => ReadReason::Rank,
            })
        } else {
            None
        };
        ReadDecision {
            reason,
            version,
            age: confirmed_at.map(|at| now.saturating_sub(at)),
        }
    }

    /// Notes whether a peer has a newer configuration than this one.
    fn is_config_overdue(
        &self,
        now: Now,
        is_behind: bool,
        version: ConfigVersion,
        waits: &ReadTiming,
    ) -> bool {
        let lag = self.config_lag.lock();
        let mut lag = lag.unwrap_or_else(PoisonError::into_inner);
        match lag.note(now, is_behind) {
            Some(LagUpdate::Began) => info!(self.log, "a peer has a newer configuration";
                "version" => version),
            Some(LagUpdate::Ended(time)) => self.metrics.config_was_behind(time),
            None => {}
        }
        lag.is_overdue(now, waits)
    }
}
