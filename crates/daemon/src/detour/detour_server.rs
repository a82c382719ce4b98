//! Connects to backend servers for peers that can't reach them, and carries the bytes.
//!
//! Everything that concerns the request is decided by the peer that sends it: the choice of the
//! server, drains, backoffs, limits, retries and the deadline. This side only opens the connection
//! and ends it as soon as either end closes.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use iristhread_api::ServerConnection;
use iristhread_core::MemoryAsk;
use iristhread_core::MemoryKind;
use iristhread_core::MemoryOwner;
use iristhread_core::PeerGuard;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::detour::carried_end::CarriedEnd;
use crate::detour::carried_stream::CarriedForm;
use crate::detour::detour_message::DetourFault;
use crate::detour::detour_message::DetourReply;
use crate::detour::detour_message::DetourRequest;
use crate::detour::detour_message::read_message;
use crate::detour::detour_message::write_message;
use crate::detour::keep_alive;
use crate::gateway::GatewayApp;
use crate::peers::peer_message::SignedMessage;
use crate::peers::peer_port::sign;
use crate::process::memory::MemoryClaim;

/// Time within which a peer sends its request after it has connected.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a connection whose server has closed waits for the peer to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failed accept: the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Maximum number of connections whose request has not arrived yet.
const MAX_PENDING: usize = 64;

/// Memory of one carried connection: buffers of both directions and a record.
const CARRIED_BYTES: u64 = 48 << 10;

/// Accepts detours of peers.
pub struct DetourServer {
    app: Arc<GatewayApp>,
    guard: Mutex<PeerGuard>,
    carried: Semaphore,
    pending: Semaphore,
}

/// A place among the carried connections, with its memory.
struct CarriedPermit<'a> {
    _place: SemaphorePermit<'a>,
    _memory: MemoryClaim,
}

impl DetourServer {
    /// Creates a server that carries at most `max_detours` connections of the settings.
    pub fn new(app: Arc<GatewayApp>) -> Arc<Self> {
        Arc::new(DetourServer {
            guard: Mutex::new(PeerGuard::new(app.identity.instance.clone())),
            carried: Semaphore::new(app.settings.max_detours),
            pending: Semaphore::new(MAX_PENDING),
            app,
        })
    }

    /// Accepts connections until the process ends.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            tokio::spawn(self.clone().serve(stream, from));
        }
    }

    /// Waits until no connection is carried any more. New ones are refused while the instance is
    /// stopping.
    pub async fn drained(&self) {
        let all = u32::try_from(self.app.settings.max_detours).unwrap_or(u32::MAX);
        // Fails only if the semaphore is closed, which never happens.
        let _ = self.carried.acquire_many(all).await;
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream, from: SocketAddr) {
        let Ok(pending) = self.pending.try_acquire() else {
            return;
        };
        let read = tokio::time::timeout(REQUEST_TIMEOUT, self.read_request(&mut stream));
        let (message, request) = match read.await {
            Ok(Ok(read)) => read,
            Ok(Err(fault)) => {
                warn!(self.app.log, "detour request rejected";
                    "from" => from.to_string(), "cause" => fault.to_string());
                return;
            }
            Err(_) => return,
        };
        drop(pending);
        let form = request.form();
        let connected = self.connect(&request).await;
        let reply = match &connected {
            Ok(_) => DetourReply::connected(form),
            Err(reply) => *reply,
        };
        self.app.metrics.detour_served(reply.as_str());
        info!(self.app.log, "peer asked for a connection to a backend server";
            "peer" => &message.from, "backend_server" => &request.server,
            "reply" => reply.as_str());
        if let Err(fault) = self.answer(&mut stream, &message, reply).await {
            info!(self.app.log, "reply to a detour request failed";
                "peer" => &message.from, "cause" => fault.to_string());
            return;
        }
        if let Ok((server, _permit)) = connected {
            let end = carry(stream, server, form).await;
            info!(self.app.log, "carried connection ended";
                "peer" => &message.from, "backend_server" => &request.server,
                "end" => end.as_str(), "cause" => end.cause());
        }
    }

    async fn read_request(
        &self,
        stream: &mut TcpStream,
    ) -> Result<(SignedMessage, DetourRequest), DetourFault> {
        stream.set_nodelay(true)?;
        keep_alive::enable(stream)?;
        let message = read_message(stream).await?;
        let verified = {
            let mut guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
            guard.accept(
                &self.app.settings.keyring,
                (&message.from, &message.incarnation),
                &message.to,
                message.sequence,
                &message.body,
                &message.tag,
            )
        };
        verified.map_err(|_| DetourFault::Forged)?;
        let request = serde_json::from_str(&message.body)?;
        Ok((message, request))
    }

    /// Connects to the server if this instance may carry one more connection.
    async fn connect(
        &self,
        request: &DetourRequest,
    ) -> Result<(ServerConnection, CarriedPermit<'_>), DetourReply> {
        if self.app.is_stopping() {
            return Err(DetourReply::Stopping);
        }
        let permit = self.permit().ok_or(DetourReply::Full)?;
        let server = self.app.dialer.connect_for_peer(&request.server).await?;
        Ok((server, permit))
    }

    /// Returns the permit for one more connection if its memory fits, too.
    fn permit(&self) -> Option<CarriedPermit<'_>> {
        let ask = MemoryAsk {
            kind: MemoryKind::Carried,
            bytes: CARRIED_BYTES,
            owner: MemoryOwner::default(),
        };
        Some(CarriedPermit {
            _place: self.carried.try_acquire().ok()?,
            _memory: self.app.memory.try_claim(&ask).ok()?,
        })
    }

    async fn answer(
        &self,
        stream: &mut TcpStream,
        request: &SignedMessage,
        reply: DetourReply,
    ) -> Result<(), DetourFault> {
        let body = serde_json::to_string(&reply)?;
        let reply = sign(
            &self.app.identity,
            &self.app.settings.keyring,
            &request.from,
            request.sequence,
            body,
        );
        write_message(stream, &reply).await
    }
}

/// Forwards bytes in both directions. When the peer closes, the connection to the server closes at
/// once: a client never closes only its own direction, and a request that was cut lacks a part of its
/// length. When the server closes, the peer still
/// receives everything that the server sent, and that it closed in order.
async fn carry(peer: TcpStream, server: ServerConnection, form: CarriedForm) -> CarriedEnd {
    let (mut peer_in, peer_out) = peer.into_split();
    let (server_in, mut server_out) = tokio::io::split(server);
    let mut requests = pin!(tokio::io::copy(&mut peer_in, &mut server_out));
    let answered = tokio::select! {
        _ = &mut requests => return CarriedEnd::ByPeer,
        answered = form.forward(server_in, peer_out) => answered,
    };
    if let Err(error) = answered {
        return CarriedEnd::Broken(error);
    }
    // Closing with unread bytes would discard what the peer has not received yet.
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, requests).await;
    CarriedEnd::ByServer
}
