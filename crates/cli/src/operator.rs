//! Client for operators: resources, status and the timeline.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::StreamExt;
use http::Method;
use http_body_util::BodyExt;
use iristhread_api::FleetTimeline;
use iristhread_api::HttpClient;
use iristhread_api::InstanceStatus;
use iristhread_api::ResourceList;
use iristhread_core::HybridTime;
use serde::de::DeserializeOwned;

use crate::cli_error::CliError;
use crate::target::Target;

const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Interval between two status requests while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Client for the operator addresses of instances.
#[derive(Clone, Debug)]
pub struct Operator {
    target: Target,
    client: HttpClient,
}

impl Operator {
    /// Creates an operator for the instances and the key of `target`.
    pub fn new(target: Target) -> Self {
        Operator {
            target,
            client: HttpClient::pooled(MAX_ANSWER_BYTES),
        }
    }

    /// Returns the resources of a kind, or only the one called `name`.
    ///
    /// # Errors
    ///
    /// [`CliError`].
    pub async fn resources(
        &self,
        kind: &str,
        name: Option<&str>,
    ) -> Result<ResourceList, CliError> {
        self.read(&resource_path(kind, name)).await
    }

    /// Watches resources of a kind; calls `on_line` with the JSON of each change.
    ///
    /// # Errors
    ///
    /// [`CliError`] if the watch is refused, fails or ends.
    pub async fn watch(
        &self,
        kind: &str,
        name: Option<&str>,
        from: Option<u64>,
        mut on_line: impl FnMut(&str),
    ) -> Result<(), CliError> {
        let from = from.map(|from| format!("&from={from}")).unwrap_or_default();
        let path = format!("{}?watch=true{from}", resource_path(kind, name));
        let uri = format!("{}{path}", self.target.servers[0]);
        let request = self.request(&uri)?;
        let response = self.client.send(request).await?;
        if !response.status().is_success() {
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body.map(|body| body.to_bytes()).unwrap_or_default();
            let text = String::from_utf8_lossy(&body).into_owned();
            return Err(CliError::Unreachable(format!("{status}: {text}")));
        }
        let mut data = response.into_body().into_data_stream();
        while let Some(bytes) = data.next().await {
            let bytes = bytes.map_err(|error| CliError::Unreachable(error.to_string()))?;
            String::from_utf8_lossy(&bytes)
                .lines()
                .for_each(&mut on_line);
        }
        Err(CliError::Unreachable(
            "the watch ended; start it again".to_owned(),
        ))
    }

    /// Returns the configuration status of each instance.
    ///
    /// # Errors
    ///
    /// [`CliError`].
    pub async fn status(&self) -> Result<BTreeMap<String, InstanceStatus>, CliError> {
        self.read("/v1/status").await
    }

    /// Waits until a configuration version is in force on every listed instance. Calls `progress`
    /// with the number of instances that have it and the number of all instances.
    ///
    /// # Errors
    ///
    /// [`CliError::TimedOut`] with the instances that don't have the version in force.
    pub async fn wait(
        &self,
        version: u64,
        timeout: Duration,
        mut progress: impl FnMut(usize, usize),
    ) -> Result<(), CliError> {
        let start = std::time::Instant::now();
        loop {
            let statuses = self.status().await?;
            let missing_name = |(name, status): (&String, &InstanceStatus)| {
                (status.config_version < version).then(|| name.clone())
            };
            let missing: Vec<String> = statuses.iter().filter_map(missing_name).collect();
            progress(statuses.len() - missing.len(), statuses.len());
            if missing.is_empty() {
                return Ok(());
            }
            if start.elapsed() >= timeout {
                let names = missing.join(", ");
                let message = format!("version {version} is not in force on: {names}");
                return Err(CliError::TimedOut(message));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the timeline records of all instances after a time, optionally of one request.
    ///
    /// # Errors
    ///
    /// [`CliError`].
    pub async fn timeline(
        &self,
        request: Option<&str>,
        after: HybridTime,
    ) -> Result<FleetTimeline, CliError> {
        let request = request
            .map(|id| format!("&request={id}"))
            .unwrap_or_default();
        let (wall_ms, count) = (after.wall_ms, after.count);
        let path = format!("/v1/timeline?after_wall_ms={wall_ms}&after_count={count}{request}");
        self.read(&path).await
    }

    async fn read<Answer: DeserializeOwned>(&self, path: &str) -> Result<Answer, CliError> {
        let mut last_error = CliError::Unreachable("no server address given".to_owned());
        for server in &self.target.servers {
            let request = self.request(&format!("{server}{path}"))?;
            match self.client.json(request).await {
                Ok(Some(answer)) => return Ok(answer),
                Ok(None) => last_error = CliError::Unreachable("empty response".to_owned()),
                Err(error) => last_error = error.into(),
            }
        }
        Err(last_error)
    }

    fn request(
        &self,
        uri: &str,
    ) -> Result<http::Request<http_body_util::Full<hyper::body::Bytes>>, CliError> {
        let key = Some(self.target.key.as_str());
        Ok(HttpClient::request::<()>(Method::GET, uri, key, None)?)
    }
}

fn resource_path(kind: &str, name: Option<&str>) -> String {
    let name = name.map(|name| format!("/{name}")).unwrap_or_default();
    format!("/v1/resources/{kind}{name}")
}
