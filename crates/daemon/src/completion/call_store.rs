//! Stores answers to calls with a ticket, for repeated deliveries of the same ticket.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use iristhread_core::Now;
use tokio::sync::watch;

use crate::completion::call_answer::CallAnswer;

/// Holds the answer to a call once it is known; repeated deliveries subscribe to it.
pub type AnswerSlot = watch::Sender<Option<CallAnswer>>;

#[derive(Debug)]
struct Slot {
    answer: AnswerSlot,
    keep_until: Now,
}

/// Answer slots by ticket number; each is kept until its ticket expires.
#[derive(Debug, Default)]
pub struct CallStore {
    slots: Mutex<HashMap<String, Slot>>,
}

impl CallStore {
    /// Returns the slot of a ticket, and creates it if there is none.
    pub fn slot(&self, number: &str, keep_until: Now) -> AnswerSlot {
        let mut slots = self.lock();
        let slot = slots.entry(number.to_owned()).or_insert_with(|| Slot {
            answer: watch::channel(None).0,
            keep_until,
        });
        slot.answer.clone()
    }

    /// Drops the slots of expired tickets.
    pub fn forget_expired(&self, now: Now) {
        self.lock().retain(|_, slot| slot.keep_until > now);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
