//! Tickets for calls that may not be repeated. A ticket names the only process that may run the
//! call.

use thiserror::Error;

use crate::Incarnation;
use crate::InstanceId;
use crate::Keyring;
use crate::WorkspaceId;

const SIGNING_PURPOSE: &str = "ticket";
const FIELD_COUNT: usize = 6;

/// Why a ticket is rejected.
#[derive(Debug, Error, Eq, PartialEq)]
pub enum TicketError {
    /// The text is not a ticket.
    #[error("the ticket is malformed")]
    Malformed,
    /// The tag does not match, or the ticket is of another workspace or service.
    #[error("the ticket was not issued to this workspace for this service")]
    Forged,
}

/// Permission for one call, which the issuing process accepts at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Unique number of the ticket. It is also sent to the backend server as the idempotency key.
    pub number: String,
    /// The only instance that may run the call.
    pub instance: InstanceId,
    /// Incarnation of that instance's process.
    pub incarnation: Incarnation,
    /// Expiry in milliseconds on the issuer's monotonic clock.
    pub expires_ms: u64,
    /// Service that the call is for.
    pub service: String,
}

impl Ticket {
    /// Returns the signed text form, bound to the workspace.
    pub fn encode(&self, workspace: &WorkspaceId, keyring: &Keyring) -> String {
        let body = self.body();
        let tag = keyring.sign(SIGNING_PURPOSE, signed(&body, workspace).as_bytes());
        format!("{body}~{tag}")
    }

    /// Parses and verifies the text form.
    ///
    /// # Errors
    ///
    /// [`TicketError`] if the text is not a ticket, or not one for `workspace` and
    /// `service`.
    pub fn decode(
        text: &str,
        workspace: &WorkspaceId,
        service: &str,
        keyring: &Keyring,
    ) -> Result<Self, TicketError> {
        let fields: Vec<&str> = text.split('~').collect();
        if fields.len() != FIELD_COUNT {
            return Err(TicketError::Malformed);
        }
        let ticket = Ticket {
            number: fields[0].to_owned(),
            instance: fields[1].to_owned(),
            incarnation: fields[2].to_owned(),
            expires_ms: fields[3].parse().map_err(|_| TicketError::Malformed)?,
            service: fields[4].to_owned(),
        };
        let message = signed(&ticket.body(), workspace);
        let genuine = keyring.verify(SIGNING_PURPOSE, message.as_bytes(), fields[5]);
        if !genuine || ticket.service != service {
            return Err(TicketError::Forged);
        }
        Ok(ticket)
    }

    fn body(&self) -> String {
        format!(
            "{}~{}~{}~{}~{}",
            self.number, self.instance, self.incarnation, self.expires_ms, self.service
        )
    }
}

fn signed(body: &str, workspace: &str) -> String {
    format!("{body}~{workspace}")
}
