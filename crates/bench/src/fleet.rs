//! Decisions with a configuration of any size, for the measurement of slopes.

use std::sync::Arc;
use std::time::Duration;

use iristhread_core::BackendKind;
use iristhread_core::BackendServer;
use iristhread_core::Control;
use iristhread_core::ControlSettings;
use iristhread_core::Document;
use iristhread_core::EngineRole;
use iristhread_core::Event;
use iristhread_core::InstanceEntry;
use iristhread_core::InstanceState;
use iristhread_core::LoadReport;
use iristhread_core::Model;
use iristhread_core::RoutingPolicy;
use iristhread_core::Submission;
use iristhread_core::Workspace;

/// Time at which measured decisions are made.
pub const NOW: Duration = Duration::from_secs(100);

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Model engines, all zones.
    pub engines: usize,
    /// Workspaces.
    pub workspaces: usize,
    /// Models; engines serve one each, in turn.
    pub models: usize,
    /// Entry instances, all zones.
    pub instances: usize,
    /// Availability zones.
    pub zones: usize,
}

impl FleetSize {
    /// The configuration of that size.
    pub fn document(&self) -> Document {
        Document {
            models: (0..self.models).map(model).collect(),
            workspaces: (0..self.workspaces).map(workspace).collect(),
            backend_servers: (0..self.engines).map(|n| self.engine(n)).collect(),
            ..Document::default()
        }
    }

    /// The instance list of that size.
    pub fn entries(&self) -> Vec<InstanceEntry> {
        let entry = |number: usize| InstanceEntry {
            instance: format!("instance-{number}"),
            availability_zone: self.zone(number),
            peer_address: ([127, 0, 0, 1], 7_000).into(),
            state: InstanceState::Live,
        };
        (0..self.instances).map(entry).collect()
    }

    /// The decisions of one instance with all that in force, every engine of
    /// its subset reported, and `running` requests on engines.
    pub fn control(&self, running: usize) -> Control {
        let mut control = Control::new(ControlSettings {
            instance: "instance-0".to_owned(),
            incarnation: "1".to_owned(),
            zone: self.zone(0),
            policy: RoutingPolicy::Predictive,
            max_queued: 1_000,
            timeline_records: 1_000,
            ticket_lifetime: Duration::from_secs(60),
            max_tickets: 10_000,
            seed: 1,
        });
        let document = Arc::new(self.document());
        let source = "platform".to_owned();
        let offered = Event::ConfigOffered {
            version: 1,
            document,
            source,
        };
        control.handle(NOW, 0, offered);
        let entries = self.entries();
        control.handle(
            NOW,
            0,
            Event::InstanceListOffered {
                version: 1,
                entries,
            },
        );
        for (backend, _) in control.backends().watched() {
            let report = report();
            control.handle(NOW, 0, Event::Report { backend, report });
        }
        for number in 0..running {
            control.handle(NOW, 0, Event::Submit(self.submission(number)));
        }
        control
    }

    /// A request of some workspace for some model.
    pub fn submission(&self, number: usize) -> Submission {
        Submission {
            request: format!("request-{number}"),
            workspace: format!("workspace-{}", number % self.workspaces),
            model: format!("model-{}", number % self.models),
            prompt_tokens: 100,
            prefix: number as u64,
            deadline: NOW * 2,
            attempt: 1,
            ..Submission::default()
        }
    }

    fn engine(&self, number: usize) -> BackendServer {
        BackendServer {
            name: format!("engine-{number}"),
            kind: BackendKind::Engine,
            availability_zone: self.zone(number / self.models),
            address: ([127, 0, 0, 1], 9_000).into(),
            models: vec![format!("model-{}", number % self.models)],
            role: EngineRole::Both,
            service: None,
            leaving: false,
        }
    }

    fn zone(&self, number: usize) -> String {
        format!("zone-{}", number % self.zones)
    }
}

fn report() -> LoadReport {
    LoadReport {
        sequence: 1,
        memory_tokens: 100_000_000,
        used_tokens: 4_000,
        running: 20,
        step_ms: 25.0,
        ..LoadReport::default()
    }
}

fn model(number: usize) -> Model {
    Model {
        name: format!("model-{number}"),
        version: "1".to_owned(),
        context_tokens: 32_768,
    }
}

fn workspace(number: usize) -> Workspace {
    Workspace {
        name: format!("workspace-{number}"),
        weight: 1,
        priority: 0,
        max_open_requests: 1_000_000,
        max_requests_per_s: 1_000_000,
        key_hashes: vec![format!("{number:064x}")],
    }
}
