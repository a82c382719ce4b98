//! The order of one peer's messages over several lives of its process.

use crate::Incarnation;

/// Earlier lives that are remembered, so that a late message of one changes
/// nothing: a message is late by seconds, a process restarts a few times within
/// them at most.
const MAX_EARLIER_INCARNATIONS: usize = 4;

/// What a message is to those that came before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// The first of this life.
    FirstOfIncarnation,
    /// Newer than all of this life.
    Newer,
    /// Repeated, overtaken, or of an earlier life; it must change nothing.
    Old,
}

/// The latest message of one peer.
#[derive(Clone, Debug)]
pub struct MessageOrder {
    incarnation: Incarnation,
    sequence: u64,
    earlier: Vec<Incarnation>,
}

impl MessageOrder {
    /// Begins with a first message.
    pub fn new(incarnation: Incarnation, sequence: u64) -> Self {
        MessageOrder {
            incarnation,
            sequence,
            earlier: Vec::new(),
        }
    }

    /// The life that was heard last.
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Notes a message.
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
