//! Answers the peers: checks who asks, hands the request on, signs the answer.

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

/// JSON-RPC codes of refusals.
const REFUSED: i32 = -32_001;
const UNREADABLE: i32 = -32_002;
const STOPPING: i32 = -32_003;

/// Answers requests of peers that were found genuine.
pub trait PeerAnswers: Send + Sync {
    /// The answer; `None` when the process is stopping.
    fn answer(&self, from: InstanceId, request: PeerRequest) -> BoxFuture<'_, Option<PeerReply>>;
}

/// Who this process is towards its peers.
pub struct PeerIdentity {
    /// Its name and life.
    pub identity: Identity,
    /// Keys of the fleet.
    pub keyring: Keyring,
    /// Where it listens.
    pub address: SocketAddr,
}

struct PeerServer {
    own: PeerIdentity,
    answers: Arc<dyn PeerAnswers>,
    guard: Mutex<PeerGuard>,
    log: Logger,
}

/// Serves the peers; the handle stops it.
///
/// # Errors
///
/// When the address can't be listened on.
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
            warn!(self.log, "peer message refused"; "reason" => %rejection);
            refusal(REFUSED, &rejection.to_string())
        })
    }
}

fn refusal(code: i32, message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, message.to_owned(), None::<()>)
}
