//! The configuration that operators publish on the platform.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::BackendId;
use crate::WorkspaceId;
use crate::ZoneId;

/// The whole published configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Models that callers may ask for.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Adapters on top of models.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
    /// Workspaces with their weights and limits.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Engines and plain service runners.
    #[serde(default)]
    pub backend_servers: Vec<BackendServer>,
    /// Operators that may read resources.
    #[serde(default)]
    pub operators: Vec<Operator>,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers use.
    pub name: String,
    /// Version that engines should serve.
    pub version: String,
    /// Longest prompt and answer together, in tokens.
    pub context_tokens: u32,
}

/// An adapter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name that callers use.
    pub name: String,
    /// The model that it belongs to.
    pub model: String,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceId,
    /// Share of the engines under contention, relative to the others.
    pub weight: u32,
    /// Priority of its requests when a request names none; higher goes first.
    #[serde(default)]
    pub priority: u8,
    /// Requests open at once per instance.
    pub max_open_requests: u32,
    /// Requests a second per instance.
    pub max_requests_per_s: u32,
    /// BLAKE3 hashes (hex) of the bearer keys of its callers.
    pub key_hashes: Vec<String>,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name in the path of a call.
    pub name: String,
    /// Whether a call may be repeated; not, if nothing is said.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether its runners check the idempotency key.
    #[serde(default)]
    pub checks_keys: bool,
}

/// What kind of work a backend server does.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// Generates tokens.
    Engine,
    /// Runs calls of a plain service.
    Service,
}

/// Which part of a generation an engine does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Reads prompts only.
    Prefill,
    /// Generates only.
    Decode,
    /// Does both.
    #[default]
    Both,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Its name.
    pub name: BackendId,
    /// Engine or service runner.
    pub kind: BackendKind,
    /// Where it stands.
    pub availability_zone: ZoneId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Models that an engine serves.
    #[serde(default)]
    pub models: Vec<String>,
    /// Role of an engine.
    #[serde(default)]
    pub role: EngineRole,
    /// Service that a service runner runs.
    #[serde(default)]
    pub service: Option<String>,
    /// Whether it is leaving: no new work goes there.
    #[serde(default)]
    pub leaving: bool,
}

/// An operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name for the log.
    pub name: String,
    /// BLAKE3 hash (hex) of its bearer key.
    pub key_hash: String,
}

impl Document {
    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The model of this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }

    /// The workspace of this name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces
            .iter()
            .find(|workspace| workspace.name == name)
    }

    /// Runners of a service that are not leaving.
    pub fn service_runners(&self, service: &str) -> Vec<&BackendServer> {
        let runs = |server: &&BackendServer| {
            server.kind == BackendKind::Service
                && !server.leaving
                && server.service.as_deref() == Some(service)
        };
        self.backend_servers.iter().filter(runs).collect()
    }
}
