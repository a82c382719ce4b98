//! `iristhreadd`: the daemon of an entry instance.
//!
//! One control thread owns the state of all decisions (`iristhread-core`);
//! traffic runs on other threads and talks to it by messages. Every outside
//! system stands behind a trait: [`PlatformPort`], [`EnginePort`], [`PeerPort`].

mod api_error;
mod app;
mod call_answer;
mod call_book;
mod caller_api;
mod caller_sink;
mod clock;
mod completion_order;
mod control_message;
mod control_thread;
mod daemon;
mod engine_port;
mod fleet;
mod generation;
mod http_server;
mod load_poller;
mod logging;
mod metrics;
mod operator_api;
mod peer_exchanger;
mod peer_message;
mod peer_port;
mod peer_server;
mod platform_port;
mod platform_reader;
mod request_guard;
mod resource_builder;
mod resource_log;
mod service_api;
mod service_call;
mod settings;
mod settings_reader;
mod view;

pub use daemon::Daemon;
pub use daemon::DaemonError;
pub use daemon::ListenAddresses;
pub use engine_port::EngineError;
pub use engine_port::EnginePort;
pub use engine_port::EngineStream;
pub use logging::logger;
pub use peer_message::News;
pub use peer_message::PeerReply;
pub use peer_message::PeerRequest;
pub use peer_message::PeerVersions;
pub use peer_message::SignedMessage;
pub use peer_port::JsonRpcPeers;
pub use peer_port::MAX_MESSAGE_BYTES;
pub use peer_port::PEER_METHOD;
pub use peer_port::PeerError;
pub use peer_port::PeerPort;
pub use platform_port::PlatformError;
pub use platform_port::PlatformPort;
pub use resource_log::ResourceLog;
pub use resource_log::TooOld;
pub use settings::Limits;
pub use settings::SeedPeer;
pub use settings::Settings;
pub use settings_reader::SettingsFault;
