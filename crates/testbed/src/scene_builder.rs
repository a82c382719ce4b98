//! Sets a scene up.

use crate::child::SceneError;
use crate::scene::Scene;
use crate::scene_process::Instance;
use crate::scene_process::Standin;
use crate::scene_process::settings_file;

/// What a scene is made of.
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

    /// Instances in each zone.
    #[must_use]
    pub fn instances_per_zone(mut self, count: usize) -> Self {
        self.instances_per_zone = count;
        self
    }

    /// Engines in each zone.
    #[must_use]
    pub fn engines_per_zone(mut self, count: usize) -> Self {
        self.engines_per_zone = count;
        self
    }

    /// Service runners in all.
    #[must_use]
    pub fn services(mut self, count: usize) -> Self {
        self.services = count;
        self
    }

    /// Flags of every engine.
    #[must_use]
    pub fn engine_flags(mut self, flags: &[&str]) -> Self {
        self.engine_flags = flags.iter().map(|flag| (*flag).to_owned()).collect();
        self
    }

    /// Flags of every service runner.
    #[must_use]
    pub fn service_flags(mut self, flags: &[&str]) -> Self {
        self.service_flags = flags.iter().map(|flag| (*flag).to_owned()).collect();
        self
    }

    /// Lines added to the settings of every instance.
    #[must_use]
    pub fn settings(mut self, lines: &str) -> Self {
        self.settings = lines.to_owned();
        self
    }

    /// Puts a link before every engine, and before the platform for each zone,
    /// which [`Scene::set_link`] can stall or cut.
    #[must_use]
    pub fn with_links(mut self) -> Self {
        self.links = true;
        self
    }

    /// Starts everything and waits until every instance is ready.
    ///
    /// # Errors
    ///
    /// [`SceneError`].
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
        scene.all_ready().await?;
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
