//! The resource log: each change is logged once, and a watch from a version that is no longer kept
//! is refused with the oldest one that is.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use iristhread_api::Resource;
use iristhread_api::ResourceEvent;
use iristhread_daemon::ResourceLog;
use iristhread_daemon::VersionTooOld;
use serde_json::json;

fn with_weight(weight: u64) -> BTreeMap<&'static str, BTreeMap<String, Resource>> {
    let resource = Resource {
        name: "quotes".to_owned(),
        declared: json!({ "weight": weight }),
        observed: json!(null),
    };
    BTreeMap::from([(
        "workspaces",
        BTreeMap::from([("quotes".to_owned(), resource)]),
    )])
}

#[test]
fn logs_each_change_once_and_a_removal_as_deleted() {
    let log = ResourceLog::default();
    log.update(with_weight(1));
    log.update(with_weight(1));
    log.update(BTreeMap::new());
    let changes = log.changes("workspaces", 0).unwrap();
    assert!(matches!(
        changes[0],
        ResourceEvent::Applied {
            resource_version: 1,
            ..
        }
    ));
    assert!(matches!(
        changes[1],
        ResourceEvent::Deleted {
            resource_version: 2,
            ..
        }
    ));
    assert_eq!(changes.len(), 2);
    assert!(log.changes("models", 0).unwrap().is_empty());
}

#[test]
fn refuses_a_version_too_old_and_names_the_oldest() {
    let log = ResourceLog::default();
    (0..5_000).for_each(|weight| log.update(with_weight(weight)));
    let (version, _) = log.list("workspaces");
    assert_eq!(version, 5_000);
    assert_eq!(
        log.changes("workspaces", 10),
        Err(VersionTooOld { oldest: 904 })
    );
    assert_eq!(log.changes("workspaces", 904).unwrap().len(), 4_096);
}
