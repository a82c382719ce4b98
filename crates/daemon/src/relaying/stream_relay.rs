//! Relays one event stream, and carries it to another engine when the one that
//! runs it leaves, breaks off or falls silent.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures::Stream;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::body::Incoming;
use iristhread_core::BackendId;
use iristhread_core::EventOrder;
use iristhread_core::EventVerdict;
use iristhread_core::Now;
use iristhread_core::Replica;
use iristhread_core::RunEnd;
use iristhread_core::SessionSignal;
use slog::info;
use tokio::sync::mpsc;
use tokio::time::sleep_until;
use tokio_stream::wrappers::ReceiverStream;

use crate::engines::engine_watch::Reach;
use crate::engines::engine_watch::probe_reach;
use crate::engines::session_move::SessionMove;
use crate::engines::session_mover::MoveError;
use crate::engines::session_mover::MoveOrder;
use crate::gateway::gateway_message::GatewayMessage;
use crate::relaying::event_splitter::EventSplitter;
use crate::relaying::exchange::Exchange;
use crate::relaying::exchange::RunGuard;
use crate::relaying::front_answer::StreamBroken;

mod carrying;
mod resuming;

/// Pieces that wait for a caller that reads slowly; the engine waits beyond.
const QUEUED_PIECES: usize = 32;

/// Events between two progress messages to the decisions.
const PROGRESS_EVERY: u32 = 16;

/// Silence after which an engine is looked at: several times the pause in
/// which an answer is still in time.
const SILENCE: Duration = Duration::from_millis(600);

type Piece = Result<Frame<Bytes>, StreamBroken>;

/// What a look at the stream led to.
enum Step {
    Continue,
    Whole,
    Broken(&'static str),
    Unreachable,
    Moved(Result<String, MoveError>),
    CallerGone,
    TimeOver,
    Withdrawn,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Whole,
    Lost,
    CallerGone,
    TimeOver,
    Withdrawn,
}

impl End {
    fn as_str(self) -> &'static str {
        match self {
            End::Whole => "whole",
            End::Lost => "lost",
            End::CallerGone => "caller_gone",
            End::TimeOver => "time_over",
            End::Withdrawn => "withdrawn",
        }
    }
}

/// One event stream under way.
pub struct StreamRelay {
    exchange: Exchange,
    guard: RunGuard,
    replica: Replica,
    /// `None` while the engine that ran it is given up and another not found.
    body: Option<Incoming>,
    signals: mpsc::UnboundedReceiver<SessionSignal>,
    to_caller: mpsc::Sender<Piece>,
    splitter: EventSplitter,
    order: EventOrder,
    events: u32,
    /// Events that came from this engine.
    events_here: u32,
    tokens_per_event: u32,
    heard_at: Now,
    last_event_at: Now,
    /// Time until the first event, `None` before it.
    first_event_took: Option<Duration>,
    longest_gap: Duration,
    carried: u32,
    /// Engines that began to run it, not from a copy.
    begun: u32,
    moving: Option<SessionMove>,
    tried: Vec<BackendId>,
    /// Whether the engine is said to have started anew since it was sent there.
    engine_begun_anew: bool,
    /// Whether it was said that the engine is waited for.
    waits_for_engine: bool,
}

impl StreamRelay {
    /// A relay of a stream that has begun, and what its caller gets.
    pub fn new(
        exchange: Exchange,
        guard: RunGuard,
        replica: Replica,
        body: Incoming,
        signals: mpsc::UnboundedReceiver<SessionSignal>,
    ) -> (Self, impl Stream<Item = Piece> + Send + 'static) {
        let (to_caller, pieces) = mpsc::channel(QUEUED_PIECES);
        let relay = StreamRelay {
            tokens_per_event: exchange.app.tokens_per_event(&exchange.service),
            order: EventOrder::after(exchange.after_event),
            heard_at: exchange.app.clock.now(),
            exchange,
            guard,
            replica,
            body: Some(body),
            signals,
            to_caller,
            splitter: EventSplitter::default(),
            events: 0,
            events_here: 0,
            last_event_at: Now::ZERO,
            first_event_took: None,
            longest_gap: Duration::ZERO,
            carried: 0,
            begun: 1,
            moving: None,
            tried: Vec::new(),
            engine_begun_anew: false,
            waits_for_engine: false,
        };
        (relay, ReceiverStream::new(pieces))
    }

    /// Relays until the end.
    pub async fn run(mut self) {
        loop {
            let end = match self.step().await {
                Step::Continue => None,
                Step::Whole => Some(End::Whole),
                Step::Broken(cause) => self.broken(cause).await,
                Step::Unreachable => self.unreachable().await,
                Step::Moved(outcome) => self.moved(outcome).await,
                Step::CallerGone => Some(End::CallerGone),
                Step::TimeOver => Some(End::TimeOver),
                Step::Withdrawn => Some(End::Withdrawn),
            };
            if let Some(end) = end {
                return self.end(end).await;
            }
        }
    }

    async fn step(&mut self) -> Step {
        let clock = self.exchange.app.clock;
        let time_over = clock.instant(self.exchange.answer_by);
        let silent_at = clock.instant(self.heard_at + SILENCE);
        let frame = tokio::select! {
            biased;
            () = self.to_caller.closed() => return Step::CallerGone,
            () = sleep_until(time_over) => return Step::TimeOver,
            moved = finished(&mut self.moving) => return Step::Moved(moved),
            Some(signal) = self.signals.recv() => return self.signalled(signal),
            frame = next_frame(&mut self.body) => frame,
            () = sleep_until(silent_at) => return self.look_at_engine().await,
        };
        match frame {
            Some(Ok(frame)) => self.take(frame).await,
            Some(Err(_)) => Step::Broken("the connection broke"),
            None if self.splitter.pending() > 0 => Step::Broken("the last event is not whole"),
            None => Step::Whole,
        }
    }

    async fn take(&mut self, frame: Frame<Bytes>) -> Step {
        let Ok(data) = frame.into_data() else {
            return Step::Continue;
        };
        let now = self.exchange.app.clock.now();
        let mut piece = BytesMut::new();
        let had = self.events;
        for event in self.splitter.push(&data) {
            match self.order.next(event.id) {
                EventVerdict::Deliver => {
                    self.events += 1;
                    self.events_here += 1;
                    piece.extend_from_slice(&event.bytes);
                }
                EventVerdict::Repeated => {}
                EventVerdict::Missing => return Step::Broken("events are missing"),
            }
        }
        if piece.is_empty() {
            return Step::Continue;
        }
        self.measure(now, had);
        if had == 0 || had / PROGRESS_EVERY != self.events / PROGRESS_EVERY {
            self.tell_progress();
        }
        let time_over = self.exchange.app.clock.instant(self.exchange.answer_by);
        let sent = self.to_caller.send(Ok(Frame::data(piece.freeze())));
        match tokio::time::timeout_at(time_over, sent).await {
            Ok(Ok(())) => Step::Continue,
            Ok(Err(_)) => Step::CallerGone,
            Err(_) => Step::TimeOver,
        }
    }

    fn measure(&mut self, now: Now, had: u32) {
        self.heard_at = now;
        self.waits_for_engine = false;
        // Whoever goes on with it has not forgotten it: the list came late.
        self.engine_begun_anew = false;
        if had == 0 {
            let took = now - self.exchange.arrived;
            self.first_event_took = Some(took);
            self.exchange.app.metrics.first_event(took);
        } else {
            self.longest_gap = self.longest_gap.max(now - self.last_event_at);
        }
        self.last_event_at = now;
    }

    fn tell_progress(&self) {
        self.exchange.app.control.tell(GatewayMessage::Progress {
            request: self.exchange.head.request.clone(),
            generated: self.events * self.tokens_per_event,
        });
    }

    /// A silent engine may be gone, or may have displaced the session and will
    /// go on with it.
    async fn look_at_engine(&mut self) -> Step {
        self.heard_at = self.exchange.app.clock.now();
        if self.engine_begun_anew {
            return Step::Broken("its engine has started anew");
        }
        match probe_reach(self.replica.address).await {
            Reach::Accepts => Step::Continue,
            Reach::Refuses | Reach::Silent => Step::Unreachable,
        }
    }

    fn signalled(&mut self, signal: SessionSignal) -> Step {
        match signal {
            SessionSignal::MoveTo(target) if self.moving.is_none() => self.move_to(target),
            SessionSignal::EngineRestarted => self.engine_begun_anew = true,
            SessionSignal::Withdraw if self.events == 0 => return Step::Withdrawn,
            SessionSignal::MoveTo(_) | SessionSignal::Withdraw => {}
        }
        Step::Continue
    }

    fn move_to(&mut self, target: Replica) {
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
        self.guard.ends(match end {
            End::Whole => RunEnd::Answered,
            End::Lost => RunEnd::Failed,
            End::CallerGone | End::TimeOver | End::Withdrawn => RunEnd::Withdrawn,
        });
        info!(app.log, "stream ended";
            "request" => &self.exchange.head.request,
            "route" => &self.exchange.route.name,
            "end" => end.as_str(),
            "backend_server" => &self.replica.id,
            "events" => self.events,
            "carried" => self.carried,
            "first_event_ms" => self.first_event_took.map(|took| took.as_millis() as u64),
            "longest_gap_ms" => self.longest_gap.as_millis() as u64,
            "took_ms" => (app.clock.now() - self.exchange.arrived).as_millis() as u64);
        // The engine is free at once, also when the caller reads nothing more.
        let StreamRelay {
            to_caller,
            body,
            guard,
            moving,
            ..
        } = self;
        drop((body, guard, moving));
        if end != End::Whole {
            // The server then breaks the connection off, unless the caller has.
            let _ = to_caller.send(Err(StreamBroken)).await;
        }
    }
}

/// What the engine sends next; nothing while there is none.
async fn next_frame(body: &mut Option<Incoming>) -> Option<Result<Frame<Bytes>, hyper::Error>> {
    match body {
        None => std::future::pending().await,
        Some(body) => body.frame().await,
    }
}

/// The end of a move, if there is one.
async fn finished(moving: &mut Option<SessionMove>) -> Result<String, MoveError> {
    match moving {
        None => std::future::pending().await,
        Some(moving) => moving.finished().await,
    }
}
