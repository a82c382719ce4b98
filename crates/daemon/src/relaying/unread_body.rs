//! Reads and drops what is left of a request that was refused before its body was read. A connection
//! that is closed with unread bytes is reset, and its caller never sees the answer.

use std::time::Duration;

use http::HeaderMap;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::process::connection_memory::HeadPause;

/// Maximum time for which the rest of a body is read.
const MAX_TIME: Duration = Duration::from_secs(5);

/// Maximum number of bytes that are read of it.
const MAX_BYTES: usize = 16 << 20;

/// Whether a caller waits for permission before it sends its body. A refusal spares it the body.
pub fn is_sent_on_demand(headers: &HeaderMap) -> bool {
    headers.contains_key(header::EXPECT)
}

/// Reads and drops the rest of a body in the background. Its bytes count for no head until then.
pub fn discard(mut body: Incoming, pause: HeadPause) {
    if body.is_end_stream() {
        return;
    }
    tokio::spawn(async move {
        let mut bytes = 0;
        let rest = async {
            while let Some(Ok(frame)) = body.frame().await {
                bytes += frame.data_ref().map_or(0, |data| data.len());
                if bytes > MAX_BYTES {
                    return;
                }
            }
        };
        // A caller that takes longer is cut off.
        let _ = tokio::time::timeout(MAX_TIME, rest).await;
        drop(pause);
    });
}
