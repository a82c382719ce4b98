//! HTTP server of the engine stand-in.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use futures::Stream;
use futures::future::BoxFuture;
use futures::stream;
use iristhread_api::EngineEvent;
use iristhread_api::EngineFaults;
use iristhread_api::FencedOrder;
use iristhread_api::GenerateRequest;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use viz::Body;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Result;
use viz::Router;
use viz::StatusCode;

use crate::answer::expected_token;
use crate::engine::Engine;
use crate::engine::SessionKey;
use crate::engine_session::SessionState;
use crate::engine_settings::EngineSettings;
use crate::json_reply;
use crate::json_reply::AnswerNotice;

/// Exit code of the faults that end the process.
const CRASH_EXIT_CODE: i32 = 86;

#[derive(Clone)]
struct Server {
    engine: Arc<Mutex<Engine>>,
    steps: watch::Sender<u64>,
}

#[derive(Deserialize)]
struct AttachQuery {
    reader: String,
}

/// Serves one engine until the process ends.
///
/// # Errors
///
/// When the listener fails.
pub async fn serve_engine(listener: TcpListener, settings: EngineSettings) -> std::io::Result<()> {
    let (steps, _) = watch::channel(0);
    let server = Server {
        engine: Arc::new(Mutex::new(Engine::new(settings))),
        steps,
    };
    tokio::spawn(run_steps(server.clone()));
    let router = Router::new()
        .post("/generate", server.handler(generate))
        .get("/generate/:generation/:attempt", server.handler(attach))
        .delete("/generate/:generation/:attempt", server.handler(cancel))
        .get("/load", server.handler(load))
        .post("/orders", server.handler(apply_order))
        .get("/arrivals", server.handler(arrivals))
        .post("/faults", server.handler(set_faults));
    viz::serve(listener, router).await
}

async fn run_steps(server: Server) {
    loop {
        let (step, slow_factor) = {
            let engine = server.lock();
            (engine.settings.step, engine.faults.slow_factor.max(1))
        };
        tokio::time::sleep(step * slow_factor).await;
        server.step();
    }
}

impl Server {
    fn handler<Answer, Fut>(
        &self,
        answer: Answer,
    ) -> impl Fn(Request) -> BoxFuture<'static, Result<Response>> + Clone + use<Answer, Fut>
    where
        Answer: Fn(Server, Request) -> Fut + Clone,
        Fut: Future<Output = Result<Response, Response>> + Send + 'static,
    {
        let server = self.clone();
        move |request| {
            let answered = answer(server.clone(), request);
            Box::pin(async move { Ok(answered.await.unwrap_or_else(|refusal| refusal)) })
        }
    }

    fn lock(&self) -> MutexGuard<'_, Engine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn step(&self) {
        let mut engine = self.lock();
        engine.step(Instant::now());
        let faults = &engine.faults;
        let crash_at_token = faults.die_at_token;
        let crash_under_prompt = faults.die_under_prompt.as_ref();
        if crash_at_token.is_some_and(|at| engine.longest() >= at)
            || crash_under_prompt.is_some_and(|prompt| engine.is_running_prompt(prompt))
        {
            std::process::exit(CRASH_EXIT_CODE);
        }
        drop(engine);
        self.steps.send_modify(|step| *step += 1);
    }

    fn stream(&self, key: SessionKey) -> Response {
        let reader = Reader::new(self.clone(), key);
        let events = stream::unfold(reader, |mut reader| async move {
            let chunk = reader.next().await?;
            Some((Ok::<_, std::io::Error>(chunk), reader))
        });
        event_response(events)
    }
}

fn event_response(
    events: impl Stream<Item = Result<String, std::io::Error>> + Send + 'static,
) -> Response {
    let mut response = Response::new(Body::from_stream(events));
    let kind = viz::header::HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(viz::header::CONTENT_TYPE, kind);
    response
}

async fn generate(server: Server, mut request: Request) -> Result<Response, Response> {
    let generate: GenerateRequest = json_reply::parse(&mut request).await?;
    let mut engine = server.lock();
    engine.arrivals += 1;
    let faults = engine.faults.clone();
    if faults.refuse || faults.leaving {
        let mut refused = json_reply::status(StatusCode::SERVICE_UNAVAILABLE);
        json_reply::set_notice(
            &mut refused,
            answer_notice(&faults, faults.retry_after.as_deref()),
        );
        return Err(refused);
    }
    let key = engine.start(generate, Instant::now());
    drop(engine);
    let mut stream = server.stream(key);
    json_reply::set_notice(&mut stream, answer_notice(&faults, None));
    Ok(stream)
}

fn answer_notice<'a>(faults: &'a EngineFaults, retry_after: Option<&'a str>) -> AnswerNotice<'a> {
    AnswerNotice {
        leaving: faults.say_leaving,
        retry_after,
        limit: faults.say_limit.as_deref(),
    }
}

/// Returns the number of requests for new sessions, refused ones included, and for the load.
async fn arrivals(server: Server, _: Request) -> Result<Response, Response> {
    Ok(json_reply::json(&server.lock().arrivals))
}

async fn attach(server: Server, request: Request) -> Result<Response, Response> {
    let (key, reader) = target(&request).ok_or_else(bad_request)?;
    let mut engine = server.lock();
    let gone = json_reply::status(StatusCode::NOT_FOUND);
    let session = engine.sessions.get_mut(&key).ok_or(gone)?;
    if session.state == SessionState::Cancelled {
        return Err(json_reply::status(StatusCode::NOT_FOUND));
    }
    session.reader = reader;
    drop(engine);
    Ok(server.stream(key))
}

async fn cancel(server: Server, request: Request) -> Result<Response, Response> {
    let (key, reader) = target(&request).ok_or_else(bad_request)?;
    let cancelled = server.lock().cancel(&key, &reader);
    let status = if cancelled {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::CONFLICT
    };
    Ok(json_reply::status(status))
}

async fn load(server: Server, _: Request) -> Result<Response, Response> {
    let mut engine = server.lock();
    engine.arrivals += 1;
    let report = engine.load(Instant::now());
    Ok(json_reply::json(&report))
}

async fn apply_order(server: Server, mut request: Request) -> Result<Response, Response> {
    let order: FencedOrder = json_reply::parse(&mut request).await?;
    let applied = server.lock().apply_order(order);
    let status = if applied {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::CONFLICT
    };
    Ok(json_reply::status(status))
}

async fn set_faults(server: Server, mut request: Request) -> Result<Response, Response> {
    let faults: EngineFaults = json_reply::parse(&mut request).await?;
    server.lock().faults = faults;
    Ok(json_reply::status(StatusCode::NO_CONTENT))
}

fn bad_request() -> Response {
    json_reply::status(StatusCode::BAD_REQUEST)
}

fn target(request: &Request) -> Option<(SessionKey, String)> {
    let generation: String = request.param("generation").ok()?;
    let attempt: u32 = request.param("attempt").ok()?;
    let query: AttachQuery = request.query().ok()?;
    Some(((generation, attempt), query.reader))
}

/// Streams one session from position 0, or after the tokens that it was started
/// with, until it ends.
struct Reader {
    server: Server,
    key: SessionKey,
    steps: watch::Receiver<u64>,
    next: u32,
    sent: u32,
    preemptions: u32,
    is_finished: bool,
}

enum NextChunk {
    Send(String),
    Wait,
    Close,
}

impl Reader {
    fn new(server: Server, key: SessionKey) -> Self {
        let mut engine = server.lock();
        let (next, preemptions) = match engine.sessions.get_mut(&key) {
            Some(session) => {
                session.readers += 1;
                let start = session.request.received.len();
                (
                    u32::try_from(start).unwrap_or(u32::MAX),
                    session.preemptions,
                )
            }
            None => (0, 0),
        };
        drop(engine);
        Reader {
            steps: server.steps.subscribe(),
            server,
            key,
            next,
            sent: 0,
            preemptions,
            is_finished: false,
        }
    }

    async fn next(&mut self) -> Option<String> {
        loop {
            match self.next_chunk() {
                NextChunk::Send(chunk) => return Some(chunk),
                NextChunk::Close => return None,
                NextChunk::Wait => self.steps.changed().await.ok()?,
            }
        }
    }

    fn next_chunk(&mut self) -> NextChunk {
        let server = self.server.clone();
        let engine = server.lock();
        let reset = engine
            .faults
            .reset_after
            .is_some_and(|after| self.sent >= after);
        if self.is_finished || reset {
            return NextChunk::Close;
        }
        if engine.faults.stall {
            return NextChunk::Wait;
        }
        let Some(session) = engine.sessions.get(&self.key) else {
            return NextChunk::Close;
        };
        if session.preemptions > self.preemptions {
            self.preemptions = session.preemptions;
            let (generation, attempt) = self.key.clone();
            return NextChunk::Send(frame(&EngineEvent::Preempted {
                generation,
                attempt,
            }));
        }
        if self.next < session.generated() {
            let text = session.tokens[self.next as usize].clone();
            return NextChunk::Send(self.token(&engine.faults, &text));
        }
        match session.state {
            SessionState::Waiting | SessionState::Running => NextChunk::Wait,
            SessionState::Cancelled => NextChunk::Close,
            SessionState::Done(reason) => {
                self.is_finished = true;
                if engine.faults.omit_end {
                    return NextChunk::Close;
                }
                let (generation, attempt) = self.key.clone();
                NextChunk::Send(frame(&EngineEvent::End {
                    generation,
                    attempt,
                    total: session.generated(),
                    reason,
                }))
            }
        }
    }

    fn token(&mut self, faults: &EngineFaults, text: &str) -> String {
        let (generation, attempt) = self.key.clone();
        let position = self.next;
        self.next += 1;
        self.sent += 1;
        let token = EngineEvent::Token {
            generation,
            attempt,
            position,
            text: text.to_owned(),
        };
        if faults
            .skip_every
            .is_some_and(|every| (position + 1).is_multiple_of(every))
        {
            return ": skipped\n\n".to_owned();
        }
        let mut chunk = frame(&token);
        if faults.duplicate {
            chunk += &frame(&token);
        }
        if faults.cross {
            chunk += &frame(&EngineEvent::Token {
                generation: "crossed".to_owned(),
                attempt,
                position: position + 1,
                text: expected_token("crossed", position),
            });
        }
        chunk
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut engine = self.server.lock();
        if let Some(session) = engine.sessions.get_mut(&self.key) {
            session.readers = session.readers.saturating_sub(1);
            session.idle_since = Instant::now();
        }
    }
}

fn frame(event: &EngineEvent) -> String {
    let data = serde_json::to_string(event).unwrap_or_default();
    format!("data: {data}\n\n")
}
