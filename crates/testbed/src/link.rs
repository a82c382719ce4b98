//! A link between two processes that a test can cut or stall.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 << 10;

/// What each piece waits on a slow link.
const SLOW_BY: Duration = Duration::from_millis(40);

/// What a link does with what comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// Passes it on.
    Up,
    /// Passes it on after a while.
    Slow,
    /// Passes on what goes there and holds back what comes from there.
    Deaf,
    /// Holds it back; connections stay open.
    Stalled,
    /// Closes every connection and takes no new one.
    Cut,
}

/// Forwards TCP connections to one address.
#[derive(Debug)]
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
}

impl Link {
    /// A link to `target` that is up.
    ///
    /// # Errors
    ///
    /// When no port can be listened on.
    pub async fn to(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::channel(LinkState::Up).0);
        tokio::spawn(accept(listener, target, state.clone()));
        Ok(Link { address, state })
    }

    /// Changes what the link does.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<watch::Sender<LinkState>>) {
    while let Ok((near, _)) = listener.accept().await {
        if *state.borrow() != LinkState::Cut {
            tokio::spawn(forward(near, target, state.subscribe()));
        }
    }
}

async fn forward(near: TcpStream, target: SocketAddr, mut state: watch::Receiver<LinkState>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let holds_requests = |state| state == LinkState::Stalled;
    let holds_answers = |state| matches!(state, LinkState::Stalled | LinkState::Deaf);
    let there = copy(near_in, far_out, state.clone(), holds_requests);
    let back = copy(far_in, near_out, state.clone(), holds_answers);
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = until(&mut state, |state| state == LinkState::Cut) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    holds: impl Fn(LinkState) -> bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        let is_slow = *state.borrow() == LinkState::Slow;
        if is_slow {
            tokio::time::sleep(SLOW_BY).await;
        }
        let passes = until(&mut state, |state| !holds(state)).await;
        if length == 0 || !passes || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Whether the state came to be as wanted before the link went away.
async fn until(state: &mut watch::Receiver<LinkState>, wanted: impl Fn(LinkState) -> bool) -> bool {
    state.wait_for(|state| wanted(*state)).await.is_ok()
}
