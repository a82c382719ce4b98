//! The command line.
#![allow(
    missing_docs,
    reason = "the macro writes the types; the help texts document them"
)]

use std::net::SocketAddr;

xflags::xflags! {
    /// Stand-ins for the systems around iristhread, for tests and the demo.
    cmd iristhread-standin {
        /// A model engine.
        cmd engine {
            /// Address to listen on; port 0 takes a free one.
            optional --listen address: SocketAddr
            /// Memory for generations, in tokens.
            optional --memory-tokens tokens: u64
            /// Duration of one decoding step, in milliseconds.
            optional --step-ms step_ms: u64
            /// Maximum number of sessions decoded at once.
            optional --max-batch sessions: usize
            /// Age of the load reports that are served, in milliseconds.
            optional --report-lag-ms lag_ms: u64
            /// Time after which a generation without a reader is dropped, in milliseconds.
            optional --orphan-grace-ms grace_ms: u64
            /// Accept orders regardless of their fence.
            optional --ignore-fences
        }
        /// A plain service.
        cmd service {
            /// Address to listen on; port 0 takes a free one.
            optional --listen address: SocketAddr
            /// Answer a repeated idempotency key without executing the call again.
            optional --checks-keys
        }
        /// The platform: configuration and instance list.
        cmd platform {
            /// Address to listen on; port 0 takes a free one.
            optional --listen address: SocketAddr
            /// Reads per second that are answered; more are refused.
            optional --reads-per-s reads: u64
        }
    }
}
