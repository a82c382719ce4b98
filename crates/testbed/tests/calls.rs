//! Calls that are not repeatable run at most once, and a call reported as `not_run` did not
//! run. The service stand-in does not check idempotency keys, so it runs every call that it
//! receives: only the instances prevent a second execution.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use iristhread_api::Reply;
use iristhread_testbed::Scene;
use iristhread_testbed::TestRequest;
use iristhread_testbed::eventually;
use serde_json::Value;
use serde_json::json;
use support::error_of;
use support::header;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const PATH: &str = "/v1/services/delivery-slots/book";
const BODY: &str = "thursday 14:00";

async fn ticket(scene: &Scene, instance: &str) -> String {
    let reply = scene
        .ask(instance, &TestRequest::post(PATH, BODY))
        .await
        .unwrap();
    assert_eq!(reply.status.as_u16(), 428);
    assert_eq!(header(&reply, "iristhread-outcome"), "not_run");
    header(&reply, "iristhread-ticket").to_owned()
}

fn booking(ticket: &str) -> TestRequest {
    TestRequest::post(PATH, BODY)
        .header("iristhread-ticket", ticket)
        .header("iristhread-deadline-ms", "1500")
}

async fn executed(scene: &Scene) -> u64 {
    let executions = scene.executions().await.unwrap();
    executions.by_body.get(BODY).copied().unwrap_or(0)
}

fn outcome(reply: &Reply) -> &str {
    header(reply, "iristhread-outcome")
}

#[test_case(json!({}), "ran", 1; "no fault")]
#[test_case(json!({ "drop_before": 9 }), "unknown", 0; "connection cut before it runs")]
#[test_case(json!({ "drop_after": 9 }), "unknown", 1; "answer lost")]
#[test_case(json!({ "delay_ms": 60_000 }), "unknown", 1; "no answer before the deadline")]
#[test_case(json!({ "refuse": true }), "not_run", 0; "refuses and says so")]
#[tokio::test]
async fn under_a_fault_of_the_service(faults: Value, expected: &str, executions: u64) {
    let scene = Scene::builder(1).start().await.unwrap();
    let ticket = ticket(&scene, "a1").await;
    scene.fault("orders-1", faults).await.unwrap();
    let first = scene.ask("a1", &booking(&ticket)).await.unwrap();
    assert_eq!(outcome(&first), expected);
    scene.fault("orders-1", json!({})).await.unwrap();
    let again = scene.ask("a1", &booking(&ticket)).await.unwrap();
    assert_eq!(outcome(&again), expected);
    assert_eq!(again.body, first.body);
    assert_eq!(executed(&scene).await, executions);
}

#[tokio::test]
async fn a_service_that_dies_while_executing_leaves_it_unknown() {
    let scene = Scene::builder(1).services(2).start().await.unwrap();
    let ticket = ticket(&scene, "a1").await;
    for runner in ["orders-1", "orders-2"] {
        scene.fault(runner, json!({ "die": true })).await.unwrap();
    }
    let reply = scene.ask("a1", &booking(&ticket)).await.unwrap();
    assert_eq!(outcome(&reply), "unknown");
    // A process that exits still accepts connections for a short time after its last output.
    eventually("a runner is dead", async || {
        reachable_runners(&scene).await < 2
    })
    .await
    .unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(
        reachable_runners(&scene).await,
        1,
        "only the first runner was sent the call"
    );
}

/// Takes the address of a runner and answers one call without a length, up to `body`. With `ends`
/// nothing listens there afterwards.
async fn answer_once_without_length(scene: &mut Scene, body: &'static str, ends: bool) {
    scene.process("orders-1").kill().await;
    let address = scene.standin_address("orders-1");
    let listener = TcpListener::bind(address).await.unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 1 << 14];
        let mut length = 0;
        while !request[..length].ends_with(BODY.as_bytes()) {
            length += stream.read(&mut request[length..]).await.unwrap();
        }
        let answer = format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}");
        stream.write_all(answer.as_bytes()).await.unwrap();
        let kept = (!ends).then_some(listener);
        drop(stream);
        if kept.is_some() {
            std::future::pending::<()>().await;
        }
    });
}

/// Guards against an answer without a length that looks whole though its runner ended in its middle.
#[test_case("half an ans", true, "unknown"; "the runner ends")]
#[test_case("a whole answer", false, "ran"; "the runner lives on")]
#[tokio::test]
async fn an_answer_that_ends_with_its_connection(body: &'static str, ends: bool, expected: &str) {
    let mut scene = Scene::builder(1).start().await.unwrap();
    let ticket = ticket(&scene, "a1").await;
    answer_once_without_length(&mut scene, body, ends).await;
    let reply = scene.ask("a1", &booking(&ticket)).await.unwrap();
    assert_eq!(outcome(&reply), expected);
    assert_eq!(reply.body == body.as_bytes(), !ends);
}

/// Returns the number of runners of the service that accept a connection.
async fn reachable_runners(scene: &Scene) -> usize {
    let mut reachable = 0;
    for name in ["orders-1", "orders-2"] {
        let address = scene.standin_address(name);
        reachable += usize::from(tokio::net::TcpStream::connect(address).await.is_ok());
    }
    reachable
}

#[tokio::test]
async fn a_dead_runner_is_skipped_because_nothing_was_written() {
    let mut scene = Scene::builder(1).services(2).start().await.unwrap();
    scene.process("orders-1").kill().await;
    for _ in 0..4 {
        let ticket = ticket(&scene, "a1").await;
        let reply = scene.ask("a1", &booking(&ticket)).await.unwrap();
        assert_eq!(outcome(&reply), "ran");
    }
}

#[tokio::test]
async fn with_all_runners_dead_it_is_not_run() {
    let mut scene = Scene::builder(1).start().await.unwrap();
    let ticket = ticket(&scene, "a1").await;
    scene.process("orders-1").kill().await;
    let reply = scene.ask("a1", &booking(&ticket)).await.unwrap();
    assert_eq!(outcome(&reply), "not_run");
    assert_eq!(error_of(&reply).error.code, "no_backend");
}

#[test_case("a2"; "another instance of the zone")]
#[test_case("b1"; "an instance of another zone")]
#[tokio::test]
async fn a_retry_through_another_instance_gets_the_same_answer(other: &str) {
    let scene = Scene::builder(2)
        .instances_per_zone(2)
        .start()
        .await
        .unwrap();
    let ticket = ticket(&scene, "a1").await;
    let before = scene.ask(other, &booking(&ticket)).await.unwrap();
    let after = scene.ask("a1", &booking(&ticket)).await.unwrap();
    assert_eq!((outcome(&before), outcome(&after)), ("ran", "ran"));
    assert_eq!(before.body, after.body);
    assert_eq!(executed(&scene).await, 1);
}

#[tokio::test]
async fn the_balancer_delivers_a_call_twice_at_once() {
    let scene = Scene::builder(2).start().await.unwrap();
    scene
        .fault("orders-1", json!({ "delay_ms": 200 }))
        .await
        .unwrap();
    let ticket = ticket(&scene, "a1").await;
    let call = booking(&ticket);
    let (one, other) = tokio::join!(scene.ask("a1", &call), scene.ask("b1", &call));
    let (one, other) = (one.unwrap(), other.unwrap());
    assert_eq!((outcome(&one), outcome(&other)), ("ran", "ran"));
    assert_eq!(one.body, other.body);
    assert_eq!(executed(&scene).await, 1);
}

#[tokio::test]
async fn the_instance_of_a_ticket_dies_before_the_call() {
    let mut scene = Scene::builder(2).start().await.unwrap();
    let ticket = ticket(&scene, "a1").await;
    scene.process("a1").kill().await;
    let reply = scene.ask("b1", &booking(&ticket)).await.unwrap();
    assert_eq!(outcome(&reply), "unknown");
    assert_eq!(executed(&scene).await, 0);
}

#[tokio::test]
async fn an_instance_restarted_with_empty_memory_honours_no_old_ticket() {
    let mut scene = Scene::builder(2).start().await.unwrap();
    let ticket = ticket(&scene, "a1").await;
    let ran = scene.ask("a1", &booking(&ticket)).await.unwrap();
    assert_eq!(outcome(&ran), "ran");
    scene.restart("a1").await.unwrap();
    scene.list_instances(&[]).await.unwrap();
    scene.in_force(1, &scene.instance_names()).await.unwrap();
    let again = scene.ask("a1", &booking(&ticket)).await.unwrap();
    assert_eq!(outcome(&again), "unknown");
    assert_eq!(executed(&scene).await, 1);
}

/// The instance is frozen while the runner executes the call, and resumes after the caller's
/// deadline. The answer arrives in its socket meanwhile and is read when the instance resumes.
#[tokio::test]
async fn an_answer_that_came_while_the_instance_was_frozen_is_not_lost() {
    let mut scene = Scene::builder(2).start().await.unwrap();
    let ticket = ticket(&scene, "a1").await;
    let slow = json!({ "delay_ms": 300 });
    scene.fault("orders-1", slow).await.unwrap();
    let request = booking(&ticket);
    let first = scene.ask("b1", &request);
    let freeze = async {
        while executed(&scene).await == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        scene.instance("a1").freeze();
    };
    let (reply, ()) = tokio::join!(first, freeze);
    assert_eq!(outcome(&reply.unwrap()), "unknown");
    scene.process("a1").thaw();
    let again = scene.ask("b1", &booking(&ticket)).await.unwrap();
    assert_eq!(outcome(&again), "ran");
    assert_eq!(executed(&scene).await, 1);
}

#[tokio::test]
async fn a_call_at_an_instance_frozen_before_sending_runs_once() {
    let mut scene = Scene::builder(2).start().await.unwrap();
    let ticket = ticket(&scene, "a1").await;
    scene.process("a1").freeze();
    let reply = scene.ask("b1", &booking(&ticket)).await.unwrap();
    assert_eq!(outcome(&reply), "unknown");
    scene.process("a1").thaw();
    let again = scene.ask("b1", &booking(&ticket)).await.unwrap();
    assert_eq!(outcome(&again), "ran");
    assert_eq!(executed(&scene).await, 1);
}

#[tokio::test]
async fn a_ticket_that_expired_unused_is_not_run() {
    let settings = "ticket_lifetime_ms = 1000";
    let scene = Scene::builder(1).settings(settings).start().await.unwrap();
    let ticket = ticket(&scene, "a1").await;
    // Longer than the ticket's lifetime on the clock of the instance; a slower machine only
    // makes the delay longer.
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let reply = scene.ask("a1", &booking(&ticket)).await.unwrap();
    assert_eq!(outcome(&reply), "not_run");
    assert_eq!(error_of(&reply).error.code, "ticket_expired");
    assert_eq!(executed(&scene).await, 0);
}

#[tokio::test]
async fn a_caller_that_disconnects_does_not_cancel_its_call() {
    let scene = Scene::builder(1).start().await.unwrap();
    scene
        .fault("orders-1", json!({ "delay_ms": 300 }))
        .await
        .unwrap();
    let ticket = ticket(&scene, "a1").await;
    let call = booking(&ticket);
    let left = tokio::time::timeout(Duration::from_millis(100), scene.ask("a1", &call)).await;
    assert!(left.is_err());
    let reply = scene.ask("a1", &call).await.unwrap();
    assert_eq!(outcome(&reply), "ran");
    assert_eq!(executed(&scene).await, 1);
}

#[test_case(json!({ "drop_before": 1 }), "ran"; "tried again after a cut")]
#[test_case(json!({ "drop_after": 1 }), "ran"; "tried again after a lost answer")]
#[tokio::test]
async fn a_repeatable_call_is_retried(faults: Value, expected: &str) {
    let scene = Scene::builder(1).services(2).start().await.unwrap();
    for runner in ["orders-1", "orders-2"] {
        scene.fault(runner, faults.clone()).await.unwrap();
    }
    scene.fault("orders-2", json!({})).await.unwrap();
    for _ in 0..3 {
        let request = TestRequest::post("/v1/services/stock/oak", "");
        let reply = scene.ask("a1", &request).await.unwrap();
        assert_eq!(outcome(&reply), expected);
    }
}
