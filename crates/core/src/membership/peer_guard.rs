//! Rejects peer messages that are forged, replayed or addressed to another receiver.

use std::collections::BTreeSet;
use std::collections::HashMap;

use thiserror::Error;

use crate::Incarnation;
use crate::InstanceId;
use crate::Keyring;

const PURPOSE: &str = "peer";

/// Sequence numbers remembered per sender; older ones count as replayed.
const WINDOW: usize = 1024;

/// Senders remembered; one entry per listed instance stays well below this.
const MAX_SENDERS: usize = 4096;

/// Reason for which a peer message was rejected.
#[derive(Debug, Error, Eq, PartialEq)]
pub enum PeerRejection {
    /// The tag does not match.
    #[error("the peer message is not signed by this fleet")]
    Forged,
    /// The message is addressed to another instance or to an earlier incarnation of this one.
    #[error("the peer message is for another receiver")]
    WrongReceiver,
    /// The message was received before, or is older than the window.
    #[error("the peer message was replayed")]
    Replayed,
}

/// Checks the messages received by one incarnation of the process.
#[derive(Debug)]
pub struct PeerGuard {
    instance: InstanceId,
    seen: HashMap<(InstanceId, Incarnation), BTreeSet<u64>>,
}

impl PeerGuard {
    /// Creates the guard of one instance.
    pub fn new(instance: InstanceId) -> Self {
        PeerGuard {
            instance,
            seen: HashMap::new(),
        }
    }

    /// Accepts each message once.
    ///
    /// # Errors
    ///
    /// [`PeerRejection`]; the message must then be ignored.
    pub fn accept(
        &mut self,
        keyring: &Keyring,
        from: (&InstanceId, &Incarnation),
        to: &InstanceId,
        sequence: u64,
        body: &str,
        tag: &str,
    ) -> Result<(), PeerRejection> {
        let message = signed(from, to, sequence, body);
        if !keyring.verify(PURPOSE, message.as_bytes(), tag) {
            return Err(PeerRejection::Forged);
        }
        if *to != self.instance {
            return Err(PeerRejection::WrongReceiver);
        }
        self.remember((from.0.clone(), from.1.clone()), sequence)
    }

    /// Returns the tag of a message to send.
    pub fn sign(
        keyring: &Keyring,
        from: (&InstanceId, &Incarnation),
        to: &InstanceId,
        sequence: u64,
        body: &str,
    ) -> String {
        keyring.sign(PURPOSE, signed(from, to, sequence, body).as_bytes())
    }

    fn remember(
        &mut self,
        sender: (InstanceId, Incarnation),
        sequence: u64,
    ) -> Result<(), PeerRejection> {
        if self.seen.len() >= MAX_SENDERS && !self.seen.contains_key(&sender) {
            self.seen.clear();
        }
        let window = self.seen.entry(sender).or_default();
        let too_old = window.len() >= WINDOW && window.first().is_some_and(|low| sequence < *low);
        if too_old || !window.insert(sequence) {
            return Err(PeerRejection::Replayed);
        }
        if window.len() > WINDOW {
            window.pop_first();
        }
        Ok(())
    }
}

fn signed(from: (&InstanceId, &Incarnation), to: &str, sequence: u64, body: &str) -> String {
    format!("{}\n{}\n{to}\n{sequence}\n{body}", from.0, from.1)
}
