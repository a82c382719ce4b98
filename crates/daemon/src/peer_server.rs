//! Answers the peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use iristhread_api::ConfigReply;
use iristhread_api::InstancesReply;
use iristhread_core::Event;
use iristhread_core::InstanceId;
use iristhread_core::PeerGuard;
use jsonrpsee::RpcModule;
use jsonrpsee::server::BatchRequestConfig;
use jsonrpsee::server::ServerBuilder;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::ErrorObjectOwned;
use slog::warn;

use crate::app::App;
use crate::control_message::ControlMessage;
use crate::control_message::Identity;
use crate::control_message::Versions;
use crate::peer_message::News;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;
use crate::peer_message::PeerVersions;
use crate::peer_message::SignedMessage;
use crate::peer_port::MAX_MESSAGE_BYTES;
use crate::peer_port::PEER_METHOD;
use crate::peer_port::sign;
use crate::platform_reader::offered;
use crate::service_call;

/// JSON-RPC codes of refusals.
const REFUSED: i32 = -32_001;
const UNREADABLE: i32 = -32_002;
const STOPPING: i32 = -32_003;

struct PeerServer {
    app: Arc<App>,
    guard: Mutex<PeerGuard>,
}

/// Serves the peers; the handle stops it.
///
/// # Errors
///
/// When the address can't be listened on.
pub async fn serve_peers(app: Arc<App>) -> std::io::Result<(ServerHandle, SocketAddr)> {
    let config = ServerConfig::builder()
        .http_only()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .build();
    let server = ServerBuilder::with_config(config)
        .build(app.settings.peer_address)
        .await?;
    let address = server.local_addr()?;
    let guard = Mutex::new(PeerGuard::new(app.identity.instance.clone()));
    let mut module = RpcModule::new(PeerServer { app, guard });
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
        let reply = match request {
            PeerRequest::Exchange(versions) => self.exchange(&message, versions).await,
            PeerRequest::Offer(news) => {
                tell_news(&self.app, &message.from, news);
                Some(PeerReply::Taken)
            }
            PeerRequest::RunCall(call) => {
                let answer = service_call::run_forwarded(&self.app, call).await;
                Some(PeerReply::CallAnswer(answer))
            }
            PeerRequest::Timeline { after, request } => {
                let ask = |reply| ControlMessage::Timeline {
                    after,
                    request,
                    reply,
                };
                let records = self.app.control.ask(ask).await;
                records.map(|records| PeerReply::Timeline { records })
            }
        };
        let reply = reply.ok_or_else(|| refusal(STOPPING, "the instance is stopping"))?;
        let body = serde_json::to_string(&reply)
            .map_err(|error| refusal(UNREADABLE, &error.to_string()))?;
        let (identity, keyring) = (&self.app.identity, &self.app.settings.keyring);
        Ok(sign(
            identity,
            keyring,
            &message.from,
            message.sequence,
            body,
        ))
    }

    fn check(&self, message: &SignedMessage) -> Result<(), ErrorObjectOwned> {
        let mut guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        let checked = guard.accept(
            &self.app.settings.keyring,
            (&message.from, &message.incarnation),
            &message.to,
            message.sequence,
            &message.body,
            &message.tag,
        );
        checked.map_err(|rejection| {
            warn!(self.app.log, "peer message refused"; "reason" => %rejection);
            refusal(REFUSED, &rejection.to_string())
        })
    }

    async fn exchange(&self, message: &SignedMessage, theirs: PeerVersions) -> Option<PeerReply> {
        let app = &self.app;
        let own = app
            .control
            .ask(|reply| ControlMessage::Versions { reply })
            .await?;
        tell_versions(app, message.from.clone(), &theirs);
        Some(PeerReply::Exchange {
            versions: versions_of(&app.identity, &own),
            news: news_for(app, &own, &theirs).await,
        })
    }
}

/// What this process has and a peer lacks.
pub async fn news_for(app: &App, own: &Versions, theirs: &PeerVersions) -> News {
    let instances = match theirs.roster_version < own.roster_version {
        true => instances_of(app, own.roster_version).await,
        false => None,
    };
    let config = config_for(own, theirs.config_version);
    News { config, instances }
}

/// Tells the decisions what a peer has sent.
pub fn tell_news(app: &App, source: &str, news: News) {
    if let Some(instances) = news.instances {
        app.control.tell(Event::RosterOffered {
            version: instances.version,
            entries: instances.entries,
        });
    }
    if let Some(config) = news.config {
        app.control.tell(offered(config, source));
    }
}

async fn instances_of(app: &App, version: u64) -> Option<InstancesReply> {
    let ask = |reply| ControlMessage::Roster { reply };
    let entries = app.control.ask(ask).await?;
    Some(InstancesReply { version, entries })
}

/// Tells the decisions what a peer has.
pub fn tell_versions(app: &App, instance: InstanceId, versions: &PeerVersions) {
    app.control.tell(Event::PeerHeard {
        instance,
        incarnation: versions.incarnation.clone(),
        config_version: versions.config_version,
        time: versions.time,
    });
    if let Some(age_ms) = versions.config_age_ms {
        app.control.tell(Event::ConfigConfirmed {
            version: versions.config_version,
            ago: Duration::from_millis(age_ms),
        });
    }
}

/// What a process has, as its peers are told.
pub fn versions_of(identity: &Identity, versions: &Versions) -> PeerVersions {
    PeerVersions {
        incarnation: identity.incarnation.clone(),
        config_version: versions.config_version,
        config_age_ms: versions.config_age_ms,
        roster_version: versions.roster_version,
        time: versions.time,
    }
}

fn config_for(own: &Versions, theirs: u64) -> Option<ConfigReply> {
    if theirs >= own.config_version {
        return None;
    }
    let document = own.document.as_deref()?;
    Some(ConfigReply {
        version: own.config_version,
        document: serde_json::to_value(document).ok()?,
    })
}

fn refusal(code: i32, message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, message.to_owned(), None::<()>)
}
