//! Command-line flags and subcommands.
#![allow(
    missing_docs,
    reason = "the macro writes the types; the help texts document them"
)]

use std::path::PathBuf;

xflags::xflags! {
    /// Sends requests to iristhread and operates it.
    ///
    /// Callers' commands (complete, chat, call) take --server and --key, or
    /// IRISTHREAD_SERVER and IRISTHREAD_KEY. Operators' commands (get, watch,
    /// describe, status, wait, timeline, explain) take the same flags, or
    /// IRISTHREAD_OPERATOR and IRISTHREAD_OPERATOR_KEY. A list of servers is
    /// separated by commas; if one fails, the next one is tried.
    ///
    /// Exit codes: 0 success; 1 failed and not run; 2 usage error or faults in a file;
    /// 3 unknown whether the request ran; 4 incomplete stream; 5 timed out.
    cmd iristhread {
        /// Addresses of instances: URL[,URL…].
        optional --server urls: String
        /// Bearer key.
        optional --key key: String
        /// Output format: text or json.
        optional --output form: String

        /// Stream a completion.
        cmd complete {
            /// Model to generate with.
            required model: String
            /// Text to continue.
            required prompt: String
            /// Maximum number of tokens to generate.
            optional --max-tokens tokens: i64
            /// Adapter to apply to the model.
            optional --adapter name: String
            /// Print the request id to standard error at the end.
            optional --show-id
        }
        /// Stream the answer to one chat message.
        cmd chat {
            /// Model to generate with.
            required model: String
            /// Message of the user.
            required message: String
            /// Maximum number of tokens to generate.
            optional --max-tokens tokens: i64
            /// Adapter to apply to the model.
            optional --adapter name: String
            /// Print the request id to standard error at the end.
            optional --show-id
        }
        /// Call a plain service. A call that must not be repeated runs at most once.
        cmd call {
            /// Name of the service.
            required service: String
            /// Path below the service.
            required path: String
            /// Body of the call.
            required body: String
        }
        /// List resources of a kind: models, adapters, versions, engine-roles,
        /// workspaces, backend-servers or instances.
        cmd get {
            /// Kind of the resources.
            required kind: String
            /// Name of a single resource.
            optional name: String
        }
        /// Watch resources; print one JSON line per change.
        cmd watch {
            /// Kind of the resources.
            required kind: String
            /// Name of a single resource.
            optional name: String
            /// Resource version to start after.
            optional --from version: u64
        }
        /// Show one resource, declared and observed state side by side.
        cmd describe {
            /// Kind of the resources.
            required kind: String
            /// Name of the resource.
            required name: String
        }
        /// Show the configuration version in force on each instance, and its age.
        cmd status {}
        /// Check a configuration document before it is published.
        cmd check {
            /// JSON file with the document.
            required file: PathBuf
        }
        /// Wait until a configuration version is in force on every instance.
        cmd wait {
            /// Version that the platform assigned.
            required version: u64
            /// Timeout in milliseconds (default 60000).
            optional --timeout-ms timeout_ms: u64
        }
        /// Show the timeline of all instances.
        cmd timeline {
            /// Show only records of this request.
            optional --request id: String
            /// Keep printing new records.
            optional --follow
        }
        /// Explain the decisions about a request, from the timeline of the instances or from
        /// gateway logs.
        cmd explain {
            /// Id of the request.
            required id: String
            /// Gateway log, also with other text before the JSON; may be repeated.
            repeated --logs file: PathBuf
        }
        /// Count the requests in gateway logs by route and cause of a late or failed response.
        cmd losses {
            /// Maximum time to the first event of a stream in time, in milliseconds.
            required --first-event-ms ms: u64
            /// Maximum gap between two events of a stream in time, in milliseconds.
            required --pause-ms ms: u64
            /// Gateway log; may be repeated. Reads standard input if none is given.
            repeated --logs file: PathBuf
        }
        /// Show from gateway logs, in order of time, the changes in what the instances know: the
        /// directory lost, regained or restored from an older copy (its era), the steps of each
        /// configuration until it is in force, invalid entries, backend servers that drain, back
        /// off or declare limits, and evacuated zones.
        cmd beliefs {
            /// Gateway log, also with other text before the JSON; may be repeated.
            repeated --logs file: PathBuf
        }
        /// Print the hash of a key in the form that a configuration holds.
        cmd hash-key {
            /// The key.
            required key: String
        }
    }
}
