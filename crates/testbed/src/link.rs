//! A TCP proxy between two processes whose connections a test can delay, stall, close or reset.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::try_join;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 << 10;

/// Delay of each chunk on a slow link.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(40);

/// How a link handles the bytes that it receives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// Forwards in both directions.
    Up,
    /// Forwards each chunk with a delay.
    Slow,
    /// Forwards to the target and holds back bytes from the target.
    Deaf,
    /// Holds back both directions; connections stay open.
    Stalled,
    /// Closes every connection, and new ones as soon as they are accepted.
    Cut,
}

/// Current state of a link.
#[derive(Clone, Copy, Debug)]
struct Condition {
    state: LinkState,
    /// Number of times that the open connections were stalled for good. A connection that
    /// was opened at a lower count forwards nothing.
    stall_count: u32,
}

/// Forwards TCP connections to one address.
#[derive(Debug)]
pub struct Link {
    /// Address on which the link listens.
    pub address: SocketAddr,
    condition: Arc<watch::Sender<Condition>>,
}

impl Link {
    /// Starts a link to `target` in the state [`LinkState::Up`].
    ///
    /// # Errors
    ///
    /// If no port can be bound on loopback.
    pub async fn to(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let condition = Condition {
            state: LinkState::Up,
            stall_count: 0,
        };
        let condition = Arc::new(watch::channel(condition).0);
        tokio::spawn(accept(listener, target, condition.clone()));
        Ok(Link { address, condition })
    }

    /// Changes the state of the link, for open and new connections.
    pub fn set(&self, state: LinkState) {
        self.condition.send_modify(|now| now.state = state);
    }

    /// Stalls the connections that are open now for good: not even their close is forwarded.
    /// New connections work.
    pub fn silence(&self) {
        self.condition.send_modify(|now| now.stall_count += 1);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    condition: Arc<watch::Sender<Condition>>,
) {
    while let Ok((client, _)) = listener.accept().await {
        if condition.borrow().state != LinkState::Cut {
            tokio::spawn(forward(client, target, condition.subscribe()));
        }
    }
}

async fn forward(
    mut client: TcpStream,
    target: SocketAddr,
    mut condition: watch::Receiver<Condition>,
) {
    let stall_count = condition.borrow().stall_count;
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        return;
    };
    let is_stalled_for_good = move |now: &Condition| now.stall_count != stall_count;
    let stalls_requests =
        move |now: &Condition| is_stalled_for_good(now) || now.state == LinkState::Stalled;
    let stalls_responses = move |now: &Condition| {
        is_stalled_for_good(now) || matches!(now.state, LinkState::Stalled | LinkState::Deaf)
    };
    let (client_in, client_out) = client.split();
    let (target_in, target_out) = upstream.split();
    let requests = copy(client_in, target_out, condition.clone(), stalls_requests);
    let responses = copy(target_in, client_out, condition.clone(), stalls_responses);
    let forwarded = tokio::select! {
        forwarded = try_join(requests, responses) => forwarded.map(|_| ()),
        _ = wait_for_condition(&mut condition, |now| now.state == LinkState::Cut) => Ok(()),
    };
    if forwarded.is_err() {
        // A break of one side is one of the other, too. Fails only on a closed connection.
        let _ = client.set_zero_linger();
        let _ = upstream.set_zero_linger();
    }
}

/// Copies until the end of `from`, or until `to` takes no more.
///
/// # Errors
///
/// If the connection `from` breaks.
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut condition: watch::Receiver<Condition>,
    holds: impl Fn(&Condition) -> bool,
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        let is_slow = condition.borrow().state == LinkState::Slow;
        if is_slow {
            tokio::time::sleep(SLOW_LINK_DELAY).await;
        }
        let passes = wait_for_condition(&mut condition, |now| !holds(now)).await;
        if length == 0 || !passes || to.write_all(&buffer[..length]).await.is_err() {
            // Fails only if the connection is already closed.
            let _ = to.shutdown().await;
            return Ok(());
        }
    }
}

/// Waits until the condition meets the predicate. Returns `false` if the link is dropped first.
async fn wait_for_condition(
    condition: &mut watch::Receiver<Condition>,
    predicate: impl Fn(&Condition) -> bool,
) -> bool {
    condition.wait_for(predicate).await.is_ok()
}
