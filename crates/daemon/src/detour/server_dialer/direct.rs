//! Direct connection attempts, and what they show about the server and the link.

use std::time::Duration;

use iristhread_api::DialError;
use iristhread_api::NoResult;
use iristhread_api::ServerConnection;
use iristhread_api::observed_timeout;
use iristhread_core::AttemptId;
use iristhread_core::Now;
use iristhread_core::Replica;

use super::ServerDialer;

impl ServerDialer {
    /// Connects directly and records what the result shows about the link.
    pub(super) async fn connect(&self, server: &Replica) -> Result<ServerConnection, DialError> {
        let now = self.ports.clock.now();
        let timeout = self.path_delay().connect_timeout(now);
        let _open = OpenAttempt {
            id: self.path_delay().began(now),
            dialer: self,
        };
        self.connect_within(now, timeout, server).await
    }

    pub(super) async fn connect_within(
        &self,
        began: Now,
        timeout: Duration,
        server: &Replica,
    ) -> Result<ServerConnection, DialError> {
        let dialing = self.ports.direct.dial(server.address);
        let dialed = observed_timeout(timeout, dialing).await;
        let dialed = dialed.unwrap_or_else(|none| Err(unanswered(timeout, none)));
        let now = self.ports.clock.now();
        self.record_attempt(server, began, now, &dialed);
        let connected = dialed.map_err(|error| self.without_own_delay(now, error));
        let listed = self.ports.servers.borrow();
        let listed = listed.of_service(&server.service).len();
        let (service, id) = (&server.service, &server.id);
        let change = match &connected {
            Ok(_) => self.links().connected(now, service, id),
            // It shows nothing about the link, either.
            Err(DialError::NoPath(_)) => None,
            Err(_) => self.links().failed(now, service, id, listed),
        };
        if let Some(change) = change {
            self.link_changed(server, change, connected.as_ref().err());
        }
        connected
    }

    fn record_attempt(
        &self,
        server: &Replica,
        began: Now,
        now: Now,
        dialed: &Result<ServerConnection, DialError>,
    ) {
        let (end, is_answered) = match dialed {
            Ok(_) => ("accepted", true),
            Err(DialError::Refused) => ("refused", true),
            Err(DialError::NoPath(_)) => ("not_observed", false),
            Err(_) => ("silent", false),
        };
        let mut path_delay = self.path_delay();
        match is_answered {
            true => path_delay.answered(now, began, &server.id, &server.availability_zone),
            false => path_delay.unanswered(now, began),
        }
        drop(path_delay);
        self.ports.metrics.dialed(end, now.saturating_sub(began));
    }

    /// Replaces a silence that the path of this instance explains: it shows nothing about the server.
    fn without_own_delay(&self, now: Now, error: DialError) -> DialError {
        match error {
            DialError::Silent(_) if self.path_delay().explains_silence(now) => {
                DialError::NoPath(format!("{error}, on a slow path to all servers"))
            }
            other => other,
        }
    }
}

/// An attempt counts as open until this is dropped, also if its caller leaves.
struct OpenAttempt<'a> {
    id: AttemptId,
    dialer: &'a ServerDialer,
}

impl Drop for OpenAttempt<'_> {
    fn drop(&mut self) {
        self.dialer.path_delay().ended(self.id);
    }
}

/// Returns why an attempt without an answer failed.
fn unanswered(timeout: Duration, none: NoResult) -> DialError {
    match none {
        NoResult::Silent => DialError::Silent(timeout),
        NoResult::Unobserved => DialError::NoPath(none.to_string()),
    }
}
