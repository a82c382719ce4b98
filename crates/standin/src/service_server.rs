//! The plain service stand-in. It counts executions by idempotency key and by body.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use iristhread_api::Executions;
use iristhread_api::IDEMPOTENCY_KEY_HEADER;
use iristhread_api::OUTCOME_HEADER;
use iristhread_api::ServiceAnswer;
use iristhread_api::ServiceFaults;
use iristhread_core::Outcome;
use tokio::net::TcpListener;
use viz::Body;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Result;
use viz::Router;
use viz::StatusCode;
use viz::header::HeaderValue;

use crate::json_reply;
use crate::json_reply::AnswerNotice;

/// Exit code of the fault that ends the process.
const CRASH_EXIT_CODE: i32 = 86;

/// Settings of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceSettings {
    /// Whether a repeated idempotency key gets the stored answer and is not executed again.
    pub checks_keys: bool,
}

#[derive(Default)]
struct State {
    settings: ServiceSettings,
    faults: ServiceFaults,
    executions: Executions,
    answers: BTreeMap<String, ServiceAnswer>,
    count: u64,
    /// Number of calls received, refused ones included.
    arrivals: u64,
}

type Shared = Arc<Mutex<State>>;

/// Serves one service until the process ends.
///
/// # Errors
///
/// When the listener fails.
pub async fn serve_service(
    listener: TcpListener,
    settings: ServiceSettings,
) -> std::io::Result<()> {
    let state = Arc::new(Mutex::new(State {
        settings,
        ..State::default()
    }));
    let counted = state.clone();
    let faulty = state.clone();
    let arrived = state.clone();
    let router = Router::new()
        .get("/executions", move |_: Request| {
            let executions = lock(&counted).executions.clone();
            async move { Ok::<_, viz::Error>(json_reply::json(&executions)) }
        })
        .post("/faults", move |request: Request| {
            set_faults(faulty.clone(), request)
        })
        .get("/arrivals", move |_: Request| {
            let arrivals = lock(&arrived).arrivals;
            async move { Ok::<_, viz::Error>(json_reply::json(&arrivals)) }
        })
        .any("/*", move |request: Request| {
            answer_call(state.clone(), request)
        });
    viz::serve(listener, router).await
}

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn set_faults(state: Shared, mut request: Request) -> Result<Response> {
    match json_reply::parse(&mut request).await {
        Ok(faults) => lock(&state).faults = faults,
        Err(refusal) => return Ok(refusal),
    }
    Ok(json_reply::status(StatusCode::NO_CONTENT))
}

async fn answer_call(state: Shared, request: Request) -> Result<Response> {
    let faults = {
        let mut state = lock(&state);
        state.arrivals += 1;
        state.faults.clone()
    };
    let mut response = call(state, request).await?;
    let retry_after = faults.retry_after.as_deref().filter(|_| faults.refuse);
    let notice = AnswerNotice {
        leaving: faults.say_leaving,
        retry_after,
        limit: faults.say_limit.as_deref(),
    };
    json_reply::set_notice(&mut response, notice);
    Ok(response)
}

async fn call(state: Shared, mut request: Request) -> Result<Response> {
    let key: String = request.header(IDEMPOTENCY_KEY_HEADER).unwrap_or_default();
    let body = match json_reply::text(&mut request).await {
        Ok(body) => body,
        Err(refusal) => return Ok(refusal),
    };
    let faults = lock(&state).faults.clone();
    if faults.refuse {
        return Ok(refused());
    }
    if consume_fault(&mut lock(&state).faults.drop_before) {
        return Ok(cut_before_body());
    }
    let stored = stored_answer(&lock(&state), &key);
    if let Some(answer) = stored {
        return Ok(json_reply::json(&answer));
    }
    let answer = execute(&mut lock(&state), key, body);
    let delay = Duration::from_millis(faults.delay_ms);
    if faults.die {
        // Its caller's leaving doesn't stop it.
        let _ = tokio::spawn(exit_after(delay)).await;
    }
    tokio::time::sleep(delay).await;
    if consume_fault(&mut lock(&state).faults.drop_after) {
        return Ok(cut_before_body());
    }
    Ok(json_reply::json(&answer))
}

async fn exit_after(delay: Duration) {
    tokio::time::sleep(delay).await;
    std::process::exit(CRASH_EXIT_CODE);
}

/// A refusal whose outcome header says that the call was not run.
fn refused() -> Response {
    let mut response = json_reply::status(StatusCode::SERVICE_UNAVAILABLE);
    let not_run = HeaderValue::from_static(Outcome::NotRun.as_str());
    response.headers_mut().insert(OUTCOME_HEADER, not_run);
    response
}

fn consume_fault(left: &mut u32) -> bool {
    let is_active = *left > 0;
    *left = left.saturating_sub(1);
    is_active
}

fn stored_answer(state: &State, key: &str) -> Option<ServiceAnswer> {
    if !state.settings.checks_keys {
        return None;
    }
    state.answers.get(key).cloned()
}

fn execute(state: &mut State, key: String, body: String) -> ServiceAnswer {
    state.count += 1;
    *state.executions.by_key.entry(key.clone()).or_default() += 1;
    *state.executions.by_body.entry(body.clone()).or_default() += 1;
    let answer = ServiceAnswer {
        execution: state.count,
        key: key.clone(),
        echo: body,
    };
    state.answers.insert(key, answer.clone());
    answer
}

/// An answer whose body fails at once, so that the connection breaks before any byte of the
/// answer is sent.
fn cut_before_body() -> Response {
    let cut = futures::stream::once(async { Err::<String, _>(std::io::Error::other("cut")) });
    Response::new(Body::from_stream(cut))
}
