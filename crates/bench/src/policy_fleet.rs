//! The configuration and the instances of a run of policies.

use std::time::Duration;

use iristhread_core::BackendKind;
use iristhread_core::BackendServer;
use iristhread_core::Control;
use iristhread_core::ControlSettings;
use iristhread_core::Document;
use iristhread_core::EngineRole;
use iristhread_core::InstanceEntry;
use iristhread_core::InstanceState;
use iristhread_core::Model;
use iristhread_core::RoutingPolicy;

use crate::workload::Workload;

/// Availability zones.
const ZONES: usize = 3;

/// The one model.
pub const MODEL: &str = "m";

/// The decisions of one instance.
pub fn control(number: usize, policy: RoutingPolicy, seed: u64) -> Control {
    Control::new(ControlSettings {
        instance: format!("i{number}"),
        incarnation: "1".to_owned(),
        zone: zone(number),
        policy,
        max_queued: 1_000,
        timeline_records: 100,
        ticket_lifetime: Duration::from_secs(10),
        max_tickets: 100,
        seed: seed * 100 + number as u64,
    })
}

/// One line of the instance list.
pub fn entry(number: usize) -> InstanceEntry {
    InstanceEntry {
        instance: format!("i{number}"),
        availability_zone: zone(number),
        peer_address: ([127, 0, 0, 1], 7_000).into(),
        state: InstanceState::Live,
    }
}

/// The configuration of a workload over a number of engines.
pub fn document(workload: &Workload, engines: usize) -> Document {
    let server = |number: usize| BackendServer {
        name: engine_name(number),
        kind: BackendKind::Engine,
        availability_zone: zone(number),
        address: ([127, 0, 0, 1], 9_000).into(),
        models: vec![MODEL.to_owned()],
        role: EngineRole::Both,
        service: None,
        leaving: false,
    };
    Document {
        models: vec![Model {
            name: MODEL.to_owned(),
            version: "1".to_owned(),
            context_tokens: 8_192,
        }],
        workspaces: workload.workspaces(),
        backend_servers: (0..engines).map(server).collect(),
        ..Document::default()
    }
}

/// Name of an engine.
pub fn engine_name(number: usize) -> String {
    format!("e{number}")
}

fn zone(number: usize) -> String {
    format!("z{}", number % ZONES)
}
