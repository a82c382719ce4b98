//! Delivers the events of a stream to its caller, within the memory of the process.

use bytes::Bytes;
use hyper::body::Frame;
use iristhread_core::EventVerdict;
use iristhread_core::MemoryAsk;
use iristhread_core::MemoryKind;
use tokio::time::timeout_at;

use super::PROGRESS_EVERY;
use super::Step;
use super::StreamRelay;
use crate::process::claimed_buffer::ClaimedBuffer;
use crate::process::memory::MemoryClaim;
use crate::relaying::event_splitter::MAX_EVENT_BYTES;

/// Length up to which an incomplete event counts as part of its connection's buffer.
const USUAL_EVENT_BYTES: usize = 8 << 10;

/// Memory of a longer one: its buffer grows by doubling.
const LONG_EVENT_BYTES: usize = 2 * MAX_EVENT_BYTES;

/// Memory of the buffers of an engine's connection that is read more slowly than it sends.
const FULL_BUFFERS_BYTES: usize = 128 << 10;

impl StreamRelay {
    /// Delivers the events that a frame of the engine completes.
    pub(super) async fn take(&mut self, frame: Frame<Bytes>) -> Step {
        let Ok(data) = frame.into_data() else {
            return Step::Continue;
        };
        let now = self.exchange.app.clock.now();
        let events_before = self.events;
        let Ok(events) = self.splitter.push(&data) else {
            return Step::Broken("an event has no end");
        };
        let had_events = self.undelivered.len();
        for event in events {
            match self.order.next(event.id) {
                EventVerdict::Deliver => {
                    self.events += 1;
                    self.engine_events += 1;
                    self.undelivered.push(event.bytes);
                }
                EventVerdict::Repeated => {}
                EventVerdict::Missing => return Step::Broken("events are missing"),
            }
        }
        if self.undelivered.len() == had_events {
            return self.claim_buffers().await.err().unwrap_or(Step::Continue);
        }
        self.record_delivery(now, events_before);
        if events_before == 0 || events_before / PROGRESS_EVERY != self.events / PROGRESS_EVERY {
            self.report_progress();
        }
        if self.to_caller.capacity() == 0 {
            self.report_interruption();
        }
        match self.claim_buffers().await {
            Ok(()) => self.deliver().await,
            Err(step) => step,
        }
    }

    /// Hands the events over that were counted and are not delivered yet. They stay where they are if
    /// this is dropped while it waits for memory or for the caller.
    pub(super) async fn deliver(&mut self) -> Step {
        let clock = self.exchange.app.clock;
        let deadline = clock.instant(self.exchange.answer_deadline);
        let length = self.undelivered.iter().map(Bytes::len).sum();
        let claim = match self.claim_events(length).await {
            Ok(claim) => claim,
            Err(step) => return step,
        };
        let place = match timeout_at(deadline, self.to_caller.reserve()).await {
            Ok(Ok(place)) => place,
            Ok(Err(_)) => return Step::CallerDisconnected,
            Err(_) => return Step::DeadlineExceeded,
        };
        let Ok(mut piece) = ClaimedBuffer::new(length, claim) else {
            return Step::Broken("the system has no memory for an event");
        };
        for event in self.undelivered.drain(..) {
            piece.fill(&event);
        }
        place.send(Ok(Frame::data(piece.freeze())));
        Step::Continue
    }

    /// Claims memory for an incomplete event that outgrows usual ones, and for the buffers of the
    /// engine's connection, which grow with long events and while the caller reads slowly.
    async fn claim_buffers(&mut self) -> Result<(), Step> {
        let is_long = self.splitter.pending() > USUAL_EVENT_BYTES;
        if !is_long {
            self.long_event = None;
        } else if self.long_event.is_none() {
            self.long_event = Some(self.claim_events(LONG_EVENT_BYTES).await?);
        }
        let is_full = is_long || self.to_caller.capacity() == 0;
        if is_full && self.full_buffers.is_none() {
            self.full_buffers = Some(self.claim_events(FULL_BUFFERS_BYTES).await?);
        }
        Ok(())
    }

    /// Claims memory for events; waits until there is some.
    ///
    /// # Errors
    ///
    /// The step that ends the stream: the caller has left, or there is no memory until the deadline.
    async fn claim_events(&self, bytes: usize) -> Result<MemoryClaim, Step> {
        let ask = MemoryAsk {
            kind: MemoryKind::Events,
            bytes: bytes as u64,
            owner: self.exchange.memory_owner(),
        };
        let max_wait = self.exchange.time_left();
        tokio::select! {
            biased;
            claim = self.exchange.app.memory.claim(&ask, max_wait) => {
                claim.map_err(|_| Step::DeadlineExceeded)
            }
            () = self.to_caller.closed() => Err(Step::CallerDisconnected),
        }
    }
}
