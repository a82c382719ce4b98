//! The memory that makes a ticket spendable at most once.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::Incarnation;
use crate::InstanceId;
use crate::Now;
use crate::Ticket;

/// What may be done with a ticket that was presented.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SpendVerdict {
    /// First presentation: run the call now. The bytes must leave before
    /// `send_before` on this process's monotonic clock.
    Run {
        /// Deadline of the check just before the bytes leave.
        send_before: Now,
    },
    /// Presented before: wait for, or repeat, the answer of that run.
    SameRun,
    /// Another process alone may run it.
    Forward {
        /// That process's instance.
        instance: InstanceId,
        /// That process's life.
        incarnation: Incarnation,
    },
    /// It expired unspent in this life: it never ran and never will.
    Expired,
    /// An earlier life of this instance, or this life beyond its memory, may
    /// have run it.
    Unknown,
    /// This process is full of live tickets and never ran this one.
    Full,
}

/// Issues tickets of this process and records those spent.
///
/// A record outlives its ticket by another lifetime, in which a ticket without
/// a record is proved never to have run. Spending and expiry are judged by the
/// issuer's monotonic clock alone, so clocks of different machines play no part.
#[derive(Debug)]
pub struct TicketStore {
    instance: InstanceId,
    incarnation: Incarnation,
    lifetime: Duration,
    capacity: usize,
    spent: HashSet<String>,
    by_expiry: BTreeMap<u64, Vec<String>>,
}

impl TicketStore {
    /// Creates the book of one process life.
    pub fn new(
        instance: InstanceId,
        incarnation: Incarnation,
        lifetime: Duration,
        capacity: usize,
    ) -> Self {
        TicketStore {
            instance,
            incarnation,
            lifetime,
            capacity,
            spent: HashSet::new(),
            by_expiry: BTreeMap::new(),
        }
    }

    /// Issues a ticket under `number`, which must be unique.
    pub fn issue(&self, now: Now, number: String, service: &str) -> Ticket {
        Ticket {
            number,
            instance: self.instance.clone(),
            incarnation: self.incarnation.clone(),
            expires_ms: millis(now + self.lifetime),
            service: service.to_owned(),
        }
    }

    /// Decides about a ticket whose signature was verified.
    pub fn spend(&mut self, now: Now, ticket: &Ticket) -> SpendVerdict {
        self.remove_expired(now);
        if ticket.instance != self.instance {
            return SpendVerdict::Forward {
                instance: ticket.instance.clone(),
                incarnation: ticket.incarnation.clone(),
            };
        }
        if ticket.incarnation != self.incarnation {
            return SpendVerdict::Unknown;
        }
        if self.spent.contains(&ticket.number) {
            return SpendVerdict::SameRun;
        }
        if ticket.expires_ms <= millis(now) {
            return self.expired(now, ticket);
        }
        if self.spent.len() >= self.capacity {
            return SpendVerdict::Full;
        }
        self.record(ticket);
        SpendVerdict::Run {
            send_before: Duration::from_millis(ticket.expires_ms),
        }
    }

    /// Number of spent tickets remembered.
    pub fn len(&self) -> usize {
        self.spent.len()
    }

    /// Whether no spent ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.spent.is_empty()
    }

    fn expired(&self, now: Now, ticket: &Ticket) -> SpendVerdict {
        let forgotten_ms = ticket.expires_ms + millis(self.lifetime);
        if millis(now) < forgotten_ms {
            SpendVerdict::Expired
        } else {
            SpendVerdict::Unknown
        }
    }

    fn record(&mut self, ticket: &Ticket) {
        let forgotten_ms = ticket.expires_ms + millis(self.lifetime);
        self.spent.insert(ticket.number.clone());
        self.by_expiry
            .entry(forgotten_ms)
            .or_default()
            .push(ticket.number.clone());
    }

    fn remove_expired(&mut self, now: Now) {
        let keep = self.by_expiry.split_off(&(millis(now) + 1));
        for number in std::mem::replace(&mut self.by_expiry, keep)
            .into_values()
            .flatten()
        {
            self.spent.remove(&number);
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
