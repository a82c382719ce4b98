//! Routes, keys and the order of configurations of the gateway.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::collections::HashMap;
use std::sync::Arc;

use iristhread_core::ConfigVerdict;
use iristhread_core::RouteFault;
use iristhread_core::RouteTable;
use test_case::test_case;

use gateway_scene::config;
use gateway_scene::control;
use gateway_scene::route;

fn table() -> RouteTable {
    let mut config = config(1);
    config.routes = vec![
        route("short", "/a/"),
        route("long", "/a/b/"),
        route("open", "/open/"),
    ];
    config.routes[2].allow_anonymous = true;
    RouteTable::new(Arc::new(config))
}

#[test_case("shop.example", "/a/x", Ok("short"); "a prefix")]
#[test_case("shop.example", "/a/b/x", Ok("long"); "the longest prefix")]
#[test_case("SHOP.example:8080", "/a/", Ok("short"); "case and port of the host do not matter")]
#[test_case("shop.example", "/ab/x", Err(RouteFault::NoRoute); "a prefix ends at a slash")]
#[test_case("shop.example", "/a", Err(RouteFault::NoRoute); "the path lacks the slash")]
#[test_case("other.example", "/a/x", Err(RouteFault::NoRoute); "another host")]
#[test_case("", "/a/x", Err(RouteFault::NoRoute); "no host")]
fn route_of(host: &str, path: &str, expected: Result<&str, RouteFault>) {
    let table = table();
    let found = table.route(host, path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

#[test_case("/a/", Some("key-one"), Ok(Some("one")); "a known key")]
#[test_case("/a/", Some("key-two"), Ok(Some("two")); "another known key")]
#[test_case("/a/", Some("key-three"), Err(RouteFault::UnknownKey); "an unknown key")]
#[test_case("/a/", None, Err(RouteFault::UnknownKey); "no key")]
#[test_case("/open/", None, Ok(None); "no key on an anonymous route")]
#[test_case("/open/", Some("key-three"), Ok(None); "an unknown key on an anonymous route")]
#[test_case("/open/", Some("key-one"), Ok(Some("one")); "a known key on an anonymous route")]
fn workspace_of(path: &str, key: Option<&str>, expected: Result<Option<&str>, RouteFault>) {
    let table = table();
    let route = table.route("shop.example", path).unwrap();
    let found = table.workspace(route, key);
    let found = found.map(|workspace| workspace.map(|workspace| workspace.name.as_str()));
    assert_eq!(found, expected);
}

#[test]
fn without_workspaces_no_key_is_required() {
    let mut config = config(1);
    config.workspaces = None;
    let table = RouteTable::new(Arc::new(config));
    let route = table.route("shop.example", "/chat/").unwrap();
    assert_eq!(table.workspace(route, Some("anything")), Ok(None));
}

#[test]
fn a_split_follows_the_weights_and_the_request() {
    let mut config = config(1);
    config.routes[0].targets = vec![
        gateway_scene::target("engines", 90),
        gateway_scene::target("orders", 10),
        gateway_scene::target("none", 0),
    ];
    let table = RouteTable::new(Arc::new(config));
    let route = table.route("shop.example", "/chat/").unwrap();
    let mut counts: HashMap<&str, u32> = HashMap::new();
    for number in 0..10_000 {
        let request = format!("request-{number}");
        let service = table.service(route, &request).unwrap();
        assert_eq!(table.service(route, &request), Some(service));
        *counts.entry(service).or_default() += 1;
    }
    assert!((8_800..9_200).contains(&counts["engines"]), "{counts:?}");
    assert!(!counts.contains_key("none"));
}

#[test]
fn configuration_versions_only_increase() {
    let mut control = control();
    let versions = [3, 7, 5, 7, 8, 1];
    let verdicts: Vec<bool> = versions
        .iter()
        .map(|version| control.offer_config(Arc::new(config(*version))))
        .map(|verdict| verdict == ConfigVerdict::InForce)
        .collect();
    assert_eq!(verdicts, [true, true, false, false, true, false]);
    assert_eq!(control.config_version(), 8);
}

#[test_case(|config| config.version = 0, "versions count from 1"; "version 0")]
#[test_case(|config| config.routes[0].path_prefix = "/x".to_owned(), "lacks a slash"; "no slash")]
#[test_case(|config| config.routes[0].targets.clear(), "leads to no service"; "no target")]
#[test_case(|config| config.services.clear(), "unknown service"; "unknown service")]
#[test_case(|config| config.routes.push(config.routes[0].clone()), "repeats a host and path"; "twice")]
#[test_case(|config| config.routes[0].timeout = std::time::Duration::ZERO, "timeout"; "no timeout")]
fn an_invalid_configuration_is_refused(
    invalidate: fn(&mut iristhread_core::GatewayConfig),
    expected: &str,
) {
    let mut control = control();
    assert_eq!(
        control.offer_config(Arc::new(config(4))),
        ConfigVerdict::InForce
    );
    let mut invalid = config(5);
    invalidate(&mut invalid);
    if invalid.version == 0 {
        assert!(
            invalid
                .faults()
                .iter()
                .any(|fault| fault.contains(expected))
        );
        return;
    }
    let ConfigVerdict::Refused(faults) = control.offer_config(Arc::new(invalid)) else {
        panic!("the configuration was not refused");
    };
    assert!(
        faults.iter().any(|fault| fault.contains(expected)),
        "{faults:?}"
    );
    assert_eq!(control.config_version(), 4);
}
