//! Accepts HTTP connections within limits, and drains them at a planned stop.

use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use viz::Responder;
use viz::Router;
use viz::Tree;

use crate::process::connection_memory::ClaimedStream;
use crate::process::connection_memory::ConnectionMemory;
use crate::process::read_permit::ReadPermit;

/// Size of the read buffer relative to the limit of headers. Headers above the limit still fit, so
/// that the request can be refused with an error that states the limit.
const HEADER_BUFFER_FACTOR: usize = 4;

/// Limits of connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of open connections; further ones are closed at once.
    pub max_connections: usize,
    /// Maximum size of the headers of a request in bytes.
    pub max_header_bytes: usize,
    /// Maximum time in which a caller must send the headers.
    pub header_timeout: Duration,
    /// Maximum time in which a caller may read nothing of an answer.
    pub write_timeout: Duration,
}

/// A connection that may be read.
pub struct Accepted {
    /// The connection.
    pub stream: TcpStream,
    /// Address of the caller.
    pub address: SocketAddr,
    /// To be dropped when the first request is sent on; `None` if nothing limits what is read.
    pub permit: Option<ReadPermit>,
    /// The memory of the connection; `None` if it is not counted.
    pub memory: Option<Arc<ConnectionMemory>>,
}

/// What the service of one connection knows of it.
pub struct ConnectionContext {
    /// Address of the caller.
    pub address: SocketAddr,
    /// To be dropped when the first request is sent on.
    pub permit: Option<ReadPermit>,
    /// The memory of the connection.
    pub memory: Option<Arc<ConnectionMemory>>,
}

/// A source of connections.
pub trait AcceptConnections: Send {
    /// Returns the next connection to be read.
    ///
    /// # Errors
    ///
    /// If the process is out of file descriptors, or the caller has already disconnected.
    fn accept(&mut self) -> impl Future<Output = std::io::Result<Accepted>> + Send;
}

impl AcceptConnections for TcpListener {
    async fn accept(&mut self) -> std::io::Result<Accepted> {
        let (stream, address) = TcpListener::accept(self).await?;
        Ok(Accepted {
            stream,
            address,
            permit: None,
            memory: None,
        })
    }
}

/// Serves the routes until `stop` is true, then waits for the requests in progress.
pub async fn serve(
    listener: impl AcceptConnections,
    router: Router,
    limits: ConnectionLimits,
    stop: watch::Receiver<bool>,
) {
    let tree = Arc::new(Tree::from(router));
    let service = move |connection: ConnectionContext| {
        Responder::new(tree.clone(), Some(Arc::new(connection.address)))
    };
    serve_with(listener, service, limits, stop).await;
}

/// Serves with one service per connection until `stop` is true, then waits for the requests in
/// progress.
pub async fn serve_with<S, B>(
    mut listener: impl AcceptConnections,
    service: impl Fn(ConnectionContext) -> S,
    limits: ConnectionLimits,
    mut stop: watch::Receiver<bool>,
) where
    S: Service<Request<Incoming>, Response = Response<B>> + Send + 'static,
    S::Future: Send,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let graceful = GracefulShutdown::new();
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new());
    http.header_read_timeout(limits.header_timeout);
    http.max_buf_size(limits.max_header_bytes * HEADER_BUFFER_FACTOR);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok(accepted) = accepted else {
            // The process is out of file descriptors, or the caller has already disconnected.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        // Fails only if the connection is already closed.
        let _ = accepted.stream.set_nodelay(true);
        let stream = ClaimedStream::new(
            accepted.stream,
            accepted.memory.clone(),
            limits.write_timeout,
        );
        let service = service(ConnectionContext {
            address: accepted.address,
            permit: accepted.permit,
            memory: accepted.memory,
        });
        let connection = http.serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A broken connection is not an error of the server.
            let _ = connection.await;
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
