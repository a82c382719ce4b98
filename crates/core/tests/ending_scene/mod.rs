//! Instances whose engines crash under one content.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::time::Duration;

use iristhread_core::AdvertisedLoads;
use iristhread_core::GatewayControl;
use iristhread_core::GatewayParameters;
use iristhread_core::Now;
use iristhread_core::PlacementRequest;
use iristhread_core::RefusalKind;
use iristhread_core::RunEnd;

use crate::gateway_scene;
use crate::gateway_scene::ask;
use crate::gateway_scene::engine;
use crate::gateway_scene::fingerprint;
use crate::gateway_scene::ms;
use crate::gateway_scene::terms;
use crate::gateway_scene::told;

pub const NOW: Now = Duration::from_secs(10);

pub const ENGINES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// A request with the fingerprint that crashes engines.
pub fn poison(request: &str) -> PlacementRequest {
    PlacementRequest {
        fingerprint: fingerprint("the content at fault"),
        ..ask(request)
    }
}

/// Sends a poison request that crashes its engine; returns the ID of the engine.
pub fn crash_engine(control: &mut GatewayControl, now: Now, request: &str) -> String {
    let ranking = control.place(now, poison(request)).unwrap();
    let replica = &ranking.replicas[0];
    control.note_broken_run(now + ms(100), request, replica);
    control.server_ended(now + ms(102), &replica.server_life());
    control.ended(now + ms(102), request, RunEnd::Failed);
    replica.id.clone()
}

pub fn refusal(control: &mut GatewayControl, now: Now) -> Option<RefusalKind> {
    let placed = control.place(now, poison("one more"));
    placed.err().map(|refusal| refusal.kind)
}

/// Instances of two zones that receive each other's heartbeats.
pub fn fleet() -> Vec<GatewayControl> {
    let names = ["i1", "i2", "i3", "i4"];
    let zone = |place: usize| if place < 2 { "z1" } else { "z2" };
    let regions = || BTreeMap::from(["z1", "z2"].map(|zone| (zone.to_owned(), "north".to_owned())));
    let mut fleet = Vec::new();
    for (place, name) in names.iter().enumerate() {
        let mut control = GatewayControl::new(GatewayParameters {
            instance: (*name).to_owned(),
            zone: zone(place).to_owned(),
            regions: regions(),
            ..terms()
        });
        control.offer_config(std::sync::Arc::new(gateway_scene::config(1)));
        let engines = ENGINES.iter().map(|id| engine(id, "z1"));
        control.offer_replicas(Duration::ZERO, 1, engines.collect());
        receive_all(&mut control, name, NOW + ms(40_000));
        fleet.push(control);
    }
    fleet
}

pub fn receive_all(control: &mut GatewayControl, own: &str, now: Now) {
    for (place, name) in ["i1", "i2", "i3", "i4"].iter().enumerate() {
        if *name != own {
            let zone = if place < 2 { "z1" } else { "z2" };
            control.apply_peer_load(
                now,
                AdvertisedLoads {
                    zone: zone.to_owned(),
                    ..told(name, 1, BTreeMap::new())
                },
            );
        }
    }
}
