//! What a server sends on a connection that a peer carries. Its end must be told from the loss of
//! the way: an answer without a length is complete when its server closes the connection.
//!
//! The carrier sends records, each with its length before it; an empty one says that the server
//! closed the connection in order. The kernel closes the connections of a process that ends in
//! order, too, so the end of the bytes alone confirms nothing.

use std::io;

use bytes::Bytes;
use bytes::BytesMut;
use futures::SinkExt;
use futures::Stream;
use futures::StreamExt;
use futures::stream;
use futures::stream::BoxStream;
use iristhread_api::ServerConnection;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::io::ReaderStream;
use tokio_util::io::StreamReader;

/// Maximum size of a record in bytes.
const MAX_RECORD_BYTES: usize = 16 << 10;

/// The form in which a carrier passes on what a server sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CarriedForm {
    /// Records, with an empty one for an orderly close of the server.
    Records,
    /// The bytes alone, for peers that don't read records. No end is confirmed.
    Bytes,
}

impl CarriedForm {
    /// Returns the connection to a server that is carried in this form. A read of it ends without
    /// an error only if the server closed the connection in order.
    pub fn read_from(self, carrier: TcpStream) -> ServerConnection {
        let (answers, requests) = carrier.into_split();
        let chunks: BoxStream<'static, io::Result<Bytes>> = match self {
            CarriedForm::Records => records(answers).boxed(),
            CarriedForm::Bytes => ReaderStream::new(answers)
                .chain(stream::repeat_with(|| Err(unconfirmed_end())))
                .boxed(),
        };
        ServerConnection::new(tokio::io::join(StreamReader::new(chunks), requests))
    }

    /// Forwards what a server sends to a peer until the server closes the connection.
    ///
    /// # Errors
    ///
    /// The error of the operating system if either connection breaks. The peer then sees a break,
    /// too.
    pub async fn forward(
        self,
        server: impl AsyncRead + Unpin,
        peer: OwnedWriteHalf,
    ) -> io::Result<()> {
        match self {
            CarriedForm::Records => forward_records(server, peer).await,
            CarriedForm::Bytes => forward_bytes(server, peer).await,
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_RECORD_BYTES)
        .new_codec()
}

/// Returns the content of the records up to the empty one. The end of the bytes before it is an
/// error.
fn records(answers: impl AsyncRead + Send) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let records = Box::pin(FramedRead::new(answers, codec()));
    let chunks = stream::unfold(records, |mut records| async move {
        let chunk = match records.next().await {
            Some(Ok(record)) if record.is_empty() => return None,
            Some(Ok(record)) => Ok(record.freeze()),
            Some(Err(error)) => Err(error),
            None => Err(unconfirmed_end()),
        };
        Some((chunk, records))
    });
    chunks.fuse()
}

fn unconfirmed_end() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionReset,
        "the carrying peer ended the connection without a close of the server",
    )
}

async fn forward_records(
    mut server: impl AsyncRead + Unpin,
    peer: OwnedWriteHalf,
) -> io::Result<()> {
    let mut records = FramedWrite::new(peer, codec());
    loop {
        let mut record = BytesMut::with_capacity(MAX_RECORD_BYTES);
        server.read_buf(&mut record).await?;
        let is_closed = record.is_empty();
        records.send(record.freeze()).await?;
        if is_closed {
            return records.into_inner().shutdown().await;
        }
    }
}

async fn forward_bytes(
    mut server: impl AsyncRead + Unpin,
    mut peer: OwnedWriteHalf,
) -> io::Result<()> {
    if let Err(error) = tokio::io::copy(&mut server, &mut peer).await {
        // The peer takes an orderly close for that of the server, so the connection is reset.
        peer.as_ref().set_zero_linger()?;
        peer.forget();
        return Err(error);
    }
    peer.shutdown().await
}
