//! Builds resources from a snapshot of the instance's state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use iristhread_api::Resource;
use iristhread_core::BackendKind;
use iristhread_core::Document;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::completion::app::App;
use crate::completion::control_message::BackendSnapshot;
use crate::completion::control_message::ControlMessage;
use crate::completion::control_message::InstanceSnapshot;
use crate::completion::control_message::Snapshot;
use crate::operators::resource_log::Resources;

/// Time between two comparisons of the resources.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a message after which an instance is shown as silent.
const SILENT_AFTER_MS: u64 = 30_000;

/// Refreshes resources and metrics until the process stops. Resources are compared only while a
/// watch is open: at the target fleet size this takes longer than all other periodic work.
pub async fn run_resources(app: Arc<App>) {
    let ask = |reply| ControlMessage::Versions { reply };
    while let Some(own) = app.control.ask(ask).await {
        app.metrics.load(own.queued as u64, own.running as u64);
        app.calls.forget_expired(app.clock.now());
        if app.resources.is_watched() {
            refresh(&app).await;
        }
        tokio::time::sleep(REFRESH_INTERVAL).await;
    }
}

/// Builds all resources anew and logs those that have changed.
pub async fn refresh(app: &App) {
    let ask = |reply| ControlMessage::Snapshot { reply };
    if let Some(snapshot) = app.control.ask(ask).await {
        app.resources.update(resources_of(&snapshot));
    }
}

/// Returns all resources by kind and name.
pub fn resources_of(snapshot: &Snapshot) -> Resources {
    let empty = Arc::new(Document::default());
    let document = snapshot.versions.document.as_ref().unwrap_or(&empty);
    let mut resources = Resources::new();
    resources.insert("models", models(document, snapshot));
    resources.insert("adapters", adapters(document, snapshot));
    resources.insert("versions", versions(document));
    resources.insert("engine-roles", engine_roles(document));
    resources.insert("workspaces", workspaces(document, snapshot));
    resources.insert("backend-servers", backend_servers(document, snapshot));
    resources.insert("instances", instances(snapshot));
    resources
}

type ResourcesByName = BTreeMap<String, Resource>;

fn models(document: &Document, snapshot: &Snapshot) -> ResourcesByName {
    let served_by = |model: &str| -> Vec<&str> {
        let serves = |s: &&iristhread_core::BackendServer| s.models.iter().any(|m| m == model);
        let servers = document.backend_servers.iter().filter(serves);
        let available = servers.filter(|s| ruled_out(snapshot, &s.name).is_none());
        available.map(|s| s.name.as_str()).collect()
    };
    let models = document.models.iter();
    resources_by_name(
        models,
        |m| &m.name,
        |m| json!({ "engines": served_by(&m.name) }),
    )
}

fn adapters(document: &Document, snapshot: &Snapshot) -> ResourcesByName {
    let held_by = |adapter: &str| -> Vec<&str> {
        let holds = |b: &&BackendSnapshot| {
            let report = b.report.as_ref();
            report.is_some_and(|r| r.adapters.iter().any(|a| a == adapter))
        };
        let holders = snapshot.backends.iter().filter(holds);
        holders.map(|b| b.name.as_str()).collect()
    };
    let adapters = document.adapters.iter();
    resources_by_name(
        adapters,
        |a| &a.name,
        |a| json!({ "engines": held_by(&a.name) }),
    )
}

fn versions(document: &Document) -> ResourcesByName {
    let models = document.models.iter();
    let lines = models.map(|model| {
        let name = format!("{}@{}", model.name, model.version);
        let declared = json!({ "model": model.name, "version": model.version });
        (name.clone(), resource(name, declared, Value::Null))
    });
    lines.collect()
}

fn engine_roles(document: &Document) -> ResourcesByName {
    let servers = document.backend_servers.iter();
    let engines = servers.filter(|server| server.kind == BackendKind::Engine);
    let lines = engines.map(|engine| {
        let declared = json!({ "role": engine.role });
        let name = engine.name.clone();
        (name.clone(), resource(name, declared, Value::Null))
    });
    lines.collect()
}

fn workspaces(document: &Document, snapshot: &Snapshot) -> ResourcesByName {
    let open: BTreeMap<&String, u32> = snapshot
        .open_requests
        .iter()
        .map(|(name, n)| (name, *n))
        .collect();
    let lines = document.workspaces.iter().map(|workspace| {
        let mut declared = declared(workspace);
        if let Some(fields) = declared.as_object_mut() {
            // Hashes of keys are not shown, not even to operators.
            fields.remove("key_hashes");
        }
        let observed = json!({ "open_requests": open.get(&workspace.name) });
        let name = workspace.name.clone();
        (name.clone(), resource(name, declared, observed))
    });
    lines.collect()
}

fn backend_servers(document: &Document, snapshot: &Snapshot) -> ResourcesByName {
    let observed = |name: &str| {
        let found = snapshot
            .backends
            .iter()
            .find(|backend| backend.name == name);
        found.map_or(Value::Null, observed_backend)
    };
    let servers = document.backend_servers.iter();
    resources_by_name(servers, |s| &s.name, |s| observed(&s.name))
}

/// Leaves out the sequence number of the load report, as it changes with every report.
fn observed_backend(backend: &BackendSnapshot) -> Value {
    let mut observed = declared(backend);
    if let Some(report) = observed.get_mut("report").and_then(Value::as_object_mut) {
        report.remove("sequence");
    }
    observed
}

fn instances(snapshot: &Snapshot) -> ResourcesByName {
    let lines = snapshot.instances.iter().map(|line| {
        let name = line.entry.instance.clone();
        (
            name.clone(),
            resource(name, declared(&line.entry), observed_instance(line)),
        )
    });
    lines.collect()
}

fn observed_instance(line: &InstanceSnapshot) -> Value {
    let Some((incarnation, version)) = &line.last_said else {
        return Value::Null;
    };
    let is_silent = line
        .silence_ms
        .is_none_or(|silence_ms| silence_ms > SILENT_AFTER_MS);
    json!({ "incarnation": incarnation, "config_version": version, "is_silent": is_silent })
}

fn ruled_out<'a>(snapshot: &'a Snapshot, name: &str) -> Option<&'a str> {
    let found = snapshot
        .backends
        .iter()
        .find(|backend| backend.name == name);
    found?.ruled_out.as_deref()
}

fn resources_by_name<'a, Item: Serialize + 'a>(
    items: impl Iterator<Item = &'a Item>,
    name: impl Fn(&Item) -> &String,
    observed: impl Fn(&Item) -> Value,
) -> ResourcesByName {
    let lines = items.map(|item| {
        let name = name(item).clone();
        (name.clone(), resource(name, declared(item), observed(item)))
    });
    lines.collect()
}

fn declared<Item: Serialize>(item: &Item) -> Value {
    serde_json::to_value(item).unwrap_or_default()
}

fn resource(name: String, declared: Value, observed: Value) -> Resource {
    Resource {
        name,
        declared,
        observed,
    }
}
