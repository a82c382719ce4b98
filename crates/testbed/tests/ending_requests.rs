//! A prompt that ends the engines that run it was run by one engine after the other, up to
//! twelve times for one request, and again when its caller came back. Callers of the
//! completion interface send no id, so nothing linked their tries either.
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

/// Ends that an instance needs to see before it is sure.
const ENOUGH: usize = 3;

const ENGINES: usize = 8;

const ENDING: &str = "a quote that ends its engine [tokens=60]";

/// Servers of a scene that take connections.
async fn living(scene: &Scene, names: &[String]) -> usize {
    let mut count = 0;
    for name in names {
        let address = scene.standin_address(name);
        let connected = tokio::net::TcpStream::connect(address).await;
        count += usize::from(connected.is_ok());
    }
    count
}

#[tokio::test]
async fn a_prompt_that_ends_its_engines_is_not_sent_on_and_on() {
    let builder = Scene::builder(1).engines_per_zone(ENGINES);
    let scene = builder.instances_per_zone(2).start().await.unwrap();
    let engines = scene.engine_names();
    for engine in &engines {
        let fault = json!({ "die_under_prompt": ENDING });
        scene.fault(engine, fault).await.unwrap();
    }
    for instance in ["a1", "a2", "a1", "a2"] {
        assert!(stream(&scene.caller(&[instance]), ENDING).await.is_err());
        // An exchange between the two instances.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    let left = living(&scene, &engines).await;
    assert!(left >= ENGINES - ENOUGH, "{left} of {ENGINES} are left");
    let prompt = "another quote [tokens=60]";
    let outcome = stream(&scene.caller(&["a2"]), prompt).await.unwrap();
    assert_whole(&outcome, prompt);
}

#[tokio::test]
async fn a_call_that_ends_its_runners_is_not_sent_on_and_on() {
    let scene = Scene::builder(1).services(ENGINES).start().await.unwrap();
    let runners: Vec<String> = (1..=ENGINES).map(|n| format!("orders-{n}")).collect();
    for runner in &runners {
        scene.fault(runner, json!({ "die": true })).await.unwrap();
    }
    let path = "/v1/services/delivery-slots/book";
    for _ in 0..ENGINES {
        let asked = TestRequest::post(path, "the call at fault");
        let ticket = scene.ask("a1", &asked).await.unwrap();
        let ticket = header(&ticket, "iristhread-ticket").to_owned();
        let call = asked.header("iristhread-ticket", &ticket);
        let reply = scene.ask("a1", &call).await.unwrap();
        assert_ne!(reply.status.as_u16(), 200, "{:?}", error_of(&reply));
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let left = living(&scene, &runners).await;
    assert!(left >= ENGINES - ENOUGH, "{left} of {ENGINES} are left");
}
