//! Server of the peer interface: verifies the sender, passes the request on and signs the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use futures::future::BoxFuture;
use iristhread_core::InstanceId;
use iristhread_core::Keyring;
use iristhread_core::PeerGuard;
use jsonrpsee::RpcModule;
use jsonrpsee::server::BatchRequestConfig;
use jsonrpsee::server::ServerBuilder;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::ErrorObjectOwned;
use slog::Logger;
use slog::warn;

use crate::completion::control_message::Identity;
use crate::peers::peer_message::PeerReply;
use crate::peers::peer_message::PeerRequest;
use crate::peers::peer_message::SignedMessage;
use crate::peers::peer_port::MAX_MESSAGE_BYTES;
use crate::peers::peer_port::PEER_METHOD;
use crate::peers::peer_port::sign;

/// JSON-RPC error code: the message failed verification.
const REFUSED: i32 = -32_001;
/// JSON-RPC error code: the request or the reply can't be parsed or encoded.
const UNREADABLE: i32 = -32_002;
/// JSON-RPC error code: the instance gives no answer, because it is stopping.
const STOPPING: i32 = -32_003;

/// Answers verified requests of peers.
pub trait PeerAnswers: Send + Sync {
    /// Returns the answer; `None` when the process is stopping or does not serve this request.
    fn answer(&self, from: InstanceId, request: PeerRequest) -> BoxFuture<'_, Option<PeerReply>>;
}

/// Identity of this process towards its peers.
pub struct PeerIdentity {
    /// Name and incarnation of this process.
    pub identity: Identity,
    /// Keys of the fleet.
    pub keyring: Keyring,
    /// Address to listen on.
    pub address: SocketAddr,
}

struct PeerServer {
    own: PeerIdentity,
    answers: Arc<dyn PeerAnswers>,
    guard: Mutex<PeerGuard>,
    log: Logger,
}

/// Starts the server of the peer interface; returns a handle that stops it, and its address.
///
/// # Errors
///
/// If the server can't listen on the address.
pub async fn serve_peers(
    own: PeerIdentity,
    answers: Arc<dyn PeerAnswers>,
    log: Logger,
) -> std::io::Result<(ServerHandle, SocketAddr)> {
    let config = ServerConfig::builder()
        .http_only()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .build();
    let server = ServerBuilder::with_config(config)
        .build(own.address)
        .await?;
    let address = server.local_addr()?;
    let guard = Mutex::new(PeerGuard::new(own.identity.instance.clone()));
    let mut module = RpcModule::new(PeerServer {
        own,
        answers,
        guard,
        log,
    });
    module
        .register_async_method(PEER_METHOD, |params, server, _| async move {
            let message: SignedMessage = params.one()?;
            server.answer(message).await
        })
        .map_err(std::io::Error::other)?;
    Ok((server.start(module), address))
}

impl PeerServer {
    async fn answer(&self, message: SignedMessage) -> Result<SignedMessage, ErrorObjectOwned> {
        self.check(&message)?;
        let request: PeerRequest = serde_json::from_str(&message.body)
            .map_err(|error| refusal(UNREADABLE, &error.to_string()))?;
        let reply = self.answers.answer(message.from.clone(), request).await;
        let reply = reply.ok_or_else(|| refusal(STOPPING, "the instance is stopping"))?;
        let body = serde_json::to_string(&reply)
            .map_err(|error| refusal(UNREADABLE, &error.to_string()))?;
        Ok(sign(
            &self.own.identity,
            &self.own.keyring,
            &message.from,
            message.sequence,
            body,
        ))
    }

    fn check(&self, message: &SignedMessage) -> Result<(), ErrorObjectOwned> {
        let mut guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        let checked = guard.accept(
            &self.own.keyring,
            (&message.from, &message.incarnation),
            &message.to,
            message.sequence,
            &message.body,
            &message.tag,
        );
        checked.map_err(|rejection| {
            warn!(self.log, "peer message failed verification"; "reason" => %rejection);
            refusal(REFUSED, &rejection.to_string())
        })
    }
}

fn refusal(code: i32, message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, message.to_owned(), None::<()>)
}
