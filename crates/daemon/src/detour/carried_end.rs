//! How a connection that was carried for a peer ended.

use std::io::Error;

/// Which side ended a carried connection.
#[derive(Debug)]
pub enum CarriedEnd {
    /// The peer closed or lost its connection.
    ByPeer,
    /// The server closed its connection in order.
    ByServer,
    /// The connection to the server or the way back to the peer broke.
    Broken(Error),
}

impl CarriedEnd {
    /// Returns the form used in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            CarriedEnd::ByPeer => "by_peer",
            CarriedEnd::ByServer => "by_server",
            CarriedEnd::Broken(_) => "broken",
        }
    }

    /// Returns the error of the operating system, if there was one.
    pub fn cause(&self) -> Option<String> {
        match self {
            CarriedEnd::ByPeer | CarriedEnd::ByServer => None,
            CarriedEnd::Broken(error) => Some(error.to_string()),
        }
    }
}
