//! Sends HTTP requests to backend servers, each on a connection of its own.

use std::net::SocketAddr;
use std::sync::Arc;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::Uri;
use http::header;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

use crate::dial::Dial;
use crate::dial::DialError;
use crate::http_client::BodyLimit;
use crate::http_client::HttpClientError;
use crate::http_client::Reply;
use crate::http_client::read_reply;

/// Maximum size of the head of a response. It is also the most that is read at once, so that a server
/// that sends one interim response after the other does not hold up the thread.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Connects to backend servers with a [`Dial`]; cheap to clone. No connection is used twice and no
/// request is repeated, so that data of another request never arrives on one.
#[derive(Clone)]
pub struct ServerClient {
    dial: Arc<dyn Dial>,
    limit: BodyLimit,
}

impl ServerClient {
    /// Creates a client that opens its connections with `dial`.
    pub fn dialing(limit: BodyLimit, dial: Arc<dyn Dial>) -> Self {
        ServerClient { dial, limit }
    }

    /// Opens a connection. No byte is sent before [`ServerRequester::send`].
    ///
    /// # Errors
    ///
    /// [`HttpClientError::Connect`] or [`HttpClientError::NoPath`].
    pub async fn connect(&self, address: SocketAddr) -> Result<ServerRequester, HttpClientError> {
        let uri = format!("http://{address}");
        let connection = self.dial.dial(address).await.map_err(|error| {
            let (uri, cause) = (uri.clone(), error.to_string());
            match error {
                DialError::NoPath(_) => HttpClientError::NoPath { uri, cause },
                DialError::Refused | DialError::Silent(_) | DialError::Failed(_) => {
                    HttpClientError::Connect { uri, cause }
                }
            }
        })?;
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_HEAD_BYTES);
        let handshake = http.handshake(TokioIo::new(connection)).await;
        let (sender, connection) = handshake.map_err(|error| HttpClientError::Connect {
            uri,
            cause: error.to_string(),
        })?;
        // Its errors reach the request or the body of its answer, too.
        let task = tokio::spawn(connection).abort_handle();
        Ok(ServerRequester {
            address,
            sender,
            task: AbortOnDrop { task: Some(task) },
        })
    }

    /// Connects, sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// [`HttpClientError`]; an error status counts as a response, not as an error.
    pub async fn fetch(&self, request: Request<Full<Bytes>>) -> Result<Reply, HttpClientError> {
        let uri = request.uri().to_string();
        let authority = request.uri().authority();
        let address = authority.and_then(|host| host.as_str().parse().ok());
        let Some(address) = address else {
            let cause = "it names no IP address".to_owned();
            return Err(HttpClientError::Request { uri, cause });
        };
        let response = self.connect(address).await?.send(request).await?;
        read_reply(response, self.limit, uri).await
    }
}

/// An open connection to a backend server for one request.
pub struct ServerRequester {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortOnDrop,
}

/// Closes a connection when dropped: a server that goes on sending interim responses would keep it
/// open after nobody waits for the answer.
struct AbortOnDrop {
    task: Option<AbortHandle>,
}

impl AbortOnDrop {
    /// Leaves the connection to the body of its answer, which closes it when dropped.
    fn disarm(&mut self) {
        self.task = None;
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

impl ServerRequester {
    /// Sends the request and returns the response before its body is read. The path and query of
    /// its URI are sent, and the server's address as `Host` if there is none.
    ///
    /// # Errors
    ///
    /// [`HttpClientError::Broken`] if the connection broke: the request may have been written.
    pub async fn send(
        mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpClientError> {
        let path = request.uri().path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(|| Uri::from_static("/"), Uri::from);
        let host = HeaderValue::from_str(&self.address.to_string());
        if let (false, Ok(host)) = (request.headers().contains_key(header::HOST), host) {
            request.headers_mut().insert(header::HOST, host);
        }
        let sent = self.sender.send_request(request).await;
        let response = sent.map_err(|error| HttpClientError::Broken {
            uri: format!("http://{}", self.address),
            cause: error_chain(&error),
        })?;
        self.task.disarm();
        Ok(response)
    }
}

fn error_chain(error: &hyper::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
