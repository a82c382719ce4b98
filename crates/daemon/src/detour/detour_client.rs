//! Opens connections to backend servers through a peer.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use iristhread_api::observed_timeout;
use iristhread_core::BackendId;
use iristhread_core::InstanceId;
use iristhread_core::Keyring;
use thiserror::Error;
use tokio::net::TcpStream;

use crate::completion::control_message::Identity;
use crate::detour::detour_message::DetourFault;
use crate::detour::detour_message::DetourReply;
use crate::detour::detour_message::DetourRequest;
use crate::detour::detour_message::read_message;
use crate::detour::detour_message::write_message;
use crate::detour::keep_alive;
use crate::peers::peer_port::is_reply;
use crate::peers::peer_port::sign;

/// Timeout of a connection attempt to a peer.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of the peer's reply: its own connection attempt, and that to a second server by which it
/// checks its connectivity.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a peer gave no valid reply.
#[derive(Debug, Error)]
pub enum DetourError {
    /// The peer can't be connected to.
    #[error("the peer can't be reached: {0}")]
    Unreachable(String),
    /// No reply in time.
    #[error("the peer gave no reply in time")]
    Silent,
    /// The exchange of messages failed.
    #[error(transparent)]
    Fault(#[from] DetourFault),
}

/// A peer to which a request is sent.
#[derive(Clone, Debug)]
pub struct DetourTarget {
    /// Name of the peer.
    pub instance: InstanceId,
    /// Address at which it accepts detours.
    pub address: SocketAddr,
}

/// Requests connections from peers. Each request uses a connection of its own, which then carries
/// the bytes: an idle connection could have fallen silent.
pub struct DetourClient {
    identity: Identity,
    keyring: Keyring,
    sequence: AtomicU64,
}

impl DetourClient {
    /// Creates a client that signs its requests as `identity`.
    pub fn new(identity: Identity, keyring: Keyring) -> Self {
        DetourClient {
            identity,
            keyring,
            sequence: AtomicU64::new(1),
        }
    }

    /// Requests a connection to `server` from a peer. After either form of `Connected` the stream
    /// carries the bytes of the connection.
    ///
    /// # Errors
    ///
    /// [`DetourError`] if the peer gave no valid reply; no byte was sent to the server.
    pub async fn open(
        &self,
        peer: &DetourTarget,
        server: &BackendId,
    ) -> Result<(DetourReply, TcpStream), DetourError> {
        let connecting = TcpStream::connect(peer.address);
        let mut stream = observed_timeout(PEER_CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|none| DetourError::Unreachable(none.to_string()))?
            .map_err(|error| DetourError::Unreachable(error.to_string()))?;
        stream.set_nodelay(true).map_err(DetourFault::from)?;
        keep_alive::enable(&stream).map_err(DetourFault::from)?;
        let exchanged = self.exchange(&mut stream, peer, server);
        let reply = observed_timeout(REPLY_TIMEOUT, exchanged)
            .await
            .map_err(|_| DetourError::Silent)??;
        Ok((reply, stream))
    }

    async fn exchange(
        &self,
        stream: &mut TcpStream,
        peer: &DetourTarget,
        server: &BackendId,
    ) -> Result<DetourReply, DetourFault> {
        let request = DetourRequest {
            server: server.clone(),
            reads_records: true,
        };
        let body = serde_json::to_string(&request)?;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let message = sign(
            &self.identity,
            &self.keyring,
            &peer.instance,
            sequence,
            body,
        );
        write_message(stream, &message).await?;
        let reply = read_message(stream).await?;
        let own = &self.identity.instance;
        if !is_reply(&self.keyring, own, &reply, (&peer.instance, sequence)) {
            return Err(DetourFault::Forged);
        }
        Ok(serde_json::from_str(&reply.body)?)
    }
}
