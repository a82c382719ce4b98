//! Messages between the two ends of a detour, which precede the bytes of the connection.

use iristhread_core::BackendId;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::detour::carried_stream::CarriedForm;
use crate::peers::peer_message::SignedMessage;

/// Maximum size of a message in bytes; a message names one server.
const MAX_MESSAGE_BYTES: u32 = 4_096;

/// Requests a connection to a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DetourRequest {
    /// Id of the server. The receiver connects to the address in its own list.
    pub server: BackendId,
    /// Whether the sender reads [`CarriedForm::Records`]; earlier releases omit it.
    #[serde(default)]
    pub reads_records: bool,
}

impl DetourRequest {
    /// Returns the form in which the sender reads what the server sends.
    pub fn form(&self) -> CarriedForm {
        match self.reads_records {
            true => CarriedForm::Records,
            false => CarriedForm::Bytes,
        }
    }
}

/// The answer of the peer. After either form of `Connected` it forwards bytes in both directions.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DetourReply {
    /// The server accepted the connection; what it sends follows as [`CarriedForm::Bytes`].
    Connected,
    /// The server accepted the connection; what it sends follows as [`CarriedForm::Records`].
    ConnectedWithRecords,
    /// The peer reaches other servers of the service, and this one refused the connection.
    ServerRefused,
    /// The peer reaches other servers of the service, and this one did not answer.
    ServerSilent,
    /// The peer reaches no server of the service either.
    CutOff,
    /// The server is not in the list of the peer, or its zone is evacuated.
    NotListed,
    /// The peer carries as many connections as it may.
    Full,
    /// The peer is stopping.
    Stopping,
}

impl DetourReply {
    /// Returns the reply for a connection that is carried in a form.
    pub fn connected(form: CarriedForm) -> Self {
        match form {
            CarriedForm::Records => DetourReply::ConnectedWithRecords,
            CarriedForm::Bytes => DetourReply::Connected,
        }
    }

    /// Returns the form used in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            DetourReply::Connected | DetourReply::ConnectedWithRecords => "connected",
            DetourReply::ServerRefused => "server_refused",
            DetourReply::ServerSilent => "server_silent",
            DetourReply::CutOff => "cut_off",
            DetourReply::NotListed => "not_listed",
            DetourReply::Full => "full",
            DetourReply::Stopping => "stopping",
        }
    }
}

/// Why a message could not be exchanged.
#[derive(Debug, Error)]
pub enum DetourFault {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(#[from] std::io::Error),
    /// The message exceeds the size limit.
    #[error("the message has {0} bytes, more than {MAX_MESSAGE_BYTES}")]
    TooLarge(u32),
    /// The message can't be parsed or encoded.
    #[error("the message can't be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The message is not signed by the expected sender.
    #[error("the message is not signed by its sender")]
    Forged,
}

/// Writes a message with its length before it.
///
/// # Errors
///
/// [`DetourFault`] if the connection fails or the message can't be encoded.
pub async fn write_message(
    stream: &mut TcpStream,
    message: &SignedMessage,
) -> Result<(), DetourFault> {
    let body = serde_json::to_vec(message)?;
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    if length > MAX_MESSAGE_BYTES {
        return Err(DetourFault::TooLarge(length));
    }
    let mut frame = Vec::with_capacity(body.len() + size_of::<u32>());
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(&body);
    Ok(stream.write_all(&frame).await?)
}

/// Reads one message and no byte beyond it.
///
/// # Errors
///
/// [`DetourFault`] if the connection fails or the message is invalid.
pub async fn read_message(stream: &mut TcpStream) -> Result<SignedMessage, DetourFault> {
    let length = stream.read_u32().await?;
    if length > MAX_MESSAGE_BYTES {
        return Err(DetourFault::TooLarge(length));
    }
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body).await?;
    Ok(serde_json::from_slice(&body)?)
}
