//! What the instances of a simulated fleet tell each other of suspects.

use iristhread_core::AdvertisedSuspect;
use iristhread_core::Now;
use iristhread_core::RunEnd;
use iristhread_core::SuspicionUpdate;
use rand_core::Rng;

use super::HEARTBEAT_INTERVAL;
use super::PoisonedFleet;
use super::ZONES;
use crate::gateway_scene::ms;

/// Instances above which heartbeats go by way of relays, and relays of a zone.
const MAX_WITHOUT_RELAYS: usize = 32;
const RELAYS_PER_ZONE: usize = 2;

/// A heartbeat in transit.
pub(super) struct Message {
    to: usize,
    arrives_at: Now,
    suspects: Vec<AdvertisedSuspect>,
}

impl PoisonedFleet {
    /// Lets instances whose suspicions changed, or whose heartbeat is due, tell the others.
    pub(super) fn tell(&mut self) {
        for number in 0..self.instances.len() {
            if self.is_frozen(number) {
                continue;
            }
            let updates = self.instances[number].control.suspicion_updates();
            self.withdraw(number, &updates);
            let instance = &mut self.instances[number];
            let is_due = self.now >= instance.next_heartbeat_at;
            if !is_due && updates.is_empty() {
                continue;
            }
            if is_due {
                instance.next_heartbeat_at += HEARTBEAT_INTERVAL;
            }
            let suspects = instance.control.advertised_suspects(self.now);
            if suspects.is_empty() || self.now < instance.cut_off_until {
                continue;
            }
            for to in self.targets(number) {
                if self.loses_one_in > 0 && self.random.next_u32().is_multiple_of(self.loses_one_in)
                {
                    continue;
                }
                let delay = ms(2 + u64::from(self.random.next_u32() % 20));
                self.messages.push(Message {
                    to,
                    arrives_at: self.now + delay,
                    suspects: suspects.clone(),
                });
            }
        }
    }

    fn withdraw(&mut self, number: usize, updates: &[SuspicionUpdate]) {
        for update in updates {
            let SuspicionUpdate::Quarantined { fingerprint, .. } = update else {
                continue;
            };
            let control = &mut self.instances[number].control;
            for request in control.unstarted_with(*fingerprint) {
                control.ended(self.now, &request, RunEnd::Withdrawn);
                self.runs.retain(|run| run.ask.request != request);
            }
        }
    }

    /// Instances that get the heartbeats of one: all, or by way of the relays of the zones.
    fn targets(&self, number: usize) -> Vec<usize> {
        let count = self.instances.len();
        let is_relay = |instance: usize| instance / ZONES < RELAYS_PER_ZONE;
        let is_target = |other: &usize| {
            let is_near = other % ZONES == number % ZONES;
            let is_reached = match (is_relay(number), is_relay(*other)) {
                (true, true) => true,
                (true, false) | (false, true) => is_near,
                (false, false) => false,
            };
            *other != number && (count <= MAX_WITHOUT_RELAYS || is_reached)
        };
        (0..count).filter(is_target).collect()
    }

    pub(super) fn hear(&mut self) {
        let now = self.now;
        let is_due = |message: &Message| message.arrives_at <= now;
        let (due, rest): (Vec<Message>, Vec<Message>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(is_due);
        self.messages = rest;
        for message in due {
            let instance = &mut self.instances[message.to];
            if now < instance.frozen_until {
                // It reads what arrived when it runs again.
                self.messages.push(message);
            } else if now >= instance.cut_off_until {
                instance.control.apply_peer_suspects(now, &message.suspects);
            }
        }
    }
}
