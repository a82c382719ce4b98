//! Calls to plain services. A call is repeated only if the configuration allows it; otherwise the
//! instance that its ticket names runs it at most once.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::Request;
use http::header;
use http_body_util::Full;
use hyper::body::Bytes;
use iristhread_api::HttpClientError;
use iristhread_api::IDEMPOTENCY_KEY_HEADER;
use iristhread_api::OUTCOME_HEADER;
use iristhread_api::Reply;
use iristhread_api::parse_server_notice;
use iristhread_core::BackendServer;
use iristhread_core::CallEnd;
use iristhread_core::CallRun;
use iristhread_core::CallStep;
use iristhread_core::Event;
use iristhread_core::InstanceId;
use iristhread_core::Now;
use iristhread_core::ObservedNotice;
use iristhread_core::Outcome;
use iristhread_core::SendResult;
use iristhread_core::SpendVerdict;
use iristhread_core::Ticket;
use iristhread_core::TimelineEvent;
use slog::info;

use crate::completion::api_error::whole_seconds;
use crate::completion::app::App;
use crate::completion::call_answer::CallAnswer;
use crate::completion::call_store::AnswerSlot;
use crate::completion::control_message::ControlMessage;
use crate::completion::left_run;
use crate::completion::left_run::OpenRun;
use crate::completion::left_run::RunAtServer;
use crate::engines::engine_watch::has_stopped_listening;
use crate::peers::peer_message::ForwardedCall;
use crate::peers::peer_message::PeerReply;
use crate::peers::peer_message::PeerRequest;
use crate::relaying::answer_timeout;

/// Why an answer that ended with its connection is not complete.
const RUNNER_ENDED: &str = "the runner ended with the connection of its answer";

/// Runs a call that may be repeated; retries at another runner after a failure.
pub async fn run_repeatable(app: &Arc<App>, call: &ForwardedCall) -> CallAnswer {
    let deadline = deadline_of(app, call);
    run(app, call, true, &call.request, deadline).await
}

/// Runs a call whose ticket was verified, forwards it, or repeats its earlier answer.
///
/// This runs in a task of its own: if the caller or peer disconnects after the ticket was spent and
/// before the call was sent, the call must still run, or the ticket would be spent for nothing.
pub async fn run_ticketed(app: &Arc<App>, call: ForwardedCall, ticket: Ticket) -> CallAnswer {
    let task = tokio::spawn(spend_and_run(app.clone(), call, ticket));
    task.await.unwrap_or_else(|_| {
        CallAnswer::unknown("lost", "the instance failed while it ran the call")
    })
}

async fn spend_and_run(app: Arc<App>, call: ForwardedCall, ticket: Ticket) -> CallAnswer {
    let keep_until = Duration::from_millis(ticket.expires_ms);
    let ask = |reply| ControlMessage::SpendTicket {
        ticket: ticket.clone(),
        reply,
    };
    // Created before the ticket is spent, so that a second delivery finds the slot.
    let is_own = ticket.instance == app.identity.instance;
    let slot = is_own.then(|| app.calls.slot(&ticket.number, keep_until));
    let Some(verdict) = app.control.ask(ask).await else {
        return CallAnswer::not_run(503, "stopping", "the instance is stopping");
    };
    match (verdict, slot) {
        (SpendVerdict::Run { send_before }, Some(slot)) => {
            let deadline = deadline_of(&app, &call).min(send_before);
            let answer = run(&app, &call, false, &ticket.number, deadline).await;
            slot.send_replace(Some(answer.clone()));
            answer
        }
        (SpendVerdict::SameRun, Some(slot)) => await_answer(&slot, &app, keep_until).await,
        (SpendVerdict::Forward { instance, .. }, _) => forward(&app, call, instance).await,
        (SpendVerdict::Expired, _) => CallAnswer::not_run(
            410,
            "ticket_expired",
            "the ticket expired unused; ask for another",
        ),
        (SpendVerdict::Full, _) => CallAnswer::not_run(
            503,
            "too_many_tickets",
            "the instance remembers as many calls as max_tickets allows",
        ),
        _ => CallAnswer::unknown(
            "ticket_of_earlier_life",
            "the process that this ticket names is gone or has forgotten it; the call may have run",
        ),
    }
}

/// Runs a call that a peer forwarded; verifies the ticket again.
pub async fn run_forwarded(app: &Arc<App>, call: ForwardedCall) -> CallAnswer {
    let keyring = &app.settings.keyring;
    match Ticket::decode(&call.ticket, &call.workspace, &call.service, keyring) {
        Ok(ticket) if ticket.instance == app.identity.instance => {
            run_ticketed(app, call, ticket).await
        }
        // A call is never forwarded twice.
        _ => CallAnswer::unknown("wrong_instance", "the ticket is not of this instance"),
    }
}

/// Sends the call to the runners that a [`CallRun`] chooses, and returns the final answer.
async fn run(
    app: &Arc<App>,
    call: &ForwardedCall,
    repeatable: bool,
    key: &str,
    deadline: Now,
) -> CallAnswer {
    let runners = runners(app, &call.service).await;
    let names = runners.iter().map(|runner| runner.name.clone()).collect();
    let mut decisions = CallRun::new(repeatable, names, deadline);
    let mut last = None;
    loop {
        match decisions.next(app.clock.now()) {
            CallStep::Send(name) => {
                let Some(runner) = runners.iter().find(|runner| runner.name == name) else {
                    continue;
                };
                if !may_call(app, call, runner).await {
                    decisions.sent(SendResult::NotConnected);
                    continue;
                }
                if !passes_quarantine(app, call).await {
                    let CallStep::End { outcome, end } = decisions.give_up() else {
                        continue;
                    };
                    return final_answer(outcome, end, last);
                }
                let open = OpenRun::new(app, RunAtServer::of_call(call, runner));
                let (result, reply) = send(app, call, runner, key, deadline).await;
                if report_result(app, call, runner, result).await {
                    open.end();
                }
                decisions.sent(result);
                last = reply.or(last);
            }
            CallStep::End {
                end: CallEnd::NoRunner,
                outcome: Outcome::NotRun,
            } => return no_runner(app, call).await,
            CallStep::End { outcome, end } => return final_answer(outcome, end, last),
        }
    }
}

/// Returns the answer if no runner accepted the call, with the time for a retry if it is known.
async fn no_runner(app: &App, call: &ForwardedCall) -> CallAnswer {
    match time_until_runner(app, &call.service).await {
        Some(left) => all_backing_off(left),
        None => final_answer(Outcome::NotRun, CallEnd::NoRunner, None),
    }
}

/// Checks whether the runner accepts a call now: a server notice may have arrived since the runners
/// were ranked.
async fn may_call(app: &App, call: &ForwardedCall, runner: &BackendServer) -> bool {
    let ask = |reply| ControlMessage::MayCall {
        backend: runner.name.clone(),
        request: call.request.clone(),
        reply,
    };
    app.control.ask(ask).await.unwrap_or_default()
}

async fn time_until_runner(app: &App, service: &str) -> Option<Duration> {
    let ask = |reply| ControlMessage::TimeUntilRunner {
        service: service.to_owned(),
        reply,
    };
    app.control.ask(ask).await.flatten()
}

fn all_backing_off(left: Duration) -> CallAnswer {
    let message = "all runners of the service have asked for rest or take no more now";
    CallAnswer {
        retry_after_s: Some(whole_seconds(left)),
        ..CallAnswer::not_run(503, "resting", message)
    }
}

/// Checks whether the call is free of quarantine; needed before each send, also of forwarded calls.
async fn passes_quarantine(app: &App, call: &ForwardedCall) -> bool {
    let ask = |reply| ControlMessage::CheckQuarantine {
        request: call.request.clone(),
        fingerprint: call.fingerprint(),
        reply,
    };
    matches!(app.control.ask(ask).await, Some(Ok(())))
}

/// Reports to the control thread whether the runner answered, or crashed during the call. Returns
/// false if the runner may still execute the call.
async fn report_result(
    app: &App,
    call: &ForwardedCall,
    runner: &BackendServer,
    result: SendResult,
) -> bool {
    let fingerprint = call.fingerprint();
    match result {
        SendResult::Answered => app.control.tell(Event::CallAnswered { fingerprint }),
        SendResult::Lost if !has_stopped_listening(runner.address, true).await => return false,
        SendResult::Lost => left_run::report_crash(app, RunAtServer::of_call(call, runner)),
        // An error of the runner's own shows nothing of the call.
        SendResult::Failed | SendResult::NotConnected | SendResult::SaidNotRun => {}
    }
    true
}

fn final_answer(outcome: Outcome, end: CallEnd, reply: Option<Reply>) -> CallAnswer {
    let mut answer = match (end, reply) {
        (CallEnd::Answer, Some(reply)) => relayed_answer(&reply),
        (CallEnd::Deadline, _) => {
            let message = "the deadline or the ticket expired before the call was sent";
            CallAnswer::not_run(504, "deadline", message)
        }
        (CallEnd::NoRunner, _) => {
            let message = "no runner of the service could be connected to";
            CallAnswer::not_run(503, "no_backend", message)
        }
        (CallEnd::Lost | CallEnd::Answer, _) => {
            CallAnswer::unknown("service_failed", "the runner gave no answer")
        }
    };
    answer.outcome = outcome;
    answer
}

async fn send(
    app: &App,
    call: &ForwardedCall,
    runner: &BackendServer,
    key: &str,
    deadline: Now,
) -> (SendResult, Option<Reply>) {
    let Some(request) = request_to(call, runner, key) else {
        return (SendResult::NotConnected, None);
    };
    let sent_at = app.clock.now();
    let left = deadline.saturating_sub(sent_at);
    let due = tokio::time::Instant::now() + left;
    let fetched = answer_timeout::until(due, app.services.fetch(request)).await;
    let backend = runner.name.clone();
    let is_cut = match &fetched {
        Some(Ok(reply)) if reply.ended_with_connection => {
            has_stopped_listening(runner.address, false).await
        }
        _ => false,
    };
    let (result, cause) = match &fetched {
        Some(Ok(_)) if is_cut => (SendResult::Lost, Some(RUNNER_ENDED.to_owned())),
        Some(Ok(reply)) => (classify_reply(reply), None),
        Some(Err(error @ HttpClientError::Connect { .. })) => {
            (SendResult::NotConnected, Some(error.to_string()))
        }
        Some(Err(error)) => (SendResult::Lost, Some(error.to_string())),
        None => (
            SendResult::Lost,
            Some(format!("no answer within {} ms", left.as_millis())),
        ),
    };
    if let Some(cause) = cause {
        info!(app.log, "service runner did not answer";
            "request" => &call.request, "backend_server" => &backend,
            "result" => result.as_str(), "cause" => cause);
    }
    let reply = fetched.and_then(Result::ok).filter(|_| !is_cut);
    let notice = reply
        .as_ref()
        .map(|reply| parse_server_notice(reply.status, &reply.headers));
    let observed = ObservedNotice {
        notice: notice.unwrap_or_default(),
        sent_at,
        reports_limits: reply.as_ref().is_some_and(|r| r.status.is_success()),
    };
    app.observe_notice(&backend, observed);
    app.control.tell(match reply {
        Some(_) => Event::BackendAnswered { backend },
        None => Event::BackendFailed { backend },
    });
    (result, reply)
}

fn request_to(
    call: &ForwardedCall,
    runner: &BackendServer,
    key: &str,
) -> Option<Request<Full<Bytes>>> {
    let method: Method = call.method.parse().ok()?;
    let uri = format!("http://{}{}", runner.address, call.path);
    let mut builder = Request::builder()
        .method(method)
        .uri(uri)
        .header(IDEMPOTENCY_KEY_HEADER, key);
    if let Some(content_type) = &call.content_type {
        builder = builder.header(header::CONTENT_TYPE, content_type);
    }
    builder.body(Full::new(Bytes::from(call.body.clone()))).ok()
}

/// Classifies a reply: it is the runner's own answer unless it says that the call did not run, or
/// is a server error that does not say so.
fn classify_reply(reply: &Reply) -> SendResult {
    let outcome = header_of(reply, OUTCOME_HEADER);
    if outcome.as_deref() == Some(Outcome::NotRun.as_str()) {
        return SendResult::SaidNotRun;
    }
    if reply.status.is_server_error() {
        return SendResult::Failed;
    }
    SendResult::Answered
}

fn relayed_answer(reply: &Reply) -> CallAnswer {
    let content_type = header_of(reply, header::CONTENT_TYPE.as_str());
    CallAnswer::ran(reply.status.as_u16(), content_type, reply.body.to_vec())
}

fn header_of(reply: &Reply, name: &str) -> Option<String> {
    let value = reply.headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

async fn await_answer(slot: &AnswerSlot, app: &App, keep_until: Now) -> CallAnswer {
    let mut answers = slot.subscribe();
    let answered = answers.wait_for(Option::is_some);
    let until = app.clock.instant(keep_until);
    let answer = tokio::time::timeout_at(until, answered).await;
    let answer = answer.ok().and_then(Result::ok);
    let answer = answer.and_then(|answer| answer.clone());
    answer.unwrap_or_else(|| {
        CallAnswer::unknown(
            "no_answer_yet",
            "the call may have run; no answer came in time",
        )
    })
}

async fn forward(app: &App, call: ForwardedCall, instance: InstanceId) -> CallAnswer {
    let unreachable = |cause: String| {
        let message = format!("the instance {instance} alone may run this call: {cause}");
        CallAnswer::unknown("ticket_instance_unreachable", message)
    };
    app.control.note(
        &call.request,
        TimelineEvent::Forwarded {
            instance: instance.clone(),
        },
    );
    let ask = |reply| ControlMessage::InstanceList { reply };
    let entries = app.control.ask(ask).await.unwrap_or_default();
    let mut entries = entries.into_iter();
    let Some(entry) = entries.find(|entry| entry.instance == instance) else {
        return unreachable("it is not on the instance list".to_owned());
    };
    let timeout = Duration::from_millis(call.deadline_ms);
    let request = PeerRequest::RunCall(call);
    let answer = app
        .peers
        .ask(instance.clone(), entry.peer_address, request, timeout);
    match answer.await {
        Ok(PeerReply::CallAnswer(answer)) => answer,
        Ok(_) => unreachable("it answered something else".to_owned()),
        Err(error) => unreachable(error.to_string()),
    }
}

async fn runners(app: &App, service: &str) -> Vec<BackendServer> {
    let ask = |reply| ControlMessage::Runners {
        service: service.to_owned(),
        reply,
    };
    app.control.ask(ask).await.unwrap_or_default()
}

fn deadline_of(app: &App, call: &ForwardedCall) -> Now {
    app.clock.now() + Duration::from_millis(call.deadline_ms)
}
