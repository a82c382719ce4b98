//! Decides whether this instance should read the platform's directory, and why.

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

/// Reason why an instance reads the platform's configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadReason {
    /// The instance has no configuration yet.
    First,
    /// A peer has had a newer configuration for too long.
    Behind,
    /// A peer has a newer configuration, and the instance is a relay of its zone.
    Relay,
    /// No instance has confirmed the configuration for too long.
    Old,
    /// The rank of the instance makes it a reader of its zone.
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

/// Decision whether an instance should read the platform's configuration, with its inputs.
#[derive(Clone, Copy, Debug)]
pub struct ReadDecision {
    /// Reason to read; `None` if the instance should not read.
    pub reason: Option<ReadReason>,
    /// Version of the configuration in force.
    pub version: ConfigVersion,
    /// Time since the platform confirmed it, as far as this instance knows.
    pub age: Option<Duration>,
}

impl FleetLink {
    /// Returns whether this instance should watch the platform's list of backend servers.
    pub fn reads_list(&self, list_revision: Revision) -> bool {
        let now = self.clock.now();
        let members = self.members();
        let state = self.directory_state();
        let peer_confirmed_at = members.list_confirmed_at(now, list_revision);
        let confirmed_at = state.list_confirmed_at().max(peer_confirmed_at);
        let may_start = !list_revision.is_none() || now >= self.first_list_read_at;
        may_start && members.reads_list(now, confirmed_at, state.can_read())
    }

    /// Returns whether no instance has confirmed the list for longer than usual, so that engines
    /// may come and go unnoticed.
    pub fn is_directory_list_stale(&self, list_revision: Revision) -> bool {
        let now = self.clock.now();
        let members = self.members();
        let peer_confirmed_at = members.list_confirmed_at(now, list_revision);
        let confirmed_at = self
            .directory_state()
            .list_confirmed_at()
            .max(peer_confirmed_at);
        members.is_stale(now, confirmed_at)
    }

    /// Decides whether this instance should watch the platform's configuration: for the same
    /// reasons as the list, or because no peer hands over the newer configuration that it has, or
    /// because this instance is a relay and fetches the newer configuration for its zone.
    pub fn config_read_decision(&self, version: ConfigVersion) -> ReadDecision {
        let now = self.clock.now();
        let members = self.members();
        let state = self.directory_state();
        let peer_confirmed_at = members.config_confirmed_at(now, version);
        let confirmed_at = state.config_confirmed_at().max(peer_confirmed_at);
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

    /// Records whether a peer has a newer configuration; returns whether it has had one for too
    /// long.
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
