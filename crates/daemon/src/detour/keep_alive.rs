//! Keep-alive of the connections that carry a detour: they may fall silent without a reset, and
//! then hold the connection to a backend server.

use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Idle time before the first probe, and time between two probes.
const INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the connection counts as lost.
const PROBES: u32 = 3;

/// Enables keep-alive probes. `TCP_USER_TIMEOUT` stays unset, since it would override the number of
/// probes.
///
/// # Errors
///
/// If the operating system refuses the options, for instance because the connection is closed.
pub fn enable(stream: &TcpStream) -> std::io::Result<()> {
    let keep_alive = TcpKeepalive::new()
        .with_time(INTERVAL)
        .with_interval(INTERVAL)
        .with_retries(PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keep_alive)
}
