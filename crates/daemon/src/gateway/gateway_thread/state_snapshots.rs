//! Snapshots of the control thread's state for tasks of the instance and for peers.

use iristhread_core::Revision;
use iristhread_core::ToldRefusals;

use super::GatewayThread;
use crate::gateway::instance_state::Audience;
use crate::gateway::instance_state::KnownState;
use crate::gateway::instance_state::OwnState;

/// Maximum number of workspaces whose memory use the metrics show: each one adds a time series at
/// the metrics collector.
const MAX_SHOWN_WORKSPACES: usize = 16;

impl GatewayThread {
    pub(super) fn own_state(&mut self, audience: Audience) -> OwnState {
        let now = self.clock.now();
        let is_relay = audience == Audience::Peers { is_relay: true };
        let control = &mut self.control;
        let (suspects, limits, shares, totals, refused) = match audience {
            Audience::Own => (
                Vec::new(),
                Vec::new(),
                control.shares(),
                None,
                ToldRefusals::default(),
            ),
            Audience::Peers { .. } => (
                control.advertised_suspects(now),
                control.advertised_limits(now, is_relay),
                control.advertised_shares(now),
                control.advertised_totals(now),
                control.advertised_refusals(now, is_relay),
            ),
        };
        let control = &self.control;
        let zone_totals = totals.as_ref().filter(|_| is_relay);
        OwnState {
            suspects,
            zone_totals: zone_totals.map(|own| control.zone_totals(own)),
            totals,
            refused: refused.own,
            zone_refused: refused.zone,
            limits,
            config_version: self.control.config_version(),
            list_revision: self.control.list().revision(),
            digest: is_relay.then(|| control.digest(&shares)),
            shares,
            said_leaving: control.incarnations_of(control.said_leaving(now, is_relay)),
            unreachable: control.incarnations_of(control.found_unreachable(now)),
            evacuations: self.control.evacuations().told(),
        }
    }

    /// Sets the gauges that are read from the state: versions, numbers of requests and peers, and the
    /// memory of workspaces.
    pub(super) fn set_gauges(&self) {
        let control = &self.control;
        let (version, revision) = (control.config_version(), control.list().revision());
        self.metrics
            .state(version, revision, control.peers(), control.running());
        self.metrics
            .suspects(control.suspected(), control.quarantined());
        self.metrics.quarantined_parts(control.quarantined_parts());
        self.metrics
            .unconfirmed_crashes(control.unconfirmed_crashes());
        self.metrics.backing_off(control.resting(self.clock.now()));
        let memory = control.workspace_memory(MAX_SHOWN_WORKSPACES);
        self.metrics.admission.workspace_memory(memory);
    }

    pub(super) fn known_state(&self, list_above: Revision) -> KnownState {
        let table = self.control.table();
        KnownState {
            config: table.map(|table| table.config().clone()),
            list: self
                .control
                .list()
                .delta_since(self.clock.now(), list_above),
        }
    }
}
