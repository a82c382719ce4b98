//! Messages of the operators' interface: resources with their declared and observed state.

use std::str::FromStr;

use iristhread_core::ConfigVersion;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Kind of a resource.
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
    /// Backend servers: engines and service runners.
    BackendServers,
    /// Instances.
    Instances,
}

impl ResourceKind {
    /// All kinds with their names in URL paths.
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

/// Error for a name that is not a kind of resource.
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

/// A resource with its declared and observed state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// Name of the resource.
    pub name: String,
    /// State that the configuration in force declares.
    pub declared: serde_json::Value,
    /// State that this instance observes.
    pub observed: serde_json::Value,
}

/// The resources of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResourceList {
    /// Version to start a watch from; increases with each change that this instance observes.
    pub resource_version: u64,
    /// Version of the configuration in force.
    pub config_version: ConfigVersion,
    /// Instance that returned the list.
    pub instance: String,
    /// The resources.
    pub items: Vec<Resource>,
}

/// One change event of a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ResourceEvent {
    /// The resource was added or changed.
    Applied {
        /// Version after the change.
        resource_version: u64,
        /// State of the resource after the change.
        resource: Resource,
    },
    /// The resource was removed.
    Deleted {
        /// Version after the change.
        resource_version: u64,
        /// Name of the resource.
        name: String,
    },
}
