//! Looks up the route, the workspace and the service of a request.

use std::collections::HashMap;
use std::sync::Arc;

use crate::ConfigVersion;
use crate::GatewayConfig;
use crate::GatewayWorkspace;
use crate::KeyIndex;
use crate::KeyOwner;
use crate::Route;

/// Why a request has no route. This is decided before anything is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteFault {
    /// No route has this host and path.
    NoRoute,
    /// The route requires a key, and the request has none or an unknown one.
    UnknownKey,
}

/// A configuration in force, indexed for lookups by host and key.
#[derive(Debug)]
pub struct RouteTable {
    config: Arc<GatewayConfig>,
    by_host: HashMap<String, Vec<usize>>,
    keys: KeyIndex,
}

impl RouteTable {
    /// Creates the table of a configuration.
    pub fn new(config: Arc<GatewayConfig>) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            let length = |index: &usize| config.routes[*index].path_prefix.len();
            indices.sort_by_key(|index| std::cmp::Reverse(length(index)));
        }
        let workspaces = config.workspaces.iter().flatten();
        let hashes = workspaces.flat_map(|w| w.key_hashes.iter().map(|h| (h, w.name.clone())));
        let keys = KeyIndex::of_workspaces(hashes);
        RouteTable {
            config,
            by_host,
            keys,
        }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Arc<GatewayConfig> {
        &self.config
    }

    /// Returns whether running sessions of a service can be moved to another engine.
    pub fn can_move(&self, service: &str) -> bool {
        let service = self.config.service(service);
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.is_some_and(|engine| engine.can_move)
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.config.version
    }

    /// Returns the route of the host with the longest prefix of the path.
    ///
    /// # Errors
    ///
    /// [`RouteFault::NoRoute`] if no route of the host has a prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Result<&Route, RouteFault> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let indices = self.by_host.get(&host.to_ascii_lowercase());
        let mut routes = indices
            .into_iter()
            .flatten()
            .map(|index| &self.config.routes[*index]);
        let found = routes.find(|route| path.starts_with(&route.path_prefix));
        found.ok_or(RouteFault::NoRoute)
    }

    /// Returns the workspace of a caller, `None` for an anonymous caller.
    ///
    /// # Errors
    ///
    /// [`RouteFault::UnknownKey`] if the route requires a key and the key is missing or unknown.
    pub fn workspace(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&GatewayWorkspace>, RouteFault> {
        let Some(workspaces) = &self.config.workspaces else {
            return Ok(None);
        };
        let owner = key.and_then(|key| self.keys.owner(key));
        if let Some(KeyOwner::Workspace(name)) = owner {
            return Ok(workspaces.iter().find(|workspace| workspace.name == *name));
        }
        if route.allow_anonymous {
            return Ok(None);
        }
        Err(RouteFault::UnknownKey)
    }

    /// Returns the service that runs a request: always the same for one request id, and
    /// distributed by weight over many ids. `None` if all weights are 0.
    pub fn service<'a>(&self, route: &'a Route, request: &str) -> Option<&'a str> {
        let sum: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
        let digest = blake3::hash(request.as_bytes());
        let mut first = [0_u8; 8];
        first.copy_from_slice(&digest.as_bytes()[..8]);
        let mut point = u64::from_le_bytes(first).checked_rem(sum)?;
        for target in &route.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        None
    }
}
