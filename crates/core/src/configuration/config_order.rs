//! The configuration in force, whose version never decreases.

use std::sync::Arc;

use crate::ConfigVersion;
use crate::Document;
use crate::DocumentFault;
use crate::Now;

/// A version of the configuration, offered by the platform or a peer.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Content of the configuration.
    pub document: Arc<Document>,
}

/// Result of an offer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferVerdict {
    /// The offered version is in force now.
    InForce,
    /// The offered version is not newer than the one in force or the newest refused one.
    Stale,
    /// The offered version failed validation; the configuration in force is unchanged.
    Refused(Vec<DocumentFault>),
}

/// Applies offers in the platform's version order.
#[derive(Debug, Default)]
pub struct ConfigOrder {
    in_force: Option<Offer>,
    refused: Option<(ConfigVersion, Vec<DocumentFault>)>,
    confirmed_at: Option<Now>,
}

impl ConfigOrder {
    /// Validates an offer and puts it in force if it is newer.
    pub fn offer(&mut self, offer: Offer) -> OfferVerdict {
        if offer.version <= self.highest_seen() {
            return OfferVerdict::Stale;
        }
        let faults = offer.document.faults();
        if !faults.is_empty() {
            self.refused = Some((offer.version, faults.clone()));
            return OfferVerdict::Refused(faults);
        }
        self.in_force = Some(offer);
        OfferVerdict::InForce
    }

    /// Records a version that can't be parsed as a document; returns whether it is newer.
    pub fn refuse(&mut self, version: ConfigVersion, faults: Vec<DocumentFault>) -> bool {
        let is_newer = version > self.highest_seen();
        if is_newer {
            self.refused = Some((version, faults));
        }
        is_newer
    }

    /// Records that a reader saw the platform at `version`; the age of the configuration counts
    /// from `at`. A stale replica of the platform confirms nothing.
    pub fn confirm(&mut self, at: Now, version: ConfigVersion) {
        if version >= self.version() {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Returns the version in force, 0 for none.
    pub fn version(&self) -> ConfigVersion {
        self.in_force.as_ref().map_or(0, |offer| offer.version)
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&Offer> {
        self.in_force.as_ref()
    }

    /// Returns the newest refused version with its faults.
    pub fn refused(&self) -> Option<&(ConfigVersion, Vec<DocumentFault>)> {
        self.refused.as_ref()
    }

    /// Returns the time at which the platform last confirmed the version in force.
    pub fn confirmed_at(&self) -> Option<Now> {
        self.confirmed_at
    }

    fn highest_seen(&self) -> ConfigVersion {
        let refused = self.refused.as_ref().map_or(0, |(version, _)| *version);
        self.version().max(refused)
    }
}
