//! A test environment: a platform, engines, services and instances as processes on loopback.

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
use crate::scene_builder::SceneBuilder;
use crate::scene_document::PlacedServer;
use crate::scene_document::document;
use crate::scene_process::Instance;
use crate::scene_process::Standin;
use crate::test_request::TestRequest;

mod waiting;

/// Key of the workspace `quotes`.
pub const CALLER_KEY: &str = "caller-key-of-quotes";

/// Key of the workspace `showroom`.
pub const OTHER_CALLER_KEY: &str = "caller-key-of-showroom";

/// Key of the operator.
pub const OPERATOR_KEY: &str = "key-of-the-operator";

const MAX_ANSWER_BYTES: usize = 16 << 20;

/// The running processes of a test environment; all are killed when it is dropped.
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
    /// Returns a builder with `zones` zones. By default each zone has one instance and one
    /// engine, and there is one service runner in all.
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

    /// Returns a caller of the workspace `quotes` that tries these instances in order.
    pub fn caller(&self, instances: &[&str]) -> Caller {
        Caller::new(Target {
            servers: instances.iter().map(|name| self.caller_url(name)).collect(),
            key: CALLER_KEY.to_owned(),
        })
    }

    /// Returns an operator client of an instance.
    pub fn operator(&self, instance: &str) -> Operator {
        Operator::new(Target {
            servers: vec![format!("http://{}", self.addresses(instance).operators)],
            key: OPERATOR_KEY.to_owned(),
        })
    }

    /// Changes the state of the link to an engine (by its name), or of the link between a zone
    /// (by its name) and the platform.
    ///
    /// # Panics
    ///
    /// If there is none of that name, which is a fault of the test.
    pub fn set_link(&self, name: &str, state: LinkState) {
        self.links[name].set(state);
    }

    /// Stalls the open connections of a link for good; new connections work.
    ///
    /// # Panics
    ///
    /// If there is none of that name, which is a fault of the test.
    pub fn stall_open_connections(&self, name: &str) {
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

    /// Sends one request to an instance, at its operators' address if the request was made by
    /// [`TestRequest::operator`], else at its callers' address.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`] if there is no answer.
    pub async fn ask(&self, instance: &str, request: &TestRequest) -> Result<Reply, SceneError> {
        let base = match request.to_operators {
            true => format!("http://{}", self.addresses(instance).operators),
            false => self.caller_url(instance),
        };
        self.client
            .fetch(request.request(&base))
            .await
            .map_err(to_scene_error)
    }

    /// Returns the base URL of the callers' address of an instance.
    pub fn caller_url(&self, instance: &str) -> String {
        format!("http://{}", self.addresses(instance).callers)
    }

    /// Returns the addresses on which an instance listens.
    ///
    /// # Panics
    ///
    /// If there is none of that name, which is a fault of the test.
    pub fn addresses(&self, instance: &str) -> ListenAddresses {
        self.instances[instance].addresses
    }

    /// Returns the names of the instances, sorted.
    pub fn instance_names(&self) -> Vec<String> {
        self.instances.keys().cloned().collect()
    }

    /// Returns the names of the engines, sorted.
    pub fn engine_names(&self) -> Vec<String> {
        self.engines.keys().cloned().collect()
    }

    /// Returns the process of an instance, engine or service runner.
    ///
    /// # Panics
    ///
    /// If there is none of that name, which is a fault of the test.
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

    /// Returns the process of an instance by shared reference, so that it can be signalled
    /// while a request is in flight.
    ///
    /// # Panics
    ///
    /// If there is none of that name, which is a fault of the test.
    pub fn instance(&self, name: &str) -> &Child {
        match self.instances.get(name) {
            Some(instance) => &instance.child,
            None => panic!("the scene has no instance {name}"),
        }
    }

    /// Sends SIGTERM to an instance, by shared reference to the scene.
    ///
    /// # Panics
    ///
    /// If there is none of that name, which is a fault of the test.
    pub fn signal_stop(&self, instance: &str) {
        self.instances[instance].child.stop();
    }

    /// Returns the address of an engine or service runner.
    ///
    /// # Panics
    ///
    /// If there is none of that name, which is a fault of the test.
    pub fn standin_address(&self, name: &str) -> SocketAddr {
        let standin = self.engines.get(name).or(self.services.get(name));
        match standin {
            Some(standin) => standin.address,
            None => panic!("the scene has no stand-in {name}"),
        }
    }

    /// Sets the faults of an engine or service runner; faults that are not named are cleared.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`] if the request fails.
    pub async fn fault(&self, name: &str, faults: Value) -> Result<(), SceneError> {
        let uri = format!("http://{}/faults", self.standin_address(name));
        self.send(Method::POST, &uri, &faults).await?;
        Ok(())
    }

    /// Sets the faults of the platform; faults that are not named are cleared.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`] if the request fails.
    pub async fn platform_fault(&self, faults: Value) -> Result<(), SceneError> {
        let uri = format!("http://{}/faults", self.platform.address);
        self.send(Method::POST, &uri, &faults).await?;
        Ok(())
    }

    /// Publishes a document, which may be invalid, and returns its version.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`] if the request fails.
    pub async fn publish(&self, document: &Value) -> Result<u64, SceneError> {
        let uri = format!("http://{}/config", self.platform.address);
        let version = self.send(Method::PUT, &uri, document).await?;
        version
            .as_u64()
            .ok_or_else(|| SceneError::Standin("no version".to_owned()))
    }

    /// Publishes [`Scene::document`], as changed by the test, and returns its version.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`] if the request fails.
    pub async fn publish_document(&self) -> Result<u64, SceneError> {
        let document = serde_json::to_value(&self.document);
        self.publish(&document.unwrap_or_default()).await
    }

    /// Publishes the instance list; the instances in `leaving` are marked as leaving.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`] if the request fails.
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

    /// Returns the number of reads that the platform stand-in has counted.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`] if the request fails.
    pub async fn platform_reads(&self) -> Result<u64, SceneError> {
        let uri = format!("http://{}/reads", self.platform.address);
        let request = HttpClient::get(&uri).map_err(to_scene_error)?;
        let count = self.client.json::<iristhread_api::ReadCount>(request).await;
        Ok(count.map_err(to_scene_error)?.unwrap_or_default().reads)
    }

    /// Returns the number of requests that reached an engine or service runner, including those
    /// that it refused.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`] if the request fails.
    pub async fn arrivals(&self, name: &str) -> Result<u64, SceneError> {
        let uri = format!("http://{}/arrivals", self.standin_address(name));
        let request = HttpClient::get(&uri).map_err(to_scene_error)?;
        let count = self.client.json::<u64>(request).await;
        Ok(count.map_err(to_scene_error)?.unwrap_or_default())
    }

    /// Returns the executions of all service runners, summed by key and by body.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`] if the request fails.
    pub async fn executions(&self) -> Result<Executions, SceneError> {
        let mut all = Executions::default();
        for standin in self.services.values() {
            let uri = format!("http://{}/executions", standin.address);
            let request = HttpClient::get(&uri).map_err(to_scene_error)?;
            let Some(one) = self
                .client
                .json::<Executions>(request)
                .await
                .map_err(to_scene_error)?
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

    /// Adds lines to the settings file of an instance, which it reads at its next start.
    ///
    /// # Errors
    ///
    /// [`SceneError::Standin`] if the settings file can't be read or written.
    pub fn change_settings(&mut self, name: &str, lines: &str) -> Result<(), SceneError> {
        let file = self.instances[name].settings.path();
        let failed = |error: std::io::Error| SceneError::Standin(error.to_string());
        let text = std::fs::read_to_string(file).map_err(failed)?;
        std::fs::write(file, format!("{lines}\n{text}")).map_err(failed)
    }

    /// Kills an instance and starts it under the same name, with new ports and a new
    /// incarnation.
    ///
    /// # Errors
    ///
    /// [`SceneError::Start`] if it can't be started, [`SceneError::Standin`] if there is none of
    /// that name.
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
        let direct = |(name, standin): (&String, &Standin)| -> PlacedServer {
            (name.clone(), self.zones[name].clone(), standin.address)
        };
        let linked = |(name, standin): (&String, &Standin)| -> PlacedServer {
            let link = self.links.get(name).map(|link| link.address);
            let address = link.unwrap_or(standin.address);
            (name.clone(), self.zones[name].clone(), address)
        };
        let engines: Vec<PlacedServer> = self.engines.iter().map(linked).collect();
        let services: Vec<PlacedServer> = self.services.iter().map(direct).collect();
        let keys = [CALLER_KEY, OTHER_CALLER_KEY, OPERATOR_KEY];
        self.document = document(&engines, &services, keys);
        self.publish_document().await?;
        Ok(())
    }

    async fn send(&self, method: Method, uri: &str, body: &Value) -> Result<Value, SceneError> {
        let request = HttpClient::request(method, uri, None, Some(body)).map_err(to_scene_error)?;
        let answer = self.client.json(request).await.map_err(to_scene_error)?;
        Ok(answer.unwrap_or_default())
    }
}

fn to_scene_error(error: iristhread_api::HttpClientError) -> SceneError {
    SceneError::Standin(error.to_string())
}
