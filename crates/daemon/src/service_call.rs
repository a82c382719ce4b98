//! Calls to plain services: repeated only where the configuration allows it,
//! otherwise run at most once by the instance that the ticket names.

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
use iristhread_core::BackendServer;
use iristhread_core::Event;
use iristhread_core::InstanceId;
use iristhread_core::Now;
use iristhread_core::Outcome;
use iristhread_core::SpendVerdict;
use iristhread_core::Ticket;
use iristhread_core::TimelineEvent;

use crate::app::App;
use crate::call_answer::CallAnswer;
use crate::call_book::AnswerSlot;
use crate::control_message::ControlMessage;
use crate::peer_message::ForwardedCall;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;

/// Tries of a call that may be repeated.
const MAX_TRIES: usize = 3;

/// What became of one try.
enum Try {
    /// Final.
    Answer(CallAnswer),
    /// No byte was written: another runner may be tried.
    NotSent,
    /// It may have run.
    Unknown(String),
}

/// Runs a call that may be repeated: tries again elsewhere after a failure.
pub async fn run_repeatable(app: &App, call: &ForwardedCall) -> CallAnswer {
    let deadline = deadline_of(app, call);
    let mut last = CallAnswer::not_run(503, "no_backend", "no runner of the service is available");
    for runner in runners(app, &call.service)
        .await
        .into_iter()
        .take(MAX_TRIES)
    {
        match try_runner(app, call, &runner, &call.request, deadline).await {
            Try::Answer(answer) if answer.status < 500 => return answer,
            Try::Answer(answer) => last = answer,
            Try::NotSent => {}
            Try::Unknown(cause) => last = CallAnswer::unknown("service_failed", cause),
        }
    }
    last
}

/// Runs, forwards or repeats the answer of a call whose ticket was verified.
pub async fn run_ticketed(app: &Arc<App>, call: ForwardedCall, ticket: Ticket) -> CallAnswer {
    let number = ticket.number.clone();
    let keep_until = Duration::from_millis(ticket.expires_ms);
    let ask = |reply| ControlMessage::SpendTicket {
        ticket: ticket.clone(),
        reply,
    };
    // Subscribe before spending, so that a second delivery finds the slot.
    let is_own = ticket.instance == app.identity.instance;
    let slot = is_own.then(|| app.calls.slot(&number, keep_until));
    let Some(verdict) = app.control.ask(ask).await else {
        return CallAnswer::not_run(503, "stopping", "the instance is stopping");
    };
    match (verdict, slot) {
        (SpendVerdict::Run { send_before }, Some(slot)) => {
            let deadline = deadline_of(app, &call).min(send_before);
            let running = run_once(app.clone(), call, number, deadline, slot.clone());
            // A task of its own: the caller's departure must not cut it.
            tokio::spawn(running);
            answer_of(&slot, app, keep_until).await
        }
        (SpendVerdict::SameRun, Some(slot)) => answer_of(&slot, app, keep_until).await,
        (SpendVerdict::Forward { instance, .. }, _) => forward(app, call, instance).await,
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

/// Runs a call that a peer forwarded; checks the ticket again.
pub async fn run_forwarded(app: &Arc<App>, call: ForwardedCall) -> CallAnswer {
    let keyring = &app.settings.keyring;
    match Ticket::decode(&call.ticket, &call.workspace, &call.service, keyring) {
        Ok(ticket) if ticket.instance == app.identity.instance => {
            run_ticketed(app, call, ticket).await
        }
        // Never forwarded twice.
        _ => CallAnswer::unknown("wrong_instance", "the ticket is not of this instance"),
    }
}

async fn run_once(
    app: Arc<App>,
    call: ForwardedCall,
    number: String,
    deadline: Now,
    slot: AnswerSlot,
) {
    let mut answer = CallAnswer::not_run(
        503,
        "no_backend",
        "no runner of the service could be connected to",
    );
    for runner in runners(&app, &call.service).await {
        match try_runner(&app, &call, &runner, &number, deadline).await {
            Try::Answer(final_answer) => answer = final_answer,
            Try::NotSent => continue,
            Try::Unknown(cause) => answer = CallAnswer::unknown("service_failed", cause),
        }
        break;
    }
    slot.send_replace(Some(answer));
}

async fn try_runner(
    app: &App,
    call: &ForwardedCall,
    runner: &BackendServer,
    key: &str,
    deadline: Now,
) -> Try {
    let Some(request) = request_to(call, runner, key) else {
        let message = "the call can't be sent as HTTP";
        return Try::Answer(CallAnswer::not_run(400, "invalid_call", message));
    };
    // Just before the bytes leave: a process that was paused must not send late.
    let now = app.clock.now();
    if now >= deadline {
        let message = "the deadline or the ticket expired before the call was sent";
        return Try::Answer(CallAnswer::not_run(504, "deadline", message));
    }
    let fetched = tokio::time::timeout(deadline - now, app.services.fetch(request)).await;
    let backend = runner.name.clone();
    match fetched {
        Ok(Ok(reply)) => {
            app.control.tell(Event::BackendAnswered { backend });
            Try::Answer(answer_from(&reply))
        }
        Ok(Err(HttpClientError::Connect { .. })) => {
            app.control.tell(Event::BackendFailed { backend });
            Try::NotSent
        }
        Ok(Err(error)) => {
            app.control.tell(Event::BackendFailed { backend });
            Try::Unknown(format!("the runner gave no answer: {error}"))
        }
        Err(_) => {
            app.control.tell(Event::BackendFailed { backend });
            Try::Unknown("the runner gave no answer before the deadline".to_owned())
        }
    }
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

/// What the runner answered is its own answer, unless it says that it did not
/// run the call, or failed with no word about that.
fn answer_from(reply: &iristhread_api::Reply) -> CallAnswer {
    let header = |name: &str| {
        let value = reply.headers.get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let content_type = header(header::CONTENT_TYPE.as_str());
    let mut answer = CallAnswer::ran(reply.status.as_u16(), content_type, reply.body.to_vec());
    let said_not_run = header(OUTCOME_HEADER).as_deref() == Some(Outcome::NotRun.as_str());
    if said_not_run {
        answer.outcome = Outcome::NotRun;
    } else if reply.status.is_server_error() {
        answer.outcome = Outcome::Unknown;
    }
    answer
}

async fn answer_of(slot: &AnswerSlot, app: &App, keep_until: Now) -> CallAnswer {
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
    let ask = |reply| ControlMessage::Snapshot { reply };
    let snapshot = app.control.ask(ask).await;
    let entries = snapshot.into_iter().flat_map(|s| s.instances);
    let mut entries = entries.map(|line| line.entry);
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
