//! A platform, engines, services and instances as processes on loopback.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use http::Method;
use iristhread_api::Executions;
use iristhread_api::HttpClient;
use iristhread_api::Reply;
use iristhread_cli::Caller;
use iristhread_cli::Operator;
use iristhread_cli::Target;
use iristhread_core::Document;
use iristhread_core::InstanceEntry;
use iristhread_core::InstanceState;
use iristhread_daemon::ListenAddresses;
use serde_json::Value;

use crate::child::Child;
use crate::child::SceneError;
use crate::link::Link;
use crate::link::LinkState;
use crate::question::Question;
use crate::scene_builder::SceneBuilder;
use crate::scene_document::Placed;
use crate::scene_document::document;
use crate::scene_process::Instance;
use crate::scene_process::Standin;

mod waiting;

/// Key of the workspace `quotes`.
pub const CALLER_KEY: &str = "caller-key-of-quotes";

/// Key of the workspace `showroom`.
pub const OTHER_CALLER_KEY: &str = "caller-key-of-showroom";

/// Key of the operator.
pub const OPERATOR_KEY: &str = "key-of-the-operator";

const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Running processes; all are killed when it is dropped.
pub struct Scene {
    pub(crate) platform: Standin,
    pub(crate) engines: BTreeMap<String, Standin>,
    pub(crate) services: BTreeMap<String, Standin>,
    pub(crate) instances: BTreeMap<String, Instance>,
    pub(crate) zones: BTreeMap<String, String>,
    /// Links to engines, by name, and to the platform, by zone.
    pub(crate) links: BTreeMap<String, Link>,
    client: HttpClient,
    /// The configuration published last.
    pub document: Document,
}

impl Scene {
    /// A scene of that many zones, with one instance and one engine each and one
    /// service runner in all, to be changed.
    pub fn builder(zones: usize) -> SceneBuilder {
        SceneBuilder::new(zones)
    }

    pub(crate) fn with_platform(platform: Standin) -> Self {
        Scene {
            platform,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            instances: BTreeMap::new(),
            zones: BTreeMap::new(),
            links: BTreeMap::new(),
            client: HttpClient::pooled(MAX_ANSWER_BYTES),
            document: Document::default(),
        }
    }

    /// A caller of the workspace `quotes` that tries these instances in turn.
    pub fn caller(&self, instances: &[&str]) -> Caller {
        Caller::new(Target {
            servers: instances.iter().map(|name| self.caller_url(name)).collect(),
            key: CALLER_KEY.to_owned(),
        })
    }

    /// An operator at an instance.
    pub fn operator(&self, instance: &str) -> Operator {
        Operator::new(Target {
            servers: vec![format!("http://{}", self.addresses(instance).operators)],
            key: OPERATOR_KEY.to_owned(),
        })
    }

    /// Changes the link to an engine, or that of a whole zone to the platform.
    ///
    /// # Panics
    ///
    /// When there is none of that name: the test is wrong.
    pub fn set_link(&self, name: &str, state: LinkState) {
        self.links[name].set(state);
    }

    /// Lets the open connections of a link fall silent; new ones work.
    ///
    /// # Panics
    ///
    /// When there is none of that name: the test is wrong.
    pub fn silence_link(&self, name: &str) {
        self.links[name].silence();
    }

    pub(crate) async fn link(
        &mut self,
        name: &str,
        target: SocketAddr,
    ) -> Result<SocketAddr, SceneError> {
        let link = Link::to(target).await;
        let link = link.map_err(|error| SceneError::Standin(error.to_string()))?;
        let address = link.address;
        self.links.insert(name.to_owned(), link);
        Ok(address)
    }

    /// Sends one request to the callers' address of an instance.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`] when there is no answer.
    pub async fn ask(&self, instance: &str, question: &Question) -> Result<Reply, SceneError> {
        let base = match question.to_operators {
            true => format!("http://{}", self.addresses(instance).operators),
            false => self.caller_url(instance),
        };
        self.client
            .fetch(question.request(&base))
            .await
            .map_err(refused)
    }

    /// Base address for callers of an instance.
    pub fn caller_url(&self, instance: &str) -> String {
        format!("http://{}", self.addresses(instance).callers)
    }

    /// Where an instance listens.
    ///
    /// # Panics
    ///
    /// When there is none of that name: the test is wrong.
    pub fn addresses(&self, instance: &str) -> ListenAddresses {
        self.instances[instance].addresses
    }

    /// Names of the instances.
    pub fn instance_names(&self) -> Vec<String> {
        self.instances.keys().cloned().collect()
    }

    /// Names of the engines.
    pub fn engine_names(&self) -> Vec<String> {
        self.engines.keys().cloned().collect()
    }

    /// The process of an instance, engine or service runner.
    ///
    /// # Panics
    ///
    /// When there is none of that name: the test is wrong.
    pub fn process(&mut self, name: &str) -> &mut Child {
        if let Some(instance) = self.instances.get_mut(name) {
            return &mut instance.child;
        }
        let standin = self.engines.get_mut(name).or(self.services.get_mut(name));
        match standin {
            Some(standin) => &mut standin.child,
            None => panic!("the scene has no process {name}"),
        }
    }

    /// An instance, to signal it while a question is under way.
    ///
    /// # Panics
    ///
    /// When there is none of that name: the test is wrong.
    pub fn instance(&self, name: &str) -> &Child {
        match self.instances.get(name) {
            Some(instance) => &instance.child,
            None => panic!("the scene has no instance {name}"),
        }
    }

    /// SIGTERM to an instance, while others borrow the scene.
    ///
    /// # Panics
    ///
    /// When there is none of that name: the test is wrong.
    pub fn signal_stop(&self, instance: &str) {
        self.instances[instance].child.stop();
    }

    /// Address of an engine or service runner.
    ///
    /// # Panics
    ///
    /// When there is none of that name: the test is wrong.
    pub fn standin_address(&self, name: &str) -> SocketAddr {
        let standin = self.engines.get(name).or(self.services.get(name));
        match standin {
            Some(standin) => standin.address,
            None => panic!("the scene has no stand-in {name}"),
        }
    }

    /// Switches faults of an engine or service runner on, and all others off.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`].
    pub async fn fault(&self, name: &str, faults: Value) -> Result<(), SceneError> {
        let uri = format!("http://{}/faults", self.standin_address(name));
        self.send(Method::POST, &uri, &faults).await?;
        Ok(())
    }

    /// Switches faults of the platform.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`].
    pub async fn platform_fault(&self, faults: Value) -> Result<(), SceneError> {
        let uri = format!("http://{}/faults", self.platform.address);
        self.send(Method::POST, &uri, &faults).await?;
        Ok(())
    }

    /// Publishes any document, faulty ones too; its version.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`].
    pub async fn publish(&self, document: &Value) -> Result<u64, SceneError> {
        let uri = format!("http://{}/config", self.platform.address);
        let version = self.send(Method::PUT, &uri, document).await?;
        version
            .as_u64()
            .ok_or_else(|| SceneError::Standin("no version".to_owned()))
    }

    /// Publishes the document of the scene after a change.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`].
    pub async fn publish_document(&self) -> Result<u64, SceneError> {
        let document = serde_json::to_value(&self.document);
        self.publish(&document.unwrap_or_default()).await
    }

    /// Publishes the instance list; `leaving` names those that leave.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`].
    pub async fn list_instances(&self, leaving: &[&str]) -> Result<(), SceneError> {
        let entry = |(name, instance): (&String, &Instance)| InstanceEntry {
            instance: name.clone(),
            availability_zone: self.zones[name].clone(),
            peer_address: instance.addresses.peers,
            state: match leaving.contains(&name.as_str()) {
                true => InstanceState::Leaving,
                false => InstanceState::Live,
            },
        };
        let entries: Vec<InstanceEntry> = self.instances.iter().map(entry).collect();
        let uri = format!("http://{}/instances", self.platform.address);
        let entries = serde_json::to_value(entries).unwrap_or_default();
        self.send(Method::PUT, &uri, &entries).await?;
        Ok(())
    }

    /// Reads that the platform has counted, as its stand-in tells.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`].
    pub async fn platform_reads(&self) -> Result<u64, SceneError> {
        let uri = format!("http://{}/reads", self.platform.address);
        let request = HttpClient::get(&uri).map_err(refused)?;
        let count = self.client.json::<iristhread_api::ReadCount>(request).await;
        Ok(count.map_err(refused)?.unwrap_or_default().reads)
    }

    /// What has reached an engine or a service runner, refused or not.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`].
    pub async fn arrivals(&self, name: &str) -> Result<u64, SceneError> {
        let uri = format!("http://{}/arrivals", self.standin_address(name));
        let request = HttpClient::get(&uri).map_err(refused)?;
        let count = self.client.json::<u64>(request).await;
        Ok(count.map_err(refused)?.unwrap_or_default())
    }

    /// Executions of all service runners together.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`].
    pub async fn executions(&self) -> Result<Executions, SceneError> {
        let mut all = Executions::default();
        for standin in self.services.values() {
            let uri = format!("http://{}/executions", standin.address);
            let request = HttpClient::get(&uri).map_err(refused)?;
            let Some(one) = self
                .client
                .json::<Executions>(request)
                .await
                .map_err(refused)?
            else {
                continue;
            };
            for (key, count) in one.by_key {
                *all.by_key.entry(key).or_default() += count;
            }
            for (body, count) in one.by_body {
                *all.by_body.entry(body).or_default() += count;
            }
        }
        Ok(all)
    }

    /// Adds lines to the settings that an instance reads when it is restarted.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`].
    pub fn change_settings(&mut self, name: &str, lines: &str) -> Result<(), SceneError> {
        let file = self.instances[name].settings.path();
        let failed = |error: std::io::Error| SceneError::Standin(error.to_string());
        let text = std::fs::read_to_string(file).map_err(failed)?;
        std::fs::write(file, format!("{lines}\n{text}")).map_err(failed)
    }

    /// Starts an instance again under the same name, with new ports and a new
    /// incarnation.
    ///
    /// # Errors
    ///
    /// [`SceneError::Start`].
    pub async fn restart(&mut self, name: &str) -> Result<(), SceneError> {
        let Some(mut old) = self.instances.remove(name) else {
            return Err(SceneError::Standin(format!("no instance {name}")));
        };
        old.child.kill().await;
        let instance = Instance::start(old.settings).await?;
        self.instances.insert(name.to_owned(), instance);
        Ok(())
    }

    pub(crate) async fn publish_backends(&mut self) -> Result<(), SceneError> {
        let placed = |(name, standin): (&String, &Standin)| -> Placed {
            (name.clone(), self.zones[name].clone(), standin.address)
        };
        let linked = |(name, standin): (&String, &Standin)| -> Placed {
            let link = self.links.get(name).map(|link| link.address);
            let address = link.unwrap_or(standin.address);
            (name.clone(), self.zones[name].clone(), address)
        };
        let engines: Vec<Placed> = self.engines.iter().map(linked).collect();
        let services: Vec<Placed> = self.services.iter().map(placed).collect();
        let keys = [CALLER_KEY, OTHER_CALLER_KEY, OPERATOR_KEY];
        self.document = document(&engines, &services, keys);
        self.publish_document().await?;
        Ok(())
    }

    async fn send(&self, method: Method, uri: &str, body: &Value) -> Result<Value, SceneError> {
        let request = HttpClient::request(method, uri, None, Some(body)).map_err(refused)?;
        let answer = self.client.json(request).await.map_err(refused)?;
        Ok(answer.unwrap_or_default())
    }
}

fn refused(error: iristhread_api::HttpClientError) -> SceneError {
    SceneError::Standin(error.to_string())
}
