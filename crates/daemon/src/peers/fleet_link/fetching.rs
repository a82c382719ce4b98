//! Fetches a newer configuration or list of backend servers from a peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use iristhread_core::ConfigVersion;
use iristhread_core::read_timing::FETCH_TIMEOUT;
use iristhread_core::read_timing::MAX_FETCH_DELAY;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;

use super::FleetLink;
use crate::gateway::gateway_message::GatewayMessage;
use crate::gateway::instance_state::OwnState;
use crate::peers::peer_message::PeerReply;
use crate::peers::peer_message::PeerRequest;

/// Time within which an instance that has just started should have read the configuration itself.
/// After it the instance requests the configuration from a peer.
const OWN_READ_TIMEOUT: Duration = Duration::from_millis(400);

impl FleetLink {
    /// Fetches from a peer that has had newer state for a while; checked on each message of
    /// `triggers`.
    pub(super) async fn run_fetcher(self: Arc<Self>, mut triggers: mpsc::Receiver<()>) {
        while triggers.recv().await.is_some() {
            let Some(before) = self.own_state().await else {
                return;
            };
            if self.pick_peer_ahead(&before).is_none() {
                continue;
            }
            let peers = self.members().newest(self.clock.now());
            tokio::time::sleep(self.fetch_delay(&before)).await;
            let Some(own) = self.own_state().await else {
                return;
            };
            let is_stuck = before.versions().is_stuck(&own.versions(), &peers);
            if let Some((instance, address)) = self.pick_peer_ahead(&own).filter(|_| is_stuck) {
                self.fetch(instance, address, &own).await;
            }
        }
    }

    /// Returns the wait before a fetch, in which the state usually arrives by other means.
    fn fetch_delay(&self, own: &OwnState) -> Duration {
        let now = self.clock.now();
        let members = self.members();
        if own.list_revision.is_none() {
            Duration::ZERO
        } else if own.config_version == 0 {
            OWN_READ_TIMEOUT
        } else if members.is_ahead_in_config(now, own.config_version) {
            MAX_FETCH_DELAY.mul_f64(rand::random())
        } else {
            MAX_FETCH_DELAY
        }
    }

    /// Returns a random peer that has newer state, so that requests are spread over the peers.
    /// With relays, it is one of this zone with a high processor capacity, because a small
    /// instance can't send a large configuration to many others.
    fn pick_peer_ahead(&self, own: &OwnState) -> Option<(String, SocketAddr)> {
        let now = self.clock.now();
        let members = self.members();
        let ahead = members.sources(now, own.config_version, own.list_revision);
        let index = rand::random_range(0..ahead.len().max(1));
        let (address, state) = ahead.get(index)?;
        Some((state.instance.clone(), *address))
    }

    /// Returns the version above which a peer should send its configuration: the highest possible
    /// one, so that none is sent, while this instance may still read its first one itself.
    fn config_request_floor(&self, own: &OwnState) -> ConfigVersion {
        let reads_itself = self.clock.now() < self.first_config_read_at + OWN_READ_TIMEOUT;
        match own.config_version == 0 && reads_itself {
            true => ConfigVersion::MAX,
            false => own.config_version,
        }
    }

    async fn fetch(&self, instance: String, address: SocketAddr, own: &OwnState) {
        let request = PeerRequest::Gateway {
            config_above: self.config_request_floor(own),
            list_above: own.list_revision,
        };
        let sent = self.clock.now();
        let answer = self
            .peers
            .ask(instance.clone(), address, request, FETCH_TIMEOUT);
        let answer = answer.await;
        let waited_ms = self.clock.now().saturating_sub(sent).as_millis() as u64;
        match answer {
            Ok(PeerReply::Gateway { config, list }) => {
                info!(self.log, "fetched from a peer"; "peer" => &instance, "waited_ms" => waited_ms,
                    "config_version" => config.as_ref().map(|config| config.0.version),
                    "list_revision" => list.as_ref().map(|list| list.0.revision.to_string()));
                if let Some(config) = config {
                    self.control.tell(GatewayMessage::Config {
                        config: Arc::new(config.0),
                        source: instance.clone(),
                    });
                }
                if let Some(list) = list {
                    self.control.tell(GatewayMessage::PeerList {
                        list: list.0,
                        source: instance,
                    });
                }
            }
            Ok(_) => {
                warn!(self.log, "peer answered a fetch with another reply"; "peer" => instance)
            }
            Err(error) => info!(self.log, "peer can't be asked";
                "peer" => instance, "cause" => error.to_string(), "waited_ms" => waited_ms),
        }
    }
}
