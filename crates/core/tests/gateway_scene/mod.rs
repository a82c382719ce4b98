//! Test environments for the gateway's decisions.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod fleet;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use iristhread_core::AdvertisedLoads;
use iristhread_core::CallerLimits;
use iristhread_core::EngineTraits;
use iristhread_core::Fingerprint;
use iristhread_core::FingerprintInput;
use iristhread_core::GatewayConfig;
use iristhread_core::GatewayControl;
use iristhread_core::GatewayParameters;
use iristhread_core::GatewayService;
use iristhread_core::GatewayWorkspace;
use iristhread_core::LoadShare;
use iristhread_core::LoadShares;
use iristhread_core::PlacementRequest;
use iristhread_core::PromptParts;
use iristhread_core::Replica;
use iristhread_core::RequestClass;
use iristhread_core::Route;
use iristhread_core::RouteTarget;
use iristhread_core::ServiceLevel;

/// Memory of one engine of the tests, in tokens.
pub const MEMORY_TOKENS: u64 = 10_000;

/// Returns a time in milliseconds.
pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn target(service: &str, weight: u32) -> RouteTarget {
    RouteTarget {
        service: service.to_owned(),
        weight,
    }
}

pub fn route(name: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        class: RequestClass::Stream,
        timeout: ms(39_000),
        objective: ms(1_800),
        pause_objective: Some(ms(180)),
        rank: 0,
        targets: vec![target("engines", 1)],
        max_attempts: 1,
        can_resume: false,
        allow_anonymous: false,
        homes: None,
    }
}

pub fn config(version: u64) -> GatewayConfig {
    let workspace = |name: &str, key: &str| GatewayWorkspace {
        name: name.to_owned(),
        key_hashes: vec![blake3::hash(key.as_bytes()).to_hex().to_string()],
        rank: 0,
        homes: None,
    };
    let service = |name: &str, engine| GatewayService {
        name: name.to_owned(),
        max_connections: 100,
        cold_per_s: 0.0,
        engine,
    };
    let engine = EngineTraits {
        slots: 24,
        memory_tokens: MEMORY_TOKENS,
        tokens_per_event: 4,
        can_move: true,
        can_back_up: true,
    };
    GatewayConfig {
        version,
        routes: vec![route("chat", "/chat/")],
        services: vec![
            service("engines", Some(engine)),
            service("orders", None),
            service("none", None),
        ],
        limits: CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 1 << 20,
            header_timeout: ms(3_000),
            idle_timeout: ms(15_000),
        },
        workspaces: Some(vec![
            workspace("one", "key-one"),
            workspace("two", "key-two"),
        ]),
    }
}

pub fn terms() -> GatewayParameters {
    GatewayParameters {
        instance: "i1".to_owned(),
        zone: "z1".to_owned(),
        retry_ratio: 0.1,
        retry_extra: 9.0,
        min_sharers: 3,
        memory_limit: 1.0,
        copy_limit: 0.75,
        least_copied_tokens: 100,
        learn_speeds: false,
        speed_tolerance: 0.25,
        move_reserve: 0.0,
        rank_reserve: false,
        max_waiting: 0,
        forecast_retry_after: false,
        regions: BTreeMap::new(),
        seed: 1,
    }
}

/// A gateway without a configuration.
pub fn control() -> GatewayControl {
    GatewayControl::new(terms())
}

/// An engine of a zone.
pub fn engine(id: &str, zone: &str) -> Replica {
    Replica {
        id: id.to_owned(),
        born_ms: None,
        service: "engines".to_owned(),
        address: ([10, 0, 0, 1], 8_000).into(),
        availability_zone: zone.to_owned(),
        slots: 24,
        leaving: false,
        warm_up: Duration::ZERO,
    }
}

/// The same engine, draining.
pub fn leaving(id: &str, zone: &str) -> Replica {
    Replica {
        leaving: true,
        ..engine(id, zone)
    }
}

/// A gateway with a configuration and engines in zone z1.
pub fn control_with(engines: &[&str]) -> GatewayControl {
    let mut control = control();
    control.offer_config(Arc::new(config(1)));
    let engines = engines.iter().map(|id| engine(id, "z1")).collect();
    control.offer_replicas(Duration::ZERO, 1, engines);
    control
}

/// Returns the fingerprint of a request with a body.
pub fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::of(&FingerprintInput {
        workspace: Some("one"),
        method: "POST",
        host: "shop.example",
        path: "/chat/x",
        body: body.as_bytes(),
    })
}

/// A session with a prompt of 1,000 tokens and an estimated output of 400 tokens.
pub fn ask(request: &str) -> PlacementRequest {
    PlacementRequest {
        request: request.to_owned(),
        fingerprint: fingerprint(request),
        parts: PromptParts::default(),
        service: "engines".to_owned(),
        class: RequestClass::Stream,
        prompt_tokens: 1_000,
        max_tokens: 800,
        expected_tokens: Some(400),
        homes: None,
        level: ServiceLevel {
            route: "chat".to_owned(),
            workspace: Some("one".to_owned()),
            objective: ms(1_800),
            deadline: ms(39_000),
            ..ServiceLevel::default()
        },
    }
}

/// Loads an engine so that it is ranked last.
pub fn crowd(control: &mut GatewayControl, id: &str) {
    let load = LoadShare {
        session_tokens: MEMORY_TOKENS / 2,
        ..LoadShare::default()
    };
    let shares = BTreeMap::from([(id.to_owned(), load)]);
    control.apply_peer_load(Duration::ZERO, told("i2", 1, shares));
}

/// The load that an instance of zone z1 advertises.
pub fn told(instance: &str, sequence: u64, shares: LoadShares) -> AdvertisedLoads {
    AdvertisedLoads {
        instance: instance.to_owned(),
        incarnation: "life".to_owned(),
        sequence,
        zone: "z1".to_owned(),
        shares,
        digest: None,
    }
}

/// The gateway of one instance of a fleet that knows these servers.
pub fn instance(number: usize, servers: &[Replica]) -> GatewayControl {
    let mut control = GatewayControl::new(GatewayParameters {
        instance: format!("i{number}"),
        seed: number as u64,
        ..terms()
    });
    control.offer_config(Arc::new(config(1)));
    control.offer_replicas(Duration::ZERO, 1, servers.to_vec());
    control
}
