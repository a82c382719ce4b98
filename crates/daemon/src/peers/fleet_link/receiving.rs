//! Receives the heartbeats of the other instances, and forwards them if this instance is a relay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;

use iristhread_core::AdvertisedEvacuations;
use iristhread_core::AdvertisedLoads;
use iristhread_core::AdvertisedTotals;
use iristhread_core::Arrival;
use iristhread_core::DetourPeer;
use iristhread_core::EvacuationUpdate;
use iristhread_core::FleetMembers;
use iristhread_core::MemberState;
use slog::info;
use slog::warn;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::FleetLink;
use crate::gateway::gateway_message::GatewayMessage;
use crate::peers::heartbeat::Datagram;
use crate::peers::heartbeat::Heartbeat;
use crate::peers::heartbeat::HeartbeatFault;
use crate::peers::heartbeat::ListUpdate;
use crate::peers::heartbeat::SealedHeartbeat;

impl FleetLink {
    /// Receives heartbeats until the process ends.
    pub async fn run_receiver(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0_u8; 1 << 16];
        let (trigger_fetch, fetch_triggers) = mpsc::channel(1);
        tokio::spawn(self.clone().run_fetcher(fetch_triggers));
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                // The error is of an earlier datagram to a closed port: that peer has stopped.
                continue;
            };
            match Datagram::decode(&buffer[..length]) {
                Ok(datagram) => self.apply_datagram(from, datagram, &trigger_fetch),
                Err(fault) => self.reject(from, fault),
            }
        }
    }

    fn apply_datagram(
        &self,
        from: SocketAddr,
        datagram: Datagram,
        trigger_fetch: &mpsc::Sender<()>,
    ) {
        for sealed in datagram.heartbeats {
            match sealed.open(&self.settings.keyring) {
                Ok(heartbeat) if heartbeat.instance == self.identity.instance => {}
                Ok(heartbeat) => {
                    if self.is_ahead(&heartbeat) {
                        // If the channel is full, a fetch is already pending.
                        let _ = trigger_fetch.try_send(());
                    }
                    let is_new = self.apply_heartbeat(from, heartbeat);
                    self.count_received_heartbeat(is_new);
                    if is_new && datagram.pass_on {
                        self.forward(sealed);
                    }
                }
                Err(fault) => self.reject(from, fault),
            }
        }
    }

    fn count_received_heartbeat(&self, is_new: bool) {
        self.metrics.heartbeat(match is_new {
            true => "taken",
            false => "old",
        });
    }

    fn reject(&self, from: SocketAddr, fault: HeartbeatFault) {
        self.metrics.heartbeat("refused");
        warn!(self.log, "heartbeat rejected";
            "from" => from.to_string(), "cause" => fault.to_string());
    }

    /// Queues a heartbeat for forwarding. Callers forward only new ones, so that recorded datagrams
    /// can't be replayed through a relay.
    fn forward(&self, sealed: SealedHeartbeat) {
        self.metrics.heartbeat("passed_on");
        self.relay.push(sealed);
    }

    /// Returns whether the sender has a newer configuration or list than this instance had at the
    /// last query of its own state.
    fn is_ahead(&self, heartbeat: &Heartbeat) -> bool {
        let (config_version, list_revision) = *self.versions();
        heartbeat.config_version > config_version || heartbeat.list_revision > list_revision
    }

    /// Applies a heartbeat; returns whether it is new.
    fn apply_heartbeat(&self, from: SocketAddr, heartbeat: Heartbeat) -> bool {
        let now = self.clock.now();
        let at = |age_ms: u64| FleetMembers::confirmed_at(now, Duration::from_millis(age_ms));
        let state = MemberState {
            instance: heartbeat.instance.clone(),
            incarnation: heartbeat.incarnation.clone(),
            sequence: heartbeat.sequence,
            sent_at: Duration::from_millis(heartbeat.said_at_ms),
            zone: heartbeat.zone.clone(),
            core_millis: heartbeat.core_millis,
            has_relays: heartbeat.has_relays,
            config_version: heartbeat.config_version,
            config_confirmed_at: heartbeat.config_age_ms.map(at),
            list_revision: heartbeat.list_revision,
            list_confirmed_at: heartbeat.list_age_ms.map(at),
            can_read: heartbeat.can_read,
        };
        let mut members = self.members();
        let arrival = members.apply_heartbeat(now, heartbeat.address, state);
        if arrival == Arrival::Old {
            return false;
        }
        for address in &heartbeat.addresses {
            members.learn_address(now, *address);
        }
        let is_direct = from == heartbeat.address;
        if arrival == Arrival::FirstOfIncarnation && is_direct {
            members.queue_immediate_heartbeat(heartbeat.address);
            self.heartbeat_now.notify_one();
        }
        let counts_individually = members.counts_individually(&heartbeat.zone);
        let is_relay = !heartbeat.news.is_empty() && members.is_relay(now);
        let delay = members.heartbeat_delay(heartbeat.address);
        drop(members);
        // Instances whose heartbeats arrive only at random are not logged: that would be hundreds
        // of lines.
        if arrival == Arrival::FirstOfIncarnation && counts_individually {
            info!(self.log, "first heartbeat received from a peer";
                "peer" => &heartbeat.instance, "incarnation" => &heartbeat.incarnation,
                "directly" => is_direct, "config_version" => heartbeat.config_version);
        }
        self.dialer.apply_peer(DetourPeer {
            instance: heartbeat.instance.clone(),
            zone: heartbeat.zone.clone(),
            address: heartbeat.address,
            cut_off: heartbeat.cut_off,
        });
        self.apply_peer_evacuations(heartbeat.evacuations, &heartbeat.instance);
        for update in heartbeat.news {
            self.apply_list_update(update.aged(delay), &heartbeat.instance, is_relay);
        }
        let suspects = heartbeat.suspect_appendix.join(heartbeat.suspects);
        if !suspects.is_empty() {
            self.control
                .tell(GatewayMessage::SuspectsReceived { suspects });
        }
        if !heartbeat.limits.is_empty() {
            self.control.tell(GatewayMessage::LimitsReceived {
                limits: heartbeat.limits,
                source: heartbeat.instance.clone(),
            });
        }
        if !heartbeat.refused.is_empty() {
            self.control.tell(GatewayMessage::RefusalsReceived {
                refused: heartbeat.refused,
                is_remote: heartbeat.zone != self.settings.zone,
            });
        }
        for replica in heartbeat.said_leaving {
            self.control.tell(GatewayMessage::Leaves {
                replica,
                source: Some(heartbeat.instance.clone()),
            });
        }
        if heartbeat.zone == self.settings.zone {
            for replica in heartbeat.unreachable {
                self.control
                    .tell(GatewayMessage::UnreachableReceived { replica });
            }
        }
        let is_zone_sum = heartbeat.digest.is_some();
        let applies_load = counts_individually || is_zone_sum;
        if let Some(totals) = heartbeat.totals.filter(|_| applies_load) {
            self.control.tell(GatewayMessage::TotalsReceived {
                totals: AdvertisedTotals {
                    instance: heartbeat.instance.clone(),
                    zone: heartbeat.zone.clone(),
                    totals,
                    is_zone_sum,
                },
            });
        }
        if applies_load {
            self.control.tell(GatewayMessage::PeerMessageReceived {
                told: AdvertisedLoads {
                    instance: heartbeat.instance,
                    incarnation: heartbeat.incarnation,
                    sequence: heartbeat.sequence,
                    zone: heartbeat.zone,
                    shares: heartbeat.shares,
                    digest: heartbeat.digest,
                },
            });
        }
        true
    }

    /// Passes evacuations to the control thread if they are newer than the last ones passed: most
    /// heartbeats repeat known ones.
    fn apply_peer_evacuations(&self, advertised: AdvertisedEvacuations, source: &str) {
        let is_new = {
            let applied = self.applied_evacuations.lock();
            let mut applied = applied.unwrap_or_else(PoisonError::into_inner);
            let is_new = advertised.revision > *applied;
            *applied = advertised.revision.max(*applied);
            is_new
        };
        if is_new {
            self.control.tell(GatewayMessage::Evacuations {
                news: EvacuationUpdate::Whole(advertised),
                source: source.to_owned(),
            });
        }
    }

    /// Applies a list update of a peer. A relay also advertises it to the other zones, whose
    /// instances may be unable to read the platform at the moment.
    fn apply_list_update(&self, update: ListUpdate, source: &str, is_relay: bool) {
        if is_relay
            && self
                .directory_state()
                .record_peer_update(self.clock.now(), &update)
        {
            self.heartbeat_now.notify_one();
        }
        self.control.tell(GatewayMessage::ListUpdate {
            news: update,
            source: source.to_owned(),
        });
    }
}
