//! HTTP server of the platform stand-in.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Result;
use viz::Router;
use viz::StatusCode;

use crate::json_reply;
use crate::platform_state::PlatformState;

/// Maximum time that one watch waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(30);

#[derive(Clone)]
struct Server {
    state: Arc<Mutex<PlatformState>>,
    changes: watch::Sender<u64>,
}

#[derive(Clone, Copy, Deserialize)]
struct ReadQuery {
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Clone, Copy)]
enum ReadTarget {
    Config,
    Instances,
}

/// Serves the platform until the process ends.
///
/// # Errors
///
/// When the listener fails.
pub async fn serve_platform(listener: TcpListener, state: PlatformState) -> std::io::Result<()> {
    let (changes, _) = watch::channel(0);
    let server = Server {
        state: Arc::new(Mutex::new(state)),
        changes,
    };
    let (config, instances) = (server.clone(), server.clone());
    let (publish_to, list_to) = (server.clone(), server.clone());
    let (faulty, counted) = (server.clone(), server);
    let router = Router::new()
        .get("/config", move |r: Request| {
            config.clone().read(r, ReadTarget::Config)
        })
        .get("/instances", move |r: Request| {
            instances.clone().read(r, ReadTarget::Instances)
        })
        .put("/config", move |r: Request| publish(publish_to.clone(), r))
        .put("/instances", move |r: Request| {
            set_instances(list_to.clone(), r)
        })
        .post("/faults", move |r: Request| set_faults(faulty.clone(), r))
        .get("/reads", move |_: Request| {
            let count = counted.lock().count;
            async move { Ok::<_, viz::Error>(json_reply::json(&count)) }
        });
    viz::serve(listener, router).await
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn changed(&self) {
        self.changes.send_modify(|change| *change += 1);
    }

    async fn read(self, request: Request, target: ReadTarget) -> Result<Response> {
        let Ok(query) = request.query::<ReadQuery>() else {
            return Ok(json_reply::status(StatusCode::BAD_REQUEST));
        };
        if !self.lock().count_read(Instant::now()) {
            return Ok(json_reply::status(StatusCode::TOO_MANY_REQUESTS));
        }
        self.lock().count.waiting += 1;
        let answer = self.answer_or_time_out(query, target).await;
        self.lock().count.waiting -= 1;
        Ok(answer)
    }

    async fn answer_or_time_out(&self, query: ReadQuery, target: ReadTarget) -> Response {
        let mut changes = self.changes.subscribe();
        let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
        let watch = async {
            loop {
                if let Some(answer) = self.answer(query.after, target) {
                    return answer;
                }
                if changes.changed().await.is_err() {
                    return json_reply::status(StatusCode::SERVICE_UNAVAILABLE);
                }
            }
        };
        let unchanged = || json_reply::status(StatusCode::NOT_MODIFIED);
        tokio::time::timeout(wait, watch)
            .await
            .unwrap_or_else(|_| unchanged())
    }

    fn answer(&self, after: u64, target: ReadTarget) -> Option<Response> {
        let state = self.lock();
        if state.faults.outage {
            return Some(json_reply::status(StatusCode::SERVICE_UNAVAILABLE));
        }
        match target {
            ReadTarget::Config => {
                let config = state.config().filter(|config| config.version != after)?;
                Some(json_reply::json(&config))
            }
            ReadTarget::Instances => {
                let instances = state.instances();
                (instances.version != after).then(|| json_reply::json(instances))
            }
        }
    }
}

async fn publish(server: Server, mut request: Request) -> Result<Response> {
    let document = match json_reply::parse(&mut request).await {
        Ok(document) => document,
        Err(refusal) => return Ok(refusal),
    };
    let version = server.lock().publish(document);
    server.changed();
    Ok(json_reply::json(&version))
}

async fn set_instances(server: Server, mut request: Request) -> Result<Response> {
    match json_reply::parse(&mut request).await {
        Ok(entries) => server.lock().set_instances(entries),
        Err(refusal) => return Ok(refusal),
    }
    server.changed();
    Ok(json_reply::status(StatusCode::NO_CONTENT))
}

async fn set_faults(server: Server, mut request: Request) -> Result<Response> {
    match json_reply::parse(&mut request).await {
        Ok(faults) => server.lock().faults = faults,
        Err(refusal) => return Ok(refusal),
    }
    server.changed();
    Ok(json_reply::status(StatusCode::NO_CONTENT))
}
