//! The HTTP API for operators; it is read-only.

use std::str::FromStr;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use iristhread_api::ResourceEvent;
use iristhread_api::ResourceKind;
use iristhread_api::ResourceList;
use iristhread_core::HybridTime;
use serde::Deserialize;
use tokio::sync::watch;
use viz::Body;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Router;

use crate::completion::api_error::ApiError;
use crate::completion::app::App;
use crate::completion::caller_api::json;
use crate::completion::caller_api::no_such_path;
use crate::completion::caller_api::respond_with;
use crate::completion::request_guard;
use crate::operators::fleet;
use crate::operators::resource_builder;

#[derive(Debug, Deserialize)]
struct WatchQuery {
    watch: Option<String>,
    from: Option<u64>,
}

#[derive(Debug, Default, Deserialize)]
struct TimelineQuery {
    request: Option<String>,
    #[serde(default)]
    after_wall_ms: u64,
    #[serde(default)]
    after_count: u32,
}

/// Returns the routes of the API for operators.
pub fn routes(app: &Arc<App>) -> Router {
    let one = app.clone();
    let all = app.clone();
    let timeline_of = app.clone();
    let status_of = app.clone();
    Router::new()
        .get("/v1/resources/:kind", move |r: Request| {
            respond_with(resources(all.clone(), r))
        })
        .get("/v1/resources/:kind/:name", move |r: Request| {
            respond_with(resources(one.clone(), r))
        })
        .get("/v1/timeline", move |r: Request| {
            respond_with(timeline(timeline_of.clone(), r))
        })
        .get("/v1/status", move |r: Request| {
            respond_with(status(status_of.clone(), r))
        })
        .any("/*", |_: Request| {
            respond_with(async { Err(no_such_path()) })
        })
}

async fn resources(app: Arc<App>, request: Request) -> Result<Response, ApiError> {
    request_guard::operator(&app, &request)?;
    let kind: String = request.param("kind").unwrap_or_default();
    let parsed = ResourceKind::from_str(&kind);
    parsed.map_err(|error| ApiError::not_found("unknown_kind", Some("kind"), error.to_string()))?;
    let name: Option<String> = request.param("name").ok();
    let query: WatchQuery = request
        .query()
        .map_err(|error| ApiError::invalid("invalid_query", Some("from"), error.to_string()))?;
    if query.watch.is_some() {
        resource_builder::refresh(&app).await;
        return watch_from(app, kind, name, query.from);
    }
    resource_builder::refresh(&app).await;
    let (resource_version, mut items) = app.resources.list(&kind);
    if let Some(name) = &name {
        items.retain(|item| item.name == *name);
        if items.is_empty() {
            let message = format!("there is no {kind} of the name {name:?}");
            return Err(ApiError::not_found(
                "no_such_resource",
                Some("name"),
                message,
            ));
        }
    }
    Ok(json(&ResourceList {
        resource_version,
        config_version: app.view().version,
        instance: app.identity.instance.clone(),
        items,
    }))
}

fn watch_from(
    app: Arc<App>,
    kind: String,
    name: Option<String>,
    from: Option<u64>,
) -> Result<Response, ApiError> {
    let seen = from.unwrap_or_else(|| app.resources.list(&kind).0);
    app.resources.changes(&kind, seen).map_err(|too_old| {
        let message = format!(
            "changes are kept from version {} on; list the resources again and watch from there",
            too_old.oldest
        );
        let mut error = ApiError::invalid("version_too_old", Some("from"), message);
        error.status = StatusCode::GONE;
        error
    })?;
    let versions = app.resources.versions();
    let watcher = Watcher {
        app,
        kind,
        name,
        seen,
        versions,
    };
    let body = stream::unfold(watcher, |mut watcher| async move {
        let lines = watcher.next().await?;
        Some((Ok::<_, std::io::Error>(lines), watcher))
    });
    let mut response = Response::new(Body::from_stream(body));
    let lines = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(header::CONTENT_TYPE, lines);
    Ok(response)
}

/// An open watch; sends one JSON line per change.
struct Watcher {
    app: Arc<App>,
    kind: String,
    name: Option<String>,
    seen: u64,
    versions: watch::Receiver<u64>,
}

impl Watcher {
    async fn next(&mut self) -> Option<Bytes> {
        loop {
            // A watch that has fallen behind the kept changes ends; its client lists again.
            let changes = self.app.resources.changes(&self.kind, self.seen).ok()?;
            let mut lines = String::new();
            for change in changes {
                self.seen = version_of(&change);
                if self.name.is_none() || self.name.as_deref() == Some(name_of(&change)) {
                    lines += &serde_json::to_string(&change).unwrap_or_default();
                    lines.push('\n');
                }
            }
            if !lines.is_empty() {
                return Some(Bytes::from(lines));
            }
            self.versions.changed().await.ok()?;
        }
    }
}

fn version_of(change: &ResourceEvent) -> u64 {
    match change {
        ResourceEvent::Applied {
            resource_version, ..
        }
        | ResourceEvent::Deleted {
            resource_version, ..
        } => *resource_version,
    }
}

fn name_of(change: &ResourceEvent) -> &str {
    match change {
        ResourceEvent::Applied { resource, .. } => &resource.name,
        ResourceEvent::Deleted { name, .. } => name,
    }
}

async fn timeline(app: Arc<App>, request: Request) -> Result<Response, ApiError> {
    request_guard::operator(&app, &request)?;
    let query: TimelineQuery = request.query().unwrap_or_default();
    let after = HybridTime {
        wall_ms: query.after_wall_ms,
        count: query.after_count,
    };
    Ok(json(&fleet::timeline(&app, after, query.request).await))
}

async fn status(app: Arc<App>, request: Request) -> Result<Response, ApiError> {
    request_guard::operator(&app, &request)?;
    Ok(json(&fleet::status(&app).await))
}
