//! Requests that are answered by an event stream: the start of one, up to the
//! head of its answer.

use std::time::Duration;

use http::StatusCode;
use iristhread_core::CallRun;
use iristhread_core::CallStep;
use iristhread_core::Outcome;
use iristhread_core::Ranking;
use iristhread_core::Replica;
use iristhread_core::RunEnd;
use iristhread_core::SendResult;
use iristhread_core::SessionSignal;
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
use crate::relaying::plain_call;
use crate::relaying::stream_relay::StreamRelay;

/// Advice when an engine refused: about the time in which a session ends.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// How the start of a stream went.
enum Start {
    Answered(Replica, Box<BackendAnswer>),
    NotRun,
    MayHaveRun(&'static str),
}

/// Starts a stream and answers its caller.
pub async fn run(exchange: Exchange) -> FrontAnswer {
    let app = exchange.app.clone();
    let (signals, signals_out) = mpsc::unbounded_channel();
    let ranking = match exchange.place(signals).await {
        Ok(ranking) => ranking,
        Err(answer) => return *answer,
    };
    let mut guard = RunGuard::new(app.clone(), exchange.head.request.clone());
    let start = start(&exchange, &ranking).await;
    match start {
        Start::Answered(replica, answer) if answer.status.is_success() => {
            relayed(exchange, guard, replica, *answer, signals_out)
        }
        Start::Answered(_, answer) => {
            guard.ends(RunEnd::Refused);
            log_end(&exchange, "refused by its engine", Some(answer.status));
            plain_call::pass_on_whole(&exchange, *answer).await
        }
        Start::NotRun => {
            guard.ends(RunEnd::Refused);
            log_end(&exchange, "no engine took it", None);
            let retry_after = exchange.caller_retry_after(REFUSED_RETRY_AFTER).await;
            front_answer::not_run(retry_after, "no engine took the request")
        }
        Start::MayHaveRun(cause) => {
            guard.ends(RunEnd::Failed);
            log_end(&exchange, cause, None);
            let message = "the engine gave no answer; the request may have run";
            front_answer::own(StatusCode::BAD_GATEWAY, message)
        }
    }
}

async fn start(exchange: &Exchange, ranking: &Ranking) -> Start {
    let app = &exchange.app;
    let names = ranking.replicas.iter().map(|r| r.id.clone()).collect();
    let may_repeat = exchange.route.can_resume;
    let mut decisions = CallRun::new(may_repeat, names, exchange.answer_by)
        .with_tries(exchange.route.max_attempts.max(1));
    let mut cause = "";
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
            CallStep::End {
                outcome: Outcome::NotRun,
                ..
            } => return Start::NotRun,
            CallStep::End { .. } => return Start::MayHaveRun(cause),
        };
        let Some(replica) = ranking.replicas.iter().find(|r| r.id == name) else {
            continue;
        };
        app.control.tell(GatewayMessage::Moved {
            request: exchange.head.request.clone(),
            replica: replica.id.clone(),
        });
        let backup = ranking.backup.as_ref().filter(|b| b.id != replica.id);
        let sent = exchange
            .send(
                replica,
                backup,
                exchange.beginning(),
                exchange.try_until(may_repeat),
            )
            .await;
        app.metrics.tried(sent.as_str());
        let result = match sent {
            Sent::Answer(answer) if answer.head.is_not_run => SendResult::SaidNotRun,
            Sent::Answer(answer) => return Start::Answered(replica.clone(), answer),
            Sent::NotConnected(why) => {
                info!(app.log, "engine can't be connected to";
                    "request" => &exchange.head.request,
                    "backend_server" => &replica.id, "cause" => why);
                app.control.tell(GatewayMessage::NotConnected {
                    replica: replica.server_life(),
                });
                SendResult::NotConnected
            }
            Sent::ZoneClosed => {
                info!(app.log, "not sent: the zone of the engine is evacuated";
                    "request" => &exchange.head.request, "backend_server" => &replica.id);
                SendResult::NotConnected
            }
            Sent::Withheld(_) => SendResult::NotConnected,
            Sent::Lost(why) => {
                info!(app.log, "engine broke off before its answer";
                    "request" => &exchange.head.request,
                    "content" => exchange.fingerprint.to_string(),
                    "backend_server" => &replica.id, "cause" => why);
                probe_broken_server(app, &exchange.head.request, replica).await;
                cause = "its engine broke off before the answer";
                SendResult::Lost
            }
            Sent::TimedOut => {
                cause = "its engine was silent for too long";
                SendResult::Lost
            }
        };
        decisions.sent(result);
        previous = Some(result);
    }
}

fn relayed(
    exchange: Exchange,
    guard: RunGuard,
    replica: Replica,
    answer: BackendAnswer,
    signals: mpsc::UnboundedReceiver<SessionSignal>,
) -> FrontAnswer {
    let (status, headers) = (answer.status, answer.headers.clone());
    let (relay, pieces) = StreamRelay::new(exchange, guard, replica, answer.body, signals);
    tokio::spawn(relay.run());
    front_answer::passed_on(status, &headers, front_answer::streamed(pieces))
}

fn log_end(exchange: &Exchange, end: &str, status: Option<StatusCode>) {
    let app = &exchange.app;
    app.metrics
        .stream_ended("not_begun", app.clock.now() - exchange.arrived);
    info!(exchange.app.log, "stream ended before it began";
        "request" => &exchange.head.request,
        "route" => &exchange.route.name,
        "end" => end,
        "status" => status.map(|status| status.as_u16()),
        "took_ms" => (exchange.app.clock.now() - exchange.arrived).as_millis() as u64);
}
