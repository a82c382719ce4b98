//! Order of one peer's messages over several incarnations of its process.

use crate::Incarnation;

/// Earlier incarnations that are remembered, so that a late message of one of them is ignored. A
/// message is late by seconds, and a process restarts at most a few times within them.
const MAX_EARLIER_INCARNATIONS: usize = 4;

/// Position of a message relative to those received before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// First message of this incarnation.
    FirstOfIncarnation,
    /// Newer than all others of this incarnation.
    Newer,
    /// Duplicate, reordered, or of an earlier incarnation; it must be ignored.
    Old,
}

/// Incarnation and sequence number of the latest message of one peer.
#[derive(Clone, Debug)]
pub struct MessageOrder {
    incarnation: Incarnation,
    sequence: u64,
    earlier: Vec<Incarnation>,
}

impl MessageOrder {
    /// Starts with a first message.
    pub fn new(incarnation: Incarnation, sequence: u64) -> Self {
        MessageOrder {
            incarnation,
            sequence,
            earlier: Vec::new(),
        }
    }

    /// Returns the incarnation of the latest message.
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Records a message and returns its position relative to the earlier ones.
    pub fn arrive(&mut self, incarnation: &Incarnation, sequence: u64) -> Arrival {
        if *incarnation == self.incarnation {
            if sequence <= self.sequence {
                return Arrival::Old;
            }
            self.sequence = sequence;
            return Arrival::Newer;
        }
        if self.earlier.contains(incarnation) {
            return Arrival::Old;
        }
        let before = std::mem::replace(&mut self.incarnation, incarnation.clone());
        self.earlier.push(before);
        let surplus = self.earlier.len().saturating_sub(MAX_EARLIER_INCARNATIONS);
        self.earlier.drain(..surplus);
        self.sequence = sequence;
        Arrival::FirstOfIncarnation
    }
}
