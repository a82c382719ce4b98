//! Sends and receives heartbeats, and fetches from peers what they have and
//! this instance lacks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use iristhread_core::ConfigVersion;
use iristhread_core::FleetMembers;
use iristhread_core::MemberState;
use iristhread_core::Now;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::control_message::Identity;
use crate::directory::Revision;
use crate::directory_knowledge::DirectoryKnowledge;
use crate::gateway_message::GatewayMessage;
use crate::gateway_message::OwnState;
use crate::gateway_settings::GatewaySettings;
use crate::gateway_thread::GatewayHandle;
use crate::heartbeat::Heartbeat;
use crate::heartbeat::ListNews;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;
use crate::peer_port::PeerPort;

/// Most bytes of a datagram that is sent: below the limit of UDP. Fleets of
/// today stay under 2 KB.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Time for which a peer must have been ahead before it is asked for the list:
/// the news are usually under way already. For a configuration it is the longest
/// wait, drawn by chance, so that not all ask the first that has it.
const BEHIND_FOR: Duration = Duration::from_millis(300);

/// Time in which news are gathered before a heartbeat tells them.
const GATHERING: Duration = Duration::from_millis(10);

/// Longest wait for a peer's answer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The link of one instance to the others.
pub struct FleetLink {
    identity: Identity,
    settings: GatewaySettings,
    clock: Clock,
    control: GatewayHandle,
    peers: Arc<dyn PeerPort>,
    log: Logger,
    members: Mutex<FleetMembers>,
    knowledge: Mutex<DirectoryKnowledge>,
    beat_now: Arc<Notify>,
}

impl FleetLink {
    /// A link that knows the seeds only.
    pub fn new(
        identity: Identity,
        settings: GatewaySettings,
        clock: Clock,
        control: GatewayHandle,
        peers: Arc<dyn PeerPort>,
        log: Logger,
        beat_now: Arc<Notify>,
    ) -> Arc<FleetLink> {
        let members = FleetMembers::new(
            identity.instance.clone(),
            settings.zone.clone(),
            settings.peer_address,
            settings.seed_peers.clone(),
        );
        Arc::new(FleetLink {
            identity,
            settings,
            clock,
            control,
            peers,
            log,
            members: Mutex::new(members),
            knowledge: Mutex::new(DirectoryKnowledge::default()),
            beat_now,
        })
    }

    /// Whether this instance should watch the platform's list.
    pub fn reads_list(&self, list_revision: Revision) -> bool {
        let now = self.clock.now();
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let knowledge = self.knowledge();
        let heard = members.list_confirmed_at(now, list_revision);
        let confirmed_at = knowledge.list_confirmed_at().max(heard);
        members.reads(now, confirmed_at, knowledge.can_read())
    }

    /// Whether nobody has confirmed the list for longer than is usual: engines
    /// may come and go unheard.
    pub fn list_is_lost(&self, list_revision: Revision) -> bool {
        let now = self.clock.now();
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let heard = members.list_confirmed_at(now, list_revision);
        let confirmed_at = self.knowledge().list_confirmed_at().max(heard);
        members.is_old(now, confirmed_at)
    }

    /// Whether this instance should watch the platform's configuration: as for
    /// the list, or because no peer hands over the newer one that it has.
    pub fn reads_config(&self, version: ConfigVersion) -> bool {
        let now = self.clock.now();
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let mut knowledge = self.knowledge();
        let heard = members.config_confirmed_at(now, version);
        let confirmed_at = knowledge.config_confirmed_at().max(heard);
        let is_ahead = members.is_ahead_in_config(now, version);
        let is_stuck = knowledge.config_is_behind(now, is_ahead);
        version == 0 || is_stuck || members.reads(now, confirmed_at, knowledge.can_read())
    }

    fn knowledge(&self) -> MutexGuard<'_, DirectoryKnowledge> {
        let locked = self.knowledge.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the platform answered about the list, with what changed.
    pub fn list_read(&self, news: Option<ListNews>) {
        let is_news = news.is_some();
        self.knowledge().list_read(self.clock.now(), news);
        if is_news {
            self.beat_now.notify_one();
        }
    }

    /// Notes that the platform answered about the configuration.
    pub fn config_read(&self) {
        self.knowledge().config_read(self.clock.now());
    }

    /// Notes that the platform can't be read.
    pub fn unreadable(&self) {
        self.knowledge().unreadable();
    }

    /// Tells the others at once that something is new here.
    pub fn beat_soon(&self) {
        self.beat_now.notify_one();
    }

    /// Sends heartbeats for the life of the process.
    pub async fn run_sender(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut sequence = 0;
        loop {
            let Some(own) = self.control.own_state().await else {
                return;
            };
            sequence += 1;
            self.send(&socket, own, sequence).await;
            let interval = {
                let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
                members.beat_interval()
            };
            tokio::select! {
                () = tokio::time::sleep(interval) => {}
                () = self.beat_now.notified() => tokio::time::sleep(GATHERING).await,
            }
        }
    }

    async fn send(&self, socket: &UdpSocket, own: OwnState, sequence: u64) {
        let (heartbeat, targets) = self.heartbeat(own, sequence);
        let Some(datagram) = heartbeat.seal(&self.settings.keyring) else {
            warn!(self.log, "heartbeat can't be encoded");
            return;
        };
        if datagram.len() > MAX_DATAGRAM_BYTES {
            warn!(self.log, "heartbeat is too large"; "bytes" => datagram.len());
            return;
        }
        for target in targets {
            // A lost heartbeat is followed by the next one.
            let _ = socket.send_to(&datagram, target).await;
        }
    }

    fn heartbeat(&self, own: OwnState, sequence: u64) -> (Heartbeat, Vec<SocketAddr>) {
        let now = self.clock.now();
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let mut knowledge = self.knowledge();
        let heard = members.list_confirmed_at(now, own.list_revision);
        let list_confirmed_at = knowledge.list_confirmed_at().max(heard);
        let heard = members.config_confirmed_at(now, own.config_version);
        let config_confirmed_at = knowledge.config_confirmed_at().max(heard);
        let age_ms = |at: Now| now.saturating_sub(at).as_millis() as u64;
        let heartbeat = Heartbeat {
            instance: self.identity.instance.clone(),
            incarnation: self.identity.incarnation.clone(),
            sequence,
            zone: self.settings.zone.clone(),
            config_version: own.config_version,
            config_age_ms: config_confirmed_at.map(age_ms),
            list_revision: own.list_revision,
            list_age_ms: list_confirmed_at.map(age_ms),
            can_read: knowledge.can_read(),
            addresses: members.told_addresses(now, &mut rand::rng()),
            shares: own.shares,
            said_leaving: own.said_leaving,
            news: knowledge.told_news(now),
        };
        (heartbeat, members.targets(now, &mut rand::rng()))
    }

    /// Receives heartbeats for the life of the process.
    pub async fn run_receiver(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0_u8; 1 << 16];
        let (behind, behind_out) = mpsc::channel(1);
        tokio::spawn(self.clone().run_fetches(behind_out));
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                // An earlier datagram met a closed port; that peer is gone.
                continue;
            };
            match Heartbeat::open(&buffer[..length], &self.settings.keyring) {
                Ok(heartbeat) if heartbeat.instance != self.identity.instance => {
                    self.take(from, heartbeat);
                    // A fetch that is already asked for is enough.
                    let _ = behind.try_send(());
                }
                Ok(_) => {}
                Err(fault) => warn!(self.log, "heartbeat refused";
                    "from" => from.to_string(), "cause" => fault.to_string()),
            }
        }
    }

    fn take(&self, from: SocketAddr, heartbeat: Heartbeat) {
        let now = self.clock.now();
        let at = |age_ms: u64| FleetMembers::confirmed_at(now, Duration::from_millis(age_ms));
        let state = MemberState {
            instance: heartbeat.instance.clone(),
            incarnation: heartbeat.incarnation.clone(),
            zone: heartbeat.zone,
            config_version: heartbeat.config_version,
            config_confirmed_at: heartbeat.config_age_ms.map(at),
            list_revision: heartbeat.list_revision,
            list_confirmed_at: heartbeat.list_age_ms.map(at),
            can_read: heartbeat.can_read,
        };
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        for address in &heartbeat.addresses {
            members.hear_of(now, *address);
        }
        if members.hear(now, from, state) {
            info!(self.log, "peer heard for the first time";
                "peer" => &heartbeat.instance, "incarnation" => &heartbeat.incarnation,
                "config_version" => heartbeat.config_version);
        }
        drop(members);
        for news in heartbeat.news {
            self.control.tell(GatewayMessage::ListNews {
                news,
                source: heartbeat.instance.clone(),
            });
        }
        for replica in heartbeat.said_leaving {
            self.control.tell(GatewayMessage::Leaves {
                replica,
                source: Some(heartbeat.instance.clone()),
            });
        }
        self.control.tell(GatewayMessage::PeerHeard {
            instance: heartbeat.instance,
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            shares: heartbeat.shares,
        });
    }

    /// Asks a peer that has been ahead for a while.
    async fn run_fetches(self: Arc<Self>, mut behind: mpsc::Receiver<()>) {
        while behind.recv().await.is_some() {
            let Some(before) = self.control.own_state().await else {
                return;
            };
            if self.peer_ahead(&before).is_none() {
                continue;
            }
            tokio::time::sleep(self.wait_before_fetch(&before)).await;
            let Some(own) = self.control.own_state().await else {
                return;
            };
            let is_stuck = own.config_version == before.config_version
                && own.list_revision == before.list_revision;
            if let Some((instance, address)) = self.peer_ahead(&own).filter(|_| is_stuck) {
                self.fetch(instance, address, &own).await;
            }
        }
    }

    fn wait_before_fetch(&self, own: &OwnState) -> Duration {
        let now = self.clock.now();
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        if own.config_version == 0 {
            Duration::ZERO
        } else if members.is_ahead_in_config(now, own.config_version) {
            BEHIND_FOR.mul_f64(rand::random())
        } else {
            BEHIND_FOR
        }
    }

    /// A random one of those that are ahead, so that not all ask the same.
    fn peer_ahead(&self, own: &OwnState) -> Option<(String, SocketAddr)> {
        let now = self.clock.now();
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let ahead = members.ahead(now, own.config_version, own.list_revision);
        let place = rand::random_range(0..ahead.len().max(1));
        let (address, state) = ahead.get(place)?;
        Some((state.instance.clone(), *address))
    }

    async fn fetch(&self, instance: String, address: SocketAddr, own: &OwnState) {
        let request = PeerRequest::Gateway {
            config_above: own.config_version,
            list_above: own.list_revision,
        };
        let answer = self
            .peers
            .ask(instance.clone(), address, request, FETCH_TIMEOUT);
        match answer.await {
            Ok(PeerReply::Gateway { config, list }) => {
                info!(self.log, "fetched from a peer"; "peer" => &instance,
                    "config_version" => config.as_ref().map(|config| config.version),
                    "list_revision" => list.as_ref().map(|list| list.revision));
                if let Some(config) = config {
                    self.control.tell(GatewayMessage::Config {
                        config: Arc::new(*config),
                        source: instance.clone(),
                    });
                }
                if let Some(list) = list {
                    self.control.tell(GatewayMessage::PeerList {
                        list,
                        source: instance,
                    });
                }
            }
            Ok(_) => warn!(self.log, "peer answered something else"; "peer" => instance),
            Err(error) => info!(self.log, "peer can't be asked";
                "peer" => instance, "cause" => error.to_string()),
        }
    }
}
