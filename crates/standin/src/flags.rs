//! The command line.
#![allow(
    missing_docs,
    reason = "the macro writes the types; the help texts document them"
)]

use std::net::SocketAddr;

xflags::xflags! {
    /// Stand-ins of the systems around iristhread, for tests and the demo.
    cmd iristhread-standin {
        /// A model engine.
        cmd engine {
            /// Address to listen on; port 0 takes a free one.
            optional --listen address: SocketAddr
            /// Memory for generations, in tokens.
            optional --memory-tokens tokens: u64
            /// Time of one decoding step, in milliseconds.
            optional --step-ms step_ms: u64
            /// Sessions decoded at once.
            optional --max-batch sessions: usize
            /// Lag of load reports, in milliseconds.
            optional --report-lag-ms lag_ms: u64
            /// Time after which a generation that nobody reads is dropped.
            optional --orphan-grace-ms grace_ms: u64
            /// Take orders whatever their fence.
            optional --ignore-fences
        }
        /// A plain service.
        cmd service {
            /// Address to listen on; port 0 takes a free one.
            optional --listen address: SocketAddr
            /// Answer a key that was executed before without executing again.
            optional --checks-keys
        }
        /// The platform: configuration and instance list.
        cmd platform {
            /// Address to listen on; port 0 takes a free one.
            optional --listen address: SocketAddr
            /// Reads a second that are answered.
            optional --reads-per-s reads: u64
        }
    }
}
