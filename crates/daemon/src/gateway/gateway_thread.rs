//! The control thread, which owns the state of the gateway's decisions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use iristhread_core::GatewayControl;
use iristhread_core::Now;
use iristhread_core::RequestId;
use iristhread_core::RouteTable;
use iristhread_core::SendRestrictions;
use iristhread_core::SessionSignal;
use iristhread_core::ZoneEvacuations;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::detour::known_servers::KnownServers;
use crate::gateway::gateway_message::GatewayMessage;
use crate::gateway::gateway_message::Resend;
use crate::gateway::gateway_metrics::GatewayMetrics;
use crate::process::clock::Clock;
use crate::process::clock::SuspensionDetector;
use crate::process::control_sender::ControlInbox;

mod admission;
mod decision_log;
mod limits;
mod move_room;
mod refusals;
mod server_events;
mod server_view;
mod sessions;
mod speeds;
mod start;
mod state_snapshots;
pub(crate) mod waiting;

pub use start::GatewayHandle;
pub use start::start;

use admission::WAITING_CHECK;
use admission::may_end_wait;
use server_view::ServersVersion;
use waiting::WaitingReplies;

/// Time between two ticks. Expired entries and silent peers are detected with at most this
/// delay, which is short against their bounds of several seconds.
const TICK: Duration = Duration::from_millis(200);

struct GatewayThread {
    control: GatewayControl,
    signals: HashMap<RequestId, mpsc::UnboundedSender<SessionSignal>>,
    waiting: WaitingReplies,
    /// When the waiting requests were last checked.
    waiting_checked_at: Now,
    clock: Clock,
    log: Logger,
    table: watch::Sender<Option<Arc<RouteTable>>>,
    list_known: watch::Sender<bool>,
    servers: watch::Sender<Arc<KnownServers>>,
    /// Version of the list whose servers were published last.
    servers_version: ServersVersion,
    evacuations: watch::Sender<ZoneEvacuations>,
    restrictions: watch::Sender<Arc<SendRestrictions>>,
    /// Version of the send restrictions that were published last.
    restrictions_version: u64,
    /// When the limits in force were last added to the metrics.
    limits_counted_at: Now,
    metrics: Arc<GatewayMetrics>,
    immediate_heartbeat: Arc<Notify>,
    /// Notified when a run was left whose server is to be probed.
    run_left: Arc<Notify>,
    suspensions: SuspensionDetector,
}

impl GatewayThread {
    async fn run(mut self, mut inbox: ControlInbox<GatewayMessage>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut waiting_checks = tokio::time::interval(WAITING_CHECK);
        waiting_checks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => {
                        let may_end_wait = may_end_wait(&message);
                        self.take(message);
                        self.publish_suspicion_updates();
                        self.signal_orphaned();
                        self.publish_servers();
                        self.publish_send_restrictions();
                        if may_end_wait {
                            self.check_waiting_after_message();
                        }
                    }
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
                _ = waiting_checks.tick(), if !self.waiting.is_empty() => self.check_waiting(),
            }
        }
    }

    /// Handles one message. A reply that can't be delivered is ignored: its task may have ended.
    fn take(&mut self, message: GatewayMessage) {
        let now = self.clock.now();
        match message {
            GatewayMessage::Place {
                ask,
                signals,
                reply,
            } => self.place(ask, signals, reply),
            GatewayMessage::Stopping => self.stop_waiting(),
            GatewayMessage::Moved { request, replica } => {
                self.control.moved(now, &request, replica);
            }
            GatewayMessage::Resend {
                request,
                service,
                spends_budget,
                reply,
            } => {
                let _ = reply.send(self.grant_resend(&request, &service, spends_budget));
            }
            GatewayMessage::RunBroken { request, replica } => {
                self.run_broken(&request, &replica);
            }
            GatewayMessage::AttemptLeft { request, replica } => {
                self.attempt_left(&request, &replica);
            }
            GatewayMessage::ServerCrashed { replica } => {
                self.control.server_ended(now, &replica);
            }
            GatewayMessage::ServerAccepted { replica, at } => {
                self.control.server_accepted(&replica, at);
            }
            GatewayMessage::LeftRunProbes { reply } => {
                let _ = reply.send(self.control.left_run_probes(now));
            }
            GatewayMessage::SuspectsReceived { suspects } => {
                self.control.apply_peer_suspects(now, &suspects);
            }
            GatewayMessage::Progress { request, generated } => {
                if self.control.progress(now, &request, generated) {
                    // The prompt no longer waits at the engine: other instances may choose the
                    // engine again.
                    self.immediate_heartbeat.notify_one();
                }
            }
            GatewayMessage::Interrupted { request } => self.control.interrupted(&request),
            GatewayMessage::FailOver { request, reply } => {
                let _ = reply.send(self.control.fail_over(now, &request));
            }
            GatewayMessage::PlaceAgain {
                request,
                tried,
                reply,
            } => {
                let _ = reply.send(self.place_again(&request, &tried));
            }
            GatewayMessage::RestartStream { request, reply } => {
                let _ = reply.send(self.restart_stream(&request));
            }
            GatewayMessage::FailOverTo {
                request,
                replica,
                reply,
            } => {
                let _ = reply.send(self.control.fail_over_to(now, &request, replica));
            }
            GatewayMessage::MoveFailed(failed) => self.move_failed(failed),
            GatewayMessage::MoveDelayed { request } => self.control.move_delayed(&request),
            GatewayMessage::EngineChecks { reply } => {
                let _ = reply.send(self.control.engine_checks(now));
            }
            GatewayMessage::Leaves { replica, source } => {
                self.apply_leaving(&replica, source);
            }
            GatewayMessage::NoticeReceived { replica, notice } => self.observe(&replica, &notice),
            GatewayMessage::MaySend {
                replica,
                request,
                reply,
            } => {
                let _ = reply.send(self.may_send(&replica, &request));
            }
            GatewayMessage::LimitsReceived { limits, source } => {
                self.limits_received(limits, &source)
            }
            GatewayMessage::RefusalsReceived { refused, is_remote } => {
                self.control.apply_peer_refusals(now, &refused, is_remote);
            }
            GatewayMessage::RejectedForRoom { replica } => self.rejected_for_room(&replica),
            GatewayMessage::AddressReused { replica } => self.address_reused(&replica),
            GatewayMessage::CallerRetryAfter {
                ask,
                otherwise,
                reply,
            } => {
                let _ = reply.send(self.caller_retry_after(&ask, otherwise));
            }
            GatewayMessage::Unreachable { replica } => self.unreachable(&replica),
            GatewayMessage::NotConnected { replica } => {
                if self.is_current(&replica) {
                    self.refused_connection(&replica.id);
                    self.control.failed(now, &replica.id);
                }
            }
            GatewayMessage::UnreachableReceived { replica } => {
                if self.is_current(&replica) {
                    self.control.apply_peer_unreachable(now, &replica.id);
                }
            }
            GatewayMessage::ServiceCutOff { service } => self.control.service_cut_off(&service),
            GatewayMessage::Failed { replica } => self.failed(&replica),
            GatewayMessage::FailoverFailed { request, replica } => {
                self.control.failover_failed(&request, replica);
            }
            GatewayMessage::Ended { request, end } => self.ended(&request, end),
            GatewayMessage::Config { config, source } => self.config(config, &source),
            GatewayMessage::Evacuations { news, source } => self.evacuations(news, &source),
            GatewayMessage::Replicas {
                revision,
                listing,
                source,
            } => {
                info!(self.log, "list of backend servers read";
                    "revision" => %revision, "count" => listing.replicas.len(),
                    "unusable" => listing.unusable.len(), "source" => &source);
                let before = self.control.list().revision();
                let control = &mut self.control;
                let mut evacuations = control.offer_replicas(now, revision, listing.replicas);
                evacuations.extend(control.mark_unusable(now, listing.unusable));
                self.log_era_change(before, &source);
                self.list_applied(evacuations);
            }
            GatewayMessage::PeerList { list, source } => {
                let before = self.control.list().revision();
                info!(self.log, "list of backend servers fetched";
                    "revision" => %list.revision, "above" => %list.above,
                    "count" => list.replicas.len(), "removed" => list.removed.len(),
                    "unusable" => list.unusable.len(),
                    "outage_ended_ms" => list.outage_ended_ms, "source" => &source);
                let evacuations = self.control.apply_peer_list(now, list);
                self.log_era_change(before, &source);
                self.list_applied(evacuations);
            }
            GatewayMessage::ListUpdate { news, source } => {
                self.apply_list_update(news, &source);
            }
            GatewayMessage::Parameters { parameters } => self.control.set_terms(*parameters),
            GatewayMessage::ListStale { is_lost } => self.set_list_stale(is_lost),
            GatewayMessage::OutageEnded => self.control.outage_ended(now),
            GatewayMessage::PeerMessageReceived { told } => self.control.apply_peer_load(now, told),
            GatewayMessage::TotalsReceived { totals } => {
                self.control.apply_peer_totals(now, totals);
            }
            GatewayMessage::OwnState { audience, reply } => {
                let _ = reply.send(self.own_state(audience));
            }
            GatewayMessage::KnownState { list_above, reply } => {
                let _ = reply.send(self.known_state(list_above));
            }
        }
    }

    fn grant_resend(&mut self, request: &str, service: &str, spends_budget: bool) -> Resend {
        if !self.control.may_retry(self.clock.now(), request) {
            return Resend::Quarantined;
        }
        match !spends_budget || self.control.spend_retry(service) {
            true => Resend::Granted,
            false => Resend::BudgetSpent,
        }
    }

    fn tick(&mut self) {
        self.check_suspension();
        let outcome = self.control.tick(self.clock.now());
        for instance in outcome.silent {
            warn!(self.log, "peer fell silent"; "peer" => instance);
        }
        self.evacuate(outcome.evacuations);
        self.publish_servers();
        self.publish_evacuations(&outcome.ended_evacuations, "no operator has renewed it");
        self.publish_send_restrictions();
        self.set_gauges();
        self.report_speeds();
        self.grow_brittle();
        self.count_limits();
        self.check_waiting();
    }
}
