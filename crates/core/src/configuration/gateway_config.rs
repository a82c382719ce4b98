//! The operators' configuration of the gateway: routes, services, limits, and the workspaces
//! whose callers may use them.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ConfigVersion;
use crate::RegionId;
use crate::WorkspaceId;

/// How a request may be handled after a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// Answered by an event stream; runs at most once.
    Stream,
    /// May run any number of times.
    Repeatable,
    /// Runs at most once.
    Once,
}

/// One target service of a route, with its share of the requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the other targets.
    pub weight: u32,
}

/// The services for the requests of a host and path, and the handling of these requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name that appears in logs.
    pub name: String,
    /// Requested host, in lower case and without a port.
    pub host: String,
    /// Prefix of the requested paths; starts and ends with a slash.
    pub path_prefix: String,
    /// How its requests may be handled after a failure.
    pub class: RequestClass,
    /// Maximum time from the request to its final answer.
    pub timeout: Duration,
    /// Target latency of the answer, or of the first event of a stream.
    pub objective: Duration,
    /// Longest pause between two events of a stream that still counts as in time; `None` if the
    /// operators name none.
    #[serde(default)]
    pub pause_objective: Option<Duration>,
    /// Priority of its requests; 0 is the highest.
    pub rank: u8,
    /// Services that run its requests.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Whether a stream may be restarted from a given event; false for all other classes.
    #[serde(default)]
    pub can_resume: bool,
    /// Whether callers without a key are served.
    pub allow_anonymous: bool,
    /// Regions whose backend servers may receive its requests; `None` for all regions.
    #[serde(default)]
    pub homes: Option<BTreeSet<RegionId>>,
}

/// Capacity and capabilities of the engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineTraits {
    /// Number of sessions that one engine batches.
    pub slots: u32,
    /// Number of tokens that fit into the memory of one engine.
    pub memory_tokens: u64,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Whether a running session can be moved to another engine.
    pub can_move: bool,
    /// Whether an engine can hold a backup of a session that runs on another engine.
    pub can_back_up: bool,
}

/// A service behind the gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayService {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections to one backend server, for all callers together.
    pub max_connections: u32,
    /// Requests per second that a cold backend server can handle; 0 if no such bound is known.
    #[serde(default)]
    pub cold_per_s: f64,
    /// Traits of the engines; `None` if its backend servers are not engines.
    pub engine: Option<EngineTraits>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to send the headers.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection between two requests.
    pub idle_timeout: Duration,
}

/// A workspace with the keys of its callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayWorkspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// BLAKE3 hashes (hex) of its callers' keys.
    pub key_hashes: Vec<String>,
    /// Priority of its requests, 0 is the highest; it takes precedence over that of the route.
    pub rank: u8,
    /// Regions whose backend servers may receive its requests; `None` for all regions.
    #[serde(default)]
    pub homes: Option<BTreeSet<RegionId>>,
}

/// One version of the whole configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayConfig {
    /// Version of the configuration; it only increases.
    pub version: ConfigVersion,
    /// Routes of requests by host and path.
    pub routes: Vec<Route>,
    /// Services that routes may refer to.
    pub services: Vec<GatewayService>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    /// Workspaces with the keys of their callers; `None` if callers need no key.
    pub workspaces: Option<Vec<GatewayWorkspace>>,
}

impl GatewayConfig {
    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&GatewayService> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the faults that prevent the use of this configuration, as messages.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.version == 0 {
            faults.push("the version is 0; versions count from 1".to_owned());
        }
        let services: HashSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut host_paths = HashSet::new();
        for route in &self.routes {
            check_route(route, &services, &mut faults);
            if !host_paths.insert((&route.host, &route.path_prefix)) {
                faults.push(format!("route {} repeats a host and path", route.name));
            }
        }
        faults
    }
}

fn check_route(route: &Route, services: &HashSet<&str>, faults: &mut Vec<String>) {
    let name = &route.name;
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        faults.push(format!("the path of route {name} lacks a slash at an end"));
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        faults.push(format!("route {name} leads to no service"));
    }
    for target in &route.targets {
        if !services.contains(target.service.as_str()) {
            let service = &target.service;
            faults.push(format!(
                "route {name} leads to the unknown service {service}"
            ));
        }
    }
    if route.timeout.is_zero() {
        faults.push(format!("the timeout of route {name} is 0"));
    }
}
