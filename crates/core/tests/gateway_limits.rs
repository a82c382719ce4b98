//! Joint behaviour of the instances after backend servers have declared limits.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;
mod limit_scene;

use std::time::Duration;

use iristhread_core::GatewayControl;
use iristhread_core::Now;
use iristhread_core::RefusalKind;
use iristhread_core::Replica;
use test_case::test_case;

use gateway_scene::ask;
use gateway_scene::engine;
use gateway_scene::instance;
use gateway_scene::ms;
use limit_scene::Fleet;
use limit_scene::SPAN;
use limit_scene::allowed;
use limit_scene::declares_limit;

/// Other servers receive the requests that limited servers can't accept; no request is refused.
#[test_case(9, 38, "3.9", 3.9; "nine instances")]
#[test_case(9, 38, "0", 0.0; "a limit of zero")]
#[test_case(40, 60, "4", 4.0; "forty instances")]
#[test_case(40, 60, "0.3", 0.3; "forty instances and a limit of one request in three seconds")]
fn servers_receive_no_more_than_their_limits(
    count: usize,
    per_s: u64,
    limit: &'static str,
    rate: f64,
) {
    let mut fleet = Fleet::new(count, &[Some(limit), Some(limit), None]);
    fleet.run(Duration::from_secs(30), per_s);
    let settled_at = ms(3_000);
    for server in [0, 1] {
        let most = fleet.most(server, settled_at);
        assert!(most <= allowed(rate), "{most} within {SPAN:?}");
        assert!(
            fleet.count(server, settled_at) > 0,
            "the server is still probed"
        );
    }
    assert!(fleet.refused.is_empty(), "{}", fleet.refused.len());
}

/// Shares follow the demand: idle instances leave their shares to the others.
#[test]
fn a_limit_is_used_if_a_third_of_the_instances_receives_all_requests() {
    let mut fleet = Fleet::new(9, &[Some("4")]);
    fleet.idle_from = 3;
    fleet.run(Duration::from_secs(33), 12);
    let from = ms(3_000);
    assert!(fleet.most(0, from) <= allowed(4.0));
    let used = fleet.count(0, from) as f64 / (30.0 * 4.0);
    // Equal shares would use a third.
    assert!(used >= 0.6, "{used}");
}

/// During a long partition neither half uses the share of the other, since both remember it.
#[test]
fn partitioned_halves_respect_one_limit() {
    let mut fleet = Fleet::new(10, &[Some("4"), None]);
    fleet.run(Duration::from_secs(10), 30);
    fleet.is_partitioned = true;
    fleet.run(Duration::from_secs(60), 30);
    let most = fleet.most(0, ms(3_000));
    assert!(most <= allowed(4.0), "{most} within {SPAN:?}");
}

#[test]
fn a_burst_is_shared_as_soon_as_it_is_advertised() {
    let mut fleet = Fleet::new(9, &[Some("4"), None]);
    fleet.run(Duration::from_secs(10), 12);
    fleet.run(Duration::from_secs(10), 36);
    let most = fleet.most(0, ms(3_000));
    assert!(most <= allowed(4.0), "{most} within {SPAN:?}");
}

/// One answer without a limit suffices, also for instances that would not have sent a request soon.
#[test_case("4"; "a limit")]
#[test_case("0"; "a limit of zero")]
fn a_withdrawn_limit_is_lifted_at_all_instances(limit: &'static str) {
    let mut fleet = Fleet::new(9, &[Some(limit), None]);
    fleet.run(Duration::from_secs(10), 30);
    fleet.limits[0] = None;
    fleet.run(Duration::from_secs(30), 30);
    let limited = |control: &GatewayControl| !control.limits().lives().is_empty();
    assert_eq!(fleet.instances.iter().filter(|i| limited(i)).count(), 0);
    assert!(fleet.count(0, ms(35_000)) > 50);
}

/// Refused callers are told when it is the instance's turn; no request is queued.
#[test]
fn callers_are_refused_with_a_time_if_all_servers_are_limited() {
    let mut fleet = Fleet::new(3, &[Some("2"), Some("2")]);
    fleet.run(Duration::from_secs(10), 30);
    let from = ms(3_000);
    for server in [0, 1] {
        assert!(fleet.most(server, from) <= allowed(2.0));
    }
    assert!(fleet.refused.len() > 100);
    let now = ms(fleet.now_ms);
    let control = &mut fleet.instances[0];
    let refusal = (0..10).find_map(|number| control.place(now, ask(&format!("x{number}"))).err());
    let refusal = refusal.unwrap();
    assert_eq!(refusal.kind, RefusalKind::Limited);
    assert!(refusal.retry_after >= ms(100) && refusal.retry_after <= ms(6_000));
}

/// A new instance sends no queries: it applies the limits that it receives.
#[test]
fn a_new_instance_respects_the_advertised_limits() {
    let mut fleet = Fleet::new(9, &[Some("0.3"), None]);
    fleet.run(Duration::from_secs(10), 30);
    for number in [0, 3, 6] {
        fleet.instances[number] = instance(number, &fleet.servers.clone());
    }
    fleet.exchange_heartbeats();
    let before = fleet.count(0, Now::ZERO);
    fleet.run(Duration::from_secs(4), 30);
    let after = fleet.count(0, Now::ZERO) - before;
    assert!(after <= allowed(0.3), "{after}");
}

/// The limit of one incarnation says nothing about another.
#[test]
fn a_limit_applies_to_one_incarnation() {
    let born = |born_ms| Replica {
        born_ms: Some(born_ms),
        ..engine("a", "z1")
    };
    let mut control = instance(0, &[born(1)]);
    let observed = declares_limit("0", ms(900));
    control.observe_limit(ms(1_000), &born(1).server_life(), &observed);
    assert!(control.place(ms(1_100), ask("r1")).is_ok(), "probed once");
    assert!(control.place(ms(1_100), ask("r2")).is_err());
    control.offer_replicas(ms(1_200), 2, vec![born(2)]);
    for number in 0..6 {
        let request = format!("n{number}");
        assert!(control.place(ms(1_300), ask(&request)).is_ok());
    }
}

/// A request that was placed before the limit was declared needs a grant when it is sent.
#[test]
fn earlier_placements_need_a_grant_when_sent() {
    let server = engine("a", "z1");
    let mut control = instance(0, std::slice::from_ref(&server));
    for number in 0..8 {
        let request = format!("r{number}");
        assert!(control.place(ms(1_000), ask(&request)).is_ok());
    }
    let life = server.server_life();
    control.observe_limit(ms(1_050), &life, &declares_limit("1", ms(1_000)));
    let sent = (0..8).filter(|number| control.may_send(ms(1_100), &life, &format!("r{number}")));
    let sent = sent.count();
    assert!(sent <= 2, "{sent}");
}

/// A trial request to a server that has just failed is preferred to a refusal.
#[test]
fn a_server_in_backoff_is_tried_if_all_others_are_limited() {
    let servers = [engine("a", "z1"), engine("b", "z1")];
    let mut control = instance(0, &servers);
    let life = servers[0].server_life();
    control.observe_limit(ms(1_000), &life, &declares_limit("0", ms(900)));
    control.may_send(ms(1_000), &life, "the one probe");
    for number in 0..4 {
        control.failed(ms(1_000 + number), "b");
    }
    let ranking = control.place(ms(1_010), ask("r1"));
    assert_eq!(ranking.unwrap().replicas[0].id, "b");
}
