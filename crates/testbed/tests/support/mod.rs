//! Helpers shared by the tests of this crate.
#![allow(dead_code, reason = "each test file uses only some helpers")]

use iristhread_api::CompletionRequest;
use iristhread_api::ErrorBody;
use iristhread_api::Reply;
use iristhread_cli::Caller;
use iristhread_cli::CliError;
use iristhread_cli::CompletionOutcome;
use iristhread_core::HybridTime;
use iristhread_core::TimelineEvent;
use iristhread_core::TimelineRecord;
use iristhread_standin::expected_answer;
use iristhread_testbed::QUOTE_MODEL;
use iristhread_testbed::Scene;
use iristhread_testbed::eventually;

/// Upper bound for the expected answer; longer than any answer of a test.
pub const MAX_TOKENS: u32 = 8_000;

pub fn completion(prompt: &str, received: Vec<String>) -> CompletionRequest {
    CompletionRequest {
        model: QUOTE_MODEL.to_owned(),
        prompt: prompt.to_owned(),
        stream: true,
        received,
        ..CompletionRequest::default()
    }
}

pub async fn stream(caller: &Caller, prompt: &str) -> Result<CompletionOutcome, CliError> {
    let body = |received| completion(prompt, received);
    caller.stream("/v1/completions", body, |_| {}).await
}

/// Asserts that the stream is exactly the output of one generation of this prompt.
pub fn assert_whole(outcome: &CompletionOutcome, prompt: &str) {
    assert_eq!(outcome.tokens, expected_answer(prompt, MAX_TOKENS));
    assert_eq!(outcome.finish_reason, "stop");
}

pub fn error_of(reply: &Reply) -> ErrorBody {
    match serde_json::from_slice(&reply.body) {
        Ok(body) => body,
        Err(error) => panic!("{}: {error}", String::from_utf8_lossy(&reply.body)),
    }
}

pub fn header<'a>(reply: &'a Reply, name: &str) -> &'a str {
    let value = reply.headers.get(name).map(|value| value.to_str());
    match value {
        Some(Ok(value)) => value,
        _ => panic!("no header {name}"),
    }
}

/// Waits until a stream has delivered its first token at an instance.
pub async fn wait_for_first_token(scene: &Scene, instance: &str) {
    let begun = eventually("a stream has begun", async || {
        let operator = scene.operator(instance);
        let timeline = operator.timeline(None, HybridTime::default()).await;
        let is_first = |r: &TimelineRecord| matches!(r.event, TimelineEvent::FirstToken { .. });
        timeline.is_ok_and(|timeline| timeline.records.iter().any(is_first))
    });
    if let Err(error) = begun.await {
        panic!("{error}");
    }
}

/// Returns the engines on which a request was placed, in order.
pub async fn engines_of(scene: &Scene, instance: &str, request: &str) -> Vec<String> {
    let operator = scene.operator(instance);
    let timeline = operator
        .timeline(Some(request), HybridTime::default())
        .await;
    let records = timeline
        .map(|timeline| timeline.records)
        .unwrap_or_default();
    let placed = |record: TimelineRecord| match record.event {
        TimelineEvent::Placed { engine, .. } => Some(engine),
        _ => None,
    };
    records.into_iter().filter_map(placed).collect()
}
