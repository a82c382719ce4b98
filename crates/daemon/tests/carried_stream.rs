//! A connection that a peer carries: its end is that of the server only if the carrier says so.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io;

use bytes::Bytes;
use futures::stream;
use iristhread_api::ServerConnection;
use iristhread_daemon::CarriedForm;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::io::StreamReader;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nan answer that ends with its connection";

/// Both ends of a connection: the carrier's, and that of the peer for which it carries.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap());
    let (peer, accepted) = futures::future::join(peer, listener.accept()).await;
    (accepted.unwrap().0, peer.unwrap())
}

/// Returns the bytes that a carrier sends for an answer which arrives in pieces.
async fn carried(form: CarriedForm, piece_bytes: usize) -> Vec<u8> {
    let (carrier, mut peer) = connection().await;
    let pieces = ANSWER.chunks(piece_bytes).map(Bytes::from_static).map(Ok);
    let server = StreamReader::new(stream::iter(pieces.collect::<Vec<io::Result<Bytes>>>()));
    let (_requests, answers) = carrier.into_split();
    form.forward(server, answers).await.unwrap();
    let mut bytes = Vec::new();
    peer.read_to_end(&mut bytes).await.unwrap();
    bytes
}

/// Reads a connection to its end after a carrier sent these bytes and closed it in order.
async fn read(form: CarriedForm, bytes: &[u8]) -> (Vec<u8>, io::Result<usize>) {
    let (mut carrier, peer) = connection().await;
    carrier.write_all(bytes).await.unwrap();
    drop(carrier);
    let mut connection: ServerConnection = form.read_from(peer);
    let mut answer = Vec::new();
    let end = connection.read_to_end(&mut answer).await;
    (answer, end)
}

#[test_case(1)]
#[test_case(7)]
#[test_case(1_000)]
#[tokio::test]
async fn an_orderly_close_of_the_server_arrives(piece_bytes: usize) {
    let bytes = carried(CarriedForm::Records, piece_bytes).await;
    let (answer, end) = read(CarriedForm::Records, &bytes).await;
    assert_eq!((answer.as_slice(), end.unwrap()), (ANSWER, ANSWER.len()));
}

/// Guards against answers that look whole after the carrier or the way to it was lost.
#[test_case(7)]
#[test_case(1_000)]
#[tokio::test]
async fn a_cut_at_any_byte_shows(piece_bytes: usize) {
    let bytes = carried(CarriedForm::Records, piece_bytes).await;
    for cut in 0..bytes.len() {
        let (answer, end) = read(CarriedForm::Records, &bytes[..cut]).await;
        assert!(ANSWER.starts_with(&answer));
        assert!(end.is_err(), "cut after {cut} bytes");
    }
}

/// Guards against answers that look whole because a peer of an earlier release ended.
#[tokio::test]
async fn bytes_alone_confirm_no_end() {
    let bytes = carried(CarriedForm::Bytes, 7).await;
    let (answer, end) = read(CarriedForm::Bytes, &bytes).await;
    assert_eq!(answer, ANSWER);
    assert!(end.is_err());
}

/// Guards against a break of the server's connection that is passed on as its orderly close.
#[test_case(CarriedForm::Records)]
#[test_case(CarriedForm::Bytes)]
#[tokio::test]
async fn a_break_of_the_server_is_passed_on(form: CarriedForm) {
    let (carrier, mut peer) = connection().await;
    let pieces: [io::Result<Bytes>; 2] = [
        Ok(Bytes::from_static(ANSWER)),
        Err(io::ErrorKind::ConnectionReset.into()),
    ];
    let (requests, answers) = carrier.into_split();
    let server = StreamReader::new(stream::iter(pieces));
    let forwarded = form.forward(server, answers).await;
    assert!(forwarded.is_err());
    drop(requests);
    let end = match form {
        CarriedForm::Records => form.read_from(peer).read_to_end(&mut Vec::new()).await,
        // A peer of an earlier release reads the connection itself.
        CarriedForm::Bytes => peer.read_to_end(&mut Vec::new()).await,
    };
    assert!(end.is_err());
}
