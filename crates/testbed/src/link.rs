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

/// What a link does now.
#[derive(Clone, Copy, Debug)]
struct Condition {
    state: LinkState,
    /// Times that the connections that were open then fell silent.
    silences: u32,
}

/// Forwards TCP connections to one address.
#[derive(Debug)]
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    condition: Arc<watch::Sender<Condition>>,
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
        let condition = Condition {
            state: LinkState::Up,
            silences: 0,
        };
        let condition = Arc::new(watch::channel(condition).0);
        tokio::spawn(accept(listener, target, condition.clone()));
        Ok(Link { address, condition })
    }

    /// Changes what the link does.
    pub fn set(&self, state: LinkState) {
        self.condition.send_modify(|now| now.state = state);
    }

    /// Nothing passes any more on the connections that are open now, not even their end;
    /// new ones work.
    pub fn silence(&self) {
        self.condition.send_modify(|now| now.silences += 1);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    condition: Arc<watch::Sender<Condition>>,
) {
    while let Ok((near, _)) = listener.accept().await {
        if condition.borrow().state != LinkState::Cut {
            tokio::spawn(forward(near, target, condition.subscribe()));
        }
    }
}

async fn forward(near: TcpStream, target: SocketAddr, mut condition: watch::Receiver<Condition>) {
    let silences = condition.borrow().silences;
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let is_silent = move |now: &Condition| now.silences != silences;
    let holds_requests = move |now: &Condition| is_silent(now) || now.state == LinkState::Stalled;
    let holds_answers = move |now: &Condition| {
        is_silent(now) || matches!(now.state, LinkState::Stalled | LinkState::Deaf)
    };
    let there = copy(near_in, far_out, condition.clone(), holds_requests);
    let back = copy(far_in, near_out, condition.clone(), holds_answers);
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = until(&mut condition, |now| now.state == LinkState::Cut) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut condition: watch::Receiver<Condition>,
    holds: impl Fn(&Condition) -> bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        let is_slow = condition.borrow().state == LinkState::Slow;
        if is_slow {
            tokio::time::sleep(SLOW_BY).await;
        }
        let passes = until(&mut condition, |now| !holds(now)).await;
        if length == 0 || !passes || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Whether the link came to be as wanted before it went away.
async fn until(
    condition: &mut watch::Receiver<Condition>,
    wanted: impl Fn(&Condition) -> bool,
) -> bool {
    condition.wait_for(wanted).await.is_ok()
}
