//! Queries all instances on behalf of an operator.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use iristhread_api::FleetTimeline;
use iristhread_api::InstanceStatus;
use iristhread_core::HybridTime;
use iristhread_core::InstanceEntry;

use crate::completion::app::App;
use crate::completion::control_message::ControlMessage;
use crate::peers::peer_answers::versions_of;
use crate::peers::peer_message::PeerReply;
use crate::peers::peer_message::PeerRequest;

/// Maximum wait for the answer of one instance.
const INSTANCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of instances queried at once.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// Returns the timeline of all reachable instances, ordered by time.
pub async fn timeline(app: &App, after: HybridTime, request: Option<String>) -> FleetTimeline {
    let own = request.clone();
    let ask = |reply| ControlMessage::Timeline {
        after,
        request: own,
        reply,
    };
    let mut records = app.control.ask(ask).await.unwrap_or_default();
    let mut unreachable = Vec::new();
    let query = PeerRequest::Timeline { after, request };
    for (instance, answer) in query_all(app, query).await {
        match answer {
            Some(PeerReply::Timeline {
                records: peer_records,
            }) => records.extend(peer_records),
            _ => unreachable.push(instance),
        }
    }
    records.sort_by(|a, b| (a.time, &a.instance).cmp(&(b.time, &b.instance)));
    FleetTimeline {
        records,
        unreachable,
    }
}

/// Returns the configuration in force on each listed instance.
pub async fn status(app: &App) -> BTreeMap<String, InstanceStatus> {
    let mut statuses = BTreeMap::new();
    let ask = |reply| ControlMessage::Snapshot { reply };
    let Some(snapshot) = app.control.ask(ask).await else {
        return statuses;
    };
    let versions = versions_of(&app.identity, &snapshot.versions);
    let mut own = InstanceStatus::reached(versions.config_version, versions.config_age_ms);
    own.refused = snapshot.refused.map(|(version, faults)| {
        let fault_texts = faults.iter().map(ToString::to_string).collect::<Vec<_>>();
        format!("version {version}: {}", fault_texts.join("; "))
    });
    statuses.insert(app.identity.instance.clone(), own);
    for (instance, answer) in query_all(app, PeerRequest::Exchange(versions)).await {
        let status = match answer {
            Some(PeerReply::Exchange { versions, .. }) => {
                InstanceStatus::reached(versions.config_version, versions.config_age_ms)
            }
            _ => InstanceStatus::default(),
        };
        statuses.insert(instance, status);
    }
    statuses
}

async fn query_all(app: &App, query: PeerRequest) -> Vec<(String, Option<PeerReply>)> {
    let ask = |reply| ControlMessage::InstanceList { reply };
    let entries = app.control.ask(ask).await.unwrap_or_default().into_iter();
    let others = entries.filter(|entry| entry.instance != app.identity.instance);
    let queries = others.map(|entry| query_instance(app, entry, query.clone()));
    stream::iter(queries)
        .buffer_unordered(MAX_CONCURRENT_QUERIES)
        .collect()
        .await
}

async fn query_instance(
    app: &App,
    entry: InstanceEntry,
    query: PeerRequest,
) -> (String, Option<PeerReply>) {
    let instance = entry.instance.clone();
    let answer = app.peers.ask(
        instance.clone(),
        entry.peer_address,
        query,
        INSTANCE_TIMEOUT,
    );
    (instance, answer.await.ok())
}
