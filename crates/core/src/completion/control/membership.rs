//! Propagation of configurations, and the choice of the instances that read the platform.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand_core::Rng;

use super::Control;
use crate::Command;
use crate::ConfigVersion;
use crate::Document;
use crate::DocumentFault;
use crate::InstanceEntry;
use crate::Now;
use crate::Offer;
use crate::OfferVerdict;
use crate::TimelineEvent;

/// Number of peers of the local zone with which a new configuration is exchanged immediately.
const CONFIG_FANOUT: usize = 3;

/// Interval between exchanges with a random peer of the local zone.
const ZONE_EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between exchanges with a random peer of any zone.
const ANY_ZONE_EXCHANGE_INTERVAL: Duration = Duration::from_secs(5);

/// Number of faults of a refused document that the timeline lists.
const MAX_REPORTED_FAULTS: usize = 3;

impl Control {
    pub(super) fn config_offered(
        &mut self,
        now: Now,
        version: ConfigVersion,
        document: Arc<Document>,
        source: String,
        commands: &mut Vec<Command>,
    ) {
        let offer = Offer {
            version,
            document: document.clone(),
        };
        match self.config.offer(offer) {
            OfferVerdict::InForce => {
                self.backends.adopt(&document);
                self.forget_removed_workspaces(&document);
                self.note(None, TimelineEvent::ConfigInForce { version, source });
                commands.push(Command::ConfigInForce { version });
                self.exchange_with_peers(commands);
                self.drain_all(now, commands);
            }
            OfferVerdict::Refused(faults) => {
                let named = faults
                    .iter()
                    .take(MAX_REPORTED_FAULTS)
                    .map(ToString::to_string);
                let reason = named.collect::<Vec<_>>().join("; ");
                self.note(None, TimelineEvent::ConfigRefused { version, reason });
            }
            OfferVerdict::Stale => {}
        }
    }

    /// Drops the state of workspaces that are no longer configured.
    fn forget_removed_workspaces(&mut self, document: &Document) {
        let workspace_of = |class: &str| class.split('/').next().map(str::to_owned);
        let names = document.workspaces.iter().map(|workspace| &workspace.name);
        let names: HashSet<&String> = names.collect();
        self.estimator
            .retain(|class| workspace_of(class).is_some_and(|name| names.contains(&name)));
        self.budget.retain(|name| names.contains(&name.to_owned()));
    }

    pub(super) fn config_unreadable(&mut self, version: ConfigVersion, reason: String) {
        let fault = DocumentFault {
            key: "document".to_owned(),
            value: reason.clone(),
            fix: "check it with `iristhread check FILE` before it is published".to_owned(),
        };
        if self.config.refuse(version, vec![fault]) {
            self.note(None, TimelineEvent::ConfigRefused { version, reason });
        }
    }

    pub(super) fn exchange_with_peers(&mut self, commands: &mut Vec<Command>) {
        let own_zone = self.settings.zone.clone();
        self.exchange_with_random(Some(&own_zone), CONFIG_FANOUT, commands);
        self.exchange_with_random(None, 1, commands);
    }

    pub(super) fn tick_membership(&mut self, now: Now, commands: &mut Vec<Command>) {
        let confirmed_at = self.config.confirmed_at().unwrap_or(Now::ZERO);
        let age = now.saturating_sub(confirmed_at);
        let has_no_config = self.config.version() == 0;
        let reads = has_no_config || self.reader_rotation.reads(&self.instance_list, age);
        if reads != self.reads_platform {
            self.reads_platform = reads;
            commands.push(Command::ReadPlatform { reads });
        }
        if now >= self.next_zone_exchange {
            self.next_zone_exchange = now + self.jittered(ZONE_EXCHANGE_INTERVAL);
            let own_zone = self.settings.zone.clone();
            self.exchange_with_random(Some(&own_zone), 1, commands);
        }
        if now >= self.next_any_zone_exchange {
            self.next_any_zone_exchange = now + self.jittered(ANY_ZONE_EXCHANGE_INTERVAL);
            self.exchange_with_random(None, 1, commands);
        }
    }

    fn exchange_with(&mut self, instance: &str, commands: &mut Vec<Command>) {
        let Some(entry) = self.instance_list.entry(instance) else {
            return;
        };
        let command = Command::ExchangeWith {
            instance: entry.instance.clone(),
            address: entry.peer_address,
        };
        if !commands.contains(&command) {
            commands.push(command);
        }
    }

    /// Exchanges with up to `count` different random peers of `zone`, or of any zone.
    fn exchange_with_random(
        &mut self,
        zone: Option<&str>,
        count: usize,
        commands: &mut Vec<Command>,
    ) {
        let own = self.settings.instance.clone();
        let is_peer = |entry: &&InstanceEntry| {
            entry.instance != own && zone.is_none_or(|zone| entry.availability_zone == zone)
        };
        let peers = self.instance_list.entries().filter(is_peer);
        let mut peers: Vec<String> = peers.map(|entry| entry.instance.clone()).collect();
        for _ in 0..count.min(peers.len()) {
            let draw = self.random.next_u32() as usize % peers.len();
            let instance = peers.swap_remove(draw);
            self.exchange_with(&instance, commands);
        }
    }

    /// Returns a random time between 0.75 and 1.25 of the interval, so that instances don't stay
    /// synchronized.
    fn jittered(&mut self, interval: Duration) -> Duration {
        let share = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        interval.mul_f64(0.75 + share / 2.0)
    }
}
