//! An accepted configuration is in force everywhere within seconds and never
//! reverts.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use iristhread_testbed::LinkState;
use iristhread_testbed::Scene;
use iristhread_testbed::TestRequest;
use iristhread_testbed::eventually;
use serde_json::json;
use support::assert_whole;
use support::stream;

const PROMPT: &str = "a quote in an outage [tokens=30]";

async fn version_at(scene: &Scene, instance: &str) -> u64 {
    let all = scene.versions().await;
    all.get(instance).map_or(0, |status| status.config_version)
}

async fn is_ready(scene: &Scene, instance: &str) -> bool {
    let request = TestRequest::post("/readyz", "").method("GET");
    let reply = scene.ask(instance, &request).await;
    reply.is_ok_and(|reply| reply.status.as_u16() == 200)
}

/// Covers both zones, instances that read from the platform and peers that don't.
#[tokio::test]
async fn a_change_reaches_every_instance() {
    let scene = Scene::builder(2)
        .instances_per_zone(4)
        .engines_per_zone(1)
        .start()
        .await
        .unwrap();
    let version = scene.publish_document().await.unwrap();
    scene
        .in_force(version, &scene.instance_names())
        .await
        .unwrap();
}

#[tokio::test]
async fn a_stale_replica_reverts_no_instance() {
    let mut scene = Scene::builder(2).start().await.unwrap();
    let version = scene.publish_document().await.unwrap();
    scene
        .in_force(version, &scene.instance_names())
        .await
        .unwrap();
    scene
        .platform_fault(json!({ "stale_version": 1 }))
        .await
        .unwrap();
    scene.restart("a1").await.unwrap();
    scene.list_instances(&[]).await.unwrap();
    scene
        .in_force(version, &scene.instance_names())
        .await
        .unwrap();
    let newer = scene.publish_document().await.unwrap();
    assert_eq!(version_at(&scene, "b1").await, version);
    scene.platform_fault(json!({})).await.unwrap();
    scene
        .in_force(newer, &scene.instance_names())
        .await
        .unwrap();
}

#[tokio::test]
async fn a_faulty_document_is_refused_and_the_last_good_one_stays() {
    let scene = Scene::builder(1).start().await.unwrap();
    let bad = json!({ "adapters": [{ "name": "x", "model": "none" }] });
    let unreadable = json!({ "planets": [] });
    for document in [bad, unreadable] {
        let refused = scene.publish(&document).await.unwrap();
        eventually("the document shows as refused", async || {
            let all = scene.versions().await;
            let line = all["a1"].refused.clone().unwrap_or_default();
            line.starts_with(&format!("version {refused}"))
        })
        .await
        .unwrap();
        assert_eq!(version_at(&scene, "a1").await, 1);
    }
    let good = scene.publish_document().await.unwrap();
    scene.in_force(good, &scene.instance_names()).await.unwrap();
    assert_whole(
        &stream(&scene.caller(&["a1"]), PROMPT).await.unwrap(),
        PROMPT,
    );
}

/// The seed peer is its only source of the configuration.
#[tokio::test]
async fn an_instance_that_restarts_in_an_outage_asks_its_peers() {
    let mut scene = Scene::builder(1)
        .instances_per_zone(2)
        .start()
        .await
        .unwrap();
    scene
        .platform_fault(json!({ "outage": true }))
        .await
        .unwrap();
    let seed = format!("a1@{}", scene.addresses("a1").peers);
    scene
        .change_settings("a2", &format!("seed_peers = [\"{seed}\"]"))
        .unwrap();
    scene.restart("a2").await.unwrap();
    scene.in_force(1, &["a2".to_owned()]).await.unwrap();
    assert_whole(
        &stream(&scene.caller(&["a2"]), PROMPT).await.unwrap(),
        PROMPT,
    );
}

#[tokio::test]
async fn an_instance_that_finds_neither_platform_nor_peers_is_not_ready() {
    let mut scene = Scene::builder(1).start().await.unwrap();
    scene
        .platform_fault(json!({ "outage": true }))
        .await
        .unwrap();
    scene.restart("a1").await.unwrap();
    assert!(!is_ready(&scene, "a1").await);
    let refused = stream(&scene.caller(&["a1"]), PROMPT).await.unwrap_err();
    assert!(
        refused.to_string().contains("outcome: not_run"),
        "{refused}"
    );
    scene.platform_fault(json!({})).await.unwrap();
    eventually("ready again", async || is_ready(&scene, "a1").await)
        .await
        .unwrap();
}

#[tokio::test]
async fn in_an_outage_requests_are_served_and_the_config_age_is_reported() {
    let scene = Scene::builder(2).start().await.unwrap();
    scene
        .platform_fault(json!({ "outage": true }))
        .await
        .unwrap();
    eventually("the age grows", async || {
        let all = scene.versions().await;
        all.values()
            .all(|status| status.config_age_ms.is_some_and(|age| age > 2_000))
    })
    .await
    .unwrap();
    assert_whole(
        &stream(&scene.caller(&["b1"]), PROMPT).await.unwrap(),
        PROMPT,
    );
}

#[tokio::test]
async fn a_frozen_instance_catches_up_after_it_resumes() {
    let mut scene = Scene::builder(1)
        .instances_per_zone(2)
        .start()
        .await
        .unwrap();
    scene.process("a2").freeze();
    let version = scene.publish_document().await.unwrap();
    scene.in_force(version, &["a1".to_owned()]).await.unwrap();
    scene.process("a2").thaw();
    scene
        .in_force(version, &scene.instance_names())
        .await
        .unwrap();
}

/// A draining engine gets no new streams, and the stream that runs there completes.
#[tokio::test]
async fn a_draining_engine_gets_no_new_work() {
    let mut scene = Scene::builder(1).engines_per_zone(2).start().await.unwrap();
    let caller = scene.caller(&["a1"]);
    let long = "a quote that outlives the notice [tokens=150]";
    let running = tokio::spawn(async move { stream(&caller, long).await });
    support::wait_for_first_token(&scene, "a1").await;
    scene.document.backend_servers[0].leaving = true;
    let version = scene.publish_document().await.unwrap();
    scene
        .in_force(version, &scene.instance_names())
        .await
        .unwrap();
    for _ in 0..8 {
        let outcome = stream(&scene.caller(&["a1"]), PROMPT).await.unwrap();
        let engines = support::engines_of(&scene, "a1", &outcome.request).await;
        assert_eq!(engines, ["engine-a2"]);
    }
    let outcome = running.await.unwrap().unwrap();
    assert_whole(&outcome, long);
    assert_eq!(
        support::engines_of(&scene, "a1", &outcome.request)
            .await
            .len(),
        1
    );
}

#[tokio::test]
async fn an_engine_that_reports_draining_gets_no_new_work() {
    let scene = Scene::builder(1).engines_per_zone(2).start().await.unwrap();
    scene
        .fault("engine-a1", json!({ "leaving": true }))
        .await
        .unwrap();
    eventually("the notice is known", async || {
        let list = scene
            .operator("a1")
            .resources("backend-servers", Some("engine-a1"))
            .await;
        list.is_ok_and(|list| list.items[0].observed["ruled_out"] == "leaving by its own notice")
    })
    .await
    .unwrap();
    for _ in 0..8 {
        let outcome = stream(&scene.caller(&["a1"]), PROMPT).await.unwrap();
        let engines = support::engines_of(&scene, "a1", &outcome.request).await;
        assert_eq!(engines, ["engine-a2"]);
    }
}

/// Instances of the other zone are the only source of the change.
#[tokio::test]
async fn a_zone_cut_from_the_platform_learns_from_the_other_zone() {
    let builder = Scene::builder(2).instances_per_zone(2).with_links();
    let scene = builder.start().await.unwrap();
    scene.set_link("a", LinkState::Cut);
    let version = scene.publish_document().await.unwrap();
    scene
        .in_force(version, &scene.instance_names())
        .await
        .unwrap();
    assert_whole(
        &stream(&scene.caller(&["a1"]), PROMPT).await.unwrap(),
        PROMPT,
    );
}

/// The peer with the new version listens at another address than the old instance list says,
/// so the zone without the platform can't query it: the peer has to push the update.
#[tokio::test]
async fn an_update_reaches_a_cut_zone_with_an_outdated_instance_list() {
    let mut scene = Scene::builder(2).with_links().start().await.unwrap();
    scene.set_link("a", LinkState::Cut);
    scene.restart("b1").await.unwrap();
    scene.list_instances(&[]).await.unwrap();
    let version = scene.publish_document().await.unwrap();
    scene
        .in_force(version, &scene.instance_names())
        .await
        .unwrap();
}
