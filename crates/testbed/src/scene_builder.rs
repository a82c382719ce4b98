//! Configures and starts a scene.

use crate::child::SceneError;
use crate::scene::Scene;
use crate::scene_process::Instance;
use crate::scene_process::Standin;
use crate::scene_process::settings_file;

/// The numbers and settings of the processes of a scene.
#[derive(Clone, Debug)]
pub struct SceneBuilder {
    zones: usize,
    instances_per_zone: usize,
    engines_per_zone: usize,
    services: usize,
    engine_flags: Vec<String>,
    service_flags: Vec<String>,
    settings: String,
    links: bool,
}

impl SceneBuilder {
    pub(crate) fn new(zones: usize) -> Self {
        SceneBuilder {
            zones,
            instances_per_zone: 1,
            engines_per_zone: 1,
            services: 1,
            engine_flags: Vec::new(),
            service_flags: Vec::new(),
            settings: String::new(),
            links: false,
        }
    }

    /// Sets the number of instances in each zone; 1 by default.
    #[must_use]
    pub fn instances_per_zone(mut self, count: usize) -> Self {
        self.instances_per_zone = count;
        self
    }

    /// Sets the number of engines in each zone; 1 by default.
    #[must_use]
    pub fn engines_per_zone(mut self, count: usize) -> Self {
        self.engines_per_zone = count;
        self
    }

    /// Sets the number of service runners in all zones together; 1 by default.
    #[must_use]
    pub fn services(mut self, count: usize) -> Self {
        self.services = count;
        self
    }

    /// Sets the command-line flags of every engine.
    #[must_use]
    pub fn engine_flags(mut self, flags: &[&str]) -> Self {
        self.engine_flags = flags.iter().map(|flag| (*flag).to_owned()).collect();
        self
    }

    /// Sets the command-line flags of every service runner.
    #[must_use]
    pub fn service_flags(mut self, flags: &[&str]) -> Self {
        self.service_flags = flags.iter().map(|flag| (*flag).to_owned()).collect();
        self
    }

    /// Sets lines that are added to the settings of every instance.
    #[must_use]
    pub fn settings(mut self, lines: &str) -> Self {
        self.settings = lines.to_owned();
        self
    }

    /// Puts a link in front of every engine, and one per zone in front of the platform.
    /// [`Scene::set_link`] can stall or cut them.
    #[must_use]
    pub fn with_links(mut self) -> Self {
        self.links = true;
        self
    }

    /// Starts all processes and waits until every instance is ready.
    ///
    /// # Errors
    ///
    /// [`SceneError`] if a process can't be started, a request to a stand-in fails, or an
    /// instance is not ready in time.
    pub async fn start(self) -> Result<Scene, SceneError> {
        let platform = Standin::start(&["platform".to_owned()]).await?;
        let mut scene = Scene::with_platform(platform);
        for zone in 0..self.zones {
            self.start_zone(&mut scene, &zone_name(zone)).await?;
        }
        for number in 1..=self.services {
            let mut arguments = vec!["service".to_owned()];
            arguments.extend(self.service_flags.clone());
            let name = format!("orders-{number}");
            scene
                .zones
                .insert(name.clone(), zone_name((number - 1) % self.zones));
            scene
                .services
                .insert(name, Standin::start(&arguments).await?);
        }
        scene.publish_backends().await?;
        scene.list_instances(&[]).await?;
        scene.wait_until_ready().await?;
        Ok(scene)
    }

    async fn start_zone(&self, scene: &mut Scene, zone: &str) -> Result<(), SceneError> {
        let mut platform = scene.platform.address;
        if self.links {
            platform = scene.link(zone, platform).await?;
        }
        for number in 1..=self.engines_per_zone {
            let mut arguments = vec!["engine".to_owned()];
            arguments.extend(self.engine_flags.clone());
            let name = format!("engine-{zone}{number}");
            scene.zones.insert(name.clone(), zone.to_owned());
            let standin = Standin::start(&arguments).await?;
            if self.links {
                scene.link(&name, standin.address).await?;
            }
            scene.engines.insert(name, standin);
        }
        for number in 1..=self.instances_per_zone {
            let name = format!("{zone}{number}");
            let settings = settings_file(&name, zone, platform, &self.settings);
            let settings = settings.map_err(|error| SceneError::Standin(error.to_string()))?;
            scene.zones.insert(name.clone(), zone.to_owned());
            let instance = Instance::start(settings).await?;
            scene.instances.insert(name, instance);
        }
        Ok(())
    }
}

fn zone_name(zone: usize) -> String {
    let letters = ["a", "b", "c", "d"];
    letters[zone % letters.len()].to_owned()
}
