//! Guards against a request that crashes each server that runs it. A prompt of this kind was
//! run on one engine after the other, up to twelve times for one request, and again when its
//! caller retried. Callers of the completion interface send no id, so the instance could not
//! link their retries either.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use iristhread_testbed::Scene;
use iristhread_testbed::TestRequest;
use serde_json::json;
use support::assert_whole;
use support::error_of;
use support::header;
use support::stream;

/// Number of crashes after which an instance treats the request as their cause.
const MAX_CRASHES: usize = 3;

const ENGINES: usize = 8;

const CRASHING_PROMPT: &str = "a quote that ends its engine [tokens=60]";

/// Returns the number of these servers that accept connections.
async fn count_reachable(scene: &Scene, names: &[String]) -> usize {
    let mut count = 0;
    for name in names {
        let address = scene.standin_address(name);
        let connected = tokio::net::TcpStream::connect(address).await;
        count += usize::from(connected.is_ok());
    }
    count
}

#[tokio::test]
async fn a_prompt_that_crashes_engines_is_not_sent_to_all_of_them() {
    let builder = Scene::builder(1).engines_per_zone(ENGINES);
    let scene = builder.instances_per_zone(2).start().await.unwrap();
    let engines = scene.engine_names();
    for engine in &engines {
        let fault = json!({ "die_under_prompt": CRASHING_PROMPT });
        scene.fault(engine, fault).await.unwrap();
    }
    for instance in ["a1", "a2", "a1", "a2"] {
        assert!(
            stream(&scene.caller(&[instance]), CRASHING_PROMPT)
                .await
                .is_err()
        );
        // Long enough for the two instances to exchange their state.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    let left = count_reachable(&scene, &engines).await;
    assert!(
        left >= ENGINES - MAX_CRASHES,
        "{left} of {ENGINES} are left"
    );
    let prompt = "another quote [tokens=60]";
    let outcome = stream(&scene.caller(&["a2"]), prompt).await.unwrap();
    assert_whole(&outcome, prompt);
}

#[tokio::test]
async fn a_call_that_crashes_runners_is_not_sent_to_all_of_them() {
    let scene = Scene::builder(1).services(ENGINES).start().await.unwrap();
    let runners: Vec<String> = (1..=ENGINES).map(|n| format!("orders-{n}")).collect();
    for runner in &runners {
        scene.fault(runner, json!({ "die": true })).await.unwrap();
    }
    let path = "/v1/services/delivery-slots/book";
    for _ in 0..ENGINES {
        let request = TestRequest::post(path, "the call at fault");
        let ticket = scene.ask("a1", &request).await.unwrap();
        let ticket = header(&ticket, "iristhread-ticket").to_owned();
        let call = request.header("iristhread-ticket", &ticket);
        let reply = scene.ask("a1", &call).await.unwrap();
        assert_ne!(reply.status.as_u16(), 200, "{:?}", error_of(&reply));
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let left = count_reachable(&scene, &runners).await;
    assert!(
        left >= ENGINES - MAX_CRASHES,
        "{left} of {ENGINES} are left"
    );
}

/// Guards against a call that ends runner after runner because each of its callers leaves before.
#[tokio::test]
async fn a_call_whose_callers_leave_ends_no_runner_after_the_third() {
    let scene = Scene::builder(1).services(ENGINES).start().await.unwrap();
    let runners: Vec<String> = (1..=ENGINES).map(|n| format!("orders-{n}")).collect();
    for runner in &runners {
        let fault = json!({ "die": true, "delay_ms": 150 });
        scene.fault(runner, fault).await.unwrap();
    }
    let request = TestRequest::post("/v1/services/stock/check", "the call at fault");
    for _ in 0..ENGINES {
        let patience = Duration::from_millis(75);
        let left = tokio::time::timeout(patience, scene.ask("a1", &request)).await;
        assert!(left.is_err() || left.unwrap().unwrap().status != 200);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    let left = count_reachable(&scene, &runners).await;
    assert!(
        left >= ENGINES - MAX_CRASHES,
        "{left} of {ENGINES} are left"
    );
}
