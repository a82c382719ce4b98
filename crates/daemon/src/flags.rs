//! Command line of `iristhreadd`.
#![allow(
    missing_docs,
    reason = "the macro writes the types; the help texts document them"
)]

use std::path::PathBuf;

xflags::xflags! {
    /// The daemon of an iristhread entry instance.
    ///
    /// Serves callers, operators and peers on the addresses of its settings.
    /// SIGTERM and SIGINT start a planned stop: the instance is not ready at
    /// once, lets streams finish and exits with 0. Exit codes: 0 stopped as
    /// planned, 1 could not start, 2 faults in the settings, 3 streams were
    /// still open after stop_timeout_ms.
    cmd iristhreadd {
        /// Settings file (TOML); docs/operators/settings.md lists the keys.
        required --settings file: PathBuf
        /// Only check the settings, list every fault and exit.
        optional --check
    }
}
