//! The operators' configuration of the gateway: routes, services, limits and
//! the workspaces whose callers may use them.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ConfigVersion;
use crate::RegionId;
use crate::WorkspaceId;

/// What may be done with a request after a failure.
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

/// One service that a route leads to, with its share of the requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: String,
    /// Its share relative to the other targets.
    pub weight: u32,
}

/// Where requests of a host and path go, and how they are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Host that callers ask for, in lower case and without a port.
    pub host: String,
    /// Beginning of the paths; starts and ends with a slash.
    pub path_prefix: String,
    /// What may be done after a failure.
    pub class: RequestClass,
    /// Longest time from the request to its final answer.
    pub timeout: Duration,
    /// Time in which the answer (or the first event) should be there.
    pub objective: Duration,
    /// Urgency, 0 is the most urgent.
    pub rank: u8,
    /// Services that run it.
    pub targets: Vec<RouteTarget>,
    /// Most backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether a stream may be run again from an event on; false for all other
    /// classes.
    #[serde(default)]
    pub can_resume: bool,
    /// Whether callers without a key are served.
    pub allow_anonymous: bool,
    /// Regions whose backend servers alone may get its requests; `None` for all.
    #[serde(default)]
    pub homes: Option<BTreeSet<RegionId>>,
}

/// What the engines of a service can do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineTraits {
    /// Sessions that one engine batches.
    pub slots: u32,
    /// Tokens that fit into the memory of one engine.
    pub memory_tokens: u64,
    /// Tokens of one event of a stream.
    pub tokens_per_event: u32,
    /// Whether a running session can be moved to another engine.
    pub can_move: bool,
    /// Whether an engine can keep a copy of a session that runs elsewhere.
    pub can_back_up: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayService {
    /// Its name.
    pub name: String,
    /// Connections that one backend server takes from all callers together.
    pub max_connections: u32,
    /// Requests a second that a backend server bears while it is cold; 0 where no such
    /// bound is known.
    #[serde(default)]
    pub cold_per_s: f64,
    /// Present when its backend servers are engines.
    pub engine: Option<EngineTraits>,
}

/// Limits of what callers may send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Most bytes of a request's headers.
    pub max_header_bytes: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Longest time to send the headers.
    pub header_timeout: Duration,
    /// Longest rest of a connection between two requests.
    pub idle_timeout: Duration,
}

/// A workspace with the keys of its callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayWorkspace {
    /// Its name.
    pub name: WorkspaceId,
    /// BLAKE3 hashes (hex) of its callers' keys.
    pub key_hashes: Vec<String>,
    /// Urgency of its requests, 0 is the most urgent; goes before the route's.
    pub rank: u8,
    /// Regions whose backend servers alone may get its requests; `None` for all.
    #[serde(default)]
    pub homes: Option<BTreeSet<RegionId>>,
}

/// One version of the whole configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayConfig {
    /// Its version; only grows.
    pub version: ConfigVersion,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<GatewayService>,
    /// Limits of what callers may send.
    pub limits: CallerLimits,
    /// The workspaces; `None` where callers need no key.
    pub workspaces: Option<Vec<GatewayWorkspace>>,
}

impl GatewayConfig {
    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&GatewayService> {
        self.services.iter().find(|service| service.name == name)
    }

    /// What keeps this configuration from being used, as sentences.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.version == 0 {
            faults.push("the version is 0; versions count from 1".to_owned());
        }
        let services: HashSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut places = HashSet::new();
        for route in &self.routes {
            check_route(route, &services, &mut faults);
            if !places.insert((&route.host, &route.path_prefix)) {
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
