//! What a scene waits for: versions in force, instances that are ready.

use std::collections::BTreeMap;
use std::time::Duration;

use iristhread_api::InstanceStatus;

use super::Scene;
use crate::child::SceneError;
use crate::eventually::eventually;

/// Longest wait for one instance that may be frozen.
const ANSWER_PATIENCE: Duration = Duration::from_secs(4);

impl Scene {
    /// What every instance says to be in force, asked one by one; a frozen one
    /// is left out.
    pub async fn versions(&self) -> BTreeMap<String, InstanceStatus> {
        let mut all = BTreeMap::new();
        for name in self.instances.keys() {
            let operator = self.operator(name);
            let answer = tokio::time::timeout(ANSWER_PATIENCE, operator.status()).await;
            if let Ok(Ok(lines)) = answer {
                all.extend(lines.into_iter().filter(|(line, _)| line == name));
            }
        }
        all
    }

    /// Waits until a version is in force on these instances.
    ///
    /// # Errors
    ///
    /// [`SceneError::Waited`].
    pub async fn in_force(&self, version: u64, names: &[String]) -> Result<(), SceneError> {
        eventually("a version in force everywhere", async || {
            let all = self.versions().await;
            let has = |name: &String| all.get(name).is_some_and(|s| s.config_version >= version);
            names.iter().all(has)
        })
        .await
    }

    pub(crate) async fn all_ready(&self) -> Result<(), SceneError> {
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
