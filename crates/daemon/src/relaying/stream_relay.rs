//! Relays one event stream, and fails it over to another engine when its engine drains, loses the
//! connection or falls silent.

use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::body::Incoming;
use iristhread_core::BackendId;
use iristhread_core::EventOrder;
use iristhread_core::Now;
use iristhread_core::Replica;
use iristhread_core::RunEnd;
use iristhread_core::SessionSignal;
use slog::info;
use tokio::sync::mpsc;
use tokio::time::sleep_until;
use tokio_stream::wrappers::ReceiverStream;

use crate::detour::reach::Reach;
use crate::engines::session_move::SessionMove;
use crate::engines::session_mover::MoveError;
use crate::engines::session_mover::MoveOrder;
use crate::gateway::gateway_message::GatewayMessage;
use crate::process::memory::MemoryClaim;
use crate::relaying::caller_answer::StreamBroken;
use crate::relaying::event_splitter::EventSplitter;
use crate::relaying::exchange::Exchange;
use crate::relaying::run_guard::RunGuard;
use crate::relaying::send_outcome::BackendAnswer;
use crate::relaying::session_signals::SessionSignals;

mod delivery;
mod failover;
mod resume;
mod unframed_end;

/// Frames buffered for a slow caller; beyond that, back pressure reaches the engine.
const CALLER_QUEUE_LEN: usize = 32;

/// Events between two progress messages to the gateway thread.
const PROGRESS_EVERY: u32 = 16;

/// Silence after which an engine is checked for reachability: several times the longest gap
/// between events that still counts as in time.
const SILENCE_BEFORE_CHECK: Duration = Duration::from_millis(600);

type Piece = Result<Frame<Bytes>, StreamBroken>;

/// The result of one step of the relay loop.
enum Step {
    Continue,
    Completed,
    Broken(&'static str),
    /// The engine can't be reached from any instance.
    Unreachable,
    /// The connection is lost, and the engine may still run the session.
    CutOff,
    Moved(Result<String, MoveError>),
    CallerDisconnected,
    DeadlineExceeded,
    Withdrawn,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Completed,
    Lost,
    CallerDisconnected,
    DeadlineExceeded,
    Withdrawn,
}

impl End {
    fn as_str(self) -> &'static str {
        match self {
            End::Completed => "whole",
            End::Lost => "lost",
            End::CallerDisconnected => "caller_gone",
            End::DeadlineExceeded => "time_over",
            End::Withdrawn => "withdrawn",
        }
    }
}

/// A running relay of one event stream.
pub struct StreamRelay {
    exchange: Exchange,
    guard: RunGuard,
    replica: Replica,
    /// `None` while the previous engine is abandoned and no other has been found.
    body: Option<Incoming>,
    /// Whether the answer of the engine has neither a length nor chunks.
    ends_with_connection: bool,
    signals: SessionSignals,
    to_caller: mpsc::Sender<Piece>,
    splitter: EventSplitter,
    /// Events that are counted and not handed over to the caller yet.
    undelivered: Vec<Bytes>,
    /// Allows an incomplete event that is longer than usual ones.
    long_event: Option<MemoryClaim>,
    /// Allows the buffers of the engine's connection to be full.
    full_buffers: Option<MemoryClaim>,
    order: EventOrder,
    events: u32,
    /// Events received from the current engine.
    engine_events: u32,
    tokens_per_event: u32,
    /// Start of the current silence: the last delivery, check of the engine or resumption.
    silent_since: Now,
    last_event_at: Now,
    /// Time until the first event, `None` before it.
    time_to_first_event: Option<Duration>,
    longest_gap: Duration,
    /// Number of times that the stream was resumed, at any engine.
    resumptions: u32,
    /// Number of runs placed without a copy: the first one and restarts.
    fresh_runs: u32,
    moving: Option<SessionMove>,
    /// Whether an order that got no answer may have stopped the session at its engine.
    may_be_stopped: bool,
    /// Engines that did not accept the session when it was moved; cleared when it resumes at
    /// another engine.
    tried: Vec<BackendId>,
    /// Whether the engine is reported to have restarted since the session was sent there.
    engine_restarted: bool,
    /// Whether the stream is waiting for an unreachable engine, which is logged once.
    is_waiting_for_engine: bool,
    /// Whether the stream has waited for something other than the speed of its engine since the
    /// last progress report.
    is_interrupted: bool,
}

impl StreamRelay {
    /// Returns a relay of a started stream, and the frames for its caller.
    pub fn new(
        exchange: Exchange,
        guard: RunGuard,
        replica: Replica,
        answer: BackendAnswer,
        signals: SessionSignals,
    ) -> (Self, impl Stream<Item = Piece> + Send + 'static) {
        let (to_caller, pieces) = mpsc::channel(CALLER_QUEUE_LEN);
        let relay = StreamRelay {
            tokens_per_event: exchange.app.tokens_per_event(&exchange.service),
            order: EventOrder::after(exchange.after_event),
            silent_since: exchange.app.clock.now(),
            exchange,
            guard,
            replica,
            ends_with_connection: answer.ends_with_connection(),
            body: Some(answer.body),
            signals,
            to_caller,
            splitter: EventSplitter::default(),
            undelivered: Vec::new(),
            long_event: None,
            full_buffers: None,
            events: 0,
            engine_events: 0,
            last_event_at: Now::ZERO,
            time_to_first_event: None,
            longest_gap: Duration::ZERO,
            resumptions: 0,
            fresh_runs: 1,
            moving: None,
            may_be_stopped: false,
            tried: Vec::new(),
            engine_restarted: false,
            is_waiting_for_engine: false,
            is_interrupted: false,
        };
        (relay, ReceiverStream::new(pieces))
    }

    /// Relays until the stream ends.
    pub async fn run(mut self) {
        loop {
            let end = match self.step().await {
                Step::Continue => None,
                Step::Completed => Some(End::Completed),
                Step::Broken(cause) => self.handle_broken_stream(cause).await,
                Step::Unreachable => self.handle_unreachable().await,
                Step::CutOff => self.handle_cut_off().await,
                Step::Moved(outcome) => self.handle_move_result(outcome).await,
                Step::CallerDisconnected => Some(End::CallerDisconnected),
                Step::DeadlineExceeded => Some(End::DeadlineExceeded),
                Step::Withdrawn => Some(End::Withdrawn),
            };
            if let Some(end) = end {
                return self.end(end).await;
            }
        }
    }

    async fn step(&mut self) -> Step {
        if !self.undelivered.is_empty() {
            return self.deliver().await;
        }
        let clock = self.exchange.app.clock;
        let deadline = clock.instant(self.exchange.answer_deadline);
        let silent_at = clock.instant(self.silent_since + SILENCE_BEFORE_CHECK);
        let frame = tokio::select! {
            biased;
            () = self.to_caller.closed() => return Step::CallerDisconnected,
            () = sleep_until(deadline) => return Step::DeadlineExceeded,
            moved = move_finished(&mut self.moving) => return Step::Moved(moved),
            Some(signal) = self.signals.next() => return self.handle_signal(signal),
            frame = next_frame(&mut self.body) => frame,
            () = sleep_until(silent_at) => return self.check_engine().await,
        };
        match frame {
            Some(Ok(frame)) => self.take(frame).await,
            Some(Err(_)) => Step::Broken("the connection was lost"),
            None if self.splitter.pending() > 0 => Step::Broken("the last event is incomplete"),
            None if self.ends_with_connection => self.check_unframed_end().await,
            None => Step::Completed,
        }
    }

    fn record_delivery(&mut self, now: Now, events_before: u32) {
        self.silent_since = now;
        self.is_waiting_for_engine = false;
        // An engine that continues the session has not lost it: the replica list was late.
        self.engine_restarted = false;
        if events_before == 0 {
            let took = now - self.exchange.arrived;
            self.time_to_first_event = Some(took);
            self.exchange.app.metrics.first_event(took);
        } else {
            self.longest_gap = self.longest_gap.max(now - self.last_event_at);
        }
        self.last_event_at = now;
    }

    fn report_progress(&mut self) {
        self.is_interrupted = false;
        self.exchange.app.control.tell(GatewayMessage::Progress {
            request: self.exchange.head.request.clone(),
            generated: self.events * self.tokens_per_event,
        });
    }

    /// Reports that the time until the next progress says nothing of the speed of the engine: it was
    /// silent, or the caller reads slowly.
    fn report_interruption(&mut self) {
        if std::mem::replace(&mut self.is_interrupted, true) {
            return;
        }
        self.exchange.app.control.tell(GatewayMessage::Interrupted {
            request: self.exchange.head.request.clone(),
        });
    }

    /// Checks whether a silent engine is reachable. It may be gone, or it may have preempted the
    /// session and will continue it later.
    async fn check_engine(&mut self) -> Step {
        self.silent_since = self.exchange.app.clock.now();
        self.report_interruption();
        if self.engine_restarted {
            return Step::Broken("the engine has restarted");
        }
        match self.exchange.app.dialer.reach(self.replica.address).await {
            Reach::Accepts => Step::Continue,
            Reach::OnlyByPeer => Step::CutOff,
            // No other engine can be reached, either.
            Reach::RefusesHere | Reach::Unknown => Step::Continue,
            Reach::Refuses | Reach::Silent => Step::Unreachable,
        }
    }

    fn handle_signal(&mut self, signal: SessionSignal) -> Step {
        match signal {
            SessionSignal::MoveTo(target) if self.moving.is_none() => self.move_to(target),
            SessionSignal::EngineRestarted => self.engine_restarted = true,
            SessionSignal::Withdraw if self.events == 0 => return Step::Withdrawn,
            SessionSignal::MoveTo(_) | SessionSignal::Withdraw => {}
        }
        Step::Continue
    }

    fn move_to(&mut self, target: Replica) {
        if !self.exchange.body.keep() {
            self.log_given_up_body();
            let request = self.exchange.head.request.clone();
            let message = GatewayMessage::MoveDelayed { request };
            return self.exchange.app.control.tell(message);
        }
        let order = MoveOrder {
            source: self.replica.clone(),
            request: self.exchange.head.request.clone(),
            target: target.address,
            stop_first: false,
        };
        let mover = self.exchange.app.mover.clone();
        self.moving = Some(SessionMove::start(mover, order, target));
    }

    async fn end(mut self, end: End) {
        let app = self.exchange.app.clone();
        app.metrics.stream_ended(end.as_str(), self.longest_gap);
        self.guard.set_end(match end {
            End::Completed => RunEnd::Answered,
            End::Lost => RunEnd::Failed,
            End::CallerDisconnected | End::DeadlineExceeded | End::Withdrawn => RunEnd::Withdrawn,
        });
        info!(app.log, "stream ended";
            "request" => &self.exchange.head.request,
            "route" => &self.exchange.route.name,
            "end" => end.as_str(),
            "backend_server" => &self.replica.id,
            "events" => self.events,
            "carried" => self.resumptions,
            "first_event_ms" => self.time_to_first_event.map(|took| took.as_millis() as u64),
            "longest_gap_ms" => self.longest_gap.as_millis() as u64,
            "took_ms" => (app.clock.now() - self.exchange.arrived).as_millis() as u64);
        // Frees the engine at once, also when the caller no longer reads.
        let StreamRelay {
            to_caller,
            body,
            guard,
            moving,
            ..
        } = self;
        drop((body, guard, moving));
        if end != End::Completed {
            // Makes the HTTP server abort the connection, unless the caller has closed it.
            let _ = to_caller.send(Err(StreamBroken)).await;
        }
    }
}

/// Returns the next frame from the engine; never completes while there is no engine.
async fn next_frame(body: &mut Option<Incoming>) -> Option<Result<Frame<Bytes>, hyper::Error>> {
    match body {
        None => std::future::pending().await,
        Some(body) => body.frame().await,
    }
}

/// Returns the result of the pending move; never completes while there is none.
async fn move_finished(moving: &mut Option<SessionMove>) -> Result<String, MoveError> {
    match moving {
        None => std::future::pending().await,
        Some(moving) => moving.finished().await,
    }
}
