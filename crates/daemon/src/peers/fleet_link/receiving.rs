//! Hears the heartbeats of the others, and passes them on where this instance is a
//! relay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;

use iristhread_core::AdvertisedEvacuations;
use iristhread_core::AdvertisedLoads;
use iristhread_core::Arrival;
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
    /// Receives heartbeats for the life of the process.
    pub async fn run_receiver(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0_u8; 1 << 16];
        let (behind, behind_out) = mpsc::channel(1);
        tokio::spawn(self.clone().run_fetcher(behind_out));
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                // An earlier datagram met a closed port; that peer is gone.
                continue;
            };
            match Datagram::decode(&buffer[..length]) {
                Ok(datagram) => self.apply_datagram(from, datagram, &behind),
                Err(fault) => self.refuse(from, fault),
            }
        }
    }

    fn apply_datagram(&self, from: SocketAddr, datagram: Datagram, behind: &mpsc::Sender<()>) {
        for sealed in datagram.heartbeats {
            match sealed.open(&self.settings.keyring) {
                Ok(heartbeat) if heartbeat.instance == self.identity.instance => {}
                Ok(heartbeat) => {
                    if self.is_ahead(&heartbeat) {
                        // A fetch that is already asked for is enough.
                        let _ = behind.try_send(());
                    }
                    let is_new = self.take(from, heartbeat);
                    self.count_received_heartbeat(is_new);
                    if is_new && datagram.pass_on {
                        self.pass_on(sealed);
                    }
                }
                Err(fault) => self.refuse(from, fault),
            }
        }
    }

    fn count_received_heartbeat(&self, is_new: bool) {
        self.metrics.heartbeat(match is_new {
            true => "taken",
            false => "old",
        });
    }

    fn refuse(&self, from: SocketAddr, fault: HeartbeatFault) {
        self.metrics.heartbeat("refused");
        warn!(self.log, "heartbeat refused";
            "from" => from.to_string(), "cause" => fault.to_string());
    }

    /// Old heartbeats are not passed on, so that nobody can make a relay repeat
    /// what was recorded.
    fn pass_on(&self, sealed: SealedHeartbeat) {
        self.metrics.heartbeat("passed_on");
        self.relay.push(sealed);
    }

    /// Whether the sender has a newer configuration or list than this instance had
    /// when that was asked last.
    fn is_ahead(&self, heartbeat: &Heartbeat) -> bool {
        let (config_version, list_revision) = *self.versions();
        heartbeat.config_version > config_version || heartbeat.list_revision > list_revision
    }

    /// Takes a heartbeat; returns whether it is news.
    fn take(&self, from: SocketAddr, heartbeat: Heartbeat) -> bool {
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
        let follows = members.counts_individually(&heartbeat.zone);
        let is_relay = !heartbeat.news.is_empty() && members.is_relay(now);
        let delay = members.heartbeat_delay(heartbeat.address);
        drop(members);
        // Contacts with instances that are usually not heard would be hundreds of lines.
        if arrival == Arrival::FirstOfIncarnation && follows {
            info!(self.log, "peer heard for the first time";
                "peer" => &heartbeat.instance, "incarnation" => &heartbeat.incarnation,
                "directly" => is_direct, "config_version" => heartbeat.config_version);
        }
        self.apply_peer_evacuations(heartbeat.evacuations, &heartbeat.instance);
        for news in heartbeat.news {
            self.take_news(news.aged(delay), &heartbeat.instance, is_relay);
        }
        if !heartbeat.suspects.is_empty() {
            self.control.tell(GatewayMessage::SuspectsReceived {
                suspects: heartbeat.suspects,
            });
        }
        if !heartbeat.limits.is_empty() {
            self.control.tell(GatewayMessage::LimitsHeard {
                limits: heartbeat.limits,
                source: heartbeat.instance.clone(),
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
                    .tell(GatewayMessage::HeardUnreachable { replica });
            }
        }
        if follows || heartbeat.digest.is_some() {
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

    /// Most heartbeats bring nothing new; the decisions are not bothered with those.
    fn apply_peer_evacuations(&self, told: AdvertisedEvacuations, source: &str) {
        let is_news = {
            let heard = self.applied_evacuations.lock();
            let mut heard = heard.unwrap_or_else(PoisonError::into_inner);
            let is_news = told.revision > *heard;
            *heard = told.revision.max(*heard);
            is_news
        };
        if is_news {
            self.control.tell(GatewayMessage::Evacuations {
                news: EvacuationUpdate::Whole(told),
                source: source.to_owned(),
            });
        }
    }

    /// A relay tells the other zones what it hears: theirs may not read the
    /// platform just now.
    fn take_news(&self, news: ListUpdate, source: &str, is_relay: bool) {
        if is_relay
            && self
                .directory_state()
                .record_peer_update(self.clock.now(), &news)
        {
            self.heartbeat_now.notify_one();
        }
        self.control.tell(GatewayMessage::ListUpdate {
            news,
            source: source.to_owned(),
        });
    }
}
