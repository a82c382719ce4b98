//! The configuration in force, which only moves forward.

use std::sync::Arc;

use crate::ConfigVersion;
use crate::Document;
use crate::DocumentFault;
use crate::Now;

/// A version of the configuration, offered by the platform or a peer.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Its version.
    pub version: ConfigVersion,
    /// Its content.
    pub document: Arc<Document>,
}

/// What became of an offer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferVerdict {
    /// It is in force now.
    InForce,
    /// Not newer than what is in force, or than what was refused.
    Stale,
    /// It failed its check; what was in force stays so.
    Refused(Vec<DocumentFault>),
}

/// Applies offers in the platform's order of versions.
#[derive(Debug, Default)]
pub struct ConfigOrder {
    in_force: Option<Offer>,
    refused: Option<(ConfigVersion, Vec<DocumentFault>)>,
    confirmed_at: Option<Now>,
}

impl ConfigOrder {
    /// Decides about an offer.
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

    /// Notes a version that can't be read as a document at all.
    pub fn refuse(&mut self, version: ConfigVersion, faults: Vec<DocumentFault>) -> bool {
        let newer = version > self.highest_seen();
        if newer {
            self.refused = Some((version, faults));
        }
        newer
    }

    /// Notes that a reader saw the platform at `version`; the age of the
    /// configuration counts from here. A stale replica confirms nothing.
    pub fn confirm(&mut self, at: Now, version: ConfigVersion) {
        if version >= self.version() {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// The version in force, 0 for none.
    pub fn version(&self) -> ConfigVersion {
        self.in_force.as_ref().map_or(0, |offer| offer.version)
    }

    /// The configuration in force.
    pub fn in_force(&self) -> Option<&Offer> {
        self.in_force.as_ref()
    }

    /// The newest refused version with its faults.
    pub fn refused(&self) -> Option<&(ConfigVersion, Vec<DocumentFault>)> {
        self.refused.as_ref()
    }

    /// When the platform last confirmed the version in force.
    pub fn confirmed_at(&self) -> Option<Now> {
        self.confirmed_at
    }

    fn highest_seen(&self) -> ConfigVersion {
        let refused = self.refused.as_ref().map_or(0, |(version, _)| *version);
        self.version().max(refused)
    }
}
