//! What instances do together after backend servers have named limits.
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
use gateway_scene::ms;
use limit_scene::Fleet;
use limit_scene::SPAN;
use limit_scene::allowed;
use limit_scene::instance;
use limit_scene::names_limit;

/// The others take what limited servers can't; nobody is refused.
#[test_case(9, 38, "3.9", 3.9; "nine instances")]
#[test_case(9, 38, "0", 0.0; "a server that takes nothing")]
#[test_case(40, 60, "4", 4.0; "forty instances")]
#[test_case(40, 60, "0.3", 0.3; "forty before a server that takes one in three seconds")]
fn servers_get_no_more_than_they_take(count: usize, per_s: u64, limit: &'static str, rate: f64) {
    let mut fleet = Fleet::new(count, &[Some(limit), Some(limit), None]);
    fleet.run(Duration::from_secs(30), per_s);
    let told_at = ms(3_000);
    for server in [0, 1] {
        let most = fleet.most(server, told_at);
        assert!(most <= allowed(rate), "{most} within {SPAN:?}");
        assert!(fleet.count(server, told_at) > 0, "its words are heard");
    }
    assert!(fleet.refused.is_empty(), "{}", fleet.refused.len());
}

/// Shares follow the requests: the instances without any leave theirs to the others.
#[test]
fn a_limit_is_used_where_a_third_of_the_instances_has_the_requests() {
    let mut fleet = Fleet::new(9, &[Some("4")]);
    fleet.idle_from = 3;
    fleet.run(Duration::from_secs(33), 12);
    let from = ms(3_000);
    assert!(fleet.most(0, from) <= allowed(4.0));
    let used = fleet.count(0, from) as f64 / (30.0 * 4.0);
    // Equal shares would use a third.
    assert!(used >= 0.6, "{used}");
}

/// A cut lasts: neither half takes the other's part, since both remember it.
#[test]
fn two_halves_that_do_not_hear_each_other_keep_to_one_limit() {
    let mut fleet = Fleet::new(10, &[Some("4"), None]);
    fleet.run(Duration::from_secs(10), 30);
    fleet.is_cut = true;
    fleet.run(Duration::from_secs(60), 30);
    let most = fleet.most(0, ms(3_000));
    assert!(most <= allowed(4.0), "{most} within {SPAN:?}");
}

#[test]
fn a_burst_is_shared_as_soon_as_it_is_told() {
    let mut fleet = Fleet::new(9, &[Some("4"), None]);
    fleet.run(Duration::from_secs(10), 12);
    fleet.run(Duration::from_secs(10), 36);
    let most = fleet.most(0, ms(3_000));
    assert!(most <= allowed(4.0), "{most} within {SPAN:?}");
}

/// One answer without a limit is enough, also at instances that would not have asked soon.
#[test_case("4"; "a limit")]
#[test_case("0"; "a limit of nothing")]
fn a_server_that_names_no_limit_any_more_is_used_by_all(limit: &'static str) {
    let mut fleet = Fleet::new(9, &[Some(limit), None]);
    fleet.run(Duration::from_secs(10), 30);
    fleet.limits[0] = None;
    fleet.run(Duration::from_secs(30), 30);
    let limited = |control: &GatewayControl| !control.limits().lives().is_empty();
    assert_eq!(fleet.instances.iter().filter(|i| limited(i)).count(), 0);
    assert!(fleet.count(0, ms(35_000)) > 50);
}

/// Whoever refuses is told when it is an instance's turn; nothing waits.
#[test]
fn where_all_are_limited_callers_are_refused_with_a_time() {
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

/// An instance that has just started asks nobody: it goes by what it hears.
#[test]
fn an_instance_that_starts_keeps_to_what_the_others_tell() {
    let mut fleet = Fleet::new(9, &[Some("0.3"), None]);
    fleet.run(Duration::from_secs(10), 30);
    for number in [0, 3, 6] {
        fleet.instances[number] = instance(number, &fleet.servers.clone());
    }
    fleet.tell();
    let before = fleet.count(0, Now::ZERO);
    fleet.run(Duration::from_secs(4), 30);
    let after = fleet.count(0, Now::ZERO) - before;
    assert!(after <= allowed(0.3), "{after}");
}

/// What another life named says nothing of this one.
#[test]
fn a_limit_binds_one_life() {
    let born = |born_ms| Replica {
        born_ms: Some(born_ms),
        ..engine("a", "z1")
    };
    let mut control = instance(0, &[born(1)]);
    let heard = names_limit("0", ms(900));
    control.observe_limit(ms(1_000), &born(1).server_life(), &heard);
    assert!(control.place(ms(1_100), ask("r1")).is_ok(), "tried once");
    assert!(control.place(ms(1_100), ask("r2")).is_err());
    control.offer_replicas(ms(1_200), 2, vec![born(2)]);
    for number in 0..6 {
        let request = format!("n{number}");
        assert!(control.place(ms(1_300), ask(&request)).is_ok());
    }
}

/// A request that was placed before the limit was named asks when it is sent.
#[test]
fn what_was_placed_before_asks_once_more() {
    let server = engine("a", "z1");
    let mut control = instance(0, std::slice::from_ref(&server));
    for number in 0..8 {
        let request = format!("r{number}");
        assert!(control.place(ms(1_000), ask(&request)).is_ok());
    }
    let life = server.server_life();
    control.observe_limit(ms(1_050), &life, &names_limit("1", ms(1_000)));
    let sent = (0..8).filter(|number| control.may_send(ms(1_100), &life, &format!("r{number}")));
    let sent = sent.count();
    assert!(sent <= 2, "{sent}");
}

/// Trying one that failed a moment ago beats refusing.
#[test]
fn where_all_but_limited_ones_are_paused_a_paused_one_is_tried() {
    let servers = [engine("a", "z1"), engine("b", "z1")];
    let mut control = instance(0, &servers);
    let life = servers[0].server_life();
    control.observe_limit(ms(1_000), &life, &names_limit("0", ms(900)));
    control.may_send(ms(1_000), &life, "its one try");
    for number in 0..4 {
        control.failed(ms(1_000 + number), "b");
    }
    let ranking = control.place(ms(1_010), ask("r1"));
    assert_eq!(ranking.unwrap().replicas[0].id, "b");
}
