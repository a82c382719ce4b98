//! Engines and runners say in their answers that they leave, or turn a request away and ask
//! for some seconds of rest. On the completion interface, too, such words ended with the
//! request that they answered: an engine was believed by its load report alone, and a runner
//! by the configuration.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use iristhread_core::HybridTime;
use iristhread_core::TimelineEvent;
use iristhread_core::TimelineRecord;
use iristhread_testbed::Scene;
use iristhread_testbed::TestRequest;
use iristhread_testbed::eventually;
use serde_json::Value;
use serde_json::json;
use support::header;
use support::stream;
use test_case::test_case;

const PROMPT: &str = "a short quote [tokens=5]";

const STOCK: &str = "/v1/services/stock/oak";

/// Requests sent after the words were heard.
const LATER: usize = 12;

async fn arrivals(scene: &Scene, name: &str) -> u64 {
    scene.arrivals(name).await.unwrap()
}

async fn ask_stock(scene: &Scene) {
    scene
        .ask("a1", &TestRequest::post(STOCK, "oak"))
        .await
        .unwrap();
}

/// Sends until a server has got one more.
async fn reaches(scene: &Scene, name: &str, send: impl AsyncFn(&Scene)) {
    let before = arrivals(scene, name).await;
    let reached = eventually("it is reached", async || {
        send(scene).await;
        arrivals(scene, name).await > before
    });
    reached.await.unwrap();
}

/// Words of a runner, and whether it refuses.
#[test_case(json!({"say_leaving": true}); "it says that it leaves")]
#[test_case(json!({"refuse": true, "retry_after": "60"}); "it asks for rest")]
#[tokio::test]
async fn a_runner_gets_nothing_after_its_words(fault: Value) {
    let scene = Scene::builder(1).services(2).start().await.unwrap();
    let first = first_runner(&scene).await;
    scene.fault(first, fault).await.unwrap();
    reaches(&scene, first, ask_stock).await;
    let before = arrivals(&scene, first).await;
    for _ in 0..LATER {
        ask_stock(&scene).await;
    }
    assert_eq!(arrivals(&scene, first).await, before);
}

/// The runner that is chosen while nothing speaks against it.
async fn first_runner(scene: &Scene) -> &'static str {
    let reached = eventually("a runner is reached", async || {
        ask_stock(scene).await;
        arrivals(scene, "orders-1").await + arrivals(scene, "orders-2").await > 0
    });
    reached.await.unwrap();
    match arrivals(scene, "orders-1").await {
        0 => "orders-2",
        _ => "orders-1",
    }
}

/// Each prompt is another: the engine that knows one already is preferred.
async fn ask_engine(scene: &Scene) {
    static ASKED: AtomicU32 = AtomicU32::new(0);
    let number = ASKED.fetch_add(1, Ordering::Relaxed);
    let prompt = format!("quote {number} [tokens=5]");
    // One that is turned away everywhere has an error.
    let _ = stream(&scene.caller(&["a1"]), &prompt).await;
}

/// An engine that leaves is still asked after its load; one that rests is not.
#[tokio::test]
async fn an_engine_that_asks_for_rest_gets_nothing_meanwhile() {
    let builder = Scene::builder(1).engines_per_zone(2);
    let scene = builder.start().await.unwrap();
    let engines = scene.engine_names();
    let fault = json!({"refuse": true, "retry_after": "60"});
    for engine in &engines {
        reaches(&scene, engine, ask_engine).await;
    }
    scene.fault(&engines[0], fault).await.unwrap();
    until_refused(&scene, &engines[0]).await;
    let before = arrivals(&scene, &engines[0]).await;
    for _ in 0..LATER {
        ask_engine(&scene).await;
    }
    // Some polls of its load.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(arrivals(&scene, &engines[0]).await, before);
}

/// Sends until an engine has turned a session away; what is under way then ends.
async fn until_refused(scene: &Scene, engine: &str) {
    let operator = scene.operator("a1");
    let refused = eventually("it turns a session away", async || {
        ask_engine(scene).await;
        let timeline = operator.timeline(None, HybridTime::default()).await;
        let records = timeline.unwrap().records;
        records.iter().any(|record| lost_at(record, engine))
    });
    refused.await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
}

fn lost_at(record: &TimelineRecord, name: &str) -> bool {
    let lost = &record.event;
    matches!(lost, TimelineEvent::AttemptLost { engine, .. } if engine == name)
}

#[tokio::test]
async fn where_all_engines_rest_callers_are_refused_with_the_time_that_is_left() {
    let scene = Scene::builder(1).engines_per_zone(1).start().await.unwrap();
    let engine = scene.engine_names()[0].clone();
    reaches(&scene, &engine, ask_engine).await;
    let fault = json!({"refuse": true, "retry_after": "40"});
    scene.fault(&engine, fault).await.unwrap();
    until_refused(&scene, &engine).await;
    let body = serde_json::to_vec(&support::completion(PROMPT, Vec::new())).unwrap();
    let question = TestRequest::post("/v1/completions", body);
    let question = question.header("content-type", "application/json");
    let reply = scene.ask("a1", &question).await.unwrap();
    assert_eq!(reply.status.as_u16(), 503);
    let told: u64 = header(&reply, "retry-after").parse().unwrap();
    assert!((20..=41).contains(&told), "{told} s");
}

/// How long requests are sent to a server that names a limit, seconds.
const LIMITED_FOR_S: u64 = 4;

/// Half as much again as a limit of one a second, and five.
const ALLOWED: u64 = 3 * LIMITED_FOR_S / 2 + 5;

async fn send_for_a_while(scene: &Scene, send: impl AsyncFn(&Scene)) {
    let until = std::time::Instant::now() + Duration::from_secs(LIMITED_FOR_S);
    while std::time::Instant::now() < until {
        send(scene).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Another runner takes what it can't.
#[tokio::test]
async fn a_runner_gets_no_more_than_it_says_that_it_takes() {
    let scene = Scene::builder(1).services(2).start().await.unwrap();
    let first = first_runner(&scene).await;
    scene.fault(first, json!({"say_limit": "1"})).await.unwrap();
    reaches(&scene, first, ask_stock).await;
    let before = arrivals(&scene, first).await;
    send_for_a_while(&scene, ask_stock).await;
    let after = arrivals(&scene, first).await - before;
    assert!(after <= ALLOWED, "{after} in {LIMITED_FOR_S} s");
    scene.fault(first, json!({})).await.unwrap();
    let before = arrivals(&scene, first).await;
    let used = eventually("it names none any more, and is used", async || {
        ask_stock(&scene).await;
        arrivals(&scene, first).await > before + 2 * ALLOWED
    });
    used.await.unwrap();
}

/// Sessions and questions after its load.
#[tokio::test]
async fn an_engine_gets_no_more_than_it_says_that_it_takes() {
    let builder = Scene::builder(1).engines_per_zone(2);
    let scene = builder.start().await.unwrap();
    let engine = scene.engine_names()[0].clone();
    scene
        .fault(&engine, json!({"say_limit": "1"}))
        .await
        .unwrap();
    reaches(&scene, &engine, ask_engine).await;
    // Until a session was answered with its words.
    send_for_a_while(&scene, ask_engine).await;
    let before = arrivals(&scene, &engine).await;
    send_for_a_while(&scene, ask_engine).await;
    let after = arrivals(&scene, &engine).await - before;
    assert!(after <= ALLOWED, "{after} in {LIMITED_FOR_S} s");
}

#[tokio::test]
async fn where_all_runners_are_limited_calls_are_refused_with_a_time() {
    let scene = Scene::builder(1).services(1).start().await.unwrap();
    scene
        .fault("orders-1", json!({"say_limit": "0"}))
        .await
        .unwrap();
    reaches(&scene, "orders-1", ask_stock).await;
    let mut refused = 0;
    for _ in 0..LATER {
        let reply = scene
            .ask("a1", &TestRequest::post(STOCK, "oak"))
            .await
            .unwrap();
        if reply.status.as_u16() == 503 {
            let told: u64 = header(&reply, "retry-after").parse().unwrap();
            assert!(told >= 1, "{told} s");
            refused += 1;
        }
    }
    assert!(refused >= LATER - 2, "{refused}");
}
