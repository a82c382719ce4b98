//! Placement of requests: the choice of the engine, queueing and refusals.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use iristhread_core::BackendKind;
use iristhread_core::BackendServer;
use iristhread_core::Command;
use iristhread_core::Control;
use iristhread_core::ControlSettings;
use iristhread_core::Document;
use iristhread_core::EngineRole;
use iristhread_core::Event;
use iristhread_core::LoadReport;
use iristhread_core::Model;
use iristhread_core::ObservedNotice;
use iristhread_core::RefusalKind;
use iristhread_core::RetryAfter;
use iristhread_core::RoutingPolicy;
use iristhread_core::ServerNotice;
use iristhread_core::Submission;
use iristhread_core::Workspace;
use test_case::test_case;

const NOW: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(15);

/// Number of streams that make progress continuously.
const STEADY: usize = 8;

/// Control state with the engines `e0`, `e1`, … of one zone.
struct Scene {
    control: Control,
    now: Duration,
}

impl Scene {
    fn new(engines: usize) -> Self {
        let server = |number: usize| BackendServer {
            name: format!("e{number}"),
            kind: BackendKind::Engine,
            availability_zone: "a".to_owned(),
            address: ([127, 0, 0, 1], 9_000).into(),
            models: vec!["m".to_owned()],
            role: EngineRole::Both,
            service: None,
            leaving: false,
        };
        let workspace = Workspace {
            name: "w".to_owned(),
            weight: 1,
            priority: 0,
            max_open_requests: 100_000,
            max_requests_per_s: 100_000,
            key_hashes: Vec::new(),
        };
        let model = Model {
            name: "m".to_owned(),
            version: "1".to_owned(),
            context_tokens: 8_192,
        };
        let document = Document {
            models: vec![model],
            workspaces: vec![workspace],
            backend_servers: (0..engines).map(server).collect(),
            ..Document::default()
        };
        let mut scene = Scene {
            control: Control::new(settings()),
            now: NOW,
        };
        scene.handle(Event::ConfigOffered {
            version: 1,
            document: Arc::new(document),
            source: "platform".to_owned(),
        });
        scene
    }

    fn handle(&mut self, event: Event) -> Vec<Command> {
        self.control.handle(self.now, 0, event)
    }

    fn report(
        &mut self,
        engine: &str,
        sequence: u64,
        change: impl FnOnce(&mut LoadReport),
    ) -> Vec<Command> {
        let mut report = LoadReport {
            sequence,
            memory_tokens: 4_000,
            step_ms: 25.0,
            ..LoadReport::default()
        };
        change(&mut report);
        self.handle(Event::Report {
            backend: engine.to_owned(),
            report,
        })
    }

    fn submit(&mut self, request: &str, attempt: u32, delivering: bool) -> Vec<Command> {
        self.handle(Event::Submit(Submission {
            request: request.to_owned(),
            workspace: "w".to_owned(),
            model: "m".to_owned(),
            prompt_tokens: 100,
            // Prompts without common prefixes.
            prefix: request.bytes().map(u64::from).sum(),
            deadline: DEADLINE,
            attempt,
            delivering,
            ..Submission::default()
        }))
    }

    /// Applies a server notice of an engine that asks for a backoff or states that it is draining.
    fn notice(&mut self, engine: &str, is_leaving: bool, backoff: Duration) {
        let notice = ServerNotice {
            is_leaving,
            retry_after: RetryAfter::In(backoff),
            ..ServerNotice::default()
        };
        let backend = engine.to_owned();
        let heard = ObservedNotice {
            notice,
            sent_at: Duration::ZERO,
            reports_limits: false,
        };
        self.handle(Event::NoticeReceived { backend, heard });
    }

    fn lose(&mut self, request: &str) {
        let request = request.to_owned();
        self.handle(Event::AttemptLost {
            request,
            engine_failed: true,
        });
    }
}

fn settings() -> ControlSettings {
    ControlSettings {
        instance: "i".to_owned(),
        incarnation: "1".to_owned(),
        zone: "a".to_owned(),
        policy: RoutingPolicy::Predictive,
        max_queued: 3,
        timeline_records: 100,
        ticket_lifetime: DEADLINE,
        max_tickets: 10,
        seed: 1,
    }
}

/// Returns the engine of the `Start` command, if there is one.
fn started(commands: &[Command]) -> Option<&str> {
    commands.iter().find_map(|command| match command {
        Command::Start { placement, .. } => Some(placement.engine.as_str()),
        _ => None,
    })
}

fn refused(commands: &[Command]) -> Option<RefusalKind> {
    commands.iter().find_map(|command| match command {
        Command::Refuse { refusal, .. } => {
            assert!(refusal.retry_after > Duration::ZERO);
            Some(refusal.kind)
        }
        _ => None,
    })
}

#[test_case(|r: &mut LoadReport| r.leaving = true; "it is draining")]
#[test_case(|r: &mut LoadReport| r.waiting = 1; "sessions wait inside it")]
#[test_case(|r: &mut LoadReport| { r.used_tokens = 3_900; r.running = 20; }; "its memory is nearly full")]
fn no_request_is_placed_on_an_engine_when(change: fn(&mut LoadReport)) {
    let mut scene = Scene::new(2);
    scene.report("e0", 1, change);
    scene.report("e1", 1, |_| {});
    for number in 0..3 {
        let commands = scene.submit(&number.to_string(), 1, false);
        assert_eq!(started(&commands), Some("e1"));
    }
}

#[test]
fn a_request_is_queued_without_room_and_starts_once_there_is_room() {
    let mut scene = Scene::new(1);
    scene.report("e0", 1, |r| r.waiting = 2);
    assert!(scene.submit("r", 1, false).is_empty());
    assert_eq!(scene.control.queued(), 1);
    let commands = scene.report("e0", 2, |_| {});
    assert_eq!(started(&commands), Some("e0"));
}

#[test]
fn a_queued_request_is_refused_when_its_deadline_passes() {
    let mut scene = Scene::new(1);
    scene.report("e0", 1, |r| r.waiting = 2);
    scene.submit("r", 1, false);
    scene.now = DEADLINE;
    let commands = scene.handle(Event::Tick);
    assert_eq!(refused(&commands), Some(RefusalKind::Deadline));
    assert_eq!(scene.control.queued(), 0);
}

#[test]
fn a_full_queue_refuses_new_requests_but_not_started_streams() {
    let mut scene = Scene::new(1);
    scene.report("e0", 1, |r| r.waiting = 2);
    for number in 0..3 {
        assert!(scene.submit(&number.to_string(), 1, false).is_empty());
    }
    assert_eq!(
        refused(&scene.submit("late", 1, false)),
        Some(RefusalKind::QueueFull)
    );
    assert!(scene.submit("moved", 2, true).is_empty());
}

#[test]
fn without_an_engine_a_request_is_refused_and_a_started_stream_is_queued() {
    let mut scene = Scene::new(1);
    scene.handle(Event::BackendFailed {
        backend: "e0".to_owned(),
    });
    assert_eq!(
        refused(&scene.submit("r", 1, false)),
        Some(RefusalKind::NoBackend)
    );
    assert!(scene.submit("moved", 2, true).is_empty());
    scene.now += Duration::from_secs(1);
    assert_eq!(started(&scene.handle(Event::Tick)), Some("e0"));
}

#[test]
fn an_engine_on_probation_gets_one_request_until_it_makes_progress() {
    let mut scene = Scene::new(1);
    scene.handle(Event::BackendFailed {
        backend: "e0".to_owned(),
    });
    scene.now += Duration::from_secs(1);
    assert_eq!(started(&scene.submit("first", 1, false)), Some("e0"));
    assert_eq!(
        refused(&scene.submit("second", 1, false)),
        Some(RefusalKind::NoBackend)
    );
    scene.handle(Event::Progress {
        request: "first".to_owned(),
        generated: 1,
    });
    assert_eq!(started(&scene.submit("third", 1, false)), Some("e0"));
}

/// Engines that fail every request are in backoff, so that few requests are sent to them
/// regardless of the demand.
#[test]
fn failed_engines_receive_few_requests() {
    let mut scene = Scene::new(2);
    let starts = starts_of_failing_requests(&mut scene, false);
    println!("{starts} starts for 1,000 requests to dead engines");
    assert!(starts <= 20, "{starts}");
}

/// Engines that fail every new request while their old streams make progress are not in backoff,
/// so that only the retry budget bounds the load. Streams that have delivered tokens are exempt
/// from the budget and show the load without it.
#[test_case(false, 1_000..=1_111; "with the budget")]
#[test_case(true, 3_000..=3_000; "without")]
fn load_under_engines_that_fail_new_requests(exempt: bool, expected: RangeInclusive<usize>) {
    let mut scene = Scene::new(2);
    let mut with_streams = BTreeSet::new();
    for number in 0..STEADY {
        let commands = scene.submit(&format!("steady-{number}"), 1, false);
        with_streams.insert(started(&commands).unwrap().to_owned());
    }
    assert_eq!(with_streams.len(), 2);
    let starts = starts_of_failing_requests(&mut scene, exempt);
    println!("{starts} starts for 1,000 requests, exempt from the budget: {exempt}");
    assert!(expected.contains(&starts), "{starts}");
}

/// Submits 1,000 requests in one second, each with up to three attempts, and returns the number of
/// starts.
fn starts_of_failing_requests(scene: &mut Scene, exempt: bool) -> usize {
    let mut starts = 0;
    for number in 0..1_000 {
        scene.now = NOW + Duration::from_millis(number);
        let request = number.to_string();
        for attempt in 1..=3 {
            for number in 0..STEADY {
                let request = format!("steady-{number}");
                scene.handle(Event::Progress {
                    request,
                    generated: 1,
                });
            }
            if started(&scene.submit(&request, attempt, exempt && attempt > 1)).is_none() {
                break;
            }
            starts += 1;
            scene.lose(&request);
        }
        let workspace = "w".to_owned();
        scene.handle(Event::Closed { request, workspace });
    }
    starts
}

#[test]
fn one_trial_request_is_sent_to_an_engine_after_its_backoff() {
    let mut scene = Scene::new(1);
    scene.report("e0", 1, |_| {});
    scene.notice("e0", false, Duration::from_secs(2));
    assert_eq!(
        refused(&scene.submit("r1", 1, false)),
        Some(RefusalKind::Resting)
    );
    assert!(
        scene.control.watched(scene.now).is_empty(),
        "it is not polled for reports either"
    );
    scene.now += Duration::from_secs(2);
    assert_eq!(started(&scene.submit("r2", 1, false)), Some("e0"));
    assert_eq!(started(&scene.submit("r3", 1, false)), None);
    scene.handle(Event::Progress {
        request: "r2".to_owned(),
        generated: 1,
    });
    assert_eq!(started(&scene.submit("r4", 1, false)), Some("e0"));
}

#[test]
fn notices_of_the_previous_incarnation_of_an_engine_do_not_apply() {
    let mut scene = Scene::new(1);
    scene.report("e0", 7, |_| {});
    scene.notice("e0", true, Duration::from_secs(60));
    assert_eq!(started(&scene.submit("r1", 1, false)), None);
    scene.report("e0", 1, |_| {});
    assert_eq!(started(&scene.submit("r2", 1, false)), Some("e0"));
}

/// The backoff of all engines ends after the deadline of the request.
#[test]
fn queued_requests_are_refused_when_all_engines_back_off_past_their_deadline() {
    let mut scene = Scene::new(1);
    scene.report("e0", 1, |r| r.waiting = 2);
    assert!(scene.submit("waits", 1, false).is_empty());
    scene.notice("e0", false, Duration::from_secs(4));
    assert_eq!(
        refused(&scene.handle(Event::Tick)),
        None,
        "the backoff ends before the deadline"
    );
    scene.notice("e0", false, Duration::from_secs(60));
    let commands = scene.handle(Event::Tick);
    assert_eq!(refused(&commands), Some(RefusalKind::Resting));
}
