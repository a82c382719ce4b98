//! Opening of TCP connections to backend servers, behind a trait so that a caller can choose the
//! path.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::BoxFuture;
use nix::errno::Errno;
use thiserror::Error;
use tokio::net::TcpStream;

use crate::server_connection::ServerConnection;

/// Why no connection was opened. No byte of a request was written.
#[derive(Debug, Error)]
pub enum DialError {
    /// Nothing listens at the address.
    #[error("the connection was refused")]
    Refused,
    /// The connection attempt got no answer in time.
    #[error("no answer to the connection attempt within {} ms", .0.as_millis())]
    Silent(Duration),
    /// This instance has no path to the server. Nothing is known about the server itself.
    #[error("this instance has no path to the server: {0}")]
    NoPath(String),
    /// The operating system or a peer reported another failure.
    #[error("{0}")]
    Failed(String),
}

impl DialError {
    /// Classifies an error of the operating system.
    fn of(error: &std::io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused => DialError::Refused,
            ErrorKind::AddrNotAvailable | ErrorKind::OutOfMemory => {
                DialError::NoPath(error.to_string())
            }
            _ if lacks_resources(error) => DialError::NoPath(error.to_string()),
            _ => DialError::Failed(error.to_string()),
        }
    }
}

/// Whether this process or its machine has no file descriptor or buffer left.
fn lacks_resources(error: &std::io::Error) -> bool {
    let code = error.raw_os_error().map(Errno::from_raw);
    matches!(
        code,
        Some(Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM)
    )
}

/// Opens connections to backend servers.
pub trait Dial: Send + Sync {
    /// Opens a connection to the server at `address`.
    fn dial(&self, address: SocketAddr) -> BoxFuture<'_, Result<ServerConnection, DialError>>;
}

/// Connects directly over TCP.
#[derive(Clone, Copy, Debug)]
pub struct TcpDial {
    /// Timeout of a connection attempt.
    pub connect_timeout: Duration,
}

impl Dial for TcpDial {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'_, Result<ServerConnection, DialError>> {
        Box::pin(async move {
            let connected = tokio::time::timeout(self.connect_timeout, TcpStream::connect(address));
            let stream = match connected.await {
                Ok(Ok(stream)) => stream,
                Ok(Err(error)) => return Err(DialError::of(&error)),
                Err(_) => return Err(DialError::Silent(self.connect_timeout)),
            };
            // Fails only if the connection is already closed, which its first use shows.
            let _ = stream.set_nodelay(true);
            Ok(stream.into())
        })
    }
}
