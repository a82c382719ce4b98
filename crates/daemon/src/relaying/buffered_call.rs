//! Requests with buffered answers: an answer is forwarded once all of it has arrived, so that a
//! truncated answer never looks complete.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use iristhread_core::CallEnd;
use iristhread_core::MemoryKind;
use iristhread_core::Now;
use iristhread_core::Outcome;
use iristhread_core::Ranking;
use iristhread_core::Replica;
use iristhread_core::RequestClass;
use iristhread_core::RunEnd;
use iristhread_core::SendResult;
use slog::info;
use tokio::sync::mpsc;

use crate::engines::engine_watch::has_ended_soon_after_answer;
use crate::engines::engine_watch::has_ended_with_answer;
use crate::engines::engine_watch::probe_broken_server;
use crate::gateway::GatewayApp;
use crate::gateway::gateway_message::GatewayMessage;
use crate::process::claimed_body::BodyReader;
use crate::relaying::answer_timeout;
use crate::relaying::caller_answer;
use crate::relaying::caller_answer::CallerAnswer;
use crate::relaying::exchange::Exchange;
use crate::relaying::run_guard::RunGuard;
use crate::relaying::send_outcome::BackendAnswer;
use crate::relaying::send_outcome::SendOutcome;
use crate::relaying::tries::Tries;
use crate::relaying::tries::TriesEnd;

/// Maximum size of a buffered answer body: the default maximum size of a request body.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Retry-After when the backend server refused the request.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// An answer with a complete body.
struct BufferedAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    /// Whether it had neither a length nor chunks.
    ended_with_connection: bool,
}

/// The result of one attempt.
struct AttemptResult {
    result: SendResult,
    answer: Option<BufferedAnswer>,
    /// How the run at the server ended.
    end: RunEnd,
}

/// A finished call.
struct FinishedCall {
    outcome: Outcome,
    end: CallEnd,
    /// The last answer that may be forwarded.
    answer: Option<BufferedAnswer>,
    /// The backend server of the last attempt.
    last_server: Option<Replica>,
}

/// Relays a request and returns the answer for its caller.
pub async fn run(exchange: &Exchange) -> CallerAnswer {
    let app = &exchange.app;
    // Only sessions receive signals about later decisions.
    let (signals, _) = mpsc::unbounded_channel();
    let (ranking, mut guard) = match exchange.place(signals).await {
        Ok(placed) => placed,
        Err(answer) => return *answer,
    };
    let call = drive(exchange, &ranking, &mut guard).await;
    info!(app.log, "call ended";
        "request" => &exchange.head.request,
        "backend_server" => call.last_server.as_ref().map(|server| &server.id),
        "route" => &exchange.route.name,
        "outcome" => call.outcome.as_str(),
        "end" => format!("{:?}", call.end),
        "status" => call.answer.as_ref().map(|answer| answer.status.as_u16()),
        "took_ms" => (app.clock.now() - exchange.arrived).as_millis() as u64);
    let took = app.clock.now() - exchange.arrived;
    if let Some(server) = unproven_server(&call) {
        tokio::spawn(confirm_good_run(app.clone(), server, guard));
    }
    app.metrics.call_ended(call.outcome.as_str(), took);
    let retry_after = match call.outcome {
        Outcome::NotRun => exchange.caller_retry_after(REFUSED_RETRY_AFTER).await,
        Outcome::Ran | Outcome::Unknown => REFUSED_RETRY_AFTER,
    };
    into_caller_answer(call, retry_after)
}

/// Returns the server of a successful answer that ended with its connection.
fn unproven_server(call: &FinishedCall) -> Option<Replica> {
    let answer = call.answer.as_ref()?;
    if call.end != CallEnd::Answer || !answer.ended_with_connection {
        return None;
    }
    call.last_server.clone()
}

/// Keeps a run open until it is known that its server has not ended with the answer.
async fn confirm_good_run(app: Arc<GatewayApp>, server: Replica, mut guard: RunGuard) {
    if has_ended_soon_after_answer(&app, &server).await {
        guard.set_end(RunEnd::Unproven);
        probe_broken_server(&app, guard.request(), &server).await;
    }
}

/// Executes the steps that a [`CallRun`] decides on.
async fn drive(exchange: &Exchange, ranking: &Ranking, guard: &mut RunGuard) -> FinishedCall {
    let app = &exchange.app;
    let repeatable = exchange.route.class == RequestClass::Repeatable;
    let mut tries = Tries::new(exchange, ranking, repeatable);
    let mut last = None;
    let mut last_server = None;
    let mut attempts = 0_u32;
    loop {
        let replica = match tries.next().await {
            Ok(next) => next.replica,
            Err(TriesEnd { outcome, end }) => {
                return FinishedCall {
                    outcome,
                    end,
                    answer: last,
                    last_server,
                };
            }
        };
        // If the caller leaves during this attempt, the previous one is not what ended the run.
        guard.set_end(RunEnd::Withdrawn);
        let AttemptResult {
            result,
            answer,
            end,
        } = attempt(exchange, &replica, repeatable).await;
        attempts += 1;
        if result != SendResult::Answered {
            let status = answer.as_ref().map(|answer| answer.status);
            log_failed_attempt(exchange, &replica, attempts, result, status);
        }
        app.metrics.tried(result.as_str());
        guard.set_end(end);
        tries.sent(result);
        last = answer.or(last);
        last_server = Some(replica);
    }
}

fn log_failed_attempt(
    exchange: &Exchange,
    replica: &Replica,
    attempt: u32,
    result: SendResult,
    status: Option<StatusCode>,
) {
    info!(exchange.app.log, "attempt failed";
        "request" => &exchange.head.request,
        "content" => exchange.fingerprint.to_string(),
        "route" => &exchange.route.name,
        "service" => &exchange.service,
        "backend_server" => &replica.id,
        "attempt" => attempt,
        "max_attempts" => exchange.route.max_attempts,
        "result" => result.as_str(),
        "status" => status.map(|status| status.as_u16()));
}

async fn attempt(exchange: &Exchange, replica: &Replica, repeatable: bool) -> AttemptResult {
    let by = exchange.attempt_deadline(repeatable);
    let sent_at = exchange.app.clock.now();
    let sent = exchange.send(replica, None, None, by).await;
    let is_own_delay =
        matches!(sent, SendOutcome::TimedOut) && exchange.app.was_late_since(sent_at);
    let is_unsent = matches!(
        sent,
        SendOutcome::NoPath(_)
            | SendOutcome::ZoneEvacuated
            | SendOutcome::Withheld(_)
            | SendOutcome::DeadlinePassed
            | SendOutcome::BodyGivenUp
    );
    let (result, answer) = classify(exchange, replica, sent, by).await;
    let has_failed = matches!(result, SendResult::Lost | SendResult::NotConnected);
    if has_failed && !is_unsent && !is_own_delay {
        exchange.app.control.tell(GatewayMessage::Failed {
            replica: replica.server_life(),
        });
    }
    AttemptResult {
        result,
        answer,
        // A server that received nothing has not failed.
        end: match is_unsent {
            true => RunEnd::Refused,
            false => run_end_of(result),
        },
    }
}

async fn classify(
    exchange: &Exchange,
    replica: &Replica,
    sent: SendOutcome,
    by: Now,
) -> (SendResult, Option<BufferedAnswer>) {
    match sent {
        SendOutcome::NotConnected(_)
        | SendOutcome::NoPath(_)
        | SendOutcome::ZoneEvacuated
        | SendOutcome::Withheld(_)
        | SendOutcome::DeadlinePassed
        | SendOutcome::BodyGivenUp => (SendResult::NotConnected, None),
        SendOutcome::Lost(_) => {
            probe_broken_server(&exchange.app, &exchange.head.request, replica).await;
            (SendResult::Lost, None)
        }
        SendOutcome::TimedOut => (SendResult::Lost, None),
        SendOutcome::Answer(answer) => {
            let collected = collect_answer(exchange, replica, *answer, by).await;
            if collected.0 == SendResult::Lost {
                probe_broken_server(&exchange.app, &exchange.head.request, replica).await;
            }
            collected
        }
    }
}

async fn collect_answer(
    exchange: &Exchange,
    replica: &Replica,
    answer: BackendAnswer,
    by: Now,
) -> (SendResult, Option<BufferedAnswer>) {
    if answer.head.is_not_run {
        return (SendResult::SaidNotRun, None);
    }
    if answer.is_ambiguous_refusal() {
        return (SendResult::Failed, None);
    }
    let buffered = match read_whole_answer(exchange, answer, by).await {
        Some(buffered) => buffered,
        None => return (SendResult::Lost, None),
    };
    if buffered.ended_with_connection && has_ended_with_answer(&exchange.app, replica).await {
        return (SendResult::Lost, None);
    }
    let result = match buffered.status.is_server_error() {
        true => SendResult::Failed,
        false => SendResult::Answered,
    };
    (result, Some(buffered))
}

async fn read_whole_answer(
    exchange: &Exchange,
    answer: BackendAnswer,
    by: Now,
) -> Option<BufferedAnswer> {
    let by = exchange.app.clock.instant(by);
    let ended_with_connection = answer.ends_with_connection();
    let mut body = answer.body;
    let reader = BodyReader {
        memory: &exchange.app.memory,
        kind: MemoryKind::Answer,
        owner: exchange.memory_owner(),
        max_bytes: MAX_ANSWER_BYTES,
        max_wait: exchange.time_left(),
    };
    let body = match answer_timeout::until(by, reader.read(&mut body)).await? {
        Ok(body) => body.bytes,
        Err(fault) => {
            info!(exchange.app.log, "answer of a backend server was not read";
                "request" => &exchange.head.request, "cause" => fault.to_string());
            return None;
        }
    };
    Some(BufferedAnswer {
        status: answer.status,
        headers: answer.headers,
        body,
        ended_with_connection,
    })
}

fn run_end_of(result: SendResult) -> RunEnd {
    match result {
        SendResult::Answered => RunEnd::Answered,
        SendResult::Failed => RunEnd::Unproven,
        SendResult::SaidNotRun => RunEnd::Refused,
        SendResult::NotConnected | SendResult::Lost => RunEnd::Failed,
    }
}

fn into_caller_answer(call: FinishedCall, retry_after: Duration) -> CallerAnswer {
    if let Some(answer) = call.answer
        && call.end == CallEnd::Answer
    {
        let body = caller_answer::full_body(answer.body);
        return caller_answer::forwarded(answer.status, &answer.headers, body);
    }
    match call.outcome {
        Outcome::NotRun => caller_answer::not_run(
            retry_after,
            "no backend server took the request; it was not run",
        ),
        Outcome::Ran | Outcome::Unknown => caller_answer::from_gateway(
            StatusCode::BAD_GATEWAY,
            "the backend server gave no answer; the request may have run",
        ),
    }
}

/// Buffers and forwards an answer that is not a stream to a request for a stream.
pub async fn forward_buffered(
    exchange: &Exchange,
    replica: &Replica,
    answer: BackendAnswer,
) -> CallerAnswer {
    let deadline = exchange.answer_deadline;
    let (result, answer) = collect_answer(exchange, replica, answer, deadline).await;
    let outcome = match result {
        SendResult::SaidNotRun => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    let call = FinishedCall {
        outcome,
        end: CallEnd::Answer,
        answer,
        last_server: None,
    };
    into_caller_answer(call, REFUSED_RETRY_AFTER)
}
