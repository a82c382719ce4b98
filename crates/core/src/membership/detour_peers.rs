//! The peers through which an instance reaches backend servers that it can't reach itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand_core::Rng;

use crate::InstanceId;
use crate::Now;
use crate::ZoneId;

/// Maximum age of the last heartbeat of a peer that is used: three of the slowest heartbeats.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(3);

/// Time for which a peer that could not help is not asked again for the same service.
const AVOID_FOR: Duration = Duration::from_secs(1);

/// What a peer advertises about itself.
#[derive(Clone, Debug)]
pub struct DetourPeer {
    /// Name of the peer.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its peer address.
    pub address: SocketAddr,
    /// Services of which it reaches no server itself.
    pub cut_off: Vec<String>,
}

#[derive(Debug)]
struct Known {
    peer: DetourPeer,
    received_at: Now,
    avoid_until: BTreeMap<String, Now>,
}

/// Peers by name, with their latest advertisement.
#[derive(Debug)]
pub struct DetourPeers {
    zone: ZoneId,
    peers: BTreeMap<InstanceId, Known>,
}

impl DetourPeers {
    /// Creates an empty view for an instance of `zone`.
    pub fn new(zone: ZoneId) -> Self {
        DetourPeers {
            zone,
            peers: BTreeMap::new(),
        }
    }

    /// Applies the advertisement of a peer.
    pub fn apply(&mut self, now: Now, peer: DetourPeer) {
        match self.peers.get_mut(&peer.instance) {
            Some(known) => {
                known.peer = peer;
                known.received_at = now;
            }
            None => {
                let known = Known {
                    received_at: now,
                    avoid_until: BTreeMap::new(),
                    peer,
                };
                self.peers.insert(known.peer.instance.clone(), known);
            }
        }
    }

    /// Returns a random peer that may reach a service: one of this zone if there is any, since it
    /// is near and other zones may be cut off.
    pub fn choose(
        &mut self,
        now: Now,
        service: &str,
        random: &mut impl Rng,
    ) -> Option<(InstanceId, SocketAddr)> {
        self.peers
            .retain(|_, known| now.saturating_sub(known.received_at) < MAX_HEARTBEAT_AGE);
        let usable = self.peers.values().filter(|known| {
            let avoid_until = known.avoid_until.get(service);
            let is_cut_off = known.peer.cut_off.iter().any(|cut| cut == service);
            !is_cut_off && avoid_until.is_none_or(|until| *until <= now)
        });
        let (mut near, far): (Vec<&Known>, Vec<&Known>) =
            usable.partition(|known| known.peer.zone == self.zone);
        if near.is_empty() {
            near = far;
        }
        let index = random.next_u32() as usize % near.len().max(1);
        let peer = &near.get(index)?.peer;
        Some((peer.instance.clone(), peer.address))
    }

    /// Records that a peer could not help to reach a service.
    pub fn avoid(&mut self, now: Now, instance: &str, service: &str) {
        if let Some(known) = self.peers.get_mut(instance) {
            let until = now + AVOID_FOR;
            known.avoid_until.insert(service.to_owned(), until);
        }
    }
}
