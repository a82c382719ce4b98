//! Tests of the programs: settings, planned stop, operators' interface, `explain`.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::process::Output;
use std::time::Duration;

use iristhread_api::ResourceKind;
use iristhread_cli::explain;
use iristhread_core::HybridTime;
use iristhread_testbed::Scene;
use iristhread_testbed::TestRequest;
use iristhread_testbed::eventually;
use support::assert_whole;
use support::stream;
use test_case::test_case;

const PROMPT: &str = "a quote to stop under [tokens=80]";

#[tokio::test]
async fn a_planned_stop_cuts_no_stream() {
    let mut scene = Scene::builder(1)
        .instances_per_zone(2)
        .start()
        .await
        .unwrap();
    let caller = scene.caller(&["a1"]);
    let running = tokio::spawn(async move { stream(&caller, PROMPT).await });
    support::wait_for_first_token(&scene, "a1").await;
    scene.process("a1").stop();
    // The process handles the signal after a delay; on a busy machine the request may arrive
    // first.
    let unready = eventually("it is not ready", async || {
        let request = TestRequest::post("/readyz", "").method("GET");
        let reply = scene.ask("a1", &request).await;
        reply.is_err() || reply.is_ok_and(|reply| reply.status.as_u16() == 503)
    });
    unready.await.unwrap();
    assert!(
        !running.is_finished(),
        "the instance became unready only after the stream had ended"
    );
    let outcome = running.await.unwrap().unwrap();
    assert_whole(&outcome, PROMPT);
    assert_eq!(outcome.connections, 1);
    assert_eq!(scene.process("a1").ended().await, Some(0));
}

#[tokio::test]
async fn every_kind_of_resource_is_listed() {
    let scene = Scene::builder(1).start().await.unwrap();
    for (_, kind) in ResourceKind::ALL {
        let list = scene.operator("a1").resources(kind, None).await.unwrap();
        assert!(!list.items.is_empty(), "{kind}");
        assert_eq!(list.config_version, 1);
    }
}

#[tokio::test]
async fn a_watch_shows_a_change_of_the_configuration() {
    let mut scene = Scene::builder(1).start().await.unwrap();
    let operator = scene.operator("a1");
    let list = operator.resources("workspaces", None).await.unwrap();
    let from = Some(list.resource_version);
    let (lines, mut seen) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        let on_line = |line: &str| lines.send(line.to_owned()).unwrap();
        operator
            .watch("workspaces", Some("quotes"), from, on_line)
            .await
    });
    scene.document.workspaces[0].weight = 7;
    scene.publish_document().await.unwrap();
    let line = seen.recv().await.unwrap();
    assert!(line.contains("\"weight\":7"), "{line}");
    assert!(!line.contains("key_hashes"), "{line}");
}

#[tokio::test]
async fn a_request_is_explained_by_any_instance() {
    let scene = Scene::builder(2).start().await.unwrap();
    let outcome = stream(&scene.caller(&["a1"]), PROMPT).await.unwrap();
    let operator = scene.operator("b1");
    let timeline = operator.timeline(Some(&outcome.request), HybridTime::default());
    let trace = explain(&timeline.await.unwrap().records);
    for part in [
        "requests an engine",
        "candidates",
        "engine-b1: score",
        "first token",
        "outcome ran",
    ] {
        assert!(trace.contains(part), "{part} is not in: {trace}");
    }
}

fn run(program: &str, arguments: &[&str]) -> Output {
    let own = std::env::current_exe().unwrap();
    let folder = own.ancestors().nth(2).unwrap();
    std::process::Command::new(folder.join(program))
        .args(arguments)
        .output()
        .unwrap()
}

#[test]
fn every_fault_of_the_settings_is_listed_at_once() {
    let file = tempfile::NamedTempFile::new().unwrap();
    let text = "instance = \"a~1\"\ncaller_address = \"nowhere\"\nmax_queued = 0\nplanet = 3\n[limits]\nmax_body = 1\n";
    std::fs::write(file.path(), text).unwrap();
    let name = file.path().display().to_string();
    let output = run("iristhreadd", &["--settings", &name, "--check"]);
    assert_eq!(output.status.code(), Some(2));
    let faults = String::from_utf8(output.stderr).unwrap();
    for key in [
        "instance is \"a~1\"",
        "availability_zone is nothing",
        "caller_address is \"nowhere\"",
        "peer_keys",
        "max_queued is 0",
        "planet is 3",
        "limits.max_body is 1",
    ] {
        assert!(
            faults.contains(&format!("{name}: {key}")),
            "{key} is not in: {faults}"
        );
    }
}

#[test_case("{}", 0, "no faults"; "empty")]
#[test_case("{\"planets\": []}", 2, ""; "unknown key")]
#[test_case("{\"adapters\": [{\"name\": \"x\", \"model\": \"none\"}]}", 2, "adapters[x].model = none"; "adapter without its model")]
fn a_document_is_checked_before_it_is_published(text: &str, code: i32, shown: &str) {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    let output = run("iristhread", &["check", &file.path().display().to_string()]);
    assert_eq!(output.status.code(), Some(code));
    let printed = String::from_utf8(output.stdout).unwrap();
    assert!(printed.contains(shown), "{printed}");
}

#[tokio::test]
async fn wait_returns_when_a_version_is_in_force_everywhere() {
    let scene = Scene::builder(2).start().await.unwrap();
    let version = scene.publish_document().await.unwrap();
    let timeout = Duration::from_secs(20);
    scene
        .operator("b1")
        .wait(version, timeout, |_, _| {})
        .await
        .unwrap();
    let too_new = scene
        .operator("a1")
        .wait(version + 1, Duration::ZERO, |_, _| {})
        .await;
    assert_eq!(too_new.unwrap_err().exit_code(), 5);
}

#[test_case("iristhread"; "tool")]
#[test_case("iristhreadd"; "daemon")]
#[test_case("iristhread-standin"; "stand-in")]
fn help_is_there(program: &str) {
    let output = run(program, &["--help"]);
    assert!(output.status.success());
    assert!(!output.stdout.is_empty());
}
