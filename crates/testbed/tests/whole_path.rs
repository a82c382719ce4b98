//! The whole path in separate processes.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use iristhread_api::CompletionRequest;
use iristhread_standin::expected_answer;
use iristhread_testbed::QUOTE_MODEL;
use iristhread_testbed::Scene;

fn request(prompt: &str, received: Vec<String>) -> CompletionRequest {
    CompletionRequest {
        model: QUOTE_MODEL.to_owned(),
        prompt: prompt.to_owned(),
        stream: true,
        received,
        ..CompletionRequest::default()
    }
}

#[tokio::test]
async fn a_stream_arrives_whole_and_in_order() {
    let scene = Scene::builder(1).start().await.unwrap();
    let prompt = "narrate the quote [tokens=40]";
    let body = |received| request(prompt, received);
    let caller = scene.caller(&["a1"]);
    let outcome = caller
        .stream("/v1/completions", body, |_| {})
        .await
        .unwrap();
    assert_eq!(outcome.tokens, expected_answer(prompt, 8_192));
    assert_eq!(outcome.finish_reason, "stop");
    assert_eq!(outcome.connections, 1);
}
