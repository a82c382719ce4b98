//! HTTP front end: resolves the route, workspace and service of a request, reads its body and
//! relays it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::header;
use http::request::Parts;
use hyper::body::Body;
use hyper::body::Incoming;
use iristhread_core::Fingerprint;
use iristhread_core::FingerprintInput;
use iristhread_core::GatewayWorkspace;
use iristhread_core::MemoryKind;
use iristhread_core::MemoryOwner;
use iristhread_core::Now;
use iristhread_core::PromptParts;
use iristhread_core::RegionId;
use iristhread_core::RequestClass;
use iristhread_core::RequestRank;
use iristhread_core::Route;
use iristhread_core::RouteFault;
use iristhread_core::RouteTable;
use slog::info;

use crate::gateway::GatewayApp;
use crate::process::claimed_body::BodyFault;
use crate::process::claimed_body::BodyReader;
use crate::process::claimed_body::ClaimedBody;
use crate::process::connection_memory::HeadPause;
use crate::process::read_permit::ReadPermit;
use crate::relaying::buffered_call;
use crate::relaying::caller_answer;
use crate::relaying::caller_answer::CallerAnswer;
use crate::relaying::exchange::Exchange;
use crate::relaying::request_body::RequestBody;
use crate::relaying::stream_call;
use crate::relaying::unread_body;
use crate::relaying::wire_protocol::LastEvent;

/// Size up to which a body arrives with its head or right after it.
const MAX_PROMPT_BYTES: u64 = 64 << 10;

/// Maximum wait for memory that is about to come back.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(500);

/// Retry-After while no configuration is known. Peers and the platform are queried repeatedly in
/// the meantime.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Answers one request of a caller. `permit` is that of its connection, if this is its first request.
/// `head_pause` ends when the request is answered and its body was read.
pub async fn answer(
    app: Arc<GatewayApp>,
    request: Request<Incoming>,
    permit: Option<ReadPermit>,
    head_pause: HeadPause,
) -> CallerAnswer {
    let (parts, mut body) = request.into_parts();
    let is_sent_on_demand = unread_body::is_sent_on_demand(&parts.headers);
    let exchange = match app.table() {
        Some(table) => resolve(&app, &table, parts, &mut body, permit).await,
        None => {
            let message = "no configuration is in force here yet";
            let answer = caller_answer::not_run(NOT_READY_RETRY_AFTER, message);
            Err(Box::new(answer))
        }
    };
    if exchange.is_err() && !is_sent_on_demand {
        unread_body::discard(body, head_pause);
    }
    match exchange {
        Ok(exchange) => match exchange.route.class {
            RequestClass::Stream => stream_call::run(exchange).await,
            RequestClass::Repeatable | RequestClass::Once => buffered_call::run(&exchange).await,
        },
        Err(answer) => *answer,
    }
}

async fn resolve(
    app: &Arc<GatewayApp>,
    table: &RouteTable,
    parts: Parts,
    body: &mut Incoming,
    mut permit: Option<ReadPermit>,
) -> Result<Exchange, Box<CallerAnswer>> {
    let arrived = app.clock.now();
    let limits = &table.config().limits;
    if header_bytes(&parts.headers) > limits.max_header_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(refuse(status, "the headers are too large"));
    }
    let head = app
        .wire_protocol
        .read_caller_head(&parts.headers)
        .map_err(|fault| refuse(StatusCode::BAD_REQUEST, &fault.to_string()))?;
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
    let route = table
        .route(host, parts.uri.path())
        .map_err(|fault| refuse_unroutable(app, table, &head.request, fault))?;
    let workspace = table
        .workspace(route, head.key.as_deref())
        .map_err(|fault| refuse_unroutable(app, table, &head.request, fault))?;
    let after_event = match head.last_event {
        Some(LastEvent::Id(id)) if route.can_resume => id,
        Some(LastEvent::Unreadable) if route.can_resume => {
            let message = "the last event's id can't be read; it is a whole number";
            return Err(refuse(StatusCode::BAD_REQUEST, message));
        }
        // On other routes the caller gets the whole stream of a new run.
        _ => 0,
    };
    let service = table.service(route, &head.request).unwrap_or_default();
    let answer_timeout = head
        .answer_timeout
        .unwrap_or(route.timeout)
        .min(route.timeout);
    let answer_deadline = arrived + answer_timeout;
    let workspace_name = workspace.map(|workspace| workspace.name.clone());
    let workspace_rank = workspace.map_or(0, |workspace| workspace.rank);
    let owner = MemoryOwner {
        workspace: workspace_name.clone().unwrap_or_default(),
        rank: RequestRank {
            workspace: workspace_rank,
            route: route.rank,
        },
    };
    let is_large = is_large(body);
    if is_large {
        // Its body may arrive slowly; until then the request takes no place on the path to servers.
        drop(permit.take());
    }
    let body = read_body(app, body, owner, limits.max_body_bytes, answer_deadline)
        .await
        .map_err(|fault| refuse_unread(app, &head.request, &fault))?;
    if is_large {
        permit = Some(app.dialer.read_permit());
    }
    let fingerprint = Fingerprint::of(&FingerprintInput {
        workspace: workspace_name.as_deref(),
        method: parts.method.as_str(),
        host,
        path: parts.uri.path_and_query().map_or("/", |path| path.as_str()),
        body: &body.bytes,
    });
    let shared_parts = head.shared_parts.iter().map(String::as_str);
    let own_part = head.own_part.as_deref();
    Ok(Exchange {
        app: app.clone(),
        fingerprint,
        parts: PromptParts::of(workspace_name.as_deref(), shared_parts, own_part),
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body: RequestBody::new(body, app.memory.clone()),
        service: service.to_owned(),
        workspace: workspace_name,
        hides_key: table.config().workspaces.is_some(),
        workspace_rank,
        homes: allowed_home_regions(route, workspace),
        route: route.clone(),
        head,
        after_event,
        arrived,
        answer_deadline,
        read_permit: Mutex::new(permit),
    })
}

/// Returns the home regions that the request is restricted to, `None` for no restriction. The
/// restrictions of the route and of the workspace apply together.
fn allowed_home_regions(
    route: &Route,
    workspace: Option<&GatewayWorkspace>,
) -> Option<BTreeSet<RegionId>> {
    let workspace = workspace.and_then(|workspace| workspace.homes.as_ref());
    match (&route.homes, workspace) {
        (Some(route), Some(workspace)) => Some(route & workspace),
        (one, other) => one.as_ref().or(other).cloned(),
    }
}

fn refuse_unroutable(
    app: &GatewayApp,
    table: &RouteTable,
    request: &str,
    fault: RouteFault,
) -> Box<CallerAnswer> {
    info!(app.log, "request has no route or an unknown key";
        "request" => request,
        "fault" => format!("{fault:?}"),
        "config_version" => table.version());
    match fault {
        RouteFault::NoRoute => refuse(StatusCode::NOT_FOUND, "no such route"),
        RouteFault::UnknownKey => refuse(StatusCode::UNAUTHORIZED, "unknown key"),
    }
}

fn refuse(status: StatusCode, message: &str) -> Box<CallerAnswer> {
    Box::new(caller_answer::from_gateway(status, message))
}

/// Whether a body is longer than what arrives with its head, or may be.
fn is_large(body: &Incoming) -> bool {
    let announced = body.size_hint().exact();
    announced.is_none_or(|bytes| bytes > MAX_PROMPT_BYTES)
}

async fn read_body(
    app: &GatewayApp,
    body: &mut Incoming,
    owner: MemoryOwner,
    max_bytes: usize,
    answer_deadline: Now,
) -> Result<ClaimedBody, BodyFault> {
    let reader = BodyReader {
        memory: &app.memory,
        kind: MemoryKind::RequestBody,
        owner,
        max_bytes,
        max_wait: MAX_MEMORY_WAIT,
    };
    let until = app.clock.instant(answer_deadline);
    let read = tokio::time::timeout_at(until, reader.read(body));
    read.await.unwrap_or(Err(BodyFault::Late))
}

fn refuse_unread(app: &GatewayApp, request: &str, fault: &BodyFault) -> Box<CallerAnswer> {
    info!(app.log, "body of a request was not read";
        "request" => request, "cause" => fault.to_string());
    match fault {
        BodyFault::TooLarge => {
            let message = "the body is too large";
            refuse(StatusCode::PAYLOAD_TOO_LARGE, message)
        }
        BodyFault::Broken(_) => {
            let message = "the body can't be read";
            refuse(StatusCode::BAD_REQUEST, message)
        }
        BodyFault::Late => {
            let message = "the body did not arrive in time";
            refuse(StatusCode::REQUEST_TIMEOUT, message)
        }
        BodyFault::NoMemory(shortage) => refuse_for_memory(shortage.retry_after),
        BodyFault::System(_) => refuse_for_memory(NOT_READY_RETRY_AFTER),
    }
}

fn refuse_for_memory(retry_after: Duration) -> Box<CallerAnswer> {
    let message = "this instance has no memory for the body now; the request was not run";
    Box::new(caller_answer::not_run(retry_after, message))
}

fn header_bytes(headers: &HeaderMap) -> usize {
    // Each header line also has a colon, a space and CR LF: 4 bytes.
    let lines = headers.iter();
    lines
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum()
}
