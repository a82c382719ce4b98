//! The command line.
#![allow(
    missing_docs,
    reason = "the macro writes the types; the help texts document them"
)]

use std::path::PathBuf;

xflags::xflags! {
    /// Calls and operates iristhread.
    ///
    /// Callers' commands (complete, chat, call) take --server and --key, or
    /// IRISTHREAD_SERVER and IRISTHREAD_KEY. Operators' commands (get, watch,
    /// describe, status, wait, timeline, explain) take the same flags, or
    /// IRISTHREAD_OPERATOR and IRISTHREAD_OPERATOR_KEY. A list of servers is
    /// separated by commas; the next one is tried when one fails.
    ///
    /// Exit codes: 0 done; 1 failed and not run; 2 usage or faults in a file;
    /// 3 unknown whether it ran; 4 a stream is not whole; 5 timed out.
    cmd iristhread {
        /// Addresses of instances: URL[,URL…].
        optional --server urls: String
        /// Bearer key.
        optional --key key: String
        /// Form of the output: text or json.
        optional --output form: String

        /// Stream a completion.
        cmd complete {
            /// Model to generate with.
            required model: String
            /// Text to continue.
            required prompt: String
            /// Most tokens to generate.
            optional --max-tokens tokens: i64
            /// Adapter on top of the model.
            optional --adapter name: String
            /// Print the request's id at the end, on standard error.
            optional --show-id
        }
        /// Stream the answer to one chat message.
        cmd chat {
            /// Model to generate with.
            required model: String
            /// What the user says.
            required message: String
            /// Most tokens to generate.
            optional --max-tokens tokens: i64
            /// Adapter on top of the model.
            optional --adapter name: String
            /// Print the request's id at the end, on standard error.
            optional --show-id
        }
        /// Call a plain service; one that may not be repeated runs at most once.
        cmd call {
            /// Service.
            required service: String
            /// Path below the service.
            required path: String
            /// Body.
            required body: String
        }
        /// List resources of a kind: models, adapters, versions, engine-roles,
        /// workspaces, backend-servers or instances.
        cmd get {
            /// Kind.
            required kind: String
            /// Name of one resource.
            optional name: String
        }
        /// Follow changes of resources, one JSON line each.
        cmd watch {
            /// Kind.
            required kind: String
            /// Name of one resource.
            optional name: String
            /// Resource version to start after.
            optional --from version: u64
        }
        /// Show one resource, declared and observed state side by side.
        cmd describe {
            /// Kind.
            required kind: String
            /// Name.
            required name: String
        }
        /// Show what each instance has in force, and how old it is.
        cmd status {}
        /// Check a configuration document before it is published.
        cmd check {
            /// JSON file.
            required file: PathBuf
        }
        /// Wait until a configuration version is in force on every instance.
        cmd wait {
            /// Version that the platform gave.
            required version: u64
            /// Longest wait in milliseconds (60000 if not given).
            optional --timeout-ms timeout_ms: u64
        }
        /// Show the time line of all instances.
        cmd timeline {
            /// Only of this request.
            optional --request id: String
            /// Go on with what comes.
            optional --follow
        }
        /// Tell why each decision about a request was made: asked of an instance, or read
        /// from gateways' logs.
        cmd explain {
            /// Id of the request.
            required id: String
            /// Log of a gateway, also with other text before the JSON; may be repeated.
            repeated --logs file: PathBuf
        }
        /// Count the requests in gateways' logs that were not served well, by cause.
        cmd losses {
            /// Longest time to a stream's first event that is in time, in milliseconds.
            required --first-event-ms ms: u64
            /// Longest pause between two events that is in time, in milliseconds.
            required --pause-ms ms: u64
            /// Log of a gateway; may be repeated. Standard input if there is none.
            repeated --logs file: PathBuf
        }
        /// Tell from gateways' logs, in order of time, what the instances came to believe: the
        /// directory lost, regained or back from an older copy (its era), the way of each
        /// configuration until it is in force, entries that can't be used, servers that leave, rest or name limits, evacuated zones.
        cmd beliefs {
            /// Log of a gateway, also with other text before the JSON; may be repeated.
            repeated --logs file: PathBuf
        }
        /// Print the hash of a key, as a configuration holds it.
        cmd hash-key {
            /// The key.
            required key: String
        }
    }
}
