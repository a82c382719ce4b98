//! HTTP side of the platform stand-in.

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

/// Longest wait of one watch.
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
enum What {
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
            config.clone().read(r, What::Config)
        })
        .get("/instances", move |r: Request| {
            instances.clone().read(r, What::Instances)
        })
        .put("/config", move |r: Request| publish(publish_to.clone(), r))
        .put("/instances", move |r: Request| list(list_to.clone(), r))
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

    async fn read(self, request: Request, what: What) -> Result<Response> {
        let Ok(query) = request.query::<ReadQuery>() else {
            return Ok(json_reply::status(StatusCode::BAD_REQUEST));
        };
        if !self.lock().count_read(Instant::now()) {
            return Ok(json_reply::status(StatusCode::TOO_MANY_REQUESTS));
        }
        self.lock().count.waiting += 1;
        let answer = self.answer_in_time(query, what).await;
        self.lock().count.waiting -= 1;
        Ok(answer)
    }

    async fn answer_in_time(&self, query: ReadQuery, what: What) -> Response {
        let mut changes = self.changes.subscribe();
        let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
        let watch = async {
            loop {
                if let Some(answer) = self.answer(query.after, what) {
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

    fn answer(&self, after: u64, what: What) -> Option<Response> {
        let state = self.lock();
        if state.faults.outage {
            return Some(json_reply::status(StatusCode::SERVICE_UNAVAILABLE));
        }
        match what {
            What::Config => {
                let config = state.config().filter(|config| config.version != after)?;
                Some(json_reply::json(&config))
            }
            What::Instances => {
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

async fn list(server: Server, mut request: Request) -> Result<Response> {
    match json_reply::parse(&mut request).await {
        Ok(entries) => server.lock().list(entries),
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
