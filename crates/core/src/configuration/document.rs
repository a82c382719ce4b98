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
    /// Models that callers may request.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Adapters on top of models.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
    /// Workspaces with their weights and limits.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
    /// Services other than models.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Engines and service runners.
    #[serde(default)]
    pub backend_servers: Vec<BackendServer>,
    /// Operators that may read resources.
    #[serde(default)]
    pub operators: Vec<Operator>,
}

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers use in requests.
    pub name: String,
    /// Version that engines should serve.
    pub version: String,
    /// Maximum length of prompt and answer together, in tokens.
    pub context_tokens: u32,
}

/// An adapter on top of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name that callers use in requests.
    pub name: String,
    /// Name of the model that it belongs to.
    pub model: String,
}

/// A workspace: a group of callers with common keys, limits and priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Share of the engines under contention, relative to the others.
    pub weight: u32,
    /// Default priority of its requests; a higher priority goes first.
    #[serde(default)]
    pub priority: u8,
    /// Maximum number of concurrently open requests per instance.
    pub max_open_requests: u32,
    /// Maximum number of requests per second per instance.
    pub max_requests_per_s: u32,
    /// BLAKE3 hashes (hex) of the bearer keys of its callers.
    pub key_hashes: Vec<String>,
}

/// A service other than a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name that is used in the path of a call.
    pub name: String,
    /// Whether a call may be repeated; false by default.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether its runners check the idempotency key.
    #[serde(default)]
    pub checks_keys: bool,
}

/// Kind of work of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// Generates tokens.
    Engine,
    /// Runs calls of a service.
    Service,
}

/// The phases of a generation that an engine runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Only processes prompts.
    Prefill,
    /// Only generates tokens.
    Decode,
    /// Processes prompts and generates tokens.
    #[default]
    Both,
}

/// A backend server: an engine or a service runner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Id of the backend server.
    pub name: BackendId,
    /// Whether it is an engine or a service runner.
    pub kind: BackendKind,
    /// Availability zone of the backend server.
    pub availability_zone: ZoneId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Models that an engine serves.
    #[serde(default)]
    pub models: Vec<String>,
    /// Phases of a generation that an engine runs.
    #[serde(default)]
    pub role: EngineRole,
    /// Name of the service, for a service runner.
    #[serde(default)]
    pub service: Option<String>,
    /// Whether it is draining: it receives no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// An operator with read access to the resources.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name that appears in logs.
    pub name: String,
    /// BLAKE3 hash (hex) of its bearer key.
    pub key_hash: String,
}

impl Document {
    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the model with this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Returns the workspace with this name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces
            .iter()
            .find(|workspace| workspace.name == name)
    }

    /// Returns the runners of a service that are not draining.
    pub fn service_runners(&self, service: &str) -> Vec<&BackendServer> {
        let runs = |server: &&BackendServer| {
            server.kind == BackendKind::Service
                && !server.leaving
                && server.service.as_deref() == Some(service)
        };
        self.backend_servers.iter().filter(runs).collect()
    }
}
