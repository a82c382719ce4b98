//! Waits for conditions of a scene: versions in force, instances that are ready.

use std::collections::BTreeMap;
use std::time::Duration;

use iristhread_api::InstanceStatus;

use super::Scene;
use crate::child::SceneError;
use crate::eventually::eventually;

/// Timeout for the status of one instance, which may be frozen.
const STATUS_TIMEOUT: Duration = Duration::from_secs(4);

impl Scene {
    /// Returns the status that each instance reports about itself, queried one by one.
    /// Instances that don't answer within 4 s, such as frozen ones, are left out.
    pub async fn versions(&self) -> BTreeMap<String, InstanceStatus> {
        let mut all = BTreeMap::new();
        for name in self.instances.keys() {
            let operator = self.operator(name);
            let answer = tokio::time::timeout(STATUS_TIMEOUT, operator.status()).await;
            if let Ok(Ok(lines)) = answer {
                all.extend(lines.into_iter().filter(|(line, _)| line == name));
            }
        }
        all
    }

    /// Waits until this or a later version is in force on these instances.
    ///
    /// # Errors
    ///
    /// [`SceneError::Waited`] if the version is not in force in time.
    pub async fn in_force(&self, version: u64, names: &[String]) -> Result<(), SceneError> {
        eventually("a version in force everywhere", async || {
            let all = self.versions().await;
            let has = |name: &String| all.get(name).is_some_and(|s| s.config_version >= version);
            names.iter().all(has)
        })
        .await
    }

    pub(crate) async fn wait_until_ready(&self) -> Result<(), SceneError> {
        let version = 1;
        self.in_force(version, &self.instance_names()).await?;
        eventually("a load report of every engine", async || {
            for name in self.instances.keys() {
                let list = self.operator(name).resources("backend-servers", None).await;
                let Ok(list) = list else {
                    return false;
                };
                let is_known = |item: &iristhread_api::Resource| {
                    item.declared["kind"] != "engine" || !item.observed["report"].is_null()
                };
                if !list.items.iter().all(is_known) {
                    return false;
                }
            }
            true
        })
        .await
    }
}
