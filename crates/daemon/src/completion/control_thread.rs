//! The single thread that owns the state of all decisions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use iristhread_core::Command;
use iristhread_core::Control;
use iristhread_core::ControlSettings;
use iristhread_core::Event;
use iristhread_core::InstanceId;
use iristhread_core::Now;
use iristhread_core::RequestId;
use iristhread_core::SuspectedRequest;
use iristhread_core::TimelineEvent;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::completion::config_view::ConfigView;
use crate::completion::control_message::BackendSnapshot;
use crate::completion::control_message::ControlMessage;
use crate::completion::control_message::Decision;
use crate::completion::control_message::InstanceSnapshot;
use crate::completion::control_message::Snapshot;
use crate::completion::control_message::Versions;
use crate::engines::suspicion_log::log_suspicion;
use crate::process::clock::Clock;
use crate::process::control_sender::ControlInbox;
use crate::process::control_sender::ControlSender;
use crate::process::thread_lag::LatenessObserver;
use crate::process::thread_lag::ThreadLag;

/// Time between two [`Event::Tick`]s.
const TICK: Duration = Duration::from_millis(50);

/// A peer to exchange versions with, and its address.
pub type ExchangeTarget = (InstanceId, SocketAddr);

/// Channels on which the control thread publishes to the traffic threads.
pub struct ControlOutputs {
    /// The configuration in force.
    pub view: watch::Receiver<Arc<ConfigView>>,
    /// Whether this instance reads the platform.
    pub reads_platform: watch::Receiver<bool>,
    /// Peers to exchange versions with, when an exchange is due.
    pub exchanges: mpsc::UnboundedReceiver<ExchangeTarget>,
}

/// Sends messages to the control thread. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    sender: ControlSender<ControlMessage>,
}

impl ControlHandle {
    /// Starts the control thread.
    ///
    /// # Errors
    ///
    /// If the runtime or the thread can't be created.
    pub fn start(
        settings: ControlSettings,
        clock: Clock,
        observer: LatenessObserver,
        log: Logger,
    ) -> std::io::Result<(ControlHandle, ControlOutputs)> {
        let lag = ThreadLag::new("control", clock, observer, log.clone());
        let (sender, inbox) = ControlSender::new(clock, lag);
        let (view, view_out) = watch::channel(Arc::new(ConfigView::default()));
        let (reads, reads_out) = watch::channel(false);
        let (exchanges, exchanges_out) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()?;
        let thread = ControlThread {
            control: Control::new(settings),
            clock,
            log,
            pending_decisions: HashMap::new(),
            view,
            reads,
            exchanges,
        };
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || runtime.block_on(thread.run(inbox)))?;
        let outputs = ControlOutputs {
            view: view_out,
            reads_platform: reads_out,
            exchanges: exchanges_out,
        };
        Ok((ControlHandle { sender }, outputs))
    }

    /// Returns how long messages wait for the thread.
    pub fn lateness(&self) -> Duration {
        self.sender.lateness()
    }

    /// Sends an event; does not wait for it to be handled.
    pub fn tell(&self, event: Event) {
        self.sender.tell(ControlMessage::Event(event));
    }

    /// Adds an event of a request to the timeline.
    pub fn note(&self, request: &str, event: TimelineEvent) {
        self.tell(Event::Note {
            request: Some(request.to_owned()),
            event,
        });
    }

    /// Sends a message and waits for its reply; returns `None` if the process is stopping.
    pub async fn ask<Answer>(
        &self,
        message: impl FnOnce(oneshot::Sender<Answer>) -> ControlMessage,
    ) -> Option<Answer> {
        self.sender.ask(message).await
    }
}

struct ControlThread {
    control: Control,
    clock: Clock,
    log: Logger,
    pending_decisions: HashMap<RequestId, oneshot::Sender<Decision>>,
    view: watch::Sender<Arc<ConfigView>>,
    reads: watch::Sender<bool>,
    exchanges: mpsc::UnboundedSender<ExchangeTarget>,
}

impl ControlThread {
    async fn run(mut self, mut inbox: ControlInbox<ControlMessage>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                _ = ticks.tick() => self.decide(Event::Tick),
            }
        }
    }

    fn handle_message(&mut self, message: ControlMessage) {
        let now = self.clock.now();
        // A failed send of a reply is ignored: the receiver no longer waits for it.
        match message {
            ControlMessage::Event(event) => {
                if let Event::Closed { request, .. } = &event {
                    self.pending_decisions.remove(request);
                }
                self.decide(event);
            }
            ControlMessage::Submit { submission, reply } => {
                self.pending_decisions
                    .insert(submission.request.clone(), reply);
                self.decide(Event::Submit(submission));
            }
            ControlMessage::IssueTicket {
                number,
                service,
                reply,
            } => {
                let _ = reply.send(self.control.issue_ticket(now, number, &service));
            }
            ControlMessage::SpendTicket { ticket, reply } => {
                let _ = reply.send(self.control.spend_ticket(now, &ticket));
            }
            ControlMessage::OpenCall {
                request,
                workspace,
                fingerprint,
                reply,
            } => {
                let opened = self
                    .control
                    .open_call(now, request, &workspace, fingerprint);
                let _ = reply.send(opened);
            }
            ControlMessage::CheckQuarantine {
                request,
                fingerprint,
                reply,
            } => {
                // Only calls ask for it, which have no prompt.
                let suspected = SuspectedRequest::without_parts(fingerprint);
                let may = self.control.check_quarantine(now, &request, suspected);
                let _ = reply.send(may);
            }
            ControlMessage::MayCall {
                backend,
                request,
                reply,
            } => {
                let _ = reply.send(self.control.may_call(now, &backend, &request));
            }
            ControlMessage::MayReach { backend, reply } => {
                let _ = reply.send(self.control.may_reach(now, &backend));
            }
            ControlMessage::TimeUntilRunner { service, reply } => {
                let _ = reply.send(self.control.time_until_runner(now, &service));
            }
            ControlMessage::Runners { service, reply } => {
                let _ = reply.send(self.control.runners(now, &service));
            }
            ControlMessage::Timeline {
                after,
                request,
                reply,
            } => {
                let _ = reply.send(self.control.timeline(after, request.as_deref()));
            }
            ControlMessage::Versions { reply } => {
                let _ = reply.send(self.versions(now));
            }
            ControlMessage::Watched { reply } => {
                let _ = reply.send(self.control.watched(now));
            }
            ControlMessage::InstanceList { reply } => {
                let entries = self.control.instance_list().entries();
                let _ = reply.send(entries.cloned().collect());
            }
            ControlMessage::Snapshot { reply } => {
                let _ = reply.send(self.snapshot(now));
            }
        }
    }

    fn decide(&mut self, event: Event) {
        self.log_event(&event);
        let commands = self
            .control
            .handle(self.clock.now(), self.clock.wall_ms(), event);
        for command in commands {
            self.execute(command);
        }
        for update in self.control.suspicion_updates() {
            log_suspicion(&self.log, self.clock.now(), &update);
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Start { request, placement } => self.answer(&request, Ok(placement)),
            Command::Refuse { request, refusal } => {
                info!(self.log, "refused"; "request" => &request, "kind" => ?refusal.kind);
                self.answer(&request, Err(refusal));
            }
            Command::ConfigInForce { version } => self.publish(version),
            Command::ExchangeWith { instance, address } => {
                // Fails only if the process is stopping.
                let _ = self.exchanges.send((instance, address));
            }
            Command::ReadPlatform { reads } => {
                info!(self.log, "platform reader role changed"; "reads" => reads);
                self.reads.send_replace(reads);
            }
        }
    }

    fn answer(&mut self, request: &RequestId, decision: Decision) {
        let Some(reply) = self.pending_decisions.remove(request) else {
            return;
        };
        if reply.send(decision).is_err() {
            // The caller disconnected while it waited: release the placement.
            self.decide(Event::AttemptLost {
                request: request.clone(),
                engine_failed: false,
            });
        }
    }

    fn publish(&self, version: u64) {
        info!(self.log, "configuration in force"; "version" => version);
        if let Some(offer) = self.control.config().in_force() {
            let view = ConfigView::new(version, offer.document.clone());
            self.view.send_replace(Arc::new(view));
        }
    }

    fn log_event(&self, event: &Event) {
        match event {
            Event::BackendFailed { backend } => {
                warn!(self.log, "backend server failed"; "backend_server" => backend);
            }
            Event::ConfigUnreadable { version, reason } => {
                warn!(self.log, "configuration can't be parsed";
                    "version" => version, "reason" => reason);
            }
            _ => {}
        }
    }

    fn versions(&mut self, now: Now) -> Versions {
        let time = self.control.stamp(self.clock.wall_ms());
        let config = self.control.config();
        let age = config.confirmed_at().map(|at| now.saturating_sub(at));
        Versions {
            config_version: config.version(),
            document: config.in_force().map(|offer| offer.document.clone()),
            config_age_ms: age.map(millis),
            roster_version: self.control.instance_list().version(),
            queued: self.control.queued(),
            running: self.control.running(),
            suspects: self.control.known_suspects(now),
            time,
        }
    }

    fn snapshot(&mut self, now: Now) -> Snapshot {
        let versions = self.versions(now);
        let workspaces = versions.document.iter().flat_map(|d| &d.workspaces);
        let open = |name: &String| (name.clone(), self.control.open_requests(name));
        Snapshot {
            refused: self.control.config().refused().cloned(),
            instances: self.instances(now),
            backends: self.backends(now),
            open_requests: workspaces.map(|w| open(&w.name)).collect(),
            versions,
        }
    }

    fn instances(&self, now: Now) -> Vec<InstanceSnapshot> {
        let instance_list = self.control.instance_list();
        let line = |entry: &iristhread_core::InstanceEntry| InstanceSnapshot {
            silence_ms: instance_list.silence(now, &entry.instance).map(millis),
            last_said: instance_list
                .last_said(&entry.instance)
                .map(|(incarnation, version)| (incarnation.clone(), version)),
            entry: entry.clone(),
        };
        instance_list.entries().map(line).collect()
    }

    fn backends(&self, now: Now) -> Vec<BackendSnapshot> {
        let views = self.control.backends().views();
        let line = |(name, view): (&String, &iristhread_core::BackendView)| BackendSnapshot {
            name: name.clone(),
            report: view.last_report().cloned(),
            ruled_out: view.why_ruled_out(now).map(str::to_owned),
            own_requests: view.own_requests(),
        };
        views.map(line).collect()
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
