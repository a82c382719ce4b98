//! Each token reaches the caller once, in order, from one generation only,
//! whatever happens to engines, links and instances.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use futures::future::join_all;
use iristhread_api::Completion;
use iristhread_cli::Caller;
use iristhread_core::HybridTime;
use iristhread_core::TimelineEvent;
use iristhread_core::TimelineRecord;
use iristhread_testbed::LinkState;
use iristhread_testbed::Scene;
use iristhread_testbed::TestRequest;
use iristhread_testbed::eventually;
use serde_json::Value;
use serde_json::json;
use support::assert_whole;
use support::stream;
use test_case::test_case;

/// Number of concurrent streams, so that some run on the engine with the fault.
const STREAMS: usize = 6;

fn prompt(number: usize) -> String {
    format!("quote number {number} under faults [tokens=60]")
}

async fn assert_all_whole(caller: &Caller) {
    let prompts: Vec<String> = (0..STREAMS).map(prompt).collect();
    let outcomes = join_all(prompts.iter().map(|prompt| stream(caller, prompt))).await;
    for (outcome, prompt) in outcomes.into_iter().zip(&prompts) {
        assert_whole(&outcome.unwrap(), prompt);
    }
}

async fn records(scene: &Scene, instance: &str) -> Vec<TimelineRecord> {
    let timeline = scene
        .operator(instance)
        .timeline(None, HybridTime::default())
        .await;
    timeline.unwrap().records
}

fn is_lost(record: &TimelineRecord) -> bool {
    matches!(record.event, TimelineEvent::AttemptLost { .. })
}

#[test_case(json!({}); "no fault")]
#[test_case(json!({ "die_at_token": 0 }); "dies before the first token")]
#[test_case(json!({ "die_at_token": 30 }); "dies in the middle")]
#[test_case(json!({ "omit_end": true }); "closes after the last token without the end mark")]
#[test_case(json!({ "stall": true }); "accepts and does nothing")]
#[test_case(json!({ "reset_after": 7 }); "link resets again and again")]
#[test_case(json!({ "duplicate": true }); "sends each token twice")]
#[test_case(json!({ "cross": true }); "sends tokens of another generation")]
#[test_case(json!({ "skip_every": 9 }); "leaves tokens out")]
#[test_case(json!({ "refuse": true }); "refuses")]
#[test_case(json!({ "slow_factor": 20 }); "is slow")]
#[test_case(json!({ "duplicate": true, "cross": true, "reset_after": 11 }); "three at once")]
#[tokio::test]
async fn a_faulty_engine_spoils_no_stream(faults: Value) {
    let scene = Scene::builder(1).engines_per_zone(2).start().await.unwrap();
    scene.fault("engine-a1", faults).await.unwrap();
    assert_all_whole(&scene.caller(&["a1"])).await;
}

#[tokio::test]
async fn a_full_memory_displaces_sessions_and_loses_no_token() {
    let flags = ["--memory-tokens", "150", "--step-ms", "5"];
    let scene = Scene::builder(1).engine_flags(&flags);
    let scene = scene
        .settings("routing_policy = \"round_robin\"")
        .start()
        .await
        .unwrap();
    assert_all_whole(&scene.caller(&["a1"])).await;
    let preempted = |r: &TimelineRecord| matches!(r.event, TimelineEvent::Preempted { .. });
    assert!(records(&scene, "a1").await.iter().any(preempted));
}

/// Fault of a process that occurs while streams run.
#[derive(Clone, Copy)]
enum ProcessFault {
    Kill,
    FreezeAndThaw,
}

async fn inject(scene: &mut Scene, name: &str, fault: ProcessFault) {
    match fault {
        ProcessFault::Kill => scene.process(name).kill().await,
        ProcessFault::FreezeAndThaw => scene.process(name).freeze(),
    }
}

async fn wait_for_first_tokens(scene: &Scene, instance: &str, count: usize) {
    eventually("streams have begun", async || {
        let begun = |r: &&TimelineRecord| matches!(r.event, TimelineEvent::FirstToken { .. });
        records(scene, instance).await.iter().filter(begun).count() >= count
    })
    .await
    .unwrap();
}

#[test_case(ProcessFault::Kill; "killed")]
#[test_case(ProcessFault::FreezeAndThaw; "frozen and woken after the streams went on")]
#[tokio::test]
async fn an_engine_is_struck_in_the_middle(fault: ProcessFault) {
    let mut scene = Scene::builder(1).engines_per_zone(2).start().await.unwrap();
    let caller = scene.caller(&["a1"]);
    let running = tokio::spawn(async move { assert_all_whole(&caller).await });
    wait_for_first_tokens(&scene, "a1", STREAMS).await;
    inject(&mut scene, "engine-a1", fault).await;
    running.await.unwrap();
    scene.process("engine-a1").thaw();
    assert!(records(&scene, "a1").await.iter().any(is_lost));
    assert_all_whole(&scene.caller(&["a1"])).await;
}

#[test_case(ProcessFault::Kill, "a2"; "killed, the caller goes on in the same zone")]
#[test_case(ProcessFault::Kill, "b1"; "killed, the caller goes on in another zone")]
#[test_case(ProcessFault::FreezeAndThaw, "a2"; "frozen, the caller goes on in the same zone")]
#[test_case(ProcessFault::FreezeAndThaw, "b1"; "frozen, the caller goes on in another zone")]
#[tokio::test]
async fn an_instance_is_struck_in_the_middle(fault: ProcessFault, next: &str) {
    let mut scene = Scene::builder(2)
        .instances_per_zone(2)
        .start()
        .await
        .unwrap();
    let caller = scene
        .caller(&["a1", next])
        .with_stall_timeout(Duration::from_millis(700));
    let running = tokio::spawn(async move { assert_all_whole(&caller).await });
    wait_for_first_tokens(&scene, "a1", STREAMS).await;
    inject(&mut scene, "a1", fault).await;
    running.await.unwrap();
    let came_back = |r: &TimelineRecord| matches!(r.event, TimelineEvent::Reconnected { .. });
    assert!(records(&scene, next).await.iter().any(came_back));
    scene.process("a1").thaw();
}

/// Guards against a generation that waits for its start on a pooled connection that has
/// stalled meanwhile.
#[tokio::test]
async fn a_stream_after_a_silence_reaches_its_engine_at_once() {
    let builder = Scene::builder(1).engines_per_zone(1).with_links();
    let scene = builder.start().await.unwrap();
    let caller = scene.caller(&["a1"]);
    let prompt = "a quote after a silence [tokens=30]";
    assert_whole(&stream(&caller, prompt).await.unwrap(), prompt);
    scene.stall_open_connections("engine-a1");
    assert_whole(&stream(&caller, prompt).await.unwrap(), prompt);
    assert!(!records(&scene, "a1").await.iter().any(is_lost));
}

#[test_case(LinkState::Stalled; "stalled")]
#[test_case(LinkState::Cut; "cut, the engine on the far side")]
#[tokio::test]
async fn the_link_to_an_engine_fails_in_the_middle(state: LinkState) {
    let builder = Scene::builder(1).engines_per_zone(2).with_links();
    let scene = builder.start().await.unwrap();
    let caller = scene.caller(&["a1"]);
    let running = tokio::spawn(async move { assert_all_whole(&caller).await });
    wait_for_first_tokens(&scene, "a1", STREAMS).await;
    scene.set_link("engine-a1", state);
    running.await.unwrap();
    assert!(records(&scene, "a1").await.iter().any(is_lost));
    scene.set_link("engine-a1", LinkState::Up);
    assert_all_whole(&scene.caller(&["a1"])).await;
}

/// The second engine fails while it runs streams that failed over from the first.
#[tokio::test]
async fn the_same_fault_strikes_twice() {
    let mut scene = Scene::builder(1).engines_per_zone(3).start().await.unwrap();
    let caller = scene.caller(&["a1"]);
    let running = tokio::spawn(async move { assert_all_whole(&caller).await });
    wait_for_first_tokens(&scene, "a1", STREAMS).await;
    scene.process("engine-a1").kill().await;
    scene.process("engine-a2").kill().await;
    running.await.unwrap();
}

#[tokio::test]
async fn instance_and_engine_are_killed_at_once() {
    let mut scene = Scene::builder(2).start().await.unwrap();
    let caller = scene.caller(&["a1", "b1"]);
    let running = tokio::spawn(async move { assert_all_whole(&caller).await });
    wait_for_first_tokens(&scene, "a1", STREAMS).await;
    scene.process("engine-a1").kill().await;
    scene.process("a1").kill().await;
    running.await.unwrap();
}

#[tokio::test]
async fn a_stream_that_cannot_go_on_ends_with_an_error_and_no_end_mark() {
    let settings = "[limits]\nstart_timeout_ms = 500";
    let mut scene = Scene::builder(1).settings(settings).start().await.unwrap();
    let caller = scene.caller(&["a1"]);
    let running = tokio::spawn(async move { stream(&caller, &prompt(0)).await });
    wait_for_first_tokens(&scene, "a1", 1).await;
    scene.process("engine-a1").kill().await;
    scene.process("a1").kill().await;
    let error = running.await.unwrap().unwrap_err();
    assert_eq!(error.exit_code(), 4, "{error}");
}

/// The refusal of a stream that had started must not report `not_run`.
#[tokio::test]
async fn a_caller_that_comes_back_in_vain_is_not_told_not_run() {
    let mut scene = Scene::builder(1).start().await.unwrap();
    let body = "{\"model\": \"quote-narrator\", \"stream\": true, \"prompt\": \"p [tokens=3]\"}";
    let request = TestRequest::post("/v1/completions", body);
    let reply = scene.ask("a1", &request).await.unwrap();
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let cursor = text
        .lines()
        .find_map(|line| line.strip_prefix("id: "))
        .unwrap()
        .to_owned();
    scene.process("engine-a1").kill().await;
    let back = request.header("last-event-id", &cursor);
    let reply = scene.ask("a1", &back).await.unwrap();
    assert_eq!(support::error_of(&reply).error.code, "stream_lost");
    assert_eq!(support::header(&reply, "iristhread-outcome"), "unknown");
    let first = "\"received\": [\"FIRST\"], \"model\"".replace("FIRST", &first_token(&text));
    let with_text = body.replace("\"model\"", &first);
    let back = TestRequest::post("/v1/completions", with_text).header("last-event-id", &cursor);
    let reply = scene
        .ask("a1", &back.header("iristhread-deadline-ms", "300"))
        .await
        .unwrap();
    assert_eq!(support::header(&reply, "iristhread-outcome"), "unknown");
}

fn first_token(events: &str) -> String {
    let data = events
        .lines()
        .find_map(|line| line.strip_prefix("data: "))
        .unwrap();
    let part: Completion = serde_json::from_str(data).unwrap();
    part.choices[0].text.clone().unwrap()
}
