//! A planned stop of an instance interrupts no stream and no call.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use futures::future::join_all;
use iristhread_testbed::Scene;
use iristhread_testbed::TestRequest;
use iristhread_testbed::eventually;
use serde_json::json;
use support::assert_whole;
use support::header;
use support::stream;
use test_case::test_case;

const PATH: &str = "/v1/services/delivery-slots/book";
const BODY: &str = "friday 10:00";

async fn ticket(scene: &Scene, instance: &str) -> String {
    let reply = scene
        .ask(instance, &TestRequest::post(PATH, BODY))
        .await
        .unwrap();
    header(&reply, "iristhread-ticket").to_owned()
}

async fn wait_until_executed(scene: &Scene) {
    eventually("the call is being executed", async || {
        let executions = scene.executions().await;
        executions.is_ok_and(|e| e.by_body.contains_key(BODY))
    })
    .await
    .unwrap();
}

/// The instance that issued the ticket stops while the call runs, whichever instance received
/// the call.
#[test_case("a1"; "sent to the instance itself")]
#[test_case("b1"; "forwarded by another instance")]
#[tokio::test]
async fn a_call_under_way_is_answered(sent_to: &str) {
    let mut scene = Scene::builder(2).start().await.unwrap();
    scene
        .fault("orders-1", json!({ "delay_ms": 1_000 }))
        .await
        .unwrap();
    let ticket = ticket(&scene, "a1").await;
    let call = TestRequest::post(PATH, BODY).header("iristhread-ticket", &ticket);
    let answer = async { scene.ask(sent_to, &call).await.unwrap() };
    let stopped = async {
        wait_until_executed(&scene).await;
        scene.signal_stop("a1");
    };
    let (reply, ()) = tokio::join!(answer, stopped);
    assert_eq!(header(&reply, "iristhread-outcome"), "ran");
    assert_eq!(scene.process("a1").ended().await, Some(0));
}

#[tokio::test]
async fn all_instances_one_after_the_other_under_load() {
    let mut scene = Scene::builder(2).start().await.unwrap();
    for name in ["a1", "b1"] {
        let prompts: Vec<String> = (0..6)
            .map(|n| format!("stream {n} at {name} [tokens=80]"))
            .collect();
        let caller = scene.caller(&[name]);
        let streams = join_all(prompts.iter().map(|prompt| stream(&caller, prompt)));
        let stopped = async {
            support::wait_for_first_token(&scene, name).await;
            scene.signal_stop(name);
        };
        let (outcomes, ()) = tokio::join!(streams, stopped);
        for (outcome, prompt) in outcomes.into_iter().zip(&prompts) {
            let outcome = outcome.unwrap();
            assert_whole(&outcome, prompt);
            assert_eq!(outcome.connections, 1);
        }
        assert_eq!(scene.process(name).ended().await, Some(0));
        scene.restart(name).await.unwrap();
        scene.list_instances(&[]).await.unwrap();
        scene.in_force(1, &scene.instance_names()).await.unwrap();
    }
}
