//! The resources of a caller that disconnects early are released.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use iristhread_testbed::Scene;
use iristhread_testbed::TestRequest;
use iristhread_testbed::eventually;
use serde_json::json;

const DISCONNECT_AFTER: Duration = Duration::from_millis(200);

async fn open_requests(scene: &Scene) -> u64 {
    let list = scene
        .operator("a1")
        .resources("workspaces", Some("quotes"))
        .await
        .unwrap();
    list.items[0].observed["open_requests"].as_u64().unwrap()
}

async fn disconnect_early(scene: &Scene, request: &TestRequest) {
    let left = tokio::time::timeout(DISCONNECT_AFTER, scene.ask("a1", request)).await;
    assert!(left.is_err());
}

fn completion(prompt: &str) -> TestRequest {
    let body =
        format!("{{\"model\": \"quote-narrator\", \"prompt\": \"{prompt}\", \"stream\": true}}");
    TestRequest::post("/v1/completions", body)
}

#[tokio::test]
async fn during_a_call() {
    let scene = Scene::builder(1).start().await.unwrap();
    scene
        .fault("orders-1", json!({ "delay_ms": 2_000 }))
        .await
        .unwrap();
    disconnect_early(&scene, &TestRequest::post("/v1/services/stock/oak", "")).await;
    let nothing_open = async || open_requests(&scene).await == 0;
    eventually("no request is open", nothing_open)
        .await
        .unwrap();
}

/// The memory of the only engine is full, so the second request waits in the instance's queue.
#[tokio::test]
async fn while_queued() {
    let builder = Scene::builder(1).engine_flags(&["--memory-tokens", "120"]);
    let scene = builder.start().await.unwrap();
    let long = completion("long [tokens=400]");
    let running = async { scene.ask("a1", &long).await.unwrap() };
    let leaving = async {
        eventually("one is open", async || open_requests(&scene).await == 1)
            .await
            .unwrap();
        disconnect_early(&scene, &completion("waits [tokens=400]")).await;
        let one_open = async || open_requests(&scene).await == 1;
        eventually("one is open again", one_open).await.unwrap();
    };
    tokio::join!(running, leaving);
    let nothing_open = async || open_requests(&scene).await == 0;
    eventually("no request is open", nothing_open)
        .await
        .unwrap();
}
