//! Adapters that the program of a gateway passes in.

use std::sync::Arc;
use std::time::Duration;

use iristhread_api::Dial;
use iristhread_api::TcpDial;

use crate::directory::Directory;
use crate::engines::session_mover::SessionMover;
use crate::relaying::wire_protocol::WireProtocol;

/// Time after which the operating system is told to give up a connection attempt. How long an
/// attempt is waited for is decided by its caller, and is shorter.
const MAX_CONNECT_TIME: Duration = Duration::from_secs(1);

/// Adapters to the systems outside the process.
pub struct GatewayPorts {
    /// Headers of callers and backend servers.
    pub wire_protocol: Arc<dyn WireProtocol>,
    /// Client of the platform's directory.
    pub directory: Arc<dyn Directory>,
    /// Opens connections to backend servers.
    pub dial: Arc<dyn Dial>,
    /// Creates the client for orders to engines.
    pub mover: MoverFactory,
}

/// Creates a client for orders to engines that opens its connections with the given [`Dial`].
pub type MoverFactory = Box<dyn FnOnce(Arc<dyn Dial>) -> Arc<dyn SessionMover> + Send>;

/// Returns a [`Dial`] that connects to backend servers directly.
pub fn direct_dial() -> Arc<dyn Dial> {
    Arc::new(TcpDial {
        connect_timeout: MAX_CONNECT_TIME,
    })
}
