//! Checks the order of a stream's events, also across engines after a failover.

/// Decision about an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventVerdict {
    /// The event is the next in order: deliver it.
    Deliver,
    /// The event was delivered before.
    Repeated,
    /// Events before this one are missing.
    Missing,
}

/// Difference between the IDs of consecutive events, as observed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Stride {
    #[default]
    Unknown,
    Steady(u64),
    Varies,
}

/// Detects repeated and missing events by their increasing IDs.
///
/// Engines number the events of a stream identically, so an engine that continues a stream must
/// start with the next ID. If the IDs increase by varying steps, only repeats can be detected.
#[derive(Clone, Debug, Default)]
pub struct EventOrder {
    last: Option<u64>,
    stride: Stride,
    is_resumed: bool,
}

impl EventOrder {
    /// Creates the state for a stream whose caller has received the events up to `last_event`;
    /// 0 if it has received none.
    pub fn after(last_event: u64) -> Self {
        EventOrder {
            last: (last_event > 0).then_some(last_event),
            stride: Stride::Unknown,
            is_resumed: last_event > 0,
        }
    }

    /// Records that another engine continues the stream.
    pub fn resume(&mut self) {
        self.is_resumed = true;
    }

    /// Returns the ID of the last delivered event, 0 if there is none.
    pub fn last(&self) -> u64 {
        self.last.unwrap_or(0)
    }

    /// Decides about an event; an event without an ID is taken as the next in order.
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

    /// Returns whether the next ID may be larger by `grown`. After a single event the stride is
    /// unknown, and any step is accepted; IDs then usually count events.
    fn may_grow_by(&self, grown: u64) -> bool {
        match self.stride {
            Stride::Steady(stride) => grown == stride,
            Stride::Unknown | Stride::Varies => true,
        }
    }
}
