//! Decides whether requests that are suspected to crash backend servers may be sent.

use std::time::Duration;

use super::GatewayControl;
use super::SendReason;
use crate::Now;
use crate::PlacementRequest;
use crate::PromptPart;
use crate::QuarantineCause;
use crate::Refusal;
use crate::RequestId;
use crate::rendezvous_rank;

/// Time within which a request that is sent as a probe should end or prove to run well.
const PROBE: Duration = Duration::from_secs(10);

impl GatewayControl {
    /// Refuses a request while its content or a part of its prompt is quarantined. After the
    /// quarantine, one instance of all sends one such request as a probe. Returns why a suspected
    /// request may be sent, unless it may by the standing of its content.
    pub(super) fn check_quarantine(
        &mut self,
        now: Now,
        ask: &PlacementRequest,
    ) -> Result<Option<SendReason>, Refusal> {
        let causes = self.suspicions.causes(ask.suspected());
        let Some(last) = causes.iter().max_by_key(|cause| cause.until) else {
            return self.check_last_chance(now, ask, false);
        };
        let is_probed = self
            .broken_runs
            .probed_until
            .is_some_and(|until| now < until);
        if now >= last.until && !is_probed && self.probes(ask, &causes) {
            self.broken_runs.probed_until = Some(now + PROBE);
            return Ok(Some(SendReason::Probe));
        }
        Err(Refusal::quarantined(last, last.until.saturating_sub(now)))
    }

    /// Returns whether a request in progress may be sent to another backend server after its attempt at
    /// one has failed. Other than for a move, the outcome of that attempt may be open.
    pub fn may_retry(&mut self, now: Now, request: &str) -> bool {
        let Some(run) = self.runs.get(request) else {
            return true;
        };
        if run.is_proven {
            return true;
        }
        let ask = run.ask.clone();
        self.may_resend(request) && self.check_last_chance(now, &ask, true).is_ok()
    }

    /// Refuses a request whose content would be quarantined after one more crash, unless this instance
    /// is the one to send such requests and sends none now. Zones that don't hear each other have one
    /// each.
    fn check_last_chance(
        &mut self,
        now: Now,
        ask: &PlacementRequest,
        is_retry: bool,
    ) -> Result<Option<SendReason>, Refusal> {
        let cause = self.suspicions.last_chance(ask.fingerprint);
        let Some(cause) = cause.filter(|cause| now < cause.until) else {
            return Ok(None);
        };
        let sent = self.broken_runs.last_chances.get(&ask.fingerprint);
        let is_running = |request: &RequestId| self.runs.contains_key(request);
        let is_own = is_retry && sent == Some(&ask.request);
        let is_under_way = !is_own && sent.is_some_and(is_running);
        let is_under_way = is_under_way || self.has_open_outcome(ask.fingerprint);
        let topic = format!("{:032x}", ask.fingerprint.content);
        let may_send = match self.hears_other_zones() {
            true => self.is_first_for(&topic),
            false => self.is_first_in_zone_for(&topic),
        };
        if is_under_way || !may_send {
            return Err(Refusal::quarantined(&cause, cause.until - now));
        }
        let runs = &self.runs;
        let last_chances = &mut self.broken_runs.last_chances;
        last_chances.retain(|_, request| runs.contains_key(request));
        last_chances.insert(ask.fingerprint, ask.request.clone());
        Ok(Some(SendReason::LastChance))
    }

    /// Returns whether this instance is the one to probe a request after its quarantines. All
    /// instances that receive each other's heartbeats agree on one; an instance that receives fewer
    /// than half of the other zones probes none. A part is probed by the same instance for all
    /// workspaces.
    fn probes(&self, ask: &PlacementRequest, causes: &[QuarantineCause]) -> bool {
        let is_cause = |part: &&PromptPart| {
            let mut causes = causes.iter().map(|cause| cause.fingerprint);
            causes.any(|cause| cause == part.in_workspace || cause == part.in_fleet)
        };
        let parts = ask.parts.iter().filter(is_cause);
        let topic = parts.map(|part| part.in_fleet.content).min();
        let topic = topic.unwrap_or(ask.fingerprint.content);
        self.is_first_for(&format!("{topic:032x}"))
    }

    /// Returns whether this instance is the one of all that acts on a topic, as for `probes`.
    pub(super) fn is_first_for(&self, topic: &str) -> bool {
        let own = &self.parameters.zone;
        let zones = self.parameters.regions.keys().map(String::as_str);
        let first = rendezvous_rank(topic, zones).first().copied();
        self.hears_other_zones()
            && first.is_none_or(|zone| zone == own)
            && self.is_first_in_zone_for(topic)
    }

    /// Returns whether this instance receives heartbeats of at least half of the other zones.
    fn hears_other_zones(&self) -> bool {
        let own = &self.parameters.zone;
        let zones = self.parameters.regions.keys();
        let others = zones.filter(|zone| *zone != own);
        let live = others.clone().filter(|zone| self.peers.knows_zone(zone));
        live.count() * 2 >= others.count()
    }

    /// Returns whether this instance is the one of its zone that acts on a topic.
    fn is_first_in_zone_for(&self, topic: &str) -> bool {
        let instance = self.parameters.instance.as_str();
        let names = self.peers.neighbours().map(String::as_str);
        let rank = rendezvous_rank(topic, names.chain([instance]));
        rank.first() == Some(&instance)
    }
}
