//! The validation that a configuration must pass before it comes into force.

use std::collections::HashSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::BackendKind;
use crate::Document;

/// One fault of a document, with a fix.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct DocumentFault {
    /// Path of the faulty value, such as `workspaces[quotes].weight`.
    pub key: String,
    /// The value found.
    pub value: String,
    /// What to write instead.
    pub fix: String,
}

impl fmt::Display for DocumentFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}: {}", self.key, self.value, self.fix)
    }
}

impl Document {
    /// Validates the document and returns all faults. An empty list means that the document may
    /// be published.
    pub fn faults(&self) -> Vec<DocumentFault> {
        let mut faults = Faults::default();
        self.check_names(&mut faults);
        self.check_models(&mut faults);
        self.check_workspaces(&mut faults);
        self.check_backend_servers(&mut faults);
        self.check_operators(&mut faults);
        faults.0
    }

    fn check_names(&self, faults: &mut Faults) {
        faults.unique("models", self.models.iter().map(|m| &m.name));
        faults.unique("adapters", self.adapters.iter().map(|a| &a.name));
        faults.unique("workspaces", self.workspaces.iter().map(|w| &w.name));
        faults.unique("services", self.services.iter().map(|s| &s.name));
        let servers = self.backend_servers.iter().map(|b| &b.name);
        faults.unique("backend_servers", servers);
        let key_hashes = self.workspaces.iter().flat_map(|w| &w.key_hashes);
        faults.unique("workspaces[].key_hashes", key_hashes);
    }

    fn check_models(&self, faults: &mut Faults) {
        for model in &self.models {
            if model.context_tokens == 0 {
                let key = format!("models[{}].context_tokens", model.name);
                faults.add(key, 0, "give the longest prompt and answer, at least 1");
            }
        }
        for adapter in &self.adapters {
            if self.model(&adapter.model).is_none() {
                let key = format!("adapters[{}].model", adapter.name);
                faults.add(key, &adapter.model, "name a model that `models` lists");
            }
        }
    }

    fn check_workspaces(&self, faults: &mut Faults) {
        for workspace in &self.workspaces {
            let at = |field: &str| format!("workspaces[{}].{field}", workspace.name);
            let positive = [
                ("weight", workspace.weight),
                ("max_open_requests", workspace.max_open_requests),
                ("max_requests_per_s", workspace.max_requests_per_s),
            ];
            for (field, value) in positive {
                if value == 0 {
                    faults.add(at(field), value, "give a number of at least 1");
                }
            }
            for hash in &workspace.key_hashes {
                faults.key_hash(at("key_hashes"), hash);
            }
        }
    }

    fn check_backend_servers(&self, faults: &mut Faults) {
        for server in &self.backend_servers {
            let at = |field: &str| format!("backend_servers[{}].{field}", server.name);
            for model in &server.models {
                if self.model(model).is_none() {
                    faults.add(at("models"), model, "name a model that `models` lists");
                }
            }
            let service = server.service.as_deref().unwrap_or("");
            let known = self.service(service).is_some();
            if server.kind == BackendKind::Service && !known {
                let fix = "name a service that `services` lists";
                faults.add(at("service"), service, fix);
            }
        }
    }

    fn check_operators(&self, faults: &mut Faults) {
        for operator in &self.operators {
            let key = format!("operators[{}].key_hash", operator.name);
            faults.key_hash(key, &operator.key_hash);
        }
    }
}

/// Characters that are not allowed in names: `~` separates the fields of cursors and tickets,
/// the others would break paths.
const RESERVED_IN_NAMES: [char; 3] = ['~', '/', ' '];

#[derive(Default)]
struct Faults(Vec<DocumentFault>);

impl Faults {
    fn add(&mut self, key: impl Into<String>, value: impl fmt::Display, fix: &str) {
        self.0.push(DocumentFault {
            key: key.into(),
            value: value.to_string(),
            fix: fix.to_owned(),
        });
    }

    fn unique<'a>(&mut self, list: &str, names: impl Iterator<Item = &'a String>) {
        let mut seen = HashSet::new();
        for name in names {
            if name.is_empty() || name.contains(RESERVED_IN_NAMES) {
                let fix = "use a name without `~`, `/` or a space";
                self.add(format!("{list}[].name"), format!("{name:?}"), fix);
            }
            if !seen.insert(name) {
                self.add(list, name, "list it once only");
            }
        }
    }

    fn key_hash(&mut self, key: String, hash: &str) {
        if blake3::Hash::from_hex(hash).is_err() {
            let fix = "give 64 hex digits, as `iristhread hash-key` prints";
            self.add(key, format!("{hash:?}"), fix);
        }
    }
}
