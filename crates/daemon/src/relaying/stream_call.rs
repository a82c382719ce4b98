//! Requests that are answered by an event stream: the start of the stream, up to the headers of
//! its answer.

use std::time::Duration;

use http::StatusCode;
use iristhread_core::Outcome;
use iristhread_core::Ranking;
use iristhread_core::Replica;
use iristhread_core::RunEnd;
use iristhread_core::SendResult;
use slog::info;
use tokio::sync::mpsc;

use crate::engines::engine_watch::probe_broken_server;
use crate::gateway::gateway_message::GatewayMessage;
use crate::relaying::buffered_call;
use crate::relaying::caller_answer;
use crate::relaying::caller_answer::CallerAnswer;
use crate::relaying::exchange::Exchange;
use crate::relaying::run_guard::RunGuard;
use crate::relaying::send_outcome::BackendAnswer;
use crate::relaying::send_outcome::SendOutcome;
use crate::relaying::session_signals::SessionSignals;
use crate::relaying::stream_relay::StreamRelay;
use crate::relaying::tries::ServerTry;
use crate::relaying::tries::Tries;

/// Retry-After when an engine refused: approximately the time until a session ends.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The result of starting a stream.
enum StartResult {
    Answered(Replica, Box<BackendAnswer>),
    NotRun,
    MayHaveRun(&'static str),
    /// Requests like it were quarantined before the engine answered.
    Withdrawn,
}

/// Starts a stream and returns the answer for its caller.
pub async fn run(exchange: Exchange) -> CallerAnswer {
    let (signals, signals_out) = mpsc::unbounded_channel();
    let mut signals_out = SessionSignals::new(signals_out);
    let (ranking, mut guard) = match exchange.place(signals).await {
        Ok(placed) => placed,
        Err(answer) => return *answer,
    };
    let start = tokio::select! {
        biased;
        start = start(&exchange, &ranking) => start,
        // Dropping the attempt closes its connection, which takes it out of the engine's queue.
        () = signals_out.withdrawn() => StartResult::Withdrawn,
    };
    match start {
        StartResult::Answered(replica, answer) if answer.status.is_success() => {
            spawn_relay(exchange, guard, replica, *answer, signals_out)
        }
        StartResult::Answered(replica, answer) => {
            guard.set_end(RunEnd::Refused);
            log_failed_start(&exchange, "refused by the engine", Some(answer.status));
            buffered_call::forward_buffered(&exchange, &replica, *answer).await
        }
        StartResult::NotRun => {
            guard.set_end(RunEnd::Refused);
            log_failed_start(&exchange, "no engine took it", None);
            let retry_after = exchange.caller_retry_after(REFUSED_RETRY_AFTER).await;
            caller_answer::not_run(retry_after, "no engine took the request")
        }
        StartResult::MayHaveRun(cause) => {
            guard.set_end(RunEnd::Failed);
            log_failed_start(&exchange, cause, None);
            may_have_run()
        }
        StartResult::Withdrawn => {
            guard.set_end(RunEnd::Withdrawn);
            log_failed_start(
                &exchange,
                "withdrawn: requests like it are quarantined",
                None,
            );
            may_have_run()
        }
    }
}

fn may_have_run() -> CallerAnswer {
    let message = "the engine gave no answer; the request may have run";
    caller_answer::from_gateway(StatusCode::BAD_GATEWAY, message)
}

async fn start(exchange: &Exchange, ranking: &Ranking) -> StartResult {
    let app = &exchange.app;
    let may_repeat = exchange.route.can_resume;
    let mut tries = Tries::new(exchange, ranking, may_repeat);
    let mut cause = "";
    loop {
        let ServerTry { replica, backup } = match tries.next().await {
            Ok(next) => next,
            Err(ended) if ended.outcome == Outcome::NotRun => return StartResult::NotRun,
            Err(_) => return StartResult::MayHaveRun(cause),
        };
        app.control.tell(GatewayMessage::Moved {
            request: exchange.head.request.clone(),
            replica: replica.id.clone(),
        });
        let sent = exchange
            .send(
                &replica,
                backup.as_ref(),
                exchange.start_point(),
                exchange.attempt_deadline(may_repeat),
            )
            .await;
        app.metrics.tried(sent.as_str());
        let result = match sent {
            SendOutcome::Answer(answer) if answer.head.is_not_run => SendResult::SaidNotRun,
            SendOutcome::Answer(answer) => return StartResult::Answered(replica, answer),
            SendOutcome::NotConnected(_) => {
                app.control.tell(GatewayMessage::NotConnected {
                    replica: replica.server_life(),
                });
                SendResult::NotConnected
            }
            SendOutcome::ZoneEvacuated => {
                info!(app.log, "not sent: the availability zone of the engine is evacuated";
                    "request" => &exchange.head.request, "backend_server" => &replica.id);
                SendResult::NotConnected
            }
            SendOutcome::NoPath(_)
            | SendOutcome::Withheld(_)
            | SendOutcome::DeadlinePassed
            | SendOutcome::BodyGivenUp => SendResult::NotConnected,
            SendOutcome::Lost(_) => {
                probe_broken_server(app, &exchange.head.request, &replica).await;
                cause = "connection to the engine lost before its answer";
                SendResult::Lost
            }
            SendOutcome::TimedOut => {
                cause = "the engine did not answer in time";
                SendResult::Lost
            }
        };
        tries.sent(result);
    }
}

fn spawn_relay(
    exchange: Exchange,
    guard: RunGuard,
    replica: Replica,
    answer: BackendAnswer,
    signals: SessionSignals,
) -> CallerAnswer {
    let (status, headers) = (answer.status, answer.headers.clone());
    exchange.stream_began();
    let (relay, pieces) = StreamRelay::new(exchange, guard, replica, answer, signals);
    tokio::spawn(relay.run());
    caller_answer::forwarded(status, &headers, caller_answer::stream_body(pieces))
}

fn log_failed_start(exchange: &Exchange, end: &str, status: Option<StatusCode>) {
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
