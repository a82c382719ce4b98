//! Answers of an instance to the requests of its peers.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use iristhread_api::ConfigReply;
use iristhread_api::InstancesReply;
use iristhread_core::Event;
use iristhread_core::InstanceId;
use iristhread_core::SuspectAppendix;

use crate::completion::app::App;
use crate::completion::control_message::ControlMessage;
use crate::completion::control_message::Identity;
use crate::completion::control_message::Versions;
use crate::completion::service_call;
use crate::peers::packed::Packed;
use crate::peers::peer_message::PeerReply;
use crate::peers::peer_message::PeerRequest;
use crate::peers::peer_message::PeerUpdate;
use crate::peers::peer_message::PeerVersions;
use crate::peers::peer_server::PeerAnswers;
use crate::platform::platform_reader::offered;

/// Answers requests from the state of an instance.
pub struct InstanceAnswers {
    app: Arc<App>,
}

impl InstanceAnswers {
    /// Creates the answers for the instance of `app`.
    pub fn new(app: Arc<App>) -> Self {
        InstanceAnswers { app }
    }

    async fn answered(&self, from: InstanceId, request: PeerRequest) -> Option<PeerReply> {
        match request {
            PeerRequest::Exchange(versions) => self.exchange(from, versions).await,
            PeerRequest::Offer(update) => {
                apply_peer_update(&self.app, &from, update);
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
            // Only gateways have this state.
            PeerRequest::Gateway { .. } => None,
        }
    }

    async fn exchange(&self, from: InstanceId, theirs: PeerVersions) -> Option<PeerReply> {
        let app = &self.app;
        let own = app
            .control
            .ask(|reply| ControlMessage::Versions { reply })
            .await?;
        apply_peer_versions(app, from, &theirs);
        Some(PeerReply::Exchange {
            versions: versions_of(&app.identity, &own),
            news: update_for(app, &own, &theirs).await,
        })
    }
}

impl PeerAnswers for InstanceAnswers {
    fn answer(&self, from: InstanceId, request: PeerRequest) -> BoxFuture<'_, Option<PeerReply>> {
        Box::pin(self.answered(from, request))
    }
}

/// Returns the state that this process has and a peer lacks.
pub async fn update_for(app: &App, own: &Versions, theirs: &PeerVersions) -> PeerUpdate {
    let instances = match theirs.roster_version < own.roster_version {
        true => instances_of(app, own.roster_version).await,
        false => None,
    };
    let config = config_for(own, theirs.config_version);
    PeerUpdate { config, instances }
}

/// Passes an update from a peer to the control thread.
pub fn apply_peer_update(app: &App, source: &str, update: PeerUpdate) {
    if let Some(instances) = update.instances {
        app.control.tell(Event::InstanceListOffered {
            version: instances.version,
            entries: instances.entries,
        });
    }
    if let Some(config) = update.config {
        app.control.tell(offered(config, source));
    }
}

async fn instances_of(app: &App, version: u64) -> Option<InstancesReply> {
    let ask = |reply| ControlMessage::InstanceList { reply };
    let entries = app.control.ask(ask).await?;
    Some(InstancesReply { version, entries })
}

/// Passes the versions and suspects of a peer to the control thread.
pub fn apply_peer_versions(app: &App, instance: InstanceId, versions: &PeerVersions) {
    app.control.tell(Event::PeerMessageReceived {
        instance,
        incarnation: versions.incarnation.clone(),
        config_version: versions.config_version,
        time: versions.time,
    });
    let suspects = versions.all_suspects();
    if !suspects.is_empty() {
        app.control.tell(Event::SuspectsReceived { suspects });
    }
    if let Some(age_ms) = versions.config_age_ms {
        app.control.tell(Event::ConfigConfirmed {
            version: versions.config_version,
            ago: Duration::from_millis(age_ms),
        });
    }
}

/// Returns the versions of this process in the form sent to peers.
pub fn versions_of(identity: &Identity, versions: &Versions) -> PeerVersions {
    let (suspects, appendix) = SuspectAppendix::divide(versions.suspects.clone());
    PeerVersions {
        incarnation: identity.incarnation.clone(),
        config_version: versions.config_version,
        config_age_ms: versions.config_age_ms,
        roster_version: versions.roster_version,
        time: versions.time,
        suspects: Packed(suspects),
        suspect_appendix: (!appendix.is_empty()).then_some(Packed(appendix)),
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
