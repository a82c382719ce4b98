//! The operators' interface: resources with declared and observed state.

use std::str::FromStr;

use iristhread_core::ConfigVersion;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Kinds of resources.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceKind {
    /// Models.
    Models,
    /// Adapters.
    Adapters,
    /// Versions of models.
    Versions,
    /// Roles of engines.
    EngineRoles,
    /// Workspaces.
    Workspaces,
    /// Engines and service runners.
    BackendServers,
    /// Entry instances.
    Instances,
}

impl ResourceKind {
    /// Every kind with its name in paths.
    pub const ALL: [(ResourceKind, &'static str); 7] = [
        (ResourceKind::Models, "models"),
        (ResourceKind::Adapters, "adapters"),
        (ResourceKind::Versions, "versions"),
        (ResourceKind::EngineRoles, "engine-roles"),
        (ResourceKind::Workspaces, "workspaces"),
        (ResourceKind::BackendServers, "backend-servers"),
        (ResourceKind::Instances, "instances"),
    ];
}

/// The name is no kind of resource.
#[derive(Debug, Error)]
#[error(
    "{0:?} is no kind of resource; use models, adapters, versions, engine-roles, workspaces, backend-servers or instances"
)]
pub struct UnknownKind(String);

impl FromStr for ResourceKind {
    type Err = UnknownKind;

    fn from_str(name: &str) -> Result<Self, UnknownKind> {
        let found = ResourceKind::ALL.iter().find(|(_, n)| *n == name);
        found
            .map(|(kind, _)| *kind)
            .ok_or_else(|| UnknownKind(name.to_owned()))
    }
}

/// One resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// Its name.
    pub name: String,
    /// As the configuration in force declares it.
    pub declared: serde_json::Value,
    /// As this instance sees it.
    pub observed: serde_json::Value,
}

/// All resources of a kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResourceList {
    /// Version to watch from: grows with each change that this instance sees.
    pub resource_version: u64,
    /// Version of the configuration in force.
    pub config_version: ConfigVersion,
    /// Instance that answers.
    pub instance: String,
    /// The resources.
    pub items: Vec<Resource>,
}

/// One change in a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ResourceEvent {
    /// The resource is new or has changed.
    Applied {
        /// Version after the change.
        resource_version: u64,
        /// The resource.
        resource: Resource,
    },
    /// The resource is gone.
    Deleted {
        /// Version after the change.
        resource_version: u64,
        /// Its name.
        name: String,
    },
}
