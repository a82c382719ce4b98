//! Engines and runners report in their answers that they are draining, or refuse a request and
//! demand a backoff of some seconds. Guards against a server notice that applies only to the
//! request that it answered: on the completion interface, too, an engine's state came from its
//! load report alone, and a runner's from the configuration.
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

/// Number of requests sent after the server notice was received.
const REQUESTS_AFTER_NOTICE: usize = 12;

async fn arrivals(scene: &Scene, name: &str) -> u64 {
    scene.arrivals(name).await.unwrap()
}

async fn ask_stock(scene: &Scene) {
    scene
        .ask("a1", &TestRequest::post(STOCK, "oak"))
        .await
        .unwrap();
}

/// Sends requests until one more has arrived at the server.
async fn send_until_reached(scene: &Scene, name: &str, send: impl AsyncFn(&Scene)) {
    let before = arrivals(scene, name).await;
    let reached = eventually("the server is reached", async || {
        send(scene).await;
        arrivals(scene, name).await > before
    });
    reached.await.unwrap();
}

/// The fault sets the notice of the runner and whether it refuses the request.
#[test_case(json!({"say_leaving": true}); "reports draining")]
#[test_case(json!({"refuse": true, "retry_after": "60"}); "demands a backoff")]
#[tokio::test]
async fn a_runner_gets_no_calls_after_its_notice(fault: Value) {
    let scene = Scene::builder(1).services(2).start().await.unwrap();
    let first = first_runner(&scene).await;
    scene.fault(first, fault).await.unwrap();
    send_until_reached(&scene, first, ask_stock).await;
    let before = arrivals(&scene, first).await;
    for _ in 0..REQUESTS_AFTER_NOTICE {
        ask_stock(&scene).await;
    }
    assert_eq!(arrivals(&scene, first).await, before);
}

/// Returns the runner that the instance selects while no server notice is in effect.
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

/// Sends a different prompt each time, since an engine that has run a prompt is preferred for it.
async fn ask_engine(scene: &Scene) {
    static SENT: AtomicU32 = AtomicU32::new(0);
    let number = SENT.fetch_add(1, Ordering::Relaxed);
    let prompt = format!("quote {number} [tokens=5]");
    // The result is an error if all engines refuse the request.
    let _ = stream(&scene.caller(&["a1"]), &prompt).await;
}

/// The load of a draining engine is still queried; that of an engine in backoff is not.
#[tokio::test]
async fn an_engine_gets_no_requests_during_its_backoff() {
    let builder = Scene::builder(1).engines_per_zone(2);
    let scene = builder.start().await.unwrap();
    let engines = scene.engine_names();
    let fault = json!({"refuse": true, "retry_after": "60"});
    for engine in &engines {
        send_until_reached(&scene, engine, ask_engine).await;
    }
    scene.fault(&engines[0], fault).await.unwrap();
    send_until_refused(&scene, &engines[0]).await;
    let before = arrivals(&scene, &engines[0]).await;
    for _ in 0..REQUESTS_AFTER_NOTICE {
        ask_engine(&scene).await;
    }
    // Long enough for several polls of the engine's load.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(arrivals(&scene, &engines[0]).await, before);
}

/// Sends requests until an engine has refused a session, then waits for requests in flight.
async fn send_until_refused(scene: &Scene, engine: &str) {
    let operator = scene.operator("a1");
    let refused = eventually("the engine refuses a session", async || {
        ask_engine(scene).await;
        let timeline = operator.timeline(None, HybridTime::default()).await;
        let records = timeline.unwrap().records;
        records.iter().any(|record| is_lost_at(record, engine))
    });
    refused.await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
}

fn is_lost_at(record: &TimelineRecord, name: &str) -> bool {
    let lost = &record.event;
    matches!(lost, TimelineEvent::AttemptLost { engine, .. } if engine == name)
}

#[tokio::test]
async fn while_all_engines_back_off_callers_get_the_remaining_time() {
    let scene = Scene::builder(1).engines_per_zone(1).start().await.unwrap();
    let engine = scene.engine_names()[0].clone();
    send_until_reached(&scene, &engine, ask_engine).await;
    let fault = json!({"refuse": true, "retry_after": "40"});
    scene.fault(&engine, fault).await.unwrap();
    send_until_refused(&scene, &engine).await;
    let body = serde_json::to_vec(&support::completion(PROMPT, Vec::new())).unwrap();
    let request = TestRequest::post("/v1/completions", body);
    let request = request.header("content-type", "application/json");
    let reply = scene.ask("a1", &request).await.unwrap();
    assert_eq!(reply.status.as_u16(), 503);
    let retry_after_s: u64 = header(&reply, "retry-after").parse().unwrap();
    assert!((20..=41).contains(&retry_after_s), "{retry_after_s} s");
}

/// Time for which requests are sent to a server that declares a limit, in seconds.
const SEND_FOR_S: u64 = 4;

/// Requests allowed in that time: 1.5 times a limit of one per second, plus five.
const MAX_ARRIVALS: u64 = 3 * SEND_FOR_S / 2 + 5;

async fn send_for_a_while(scene: &Scene, send: impl AsyncFn(&Scene)) {
    let until = std::time::Instant::now() + Duration::from_secs(SEND_FOR_S);
    while std::time::Instant::now() < until {
        send(scene).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The other runner gets the calls above the limit.
#[tokio::test]
async fn a_runner_gets_no_more_than_its_declared_limit() {
    let scene = Scene::builder(1).services(2).start().await.unwrap();
    let first = first_runner(&scene).await;
    scene.fault(first, json!({"say_limit": "1"})).await.unwrap();
    send_until_reached(&scene, first, ask_stock).await;
    let before = arrivals(&scene, first).await;
    send_for_a_while(&scene, ask_stock).await;
    let after = arrivals(&scene, first).await - before;
    assert!(after <= MAX_ARRIVALS, "{after} in {SEND_FOR_S} s");
    scene.fault(first, json!({})).await.unwrap();
    let before = arrivals(&scene, first).await;
    let used = eventually(
        "the runner declares no limit any more and is used",
        async || {
            ask_stock(&scene).await;
            arrivals(&scene, first).await > before + 2 * MAX_ARRIVALS
        },
    );
    used.await.unwrap();
}

/// The limit covers sessions and load queries together.
#[tokio::test]
async fn an_engine_gets_no_more_than_its_declared_limit() {
    let builder = Scene::builder(1).engines_per_zone(2);
    let scene = builder.start().await.unwrap();
    let engine = scene.engine_names()[0].clone();
    scene
        .fault(&engine, json!({"say_limit": "1"}))
        .await
        .unwrap();
    send_until_reached(&scene, &engine, ask_engine).await;
    // Long enough that a session has been answered with the notice.
    send_for_a_while(&scene, ask_engine).await;
    let before = arrivals(&scene, &engine).await;
    send_for_a_while(&scene, ask_engine).await;
    let after = arrivals(&scene, &engine).await - before;
    assert!(after <= MAX_ARRIVALS, "{after} in {SEND_FOR_S} s");
}

#[tokio::test]
async fn while_all_runners_are_limited_calls_are_refused_with_retry_after() {
    let scene = Scene::builder(1).services(1).start().await.unwrap();
    scene
        .fault("orders-1", json!({"say_limit": "0"}))
        .await
        .unwrap();
    send_until_reached(&scene, "orders-1", ask_stock).await;
    let mut refused = 0;
    for _ in 0..REQUESTS_AFTER_NOTICE {
        let reply = scene
            .ask("a1", &TestRequest::post(STOCK, "oak"))
            .await
            .unwrap();
        if reply.status.as_u16() == 503 {
            let retry_after_s: u64 = header(&reply, "retry-after").parse().unwrap();
            assert!(retry_after_s >= 1, "{retry_after_s} s");
            refused += 1;
        }
    }
    assert!(refused >= REQUESTS_AFTER_NOTICE - 2, "{refused}");
}
