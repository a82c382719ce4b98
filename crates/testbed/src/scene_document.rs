//! The configuration document of a scene.

use std::net::SocketAddr;

use iristhread_core::Adapter;
use iristhread_core::BackendKind;
use iristhread_core::BackendServer;
use iristhread_core::Document;
use iristhread_core::EngineRole;
use iristhread_core::Model;
use iristhread_core::Operator;
use iristhread_core::Service;
use iristhread_core::Workspace;

/// Name of the model for completions.
pub const QUOTE_MODEL: &str = "quote-narrator";

/// Name of the model for chat completions.
pub const CHAT_MODEL: &str = "showroom-chat";

/// Service whose calls must run at most once (`repeatable` is false).
pub const SLOT_SERVICE: &str = "delivery-slots";

/// Service whose calls may be sent again (`repeatable` is true).
pub const STOCK_SERVICE: &str = "stock";

/// A backend server of a scene: name, zone and address.
pub type PlacedServer = (String, String, SocketAddr);

/// Returns the configuration for these engines and service runners. `keys` holds the keys
/// of the workspaces `quotes` and `showroom` and that of the operator.
pub fn document(engines: &[PlacedServer], services: &[PlacedServer], keys: [&str; 3]) -> Document {
    let [caller, other_caller, operator] = keys;
    let mut backend_servers: Vec<BackendServer> = engines.iter().map(engine).collect();
    for service in [SLOT_SERVICE, STOCK_SERVICE] {
        backend_servers.extend(services.iter().map(|placed| runner(placed, service)));
    }
    Document {
        models: vec![model(QUOTE_MODEL), model(CHAT_MODEL)],
        adapters: vec![Adapter {
            name: "oak-finishes".to_owned(),
            model: CHAT_MODEL.to_owned(),
        }],
        workspaces: vec![
            workspace("quotes", caller),
            workspace("showroom", other_caller),
        ],
        services: vec![service(SLOT_SERVICE, false), service(STOCK_SERVICE, true)],
        backend_servers,
        operators: vec![Operator {
            name: "operator".to_owned(),
            key_hash: hash_key(operator),
        }],
    }
}

fn model(name: &str) -> Model {
    Model {
        name: name.to_owned(),
        version: "1".to_owned(),
        context_tokens: 8_192,
    }
}

fn workspace(name: &str, key: &str) -> Workspace {
    Workspace {
        name: name.to_owned(),
        weight: 1,
        priority: 0,
        max_open_requests: 2_000,
        max_requests_per_s: 2_000,
        key_hashes: vec![hash_key(key)],
    }
}

fn service(name: &str, repeatable: bool) -> Service {
    Service {
        name: name.to_owned(),
        repeatable,
        checks_keys: false,
    }
}

fn engine((name, zone, address): &PlacedServer) -> BackendServer {
    BackendServer {
        name: name.clone(),
        kind: BackendKind::Engine,
        availability_zone: zone.clone(),
        address: *address,
        models: vec![QUOTE_MODEL.to_owned(), CHAT_MODEL.to_owned()],
        role: EngineRole::Both,
        service: None,
        leaving: false,
    }
}

fn runner((name, zone, address): &PlacedServer, service: &str) -> BackendServer {
    BackendServer {
        name: format!("{name}-{service}"),
        kind: BackendKind::Service,
        availability_zone: zone.clone(),
        address: *address,
        models: Vec::new(),
        role: EngineRole::Both,
        service: Some(service.to_owned()),
        leaving: false,
    }
}

fn hash_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
