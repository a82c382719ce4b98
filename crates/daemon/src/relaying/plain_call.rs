//! Requests that are answered whole: the answer is passed on when all of it is
//! there, so that a broken one never looks whole.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use iristhread_core::BackendId;
use iristhread_core::CallEnd;
use iristhread_core::CallRun;
use iristhread_core::CallStep;
use iristhread_core::Now;
use iristhread_core::Outcome;
use iristhread_core::Ranking;
use iristhread_core::Replica;
use iristhread_core::RequestClass;
use iristhread_core::RunEnd;
use iristhread_core::SendResult;
use slog::debug;
use slog::info;
use tokio::sync::mpsc;

use crate::engines::engine_watch::probe_broken_server;
use crate::gateway::gateway_message::GatewayMessage;
use crate::relaying::exchange::BackendAnswer;
use crate::relaying::exchange::Exchange;
use crate::relaying::exchange::RunGuard;
use crate::relaying::exchange::Sent;
use crate::relaying::front_answer;
use crate::relaying::front_answer::FrontAnswer;
use crate::relaying::patience;

/// Most bytes of an answer that is held until it is whole: the most that
/// callers may send themselves, by default.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Advice when the request was refused by its backend server.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// An answer that is whole.
struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// What became of one try.
struct Attempted {
    result: SendResult,
    answer: Option<WholeAnswer>,
    /// How the request leaves the server.
    end: RunEnd,
}

/// How a call ended.
struct EndedCall {
    outcome: Outcome,
    end: CallEnd,
    /// The last answer that may be passed on.
    answer: Option<WholeAnswer>,
    /// The backend server that was tried last.
    last_server: Option<BackendId>,
}

/// Runs a request and answers its caller.
pub async fn run(exchange: &Exchange) -> FrontAnswer {
    let app = &exchange.app;
    // Only sessions are told of later decisions.
    let (signals, _) = mpsc::unbounded_channel();
    let ranking = match exchange.place(signals).await {
        Ok(ranking) => ranking,
        Err(answer) => return *answer,
    };
    let mut guard = RunGuard::new(app.clone(), exchange.head.request.clone());
    let call = drive(exchange, &ranking, &mut guard).await;
    info!(app.log, "call ended";
        "request" => &exchange.head.request,
        "backend_server" => &call.last_server,
        "route" => &exchange.route.name,
        "outcome" => call.outcome.as_str(),
        "end" => format!("{:?}", call.end),
        "status" => call.answer.as_ref().map(|answer| answer.status.as_u16()),
        "took_ms" => (app.clock.now() - exchange.arrived).as_millis() as u64);
    let took = app.clock.now() - exchange.arrived;
    app.metrics.call_ended(call.outcome.as_str(), took);
    let retry_after = match call.outcome {
        Outcome::NotRun => exchange.caller_retry_after(REFUSED_RETRY_AFTER).await,
        Outcome::Ran | Outcome::Unknown => REFUSED_RETRY_AFTER,
    };
    told(call, retry_after)
}

/// Drives the decisions of a [`CallRun`].
async fn drive(exchange: &Exchange, ranking: &Ranking, guard: &mut RunGuard) -> EndedCall {
    let app = &exchange.app;
    let repeatable = exchange.route.class == RequestClass::Repeatable;
    let names = ranking.replicas.iter().map(|r| r.id.clone()).collect();
    let mut decisions = CallRun::new(repeatable, names, exchange.answer_by)
        .with_tries(exchange.route.max_attempts.max(1));
    let mut last = None;
    let mut last_server = None;
    let mut previous = None;
    loop {
        let mut step = decisions.next(app.clock.now());
        if let (CallStep::Send(name), Some(result)) = (&step, previous)
            && !exchange.may_send_again(name, result).await
        {
            step = decisions.give_up();
        }
        let name = match step {
            CallStep::Send(name) => name,
            CallStep::End { outcome, end } => {
                return EndedCall {
                    outcome,
                    end,
                    answer: last,
                    last_server,
                };
            }
        };
        let Some(replica) = ranking.replicas.iter().find(|r| r.id == name) else {
            continue;
        };
        last_server = Some(replica.id.clone());
        let Attempted {
            result,
            answer,
            end,
        } = attempt(exchange, replica, repeatable).await;
        debug!(app.log, "try ended";
            "request" => &exchange.head.request,
            "backend_server" => &replica.id,
            "result" => format!("{result:?}"));
        app.metrics.tried(result.as_str());
        guard.ends(end);
        decisions.sent(result);
        previous = Some(result);
        last = answer.or(last);
    }
}

async fn attempt(exchange: &Exchange, replica: &Replica, repeatable: bool) -> Attempted {
    let by = exchange.try_until(repeatable);
    let sent = exchange.send(replica, None, None, by).await;
    let is_unsent = matches!(sent, Sent::ZoneClosed | Sent::Withheld(_));
    let (result, answer) = judged(exchange, replica, sent, by).await;
    if matches!(result, SendResult::Lost | SendResult::NotConnected) && !is_unsent {
        exchange.app.control.tell(GatewayMessage::Failed {
            replica: replica.server_life(),
        });
    }
    Attempted {
        result,
        answer,
        // A server that was sent nothing has not failed.
        end: match is_unsent {
            true => RunEnd::Refused,
            false => end_of(result),
        },
    }
}

async fn judged(
    exchange: &Exchange,
    replica: &Replica,
    sent: Sent,
    by: Now,
) -> (SendResult, Option<WholeAnswer>) {
    match sent {
        Sent::NotConnected(_) | Sent::ZoneClosed | Sent::Withheld(_) => {
            (SendResult::NotConnected, None)
        }
        Sent::Lost(cause) => {
            info!(exchange.app.log, "try broke off";
                "request" => &exchange.head.request,
                "content" => exchange.fingerprint.to_string(),
                "backend_server" => &replica.id,
                "cause" => cause);
            probe_broken_server(&exchange.app, &exchange.head.request, replica).await;
            (SendResult::Lost, None)
        }
        Sent::TimedOut => (SendResult::Lost, None),
        Sent::Answer(answer) => {
            let collected = collected(exchange, *answer, by).await;
            if collected.0 == SendResult::Lost {
                probe_broken_server(&exchange.app, &exchange.head.request, replica).await;
            }
            collected
        }
    }
}

async fn collected(
    exchange: &Exchange,
    answer: BackendAnswer,
    by: Now,
) -> (SendResult, Option<WholeAnswer>) {
    if answer.head.is_not_run {
        return (SendResult::SaidNotRun, None);
    }
    if answer.is_false_promise() {
        return (SendResult::Failed, None);
    }
    let whole = match whole(exchange, answer, by).await {
        Some(whole) => whole,
        None => return (SendResult::Lost, None),
    };
    let result = match whole.status.is_server_error() {
        true => SendResult::Failed,
        false => SendResult::Answered,
    };
    (result, Some(whole))
}

async fn whole(exchange: &Exchange, answer: BackendAnswer, by: Now) -> Option<WholeAnswer> {
    let by = exchange.app.clock.instant(by);
    let body = Limited::new(answer.body, MAX_ANSWER_BYTES).collect();
    let body = patience::until(by, body).await?.ok()?;
    Some(WholeAnswer {
        status: answer.status,
        headers: answer.headers,
        body: body.to_bytes(),
    })
}

fn end_of(result: SendResult) -> RunEnd {
    match result {
        SendResult::Answered | SendResult::Failed => RunEnd::Answered,
        SendResult::SaidNotRun => RunEnd::Refused,
        SendResult::NotConnected | SendResult::Lost => RunEnd::Failed,
    }
}

fn told(call: EndedCall, retry_after: Duration) -> FrontAnswer {
    if let Some(answer) = call.answer
        && call.end == CallEnd::Answer
    {
        let body = front_answer::whole(answer.body);
        return front_answer::passed_on(answer.status, &answer.headers, body);
    }
    match call.outcome {
        Outcome::NotRun => front_answer::not_run(
            retry_after,
            "no backend server took the request; it was not run",
        ),
        Outcome::Ran | Outcome::Unknown => front_answer::own(
            StatusCode::BAD_GATEWAY,
            "the backend server gave no answer; the request may have run",
        ),
    }
}

/// An answer to a stream's request that is no stream.
pub async fn pass_on_whole(exchange: &Exchange, answer: BackendAnswer) -> FrontAnswer {
    let (result, answer) = collected(exchange, answer, exchange.answer_by).await;
    let outcome = match result {
        SendResult::SaidNotRun => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    let call = EndedCall {
        outcome,
        end: CallEnd::Answer,
        answer,
        last_server: None,
    };
    told(call, REFUSED_RETRY_AFTER)
}
