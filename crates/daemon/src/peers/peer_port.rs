//! Client of the peer interface.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::BoxFuture;
use iristhread_core::InstanceId;
use iristhread_core::Keyring;
use iristhread_core::PeerGuard;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::client::Error;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use thiserror::Error;

use crate::completion::control_message::Identity;
use crate::peers::peer_message::PeerReply;
use crate::peers::peer_message::PeerRequest;
use crate::peers::peer_message::SignedMessage;

/// The only JSON-RPC method of the peer interface.
pub const PEER_METHOD: &str = "iristhread_peer";

/// Limit of the size of a message in bytes: enough for a configuration of one megabyte whose JSON
/// is escaped twice.
pub const MAX_MESSAGE_BYTES: u32 = 8 << 20;

/// Reason why a peer gave no valid answer. The request may have been carried out. Callers of plain
/// services receive the text as part of an answer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The peer did not answer, or refused the request.
    #[error("instance {instance} can't be asked: {cause}")]
    Unreachable {
        /// The peer.
        instance: InstanceId,
        /// Description of the failure.
        cause: String,
    },
    /// The answer is not signed by the peer, or does not belong to the request.
    #[error("the answer of instance {instance} is not signed by it")]
    Forged {
        /// The peer.
        instance: InstanceId,
    },
}

/// Sends requests to peers.
pub trait PeerPort: Send + Sync {
    /// Sends a request and waits up to `timeout` for the answer.
    fn ask(
        &self,
        instance: InstanceId,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<PeerReply, PeerError>>;
}

/// Sends requests to peers over JSON-RPC.
pub struct JsonRpcPeers {
    identity: Identity,
    keyring: Keyring,
    sequence: AtomicU64,
}

impl JsonRpcPeers {
    /// Creates a client that signs its requests as `identity`.
    pub fn new(identity: Identity, keyring: Keyring) -> Self {
        JsonRpcPeers {
            identity,
            keyring,
            sequence: AtomicU64::new(1),
        }
    }

    /// Returns a client without a connection. Connections are not reused, because requests to
    /// peers are rare and an idle connection may have stalled.
    fn client(address: SocketAddr, timeout: Duration) -> Result<HttpClient, String> {
        HttpClientBuilder::default()
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .request_timeout(timeout)
            .build(format!("http://{address}"))
            .map_err(|error| error.to_string())
    }

    fn signed(&self, to: &InstanceId, request: &PeerRequest) -> Result<SignedMessage, String> {
        let body = serde_json::to_string(request).map_err(|error| error.to_string())?;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        Ok(sign(&self.identity, &self.keyring, to, sequence, body))
    }

    async fn exchange(
        &self,
        to: &InstanceId,
        address: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<(SignedMessage, u64), String> {
        let message = self.signed(to, request)?;
        let sequence = message.sequence;
        let client = Self::client(address, timeout)?;
        let answer = client.request(PEER_METHOD, rpc_params![message]).await;
        match answer {
            Ok(reply) => Ok((reply, sequence)),
            Err(Error::RequestTimeout) => Err("no answer in time".to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }
}

impl PeerPort for JsonRpcPeers {
    fn ask(
        &self,
        instance: InstanceId,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<PeerReply, PeerError>> {
        Box::pin(async move {
            let answer = self.exchange(&instance, address, &request, timeout).await;
            let (reply, sequence) = answer.map_err(|cause| PeerError::Unreachable {
                instance: instance.clone(),
                cause,
            })?;
            let own = &self.identity.instance;
            let genuine = is_reply(&self.keyring, own, &reply, (&instance, sequence));
            let parsed = serde_json::from_str(&reply.body).ok().filter(|_| genuine);
            parsed.ok_or(PeerError::Forged { instance })
        })
    }
}

/// Returns whether a message is signed by the peer that was asked and answers the request with this
/// sequence number.
pub fn is_reply(
    keyring: &Keyring,
    own: &InstanceId,
    reply: &SignedMessage,
    (from, sequence): (&InstanceId, u64),
) -> bool {
    let verified = PeerGuard::new(own.clone()).accept(
        keyring,
        (&reply.from, &reply.incarnation),
        &reply.to,
        reply.sequence,
        &reply.body,
        &reply.tag,
    );
    reply.from == *from && reply.sequence == sequence && verified.is_ok()
}

/// Signs a message as `identity`.
pub fn sign(
    identity: &Identity,
    keyring: &Keyring,
    to: &InstanceId,
    sequence: u64,
    body: String,
) -> SignedMessage {
    let from = (&identity.instance, &identity.incarnation);
    let tag = PeerGuard::sign(keyring, from, to, sequence, &body);
    SignedMessage {
        from: identity.instance.clone(),
        incarnation: identity.incarnation.clone(),
        to: to.clone(),
        sequence,
        body,
        tag,
    }
}
