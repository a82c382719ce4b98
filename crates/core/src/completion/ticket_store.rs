//! Records of spent tickets, which ensure that each ticket is spent at most once.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::Incarnation;
use crate::InstanceId;
use crate::Now;
use crate::Ticket;

/// Decision about a presented ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SpendVerdict {
    /// First presentation: run the call now. The request must be sent before `send_before` on
    /// this process's monotonic clock.
    Run {
        /// Deadline that is checked immediately before the request is sent.
        send_before: Now,
    },
    /// Presented before: wait for the answer of that run, or repeat it.
    SameRun,
    /// Only another process may run the call.
    Forward {
        /// Instance of that process.
        instance: InstanceId,
        /// Incarnation of that process.
        incarnation: Incarnation,
    },
    /// The ticket expired unspent in this incarnation: the call never ran and never will.
    Expired,
    /// The call may have run in an earlier incarnation of this instance, or in this one so long
    /// ago that the record has been removed.
    Unknown,
    /// The store has reached its capacity. The call has not run.
    Full,
}

/// Issues tickets of this process and records the spent ones.
///
/// A record is kept for one more lifetime after its ticket has expired. During that time, a ticket
/// without a record is proved never to have run. Only the issuer's monotonic clock decides about
/// spending and expiry, so differences between the clocks of machines have no effect.
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
    /// Creates the store of one incarnation of a process.
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

    /// Spends a ticket whose signature was verified, if that is allowed.
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

    /// Returns the number of recorded tickets.
    pub fn len(&self) -> usize {
        self.spent.len()
    }

    /// Returns whether no ticket is recorded.
    pub fn is_empty(&self) -> bool {
        self.spent.is_empty()
    }

    fn expired(&self, now: Now, ticket: &Ticket) -> SpendVerdict {
        let record_expires_ms = ticket.expires_ms + millis(self.lifetime);
        if millis(now) < record_expires_ms {
            SpendVerdict::Expired
        } else {
            SpendVerdict::Unknown
        }
    }

    fn record(&mut self, ticket: &Ticket) {
        let record_expires_ms = ticket.expires_ms + millis(self.lifetime);
        self.spent.insert(ticket.number.clone());
        self.by_expiry
            .entry(record_expires_ms)
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
