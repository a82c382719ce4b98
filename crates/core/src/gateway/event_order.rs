//! The order of a stream's events, over engines that continue each other.

/// What to do with an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventVerdict {
    /// It is the next one: deliver it.
    Deliver,
    /// The caller has it already.
    Repeated,
    /// Events before it are missing.
    Missing,
}

/// How much ids grow from event to event, as far as seen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Stride {
    #[default]
    Unknown,
    Steady(u64),
    Varies,
}

/// Decides about events by their ids, which rise. Engines number a stream's
/// events alike, so an engine that continues has to begin with the next id;
/// where ids have grown unevenly, only repeats can be told.
#[derive(Clone, Debug, Default)]
pub struct EventOrder {
    last: Option<u64>,
    stride: Stride,
    is_resumed: bool,
}

impl EventOrder {
    /// The order of a stream whose caller holds the events up to an id; 0 when it
    /// holds none.
    pub fn after(last_event: u64) -> Self {
        EventOrder {
            last: (last_event > 0).then_some(last_event),
            stride: Stride::Unknown,
            is_resumed: last_event > 0,
        }
    }

    /// Notes that another engine continues the stream.
    pub fn resume(&mut self) {
        self.is_resumed = true;
    }

    /// Id of the last event delivered, 0 for none.
    pub fn last(&self) -> u64 {
        self.last.unwrap_or(0)
    }

    /// Decides about an event; one without an id can only be the next.
    pub fn next(&mut self, id: Option<u64>) -> EventVerdict {
        let Some(id) = id else {
            return EventVerdict::Deliver;
        };
        if let Some(last) = self.last {
            if id <= last {
                return EventVerdict::Repeated;
            }
            let grown = id - last;
            if self.is_resumed && self.stride != Stride::Varies && !self.may_grow_by(grown) {
                return EventVerdict::Missing;
            }
            self.stride = match self.stride {
                Stride::Unknown => Stride::Steady(grown),
                Stride::Steady(stride) if stride != grown => Stride::Varies,
                same => same,
            };
        }
        self.is_resumed = false;
        self.last = Some(id);
        EventVerdict::Deliver
    }

    /// After a single event nothing is known of the stride; ids then usually
    /// count events.
    fn may_grow_by(&self, grown: u64) -> bool {
        match self.stride {
            Stride::Steady(stride) => grown == stride,
            Stride::Unknown | Stride::Varies => true,
        }
    }
}
