//! The totals that this instance advertises, and those of the others.

use super::GatewayControl;
use crate::AdvertisedTotals;
use crate::Now;
use crate::Totals;

impl GatewayControl {
    /// Applies the totals that a peer advertises.
    pub fn apply_peer_totals(&mut self, now: Now, advertised: AdvertisedTotals) {
        self.peer_totals.apply(now, advertised);
    }

    /// Returns the totals for the next heartbeat, `None` if it carries none.
    pub fn advertised_totals(&mut self, now: Now) -> Option<Totals> {
        let own = self.own_totals();
        self.peer_totals
            .is_advertisement_due(now, &own)
            .then_some(own)
    }

    /// Returns the sums of the local zone, for other zones; `own` are the totals that this instance
    /// advertises.
    pub fn zone_totals(&self, own: &Totals) -> Totals {
        self.peer_totals.zone_sums(own)
    }

    /// Returns the totals of this instance.
    fn own_totals(&mut self) -> Totals {
        Totals {
            speeds: self.advertised_speeds(),
            workspaces: self.own_workspaces(),
            seeking_tokens: self.own_claims(),
        }
    }
}
